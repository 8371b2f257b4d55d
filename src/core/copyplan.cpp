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

/// A model in one round.
struct PlannedModel {
    const ModelDeclaration *declared = nullptr;
    double work = 0; ///< runners that its requests keep busy
    int copies = 0; ///< loaded, being loaded, or to come in place of one that gives way
    double fillSum = 0; ///< of the runners that hold it
    bool isSettled = false; ///< found no place in this round

    auto perCopy() const -> double
    {
        return work / std::max(copies, 1);
    }
    auto meanFill() const -> double
    {
        return fillSum / std::max(copies, 1);
    }
};

/// A runner in one round; only those that are up and answer.
struct PlannedRunner {
    const RunnerBook *book = nullptr;
    std::vector<std::size_t> holds; ///< models, by their place in the round's list
    double fill = 0; ///< the share of its time that is taken, each model's work spread evenly over its copies
    bool isTaken = false; ///< has an order of this round, or waits for one
};

/// The state of one round of planning.
class Round
{
public:
    Round(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now);

    auto plan() -> std::vector<PlannedOrder>
    {
        loadIntended();
        addWhereItGains();
        return std::move(m_orders);
    }

private:
    struct Place {
        PlannedRunner *runner = nullptr;
        WeightSource source = WeightSource::Store;
        std::optional<std::size_t> victim; ///< the model that gives way; none has to
        double cost = 0; ///< work that is lost with the victim
    };
    auto workOf(const ModelDeclaration &model) const -> double;
    auto addRunner(const RunnerBook &book) -> void;
    auto indexOf(const std::string &model) const -> std::optional<std::size_t>;
    auto countFills() -> void;
    auto gain(const PlannedModel &model, double fillThere) const -> double;
    auto lossWithout(const PlannedModel &model) const -> double;
    auto loadIntended() -> void;
    auto addWhereItGains() -> void;
    auto mostGaining() -> PlannedModel *;
    auto findPlace(const PlannedModel &model) -> Place;
    auto placeOn(PlannedRunner &runner, const PlannedModel &model) -> Place;
    auto isWorthIt(const PlannedModel &model, const Place &place) const -> bool;
    auto load(PlannedRunner &runner, std::size_t model, WeightSource source, const char *why) -> void;
    auto giveWay(PlannedRunner &runner, std::size_t victim, std::size_t comes, const char *why) -> void;
    auto order(PlannedRunner &runner, const RunnerOrder &what, WeightSource source, const char *why) -> PlannedOrder &;

    const CopyPlanInput &m_input;
    const CopyPlanOptions &m_options;
    int m_storeLoads;
    TimePoint m_now;
    std::vector<PlannedModel> m_models; ///< in the declaration's order
    std::vector<PlannedRunner> m_runners;
    std::size_t m_givingWay = 0; ///< runners on which a model gives way to another
    std::vector<PlannedOrder> m_orders;
};

Round::Round(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now)
    : m_input(input)
    , m_options(options)
    , m_storeLoads(storeLoads)
    , m_now(now)
{
    for (const auto &model : input.engine->models()) {
        m_models.push_back({.declared = &model, .work = workOf(model)});
    }
    for (const auto *book : input.runners) {
        addRunner(*book);
    }
    countFills();
}

auto Round::workOf(const ModelDeclaration &model) const -> double
{
    const auto found = m_input.work.find(model.name);
    const auto none = ModelWork();
    const auto &asked = found == m_input.work.end() ? none : found->second;
    // A runner whose places for adapters are all taken refuses as many as one whose time is.
    const double slots = std::max(m_input.engine->adapterSlots, 1);
    const double adapters = asked.activeAdapters / slots * m_options.halfLost;
    return std::max({asked.now, asked.soon, adapters}) + model.adapters * m_options.adaptersWorth;
}

auto Round::indexOf(const std::string &model) const -> std::optional<std::size_t>
{
    const auto *declared = m_input.engine->model(model);
    return declared == nullptr ? std::nullopt : std::optional(static_cast<std::size_t>(declared - m_input.engine->models().data()));
}

