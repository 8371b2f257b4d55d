#include "core/copyplan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>

namespace KingCup
{

namespace
{

/// The part of a model's work that is lost or late: all of it without a copy; else what grows as its runners fill up, and goes on growing
/// when they are more than full: with a step there, nothing would be gained by a first copy of several that are needed.
/// `fill`: the share of the runners' time that is taken, with all models on them.
auto lostWork(double work, int copies, double fill, const CopyPlanOptions &options) -> double
{
    if (copies <= 0) {
        return work + options.silentModel;
    }
    const double squared = fill * fill;
    return work * squared / (squared + options.halfLost * options.halfLost);
}

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
            countCopies(*runner);
        }
        for (const auto *runner : input.runners) {
            countFill(*runner);
        }
    }

    auto plan() -> std::vector<PlannedOrder>
    {
        loadIntended();
        addWhereItGains();
        return std::move(m_orders);
    }

private:
    struct Place {
        const RunnerBook *runner = nullptr;
        WeightSource source = WeightSource::Store;
        std::string victim; ///< that gives way; empty: none has to
        double cost = 0; ///< work that is lost with the victim
    };
    auto countCopies(const RunnerBook &runner) -> void;
    auto copies(const std::string &model) const -> int
    {
        const auto found = m_copies.find(model);
        return found == m_copies.end() ? 0 : found->second;
    }
    auto work(const ModelDeclaration &model) const -> double
    {
        const auto found = m_input.work.find(model.name);
        const auto none = ModelWork();
        const auto &asked = found == m_input.work.end() ? none : found->second;
        // A runner whose places for adapters are all taken refuses as many as one whose time is.
        const double slots = std::max(m_input.engine->adapterSlots, 1);
        const double adapters = asked.activeAdapters / slots * m_options.halfLost;
        return std::max({asked.now, asked.soon, adapters}) + model.adapters * m_options.adaptersWorth;
    }
    auto workOf(const std::string &name) const -> double
    {
        const auto *declared = m_input.engine->model(name);
        return declared == nullptr ? 0 : work(*declared);
    }
    /// The work that one copy of a model takes of its runner, spread evenly.
    auto perCopy(const std::string &name) const -> double
    {
        return workOf(name) / std::max(copies(name), 1);
    }
    auto fillOf(const RunnerBook &runner) const -> double
    {
        const auto found = m_fill.find(runner.description().incarnation.id);
        return found == m_fill.end() ? 0 : found->second;
    }
    auto countFill(const RunnerBook &runner) -> void;
    auto meanFill(const std::string &model) const -> double;
    auto gain(const ModelDeclaration &model, double fillThere) const -> double;
    auto isUsable(const RunnerBook &runner) const -> bool
    {
        const auto &id = runner.description().incarnation.id;
        return !runner.description().isLeaving && !m_input.failing.contains(id) && !m_taken.contains(id);
    }
    auto loadIntended() -> void;
    auto addWhereItGains() -> void;
    auto findPlace(const ModelDeclaration &model, double gained) const -> Place;
    auto placeOn(const RunnerBook &runner, const ModelDeclaration &model, double gained) const -> Place;
    auto order(const RunnerBook &runner, RunnerOrder what, WeightSource source, const char *why) -> void;

    const CopyPlanInput &m_input;
    const CopyPlanOptions &m_options;
    int m_storeLoads;
    TimePoint m_now;
    std::map<std::string, int> m_copies;
    std::map<TargetId, double> m_fill; ///< the share of each runner's time that is taken
    std::map<std::string, double> m_fills; ///< the sum of that over the runners of each model
    int m_givingWay = 0; ///< runners on which a model gives way to another
    std::set<TargetId> m_taken; ///< have an order of this round, or wait for one
    std::vector<PlannedOrder> m_orders;
};

auto Round::countFill(const RunnerBook &runner) -> void
{
    if (!isUsable(runner)) {
        return;
    }
    const auto &about = runner.description();
    double fill = 0;
    for (const auto &held : about.models) {
        fill += perCopy(held.name);
    }
    m_fill[about.incarnation.id] = fill;
    for (const auto &held : about.models) {
        m_fills[held.name] += fill;
    }
}

/// Over the runners that hold it.
auto Round::meanFill(const std::string &model) const -> double
{
    const auto found = m_fills.find(model);
    return found == m_fills.end() ? 0 : found->second / std::max(copies(model), 1);
}

/// What another copy saves, on a runner that is filled so far by others.
auto Round::gain(const ModelDeclaration &model, double fillThere) const -> double
{
    const int held = copies(model.name);
    const double asked = work(model);
    const double fill = meanFill(model.name);
    const double shareAfter = asked / (held + 1);
    const double restBefore = held * fill - asked * (held > 0 ? 1 : 0); // of other models on its runners
    const double fillAfter = (restBefore + fillThere) / (held + 1) + shareAfter;
    return lostWork(asked, held, fill, m_options) - lostWork(asked, held + 1, fillAfter, m_options);
}

