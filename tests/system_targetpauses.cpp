// System tests of gateways as real processes on fakes of the users' platform: targets that reject requests and ask to be sent nothing for some time.
#include "tests/harness_gateways.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <vector>

using namespace KingCup;

namespace
{

const RequestOptions Read {.path = "/read/x"};
const RequestOptions Write {.path = "/write/x", .method = "POST", .body = "x"};
const RequestOptions Stream {.path = "/chat/x", .method = "POST", .model = "m1", .body = "prompt"};
const RequestOptions ResumableStream {.path = "/tell/x", .method = "POST", .model = "m1", .body = "prompt"};

/// From a rejection until a request that was sent before it has certainly arrived.
constexpr std::int64_t GraceMillis = 500;
constexpr int MaxInPause = 2; ///< requests that a target may get after that, in the time that it has asked for

auto times(Site &site, const std::string &target, const char *what = "arrivals") -> std::vector<std::int64_t>
{
    return site.truth()["runners"][target][what].get<std::vector<std::int64_t>>();
}

auto countBetween(const std::vector<std::int64_t> &moments, std::int64_t from, std::int64_t to) -> int
{
    return static_cast<int>(std::count_if(moments.begin(), moments.end(), [&](std::int64_t moment) { return moment >= from && moment < to; }));
}

/// Sends a request every few milliseconds and waits for the answers.
auto load(Site &site, const RequestOptions &request, Duration time) -> std::vector<ReplyPtr>
{
    std::vector<ReplyPtr> replies;
    const auto until = site.loop().now() + time;
    while (site.loop().now() < until) {
        replies.push_back(site.begin(1, request));
        site.sleep(Duration::millis(15));
    }
    site.waitFor("the answers", [&] { return std::all_of(replies.begin(), replies.end(), [](const ReplyPtr &reply) { return reply->done; }); });
    return replies;
}

auto count(const std::vector<ReplyPtr> &replies, int status) -> int
{
    return static_cast<int>(std::count_if(replies.begin(), replies.end(), [&](const ReplyPtr &reply) { return reply->status == status; }));
}

auto reject(Site &site, const std::string &target, const std::string &retryAfter) -> void
{
    site.platform({{"part", "runner"}, {"id", target}, {"mode", "reject"}, {"retryAfter", retryAfter}});
}

/// Requests that the target got in the time that it asked for with its first rejection.
auto arrivalsInPause(Site &site, const std::string &target, std::size_t before, std::int64_t pauseMillis) -> int
{
    const auto arrived = times(site, target);
    REQUIRE(arrived.size() > before);
    const auto rejectedAt = arrived[before];
    return countBetween(arrived, rejectedAt + GraceMillis, rejectedAt + pauseMillis);
}

} // namespace

TEST_CASE("a target that rejects a request and asks to be sent nothing gets no request from that gateway until then")
{
    // Guards against a rejecting target that looks idle and therefore gets the next request, again and again.
    const auto request = GENERATE(Read, Write);
    Site site({.gateways = 1, .runners = 1, .instances = 2, .models = 1});
    load(site, request, Duration::millis(300));
    const auto before = times(site, "p1").size();
    reject(site, "p1", "3");
    const auto replies = load(site, request, Duration::millis(3500));
    CHECK(arrivalsInPause(site, "p1", before, 3000) <= MaxInPause);
    CHECK(count(replies, 200) == static_cast<int>(replies.size()));
}

TEST_CASE("a runner that rejects a stream and asks to be sent nothing gets no stream from that gateway until then")
{
    const auto request = GENERATE(Stream, ResumableStream);
    Site site({.gateways = 1, .runners = 2, .instances = 1, .models = 1});
    load(site, request, Duration::millis(500));
    const std::string preferred = times(site, "r1").size() > times(site, "r2").size() ? "r1" : "r2"; // the runner with the prompt in its cache
    const auto before = times(site, preferred).size();
    reject(site, preferred, "3");
    const auto replies = load(site, request, Duration::millis(3500));
    CHECK(arrivalsInPause(site, preferred, before, 3000) <= MaxInPause);
    CHECK(count(replies, 200) == static_cast<int>(replies.size()));
}

