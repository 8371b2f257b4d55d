#include "core/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

namespace
{

constexpr double RecentWeight = 0.1; ///< weight of one observation in the recent mean
constexpr double BaselineDrift = 1.001; ///< per observation: a baseline that was too low is forgotten after some thousands
constexpr double MinUtilization = 0.8; ///< a limit that isn't used to this share tells nothing, so it doesn't grow
constexpr double GentleShrink = 0.98;
constexpr double HardShrink = 0.8;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : m_options(options)
    , m_limit(options.initial)
{
}

auto ConcurrencyLimit::limit() const -> int
{
    return static_cast<int>(m_limit);
}

auto ConcurrencyLimit::observeService(Duration serviceTime, int running) -> void
{
    const auto micros = static_cast<double>(std::max<std::int64_t>(serviceTime.inMicros(), 1));
    m_recentMicros = m_recentMicros == 0 ? micros : m_recentMicros + RecentWeight * (micros - m_recentMicros);
    m_unloadedMicros = m_unloadedMicros == 0 ? micros : std::min(m_unloadedMicros * BaselineDrift, m_recentMicros);
    if (m_recentMicros > m_unloadedMicros * m_options.tolerance) {
        shrink(GentleShrink);
    } else {
        grow(running);
    }
}

auto ConcurrencyLimit::observeStep(Duration step, int running) -> void
{
    if (step > m_options.maxStepTime) {
        shrink(GentleShrink);
    } else if (step.inMicros() > 0) {
        grow(running);
    }
}

auto ConcurrencyLimit::observeOverload() -> void
{
    shrink(HardShrink);
}

auto ConcurrencyLimit::grow(int running) -> void
{
    if (running >= m_limit * MinUtilization) {
        m_limit = std::min<double>(m_options.max, m_limit + 1.0 / std::sqrt(m_limit));
    }
}

auto ConcurrencyLimit::shrink(double factor) -> void
{
    m_limit = std::max<double>(m_options.min, m_limit * factor);
}

} // namespace KingCup
