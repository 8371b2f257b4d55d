#include "core/adapterplan.h"

namespace KingCup
{

namespace
{

auto lastUse(const AdapterUses &uses, const TargetId &target, const std::string &model, const std::string &adapter) -> TimePoint
{
    const auto found = uses.find({target, model + "/" + adapter});
    return found == uses.end() ? TimePoint() : found->second;
}

struct Eviction {
    const RunnerBook *runner = nullptr;
    RunnerOrder order;
    TimePoint lastUsed;
};

} // namespace

auto placeAdapter(
    const CopyPlanInput &input, const std::string &model, const std::string &adapter, const AdapterUses &uses, Duration minIdleTime, TimePoint now)
    -> std::optional<PlannedOrder>
{
    const RunnerBook *free = nullptr;
    double freeScore = 0;
    std::optional<Eviction> eviction;
    const RunnerOrder load {true, model, adapter};
    for (const auto *runner : input.runners) {
        const auto &about = runner->description();
        if (about.model(model) == nullptr || about.isLeaving || input.isDraining(about.incarnation.id, model)) {
            continue;
        }
        if (runner->mayOrder(load, *input.engine, now)) {
            const auto taken = input.load.find(about.incarnation.id);
            const auto limited = input.unavailable.find(about.incarnation.id);
            // A runner that takes no requests is worse than one with all adapter slots but one in use.
            const double unavailable = limited == input.unavailable.end() ? 0 : limited->second * input.engine->adapterSlots;
            const double score = (taken == input.load.end() ? 0 : taken->second) + unavailable - runner->freeAdapterSlots(*input.engine, now);
            if (free == nullptr || score < freeScore) {
                free = runner;
                freeScore = score;
            }
            continue;
        }
        if (runner->freeAdapterSlots(*input.engine, now) > 0) {
            continue; // a slot is free but the runner takes no order now: an eviction wouldn't help
        }
        for (const auto &held : about.models) {
            for (const auto &loaded : held.adapters) {
                const RunnerOrder unload {false, held.name, loaded};
                const auto used = lastUse(uses, about.incarnation.id, held.name, loaded);
                const bool isOlder = !eviction || used < eviction->lastUsed;
                const bool isRecentlyUsed = now - used < minIdleTime;
                if (isOlder && !isRecentlyUsed && runner->mayOrder(unload, *input.engine, now)) {
                    eviction = Eviction {runner, unload, used};
                }
            }
        }
    }
    if (free != nullptr) {
        return PlannedOrder {free->description().incarnation.id, load, WeightSource::Memory, "", "asked-for", 0, 0};
    }
    if (eviction) {
        return PlannedOrder {eviction->runner->description().incarnation.id, eviction->order, WeightSource::Memory, "", "evict", 0, 0};
    }
    return std::nullopt;
}

} // namespace KingCup
