#include "platformsite.h"

namespace KingCup
{

namespace
{

constexpr double RunnerMegabytes = 150000;
constexpr double ModelMegabytes = 70000;
constexpr int AdapterSlots = 2;
constexpr int Adapters = 3;
constexpr int RunnerSlots = 8;

auto route(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service, int timeoutMillis) -> Json
{
    return {{"name", name},
            {"host", "site.example"},
            {"prefix", prefix},
            {"route_kind", kind},
            {"timeout_ms", timeoutMillis},
            {"goal_ms", 1000},
            {"priority", 1},
            {"service", service},
            {"attempts", kind == "non_idempotent" ? 1 : 2},
            {"sticky", kind == "streaming"},
            {"resumable", false},
            {"gap_target_ms", 400}};
}

} // namespace

PlatformSite::PlatformSite(SimClock &clock, const PlatformSiteSettings &settings)
    : m_clock(clock)
    , m_store(clock, settings.basePort)
{
    for (int i = 0; i < settings.models; ++i) {
        m_models.push_back({.name = "m" + std::to_string(i + 1), .weightsMegabytes = ModelMegabytes, .adapters = Adapters});
    }
    for (int i = 0; i < settings.runners; ++i) {
        PlatformRunnerSettings runner;
        runner.id = "r" + std::to_string(i + 1);
        runner.service = "llm";
        runner.slots = RunnerSlots;
        runner.memoryMegabytes = RunnerMegabytes;
        runner.adapterSlots = AdapterSlots;
        runner.models = m_models;
        runner.initialModels = {m_models[static_cast<std::size_t>(i) % m_models.size()].name};
        m_runners.push_back(std::make_unique<PlatformRunner>(clock, m_store, runner));
    }
    for (int i = 0; i < settings.instances; ++i) {
        PlatformRunnerSettings instance;
        instance.id = "p" + std::to_string(i + 1);
        instance.service = "ledger";
        instance.isRunner = false;
        m_runners.push_back(std::make_unique<PlatformRunner>(clock, m_store, instance));
    }
    if (settings.runners + settings.instances > 0) {
        writeTraffic();
    }
}

auto PlatformSite::document() const -> Json
{
    Json models = Json::array();
    for (const auto &model : m_models) {
        models.push_back({{"name", model.name},
                          {"weights_mb", model.weightsMegabytes},
                          {"load_s", model.loadTime.inSeconds()},
                          {"adapters", model.adapters},
                          {"adapter_mb", 50},
                          {"warm_s", model.loadTime.inSeconds()},
                          {"disk_s", model.loadTime.inSeconds()}});
    }
    const Json engine {{"slots", RunnerSlots},
                       {"kv_capacity", 100000},
                       {"models", models},
                       {"weights_mb", RunnerMegabytes},
                       {"adapter_slots", AdapterSlots},
                       {"loads_per_s", 20}};
    Json resumable = route("tell", "/tell/", "streaming", "llm", m_timeoutMillis);
    resumable["resumable"] = true;
    Json open = route("open", "/open/", "idempotent", "ledger", m_timeoutMillis);
    open["anonymous"] = true;
    Json routes = Json::array({route("chat", "/chat/", "streaming", "llm", m_timeoutMillis),
                               resumable,
                               route("read", "/read/", "idempotent", "ledger", m_timeoutMillis),
                               open,
                               route("write", "/write/", "non_idempotent", "ledger", m_timeoutMillis)});
    if (m_hasExtraRoute) {
        routes.push_back(route("extra", "/extra/", "idempotent", "ledger", m_timeoutMillis));
    }
    Json whole {{"version", m_version},
                {"routes", routes},
                {"services",
                 Json::array({{{"name", "llm"}, {"health_path", "/healthz"}, {"max_conns", 100}, {"engine", engine}},
                              {{"name", "ledger"}, {"health_path", "/healthz"}, {"max_conns", 100}}})},
                {"limits", m_limits},
                {"a-field-from-the-future", {{"nested", true}}}};
    if (!m_accounts.is_null()) {
        whole["tenants"] = m_accounts;
    }
    return whole;
}

auto PlatformSite::writeTraffic() -> void
{
    m_version += 3; // versions aren't consecutive
    m_store.put("op", "config", document().dump());
}

auto PlatformSite::ports() const -> Json
{
    Json all {{"store", m_store.port()}, {"runners", Json::object()}};
    for (const auto &runner : m_runners) {
        all["runners"][runner->id()] = runner->port();
    }
    return all;
}

auto PlatformSite::truth() const -> Json
{
    Json all {{"store", m_store.truth()}, {"runners", Json::object()}, {"version", m_version}};
    std::map<std::string, int> runs;
    std::uint64_t overcommits = 0;
    for (const auto &runner : m_runners) {
        auto runnerTruth = runner->truth();
        for (const auto &[attempt, count] : runnerTruth["runs"].items()) {
            runs[attempt] += count.get<int>();
        }
        overcommits += runnerTruth["overfull"].get<std::uint64_t>();
        all["runners"][runner->id()] = std::move(runnerTruth);
    }
    all["runs"] = runs;
    all["overfull"] = overcommits;
    return all;
}

auto PlatformSite::command(const Json &command) -> bool
{
    const auto part = command.value("part", std::string());
    if (part == "store") {
        return m_store.setMode(command.value("mode", std::string()));
    }
    if (part == "row") {
        const auto put = command.value("asWritten", false) ? &PlatformStore::putAsWritten : &PlatformStore::put;
        const auto bytes = command.value("bytes", std::vector<int>()); // a value that isn't UTF-8
        const auto value = bytes.empty() ? command.value("value", std::string()) : std::string(bytes.begin(), bytes.end());
        (m_store.*put)(command.value("table", std::string("servers")), command.value("key", std::string()), value);
        return true;
    }
    if (part == "operator") {
        const auto change = command.value("change", std::string());
        m_hasExtraRoute = change == "add-route" || (change != "drop-route" && m_hasExtraRoute);
        m_accounts = change == "accounts" ? command.value("accounts", Json()) : m_accounts;
        if (change == "limits") {
            m_limits.update(command.value("limits", Json::object()));
        }
        m_timeoutMillis = change == "timeout" ? command.value("ms", m_timeoutMillis) : m_timeoutMillis;
        writeTraffic();
        return true;
    }
    if (part != "runner") {
        return false;
    }
    const auto id = command.value("id", std::string());
    bool known = false;
    for (const auto &runner : m_runners) {
        if (id.empty() || runner->id() == id) {
            known = runner->command(command) || known;
        }
    }
    return known;
}

} // namespace KingCup
