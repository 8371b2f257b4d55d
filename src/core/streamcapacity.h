// The number of runs at a target with which its streams stay within their pause goal, and the lateness that one more run causes. No I/O.
#pragma once

#include "core/decodepace.h"
#include "core/units.h"

namespace KingCup
{

/// What is known about the time of an event of one model at one target.
struct EventPace {
    EventTime time; ///< at a target of ordinary speed
    double factor = 1; ///< of the target
    double prefillMillis = 0; ///< pending prefill to assume, in milliseconds at a target of ordinary speed

    auto millis(double runs) const -> double; ///< expected time of an event
};

struct StreamCapacityOptions {
    /// Lower limit of a capacity: with fewer runs, a slow target would hardly be observed again.
    int minCapacity = 2;
    /// Share of the pause goal that the mean time of an event may reach before streams count as late. The longest of a stream's pauses is longer than the mean.
    double latenessOnset = 0.5;
    double latenessWeight = 4; ///< at this weight, an event time of the whole pause goal counts as a lateness of the pause goal
    /// Weight of the delay that a new stream and the running ones cause each other while all are on time. It balances the number of runs. The targets' speed
    /// has no part in this delay: with equal runs, the work that targets do is in proportion to their speed.
    double delayWeight = 4;
};

/// The largest number of runs whose expected event time is within the pause goal: at least minCapacity, at most `slots`. A pause goal of 0 allows all slots.
auto streamCapacity(const EventPace &pace, Duration pauseGoal, int slots, const StreamCapacityOptions &options = {}) -> int;

/// Expected lateness, in milliseconds, of a new stream and of `runs` streams that run at the target, as caused by the new one. `prefillMillis`: prefill of the
/// new one, at a target of ordinary speed.
auto addedLateness(const EventPace &pace, Duration pauseGoal, double runs, double prefillMillis = 0, const StreamCapacityOptions &options = {}) -> double;

/// Time of a target of ordinary speed that a stream of `events` events takes, if the target serves as many streams as the pause goal allows.
auto streamCost(const EventTime &time, Duration pauseGoal, int slots, double events, const StreamCapacityOptions &options = {}) -> Duration;

} // namespace KingCup
