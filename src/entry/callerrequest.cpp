#include "entry/callerrequest.h"

#include "core/hashing.h"
#include "core/jsontext.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

namespace KingCup
{

namespace
{

using nlohmann::json;

constexpr auto BudgetHeader = "kingcup-time-budget-ms";
constexpr auto ServicesPrefix = "/services/";
constexpr std::size_t MaxKeyLength = 256;
constexpr std::size_t PrefixChars = 400; // prompts whose first characters agree up to this number count as having a common prefix
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr std::int64_t MaxBudgetMs = 24LL * 3600 * 1000;

auto hexHash(std::string_view text) -> std::string
{
    constexpr std::size_t HexLength = 17;
    std::string hex(HexLength, '\0');
    std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(stableHash(text)));
    hex.pop_back();
    return hex;
}

auto badRequest(const std::string &code, const std::string &detail) -> Problem
{
    return {BadRequest, code, detail};
}

/// The beginning of the prompt as written: of the first message of a chat, otherwise of the prompt's text.
auto promptBeginning(const std::vector<JsonMember> &body) -> std::string_view
{
    if (const auto messages = splitJsonArray(findJsonMember(body, "messages")); messages && !messages->empty()) {
        const auto first = splitJsonObject(messages->front());
        return first ? findJsonMember(*first, "content").substr(0, PrefixChars) : std::string_view();
    }
    return findJsonMember(body, "prompt").substr(0, PrefixChars);
}

/// The body as the caller wrote it, with the value of each member "model" replaced.
auto withModel(const std::string &body, const std::vector<JsonMember> &members, const std::string &model) -> std::string
{
    const auto value = json(model).dump();
    std::string result;
    std::size_t copied = 0;
    for (const auto &member : members) {
        if (member.name == "model") {
            const auto at = static_cast<std::size_t>(member.value.data() - body.data());
            result += body.substr(copied, at - copied) + value;
            copied = at + member.value.size();
        }
    }
    return result + body.substr(copied);
}

/// Reads time budget, priority and idempotency key, which are the same for models and plain services.
auto readRequestHeaders(const HttpRequest &http, const Service &service, CallerRequest &request) -> std::optional<Problem>
{
    request.priority = service.priority;
    request.budget = service.timeBudget;
    if (const auto text = headerValue(http.headers, "kingcup-priority"); !text.empty()) {
        const auto priority = priorityFromString(text);
        if (!priority) {
            return badRequest("bad-priority", "Kingcup-Priority is one of interactive, standard, batch");
        }
        request.priority = *priority;
    }
    if (const auto budget = requestedBudget(http.headers)) {
        request.budget = *budget;
    } else if (!headerValue(http.headers, BudgetHeader).empty()) {
        return badRequest("bad-time-budget", "Kingcup-Time-Budget-Ms is a whole number of milliseconds, at most a day");
    }
    request.key = RequestKey(headerValue(http.headers, "idempotency-key"));
    if (request.key.text().size() > MaxKeyLength) {
        return badRequest("bad-idempotency-key", "Idempotency-Key has at most 256 characters");
    }
    return std::nullopt;
}

auto readPlain(const HttpRequest &http, const Declarations &declarations, CallerRequest &request) -> std::optional<Problem>
{
    const std::string rest = http.path.substr(std::string(ServicesPrefix).size());
    const auto slash = rest.find('/');
    const ServiceName name(rest.substr(0, slash));
    const auto service = declarations.services.find(name);
    if (service == declarations.services.end() || service->second.kind != ServiceKind::Plain) {
        return Problem {NotFound, "unknown-service", "no plain service '" + name.text() + "' is declared"};
    }
    if (auto problem = readRequestHeaders(http, service->second, request)) {
        return problem;
    }
    request.service = name;
    request.kind = ServiceKind::Plain;
    request.method = http.method;
    request.path = slash == std::string::npos ? "/" : rest.substr(slash);
    request.isIdempotent = !isNonIdempotent(service->second, request.method, request.path);
    request.mustRunOnce = !request.isIdempotent && !request.key.isEmpty();
    request.path += http.query.empty() ? "" : "?" + http.query;
    request.body = http.body;
    request.headers = http.headers;
    std::erase_if(request.headers, [](const HttpHeader &header) { return header.name == "content-length" || header.name.starts_with("kingcup-"); });
    return std::nullopt;
}

auto readModel(const HttpRequest &http, const Declarations &declarations, const CallerDefaults &defaults, CallerRequest &request) -> std::optional<Problem>
{
    if (http.method != "POST") {
        return Problem {MethodNotAllowed, "method-not-allowed", "completions are asked for with POST"};
    }
    if (const auto at = findExcessiveNesting(http.body)) {
        return badRequest("json-too-deep", "the body is nested deeper than " + std::to_string(MaxJsonDepth) + " levels at byte " + std::to_string(*at));
    }
    if (!json::accept(http.body)) {
        return badRequest("invalid-json", "the body isn't JSON in UTF-8");
    }
    const auto members = splitJsonObject(http.body);
    const auto model = members ? parseJson(findJsonMember(*members, "model")) : json();
    if (!model.is_string()) {
        return badRequest("no-model", "the body names no model");
    }
    const auto name = model.get<std::string>();
    auto resolved = resolveModel(declarations, name);
    const auto service = resolved ? declarations.services.find(resolved->service) : declarations.services.end();
    if (!resolved || service == declarations.services.end()) {
        return Problem {NotFound, "unknown-model", "no model, version or adapter '" + name + "' is declared"};
    }
    if (declarations.models.contains(name) && defaults.versionOf) {
        const auto version = defaults.versionOf(name);
        resolved->artifacts.front() = version.isEmpty() ? resolved->artifacts.front() : version;
    }
    if (auto problem = readRequestHeaders(http, service->second, request)) {
        return problem;
    }
    request.service = resolved->service;
    request.kind = ServiceKind::Models;
    request.artifacts = resolved->artifacts;
    request.method = http.method;
    request.path = http.path;
    request.headers = {{"content-type", "application/json"}};
    request.wantsStream = findJsonMember(*members, "stream") == "true";
    request.prefixHash = hexHash(request.artifacts.back().text() + std::string(promptBeginning(*members)));
    request.body = withModel(http.body, *members, request.artifacts.back().text());
    return std::nullopt;
}

} // namespace

