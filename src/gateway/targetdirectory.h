// The targets this gateway knows: from their rows in the store, from other gateways, and from what runners hold by the lease holder's reports.
//
// Index of sections (search for [SECTION]):
//   Parts             what it needs
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
    std::function<void(const TargetDescription &target)> onSeen; ///< new, changed or started anew
    std::function<void(const TargetId &target)> onGone;
    std::function<bool()> givesOrders; ///< this gateway: then its own books say what runners hold
};

// [SECTION] TargetDirectory

class TargetDirectory
{
public:
    TargetDirectory(TargetDirectoryParts parts, TargetDirectoryHooks hooks);

    // Queries
    /// Targets that leave or have left, for a while: other gateways may not have seen it.
    auto writeLeaving(Wire::GatewayDigest &digest) const -> void;

    // Commands
    auto applyRows(const std::vector<StoredRow> &rows) -> void;
    auto storeUnreachable() -> void; ///< what is known may be out of date, or was until now
    auto reportedLeaving(const TargetIncarnation &target) -> void; ///< by another gateway
    /// Another target answers at its address.
    auto misdirected(const TargetId &target) -> void;
    /// By the lease holder: newer than the row. False if it is about another start of the target.
    auto reportedResidency(const TargetId &target, std::uint64_t bornMillis, const std::vector<ResidentModel> &models) -> bool;
    auto advance() -> void; ///< call a few times a second

private:
    /// What the gateway that gives orders says that one start of a runner holds.
    struct ReportedResidency {
        TargetIncarnation incarnation;
        std::vector<ResidentModel> models;
    };
    auto checkMassRemoval(const std::vector<StoredRow> &rows) -> void;
    auto apply(const TargetChanges &changes) -> void;
    auto onSeen(const TargetDescription &target) -> void;
    auto onGone(const TargetId &target) -> void;

    TargetDirectoryParts m_parts;
    TargetDirectoryHooks m_hooks;
    TargetView m_view;
    std::map<TargetIncarnation, TimePoint> m_leaving; ///< announced since
    std::map<TargetId, ReportedResidency> m_residencies;
};

} // namespace KingCup
