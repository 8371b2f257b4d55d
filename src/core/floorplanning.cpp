#include "core/placement.h"

#include <algorithm>
#include <map>
#include <set>

namespace KingCup
{

namespace
{

/// A model version and its adapters, which are placed on the same runner.
struct Bundle {
    ArtifactName base;
    std::vector<ArtifactName> adapters;
    ServiceName service;
    Bytes size; ///< of the model version and all adapters
    double demand = 0; ///< requests per second for the model version and all adapters
};

/// A runner with the memory that the plan has used so far.
struct RunnerBudget {
    const RunnerState *runner = nullptr;
    Bytes usable; ///< accelerator memory without the share reserved for the KV cache
    Bytes used; ///< by planned replicas
    int bundles = 0; ///< number of planned model versions

    auto free() const -> Bytes
    {
        return usable - used;
    }
};

class FloorPlanning
{
public:
    FloorPlanning(const PlacementInput &input, const PlacementOptions &options)
        : m_input(input)
        , m_options(options)
    {
        collectBundles();
        collectBudgets();
    }

    auto run() -> FloorResult
    {
        keepCurrentCopies();
        for (const auto &bundle : m_bundles) {
            if (copies(bundle.base).empty() && !placeCopy(bundle, 1.0, "first-copy")) {
                m_result.unplaced.push_back(bundle.base);
            }
        }
        placeMissingAdapters();
        for (int wanted = 2; wanted <= m_input.declarations->policy.floorZones; ++wanted) {
            placeFurtherCopies(wanted);
        }
        describeDrops();
        return std::move(m_result);
    }

private:
    auto collectBundles() -> void
    {
        std::map<ArtifactName, Bundle> bundles;
        for (const auto &[name, artifact] : m_input.declarations->artifacts) {
            const bool isBase = artifact.kind == ArtifactKind::ModelVersion;
            auto &bundle = bundles[isBase ? name : artifact.base];
            if (isBase) {
                bundle.base = name;
                bundle.service = artifact.service;
            } else {
                bundle.adapters.push_back(name);
            }
            bundle.size += artifact.size;
            m_baseOf[name] = isBase ? name : artifact.base;
        }
        // Artifacts that are no longer declared but still needed keep their replicas and get no new ones.
        for (const auto &artifact : m_input.retained) {
            m_baseOf.try_emplace(artifact, artifact);
        }
        for (const auto &demand : m_input.demand) {
            if (const auto base = m_baseOf.find(demand.artifact); base != m_baseOf.end()) {
                bundles[base->second].demand += demand.perSecond;
            }
        }
        for (auto &[name, bundle] : bundles) {
            m_bundles.push_back(std::move(bundle));
        }
        // The largest bundles are placed first, as they are the hardest to fit.
        std::stable_sort(m_bundles.begin(), m_bundles.end(), [](const auto &left, const auto &right) { return left.size > right.size; });
    }

    auto collectBudgets() -> void
    {
        const double share = 1.0 - m_input.declarations->policy.kvReserve;
        for (const auto &runner : m_input.runners) {
            const bool isAvailable = runner.isUsable || runner.downFor <= m_options.floorMoveDelay;
            if (!isAvailable || runner.isLeaving) {
                continue;
            }
            const auto usable = Bytes(static_cast<std::int64_t>(static_cast<double>(runner.memoryTotal.count()) * share));
            m_budgets[runner.id] = RunnerBudget {.runner = &runner, .usable = usable};
        }
    }

    auto sizeOf(const ArtifactName &artifact) const -> Bytes
    {
        const auto found = m_input.declarations->artifacts.find(artifact);
        return found == m_input.declarations->artifacts.end() ? residentSize(artifact) : found->second.size;
    }

    auto residentSize(const ArtifactName &artifact) const -> Bytes
    {
        for (const auto &runner : m_input.runners) {
            for (const auto &resident : runner.residents) {
                if (resident.artifact == artifact) {
                    return resident.size;
                }
            }
        }
        return {};
    }

    auto copies(const ArtifactName &base) const -> const std::set<TargetId> &
    {
        static const std::set<TargetId> None;
        const auto found = m_copies.find(base);
        return found == m_copies.end() ? None : found->second;
    }

    auto place(RunnerBudget &budget, const ArtifactName &artifact) -> void
    {
        const auto &id = budget.runner->id;
        if (m_result.plan.contains(id, artifact)) {
            return;
        }
        m_result.plan.add(id, artifact);
        budget.used += sizeOf(artifact);
        if (m_baseOf.at(artifact) == artifact) {
            m_copies[artifact].insert(id);
            ++budget.bundles;
        }
    }

    auto keepCurrentCopies() -> void
    {
        for (const auto &target : m_input.floor.targets()) {
            const auto budget = m_budgets.find(target);
            if (budget == m_budgets.end()) {
                continue;
            }
            keepOn(budget->second, m_input.floor.artifactsOn(target));
        }
    }

    auto keepOn(RunnerBudget &budget, const std::vector<ArtifactName> &artifacts) -> void
    {
        // Bases come before adapters, as an adapter is kept only on a runner that keeps its base.
        for (const bool bases : {true, false}) {
            for (const auto &artifact : artifacts) {
                const auto base = m_baseOf.find(artifact);
                const bool isDeclared = base != m_baseOf.end();
                if (!isDeclared || (base->second == artifact) != bases || sizeOf(artifact) > budget.free()) {
                    continue;
                }
                if (bases || m_result.plan.contains(budget.runner->id, base->second)) {
                    place(budget, artifact);
                }
            }
        }
    }

