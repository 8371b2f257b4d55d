// System tests of gateways as real processes on fakes of the users' platform: targets that announce in their answers that they leave.
#include "tests/harness_gateways.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace KingCup;

namespace
{

const RequestOptions Read {.path = "/read/x"};
const RequestOptions Stream {.path = "/chat/x", .method = "POST", .model = "m1", .body = "prompt"};

/// From the first answer that announces it until no gateway sends the target anything. The targets' declared time is much longer.
constexpr auto NoticeTime = Duration::millis(800);

auto arrivals(Site &site, const std::string &target) -> std::size_t
{
    return site.truth()["runners"][target]["arrivals"].size();
}

/// Sends a request to each of these gateways in turn every few milliseconds, and waits for the answers. Returns the number of answers with status 200.
auto load(Site &site, const std::vector<int> &gateways, const RequestOptions &request, Duration time) -> std::pair<std::size_t, std::size_t>
{
    std::vector<ReplyPtr> replies;
    const auto until = site.loop().now() + time;
    for (std::size_t i = 0; site.loop().now() < until; ++i) {
        replies.push_back(site.begin(gateways[i % gateways.size()], request));
        site.sleep(Duration::millis(15));
    }
    site.waitFor("the answers", [&] { return std::all_of(replies.begin(), replies.end(), [](const ReplyPtr &reply) { return reply->done; }); });
    const auto served = std::count_if(replies.begin(), replies.end(), [](const ReplyPtr &reply) { return reply->status == 200; });
    return {static_cast<std::size_t>(served), replies.size()};
}

auto announceLeaving(Site &site, const std::string &target) -> void
{
    site.platform({{"part", "runner"}, {"id", target}, {"mode", "announce-leaving"}});
}

} // namespace

TEST_CASE("a target that announces in its answers that it leaves gets no new requests, although its row says nothing of it")
{
    // Guards against requests to a target that ends soon, while its row is late or the store is unreachable.
    const auto [request, target] = GENERATE(table<RequestOptions, std::string>({{Read, "p1"}, {Stream, "r1"}}));
    Site site({.gateways = 2, .runners = 2, .instances = 2, .models = 1});
    site.platform({{"part", "runner"}, {"id", target == "p1" ? "p2" : "r2"}, {"mode", "reject"}, {"retryAfter", "1"}}); // so that the target gets requests
    announceLeaving(site, target);
    load(site, {1, 2}, request, Duration::millis(300));
    REQUIRE(arrivals(site, target) > 0);
    site.platform({{"part", "runner"}, {"id", target == "p1" ? "p2" : "r2"}, {"mode", "well"}});
    site.sleep(Duration::millis(1200));
    const auto before = arrivals(site, target);
    const auto [served, sent] = load(site, {1, 2}, request, Duration::millis(1500));
    CHECK(arrivals(site, target) == before);
    CHECK(served == sent);
}

TEST_CASE("a gateway learns from the others that a target has announced to leave")
{
    // Guards against a gateway that sends a leaving target one more request because it had no answer of it.
    Site site({.gateways = 2, .runners = 1, .instances = 2, .models = 1});
    announceLeaving(site, "p1");
    load(site, {1}, Read, Duration::seconds(1));
    REQUIRE(arrivals(site, "p1") > 0);
    site.sleep(NoticeTime);
    const auto before = arrivals(site, "p1");
    const auto [served, sent] = load(site, {2}, Read, Duration::seconds(1));
    CHECK(arrivals(site, "p1") == before);
    CHECK(served == sent);
}

TEST_CASE("a change or the return of its row doesn't make a target available that has announced to leave")
{
    // Guards against an older state of the row that arrives later than the answer.
    Site site({.gateways = 2, .runners = 1, .instances = 2, .models = 1});
    announceLeaving(site, "p1");
    load(site, {1, 2}, Read, Duration::seconds(1));
    REQUIRE(arrivals(site, "p1") > 0);
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "touch"}});
    site.sleep(NoticeTime);
    const auto before = arrivals(site, "p1");
    load(site, {1, 2}, Read, Duration::millis(700));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "leave"}});
    site.sleep(Duration::millis(300));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "return"}});
    site.sleep(Duration::millis(300));
    load(site, {1, 2}, Read, Duration::millis(700));
    CHECK(arrivals(site, "p1") == before);
}

TEST_CASE("a target that restarts under its id takes requests although its former start has announced to leave")
{
    Site site({.gateways = 2, .runners = 1, .instances = 1, .models = 1});
    announceLeaving(site, "p1");
    REQUIRE(site.call(1, Read)->status == 200);
    site.sleep(NoticeTime);
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "crash"}, {"downMs", 200}, {"sameId", true}});
    site.waitFor(
        "the target", [&] { return site.call(1, Read)->status == 200 && site.call(2, Read)->status == 200; }, Duration::seconds(4));
}

TEST_CASE("a stream that runs at a target which announces to leave is not cut off")
{
    Site site({.gateways = 1, .runners = 2, .instances = 1, .models = 1});
    const auto running = site.begin(1, {.path = "/chat/x", .method = "POST", .model = "m1", .events = 150, .body = "prompt"});
    site.waitFor("some events", [&] { return running->events().size() >= 3; });
    announceLeaving(site, "r1");
    announceLeaving(site, "r2");
    load(site, {1}, Stream, Duration::millis(300));
    site.waitFor("the end", [&] { return running->done; });
    CHECK(running->isWhole());
    CHECK(running->events().size() == 150);
}
