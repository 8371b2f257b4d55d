// The deployment's store as a gateway uses it: rows read, watched, and changed under conditions. The store may be slow, away, refuse this
// host alone, or lose an answer after the change was made.
//
// Index of sections (search for [SECTION]):
//   Results       what became of a call
//   StoreClient   single calls
//   TableWatch    a copy of one table that follows the store
#pragma once

#include "core/backoff.h"
#include "gateway/protocol.h"
#include "net/eventlog.h"
#include "net/httppool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Results

enum class StoreOutcome {
    Done,
    Conflict, ///< a row had another version: nothing was changed
    HistoryLost, ///< a watch asked for changes that the store no longer has: read the table
    Refused, ///< certainly without effect
    Unclear, ///< no answer: a change may have been made, or may still be
};
auto toString(StoreOutcome outcome) -> const char *;

struct StoreAnswer {
    StoreOutcome outcome = StoreOutcome::Unclear;
    StorePage page; ///< of reads and watches
    RowVersion version; ///< of changes: that of the rows written
};

// [SECTION] StoreClient

struct StoreClientOptions {
    Endpoint server;
    Duration timeout = Duration::millis(1500); ///< of reads and changes; some three hundred times the usual answer
};

class StoreClient
{
public:
    using Done = std::function<void(const StoreAnswer &answer)>;

    StoreClient(EventLoop &loop, HttpPool &pool, const StoreFormat &format, StoreClientOptions options);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    auto operator=(const StoreClient &) -> StoreClient & = delete;

    auto calls() const -> std::uint64_t; ///< started so far: each has its price
    auto lastAnswerAt() const -> TimePoint; ///< of any call

    /// The store was not reached, or is reached again after that.
    std::function<void()> onUnreachable;

    auto setServer(const Endpoint &server) -> void;
    /// One page of a table, from key `from` on.
    auto read(StoreTable table, const std::string &from, Done done) -> void;
    /// Answers as soon as a row of the table changes after `after`, or when `wait` is over.
    auto watch(StoreTable table, RowVersion after, Duration wait, Done done) -> void;
    /// All changes or none.
    auto change(StoreTable table, const std::vector<StoreChange> &changes, Done done) -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

// [SECTION] TableWatch

struct TableWatchHooks {
    /// The whole table as of one moment; what isn't in it doesn't exist.
    std::function<void(const std::vector<StoredRow> &rows, RowVersion upTo)> onTable;
    std::function<void(const std::vector<StoredRow> &rows)> onChanges;
    /// The store answers again, or no longer.
    std::function<void(bool isReached)> onReachabilityChanged;
};

struct TableWatchOptions {
    Duration pollTimeout = Duration::seconds(20); ///< of one watch call; one that the store took and forgot shows only after this
    Duration probeTimeout = Duration::millis(300); ///< likewise, until the store has answered again: whoever was cut off must hear soon that it is back
    BackoffOptions backoff {.initial = Duration::millis(50), .max = Duration::millis(500)}; ///< after a failed call
};

class TableWatch
{
public:
    TableWatch(EventLoop &loop, StoreClient &client, EventLog &log, StoreTable table, TableWatchOptions options, TableWatchHooks hooks);
    ~TableWatch();
    TableWatch(const TableWatch &) = delete;
    auto operator=(const TableWatch &) -> TableWatch & = delete;

    auto isLoaded() const -> bool; ///< the table was read at least once
    auto isReached() const -> bool; ///< the last call was answered
    auto version() const -> RowVersion; ///< up to which changes are known
    /// After an answer with changes, how long until the next call: what comes meanwhile is answered together.
    auto setPause(Duration pause) -> void;
    /// Reads the table anew, at once.
    auto reload() -> void;
    /// Whether the call that waits will ever be answered is doubtful: makes another one, from the same version.
    auto renew() -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
