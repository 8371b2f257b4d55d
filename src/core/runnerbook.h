// The state of one runner as known to the gateway that gives orders: what the runner holds, how many orders it has accepted, and which orders may still take
// effect.
//
// Every order carries the number of orders that the runner must have accepted before it (its expected order count). The runner refuses the order if its own
// count differs, also when the order arrives late. An order without an answer can therefore only act on the state it was made for, and as soon as the next
// order with the same number is accepted it can't take effect any more. Two cases remain in which a late load finds its number in another state: the count
// was wrong, or the runner was restarted under its id and counts from 0. Therefore the memory of a load without an answer stays charged while the runner's
// order count is below the load's number and the load may still arrive.
//
// Index of sections (search for [SECTION]):
//   Orders       loads and unloads, options
//   RunnerBook   the state of one runner
#pragma once

#include "core/targetinfo.h"
#include "core/traffic.h"
#include "core/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Orders

/// A load or unload of a model or an adapter.
struct RunnerOrder {
    bool isLoad = true; ///< else an unload
    std::string model;
    std::string adapter; ///< empty: the order is for the model itself

    auto operator==(const RunnerOrder &) const -> bool = default;
};

/// Where a runner loads a model's weights from.
enum class WeightSource { Memory, Disk, Store };
auto toString(WeightSource source) -> const char *;

struct RunnerBookOptions {
    Duration maxOrderDelay = Duration::seconds(13); ///< an order without an answer takes effect within this time or never
    Duration adapterLoadTime = Duration::millis(12); ///< time from the acceptance of an adapter's load until the adapter is usable
    int maxPendingAdapterLoads = 4; ///< limit on accepted adapter loads of one runner that aren't done
    Duration unloadTime = Duration::millis(20); ///< time that an unload takes if no request delays it; the runner refuses orders that arrive earlier
};

// [SECTION] RunnerBook

class RunnerBook
{
public:
    explicit RunnerBook(RunnerBookOptions options = {});

    // Queries
    auto description() const -> const TargetDescription &; ///< from the runner's row; models and adapters as known to this object
    auto isKnown() const -> bool; ///< whether its models and its order count are known; if not, request its report
    auto isCallPending() const -> bool; ///< an order or a report request is in flight
    auto ordersTaken() const -> std::uint64_t; ///< the order count to send with the next order
    auto freeMemory(const EngineDeclaration &engine, TimePoint now) const -> Bytes; ///< without the memory of orders that may still take effect
    auto freeAdapterSlots(const EngineDeclaration &engine, TimePoint now) const -> int;
    auto modelOrderedAt() const -> TimePoint; ///< when the last order on a model was accepted
    auto isBusy(TimePoint now) const -> bool; ///< whether it is executing an order on a model, as far as known
    auto sourceOf(std::string_view model) const -> WeightSource;
    auto loading() const -> std::optional<std::string>; ///< the model being loaded
    auto mayOrder(const RunnerOrder &order, const EngineDeclaration &engine, TimePoint now) const
        -> bool; ///< whether the runner should be able to execute the order now
    auto holdsAdapter(std::string_view model, std::string_view adapter) const -> bool; ///< loaded, or its load is pending
    auto needsReport(TimePoint now) const -> bool; ///< its state isn't known, or an order should be done by now

    // Commands
    /// Counts adapters as held once their load should be done. Returns whether anything changed.
    auto advance(TimePoint now) -> bool;
    /// Takes over the runner's row in the discovery table. A new incarnation of the runner resets everything but loads without an answer.
    auto descriptionReceived(const TargetDescription &description, TimePoint now) -> void;
    auto reportRequested(TimePoint now) -> void;
    auto reported(const RunnerReport &report, TimePoint now) -> void;
    auto reportFailed(TimePoint now) -> void;
    /// An order was sent. `expected`: how long it takes to execute.
    auto ordered(const RunnerOrder &order, Duration expected, TimePoint now) -> void;
    /// The runner accepted the order. `isDone`: it was done at once, or there was nothing to do.
    auto accepted(bool isDone, TimePoint now) -> void;
    auto refused(TimePoint now) -> void; ///< the order has no effect; the known state of the runner is wrong
    /// The order has no effect because the runner executes another order or its order count differs. If the order is the load of a model and follows a recent
    /// unload, the unload is taken as the reason and the load is tried again: a report is some hundred milliseconds old and would take longer. For an adapter
    /// the order count is taken as the reason and a report is requested: the free slots known here may be wrong, and the next load would exceed them.
    auto refusedAsBusy(TimePoint now) -> void;
    auto unanswered(TimePoint now) -> void; ///< the order got no answer and may still take effect
    /// The known state may be wrong, for example because a request found the runner in another one: a report is needed.
    auto invalidate(TimePoint now) -> void;
    /// This gateway has taken over the order lease: the last orders of another gateway may still be in flight.
    auto takenOver(TimePoint now) -> void;

private:
    struct PendingOrder {
        RunnerOrder order;
        Duration expected;
        TimePoint doneAt; ///< when it is expected to be done; set when the order is accepted
    };
    /// A load without an answer, which takes effect only if it arrives when the runner's order count is `expected`.
    struct UnansweredLoad {
        RunnerOrder order;
        std::uint64_t expected = 0;
        TimePoint until; ///< takes no effect after this
    };
    auto isCharged(const UnansweredLoad &late, TimePoint now) const -> bool;
    auto apply(const RunnerOrder &order) -> void;
    auto model(std::string_view name) -> ResidentModel *;

    RunnerBookOptions m_options;
    TargetDescription m_description;
    bool m_isKnown = false;
    bool m_isReportPending = false;
    std::uint64_t m_ordersTaken = 0; ///< the runner's order count, as far as known
    std::optional<PendingOrder> m_unacknowledged; ///< the order that waits for its answer
    std::optional<PendingOrder> m_modelOrder; ///< accepted order on a model that is being executed
    std::vector<PendingOrder> m_adapterLoads; ///< accepted loads of adapters that aren't usable yet
    bool m_isBusyReported = false; ///< the runner's last report said that it is busy
    int m_busyRefusals = 0; ///< consecutive retries after refusedAsBusy() since the last accepted order
    std::vector<UnansweredLoad> m_unansweredLoads;
    TimePoint m_acceptedAt; ///< when the last order was accepted
    TimePoint m_modelOrderedAt; ///< when the last order on a model was accepted
    TimePoint m_reportRequestedAt;
    TimePoint m_nextReportAt; ///< no report is requested before this
};

} // namespace KingCup
