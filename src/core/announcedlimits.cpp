#include "core/announcedlimits.h"

namespace KingCup
{

AnnouncedLimits::AnnouncedLimits(AnnouncedLimitOptions options)
    : m_options(options)
{
}

auto AnnouncedLimits::perSecond(const TargetIncarnation &target) const -> std::optional<double>
{
    if (m_limits.empty()) {
        return std::nullopt;
    }
    const auto found = m_limits.find(target);
    return found == m_limits.end() ? std::nullopt : found->second.perSecond;
}

auto AnnouncedLimits::notices(TimePoint now) const -> std::vector<LimitNotice>
{
    std::vector<LimitNotice> list;
    for (const auto &[target, known] : m_limits) {
        list.push_back({target, known.perSecond, now - known.at});
    }
    return list;
}

auto AnnouncedLimits::answerReceived(const TargetIncarnation &target, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> bool
{
    const auto before = this->perSecond(target);
    if (!perSecond && (!before || sentAt <= m_limits.at(target).at)) {
        return false;
    }
    m_limits[target] = {perSecond, now};
    return before != perSecond;
}

auto AnnouncedLimits::noticeReceived(const LimitNotice &notice, TimePoint now) -> bool
{
    const auto before = perSecond(notice.target);
    const auto [known, isNew] = m_limits.try_emplace(notice.target, Announcement {notice.perSecond, now - notice.age});
    if (!isNew && known->second.at < now - notice.age) {
        known->second = {notice.perSecond, now - notice.age};
    }
    return before != perSecond(notice.target);
}

auto AnnouncedLimits::expire(TimePoint now) -> void
{
    std::erase_if(m_limits, [&](const auto &limit) {
        const auto &known = limit.second;
        return now - known.at > (known.perSecond ? m_options.lifetime : m_options.endedLifetime);
    });
}

} // namespace KingCup
