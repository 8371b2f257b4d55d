// System tests of gateways as real processes on fakes of the users' platform: copies in flight at once of a request that crashes each target that runs it.
#include "tests/harness_crashes.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace KingCup;

namespace
{

constexpr int Gateways = 4;
constexpr int Targets = 8;

struct Burst {
    const char *name;
    const char *path; ///< of a plain service, or of a runner's streams
    const char *method;
    bool isSilent;
    bool isAfterHead;
    bool isAtOneGateway; ///< else the copies come to all of them
};

auto crashOnBody(Site &site, const Burst &burst) -> void
{
    for (int i = 1; i <= Targets; ++i) {
        const std::string kind = std::string(burst.path).starts_with("/chat") ? "r" : "p";
        site.platform({{"part", "runner"},
                       {"id", kind + std::to_string(i)},
                       {"mode", "crash-on"},
                       {"body", "deadly"},
                       {"afterMs", 60},
                       {"downMs", 2500},
                       {"keepsModels", true},
                       {"silent", burst.isSilent},
                       {"afterHead", burst.isAfterHead}});
    }
}

auto request(const Burst &burst) -> RequestOptions
{
    RequestOptions options {.path = burst.path, .method = burst.method, .timeBudgetMillis = 1500, .body = "deadly"};
    if (std::string(burst.path).starts_with("/chat")) {
        options.model = "m1";
        options.prompt = "ab:60,cd:40";
    }
    return options;
}

} // namespace

TEST_CASE("copies in flight at once of a request that crashes its targets are bounded by runs and by targets")
{
    // Guards against a promise that is kept by targets and broken by runs: several copies that end with one target are several runs.
    const auto burst = GENERATE(values<Burst>({
        {"streams, reset, all gateways", "/chat/x", "POST", false, false, false},
        {"streams, reset, one gateway", "/chat/x", "POST", false, false, true},
        {"streams, silent, all gateways", "/chat/x", "POST", true, false, false},
        {"streams, reset after the head, one gateway", "/chat/x", "POST", false, true, true},
        {"plain, reset, all gateways", "/write/debit", "POST", false, false, false},
        {"plain, silent, all gateways", "/write/debit", "POST", true, false, false},
        {"plain, repeatable, reset, one gateway", "/read/x", "GET", false, false, true},
    }));
    const bool isStream = std::string(burst.path).starts_with("/chat");
    Site site({.gateways = Gateways, .runners = isStream ? Targets : 1, .instances = isStream ? 1 : Targets, .models = 1});
    crashOnBody(site, burst);
    std::vector<ReplyPtr> replies;
    for (const int copies : {1, 2, 5, 4, 3}) {
        for (int i = 0; i < copies; ++i) {
            replies.push_back(site.begin(burst.isAtOneGateway ? 1 : 1 + i % Gateways, request(burst)));
            site.sleep(Duration::millis(10));
        }
        site.sleep(Duration::millis(3400));
    }
    waitForAnswers(site, replies);
    const auto arrivals = crashMoments(site, CrashRecord::Arrival);
    const auto runs = crashMoments(site, CrashRecord::RunEnd);
    const auto targets = crashMoments(site, CrashRecord::TargetCrash);
    INFO(burst.name << ": " << targets.size() << " targets, " << runs.size() << " runs ended, " << arrivals.size() << " arrivals, answers "
                    << statuses(replies));
    CHECK(runs.size() >= 2);
    CHECK(lateMoments(arrivals, runs) <= MaxLateRuns);
    CHECK(lateMoments(arrivals, targets) <= MaxLateRuns);
    CHECK(std::all_of(replies.end() - 2, replies.end(), [](const ReplyPtr &reply) { return reply->status == 503; }));
    RequestOptions sound = request(burst);
    sound.body = "sound";
    CHECK(site.call(2, sound)->status == 200);
}
