#include "core/placementmodel.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr int SpreadRounds = 3; ///< passes that move load from full to less busy holders; further passes change little
constexpr auto ServiceTimeIfUnknown = Duration::seconds(1);

} // namespace

PlacementModel::PlacementModel(const PlacementInput &input, const Plan &surge, const PlacementOptions &options)
    : m_input(input)
    , m_options(options)
{
    collectRunners();
    collectArtifacts();
    m_planned.resize(m_runners.size() * m_artifacts.size());
    m_resident.resize(m_planned.size());
    collectCopies(input.floor, false);
    collectCopies(surge, true);
    collectResidents();
    for (int round = 0; round < SpreadRounds; ++round) {
        for (ArtifactIndex artifact = 0; artifact < m_artifacts.size(); ++artifact) {
            spread(artifact);
        }
    }
}

auto PlacementModel::runners() const -> const std::vector<ModelRunner> &
{
    return m_runners;
}

auto PlacementModel::artifacts() const -> const std::vector<ModelArtifact> &
{
    return m_artifacts;
}

auto PlacementModel::find(const ArtifactName &name) const -> ArtifactIndex
{
    const auto found = m_artifactOf.find(name);
    return found == m_artifactOf.end() ? NoIndex : found->second;
}

auto PlacementModel::find(const TargetId &id) const -> RunnerIndex
{
    const auto found = m_runnerOf.find(id);
    return found == m_runnerOf.end() ? NoIndex : found->second;
}

auto PlacementModel::isOn(RunnerIndex runner, ArtifactIndex artifact) const -> bool
{
    return m_planned[matrixIndex(runner, artifact)];
}

auto PlacementModel::isResident(RunnerIndex runner, ArtifactIndex artifact) const -> bool
{
    return m_resident[matrixIndex(runner, artifact)];
}

auto PlacementModel::sizeOn(RunnerIndex runner, ArtifactIndex artifact) const -> Bytes
{
    const auto &one = m_artifacts[artifact];
    const bool needsBase = one.base != NoIndex && !isOn(runner, one.base);
    return one.declared->size + (needsBase ? m_artifacts[one.base].declared->size : Bytes());
}

auto PlacementModel::loadsNeededOn(RunnerIndex runner, ArtifactIndex artifact) const -> int
{
    const auto base = m_artifacts[artifact].base;
    return base != NoIndex && !isOn(runner, base) ? 2 : 1;
}

auto PlacementModel::lostPerSecond(ArtifactIndex artifact) const -> double
{
    const auto &one = m_artifacts[artifact];
    if (one.demand == nullptr || one.streams <= 0) {
        return 0;
    }
    const double rate = one.demand->perSecond;
    double lost = one.copies.empty() ? rate : 0;
    for (const auto &copy : one.copies) {
        const auto &runner = m_runners[copy.runner];
        const double lateShare = std::max(0.0, 1.0 - runner.capacity * m_options.fullShare / std::max(runner.busy, 1e-9));
        lost += rate * (copy.streams / one.streams) * lateShare;
    }
    return std::min(std::max(lost, one.demand->missedPerSecond), rate);
}

auto PlacementModel::add(RunnerIndex runner, ArtifactIndex artifact) -> void
{
    if (isOn(runner, artifact)) {
        return;
    }
    m_planned[matrixIndex(runner, artifact)] = true;
    m_runners[runner].used += m_artifacts[artifact].declared->size;
    m_runners[runner].surge.push_back(artifact);
    m_artifacts[artifact].copies.push_back({runner, 0});
    m_artifacts[artifact].isLive = true;
    spread(artifact);
}

auto PlacementModel::drop(RunnerIndex runner, ArtifactIndex artifact) -> void
{
    if (!isOn(runner, artifact)) {
        return;
    }
    auto &one = m_artifacts[artifact];
    m_planned[matrixIndex(runner, artifact)] = false;
    m_runners[runner].used -= one.declared->size;
    std::erase(m_runners[runner].surge, artifact);
    std::erase_if(one.copies, [&](const CopyLoad &copy) {
        if (copy.runner == runner) {
            m_runners[runner].busy -= copy.streams;
        }
        return copy.runner == runner;
    });
    spread(artifact);
}

