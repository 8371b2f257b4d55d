#include "core/placement.h"

#include "core/placementmodel.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

namespace KingCup
{

namespace
{

/// A replica that isn't resident this long after it was added to the plan no longer counts as a pending load.
constexpr auto LoadLifetime = Duration::seconds(60);
constexpr double OnDemandFullLoad = 1.0; ///< LoadOnDemand adds a replica when all holders use at least this share of their capacity
constexpr double Tenths = 10; ///< numbers in reasons are rounded to 1/10

auto rounded(double number) -> double
{
    return std::round(number * Tenths) / Tenths;
}

/// Value of the objective for one more replica.
struct CopyGain {
    RunnerIndex runner = NoIndex;
    double value = 0; ///< gain minus the move cost of the loads that are needed
    double gain = 0; ///< additional on-time answers over the horizon
};

/// Identifies an extra replica in all rounds.
struct CopyName {
    TargetId target;
    ArtifactName artifact;
    auto operator<=>(const CopyName &) const = default;
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
    PlacementOptions options;
    Plan surge;
    std::map<ArtifactName, int> roundsWanted; ///< number of consecutive rounds in which a further replica was worth its cost
    std::map<ArtifactName, TimePoint> lastRequestAt; ///< when each artifact last had demand
    std::map<CopyName, TimePoint> copyAddedAt; ///< when each extra replica was added to the plan
    double loadTokens = 0; ///< token bucket: number of loads from the weight store that may begin now
    TimePoint lastRound;
    bool isStarted = false;
};

namespace
{

/// Removes extra replicas that have become minimum replicas, whose artifact is no longer declared, or whose runner isn't usable or is leaving. A runner that
/// goes down loses the replicas in its memory; they are planned again if they are still worth their cost.
auto prune(SurgePlanner::Private &state, const PlacementInput &input) -> void
{
    std::set<TargetId> usable;
    for (const auto &runner : input.runners) {
        if (runner.isUsable && !runner.isLeaving) {
            usable.insert(runner.id);
        }
    }
    const auto before = state.surge;
    for (const auto &target : before.targets()) {
        for (const auto &artifact : before.artifactsOn(target)) {
            const bool isObsolete = !usable.contains(target) || !input.declarations->artifacts.contains(artifact) || input.floor.contains(target, artifact);
            if (isObsolete) {
                state.surge.remove(target, artifact);
                state.copyAddedAt.erase({target, artifact});
            }
        }
    }
}

/// One planning round on the planner's persistent state.
class Round
{
public:
    Round(SurgePlanner::Private &state, const PlacementInput &input, const Plan &wantedFloor, TimePoint now)
        : m_state(state)
        , m_input(input)
        , m_policy(input.declarations->policy)
        , m_now(now)
        , m_model(input, state.surge, state.options)
    {
        refillTokens();
        countPendingLoads();
        recordRequestTimes();
        if (state.options.strategy == PlacementStrategy::LoadOnDemand) {
            loadOnDemand();
            return;
        }
        requestFloor(wantedFloor);
        if (state.options.strategy == PlacementStrategy::Objective) {
            addStandIns();
            addWorthwhileCopies();
        }
    }

    auto result() -> SurgeResult
    {
        m_result.surge = m_state.surge;
        return std::move(m_result);
    }

private:
    auto targetOf(RunnerIndex runner) const -> const TargetId &
    {
        return m_model.runners()[runner].state->id;
    }

    auto nameOf(ArtifactIndex artifact) const -> const ArtifactName &
    {
        return m_model.artifacts()[artifact].declared->name;
    }

    auto refillTokens() -> void
    {
        const auto most = std::max(1.0, m_policy.loadsPerSecond);
        const double passed = m_state.isStarted ? (m_now - m_state.lastRound).inSeconds() : 1.0;
        m_state.loadTokens = std::min(most, m_state.loadTokens + passed * m_policy.loadsPerSecond);
        m_state.lastRound = m_now;
        m_state.isStarted = true;
    }

    auto countPendingLoads() -> void
    {
        for (const auto &[copy, at] : m_state.copyAddedAt) {
            const auto runner = m_model.find(copy.target);
            const auto artifact = m_model.find(copy.artifact);
            const bool isResident = runner != NoIndex && artifact != NoIndex && m_model.isResident(runner, artifact);
            m_pendingLoads += !isResident && m_now - at < LoadLifetime ? 1 : 0;
        }
    }

