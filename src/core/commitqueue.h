// Group commit: row writes that wait are gathered into transactions. Pure.
//
// While no transaction is under way a write goes out at once; while some are, writes gather for a window that follows the time that
// transactions take. The write budget is a token bucket: the platform counts rows, not transactions. Its rate is halved when the platform
// throttles and grows back with success, so that agents that know nothing of each other share one budget.
// A write that was refused or lost stays in the queue, unchanged, until it is settled or removed.
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
    double writesPerSecond = 100;
    double minWritesPerSecond = 2;
    double maxWritesPerSecond = 300;
    std::size_t batchesInFlight = 4;
    Duration minWindow = Duration::millis(1);
    Duration maxWindow = Duration::millis(50);
    Duration retryDelay = Duration::millis(50); ///< before a refused or lost write goes out again
};

enum class CommitUrgency {
    First, ///< somebody waits for it
    Later, ///< nobody does
};

/// What became of a transaction's rows. Those lost, refused or beside a conflict stay in the queue.
struct CommitResult {
    std::vector<std::string> committed;
    std::vector<std::string> conflicted; ///< left the queue: the row has another version
    std::vector<std::string> lost; ///< may have taken effect
    std::vector<std::string> unavailable; ///< certainly without effect, and the store can't be reached
    std::vector<std::string> notApplied; ///< certainly without effect, to be tried again
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

    auto size() const -> std::size_t; ///< waiting, not in a transaction
    auto writesPerSecond() const -> double;
    auto window() const -> Duration; ///< for which writes gather now
    auto nextWake() const -> std::optional<TimePoint>;

    // Commands

    /// At most one write per row at a time.
    auto add(TableOp op, CommitUrgency urgency, TimePoint now) -> void;
    /// Takes back a write that isn't in a transaction.
    auto remove(const std::string &key) -> void;
    /// The next transaction to send, if one is due.
    auto nextBatch(TimePoint now) -> std::optional<Batch>;
    auto done(BatchId id, const TransactResult &result, TimePoint now) -> CommitResult;

private:
    struct PendingWrite {
        TableOp op;
        CommitUrgency urgency = CommitUrgency::Foreground;
        TimePoint since;
        TimePoint notBefore;
    };
    struct SentBatch {
        std::vector<PendingWrite> writes;
        TimePoint at;
    };

    auto refill(TimePoint now) -> void;
    auto dueAt() const -> std::optional<TimePoint>;
    auto timeWithTokens(double tokens) const -> TimePoint;
    auto adapt(const TransactResult &result, const SentBatch &sent, TimePoint now) -> void;
    auto enqueue(PendingWrite write, TimePoint notBefore) -> void;
    auto settleConflict(const SentBatch &sent, const TransactResult &result, TimePoint now, CommitResult &settled) -> void;

    CommitSettings m_settings;
    /// First before Later, older before newer. Only as many as one transaction holds are looked at, from the front: a queue that has grown
    /// long in an outage must not cost more with every event. What waits behind writes that are to be retried waits that little longer.
    std::deque<PendingWrite> m_pending;
    std::map<BatchId, SentBatch> m_inFlight;
    std::uint64_t m_batches = 0;
    double m_rate;
    double m_tokens;
    TimePoint m_refilledAt;
    std::optional<TimePoint> m_throttledAt;
    Duration m_transactTime; ///< smoothed
};

} // namespace KingCup
