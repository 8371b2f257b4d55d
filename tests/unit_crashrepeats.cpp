// Many gateways that forward repeated requests which crash their targets, in virtual time (tests/sim_crashfleet.h).
#include "tests/sim_crashfleet.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace KingCup;

namespace
{

constexpr std::uint64_t Deadly = 1;
constexpr std::uint64_t Popular = 2;
/// Within this time after the third crash every gateway rejects the request; after it at most MaxLateRuns copies run.
constexpr auto NoticeTime = Duration::seconds(3);
constexpr int MaxLateRuns = 3;

auto at(double seconds) -> TimePoint
{
    return TimePoint::fromMicros(1'000'000) + Duration::seconds(seconds);
}

struct Copies {
    Duration interval;
    int together = 1; ///< copies sent at once, each to another gateway
};

/// Sends copies of a request to random gateways until `until`.
auto repeat(SimCrashFleet &fleet, int gateways, std::uint64_t request, Copies copies, TimePoint until) -> void
{
    for (int i = 0; i < copies.together; ++i) {
        fleet.send(static_cast<int>(fleet.random()() % static_cast<std::uint64_t>(gateways)), request);
    }
    if (fleet.clock.now() + copies.interval < until) {
        fleet.clock.after(copies.interval, [&fleet, gateways, request, copies, until] { repeat(fleet, gateways, request, copies, until); });
    }
}

auto targetsFor(int gateways) -> int
{
    return gateways <= 4 ? 4 : gateways / 2;
}

const std::vector<Copies> AllCopies {{Duration::millis(1000), 1}, {Duration::millis(200), 1}, {Duration::millis(2000), 6}, {Duration::millis(4000), 1}};

} // namespace

TEST_CASE("a request that crashes its targets is rejected by all gateways within the promised retries, however its crashes are seen and its copies come")
{
    // Guards against crashes that don't count: those seen as silence, and those of copies that overlap or follow quickly.
    const int gateways = GENERATE(4, 33, 103, 450);
    const auto sight = GENERATE(SimCrashSight::Reset, SimCrashSight::Silence, SimCrashSight::HeadThenReset, SimCrashSight::HeadThenSilence, SimCrashSight::Any);
    const auto copies = GENERATE(from_range(AllCopies));
    const int seeds = gateways <= 33 ? 4 : 1;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimCrashFleet fleet({.gateways = gateways, .targets = targetsFor(gateways), .seed = static_cast<std::uint64_t>(seed), .sight = sight});
        fleet.clock.runUntil(at(4));
        repeat(fleet, gateways, Deadly, copies, at(34));
        fleet.clock.runUntil(at(36));
        INFO(gateways << " gateways, seed " << seed << ", sight " << static_cast<int>(sight) << ", every " << copies.interval.inMillis() << " ms "
                      << copies.together << ": " << fleet.crashes(Deadly) << " crashes");
        CHECK(fleet.crashes(Deadly) >= 3);
        CHECK(fleet.lateRuns(Deadly, NoticeTime) <= MaxLateRuns);
    }
}

