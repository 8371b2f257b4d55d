#include "fakes.h"

#include <glog/logging.h>

namespace KingCup
{

namespace
{

// Offsets from the base port; the admin port is the base port itself.
constexpr int TableOffset = 1;
constexpr int ObjectsOffset = 2;
constexpr int HostsOffset = 3;
constexpr int ServicesOffset = 10;
constexpr int EnginesOffset = 100;

auto portAt(const FakesSettings &settings, int offset) -> int
{
    return settings.basePort == 0 ? 0 : settings.basePort + offset;
}

auto tableSettings(const FakesSettings &settings) -> TableSettings
{
    auto table = settings.table;
    table.port = portAt(settings, TableOffset);
    return table;
}

auto addLinks(Proxy &proxy, const std::vector<std::string> &links) -> void
{
    for (const auto &link : links) {
        const auto first = link.find(',');
        const auto second = link.find(',', first + 1);
        if (first == std::string::npos || second == std::string::npos) {
            throw std::runtime_error("a link is NAME,LISTEN-PORT,TARGET, not " + link);
        }
        const auto port = numberOr(link.substr(first + 1, second - first - 1), 0);
        proxy.add(link.substr(0, first), static_cast<int>(port), endpointFromString(link.substr(second + 1)));
    }
}

} // namespace

Fakes::Fakes(EventLoop &loop, const FakesSettings &settings)
    : m_clock(loop, settings.timeScale, settings.seed)
    , m_table(m_clock, tableSettings(settings))
    , m_objects(m_clock, portAt(settings, ObjectsOffset), settings.objectLatency)
    , m_hosts(m_clock, portAt(settings, HostsOffset), settings.hostLag)
    , m_weights(m_clock, settings.weights)
    , m_proxy(m_clock)
    , m_platform(m_clock, settings.platform)
    , m_admin(loop, HttpServerOptions {.listen = {"127.0.0.1", settings.basePort}}, guarded([this](const ExchangePtr &exchange) { handle(exchange); }))
{
    addEngines(settings);
    addServices(settings);
    addLinks(m_proxy, settings.links);
    for (const auto &host : settings.hosts) {
        m_hosts.set(host);
    }
}

auto Fakes::addEngines(const FakesSettings &settings) -> void
{
    for (int i = 0; i < settings.engineCount; ++i) {
        auto engine = settings.engine;
        engine.id = settings.enginePrefix + std::to_string(i + 1);
        engine.port = portAt(settings, EnginesOffset + i);
        engine.checksFence = settings.fencing == "checked" || (settings.fencing == "alternate" && i % 2 == 0);
        m_engines.push_back(std::make_unique<Engine>(m_clock, m_weights, engine));
    }
}

auto Fakes::addServices(const FakesSettings &settings) -> void
{
    int offset = ServicesOffset;
    for (const auto &group : settings.services) {
        auto &state = m_states[group.name];
        state = std::make_shared<ServiceState>();
        for (int i = 0; i < group.count; ++i) {
            const auto id = group.name + "-" + std::to_string(i + 1);
            m_services.push_back(std::make_unique<PlainService>(m_clock, id, group.name, portAt(settings, offset++), settings.service, state));
        }
    }
}

auto Fakes::ports() const -> Json
{
    Json all {{"admin", m_admin.port()}, {"table", m_table.port()}, {"objects", m_objects.port()}, {"hosts", m_hosts.port()}, {"links", m_proxy.ports()}};
    all["engines"] = Json::array();
    for (const auto &engine : m_engines) {
        all["engines"].push_back({{"id", engine->id()}, {"port", engine->port()}, {"fencing", engine->checksFence() ? "checked" : "ignored"}});
    }
    all["services"] = Json::array();
    for (const auto &service : m_services) {
        all["services"].push_back({{"id", service->id()}, {"name", service->name()}, {"port", service->port()}});
    }
    all["platform"] = m_platform.ports();
    return all;
}

auto Fakes::truth() const -> Json
{
    Json all {{"nowMs", m_clock.now().inMillis()}, {"table", m_table.truth()}, {"objects", m_objects.truth()}, {"links", m_proxy.ports()}};
    all["weights"] = {{"loads", m_weights.loads()}, {"throttled", m_weights.throttled()}, {"mostAtOnce", m_weights.maxConcurrentLoads()}};
    std::uint64_t overcommits = 0;
    std::uint64_t crashes = 0;
    std::uint64_t loads = 0;
    all["engines"] = Json::object();
    for (const auto &engine : m_engines) {
        auto truth = engine->truth();
        overcommits += truth["overcommits"].get<std::uint64_t>();
        crashes += truth["crashes"].get<std::uint64_t>();
        loads += truth["loadsBegun"].get<std::uint64_t>();
        all["engines"][engine->id()] = std::move(truth);
    }
    auto doubled = Json::array();
    all["services"] = Json::object();
    for (const auto &[name, state] : m_states) {
        auto truth = state->truth();
        for (const auto &key : truth["doubled"]) {
            doubled.push_back(name + ":" + key.get<std::string>());
        }
        all["services"][name] = std::move(truth);
    }
    all["instances"] = Json::object();
    for (const auto &service : m_services) {
        all["instances"][service->id()] = {{"calls", service->calls()}, {"lastNewWorkMs", service->lastNewWorkMs()}};
    }
    all["totals"] = {{"overcommits", overcommits}, {"crashes", crashes}, {"loads", loads}, {"doubled", doubled}};
    return all;
}

auto Fakes::handle(const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    const auto call = request.method + " " + request.path;
    if (call == "GET /truth") {
        answerJson(exchange, Status::Ok, truth());
    } else if (call == "GET /ports") {
        answerJson(exchange, Status::Ok, ports());
    } else if (call == "GET /platform") {
        answerJson(exchange, Status::Ok, m_platform.truth());
    } else if (call == "GET /completions") {
        auto all = Json::object();
        for (const auto &engine : m_engines) {
            all[engine->id()] = engine->completions();
        }
        answerJson(exchange, Status::Ok, all);
    } else if (call == "GET /rows") {
        answerJson(exchange, Status::Ok, {{"rows", m_table.rows(queryValue(request.query, "prefix"))}});
    } else if (call == "POST /fault") {
        handleFault(exchange);
    } else if (call == "POST /hosts") {
        handleHosts(exchange);
    } else if (call == "POST /links") {
        handleLink(exchange);
    } else {
        answerCode(exchange, Status::NotFound, "no-such-call");
    }
}

auto Fakes::handleFault(const ExchangePtr &exchange) -> void
{
    const auto command = parseJsonBody(exchange);
    if (!command) {
        return;
    }
    if (applyFault(*command)) {
        LOG(INFO) << "fault: applied " << command->dump();
        answerJson(exchange, Status::Ok, Json::object());
    } else {
        answerCode(exchange, Status::BadRequest, "unknown-fault");
    }
}

auto Fakes::applyFault(const Json &command) -> bool
{
    const auto part = command.value("part", std::string());
    if (part == "table") {
        return m_table.faults().apply(command);
    }
    if (part == "objects") {
        return m_objects.faults().apply(command);
    }
    if (part == "hosts") {
        return m_hosts.setMode(command.value("mode", std::string()));
    }
    if (part == "engine") {
        return applyEngineFault(command);
    }
    if (part == "service") {
        return applyServiceFault(command);
    }
    if (part == "platform") {
        return m_platform.command(command.value("command", Json::object()));
    }
    return part == "link" && m_proxy.command(command);
}

auto Fakes::applyEngineFault(const Json &command) -> bool
{
    const auto id = command.value("id", std::string());
    bool known = false;
    for (auto &engine : m_engines) {
        if (!id.empty() && engine->id() != id) {
            continue;
        }
        known = true;
        engine->setFaults(command);
        if (command.value("mode", std::string()) == "crash") {
            engine->crash("commanded");
        }
    }
    return known;
}

auto Fakes::applyServiceFault(const Json &command) -> bool
{
    const auto id = command.value("id", std::string());
    const auto mode = command.value("mode", std::string());
    bool known = false;
    for (auto &service : m_services) {
        if (!id.empty() && service->id() != id) {
            continue;
        }
        known = true;
        if (mode == "down" || mode == "up") {
            service->setDown(mode == "down");
        }
        service->setSlowdown(command.value("slow", 1.0));
    }
    return known;
}

auto Fakes::handleHosts(const ExchangePtr &exchange) -> void
{
    const auto body = parseJsonBody(exchange);
    if (!body) {
        return;
    }
    const auto hosts = body->contains("hosts") ? (*body)["hosts"] : Json::array({*body});
    for (const auto &host : hosts) {
        if (host.value("state", std::string()) == "gone") {
            m_hosts.remove(host.value("id", std::string()));
        } else {
            m_hosts.set(hostFromJson(host));
        }
    }
    answerJson(exchange, Status::Ok, Json::object());
}

auto Fakes::handleLink(const ExchangePtr &exchange) -> void
{
    const auto body = parseJsonBody(exchange);
    if (!body) {
        return;
    }
    const auto target = endpointFromString(body->value("target", std::string()));
    const auto port = m_proxy.add(body->value("name", std::string()), body->value("listen", 0), target);
    answerJson(exchange, Status::Ok, {{"port", port}});
}

} // namespace KingCup
