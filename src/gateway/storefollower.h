// Connects core/tablefollower.h with the store and the other gateways: makes its calls, sends and receives its messages, and writes its decisions to the log.
//
// Index of sections (search for [SECTION]):
//   Parts           dependencies and callbacks
//   StoreFollower   the task
#pragma once

#include "core/tablefollower.h"
#include "gateway/gatewaypeers.h"
#include "gateway/storeclient.h"
#include "net/metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

struct StoreFollowerParts {
    EventLoop &loop;
    StoreClient &store;
    EventLog &log;
    Metrics &metrics;
    GatewayPeers &peers;
};

struct StoreFollowerHooks {
    std::function<void(StoreTable table, const std::vector<StoredRow> &rows)> onRows; ///< rows that were changed or removed; the first time all rows
    /// This gateway doesn't watch the store, and no other watcher is live, or one is live again: known rows may be out of date.
    std::function<void()> onUnreachable;
    std::function<void()> onStoreFailing; ///< the same, and calls of watchers to the store fail or have failed
};

// [SECTION] StoreFollower

class StoreFollower
{
public:
    StoreFollower(StoreFollowerParts parts, TableFollowerSettings settings, StoreFollowerHooks hooks);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    auto operator=(const StoreFollower &) -> StoreFollower & = delete;

    // Queries
    auto isLoaded(StoreTable table) const -> bool;
    auto isWatching() const -> bool; ///< this gateway watches the store itself
    auto followedFor() const -> Duration; ///< see TableFollower
    auto isCurrent() const -> bool; ///< this gateway or a live watcher reaches the store
    auto liveWatchers() const -> std::vector<std::string>; ///< other gateways that watch and reach the store

    // Commands
    auto writeDigest(Wire::GatewayDigest &digest) const -> void;
    auto onDigest(const std::string &id, const Wire::GatewayDigest &digest) -> void;
    auto onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void; ///< rows, and requests for tables
    auto advance() -> void; ///< call a few times a second
    auto requestFrom(const std::string &peer, StoreTable table) -> void; ///< requests the changes that the gateway knows and this one doesn't
    /// Applies rows that were read other than by the watch, and forwards them like changes from the watch.
    auto mergeRows(StoreTable table, const std::vector<StoredRow> &rows) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
