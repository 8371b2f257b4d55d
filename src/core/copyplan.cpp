// Index of sections (search for [SECTION]):
//   Round        the state of one planning round
//   Moves        continues moves in progress
//   Placements   chooses runners for additional replicas
//   Plan         public functions
#include "core/copyplan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace KingCup
{

// [SECTION] Round

namespace
{

/// Limits on the models that are examined for one more replica, and on the placements of each: the spread of work is computed for every pair.
constexpr std::size_t MaxCandidateModels = 4;
constexpr std::size_t MaxPlacementsPerModel = 4;
/// Added to the rank of a placement for each step from memory to disk to the weight store, and for each evicted replica, as a share of a runner's time. A load
/// from a slower source costs more than a tenth of a runner's time.
constexpr double SourceCost = 0.1;
constexpr double NoGain = -std::numeric_limits<double>::infinity();

/// A declared model in one round.
struct PlannedModel {
    const ModelDeclaration *declared = nullptr;
    double work = 0; ///< runners that its requests keep busy
    int usable = 0; ///< number of replicas that serve now and don't drain
    TimePoint lastRequestAt;
    double missingSeconds = 0; ///< how long it has had requests but no replica
};

/// A runner in one round. Leaving and failing runners are left out.
struct PlannedRunner {
    const RunnerBook *book = nullptr;
    const CopyMove *move = nullptr; ///< its move in progress, or null
    std::vector<std::size_t> holds; ///< models whose replica on the runner serves now and doesn't drain
    bool isReserved = false; ///< the runner gets no further order or move in this round
};

/// A possible placement of one more replica of a model.
struct Placement {
    std::size_t runner = 0;
    WeightSource source = WeightSource::Store;
    std::vector<std::size_t> evicted; ///< models to be evicted from the runner
    double rank = 0; ///< lower is better
};

class Round
{
public:
    Round(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now);

    auto plan() -> CopyPlan
    {
        continueMoves();
        addCopies();
        return std::move(m_plan);
    }

private:
    struct Choice {
        std::size_t model = 0;
        Placement placement;
        double gain = NoGain;
    };
    auto modelSlots() const -> double;
    auto workOf(const ModelDeclaration &model) const -> double;
    auto addRunner(const RunnerBook &book) -> void;
    auto indexOf(const std::string &model) const -> std::optional<std::size_t>;
    auto nameOf(std::size_t model) const -> const std::string &;
    auto idOf(const PlannedRunner &runner) const -> const TargetId &;
    auto lossWithoutCopy(std::size_t model) const -> double;
    auto lostWork(const CopySpread &spread) const -> double;

    auto continueMoves() -> void;
    auto continueMove(std::size_t runner) -> void;
    auto isMoveWorthwhile(std::size_t runner, std::size_t incoming) const -> bool;
    auto abort(std::size_t runner, std::size_t incoming) -> void;
    auto unloadDrained(PlannedRunner &runner) -> void;
    auto isDrained(const PlannedRunner &runner, const std::string &model) const -> bool;

    auto addCopies() -> void;
    auto candidates() const -> std::vector<std::size_t>;
    auto potentialGain(std::size_t model, double least) const -> double;
    auto placementsFor(std::size_t model) const -> std::vector<Placement>;
    auto placementOn(std::size_t runner, std::size_t model) const -> std::optional<Placement>;
    auto mayEvictLastReplica(std::size_t incoming) const -> bool;
    auto chooseEvictions(std::size_t runner, std::size_t incoming, Bytes missing) const -> std::optional<std::vector<std::size_t>>;
    auto streamsAt(std::size_t runner, std::size_t model) const -> double;
    auto memoryHeld(const PlannedRunner &runner, std::size_t model) const -> Bytes;
    auto gainOf(std::size_t model, const Placement &placement, double lostNow) const -> double;
    auto carryOut(const Choice &choice) -> void;
    auto load(std::size_t runner, std::size_t model, WeightSource source, const char *why) -> void;
    auto order(PlannedRunner &runner, const RunnerOrder &what, WeightSource source, const char *why) -> PlannedOrder &;

    const CopyPlanInput &m_input;
    const CopyPlanOptions &m_options;
    int m_storeLoads;
    TimePoint m_now;
    std::vector<PlannedModel> m_models; ///< in the declaration's order
    std::vector<PlannedRunner> m_runners;
    CopySpread m_spread; ///< over the replicas that serve and don't drain, are being loaded, or are incoming by a move
    std::size_t m_moves = 0; ///< number of moves in progress
    bool m_allFit = true; ///< memory suffices for a replica of each model and further replicas of busy models
    CopyPlan m_plan;
};

Round::Round(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now)
    : m_input(input)
    , m_options(options)
    , m_storeLoads(storeLoads)
    , m_now(now)
    , m_spread(input.engine->models().size(), input.runners.size())
{
    for (const auto &model : input.engine->models()) {
        m_models.push_back({.declared = &model, .work = workOf(model)});
        auto &planned = m_models.back();
        const auto asked = input.lastRequestAt.find(model.name);
        planned.lastRequestAt = asked == input.lastRequestAt.end() ? TimePoint() : asked->second;
        const auto missing = input.missingSince.find(model.name);
        planned.missingSeconds = missing == input.missingSince.end() ? 0 : (now - missing->second).inSeconds();
        m_spread.setWork(m_models.size() - 1, m_models.back().work);
    }
    for (const auto *book : input.runners) {
        addRunner(*book);
    }
    m_spread.rebalance();
    m_allFit = modelSlots() >= options.modelSlotsToFitAll * static_cast<double>(m_models.size());
}

/// How many models of mean size the runners can hold.
auto Round::modelSlots() const -> double
{
    double weights = 0;
    for (const auto &model : m_models) {
        weights += static_cast<double>(model.declared->weights.count());
    }
    const double mean = m_models.empty() ? 0 : weights / static_cast<double>(m_models.size());
    const double each = mean > 0 ? std::floor(static_cast<double>(m_input.engine->memory.count()) / mean) : 0;
    return each * static_cast<double>(m_runners.size());
}

auto Round::workOf(const ModelDeclaration &model) const -> double
{
    const auto found = m_input.work.find(model.name);
    const auto none = ModelWork();
    const auto &asked = found == m_input.work.end() ? none : found->second;
    // A runner whose adapter slots are all in use refuses requests as a busy runner does, so active adapters count as work.
    const double slots = std::max(m_input.engine->adapterSlots, 1);
    return std::max({asked.now, asked.soon, asked.activeAdapters / slots * m_options.fullAdapterSlotsWork});
}

auto Round::indexOf(const std::string &model) const -> std::optional<std::size_t>
{
    const auto *declared = m_input.engine->model(model);
    return declared == nullptr ? std::nullopt : std::optional(static_cast<std::size_t>(declared - m_input.engine->models().data()));
}

auto Round::nameOf(std::size_t model) const -> const std::string &
{
    return m_models[model].declared->name;
}

auto Round::idOf(const PlannedRunner &runner) const -> const TargetId &
{
    return runner.book->description().incarnation.id;
}

/// Replicas on leaving or failing runners don't count, as their requests are already sent elsewhere.
auto Round::addRunner(const RunnerBook &book) -> void
{
    const auto &about = book.description();
    if (about.isLeaving || m_input.failing.contains(about.incarnation.id)) {
        return;
    }
    const auto number = m_runners.size();
    PlannedRunner runner {.book = &book};
    const auto move = m_input.moves.find(about.incarnation.id);
    if (move != m_input.moves.end()) {
        runner.move = &move->second;
        ++m_moves;
    }
    if (const auto limited = m_input.unavailable.find(about.incarnation.id); limited != m_input.unavailable.end()) {
        m_spread.setUnavailable(number, limited->second);
    }
    for (const auto &held : about.models) {
        const auto index = indexOf(held.name);
        if (index && !m_input.isDraining(about.incarnation.id, held.name)) {
            runner.holds.push_back(*index);
            ++m_models[*index].usable;
            m_spread.add(*index, number);
        }
    }
    for (const auto &expected : {book.loading(), runner.move != nullptr ? std::optional(runner.move->incoming) : std::nullopt}) {
        if (const auto index = expected ? indexOf(*expected) : std::nullopt) {
            m_spread.add(*index, number);
        }
    }
    m_runners.push_back(std::move(runner));
}

/// Work that counts as lost while a model has no replica: that of its requests, and a fixed amount because the model isn't available to new requests.
auto Round::lossWithoutCopy(std::size_t model) const -> double
{
    const double waited = 1 + m_models[model].missingSeconds / m_options.missingGrowthTime.inSeconds();
    return m_models[model].work * m_options.missingModelFactor * waited + m_options.missingModelWork
        + m_models[model].declared->adapters * m_options.missingAdapterWork;
}

auto Round::lostWork(const CopySpread &spread) const -> double
{
    double sum = spread.lostWork(m_options.loss);
    for (std::size_t model = 0; model < m_models.size(); ++model) {
        sum += spread.copies(model) == 0 ? lossWithoutCopy(model) : 0;
    }
    return sum;
}

auto Round::order(PlannedRunner &runner, const RunnerOrder &what, WeightSource source, const char *why) -> PlannedOrder &
{
    runner.isReserved = true;
    const auto index = indexOf(what.model);
    PlannedOrder planned;
    planned.target = idOf(runner);
    planned.order = what;
    planned.source = source;
    planned.reason = why;
    planned.work = index ? m_models[*index].work : 0;
    planned.copies = index ? static_cast<int>(m_spread.copies(*index)) : 0;
    m_plan.orders.push_back(planned);
    return m_plan.orders.back();
}

auto Round::load(std::size_t runner, std::size_t model, WeightSource source, const char *why) -> void
{
    m_spread.add(model, runner);
    m_spread.rebalance();
    m_storeLoads -= source == WeightSource::Store ? 1 : 0;
    order(m_runners[runner], {true, nameOf(model), ""}, source, why);
}

// [SECTION] Moves

auto Round::continueMoves() -> void
{
    for (std::size_t runner = 0; runner < m_runners.size(); ++runner) {
        if (m_runners[runner].move != nullptr) {
            continueMove(runner);
        }
    }
}

auto Round::continueMove(std::size_t number) -> void
{
    auto &runner = m_runners[number];
    const auto &move = *runner.move;
    const auto incoming = indexOf(move.incoming);
    if (!incoming || !isMoveWorthwhile(number, *incoming)) {
        abort(number, incoming.value_or(m_models.size()));
        return;
    }
    const auto source = runner.book->sourceOf(move.incoming);
    const bool isAllowed = source != WeightSource::Store || m_storeLoads > 0;
    if (isAllowed && runner.book->mayOrder({true, move.incoming, ""}, *m_input.engine, m_now)) {
        load(number, *incoming, source, "evicted");
        return;
    }
    runner.isReserved = true;
    unloadDrained(runner);
}

/// Compares the lost work with that after an abort, when the draining replicas would be used again. A move whose load has begun is always completed.
auto Round::isMoveWorthwhile(std::size_t runner, std::size_t incoming) const -> bool
{
    const auto *book = m_runners[runner].book;
    if (book->loading() == nameOf(incoming)) {
        return true;
    }
    auto before = m_spread;
    before.remove(incoming, runner);
    for (const auto &held : book->description().models) {
        const auto index = indexOf(held.name);
        if (index && m_runners[runner].move->evicted.contains(held.name)) {
            before.add(*index, runner);
        }
    }
    before.rebalance();
    return lostWork(before) - lostWork(m_spread) > m_options.minGainToContinue;
}

auto Round::abort(std::size_t number, std::size_t incoming) -> void
{
    auto &runner = m_runners[number];
    if (incoming < m_models.size()) {
        m_spread.remove(incoming, number);
    }
    for (const auto &held : runner.book->description().models) {
        const auto index = indexOf(held.name);
        if (index && runner.move->evicted.contains(held.name)) {
            m_spread.add(*index, number);
        }
    }
    m_spread.rebalance();
    m_plan.aborted.push_back(idOf(runner));
    runner.isReserved = true;
    --m_moves;
}

/// Unloads one drained replica, as a runner executes one order at a time. A replica that has become its model's last one since the move began is kept.
auto Round::unloadDrained(PlannedRunner &runner) -> void
{
    for (const auto &name : runner.move->evicted) {
        const auto index = indexOf(name);
        const bool isNeeded = !index || (m_models[*index].usable == 0 && !runner.move->lastReplicas.contains(name));
        if (!isNeeded && isDrained(runner, name) && runner.book->mayOrder({false, name, ""}, *m_input.engine, m_now)) {
            order(runner, {false, name, ""}, WeightSource::Memory, "evict").evictedFor = runner.move->incoming;
            return;
        }
    }
}

auto Round::isDrained(const PlannedRunner &runner, const std::string &model) const -> bool
{
    const auto waited = m_now - runner.move->since;
    const auto reported = m_input.drainingStreams.find({idOf(runner), model});
    if (reported == m_input.drainingStreams.end()) {
        return waited >= m_options.streamReportTimeout;
    }
    return reported->second == 0 || waited >= m_options.maxDrainTime;
}

// [SECTION] Placements

/// Adds the replica with the largest gain, and repeats this while there is a gain, at most maxChangesPerRound times.
auto Round::addCopies() -> void
{
    for (int changes = 0; changes < m_options.maxChangesPerRound; ++changes) {
        Choice best;
        const double lostNow = lostWork(m_spread);
        for (const auto model : candidates()) {
            for (const auto &placement : placementsFor(model)) {
                const double gain = gainOf(model, placement, lostNow);
                if (gain > best.gain) {
                    best = {model, placement, gain};
                }
            }
        }
        if (best.gain <= 0) {
            return;
        }
        carryOut(best);
    }
}

/// Models without a replica, and those whose runners are more loaded than others, with the largest possible gain first.
auto Round::candidates() const -> std::vector<std::size_t>
{
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t runner = 0; runner < m_runners.size(); ++runner) {
        least = std::min(least, m_runners[runner].isReserved ? least : m_spread.load(runner));
    }
    std::vector<std::pair<double, std::size_t>> ranked;
    for (std::size_t model = 0; model < m_models.size(); ++model) {
        const bool isMissing = m_spread.copies(model) == 0;
        const double most = isMissing ? lossWithoutCopy(model) : potentialGain(model, least);
        if (most > m_options.minLoadGain) {
            ranked.emplace_back(most, model);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::size_t> list;
    for (std::size_t i = 0; i < std::min(ranked.size(), MaxCandidateModels); ++i) {
        list.push_back(ranked[i].second);
    }
    return list;
}

/// Optimistic estimate of the gain of one more replica: the lost work that is saved if work moves from the model's least loaded runner to the least loaded of
/// all unreserved runners, whose load is `least`, until both loads are equal, but at most half of the model's work.
auto Round::potentialGain(std::size_t model, double least) const -> double
{
    const auto &loss = m_options.loss;
    const double level = m_spread.lowestLoad(model);
    const double moved = std::min(m_models[model].work, std::max(level - least, 0.0)) / 2;
    return loss.lostWork(level) - loss.lostWork(level - moved) + loss.lostWork(least) - loss.lostWork(least + moved);
}

auto Round::placementsFor(std::size_t model) const -> std::vector<Placement>
{
    std::vector<Placement> list;
    for (std::size_t runner = 0; runner < m_runners.size(); ++runner) {
        if (auto placement = placementOn(runner, model)) {
            list.push_back(std::move(*placement));
        }
    }
    std::sort(list.begin(), list.end(), [](const Placement &a, const Placement &b) { return a.rank < b.rank; });
    list.resize(std::min(list.size(), MaxPlacementsPerModel));
    return list;
}

/// The placement on one runner, if possible. The rank prefers less loaded runners, free memory over evictions, and faster weight sources.
auto Round::placementOn(std::size_t number, std::size_t model) const -> std::optional<Placement>
{
    const auto &runner = m_runners[number];
    const auto source = runner.book->sourceOf(nameOf(model));
    const bool isAllowed = source != WeightSource::Store || m_storeLoads > 0;
    if (runner.isReserved || !isAllowed || m_spread.holds(model, number)) {
        return std::nullopt;
    }
    Placement placement {.runner = number, .source = source};
    placement.rank = m_spread.load(number) + SourceCost * static_cast<int>(source);
    if (runner.book->mayOrder({true, nameOf(model), ""}, *m_input.engine, m_now)) {
        return placement;
    }
    const bool isCoolingDown = m_now - runner.book->modelOrderedAt() < m_options.evictionCooldown;
    const bool isDrainLimitReached = static_cast<double>(m_moves) >= m_options.maxDrainingShare * static_cast<double>(m_runners.size());
    if (isCoolingDown || isDrainLimitReached) {
        return std::nullopt;
    }
    const auto missing = m_models[model].declared->weights - runner.book->freeMemory(*m_input.engine, m_now);
    if (missing <= Bytes()) {
        return std::nullopt; // memory suffices, but the runner takes no order now
    }
    auto evicted = chooseEvictions(number, model, missing);
    if (!evicted) {
        return std::nullopt;
    }
    for (const auto victim : *evicted) {
        placement.rank += SourceCost + m_spread.share(victim, number) + m_options.drainingStreamWork * streamsAt(number, victim);
    }
    placement.evicted = std::move(*evicted);
    return placement;
}

auto Round::streamsAt(std::size_t runner, std::size_t model) const -> double
{
    return m_input.estimatedStreams ? m_input.estimatedStreams({idOf(m_runners[runner]), nameOf(model)}) : 0;
}

/// Whether the last replica of another model may be evicted for this model. If so, the gain decides whether it is.
auto Round::mayEvictLastReplica(std::size_t incoming) const -> bool
{
    const bool isMissing = m_spread.copies(incoming) == 0;
    return m_input.isDemandKnown && m_models[incoming].work > 0 && (isMissing || !m_allFit);
}

/// The replicas whose eviction costs least, as many as are needed; nothing if they don't free enough memory.
auto Round::chooseEvictions(std::size_t number, std::size_t incoming, Bytes missing) const -> std::optional<std::vector<std::size_t>>
{
    // If not all models fit, a model without requests waits for free memory: the model that was evicted for it would in turn evict another one.
    if (m_models[incoming].work <= 0 && (!m_input.isDemandKnown || !m_allFit)) {
        return std::nullopt;
    }
    const auto &runner = m_runners[number];
    std::vector<std::size_t> evictable;
    for (const auto model : runner.holds) {
        const bool isNeeded = m_models[model].usable < 2 && !mayEvictLastReplica(incoming);
        if (!isNeeded && m_spread.holds(model, number) && runner.book->mayOrder({false, nameOf(model), ""}, *m_input.engine, m_now)) {
            evictable.push_back(model);
        }
    }
    const auto isCheaperToEvict = [&](std::size_t a, std::size_t b) {
        const auto evictionCost = [&](std::size_t model) {
            const bool isLast = m_models[model].usable < 2;
            const double inUse = m_spread.share(model, number) + m_options.drainingStreamWork * streamsAt(number, model);
            return std::tuple(isLast ? lossWithoutCopy(model) : inUse, m_models[model].lastRequestAt, m_models[model].work, model);
        };
        return evictionCost(a) < evictionCost(b);
    };
    std::sort(evictable.begin(), evictable.end(), isCheaperToEvict);
    std::vector<std::size_t> evicted;
    for (const auto model : evictable) {
        if (missing <= Bytes()) {
            break;
        }
        evicted.push_back(model);
        missing -= memoryHeld(runner, model);
    }
    if (missing > Bytes()) {
        return std::nullopt;
    }
    // The replicas chosen last may free enough memory alone: the others are kept, those with the highest eviction cost first.
    for (std::size_t i = evicted.size(); i > 0; --i) {
        const auto size = memoryHeld(runner, evicted[i - 1]);
        if (missing + size <= Bytes()) {
            missing += size;
            evicted.erase(evicted.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
    }
    return evicted;
}

/// Weights of the model and of its adapters that are loaded on the runner.
auto Round::memoryHeld(const PlannedRunner &runner, std::size_t model) const -> Bytes
{
    const auto *declared = m_models[model].declared;
    const auto *held = runner.book->description().model(declared->name);
    const auto adapters = held == nullptr ? 0 : static_cast<std::int64_t>(held->adapters.size());
    return declared->weights + Bytes(declared->adapterWeights.count() * adapters);
}

/// Lost work that the placement saves, minus the minimum that a load or an eviction must save.
auto Round::gainOf(std::size_t model, const Placement &placement, double lostNow) const -> double
{
    auto after = m_spread;
    after.add(model, placement.runner);
    for (const auto victim : placement.evicted) {
        after.remove(victim, placement.runner);
    }
    after.rebalance();
    const double least = placement.evicted.empty() ? m_options.minLoadGain : m_options.minEvictionGain;
    return lostNow - lostWork(after) - least;
}

auto Round::carryOut(const Choice &choice) -> void
{
    const char *why = m_spread.copies(choice.model) == 0 ? "no-copy" : "busy";
    const auto &placement = choice.placement;
    if (placement.evicted.empty()) {
        load(placement.runner, choice.model, placement.source, why);
        return;
    }
    auto &runner = m_runners[placement.runner];
    CopyMove move {.incoming = nameOf(choice.model), .since = m_now};
    for (const auto victim : placement.evicted) {
        move.evicted.insert(nameOf(victim));
        if (m_models[victim].usable < 2) {
            move.lastReplicas.insert(nameOf(victim));
        }
        m_spread.remove(victim, placement.runner);
        --m_models[victim].usable;
    }
    m_spread.add(choice.model, placement.runner);
    m_spread.rebalance();
    runner.isReserved = true;
    ++m_moves;
    m_plan.begun.push_back({idOf(runner), move, why, choice.gain});
}

} // namespace

// [SECTION] Plan

auto isDraining(const std::map<TargetId, CopyMove> &moves, const TargetId &target, const std::string &model) -> bool
{
    const auto found = moves.find(target);
    return found != moves.end() && found->second.evicted.contains(model);
}

auto CopyPlanInput::isDraining(const TargetId &target, const std::string &model) const -> bool
{
    return KingCup::isDraining(moves, target, model);
}

auto modelWork(const std::vector<ArtifactDemand> &now, const std::vector<ArtifactDemand> &soon, const RequestCost &cost) -> std::map<std::string, ModelWork>
{
    std::map<std::string, ModelWork> result;
    for (const auto &rate : now) {
        result[rate.artifact.text()].now += rate.perSecond * cost.seconds(rate.artifact.text());
    }
    for (const auto &rate : soon) {
        result[rate.artifact.text()].soon += rate.perSecond * cost.seconds(rate.artifact.text());
    }
    return result;
}

auto planCopies(const CopyPlanInput &input, const CopyPlanOptions &options, int storeLoads, TimePoint now) -> CopyPlan
{
    return Round(input, options, storeLoads, now).plan();
}

} // namespace KingCup
