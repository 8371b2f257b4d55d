// Health of one target as observed by this gateway: recent failures, ejection, and how slow it is compared to the expectation. No I/O.
//
// A request without any answer ejects the target for a while. Each further ejection without a success in between lasts twice as long, up to a limit. When the
// ejection is over, the target gets one request as a probe.
#pragma once

#include "core/ids.h"
#include "core/units.h"

namespace KingCup
{

struct TargetHealthOptions {
    Duration failureHalfLife = Duration::seconds(2);
    Duration firstEjection = Duration::millis(1000); ///< duration of the first ejection after a success
    Duration maxEjectionTime = Duration::millis(4000); ///< ejections double in length up to this; a crashed target is back within a few seconds
};

class TargetHealth
{
public:
    explicit TargetHealth(TargetHealthOptions options = {}, TimePoint now = {});

    // Queries
    auto failures(TimePoint now) const -> double; ///< recent share of failed requests, 0 (none) to 1 (all)
    auto slowness(TimePoint now) const -> double; ///< ratio of observed to expected time, at least 1; decays to 1 within some seconds
    auto isEjected(TimePoint now) const -> bool; ///< the time of the last ejection isn't over; needsProbe() stays true afterwards
    auto wasEjected(TimePoint now, Duration ago) const -> bool; ///< ejected now or within the last `ago`, without a success since
    auto needsProbe() const -> bool; ///< no success since the last ejection
    auto probe() const -> SendId; ///< the last request sent as a probe; 0: none
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
    int m_ejections = 0; ///< in a row, without a success between them
    TimePoint m_ejectedUntil;
    SendId m_probe;
    TimePoint m_succeededAt;
};

} // namespace KingCup