/// Copies on runners that leave or fail don't count: what is asked for is served elsewhere already.
auto Round::addRunner(const RunnerBook &book) -> void
{
    const auto &about = book.description();
    if (about.isLeaving || m_input.failing.contains(about.incarnation.id)) {
        return;
    }
    PlannedRunner runner {.book = &book};
    const auto hold = [&](const std::string &model) {
        const auto index = indexOf(model);
        if (index && std::find(runner.holds.begin(), runner.holds.end(), *index) == runner.holds.end()) {
            runner.holds.push_back(*index);
            ++m_models[*index].copies;
        }
    };
    for (const auto &held : about.models) {
        hold(held.name);
    }
    const auto intended = m_input.intended.find(about.incarnation.id);
    if (const auto loading = book.loading()) {
        hold(*loading);
    } else if (intended != m_input.intended.end()) {
        hold(intended->second);
        ++m_givingWay;
    }
    m_runners.push_back(std::move(runner));
}

auto Round::countFills() -> void
{
    for (auto &model : m_models) {
        model.fillSum = 0;
    }
    for (auto &runner : m_runners) {
        runner.fill = 0;
        for (const auto index : runner.holds) {
            runner.fill += m_models[index].perCopy();
        }
        for (const auto index : runner.holds) {
            m_models[index].fillSum += runner.fill;
        }
    }
}

/// What another copy saves, on a runner that is filled so far by others.
auto Round::gain(const PlannedModel &model, double fillThere) const -> double
{
    const double ofOthers = model.copies > 0 ? std::max(model.fillSum - model.work, 0.0) : 0;
    const double fillAfter = (ofOthers + fillThere + model.work) / (model.copies + 1);
    return lostWork(model.work, model.copies, model.meanFill(), m_options) - lostWork(model.work, model.copies + 1, fillAfter, m_options);
}

/// What is lost with one copy less.
auto Round::lossWithout(const PlannedModel &model) const -> double
{
    const int left = model.copies - 1;
    const double fillAfter = left > 0 ? model.meanFill() + model.perCopy() / left : 0;
    return lostWork(model.work, left, fillAfter, m_options) - lostWork(model.work, model.copies, model.meanFill(), m_options);
}

auto Round::order(PlannedRunner &runner, const RunnerOrder &what, WeightSource source, const char *why) -> PlannedOrder &
{
    runner.isTaken = true;
    countFills();
    const auto index = indexOf(what.model);
    PlannedOrder planned;
    planned.target = runner.book->description().incarnation.id;
    planned.order = what;
    planned.source = source;
    planned.reason = why;
    planned.work = index ? m_models[*index].work : 0;
    planned.copies = index ? m_models[*index].copies : 0;
    m_orders.push_back(planned);
    return m_orders.back();
}

auto Round::load(PlannedRunner &runner, std::size_t model, WeightSource source, const char *why) -> void
{
    if (std::find(runner.holds.begin(), runner.holds.end(), model) == runner.holds.end()) {
        runner.holds.push_back(model);
        ++m_models[model].copies;
    }
    m_storeLoads -= source == WeightSource::Store ? 1 : 0;
    order(runner, {true, m_models[model].declared->name, ""}, source, why);
}

auto Round::giveWay(PlannedRunner &runner, std::size_t victim, std::size_t comes, const char *why) -> void
{
    std::erase(runner.holds, victim);
    --m_models[victim].copies;
    runner.holds.push_back(comes);
    ++m_models[comes].copies; // its load follows on the room that this makes
    ++m_givingWay;
    order(runner, {false, m_models[victim].declared->name, ""}, WeightSource::Memory, why).makesRoomFor = m_models[comes].declared->name;
}

/// Where room was made for a model, it is loaded as soon as the runner takes the order.
auto Round::loadIntended() -> void
{
    for (auto &runner : m_runners) {
        const auto intended = m_input.intended.find(runner.book->description().incarnation.id);
        const auto index = intended == m_input.intended.end() ? std::nullopt : indexOf(intended->second);
        if (!index) {
            continue;
        }
        const auto source = runner.book->sourceOf(intended->second);
        const bool isAllowed = source != WeightSource::Store || m_storeLoads > 0;
        if (isAllowed && runner.book->mayOrder({true, intended->second, ""}, *m_input.engine, m_now)) {
            load(runner, *index, source, "room-made");
        } else {
            runner.isTaken = true;
        }
    }
}

