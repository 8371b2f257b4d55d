// Copies in flight at once of requests that crash the targets which run them: what two gateways conclude, and many gateways in virtual time
// (tests/sim_crashfleet.h).
//
// Index of sections (search for [SECTION]):
//   Two gateways
//   Many gateways
#include "tests/sim_crashload.h"

#include <catch2/catch.hpp>

#include <optional>
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
    /// The probe that the gateway may send now, after the messages that it takes to find out; 0: the request needs none; nothing: it must not be sent.
    auto probe(CrashRepeats &gateway, const CrashSubjects &request, TimePoint now) -> std::optional<std::uint64_t>
    {
        if (!gateway.needsGrant(request)) {
            return 0;
        }
        if (!gateway.mayBeProbed(request, now)) {
            return std::nullopt;
        }
        auto answer = gateway.requestProbe(request, now);
        exchange(here, there, now);
        if (answer.state == ProbeState::Pending) {
            answer = gateway.requestProbe(request, now);
        }
        exchange(here, there, now);
        return answer.state == ProbeState::Granted ? std::optional(answer.probe) : std::nullopt;
    }
    auto mayRun(CrashRepeats &gateway, const CrashSubjects &request, TimePoint now) -> bool
    {
        return probe(gateway, request, now).has_value();
    }
};

} // namespace

// [SECTION] Two gateways

TEST_CASE("from its first end on, one copy of a request runs at a time, over all gateways")
{
    // Guards against copies that are all in flight before the first of them is counted.
    Pair gateways;
    auto &[here, there] = gateways;
    CHECK(gateways.mayRun(here, plain(Deadly), at(1)));
    CHECK(gateways.mayRun(there, plain(Deadly), at(1)));
    here.targetEnded(plain(Deadly), target(1), freshRun(), at(2), at(2));
    exchange(here, there, at(2));
    const bool isHere = GENERATE(true, false);
    auto &first = isHere ? here : there;
    auto &second = isHere ? there : here;
    const auto probe = gateways.probe(first, plain(Deadly), at(2.1));
    REQUIRE(probe.value_or(0) != 0);
    CHECK_FALSE(gateways.mayRun(first, plain(Deadly), at(2.11)));
    CHECK_FALSE(gateways.mayRun(second, plain(Deadly), at(2.11)));
    CHECK(second.verdict(plain(Deadly), at(2.11)).obstacle == ProbeObstacle::InProgress);
    SECTION("a success sets all others free")
    {
        first.probeEnded(plain(Deadly), *probe);
        first.succeeded(plain(Deadly), true, at(2.2));
        exchange(here, there, at(2.2));
        CHECK(gateways.mayRun(first, plain(Deadly), at(2.21)));
        CHECK(gateways.mayRun(second, plain(Deadly), at(2.21)));
    }
    SECTION("another crash delays the next one")
    {
        first.probeEnded(plain(Deadly), *probe);
        first.targetEnded(plain(Deadly), target(2), freshRun(), at(2.2), at(2.2));
        exchange(here, there, at(2.2));
        CHECK_FALSE(gateways.mayRun(second, plain(Deadly), at(2.8)));
        CHECK(second.verdict(plain(Deadly), at(2.8)).obstacle == ProbeObstacle::NotDue);
        CHECK(gateways.mayRun(second, plain(Deadly), at(3.3)));
    }
    SECTION("one that isn't sent is returned")
    {
        first.probeReturned(plain(Deadly), *probe);
        exchange(here, there, at(2.2));
        CHECK(gateways.mayRun(second, plain(Deadly), at(2.8)));
    }
    SECTION("one whose gateway has ended doesn't block the others for good")
    {
        CHECK(gateways.mayRun(second, plain(Deadly), at(5.2)));
    }
}

TEST_CASE("a grant that no request uses is returned after a moment")
{
    // Guards against an innocent request that is rejected because the copy that was to be run was given up by its client.
    Pair gateways;
    auto &[here, there] = gateways;
    here.targetEnded(plain(Deadly), target(1), freshRun(), at(2), at(2));
    exchange(here, there, at(2));
    auto &asking = here.arbiter() == "a" ? there : here;
    REQUIRE(asking.requestProbe(plain(Deadly), at(2.1)).state == ProbeState::Pending);
    exchange(here, there, at(2.1));
    CHECK(here.verdict(plain(Deadly), at(3)).obstacle == ProbeObstacle::InProgress);
    asking.expire(at(3.2));
    exchange(here, there, at(3.2));
    CHECK(here.verdict(plain(Deadly), at(3.3)).obstacle == ProbeObstacle::None);
    CHECK(there.verdict(plain(Deadly), at(3.3)).obstacle == ProbeObstacle::None);
}

