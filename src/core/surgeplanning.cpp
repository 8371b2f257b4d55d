#include "core/placement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <sstream>
#include <unordered_map>

namespace KingCup
{

namespace
{

constexpr int SpreadRounds = 3; ///< of moving load from full holders to others; more change little
constexpr auto ServiceTimeIfUnknown = Duration::seconds(1);
constexpr auto LoadLifetime = Duration::seconds(60); ///< a wish not resident after this no longer counts as a load under way
constexpr double OnDemandFull = 1.0; ///< the baseline loads another copy where holders are this full

/// What the objective says about one more copy.
struct Offer {
    const RunnerState *runner = nullptr;
    double value = 0; ///< on-time deliveries over the horizon, less the moves
    double gain = 0; ///< the same without the moves
    int moves = 0;
    Bytes needed;
};

} // namespace

auto toString(PlacementStrategy strategy) -> const char *
{
    switch (strategy) {
    case PlacementStrategy::Objective:
        return "objective";
    case PlacementStrategy::Static:
        return "static";
    case PlacementStrategy::LoadOnDemand:
        return "load-on-demand";
    }
    return "";
}

auto placementStrategyFromString(const std::string &text) -> std::optional<PlacementStrategy>
{
    for (const auto strategy : {PlacementStrategy::Objective, PlacementStrategy::Static, PlacementStrategy::LoadOnDemand}) {
        if (text == toString(strategy)) {
            return strategy;
        }
    }
    return std::nullopt;
}

auto toString(PlacementKind kind) -> const char *
{
    switch (kind) {
    case PlacementKind::Floor:
        return "floor";
    case PlacementKind::Surge:
        return "surge";
    case PlacementKind::Drop:
        return "drop";
    case PlacementKind::Wait:
        return "wait";
    }
    return "";
}

struct SurgePlanner::Private {
    // What lasts between rounds.
    PlacementOptions options;
    Plan wishes;
    std::map<ArtifactName, int> roundsWanted; ///< for how many rounds running a further copy has paid
    std::map<ArtifactName, TimePoint> lastAsked; ///< when each artifact was last asked for
    std::map<std::pair<TargetId, ArtifactName>, TimePoint> wishedAt;
    double tokens = 0; ///< loads that the weight store would take now
    TimePoint lastRound;
    bool isStarted = false;

    // What one round works on.
    const PlacementInput *input = nullptr;
    TimePoint now;
    SurgeResult output;
    std::map<TargetId, const RunnerState *> runners;
    std::map<TargetId, double> busy; ///< requests running, by the forecast
    std::map<TargetId, Bytes> used; ///< floor, wishes and the KV cache's share left out
    std::map<ArtifactName, std::map<TargetId, double>> spread; ///< of each artifact's load over its holders
    std::map<ArtifactName, const ArtifactDemand *> demand;
    int underWay = 0;

    auto begin(const PlacementInput &newInput, const Plan &wantedFloor, TimePoint time) -> void;
    auto refillTokens() -> void;
    auto pruneWishes() -> void;
    auto wishForFloor(const Plan &wantedFloor) -> void;
    auto collectUse() -> void;
    auto holdersOf(const ArtifactName &artifact) const -> std::vector<TargetId>;
    auto spreadLoads() -> void;
    auto spreadOne(const ArtifactDemand &one) -> void;

