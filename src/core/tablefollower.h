// Keeps local copies of the store's tables up to date. A few gateways watch the store and forward the changes to the others. No I/O: calls to the store and
// messages to other gateways go out through hooks; answers, messages and the time come in.
//
// Calls to the store are metered, and a watch answers once for each change. So only the gateways that rank first by rendezvous hashing watch. The first of them
// forwards changes at once; the other watchers hold a change until a digest shows that it was forwarded, and otherwise forward it one after another. That a
// watcher knows a change doesn't show that it was forwarded: each may have found it by itself and left it to another one. While no watcher reaches the store,
// more gateways watch, up to a limit; a gateway without peers watches by itself. Where many gateways are registered, a starting gateway reads only the
// gateways' rows and gets the other tables from a peer.
//
// A digest says up to which version its sender's copy of each table is complete. A gateway whose copy stays behind has missed a message. It requests the
// changes from any gateway that has them and to which it is connected: it may have no connection to the watchers, as their rows may be among those that it
// lacks, and a hundred gateways that miss the same message mustn't all request it from one. If nobody answers, it reads the table from the store. Digests also
// carry checksums, which show a difference that the versions don't.
//
// Index of sections (search for [SECTION]):
//   Messages        what gateways send each other
//   Settings        time limits
//   Hooks           calls, messages and results
//   TableFollower   the state machine
#pragma once

#include "core/storetable.h"
#include "core/storewatchers.h"
#include "core/tablewatch.h"
#include "core/units.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Messages

/// The part of a gateway's digest that concerns the store.
struct FollowerDigest {
    bool isWatching = false;
    bool hasTrouble = false; ///< it watches, and doesn't reach the store
    bool hasFailed = false; ///< its last call to the store has failed, recently; not set by one that has begun to watch and has no answer yet
    /// Time since the store last showed that the sender's copy of the targets' rows is complete; none: it doesn't watch, or it is of an earlier release.
    std::optional<Duration> storeAge;
    std::array<std::uint64_t, FollowedTableCount> checksums {}; ///< by table; 0: it hasn't loaded the table
    std::array<RowVersion, FollowedTableCount> versions; ///< by table: it knows all changes up to this version
    /// By table: all changes up to this version that it found in the store were forwarded, by it or by another gateway. 0: it doesn't watch.
    std::array<RowVersion, FollowedTableCount> forwarded;
};

/// Rows that one gateway forwards to others.
struct TableRows {
    std::size_t table = 0; ///< index in FollowedTables
    bool isWhole = false; ///< all rows as of `upTo`; else all changes after `after` up to `upTo`
    std::optional<RowVersion> after; ///< not given by gateways of earlier releases
    RowVersion upTo;
    std::vector<StoredRow> rows;
};

// [SECTION] Settings

struct TableFollowerSettings {
    std::string id; ///< of this gateway
    StoreWatcherOptions watchers;
    /// A watcher no longer counts as live if the store's last answer to it is older than this, or its last digest. Such answers come every targetsPollTimeout,
    /// after a pause of standbyBatchDelay at most; digests of watchers every 200 ms; small hosts are late by as much.
    Duration maxProofAge = Duration::millis(1100);
    /// The first watcher must be live for this long before this gateway stops its own watch. Its own watch must run for this long too, so that digests show it.
    Duration handoverDelay = Duration::millis(1000);
    /// If no digest shows by then that a change was forwarded, the second watcher forwards it; the third one after twice this time, and so on.
    Duration fallbackDelay = Duration::millis(300);
    Duration targetsPollTimeout = Duration::millis(400); ///< longest wait of a watch call for targets: each answer shows that the store is reachable
    Duration failureMemory = Duration::seconds(3); ///< how long a gateway that doesn't watch any more says that the store hasn't answered it
    Duration batchDelay = Duration::millis(100); ///< the first watcher waits this long after a change of targets before its next watch call
    Duration standbyBatchDelay = Duration::millis(300); ///< the same for the other watchers, which only back up the first
    Duration peerLoadTimeout = Duration::millis(1500); ///< at start-up, tables that no peer has sent within this time are read from the store
    Duration repairDelay = Duration::millis(600); ///< a copy that stays behind another gateway's for this long has missed changes: they are requested
    Duration gapDelay = Duration::millis(100); ///< the same if rows arrive that follow later than those known here
    Duration requestTimeout = Duration::millis(500); ///< changes that haven't arrived this long after a request are requested from another gateway
    int maxUnansweredRequests = 3; ///< after this many requests without an answer, the table is read from the store
    Duration maxDifference = Duration::millis(1500); ///< a copy that differs from the live watchers' for this long is replaced; see TableFollower::differsFor()
    Duration differenceLogPeriod = Duration::seconds(1); ///< a copy that differs from a live watcher's is logged after this time, and again each time it passes
    std::uint64_t seed = 1; ///< of the jitter of retries, and of the choice of gateways
};

// [SECTION] Hooks

