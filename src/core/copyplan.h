// Which models and adapters runners are to hold, where one gateway orders them directly. Pure: what runners hold and what is asked for go
// in; the orders that should be given now come out.
//
// Models. Each stays loaded somewhere. Beyond that, each place goes where it saves the most work that would be lost or late, on free memory
// first, else in place of a model with which far less is lost. The pattern this answers: demand moves from one model to the next within
// seconds, while a load takes seconds; so the forecast counts, not the level. After a loss of many runners the copies that most work waits
// for come first, and those of models that hardly anybody asks for later.
//
// Adapters. They are small and loaded in milliseconds, but a runner has few places for them; they are loaded when asked for, and the one
// that was not used for the longest time gives way.
//
// Index of sections (search for [SECTION]):
//   Input      runners and demand
//   Models     planCopies()
//   Adapters   placeAdapter()
//   Loads      the pace that the weight store allows
#pragma once

#include "core/demand.h"
#include "core/runnerbook.h"

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

/// What is asked for, by model. Every request counts the same, whatever it makes its runner read. Weighed by reading times (on one deployment,
/// mean worth 0.77 against 0.79) a few very long prompts moved copies about, a new copy, which reads shared beginnings anew, made its model look
/// busier still, and a model without a copy, for which no time is known, had no weight at all.
auto modelWork(const std::vector<ArtifactDemand> &now, const std::vector<ArtifactDemand> &soon) -> std::map<std::string, ModelWork>;

struct CopyPlanInput {
    const EngineDeclaration *engine = nullptr;
    std::vector<const RunnerBook *> runners; ///< those that are up; leaving ones too
    std::map<std::string, ModelWork> work; ///< by model
    std::map<TargetId, double> load; ///< of each runner: the share of its places that is taken
    std::set<TargetId> failing; ///< runners that don't answer: what they hold is of no use now
    std::map<TargetId, std::string> intended; ///< models that runners were made room for and that aren't ordered yet
};

struct CopyPlanOptions {
    double halfLost = 0.6; ///< the share of a runner's time at which half of what comes is late: reading waits, and streams stall behind it
    double easyRunner = 0.4; ///< below, what comes hardly waits
    double leastGain = 0.01; ///< work saved that makes a load worth it: some seconds of that against the price of a load and two orders
    double clearlyLess = 0.5; ///< a model gives way only if less than this part of the gain is lost with it
    double swapCost = 0.02; ///< work that must be gained beyond that: the place serves nobody while it is loaded
    Duration restTime = Duration::seconds(3); ///< after an order on a model, until another one gives way on that runner: plans must not chase each other
    double silentModel = 0.02; ///< what a model without a copy counts as beyond what is asked for: each is to stay reachable
    double adaptersWorth = 0.0015; ///< likewise one declared adapter of a model: it has many callers, though maybe none now
    double mostGivingWay = 0.34; ///< of the runners may give up one model for another at once: a wrong forecast moves no more than that
};

// [SECTION] Models

struct PlannedOrder {
    TargetId target;
    RunnerOrder order;
    WeightSource source = WeightSource::Store; ///< loads
    std::string makesRoomFor; ///< unloads: the model that is to come in its place
    std::string reason;
    double work = 0; ///< of the model, when this was decided
    int copies = 0; ///< of it, after this order
};

/// At most one order for each runner. `storeLoads`: loads from the weight store that may begin now.
auto planCopies(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now) -> std::vector<PlannedOrder>;

// [SECTION] Adapters

/// When each adapter of a runner was last used, as far as known: by target, then "MODEL/ADAPTER".
using AdapterUses = std::map<std::pair<TargetId, std::string>, TimePoint>;

/// The next order that brings the adapter closer to being loaded somewhere; nothing if none can be given now.
/// `spared`: one that was used within this time doesn't give way.
auto placeAdapter(const CopyPlanInput &input, const std::string &model, const std::string &adapter, const AdapterUses &uses, Duration spared, TimePoint now)
    -> std::optional<PlannedOrder>;

// [SECTION] Loads

/// The loads from the weight store that may begin, counted over a sliding window. A new holder begins with nothing: what its predecessor
/// began counts too.
class LoadMeter
{
public:
    /// `perSecond` 0: not limited.
    auto setRate(double perSecond, Duration window, double overshoot) -> void;

    auto available(TimePoint now) const -> int;

    auto began(TimePoint now) -> void;
    auto takenOver(TimePoint now) -> void;

private:
    double m_perSecond = 0;
    Duration m_window = Duration::seconds(5);
    double m_overshoot = 1;
    std::vector<TimePoint> m_begun;
    TimePoint m_startedAt;
};

} // namespace KingCup
