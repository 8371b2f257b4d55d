// Requests that crash the targets which run them: what one gateway concludes, and many gateways in virtual time (tests/sim_crashfleet.h).
//
// Index of sections (search for [SECTION]):
//   One gateway
//   Many gateways
#include "tests/sim_crashload.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

using namespace KingCup;

namespace
{

const std::vector<Copies> AllCopies {{Duration::millis(1000), 1}, {Duration::millis(200), 1}, {Duration::millis(2000), 6}, {Duration::millis(4000), 1}};

auto watched(const TargetIncarnation &incarnation) -> WatchedTarget
{
    return {incarnation, ServiceName("s"), {"10.0.0.1", 80}};
}

auto onlyVerdict(RunWatch &runs, TimePoint now) -> std::optional<RunOutcome>
{
    const auto verdicts = runs.takeVerdicts(now);
    return verdicts.size() == 1 ? std::optional(verdicts.front().end) : std::nullopt;
}

} // namespace

// [SECTION] One gateway

TEST_CASE("a request that crashes one target after another is barred after the third, at other gateways too")
{
    // Guards against a repeated request that takes down every target of a small service, so that all other callers are refused.
    CrashRepeats here("a");
    CrashRepeats there("b");
    here.setGateways({"b"});
    there.setGateways({"a"});
    const auto request = requestFingerprint("host", "/chat", "", "the same");
    for (int i = 1; i <= 3; ++i) {
        auto &gateway = i == 2 ? there : here;
        REQUIRE_FALSE(gateway.isBarred(requestSubject(request)));
        REQUIRE(gateway.targetEnded(plain(request), target(i), freshRun(), at(i + 0.2), at(i + 0.2)).size() == 1);
        exchange(here, there, at(i + 0.3));
    }
    CHECK(here.isBarred(requestSubject(request)));
    CHECK(there.isBarred(requestSubject(request)));
    CHECK_FALSE(here.isBarred(requestSubject(requestFingerprint("host", "/chat", "", "another"))));
    CHECK_FALSE(here.isBarred(requestSubject(requestFingerprint("host", "/chat", "another account", "the same"))));
    here.expire(at(200));
    CHECK(here.isEmpty());
}

TEST_CASE("a target's end counts once for a request, however many copies and gateways saw it")
{
    // Guards against rejecting a request because one target was down, or because several gateways report one end.
    CrashRepeats here("a");
    CrashRepeats there("b");
    for (int i = 0; i < 20; ++i) {
        here.targetEnded(plain(1), target(1), freshRun(), at(1 + i * 0.03), at(1 + i * 0.03));
        there.targetEnded(plain(1), target(1), freshRun(), at(1 + i * 0.03), at(1 + i * 0.03));
        exchange(here, there, at(1 + i * 0.03));
    }
    CHECK(here.ends(requestSubject(1)) == 1);
    CHECK(there.ends(requestSubject(1)) == 1);
    CHECK(here.succeeded(plain(1), false, at(2)).size() == 1);
    exchange(here, there, at(2));
    CHECK(here.ends(requestSubject(1)) == 0);
    CHECK(there.ends(requestSubject(1)) == 0);
}

TEST_CASE("after many targets have failed at once, the first copy of a request is run at once, and its success clears the request everywhere")
{
    // Guards against rejecting an innocent request after an outage.
    CrashRepeats here("a");
    CrashRepeats there("b");
    here.setGateways({"b"});
    there.setGateways({"a"});
    for (int i = 0; i < 10; ++i) {
        here.targetEnded(plain(1), target(i), freshRun(), at(1), at(1));
    }
    exchange(here, there, at(1));
    REQUIRE(here.isBarred(requestSubject(1)));
    auto &asking = here.arbiter() == "a" ? there : here;
    REQUIRE(asking.requestProbe(plain(1), at(1.1)).state == ProbeState::Pending);
    exchange(here, there, at(1.1));
    REQUIRE(asking.requestProbe(plain(1), at(1.11)).state == ProbeState::Granted);
    CHECK(asking.requestProbe(plain(1), at(1.12)).state != ProbeState::Granted);
    CHECK(asking.isProbeExpected(plain(1), at(1.2)));
    exchange(here, there, at(1.2));
    asking.succeeded(plain(1), true, at(1.3));
    exchange(here, there, at(1.3));
    CHECK_FALSE(here.isBarred(requestSubject(1)));
    CHECK_FALSE(there.isBarred(requestSubject(1)));
}

