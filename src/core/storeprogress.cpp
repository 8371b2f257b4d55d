#include "core/storeprogress.h"

#include <algorithm>

namespace KingCup
{

StoreProgress::StoreProgress(StoreProgressOptions options)
    : m_options(options)
{
}

auto StoreProgress::stallTime() const -> Duration
{
    const auto longest = m_intervals.empty() ? Duration() : m_intervals.front().second;
    return std::clamp(longest * m_options.stallFactor, m_options.minStall, m_options.maxStall);
}

auto StoreProgress::isStalled(TimePoint now) const -> bool
{
    return m_intervalCount >= m_options.minIntervals && now - m_advancedAt >= stallTime();
}

auto StoreProgress::stalledSince() const -> TimePoint
{
    return m_advancedAt + stallTime();
}

auto StoreProgress::stalledAt() const -> RowVersion
{
    return m_stalledAt;
}

auto StoreProgress::versionSeen(RowVersion version, TimePoint now) -> void
{
    if (version <= m_version) {
        return;
    }
    if (m_version > RowVersion()) {
        addInterval(now - m_advancedAt, now);
    }
    m_version = version;
    m_advancedAt = now;
}

auto StoreProgress::storeRead(RowVersion version, TimePoint now) -> void
{
    if (!isStalled(now) || version > m_stalledAt) {
        return;
    }
    // A store in which nothing changes must not be read again and again.
    addInterval((now - m_advancedAt) * m_options.unchangedFactor, now);
    m_advancedAt = now;
    m_stalledAt = RowVersion();
}

auto StoreProgress::addInterval(Duration interval, TimePoint now) -> void
{
    m_intervalCount = std::min(m_intervalCount + 1, m_options.minIntervals);
    while (!m_intervals.empty() && m_intervals.back().second <= interval) {
        m_intervals.pop_back();
    }
    m_intervals.emplace_back(now, interval);
    while (m_intervals.size() > 1 && now - m_intervals.front().first > m_options.memory) {
        m_intervals.pop_front();
    }
}

auto StoreProgress::advance(TimePoint now) -> bool
{
    if (!isStalled(now) || m_stalledAt == m_version) {
        return false;
    }
    m_stalledAt = m_version;
    return true;
}

} // namespace KingCup
