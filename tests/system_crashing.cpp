// System tests of gateways as real processes on fakes of the users' platform: requests that crash each target that runs them, and requests that are only in
// flight when targets crash.
#include "tests/harness_crashes.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

using namespace KingCup;

namespace
{

const std::vector<std::string> Instances {"p1", "p2", "p3"};

struct Repeats {
    std::string method = "POST";
    Duration interval;
    int count = 0;
    std::string body = "deadly";
};

auto crashOnBody(Site &site, bool isSilent, bool isAfterHead = false) -> void
{
    for (const auto &id : Instances) {
        site.platform(
            {{"part", "runner"}, {"id", id}, {"mode", "crash-on"}, {"body", "deadly"}, {"downMs", 300}, {"silent", isSilent}, {"afterHead", isAfterHead}});
    }
}

/// Sends the request to the gateways in turn, each time with a new id, whether or not the earlier ones were answered.
auto repeat(Site &site, int gateways, const Repeats &repeats) -> std::vector<ReplyPtr>
{
    std::vector<ReplyPtr> replies;
    for (int i = 0; i < repeats.count; ++i) {
        RequestOptions request {.path = "/write/debit", .method = repeats.method, .timeBudgetMillis = 1500, .body = repeats.body};
        if (repeats.method == "GET") {
            request.path = "/read/x";
        }
        replies.push_back(site.begin(1 + i % gateways, request));
        site.sleep(repeats.interval);
    }
    waitForAnswers(site, replies);
    return replies;
}

} // namespace

TEST_CASE("a repeated request that crashes its targets is rejected everywhere, however the crashes and the copies come")
{
    // Guards against crashes that don't count: without an answer until the time limit, after the head of the answer, or in quick succession.
    struct Case {
        const char *name;
        Repeats repeats;
        bool isSilent;
        bool isAfterHead;
    };
    const auto play = GENERATE(values<Case>({
        {"reset, each second", {.method = "POST", .interval = Duration::millis(1000), .count = 10}, false, false},
        {"silent, each second", {.method = "POST", .interval = Duration::millis(1000), .count = 10}, true, false},
        {"silent, five a second", {.method = "POST", .interval = Duration::millis(200), .count = 40}, true, false},
        {"reset, five a second", {.method = "POST", .interval = Duration::millis(200), .count = 40}, false, false},
        {"reset, five a second, repeatable", {.method = "GET", .interval = Duration::millis(200), .count = 40}, false, false},
        {"reset after the head, five a second", {.method = "POST", .interval = Duration::millis(200), .count = 40}, false, true},
        {"silent after the head, each half second", {.method = "POST", .interval = Duration::millis(500), .count = 16}, true, true},
    }));
    Site site({.gateways = 4, .runners = 1, .instances = 3, .models = 1});
    crashOnBody(site, play.isSilent, play.isAfterHead);
    const auto replies = repeat(site, 4, play.repeats);
    const auto moments = crashMoments(site, CrashRecord::TargetCrash);
    INFO(play.name << ": " << moments.size() << " crashes, answers " << statuses(replies));
    CHECK(moments.size() >= 3);
    CHECK(lateMoments(moments, moments) <= MaxLateRuns);
    constexpr std::ptrdiff_t Last = 5;
    CHECK(std::count_if(replies.end() - Last, replies.end(), [](const ReplyPtr &reply) { return reply->status == 503; }) >= Last - 1); // one may be a probe
    CHECK(site.call(1, {.path = "/read/y"})->status == 200);
}

TEST_CASE("gateways that start again learn which requests are rejected because they crash targets")
{
    // Guards against a count of crashes that ends with the process that has counted them.
    Site site({.gateways = 4, .runners = 1, .instances = 3, .models = 1});
    crashOnBody(site, false);
    repeat(site, 4, {.interval = Duration::millis(1000), .count = 6});
    const auto before = crashMoments(site, CrashRecord::TargetCrash).size();
    for (const auto *id : {"gw-1", "gw-2"}) {
        site.process(id).send(SIGKILL);
        site.waitForExit(id);
        site.start(id);
    }
    site.waitFor("the gateways", [&] { return site.isReady(1) && site.isReady(2); });
    site.sleep(NoticeTime);
    const auto replies = repeat(site, 2, {.interval = Duration::millis(500), .count = 8});
    INFO("before " << before << ", in all " << crashMoments(site, CrashRecord::TargetCrash).size() << ", answers " << statuses(replies));
    CHECK(crashMoments(site, CrashRecord::TargetCrash).size() - before <= MaxLateRuns);
}

