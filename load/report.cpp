#include "report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace KingCup
{

namespace
{

using json = nlohmann::json;

constexpr double GapShare = 0.95; ///< share of a request's gaps that must be within the limit
constexpr double MicrosPerMilli = 1000;
constexpr int NameWidth = 22;
constexpr int NumberWidth = 9;

struct Tally {
    int sent = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int unknown = 0;
    int wrong = 0; ///< another request's answer, out of order, or with parts missing
    int doubled = 0; ///< run-once requests that ran more than once
    int lost = 0; ///< run-once requests that were reported as delivered, but never ran
    int falseNotRun = 0; ///< run-once requests that were reported as not run, but ran
    int resent = 0;
    std::vector<double> firstToken; ///< milliseconds
    std::vector<double> whole;
    std::map<std::string, int> codes;
};

auto isInTime(const RequestClass &requestClass, const Record &record) -> bool
{
    if (requestClass.whole.inMicros() > 0 && record.whole > requestClass.whole) {
        return false;
    }
    if (requestClass.firstToken.inMicros() > 0 && record.firstToken > requestClass.firstToken) {
        return false;
    }
    return requestClass.gap.inMicros() == 0 || record.gapsWithinLimit >= GapShare * record.gaps;
}

/// How often the request with this key ran, according to the fakes.
auto executions(const json &truth, const std::string &key) -> int
{
    const auto services = truth.find("services");
    if (services == truth.end()) {
        return 0;
    }
    int count = 0;
    for (const auto &service : *services) {
        const auto &all = service.at("executions");
        const auto found = all.find(key);
        count += found == all.end() ? 0 : found->value("count", 0);
    }
    return count;
}

auto add(Tally &tally, const RequestClass &requestClass, const Record &record, int ran) -> void
{
    ++tally.sent;
    tally.resent += record.wasResent ? 1 : 0;
    if (record.firstToken.inMicros() > 0) {
        tally.firstToken.push_back(static_cast<double>(record.firstToken.inMicros()) / MicrosPerMilli);
    }
    if (record.outcome == ObservedOutcome::Whole) {
        tally.whole.push_back(static_cast<double>(record.whole.inMicros()) / MicrosPerMilli);
    }
    const auto code = record.outcome == ObservedOutcome::None ? std::string("still-open") : record.code;
    if (!code.empty()) {
        ++tally.codes[code];
    }
    const bool isDoubled = requestClass.runsOnce && ran > 1;
    const bool isLost = requestClass.runsOnce && record.outcome == ObservedOutcome::Whole && ran == 0;
    tally.doubled += isDoubled ? 1 : 0;
    tally.lost += isLost ? 1 : 0;
    tally.falseNotRun += requestClass.runsOnce && record.saidNotRun && ran > 0 ? 1 : 0;
    switch (record.outcome) {
    case ObservedOutcome::Whole:
        ++(isInTime(requestClass, record) && !isDoubled && !isLost ? tally.inTime : tally.late);
        break;
    case ObservedOutcome::Wrong:
        ++tally.wrong;
        break;
    case ObservedOutcome::Refused:
        ++tally.refused;
        break;
    case ObservedOutcome::None:
    case ObservedOutcome::Unknown:
        ++tally.unknown;
        break;
    }
}

template<typename Number>
auto percentiles(std::vector<Number> values, double unit) -> json
{
    if (values.empty()) {
        return json::object();
    }
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        return std::round(static_cast<double>(values[index]) / unit * 10) / 10;
    };
    return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}, {"most", at(1)}};
}

auto jsonOf(const Tally &tally) -> json
{
    return {{"sent", tally.sent},
            {"inTime", tally.inTime},
            {"late", tally.late},
            {"refused", tally.refused},
            {"unknown", tally.unknown},
            {"wrong", tally.wrong},
            {"doubled", tally.doubled},
            {"lost", tally.lost},
            {"falseNotRun", tally.falseNotRun},
            {"resent", tally.resent},
            {"codes", tally.codes}};
}

auto difference(const GroundTruth &truth, const char *name) -> std::int64_t
{
    const auto read = [name](const json &all) -> std::int64_t {
        return all.contains("totals") ? all["totals"].value(name, std::int64_t(0)) : 0;
    };
    return read(truth.after) - read(truth.before);
}

