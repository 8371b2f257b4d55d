// Helpers of all fakes: JSON answers, request bodies and query parameters.
#pragma once

#include "net/http.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace KingCup
{

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

namespace Status
{
constexpr int Ok = 200;
constexpr int Created = 201;
constexpr int Accepted = 202;
constexpr int NoContent = 204;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int PreconditionFailed = 412;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
} // namespace Status

auto answerJson(const ExchangePtr &exchange, int status, const Json &body, HttpHeaders headers = {}) -> void;
/// Answers with the body `{"code":CODE}`.
auto answerCode(const ExchangePtr &exchange, int status, const std::string &code) -> void;
/// Answers 429 or 503 with a retry-after hint; the request had no effect.
auto answerRetry(const ExchangePtr &exchange, int status, const std::string &code, Duration retryAfter) -> void;
/// The body as a JSON object. If it isn't one, answers 400 and returns nothing.
auto parseJsonBody(const ExchangePtr &exchange) -> std::optional<Json>;
/// Wraps a handler so that a body with values of an unexpected type is answered with 400 instead of ending the process.
auto guarded(HttpServer::Handler handler) -> HttpServer::Handler;
/// A value of the query, percent-decoded; empty if absent.
auto queryValue(const std::string &query, const std::string &name) -> std::string;
/// As queryValue, for whole numbers; `fallback` if absent or malformed.
auto queryNumber(const std::string &query, const std::string &name, std::int64_t fallback) -> std::int64_t;
/// The whole text as a number, or `fallback`.
auto numberOr(const std::string &text, std::int64_t fallback) -> std::int64_t;

} // namespace KingCup
