#include "core/targetpauses.h"

#include <algorithm>

namespace KingCup
{

auto TargetPauses::until(const TargetIncarnation &target, TimePoint now) const -> std::optional<TimePoint>
{
    if (m_until.empty()) {
        return std::nullopt;
    }
    const auto found = m_until.find(target);
    return found == m_until.end() || now >= found->second ? std::nullopt : std::optional(found->second);
}

auto TargetPauses::pause(const TargetIncarnation &target, Duration span, TimePoint now) -> void
{
    auto &until = m_until[target];
    until = std::max(until, now + span);
}

auto TargetPauses::expire(TimePoint now) -> void
{
    std::erase_if(m_until, [&](const auto &pause) { return now >= pause.second; });
}

} // namespace KingCup
