// Plans where replicas are kept: the minimum replicas (floor) and the extra replicas (surge). Every entry runs a planner, but only the entry
// that ranks first for the floor writes it, and only the entry that ranks first for the surge requests surge replicas. No lease is needed:
// two planners at once waste effort but do no harm, since the floor's row is changed by compare-and-set.
//
// Index of sections (search for [SECTION]):
//   Hooks     inputs and outputs of the planner, settings
//   Planner   the task
#pragma once

#include "core/decisionlog.h"
#include "core/demand.h"
#include "core/floor.h"
#include "core/placement.h"
#include "net/eventloop.h"
#include "platform/tableaccess.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Hooks

struct PlannerHooks {
    TableAccess table;
    std::function<bool(const std::string &subject)> ranksFirst; ///< this entry ranks first for the subject among the live entries
    std::function<std::vector<RunnerState>()> runners; ///< as last reported
    std::function<std::map<TargetId, HolderReport>()> holderReports; ///< of the same runners
    std::function<std::vector<ArtifactDemand>()> demand; ///< forecast over the horizon
    std::function<std::vector<ArtifactName>()> retained; ///< old versions still in use
    std::function<void(RowVersion version, const std::string &plan)> onFloor; ///< a newer floor row was read
    std::function<void(const TargetId &target, std::uint64_t sequence, const std::vector<ArtifactName> &artifacts)>
        surge; ///< requests surge replicas on a target
};

struct PlannerSettings {
    std::string entry;
    PlacementOptions placement;
    Duration period = Duration::seconds(1);
};

// [SECTION] Planner

class Planner
{
public:
    Planner(EventLoop &loop, PlannerSettings settings, PlannerHooks hooks, DecisionLog &decisions);
    ~Planner();

    // Queries
    auto floorVersion() const -> RowVersion; ///< of the newest row read; 0: none
    auto floorText() const -> const std::string &; ///< contents of that row
    auto isStoreReachable() const -> bool; ///< the last read was answered

    // Commands
    auto adopt(const Declarations &declarations) -> void;
    auto floorRead(RowVersion version, const std::string &text) -> void; ///< from the table or a peer
    auto schedulePlan() -> void; ///< plans before the next regular round, e.g. because a request found no replica

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