TEST_CASE("a granted probe whose target refuses the connection can be sent later, but only for a moment")
{
    // Guards against requests that keep grants while they wait for a target that is down: the arbiter grants others meanwhile, and all run when it is back.
    Pair gateways;
    auto &[here, there] = gateways;
    here.targetEnded(plain(Deadly), target(1), freshRun(), at(2), at(2));
    exchange(here, there, at(2));
    const bool isArbiter = GENERATE(true, false);
    auto &asking = (here.arbiter() == "a") == isArbiter ? here : there;
    const auto request = [&](TimePoint now) {
        auto answer = asking.requestProbe(plain(Deadly), now);
        exchange(gateways.here, gateways.there, now);
        return answer.state == ProbeState::Pending ? asking.requestProbe(plain(Deadly), now) : answer;
    };
    const auto granted = request(at(2.1));
    REQUIRE(granted.state == ProbeState::Granted);
    asking.probeUnsent(plain(Deadly), granted, at(2.2));
    const auto again = request(at(2.9));
    REQUIRE(again.state == ProbeState::Granted);
    CHECK(again.probe == granted.probe);
    asking.probeUnsent(plain(Deadly), again, at(2.95));
    CHECK(there.verdict(plain(Deadly), at(3)).obstacle == ProbeObstacle::InProgress);
    asking.expire(at(3.2));
    exchange(here, there, at(3.2));
    CHECK(here.verdict(plain(Deadly), at(3.3)).obstacle == ProbeObstacle::None);
    CHECK(there.verdict(plain(Deadly), at(3.3)).obstacle == ProbeObstacle::None);
    const auto next = request(at(3.3));
    REQUIRE(next.state == ProbeState::Granted);
    CHECK(next.probe != granted.probe);
    asking.probeUnsent(plain(Deadly), next, at(4.4)); // too late to be kept
    exchange(here, there, at(4.4));
    CHECK(here.verdict(plain(Deadly), at(4.5)).obstacle == ProbeObstacle::None);
}

TEST_CASE("after three runs that ended with one target, a request that goes on crashing targets gets at most three probes")
{
    // Guards against a limit that counts targets only: three copies in flight at one crash are the three runs after which no more than three are promised.
    CrashRepeats gateway("a");
    for (int i = 0; i < 5; ++i) {
        gateway.targetEnded(plain(Deadly), target(1), freshRun(), at(1), at(1));
    }
    CHECK(gateway.ends(requestSubject(Deadly)) == 1);
    CHECK(gateway.runs(requestSubject(Deadly)) == 3); // more change nothing
    CHECK_FALSE(gateway.isBarred(requestSubject(Deadly)));
    int probes = 0;
    for (int tenths = 11; tenths < 3000; ++tenths) {
        const double second = tenths * 0.1;
        const auto answer = gateway.mayBeProbed(plain(Deadly), at(second)) ? gateway.requestProbe(plain(Deadly), at(second)) : ProbeAnswer();
        if (answer.state == ProbeState::Granted) {
            ++probes;
            gateway.probeEnded(plain(Deadly), answer.probe);
            gateway.targetEnded(plain(Deadly), target(1 + probes), freshRun(), at(second + 0.05), at(second + 0.05));
        }
        gateway.used(plain(Deadly), at(second));
        gateway.expire(at(second));
    }
    CHECK(probes >= 1);
    CHECK(probes <= MaxLateRuns);
    CHECK(gateway.verdict(plain(Deadly), at(300)).obstacle == ProbeObstacle::Exhausted);
}

TEST_CASE("gateways that know different runs of one end agree once they have exchanged them")
{
    // Guards against checksums that differ for good, so that records are sent again and again.
    Pair gateways;
    auto &[here, there] = gateways;
    for (int i = 0; i < 4; ++i) {
        here.targetEnded(plain(Deadly), target(1), freshRun(), at(1), at(1));
        there.targetEnded(plain(Deadly), target(1), freshRun(), at(1), at(1));
    }
    exchange(here, there, at(1));
    CHECK(here.checksum() == there.checksum());
    CHECK(here.runs(requestSubject(Deadly)) == 3);
}

TEST_CASE("an arbiter that doesn't reply delays copies below the limit for a moment, and grants nothing from the limit on")
{
    // Guards against requests that were in flight at a crash and are all rejected because the gateway that grants their probes has ended.
    CrashRepeats gateway("a");
    std::string other = "b";
    do {
        other += "b";
        gateway.setGateways({other});
    } while (gateway.arbiter() != other);
    constexpr std::uint64_t Request = 1;
    const bool isAtLimit = GENERATE(false, true);
    for (int i = 0; i < (isAtLimit ? 3 : 1); ++i) {
        gateway.targetEnded(plain(Request), target(i), freshRun(), at(1), at(1));
    }
    REQUIRE(gateway.requestProbe(plain(Request), at(2)).state == ProbeState::Pending);
    CHECK(gateway.requestProbe(plain(Request), at(2.1)).state == ProbeState::Pending);
    CHECK((gateway.requestProbe(plain(Request), at(2.2)).state == ProbeState::Granted) == !isAtLimit);
    CHECK(gateway.requestProbe(plain(Request), at(2.21)).state != ProbeState::Granted);
}

TEST_CASE("runs that reach the target which has replaced theirs, and are refused there, don't count")
{
    // Guards against requests that need a grant because they were sent while the target's old row was still known.
    RunWatch runs;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        runs.sent(
            SendId(i), {target(1), ServiceName("s"), {"10.0.0.1", 80}}, [i] { return plain(i); }, at(1));
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
