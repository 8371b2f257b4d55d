#include "core/storewatchers.h"

#include <algorithm>
#include <cstdint>

namespace KingCup
{

StoreWatchers::StoreWatchers(StoreWatcherOptions options)
    : m_options(options)
{
}

auto StoreWatchers::advance(bool isStoreReachable, TimePoint since) -> void
{
    if (isStoreReachable) {
        m_unreachableSince.reset();
    } else if (!m_unreachableSince) {
        m_unreachableSince = since;
    }
}

auto StoreWatchers::desiredWatchers(TimePoint now) const -> int
{
    int count = m_options.baseCount;
    if (m_unreachableSince) {
        for (auto joinsAt = *m_unreachableSince + m_options.doubleAfter; joinsAt <= now && count < m_options.maxCount;
             joinsAt = joinsAt + m_options.doubleAfter) {
            count *= 2;
        }
    }
    return std::min(count, std::max(m_options.maxCount, m_options.baseCount));
}

/// When the number of watchers has doubled up to the limit.
auto StoreWatchers::fullSince() const -> std::optional<TimePoint>
{
    if (!m_unreachableSince) {
        return std::nullopt;
    }
    auto at = *m_unreachableSince;
    for (int count = m_options.baseCount; count < m_options.maxCount; count *= 2) {
        at = at + m_options.doubleAfter;
    }
    return at;
}

auto StoreWatchers::isDesired(int ahead, int gateways, TimePoint now) const -> bool
{
    const auto full = fullSince();
    if (!full || now < *full || gateways <= m_options.maxCount) {
        return ahead < desiredWatchers(now);
    }
    const auto turns = static_cast<std::int64_t>((now - *full).inSeconds() / m_options.turn.inSeconds());
    const auto size = std::max(1, m_options.maxCount / 2);
    const auto first = (turns + 1) * size % gateways; // the first `size` gateways have been trying since the limit was reached
    return (ahead + gateways - first) % gateways < size;
}

auto StoreWatchers::initialSource(int registered, int ahead) const -> TableSource
{
    return registered <= m_options.maxDirectReaders || ahead < m_options.maxCount ? TableSource::Store : TableSource::Peers;
}

} // namespace KingCup