TEST_CASE("a request that goes on crashing targets gets at most three probes in all, however long its client repeats it")
{
    // Guards against a record that expires while the request is still repeated, and against more probes than promised.
    const bool isAtOnce = GENERATE(true, false);
    CrashRepeats gateway("a");
    for (int i = 0; i < 3; ++i) {
        gateway.targetEnded(plain(1), target(i), freshRun(), at(isAtOnce ? 3 : 1 + i), at(isAtOnce ? 3 : 1 + i));
    }
    CHECK(gateway.mayBeProbed(plain(1), at(3.1)) == isAtOnce);
    int probes = 0;
    for (int halfSeconds = 7; halfSeconds < 2400; ++halfSeconds) {
        const double second = halfSeconds * 0.5;
        REQUIRE(gateway.isBarred(requestSubject(1)));
        if (gateway.mayBeProbed(plain(1), at(second)) && gateway.requestProbe(plain(1), at(second)).state == ProbeState::Granted) {
            gateway.targetEnded(plain(1), target(100 + probes), freshRun(), at(second + 0.1), at(second + 0.1));
            ++probes;
        }
        gateway.used(plain(1), at(second));
        gateway.expire(at(second));
    }
    CHECK(probes == (isAtOnce ? 3 : 2));
}

TEST_CASE("an end is withdrawn if its target answers what was sent after it")
{
    // Guards against rejecting requests because a gateway was cut off from targets that run.
    CrashRepeats gateway("a");
    for (int i = 0; i < 3; ++i) {
        gateway.targetEnded(plain(1), target(i), freshRun(), at(5), at(5));
    }
    CHECK(gateway.targetAnswered(target(0), at(4)).empty());
    CHECK(gateway.isBarred(requestSubject(1)));
    CHECK(gateway.targetAnswered(target(0), at(5.5)).size() == 1);
    CHECK_FALSE(gateway.isBarred(requestSubject(1)));
}

TEST_CASE("a gateway that lacks records or withdrawals is sent them by others that see its checksum")
{
    // Guards against messages that are sent once and lost.
    CrashRepeats here("a");
    CrashRepeats there("b");
    here.setGateways({"b"});
    there.setGateways({"a"});
    for (int i = 0; i < 3; ++i) {
        here.targetEnded(plain(1), target(i), freshRun(), at(1), at(1));
    }
    here.takeBroadcast(at(1)); // lost
    here.checksumReceived("b", there.checksum(), at(2));
    exchange(here, there, at(2));
    CHECK(there.isBarred(requestSubject(1)));
    CHECK(here.checksum() == there.checksum());
    here.succeeded(plain(1), true, at(3));
    here.takeBroadcast(at(3)); // lost
    here.checksumReceived("b", there.checksum(), at(4));
    exchange(here, there, at(4));
    CHECK_FALSE(there.isBarred(requestSubject(1)));
}

TEST_CASE("the number of records is limited, and those that reject requests are kept")
{
    // Guards against an outage with thousands of requests in flight that displaces what is known of a request that crashes targets.
    CrashRepeats gateway("a", {.maxRecords = 100});
    for (int i = 0; i < 3; ++i) {
        gateway.targetEnded(plain(1), target(i), freshRun(), at(1), at(1));
    }
    for (std::uint64_t request = 2; request < 2000; ++request) {
        gateway.targetEnded(plain(request), target(9), freshRun(), at(2 + static_cast<double>(request) * 0.001), at(2 + static_cast<double>(request) * 0.001));
    }
    CHECK(gateway.isBarred(requestSubject(1)));
    CHECK(gateway.ends(requestSubject(1999)) == 1);
}

