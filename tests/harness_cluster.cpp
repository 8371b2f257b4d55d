#include "tests/harness_cluster.h"

#include "tests/textparts.h"

#include "fakes/tokentext.h"

#include <array>
#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace KingCup
{

namespace
{

constexpr std::size_t LogTailLines = 25;
constexpr auto DefaultModels = R"([model sun]
service = advisory
current = 1
[version sun@1]
size-gb = 6
[model moon]
service = advisory
current = 1
[version moon@1]
size-gb = 14
[adapter tan]
base = sun@1
size-gb = 0.4
)";
constexpr auto Zones = std::array {"austin-hall-a", "austin-hall-b", "round-rock", "san-marcos"};

/// Whether an assertion has failed since the last cluster was destroyed. A failed CHECK throws nothing, so std::uncaught_exceptions() doesn't show it.
bool hasFailed = false;

struct FailureListener : Catch::TestEventListenerBase {
    using TestEventListenerBase::TestEventListenerBase;
    auto assertionEnded(const Catch::AssertionStats &stats) -> bool override
    {
        hasFailed = hasFailed || !stats.assertionResult.isOk();
        return true;
    }
};
CATCH_REGISTER_LISTENER(FailureListener)

auto programPath(const std::string &name) -> std::string
{
    const char *folder = std::getenv("KINGCUP_BIN");
    return std::string(folder == nullptr ? "build/bin" : folder) + "/" + name;
}

auto endpointText(int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

/// The ids of the processes of one kind: "runner-1", "runner-2", ...
auto numberedIds(const std::string &prefix, int count) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (int i = 1; i <= count; ++i) {
        names.push_back(prefix + std::to_string(i));
    }
    return names;
}

} // namespace

// [SECTION] Call

auto CallRecord::events() const -> std::vector<std::string>
{
    return eventData(body);
}

auto CallRecord::isWholeStream() const -> bool
{
    const auto all = events();
    return done && end == CallEnd::Complete && !all.empty() && all.back() == "[DONE]";
}

auto CallRecord::json() const -> Json
{
    return Json::parse(body, nullptr, false);
}

auto CallRecord::outcome() const -> std::string
{
    auto header = headerValue(headers, "kingcup-outcome");
    if (header != "streamed") {
        return header;
    }
    if (isWholeStream()) {
        return "delivered";
    }
    const auto all = events();
    const auto last = all.empty() ? Json() : Json::parse(all.back(), nullptr, false);
    return last.is_object() ? last.value("outcome", std::string()) : std::string();
}

auto CallRecord::text() const -> std::string
{
    const auto textOf = [](const Json &piece) {
        const auto choices = piece.is_object() ? piece.value("choices", Json::array()) : Json::array();
        if (choices.empty()) {
            return std::string();
        }
        const auto &choice = choices.front();
        if (choice.contains("text")) {
            return choice["text"].get<std::string>();
        }
        return choice.value(choice.contains("delta") ? "delta" : "message", Json::object()).value("content", std::string());
    };
    if (body.compare(0, 1, "{") == 0) {
        return textOf(json());
    }
    std::string all;
    for (const auto &event : events()) {
        all += event == "[DONE]" ? std::string() : textOf(Json::parse(event, nullptr, false));
    }
    return all;
}

auto expectedText(const std::string &artifact, const std::string &prompt, int tokens) -> std::string
{
    std::string text;
    for (int i = 0; i < tokens; ++i) {
        text += tokenText(artifact, prompt, i);
    }
    return text;
}

// [SECTION] Cluster

struct Cluster::Private {
    ClusterOptions options;
    TemporaryFolder folder;
    EventLoop loop;
    HttpClient client {loop};
    Json fakesPorts;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    std::map<std::string, std::vector<std::string>> commands;
    std::map<std::string, int> peerPorts;
    std::map<std::string, int> proxiedPeerPorts;
    std::vector<int> callerPorts;
    std::vector<int> operatorPorts;
    std::string ctlText;
    int ctlRuns = 0;

    explicit Private(ClusterOptions given)
        : options(std::move(given))
    {
    }
    ~Private();
    Private(const Private &) = delete;
    auto operator=(const Private &) -> Private & = delete;