auto cell(const json &number) -> std::string
{
    std::ostringstream out;
    out << std::setw(NumberWidth);
    if (number.is_number_float()) {
        out << std::fixed << std::setprecision(1) << number.get<double>();
    } else if (number.is_number()) {
        out << number.get<std::int64_t>();
    } else {
        out << "-";
    }
    return out.str();
}

auto row(const std::string &name, const json &classReport) -> std::string
{
    std::ostringstream out;
    out << std::left << std::setw(NameWidth) << name << std::right;
    for (const auto *column : {"sent", "inTime", "late", "refused", "unknown", "wrong", "doubled", "lost", "falseNotRun"}) {
        out << cell(classReport[column]);
    }
    for (const auto *times : {"firstTokenMs", "gapMs", "wholeMs"}) {
        const auto found = classReport.value(times, json::object());
        out << cell(found.value("p50", json())) << cell(found.value("p95", json())) << cell(found.value("p99", json()));
    }
    return out.str() + "\n";
}

} // namespace

auto reportOf(const Workload &workload, const Caller &caller, const GroundTruth &truth) -> json
{
    std::vector<Tally> tallies(workload.classes.size());
    Tally total;
    for (const auto &record : caller.records()) {
        if (record.arrival.at < workload.warmup) {
            continue;
        }
        const auto &requestClass = workload.classes[record.arrival.classIndex];
        const int ran = requestClass.runsOnce ? executions(truth.after, caller.keyOf(record.arrival)) : 0;
        add(tallies[record.arrival.classIndex], requestClass, record, ran);
        add(total, requestClass, record, ran);
    }
    json report;
    for (std::size_t i = 0; i < tallies.size(); ++i) {
        auto &classReport = report["classes"][workload.classes[i].name] = jsonOf(tallies[i]);
        classReport["firstTokenMs"] = percentiles(tallies[i].firstToken, 1);
        classReport["gapMs"] = percentiles(caller.gaps(i), MicrosPerMilli);
        classReport["wholeMs"] = percentiles(tallies[i].whole, 1);
    }
    report["total"] = jsonOf(total);
    const double seconds = workload.duration.inSeconds();
    report["seconds"] = seconds;
    report["accelerators"] = workload.accelerators;
    report["attainment"] = total.inTime / seconds / std::max(1, workload.accelerators);
    report["onTimeShare"] = total.sent > 0 ? static_cast<double>(total.inTime) / total.sent : 0;
    report["moves"] = difference(truth, "loads");
    report["crashes"] = difference(truth, "crashes");
    report["overcommits"] = difference(truth, "overcommits");
    report["toolLagMs"] = caller.maxSendDelay().inMillis();
    report["seed"] = workload.seed;
    report["rate"] = workload.rate;
    return report;
}

auto tableOf(const json &report) -> std::string
{
    std::ostringstream out;
    out << std::left << std::setw(NameWidth) << "class" << std::right;
    for (const auto *column : {"sent", "in time", "late", "refused", "unknown", "wrong", "doubled", "lost", "false-nr"}) {
        out << std::setw(NumberWidth) << column;
    }
    for (const auto *times : {"first", "gap", "whole"}) {
        out << std::setw(NumberWidth) << (std::string(times) + "50") << std::setw(NumberWidth) << "95" << std::setw(NumberWidth) << "99";
    }
    out << "\n";
    for (const auto &[name, classReport] : report["classes"].items()) {
        out << row(name, classReport);
    }
    out << row("total", report["total"]);
    out << std::fixed << std::setprecision(3) << "attainment per accelerator " << report["attainment"].get<double>() << "/s over " << report["accelerators"]
        << " accelerators, on time " << report["onTimeShare"].get<double>() << ", moves " << report["moves"] << ", crashes " << report["crashes"]
        << ", overcommits " << report["overcommits"] << ", this tool's own lag at most " << report["toolLagMs"] << " ms\n";
    for (const auto &[name, classReport] : report["classes"].items()) {
        for (const auto &[code, count] : classReport["codes"].items()) {
            out << "  " << name << " " << code << " " << count << "\n";
        }
    }
    return out.str();
}

} // namespace KingCup
