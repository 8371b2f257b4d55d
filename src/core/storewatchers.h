// Which gateways watch the store themselves. Pure.
//
// Usually the first few in a ranking that all know. While none of them reaches the store, more join, the next in the ranking first, up to a limit: where
// the store refuses single hosts another one reaches it, and where it is away for all, a hundred gateways that retry would only add to its load.
#pragma once

#include "core/units.h"

#include <optional>

namespace KingCup
{

/// Where a starting gateway gets the store's tables from.
enum class TableSource {
    Store,
    Peers, ///< gateways that have them: whole tables are large, and a hundred gateways may start at once
};

struct StoreWatcherOptions {
    int baseCount = 3; ///< gateways that watch at once: two of them may lose the store in the same moment
    int maxCount = 12; ///< while nobody reaches it
    int maxDirectReaders = 40; ///< registered gateways up to which each reads the tables by itself
    Duration doubleAfter = Duration::millis(400); ///< without a watcher that reaches the store, until the number doubles
};

class StoreWatchers
{
public:
    explicit StoreWatchers(StoreWatcherOptions options = {});

    /// `isStoreReachable`: some watcher, here or elsewhere, reaches the store.
    auto advance(bool isStoreReachable, TimePoint now) -> void;
    /// Gateways that should watch now, counted from the first in the ranking.
    auto desiredWatchers(TimePoint now) const -> int;
    /// Of a gateway with so many others `ahead` in the ranking, by the rows of `registered` gateways.
    auto initialSource(int registered, int ahead) const -> TableSource;

private:
    StoreWatcherOptions m_options;
    std::optional<TimePoint> m_unreachableSince;
};

} // namespace KingCup