TEST_CASE("a request that crashes its targets is rejected although gateways start, freeze and lose messages, and targets start again at once")
{
    // Guards against counts that end with the process that counted, and against messages that are sent once and lost.
    const int gateways = GENERATE(4, 33, 103, 450);
    const int seeds = gateways <= 4 ? 20 : gateways <= 33 ? 8 : 2;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimCrashFleet fleet({.gateways = gateways,
                             .targets = targetsFor(gateways),
                             .seed = static_cast<std::uint64_t>(seed),
                             .sight = SimCrashSight::Any,
                             .minDown = Duration::millis(300),
                             .maxDown = Duration::millis(3500),
                             .messageLoss = 0.1});
        auto &random = fleet.random();
        fleet.clock.runUntil(at(4));
        repeat(fleet, gateways, Deadly, {Duration::millis(static_cast<std::int64_t>(150 + random() % 1500)), 1 + static_cast<int>(random() % 3)}, at(34));
        repeat(fleet, gateways, Popular, {Duration::millis(100), 1}, at(34));
        for (int i = 0; i < 3 + gateways / 20; ++i) {
            const auto when = at(5) + fleet.between(Duration(), Duration::seconds(20));
            const auto kind = random() % 4;
            const auto index = static_cast<int>(random() % static_cast<std::uint64_t>(gateways));
            fleet.clock.at(when, [&fleet, kind, index] {
                switch (kind) {
                case 0:
                    fleet.killGateway(index, Duration::millis(700));
                    break;
                case 1:
                    fleet.freezeGateway(index, Duration::millis(2500));
                    break;
                case 2:
                    fleet.cutFromPeers(index, Duration::seconds(4));
                    break;
                default:
                    fleet.crashZone(index % 4);
                }
            });
        }
        fleet.clock.runUntil(at(36));
        INFO(gateways << " gateways, seed " << seed << ": " << fleet.crashes(Deadly) << " crashes");
        CHECK(fleet.lateRuns(Deadly, NoticeTime) <= MaxLateRuns);
    }
}

TEST_CASE("a request in flight at many crashes of others is served")
{
    // Guards against rejecting requests that are only in flight where targets crash: beside one that crashes them, and when a zone is lost at once.
    const int gateways = GENERATE(4, 33, 103);
    for (int seed = 1; seed <= 6; ++seed) {
        SimCrashFleet fleet(
            {.gateways = gateways, .targets = std::max(targetsFor(gateways), 8), .seed = static_cast<std::uint64_t>(seed), .sight = SimCrashSight::Any});
        fleet.clock.runUntil(at(4));
        repeat(fleet, gateways, Deadly, {Duration::millis(500), 1}, at(30));
        repeat(fleet, gateways, Popular, {Duration::millis(30), 1}, at(34));
        for (int i = 0; i < 5; ++i) {
            fleet.clock.at(at(6 + 4 * i), [&fleet, i] { fleet.crashZone(i % 4); });
        }
        fleet.clock.runUntil(at(36));
        INFO(gateways << " gateways, seed " << seed << ": served " << fleet.served(Popular) << ", rejected " << fleet.rejected(Popular));
        CHECK(fleet.served(Popular) >= 950); // of 1,000; the others were in flight at crashes
        CHECK(fleet.rejected(Popular) <= 10);
    }
}

TEST_CASE("a request in flight at repeated outages of all targets is served again within some seconds after them")
{
    // Guards against rejecting an innocent request for minutes: from the crashes alone it can't be told from one that causes them.
    const int gateways = GENERATE(4, 33, 103);
    for (int seed = 1; seed <= 6; ++seed) {
        SimCrashFleet fleet({.gateways = gateways,
                             .targets = 3,
                             .zones = 1,
                             .seed = static_cast<std::uint64_t>(seed),
                             .sight = SimCrashSight::Any,
                             .maxDown = Duration::millis(2500)});
        fleet.clock.runUntil(at(4));
        for (int outage = 0; outage < 5; ++outage) {
            fleet.clock.at(at(5 + 3 * outage), [&fleet, gateways] {
                for (int i = 0; i < 8; ++i) {
                    fleet.send(i % gateways, Popular);
                }
                fleet.clock.after(Duration::millis(10), [&fleet] { fleet.crashZone(0); });
            });
        }
        fleet.clock.runUntil(at(20));
        const auto before = fleet.served(Popular);
        repeat(fleet, gateways, Popular, {Duration::millis(300), 1}, at(45));
        fleet.clock.runUntil(at(40));
        INFO(gateways << " gateways, seed " << seed << ": served before " << before << ", then " << fleet.served(Popular) - before);
        CHECK(fleet.served(Popular) - before >= 15); // of some 66 in the twenty seconds after the outages
        const auto later = fleet.served(Popular);
        fleet.clock.runUntil(at(46));
        CHECK(fleet.served(Popular) - later >= 12); // of some 16
    }
}
