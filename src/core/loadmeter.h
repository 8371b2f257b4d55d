// Limits the rate at which replicas are loaded from the weight store, which all runners share. No I/O.
#pragma once

#include "core/units.h"

#include <vector>

namespace KingCup
{

/// Sliding-window rate limit for loads from the weight store. A new lease holder doesn't know which loads its predecessor has started, so its
/// allowance starts at 0 and grows over one window.
class LoadMeter
{
public:
    /// `perSecond` 0: not limited. `overshoot`: factor on the rate.
    auto setRate(double perSecond, Duration window, double overshoot) -> void;

    auto available(TimePoint now) const -> int; ///< loads that may start now

    auto began(TimePoint now) -> void; ///< a load has started
    auto reset(TimePoint now) -> void; ///< this process has become the lease holder

private:
    double m_perSecond = 0;
    Duration m_window = Duration::seconds(5);
    double m_overshoot = 1;
    std::vector<TimePoint> m_recentLoads;
    TimePoint m_startedAt; ///< when this process became the lease holder
};

} // namespace KingCup
