// Copies in flight at once of requests that crash the targets which run them: what two gateways conclude, and many gateways in virtual time
// (tests/sim_crashfleet.h).
//
// Index of sections (search for [SECTION]):
//   Two gateways
//   Many gateways
#include "tests/sim_crashload.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace KingCup;

namespace
{

/// Two gateways that know each other.
struct Pair {
    CrashRepeats here {"a"};
    CrashRepeats there {"b"};

    Pair()
    {
        here.setGateways({"b"});
        there.setGateways({"a"});
    }
    /// Whether the gateway may send the request now, after the messages that it takes to find out.
    auto mayRun(CrashRepeats &gateway, std::uint64_t request, TimePoint now) -> bool
    {
        if (!gateway.needsGrant(request)) {
            return true;
        }
        if (!gateway.mayBeProbed(request, now)) {
            return false;
        }
        auto state = gateway.requestProbe(request, now);
        exchange(here, there, now);
        if (state == ProbeState::Pending) {
            state = gateway.requestProbe(request, now);
        }
        exchange(here, there, now);
        return state == ProbeState::Granted;
    }
};

} // namespace

// [SECTION] Two gateways

TEST_CASE("from its first end on, one copy of a request runs at a time, over all gateways")
{
    // Guards against copies that are all in flight before the first of them is counted.
    Pair gateways;
    auto &[here, there] = gateways;
    CHECK(gateways.mayRun(here, Deadly, at(1)));
    CHECK(gateways.mayRun(there, Deadly, at(1)));
    here.targetEnded(Deadly, target(1), freshRun(), at(2));
    exchange(here, there, at(2));
    const bool isHere = GENERATE(true, false);
    auto &first = isHere ? here : there;
    auto &second = isHere ? there : here;
    REQUIRE(gateways.mayRun(first, Deadly, at(2.1)));
    CHECK_FALSE(gateways.mayRun(first, Deadly, at(2.11)));
    CHECK_FALSE(gateways.mayRun(second, Deadly, at(2.11)));
    CHECK(second.obstacle(Deadly, at(2.11)) == ProbeObstacle::InProgress);
    SECTION("a success sets all others free")
    {
        first.probeEnded(Deadly);
        first.succeeded(Deadly, true, at(2.2));
        exchange(here, there, at(2.2));
        CHECK(gateways.mayRun(first, Deadly, at(2.21)));
        CHECK(gateways.mayRun(second, Deadly, at(2.21)));
    }
    SECTION("another crash delays the next one")
    {
        first.probeEnded(Deadly);
        first.targetEnded(Deadly, target(2), freshRun(), at(2.2));
        exchange(here, there, at(2.2));
        CHECK_FALSE(gateways.mayRun(second, Deadly, at(2.8)));
        CHECK(second.obstacle(Deadly, at(2.8)) == ProbeObstacle::NotDue);
        CHECK(gateways.mayRun(second, Deadly, at(3.3)));
    }
    SECTION("one that isn't sent is returned")
    {
        first.probeReturned(Deadly);
        exchange(here, there, at(2.2));
        CHECK(gateways.mayRun(second, Deadly, at(2.8)));
    }
    SECTION("one whose gateway has ended doesn't block the others for good")
    {
        CHECK(gateways.mayRun(second, Deadly, at(5.2)));
    }
}

TEST_CASE("a grant that no request uses is returned after a moment")
{
    // Guards against an innocent request that is rejected because the copy that was to be run was given up by its client.
    Pair gateways;
    auto &[here, there] = gateways;
    here.targetEnded(Deadly, target(1), freshRun(), at(2));
    exchange(here, there, at(2));
    auto &asking = here.arbiter(Deadly) == "a" ? there : here;
    REQUIRE(asking.requestProbe(Deadly, at(2.1)) == ProbeState::Pending);
    exchange(here, there, at(2.1));
    CHECK(here.obstacle(Deadly, at(3)) == ProbeObstacle::InProgress);
    asking.expire(at(3.2));
    exchange(here, there, at(3.2));
    CHECK(here.obstacle(Deadly, at(3.3)) == ProbeObstacle::None);
    CHECK(there.obstacle(Deadly, at(3.3)) == ProbeObstacle::None);
}

