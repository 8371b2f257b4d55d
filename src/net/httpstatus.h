// The HTTP status codes that the programs use (RFC 9110 and 6585).
#pragma once

namespace KingCup::HttpStatus
{

constexpr int Ok = 200;
constexpr int Accepted = 202;
constexpr int NoContent = 204;
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

} // namespace KingCup::HttpStatus
