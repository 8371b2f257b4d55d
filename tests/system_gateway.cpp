// System tests of gateways as real processes on fakes of the users' platform: requests of every kind, and faults of targets, store and gateways.
#include "tests/harness_gateways.h"
#include "tests/rawcaller.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>

using namespace KingCup;

namespace
{

/// The runner with a running request; empty if there is none.
auto findBusyRunner(Site &site) -> std::string
{
    const auto truth = site.truth();
    for (const auto &[id, runner] : truth["runners"].items()) {
        if (runner["running"].get<int>() > 0) {
            return id;
        }
    }
    return "";
}

} // namespace

TEST_CASE("without faults, requests of every kind are answered completely by every gateway")
{
    Site site;
    for (int gateway = 1; gateway <= 2; ++gateway) {
        const auto read = site.call(gateway, {.path = "/read/balance?of=asha"});
        CHECK(read->status == 200);
        CHECK(read->body.starts_with("done by p"));
        CHECK(read->header("Server-Stamp").starts_with("stamp-p"));

        const auto attempt = site.freshAttempt();
        const auto write = site.call(gateway, {.path = "/write/debit", .method = "POST", .attempt = attempt, .body = "7 minutes"});
        CHECK(write->status == 200);
        CHECK(site.runsOf(attempt) == 1);

        const auto stream = site.stream(gateway, "m2", 5);
        CHECK(stream->isWhole());
        CHECK(stream->events().size() == 5);
        CHECK(stream->header("Server-Stamp").starts_with("stamp-r"));
    }
    CHECK(site.truth()["overfull"] == 0);
}

TEST_CASE("an adapter that no runner holds is loaded when it is requested, also through a gateway that gives no orders")
{
    // Guards against lost load requests right after the start and during a takeover, when no gateway gives orders: the first request's message
    // reached nobody, and its caller was refused after half a second although the adapter could have been loaded by then.
    Site site;
    for (int gateway = 1; gateway <= 2; ++gateway) {
        // The first request of each adapter waits for its load; there are more adapters than adapter slots.
        for (int adapter = 1; adapter <= 3; ++adapter) {
            const auto reply = site.stream(gateway, "m1/a" + std::to_string(adapter));
            INFO("gateway " << gateway << " adapter " << adapter << " status " << reply->status << " " << reply->body);
            REQUIRE(reply->isWhole());
            REQUIRE(reply->events().size() == 3);
        }
    }
    CHECK(site.truth()["overfull"] == 0);
}

TEST_CASE("an invalid request gets a definite error status, and nothing runs")
{
    // Guards against a faulty client that gets no answer at once, or that affects other callers.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    CHECK(site.call(1, {.path = "/nowhere/x"})->status == 404);
    CHECK(site.call(1, {.path = "/read/x", .host = "other.example"})->status == 404);
    CHECK(site.call(1, {.path = "/read/x", .headers = {{"Deadline-Ms", "soon"}}})->status == 200); // the first of two headers is used
    const std::string big(70000, 'x');
    const auto tooLarge = site.call(1, {.path = "/write/x", .method = "POST", .body = big});
    CHECK(tooLarge->status == 413);
    CHECK(site.truth()["runs"].size() == 1);
    CHECK(site.call(1, {.path = "/read/y"})->status == 200);
}

TEST_CASE("a target crashes: repeatable requests are resent, and others that may have run are never reported as not run")
{
    // An instance crashes with requests in flight. Reads are answered by another instance. A write in flight may have run, so its client must not
    // get a status that says it didn't.
    Site site;
    const auto write = site.freshAttempt();
    std::vector<ReplyPtr> writes;
    std::vector<std::string> attempts;
    for (int i = 0; i < 6; ++i) {
        attempts.push_back(site.freshAttempt());
        writes.push_back(site.begin(1, {.path = "/write/debit", .method = "POST", .attempt = attempts.back(), .body = "x"}));
    }
    site.sleep(Duration::millis(8));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "crash"}, {"downMs", 500}});
    for (int i = 0; i < 10; ++i) {
        CHECK(site.call(1, {.path = "/read/x"})->status == 200);
    }
    for (std::size_t i = 0; i < writes.size(); ++i) {
        site.waitFor("the answers", [&] { return writes[i]->done; });
        const int runs = site.runsOf(attempts[i]);
        CHECK(runs <= 1);
        const bool saidNotRun = writes[i]->status == 503 || writes[i]->status == 429;
        CHECK_FALSE((saidNotRun && runs > 0));
    }
}

