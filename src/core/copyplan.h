// Which models runners are to hold, where one gateway orders them directly. Pure: what runners hold and what is asked for go in; the orders that
// should be given now, and the moves that should begin or be given up, come out.
//
// A replica is added where it reduces late or lost work most: in free weight memory first, else in place of the replicas that are missed least. Demand moves
// from one model to the next within seconds, while a load takes a second and the streams of an evicted model run for several.
//
// Models may outnumber the slots. Where all fit, a model's last replica is evicted only for a model that has requests and no replica, the least recently
// used first; where they don't, also for a further replica of a busy model. A model without a replica gains weight while it waits, so that all models with
// requests are served in turn. Until demand is known, nothing is evicted for a model without requests.
//
// Moves. A replica to be evicted drains first: no gateway sends it new requests. When its last stream has ended it is unloaded, and the incoming model is
// loaded. Ordered at once, the unload would wait at the runner, which rejects all other orders meanwhile. A move is kept until it is done or no longer gains
// anything; the draining replicas are then used again.
//
// Index of sections (search for [SECTION]):
//   Input    runners, demand, moves under way
//   Options  constants
//   Plan     planCopies()
#pragma once

#include "core/copyspread.h"
#include "core/demand.h"
#include "core/requestcost.h"
#include "core/runnerbook.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Input

struct ModelWork {
    double now = 0; ///< runners that its requests keep busy
    double soon = 0; ///< likewise when a load that begins now is done
    int activeAdapters = 0; ///< different ones that its requests use now or wait for
};

/// What is asked for, by model, as work of runners.
auto modelWork(const std::vector<ArtifactDemand> &now, const std::vector<ArtifactDemand> &soon, const RequestCost &cost) -> std::map<std::string, ModelWork>;

/// On one runner: an incoming model, and the replicas that are evicted for it.
struct CopyMove {
    std::string incoming;
    std::set<std::string> evicted; ///< get no new requests
    TimePoint since;
    std::set<std::string> lastReplicas; ///< of `evicted`, those that were their model's only replica when the move began
};

/// Whether a replica is evicted for another model there.
auto isDraining(const std::map<TargetId, CopyMove> &moves, const TargetId &target, const std::string &model) -> bool;

/// One copy, by its runner and model.
using CopyKey = std::pair<TargetId, std::string>;

struct CopyPlanInput {
    const EngineDeclaration *engine = nullptr;
    std::vector<const RunnerBook *> runners; ///< those that are up; leaving ones too
    std::map<std::string, ModelWork> work; ///< by model
    std::map<TargetId, double> load; ///< of each runner: the share of its slots in use
    std::set<TargetId> failing; ///< runners that don't answer: what they hold is of no use now
    std::map<TargetId, CopyMove> moves; ///< under way
    bool isDemandKnown = true; ///< arrivals have been counted for long enough that a model without any is a silent one
    std::map<std::string, TimePoint> lastRequestAt; ///< by model, of its last request; not there: none was seen
    std::map<std::string, TimePoint> missingSince; ///< by model, since when it is asked for without a copy
    std::map<CopyKey, int> drainingStreams; ///< under way at draining replicas, over all gateways; not there: not all have reported
    std::function<double(const CopyKey &copy)> estimatedStreams; ///< under way at any copy, by what is known here; none: not known

    auto isDraining(const TargetId &target, const std::string &model) const -> bool;
};

// [SECTION] Options

struct CopyPlanOptions {
    LossCurve loss;
    double minLoadGain = 0.01; ///< runners of work saved that pay for a load
    double minEvictionGain = 0.03; ///< runners of work saved that pay for an eviction and a load
    double minGainToContinue = -0.1; ///< a move that gains less is aborted; below 0, as demand is noisy
    double drainingStreamWork = 0.01; ///< share of a runner's time that a stream to be drained counts as
    double missingModelFactor = 2; ///< factor on the work of a model without a replica; above the steepest slope of the loss
    Duration missingGrowthTime = Duration::seconds(4); ///< such work counts once more after each span
    double modelSlotsToFitAll = 1.25; ///< slots for each declared model from which on all stay loaded
    double missingModelWork = 0.1; ///< runners of work that a model without a replica counts as, beside its requests
    double missingAdapterWork = 0.0015; ///< likewise, for each of its declared adapters
    double fullAdapterSlotsWork = 0.15; ///< runners of work that a runner with all adapter slots in use counts as
    int maxChangesPerRound = 16; ///< loads and moves that one round begins, the best first; bounds the time of a round
    Duration evictionCooldown = Duration::seconds(3); ///< after an order on a model, until a replica of that runner may drain
    double maxDrainingShare = 0.34; ///< share of the runners that may have a move under way
    Duration streamReportTimeout = Duration::millis(1500); ///< gateways that haven't reported their streams by then count as having none
    Duration maxDrainTime = Duration::seconds(5); ///< for the streams of a draining replica
};

// [SECTION] Plan

struct PlannedOrder {
    TargetId target;
    RunnerOrder order;
    WeightSource source = WeightSource::Store; ///< loads
    std::string evictedFor; ///< unloads: the incoming model
    std::string reason;
    double work = 0; ///< of the model, when this was decided
    int copies = 0; ///< of it, after this order
};

struct BegunMove {
    TargetId target;
    CopyMove move;
    std::string reason;
    double gain = 0; ///< work that is no longer late or lost
};

struct CopyPlan {
    std::vector<PlannedOrder> orders; ///< at most one for each runner
    std::vector<BegunMove> begun;
    std::vector<TargetId> aborted; ///< runners whose move saves nothing any more
};

/// `storeLoads`: loads from the weight store that may begin now.
auto planCopies(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now) -> CopyPlan;

} // namespace KingCup