    auto startFakes() -> void;
    auto targetPort(const std::string &agent) const -> int;
    auto addProxyLink(Cluster &cluster, const std::string &name, int target) -> int;
    auto platformSettings(Cluster &cluster) -> std::string;
    auto addEntry(const std::string &id, const std::string &zone, const std::string &platformText) -> void;
    auto addAgent(Cluster &cluster, const std::string &id, const std::string &zone, const std::string &platformText) -> void;
    auto launch(const std::string &id) -> void;
    auto printLogTails() -> void;
};

auto Cluster::Private::startFakes() -> void
{
    // After a crash an engine listens on the same port again, so its port must lie outside the range that Linux uses for outgoing connections.
    constexpr int FakesPorts = 120;
    std::vector<std::string> arguments {programPath("kingcup-fakes"),
                                        "--base-port=" + std::to_string(freePorts(FakesPorts)),
                                        "--engine.count=" + std::to_string(options.runners),
                                        "--engine.fencing=" + options.fencing,
                                        "--service.groups=ledger:" + std::to_string(options.ledgers),
                                        "--engine.restart-ms=2000",
                                        "--weights.gb-per-second=20",
                                        "--weights.loads-per-second=10",
                                        "--weights.parallel=10",
                                        "--hosts.lag-ms=300"};
    // A test's option replaces the default of the same name, because Boost.Program_options refuses an option that is given twice.
    for (const auto &more : options.fakes) {
        const auto name = more.substr(0, more.find('='));
        std::erase_if(arguments, [&](const std::string &known) { return known.compare(0, name.size() + 1, name + "=") == 0; });
        arguments.push_back(more);
    }
    commands["fakes"] = arguments;
    launch("fakes");
    const auto isReady = [&] {
        return processes["fakes"]->log().find("ready {") != std::string::npos && processes["fakes"]->log().back() == '\n';
    };
    while (!isReady()) {
        REQUIRE_FALSE(processes["fakes"]->exitCode().has_value());
        loop.runUntil([] { return false; }, Duration::millis(20));
    }
    const auto log = processes["fakes"]->log();
    const auto start = log.find("ready {") + std::string("ready ").size();
    fakesPorts = Json::parse(log.substr(start, log.find('\n', start) - start));
}

auto Cluster::Private::launch(const std::string &id) -> void
{
    const int maxDescriptors = id == "fakes" ? 0 : options.maxDescriptors;
    processes[id] = std::make_unique<ChildProcess>(commands.at(id), folder.path() + "/" + id + ".log", std::vector<std::string>(), maxDescriptors);
}

/// The port of the engine or plain service that an agent serves.
auto Cluster::Private::targetPort(const std::string &agent) const -> int
{
    for (const auto *group : {"engines", "services"}) {
        for (const auto &target : fakesPorts[group]) {
            if (target["id"] == agent) {
                return target["port"];
            }
        }
    }
    throw std::runtime_error("the fakes have no engine or service for " + agent);
}

auto Cluster::Private::addProxyLink(Cluster &cluster, const std::string &name, int target) -> int
{
    return cluster.admin("POST", "/links", {{"name", name}, {"target", endpointText(target)}})["port"];
}

auto Cluster::Private::platformSettings(Cluster &cluster) -> std::string
{
    const auto table = addProxyLink(cluster, "table", fakesPorts["table"]);
    const auto hosts = addProxyLink(cluster, "hosts", fakesPorts["hosts"]);
    return "[platform]\ntable = " + endpointText(table) + "\nobjects = " + endpointText(fakesPorts["objects"]) + "\nhosts = " + endpointText(hosts) + "\n";
}

auto Cluster::Private::addEntry(const std::string &id, const std::string &zone, const std::string &platformText) -> void
{
    peerPorts[id] = freePort();
    callerPorts.push_back(freePort());
    operatorPorts.push_back(freePort());
    std::ostringstream text;
    text << "[process]\nrole = entry\nid = " << id << "\nzone = " << zone << "\n[listen]\ncallers = " << endpointText(callerPorts.back())
         << "\npeers = " << endpointText(peerPorts[id]) << "\noperators = " << endpointText(operatorPorts.back()) << "\n"
         << platformText << options.settings;
    commands[id] = {programPath("kingcupd"), "--settings", folder.write(id + ".ini", text.str())};
}

