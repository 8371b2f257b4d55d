#include "core/targetview.h"

#include <algorithm>
#include <utility>

namespace KingCup
{

TargetView::TargetView(TargetViewOptions options)
    : m_options(options)
{
}

auto TargetView::isSettled(TimePoint now) const -> bool
{
    return !m_wasUnreachable || now - m_unreachableAt >= m_options.settleTime;
}

auto TargetView::find(const TargetId &target) const -> const TargetDescription *
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

auto TargetView::targets() const -> const std::map<TargetId, TargetDescription> &
{
    return m_targets;
}

auto TargetView::storeUnreachable(TimePoint now) -> void
{
    m_wasUnreachable = true;
    m_unreachableAt = now;
}

auto TargetView::rowReceived(const TargetDescription &description, TimePoint /*now*/) -> TargetChanges
{
    m_missing.erase(description.incarnation.id);
    auto &known = m_targets[description.incarnation.id];
    const bool isSameStart = known.incarnation == description.incarnation;
    const auto knownVersion = known.softwareVersion;
    known = description;
    if (isSameStart && known.softwareVersion.isEmpty()) {
        known.softwareVersion = knownVersion; // a running process keeps its software
    }
    known.isLeaving = known.isLeaving || m_announced.contains(description.incarnation);
    return {.seen = {known}, .gone = {}};
}

auto TargetView::detectMassRemoval(std::size_t count, Duration followedFor, TimePoint now) -> bool
{
    const bool isTooMany
        = followedFor < m_options.settleTime && count > 1 && static_cast<double>(count) > m_options.maxLossShare * static_cast<double>(m_targets.size());
    if (isTooMany) {
        storeUnreachable(now);
    }
    return isTooMany;
}

auto TargetView::rowRemoved(const TargetId &target, TimePoint now) -> TargetChanges
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return {};
    }
    // A target that had announced that it is leaving has certainly left.
    if (!isSettled(now) && !found->second.isLeaving) {
        m_missing.insert(target);
        return {};
    }
    m_targets.erase(found);
    m_missing.erase(target);
    return {.seen = {}, .gone = {target}};
}

auto TargetView::announcedLeaving(const TargetIncarnation &target, TimePoint now) -> TargetChanges
{
    m_announced[target] = now;
    return reportedLeaving(target, now);
}

auto TargetView::reportedLeaving(const TargetIncarnation &target, TimePoint /*now*/) -> TargetChanges
{
    const auto found = m_targets.find(target.id);
    if (found == m_targets.end() || found->second.isLeaving || found->second.incarnation != target) {
        return {};
    }
    found->second.isLeaving = true;
    return {.seen = {found->second}, .gone = {}};
}

auto TargetView::misdirected(const TargetId &target) -> TargetChanges
{
    m_missing.erase(target);
    return m_targets.erase(target) > 0 ? TargetChanges {.seen = {}, .gone = {target}} : TargetChanges {};
}

auto TargetView::advance(TimePoint now) -> TargetChanges
{
    TargetChanges changes;
    std::erase_if(m_announced, [&](const auto &announced) { return now - announced.second > m_options.announcedLifetime; });
    if (isSettled(now)) {
        for (const auto &target : m_missing) {
            m_targets.erase(target);
            changes.gone.push_back(target);
        }
        m_missing.clear();
    }
    return changes;
}

} // namespace KingCup
