#include "settings/daemonsettings.h"

#include "settings/inifile.h"
#include "settings/valueparsers.h"

#include <algorithm>
#include <functional>

namespace KingCup
{

namespace
{

/// One key: its description and its parser. `store` parses the text into the settings and returns an error message, empty if
/// the text is valid.
struct SettingSpec {
    SettingDescription description;
    std::function<std::string(DaemonSettings &, const std::string &)> store;
};

/// Builds the table of keys, section by section.
class SpecBuilder
{
public:
    auto section(std::string name) -> SpecBuilder &
    {
        m_section = std::move(name);
        return *this;
    }

    using IntegerSetter = std::function<void(DaemonSettings &, std::int64_t)>;
    struct IntegerRange {
        std::int64_t min;
        std::int64_t max;
    };
    auto integer(
        const std::string &key, const std::string &unit, IntegerRange range, std::int64_t defaultValue, const std::string &meaning, const IntegerSetter &set)
        -> SpecBuilder &
    {
        const auto rangeText = std::to_string(range.min) + " to " + std::to_string(range.max);
        return add({m_section, key, "integer", unit, rangeText, std::to_string(defaultValue), meaning}, [=](DaemonSettings &settings, const std::string &text) {
            const auto parsed = parseInteger(text, range.min, range.max);
            set(settings, parsed.value);
            return parsed.error;
        });
    }

    using RealSetter = std::function<void(DaemonSettings &, double)>;
    struct RealRange {
        double min;
        double max;
    };
    auto
    real(const std::string &key, const std::string &unit, RealRange range, const std::string &defaultValue, const std::string &meaning, const RealSetter &set)
        -> SpecBuilder &
    {
        const auto rangeText = numberText(range.min) + " to " + numberText(range.max);
        return add({m_section, key, "number", unit, rangeText, defaultValue, meaning}, [=](DaemonSettings &settings, const std::string &text) {
            const auto parsed = parseDecimal(text, range.min, range.max);
            set(settings, parsed.value);
            return parsed.error;
        });
    }

    using EndpointSetter = std::function<void(DaemonSettings &, const Endpoint &)>;
    auto endpoint(const std::string &key, const std::string &meaning, const EndpointSetter &set) -> SpecBuilder &
    {
        return add({m_section, key, "endpoint", "", "IP:PORT", "", meaning}, [=](DaemonSettings &settings, const std::string &text) {
            const auto parsed = parseEndpoint(text);
            set(settings, parsed.value);
            return parsed.error;
        });
    }

    using BoolSetter = std::function<void(DaemonSettings &, bool)>;
    auto boolean(const std::string &key, bool defaultValue, const std::string &meaning, const BoolSetter &set) -> SpecBuilder &
    {
        return add({m_section, key, "boolean", "", "true, false", defaultValue ? "true" : "false", meaning},
                   [=](DaemonSettings &settings, const std::string &text) {
                       const auto parsed = parseBool(text);
                       set(settings, parsed.value);
                       return parsed.error;
                   });
    }

    using WordSetter = std::function<void(DaemonSettings &, std::size_t)>;
    /// `words` are in the order of the enumeration's values. `defaultValue` is empty if the key is required.
    auto
    choice(const std::string &key, const std::vector<std::string> &words, const std::string &defaultValue, const std::string &meaning, const WordSetter &set)
        -> SpecBuilder &
    {
        return add({m_section, key, "choice", "", wordList(words), defaultValue, meaning}, [=](DaemonSettings &settings, const std::string &text) {
            const auto parsed = parseWord(text, words);
            set(settings, parsed.value);
            return parsed.error;
        });
    }

