// kingcup-load: an open-loop load and experiment tool. Sends a workload through the entries, reads the ground truth from the fakes and prints a
// report. Exit code 0 if no request was wrong, doubled, lost or falsely reported as not run; 2 otherwise; 1 for bad input.
#include "caller.h"
#include "net/http.h"
#include "report.h"
#include "settings/declarationfile.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <glog/logging.h>
#include <iostream>

namespace
{

using namespace KingCup;
namespace Options = boost::program_options;

constexpr int ExitBadInput = 1;
constexpr int ExitBroken = 2;
constexpr auto TruthTimeout = Duration::seconds(10);
constexpr auto ReadyPoll = Duration::millis(500);

struct Arguments {
    std::string workload;
    std::string declarations;
    std::vector<std::string> entries;
    std::string truth;
    std::string json;
    std::int64_t seed = -1;
    double rate = 0;
    double duration = 0;
    double warmup = -1;
    double readySeconds = 120;
    double drainSeconds = 60;
    bool waitsForResidents = false;
};

auto readArguments(int argc, char **argv, Arguments &arguments) -> bool
{
    Options::options_description all("kingcup-load WORKLOAD --declarations FOLDER --entry IP:PORT... [--truth IP:PORT]");
    auto add = all.add_options();
    add("help", "");
    add("workload", Options::value(&arguments.workload), "workload file");
    add("declarations", Options::value(&arguments.declarations), "folder or file that declares the models");
    add("entry", Options::value(&arguments.entries)->composing(), "address of an entry's port for callers; may be repeated");
    add("truth", Options::value(&arguments.truth), "address of the fakes' admin port");
    add("json", Options::value(&arguments.json), "file for the report as JSON");
    add("seed", Options::value(&arguments.seed), "replaces the file's seed");
    add("rate", Options::value(&arguments.rate), "factor on all rates, replaces the file's");
    add("duration", Options::value(&arguments.duration), "measured seconds, replaces the file's");
    add("warmup", Options::value(&arguments.warmup), "seconds before the measurement, replaces the file's");
    add("wait-resident", Options::bool_switch(&arguments.waitsForResidents), "first wait until every declared artifact is resident");
    add("drain-s",
        Options::value(&arguments.drainSeconds),
        "seconds to wait for answers after the last request; requests without an answer then count as unknown");
    add("ready-s", Options::value(&arguments.readySeconds), "seconds that wait-resident waits");
    Options::positional_options_description positional;
    positional.add("workload", 1);
    Options::variables_map map;
    Options::store(Options::command_line_parser(argc, argv).options(all).positional(positional).run(), map);
    Options::notify(map);
    if (map.contains("help") || arguments.workload.empty() || arguments.declarations.empty() || arguments.entries.empty()) {
        std::cout << all;
        return false;
    }
    return true;
}

auto print(const Findings &findings) -> void
{
    for (const auto &finding : findings) {
        std::cerr << toString(finding) << "\n";
    }
}

class Run
{
public:
    Run(const Arguments &arguments, Workload workload, const Declarations &declarations)
        : m_arguments(arguments)
        , m_workload(std::move(workload))
        , m_client(m_loop)
    {
        CallerOptions options;
        for (const auto &entry : arguments.entries) {
            options.entries.push_back(endpointFromString(entry));
        }
        for (const auto &[name, model] : declarations.models) {
            options.names.push_back(name);
            options.artifacts.push_back(model.current.text());
        }
        for (const auto &[name, artifact] : declarations.artifacts) {
            m_artifacts.push_back(name.text());
            if (artifact.kind == ArtifactKind::Adapter) {
                options.names.push_back(name.text());
                options.artifacts.push_back(name.text());
            }
        }
        options.runId = "run" + std::to_string(m_workload.seed) + "-" + std::to_string(m_loop.now().inMicros());
        m_schedule = makeSchedule(m_workload, options.names.size());
        m_caller = std::make_unique<Caller>(m_loop, m_workload, m_schedule, std::move(options));
    }

