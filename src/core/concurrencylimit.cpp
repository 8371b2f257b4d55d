#include "core/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

namespace
{

constexpr double RecentWeight = 0.1; ///< weight of one observation in the moving average of the service time
constexpr double BaselineDrift = 1.001; ///< factor on the baseline per observation: a baseline that is too low is corrected after a few thousand observations
constexpr double MinUtilization = 0.8; ///< the limit grows only if at least this share of it is in use; otherwise the service time says nothing about the limit
constexpr double GentleShrink = 0.98; ///< factor for each observation of a slow target
constexpr double HardShrink = 0.8; ///< factor for each overload

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
