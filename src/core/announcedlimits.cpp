#include "core/announcedlimits.h"

namespace KingCup
{

AnnouncedLimits::AnnouncedLimits(AnnouncedLimitOptions options)
    : m_options(options)
{
}

auto AnnouncedLimits::perSecond(const TargetIncarnation &target) const -> std::optional<double>
{
    const auto found = m_limits.find(target);
    return found == m_limits.end() ? std::nullopt : std::optional(found->second.perSecond);
}

auto AnnouncedLimits::answerReceived(const TargetIncarnation &target, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> bool
{
    const auto before = this->perSecond(target);
    if (perSecond) {
        m_limits[target] = {*perSecond, now};
        return before != perSecond;
    }
    const auto found = m_limits.find(target);
    if (found == m_limits.end() || sentAt <= found->second.at) {
        return false;
    }
    m_limits.erase(found);
    return true;
}

auto AnnouncedLimits::expire(TimePoint now) -> void
{
    std::erase_if(m_limits, [&](const auto &limit) { return now - limit.second.at > m_options.lifetime; });
}

} // namespace KingCup