/// Copies on runners that leave or fail don't count: what is asked for is served elsewhere already.
auto Round::countCopies(const RunnerBook &runner) -> void
{
    if (!isUsable(runner)) {
        return;
    }
    const auto &about = runner.description();
    for (const auto &held : about.models) {
        ++m_copies[held.name];
    }
    const auto intended = m_input.intended.find(about.incarnation.id);
    if (const auto loading = runner.loading()) {
        ++m_copies[*loading];
    } else if (intended != m_input.intended.end() && about.model(intended->second) == nullptr) {
        ++m_copies[intended->second];
    }
    m_givingWay += intended != m_input.intended.end() ? 1 : 0;
}

auto Round::order(const RunnerBook &runner, RunnerOrder what, WeightSource source, const char *why) -> void
{
    const auto &id = runner.description().incarnation.id;
    m_taken.insert(id);
    m_copies[what.model] += what.isLoad ? 1 : -1;
    m_storeLoads -= what.isLoad && source == WeightSource::Store ? 1 : 0;
    const double ofModel = workOf(what.model);
    const int ofCopies = copies(what.model);
    m_orders.push_back({id, std::move(what), source, "", why, ofModel, ofCopies});
}

/// Where room was made for a model, it is loaded as soon as the runner takes the order.
auto Round::loadIntended() -> void
{
    for (const auto *runner : m_input.runners) {
        const auto intended = m_input.intended.find(runner->description().incarnation.id);
        if (intended == m_input.intended.end() || !isUsable(*runner)) {
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

/// The copy that saves the most work comes first, as long as one is worth its load.
auto Round::addWhereItGains() -> void
{
    std::set<std::string> settled; // models that found no place
    while (true) {
        const ModelDeclaration *best = nullptr;
        double most = m_options.leastGain;
        for (const auto &model : m_input.engine->models()) {
            const double gained = settled.contains(model.name) ? 0 : gain(model, 0);
            if (gained > most) {
                most = gained;
                best = &model;
            }
        }
        if (best == nullptr) {
            return;
        }
        const auto place = findPlace(*best, most);
        const bool isTooMuch = !place.victim.empty() && m_givingWay >= m_options.mostGivingWay * static_cast<double>(m_input.runners.size());
        if (isTooMuch || place.runner == nullptr || gain(*best, fillOf(*place.runner)) < m_options.leastGain) {
            settled.insert(best->name);
            continue;
        }
        m_fills[best->name] += fillOf(*place.runner);
        const char *why = copies(best->name) == 0 ? "no-copy" : "busy";
        if (place.victim.empty()) {
            order(*place.runner, {true, best->name, ""}, place.source, why);
            continue;
        }
        order(*place.runner, {false, place.victim, ""}, place.source, why);
        ++m_givingWay;
        m_orders.back().makesRoomFor = best->name;
        ++m_copies[best->name]; // its load follows on the room that this makes
    }
}

/// Free memory before a victim, a runner with time before a busy one, a quick load before a slow one.
auto Round::findPlace(const ModelDeclaration &model, double gained) const -> Place
{
    Place best;
    std::tuple<bool, bool, int, double> bestRank;
    for (const auto *runner : m_input.runners) {
        const auto place = placeOn(*runner, model, gained);
        if (place.runner == nullptr) {
            continue;
        }
        const std::tuple rank(!place.victim.empty(), fillOf(*runner) > m_options.easyRunner, static_cast<int>(place.source), fillOf(*runner) + place.cost);
        if (best.runner == nullptr || rank < bestRank) {
            best = place;
            bestRank = rank;
        }
    }
    return best;
}

auto Round::placeOn(const RunnerBook &runner, const ModelDeclaration &model, double gained) const -> Place
{
    const auto source = runner.sourceOf(model.name);
    const bool isAllowed = source != WeightSource::Store || m_storeLoads > 0;
    const auto &about = runner.description();
    if (!isUsable(runner) || !isAllowed || about.model(model.name) != nullptr) {
        return {};
    }
    if (runner.mayOrder({true, model.name, ""}, *m_input.engine, m_now)) {
        return {&runner, source, "", 0};
    }
    Place place;
    double least = gained * m_options.clearlyLess;
    for (const auto &held : about.models) {
        const int left = copies(held.name) - 1;
        const double fill = meanFill(held.name);
        const double fillAfter = left > 0 ? fill + perCopy(held.name) / left : 0;
        const double lost = lostWork(workOf(held.name), left, fillAfter, m_options) - lostWork(workOf(held.name), left + 1, fill, m_options);
        if (left >= 1 && lost < least && runner.mayOrder({false, held.name, ""}, *m_input.engine, m_now)) {
            least = lost;
            place = {&runner, source, held.name, lost};
        }
    }
    return place;
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
