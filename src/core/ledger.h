// The memory ledger of one runner: which loads fit beside everything that is resident or may still become so.
//
// Orders to an engine may be lost, or take effect late, and their answers may be lost. The ledger keeps every order charged until
// the engine can't act on it any more, so that accelerator memory is never overcommitted. It lives in the runner's agent, which is the
// only process that gives the engine orders. Pure: events in, the next action out.
//
// What it takes from the engine's protocol:
//   - a refused order has no effect; an accepted one may take effect later;
//   - a status is the truth at some moment between asking and the answer, loads under way included;
//   - an engine that checks fences refuses, at the moment of taking effect, an order whose number is below its own;
//   - an engine that ignores them acts on no order later than `longestOrderDelay` after it was sent;
//   - one order id takes effect at most once;
//   - a crashed engine comes back empty under a higher generation. Its fence may be lost; it then takes longer than an order may be late.
//
// Index of sections (search for [SECTION]):
//   Settings   of one engine
//   Events     status answers
//   Ledger     MemoryLedger
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
    Duration longestOrderDelay = Duration::seconds(15); ///< from sending to the last moment at which an order may take effect
    Fence firstFence; ///< the lowest to open with; rises with each start of the agent, so that it is above every earlier agent's
    double kvReserve = 0.15; ///< share of memory kept for the KV cache
    Duration statusPeriod = Duration::millis(500); ///< between two questions for the status while orders are outstanding
    Duration idleStatusPeriod = Duration::seconds(2); ///< between two questions otherwise
    Duration answerTimeout = Duration::seconds(2); ///< a status or fence without an answer is asked for again after this
    Duration raiseFenceAfter = Duration::seconds(3); ///< an order without visible effect for this long gets a raised fence
};

// [SECTION] Events

struct EngineArtifact {
    ArtifactName artifact;
    Bytes bytes;
    OrderId order; ///< of a load under way; empty for what is resident
};

/// GET /status, as the engine answered it.
struct EngineStatus {
    std::uint64_t generation = 0;
    Fence fence;
    Bytes memoryTotal;
    std::vector<EngineArtifact> resident;
    std::vector<EngineArtifact> loading;
};

enum class OrderKind { Load, Unload };

/// What became of the answer to an order.
enum class OrderAnswer {
    Accepted, ///< takes effect now or later
    Refused, ///< certainly without effect: old fence, busy, throttled, not connected
    Lost, ///< no answer: may take effect, now or later
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
    Closed, ///< a predecessor's orders may still take effect, or no status is known yet
    FenceUnderWay, ///< a raise is outstanding; orders would race it
    AlreadyThere, ///< load: resident or loading
    NotThere, ///< unload: not resident
    OrderOutstanding, ///< an order for this artifact may still take effect
    NoMemory, ///< load: charged + KV reserve + its bytes exceed the memory
};
auto toString(LedgerRefusal refusal) -> const char *;

/// What the ledger wants its owner to do next.
struct LedgerAction {
    enum class Kind { None, RequestStatus, RaiseFence };
    Kind kind = Kind::None;
    Fence fence; ///< RaiseFence: the number to raise to
};

class MemoryLedger
{
public:
    /// `startedAt`: a new ledger knows nothing of orders that an earlier agent sent before this moment, and counts on them.
    /// `idPrefix` makes order ids unique over restarts.
    MemoryLedger(LedgerSettings settings, std::string idPrefix, TimePoint startedAt);
    ~MemoryLedger();
    MemoryLedger(MemoryLedger &&) noexcept;
    auto operator=(MemoryLedger &&) noexcept -> MemoryLedger &;

    // Queries

    auto isOpen() const -> bool; ///< no earlier agent's order can take effect any more
    auto generation() const -> std::uint64_t; ///< of the engine; 0 before the first status
    auto fence() const -> Fence; ///< the highest that the engine has shown
    auto memoryTotal() const -> Bytes;
    auto kvReserved() const -> Bytes;
    auto charged() const -> Bytes; ///< resident, loading, and every load that may still take effect; without the KV reserve
    auto freeBytes() const -> Bytes; ///< what a load may take now; below 0 if the engine itself holds too much
    auto releasing() const -> Bytes; ///< held by artifacts whose unload is outstanding
    auto residents() const -> std::vector<EngineArtifact>; ///< by the last status
    auto isResident(const ArtifactName &artifact) const -> bool; ///< by the last status
    auto isUsable(const ArtifactName &artifact) const -> bool; ///< resident, and no unload may take it away: new requests may use it
    auto isLoading(const ArtifactName &artifact) const -> bool; ///< under way or ordered
    auto isUnloading(const ArtifactName &artifact) const -> bool;
    auto mayLoad(const ArtifactName &artifact, Bytes bytes) const -> LedgerRefusal;
    auto mayUnload(const ArtifactName &artifact) const -> LedgerRefusal;
    auto outstandingOrders() const -> std::size_t;
    /// What to do at `now`; the same until an event or time changes it.
    auto nextAction(TimePoint now) const -> LedgerAction;

    /// A new declaration of the engine. Holds for outstanding orders too.
    auto updateDeclaration(Duration longestOrderDelay, double kvReserve) -> void;

    // Orders and what comes back: call them before the bytes leave the process, or a crash in between loses an order.

    /// The order to send, charged from now on; none if mayLoad() refuses.
    auto orderLoad(const ArtifactName &artifact, const ArtifactName &base, Bytes bytes, TimePoint now) -> std::optional<EngineOrder>;
    auto orderUnload(const ArtifactName &artifact, TimePoint now) -> std::optional<EngineOrder>;
    auto orderAnswered(const OrderId &id, OrderAnswer answer) -> void;
    auto statusRequested(TimePoint now) -> void;
    /// `requestedAt`: when the question was sent; `now`: when its answer came.
    auto statusReceived(TimePoint requestedAt, const EngineStatus &status, TimePoint now) -> void;
    auto fenceSent(Fence fence, TimePoint now) -> void;
    /// The engine answered POST /fence with `fence`.
    auto fenceRaised(Fence fence) -> void;
    /// The engine doesn't know POST /fence, whatever its declaration says: from now on orders are waited out instead.
    auto fenceUnsupported() -> void;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCup
