#include "core/membership.h"

#include "core/hashing.h"

#include <algorithm>
#include <set>

namespace KingCup
{

auto rankMembers(const std::string &subject, std::vector<std::string> members) -> std::vector<std::string>
{
    const auto before = [&subject](const std::string &left, const std::string &right) {
        const auto leftScore = rendezvousScore(subject, left);
        const auto rightScore = rendezvousScore(subject, right);
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    };
    std::sort(members.begin(), members.end(), before);
    return members;
}

auto memberSubset(const std::string &subject, std::vector<std::string> members, std::size_t count) -> std::vector<std::string>
{
    auto ranked = rankMembers(subject, std::move(members));
    ranked.resize(std::min(count, ranked.size()));
    return ranked;
}

auto toString(MemberState state) -> const char *
{
    switch (state) {
    case MemberState::Proposed:
        return "proposed";
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Leaving:
        return "leaving";
    }
    return "";
}

Membership::Membership(MembershipOptions options)
    : m_options(options)
{
}

auto Membership::find(const std::string &id) const -> std::optional<Member>
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? std::nullopt : std::optional<Member>(found->second);
}

auto Membership::members(HostRole role) const -> std::vector<Member>
{
    std::vector<Member> result;
    for (const auto &[id, member] : m_members) {
        if (member.host.role == role) {
            result.push_back(member);
        }
    }
    return result;
}

auto Membership::live(HostRole role) const -> std::vector<std::string>
{
    std::vector<std::string> result;
    for (const auto &[id, member] : m_members) {
        if (member.host.role == role && member.state == MemberState::Live) {
            result.push_back(id);
        }
    }
    return result;
}

auto Membership::isListTrusted() const -> bool
{
    return !m_distrustedSince;
}

auto Membership::ranksFirst(const std::string &subject, const std::string &id) const -> bool
{
    const auto ranked = rankMembers(subject, live(HostRole::Entry));
    return !ranked.empty() && ranked.front() == id;
}

auto Membership::listReceived(const std::vector<ListedHost> &hosts, TimePoint now) -> void
{
    // If the list service restarts empty or loses a shard, its list would remove many healthy members at once. Such a list lacks a large share of the listed
    // members that still send heartbeats. Its additions are applied at once, its removals only once this has lasted for distrustPeriod.
    std::set<std::string> listed;
    for (const auto &host : hosts) {
        listed.insert(host.id);
    }
    std::size_t known = 0;
    std::size_t missing = 0;
    for (const auto &[id, member] : m_members) {
        known += member.isListed ? 1 : 0;
        missing += member.isListed && !listed.contains(id) ? 1 : 0;
    }
    const bool doubtful = missing > 0 && static_cast<double>(missing) >= m_options.distrustedLossShare * static_cast<double>(known);
    if (doubtful && !m_distrustedSince) {
        m_distrustedSince = now;
    }
    if (!doubtful) {
        m_distrustedSince.reset();
    }
    mergeListed(hosts, now);
    if (doubtful && now - *m_distrustedSince < m_options.distrustPeriod) {
        return;
    }
    m_distrustedSince.reset();
    for (auto &[id, member] : m_members) {
        member.isListed = listed.contains(id);
    }
}

auto Membership::mergeListed(const std::vector<ListedHost> &hosts, TimePoint now) -> void
{
    for (const auto &host : hosts) {
        auto [it, isNew] = m_members.try_emplace(host.id, Member {.host = host, .lastSeen = now});
        auto &member = it->second;
        const bool moved = !isNew && member.host.endpoint != host.endpoint;
        const bool returned = !isNew && member.host.leaving && !host.leaving;
        member.host = host;
        member.isListed = true;
        if (host.leaving) {
            member.state = MemberState::Leaving;
        } else if (moved || returned) {
            member.state = MemberState::Proposed;
            member.lastSeen = now;
        }
    }
}

auto Membership::seen(const std::string &id, TimePoint now) -> void
{
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return;
    }
    found->second.lastSeen = now;
    if (found->second.state != MemberState::Leaving) {
        found->second.state = MemberState::Live;
    }
}

auto Membership::reportedLeaving(const std::string &id) -> void
{
    if (const auto found = m_members.find(id); found != m_members.end()) {
        found->second.state = MemberState::Leaving;
    }
}

auto Membership::reportedStaying(const std::string &id) -> void
{
    const auto found = m_members.find(id);
    if (found != m_members.end() && found->second.state == MemberState::Leaving && !found->second.host.leaving) {
        found->second.state = MemberState::Live;
    }
}

auto Membership::connectionLost(const std::string &id) -> void
{
    const auto found = m_members.find(id);
    if (found != m_members.end() && found->second.state == MemberState::Live) {
        found->second.state = MemberState::Suspect;
    }
}

auto Membership::advance(TimePoint now) -> void
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        auto &member = it->second;
        const auto silent = now - member.lastSeen;
        if (!member.isListed && silent > m_options.forgetAfter) {
            it = m_members.erase(it);
            continue;
        }
        const bool wasPresent = member.state == MemberState::Live || member.state == MemberState::Suspect;
        if (wasPresent && silent > m_options.deadAfter) {
            member.state = MemberState::Dead;
        } else if (member.state == MemberState::Live && silent > m_options.suspectAfter) {
            member.state = MemberState::Suspect;
        }
        ++it;
    }
}

} // namespace KingCup