TEST_CASE("a request that crashes each target is run at most three times over all gateways")
{
    // A client repeats one request, and each target that starts it crashes. If it were sent each time, the whole service would stay down.
    Site site;
    for (const auto *id : {"p1", "p2"}) {
        site.platform({{"part", "runner"}, {"id", id}, {"mode", "crash-on"}, {"body", "deadly"}});
    }
    int runs = 0;
    for (int i = 0; i < 7; ++i) {
        const auto attempt = site.freshAttempt();
        const auto reply = site.begin(1 + i % 2, {.path = "/write/debit", .method = "POST", .attempt = attempt, .body = "deadly"});
        site.waitFor("the answer", [&] { return reply->done; });
        CHECK(reply->status >= 500);
        runs += site.runsOf(attempt);
        site.sleep(Duration::millis(1000));
    }
    CHECK(runs <= 3);
    CHECK(runs >= 1);
    CHECK(site.call(1, {.path = "/read/x"})->status == 200);
}

TEST_CASE("a resumable stream continues at another runner, complete and in order")
{
    // The runner crashes in the middle of a stream, and another one that has the model resumes it. The client must see each event exactly once.
    Site site({.gateways = 1, .runners = 4, .instances = 1, .models = 2});
    const auto reply = site.begin(1, {.path = "/tell/x", .method = "POST", .model = "m1", .events = 40, .body = "prompt"});
    site.waitFor("some events", [&] { return reply->events().size() >= 5; });
    const auto running = findBusyRunner(site);
    REQUIRE_FALSE(running.empty());
    site.platform({{"part", "runner"}, {"id", running}, {"mode", "crash"}, {"downMs", 1000}});
    site.waitFor("the end", [&] { return reply->done; });
    CHECK(reply->isWhole());
    const auto events = reply->events();
    REQUIRE(events.size() == 40);
    for (std::size_t i = 0; i < events.size(); ++i) {
        CHECK(events[i].ends_with(" " + std::to_string(i + 1)));
    }
}

TEST_CASE("a stream that the next runner answers with an error instead of resuming it is aborted, not ended")
{
    // A stream breaks, and the runner that should resume it answers with an error. If the gateway then ended the stream regularly, the client would
    // take the part for the whole.
    Site site({.gateways = 1, .runners = 2, .instances = 1, .models = 1});
    const auto reply = site.begin(1, {.path = "/tell/x", .method = "POST", .model = "m1", .events = 40, .body = "prompt"});
    site.waitFor("some events", [&] { return reply->events().size() >= 3; });
    const auto running = findBusyRunner(site);
    const std::string other = running == "r1" ? "r2" : "r1";
    site.platform({{"part", "runner"}, {"id", other}, {"mode", "errors"}});
    site.platform({{"part", "runner"}, {"id", running}, {"mode", "crash"}, {"downMs", 2000}});
    site.waitFor("the end", [&] { return reply->done; });
    CHECK_FALSE(reply->isWhole());
}

TEST_CASE("answers that are truncated, duplicated, unframed or late never reach the wrong caller")
{
    // A faulty target truncates its answers, sends a second one, or sends an answer to an earlier request first. Each caller must get its own
    // complete answer or an error.
    Site site({.gateways = 1, .runners = 1, .instances = 2, .models = 1});
    for (const auto *mode : {"extra", "stray", "unframed", "truncate", "lose-answers"}) {
        site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", mode}});
        for (int i = 0; i < 8; ++i) {
            const auto attempt = site.freshAttempt();
            const auto reply = site.call(1, {.path = "/read/x", .attempt = attempt});
            INFO("mode " << mode << " status " << reply->status << " body " << reply->body);
            if (reply->status == 200) {
                CHECK(reply->isWhole());
                CHECK(reply->body.ends_with(" for " + attempt));
            }
            CHECK((reply->status == 200 || reply->status == 502));
        }
    }
}

