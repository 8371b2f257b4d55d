// The memory ledger of one runner: which loads fit beside everything that is resident or may still become resident.
//
// Orders to an engine may be lost or take effect late, and their answers may be lost. The ledger keeps every load charged until the engine can no longer
// act on the order, so that accelerator memory is never overcommitted. It lives in the runner's agent, which is the only process that gives orders to the
// engine. No I/O: events in, the next action out.
//
// What it assumes of the engine's protocol:
//   - a refused order has no effect; an accepted one may take effect later;
//   - a status shows the engine's state at some moment between the request and its answer, loads in progress included;
//   - an engine that checks fences refuses an order whose fence is below its own at the moment the order would take effect;
//   - an engine that ignores fences acts on no order later than `longestOrderDelay` after it was sent;
//   - one order id takes effect at most once;
//   - a crashed engine restarts empty under a higher generation. If the crash loses its fence, the restart takes longer than an order may
//     be delayed.
//
// Index of sections (search for [SECTION]):
//   Settings   for one engine
//   Events     statuses of the engine, orders and their answers
//   Ledger     MemoryLedger, its refusals and actions
#pragma once

#include "core/declarations.h"
#include "core/ids.h"
#include "core/units.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Settings

struct LedgerSettings {
    FencingSupport fencing = FencingSupport::Ignored;
    Duration longestOrderDelay = Duration::seconds(15); ///< longest time from the sending of an order until it takes effect
    Fence firstFence; ///< the lowest fence to start with; rises with each start of the agent, so that it is above the fences of all earlier agents
    double kvReserve = 0.15; ///< share of memory kept for the KV cache
    Duration statusPeriod = Duration::millis(500); ///< time between status requests while orders are outstanding, loads run or the ledger isn't open
    Duration idleStatusPeriod = Duration::seconds(2); ///< time between status requests otherwise
    Duration answerTimeout = Duration::seconds(2); ///< a status request or fence raise without an answer is repeated after this
    Duration raiseFenceAfter = Duration::seconds(3); ///< the fence is raised if an order has had no visible effect for this long
};

// [SECTION] Events

struct EngineArtifact {
    ArtifactName artifact;
    Bytes bytes;
    OrderId order; ///< order of a load in progress; empty if resident
};

/// The engine's answer to GET /status.
struct EngineStatus {
    std::uint64_t generation = 0;
    Fence fence;
    Bytes memoryTotal;
    std::vector<EngineArtifact> resident;
    std::vector<EngineArtifact> loading;
};

enum class OrderKind { Load, Unload };

/// The answer to an order, as far as it was received.
enum class OrderAnswer {
    Accepted, ///< takes effect now or later
    Refused, ///< without effect: old fence, busy, throttled or not connected
    Lost, ///< no answer: may have taken effect or may still do so
};

struct EngineOrder {
    OrderId id;
    OrderKind kind = OrderKind::Load;
    ArtifactName artifact;
    ArtifactName base; ///< adapters only
    Bytes bytes;
    Fence fence; ///< to be sent with the order
};

// [SECTION] Ledger

/// Why a load or unload can't be ordered now.
enum class LedgerRefusal {
    None, ///< it may be ordered
    Closed, ///< orders of an earlier agent may still take effect, or no status is known yet
    FenceUnderWay, ///< a fence raise has no answer yet; an order could arrive after it and be refused
    AlreadyThere, ///< load: resident or loading
    NotThere, ///< unload: not resident
    OrderOutstanding, ///< an order for this artifact may still take effect
    NoMemory, ///< load: charged + KV reserve + its bytes exceed the memory
};
auto toString(LedgerRefusal refusal) -> const char *;

/// What the owner has to do next.
struct LedgerAction {
    enum class Kind { None, RequestStatus, RaiseFence };
    Kind kind = Kind::None;
    Fence fence; ///< RaiseFence: the fence to raise to
};

class MemoryLedger
{
public:
    /// `startedAt`: orders that an earlier agent sent before this time are unknown to the new ledger, which assumes that they may still take effect.
    /// `idPrefix` makes order ids unique over restarts.
    MemoryLedger(LedgerSettings settings, std::string idPrefix, TimePoint startedAt);
    ~MemoryLedger();
    MemoryLedger(MemoryLedger &&) noexcept;
    auto operator=(MemoryLedger &&) noexcept -> MemoryLedger &;

    // Queries

    auto isOpen() const -> bool; ///< orders of earlier agents can't take effect any more
    auto generation() const -> std::uint64_t; ///< generation of the engine; 0 before the first status
    auto fence() const -> Fence; ///< the highest fence that the engine has reported
    auto memoryTotal() const -> Bytes;
    auto kvReserved() const -> Bytes;
    auto charged() const -> Bytes; ///< resident, loading, and every load that may still take effect; without the KV reserve
    auto freeBytes() const -> Bytes; ///< available for a load now; below 0 if the engine itself holds too much
    auto releasing() const -> Bytes; ///< held by artifacts whose unload is outstanding
    auto residents() const -> std::vector<EngineArtifact>; ///< by the last status
    auto isResident(const ArtifactName &artifact) const -> bool; ///< by the last status
    auto isUsable(const ArtifactName &artifact) const -> bool; ///< resident, and no unload is outstanding: new requests may use it
    auto isLoading(const ArtifactName &artifact) const -> bool; ///< in progress or ordered
    auto isUnloading(const ArtifactName &artifact) const -> bool;
    auto mayLoad(const ArtifactName &artifact, Bytes bytes) const -> LedgerRefusal;
    auto mayUnload(const ArtifactName &artifact) const -> LedgerRefusal;
    auto outstandingOrders() const -> std::size_t;
    /// What to do at `now`; repeated calls return the same until an event arrives or a period ends.
    auto nextAction(TimePoint now) const -> LedgerAction;

    /// Sets the values of a changed declaration of the engine. They apply to outstanding orders too.
    auto updateDeclaration(Duration longestOrderDelay, double kvReserve) -> void;

    // Events: orders, requests and their answers. An order must be recorded here before it is sent, or an order that was sent could be missing in the ledger.

    /// The order to send, charged from now on; none if mayLoad() refuses.
    auto orderLoad(const ArtifactName &artifact, const ArtifactName &base, Bytes bytes, TimePoint now) -> std::optional<EngineOrder>;
    auto orderUnload(const ArtifactName &artifact, TimePoint now) -> std::optional<EngineOrder>;
    auto orderAnswered(const OrderId &id, OrderAnswer answer) -> void;
    auto statusRequested(TimePoint now) -> void;
    /// `requestedAt`: when the request was sent; `now`: when its answer arrived.
    auto statusReceived(TimePoint requestedAt, const EngineStatus &status, TimePoint now) -> void;
    auto fenceSent(Fence fence, TimePoint now) -> void;
    /// The engine answered POST /fence with `fence`.
    auto fenceRaised(Fence fence) -> void;
    /// The engine doesn't know POST /fence, whatever its declaration says. From now on the ledger waits `longestOrderDelay` for each order instead.
    auto fenceUnsupported() -> void;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCup
