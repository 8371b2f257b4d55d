// Short JSON answers, and reading queries: shared by all stand-ins.
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
/// `{"code":CODE}`
auto answerCode(const ExchangePtr &exchange, int status, const std::string &code) -> void;
/// 429 or 503 with a hint when to come back: certainly without effect.
auto answerRetry(const ExchangePtr &exchange, int status, const std::string &code, Duration retryAfter) -> void;
/// The body as a JSON object; answers 400 by itself and returns nothing if it isn't one.
auto parseJsonBody(const ExchangePtr &exchange) -> std::optional<Json>;
/// Wraps a handler so that values of an unexpected type in a body are answered with 400 and don't end the process.
auto guarded(HttpServer::Handler handler) -> HttpServer::Handler;
/// A value of the query, percent-decoded; empty if absent.
auto queryValue(const std::string &query, const std::string &name) -> std::string;
/// As queryValue, for whole numbers; `fallback` if absent or malformed.
auto queryNumber(const std::string &query, const std::string &name, std::int64_t fallback) -> std::int64_t;
/// The whole text as a number, or `fallback`.
auto numberOr(const std::string &text, std::int64_t fallback) -> std::int64_t;

} // namespace KingCup