TEST_CASE("while the store is unavailable, gateways keep serving with the targets that they know")
{
    // The store serves nobody for two seconds, and runners' rows lapse meanwhile although the runners are healthy. Callers must not notice.
    Site site;
    site.platform({{"part", "store"}, {"mode", "busy"}});
    const auto until = site.loop().now() + Duration::seconds(2);
    while (site.loop().now() < until) {
        CHECK(site.call(1, {.path = "/read/x"})->status == 200);
        CHECK(site.stream(2, "m1")->isWhole());
        site.sleep(Duration::millis(50));
    }
    site.platform({{"part", "store"}, {"mode", "up"}});
    for (int i = 0; i < 20; ++i) {
        CHECK(site.call(1, {.path = "/read/x"})->status == 200);
        site.sleep(Duration::millis(50));
    }
}

TEST_CASE("the store stops answering and drops pending calls: a mass removal of rows is distrusted, and its recovery is noticed")
{
    // The store answers nothing for some seconds; connections stay open, and pending calls are never answered. It drops the rows of all targets, since
    // it got no heartbeats either; the rows are back a second after its recovery. Callers must not notice, and a later change of declarations must
    // be in force soon: a gateway that waited for the answer to its lost call would refuse requests for as long.
    Site site;
    const std::vector<std::string> targets {"r1", "r2", "r3", "p1", "p2"};
    const auto serveFor = [&](Duration time) {
        const auto until = site.loop().now() + time;
        while (site.loop().now() < until) {
            CHECK(site.call(1, {.path = "/read/x"})->status == 200);
            CHECK(site.stream(2, "m1")->isWhole());
            site.sleep(Duration::millis(50));
        }
    };
    site.platform({{"part", "store"}, {"mode", "swallow"}});
    serveFor(Duration::millis(3500));
    for (const auto &id : targets) {
        site.platform({{"part", "runner"}, {"id", id}, {"mode", "leave"}});
    }
    site.platform({{"part", "store"}, {"mode", "up"}});
    serveFor(Duration::millis(1000));
    for (const auto &id : targets) {
        site.platform({{"part", "runner"}, {"id", id}, {"mode", "return"}});
    }
    serveFor(Duration::millis(2500));
    site.platform({{"part", "operator"}, {"change", "add-route"}});
    site.waitFor(
        "the new route", [&] { return site.call(2, {.path = "/extra/x"})->status == 200; }, Duration::seconds(2));
}

TEST_CASE("a gateway that alone loses the store learns declarations and leaving targets from the others")
{
    // The path from one gateway to the store is cut without an error. Its callers must get new routes like all others, and none of their requests
    // may go to a target that has announced that it leaves.
    Site site;
    site.link("store:gw-2", "freeze");
    site.platform({{"part", "operator"}, {"change", "add-route"}});
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "drain"}});
    site.waitFor(
        "the new route at gw-2", [&] { return site.call(2, {.path = "/extra/x"})->status == 200; }, Duration::seconds(3));
    site.sleep(Duration::millis(500));
    for (int i = 0; i < 10; ++i) {
        CHECK(site.call(2, {.path = "/read/x"})->body.starts_with("done by p2"));
    }
}

TEST_CASE("malformed target rows are ignored, and the other rows stay in force")
{
    // A program writes malformed rows into the targets' table. Requests must still reach the targets with valid rows.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    for (const auto *value : {"",
                              "not json",
                              "[]",
                              "{\"service\":7}",
                              "{\"service\":\"ledger\",\"address\":\"nowhere\",\"slots\":6,\"state\":\"ready\"}",
                              "{\"service\":\"ledger\",\"address\":\"127.0.0.1:1\",\"zone\":\"north\",\"slots\":6,\"state\":\"resting\",\"sequence\":1}"}) {
        site.platform({{"part", "row"}, {"key", "rubbish"}, {"value", value}});
        CHECK(site.call(1, {.path = "/read/x"})->status == 200);
    }
}