/// A decision, for the log.
struct FollowerEvent {
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// The way by which rows reached this gateway.
enum class RowSource {
    Watch, ///< an answer to this gateway's own watch call
    Read, ///< this gateway's own read of the whole table
    Proof, ///< this gateway's own read of single rows, other than by the watch
    Forwarded, ///< changes that another gateway forwarded
    PeerTable, ///< another gateway's whole copy, on request
    EqualCopy, ///< no rows: another gateway's copy has the same ones and is complete up to a later version
};
auto toString(RowSource source) -> const char *;

struct TableFollowerHooks {
    std::function<std::set<std::string>()> livePeers; ///< ids of the other gateways that aren't silent
    std::function<void(const TableRows &rows)> sendAll;
    std::function<void(const std::string &peer, const TableRows &rows)> send;
    /// Requests the changes of a table after the version; 0: the whole table. False: there is no connection to that gateway, so nothing was sent.
    std::function<bool(const std::string &peer, std::size_t table, RowVersion after)> request;
    /// Start calls to the store; their answers go to answered().
    std::function<void(std::size_t table, StoreCallId call, const std::string &from)> read;
    std::function<void(std::size_t table, StoreCallId call, RowVersion after, Duration wait)> watch;
    /// Rows that were changed or removed; the first time all rows.
    std::function<void(StoreTable table, const std::vector<StoredRow> &rows, RowSource source)> onRows;
    /// This gateway doesn't watch the store, and no other watcher is live, or one is live again: known rows may be out of date.
    std::function<void()> onUnreachable;
    /// The same, and calls of watchers to the store fail or have failed: it may remove rows of targets that can't renew them.
    std::function<void()> onStoreFailing;
    std::function<void(const FollowerEvent &event)> onEvent;
};

// [SECTION] TableFollower

class TableFollower
{
public:
    TableFollower(TableFollowerSettings settings, TableFollowerHooks hooks);

    // Queries
    auto isLoaded(StoreTable table) const -> bool;
    auto isWatching() const -> bool; ///< this gateway watches the store itself
    auto isCurrent(TimePoint now) const -> bool; ///< this gateway or a live watcher reaches the store
    /// How long the store is known to have answered this gateway or a watcher without an interruption. An outage that isn't over for longer may have removed
    /// rows of targets that couldn't renew them.
    auto followedFor(TimePoint now) const -> Duration;
    auto liveWatchers(TimePoint now) const -> std::vector<std::string>; ///< other gateways that watch and reach the store
    auto digest(TimePoint now) const -> FollowerDigest;
    /// How long this gateway's copy has differed from that of a live watcher. Always 0 for targets, whose rows change all the time.
    auto differsFor(StoreTable table, TimePoint now) const -> Duration;
    auto nextCallAt() const -> std::optional<TimePoint>; ///< call advanceCalls() then

