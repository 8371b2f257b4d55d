#include "core/cellkeeper.h"

#include "core/hashing.h"

#include <algorithm>
#include <tuple>

namespace KingCup
{

CellKeeper::CellKeeper(std::string self, CellKeeperOptions options)
    : m_self(std::move(self))
    , m_options(options)
{
}

auto CellKeeper::keeper() const -> const std::string &
{
    return m_keeper;
}

/// Gateways with more reserved processor cores rank first. Ties are broken by a hash of the id, which is the same at all gateways.
auto CellKeeper::isBefore(const CellMember &a, const CellMember &b) const -> bool
{
    const auto rank = [](const CellMember &member) {
        return std::tuple(-member.processorShare, rendezvousScore("load-keeper", member.id));
    };
    return rank(a) < rank(b);
}

auto CellKeeper::zoneOf(const std::string &id) const -> ZoneName
{
    const auto found = std::find_if(m_ranked.begin(), m_ranked.end(), [&](const CellMember &member) { return member.id == id; });
    return found == m_ranked.end() ? ZoneName() : found->zone;
}

auto CellKeeper::setMembers(const std::vector<CellMember> &members) -> void
{
    m_ranked = members;
    std::sort(m_ranked.begin(), m_ranked.end(), [this](const CellMember &a, const CellMember &b) { return isBefore(a, b); });
}

auto CellKeeper::relays(const std::set<std::string> &alive) const -> std::set<std::string>
{
    std::map<ZoneName, std::string> first;
    const auto own = zoneOf(m_self);
    for (const auto &member : m_ranked) {
        if (member.zone != own && alive.contains(member.id)) {
            first.try_emplace(member.zone, member.id);
        }
    }
    std::set<std::string> ids;
    for (const auto &[zone, id] : first) {
        ids.insert(id);
    }
    return ids;
}

auto CellKeeper::zoneMates(const std::set<std::string> &alive) const -> std::set<std::string>
{
    std::set<std::string> ids;
    const auto own = zoneOf(m_self);
    for (const auto &member : m_ranked) {
        if (member.zone == own && member.id != m_self && alive.contains(member.id)) {
            ids.insert(member.id);
        }
    }
    return ids;
}

auto CellKeeper::sumReceived(const std::string &keeper, TimePoint now) -> void
{
    if (keeper == m_keeper) {
        m_receivedAt = now;
    }
}

auto CellKeeper::choose(const std::set<std::string> &live, TimePoint now) -> bool
{
    if (m_keeper != m_self && !m_keeper.empty() && now - m_receivedAt >= m_options.keeperTimeout) {
        m_avoidUntil[m_keeper] = now + m_options.avoidPeriod;
    }
    std::erase_if(m_avoidUntil, [&](const auto &avoided) { return now >= avoided.second; });
    const auto canBeKeeper = [&](const CellMember &member) {
        return member.id == m_self || (live.contains(member.id) && !m_avoidUntil.contains(member.id));
    };
    const auto found = std::find_if(m_ranked.begin(), m_ranked.end(), canBeKeeper);
    const auto next = found == m_ranked.end() ? std::string() : found->id;
    if (next == m_keeper) {
        return false;
    }
    m_keeper = next;
    m_receivedAt = now;
    return true;
}

} // namespace KingCup
