#include "core/storewatchers.h"

#include <algorithm>

namespace KingCup
{

StoreWatchers::StoreWatchers(StoreWatcherOptions options)
    : m_options(options)
{
}

auto StoreWatchers::advance(bool isReached, TimePoint now) -> void
{
    if (isReached) {
        m_lostAt.reset();
    } else if (!m_lostAt) {
        m_lostAt = now;
    }
}

auto StoreWatchers::wanted(TimePoint now) const -> int
{
    int count = m_options.usual;
    if (m_lostAt) {
        for (auto joinsAt = *m_lostAt + m_options.joinAfter; joinsAt <= now && count < m_options.most; joinsAt = joinsAt + m_options.joinAfter) {
            count *= 2;
        }
    }
    return std::min(count, std::max(m_options.most, m_options.usual));
}

auto StoreWatchers::sourceAtStart(int registered, int ahead) const -> TableSource
{
    return registered <= m_options.mostReading || ahead < m_options.most ? TableSource::Store : TableSource::Peers;
}

} // namespace KingCup