    auto zonesOf(const ArtifactName &base) const -> std::set<ZoneName>
    {
        std::set<ZoneName> zones;
        for (const auto &id : copies(base)) {
            zones.insert(m_budgets.at(id).runner->zone);
        }
        return zones;
    }

    auto isResident(const RunnerBudget &budget, const ArtifactName &artifact) const -> bool
    {
        const auto &list = budget.runner->residents;
        return std::any_of(list.begin(), list.end(), [&](const auto &resident) { return resident.artifact == artifact; });
    }

    /// Places a replica of the bundle in a zone without a planned replica of its base. Runners on which the base is resident are preferred, as
    /// an extra replica (surge) becomes a minimum replica without a load; among equals the runner with the most free memory is taken. `share`:
    /// the share of usable memory that may be filled. Returns whether a runner was found.
    auto placeCopy(const Bundle &bundle, double share, const std::string &why) -> bool
    {
        const auto zones = zonesOf(bundle.base);
        RunnerBudget *best = nullptr;
        bool bestHolds = false;
        for (auto &[id, budget] : m_budgets) {
            const auto limit = Bytes(static_cast<std::int64_t>(static_cast<double>(budget.usable.count()) * share));
            const bool fits = budget.used + bundle.size <= limit;
            const bool isEligible = budget.runner->service == bundle.service && budget.runner->isUsable;
            if (!fits || !isEligible || zones.contains(budget.runner->zone)) {
                continue;
            }
            const bool holds = isResident(budget, bundle.base);
            const bool isBetter = best == nullptr || holds > bestHolds || (holds == bestHolds && budget.free() > best->free());
            if (isBetter) {
                best = &budget;
                bestHolds = holds;
            }
        }
        if (best == nullptr) {
            return false;
        }
        place(*best, bundle.base);
        for (const auto &adapter : bundle.adapters) {
            place(*best, adapter);
        }
        recordDecision(bundle.base, best->runner->id, why + " zone=" + best->runner->zone.text() + (bestHolds ? " already-resident" : ""));
        return true;
    }

    auto recordDecision(const ArtifactName &artifact, const TargetId &target, const std::string &why) -> void
    {
        m_result.decisions.push_back({PlacementKind::Floor, artifact, target, why});
    }

    /// Places adapters that were declared after their base was placed: with each replica of the base where they fit, and with at least one.
    auto placeMissingAdapters() -> void
    {
        for (const auto &bundle : m_bundles) {
            for (const auto &adapter : bundle.adapters) {
                placeMissingAdapter(bundle, adapter);
            }
        }
    }

    auto placeMissingAdapter(const Bundle &bundle, const ArtifactName &adapter) -> void
    {
        bool isPlaced = false;
        for (const auto &id : copies(bundle.base)) {
            auto &budget = m_budgets.at(id);
            if (m_result.plan.contains(id, adapter)) {
                isPlaced = true;
            } else if (sizeOf(adapter) <= budget.free()) {
                place(budget, adapter);
                recordDecision(adapter, id, "adapter-beside-base");
                isPlaced = true;
            }
        }
        if (isPlaced) {
            return;
        }
        // The adapter fits beside no replica of its base: place another replica of the base with only this adapter.
        const Bundle alone {bundle.base, {adapter}, bundle.service, sizeOf(bundle.base) + sizeOf(adapter), 0};
        if (!placeCopy(alone, 1.0, "adapter-with-own-base")) {
            m_result.unplaced.push_back(adapter);
        }
    }

    auto placeFurtherCopies(int wanted) -> void
    {
        // Memory may not suffice for all bundles: those with the highest demand come first; at equal demand the smallest, as more of them fit.
        std::vector<const Bundle *> order;
        for (const auto &bundle : m_bundles) {
            order.push_back(&bundle);
        }
        std::stable_sort(order.begin(), order.end(), [](const auto *left, const auto *right) {
            return left->demand != right->demand ? left->demand > right->demand : left->size < right->size;
        });
        for (const auto *bundle : order) {
            const auto held = copies(bundle->base).size();
            if (held > 0 && held < static_cast<std::size_t>(wanted)) {
                placeCopy(*bundle, m_options.secondCopyShare, "further-zone");
            }
        }
    }

    auto describeDrops() -> void
    {
        for (const auto &target : m_input.floor.targets()) {
            for (const auto &artifact : m_input.floor.artifactsOn(target)) {
                if (!m_result.plan.contains(target, artifact)) {
                    const bool isGone = !m_budgets.contains(target);
                    m_result.decisions.push_back({PlacementKind::Drop, artifact, target, isGone ? "runner-gone" : "not-declared-or-no-capacity"});
                }
            }
        }
    }

    const PlacementInput &m_input;
    const PlacementOptions &m_options;
    std::vector<Bundle> m_bundles;
    std::map<ArtifactName, ArtifactName> m_baseOf; ///< base of each artifact; a model version is its own base
    std::map<TargetId, RunnerBudget> m_budgets;
    std::map<ArtifactName, std::set<TargetId>> m_copies; ///< runners with a planned replica, by model version
    FloorResult m_result;
};

} // namespace

auto planFloor(const PlacementInput &input, const PlacementOptions &options) -> FloorResult
{
    if (options.strategy == PlacementStrategy::LoadOnDemand) {
        return {};
    }
    return FloorPlanning(input, options).run();
}

} // namespace KingCup
