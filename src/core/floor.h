// Floor copies: every declared artifact stays resident somewhere, whatever planners and holders do. Pure.
//
// One table row, changed by compare-and-set, says which targets hold which artifacts. A copy is moved in two rows: the first names the
// new holder beside the old, and once the new holder has confirmed the copy *at that version of the row*, the second leaves the old out.
// Each holder pins what the newest row it has read names for it, and unpins only on a newer row. So the holder that a row leaves out may
// drop its copy at any time after reading it: the others named there have confirmed theirs, and can't give them up on an older row.
//
// Index of sections (search for [SECTION]):
//   Row       what the row names
//   Holder    FloorPins, in an agent
//   Planner   composeFloorRow(), in an entry
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

/// The same as a plan, the form in which the row is stored and sent.
auto floorRowOf(const Plan &plan) -> FloorRow;
auto planOf(const FloorRow &row) -> Plan;

// [SECTION] Holder

/// Where a holder got a row from.
enum class RowSource {
    Table, ///< read from the table service by the holder itself
    Peer, ///< passed on by an entry; may be old
};

/// What an agent must not unload.
class FloorPins
{
public:
    /// A started agent doesn't know what an earlier one confirmed. Until it has read the row from the table itself, everything it holds
    /// is pinned: on an old row passed on by a lagging peer it would drop a copy that a planner has counted on since.
    auto isSettled() const -> bool;
    auto version() const -> RowVersion; ///< of the newest row read
    auto isPinned(const ArtifactName &artifact) const -> bool;
    auto named() const -> const ArtifactSet &; ///< by the newest row for this target: to be loaded and kept

    /// Returns whether the row was newer than the last and was adopted. Version 0 from the table: there is no row yet.
    auto rowRead(RowSource source, RowVersion version, const ArtifactSet &namedForUs) -> bool;

private:
    bool m_settled = false;
    RowVersion m_version;
    ArtifactSet m_named;
};

// [SECTION] Planner

/// What a holder said last: the row it has read, and which of the artifacts named there it holds for good. A copy whose unload may still
/// take effect doesn't count, nor does any while the holder's ledger isn't open: an earlier agent's unload may then still arrive.
struct HolderReport {
    RowVersion version;
    ArtifactSet resident;
};

struct FloorInput {
    FloorRow current; ///< as read at `version`
    RowVersion version;
    FloorRow desired; ///< where the planner wants the copies
    ArtifactSet declared; ///< others are left out of the row at once
    std::map<TargetId, HolderReport> reports;
};

/// The row to write next, expecting `version`; none if the current one needs no change yet. Adds new holders first and leaves out old
/// ones of an artifact only when all its desired holders have confirmed it at `version`. A report from another version doesn't count:
/// its holder may have been left out in between and dropped the copy.
auto composeFloorRow(const FloorInput &input) -> std::optional<FloorRow>;

} // namespace KingCup
