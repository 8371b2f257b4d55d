// For tests of requests that crash their targets: copies of requests and disturbances for the simulated gateways of sim_crashfleet.h, and what two gateways
// exchange.
#pragma once

#include "tests/sim_crashfleet.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace KingCup
{

inline constexpr std::uint64_t Deadly = 1;
inline constexpr std::uint64_t Popular = 2;

/// A request without a prompt.
inline auto plain(std::uint64_t fingerprint) -> CrashSubjects
{
    return {requestSubject(fingerprint), {}};
}
/// Within this time after the third crash every gateway rejects the request; after it at most MaxLateRuns copies run.
inline constexpr auto NoticeTime = Duration::seconds(3);
inline constexpr int MaxLateRuns = 3;

inline auto at(double seconds) -> TimePoint
{
    return TimePoint::fromMicros(1'000'000) + Duration::seconds(seconds);
}

inline auto targetsFor(int gateways) -> int
{
    return gateways <= 4 ? 4 : gateways / 2;
}

inline auto target(int number) -> TargetIncarnation
{
    return {TargetId("t" + std::to_string(number)), 1};
}

inline auto freshRun() -> SendId
{
    static std::uint64_t last = 0;
    return SendId(++last);
}

/// Delivers all messages between two gateways "a" and "b".
inline auto exchange(CrashRepeats &a, CrashRepeats &b, TimePoint now) -> void
{
    for (int round = 0; round < 3; ++round) {
        b.received("a", a.takeBroadcast(now), now);
        a.received("b", b.takeBroadcast(now), now);
        for (const auto &[to, message] : a.takeMessages()) {
            b.received("a", message, now);
        }
        for (const auto &[to, message] : b.takeMessages()) {
            a.received("b", message, now);
        }
    }
}

struct Copies {
    Duration interval;
    int together = 1; ///< copies sent at once, each to another gateway
};

/// Sends copies of a request to random gateways until `until`.
inline auto repeat(SimCrashFleet &fleet, int gateways, std::uint64_t request, Copies copies, TimePoint until) -> void
{
    for (int i = 0; i < copies.together; ++i) {
        fleet.send(static_cast<int>(fleet.random()() % static_cast<std::uint64_t>(gateways)), request);
    }
    if (fleet.clock.now() + copies.interval < until) {
        fleet.clock.after(copies.interval, [&fleet, gateways, request, copies, until] { repeat(fleet, gateways, request, copies, until); });
    }
}

/// How the copies of a request come that are in flight at once.
struct Burst {
    const char *name;
    bool isAtOneGateway; ///< else each copy goes to any gateway
    bool isAtOneTarget; ///< by prompt affinity, while it is up; else each copy goes to any
    bool isSentAgain; ///< each copy comes twice more within 100 ms, as from clients that don't wait
};

/// Sends up to six copies of a request within 80 ms each 2.5 to 4.5 s, until `until`.
inline auto sendBursts(SimCrashFleet &fleet, int gateways, std::uint64_t request, const Burst &burst, TimePoint until) -> void
{
    auto &random = fleet.random();
    const auto anyGateway = [&fleet, gateways] {
        return static_cast<int>(fleet.random()() % static_cast<std::uint64_t>(gateways));
    };
    const int first = anyGateway();
    const int copies = 1 + static_cast<int>(random() % 6);
    for (int i = 0; i < copies; ++i) {
        const auto delay = fleet.between(Duration(), Duration::millis(80));
        for (int again = 0; again < (burst.isSentAgain ? 3 : 1); ++again) {
            const int gateway = burst.isAtOneGateway ? first : anyGateway();
            fleet.clock.after(delay + Duration::millis(40) * again, [&fleet, gateway, request] { fleet.send(gateway, request); });
        }
    }
    const auto next = fleet.between(Duration::millis(2500), Duration::millis(4500));
    if (fleet.clock.now() + next < until) {
        fleet.clock.after(next, [&fleet, gateways, request, burst, until] { sendBursts(fleet, gateways, request, burst, until); });
    }
}

/// Ends, freezes and cuts off gateways and crashes zones of targets at random, from second 5 to 25.
inline auto disturb(SimCrashFleet &fleet, int gateways) -> void
{
    auto &random = fleet.random();
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
}

} // namespace KingCup
