// The state of one round of surge planning: what each runner holds and how busy it is forecast to be. Runners and artifacts are addressed by
// index: with 1,600 models and 700 runners, lookups by name took most of a round's time.
//
// Index of sections (search for [SECTION]):
//   Parts            runners and artifacts of the model
//   PlacementModel   the state, updated as copies are added and dropped
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

/// A usable runner.
struct ModelRunner {
    const RunnerState *state = nullptr;
    Bytes usable; ///< accelerator memory without the share reserved for the KV cache
    Bytes used; ///< by planned copies, and by resident artifacts that are no longer declared
    double capacity = 0; ///< requests that it runs at once
    double busy = 0; ///< forecast number of running requests
    std::vector<ArtifactIndex> surge; ///< surge copies

    auto free() const -> Bytes
    {
        return usable - used;
    }
};

/// The part of an artifact's load that one of its copies takes.
struct CopyLoad {
    RunnerIndex runner = 0;
    double streams = 0; ///< the artifact's running requests on this runner, by the forecast
};

/// A declared artifact.
struct ModelArtifact {
    const Artifact *declared = nullptr;
    const ArtifactDemand *demand = nullptr; ///< null if no demand is known
    ArtifactIndex base = NoIndex; ///< of an adapter; NoIndex for a model version
    double streams = 0; ///< forecast number of running requests
    std::vector<CopyLoad> copies;
    bool isLive = false; ///< resident or planned on a usable runner
};

// [SECTION] PlacementModel

class PlacementModel
{
public:
    PlacementModel(const PlacementInput &input, const Plan &surge, const PlacementOptions &options);

    // Queries
    auto runners() const -> const std::vector<ModelRunner> &;
    auto artifacts() const -> const std::vector<ModelArtifact> &;
    auto find(const ArtifactName &name) const -> ArtifactIndex; ///< NoIndex if it isn't declared
    auto find(const TargetId &id) const -> RunnerIndex; ///< NoIndex if the runner isn't usable or is leaving
    auto isOn(RunnerIndex runner, ArtifactIndex artifact) const -> bool; ///< planned there, as floor or surge copy
    auto isResident(RunnerIndex runner, ArtifactIndex artifact) const -> bool;
    /// Memory that a new copy takes on a runner, and the number of loads it takes: including the base of an adapter if that isn't there.
    auto sizeOn(RunnerIndex runner, ArtifactIndex artifact) const -> Bytes;
    auto loadsNeededOn(RunnerIndex runner, ArtifactIndex artifact) const -> int;
    /// Requests per second that are expected to be late: all if there is no copy, else those beyond PlacementOptions::fullShare of the runners'
    /// capacity, and at least as many as are missed now.
    auto lostPerSecond(ArtifactIndex artifact) const -> double;

    // Commands
    auto add(RunnerIndex runner, ArtifactIndex artifact) -> void; ///< adds a surge copy
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
    std::vector<bool> m_planned; ///< one element for each runner and artifact, see matrixIndex()
    std::vector<bool> m_resident; ///< laid out as m_planned
};

} // namespace KingCup
