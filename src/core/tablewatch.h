// Reads one table of the store and follows its changes. No I/O: calls to the store go out through hooks, their answers and the time come in.
//
// One call is in flight at a time. An answer to an abandoned call is ignored.
//
// Index of sections (search for [SECTION]):
//   Hooks        calls, results, time limits
//   TableWatch   the state machine
#pragma once

#include "core/backoff.h"
#include "core/storetable.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Hooks

using StoreCallId = std::uint64_t; ///< number of a call of one TableWatch

struct TableWatchHooks {
    std::function<void(StoreCallId call, const std::string &from)> read; ///< starts to read one page of the table, from that key on
    std::function<void(StoreCallId call, RowVersion after, Duration wait)> watch; ///< starts a watch call
    /// The whole table. Rows that aren't in it don't exist; some may be newer than `upTo`.
    std::function<void(const std::vector<StoredRow> &rows, RowVersion upTo)> onTable;
    std::function<void(const std::vector<StoredRow> &rows, RowVersion after, RowVersion upTo)> onChanges; ///< all changes after `after` up to `upTo`
    /// The store answers again, or no longer answers.
    std::function<void(bool isReached)> onReachabilityChanged;
    std::function<void(StoreOutcome why)> onFailed; ///< the first failed call after a successful one; also a watch whose history is lost
};

struct TableWatchOptions {
    /// Longest wait of one watch call. A call that the store has accepted but never answers is noticed only after this time.
    Duration pollTimeout = Duration::seconds(20);
    Duration probeTimeout = Duration::millis(300); ///< used instead while the store is unreachable, so that its return is noticed soon
    BackoffOptions backoff {.initial = Duration::millis(50), .max = Duration::millis(500)}; ///< after a failed call
    std::uint64_t seed = 1; ///< of the jitter of retries
};

// [SECTION] TableWatch

class TableWatch
{
public:
    TableWatch(TableWatchOptions options, TableWatchHooks hooks);

    // Queries
    auto isRunning() const -> bool;
    auto isLoaded() const -> bool; ///< the whole table was read; false again when a later read of it has failed
    auto isReading() const -> bool; ///< the whole table is being read
    auto isReached() const -> bool; ///< the last call was answered
    auto hasFailed() const -> bool; ///< the last call that ended has failed; false after a start
    auto version() const -> RowVersion; ///< the store's version up to which changes are known
    auto nextCallAt() const -> std::optional<TimePoint>; ///< call advance() then

    // Commands
    auto start() -> void; ///< reads the table, then follows its changes
    auto stop() -> void; ///< abandons the call in flight and drops all state
    auto advance(TimePoint now) -> void;
    /// The answer of a call that the hooks have started.
    auto answered(StoreCallId call, const StoreAnswer &answer, TimePoint now) -> void;
    /// Delay between an answer with changes and the next watch call. Changes made meanwhile come in one answer.
    auto setPause(Duration pause) -> void;
    /// Reads the whole table again, at once.
    auto reload() -> void;
    /// Abandons the pending watch call, which may never be answered, and makes a new one from the same version.
    auto renew() -> void;

private:
    auto restart(bool fromScratch) -> void;
    auto readPage(const std::string &from) -> void;
    auto watch() -> void;
    auto onPage(const StoreAnswer &answer, TimePoint now) -> void;
    auto onChanges(const StoreAnswer &answer, TimePoint now) -> void;
    auto setReached(bool reached) -> void;
    auto retry(StoreOutcome why, TimePoint now) -> void;

    TableWatchOptions m_options;
    TableWatchHooks m_hooks;
    Backoff m_backoff;
    std::minstd_rand m_random;
    std::optional<TimePoint> m_nextCallAt;
    bool m_isRetry = false; ///< the call at `m_nextCallAt` follows a failed one
    std::vector<StoredRow> m_pageRows; ///< rows of the pages read so far
    std::optional<RowVersion> m_readVersion; ///< store version as of the first page of the current read
    RowVersion m_version;
    Duration m_pause;
    StoreCallId m_call = 0; ///< the last call
    bool m_isRunning = false; ///< between start() and stop()
    bool m_isCalling = false; ///< the last call is in flight
    bool m_isReading = false; ///< the last call reads a page
    bool m_isLoaded = false;
    bool m_isReached = false;
    bool m_hasFailed = false;
};

} // namespace KingCup
