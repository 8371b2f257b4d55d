// Minimum replicas (floor): the protocol that keeps every declared artifact resident on at least one target, also with several planners and
// with agents that restart or read stale rows. No I/O.
//
// One table row, changed by compare-and-set, assigns artifacts to targets, their holders. A replica is moved by two writes of the row: the
// first adds the new holder; once the new holder has confirmed its replica *at that version of the row*, the second removes the old holder.
// Each holder pins the artifacts that the newest row it has read assigns to it, and unpins them only on a newer row. A holder that was
// removed from the row may therefore unload its replica as soon as it has read the new row: the remaining holders have confirmed their
// replicas, and an older row that reaches them late doesn't let them unload.
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

/// The artifacts that are assigned to each target.
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
    /// Whether the row has been read from the table since the agent started. Until then all artifacts are pinned: a new agent doesn't know
    /// what its predecessor confirmed, and after a stale row from a lagging peer it would unload a replica that a planner relies on.
    auto isSettled() const -> bool;
    auto version() const -> RowVersion; ///< version of the newest row that was read
    auto isPinned(const ArtifactName &artifact) const -> bool;
    auto named() const -> const ArtifactSet &; ///< artifacts that the newest row assigns to this target: to be loaded and kept

    /// Adopts the row if it is newer than the last adopted one, and returns whether it did. Version 0 from the table: no row exists yet.
    auto rowRead(RowSource source, RowVersion version, const ArtifactSet &namedForUs) -> bool;

private:
    bool m_settled = false;
    RowVersion m_version;
    ArtifactSet m_named;
};

// [SECTION] Planner

/// The last report of a holder. A replica whose unload may still take effect isn't listed as resident. While the holder's MemoryLedger isn't
/// open, no replica is listed, as an unload that an earlier agent ordered may still arrive.
struct HolderReport {
    RowVersion version; ///< version of the newest row that the holder has read
    ArtifactSet resident; ///< artifacts assigned to the holder in that row that it holds
};

struct FloorInput {
    FloorRow current; ///< as read at `version`
    RowVersion version;
    FloorRow desired; ///< where the planner wants the replicas
    ArtifactSet declared; ///< declared artifacts, and retained ones; all others are removed from the row at once
    std::map<TargetId, HolderReport> reports;
};

/// The row to write next if the table still holds `version`; none if the current row needs no change yet. New holders of an artifact are
/// added first; old ones are removed only when all desired holders have confirmed the artifact at `version`. An artifact without desired
/// holders keeps its current ones. A report for another version doesn't count: the holder may have been removed from the row in between and
/// have unloaded its replica.
auto composeFloorRow(const FloorInput &input) -> std::optional<FloorRow>;

} // namespace KingCup
