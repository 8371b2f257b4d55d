#include "core/storewatchers.h"

#include <algorithm>

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

auto StoreWatchers::initialSource(int registered, int ahead) const -> TableSource
{
    return registered <= m_options.maxDirectReaders || ahead < m_options.maxCount ? TableSource::Store : TableSource::Peers;
}

} // namespace KingCup