    auto recordRequestTimes() -> void
    {
        for (const auto &artifact : m_model.artifacts()) {
            if (artifact.demand != nullptr && artifact.demand->perSecond > 0) {
                m_state.lastRequestAt[artifact.declared->name] = m_now;
                m_state.lastRequestAt[artifact.declared->base] = m_now;
            }
        }
    }

    auto mayLoad() const -> bool
    {
        return m_state.loadTokens >= 1 && m_pendingLoads < m_policy.parallelLoads;
    }

    auto request(RunnerIndex runner, ArtifactIndex artifact, const std::string &why) -> void
    {
        if (m_model.isOn(runner, artifact)) {
            return;
        }
        const auto base = m_model.artifacts()[artifact].base;
        if (base != NoIndex) {
            request(runner, base, "base of " + nameOf(artifact).text());
        }
        if (!m_model.isResident(runner, artifact)) {
            m_state.loadTokens -= 1;
            ++m_pendingLoads;
        }
        m_model.add(runner, artifact);
        m_state.surge.add(targetOf(runner), nameOf(artifact));
        m_state.copyAddedAt[{targetOf(runner), nameOf(artifact)}] = m_now;
        m_result.decisions.push_back({PlacementKind::Surge, nameOf(artifact), targetOf(runner), why});
    }

    auto drop(RunnerIndex runner, ArtifactIndex artifact, const std::string &why) -> void
    {
        const auto surge = m_model.runners()[runner].surge;
        for (const auto other : surge) {
            if (m_model.artifacts()[other].base == artifact) {
                drop(runner, other, "its base is dropped");
            }
        }
        m_model.drop(runner, artifact);
        m_state.surge.remove(targetOf(runner), nameOf(artifact));
        m_state.copyAddedAt.erase({targetOf(runner), nameOf(artifact)});
        m_result.decisions.push_back({PlacementKind::Drop, nameOf(artifact), targetOf(runner), why});
    }

    /// Plans minimum replicas that the floor in force doesn't name yet as extra replicas, so that their loads can begin before the row is written.
    auto requestFloor(const Plan &wantedFloor) -> void
    {
        if (m_input.floor.isEmpty()) {
            return;
        }
        for (const auto &target : wantedFloor.targets()) {
            const auto runner = m_model.find(target);
            for (const auto &name : wantedFloor.artifactsOn(target)) {
                const auto artifact = m_model.find(name);
                const bool isMissing = runner != NoIndex && artifact != NoIndex && !m_model.isOn(runner, artifact);
                if (isMissing && freeMemory(runner, m_model.sizeOn(runner, artifact))) {
                    request(runner, artifact, "floor-copy before its row");
                }
            }
        }
    }

    /// Adds a replica of each artifact that is neither resident nor planned on any usable runner, also without demand: otherwise the artifact couldn't be
    /// served.
    auto addStandIns() -> void
    {
        if (m_input.floor.isEmpty()) {
            return;
        }
        for (ArtifactIndex artifact = 0; artifact < m_model.artifacts().size(); ++artifact) {
            if (m_model.artifacts()[artifact].isLive || !mayLoad()) {
                continue;
            }
            const auto runner = runnerWithMostMemory(artifact);
            if (runner != NoIndex && freeMemory(runner, m_model.sizeOn(runner, artifact))) {
                request(runner, artifact, "stand-in: no live copy");
            }
        }
    }

    auto runnerWithMostMemory(ArtifactIndex artifact) const -> RunnerIndex
    {
        RunnerIndex best = NoIndex;
        Bytes most;
        for (RunnerIndex runner = 0; runner < m_model.runners().size(); ++runner) {
            const auto &one = m_model.runners()[runner];
            const auto left = one.free() - m_model.sizeOn(runner, artifact) + evictableBytes(runner);
            const bool isCandidate = one.state->service == m_model.artifacts()[artifact].declared->service && !m_model.isOn(runner, artifact);
            if (isCandidate && left >= Bytes(0) && (best == NoIndex || left > most)) {
                best = runner;
                most = left;
            }
        }
        return best;
    }

