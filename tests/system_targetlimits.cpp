// System tests of gateways as real processes on fakes of the users' platform: targets that announce how many requests a second they accept.
#include "tests/harness_gateways.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace KingCup;

namespace
{

constexpr auto WindowMillis = 4000;
/// From the announcement until the limit binds: every gateway has passed an answer on by then.
constexpr auto NoticeTime = Duration::millis(1500);
constexpr auto LoadTime = Duration::millis(5500);
constexpr auto StreamGap = Duration::millis(25); ///< between two streams

/// Requests that a target with that limit may get within a window.
auto allowed(double perSecond) -> int
{
    return static_cast<int>(perSecond * WindowMillis / 1000 * 1.5 + 5);
}

auto arrivals(Site &site, const std::string &target) -> std::vector<std::int64_t>
{
    return site.truth()["runners"][target]["arrivals"].get<std::vector<std::int64_t>>();
}

/// The largest number of requests within a window, among those from `first` on.
auto maxInWindow(const std::vector<std::int64_t> &times, std::size_t first) -> int
{
    int most = 0;
    for (std::size_t start = first; start < times.size(); ++start) {
        const auto end = std::upper_bound(times.begin() + static_cast<std::ptrdiff_t>(start), times.end(), times[start] + WindowMillis);
        most = std::max(most, static_cast<int>(end - times.begin()) - static_cast<int>(start));
    }
    return most;
}

struct LoadResult {
    std::vector<ReplyPtr> replies;

    auto count(int status) const -> int
    {
        return static_cast<int>(std::count_if(replies.begin(), replies.end(), [&](const ReplyPtr &reply) { return reply->status == status; }));
    }
};

/// Sends a request to each gateway in turn every few milliseconds, and waits for the answers.
auto load(Site &site, int gateways, const RequestOptions &request, Duration time, Duration gap = Duration::millis(12)) -> LoadResult
{
    LoadResult result;
    const auto until = site.loop().now() + time;
    for (int i = 0; site.loop().now() < until; ++i) {
        result.replies.push_back(site.begin(1 + i % gateways, request));
        site.sleep(gap);
    }
    site.waitFor("the answers", [&] { return std::all_of(result.replies.begin(), result.replies.end(), [](const ReplyPtr &reply) { return reply->done; }); });
    return result;
}

auto announceLimit(Site &site, const std::string &target, const std::string &perSecond) -> void
{
    site.platform({{"part", "runner"}, {"id", target}, {"mode", "request-limit"}, {"perSecond", perSecond}});
}

const RequestOptions Read {.path = "/read/x"};
const RequestOptions Stream {.path = "/chat/x", .method = "POST", .model = "m1", .body = "prompt"};
const RequestOptions ResumableStream {.path = "/tell/x", .method = "POST", .model = "m1", .body = "prompt"};

} // namespace

TEST_CASE("calls to a target stay within the limit that it announces, over all gateways together, and other targets take the rest")
{
    // Guards against gateways that ignore a target's announced limit, or each send as much as the target takes from all of them.
    Site site({.gateways = 3, .runners = 1, .instances = 2, .models = 1});
    announceLimit(site, "p1", "2");
    load(site, 3, Read, NoticeTime);
    const auto before = arrivals(site, "p1").size();
    const auto result = load(site, 3, Read, LoadTime);
    const auto times = arrivals(site, "p1");
    CHECK(maxInWindow(times, before) <= allowed(2));
    CHECK(times.size() - before >= 5);
    CHECK(result.count(200) == static_cast<int>(result.replies.size()));
}

TEST_CASE("streams to a runner stay within the limit that it announces, over all gateways together")
{
    // Guards against streams that get past a target's announced limit.
    const auto request = GENERATE(Stream, ResumableStream);
    Site site({.gateways = 3, .runners = 2, .instances = 1, .models = 1});
    load(site, 3, request, Duration::seconds(1), StreamGap);
    const std::string preferred = arrivals(site, "r1").size() > arrivals(site, "r2").size() ? "r1" : "r2"; // gateways agree on one runner for a prompt
    announceLimit(site, preferred, "1.5");
    load(site, 3, request, NoticeTime, StreamGap);
    const auto before = arrivals(site, preferred).size();
    const auto result = load(site, 3, request, LoadTime, StreamGap);
    CHECK(maxInWindow(arrivals(site, preferred), before) <= allowed(1.5));
    CHECK(result.count(200) == static_cast<int>(result.replies.size()));
}