    using TextSetter = std::function<void(DaemonSettings &, const std::string &)>;
    auto name(const std::string &key, const std::string &meaning, const TextSetter &set) -> SpecBuilder &
    {
        return add({m_section, key, "name", "", "letters, digits, - _ . @", "", meaning}, [=](DaemonSettings &settings, const std::string &text) {
            const auto parsed = parseName(text);
            set(settings, parsed.value);
            return parsed.error;
        });
    }
    auto path(const std::string &key, const std::string &meaning, const TextSetter &set) -> SpecBuilder &
    {
        return add({m_section, key, "path", "", "", "", meaning}, [=](DaemonSettings &settings, const std::string &text) {
            set(settings, text);
            return std::string();
        });
    }

    auto build() -> std::vector<SettingSpec>
    {
        return std::move(m_specs);
    }

private:
    auto add(SettingDescription description, std::function<std::string(DaemonSettings &, const std::string &)> store) -> SpecBuilder &
    {
        m_specs.push_back({std::move(description), std::move(store)});
        return *this;
    }

    std::string m_section;
    std::vector<SettingSpec> m_specs;
};

constexpr std::int64_t BytesPerKilobyte = 1024;
constexpr std::int64_t HourInMillis = 3600000;

using Settings = DaemonSettings;

auto addProcess(SpecBuilder &table) -> void
{
    table.section("process")
        .choice("role",
                {"entry", "agent", "gateway"},
                "",
                "what this process is: entry on an entry host, agent in a target's slot, gateway on an entry host where targets have no agents",
                [](Settings &s, std::size_t index) { s.process.role = static_cast<ProcessRole>(index); })
        .name("id", "of the entry, or of the target that the agent stands beside", [](Settings &s, const std::string &text) { s.process.id = text; })
        .name("zone", "availability zone of this host", [](Settings &s, const std::string &text) { s.process.zone = ZoneName(text); })
        .path("operator-module",
              "file of the operators' gRPC module; default: kingcup-operator.so beside the executable",
              [](Settings &s, const std::string &text) { s.process.operatorModule = text; });
}

auto addListen(SpecBuilder &table) -> void
{
    table.section("listen")
        .endpoint("callers", "entries: HTTP for callers, with /metrics, /healthz and /readyz", [](Settings &s, const Endpoint &e) { s.listen.callers = e; })
        .endpoint("peers",
                  "both roles: for the system's other processes; an agent's is also the lock of its slot",
                  [](Settings &s, const Endpoint &e) { s.listen.peers = e; })
        .endpoint("operators", "entries: gRPC for operators; absent: none", [](Settings &s, const Endpoint &e) { s.listen.operators = e; })
        .endpoint("metrics",
                  "agents and gateways: HTTP for /metrics, /healthz and /readyz; absent: none",
                  [](Settings &s, const Endpoint &e) { s.listen.metrics = e; })
        .endpoint("ready", "gateways: answers 200 while new connections are welcome", [](Settings &s, const Endpoint &e) { s.listen.ready = e; });
}

auto addPlatform(SpecBuilder &table) -> void
{
    table.section("platform")
        .endpoint("table", "transactional table service", [](Settings &s, const Endpoint &e) { s.platform.table = e; })
        .endpoint("objects", "object store", [](Settings &s, const Endpoint &e) { s.platform.objects = e; })
        .endpoint("hosts", "list of live and leaving hosts", [](Settings &s, const Endpoint &e) { s.platform.hosts = e; })
        .endpoint("store", "gateways: rows that last, watched and changed under conditions", [](Settings &s, const Endpoint &e) { s.platform.store = e; });
}

auto addTarget(SpecBuilder &table) -> void
{
    table.section("target")
        .endpoint("engine", "agents: the engine of the runner, or the plain service's instance", [](Settings &s, const Endpoint &e) { s.target.engine = e; })
        .choice("kind",
                {"runner", "plain"},
                "runner",
                "agents: an engine with an accelerator, or an instance of a plain service",
                [](Settings &s, std::size_t index) { s.target.kind = static_cast<TargetKind>(index); })
        .name("service", "agents: the service that the target is for; default: as its declaration says", [](Settings &s, const std::string &text) {
            s.target.service = ServiceName(text);
        });
}

auto addTls(SpecBuilder &table) -> void
{
    table.section("tls")
        .path("certificate", "PEM file of this process's certificate chain", [](Settings &s, const std::string &text) { s.tls.files.certificate = text; })
        .path("key", "PEM file of its private key", [](Settings &s, const std::string &text) { s.tls.files.key = text; })
        .path("authority",
              "PEM file of the authority that signs the certificates of the system's processes and operators",
              [](Settings &s, const std::string &text) { s.tls.files.authority = text; })
        .boolean("callers", false, "entries: TLS for callers", [](Settings &s, bool on) { s.tls.callers = on; })
        .boolean("peers", false, "TLS between the system's processes, both sides verified", [](Settings &s, bool on) { s.tls.peers = on; })
        .boolean("operators", false, "entries: TLS for operators, both sides verified", [](Settings &s, bool on) { s.tls.operators = on; });
}

auto addLimits(SpecBuilder &table) -> void
{
    constexpr std::int64_t MaxKilobytes = 1 << 20;
    constexpr double MaxMegabytes = 1 << 24;
    constexpr double BytesPerMegabyte = 1e6;
    constexpr std::int64_t MaxConnections = 1000000;
    constexpr std::int64_t MinMillis = 1;
    table.section("limits")
        .integer("max-body-kb",
                 "KiB",
                 {1, MaxKilobytes},
                 8192,
                 "a caller's request body; larger ones are refused",
                 [](Settings &s, std::int64_t n) { s.limits.maxBody = static_cast<std::size_t>(n * BytesPerKilobyte); })
        .real("memory-mb",
              "MB",
              {0, MaxMegabytes},
              "0",
              "memory that this process may use, which bounds what callers make it hold; 0: that of the host",
              [](Settings &s, double n) { s.limits.memory = static_cast<std::uint64_t>(n * BytesPerMegabyte); })
        .integer("max-descriptors",
                 "",
                 {0, MaxConnections},
                 0,
                 "open files that this process may have; callers get seven tenths at most; 0: the process's own limit",
                 [](Settings &s, std::int64_t n) { s.limits.maxDescriptors = static_cast<std::size_t>(n); })
        .integer("max-connections",
                 "",
                 {1, MaxConnections},
                 4096,
                 "callers' connections at once; further ones wait until an idle or stalled one can be closed",
                 [](Settings &s, std::int64_t n) { s.limits.maxConnections = static_cast<int>(n); })
        .integer("max-queue",
                 "",
                 {1, MaxConnections},
                 4096,
                 "requests waiting in one entry; further ones are refused as not run",
                 [](Settings &s, std::int64_t n) { s.limits.maxQueue = static_cast<int>(n); })
        .integer("stream-buffer-kb",
                 "KiB",
                 {1, MaxKilobytes},
                 256,
                 "kept for one stream before its source is held back",
                 [](Settings &s, std::int64_t n) { s.limits.streamBuffer = static_cast<std::size_t>(n * BytesPerKilobyte); })
        .integer("request-budget-ms",
                 "ms",
                 {MinMillis, HourInMillis},
                 30000,
                 "time for a request where neither caller nor service names one",
                 [](Settings &s, std::int64_t n) { s.limits.requestBudget = Duration::millis(n); })
        .integer("header-timeout-ms",
                 "ms",
                 {MinMillis, HourInMillis},
                 10000,
                 "a caller that sends the head of its request slower, or pauses longer within its body, gets 408",
                 [](Settings &s, std::int64_t n) { s.limits.headerTimeout = Duration::millis(n); })
        .integer("max-decisions", "", {0, MaxConnections}, 2000, "recent decisions kept for kingcupctl explain", [](Settings &s, std::int64_t n) {
            s.limits.maxDecisions = static_cast<int>(n);
        });
}

auto addPolicy(SpecBuilder &table) -> void
{
    table.section("policy")
        .choice("placement",
                {"objective", "static", "on-demand"},
                "objective",
                "how copies are planned; static and on-demand are baselines for measurements",
                [](Settings &s, std::size_t index) { s.policy.placement = static_cast<PlacementPolicy>(index); })
        .choice("routing",
                {"objective", "round-robin", "least-loaded"},
                "objective",
                "how a target is chosen; round-robin and least-loaded are baselines for measurements",
                [](Settings &s, std::size_t index) { s.policy.routing = static_cast<RoutingPolicy>(index); });
}

auto addLog(SpecBuilder &table) -> void
{
    constexpr std::int64_t MaxVerbosity = 9;
    table.section("log")
        .path("directory", "folder of the log files; absent: standard error", [](Settings &s, const std::string &text) { s.log.directory = text; })
        .integer("verbosity", "", {0, MaxVerbosity}, 0, "higher shows more of what the parts do", [](Settings &s, std::int64_t n) {
            s.log.verbosity = static_cast<int>(n);
        });
}

auto addTiming(SpecBuilder &table) -> void
{
    constexpr std::int64_t MinPeriod = 10;
    constexpr std::int64_t DayInSeconds = 86400;
    table.section("timing")
        .integer("heartbeat-ms",
                 "ms",
                 {MinPeriod, HourInMillis},
                 500,
                 "between pings on a control stream",
                 [](Settings &s, std::int64_t n) { s.timing.heartbeat = Duration::millis(n); })
        .integer("suspect-ms",
                 "ms",
                 {MinPeriod, HourInMillis},
                 2000,
                 "silence on a control stream after which the other side gets no new work",
                 [](Settings &s, std::int64_t n) { s.timing.suspectAfter = Duration::millis(n); })
        .integer("report-ms",
                 "ms",
                 {MinPeriod, HourInMillis},
                 500,
                 "agents: between load reports",
                 [](Settings &s, std::int64_t n) { s.timing.report = Duration::millis(n); })
        .integer("hosts-poll-ms",
                 "ms",
                 {MinPeriod, HourInMillis},
                 1000,
                 "between reads of the host list",
                 [](Settings &s, std::int64_t n) { s.timing.hostsPoll = Duration::millis(n); })
        .integer("config-poll-ms",
                 "ms",
                 {MinPeriod, HourInMillis},
                 1000,
                 "entries: between reads of the change log's tail",
                 [](Settings &s, std::int64_t n) { s.timing.configPoll = Duration::millis(n); })
        .integer("plan-period-ms",
                 "ms",
                 {MinPeriod, HourInMillis},
                 1000,
                 "entries: between placement decisions",
                 [](Settings &s, std::int64_t n) { s.timing.planPeriod = Duration::millis(n); })
        .integer("drain-limit-s",
                 "s",
                 {1, DayInSeconds},
                 600,
                 "a planned stop that takes longer gives up and logs what it cut off",
                 [](Settings &s, std::int64_t n) { s.timing.drainLimit = Duration::seconds(static_cast<double>(n)); });
}

auto addGateway(SpecBuilder &table) -> void
{
    constexpr double MaxProcessorShare = 1024;
    constexpr double MaxAllowance = 100000;
    constexpr std::int64_t MinLeaseMillis = 100;
    constexpr std::int64_t MinuteInMillis = 60000;
    constexpr std::int64_t HourInSeconds = 3600;
    table.section("gateway")
        .real("retry-ratio",
              "",
              {0, 1},
              "0.2",
              "sends beyond the first of a request, as a share of all requests",
              [](Settings &s, double n) { s.gateway.retryRatio = n; })
        .integer("retry-window-s",
                 "s",
                 {1, HourInSeconds},
                 10,
                 "the span over which that share is taken",
                 [](Settings &s, std::int64_t n) { s.gateway.retryWindow = Duration::seconds(static_cast<double>(n)); })
        .real("retry-allowance",
              "",
              {0, MaxAllowance},
              "50",
              "such sends in a window beyond the share, of all gateways together",
              [](Settings &s, double n) { s.gateway.retryAllowance = n; })
        .boolean("slot-permits",
                 false,
                 "requests whose targets are all full wait in one queue for each target, if accounts have token limits; the same at all gateways",
                 [](Settings &s, bool on) { s.gateway.hasSlotPermits = on; })
        .integer("lease-ms",
                 "ms",
                 {MinLeaseMillis, MinuteInMillis},
                 3000,
                 "how long one gateway may give orders to runners without renewing its lease",
                 [](Settings &s, std::int64_t n) { s.gateway.lease = Duration::millis(n); })
        .integer("stop-limit-s",
                 "s",
                 {1, HourInSeconds},
                 8,
                 "from the request to stop until the process is killed",
                 [](Settings &s, std::int64_t n) { s.gateway.stopLimit = Duration::seconds(static_cast<double>(n)); })
        .integer("load-window-s",
                 "s",
                 {1, HourInSeconds},
                 5,
                 "the span over which loads from the weight store are counted",
                 [](Settings &s, std::int64_t n) { s.gateway.loadWindowSeconds = static_cast<int>(n); })
        .real("load-overshoot",
              "",
              {1, 10},
              "1",
              "factor on the loads that the weight store allows in that span",
              [](Settings &s, double n) { s.gateway.loadOvershoot = n; })
        .real("processor-share",
              "",
              {0, MaxProcessorShare},
              "1",
              "cores of the host that are this process's own",
              [](Settings &s, double n) { s.gateway.processorShare = n; })
        .integer("revocation-limit-ms",
                 "ms",
                 {0, HourInMillis},
                 0,
                 "a revoked key is out of force so soon, also on a gateway that is cut off from the store; 0: on those that reach it only",
                 [](Settings &s, std::int64_t n) { s.gateway.revocationLimit = Duration::millis(n); });
}

auto specs() -> const std::vector<SettingSpec> &
{
    static const std::vector<SettingSpec> Table = [] {
        SpecBuilder builder;
        addProcess(builder);
        addListen(builder);
        addPlatform(builder);
        addTarget(builder);
        addTls(builder);
        addLimits(builder);
        addPolicy(builder);
        addLog(builder);
        addTiming(builder);
        addGateway(builder);
        return builder.build();
    }();
    return Table;
}

auto findSpec(const std::string &section, const std::string &key) -> const SettingSpec *
{
    const auto &table = specs();
    const auto found
        = std::find_if(table.begin(), table.end(), [&](const SettingSpec &spec) { return spec.description.section == section && spec.description.key == key; });
    return found == table.end() ? nullptr : &*found;
}

auto isKnownSection(const std::string &name) -> bool
{
    return std::any_of(specs().begin(), specs().end(), [&](const SettingSpec &spec) { return spec.description.section == name; });
}

auto storeDefaults(DaemonSettings &settings) -> void
{
    for (const auto &spec : specs()) {
        if (!spec.description.defaultValue.empty()) {
            spec.store(settings, spec.description.defaultValue);
        }
    }
}

auto storeSection(const IniFile &file, const IniSection &section, Checked<DaemonSettings> &result) -> void
{
    if (!isKnownSection(section.name)) {
        result.findings.push_back({{file.path, section.line}, "unknown section [" + section.name + "]"});
        return;
    }
    for (const auto &value : section.values) {
        const SourceLocation place {file.path, value.line};
        const auto *spec = findSpec(section.name, value.key);
        if (spec == nullptr) {
            result.findings.push_back({place, "unknown key '" + value.key + "' in [" + section.name + "]"});
            continue;
        }
        const auto error = spec->store(result.value, value.value);
        if (!error.empty()) {
            result.findings.push_back({place, value.key + ": " + error});
        }
    }
}

/// The keys that a role requires, besides `role` itself.
auto requiredKeys(ProcessRole role) -> std::vector<SettingDescription>
{
    std::vector<SettingDescription> keys {
        {.section = "process", .key = "id"},
        {.section = "process", .key = "zone"},
        {.section = "listen", .key = "peers"},
    };
    if (role == ProcessRole::Gateway) {
        keys.push_back({.section = "platform", .key = "store"});
    } else {
        keys.push_back({.section = "platform", .key = "table"});
        keys.push_back({.section = "platform", .key = "objects"});
        keys.push_back({.section = "platform", .key = "hosts"});
    }
    if (role == ProcessRole::Agent) {
        keys.push_back({.section = "target", .key = "engine"});
    } else {
        keys.push_back({.section = "listen", .key = "callers"});
    }
    return keys;
}

auto isGiven(const IniFile &file, const std::string &sectionName, const std::string &key) -> bool
{
    return std::any_of(file.sections.begin(), file.sections.end(), [&](const IniSection &section) {
        const auto isKey = [&](const IniValue &value) {
            return value.key == key;
        };
        return section.name == sectionName && std::any_of(section.values.begin(), section.values.end(), isKey);
    });
}

auto checkRequired(const IniFile &file, Checked<DaemonSettings> &result) -> void
{
    if (!isGiven(file, "process", "role")) {
        result.findings.push_back({{file.path, 0}, "key 'role' in [process] is missing"});
        return;
    }
    for (const auto &required : requiredKeys(result.value.process.role)) {
        if (!isGiven(file, required.section, required.key)) {
            result.findings.push_back({{file.path, 0}, "key '" + required.key + "' in [" + required.section + "] is missing"});
        }
    }
}

auto checkTls(const IniFile &file, Checked<DaemonSettings> &result) -> void
{
    const auto &tls = result.value.tls;
    if (!tls.callers && !tls.peers && !tls.operators) {
        return;
    }
    if (tls.files.certificate.empty() || tls.files.key.empty()) {
        result.findings.push_back({{file.path, 0}, "TLS needs the keys 'certificate' and 'key' in [tls]"});
    }
    if ((tls.peers || tls.operators) && tls.files.authority.empty()) {
        result.findings.push_back({{file.path, 0}, "TLS for peers or operators needs the key 'authority' in [tls]"});
    }
}

} // namespace

auto parseDaemonSettings(const std::string &path, const std::string &text) -> Checked<DaemonSettings>
{
    auto parsed = parseIni(path, text);
    Checked<DaemonSettings> result;
    result.findings = std::move(parsed.findings);
    storeDefaults(result.value);
    for (const auto &section : parsed.value.sections) {
        storeSection(parsed.value, section, result);
    }
    checkRequired(parsed.value, result);
    checkTls(parsed.value, result);
    std::stable_sort(result.findings.begin(), result.findings.end(), [](const Finding &a, const Finding &b) { return a.location.line < b.location.line; });
    return result;
}

auto loadDaemonSettings(const std::string &path) -> Checked<DaemonSettings>
{
    const auto text = readTextFile(path);
    if (!text) {
        return {{}, {{{path, 0}, "file can't be read"}}};
    }
    auto result = parseDaemonSettings(path, *text);
    const auto &files = result.value.tls.files;
    for (const auto &file : {files.certificate, files.key, files.authority}) {
        if (!file.empty() && !readTextFile(file)) {
            result.findings.push_back({{path, 0}, "file '" + file + "' named in [tls] can't be read"});
        }
    }
    return result;
}

auto settingDescriptions() -> std::vector<SettingDescription>
{
    std::vector<SettingDescription> descriptions;
    for (const auto &spec : specs()) {
        descriptions.push_back(spec.description);
    }
    return descriptions;
}

} // namespace KingCup