    /// Extra replicas on the runner that may be evicted, those with the fewest running requests per replica first. The artifact has another replica and no
    /// requests that are expected to be late, the replica was added to the plan at least one horizon ago, and it isn't the base of another extra replica on the
    /// runner.
    auto evictable(RunnerIndex runner) const -> std::vector<ArtifactIndex>
    {
        std::vector<std::pair<double, ArtifactIndex>> order;
        const auto &surge = m_model.runners()[runner].surge;
        for (const auto artifact : surge) {
            const auto &one = m_model.artifacts()[artifact];
            const auto at = m_state.copyAddedAt.find({targetOf(runner), nameOf(artifact)});
            const bool isFresh = at != m_state.copyAddedAt.end() && m_now - at->second < m_policy.horizon;
            const bool isNeeded = std::any_of(surge.begin(), surge.end(), [&](ArtifactIndex other) { return m_model.artifacts()[other].base == artifact; });
            const bool isOnlyOne = one.copies.size() < 2;
            if (!isFresh && !isNeeded && !isOnlyOne && m_model.lostPerSecond(artifact) <= 0) {
                order.emplace_back(one.streams / static_cast<double>(one.copies.size()), artifact);
            }
        }
        std::sort(order.begin(), order.end());
        std::vector<ArtifactIndex> result;
        result.reserve(order.size());
        for (const auto &[streams, artifact] : order) {
            result.push_back(artifact);
        }
        return result;
    }

    auto evictableBytes(RunnerIndex runner) const -> Bytes
    {
        Bytes sum;
        if (!m_model.runners()[runner].surge.empty()) {
            for (const auto artifact : evictable(runner)) {
                sum += m_model.artifacts()[artifact].declared->size;
            }
        }
        return sum;
    }

    auto freeMemory(RunnerIndex runner, Bytes needed) -> bool
    {
        if (m_model.runners()[runner].free() + evictableBytes(runner) < needed) {
            return false;
        }
        for (const auto other : evictable(runner)) {
            if (m_model.runners()[runner].free() >= needed) {
                break;
            }
            drop(runner, other, "evicted for a copy worth more");
        }
        return true;
    }

    auto gainOn(ArtifactIndex artifact, RunnerIndex runner, double lost) const -> CopyGain
    {
        const auto &one = m_model.artifacts()[artifact];
        const auto &there = m_model.runners()[runner];
        const double spare = there.capacity * m_state.options.fullShare - there.busy;
        const auto needed = m_model.sizeOn(runner, artifact);
        if (spare <= 0 || (there.free() < needed && there.free() + evictableBytes(runner) < needed)) {
            return {};
        }
        const double service = std::max(one.streams / std::max(one.demand->perSecond, 1e-9), 1e-6);
        const double loadSeconds = static_cast<double>(needed.count()) / m_state.options.bytesPerSecond;
        const double seconds = std::max(0.0, m_policy.horizon.inSeconds() - loadSeconds);
        const double gain = std::min(lost, spare / service) * seconds;
        return {runner, gain - m_policy.moveCost * m_model.loadsNeededOn(runner, artifact), gain};
    }

    auto bestGain(ArtifactIndex artifact, double lost) const -> CopyGain
    {
        CopyGain best;
        const auto &service = m_model.artifacts()[artifact].declared->service;
        for (RunnerIndex runner = 0; runner < m_model.runners().size(); ++runner) {
            if (m_model.isOn(runner, artifact) || m_model.runners()[runner].state->service != service) {
                continue;
            }
            const auto candidate = gainOn(artifact, runner, lost);
            const bool isTie = candidate.value == best.value && best.runner != NoIndex && candidate.runner != NoIndex;
            const bool isLessBusy = isTie && m_model.runners()[runner].busy < m_model.runners()[best.runner].busy;
            if (candidate.value > best.value || isLessBusy) {
                best = candidate;
            }
        }
        return best;
    }

    auto reason(ArtifactIndex artifact, const CopyGain &best, double lost) const -> std::string
    {
        const auto &there = m_model.runners()[best.runner];
        std::ostringstream text;
        text << "value=" << rounded(best.value) << " gain=" << rounded(best.gain) << " moves=" << m_model.loadsNeededOn(best.runner, artifact)
             << " demand=" << rounded(m_model.artifacts()[artifact].demand->perSecond) << "/s losing=" << rounded(lost) << "/s busy=" << rounded(there.busy)
             << "/" << there.capacity;
        return text.str();
    }

