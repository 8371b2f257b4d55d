// Keeps a runner's accelerator memory as the floor plan and the surge copies want it. Owns the memory ledger: the only source of
// orders to the engine.
//
// Index of sections (search for [SECTION]):
//   Settings    and hooks
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
    Fence firstFence; ///< above that of every earlier agent of this slot
    std::string orderPrefix; ///< unique per start
    Duration stepPeriod = Duration::millis(250); ///< between looks at what is due, when nothing happens
    Duration surgeLifetime = Duration::seconds(15); ///< a planner that is silent for longer requests nothing
};

struct ResidencyHooks {
    std::function<bool(const ArtifactName &artifact)> isInUse; ///< requests in flight on this target
    std::function<void()> onChanged; ///< what is usable has changed
    std::function<void(std::uint64_t generation)> onCrash; ///< the engine of that generation is gone
};

// [SECTION] Task

class ResidencyTask
{
public:
    /// `engine` must outlive the task.
    ResidencyTask(EventLoop &loop, EngineClient &engine, ResidencySettings settings, ResidencyHooks hooks);
    ~ResidencyTask();

    // Queries
    auto isEngineReady() const -> bool; ///< it answered its last status
    auto isUsable(const ArtifactName &artifact) const -> bool; ///< new requests may use it
    auto ledger() const -> const MemoryLedger *; ///< null before the first configuration
    auto isSettled() const -> bool; ///< has read the floor's row from the table itself; until then everything resident is pinned
    auto isPinned(const ArtifactName &artifact) const -> bool;
    auto planVersion() const -> RowVersion;
    auto engineGeneration() const -> std::uint64_t;

    // Commands
    auto adopt(const Declarations &declarations) -> void;
    auto floorRowRead(RowSource source, RowVersion version, const FloorRow &row) -> void;
    /// Replaces this planner's last request; a lower sequence is ignored.
    auto surgeRequested(const std::string &planner, std::uint64_t sequence, std::vector<ArtifactName> artifacts) -> void;
    /// A call to the engine broke: finds out whether the engine is gone, then says so.
    auto checkForCrash(std::function<void(bool hasCrashed)> done) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