TEST_CASE("a runner that restarts under the same id is treated as a new one")
{
    // A runner crashes and restarts under its old id without any model. Requests for a model that it held before must not fail because of it.
    Site site({.gateways = 1, .runners = 2, .instances = 1, .models = 2});
    REQUIRE(site.stream(1, "m1")->isWhole());
    site.platform({{"part", "runner"}, {"id", "r1"}, {"mode", "crash"}, {"downMs", 200}, {"sameId", true}});
    site.waitFor(
        "the model elsewhere or again", [&] { return site.stream(1, "m1")->isWhole(); }, Duration::seconds(8));
    CHECK(site.truth()["overfull"] == 0);
}

TEST_CASE("a row whose address belongs to another target by now doesn't keep a model from being loaded")
{
    // Guards against a lease holder that sends the same order again and again to a target that is gone, while the runner at its address could load the model.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 2});
    REQUIRE(site.stream(1, "m1")->isWhole());
    auto row = Json::parse(site.truth()["store"]["rows"]["servers"]["r1"]["value"].get<std::string>());
    row["models"] = Json::array();
    site.platform({{"part", "row"}, {"key", "a-former-runner"}, {"value", row.dump()}});
    site.waitFor(
        "the model", [&] { return site.stream(1, "m2")->isWhole(); }, Duration::seconds(8));
}

TEST_CASE("orders that are unanswered and carried out late never exceed a runner's memory")
{
    // Runners leave orders unanswered and carry them out later. A runner that is ordered to load more than fits crashes, with all its streams.
    Site site({.gateways = 2, .runners = 3, .instances = 1, .models = 3});
    site.platform({{"part", "runner"}, {"id", "r1"}, {"mode", "late-orders"}});
    site.platform({{"part", "runner"}, {"id", "r2"}, {"mode", "late-orders"}});
    for (int i = 0; i < 12; ++i) {
        site.begin(1 + i % 2, {.path = "/chat/x", .method = "POST", .model = "m" + std::to_string(1 + i % 3) + "/a" + std::to_string(1 + i % 2), .body = "p"});
        site.sleep(Duration::millis(100));
    }
    site.sleep(Duration::millis(1500));
    CHECK(site.truth()["overfull"] == 0);
}

TEST_CASE("the lease holder is killed: exactly one other gateway takes over giving orders")
{
    // The gateway that gives orders is killed. After its lease has expired, adapters can be loaded again, by a single gateway.
    Site site({.gateways = 3, .runners = 2, .instances = 1, .models = 2});
    REQUIRE(site.stream(1, "m1/a1")->isWhole());
    const auto holder = [&] {
        const auto value = site.truth()["store"]["rows"]["kingcup-leases"]["orders"]["value"].get<std::string>();
        return value.substr(0, value.find('#'));
    };
    const auto first = holder();
    site.process(first).send(SIGKILL);
    site.waitForExit(first);
    const int alive = first == "gw-1" ? 2 : 1;
    site.waitFor(
        "an adapter to be loaded again", [&] { return site.stream(alive, "m2/a2")->isWhole(); }, Duration::seconds(12));
    CHECK(holder() != first);
    const auto truth = site.truth();
    for (const auto &[id, runner] : truth["runners"].items()) {
        CHECK(runner["orderers"].size() <= 2);
    }
}

