// Which models runners are to hold, where one gateway orders them directly. Pure: what runners hold and what is asked for go in; the orders that
// should be given now, and the moves that should begin or be given up, come out.
//
// A copy goes where the work that is late or lost falls most by it, with each model's requests on the emptiest runners that hold it: into free memory
// first, else in place of copies that are missed least. The pattern this answers: demand moves from one model to the next within seconds, while a load
// takes a second and streams of the model that gives way run for several.
//
// Models may outnumber the slots for them. Where all fit, a model's last replica is evicted only for a model that requests wait for and that has none,
// the least recently used first; where they don't, also for a further copy of a busy one. A model that waits gains weight with time, so that all that are
// asked for are served in turn. Without known demand nothing is evicted for a silent model:
// after a restart, no arrivals seen is no evidence of no demand.
//
// A move. A copy that gives way is first left by new requests, at all gateways; the runner goes on with everything else. When its last stream has
// ended it is unloaded, within milliseconds, and the model that it made room for is loaded. Ordered at once, the unload would wait for the streams at
// the runner, which refuses all other orders meanwhile, also those for adapters. A move stays decided until it is done or nothing is gained by it any
// more: the copy that was to go is then used again, as if nothing had been.
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

/// On one runner: a model that is to come, and the copies that make room for it.
struct CopyMove {
    std::string comes;
    std::set<std::string> goes; ///< get no new requests
    TimePoint since;
    std::set<std::string> lastReplicas; ///< of `goes`, those that were their model's only replica when the move began
};

/// Whether a copy makes room for another model there.
auto isDraining(const std::map<TargetId, CopyMove> &moves, const TargetId &target, const std::string &model) -> bool;

/// One copy, by its runner and model.
using CopyKey = std::pair<TargetId, std::string>;

struct CopyPlanInput {
    const EngineDeclaration *engine = nullptr;
    std::vector<const RunnerBook *> runners; ///< those that are up; leaving ones too
    std::map<std::string, ModelWork> work; ///< by model
    std::map<TargetId, double> load; ///< of each runner: the share of its places that is taken
    std::set<TargetId> failing; ///< runners that don't answer: what they hold is of no use now
    std::map<TargetId, CopyMove> moves; ///< under way
    bool isDemandKnown = true; ///< arrivals have been counted for long enough that a model without any is a silent one
    std::map<std::string, TimePoint> lastAsked; ///< by model, of its last request; not there: none was seen
    std::map<std::string, TimePoint> missingSince; ///< by model, since when it is asked for without a copy
    std::map<CopyKey, int> streams; ///< under way at copies that give way, as all gateways have told; not there: not told yet
    std::function<double(const CopyKey &copy)> likelyStreams; ///< under way at any copy, by what is known here; none: not known

    auto isDraining(const TargetId &target, const std::string &model) const -> bool;
};

// [SECTION] Options

struct CopyPlanOptions {
    LossCurve loss;
    double leastGain = 0.01; ///< work saved that makes a load worth its price and the room that is then no longer free for the next model
    double swapCost = 0.03; ///< work that must be saved where another copy gives way: the place serves nobody while that ends and this one comes
    double abortGain = -0.1; ///< a move that saves less than this is given up: on the way its gain is seen through the noise of a few seconds' arrivals
    double streamCost = 0.01; ///< in the choice of a place, a stream that must end first counts as this share of a runner's time
    /// What is asked of a model without a copy counts this much: above the steepest rise of the loss on a full runner. Counted once, much work without a copy
    /// seemed better off than on one runner that is asked for several times what it can do, and such a model never got its first copy.
    double missingWork = 2;
    Duration missingDoubles = Duration::seconds(4); ///< what is asked of a model without a copy counts once more after each such span
    double slotsForAll = 1.25; ///< for each model, from which on all can stay loaded beside further copies of the busy ones
    double silentModel = 0.1; ///< what a model without a copy counts as beyond what is asked for: each is to stay reachable
    double adaptersWorth = 0.0015; ///< likewise one declared adapter of a model: it has many callers, though maybe none now
    double adapterFill = 0.15; ///< the work that counts for a runner whose places for adapters are all in use: one gives way to the next within milliseconds
    int mostChanges = 16; ///< loads and moves that one round begins, the best first: a round must not hold up requests; the next one goes on
    Duration restTime = Duration::seconds(3); ///< after an order on a model, until another one gives way on that runner: plans must not chase each other
    double mostDraining = 0.34; ///< of the runners may give up one model for another at once: a wrong forecast moves no more than that
    Duration reportWithin = Duration::millis(1500); ///< gateways that haven't told by then how many streams they have at a copy are taken to have none
    Duration longestWait = Duration::seconds(5); ///< for the streams of a copy that gives way; then it is unloaded all the same, and the runner waits for them
};

// [SECTION] Plan

struct PlannedOrder {
    TargetId target;
    RunnerOrder order;
    WeightSource source = WeightSource::Store; ///< loads
    std::string evictedFor; ///< unloads: the model that is to come in its place
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
    std::vector<TargetId> givenUp; ///< runners whose move saves nothing any more
};

/// `storeLoads`: loads from the weight store that may begin now.
auto planCopies(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now) -> CopyPlan;

} // namespace KingCup
