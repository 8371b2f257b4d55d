// Plans which models the runners hold, for deployments in which one gateway gives the runners their load orders. No I/O: the input is what runners hold and
// the demand; the output is the orders to give now, and the moves to begin or to abort.
//
// Work is measured in runners: a model whose requests keep two runners busy has a work of 2. Work is lost if its requests are late or refused. A replica
// (copy of a model on a runner) is added where it reduces lost work most: in free weight memory first, else in place of the replicas whose eviction loses
// least. Demand shifts from one model to another within seconds, while a load takes a second and the streams of an evicted model run for several.
//
// There may be more models than fit into the memory of all runners. Where all fit, a model's last replica is evicted only for a model that has requests and
// no replica, the least recently used first; where they don't all fit, also for a further replica of a busy model. The work of a model without a replica counts
// for more the longer its requests wait, so that all models with requests are served in turn. Until demand is known, nothing is evicted for a model without
// requests.
//
// Moves. A replica to be evicted drains first: no gateway sends it new requests. When its last stream has ended it is unloaded, and the incoming model is
// loaded. If the unload were ordered at once, it would wait for the streams at the runner, which rejects all other orders meanwhile. A move continues until
// it is done or no longer gains anything; if it is aborted, the draining replicas are used again.
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

/// The work of each model: its request rate times the cost of its requests. `now` and `soon` are the rates now and those forecast for the end of a load.
auto modelWork(const std::vector<ArtifactDemand> &now, const std::vector<ArtifactDemand> &soon, const RequestCost &cost) -> std::map<std::string, ModelWork>;

/// A move on one runner: the incoming model, and the replicas that are evicted for it.
struct CopyMove {
    std::string incoming;
    std::set<std::string> evicted; ///< models whose replicas drain: they get no new requests
    TimePoint since; ///< when the move began
    std::set<std::string> lastReplicas; ///< those of `evicted` whose replica here was the only one when the move began
};

/// Whether the model's replica on the target is being evicted by a move.
auto isDraining(const std::map<TargetId, CopyMove> &moves, const TargetId &target, const std::string &model) -> bool;

/// Identifies a replica by its runner and model.
using CopyKey = std::pair<TargetId, std::string>;

struct CopyPlanInput {
    const EngineDeclaration *engine = nullptr;
    std::vector<const RunnerBook *> runners; ///< those that are up, including leaving ones
    std::map<std::string, ModelWork> work; ///< by model
    std::map<TargetId, double> load; ///< by runner: the share of its request slots that is in use
    std::set<TargetId> failing; ///< runners that don't answer: their replicas don't count
    std::map<TargetId, CopyMove> moves; ///< moves in progress
    bool isDemandKnown = true; ///< requests have been counted long enough to take a model without any for idle
    std::map<std::string, TimePoint> lastRequestAt; ///< by model: its last request; no entry if none was seen
    std::map<std::string, TimePoint> missingSince; ///< by model: since when it has had requests but no replica
    std::map<CopyKey, int> drainingStreams; ///< open streams of draining replicas, of all gateways; no entry until all gateways have reported
    std::function<double(const CopyKey &copy)> estimatedStreams; ///< open streams of any replica as estimated by this gateway; unset: not known

    auto isDraining(const TargetId &target, const std::string &model) const -> bool;
};

// [SECTION] Options

struct CopyPlanOptions {
    LossCurve loss;
    double minLoadGain = 0.01; ///< work that a load must save, in runners
    double minEvictionGain = 0.03; ///< work that an eviction with its load must save, in runners
    double minGainToContinue = -0.1; ///< a move that gains less is aborted; negative because demand is noisy
    double drainingStreamWork = 0.01; ///< work that each open stream of a replica to be evicted counts as
    double missingModelFactor = 2; ///< factor on the work of a model without a replica; larger than the steepest slope of LossCurve
    Duration missingGrowthTime = Duration::seconds(4); ///< the work of a model without a replica counts once more for each such time that it has waited
    double modelSlotsToFitAll = 1.25; ///< all models stay loaded if the runners hold this many models of mean size for each declared one
    double missingModelWork = 0.1; ///< work that a model without a replica counts as in addition to its requests
    double missingAdapterWork = 0.0015; ///< work added for each declared adapter of a model without a replica
    double fullAdapterSlotsWork = 0.15; ///< work that as many active adapters as a runner has adapter slots count as
    int maxChangesPerRound = 16; ///< loads and moves that one round begins, those with the largest gain first; bounds the time of a round
    Duration evictionCooldown = Duration::seconds(3); ///< from an accepted model order until a move may begin on that runner
    double maxDrainingShare = 0.34; ///< share of the runners that may have a move in progress
    Duration streamReportTimeout = Duration::millis(1500); ///< gateways that haven't reported their streams this long after a move began count as having none
    Duration maxDrainTime = Duration::seconds(5); ///< how long a draining replica waits for its streams before it is unloaded
};

// [SECTION] Plan

struct PlannedOrder {
    TargetId target;
    RunnerOrder order;
    WeightSource source = WeightSource::Store; ///< of a load
    std::string evictedFor; ///< of an unload that belongs to a move: the incoming model
    std::string reason;
    double work = 0; ///< the model's work when this was decided
    int copies = 0; ///< the model's number of replicas after this order
};

struct BegunMove {
    TargetId target;
    CopyMove move;
    std::string reason;
    double gain = 0; ///< lost work that the move saves, in runners
};

struct CopyPlan {
    std::vector<PlannedOrder> orders; ///< at most one for each runner
    std::vector<BegunMove> begun;
    std::vector<TargetId> aborted; ///< runners whose move no longer gains anything
};

/// `storeLoads`: number of loads from the weight store that may begin now.
auto planCopies(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now) -> CopyPlan;

} // namespace KingCup
