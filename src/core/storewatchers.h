// Decides which gateways watch the store themselves. No I/O.
//
// Normally these are the first few of a ranking that is the same on all gateways. While none of them reaches the store, the next ones in the ranking join,
// up to a limit: if the store refuses only some hosts, a gateway on another host reaches it. The limit is for a store that is unavailable to all: retries
// of a hundred gateways would only add to its load. When the limit is reached, the gateways take turns in the order of the ranking.
#pragma once

#include "core/units.h"

#include <optional>

namespace KingCup
{

/// Where a starting gateway gets the contents of the store's tables from.
enum class TableSource {
    Store,
    Peers, ///< from gateways that have them: whole tables are large, and a hundred gateways may start at the same time
};

struct StoreWatcherOptions {
    int baseCount = 3; ///< gateways that watch normally: two of them may lose the store at the same time
    int maxCount = 12; ///< limit while no watcher reaches the store
    int maxDirectReaders = 40; ///< with at most this many registered gateways, each reads the tables from the store
    Duration doubleAfter = Duration::millis(400); ///< time without a watcher that reaches the store after which the number doubles
    Duration turn = Duration::millis(400); ///< how long half of `maxCount` gateways try before the next ones do, as turns of different gateways overlap
};

class StoreWatchers
{
public:
    explicit StoreWatchers(StoreWatcherOptions options = {});

    /// Updates the state; call periodically. `isStoreReachable`: some watcher, this gateway or another, reaches the store. `since`: if not, since when.
    auto advance(bool isStoreReachable, TimePoint since) -> void;
    /// The number of gateways that should watch now.
    auto desiredWatchers(TimePoint now) const -> int;
    /// Whether a gateway should watch now: `ahead` of `gateways` come before it in the ranking.
    auto isDesired(int ahead, int gateways, TimePoint now) const -> bool;
    /// The source for a gateway that starts: `registered` gateways have rows in the store, `ahead` of them come before this one in the ranking.
    auto initialSource(int registered, int ahead) const -> TableSource;

private:
    auto fullSince() const -> std::optional<TimePoint>;

    StoreWatcherOptions m_options;
    std::optional<TimePoint> m_unreachableSince;
};

} // namespace KingCup