TEST_CASE("requests that are sent again stay within the limit that a target announces")
{
    // Guards against resends of failed requests that get past a target's announced limit.
    Site site({.gateways = 2, .runners = 1, .instances = 2, .models = 1});
    announceLimit(site, "p1", "2");
    site.platform({{"part", "runner"}, {"id", "p2"}, {"mode", "reset"}});
    load(site, 2, Read, NoticeTime);
    const auto before = arrivals(site, "p1").size();
    load(site, 2, Read, LoadTime);
    CHECK(maxInWindow(arrivals(site, "p1"), before) <= allowed(2));
}

TEST_CASE("if only a limited target can serve a request, what exceeds its limit is refused as not run, with a time to come back")
{
    // Guards against a limited target that is overloaded because there is no other one, and against one that then serves nobody.
    Site site({.gateways = 3, .runners = 1, .instances = 1, .models = 1});
    announceLimit(site, "p1", "4");
    load(site, 3, Read, NoticeTime);
    const auto before = arrivals(site, "p1").size();
    const auto result = load(site, 3, Read, LoadTime);
    const auto times = arrivals(site, "p1");
    CHECK(maxInWindow(times, before) <= allowed(4));
    CHECK(result.count(200) >= 15);
    CHECK(result.count(200) + result.count(503) == static_cast<int>(result.replies.size()));
    for (const auto &reply : result.replies) {
        REQUIRE((reply->status == 200 || !reply->header("Retry-After").empty()));
    }
}

TEST_CASE("a rejection that doesn't repeat the target's limit doesn't end it")
{
    // Guards against a limited target that gets all requests as soon as it rejects one.
    Site site({.gateways = 3, .runners = 1, .instances = 2, .models = 1});
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "request-limit"}, {"perSecond", "2"}, {"onlyRuns", true}});
    load(site, 3, Read, NoticeTime);
    const auto before = arrivals(site, "p1").size();
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "reject"}});
    load(site, 3, Read, Duration::seconds(3));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "well"}});
    load(site, 3, Read, Duration::seconds(2));
    CHECK(maxInWindow(arrivals(site, "p1"), before) <= allowed(2));
}

TEST_CASE("a target takes all requests again once it announces no limit any more")
{
    // Guards against a limit that outlives its announcement.
    Site site({.gateways = 3, .runners = 1, .instances = 2, .models = 1});
    announceLimit(site, "p1", "1");
    load(site, 3, Read, NoticeTime);
    announceLimit(site, "p1", "");
    load(site, 3, Read, Duration::seconds(3));
    site.platform({{"part", "runner"}, {"id", "p2"}, {"mode", "drain"}}); // from now on only p1 takes requests
    site.sleep(Duration::seconds(1));
    const auto result = load(site, 3, Read, Duration::seconds(2));
    CHECK(result.count(200) == static_cast<int>(result.replies.size()));
}

TEST_CASE("a target that restarts under its id isn't held to the limit of its former start")
{
    // Guards against a limit that is kept for the id of a target instead of for one start of it.
    Site site({.gateways = 3, .runners = 1, .instances = 2, .models = 1});
    announceLimit(site, "p1", "1");
    load(site, 3, Read, NoticeTime);
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "crash"}, {"downMs", 200}, {"sameId", true}});
    site.sleep(Duration::seconds(1));
    site.platform({{"part", "runner"}, {"id", "p2"}, {"mode", "drain"}}); // from now on only p1 takes requests
    site.sleep(Duration::seconds(1));
    const auto result = load(site, 3, Read, Duration::seconds(2));
    CHECK(result.count(200) == static_cast<int>(result.replies.size()));
}
