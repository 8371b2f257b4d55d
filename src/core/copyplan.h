// Plans which models the runners hold, for deployments in which one gateway gives the runners their load orders. No I/O: the input is what the runners hold
// and the demand; the output is the orders to give now, and the moves to begin or to abort.
//
// Work is measured in runners: a model whose requests keep two runners busy has a work of 2. Work is lost if its requests are late or refused. A replica
// (copy of a model on a runner) is added where it reduces lost work most: in free weight memory first, else in place of the replicas whose eviction loses
// least. Demand shifts from one model to another within seconds, while a load takes a second and the streams of an evicted model run for several seconds.
//
// There may be more models than fit into the memory of all runners. If all fit, a model's last replica is evicted only for a model that has requests and no
// replica; if they don't all fit, also for a further replica of a busy model. Among replicas of equal eviction cost the least recently requested one is evicted
// first. The work of a model without a replica counts for more the longer its requests wait, so that all models with requests are served in turn. For a model
// without requests nothing is evicted while demand isn't known or if not all models fit; no last replica is evicted while demand isn't known.
//
// Moves. A replica to be evicted drains first: no gateway sends it new requests. When its last stream has ended it is unloaded, and the incoming model is
// loaded. If the unload were ordered at once, it would wait for the streams at the runner, which rejects all other orders meanwhile. A move continues until
// it is done, or is aborted when it no longer gains anything; after that the draining replicas are used again.
//
// Index of sections (search for [SECTION]):
//   Input    runners, demand, moves in progress
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

/// The work of one model, in runners.
struct ModelWork {
    double now = 0; ///< runners that its requests keep busy now
    double soon = 0; ///< runners that its requests will keep busy when a load that begins now is done, by the forecast
    int activeAdapters = 0; ///< number of different adapters that its requests use now or wait for
};

/// The work of each model: its request rate times the cost of its requests. `soon` holds the rates forecast for the end of a load that begins now.
auto modelWork(const std::vector<ArtifactDemand> &now, const std::vector<ArtifactDemand> &soon, const RequestCost &cost) -> std::map<std::string, ModelWork>;

/// A move on one runner: the incoming model, and the replicas that are evicted for it.
struct CopyMove {
    std::string incoming;
    std::set<std::string> evicted; ///< models whose replicas on this runner drain: the replicas get no new requests
    TimePoint since; ///< when the move began
    std::set<std::string> lastReplicas; ///< models of `evicted` whose replica on this runner was their last when the move began
};

/// Whether the model's replica on the target is being evicted by a move.
auto isDraining(const std::map<TargetId, CopyMove> &moves, const TargetId &target, const std::string &model) -> bool;

/// Identifies a replica by its runner and model.
using CopyKey = std::pair<TargetId, std::string>;

struct CopyPlanInput {
    const EngineDeclaration *engine = nullptr;
    std::vector<const RunnerBook *> runners; ///< runners that are up, including leaving ones
    std::map<std::string, ModelWork> work; ///< by model
    std::map<TargetId, double> load; ///< by runner: share of the runner's request slots that is in use
    std::map<TargetId, double> unavailable; ///< by runner: share of its time that no request may use, because it limits its requests; no entry: none
    std::set<TargetId> failing; ///< runners that don't answer: their replicas don't count as usable
    std::map<TargetId, CopyMove> moves; ///< moves in progress
    bool isDemandKnown = true; ///< requests have been counted long enough that a model without requests can be taken for idle
    std::map<std::string, TimePoint> lastRequestAt; ///< by model: time of its last request; no entry if it had none
    std::map<std::string, TimePoint> missingSince; ///< by model: since when it has had requests but no replica
    std::map<CopyKey, int> drainingStreams; ///< open streams of draining replicas, sum of all gateways; no entry until all have reported
    std::function<double(const CopyKey &copy)> estimatedStreams; ///< this gateway's estimate of a replica's open streams; unset: not known

    auto isDraining(const TargetId &target, const std::string &model) const -> bool;
};

// [SECTION] Options

struct CopyPlanOptions {
    LossCurve loss;
    double minLoadGain = 0.01; ///< work that a load must save, in runners
    double minEvictionGain = 0.03; ///< work that an eviction with its load must save, in runners
    double minGainToContinue = -0.1; ///< a move that gains less is aborted; negative because demand is noisy
    double drainingStreamWork = 0.01; ///< work added to the eviction cost of a replica for each of its open streams
    double missingModelFactor = 2; ///< factor on the work of a model without a replica; larger than the steepest slope of LossCurve
    Duration missingGrowthTime = Duration::seconds(4); ///< a model's work counts once more for each such period that its requests have waited for a replica
    double modelSlotsToFitAll = 1.25; ///< all models fit if the runners have memory for this many models of mean size per declared model
    double missingModelWork = 0.1; ///< work that a model without a replica counts as, in addition to the work of its requests
    double missingAdapterWork = 0.0015; ///< work added for each declared adapter of a model without a replica
    double fullAdapterSlotsWork = 0.15; ///< work that active adapters count as if they fill the adapter slots of one runner
    int maxChangesPerRound = 16; ///< new replicas (loads and moves begun) per round, those with the largest gain first; bounds the time of a round
    Duration evictionCooldown = Duration::seconds(3); ///< minimum time from an accepted order on a model until a move begins on that runner
    double maxDrainingShare = 0.34; ///< share of the runners that may have a move in progress
    /// If not all gateways have reported their streams this long after a move began, the draining replicas count as drained.
    Duration streamReportTimeout = Duration::millis(1500);
    Duration maxDrainTime = Duration::seconds(5); ///< a draining replica is unloaded after this time even if it has open streams
};

// [SECTION] Plan

struct PlannedOrder {
    TargetId target;
    RunnerOrder order;
    WeightSource source = WeightSource::Store; ///< for a load: where the weights come from
    std::string evictedFor; ///< for an unload that belongs to a move: the incoming model
    std::string reason;
    double work = 0; ///< the model's work when this was decided
    int copies = 0; ///< the model's number of replicas after this order, including planned ones
};

struct BegunMove {
    TargetId target;
    CopyMove move;
    std::string reason;
    double gain = 0; ///< lost work that the move saves beyond CopyPlanOptions::minEvictionGain, in runners
};

struct CopyPlan {
    std::vector<PlannedOrder> orders; ///< at most one for each runner
    std::vector<BegunMove> begun;
    std::vector<TargetId> aborted; ///< runners whose move gains too little or whose incoming model is no longer declared
};

/// `storeLoads`: number of loads from the weight store that may begin now.
auto planCopies(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now) -> CopyPlan;

} // namespace KingCup
