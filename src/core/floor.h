// Floor copies: the protocol that keeps every declared artifact resident on at least one target, with several planners and with agents
// that restart or read stale rows. No I/O.
//
// One table row, changed by compare-and-set, says which targets hold which artifacts. A copy is moved by two writes of the row: the first
// adds the new holder; once the new holder has confirmed the copy *at that version of the row*, the second removes the old holder.
// Each holder pins the artifacts that the newest row it has read names for it, and unpins them only on a newer row. A holder that is no
// longer named may therefore unload its copy as soon as it has read that row: all holders named in it have confirmed their copies, and an
// older row doesn't let them unload.
//
// Index of sections (search for [SECTION]):
//   Row       FloorRow, the content of the table row
//   Holder    FloorPins, used by agents
//   Planner   composeFloorRow(), used by entries
#pragma once

#include "core/ids.h"
#include "core/plan.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace KingCup
{

// [SECTION] Row

using ArtifactSet = std::set<ArtifactName>;

/// Which target holds which artifacts.
struct FloorRow {
    std::map<TargetId, ArtifactSet> holders;

    auto names(const TargetId &target, const ArtifactName &artifact) const -> bool;
    auto holdersOf(const ArtifactName &artifact) const -> std::set<TargetId>;
    auto artifactsOf(const TargetId &target) const -> ArtifactSet;
    auto operator==(const FloorRow &) const -> bool = default;
};

/// Conversion from and to Plan, the form in which the row is stored and sent.
auto floorRowOf(const Plan &plan) -> FloorRow;
auto planOf(const FloorRow &row) -> Plan;

// [SECTION] Holder

/// Where a holder got the row from.
enum class RowSource {
    Table, ///< read from the table service by the holder itself
    Peer, ///< forwarded by an entry; may be stale
};

/// The artifacts that an agent must not unload.
class FloorPins
{
public:
    /// Whether the row has been read from the table since the agent started. Until then everything it holds is pinned: a new agent doesn't
    /// know what its predecessor confirmed, and on a stale row from a lagging peer it would unload a copy that a planner relies on.
    auto isSettled() const -> bool;
    auto version() const -> RowVersion; ///< of the newest row that was read
    auto isPinned(const ArtifactName &artifact) const -> bool;
    auto named() const -> const ArtifactSet &; ///< artifacts that the newest row assigns to this target: to be loaded and kept

    /// Returns whether the row was adopted, which it is if it is newer than the last. Version 0 from the table means that there is no row yet.
    auto rowRead(RowSource source, RowVersion version, const ArtifactSet &namedForUs) -> bool;

private:
    bool m_settled = false;
    RowVersion m_version;
    ArtifactSet m_named;
};

// [SECTION] Planner

/// The last report of a holder. A copy whose unload may still take effect isn't listed as resident. Nothing is while the holder's
/// MemoryLedger isn't open, as an unload that an earlier agent ordered may still arrive then.
struct HolderReport {
    RowVersion version; ///< of the row that it has read
    ArtifactSet resident; ///< artifacts named for it in that row that it holds
};

struct FloorInput {
    FloorRow current; ///< as read at `version`
    RowVersion version;
    FloorRow desired; ///< where the planner wants the copies
    ArtifactSet declared; ///< all other artifacts are removed from the row at once
    std::map<TargetId, HolderReport> reports;
};

/// The row to write next if the table still holds `version`; none if the current row needs no change yet. New holders of an artifact are
/// added first; old ones are removed only when all its desired holders have confirmed it at `version`. A report from another version
/// doesn't count: the holder may have been removed from the row in between and have unloaded its copy.
auto composeFloorRow(const FloorInput &input) -> std::optional<FloorRow>;

} // namespace KingCup