    // Commands
    auto start(TimePoint now) -> void;
    auto digestReceived(const std::string &peer, const FollowerDigest &digest, TimePoint now) -> void;
    auto rowsReceived(const std::string &peer, const TableRows &rows, TimePoint now) -> void;
    auto tableRequested(const std::string &peer, std::size_t table, RowVersion after) -> void; ///< see TableFollowerHooks::request
    auto requestFrom(const std::string &peer, StoreTable table) -> void; ///< requests the changes that the gateway knows and this one doesn't
    auto answered(std::size_t table, StoreCallId call, const StoreAnswer &answer, TimePoint now) -> void;
    auto advance(TimePoint now) -> void; ///< call a few times a second
    auto advanceCalls(TimePoint now) -> void; ///< makes the calls that are due
    /// Applies rows that were read other than by the watch, and forwards them like changes from the watch.
    auto mergeRows(StoreTable table, const std::vector<StoredRow> &rows, TimePoint now) -> void;

private:
    /// State of another gateway, from its digests.
    struct Peer {
        std::uint64_t rank = 0;
        TimePoint receivedAt;
        TimePoint provenAt; ///< the store last answered it at this time; of earlier releases: its last digest arrived
        TimePoint liveSince; ///< see isLive()
        bool isHealthy = false; ///< it watches the store and reaches it, by its last digest
        TimePoint healthChangedAt;
        FollowerDigest digest;
    };
    /// Changes that this gateway lacks.
    struct Repair {
        TimePoint dueAt; ///< of the first request: until then, the changes may be on their way
        RowVersion target; ///< done when the copy is complete up to this version
        bool isWhole = false; ///< the copy differs although it is complete by its version
        std::optional<TimePoint> requestedAt;
        std::string requestedFrom;
        int unanswered = 0; ///< requests without an answer
    };
    struct FollowedTable {
        RowMirror mirror;
        std::optional<TableWatch> watch; ///< set in the constructor
        std::optional<Repair> repair;
        bool isReadOnce = false; ///< the watch only reads the table, since no other gateway has answered
        std::optional<TimePoint> differsSince; ///< since when its checksum differs from the first live watcher's, though not its version
        std::optional<TimePoint> unequalSince; ///< since when it differs from a live watcher's, whatever the versions
        TimePoint differenceLoggedAt;
        /// By which way and when the version came up to which the copy is complete.
        RowSource versionSource = RowSource::Read;
        std::string versionPeer = "-";
        TimePoint versionAt;
        /// Changes that this gateway found in the store, and that haven't been forwarded as far as it knows, with their time of arrival.
        std::vector<std::pair<TimePoint, StoredRow>> unforwarded;
    };
    auto isLive(const Peer &watcher, TimePoint now) const -> bool;
    auto isLost(const std::string &id, TimePoint now) const -> bool;
    auto hasStoreFailed(TimePoint now) const -> bool;
    auto reportReachability(bool hasLiveWatcher, TimePoint now) -> void;
    auto copyAdvanced(std::size_t index, RowVersion before, RowSource source, const std::string &peer) -> void;
    auto firstLiveWatcher(TimePoint now) const -> std::optional<std::string>;
    auto isRankedToWatch(TimePoint now) const -> bool;
    auto watchersAhead(TimePoint now) const -> int;
    auto isFirst(TimePoint now) const -> bool;
    auto reachesStore(TimePoint now) const -> bool;
    auto newestProof() const -> TimePoint;
    auto storeAnswered(std::size_t index) -> void;
    auto noteInterruption(TimePoint now) -> void;
    auto updateFollowed(bool isFollowed, TimePoint now) -> void;
    auto endTurn() -> void;
    auto areAllLoaded() const -> bool;
    auto buildWatch(std::size_t index) -> void;
    auto chooseSource() -> void;
    auto finishStart() -> void;
    auto startWatching(const char *why) -> void;
    auto stopWatching(TimePoint now) -> void;
    auto renewOtherWatches(std::size_t except) -> void;
    auto loadedFromStore(std::size_t index, const std::vector<StoredRow> &rows) -> void;
    auto applyOwnRows(std::size_t index, const std::vector<StoredRow> &changed, RowSource source) -> void;
    auto applyRows(std::size_t index, const std::vector<StoredRow> &changed, RowSource source, const std::string &peer) -> void;
    auto holdRows(std::size_t index, const std::vector<StoredRow> &rows) -> void;
    auto forwardedTo(std::size_t index) const -> RowVersion;
    auto isForwardedByOther(std::size_t index, RowVersion version, TimePoint now) const -> bool;
    auto forwardHeld(std::size_t index) -> void;
    auto request(std::size_t index, const std::string &peer, const char *why) -> bool;
    auto forwardOverdue(TimePoint now) -> void;
    auto updatePause(TimePoint now) -> void;
    auto compare(std::size_t index, const std::string &id, const Peer &peer, TimePoint now) -> void;
    auto detectDifference(std::size_t index, const std::string &id, const Peer &peer, TimePoint now) -> void;
    auto trackDifference(std::size_t index, bool isEqual, const std::string &id, const Peer &peer, TimePoint now) -> void;
    auto logDifference(std::size_t index, const std::string &id, const Peer &peer, TimePoint now) -> void;
    auto startRepair(std::size_t index, const Repair &repair, const std::string &seenAt) -> void;
    auto advanceRepair(std::size_t index, TimePoint now) -> void;
    auto endRepair(std::size_t index) -> void;
    auto sourcesOf(std::size_t index) -> std::vector<std::string>;
    auto readOnce(std::size_t index) -> void;
    auto note(std::string name, std::vector<std::pair<std::string, std::string>> fields) const -> void;

    TableFollowerSettings m_settings;
    TableFollowerHooks m_hooks;
    std::array<FollowedTable, FollowedTableCount> m_tables;
    std::map<std::string, Peer> m_peers;
    std::set<std::string> m_watcherIds; ///< of the peers that watch, by their last digest
    StoreWatchers m_storeWatchers;
    std::minstd_rand m_random;
    TimePoint m_now; ///< of the current event, for the hooks of the watches
    std::optional<TimePoint> m_startDeadline; ///< at start-up, tables that aren't loaded by then are read from the store
    TimePoint m_watchingSince;
    std::optional<TimePoint> m_failedAt; ///< this gateway stopped watching at this time, and the store hadn't answered it
    TimePoint m_provenAt; ///< the store last answered this gateway's own watch of the targets
    bool m_isWatching = false;
    TimePoint m_unfollowedAt; ///< when it was last unknown whether the store answers anybody
    bool m_wasFollowed = false; ///< this gateway or another one reached the store at the last advance()
    bool m_hadLiveWatcher = false; ///< another gateway was a live watcher at the last advance()
    bool m_hasStoreFailed = false; ///< calls of watchers have failed since a watcher was live
    bool m_isStarting = true; ///< the source of the tables hasn't been chosen, or not all tables have arrived
    bool m_isLoadingFromPeers = false; ///< at start-up, tables are requested from peers
};

} // namespace KingCup