TEST_CASE("a planned stop cuts off nothing")
{
    // A host is drained. Requests that its callers have sent are answered completely, and the process exits by itself.
    Site site;
    const auto reply = site.begin(1, {.path = "/chat/x", .method = "POST", .model = "m1", .events = 60, .body = "prompt"});
    site.waitFor("some events", [&] { return reply->events().size() >= 3; });
    site.process("gw-1").send(SIGTERM);
    site.sleep(Duration::millis(100));
    CHECK_FALSE(site.isReady(1));
    const auto late = site.call(1, {.path = "/read/x"});
    CHECK(late->status == 200);
    CHECK(late->header("Connection") == "close");
    site.waitFor("the stream's end", [&] { return reply->done; });
    CHECK(reply->isWhole());
    CHECK(reply->events().size() == 60);
    CHECK(site.waitForExit("gw-1") == 0);
}

TEST_CASE("a planned stop cuts off no request that comes late in it")
{
    // Guards against requests that are whole only late in the grace, and are passed on to targets that can't answer them before its end.
    constexpr int WorkMillis = 1200;
    Site site({.gateways = 2, .runners = 1, .instances = 1, .models = 1});
    site.platform({{"part", "operator"}, {"change", "timeout"}, {"ms", 12000}});
    site.platform({{"part", "runner"}, {"mode", "work-time"}, {"ms", WorkMillis}});
    site.sleep(Duration::millis(300));
    for (const auto *path : {"/read/x", "/write/x"}) {
        REQUIRE(site.call(1, {.path = path, .method = "POST", .body = "x"})->status == 200);
    }
    // The gateway doesn't end sooner than this stream.
    const auto stream = site.begin(
        1, {.path = "/chat/x", .method = "POST", .model = "m1", .events = 360, .timeBudgetMillis = 9000, .body = "prompt", .isNewConnection = true});
    site.process("gw-1").send(SIGTERM);
    const auto stoppedAt = site.loop().now();
    std::vector<std::pair<std::string, std::future<RawAnswer>>> calls;
    constexpr auto Pause = std::chrono::milliseconds(100);
    for (int pieces = 2; pieces <= 48; pieces += 2) { // the gateway ends 5.5 s after the signal
        for (const std::string route : {"/read/", "/write/"}) {
            const auto attempt = site.freshAttempt();
            std::string head = "POST " + route;
            head.append(attempt).append(" HTTP/1.1\r\nHost: site.example\r\nDeadline-Ms: 9000\r\nAttempt-Id: ").append(attempt);
            head.append("\r\nContent-Length: ").append(std::to_string(pieces)).append("\r\n\r\n");
            calls.emplace_back(attempt, rawCallByPieces(site.port(1), head, pieces, Pause, 8));
        }
    }
    site.waitFor(
        "all answers",
        [&] {
            return std::all_of(
                calls.begin(), calls.end(), [](const auto &call) { return call.second.wait_for(std::chrono::seconds(0)) == std::future_status::ready; });
        },
        Duration::seconds(12));
    int answered = 0;
    int refused = 0;
    for (auto &[attempt, call] : calls) {
        const auto text = call.get().text;
        INFO(attempt << ": " << text);
        CHECK((text.starts_with("HTTP/1.1 200") || text.starts_with("HTTP/1.1 503")));
        answered += text.starts_with("HTTP/1.1 200") ? 1 : 0;
        refused += text.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    CHECK(stream->isWhole());
    CHECK(answered >= 16);
    CHECK(refused >= 4);
    CHECK(site.waitForExit("gw-1") == 0);
    CHECK(site.loop().now() - stoppedAt < Duration::seconds(8));
}

TEST_CASE("SIGHUP makes a gateway reload its settings, and an invalid file changes nothing")
{
    // An operator's tool writes the settings file and sends SIGHUP, as to any daemon. If the gateway exited at it, all its callers would be cut off.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    site.process("gw-1").send(SIGHUP);
    site.waitFor("the reload", [&] { return site.process("gw-1").log().find("part=settings event=reloaded") != std::string::npos; });
    std::ofstream(site.settingsFile("gw-1"), std::ios::app) << "retry-ratio = lots\n";
    site.process("gw-1").send(SIGHUP);
    site.waitFor("the finding", [&] { return site.process("gw-1").log().find("part=settings event=finding") != std::string::npos; });
    CHECK(site.call(1, {.path = "/read/x"})->status == 200);
}

TEST_CASE("the work of a caller that leaves is cancelled at the runner")
{
    // Guards against runners that go on working on a request whose client has given up.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    const auto reply = site.begin(1, {.path = "/chat/x", .method = "POST", .model = "m1", .events = 300, .body = "prompt"});
    site.waitFor("an event", [&] { return !reply->events().empty(); });
    reply->handle->cancel();
    site.waitFor(
        "the cancellation", [&] { return site.truth()["runners"]["r1"]["cancelled"] == 1; }, Duration::seconds(1));
}

TEST_CASE("a request that reaches its route's timeout gets its final answer at that time")
{
    // An operator has shortened a route's timeout below the time that a request takes. Its client must get an answer when the timeout expires.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    site.platform({{"part", "operator"}, {"change", "timeout"}, {"ms", 300}});
    site.sleep(Duration::millis(300));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "dark"}});
    const auto before = site.loop().now();
    const auto reply = site.call(1, {.path = "/write/x", .method = "POST", .body = "x"});
    CHECK((reply->status == 504 || reply->status == 503 || reply->status == 502));
    CHECK(site.loop().now() - before < Duration::millis(900));
}