auto Cluster::Private::addAgent(Cluster &cluster, const std::string &id, const std::string &zone, const std::string &platformText) -> void
{
    peerPorts[id] = freePort();
    const bool isPlain = id.compare(0, 6, "ledger") == 0;
    const auto called = options.standIn ? options.standIn(id, targetPort(id)) : targetPort(id);
    const auto target = options.proxiesTargets ? addProxyLink(cluster, "target:" + id, called) : called;
    std::ostringstream text;
    text << "[process]\nrole = agent\nid = " << id << "\nzone = " << zone << "\n[listen]\npeers = " << endpointText(peerPorts[id])
         << "\n[target]\nengine = " << endpointText(target) << "\n"
         << (isPlain ? "kind = plain\nservice = ledger\n" : "kind = runner\n") << platformText << options.settings;
    commands[id] = {programPath("kingcupd"), "--settings", folder.write(id + ".ini", text.str())};
}

auto Cluster::Private::printLogTails() -> void
{
    for (const auto &[id, child] : processes) {
        const auto code = child->exitCode();
        std::cerr << "---- " << id << (code ? " (ended, code " + std::to_string(*code) + ")" : "") << "\n" << child->logTail(LogTailLines) << "\n";
    }
}

Cluster::Cluster(ClusterOptions options)
    : d(std::make_unique<Private>(std::move(options)))
{
    d->startFakes();
    const auto platformText = d->platformSettings(*this);
    std::vector<std::string> agents = numberedIds("runner-", d->options.runners);
    for (const auto &ledger : numberedIds("ledger-", d->options.ledgers)) {
        agents.push_back(ledger);
    }
    std::size_t index = 0;
    auto hosts = Json::array();
    auto addProcess = [&](const std::string &id, bool isEntry) {
        const std::string zone = Zones.at(index++ % Zones.size());
        if (isEntry) {
            d->addEntry(id, zone, platformText);
        } else {
            d->addAgent(*this, id, zone, platformText);
        }
        const auto proxied = d->addProxyLink(*this, "peer:" + id, d->peerPorts[id]);
        hosts.push_back({{"id", id}, {"role", isEntry ? "entry" : "agent"}, {"zone", zone}, {"address", endpointText(proxied)}, {"state", "live"}});
    };
    for (const auto &id : numberedIds("entry-", d->options.entries)) {
        addProcess(id, true);
    }
    index = 0;
    for (const auto &id : agents) {
        addProcess(id, false);
    }
    admin("POST", "/hosts", {{"hosts", hosts}});
    for (const auto &[id, command] : d->commands) {
        if (id != "fakes") {
            d->launch(id);
        }
    }
}

Cluster::~Cluster() = default;

/// Also runs when the test fails in the constructor of Cluster, whose own destructor isn't called then.
Cluster::Private::~Private()
{
    if (hasFailed || std::uncaught_exceptions() > 0) {
        printLogTails();
        hasFailed = false;
    }
    // The fakes are ended last, so that the other processes don't log errors about lost connections to them.
    std::erase_if(processes, [](const auto &known) { return known.first != "fakes"; });
}

auto Cluster::declarations() const -> std::string
{
    std::ostringstream text;
    text << "[service advisory]\nkind = models\npriority = interactive\ntime-budget-ms = 30000\n"
            "[service ledger]\nkind = plain\npriority = interactive\ntime-budget-ms = 10000\nnon-idempotent = POST /debits, POST /extensions\n"
         << (d->options.models.empty() ? DefaultModels : d->options.models);
    for (const auto &engine : d->fakesPorts["engines"]) {
        text << "[target " << engine["id"].get<std::string>() << "]\nservice = advisory\nfencing = " << engine["fencing"].get<std::string>() << "\n";
    }
    for (const auto &service : d->fakesPorts["services"]) {
        text << "[target " << service["id"].get<std::string>() << "]\nservice = ledger\n";
    }
    text << "[policy]\nloads-per-second = 10\nparallel-loads = 10\n";
    return text.str();
}

auto Cluster::writeDeclarations(const std::string &text) -> std::string
{
    auto folder = d->folder.path() + "/declarations";
    std::filesystem::create_directories(folder);
    d->folder.write("declarations/all.ini", text);
    return folder;
}