    auto execute() -> int
    {
        if (m_arguments.waitsForResidents && !waitForResidents()) {
            std::cerr << "kingcup-load: not every artifact became resident in time\n";
            return ExitBadInput;
        }
        bool done = false;
        m_caller->start([&done] { done = true; });
        const auto atWarmupEnd = m_loop.after(m_workload.warmup, [this] { readTruth([this](nlohmann::json truth) { m_truth.before = std::move(truth); }); });
        scheduleFaults();
        m_loop.runUntil([&done] { return done; }, m_workload.warmup + m_workload.duration + Duration::seconds(m_arguments.drainSeconds));
        m_truth.after = truthNow();
        const auto report = reportOf(m_workload, *m_caller, m_truth);
        std::cout << tableOf(report);
        if (!m_arguments.json.empty()) {
            std::ofstream(m_arguments.json) << report.dump(2) << "\n";
        }
        const auto &total = report["total"];
        const int broken = total.value("wrong", 0) + total.value("doubled", 0) + total.value("lost", 0) + total.value("falseNotRun", 0);
        return broken == 0 ? 0 : ExitBroken;
    }

private:
    auto readTruth(std::function<void(nlohmann::json)> done) -> void
    {
        if (m_arguments.truth.empty()) {
            return;
        }
        HttpCall call {.server = endpointFromString(m_arguments.truth), .path = "/truth", .timeout = TruthTimeout};
        startShortCall(m_client, std::move(call), [done = std::move(done)](const HttpAnswer &answer) {
            auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
            done(parsed.is_object() ? std::move(parsed) : nlohmann::json::object());
        });
    }

    auto truthNow() -> nlohmann::json
    {
        nlohmann::json result = nlohmann::json::object();
        bool done = m_arguments.truth.empty();
        readTruth([&](nlohmann::json truth) {
            result = std::move(truth);
            done = true;
        });
        m_loop.runUntil([&done] { return done; }, TruthTimeout + TruthTimeout);
        return result;
    }

    auto waitForResidents() -> bool
    {
        const auto end = m_loop.now() + Duration::seconds(m_arguments.readySeconds);
        while (m_loop.now() < end) {
            const auto truth = truthNow();
            const auto isThere = [&truth](const std::string &artifact) {
                const auto &engines = truth["engines"];
                return std::any_of(engines.begin(), engines.end(), [&](const auto &engine) {
                    return engine["resident"].dump().find('"' + artifact + '"') != std::string::npos;
                });
            };
            if (std::all_of(m_artifacts.begin(), m_artifacts.end(), isThere)) {
                return true;
            }
            m_loop.runUntil([] { return false; }, ReadyPoll);
        }
        return false;
    }

    auto scheduleFaults() -> void
    {
        for (const auto &fault : m_workload.faults) {
            m_faults.push_back(m_loop.after(m_workload.warmup + fault.at, [this, &fault] {
                HttpCall call {.server = endpointFromString(m_arguments.truth), .method = "POST", .path = "/fault", .body = fault.command};
                call.headers = {{"content-type", "application/json"}};
                startShortCall(m_client, std::move(call), [&fault](const HttpAnswer &answer) {
                    std::cout << "fault " << fault.name << " status " << answer.status << "\n";
                });
            }));
        }
    }

    const Arguments &m_arguments;
    Workload m_workload;
    EventLoop m_loop;
    HttpClient m_client;
    std::vector<std::string> m_artifacts;
    Schedule m_schedule;
    std::unique_ptr<Caller> m_caller;
    std::vector<Timer> m_faults;
    GroundTruth m_truth;
};

auto loadInputs(const Arguments &arguments, Checked<Workload> &workload, Checked<Declarations> &declarations) -> bool
{
    workload = loadWorkload(arguments.workload);
    declarations = loadDeclarations(arguments.declarations);
    print(workload.findings);
    print(declarations.findings);
    auto &load = workload.value;
    load.seed = arguments.seed >= 0 ? static_cast<std::uint64_t>(arguments.seed) : load.seed;
    load.rate = arguments.rate > 0 ? arguments.rate : load.rate;
    load.duration = arguments.duration > 0 ? Duration::seconds(arguments.duration) : load.duration;
    load.warmup = arguments.warmup >= 0 ? Duration::seconds(arguments.warmup) : load.warmup;
    return workload.isValid() && declarations.isValid();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    try {
        Arguments arguments;
        Checked<Workload> workload;
        Checked<Declarations> declarations;
        if (!readArguments(argc, argv, arguments) || !loadInputs(arguments, workload, declarations)) {
            return ExitBadInput;
        }
        return Run(arguments, workload.value, declarations.value).execute();
    } catch (const std::exception &error) {
        std::cerr << "kingcup-load: " << error.what() << "\n";
        return ExitBadInput;
    }
}
