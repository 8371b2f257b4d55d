// Placement: which artifacts each runner holds. There are two kinds of replicas. Minimum replicas (floor) keep every declared artifact resident
// independent of demand; extra replicas (surge) follow demand and may be dropped at any time. No I/O.
//
// Extra replicas are chosen by one objective: the expected additional on-time answers over the horizon, minus the move cost of each load. The same
// inputs give the same plan in every process.
//
// Index of sections (search for [SECTION]):
//   Input          runners, demand, options
//   Output         decisions with their reasons
//   Floor          planFloor() plans the desired floor; composeFloorRow() (core/floor.h) decides which part of it may be written now
//   SurgePlanner   plans the extra replicas and keeps them between rounds
#pragma once

#include "core/declarations.h"
#include "core/demand.h"
#include "core/ids.h"
#include "core/plan.h"
#include "core/units.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Input

struct ResidentArtifact {
    ArtifactName artifact;
    Bytes size;
    bool isLoading = false; ///< a load was ordered and isn't confirmed yet
};

/// The last reported state of a runner.
struct RunnerState {
    TargetId id;
    ZoneName zone;
    ServiceName service;
    Bytes memoryTotal;
    int concurrency = 0; ///< number of requests that the runner executes at once; 0: unknown
    bool isUsable = true; ///< the runner is alive and its engine is ready
    bool isLeaving = false;
    Duration downFor; ///< how long the runner has not been usable
    std::vector<ResidentArtifact> residents;
};

enum class PlacementStrategy {
    Objective,
    Static, ///< baseline: minimum replicas only
    LoadOnDemand, ///< baseline: no floor; loads what is requested and evicts the least recently requested replicas
};
auto toString(PlacementStrategy strategy) -> const char *;
auto placementStrategyFromString(const std::string &text) -> std::optional<PlacementStrategy>;

struct PlacementOptions {
    PlacementStrategy strategy = PlacementStrategy::Objective;
    double secondCopyShare = 0.92; ///< share of usable memory up to which second and further minimum replicas are placed; the rest is left for extra ones
    double fullShare = 0.7; ///< share of a runner's concurrency beyond which requests are assumed to be late
    double bytesPerSecond = 3e9; ///< rate of a load while no other load runs
    int roundsToConfirm = 2; ///< an extra replica that isn't urgent is loaded once it has been worth its cost in this many consecutive rounds
    double urgentFactor = 4.0; ///< an extra replica is urgent, and loaded at once, if its value is this many times the move cost
    Duration floorMoveDelay = Duration::seconds(30); ///< how long a runner may be down before its minimum replicas are moved
    int concurrencyIfUnknown = 32;
};

struct PlacementInput {
    const Declarations *declarations = nullptr;
    std::vector<RunnerState> runners;
    std::vector<ArtifactDemand> demand;
    Plan floor; ///< the floor plan in force
    std::vector<ArtifactName> retained; ///< no longer declared, but needed until their successors are resident
};

// [SECTION] Output

enum class PlacementKind { Floor, Surge, Drop, Wait };
auto toString(PlacementKind kind) -> const char *;

struct PlacementDecision {
    PlacementKind kind = PlacementKind::Surge;
    ArtifactName artifact;
    TargetId target;
    std::string reason; ///< for the log and `explain`
};

// [SECTION] Floor

struct FloorResult {
    Plan plan; ///< the desired floor
    std::vector<PlacementDecision> decisions; ///< differences from the floor in force
    std::vector<ArtifactName> unplaced; ///< fit on no runner: an operator must add capacity or remove declarations
};

/// Keeps the replicas of the floor in force that still fit and adds missing ones: first one replica of each artifact, then replicas in further
/// zones where memory allows. Gives an empty floor for PlacementStrategy::LoadOnDemand.
auto planFloor(const PlacementInput &input, const PlacementOptions &options) -> FloorResult;

// [SECTION] SurgePlanner

struct SurgeResult {
    Plan surge; ///< all extra replicas; replaces the plan of the last round
    std::vector<PlacementDecision> decisions; ///< changes since the last round, and replicas that wait for the weight store
};

class SurgePlanner
{
public:
    explicit SurgePlanner(PlacementOptions options);
    ~SurgePlanner();

    auto surge() const -> const Plan &;
    /// Plans one round; call it about once a second. `wantedFloor` is the plan that planFloor() returned: its replicas that the floor in force
    /// doesn't name yet are loaded as extra replicas.
    auto plan(const PlacementInput &input, const Plan &wantedFloor, TimePoint now) -> SurgeResult;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
