// Copies in flight at once of requests that crash the targets which run them: many gateways in virtual time (tests/sim_crashfleet.h).
#include "tests/sim_crashload.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace KingCup;

TEST_CASE("copies of a request that are in flight at once when their target crashes count as often as they are")
{
    // Guards against a promise that is kept by targets and broken by runs: several copies that end with one target are several runs.
    const int gateways = GENERATE(4, 33, 103, 450);
    const auto sight = GENERATE(SimCrashSight::Reset, SimCrashSight::Silence, SimCrashSight::HeadThenReset, SimCrashSight::Any);
    const auto burst = GENERATE(values<Burst>({{"one gateway, one target", true, true, false},
                                               {"one gateway, any target", true, false, false},
                                               {"any gateway, one target", false, true, false},
                                               {"any gateway, any target", false, false, false},
                                               {"any gateway, one target, sent again at once", false, true, true}}));
    for (int seed = 1; seed <= (gateways <= 33 ? 4 : 1); ++seed) {
        SimCrashFleet fleet({.gateways = gateways,
                             .targets = std::max(targetsFor(gateways), 12),
                             .seed = static_cast<std::uint64_t>(seed),
                             .sight = sight,
                             .hasAffinity = burst.isAtOneTarget});
        fleet.clock.runUntil(at(4));
        sendBursts(fleet, gateways, Deadly, burst, at(40));
        fleet.clock.runUntil(at(42));
        INFO(gateways << " gateways, sight " << static_cast<int>(sight) << ", " << burst.name << ", seed " << seed << ": " << fleet.crashes(Deadly)
                      << " targets, " << fleet.ends(Deadly) << " runs ended");
        CHECK(fleet.lateRuns(Deadly, NoticeTime) <= MaxLateRuns);
        CHECK(fleet.lateRunsByTargets(Deadly, NoticeTime) <= MaxLateRuns);
        CHECK(fleet.ends(Deadly) >= 2);
    }
}

TEST_CASE("several requests whose copies come at once are rejected within the promised retries beside gateways and targets that fail")
{
    // Guards against the same where gateways start, freeze, lose messages or their peers, and zones of targets are lost.
    const int gateways = GENERATE(4, 33);
    const auto burst
        = GENERATE(values<Burst>({{"any gateway, one target, sent again at once", false, true, true}, {"any gateway, any target", false, false, false}}));
    for (int seed = 1; seed <= 8; ++seed) {
        SimCrashFleet fleet({.gateways = gateways,
                             .targets = std::max(targetsFor(gateways), 12),
                             .seed = static_cast<std::uint64_t>(seed),
                             .sight = SimCrashSight::Any,
                             .messageLoss = seed % 2 == 0 ? 0.1 : 0,
                             .hasAffinity = burst.isAtOneTarget});
        constexpr std::uint64_t Another = 3;
        fleet.clock.runUntil(at(4));
        sendBursts(fleet, gateways, Deadly, burst, at(34));
        sendBursts(fleet, gateways, Another, burst, at(34));
        repeat(fleet, gateways, Popular, {Duration::millis(100), 1}, at(34));
        disturb(fleet, gateways);
        fleet.clock.runUntil(at(36));
        for (const auto request : {Deadly, Another}) {
            INFO(gateways << " gateways, " << burst.name << ", seed " << seed << ", request " << request << ": " << fleet.crashes(request) << " targets, "
                          << fleet.ends(request) << " runs ended");
            CHECK(fleet.lateRuns(request, NoticeTime) <= MaxLateRuns);
            CHECK(fleet.lateRunsByTargets(request, NoticeTime) <= MaxLateRuns);
        }
    }
}