auto toString(CallerOutcome outcome) -> const char *
{
    switch (outcome) {
    case CallerOutcome::Delivered:
        return "delivered";
    case CallerOutcome::NotRun:
        return "not-run";
    case CallerOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

auto problemBody(const Problem &problem, const RequestId &request) -> std::string
{
    const json body {{"type", "about:blank"},
                     {"title", problem.code},
                     {"status", problem.status},
                     {"code", problem.code},
                     {"detail", problem.detail},
                     {"outcome", toString(problem.outcome)},
                     {"request", request.text()}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto problemHeaders(const Problem &problem, const RequestId &request) -> HttpHeaders
{
    HttpHeaders headers {{"content-type", "application/problem+json"}, {"kingcup-outcome", toString(problem.outcome)}, {"kingcup-request", request.text()}};
    if (problem.retryAfter > Duration()) {
        constexpr std::int64_t MicrosPerSecond = 1000000;
        headers.push_back({"retry-after", std::to_string((problem.retryAfter.inMicros() + MicrosPerSecond - 1) / MicrosPerSecond)});
        headers.push_back({"kingcup-retry-after-ms", std::to_string(problem.retryAfter.inMillis())});
    }
    return headers;
}

auto callerHeaderNames() -> std::vector<std::string>
{
    return {"idempotency-key", "kingcup-priority", "kingcup-time-budget-ms", "authorization", "if-match", "if-none-match"};
}

auto requestedBudget(const HttpHeaders &headers) -> std::optional<Duration>
{
    const auto text = headerValue(headers, BudgetHeader);
    std::int64_t millis = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), millis);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isWhole && millis > 0 && millis <= MaxBudgetMs ? std::optional(Duration::millis(millis)) : std::nullopt;
}

auto readCallerRequest(const HttpRequest &http, const RequestId &id, const Declarations &declarations, const CallerDefaults &defaults)
    -> std::variant<CallerRequest, Problem>
{
    CallerRequest request;
    request.id = id;
    request.budget = defaults.budget;
    std::optional<Problem> problem;
    if (http.path.starts_with(ServicesPrefix)) {
        problem = readPlain(http, declarations, request);
    } else if (http.path == "/v1/chat/completions" || http.path == "/v1/completions") {
        problem = readModel(http, declarations, defaults, request);
    } else {
        problem = Problem {NotFound, "unknown-path", "paths are /v1/chat/completions, /v1/completions and /services/NAME/..."};
    }
    if (problem) {
        return *problem;
    }
    request.fingerprint = hexHash(request.service.text() + "\n" + request.method + "\n" + request.path + "\n" + request.body);
    return request;
}

} // namespace KingCup
