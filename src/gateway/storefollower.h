// Follows the store's tables, in a few gateways by watching it and in the others by what those pass on.
//
// Calls to the store are metered, and a watch answers once for each change. So only the gateways that rank first watch, the first of them
// passes changes on at once, and the others of them only if it doesn't. While no watcher reaches the store, more gateways watch, up to a limit; one that
// has no peers watches by itself. Where many gateways are registered, one that starts reads only their rows, and has the other tables from a peer.
// A checksum of each table in the digests shows whoever missed a change.
//
// Index of sections (search for [SECTION]):
//   Hooks           changes, trouble
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
    std::function<void(StoreTable table, const std::vector<StoredRow> &rows)> onRows; ///< changed or removed; the first time all of them
    std::function<void()> onUnreachable; ///< what is known may be out of date, or was until now
};

struct StoreFollowerSettings {
    std::string id; ///< of this gateway
    StoreWatcherOptions watchers;
    Duration watcherTimeout = Duration::millis(1000); ///< since a watcher's last digest
    Duration handoverDelay = Duration::millis(1000); ///< a watcher must be there this long before an own watch ends
    Duration fallbackDelay = Duration::millis(300); ///< the first watcher's digest must show a change by then, or the next passes it on
    Duration targetsPollTimeout
        = Duration::millis(1500); ///< of one call for targets: their heartbeats come each second or so, so silence for longer is the store's
    Duration batchDelay = Duration::millis(100); ///< the first watcher waits this long after a change of targets before it watches on
    Duration standbyBatchDelay = Duration::millis(700); ///< and the others, which only stand in
    Duration peerLoadTimeout = Duration::millis(1500); ///< at a start, for tables; then the store is read
    Duration peerRetryDelay = Duration::millis(500); ///< another peer for the same table
    Duration repairDelay = Duration::millis(600); ///< a table that differs from a watcher's for so long is asked for whole
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
    auto isWatching() const -> bool; ///< by itself
    auto isCurrent() const -> bool; ///< the store is reached, here or by a watcher that is alive
    auto liveWatchers() const -> std::vector<std::string>; ///< other gateways that reach the store

    // Commands
    auto writeDigest(Wire::GatewayDigest &digest) const -> void;
    auto onDigest(const std::string &id, const Wire::GatewayDigest &digest) -> void;
    auto onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void; ///< rows, and requests for them
    auto advance() -> void; ///< call with each digest
    auto requestFrom(const std::string &peer, StoreTable table) const -> void; ///< whole, as that gateway knows it
    /// Rows that were read by other means than the watch, as if that had brought them.
    auto mergeRows(StoreTable table, const std::vector<StoredRow> &rows) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
