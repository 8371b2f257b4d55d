// Loads and unloads artifacts on a runner as the floor plan and the requested surge replicas need it. Owns the memory ledger, which is the
// only source of orders to the engine.
//
// Index of sections (search for [SECTION]):
//   Settings    settings and hooks
//   Task        ResidencyTask
#pragma once

#include "core/declarations.h"
#include "core/floor.h"
#include "core/ledger.h"
#include "engine/engineclient.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Settings

struct ResidencySettings {
    TargetId target;
    Fence firstFence; ///< above the fences of all earlier agents of this target
    std::string orderPrefix; ///< prefix of order ids; differs for each start of the agent
    Duration stepPeriod = Duration::millis(250); ///< between regular steps; events cause further steps
    Duration surgeLifetime = Duration::seconds(15); ///< after which a surge request expires if no planner repeats it
};

struct ResidencyHooks {
    std::function<bool(const ArtifactName &artifact)> isInUse; ///< requests in flight on this target
    std::function<void()> onChanged; ///< readiness or the usable artifacts may have changed
    std::function<void(std::uint64_t generation)> onCrash; ///< the engine of that generation has crashed
};

// [SECTION] Task

class ResidencyTask
{
public:
    /// `engine` must outlive the task.
    ResidencyTask(EventLoop &loop, EngineClient &engine, ResidencySettings settings, ResidencyHooks hooks);
    ~ResidencyTask();

    // Queries
    auto isEngineReady() const -> bool; ///< it answers status requests
    auto isUsable(const ArtifactName &artifact) const -> bool; ///< new requests may use it
    auto ledger() const -> const MemoryLedger *; ///< null before the first configuration
    auto isSettled() const -> bool; ///< the floor's row has been read from the table; until then everything resident is pinned
    auto isPinned(const ArtifactName &artifact) const -> bool;
    auto planVersion() const -> RowVersion;
    auto engineGeneration() const -> std::uint64_t;

    // Commands
    auto adopt(const Declarations &declarations) -> void;
    auto floorRowRead(RowSource source, RowVersion version, const FloorRow &row) -> void;
    /// Replaces the last request, whichever planner sent it. If the same planner sent it, only a higher sequence is accepted.
    auto surgeRequested(const std::string &planner, std::uint64_t sequence, std::vector<ArtifactName> artifacts) -> void;
    /// To be called when a call to the engine broke: finds out whether the engine has crashed, then calls `done`.
    auto checkForCrash(std::function<void(bool hasCrashed)> done) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
