// Client of the deployment's key-value store: reads, watches, and conditional changes of rows. The store may be slow or unreachable, reject calls from this
// host only, or lose an answer after it has made the change.
//
// Index of sections (search for [SECTION]):
//   Results       outcomes and answers of calls
//   StoreClient   single calls
//   TableWatch    reads one table and follows its changes
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
    Conflict, ///< a row had another version than expected: nothing was changed
    HistoryLost, ///< a watch asked for changes that the store no longer keeps: read the whole table again
    Refused, ///< certainly without effect
    Unclear, ///< no readable answer: a change may have been made, or may still be made
};
auto toString(StoreOutcome outcome) -> const char *;

struct StoreAnswer {
    StoreOutcome outcome = StoreOutcome::Unclear;
    StorePage page; ///< of reads and watches
    RowVersion version; ///< for changes: the version of the rows written
};

// [SECTION] StoreClient

struct StoreClientOptions {
    Endpoint server;
    Duration timeout = Duration::millis(1500); ///< of reads and changes; about 300 times the usual response time
};

class StoreClient
{
public:
    using Done = std::function<void(const StoreAnswer &answer)>;

    StoreClient(EventLoop &loop, HttpPool &pool, const StoreFormat &format, StoreClientOptions options);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    auto operator=(const StoreClient &) -> StoreClient & = delete;

    auto calls() const -> std::uint64_t; ///< number of calls started so far; the store meters calls
    auto lastAnswerAt() const -> TimePoint; ///< when any call was last answered

    /// Called after each failed call, and after the first successful call that follows a failed one: known rows may be out of date.
    std::function<void()> onUnreachable;

    auto setServer(const Endpoint &server) -> void;
    /// One page of a table, from key `from` on.
    auto read(StoreTable table, const std::string &from, Done done) -> void;
    /// Long poll: answers as soon as a row of the table has a newer version than `after`, or when `wait` has passed.
    auto watch(StoreTable table, RowVersion after, Duration wait, Done done) -> void;
    /// Makes all changes or none.
    auto change(StoreTable table, const std::vector<StoreChange> &changes, Done done) -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

// [SECTION] TableWatch

struct TableWatchHooks {
    /// The whole table. Rows that aren't in it don't exist; some may be newer than `upTo`.
    std::function<void(const std::vector<StoredRow> &rows, RowVersion upTo)> onTable;
    std::function<void(const std::vector<StoredRow> &rows)> onChanges;
    /// The store answers again, or no longer answers.
    std::function<void(bool isReached)> onReachabilityChanged;
};

struct TableWatchOptions {
    /// Longest wait of one watch call. A call that the store has accepted but never answers is noticed only after this time.
    Duration pollTimeout = Duration::seconds(20);
    Duration probeTimeout = Duration::millis(300); ///< used instead while the store is unreachable, so that its return is noticed soon
    BackoffOptions backoff {.initial = Duration::millis(50), .max = Duration::millis(500)}; ///< after a failed call
};

class TableWatch
{
public:
    TableWatch(EventLoop &loop, StoreClient &client, EventLog &log, StoreTable table, TableWatchOptions options, TableWatchHooks hooks);
    ~TableWatch();
    TableWatch(const TableWatch &) = delete;
    auto operator=(const TableWatch &) -> TableWatch & = delete;

    auto isLoaded() const -> bool; ///< the whole table was read; false again when a later read of it has failed
    auto isReached() const -> bool; ///< the last call was answered
    auto version() const -> RowVersion; ///< the store's version up to which changes are known
    /// Delay between an answer with changes and the next watch call. Changes made meanwhile come in one answer.
    auto setPause(Duration pause) -> void;
    /// Reads the whole table again, at once.
    auto reload() -> void;
    /// Abandons the pending watch call, which may never be answered, and makes a new one from the same version.
    auto renew() -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
