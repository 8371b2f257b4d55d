// What the gateway that gives orders knows of one runner: what it holds, how many orders it has taken, and which may still take effect.
//
// Every order names the number of orders that the runner must have taken before, and the runner refuses it otherwise, also when it comes
// late. So an order that got no answer can only ever act on the very state that it was made for, and what is ordered next under the same
// number excludes it. Two cases are left, in which a late load meets its number in another state: the number was counted wrong, or the
// runner started again under its id and counts from 0. So a load without an answer is charged to the memory as long as its number is still to
// come there and it can still come.
//
// Index of sections (search for [SECTION]):
//   Orders       what may be ordered
//   RunnerBook   the state
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

struct RunnerOrder {
    bool isLoad = true; ///< else an unload
    std::string model;
    std::string adapter; ///< empty: the model itself

    auto operator==(const RunnerOrder &) const -> bool = default;
};

/// Where a runner would take a model's weights from.
enum class WeightSource { Memory, Disk, Store };
auto toString(WeightSource source) -> const char *;

struct RunnerBookOptions {
    Duration maxOrderDelay = Duration::seconds(13); ///< an order without an answer takes effect within this, or never
    Duration adapterLoadTime = Duration::millis(12); ///< an adapter is usable this long after its load was accepted
    int maxPendingAdapterLoads = 4; ///< at most, to one runner
    Duration unloadTime = Duration::millis(20); ///< an unload that no request holds up is done by then; the runner refuses what comes too soon
};

// [SECTION] RunnerBook

class RunnerBook
{
public:
    explicit RunnerBook(RunnerBookOptions options = {});

    // Queries
    auto description() const -> const TargetDescription &; ///< models and adapters in it are those of this book
    auto isKnown() const -> bool; ///< what it holds and the number of its orders; else ask for its report
    auto isCallPending() const -> bool; ///< an order or a report is under way
    auto ordersTaken() const -> std::uint64_t; ///< for the next order
    auto freeMemory(const EngineDeclaration &engine, TimePoint now) const -> Bytes;
    auto freeAdapterSlots(const EngineDeclaration &engine, TimePoint now) const -> int;
    auto modelOrderedAt() const -> TimePoint; ///< the last accepted order on a model
    auto isBusy(TimePoint now) const -> bool; ///< carrying out an order on a model, as far as known
    auto sourceOf(std::string_view model) const -> WeightSource;
    auto loading() const -> std::optional<std::string>; ///< the model being loaded
    auto mayOrder(const RunnerOrder &order, const EngineDeclaration &engine, TimePoint now) const -> bool;
    auto holdsAdapter(std::string_view model, std::string_view adapter) const -> bool; ///< loaded, or under way
    auto needsReport(TimePoint now) const -> bool; ///< an order should be done by now, or nothing is known

    // Commands
    /// Adapters whose load should be done count as held. True if that changed anything.
    auto advance(TimePoint now) -> bool;
    /// From its row. A new start resets everything.
    auto descriptionReceived(const TargetDescription &description, TimePoint now) -> void;
    auto reportRequested(TimePoint now) -> void;
    auto reported(const RunnerReport &report, TimePoint now) -> void;
    auto reportFailed(TimePoint now) -> void;
    /// `expected`: how long it takes.
    auto ordered(const RunnerOrder &order, Duration expected, TimePoint now) -> void;
    auto accepted(bool isDone, TimePoint now) -> void;
    auto refused(TimePoint now) -> void; ///< certainly without effect; what is known of it is wrong
    /// Certainly without effect: the runner carries out another order, or counts its orders otherwise. For a model that follows on an unload of ours from a
    /// moment ago the first is the reason, and asking for a report, which is some hundred milliseconds old, would take longer than trying again. For an adapter
    /// it isn't: what is thought to be free there may be wrong, and the next load would be one too many.
    auto refusedAsBusy(TimePoint now) -> void;
    auto unanswered(TimePoint now) -> void;
    /// A request met something else there than this book says: asked for its report.
    auto invalidate(TimePoint now) -> void;
    /// Who gives orders is new: another gateway's last ones may still be on their way.
    auto takenOver(TimePoint now) -> void;

private:
    struct PendingOrder {
        RunnerOrder order;
        Duration expected;
        TimePoint doneAt; ///< probably; known once accepted
    };
    /// A load without an answer, and the number that it meets its moment at.
    struct UnansweredLoad {
        RunnerOrder order;
        std::uint64_t expected = 0;
        TimePoint until;
    };
    auto isCharged(const UnansweredLoad &late, TimePoint now) const -> bool;
    auto apply(const RunnerOrder &order) -> void;
    auto model(std::string_view name) -> ResidentModel *;

    RunnerBookOptions m_options;
    TargetDescription m_description;
    bool m_isKnown = false;
    bool m_isReportPending = false;
    std::uint64_t m_ordersTaken = 0; ///< as far as known
    std::optional<PendingOrder> m_unacknowledged; ///< an order without an answer yet
    std::optional<PendingOrder> m_modelOrder; ///< accepted, being carried out
    std::vector<PendingOrder> m_adapterLoads; ///< accepted loads that aren't usable yet
    bool m_isBusyReported = false; ///< the runner said so itself
    int m_busyRefusals = 0; ///< times in a row since the last accepted order
    std::vector<UnansweredLoad> m_unansweredLoads;
    TimePoint m_acceptedAt; ///< the last order
    TimePoint m_modelOrderedAt; ///< the last one on a model
    TimePoint m_reportRequestedAt;
    TimePoint m_nextReportAt; ///< not before
};

} // namespace KingCup