auto PlacementModel::collectRunners() -> void
{
    const double share = 1.0 - m_input.declarations->policy.kvReserve;
    for (const auto &runner : m_input.runners) {
        if (!runner.isUsable || runner.isLeaving) {
            continue;
        }
        m_runnerOf[runner.id] = m_runners.size();
        auto &one = m_runners.emplace_back();
        one.state = &runner;
        one.usable = Bytes(static_cast<std::int64_t>(static_cast<double>(runner.memoryTotal.count()) * share));
        one.capacity = runner.concurrency > 0 ? runner.concurrency : m_options.concurrencyIfUnknown;
    }
}

auto PlacementModel::collectArtifacts() -> void
{
    const auto &declared = m_input.declarations->artifacts;
    m_artifacts.reserve(declared.size());
    m_artifactOf.reserve(declared.size());
    for (const auto &[name, artifact] : declared) {
        m_artifactOf[name] = m_artifacts.size();
        m_artifacts.emplace_back().declared = &artifact;
    }
    for (auto &artifact : m_artifacts) {
        artifact.base = artifact.declared->kind == ArtifactKind::Adapter ? find(artifact.declared->base) : NoIndex;
    }
    for (const auto &demand : m_input.demand) {
        const auto index = find(demand.artifact);
        if (index == NoIndex) {
            continue;
        }
        const auto service = demand.serviceTime.inMicros() > 0 ? demand.serviceTime : ServiceTimeIfUnknown;
        m_artifacts[index].demand = &demand;
        m_artifacts[index].streams = demand.perSecond * service.inSeconds();
    }
}

auto PlacementModel::collectCopies(const Plan &plan, bool isSurge) -> void
{
    for (RunnerIndex runner = 0; runner < m_runners.size(); ++runner) {
        for (const auto &name : plan.artifactsOn(m_runners[runner].state->id)) {
            const auto artifact = find(name);
            if (artifact == NoIndex || isOn(runner, artifact)) {
                continue;
            }
            m_planned[matrixIndex(runner, artifact)] = true;
            m_runners[runner].used += m_artifacts[artifact].declared->size;
            m_artifacts[artifact].copies.push_back({runner, 0});
            m_artifacts[artifact].isLive = true;
            if (isSurge) {
                m_runners[runner].surge.push_back(artifact);
            }
        }
    }
}

auto PlacementModel::collectResidents() -> void
{
    for (RunnerIndex runner = 0; runner < m_runners.size(); ++runner) {
        for (const auto &resident : m_runners[runner].state->residents) {
            const auto artifact = find(resident.artifact);
            if (artifact == NoIndex) {
                // An artifact that is no longer declared, but retained or still being unloaded: its memory isn't available for other replicas.
                m_runners[runner].used += resident.size;
                continue;
            }
            m_artifacts[artifact].isLive = true;
            if (!resident.isLoading) {
                m_resident[matrixIndex(runner, artifact)] = true;
            }
        }
    }
}

/// Splits the artifact's requests over its holders in proportion to their spare capacity. This models how entries route requests: each goes to the
/// holder that is expected to finish it first, which levels the load of the holders.
auto PlacementModel::spread(ArtifactIndex artifact) -> void
{
    auto &one = m_artifacts[artifact];
    double spare = 0;
    for (auto &copy : one.copies) {
        auto &runner = m_runners[copy.runner];
        runner.busy -= copy.streams;
        spare += std::max(0.0, runner.capacity - runner.busy);
    }
    for (auto &copy : one.copies) {
        auto &runner = m_runners[copy.runner];
        const double free = std::max(0.0, runner.capacity - runner.busy);
        copy.streams = spare > 0 ? one.streams * free / spare : one.streams / static_cast<double>(one.copies.size());
        runner.busy += copy.streams;
    }
}

auto PlacementModel::matrixIndex(RunnerIndex runner, ArtifactIndex artifact) const -> std::size_t
{
    return runner * m_artifacts.size() + artifact;
}

} // namespace KingCup
