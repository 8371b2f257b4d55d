#include "gateway/targetdirectory.h"

#include <algorithm>
#include <arpa/inet.h>

namespace KingCup
{

namespace
{

/// Digests name a leaving target for this long.
constexpr auto LeavingAnnounceTime = Duration::seconds(5);

/// Whether the address can be connected to. Entries of other writers may name hosts, or anything else.
auto isIpv4(const std::string &address) -> bool
{
    in_addr parsed {};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1;
}

} // namespace

TargetDirectory::TargetDirectory(TargetDirectoryParts parts, TargetDirectoryHooks hooks)
    : m_parts(parts)
    , m_hooks(std::move(hooks))
{
}

auto TargetDirectory::writeLeaving(Wire::GatewayDigest &digest) const -> void
{
    for (const auto &[target, leaving] : m_leaving) {
        auto *added = digest.add_leaving();
        added->set_target(target.id.text());
        added->set_born_ms(target.startedAtMillis);
        added->set_announced(leaving.isAnnounced);
    }
}

auto TargetDirectory::applyRows(const std::vector<StoredRow> &rows) -> void
{
    checkMassRemoval(rows);
    for (const auto &row : rows) {
        const auto target = row.isRemoved ? std::nullopt : m_parts.protocol.decodeTarget(row.key, row.value);
        if (target && isIpv4(target->address.address)) {
            apply(m_view.rowReceived(*target, m_parts.loop.now()));
            continue;
        }
        m_parts.log.line("targets", row.isRemoved ? "row-removed" : "row-unreadable").add("target", row.key).add("version", row.version.value());
        apply(m_view.rowRemoved(TargetId(row.key), m_parts.loop.now()));
    }
}

auto TargetDirectory::checkMassRemoval(const std::vector<StoredRow> &rows) -> void
{
    const auto isKnown = [this](const StoredRow &row) {
        return row.isRemoved && m_view.find(TargetId(row.key)) != nullptr;
    };
    const auto removed = std::count_if(rows.begin(), rows.end(), isKnown);
    const auto followedFor = m_hooks.storeFollowedFor();
    if (m_view.detectMassRemoval(static_cast<std::size_t>(removed), followedFor, m_parts.loop.now())) {
        m_parts.log.line("targets", "mass-loss-doubted")
            .add("store-followed-for", followedFor)
            .add("removed", std::int64_t {removed})
            .add("known", static_cast<std::uint64_t>(m_view.targets().size()));
    }
}

auto TargetDirectory::storeUnreachable() -> void
{
    m_view.storeUnreachable(m_parts.loop.now());
}

auto TargetDirectory::announcedLeaving(const TargetIncarnation &target) -> void
{
    const auto now = m_parts.loop.now();
    m_leaving.try_emplace(target, Leaving {now, true}).first->second.isAnnounced = true;
    apply(m_view.announcedLeaving(target, now));
}

auto TargetDirectory::reportedLeaving(const TargetIncarnation &target, bool isAnnounced) -> void
{
    const auto now = m_parts.loop.now();
    apply(isAnnounced ? m_view.announcedLeaving(target, now) : m_view.reportedLeaving(target, now));
}

auto TargetDirectory::misdirected(const TargetId &target) -> void
{
    apply(m_view.misdirected(target));
}

auto TargetDirectory::reportedResidency(const TargetId &target, std::uint64_t bornMillis, const std::vector<ResidentModel> &models) -> bool
{
    const auto *description = m_parts.dispatcher.description(target);
    if (description == nullptr || description->incarnation.startedAtMillis != bornMillis) {
        return false;
    }
    m_residencies[target] = {description->incarnation, models};
    m_parts.dispatcher.targetHolds(target, models);
    return true;
}

auto TargetDirectory::advance() -> void
{
    const auto now = m_parts.loop.now();
    apply(m_view.advance(now));
    std::erase_if(m_leaving, [&](const auto &entry) { return now - entry.second.since > LeavingAnnounceTime; });
}

auto TargetDirectory::apply(const TargetChanges &changes) -> void
{
    for (const auto &target : changes.seen) {
        onSeen(target);
    }
    for (const auto &target : changes.gone) {
        onGone(target);
    }
}

auto TargetDirectory::onSeen(const TargetDescription &target) -> void
{
    const auto &id = target.incarnation.id;
    m_parts.log.line("targets", target.isLeaving ? "leaving" : "seen")
        .add("target", id.text())
        .add("born", target.incarnation.startedAtMillis)
        .add("service", target.service.text())
        .add("address", toString(target.address))
        .add("models", static_cast<int>(target.models.size()));
    m_parts.dispatcher.targetSeen(target, m_parts.loop.now());
    m_parts.names.add(id);
    m_hooks.onSeen(target);
    const auto reported = m_residencies.find(id);
    if (!m_hooks.givesOrders() && reported != m_residencies.end() && reported->second.incarnation == target.incarnation) {
        m_parts.dispatcher.targetHolds(id, reported->second.models); // while another gateway gives orders, its report is newer than the row
    }
    if (target.isLeaving) {
        m_leaving.try_emplace(target.incarnation, Leaving {m_parts.loop.now()});
    }
}

auto TargetDirectory::onGone(const TargetId &target) -> void
{
    m_parts.log.line("targets", "gone").add("target", target.text()).add("settled", m_view.isSettled(m_parts.loop.now()));
    if (const auto *description = m_parts.dispatcher.description(target)) {
        m_parts.pool.closeIdle(description->address);
        m_leaving.try_emplace(description->incarnation, Leaving {m_parts.loop.now()});
    }
    m_residencies.erase(target);
    m_parts.dispatcher.targetGone(target);
    m_parts.names.remove(target);
    m_hooks.onGone(target);
}

} // namespace KingCup
