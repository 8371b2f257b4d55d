// Placement: which artifacts each runner holds. Two kinds of copies. The floor keeps every declared artifact resident whatever the
// demand; surge copies follow demand and may be dropped at any time.
//
// One objective decides about surge copies: expected additional on-time deliveries over the horizon, minus the move cost for each
// load. The same inputs give the same plan in every process.
//
// Index of sections (search for [SECTION]):
//   Input          runners, demand, options
//   Output         decisions with their reasons
//   Floor          planFloor() says what should be; composeFloorRow() (core/floor.h) which part of it may be written now
//   SurgePlanner   extra copies; keeps them between rounds
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
    bool isLoading = false; ///< ordered, not yet confirmed
};

/// A runner as last reported.
struct RunnerState {
    TargetId id;
    ZoneName zone;
    ServiceName service;
    Bytes memoryTotal;
    int concurrency = 0; ///< requests it runs at once; 0: unknown
    bool isUsable = true; ///< live, its engine ready
    bool isLeaving = false;
    Duration downFor; ///< while not usable
    std::vector<ResidentArtifact> residents;
};

enum class PlacementStrategy {
    Objective,
    Static, ///< baseline: the floor alone
    LoadOnDemand, ///< baseline: no floor; loads what is asked for, dropping the least recently used
};
auto toString(PlacementStrategy strategy) -> const char *;
auto placementStrategyFromString(const std::string &text) -> std::optional<PlacementStrategy>;

struct PlacementOptions {
    PlacementStrategy strategy = PlacementStrategy::Objective;
    double secondCopyShare = 0.92; ///< of usable memory that second floor copies may fill; the rest is for surge copies
    double fullShare = 0.7; ///< of a runner's concurrency beyond which answers are taken to be late
    double bytesPerSecond = 3e9; ///< of one load that is alone
    int roundsToConfirm = 2; ///< a surge copy must pay in this many rounds running
    double urgentFactor = 4.0; ///< or be worth this many times the move cost
    Duration floorMoveDelay = Duration::seconds(30); ///< a runner may be down this long before its floor copies move
    int concurrencyIfUnknown = 32;
};

struct PlacementInput {
    const Declarations *declarations = nullptr;
    std::vector<RunnerState> runners;
    std::vector<ArtifactDemand> demand;
    Plan floor; ///< in force
    std::vector<ArtifactName> retained; ///< no longer declared, but still needed until their successor is resident
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
    Plan plan; ///< what should be
    std::vector<PlacementDecision> decisions; ///< what differs from the floor in force
    std::vector<ArtifactName> unplaced; ///< fit on no runner: an operator must act
};

/// Keeps what is well placed and adds what is missing: first one copy of everything, then copies in further zones where memory allows.
auto planFloor(const PlacementInput &input, const PlacementOptions &options) -> FloorResult;

// [SECTION] SurgePlanner

struct SurgeResult {
    Plan surge; ///< beyond the floor, per target; replaces the last
    std::vector<PlacementDecision> decisions; ///< what is new since the last round
};

class SurgePlanner
{
public:
    explicit SurgePlanner(PlacementOptions options);
    ~SurgePlanner();

    auto surge() const -> const Plan &;
    /// One round; call it about once a second. `wantedFloor` is planFloor()'s plan: its copies that the floor in force doesn't name yet
    /// are requested as well.
    auto plan(const PlacementInput &input, const Plan &wantedFloor, TimePoint now) -> SurgeResult;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
