// The state of one runner as known to the gateway that gives orders: what the runner holds, how many orders it has accepted (its order count), and which
// orders may still take effect. No I/O.
//
// Every order carries an expected order count: the number of orders that the runner must have accepted before it. The runner refuses an order if its own count
// differs, also when the order arrives late. An order without an answer can therefore take effect only in the state it was made for, and no longer once the
// runner has accepted another order with the same expected count. There are two exceptions, in which the runner reaches the expected count of a late load in
// another state: the count known here was wrong, or the runner was restarted under the same id and counts from 0. Therefore the memory of a load without an
// answer stays charged while the runner's order count is below the load's expected count and the load may still arrive.
//
// An unload ends only when the last request with what is unloaded has ended. A runner refuses a model's load until then, so one may be sent early. It may
// accept an adapter's load, which would find neither memory nor a slot: for adapters, an unload counts as done only when the runner has shown that it is.
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
    int maxPendingAdapterLoads = 4; ///< limit on one runner's accepted adapter loads that aren't done yet
    Duration unloadReportDelay = Duration::millis(300); ///< a report is requested if the runner hasn't shown by then that an unload is done
    Duration unloadTime = Duration::millis(20); ///< duration of an unload that no request delays; the runner refuses orders that arrive before its end
};

// [SECTION] RunnerBook

class RunnerBook
{
public:
    explicit RunnerBook(RunnerBookOptions options = {});

    // Queries
    auto description() const -> const TargetDescription &; ///< from the runner's row, but with the models and adapters that are known here
    auto isKnown() const -> bool; ///< whether the runner's models and order count are known; if not, request a report
    auto isCallPending() const -> bool; ///< whether an order or a report request is in flight
    auto ordersTaken() const -> std::uint64_t; ///< the order count to send with the next order
    auto freeMemory(const EngineDeclaration &engine, TimePoint now) const -> Bytes; ///< without the memory charged for loads without an answer
    auto freeAdapterSlots(const EngineDeclaration &engine, TimePoint now) const -> int;
    auto modelOrderedAt() const -> TimePoint; ///< when the last order on a model was accepted
    auto isBusy(TimePoint now) const -> bool; ///< whether the runner is executing an order on a model, as far as known
    auto sourceOf(std::string_view model) const -> WeightSource;
    auto loading() const -> std::optional<std::string>; ///< the model being loaded
    auto mayOrder(const RunnerOrder &order, const EngineDeclaration &engine, TimePoint now) const -> bool; ///< whether the order should be executable now
    auto holdsAdapter(std::string_view model, std::string_view adapter) const -> bool; ///< whether the adapter is loaded or its load was accepted
    auto needsReport(TimePoint now) const -> bool; ///< whether to request a report now: the state isn't known, or an order should be done by now

    // Commands
    /// Counts accepted adapter loads as done once their expected time has passed. Returns whether anything changed.
    auto advance(TimePoint now) -> bool;
    /// Applies the runner's row in the discovery table. A new incarnation of the runner resets everything except the loads without an answer.
    auto descriptionReceived(const TargetDescription &description, TimePoint now) -> void;
    auto reportRequested(TimePoint now) -> void;
    auto reported(const RunnerReport &report, TimePoint now) -> void;
    auto reportFailed(TimePoint now) -> void;
    /// An order was sent. `expected`: how long its execution is expected to take.
    auto ordered(const RunnerOrder &order, Duration expected, TimePoint now) -> void;
    /// The runner accepted the order. `isDone`: the order was done at once, or changed nothing.
    auto accepted(bool isDone, TimePoint now) -> void;
    auto refused(TimePoint now) -> void; ///< the order has no effect; the known state of the runner is wrong
    /// The order has no effect because the runner executes another order or its order count differs. If the order is the load of a model and follows a recent
    /// unload, the unload is taken as the reason and the load may be tried again, a limited number of times: waiting for a report would take longer, as reports
    /// are some hundred milliseconds old. In all other cases a report is needed. For an adapter, for example, the free slots known here may be wrong, and the
    /// next load would exceed them.
    auto refusedAsBusy(TimePoint now) -> void;
    auto pause(TimePoint until) -> void; ///< the runner has asked to be sent nothing until then: it gets no orders and no report calls
    auto unanswered(TimePoint now) -> void; ///< the order got no answer and may still take effect
    /// The known state may be wrong, for example because the answer to a request showed that the runner is in another state: a report is needed.
    auto invalidate(TimePoint now) -> void;
    /// This gateway has taken over the order lease: the last orders of another gateway may still be in flight, so a report is needed.
    auto takenOver(TimePoint now) -> void;

private:
    struct PendingOrder {
        RunnerOrder order;
        Duration expected;
        TimePoint doneAt; ///< when the order is expected to be done; set again when the order is accepted
    };
    /// A load without an answer, which takes effect only if it arrives when the runner's order count is `expected`.
    struct UnansweredLoad {
        RunnerOrder order;
        std::uint64_t expected = 0;
        TimePoint until; ///< the load takes no effect after this
    };
    /// An accepted unload that isn't known to be done.
    struct PendingUnload {
        RunnerOrder order;
        int adapterSlots = 0; ///< that it frees
    };
    auto memoryOfPendingUnload(const EngineDeclaration &engine) const -> Bytes;
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
    bool m_isBusyReported = false; ///< the last report since the last accepted order on a model said that the runner is busy
    int m_busyRefusals = 0; ///< number of loads refused during an unload, since the last accepted order
    std::vector<UnansweredLoad> m_unansweredLoads;
    std::optional<PendingUnload> m_pendingUnload;
    TimePoint m_acceptedAt; ///< when the last order was accepted
    TimePoint m_modelOrderedAt; ///< when the last order on a model was accepted
    TimePoint m_reportRequestedAt;
    TimePoint m_pausedUntil;
    TimePoint m_nextReportAt; ///< no report is requested before this time
};

} // namespace KingCup