auto Cluster::bringUp() -> void
{
    const auto folder = writeDeclarations(declarations());
    waitFor("declarations are accepted", [&] { return ctl({"apply", folder}) == 0; });
    std::vector<std::string> names {"sun", "moon", "tan"};
    if (!d->options.models.empty()) {
        names.clear();
        std::istringstream lines(d->options.models);
        for (std::string line; std::getline(lines, line);) {
            const auto isNamed = line.compare(0, 7, "[model ") == 0 || line.compare(0, 9, "[adapter ") == 0;
            if (isNamed) {
                const auto start = line.find(' ') + 1;
                names.push_back(line.substr(start, line.find(']') - start));
            }
        }
    }
    for (int entry = 1; entry <= d->options.entries; ++entry) {
        for (const auto &name : d->options.runners > 0 ? names : std::vector<std::string>()) {
            waitFor(name + " answers through entry " + std::to_string(entry),
                    [&] { return complete(entry, name, "warm up", 1, false)->outcome() == "delivered"; });
        }
        if (d->options.ledgers > 0) {
            const HttpCall balance {.path = "/services/ledger/balance/warm-up"};
            waitFor("the ledger answers through entry " + std::to_string(entry), [&] { return call(entry, balance)->outcome() == "delivered"; });
        }
    }
}

auto Cluster::loop() -> EventLoop &
{
    return d->loop;
}

auto Cluster::waitFor(const std::string &what, const std::function<bool()> &condition, Duration limit) -> void
{
    constexpr auto Pause = Duration::millis(25);
    const auto deadline = d->loop.now() + limit;
    bool holds = condition();
    while (!holds && d->loop.now() < deadline) {
        sleep(Pause);
        holds = condition();
    }
    INFO("waited for: " << what);
    REQUIRE(holds);
}

auto Cluster::sleep(Duration span) -> void
{
    d->loop.runUntil([] { return false; }, span);
}

auto Cluster::ids(const std::string &prefix) const -> std::vector<std::string>
{
    std::vector<std::string> found;
    for (const auto &[id, command] : d->commands) {
        if (id.compare(0, prefix.size(), prefix) == 0) {
            found.push_back(id);
        }
    }
    return found;
}

auto Cluster::process(const std::string &id) -> ChildProcess &
{
    return *d->processes.at(id);
}

auto Cluster::kill(const std::string &id) -> void
{
    process(id).send(SIGKILL);
    waitForExit(id);
}

auto Cluster::start(const std::string &id) -> void
{
    d->launch(id);
}

auto Cluster::stop(const std::string &id) -> void
{
    process(id).send(SIGSTOP);
}

auto Cluster::resume(const std::string &id) -> void
{
    process(id).send(SIGCONT);
}

auto Cluster::terminate(const std::string &id) -> void
{
    process(id).send(SIGTERM);
}

auto Cluster::waitForExit(const std::string &id, Duration limit) -> int
{
    waitFor(
        id + " ends", [&] { return process(id).exitCode().has_value(); }, limit);
    return *process(id).exitCode();
}