    auto declared(const ArtifactName &artifact) const -> const Artifact *;
    auto isOn(const TargetId &target, const ArtifactName &artifact) const -> bool;
    auto isResident(const TargetId &target, const ArtifactName &artifact) const -> bool;
    auto capacity(const RunnerState &runner) const -> double;
    auto usable(const RunnerState &runner) const -> Bytes;
    auto streams(const ArtifactDemand &one) const -> double;
    auto lostPerSecond(const ArtifactDemand &one) const -> double;
    auto offer(const ArtifactDemand &one, const RunnerState &runner, double lost) const -> Offer;
    auto bestOffer(const ArtifactDemand &one, double lost) const -> Offer;
    auto evictable(const RunnerState &runner) const -> std::vector<ArtifactName>;
    auto mayLoad() const -> bool;
    auto wish(const ArtifactName &artifact, const TargetId &target, const std::string &reason) -> void;
    auto drop(const ArtifactName &artifact, const TargetId &target, const std::string &reason) -> void;
    auto makeRoom(const RunnerState &runner, Bytes needed) -> void;
    auto takeOffer(const ArtifactDemand &one, const Offer &taken, double lost) -> void;
    auto improve() -> void;
    auto loadOnDemand() -> void;
    auto loadOnDemand(const ArtifactDemand &one) -> void;
    auto reason(const ArtifactDemand &one, const Offer &taken, double lost) const -> std::string;
};

auto SurgePlanner::Private::declared(const ArtifactName &artifact) const -> const Artifact *
{
    const auto found = input->declarations->artifacts.find(artifact);
    return found == input->declarations->artifacts.end() ? nullptr : &found->second;
}

auto SurgePlanner::Private::isOn(const TargetId &target, const ArtifactName &artifact) const -> bool
{
    return input->floor.contains(target, artifact) || wishes.contains(target, artifact);
}

auto SurgePlanner::Private::isResident(const TargetId &target, const ArtifactName &artifact) const -> bool
{
    const auto runner = runners.find(target);
    if (runner == runners.end()) {
        return false;
    }
    const auto &list = runner->second->residents;
    return std::any_of(list.begin(), list.end(), [&](const auto &resident) { return resident.artifact == artifact && !resident.isLoading; });
}

auto SurgePlanner::Private::capacity(const RunnerState &runner) const -> double
{
    return runner.concurrency > 0 ? runner.concurrency : options.concurrencyIfUnknown;
}

auto SurgePlanner::Private::usable(const RunnerState &runner) const -> Bytes
{
    const double share = 1.0 - input->declarations->policy.kvReserve;
    return Bytes(static_cast<std::int64_t>(static_cast<double>(runner.memoryTotal.count()) * share));
}

auto SurgePlanner::Private::streams(const ArtifactDemand &one) const -> double
{
    const auto service = one.serviceTime.inMicros() > 0 ? one.serviceTime : ServiceTimeIfUnknown;
    return one.perSecond * service.inSeconds();
}

auto SurgePlanner::Private::begin(const PlacementInput &newInput, const Plan &wantedFloor, TimePoint time) -> void
{
    input = &newInput;
    now = time;
    output = {};
    runners.clear();
    for (const auto &runner : input->runners) {
        if (runner.isUsable && !runner.isLeaving) {
            runners[runner.id] = &runner;
        }
    }
    demand.clear();
    for (const auto &one : input->demand) {
        if (declared(one.artifact) != nullptr) {
            demand[one.artifact] = &one;
        }
        if (const auto *known = declared(one.artifact); known != nullptr && one.perSecond > 0) {
            lastAsked[one.artifact] = now;
            lastAsked[known->base] = now;
        }
    }
    refillTokens();
    pruneWishes();
    if (options.strategy != PlacementStrategy::LoadOnDemand) {
        wishForFloor(wantedFloor);
    }
    collectUse();
    spreadLoads();
}

auto SurgePlanner::Private::refillTokens() -> void
{
    const auto &policy = input->declarations->policy;
    const auto most = std::max(1.0, policy.loadsPerSecond);
    const double passed = isStarted ? (now - lastRound).inSeconds() : 1.0;
    tokens = std::min(most, tokens + passed * policy.loadsPerSecond);
    lastRound = now;
    isStarted = true;
}

auto SurgePlanner::Private::pruneWishes() -> void
{
    // A wish that became part of the floor, lost its declaration or its runner is no wish any more. A runner that is down for a moment
    // loses its surge copies with its memory, so they are wished for anew by their worth.
    const auto copy = wishes;
    for (const auto &target : copy.targets()) {
        for (const auto &artifact : copy.artifactsOn(target)) {
            const bool isOver = !runners.contains(target) || declared(artifact) == nullptr || input->floor.contains(target, artifact);
            if (isOver) {
                wishes.remove(target, artifact);
                wishedAt.erase({target, artifact});
            }
        }
    }
    underWay = 0;
    for (const auto &[key, at] : wishedAt) {
        const bool isLoading = !isResident(key.first, key.second) && now - at < LoadLifetime;
        underWay += isLoading ? 1 : 0;
    }
}

auto SurgePlanner::Private::wishForFloor(const Plan &wantedFloor) -> void
{
    // A floor copy that the row in force doesn't name yet is loaded first as a wish; the row is written once it is resident.
    for (const auto &target : wantedFloor.targets()) {
        if (!runners.contains(target)) {
            continue;
        }
        for (const auto &artifact : wantedFloor.artifactsOn(target)) {
            if (!isOn(target, artifact) && !input->floor.isEmpty()) {
                wish(artifact, target, "floor-copy before its row");
            }
        }
    }
}

auto SurgePlanner::Private::collectUse() -> void
{
    used.clear();
    for (const auto &[id, runner] : runners) {
        Bytes sum;
        std::set<ArtifactName> counted;
        for (const auto *plan : {&input->floor, static_cast<const Plan *>(&wishes)}) {
            for (const auto &artifact : plan->artifactsOn(id)) {
                const auto *known = declared(artifact);
                if (known != nullptr && counted.insert(artifact).second) {
                    sum += known->size;
                }
            }
        }
        // Memory of what no plan names (being unloaded, or retained) isn't ours to give away.
        for (const auto &resident : runner->residents) {
            if (declared(resident.artifact) == nullptr) {
                sum += resident.size;
            }
        }
        used[id] = sum;
    }
}

auto SurgePlanner::Private::holdersOf(const ArtifactName &artifact) const -> std::vector<TargetId>
{
    std::vector<TargetId> result;
    for (const auto &[id, runner] : runners) {
        if (isOn(id, artifact)) {
            result.push_back(id);
        }
    }
    return result;
}

auto SurgePlanner::Private::spreadLoads() -> void
{
    busy.clear();
    spread.clear();
    // One pass over the holdings in place of one per artifact: at 1,600 models and 700 runners the difference is seconds.
    for (const auto &[id, runner] : runners) {
        busy[id] = 0;
        for (const auto *plan : {&input->floor, static_cast<const Plan *>(&wishes)}) {
            for (const auto &artifact : plan->artifactsOn(id)) {
                if (demand.contains(artifact)) {
                    spread[artifact][id] = 0;
                }
            }
        }
    }
    for (auto &[artifact, holders] : spread) {
        const double each = streams(*demand.at(artifact)) / static_cast<double>(holders.size());
        for (auto &[id, load] : holders) {
            load = each;
            busy[id] += each;
        }
    }
    for (int round = 0; round < SpreadRounds; ++round) {
        for (const auto &[artifact, one] : demand) {
            spreadOne(*one);
        }
    }
}

auto SurgePlanner::Private::spreadOne(const ArtifactDemand &one) -> void
{
    const auto found = spread.find(one.artifact);
    if (found == spread.end() || found->second.size() < 2) {
        return;
    }
    // Entries send to the holder that is expected to finish first, which levels its holders: give each what it has free.
    auto &holders = found->second;
    const double total = streams(one);
    double room = 0;
    for (auto &[id, load] : holders) {
        busy[id] -= load;
        room += std::max(0.0, capacity(*runners.at(id)) - busy[id]);
    }
    for (auto &[id, load] : holders) {
        const double free = std::max(0.0, capacity(*runners.at(id)) - busy[id]);
        load = room > 0 ? total * free / room : total / static_cast<double>(holders.size());
        busy[id] += load;
    }
}

auto SurgePlanner::Private::lostPerSecond(const ArtifactDemand &one) const -> double
{
    const auto found = spread.find(one.artifact);
    if (found == spread.end()) {
        return one.perSecond;
    }
    const double total = streams(one);
    if (total <= 0) {
        return 0;
    }
    double lost = 0;
    for (const auto &[id, load] : found->second) {
        const double limit = capacity(*runners.at(id)) * options.fullShare;
        const double lateShare = std::max(0.0, 1.0 - limit / std::max(busy.at(id), 1e-9));
        lost += one.perSecond * (load / total) * lateShare;
    }
    return std::min(std::max(lost, one.missedPerSecond), one.perSecond);
}

auto SurgePlanner::Private::evictable(const RunnerState &runner) const -> std::vector<ArtifactName>
{
    // Surge copies that the others of their artifact can stand in for, the least needed first.
    std::vector<std::pair<double, ArtifactName>> order;
    for (const auto &artifact : wishes.artifactsOn(runner.id)) {
        const auto at = wishedAt.find({runner.id, artifact});
        const bool isFresh = at != wishedAt.end() && now - at->second < input->declarations->policy.horizon;
        const bool isNeeded = std::any_of(wishes.artifactsOn(runner.id).begin(), wishes.artifactsOn(runner.id).end(), [&](const ArtifactName &other) {
            const auto *known = declared(other);
            return known != nullptr && known->base == artifact;
        });
        const auto load = spread.find(artifact);
        const double carried = load == spread.end() || !load->second.contains(runner.id) ? 0.0 : load->second.at(runner.id);
        const auto asked = demand.find(artifact);
        const bool isLosing = asked != demand.end() && lostPerSecond(*asked->second) > 0;
        if (!isFresh && !isNeeded && !isLosing) {
            order.emplace_back(carried, artifact);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<ArtifactName> result;
    result.reserve(order.size());
    for (const auto &[carried, artifact] : order) {
        result.push_back(artifact);
    }
    return result;
}

auto SurgePlanner::Private::offer(const ArtifactDemand &one, const RunnerState &runner, double lost) const -> Offer
{
    const auto *artifact = declared(one.artifact);
    Offer result {.runner = &runner, .moves = 1, .needed = artifact->size};
    if (artifact->kind == ArtifactKind::Adapter && !isOn(runner.id, artifact->base)) {
        result.needed += declared(artifact->base)->size;
        ++result.moves;
    }
    Bytes free = usable(runner) - used.at(runner.id);
    if (free < result.needed) {
        for (const auto &other : evictable(runner)) {
            free += declared(other)->size;
        }
    }
    const double spare = capacity(runner) * options.fullShare - busy.at(runner.id);
    if (free < result.needed || spare <= 0) {
        return result;
    }
    const auto &policy = input->declarations->policy;
    const double service = std::max(streams(one) / std::max(one.perSecond, 1e-9), 1e-6);
    const double loadSeconds = static_cast<double>(result.needed.count()) / options.bytesPerSecond;
    const double seconds = std::max(0.0, policy.horizon.inSeconds() - loadSeconds);
    result.gain = std::min(lost, spare / service) * seconds;
    result.value = result.gain - policy.moveCost * result.moves;
    return result;
}

auto SurgePlanner::Private::bestOffer(const ArtifactDemand &one, double lost) const -> Offer
{
    const auto *artifact = declared(one.artifact);
    Offer best;
    for (const auto &[id, runner] : runners) {
        if (runner->service != artifact->service || isOn(id, one.artifact)) {
            continue;
        }
        const auto candidate = offer(one, *runner, lost);
        const bool isBetter = candidate.value > best.value
            || (best.runner != nullptr && candidate.value == best.value && candidate.value > 0 && busy.at(id) < busy.at(best.runner->id));
        if (isBetter) {
            best = candidate;
        }
    }
    return best;
}

auto SurgePlanner::Private::mayLoad() const -> bool
{
    return tokens >= 1 && underWay < input->declarations->policy.parallelLoads;
}

auto SurgePlanner::Private::wish(const ArtifactName &artifact, const TargetId &target, const std::string &why) -> void
{
    wishes.add(target, artifact);
    wishedAt[{target, artifact}] = now;
    if (!isResident(target, artifact)) {
        tokens -= 1;
        ++underWay;
    }
    output.decisions.push_back({PlacementKind::Surge, artifact, target, why});
}

auto SurgePlanner::Private::drop(const ArtifactName &artifact, const TargetId &target, const std::string &why) -> void
{
    wishes.remove(target, artifact);
    wishedAt.erase({target, artifact});
    used[target] -= declared(artifact)->size;
    if (const auto load = spread.find(artifact); load != spread.end()) {
        if (const auto carried = load->second.find(target); carried != load->second.end()) {
            busy[target] -= carried->second;
            load->second.erase(carried);
        }
        if (load->second.empty()) {
            spread.erase(load);
        } else {
            spreadOne(*demand.at(artifact));
        }
    }
    output.decisions.push_back({PlacementKind::Drop, artifact, target, why});
}

auto SurgePlanner::Private::makeRoom(const RunnerState &runner, Bytes needed) -> void
{
    for (const auto &other : evictable(runner)) {
        if (usable(runner) - used.at(runner.id) >= needed) {
            return;
        }
        drop(other, runner.id, "room for a copy worth more");
    }
}

auto SurgePlanner::Private::reason(const ArtifactDemand &one, const Offer &taken, double lost) const -> std::string
{
    std::ostringstream text;
    text << "value=" << std::round(taken.value * 10) / 10 << " gain=" << std::round(taken.gain * 10) / 10 << " moves=" << taken.moves
         << " demand=" << std::round(one.perSecond * 100) / 100 << "/s losing=" << std::round(lost * 100) / 100
         << "/s busy=" << std::round(busy.at(taken.runner->id) * 10) / 10 << "/" << capacity(*taken.runner);
    return text.str();
}

auto SurgePlanner::Private::takeOffer(const ArtifactDemand &one, const Offer &taken, double lost) -> void
{
    const auto target = taken.runner->id;
    const auto why = reason(one, taken, lost);
    makeRoom(*taken.runner, taken.needed);
    const auto *artifact = declared(one.artifact);
    if (artifact->kind == ArtifactKind::Adapter && !isOn(target, artifact->base)) {
        wish(artifact->base, target, "base of " + one.artifact.text());
    }
    wish(one.artifact, target, why);
    used[target] += taken.needed;
    spread[one.artifact][target] = 0;
    if (spread.at(one.artifact).size() == 1) {
        spread[one.artifact][target] = streams(one);
        busy[target] += streams(one);
    } else {
        spreadOne(one);
    }
}

auto SurgePlanner::Private::improve() -> void
{
    // Most urgent first: what loses most deliveries.
    std::vector<std::pair<double, const ArtifactDemand *>> losing;
    for (const auto &[artifact, one] : demand) {
        const double lost = lostPerSecond(*one);
        if (lost > 0) {
            losing.emplace_back(lost, one);
        }
    }
    std::stable_sort(losing.begin(), losing.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::set<ArtifactName> stillWanted;
    for (const auto &[before, one] : losing) {
        const double lost = lostPerSecond(*one);
        if (lost * input->declarations->policy.horizon.inSeconds() <= input->declarations->policy.moveCost) {
            continue;
        }
        const auto taken = bestOffer(*one, lost);
        if (taken.runner == nullptr || taken.value <= 0) {
            continue;
        }
        stillWanted.insert(one->artifact);
        const int rounds = ++roundsWanted[one->artifact];
        const bool isUrgent = taken.value >= options.urgentFactor * std::max(input->declarations->policy.moveCost, 1.0);
        if (rounds < options.roundsToConfirm && !isUrgent) {
            continue;
        }
        if (!mayLoad()) {
            output.decisions.push_back({PlacementKind::Wait, one->artifact, taken.runner->id, "weight store at its limit; " + reason(*one, taken, lost)});
            continue;
        }
        takeOffer(*one, taken, lost);
    }
    std::erase_if(roundsWanted, [&](const auto &entry) { return !stillWanted.contains(entry.first); });
}

auto SurgePlanner::Private::loadOnDemand() -> void
{
    for (const auto &[artifact, one] : demand) {
        if (one->perSecond > 0) {
            loadOnDemand(*one);
        }
    }
}

auto SurgePlanner::Private::loadOnDemand(const ArtifactDemand &one) -> void
{
    const auto holders = holdersOf(one.artifact);
    const bool allFull
        = std::all_of(holders.begin(), holders.end(), [&](const TargetId &id) { return busy.at(id) >= capacity(*runners.at(id)) * OnDemandFull; });
    const auto *artifact = declared(one.artifact);
    if (!allFull) {
        return;
    }
    const RunnerState *least = nullptr;
    for (const auto &[id, runner] : runners) {
        const bool isCandidate = runner->service == artifact->service && !isOn(id, one.artifact);
        if (isCandidate && (least == nullptr || busy.at(id) < busy.at(least->id))) {
            least = runner;
        }
    }
    if (least == nullptr) {
        return;
    }
    Offer taken {.runner = least, .needed = artifact->size};
    if (artifact->kind == ArtifactKind::Adapter && !isOn(least->id, artifact->base)) {
        taken.needed += declared(artifact->base)->size;
    }
    std::vector<std::pair<TimePoint, ArtifactName>> order;
    for (const auto &other : wishes.artifactsOn(least->id)) {
        const bool isOwnBase = other == artifact->base;
        if (!isOwnBase) {
            order.emplace_back(lastAsked[other], other);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[asked, other] : order) {
        if (usable(*least) - used.at(least->id) >= taken.needed) {
            break;
        }
        drop(other, least->id, "least recently used");
    }
    if (usable(*least) - used.at(least->id) >= taken.needed) {
        takeOffer(one, taken, one.perSecond);
    }
}

SurgePlanner::SurgePlanner(PlacementOptions options)
    : d(std::make_unique<Private>())
{
    d->options = options;
}

SurgePlanner::~SurgePlanner() = default;

auto SurgePlanner::wishes() const -> const Plan &
{
    return d->wishes;
}

auto SurgePlanner::plan(const PlacementInput &input, const Plan &wantedFloor, TimePoint now) -> SurgeResult
{
    d->begin(input, wantedFloor, now);
    if (d->options.strategy == PlacementStrategy::Objective) {
        d->improve();
    } else if (d->options.strategy == PlacementStrategy::LoadOnDemand) {
        d->loadOnDemand();
    }
    d->output.wishes = d->wishes;
    return d->output;
}

} // namespace KingCup
