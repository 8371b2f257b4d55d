// The targets that this gateway knows, from three sources: their rows in the store, other gateways' reports of leaving targets, and the lease holder's reports
// of what runners hold.
//
// Index of sections (search for [SECTION]):
//   Parts             dependencies and callbacks
//   TargetDirectory   the task
#pragma once

#include "core/dispatch.h"
#include "core/targetview.h"
#include "gateway/digests.h"
#include "gateway/protocol.h"
#include "net/eventlog.h"
#include "net/httppool.h"

#include <functional>
#include <map>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

struct TargetDirectoryParts {
    EventLoop &loop;
    EventLog &log;
    const Protocol &protocol;
    HttpPool &pool;
    Dispatcher &dispatcher;
    TargetNames &names;
};

struct TargetDirectoryHooks {
    std::function<void(const TargetDescription &target)> onSeen; ///< new, changed or restarted
    std::function<void(const TargetId &target)> onGone;
    std::function<Duration()> storeFollowedFor; ///< how long the store is known to have answered without an interruption
    std::function<bool()> givesOrders; ///< this gateway holds the order lease: its own runner books then determine what runners hold
};

// [SECTION] TargetDirectory

class TargetDirectory
{
public:
    TargetDirectory(TargetDirectoryParts parts, TargetDirectoryHooks hooks);

    // Queries
    /// Adds the targets that began to leave or were removed within the last seconds: other gateways may not know of it yet.
    auto writeLeaving(Wire::GatewayDigest &digest) const -> void;

    // Commands
    auto applyRows(const std::vector<StoredRow> &rows) -> void;
    auto storeUnreachable() -> void; ///< the store is unreachable or has just become reachable again: known rows may be out of date
    auto announcedLeaving(const TargetIncarnation &target) -> void; ///< the target has announced in an answer that it is leaving
    /// Another gateway reported that the target is leaving; `isAnnounced`: by an answer of the target, else by its row.
    auto reportedLeaving(const TargetIncarnation &target, bool isAnnounced) -> void;
    /// Another target answers at the address of this one.
    auto misdirected(const TargetId &target) -> void;
    /// The lease holder reported what a runner holds, which is newer than the runner's row. False if the report is about another incarnation.
    auto reportedResidency(const TargetId &target, std::uint64_t bornMillis, const std::vector<ResidentModel> &models) -> bool;
    auto advance() -> void; ///< call a few times a second

private:
    /// What one incarnation of a runner holds, as the lease holder last reported.
    struct ReportedResidency {
        TargetIncarnation incarnation;
        std::vector<ResidentModel> models;
    };
    struct Leaving {
        TimePoint since;
        bool isAnnounced = false; ///< by an answer of the target
    };
    auto checkMassRemoval(const std::vector<StoredRow> &rows) -> void;
    auto apply(const TargetChanges &changes) -> void;
    auto onSeen(const TargetDescription &target) -> void;
    auto onGone(const TargetId &target) -> void;

    TargetDirectoryParts m_parts;
    TargetDirectoryHooks m_hooks;
    TargetView m_view;
    std::map<TargetIncarnation, Leaving> m_leaving; ///< targets that digests name as leaving
    std::map<TargetId, ReportedResidency> m_residencies;
};

} // namespace KingCup