auto Cluster::ctl(const std::vector<std::string> &arguments, Duration limit) -> int
{
    std::vector<std::string> all {programPath("kingcupctl")};
    for (const int port : d->operatorPorts) {
        all.push_back("--server=" + endpointText(port));
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    const auto log = d->folder.path() + "/ctl-" + std::to_string(++d->ctlRuns) + ".log";
    ChildProcess child(all, log);
    waitFor(
        "kingcupctl ends", [&] { return child.exitCode().has_value(); }, limit);
    d->ctlText = child.log();
    return *child.exitCode();
}

auto Cluster::ctlOutput() const -> const std::string &
{
    return d->ctlText;
}

auto Cluster::operatorsPort(int entry) const -> int
{
    return d->operatorPorts.at(static_cast<std::size_t>(entry - 1));
}

auto Cluster::callersPort(int entry) const -> int
{
    return d->callerPorts.at(static_cast<std::size_t>(entry - 1));
}

auto Cluster::peersPort(const std::string &id) const -> int
{
    return d->peerPorts.at(id);
}

auto Cluster::begin(int entry, HttpCall call) -> CallPtr
{
    auto record = std::make_shared<CallRecord>();
    call.server = Endpoint {"127.0.0.1", callersPort(entry)};
    call.keptHeaders = {"kingcup-outcome", "kingcup-request", "kingcup-replayed", "retry-after"};
    call.onHead = [record](int status, const HttpHeaders &headers) {
        record->status = status;
        record->headers = headers;
    };
    call.onData = [record](std::string_view data) {
        record->body.append(data);
    };
    call.onEnd = [record](CallEnd end) {
        record->end = end;
        record->done = true;
    };
    record->handle = d->client.start(std::move(call));
    return record;
}

auto Cluster::call(int entry, HttpCall call) -> CallPtr
{
    auto record = begin(entry, std::move(call));
    waitFor(
        "a call ends", [&] { return record->done; }, Duration::seconds(60));
    return record;
}

auto Cluster::beginCompletion(int entry, const std::string &model, const std::string &prompt, int tokens, bool streamed, const HttpHeaders &headers) -> CallPtr
{
    const Json body {{"model", model}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", streamed}};
    HttpCall call {.method = "POST", .path = "/v1/completions", .headers = headers, .body = body.dump()};
    call.headers.push_back({"content-type", "application/json"});
    return begin(entry, std::move(call));
}

auto Cluster::complete(int entry, const std::string &model, const std::string &prompt, int tokens, bool streamed, const HttpHeaders &headers) -> CallPtr
{
    auto record = beginCompletion(entry, model, prompt, tokens, streamed, headers);
    waitFor(
        "a completion ends", [&] { return record->done; }, Duration::seconds(60));
    return record;
}

auto Cluster::beginDebit(int entry, const std::string &key, const std::string &account, int minutes, const std::string &query) -> CallPtr
{
    const Json body {{"account", account}, {"minutes", minutes}};
    HttpCall call {.method = "POST", .path = "/services/ledger/debits" + query, .body = body.dump()};
    call.headers = {{"content-type", "application/json"}, {"idempotency-key", key}};
    return begin(entry, std::move(call));
}

auto Cluster::debit(int entry, const std::string &key, const std::string &account, int minutes, const std::string &query) -> CallPtr
{
    auto record = beginDebit(entry, key, account, minutes, query);
    waitFor(
        "a debit is answered", [&] { return record->done; }, Duration::seconds(60));
    return record;
}

auto Cluster::admin(const std::string &method, const std::string &path, const Json &body) -> Json
{
    HttpCall call {.server = Endpoint {"127.0.0.1", d->fakesPorts["admin"]}, .method = method, .path = path};
    call.body = body.is_null() ? "" : body.dump();
    HttpAnswer answer;
    bool done = false;
    startShortCall(d->client, std::move(call), [&](const HttpAnswer &got) {
        answer = got;
        done = true;
    });
    REQUIRE(d->loop.runUntil([&] { return done; }, Duration::seconds(20)));
    INFO("admin call " << path << " answered " << answer.status << " " << answer.body);
    REQUIRE(answer.status == 200);
    return Json::parse(answer.body);
}

auto Cluster::fault(const Json &command) -> void
{
    admin("POST", "/fault", command);
}

auto Cluster::heal() -> void
{
    fault({{"part", "table"}, {"mode", "ok"}});
    fault({{"part", "hosts"}, {"mode", "ok"}});
    fault({{"part", "link"}, {"mode", "heal"}});
}

auto Cluster::truth() -> Json
{
    return admin("GET", "/truth");
}

auto Cluster::executions(const std::string &key) -> int
{
    const auto all = truth()["services"]["ledger"]["executions"];
    return all.contains(key) ? all[key]["count"].get<int>() : 0;
}

auto Cluster::setHost(const std::string &id, const std::string &state) -> void
{
    admin("POST", "/hosts", {{"id", id}, {"state", state}});
}

auto checkInvariants(Cluster &cluster) -> void
{
    const auto totals = cluster.truth()["totals"];
    INFO("counts of the fakes: " << totals.dump());
    REQUIRE(totals["overcommits"] == 0);
    REQUIRE(totals["doubled"].empty());
}

} // namespace KingCup
