// The HTTP status codes that the programs use (RFC 9110 and 6585).
#pragma once

namespace KingCup::HttpStatus
{

constexpr int SwitchingProtocols = 101;
constexpr int Ok = 200;
constexpr int Accepted = 202;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int RequestTimeout = 408;
constexpr int Conflict = 409;
constexpr int Gone = 410;
constexpr int LengthRequired = 411;
constexpr int PreconditionFailed = 412;
constexpr int ContentTooLarge = 413;
constexpr int Misdirected = 421;
constexpr int Unprocessable = 422;
constexpr int TooManyRequests = 429;
constexpr int HeadTooLarge = 431;
constexpr int ServerError = 500;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

constexpr auto isSuccess(int status) -> bool
{
    return status >= 200 && status < 300;
}

/// Whether an answer to a request of ours may have this status: the protocol's range, without the answer to an upgrade, as no request asks for one.
constexpr auto isAnswer(int status) -> bool
{
    return status >= 100 && status < 600 && status != SwitchingProtocols;
}

/// Whether an answer with this status has a body, if its head says so. Others end with their head.
constexpr auto mayHaveBody(int status) -> bool
{
    return status >= 200 && status != NoContent && status != NotModified;
}

} // namespace KingCup::HttpStatus
