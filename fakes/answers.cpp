#include "answers.h"

#include <charconv>

namespace KingCup
{

namespace
{

constexpr int Hexadecimal = 16;

auto percentDecoded(const std::string &text) -> std::string
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        int value = 0;
        if (text[i] == '%' && i + 2 < text.size() && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, Hexadecimal).ptr == text.data() + i + 3) {
            out.push_back(static_cast<char>(value));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

} // namespace

auto answerJson(const ExchangePtr &exchange, int status, const Json &body, HttpHeaders headers) -> void
{
    headers.push_back({"content-type", "application/json"});
    exchange->respond(status, std::move(headers), body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

auto answerCode(const ExchangePtr &exchange, int status, const std::string &code) -> void
{
    answerJson(exchange, status, {{"code", code}});
}

auto answerRetry(const ExchangePtr &exchange, int status, const std::string &code, Duration retryAfter) -> void
{
    answerJson(exchange, status, {{"code", code}, {"retryAfterMs", retryAfter.inMillis()}});
}

auto parseJsonBody(const ExchangePtr &exchange) -> std::optional<Json>
{
    auto body = Json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object()) {
        answerCode(exchange, Status::BadRequest, "not-a-json-object");
        return std::nullopt;
    }
    return body;
}

auto guarded(HttpServer::Handler handler) -> HttpServer::Handler
{
    return [handler = std::move(handler)](const ExchangePtr &exchange) {
        try {
            handler(exchange);
        } catch (const Json::exception &error) {
            answerJson(exchange, Status::BadRequest, {{"code", "malformed"}, {"detail", error.what()}});
        }
    };
}

auto queryValue(const std::string &query, const std::string &name) -> std::string
{
    std::size_t at = 0;
    while (at <= query.size()) {
        const auto end = std::min(query.find('&', at), query.size());
        const auto item = query.substr(at, end - at);
        const auto equals = item.find('=');
        if (equals != std::string::npos && item.substr(0, equals) == name) {
            return percentDecoded(item.substr(equals + 1));
        }
        at = end + 1;
    }
    return {};
}

auto numberOr(const std::string &text, std::int64_t fallback) -> std::int64_t
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? value : fallback;
}

auto queryNumber(const std::string &query, const std::string &name, std::int64_t fallback) -> std::int64_t
{
    return numberOr(queryValue(query, name), fallback);
}

} // namespace KingCup
