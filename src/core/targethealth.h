// What one entry has experienced with a target: failures of late, ejection, and how much slower than others it is. Pure.
//
// A request that gets no answer at all is a strike: the target is ejected for a while, longer with each strike, and then gets one request as a trial.
#pragma once

#include "core/ids.h"
#include "core/units.h"

namespace KingCup
{

struct TargetHealthOptions {
    Duration failureHalfLife = Duration::seconds(2);
    Duration firstEjection = Duration::millis(1000); ///< after the first strike
    Duration longestEjection = Duration::millis(4000); ///< doubled up to this with each further strike; a crashed target is back within some seconds
};

class TargetHealth
{
public:
    explicit TargetHealth(TargetHealthOptions options = {}, TimePoint now = {});

    // Queries
    auto failures(TimePoint now) const -> double; ///< 0 (none) to 1 (all of late)
    auto slowness(TimePoint now) const -> double; ///< observed over expected time; 1 again some seconds after the last observation
    auto isEjected(TimePoint now) const -> bool; ///< until its time is over; see trial()
    auto wasEjected(TimePoint now, Duration ago) const -> bool; ///< now, or until so long ago, without a success since
    auto needsProbe() const -> bool; ///< no success since the last strike
    auto probe() const -> SendId; ///< 0: none
    auto succeededAt() const -> TimePoint;

    // Commands
    auto observeSlowness(double ratio, TimePoint now) -> void;
    auto observe(bool isFailure, TimePoint now) -> void;
    auto eject(TimePoint now) -> void;
    auto recordSuccess(TimePoint now) -> void;
    auto beginProbe(SendId send) -> void;

private:
    TargetHealthOptions m_options;
    double m_slowness = 1;
    TimePoint m_slownessAt;
    double m_failures = 0;
    TimePoint m_failuresAt;
    int m_ejections = 0; ///< in a row
    TimePoint m_ejectedUntil;
    SendId m_probe;
    TimePoint m_succeededAt;
};

} // namespace KingCup