TEST_CASE("an unread log pipe blocks no request, and what is read from it later are complete lines")
{
    // The log collector hangs, and the pipe to it fills up within a hundred requests. A gateway that blocked on writing would stop answering, and its
    // log couldn't show why.
    Site site({.gateways = 1, .unreadLog = true});
    constexpr int Requests = 400; // their lines are about three times what a pipe holds
    std::string last;
    auto slowest = Duration();
    for (int i = 0; i < Requests; ++i) {
        last = site.freshAttempt();
        const auto before = site.loop().now();
        const auto reply = site.call(1, {.path = "/read/x", .attempt = last});
        REQUIRE(reply->status == 200);
        slowest = std::max(slowest, site.loop().now() - before);
    }
    CHECK(slowest < Duration::seconds(1));

    std::string log;
    site.waitFor("the last request's lines", [&] {
        log += site.readLog("gw-1");
        return log.find("event=answered id=" + last) != std::string::npos;
    });
    const auto text = log.substr(0, log.rfind('\n') + 1);
    for (std::size_t at = 0; at < text.size(); at = text.find('\n', at) + 1) {
        REQUIRE(text.compare(at, 2, "t=") == 0);
    }
}

TEST_CASE("processor time of a gateway per request", "[.cost]")
{
    // A benchmark, hidden from normal runs: prints the processor time per request. perf can be attached to the process meanwhile.
    Site site({.gateways = 1, .runners = 4});
    const auto processorMillis = [&] {
        std::ifstream in("/proc/" + std::to_string(site.process("gw-1").pid()) + "/schedstat");
        double nanos = 0;
        in >> nanos;
        return nanos / 1e6;
    };
    const auto measure = [&](const char *what, int count, int atOnce, const std::function<RequestOptions()> &ask) {
        const double before = processorMillis();
        std::vector<ReplyPtr> open;
        for (int i = 0; i < count; ++i) {
            open.push_back(site.begin(1, ask()));
            const bool isFull = static_cast<int>(open.size()) >= atOnce;
            while (isFull && !open.empty()) {
                site.loop().runUntil([&] { return open.back()->done; }, Duration::seconds(20));
                open.pop_back();
            }
        }
        site.sleep(Duration::seconds(2));
        const double took = processorMillis() - before;
        std::printf("%s: %d requests, %.3f ms of processor time each\n", what, count, took / count);
    };
    const double idleFrom = processorMillis();
    site.sleep(Duration::seconds(10));
    std::printf("at rest: %.2f ms of processor time a second\n", (processorMillis() - idleFrom) / 10);
    measure("reads", 4000, 16, [] { return RequestOptions {}; });
    measure(
        "streams of 50 events", 1000, 16, [] { return RequestOptions {.path = "/chat/x", .method = "POST", .model = "m1", .events = 50, .body = "prompt"}; });
}
