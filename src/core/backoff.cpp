#include "core/backoff.h"

#include <algorithm>

namespace KingCup
{

Backoff::Backoff(BackoffOptions options)
    : m_options(options)
    , m_current(options.initial)
{
}

auto Backoff::current() const -> Duration
{
    return m_current;
}

auto Backoff::next(std::minstd_rand &random) -> Duration
{
    constexpr double MinJitter = 0.5;
    std::uniform_real_distribution<double> jitter(MinJitter, 1.0);
    const Duration delay = m_current * jitter(random);
    m_current = std::min(m_current * m_options.factor, m_options.max);
    return delay;
}

auto Backoff::reset() -> void
{
    m_current = m_options.initial;
}

} // namespace KingCup
