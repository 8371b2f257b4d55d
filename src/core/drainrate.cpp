#include "core/drainrate.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace KingCup
{

DrainRate::DrainRate(TimePoint startedAt, DrainRateOptions options)
    : m_options(options)
    , m_count(options.assumedPerSecond * options.memory.inSeconds())
    , m_countedAt(startedAt)
{
}

auto DrainRate::count(TimePoint now) const -> double
{
    return m_count * std::exp(-std::max((now - m_countedAt).inSeconds(), 0.0) / m_options.memory.inSeconds());
}

auto DrainRate::perSecond(TimePoint now) const -> double
{
    return count(now) / m_options.memory.inSeconds();
}

auto DrainRate::expectedWait(int position, TimePoint now) const -> Duration
{
    const double seconds = (std::max(position, 0) + 1) / perSecond(now);
    return seconds < m_options.maxWait.inSeconds() ? Duration::seconds(seconds) : m_options.maxWait;
}

auto DrainRate::slotFreed(TimePoint now) -> void
{
    m_count = count(now) + 1;
    m_countedAt = std::max(now, m_countedAt);
}

auto DrainRate::returnTime(int position, Duration timeLeft, TimePoint now) -> std::optional<Duration>
{
    m_returns.erase(m_returns.begin(), m_returns.lower_bound(now));
    const auto longest = timeLeft * m_options.maxShareOfTimeLeft;
    if (longest < m_options.minReturn) {
        return std::nullopt;
    }
    const auto first = now + m_options.minReturn;
    const auto last = now + longest;
    const auto wanted = std::clamp(now + expectedWait(position, now), first, last);
    const auto at = place(wanted, first, last, std::max(expectedWait(0, now), m_options.resolution));
    m_returns.insert(at);
    if (m_returns.size() > m_options.maxReturns) {
        m_returns.erase(std::prev(m_returns.end()));
    }
    return at - now;
}

/// The earliest time from `wanted` to `last` that is at least `spacing` from every other return. If there is none, the time from `first` to `last` that is
/// farthest from the nearest other return.
auto DrainRate::place(TimePoint wanted, TimePoint first, TimePoint last, Duration spacing) const -> TimePoint
{
    auto at = wanted;
    for (auto next = m_returns.upper_bound(wanted - spacing); next != m_returns.end() && *next < at + spacing; ++next) {
        at = *next + spacing;
    }
    if (at <= last) {
        return at;
    }
    auto best = last;
    Duration longest;
    const auto consider = [&](TimePoint candidate) {
        const auto following = m_returns.lower_bound(candidate);
        auto distance = following == m_returns.end() ? m_options.maxWait : *following - candidate;
        if (following != m_returns.begin()) {
            distance = std::min(distance, candidate - *std::prev(following));
        }
        if (distance > longest) {
            longest = distance;
            best = candidate;
        }
    };
    consider(first);
    consider(last);
    for (auto other = m_returns.lower_bound(first); other != m_returns.end() && *other < last; ++other) {
        const auto following = std::next(other);
        if (following != m_returns.end() && *following <= last) {
            consider(*other + (*following - *other) * 0.5);
        }
    }
    return best;
}

} // namespace KingCup
