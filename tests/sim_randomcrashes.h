// Plays a request that crashes its targets on simulated gateways (tests/sim_crashfleet.h), where all else is drawn from a seed.
#pragma once

#include "tests/sim_crashload.h"

#include <cstddef>
#include <initializer_list>
#include <random>

namespace KingCup
{

/// Returns how many runs of the deadly request were sent later than NoticeTime after the third had ended. A load, targets, gateways and disturbances drawn from
/// the seed. Targets are back after two seconds or more, as when a process starts and loads its model.
inline auto playRandomly(int seed) -> int
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
    return fleet.lateRuns(Deadly, NoticeTime);
}

} // namespace KingCup
