// The state of one round in which extra replicas (surge) are planned: what each runner holds and how busy it is forecast to be. Runners and
// artifacts are addressed by index: with 1,600 models and 700 runners, lookups by name took most of a round's time. No I/O.
//
// Index of sections (search for [SECTION]):
//   Parts            runners and artifacts of the model
//   PlacementModel   the state, updated as replicas are added and dropped
#pragma once

#include "core/placement.h"

#include <unordered_map>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

/// Indices into PlacementModel::runners() and artifacts().
using RunnerIndex = std::size_t;
using ArtifactIndex = std::size_t;
constexpr std::size_t NoIndex = static_cast<std::size_t>(-1);

/// A runner that is usable and not leaving.
struct ModelRunner {
    const RunnerState *state = nullptr;
    Bytes usable; ///< accelerator memory without the share reserved for the KV cache
    Bytes used; ///< by planned replicas, and by resident artifacts that are no longer declared
    double capacity = 0; ///< number of requests that the runner executes at once
    double busy = 0; ///< forecast number of running requests
    std::vector<ArtifactIndex> surge; ///< artifacts with an extra replica on this runner

    auto free() const -> Bytes
    {
        return usable - used;
    }
};

/// The part of an artifact's load that one of its replicas takes.
struct CopyLoad {
    RunnerIndex runner = 0;
    double streams = 0; ///< forecast number of the artifact's running requests on this runner
};

/// A declared artifact.
struct ModelArtifact {
    const Artifact *declared = nullptr;
    const ArtifactDemand *demand = nullptr; ///< null if no demand is known
    ArtifactIndex base = NoIndex; ///< the model version of an adapter; NoIndex for a model version itself
    double streams = 0; ///< forecast number of running requests
    std::vector<CopyLoad> copies;
    bool isLive = false; ///< resident, being loaded or planned on a usable runner
};

// [SECTION] PlacementModel

class PlacementModel
{
public:
    PlacementModel(const PlacementInput &input, const Plan &surge, const PlacementOptions &options);

    // Queries
    auto runners() const -> const std::vector<ModelRunner> &;
    auto artifacts() const -> const std::vector<ModelArtifact> &;
    auto find(const ArtifactName &name) const -> ArtifactIndex; ///< NoIndex if the artifact isn't declared
    auto find(const TargetId &id) const -> RunnerIndex; ///< NoIndex if the runner isn't usable or is leaving
    auto isOn(RunnerIndex runner, ArtifactIndex artifact) const -> bool; ///< planned on the runner, as minimum or extra replica
    auto isResident(RunnerIndex runner, ArtifactIndex artifact) const -> bool;
    /// Memory that a new replica needs on a runner, and the number of loads. Both include the base of an adapter if it isn't planned on the runner.
    auto sizeOn(RunnerIndex runner, ArtifactIndex artifact) const -> Bytes;
    auto loadsNeededOn(RunnerIndex runner, ArtifactIndex artifact) const -> int;
    /// Requests per second that are expected to be late: all if the artifact has no replica, else those beyond PlacementOptions::fullShare of the
    /// runners' capacity; at least the rate that is refused or late now.
    auto lostPerSecond(ArtifactIndex artifact) const -> double;

    // Commands
    auto add(RunnerIndex runner, ArtifactIndex artifact) -> void; ///< adds an extra replica
    auto drop(RunnerIndex runner, ArtifactIndex artifact) -> void;

private:
    auto collectRunners() -> void;
    auto collectArtifacts() -> void;
    auto collectCopies(const Plan &plan, bool isSurge) -> void;
    auto collectResidents() -> void;
    auto spread(ArtifactIndex artifact) -> void;
    auto matrixIndex(RunnerIndex runner, ArtifactIndex artifact) const -> std::size_t;

    const PlacementInput &m_input;
    const PlacementOptions &m_options;
    std::vector<ModelRunner> m_runners;
    std::vector<ModelArtifact> m_artifacts;
    std::unordered_map<TargetId, RunnerIndex> m_runnerOf;
    std::unordered_map<ArtifactName, ArtifactIndex> m_artifactOf;
    std::vector<bool> m_planned; ///< one element for each pair of runner and artifact, see matrixIndex()
    std::vector<bool> m_resident; ///< same layout as m_planned
};

} // namespace KingCup
