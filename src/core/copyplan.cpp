#include "core/copyplan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace KingCup
{

namespace
{

/// The state of one round of planning.
class Round
{
public:
    Round(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now)
        : m_input(input)
        , m_options(options)
        , m_storeLoads(storeLoads)
        , m_now(now)
    {
        for (const auto *runner : input.runners) {
            if (runner->description().isLeaving) {
                continue;
            }
            for (const auto &held : runner->description().models) {
                ++m_copies[held.name];
            }
            if (const auto loading = runner->loading()) {
                ++m_copies[*loading];
            } else if (const auto intended = input.intended.find(runner->description().incarnation.id);
                       intended != input.intended.end() && runner->description().model(intended->second) == nullptr) {
                ++m_copies[intended->second];
            }
            m_underWay += runner->isBusy(now) ? 1 : 0;
        }
    }

    auto plan() -> std::vector<PlannedOrder>
    {
        loadIntended();
        for (const auto &model : m_input.engine->models) {
            if (copies(model.name) == 0) {
                addCopy(model, std::numeric_limits<double>::infinity(), "no-copy");
            }
        }
        addBusy();
        fillFree();
        return std::move(m_orders);
    }

private:
    auto copies(const std::string &model) const -> int
    {
        const auto found = m_copies.find(model);
        return found == m_copies.end() ? 0 : found->second;
    }
    auto work(const std::string &model) const -> double
    {
        const auto found = m_input.work.find(model);
        return found == m_input.work.end() ? 0 : std::max(found->second.now, found->second.soon);
    }
    auto loadOf(const TargetId &target) const -> double
    {
        const auto found = m_input.load.find(target);
        return found == m_input.load.end() ? 0 : found->second;
    }
    auto addBusy() -> void;
    auto fillFree() -> void;
    auto addCopy(const ModelDeclaration &model, double perCopy, const char *why) -> bool;
    auto loadIntended() -> void;
    auto freePlace(const ModelDeclaration &model) const -> const RunnerBook *;
    auto victimOn(const RunnerBook &runner, const ModelDeclaration &model, double perCopy) const -> std::optional<std::string>;
    auto isTaken(const RunnerBook &runner) const -> bool
    {
        return m_taken.contains(runner.description().incarnation.id);
    }
    auto order(const RunnerBook &runner, RunnerOrder what, WeightSource source, const char *why) -> void;

    const CopyPlanInput &m_input;
    const CopyPlanOptions &m_options;
    int m_storeLoads;
    TimePoint m_now;
    std::map<std::string, int> m_copies;
    int m_underWay = 0;
    std::set<TargetId> m_taken; ///< have an order of this round
    std::vector<PlannedOrder> m_orders;
};

auto Round::order(const RunnerBook &runner, RunnerOrder what, WeightSource source, const char *why) -> void
{
    const auto &id = runner.description().incarnation.id;
    m_taken.insert(id);
    ++m_underWay;
    if (what.isLoad) {
        ++m_copies[what.model];
        m_storeLoads -= source == WeightSource::Store ? 1 : 0;
    } else {
        --m_copies[what.model];
    }
    const double ofModel = work(what.model);
    const int ofCopies = copies(what.model);
    m_orders.push_back({id, std::move(what), source, "", why, ofModel, ofCopies});
}

/// Where room was made for a model, it is loaded as soon as the runner takes the order.
auto Round::loadIntended() -> void
{
    for (const auto *runner : m_input.runners) {
        const auto intended = m_input.intended.find(runner->description().incarnation.id);
        if (intended == m_input.intended.end()) {
            continue;
        }
        const RunnerOrder load {true, intended->second, ""};
        const auto source = runner->sourceOf(load.model);
        const bool isAllowed = source != WeightSource::Store || m_storeLoads > 0;
        if (isAllowed && runner->mayOrder(load, *m_input.engine, m_now)) {
            --m_copies[load.model]; // counted as intended already
            order(*runner, load, source, "room-made");
        } else {
            m_taken.insert(intended->first);
        }
    }
}

/// The model whose copies are busiest gets another one, as long as one is too busy.
auto Round::addBusy() -> void
{
    std::set<std::string> given;
    while (m_underWay < m_options.mostAtOnce) {
        const ModelDeclaration *busiest = nullptr;
        double most = m_options.busyCopy;
        for (const auto &model : m_input.engine->models) {
            const double perCopy = work(model.name) / std::max(copies(model.name), 1);
            if (perCopy > most && !given.contains(model.name)) {
                most = perCopy;
                busiest = &model;
            }
        }
        if (busiest == nullptr) {
            return;
        }
        if (!addCopy(*busiest, most, "busy")) {
            given.insert(busiest->name);
        }
    }
}

/// Places that nothing needs now go to the models that are likeliest to be asked for next, one at a time: a copy that is there when demand
/// moves saves the seconds of its load. Only free memory is used, and nothing gives way.
auto Round::fillFree() -> void
{
    constexpr int MostSpareAtOnce = 3; // the weight store is left to what is needed
    while (m_underWay < MostSpareAtOnce) {
        const ModelDeclaration *best = nullptr;
        double most = m_options.worthFilling;
        for (const auto &model : m_input.engine->models) {
            const double copyCount = std::max(copies(model.name), 1);
            const double busy = std::max(work(model.name) / copyCount - m_options.easyCopy, 0.0);
            const double worth = busy + model.adapters * m_options.adaptersWorth / copyCount;
            if (worth > most && freePlace(model) != nullptr) {
                most = worth;
                best = &model;
            }
        }
        if (best == nullptr) {
            return;
        }
        addCopy(*best, most, "spare-place");
    }
}

auto Round::freePlace(const ModelDeclaration &model) const -> const RunnerBook *
{
    const RunnerBook *best = nullptr;
    std::pair<int, double> bestRank;
    for (const auto *runner : m_input.runners) {
        const auto source = runner->sourceOf(model.name);
        const bool isAllowed = source != WeightSource::Store || m_storeLoads > 0;
        if (isTaken(*runner) || !isAllowed || !runner->mayOrder({true, model.name, ""}, *m_input.engine, m_now)) {
            continue;
        }
        const std::pair rank(static_cast<int>(source), loadOf(runner->description().incarnation.id));
        if (best == nullptr || rank < bestRank) {
            best = runner;
            bestRank = rank;
        }
    }
    return best;
}

/// The model that gives way there, if one does for less than what comes.
auto Round::victimOn(const RunnerBook &runner, const ModelDeclaration &model, double perCopy) const -> std::optional<std::string>
{
    std::optional<std::string> victim;
    double least = perCopy * m_options.clearlyLess;
    for (const auto &held : runner.description().models) {
        const int others = copies(held.name) - 1;
        if (held.name == model.name || others < 1) {
            continue;
        }
        const double afterwards = work(held.name) / others;
        if (afterwards < least && runner.mayOrder({false, held.name, ""}, *m_input.engine, m_now)) {
            least = afterwards;
            victim = held.name;
        }
    }
    return victim;
}

auto Round::addCopy(const ModelDeclaration &model, double perCopy, const char *why) -> bool
{
    if (const auto *place = freePlace(model)) {
        order(*place, {true, model.name, ""}, place->sourceOf(model.name), why);
        return true;
    }
    const RunnerBook *best = nullptr;
    std::string bestVictim;
    std::pair<int, double> bestRank;
    for (const auto *runner : m_input.runners) {
        const auto source = runner->sourceOf(model.name);
        const bool isAllowed = source != WeightSource::Store || m_storeLoads > 0;
        const bool holdsIt = runner->description().model(model.name) != nullptr;
        if (isTaken(*runner) || holdsIt || !isAllowed || runner->description().isLeaving) {
            continue;
        }
        const auto victim = victimOn(*runner, model, perCopy);
        if (!victim) {
            continue;
        }
        const std::pair rank(static_cast<int>(source), work(*victim) / std::max(copies(*victim) - 1, 1));
        if (best == nullptr || rank < bestRank) {
            best = runner;
            bestVictim = *victim;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return false;
    }
    order(*best, {false, bestVictim, ""}, WeightSource::Memory, why);
    m_orders.back().makesRoomFor = model.name;
    ++m_copies[model.name];
    return true;
}

} // namespace

auto planCopies(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now) -> std::vector<PlannedOrder>
{
    return Round(input, options, storeLoads, now).plan();
}

// [SECTION] Adapters

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

auto placeAdapter(const CopyPlanInput &input, const std::string &model, const std::string &adapter, const AdapterUses &uses, TimePoint now)
    -> std::optional<PlannedOrder>
{
    const RunnerBook *free = nullptr;
    double freeLoad = 0;
    std::optional<Eviction> eviction;
    const RunnerOrder load {true, model, adapter};
    for (const auto *runner : input.runners) {
        const auto &about = runner->description();
        if (about.model(model) == nullptr || about.isLeaving) {
            continue;
        }
        if (runner->mayOrder(load, *input.engine, now)) {
            const auto taken = input.load.find(about.incarnation.id);
            const double load01 = (taken == input.load.end() ? 0 : taken->second) - runner->freeAdapterSlots(*input.engine, now);
            if (free == nullptr || load01 < freeLoad) {
                free = runner;
                freeLoad = load01;
            }
            continue;
        }
        if (runner->freeAdapterSlots(*input.engine, now) > 0) {
            continue; // it is only occupied: evicting wouldn't help
        }
        for (const auto &held : about.models) {
            for (const auto &loaded : held.adapters) {
                const RunnerOrder unload {false, held.name, loaded};
                const auto used = lastUse(uses, about.incarnation.id, held.name, loaded);
                const bool isOlder = !eviction || used < eviction->lastUsed;
                if (isOlder && runner->mayOrder(unload, *input.engine, now)) {
                    eviction = Eviction {runner, unload, used};
                }
            }
        }
    }
    if (free != nullptr) {
        return PlannedOrder {free->description().incarnation.id, load, WeightSource::Memory, "", "asked-for", 0, 0};
    }
    if (eviction) {
        return PlannedOrder {eviction->runner->description().incarnation.id, eviction->order, WeightSource::Memory, "", "makes-room", 0, 0};
    }
    return std::nullopt;
}

// [SECTION] Loads

auto LoadMeter::setRate(double perSecond, Duration window, double overshoot) -> void
{
    m_perSecond = perSecond;
    m_window = window;
    m_overshoot = overshoot;
}

auto LoadMeter::available(TimePoint now) const -> int
{
    if (m_perSecond <= 0) {
        return std::numeric_limits<int>::max();
    }
    const auto recent = std::count_if(m_begun.begin(), m_begun.end(), [&](TimePoint at) { return now - at < m_window; });
    // A holder that has only begun knows nothing of the loads before; its own part of the window grows with time.
    const double known = std::min((now - m_startedAt).inSeconds() / m_window.inSeconds(), 1.0);
    const double allowed = m_perSecond * m_window.inSeconds() * m_overshoot * known;
    return std::max(static_cast<int>(std::floor(allowed)) - static_cast<int>(recent), 0);
}

auto LoadMeter::began(TimePoint now) -> void
{
    std::erase_if(m_begun, [&](TimePoint at) { return now - at >= m_window; });
    m_begun.push_back(now);
}

auto LoadMeter::takenOver(TimePoint now) -> void
{
    m_begun.clear();
    m_startedAt = now;
}

} // namespace KingCup
