// One bound on the runs of a request that crashes its targets, whichever rule granted them: many gateways in virtual time (tests/sim_crashfleet.h).
#include "tests/sim_crashload.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <initializer_list>
#include <random>
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

TEST_CASE("requests that wait for a target that is down don't keep grants until it is back")
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

namespace
{

/// A load, targets, gateways and disturbances drawn from the seed. Targets are back after two seconds or more, as when a process starts and loads its model.
auto playRandomly(int seed) -> void
{
    std::mt19937_64 choices(static_cast<std::uint64_t>(seed));
    const auto oneOf = [&](std::initializer_list<int> values) {
        return *(values.begin() + static_cast<std::ptrdiff_t>(choices() % values.size()));
    };
    const int gateways = oneOf({2, 4, 4, 4, 12});
    SimCrashOptions options {.gateways = gateways,
                             .targets = oneOf({1, 2, 4, 8, 16}),
                             .seed = static_cast<std::uint64_t>(seed),
                             .sight = static_cast<SimCrashSight>(choices() % 5),
                             .keepsIds = oneOf({0, 1}) == 1,
                             .minDown = Duration::millis(oneOf({2000, 2500})),
                             .maxDown = Duration::millis(oneOf({3500, 8000})),
                             .crashAfter = Duration::millis(oneOf({5, 40, 100, 700}))};
    options.clientTimeout = Duration::millis(oneOf({1500, 5000, 15000}));
    options.maxMessageDelay = Duration::millis(oneOf({3, 25, 25, 200, 500}));
    options.messageLoss = oneOf({0, 0, 10}) * 0.01;
    options.hasAffinity = oneOf({0, 1}) == 1;
    options.triesDownTargets = oneOf({0, 1}) == 1;
    options.maxRowDelay = Duration::millis(oneOf({200, 200, 4000}));
    SimCrashFleet fleet(options);
    fleet.clock.runUntil(at(4));
    if (oneOf({0, 1}) == 1) {
        const bool isAtOneGateway = oneOf({0, 1}) == 1;
        const bool isSentAgain = oneOf({0, 1}) == 1;
        sendBursts(fleet, gateways, Deadly, {"", isAtOneGateway, options.hasAffinity, isSentAgain}, at(40));
    } else {
        repeat(fleet, gateways, Deadly, {fleet.between(Duration::millis(100), Duration::millis(3000)), oneOf({1, 1, 2, 3})}, at(40));
    }
    if (oneOf({0, 1}) == 1) {
        repeat(fleet, gateways, Popular, {Duration::millis(100), 1}, at(40));
    }
    if (oneOf({0, 1}) == 1) {
        disturb(fleet, gateways);
    }
    fleet.clock.runUntil(at(60));
    INFO("seed " << seed << ": " << fleet.crashes(Deadly) << " crashes, " << fleet.ends(Deadly) << " ends");
    CHECK(fleet.lateRuns(Deadly, NoticeTime) <= MaxLateRuns);
}

} // namespace

TEST_CASE("at most three runs of a request that crashes its targets are sent once every gateway may know of the third, by whichever rules")
{
    // Guards against rules for probes that each keep a limit of their own and together exceed what is promised.
    const int seeds = seedCount(150);
    for (int seed = 1; seed <= seeds; ++seed) {
        playRandomly(seed);
    }
}

TEST_CASE("seeds that have shown more runs than promised")
{
    // Guards against runs whose ends nobody counted, and against grants that outlived the rule that gave them.
    const int seed = GENERATE(497, 1021, 2967, 3043, 4763, 6069, 6717, 8795, 9420, 10639, 12479, 12590, 14680, 16675, 17179, 19831);
    playRandomly(seed);
}
