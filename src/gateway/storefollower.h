// Keeps local copies of the store's tables up to date. A few gateways watch the store and forward the changes to the others.
//
// Calls to the store are metered, and a watch answers once for each change. So only the gateways that rank first by rendezvous hashing watch. The first of them
// forwards changes at once; the other watchers forward a change only if the first doesn't. While no watcher reaches the store, more gateways watch, up to a
// limit; a gateway without peers watches by itself. Where many gateways are registered, a starting gateway reads only the gateways' rows and gets the other
// tables from a peer. Digests carry a checksum of each table, by which a gateway detects that it has missed a change.
//
// Index of sections (search for [SECTION]):
//   Hooks           callbacks and settings
//   StoreFollower   the task
#pragma once

#include "core/rowmirror.h"
#include "core/storewatchers.h"
#include "gateway/gatewaypeers.h"
#include "gateway/storeclient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Hooks

struct StoreFollowerHooks {
    std::function<void(StoreTable table, const std::vector<StoredRow> &rows)> onRows; ///< rows that were changed or removed; the first time all rows
    /// This gateway doesn't watch the store, and no other watcher is live, or one is live again: known rows may be out of date.
    std::function<void()> onUnreachable;
};

struct StoreFollowerSettings {
    std::string id; ///< of this gateway
    StoreWatcherOptions watchers;
    Duration watcherTimeout = Duration::millis(1000); ///< a watcher without a digest for this long no longer counts as live
    Duration handoverDelay = Duration::millis(1000); ///< the first watcher must be live for this long before this gateway stops its own watch
    Duration fallbackDelay = Duration::millis(300); ///< the first watcher's digest must show a change by then, or the other watchers forward it
    /// Longest wait of a watch call for targets. Their heartbeats come about once a second, so a longer silence means that the store is unreachable.
    Duration targetsPollTimeout = Duration::millis(1500);
    Duration batchDelay = Duration::millis(100); ///< the first watcher waits this long after a change of targets before its next watch call
    Duration standbyBatchDelay = Duration::millis(700); ///< the same for the other watchers, which only back up the first
    Duration peerLoadTimeout = Duration::millis(1500); ///< at start-up, tables that no peer has sent within this time are read from the store
    Duration peerRetryDelay = Duration::millis(500); ///< at start-up, a table that hasn't arrived within this time is requested again, from any peer
    Duration repairDelay = Duration::millis(600); ///< a table whose checksum differs from the first watcher's for this long is fetched whole
};

// [SECTION] StoreFollower

class StoreFollower
{
public:
    StoreFollower(EventLoop &loop, StoreClient &store, EventLog &log, GatewayPeers &peers, StoreFollowerSettings settings, StoreFollowerHooks hooks);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    auto operator=(const StoreFollower &) -> StoreFollower & = delete;

    // Queries
    auto isLoaded(StoreTable table) const -> bool;
    auto isWatching() const -> bool; ///< this gateway watches the store itself
    auto isCurrent() const -> bool; ///< this gateway or a live watcher reaches the store
    auto liveWatchers() const -> std::vector<std::string>; ///< other gateways that watch and reach the store

    // Commands
    auto writeDigest(Wire::GatewayDigest &digest) const -> void;
    auto onDigest(const std::string &id, const Wire::GatewayDigest &digest) -> void;
    auto onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void; ///< rows, and requests for tables
    auto advance() -> void; ///< call a few times a second
    auto requestFrom(const std::string &peer, StoreTable table) const -> void; ///< the whole table, as that gateway knows it
    /// Applies rows that were read other than by the watch, and forwards them like changes from the watch.
    auto mergeRows(StoreTable table, const std::vector<StoredRow> &rows) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
