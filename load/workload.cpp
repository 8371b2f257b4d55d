#include "workload.h"

#include "settings/inifile.h"
#include "settings/valueparsers.h"

#include <functional>
#include <map>

namespace KingCup
{

namespace
{

constexpr double MaxValue = 1e9;
constexpr double MicrosPerMilli = 1000;

/// Reads one value. Returns an error text, or an empty text if the value is valid.
using Reader = std::function<std::string(const std::string &text)>;
using Readers = std::map<std::string, Reader>;

auto readNumber(double &target, double factor = 1) -> Reader
{
    return [&target, factor](const std::string &text) {
        const auto parsed = parseDecimal(text, 0, MaxValue);
        target = parsed.value * factor;
        return parsed.error;
    };
}

auto readInteger(int &target) -> Reader
{
    return [&target](const std::string &text) {
        const auto parsed = parseInteger(text, 0, static_cast<std::int64_t>(MaxValue));
        target = static_cast<int>(parsed.value);
        return parsed.error;
    };
}

auto readSeconds(Duration &target) -> Reader
{
    return [&target](const std::string &text) {
        const auto parsed = parseDecimal(text, 0, MaxValue);
        target = Duration::seconds(parsed.value);
        return parsed.error;
    };
}

auto readMillis(Duration &target) -> Reader
{
    return [&target](const std::string &text) {
        const auto parsed = parseDecimal(text, 0, MaxValue);
        target = Duration::micros(static_cast<std::int64_t>(parsed.value * MicrosPerMilli));
        return parsed.error;
    };
}

auto readText(std::string &target) -> Reader
{
    return [&target](const std::string &text) {
        target = text;
        return std::string();
    };
}

auto readFlag(bool &target) -> Reader
{
    return [&target](const std::string &text) {
        const auto parsed = parseBool(text);
        target = parsed.value;
        return parsed.error;
    };
}

auto readKind(bool &isModel) -> Reader
{
    return [&isModel](const std::string &text) {
        const auto parsed = parseWord(text, {"model", "plain"});
        isModel = parsed.value == 0;
        return parsed.error;
    };
}

auto readPriority(Priority &target) -> Reader
{
    return [&target](const std::string &text) {
        const auto priority = priorityFromString(text);
        target = priority.value_or(Priority::Standard);
        return priority ? std::string() : "not a priority";
    };
}

auto readersOf(RequestClass &requestClass) -> Readers
{
    return {{"kind", readKind(requestClass.isModel)},
            {"priority", readPriority(requestClass.priority)},
            {"per-second", readNumber(requestClass.perSecond)},
            {"method", readText(requestClass.method)},
            {"path", readText(requestClass.path)},
            {"body", readText(requestClass.body)},
            {"once", readFlag(requestClass.runsOnce)},
            {"prompt-tokens", readInteger(requestClass.promptTokens)},
            {"shared-tokens", readInteger(requestClass.sharedTokens)},
            {"output-tokens", readInteger(requestClass.outputTokens)},
            {"first-token-ms", readMillis(requestClass.firstToken)},
            {"gap-ms", readMillis(requestClass.gap)},
            {"whole-ms", readMillis(requestClass.whole)},
            {"budget-ms", readMillis(requestClass.budget)}};
}

auto readersOf(const std::string &section, Workload &load) -> Readers
{
    if (section == "run") {
        return {{"seed",
                 [&load](const std::string &text) {
                     const auto parsed = parseInteger(text, 0, static_cast<std::int64_t>(MaxValue));
                     load.seed = static_cast<std::uint64_t>(parsed.value);
                     return parsed.error;
                 }},
                {"duration-s", readSeconds(load.duration)},
                {"warmup-s", readSeconds(load.warmup)},
                {"rate", readNumber(load.rate)},
                {"accelerators", readInteger(load.accelerators)}};
    }
    if (section == "popularity") {
        return {{"zipf", readNumber(load.zipf)}};
    }
    if (section == "bursts") {
        return {{"at-once", readInteger(load.bursts.concurrent)},
                {"factor", readNumber(load.bursts.factor)},
                {"shortest-s", readSeconds(load.bursts.shortest)},
                {"longest-s", readSeconds(load.bursts.longest)},
                {"among", readInteger(load.bursts.candidateNames)}};
    }
    if (section == "day") {
        return {{"period-s", readSeconds(load.dayPeriod)}, {"amplitude", readNumber(load.dayAmplitude)}};
    }
    if (section == "callers") {
        return {{"resend", readNumber(load.resendShare)}, {"crash", readNumber(load.crashShare)}};
    }
    return {};
}

auto readSection(const IniSection &section, const Readers &readers, const std::string &path, Findings &findings) -> void
{
    for (const auto &value : section.values) {
        const auto reader = readers.find(value.key);
        if (reader == readers.end()) {
            findings.push_back({{path, value.line}, "[" + section.name + "] has no key '" + value.key + "'"});
        } else if (const auto error = reader->second(value.value); !error.empty()) {
            findings.push_back({{path, value.line}, value.key + ": " + error});
        }
    }
}

} // namespace

auto loadWorkload(const std::string &path) -> Checked<Workload>
{
    auto file = readIniFile(path);
    Checked<Workload> result;
    result.findings = file.findings;
    const std::string classPrefix = "class ";
    const std::string faultPrefix = "fault ";
    for (const auto &section : file.value.sections) {
        if (section.name.starts_with(classPrefix)) {
            auto &requestClass = result.value.classes.emplace_back();
            requestClass.name = section.name.substr(classPrefix.size());
            readSection(section, readersOf(requestClass), path, result.findings);
        } else if (section.name.starts_with(faultPrefix)) {
            auto &fault = result.value.faults.emplace_back();
            fault.name = section.name.substr(faultPrefix.size());
            readSection(section, {{"at-s", readSeconds(fault.at)}, {"command", readText(fault.command)}}, path, result.findings);
        } else if (auto readers = readersOf(section.name, result.value); !readers.empty()) {
            readSection(section, readers, path, result.findings);
        } else {
            result.findings.push_back({{path, section.line}, "no section [" + section.name + "]"});
        }
    }
    return result;
}

} // namespace KingCup
