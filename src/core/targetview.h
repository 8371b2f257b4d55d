// Which targets are there, by their rows in the store. Pure.
//
// A row that goes says that its target has left, and nothing new is sent there. But the store drops rows by their silence, and while it was
// away itself, healthy targets could not be seen: their rows go, and come back within two seconds of its return. Believed at
// once, such a gap would leave callers without any target. So a row that goes during trouble, or soon after, is kept that long.
#pragma once

#include "core/targetinfo.h"
#include "core/units.h"

#include <map>
#include <set>
#include <vector>

namespace KingCup
{

struct TargetViewOptions {
    Duration settleTime = Duration::millis(2300); ///< after trouble: targets are back within two seconds, and their rows have to arrive
    double maxLossShare = 0.5; ///< of the targets may go at one moment and be believed: one zone of three or more holds less
};

struct TargetChanges {
    std::vector<TargetDescription> seen; ///< new or changed
    std::vector<TargetId> gone;
};

class TargetView
{
public:
    explicit TargetView(TargetViewOptions options = {});

    auto isSettled(TimePoint now) const -> bool; ///< rows that go are believed at once
    auto find(const TargetId &target) const -> const TargetDescription *;
    auto targets() const -> const std::map<TargetId, TargetDescription> &;

    /// The store wasn't reached.
    auto storeUnreachable(TimePoint now) -> void;
    auto rowReceived(const TargetDescription &description, TimePoint now) -> TargetChanges;
    /// So many known targets' rows go at one moment. Most targets don't: a store that was away drops the rows of all that it couldn't hear, and
    /// they are back within two seconds. Without this, every caller is refused that long wherever its absence wasn't noticed before. True if
    /// that is taken for trouble.
    auto detectMassRemoval(std::size_t count, TimePoint now) -> bool;
    /// The row is gone, or names no target any more.
    auto rowRemoved(const TargetId &target, TimePoint now) -> TargetChanges;
    /// Another gateway knows that it leaves. Another start under the same id is another target.
    auto reportedLeaving(const TargetIncarnation &target, TimePoint now) -> TargetChanges;
    /// It isn't at its address any more, whatever its row says.
    auto misdirected(const TargetId &target) -> TargetChanges;
    auto advance(TimePoint now) -> TargetChanges; ///< call a few times a second

private:
    TargetViewOptions m_options;
    std::map<TargetId, TargetDescription> m_targets;
    std::set<TargetId> m_missing; ///< rows that went during trouble
    TimePoint m_unreachableAt;
    bool m_wasUnreachable = false;
};

} // namespace KingCup