TEST_CASE("a run that ends without an answer counts if its target has ended, and not if the target lives")
{
    // Guards against counting a reset connection, a slow run or a caller that leaves, and against not counting a crash that is seen as one of these.
    RunWatch runs;
    const auto sign = GENERATE(TargetSign::Alive, TargetSign::Replaced, TargetSign::Refused);
    const bool isBroken = GENERATE(true, false);
    runs.sent(
        SendId(1), watched(target(1)), [] { return plain(7); }, at(1));
    if (isBroken) {
        runs.broke(SendId(1), at(1.5));
        REQUIRE(runs.checksDue(at(1.5)).size() == 1);
    } else {
        runs.abandoned(SendId(1), at(1.5));
        REQUIRE(runs.checksDue(at(1.6)).empty());
        REQUIRE(runs.checksDue(at(2.1)).size() == 1);
    }
    CHECK(runs.checksDue(at(2.2)).empty()); // one is in progress
    CHECK_FALSE(onlyVerdict(runs, at(2.2)));
    runs.checked(target(1), sign, at(2.1), at(2.2));
    CHECK(onlyVerdict(runs, at(2.2)) == (sign == TargetSign::Alive ? RunOutcome::TargetLives : RunOutcome::TargetEnded));
    CHECK(runs.isIdle());
}

TEST_CASE("requests that are still open when their target is found to have ended count at once")
{
    // Guards against crashes that are known only at the time limit of the request, seconds later.
    RunWatch runs;
    runs.sent(
        SendId(1), watched(target(1)), [] { return plain(7); }, at(1));
    runs.received(SendId(1), at(1.2));
    CHECK(runs.checksDue(at(2.1)).empty());
    REQUIRE(runs.checksDue(at(2.2)).size() == 1);
    runs.checked(target(1), TargetSign::Unconnected, at(2.2), at(2.35)); // a packet may have been lost
    CHECK_FALSE(onlyVerdict(runs, at(2.35)));
    REQUIRE(runs.checksDue(at(2.6)).size() == 1);
    runs.checked(target(1), TargetSign::Unconnected, at(2.6), at(2.75));
    CHECK(onlyVerdict(runs, at(2.75)) == RunOutcome::TargetEnded);
    runs.broke(SendId(1), at(5)); // counted already
    CHECK(runs.takeVerdicts(at(20)).empty());
}

TEST_CASE("answers show that a target lives only if they were sent after the end of the run")
{
    // Guards against data of a crashed target that is read after the break of another connection.
    RunWatch runs;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        runs.sent(
            SendId(i), watched(target(1)), [i] { return plain(i); }, at(1));
    }
    runs.broke(SendId(1), at(2));
    runs.answered(SendId(2), at(2.01));
    CHECK(runs.takeVerdicts(at(2.01)).empty());
    runs.received(SendId(3), at(2.1));
    CHECK(runs.takeVerdicts(at(2.1)).empty());
    runs.received(SendId(3), at(2.3));
    CHECK(onlyVerdict(runs, at(2.3)) == RunOutcome::TargetLives);
    runs.sent(
        SendId(4), watched(target(1)), [] { return plain(4); }, at(3));
    runs.broke(SendId(3), at(3.5));
    runs.sent(
        SendId(5), watched(target(1)), [] { return plain(5); }, at(3.6));
    runs.answered(SendId(4), at(3.7));
    CHECK(runs.takeVerdicts(at(3.7)).empty());
    runs.answered(SendId(5), at(3.8));
    CHECK(onlyVerdict(runs, at(3.8)) == RunOutcome::TargetLives);
}

