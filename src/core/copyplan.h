// Which models and adapters runners are to hold, where one gateway orders them directly. Pure: what runners hold and what is asked for go
// in; the orders that should be given now come out.
//
// Models. Each stays loaded somewhere. Beyond that, places go where requests would otherwise wait: a model whose copies are busier than
// others gets another one, on free memory first, else in place of a model that is asked for far less there. The pattern this answers:
// demand moves from one model to the next within seconds, while a load takes seconds; so the forecast counts, not the level.
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

#include "core/runnerbook.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Input

struct ModelWork {
    double now = 0; ///< runners that its requests keep busy
    double soon = 0; ///< likewise when a load that begins now is done
    bool isWanted = false; ///< a request waits for it and no runner holds it
};

struct CopyPlanInput {
    const EngineDeclaration *engine = nullptr;
    std::vector<const RunnerBook *> runners; ///< those that are up; leaving ones too
    std::map<std::string, ModelWork> work; ///< by model
    std::map<TargetId, double> load; ///< of each runner: the share of its places that is taken
    std::map<TargetId, std::string> intended; ///< models that runners were made room for and that aren't ordered yet
};

struct CopyPlanOptions {
    double busyCopy = 0.35; ///< work of one copy beyond which waiting grows faster than work: half of a request's own time at 0.5
    double easyCopy = 0.15; ///< work of one copy below which another copy shortens nothing
    double clearlyLess = 0.5; ///< a model gives way only if its copies stay this much less busy than the one that comes
    double adaptersWorth = 0.002; ///< what one declared adapter of a model counts as work when free places are given out: many callers, though none now
    double worthFilling = 0.01; ///< work of one copy below which a free place stays free: a load has its price
    int mostAtOnce = 6; ///< model orders under way, so that a wrong forecast moves a third of a site at most
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
auto placeAdapter(const CopyPlanInput &input, const std::string &model, const std::string &adapter, const AdapterUses &uses, TimePoint now)
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
