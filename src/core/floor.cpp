#include "core/floor.h"

#include <algorithm>

namespace KingCup
{

// [SECTION] Row

auto FloorRow::names(const TargetId &target, const ArtifactName &artifact) const -> bool
{
    const auto found = holders.find(target);
    return found != holders.end() && found->second.contains(artifact);
}

auto FloorRow::holdersOf(const ArtifactName &artifact) const -> std::set<TargetId>
{
    std::set<TargetId> targets;
    for (const auto &[target, artifacts] : holders) {
        if (artifacts.contains(artifact)) {
            targets.insert(target);
        }
    }
    return targets;
}

auto FloorRow::artifactsOf(const TargetId &target) const -> ArtifactSet
{
    const auto found = holders.find(target);
    return found == holders.end() ? ArtifactSet() : found->second;
}

auto floorRowOf(const Plan &plan) -> FloorRow
{
    FloorRow row;
    for (const auto &target : plan.targets()) {
        const auto &artifacts = plan.artifactsOn(target);
        row.holders[target] = ArtifactSet(artifacts.begin(), artifacts.end());
    }
    return row;
}

auto planOf(const FloorRow &row) -> Plan
{
    Plan plan;
    for (const auto &[target, artifacts] : row.holders) {
        for (const auto &artifact : artifacts) {
            plan.add(target, artifact);
        }
    }
    return plan;
}

// [SECTION] Holder

auto FloorPins::isSettled() const -> bool
{
    return m_settled;
}

auto FloorPins::version() const -> RowVersion
{
    return m_version;
}

auto FloorPins::isPinned(const ArtifactName &artifact) const -> bool
{
    return !m_settled || m_named.contains(artifact);
}

auto FloorPins::named() const -> const ArtifactSet &
{
    return m_named;
}

auto FloorPins::rowRead(RowSource source, RowVersion version, const ArtifactSet &namedForUs) -> bool
{
    m_settled = m_settled || source == RowSource::Table;
    // Rows may arrive out of order. An older row may not name an artifact that a newer row assigns to this target.
    if (version <= m_version) {
        return false;
    }
    m_version = version;
    m_named = namedForUs;
    return true;
}

// [SECTION] Planner

namespace
{

auto hasConfirmed(const FloorInput &input, const TargetId &target, const ArtifactName &artifact) -> bool
{
    const auto report = input.reports.find(target);
    if (report == input.reports.end()) {
        return false;
    }
    const bool namedNow = input.current.names(target, artifact);
    return namedNow && report->second.version == input.version && report->second.resident.contains(artifact);
}

auto nextHolders(const FloorInput &input, const ArtifactName &artifact) -> std::set<TargetId>
{
    auto current = input.current.holdersOf(artifact);
    auto desired = input.desired.holdersOf(artifact);
    if (desired.empty()) {
        return current;
    }
    const bool allConfirmed = std::all_of(desired.begin(), desired.end(), [&](const TargetId &target) { return hasConfirmed(input, target, artifact); });
    if (allConfirmed) {
        return desired;
    }
    current.insert(desired.begin(), desired.end());
    return current;
}

} // namespace

auto composeFloorRow(const FloorInput &input) -> std::optional<FloorRow>
{
    FloorRow next;
    for (const auto &artifact : input.declared) {
        for (const auto &target : nextHolders(input, artifact)) {
            next.holders[target].insert(artifact);
        }
    }
    auto current = input.current;
    std::erase_if(current.holders, [](const auto &item) { return item.second.empty(); });
    if (next == current) {
        return std::nullopt;
    }
    return next;
}

} // namespace KingCup
