// Group commit: batches pending row writes into transactions. No I/O.
//
// While no transaction is in flight, a write is sent as soon as the budget allows. Otherwise writes are collected for a window whose length follows the
// duration of transactions. The write budget is a token bucket that counts rows, as the platform does, not transactions. Its rate is halved when the platform
// throttles and grows again with each committed row, so that agents share the platform's limit without any communication between them. A write that was refused
// or lost stays in the queue, unchanged, until it is committed, meets a conflict or is removed.
#pragma once

#include "core/ids.h"
#include "core/table.h"
#include "core/units.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

struct CommitSettings {
    double writesPerSecond = 100; ///< initial rate
    double minWritesPerSecond = 2;
    double maxWritesPerSecond = 300;
    std::size_t batchesInFlight = 4; ///< maximum number of transactions in flight
    Duration minWindow = Duration::millis(1);
    Duration maxWindow = Duration::millis(50);
    Duration retryDelay = Duration::millis(50); ///< delay before a refused or lost write is sent again
};

enum class CommitUrgency {
    Foreground, ///< a caller waits for the write; sent first
    Background, ///< no caller waits for the write
};

/// The outcome of a transaction, as keys of its rows. The writes in `lost`, `unavailable` and `notApplied` stay in the queue.
struct CommitResult {
    std::vector<std::string> committed;
    std::vector<std::string> conflicted; ///< removed from the queue: the row has another version
    std::vector<std::string> lost; ///< no answer: may have taken effect
    std::vector<std::string> unavailable; ///< certainly without effect: the store can't be reached
    std::vector<std::string> notApplied; ///< certainly without effect: throttled, or another row of the transaction had a conflict
};

class CommitQueue
{
public:
    using BatchId = StrongNumber<struct BatchIdTag>;

    struct Batch {
        BatchId id;
        std::vector<TableOp> ops;
    };

    explicit CommitQueue(CommitSettings settings);

    // Queries

    auto size() const -> std::size_t; ///< pending writes, without those in a transaction
    auto writesPerSecond() const -> double;
    auto window() const -> Duration; ///< how long writes are collected now, while a transaction is in flight
    auto nextWake() const -> std::optional<TimePoint>; ///< when to call nextBatch(); empty if nothing can be sent before a call of add() or done()

    // Commands

    /// At most one write per row at a time.
    auto add(TableOp op, CommitUrgency urgency, TimePoint now) -> void;
    /// Drops a pending write. A write that is in a transaction isn't affected.
    auto remove(const std::string &key) -> void;
    /// The next transaction to send, if one is due.
    auto nextBatch(TimePoint now) -> std::optional<Batch>;
    auto done(BatchId id, const TransactResult &result, TimePoint now) -> CommitResult;

private:
    struct PendingWrite {
        TableOp op;
        CommitUrgency urgency = CommitUrgency::Foreground;
        TimePoint since; ///< when it was added
        TimePoint notBefore; ///< earliest time to send it
    };
    struct SentBatch {
        std::vector<PendingWrite> writes;
        TimePoint at; ///< when it was sent
    };

    auto refill(TimePoint now) -> void;
    auto dueAt() const -> std::optional<TimePoint>;
    auto timeWithTokens(double tokens) const -> TimePoint; ///< when the bucket holds that many
    auto adapt(const TransactResult &result, const SentBatch &sent, TimePoint now) -> void;
    auto enqueue(PendingWrite write, TimePoint notBefore) -> void;
    auto settleConflict(const SentBatch &sent, const TransactResult &result, TimePoint now, CommitResult &settled) -> void;

    CommitSettings m_settings;
    /// Foreground before Background, older before newer. Only the first MaxTransactionOps are examined, so that a queue that has grown long in an
    /// outage doesn't make every event more expensive. Writes that wait for their retry may therefore delay those behind them a little.
    std::deque<PendingWrite> m_pending;
    std::map<BatchId, SentBatch> m_inFlight;
    std::uint64_t m_batches = 0; ///< number of the last batch
    double m_rate; ///< rows per second
    double m_tokens; ///< rows that may be sent now
    TimePoint m_refilledAt;
    std::optional<TimePoint> m_throttledAt; ///< last time the rate was halved
    Duration m_transactTime; ///< moving average of the duration of committed transactions
};

} // namespace KingCup
