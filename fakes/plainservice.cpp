#include "plainservice.h"

#include "net/httpstatus.h"

namespace KingCup
{

namespace
{

/// The part of `path` after `prefix`; empty if `path` doesn't start with it.
auto afterPrefix(const std::string &path, const std::string &prefix) -> std::string
{
    return path.compare(0, prefix.size(), prefix) == 0 ? path.substr(prefix.size()) : std::string();
}

/// The path within the service: without "/services/NAME", if the system has left that in the path.
auto pathInService(const std::string &path, const std::string &name) -> std::string
{
    const auto rest = afterPrefix(path, "/services/" + name);
    return rest.empty() ? path : rest;
}

auto hasText(const Json &body, const char *name) -> bool
{
    return body.is_object() && body.contains(name) && body[name].is_string();
}

} // namespace

auto ServiceState::execute(const HttpRequest &request, const std::string &path, const std::string &instance) -> ServiceAnswer
{
    if (request.method == "GET") {
        ++m_reads;
        if (const auto account = afterPrefix(path, "/balance/"); !account.empty()) {
            const auto found = m_balances.find(account);
            return {Status::Ok, {{"account", account}, {"minutes", found == m_balances.end() ? 0 : found->second}}};
        }
        if (const auto person = afterPrefix(path, "/lookup/"); !person.empty()) {
            const auto found = m_extensions.find(person);
            return {Status::Ok, {{"name", person}, {"extension", found == m_extensions.end() ? "" : found->second}}};
        }
        return {Status::NotFound, {{"code", "no-such-path"}, {"path", path}}};
    }
    const auto key = headerValue(request.headers, "idempotency-key");
    if (key.empty()) {
        ++m_unkeyed;
    } else {
        auto &execution = m_executions[key];
        execution.attempts.push_back(headerValue(request.headers, "x-attempt-id"));
        execution.instances.push_back(instance);
        execution.method = request.method;
        execution.path = path;
    }
    const auto body = Json::parse(request.body, nullptr, false);
    if (path == "/debits" && hasText(body, "account") && body.contains("minutes") && body["minutes"].is_number()) {
        auto &balance = m_balances[body["account"].get<std::string>()];
        balance -= body["minutes"].get<std::int64_t>();
        return {Status::Created, {{"account", body["account"]}, {"minutes", balance}, {"key", key}}};
    }
    if (path == "/extensions" && hasText(body, "name") && hasText(body, "extension")) {
        m_extensions[body["name"].get<std::string>()] = body["extension"].get<std::string>();
        return {Status::Created, {{"name", body["name"]}, {"extension", body["extension"]}, {"key", key}}};
    }
    return {HttpStatus::Unprocessable, {{"code", "not-understood"}}};
}

auto ServiceState::truth() const -> Json
{
    auto executions = Json::object();
    auto doubled = Json::array();
    for (const auto &[key, execution] : m_executions) {
        executions[key] = {{"count", execution.attempts.size()},
                           {"attempts", execution.attempts},
                           {"instances", execution.instances},
                           {"method", execution.method},
                           {"path", execution.path}};
        if (execution.attempts.size() > 1) {
            doubled.push_back(key);
        }
    }
    return {
        {"executions", executions}, {"doubled", doubled}, {"balances", m_balances}, {"extensions", m_extensions}, {"reads", m_reads}, {"unkeyed", m_unkeyed}};
}

PlainService::PlainService(SimClock &clock, std::string id, std::string name, int port, ServiceSettings settings, std::shared_ptr<ServiceState> state)
    : m_clock(clock)
    , m_id(std::move(id))
    , m_name(std::move(name))
    , m_port(port)
    , m_settings(settings)
    , m_state(std::move(state))
{
    listen();
}

auto PlainService::listen() -> void
{
    HttpServerOptions options {.listen = {"127.0.0.1", m_port}, .keptHeaders = {"idempotency-key", "x-attempt-id", "x-request-id", "x-hold-ms"}};
    m_server = std::make_unique<HttpServer>(m_clock.loop(), options, guarded([this](const ExchangePtr &exchange) { onRequest(exchange); }));
    m_port = m_server->port();
}

auto PlainService::id() const -> const std::string &
{
    return m_id;
}

auto PlainService::name() const -> const std::string &
{
    return m_name;
}

auto PlainService::port() const -> int
{
    return m_port;
}

auto PlainService::setDown(bool down) -> void
{
    if (down) {
        ++m_epoch;
        m_server.reset();
        m_waiting.clear();
        m_running = 0;
    } else if (!m_server) {
        listen();
    }
}

auto PlainService::setSlowdown(double factor) -> void
{
    m_slowdown = factor;
}

auto PlainService::lastNewWorkMs() const -> std::int64_t
{
    return m_lastWork;
}

auto PlainService::calls() const -> std::uint64_t
{
    return m_calls;
}

auto PlainService::onRequest(const ExchangePtr &exchange) -> void
{
    if (exchange->request().path == "/healthz") {
        answerJson(exchange, Status::Ok, Json::object());
        return;
    }
    ++m_calls;
    m_lastWork = m_clock.now().inMillis();
    m_waiting.push_back(exchange);
    startNext();
}

auto PlainService::startNext() -> void
{
    while (m_running < m_settings.concurrency && !m_waiting.empty()) {
        const auto exchange = m_waiting.front();
        m_waiting.pop_front();
        ++m_running;
        run(exchange, m_epoch);
    }
}

/// Waits for `?wait-ms=` plus the service time, runs the call, then holds the answer for `?hold-ms=` or the header `x-hold-ms`.
auto PlainService::run(const ExchangePtr &exchange, std::uint64_t epoch) -> void
{
    const auto &request = exchange->request();
    const auto work = (request.method == "GET" ? m_settings.readTime : m_settings.writeTime) * m_slowdown;
    const auto wait = Duration::millis(queryNumber(request.query, "wait-ms", 0));
    const auto held = numberOr(headerValue(request.headers, "x-hold-ms"), 0);
    const auto hold = Duration::millis(queryNumber(request.query, "hold-ms", held));
    m_clock.after(wait + work, [this, exchange, hold, epoch] {
        if (epoch != m_epoch) {
            return;
        }
        const auto &call = exchange->request();
        const auto answer = m_state->execute(call, pathInService(call.path, m_name), m_id);
        m_clock.after(hold, [this, exchange, epoch, answer] {
            if (epoch != m_epoch) {
                return;
            }
            answerJson(exchange, answer.status, answer.body);
            --m_running;
            startNext();
        });
    });
}

} // namespace KingCup
