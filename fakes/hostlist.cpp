#include "hostlist.h"

namespace KingCup
{

namespace
{
constexpr auto RetryHint = Duration::millis(500);
constexpr std::size_t MaxVersions = 1000;
} // namespace

auto hostFromJson(const Json &json) -> Host
{
    return Host {.id = json.value("id", std::string()),
                 .role = json.value("role", std::string()),
                 .zone = json.value("zone", std::string()),
                 .address = json.value("address", std::string()),
                 .state = json.value("state", std::string("live"))};
}

HostList::HostList(SimClock &clock, int port, Duration lag)
    : m_clock(clock)
    , m_lag(lag)
    , m_server(clock.loop(), HttpServerOptions {.listen = {"127.0.0.1", port}}, guarded([this](const ExchangePtr &exchange) { handle(exchange); }))
{
}

auto HostList::port() const -> int
{
    return m_server.port();
}

auto HostList::set(const Host &host) -> void
{
    auto &known = m_hosts[host.id];
    known.id = host.id;
    known.state = host.state;
    known.role = host.role.empty() ? known.role : host.role;
    known.zone = host.zone.empty() ? known.zone : host.zone;
    known.address = host.address.empty() ? known.address : host.address;
    record();
}

auto HostList::remove(const std::string &id) -> void
{
    m_hosts.erase(id);
    record();
}

auto HostList::record() -> void
{
    m_history.push_back(Version {m_clock.now(), m_hosts});
    if (m_history.size() > MaxVersions) {
        m_history.pop_front();
    }
}

auto HostList::visible() const -> Hosts
{
    const auto limit = m_clock.now() - m_lag;
    Hosts hosts;
    for (const auto &version : m_history) {
        if (version.at > limit) {
            break;
        }
        hosts = version.hosts;
    }
    return hosts;
}

auto HostList::setMode(const std::string &mode) -> bool
{
    if (mode != "ok" && mode != "freeze" && mode != "empty" && mode != "wrong" && mode != "odd" && mode != "refuse") {
        return false;
    }
    m_frozen = visible();
    m_mode = mode;
    return true;
}

auto HostList::handle(const ExchangePtr &exchange) -> void
{
    if (exchange->request().path != "/hosts") {
        answerCode(exchange, Status::NotFound, "no-such-call");
        return;
    }
    if (m_mode == "refuse") {
        answerRetry(exchange, Status::Unavailable, "unavailable", RetryHint);
        return;
    }
    auto list = Json::array();
    bool skip = false;
    for (const auto &[id, host] : m_mode == "freeze" ? m_frozen : visible()) {
        skip = !skip;
        if (m_mode == "empty" || (m_mode == "wrong" && skip)) {
            continue;
        }
        const auto state = m_mode == "wrong" ? "leaving" : host.state;
        list.push_back({{"id", id}, {"role", host.role}, {"zone", host.zone}, {"address", host.address}, {"state", state}});
    }
    auto text = Json {{"hosts", list}}.dump();
    if (m_mode == "odd") {
        constexpr std::size_t Depth = 60000;
        const auto nested = std::string(Depth, '[') + std::string(Depth, ']');
        text.insert(text.find('[') + 1, R"({"id":"odd-1","address":)" + nested + R"(},{"id":"odd-2","load":1e400},{"id":"odd-3)" + "\xff" + R"("},)");
    }
    exchange->respond(Status::Ok, {{"content-type", "application/json"}}, text);
}

} // namespace KingCup
