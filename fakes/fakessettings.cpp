#include "fakessettings.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace KingCup
{

namespace
{

namespace Options = boost::program_options;

constexpr double BytesPerGigabyte = 1e9;

/// Values of the options before their conversion to typed settings.
struct RawSettings {
    FakesSettings settings;
    double memoryGigabytes = 80;
    double loadGigabytesPerSecond = 3;
    double stepMillis = 12;
    double stepPerStreamMillis = 0.25;
    int restartMillis = 15000;
    int minOrderDelayMillis = 5;
    int maxOrderDelayMillis = 50;
    int maxLateOrderDelayMillis = 10000;
    int reportMillis = 500;
    int reportLagMillis = 300;
    int minEventDelayMillis = 500;
    int maxEventDelayMillis = 2000;
    double readMillis = 15;
    double writeMillis = 30;
    double tableMillis = 4;
    double objectMillis = 5;
    int hostLagMillis = 2000;
    std::string services;
    std::vector<std::string> hosts;
};

template<typename T>
auto withDefault(T &target) -> Options::typed_value<T> *
{
    return Options::value<T>(&target)->default_value(target);
}

auto describe(RawSettings &raw) -> Options::options_description
{
    auto &s = raw.settings;
    Options::options_description all("Fakes of the platform and the targets. All durations are simulated time");
    auto add = all.add_options();
    add("base-port", withDefault(s.basePort), "admin port; the others are at fixed offsets (see fakes/README.md); 0: the operating system chooses all ports");
    add("time-scale", withDefault(s.timeScale), "speed-up factor over real time");
    add("seed", withDefault(s.seed), "seed of all random choices");
    add("engine.count", withDefault(s.engineCount), "");
    add("engine.prefix", withDefault(s.enginePrefix), "ids are PREFIX1, PREFIX2, ...");
    add("engine.fencing", withDefault(s.fencing), "checked, ignored or alternate");
    add("engine.memory-gb", withDefault(raw.memoryGigabytes), "");
    add("engine.kv-least", withDefault(s.engine.kvReserveShare), "share of the memory that is reserved for the KV cache");
    add("engine.restart-ms", withDefault(raw.restartMillis), "time from a crash until the engine listens again");
    add("engine.order-least-ms", withDefault(raw.minOrderDelayMillis), "");
    add("engine.order-most-ms", withDefault(raw.maxOrderDelayMillis), "");
    add("engine.order-lose-rate", withDefault(s.engine.orderLoseRate), "");
    add("engine.order-drop-answer-rate", withDefault(s.engine.orderDropAnswerRate), "");
    add("engine.order-late-rate", withDefault(s.engine.orderLateRate), "");
    add("engine.order-late-most-ms", withDefault(raw.maxLateOrderDelayMillis), "");
    add("engine.report-ms", withDefault(raw.reportMillis), "");
    add("engine.report-lag-ms", withDefault(raw.reportLagMillis), "");
    add("engine.event-least-ms", withDefault(raw.minEventDelayMillis), "");
    add("engine.event-most-ms", withDefault(raw.maxEventDelayMillis), "");
    add("engine.event-drop-rate", withDefault(s.engine.events.dropRate), "");
    add("engine.step-ms", withDefault(raw.stepMillis), "");
    add("engine.step-per-stream-ms", withDefault(raw.stepPerStreamMillis), "");
    add("engine.max-streams", withDefault(s.engine.batch.maxStreams), "");
    add("engine.prefill-tokens-per-second", withDefault(s.engine.batch.prefillTokensPerSecond), "");
    add("engine.prefill-chunk", withDefault(s.engine.batch.prefillChunk), "most prefill tokens in one step beside decoding");
    add("engine.kv-bytes-per-token", withDefault(s.engine.batch.kvBytesPerToken), "");
    add("weights.loads-per-second", withDefault(s.weights.loadsPerSecond), "");
    add("weights.parallel", withDefault(s.weights.parallelLoads), "concurrent loads at full speed");
    add("weights.gb-per-second", withDefault(raw.loadGigabytesPerSecond), "full speed of one load");
    add("table.writes-per-second", withDefault(s.table.writesPerSecond), "");
    add("table.reads-per-second", withDefault(s.table.readsPerSecond), "");
    add("table.latency-ms", withDefault(raw.tableMillis), "");
    add("objects.latency-ms", withDefault(raw.objectMillis), "");
    add("hosts.lag-ms", withDefault(raw.hostLagMillis), "");
    add("hosts.host", Options::value(&raw.hosts)->composing(), "ID,ROLE,ZONE,ADDRESS; may be repeated");
    add("service.groups", withDefault(raw.services), "NAME:COUNT,...");
    add("service.read-ms", withDefault(raw.readMillis), "");
    add("service.write-ms", withDefault(raw.writeMillis), "");
    add("service.concurrency", withDefault(s.service.concurrency), "calls that one instance runs concurrently");
    add("platform.runners", withDefault(s.platform.runners), "runners of the users' platform");
    add("platform.instances", withDefault(s.platform.instances), "instances of the platform's plain service");
    add("platform.models", withDefault(s.platform.models), "models declared on the platform");
    add("proxy.link", Options::value(&s.links)->composing(), "NAME,LISTEN-PORT,TARGET; may be repeated");
    return all;
}

auto split(const std::string &text, char separator) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

auto millis(double n) -> Duration
{
    constexpr double MicrosPerMilli = 1000;
    return Duration::micros(static_cast<std::int64_t>(n * MicrosPerMilli));
}

auto toSettings(const RawSettings &raw) -> FakesSettings
{
    auto settings = raw.settings;
    auto &engine = settings.engine;
    engine.memory = static_cast<std::int64_t>(raw.memoryGigabytes * BytesPerGigabyte);
    engine.restartDelay = millis(raw.restartMillis);
    engine.minOrderDelay = millis(raw.minOrderDelayMillis);
    engine.maxOrderDelay = millis(raw.maxOrderDelayMillis);
    engine.maxLateOrderDelay = millis(raw.maxLateOrderDelayMillis);
    engine.reportPeriod = millis(raw.reportMillis);
    engine.reportLag = millis(raw.reportLagMillis);
    engine.events.minDelay = millis(raw.minEventDelayMillis);
    engine.events.maxDelay = millis(raw.maxEventDelayMillis);
    engine.batch.stepBase = millis(raw.stepMillis);
    engine.batch.stepPerStream = millis(raw.stepPerStreamMillis);
    settings.weights.bytesPerSecond = raw.loadGigabytesPerSecond * BytesPerGigabyte;
    settings.service.readTime = millis(raw.readMillis);
    settings.service.writeTime = millis(raw.writeMillis);
    settings.table.latency = millis(raw.tableMillis);
    settings.objectLatency = millis(raw.objectMillis);
    settings.hostLag = millis(raw.hostLagMillis);
    for (const auto &group : split(raw.services, ',')) {
        const auto parts = split(group, ':');
        settings.services.push_back(ServiceGroup {parts.at(0), parts.size() > 1 ? std::stoi(parts[1]) : 1});
    }
    for (const auto &line : raw.hosts) {
        const auto parts = split(line, ',');
        settings.hosts.push_back(Host {.id = parts.at(0), .role = parts.at(1), .zone = parts.at(2), .address = parts.at(3)});
    }
    return settings;
}

} // namespace

auto fakesSettingsFrom(int argc, const char *const *argv) -> std::optional<FakesSettings>
{
    RawSettings raw;
    auto description = describe(raw);
    std::string file;
    Options::options_description commandLine;
    commandLine.add(description);
    commandLine.add_options()("help", "shows this text")("config", Options::value(&file), "INI file");
    try {
        Options::variables_map values;
        Options::store(Options::parse_command_line(argc, argv, commandLine), values);
        if (values.count("help") != 0) {
            std::cout << commandLine;
            return std::nullopt;
        }
        if (values.count("config") != 0) {
            std::ifstream in(values["config"].as<std::string>());
            if (!in) {
                std::cerr << "kingcup-fakes: cannot read " << values["config"].as<std::string>() << "\n";
                return std::nullopt;
            }
            Options::store(Options::parse_config_file(in, description), values);
        }
        Options::notify(values);
        return toSettings(raw);
    } catch (const std::exception &error) {
        std::cerr << "kingcup-fakes: " << error.what() << "\n";
        return std::nullopt;
    }
}

} // namespace KingCup