TEST_CASE("the end of a target that had announced to leave doesn't count, and one that never answers a check does")
{
    // Guards against rejecting requests because targets are replaced in turn, and against targets that accept connections without running.
    RunWatch runs;
    runs.sent(
        SendId(1), watched(target(1)), [] { return plain(7); }, at(1));
    runs.targetLeaving(target(1));
    runs.broke(SendId(1), at(2));
    runs.checked(target(1), TargetSign::Refused, at(2), at(2));
    CHECK(onlyVerdict(runs, at(2)) == RunOutcome::TargetLeft);
    runs.sent(
        SendId(2), watched(target(2)), [] { return plain(7); }, at(3));
    runs.broke(SendId(2), at(3.1));
    double second = 3.1;
    for (int check = 0; check < 5; ++check, second += 0.7) {
        REQUIRE(runs.checksDue(at(second)).size() == 1);
        CHECK_FALSE(onlyVerdict(runs, at(second)));
        runs.checked(target(2), TargetSign::Unanswered, at(second), at(second + 0.4));
    }
    CHECK(onlyVerdict(runs, at(second)) == RunOutcome::TargetEnded);
}

TEST_CASE("a target whose address another one takes is checked, and a later start under the same id ends the earlier one")
{
    // Guards against a restart that is quicker than a check.
    RunWatch runs;
    runs.sent(
        SendId(1), watched(target(1)), [] { return plain(7); }, at(1));
    runs.addressTaken({"10.0.0.1", 80}, {TargetId("other"), 9});
    REQUIRE(runs.checksDue(at(1.1)).size() == 1);
    runs.checked(target(1), TargetSign::Alive, at(1.1), at(1.2));
    runs.addressTaken({"10.0.0.1", 80}, {TargetId("t1"), 2});
    CHECK(onlyVerdict(runs, at(1.3)) == RunOutcome::TargetEnded);
}

TEST_CASE("only the first gateway uses the store's copy of the records, and writes it when they have changed")
{
    // Guards against a call to the store by each gateway at a start, against writes without end, and against a copy that is overwritten before it was read.
    CrashArchive archive("a", at(1));
    CHECK(archive.next(5, at(2)) == ArchiveCall::None); // the others may not be known yet
    REQUIRE(archive.next(5, at(3)) == ArchiveCall::Read);
    CHECK(archive.next(5, at(3.1)) == ArchiveCall::None);
    archive.readDone(false, 0, at(3.2));
    CHECK(archive.next(5, at(3.3)) == ArchiveCall::None);
    REQUIRE(archive.next(5, at(4.3)) == ArchiveCall::Read);
    archive.readDone(true, 5, at(4.4));
    CHECK(archive.next(5, at(5)) == ArchiveCall::None);
    REQUIRE(archive.next(6, at(5)) == ArchiveCall::Write);
    archive.writeDone(true, 6, at(5.1));
    CHECK(archive.next(7, at(5.2)) == ArchiveCall::None);
    REQUIRE(archive.next(7, at(5.7)) == ArchiveCall::Write);
    archive.writeDone(false, 7, at(5.8));
    REQUIRE(archive.next(7, at(6.9)) == ArchiveCall::Write);
    archive.writeDone(true, 7, at(7));
    std::set<std::string> others;
    for (int i = 0; i < 50; ++i) {
        others.insert("other-" + std::to_string(i));
    }
    if (rendezvousFirst("crash-records", "a", others) != "a") {
        archive.setGateways(others, at(7.9));
        CHECK(archive.next(8, at(8)) == ArchiveCall::None);
        archive.setGateways({}, at(9));
        CHECK(archive.next(8, at(9)) == ArchiveCall::None);
        CHECK(archive.next(8, at(10.6)) == ArchiveCall::Read); // another gateway may have written it
    }
}

