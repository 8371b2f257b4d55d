#include "objectstore.h"

namespace KingCup
{

namespace
{
constexpr std::string_view Root = "/objects/";
}

ObjectStore::ObjectStore(SimClock &clock, int port, Duration latency)
    : m_latency(latency)
    , m_faults(clock)
    , m_server(clock.loop(),
               HttpServerOptions {.listen = {"127.0.0.1", port}, .keptHeaders = {"if-match", "if-none-match"}},
               guarded([this](const ExchangePtr &exchange) { handle(exchange); }))
{
}

auto ObjectStore::port() const -> int
{
    return m_server.port();
}

auto ObjectStore::faults() -> FaultGate &
{
    return m_faults;
}

auto ObjectStore::truth() const -> Json
{
    return {{"writes", m_writes}, {"reads", m_reads}, {"objects", m_objects.size()}, {"faultsApplied", m_faults.applied()}};
}

auto ObjectStore::put(const std::string &key, const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    const auto existing = m_objects.find(key);
    const auto match = headerValue(request.headers, "if-match");
    const bool mustBeAbsent = headerValue(request.headers, "if-none-match") == "*";
    const bool mismatch = !match.empty() && (existing == m_objects.end() || existing->second.etag != match);
    if (mismatch || (mustBeAbsent && existing != m_objects.end())) {
        answerCode(exchange, Status::PreconditionFailed, "precondition-failed");
        return;
    }
    const auto etag = "e" + std::to_string(++m_writes);
    m_objects[key] = Object {etag, request.body};
    answerJson(exchange, Status::Ok, Json::object(), {{"etag", etag}});
}

auto ObjectStore::handle(const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    if (request.path.compare(0, Root.size(), Root) != 0) {
        answerCode(exchange, Status::NotFound, "no-such-call");
        return;
    }
    const auto key = request.path.substr(Root.size());
    StoreRequest operation {.exchange = exchange, .keys = {key}, .writes = request.method != "GET"};
    operation.effect = [this, key, method = request.method](const ExchangePtr &to) {
        if (method == "PUT") {
            put(key, to);
        } else if (method == "DELETE") {
            ++m_writes;
            m_objects.erase(key);
            to->respond(Status::NoContent, {}, "");
        } else if (const auto found = m_objects.find(key); found != m_objects.end()) {
            ++m_reads;
            to->respond(Status::Ok, {{"etag", found->second.etag}, {"content-type", "application/octet-stream"}}, found->second.data);
        } else {
            answerCode(to, Status::NotFound, "no-such-object");
        }
    };
    m_faults.handle(std::move(operation), m_latency);
}

} // namespace KingCup