TEST_CASE("gateways that have all ended at once know after their start which requests are rejected")
{
    // Guards against a count of crashes that exists in the gateways' memory only.
    Site site({.gateways = 4, .runners = 1, .instances = 3, .models = 1});
    crashOnBody(site, false);
    repeat(site, 4, {.interval = Duration::millis(1000), .count = 5});
    const auto before = crashMoments(site, CrashRecord::TargetCrash).size();
    const std::vector<std::string> gateways {"gw-1", "gw-2", "gw-3", "gw-4"};
    for (const auto &id : gateways) {
        site.process(id).send(SIGKILL);
    }
    for (const auto &id : gateways) {
        site.waitForExit(id);
        site.start(id);
    }
    site.waitFor("the gateways", [&] { return site.isReady(1) && site.isReady(2) && site.isReady(3) && site.isReady(4); });
    site.sleep(NoticeTime);
    const auto replies = repeat(site, 4, {.interval = Duration::millis(500), .count = 12});
    INFO("before " << before << ", in all " << crashMoments(site, CrashRecord::TargetCrash).size() << ", answers " << statuses(replies));
    CHECK(crashMoments(site, CrashRecord::TargetCrash).size() - before <= 2); // the probes
}

TEST_CASE("a request that many callers send is served while the targets that run it crash for other reasons")
{
    // Guards against rejecting a request because it was in flight when targets crashed.
    const std::string method = GENERATE("POST", "GET");
    Site site({.gateways = 4, .runners = 1, .instances = 3, .models = 1});
    std::vector<ReplyPtr> replies;
    for (int i = 0; i < 240; ++i) {
        if (i % 48 == 24) {
            site.platform({{"part", "runner"}, {"id", Instances[static_cast<std::size_t>(i / 48) % 3]}, {"mode", "crash"}, {"downMs", 300}});
        }
        const bool isWrite = method == "POST";
        replies.push_back(site.begin(1 + i % 4, {.path = isWrite ? "/write/debit" : "/read/x", .method = method, .body = "popular"}));
        site.sleep(Duration::millis(30));
    }
    waitForAnswers(site, replies);
    const auto served = std::count_if(replies.begin(), replies.end(), [](const ReplyPtr &reply) { return reply->status == 200; });
    const auto rejected = std::count_if(replies.begin(), replies.end(), [](const ReplyPtr &reply) { return reply->status == 503; });
    INFO("served " << served << ", rejected " << rejected << ", answers " << statuses(replies));
    CHECK(served >= 230); // five crashes cut off the copies in flight there
    CHECK(rejected <= 5);
}

TEST_CASE("a request of which many copies were in flight at a crash soon after the gateways' start isn't rejected")
{
    // Guards against rejecting a request because the gateway that grants its probes has just started.
    Site site({.gateways = 4, .runners = 1, .instances = 3, .models = 1});
    const auto copy = [&site](int i) {
        return site.begin(1 + i % 4, {.path = "/write/debit", .method = "POST", .body = "popular"});
    };
    std::vector<ReplyPtr> replies;
    for (int i = 0; i < 35; ++i) {
        if (i == 7) {
            for (int k = 0; k < 24; ++k) {
                replies.push_back(copy(k));
            }
            site.sleep(Duration::millis(8));
            site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "crash"}, {"downMs", 300}});
        }
        replies.push_back(copy(i));
        site.sleep(Duration::millis(100)); // most of the time no copy is in flight whose success would clear the request
    }
    waitForAnswers(site, replies);
    const auto rejected = std::count_if(replies.begin(), replies.end(), [](const ReplyPtr &reply) { return reply->status == 503; });
    INFO("rejected " << rejected << ", answers " << statuses(replies));
    CHECK(rejected == 0);
}

TEST_CASE("a request whose copies were in flight at outages of all targets is served again some seconds later")
{
    // Guards against rejecting an innocent request for minutes: from the crashes alone it can't be told from one that causes them.
    Site site({.gateways = 4, .runners = 1, .instances = 3, .models = 1});
    for (int outage = 0; outage < 5; ++outage) {
        constexpr int Copies = 8;
        std::vector<ReplyPtr> replies;
        replies.reserve(Copies);
        for (int i = 0; i < Copies; ++i) {
            replies.push_back(site.begin(1 + i % 4, {.path = "/write/debit", .method = "POST", .timeBudgetMillis = 1500, .body = "unlucky"}));
        }
        site.sleep(Duration::millis(6));
        site.platform({{"part", "runner"}, {"mode", "crash"}, {"downMs", 800}});
        site.sleep(Duration::millis(1500));
    }
    std::string answers;
    const auto isServed = [&] {
        const auto reply = site.call(1 + static_cast<int>(answers.size()) % 4, {.path = "/write/debit", .method = "POST", .body = "unlucky"});
        answers += std::to_string(reply->status) + " ";
        site.sleep(Duration::millis(300));
        return reply->status == 200;
    };
    site.waitFor("an answer of the repeated request", isServed, Duration::seconds(20));
    for (int gateway = 1; gateway <= 4; ++gateway) {
        site.waitFor(
            "an answer at each gateway",
            [&] { return site.call(gateway, {.path = "/write/debit", .method = "POST", .body = "unlucky"})->status == 200; },
            Duration::seconds(3));
    }
}