/// The copy that saves the most work comes first, as long as one is worth its load.
auto Round::addWhereItGains() -> void
{
    while (auto *model = mostGaining()) {
        const auto place = findPlace(*model);
        if (place.runner == nullptr || !isWorthIt(*model, place)) {
            model->isSettled = true;
            continue;
        }
        const char *why = model->copies == 0 ? "no-copy" : "busy";
        const auto index = static_cast<std::size_t>(model - m_models.data());
        if (place.victim) {
            giveWay(*place.runner, *place.victim, index, why);
        } else {
            load(*place.runner, index, place.source, why);
        }
    }
}

/// Null if no copy is worth its load any more.
auto Round::mostGaining() -> PlannedModel *
{
    PlannedModel *best = nullptr;
    double most = m_options.leastGain;
    for (auto &model : m_models) {
        const double gained = model.isSettled ? 0 : gain(model, 0);
        if (gained > most) {
            most = gained;
            best = &model;
        }
    }
    return best;
}

auto Round::isWorthIt(const PlannedModel &model, const Place &place) const -> bool
{
    double fillThere = place.runner->fill;
    if (!place.victim) {
        return gain(model, fillThere) > m_options.leastGain;
    }
    fillThere -= m_models[*place.victim].perCopy();
    const bool isTooMuch = static_cast<double>(m_givingWay) >= m_options.mostGivingWay * static_cast<double>(m_runners.size());
    return !isTooMuch && gain(model, fillThere) * m_options.clearlyLess > place.cost + m_options.swapCost;
}

/// Free memory before a victim, a runner with time before a busy one, a quick load before a slow one.
auto Round::findPlace(const PlannedModel &model) -> Place
{
    Place best;
    std::tuple<bool, bool, int, double> bestRank;
    for (auto &runner : m_runners) {
        const auto place = placeOn(runner, model);
        if (place.runner == nullptr) {
            continue;
        }
        const bool isBusy = runner.fill > m_options.easyRunner;
        const std::tuple rank(place.victim.has_value(), isBusy, static_cast<int>(place.source), runner.fill + place.cost);
        if (best.runner == nullptr || rank < bestRank) {
            best = place;
            bestRank = rank;
        }
    }
    return best;
}

auto Round::placeOn(PlannedRunner &runner, const PlannedModel &model) -> Place
{
    const auto &name = model.declared->name;
    const auto source = runner.book->sourceOf(name);
    const bool isAllowed = source != WeightSource::Store || m_storeLoads > 0;
    const auto index = static_cast<std::size_t>(&model - m_models.data());
    const bool holdsIt = std::find(runner.holds.begin(), runner.holds.end(), index) != runner.holds.end();
    if (runner.isTaken || !isAllowed || holdsIt) {
        return {};
    }
    if (runner.book->mayOrder({true, name, ""}, *m_input.engine, m_now)) {
        return {&runner, source, std::nullopt, 0};
    }
    Place place;
    if (m_now - runner.book->modelOrderedAt() < m_options.restTime) {
        return place;
    }
    for (const auto victim : runner.holds) {
        const auto &other = m_models[victim];
        const double lost = lossWithout(other);
        const bool isBetter = place.runner == nullptr || lost < place.cost;
        if (other.copies >= 2 && isBetter && runner.book->mayOrder({false, other.declared->name, ""}, *m_input.engine, m_now)) {
            place = {&runner, source, victim, lost};
        }
    }
    return place;
}

} // namespace

auto modelWork(const std::vector<ArtifactDemand> &now, const std::vector<ArtifactDemand> &soon) -> std::map<std::string, ModelWork>
{
    // Seconds of a runner: a share of the steps of some three hundred tokens. Nearly twice as much made no difference.
    constexpr double RequestSeconds = 0.025;
    std::map<std::string, ModelWork> result;
    for (const auto &rate : now) {
        result[rate.artifact.text()].now += rate.perSecond * RequestSeconds;
    }
    for (const auto &rate : soon) {
        result[rate.artifact.text()].soon += rate.perSecond * RequestSeconds;
    }
    return result;
}

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

auto placeAdapter(const CopyPlanInput &input, const std::string &model, const std::string &adapter, const AdapterUses &uses, Duration spared, TimePoint now)
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
                const bool isSpared = now - used < spared;
                if (isOlder && !isSpared && runner->mayOrder(unload, *input.engine, now)) {
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