// [SECTION] Many gateways

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
    const auto *more = std::getenv("KINGCUP_SEEDS"); // for longer runs by hand
    const int seeds = more != nullptr ? std::atoi(more) : gateways <= 4 ? 20 : gateways <= 33 ? 8 : 2;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimCrashFleet fleet({.gateways = gateways,
                             .targets = targetsFor(gateways),
                             .seed = static_cast<std::uint64_t>(seed),
                             .sight = SimCrashSight::Any,
                             .keepsIds = seed % 2 == 0,
                             .minDown = Duration::millis(300),
                             .maxDown = Duration::millis(3500),
                             .messageLoss = 0.1});
        auto &random = fleet.random();
        fleet.clock.runUntil(at(4));
        repeat(fleet, gateways, Deadly, {Duration::millis(static_cast<std::int64_t>(150 + random() % 1500)), 1 + static_cast<int>(random() % 3)}, at(34));
        repeat(fleet, gateways, Popular, {Duration::millis(100), 1}, at(34));
        disturb(fleet, gateways);
        fleet.clock.runUntil(at(36));
        INFO(gateways << " gateways, seed " << seed << ": " << fleet.crashes(Deadly) << " crashes");
        CHECK(fleet.lateRuns(Deadly, NoticeTime) <= MaxLateRuns);
    }
}

TEST_CASE("a request that crashes its targets is rejected after all gateways have ended at once and started again")
{
    // Guards against counts that exist in the gateways' memory only.
    const int gateways = GENERATE(4, 33, 103);
    for (int seed = 1; seed <= 4; ++seed) {
        SimCrashFleet fleet({.gateways = gateways, .targets = targetsFor(gateways), .seed = static_cast<std::uint64_t>(seed), .sight = SimCrashSight::Any});
        fleet.clock.runUntil(at(4));
        repeat(fleet, gateways, Deadly, {fleet.between(Duration::millis(700), Duration::millis(2500)), 1}, at(45));
        fleet.clock.runUntil(at(20));
        const auto before = fleet.lateRuns(Deadly, NoticeTime);
        for (int i = 0; i < gateways; ++i) {
            fleet.killGateway(i, fleet.between(Duration::millis(500), Duration::millis(1500)));
        }
        fleet.clock.runUntil(at(46));
        INFO(gateways << " gateways, seed " << seed << ": " << fleet.crashes(Deadly) << " crashes, late before " << before);
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

TEST_CASE("copies of a request in flight when their target crashes don't get it rejected while gateways start or stand still")
{
    // Guards against rejecting a request because the gateway that grants probes has just started or doesn't reply.
    const int gateways = GENERATE(4, 33, 103);
    const bool isAtStart = GENERATE(true, false);
    for (int seed = 1; seed <= 12; ++seed) {
        SimCrashFleet fleet({.gateways = gateways,
                             .targets = 3,
                             .zones = 3,
                             .seed = static_cast<std::uint64_t>(seed),
                             .sight = SimCrashSight::Reset,
                             .minDown = Duration::millis(300),
                             .maxDown = Duration::millis(300)});
        const auto crashAt = at(isAtStart ? 0.6 : 4) + fleet.between(Duration(), Duration::millis(500));
        fleet.clock.at(crashAt - Duration::millis(10), [&fleet, gateways] {
            for (int i = 0; i < 12; ++i) {
                fleet.send(i % gateways, Popular);
            }
        });
        fleet.clock.at(crashAt, [&fleet] { fleet.crashZone(0); });
        if (!isAtStart) {
            fleet.clock.at(crashAt + Duration::millis(200), [&fleet, gateways] {
                for (int i = 0; i < gateways; i += 2) {
                    fleet.freezeGateway(i, Duration::millis(500));
                }
            });
        }
        fleet.clock.runUntil(crashAt + Duration::millis(10));
        repeat(fleet, gateways, Popular, {Duration::millis(30), 1}, crashAt + Duration::seconds(6));
        fleet.clock.runUntil(crashAt + Duration::seconds(7));
        INFO(gateways << " gateways, seed " << seed << ", at the start " << isAtStart << ": served " << fleet.served(Popular) << ", rejected "
                      << fleet.rejected(Popular));
        CHECK(fleet.served(Popular) >= 190); // of 212; the others were in flight at the crash
        CHECK(fleet.rejected(Popular) == 0);
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
