// The set of known targets, from their rows in the store. No I/O.
//
// The removal of a row means that its target has left, and it gets no new requests. But the store also removes rows whose targets
// don't renew them, and even healthy targets can't renew them while the store is unavailable: their rows are removed, and
// return within two seconds of the store's recovery. If these removals took effect at once, requests would have no target. So the
// removal of a row while the store is unreachable, or within `settleTime` afterwards, is deferred, unless the target had announced
// that it is leaving.
//
// A target also says in its answers that it is leaving, possibly before its row does. From then on it counts as leaving until it starts again, whatever its row
// says: rows arrive late and out of order.
#pragma once

#include "core/targetinfo.h"
#include "core/units.h"

#include <map>
#include <set>
#include <vector>

namespace KingCup
{

struct TargetViewOptions {
    Duration settleTime = Duration::millis(2300); ///< deferral after the store was unreachable: rows return within two seconds, and have to arrive here
    Duration announcedLifetime = Duration::seconds(600); ///< an announcement that a target is leaving is kept for this long; the target has ended by then
    double maxLossShare = 0.5; ///< see detectMassRemoval(); an outage of the store removes more, the loss of one zone of three a smaller share
};

struct TargetChanges {
    std::vector<TargetDescription> seen; ///< new or changed
    std::vector<TargetId> gone;
};

class TargetView
{
public:
    explicit TargetView(TargetViewOptions options = {});

    auto isSettled(TimePoint now) const -> bool; ///< the removal of a row takes effect at once
    auto find(const TargetId &target) const -> const TargetDescription *;
    auto targets() const -> const std::map<TargetId, TargetDescription> &;

    /// The store could not be reached.
    auto storeUnreachable(TimePoint now) -> void;
    /// A new or changed row.
    auto rowReceived(const TargetDescription &description, TimePoint now) -> TargetChanges;
    /// The rows of `count` known targets are about to be removed at once. `followedFor`: how long the store is known to have answered without an interruption.
    /// If that is less than `settleTime`, and `count` is more than one and more than `maxLossShare` of all, an outage is taken to be the reason, and true is
    /// returned: a store that was unavailable removes all rows that weren't renewed, and they return within two seconds. Without this check, a gateway that
    /// knows too little of the outage would refuse every caller for that time. While the store answers, targets have left, however many they are.
    auto detectMassRemoval(std::size_t count, Duration followedFor, TimePoint now) -> bool;
    /// The row was removed, or no longer describes a target.
    auto rowRemoved(const TargetId &target, TimePoint now) -> TargetChanges;
    /// The target has announced in an answer, here or at another gateway, that it is leaving. Holds for this incarnation, also if its row is received only
    /// later.
    auto announcedLeaving(const TargetIncarnation &target, TimePoint now) -> TargetChanges;
    /// Another gateway reported that the target is leaving or gone by its row. Ignored for another incarnation under the same id; a later row replaces it.
    auto reportedLeaving(const TargetIncarnation &target, TimePoint now) -> TargetChanges;
    /// Another process answers at the target's address. Removes the target even though its row still exists.
    auto misdirected(const TargetId &target) -> TargetChanges;
    auto advance(TimePoint now) -> TargetChanges; ///< applies deferred removals; call a few times per second

private:
    TargetViewOptions m_options;
    std::map<TargetId, TargetDescription> m_targets;
    std::set<TargetId> m_missing; ///< known targets whose rows were removed before isSettled(): their removal is deferred
    std::map<TargetIncarnation, TimePoint> m_announced; ///< targets that have announced to leave, with the time of the last announcement
    TimePoint m_unreachableAt; ///< when the store was last unreachable
    bool m_wasUnreachable = false;
};

} // namespace KingCup
