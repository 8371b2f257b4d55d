// One bound on the runs of a request that crashes its targets, whichever rule granted them: many gateways in virtual time (tests/sim_crashfleet.h).
#include "tests/sim_crashload.h"
#include "tests/sim_randomcrashes.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

using namespace KingCup;

namespace
{

/// KINGCUP_SEEDS replaces the number of seeds, for longer runs by hand.
auto seedCount(int usual) -> int
{
    const auto *more = std::getenv("KINGCUP_SEEDS");
    return more == nullptr ? usual : std::atoi(more);
}

} // namespace

TEST_CASE("requests that wait with a grant for a target that is down stay within the promise when it is back")
{
    // Guards against grants that gather at several gateways while a target is down, and are all used when it can be reached again.
    const int targets = GENERATE(1, 2, 3);
    const auto sight = GENERATE(SimCrashSight::Reset, SimCrashSight::Any);
    const int seeds = seedCount(30);
    for (int seed = 1; seed <= seeds; ++seed) {
        SimCrashFleet fleet({.gateways = 4,
                             .targets = targets,
                             .seed = static_cast<std::uint64_t>(seed),
                             .sight = sight,
                             .keepsIds = seed % 2 == 0,
                             .minDown = Duration::millis(2500),
                             .maxDown = Duration::millis(seed % 3 == 0 ? 8000 : 4000),
                             .clientTimeout = Duration::seconds(15),
                             .triesDownTargets = true,
                             .maxRowDelay = Duration::millis(seed % 5 == 0 ? 4000 : 200)});
        fleet.clock.runUntil(at(4));
        repeat(fleet, 4, Deadly, {fleet.between(Duration::millis(200), Duration::millis(1500)), 1 + seed % 3}, at(54));
        fleet.clock.runUntil(at(70));
        INFO(targets << " targets, seed " << seed << ", sight " << static_cast<int>(sight) << ": " << fleet.crashes(Deadly) << " crashes, "
                     << fleet.ends(Deadly) << " ends");
        CHECK(fleet.lateRuns(Deadly, NoticeTime) <= MaxLateRuns);
    }
}

TEST_CASE("at most three runs of a request that crashes its targets are sent once every gateway may know of the third, by whichever rules")
{
    // Guards against rules for probes that each keep a limit of their own and together exceed what is promised.
    const int seeds = seedCount(150);
    for (int seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        CHECK(playRandomly(seed) <= MaxLateRuns);
    }
}

TEST_CASE("seeds that have shown more runs than promised")
{
    // Guards against runs whose ends nobody counted, and against grants that outlived the rule that gave them.
    const int seed = GENERATE(497, 1021, 2967, 3043, 4763, 6069, 6717, 9420, 10639, 12479, 12590, 14680, 19831);
    INFO("seed " << seed);
    CHECK(playRandomly(seed) <= MaxLateRuns);
}
