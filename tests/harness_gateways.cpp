#include "tests/harness_gateways.h"

#include "tests/textparts.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <iostream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace KingCup
{

namespace
{

constexpr std::size_t TailLines = 60;

auto binary(const std::string &name) -> std::string
{
    const char *folder = std::getenv("KINGCUP_BIN");
    return std::string(folder == nullptr ? "build/bin" : folder) + "/" + name;
}

/// The ports of one gateway.
struct GatewayPorts {
    int callers = 0;
    int ready = 0;
    int peers = 0;
    int metrics = 0;
    int store = 0; ///< the proxy's link to the store
};

} // namespace

auto Reply::header(const std::string &name) const -> std::string
{
    return std::string(findHeader(headers, name).value_or(""));
}

auto Reply::events() const -> std::vector<std::string>
{
    return eventData(body);
}

auto Reply::isWhole() const -> bool
{
    return done && end == CallEnd::Complete && status == 200;
}

struct Site::Private {
    EventLoop loop;
    HttpPool pool;
    SiteOptions options;
    TemporaryFolder folder;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    std::map<std::string, GatewayPorts> ports;
    std::map<std::string, int> unread; ///< pipes of the gateways' outputs, by gateway id
    int adminPort = 0;
    std::uint64_t attempts = 0;
    int uncaughtBefore = std::uncaught_exceptions();

    explicit Private(SiteOptions siteOptions)
        : pool(loop)
        , options(siteOptions)
    {
    }
    ~Private()
    {
        for (const auto &[id, descriptor] : unread) {
            ::close(descriptor);
        }
    }
    Private(const Private &) = delete;
    auto operator=(const Private &) -> Private & = delete;

    auto startFakes() -> void;
    auto writeSettings(const std::string &id) -> void;
    auto ask(int serverPort, const std::string &method, const std::string &target, const std::string &body) -> ReplyPtr;
    auto start(PooledCall call) -> ReplyPtr;
    auto wait(const ReplyPtr &reply) -> void;
};

auto Site::Private::start(PooledCall call) -> ReplyPtr
{
    auto reply = std::make_shared<Reply>();
    call.onHead = [reply](const HttpHead &head) {
        reply->status = head.status;
        reply->headers = head.headers;
        return AnswerVerdict::Accept;
    };
    call.onBody = [reply](std::string_view bytes) {
        reply->body.append(bytes);
    };
    call.onEnd = [reply](const PooledEnd &end) {
        reply->end = end.end;
        reply->done = true;
    };
    reply->handle = pool.start(std::move(call));
    return reply;
}

auto Site::Private::wait(const ReplyPtr &reply) -> void
{
    loop.runUntil([&] { return reply->done; }, Duration::seconds(20));
    REQUIRE(reply->done);
}

auto Site::Private::ask(int serverPort, const std::string &method, const std::string &target, const std::string &body) -> ReplyPtr
{
    PooledCall call;
    call.server = {"127.0.0.1", serverPort};
    call.method = method;
    call.target = target;
    call.headers = {{"Host", "stand-ins"}, {"Content-Type", "application/json"}};
    call.body = body;
    auto reply = start(std::move(call));
    wait(reply);
    return reply;
}

auto Site::Private::startFakes() -> void
{
    const int base = freePorts(1);
    adminPort = base;
    const std::vector<std::string> arguments {binary("kingcup-fakes"),
                                              "--base-port",
                                              std::to_string(base),
                                              "--platform.runners",
                                              std::to_string(options.runners),
                                              "--platform.instances",
                                              std::to_string(options.instances),
                                              "--platform.models",
                                              std::to_string(options.models)};
    processes["fakes"] = std::make_unique<ChildProcess>(arguments, folder.path() + "/fakes.log");
}

auto Site::Private::writeSettings(const std::string &id) -> void
{
    const auto &own = ports[id];
    std::ostringstream text;
    text << "[process]\nrole = gateway\nid = " << id << "\nzone = north\n[listen]\ncallers = 127.0.0.1:" << own.callers << "\nready = 127.0.0.1:" << own.ready
         << "\npeers = 127.0.0.1:" << own.peers << "\nmetrics = 127.0.0.1:" << own.metrics << "\n[platform]\nstore = 127.0.0.1:" << own.store
         << "\n[gateway]\nslot-permits = " << (options.slotPermits ? "true" : "false")
         << "\nlease-ms = 1500\nstop-limit-s = 6\nrevocation-limit-ms = " << options.revocationMillis << "\n[limits]\nmemory-mb = " << options.memoryMegabytes
         << "\n";
    folder.write(id + ".ini", text.str());
}

Site::Site(SiteOptions options)
    : d(std::make_unique<Private>(options))
{
    d->startFakes();
    Json ports;
    const auto areUp = [&] {
        const auto reply = d->ask(d->adminPort, "GET", "/ports", "");
        ports = reply->status == 200 ? Json::parse(reply->body) : Json();
        return ports.is_object();
    };
    waitFor("the fakes", areUp);
    const int storePort = ports["platform"]["store"];
    for (int i = 1; i <= options.gateways; ++i) {
        const auto id = "gw-" + std::to_string(i);
        const int first = freePorts(5);
        d->ports[id] = {first, first + 1, first + 2, first + 3, first + 4};
        const Json link {{"name", "store:" + id}, {"listen", first + 4}, {"target", "127.0.0.1:" + std::to_string(storePort)}};
        REQUIRE(d->ask(d->adminPort, "POST", "/links", link.dump())->status == 200);
        d->writeSettings(id);
        start(id);
    }
    waitFor("all gateways", [&] {
        for (int i = 1; i <= options.gateways; ++i) {
            if (!isReady(i)) {
                return false;
            }
        }
        return true;
    });
}

Site::~Site()
{
    if (std::uncaught_exceptions() == d->uncaughtBefore) {
        return;
    }
    // Logs are flushed a few times a second: the lines about the failure may not be written yet.
    d->loop.runUntil([] { return false; }, Duration::millis(200));
    for (const auto &[id, process] : d->processes) {
        if (d->unread.contains(id)) {
            std::cerr << "---- " << id << "\n" << readLog(id) << "\n";
            continue;
        }
        std::cerr << "---- " << id << "\n" << process->logTail(TailLines) << "\n";
    }
}

auto Site::loop() -> EventLoop &
{
    return d->loop;
}

auto Site::waitFor(const std::string &what, const std::function<bool()> &condition, Duration limit) -> void
{
    INFO("waiting for " << what);
    const auto until = d->loop.now() + limit;
    bool held = condition();
    while (!held && d->loop.now() < until) {
        sleep(Duration::millis(30));
        held = condition();
    }
    REQUIRE(held);
}

auto Site::sleep(Duration span) -> void
{
    d->loop.runUntil([] { return false; }, span);
}

auto Site::process(const std::string &id) -> ChildProcess &
{
    return *d->processes.at(id);
}

auto Site::start(const std::string &id) -> void
{
    const auto log = d->folder.path() + "/" + id + ".log";
    if (d->options.unreadLog) {
        constexpr int OwnerOnly = 0600;
        ::mkfifo(log.c_str(), OwnerOnly);
        d->unread[id] = ::open(log.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC); // O_RDWR: open() doesn't wait for a writer
        REQUIRE(d->unread[id] >= 0);
    }
    d->processes[id] = std::make_unique<ChildProcess>(
        std::vector<std::string> {binary("kingcupd"), "--settings", settingsFile(id)}, log, std::vector<std::string>(), d->options.maxDescriptors);
}

auto Site::waitForExit(const std::string &id, Duration limit) -> int
{
    std::optional<int> code;
    waitFor(
        "the end of " + id,
        [&] {
            code = process(id).exitCode();
            return code.has_value();
        },
        limit);
    return *code;
}

auto Site::settingsFile(const std::string &id) const -> std::string
{
    return d->folder.path() + "/" + id + ".ini";
}

auto Site::readLog(const std::string &id) -> std::string
{
    std::string text;
    std::array<char, 4096> buffer {};
    ssize_t size = 0;
    while ((size = ::read(d->unread.at(id), buffer.data(), buffer.size())) > 0) {
        text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
}

auto Site::port(int gateway) const -> int
{
    return d->ports.at("gw-" + std::to_string(gateway)).callers;
}

auto Site::isReady(int gateway) -> bool
{
    return d->ask(d->ports.at("gw-" + std::to_string(gateway)).ready, "GET", "/readyz", "")->status == 200;
}

auto Site::freshAttempt() -> std::string
{
    return "attempt-" + std::to_string(++d->attempts);
}

auto Site::begin(int gateway, const RequestOptions &request) -> ReplyPtr
{
    PooledCall call;
    call.server = {"127.0.0.1", port(gateway)};
    call.method = request.method;
    call.target = request.path;
    call.headers = {{"Host", request.host}, {"Attempt-Id", request.attempt.empty() ? freshAttempt() : request.attempt}};
    call.headers.push_back({"Deadline-Ms", std::to_string(request.timeBudgetMillis)});
    if (!request.model.empty()) {
        call.headers.push_back({"Model", request.model});
        call.headers.push_back({"Token-Usage", "100," + std::to_string(request.events)});
        call.headers.push_back({"Prompt-Prefix", request.prompt});
    }
    call.headers.insert(call.headers.end(), request.headers.begin(), request.headers.end());
    call.body = request.body;
    if (request.isNewConnection) {
        call.maxIdleTime = Duration();
    }
    return d->start(std::move(call));
}

auto Site::call(int gateway, const RequestOptions &request) -> ReplyPtr
{
    auto reply = begin(gateway, request);
    d->wait(reply);
    return reply;
}

auto Site::stream(int gateway, const std::string &model, int events) -> ReplyPtr
{
    return call(gateway, {.path = "/chat/x", .method = "POST", .model = model, .events = events, .body = "prompt"});
}

auto Site::platform(const Json &command) -> void
{
    const Json fault {{"part", "platform"}, {"command", command}};
    INFO("command " << command.dump());
    REQUIRE(d->ask(d->adminPort, "POST", "/fault", fault.dump())->status == 200);
}

auto Site::link(const std::string &name, const std::string &mode) -> void
{
    const Json fault {{"part", "link"}, {"name", name}, {"mode", mode}};
    REQUIRE(d->ask(d->adminPort, "POST", "/fault", fault.dump())->status == 200);
}

auto Site::truth() -> Json
{
    return Json::parse(d->ask(d->adminPort, "GET", "/platform", "")->body);
}

auto Site::accountOf(const std::string &attempt) -> std::string
{
    std::string found;
    const auto all = truth();
    for (const auto &[id, target] : all["runners"].items()) {
        found += target["accounts"].value(attempt, std::string());
    }
    return found;
}

auto Site::runsOf(const std::string &attempt) -> int
{
    return truth()["runs"].value(attempt, 0);
}

} // namespace KingCup