TEST_CASE("after three runs that ended with one target, a request that goes on crashing targets gets at most three probes")
{
    // Guards against a limit that counts targets only: three copies in flight at one crash are the three runs after which no more than three are promised.
    CrashRepeats gateway("a");
    for (int i = 0; i < 5; ++i) {
        gateway.targetEnded(Deadly, target(1), freshRun(), at(1));
    }
    CHECK(gateway.ends(Deadly) == 1);
    CHECK(gateway.runs(Deadly) == 3); // more change nothing
    CHECK_FALSE(gateway.isBarred(Deadly));
    int probes = 0;
    for (int tenths = 11; tenths < 3000; ++tenths) {
        const double second = tenths * 0.1;
        if (gateway.mayBeProbed(Deadly, at(second)) && gateway.requestProbe(Deadly, at(second)) == ProbeState::Granted) {
            ++probes;
            gateway.probeEnded(Deadly);
            gateway.targetEnded(Deadly, target(1 + probes), freshRun(), at(second + 0.05));
        }
        gateway.used(Deadly, at(second));
        gateway.expire(at(second));
    }
    CHECK(probes >= 1);
    CHECK(probes <= MaxLateRuns);
    CHECK(gateway.obstacle(Deadly, at(300)) == ProbeObstacle::Exhausted);
}

TEST_CASE("gateways that know different runs of one end agree once they have exchanged them")
{
    // Guards against checksums that differ for good, so that records are sent again and again.
    Pair gateways;
    auto &[here, there] = gateways;
    for (int i = 0; i < 4; ++i) {
        here.targetEnded(Deadly, target(1), freshRun(), at(1));
        there.targetEnded(Deadly, target(1), freshRun(), at(1));
    }
    exchange(here, there, at(1));
    CHECK(here.checksum() == there.checksum());
    CHECK(here.runs(Deadly) == 3);
}

TEST_CASE("an arbiter that doesn't reply delays copies below the limit for a moment, and grants nothing from the limit on")
{
    // Guards against requests that were in flight at a crash and are all rejected because the gateway that grants their probes has ended.
    CrashRepeats gateway("a");
    std::uint64_t request = 1;
    gateway.setGateways({"b"});
    while (gateway.arbiter(request) != "b") {
        ++request;
    }
    const bool isAtLimit = GENERATE(false, true);
    for (int i = 0; i < (isAtLimit ? 3 : 1); ++i) {
        gateway.targetEnded(request, target(i), freshRun(), at(1));
    }
    REQUIRE(gateway.requestProbe(request, at(2)) == ProbeState::Pending);
    CHECK(gateway.requestProbe(request, at(2.1)) == ProbeState::Pending);
    CHECK((gateway.requestProbe(request, at(2.2)) == ProbeState::Granted) == !isAtLimit);
    CHECK(gateway.requestProbe(request, at(2.21)) != ProbeState::Granted);
}

TEST_CASE("runs that reach the target which has replaced theirs, and are refused there, don't count")
{
    // Guards against requests that need a grant because they were sent while the target's old row was still known.
    RunWatch runs;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        runs.sent(
            SendId(i), {target(1), ServiceName("s"), {"10.0.0.1", 80}}, [i] { return i; }, at(1));
    }
    runs.answered(SendId(1), at(1.1)); // refused: another target has the address
    runs.replaced(target(1));
    CHECK(runs.takeVerdicts(at(1.1)).empty());
    runs.answered(SendId(2), at(1.2));
    CHECK(runs.takeVerdicts(at(1.2)).empty());
    const auto verdicts = runs.takeVerdicts(at(1.4));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts.front().run == SendId(3));
    CHECK(verdicts.front().end == RunOutcome::TargetEnded);
    CHECK(runs.isIdle());
}

// [SECTION] Many gateways

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
