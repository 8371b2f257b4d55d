// The pace at which copies may be loaded from the weight store, which all runners share. Pure.
#pragma once

#include "core/units.h"

#include <vector>

namespace KingCup
{

/// The loads from the weight store that may begin, counted over a sliding window. A new holder begins with nothing: what its predecessor
/// began counts too.
class LoadMeter
{
public:
    /// `perSecond` 0: not limited.
    auto setRate(double perSecond, Duration window, double overshoot) -> void;

    auto available(TimePoint now) const -> int;

    auto began(TimePoint now) -> void;
    auto reset(TimePoint now) -> void;

private:
    double m_perSecond = 0;
    Duration m_window = Duration::seconds(5);
    double m_overshoot = 1;
    std::vector<TimePoint> m_recentLoads;
    TimePoint m_startedAt;
};

} // namespace KingCup