    auto addWorthwhileCopies() -> void
    {
        // Artifacts with the most late requests come first.
        std::vector<std::pair<double, ArtifactIndex>> losing;
        for (ArtifactIndex artifact = 0; artifact < m_model.artifacts().size(); ++artifact) {
            const double lost = m_model.lostPerSecond(artifact);
            if (lost * m_policy.horizon.inSeconds() > m_policy.moveCost) {
                losing.emplace_back(lost, artifact);
            }
        }
        std::stable_sort(losing.begin(), losing.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
        std::set<ArtifactName> stillWanted;
        for (const auto &[before, artifact] : losing) {
            if (tryToAddCopy(artifact)) {
                stillWanted.insert(nameOf(artifact));
            }
        }
        std::erase_if(m_state.roundsWanted, [&](const auto &entry) { return !stillWanted.contains(entry.first); });
    }

    /// Adds a replica of the artifact if it is worth its cost and may be loaded now. Returns whether it is worth its cost.
    auto tryToAddCopy(ArtifactIndex artifact) -> bool
    {
        const double lost = m_model.lostPerSecond(artifact);
        const auto best = bestGain(artifact, lost);
        if (best.runner == NoIndex || best.value <= 0) {
            return false;
        }
        const int rounds = ++m_state.roundsWanted[nameOf(artifact)];
        const bool isUrgent = best.value >= m_state.options.urgentFactor * std::max(m_policy.moveCost, 1.0);
        if (rounds < m_state.options.roundsToConfirm && !isUrgent) {
            return true;
        }
        const auto why = reason(artifact, best, lost);
        if (!mayLoad()) {
            m_result.decisions.push_back({PlacementKind::Wait, nameOf(artifact), targetOf(best.runner), "weight store at its limit; " + why});
        } else if (freeMemory(best.runner, m_model.sizeOn(best.runner, artifact))) {
            request(best.runner, artifact, why);
        }
        return true;
    }

    // [SECTION] Baseline: load on demand

    auto loadOnDemand() -> void
    {
        for (ArtifactIndex artifact = 0; artifact < m_model.artifacts().size(); ++artifact) {
            const auto &one = m_model.artifacts()[artifact];
            const bool allFull = std::all_of(one.copies.begin(), one.copies.end(), [&](const CopyLoad &copy) {
                const auto &runner = m_model.runners()[copy.runner];
                return runner.busy >= runner.capacity * OnDemandFullLoad;
            });
            if (one.demand != nullptr && one.demand->perSecond > 0 && allFull) {
                loadOnDemand(artifact);
            }
        }
    }

    auto loadOnDemand(ArtifactIndex artifact) -> void
    {
        RunnerIndex least = NoIndex;
        for (RunnerIndex runner = 0; runner < m_model.runners().size(); ++runner) {
            const auto &one = m_model.runners()[runner];
            const bool isCandidate = one.state->service == m_model.artifacts()[artifact].declared->service && !m_model.isOn(runner, artifact);
            if (isCandidate && (least == NoIndex || one.busy < m_model.runners()[least].busy)) {
                least = runner;
            }
        }
        if (least == NoIndex) {
            return;
        }
        const auto needed = m_model.sizeOn(least, artifact);
        while (m_model.runners()[least].free() < needed) {
            const auto oldest = leastRecentlyRequested(least, m_model.artifacts()[artifact].base);
            if (oldest == NoIndex) {
                return;
            }
            drop(least, oldest, "least recently used");
        }
        request(least, artifact, "requested, and no copy has capacity");
    }

    auto leastRecentlyRequested(RunnerIndex runner, ArtifactIndex except) const -> ArtifactIndex
    {
        ArtifactIndex oldest = NoIndex;
        TimePoint since;
        for (const auto artifact : m_model.runners()[runner].surge) {
            const auto asked = m_state.lastRequestAt.find(nameOf(artifact));
            const auto at = asked == m_state.lastRequestAt.end() ? TimePoint() : asked->second;
            if (artifact != except && (oldest == NoIndex || at < since)) {
                oldest = artifact;
                since = at;
            }
        }
        return oldest;
    }

    SurgePlanner::Private &m_state;
    const PlacementInput &m_input;
    const Policy &m_policy;
    TimePoint m_now;
    PlacementModel m_model;
    SurgeResult m_result;
    int m_pendingLoads = 0;
};

} // namespace

SurgePlanner::SurgePlanner(PlacementOptions options)
    : d(std::make_unique<Private>())
{
    d->options = options;
}

SurgePlanner::~SurgePlanner() = default;

auto SurgePlanner::surge() const -> const Plan &
{
    return d->surge;
}

auto SurgePlanner::plan(const PlacementInput &input, const Plan &wantedFloor, TimePoint now) -> SurgeResult
{
    prune(*d, input);
    return Round(*d, input, wantedFloor, now).result();
}

} // namespace KingCup
