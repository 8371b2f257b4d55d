// The state that one round of surge planning works on, by number in place of by name: what each runner holds and how busy it will be.
// At 1,600 models and 700 runners looking things up by name is most of a round's time.
//
// Index of sections (search for [SECTION]):
//   Parts            runners and artifacts of the model
//   PlacementModel   the state, kept right while copies are added and dropped
#pragma once

#include "core/placement.h"

#include <unordered_map>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

/// Indices into the model's lists.
using RunnerIndex = std::size_t;
using ArtifactIndex = std::size_t;
constexpr std::size_t NoIndex = static_cast<std::size_t>(-1);

struct ModelRunner {
    const RunnerState *state = nullptr;
    Bytes usable; ///< without the KV cache's share
    Bytes used; ///< by planned copies, and by what no plan names
    double capacity = 0; ///< requests at once
    double busy = 0; ///< requests running, by the forecast
    std::vector<ArtifactIndex> surge; ///< surge copies

    auto free() const -> Bytes
    {
        return usable - used;
    }
};

struct CopyLoad {
    RunnerIndex runner = 0;
    double streams = 0; ///< of the artifact's requests, those that run here
};

struct ModelArtifact {
    const Artifact *declared = nullptr;
    const ArtifactDemand *demand = nullptr; ///< null if none is known
    ArtifactIndex base = NoIndex; ///< of an adapter
    double streams = 0; ///< requests running at once, by the forecast
    std::vector<CopyLoad> copies;
    bool isLive = false; ///< on a usable runner: resident, or planned and so about to be
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
    auto find(const TargetId &id) const -> RunnerIndex; ///< NoIndex if it isn't usable
    auto isOn(RunnerIndex runner, ArtifactIndex artifact) const -> bool; ///< planned there: floor or surge
    auto isResident(RunnerIndex runner, ArtifactIndex artifact) const -> bool;
    /// Memory that a further copy takes on a runner: with the base if that isn't there. And the moves.
    auto sizeOn(RunnerIndex runner, ArtifactIndex artifact) const -> Bytes;
    auto movesOn(RunnerIndex runner, ArtifactIndex artifact) const -> int;
    /// Requests a second that will be late for want of capacity, at what `fullShare` of each runner's capacity carries.
    auto lostPerSecond(ArtifactIndex artifact) const -> double;

    // Commands
    auto add(RunnerIndex runner, ArtifactIndex artifact) -> void; ///< a surge copy
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
    std::vector<bool> m_planned; ///< runner by artifact
    std::vector<bool> m_resident;
};

} // namespace KingCup