TEST_CASE("requests that are sent again don't go to a target that has asked to be sent nothing")
{
    // Guards against a pause that holds for first sends only.
    Site site({.gateways = 1, .runners = 1, .instances = 2, .models = 1});
    reject(site, "p1", "3");
    site.platform({{"part", "runner"}, {"id", "p2"}, {"mode", "errors"}});
    load(site, Read, Duration::millis(3300));
    CHECK(arrivalsInPause(site, "p1", 0, 3000) <= MaxInPause);
}

TEST_CASE("a change of the target's row doesn't end the time for which it asked to be sent nothing")
{
    // Guards against a pause that is kept with what the row says and is lost with it.
    Site site({.gateways = 1, .runners = 1, .instances = 2, .models = 1});
    reject(site, "p1", "4");
    load(site, Read, Duration::millis(300));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "touch"}});
    load(site, Read, Duration::millis(1500));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "leave"}});
    site.sleep(Duration::millis(300));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "return"}});
    load(site, Read, Duration::millis(1500));
    CHECK(arrivalsInPause(site, "p1", 0, 4000) <= MaxInPause);
}

TEST_CASE("if the only target has asked to be sent nothing, requests are refused at once with the time at which it takes them again")
{
    // Guards against callers that wait for nothing, or that come back while nobody can serve them.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    reject(site, "p1", "2");
    REQUIRE(site.call(1, Read)->status == 503);
    site.sleep(Duration::millis(100));
    const auto before = site.loop().now();
    const auto refused = site.call(1, Read);
    CHECK(refused->status == 503);
    CHECK(site.loop().now() - before < Duration::millis(200));
    const double retryAfter = std::atof(refused->header("Retry-After").c_str());
    CHECK(retryAfter > 1.4);
    CHECK(retryAfter < 2.0);
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "well"}});
    CHECK(site.call(1, Read)->status == 503);
    site.sleep(Duration::seconds(retryAfter));
    CHECK(site.call(1, Read)->status == 200);
    CHECK(times(site, "p1").size() == 2);
}

TEST_CASE("a request waits for a target whose time is nearly over, if there is no other")
{
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    reject(site, "p1", "0.4");
    const auto reply = site.begin(1, Read);
    site.sleep(Duration::millis(150));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "well"}});
    site.waitFor("the answer", [&] { return reply->done; });
    CHECK(reply->status == 200); // rejected once, and sent again to the same target when its time is over
    const auto arrived = times(site, "p1");
    REQUIRE(arrived.size() == 2);
    CHECK(arrived[1] - arrived[0] >= 390);
}

TEST_CASE("a target that restarts under its id takes requests although its former start has asked to be sent nothing")
{
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    reject(site, "p1", "30");
    REQUIRE(site.call(1, Read)->status == 503);
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "crash"}, {"downMs", 200}, {"sameId", true}});
    site.waitFor(
        "the target", [&] { return site.call(1, Read)->status == 200; }, Duration::seconds(4));
}

TEST_CASE("a runner that has asked to be sent nothing gets no orders and no report calls from that gateway either")
{
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    REQUIRE(site.stream(1, "m1/a1")->isWhole());
    reject(site, "r1", "2");
    const auto now = site.truth()["runners"]["r1"]["now"].get<std::int64_t>();
    REQUIRE(site.stream(1, "m1")->status == 503);
    site.begin(1, {.path = "/chat/x", .method = "POST", .model = "m1/a2", .body = "prompt"});
    site.sleep(Duration::millis(1500));
    CHECK(countBetween(times(site, "r1", "orderArrivals"), now, now + 1500) == 0);
    site.platform({{"part", "runner"}, {"id", "r1"}, {"mode", "well"}});
    site.waitFor(
        "the adapter", [&] { return site.stream(1, "m1/a2")->isWhole(); }, Duration::seconds(4));
}
