#include "core/loadmeter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace KingCup
{

auto LoadMeter::setRate(double perSecond, Duration window, double overshoot) -> void
{
    m_perSecond = perSecond;
    m_window = window;
    m_overshoot = overshoot;
}

auto LoadMeter::available(TimePoint now) const -> int
{
    if (m_perSecond <= 0) {
        return std::numeric_limits<int>::max();
    }
    const auto recent = std::count_if(m_recentLoads.begin(), m_recentLoads.end(), [&](TimePoint at) { return now - at < m_window; });
    // A new lease holder doesn't know the loads that its predecessor started in this window, so its allowance covers only the time since it became the holder.
    const double known = std::min((now - m_startedAt).inSeconds() / m_window.inSeconds(), 1.0);
    const double allowed = m_perSecond * m_window.inSeconds() * m_overshoot * known;
    return std::max(static_cast<int>(std::floor(allowed)) - static_cast<int>(recent), 0);
}

auto LoadMeter::began(TimePoint now) -> void
{
    std::erase_if(m_recentLoads, [&](TimePoint at) { return now - at >= m_window; });
    m_recentLoads.push_back(now);
}

auto LoadMeter::reset(TimePoint now) -> void
{
    m_recentLoads.clear();
    m_startedAt = now;
}

} // namespace KingCup
