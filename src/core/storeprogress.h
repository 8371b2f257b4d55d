// Whether anybody still follows the store, judged by what arrives: the highest known version of a table whose rows change all the time. No I/O.
//
// A gateway that watches the store and is silently cut off from it notices so only when its watch call times out, and says until then that all is well. The
// others can see sooner that no new version arrives. How soon depends on how often versions usually arrive, which is measured.
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <deque>
#include <utility>

namespace KingCup
{

struct StoreProgressOptions {
    Duration minStall = Duration::millis(700); ///< digests of the watchers come every 200 ms; small hosts are late by as much
    Duration maxStall = Duration::seconds(60);
    double stallFactor = 1.3; ///< multiple of the longest recent time between two versions; all targets may write their rows at the same moment
    Duration memory = Duration::seconds(10); ///< how long such a time counts
    int minIntervals = 8; ///< before this many versions have arrived, nothing counts as a stall
    double unchangedFactor = 2; ///< if nothing had changed in the store, the time without a version counts as this much longer
};

class StoreProgress
{
public:
    explicit StoreProgress(StoreProgressOptions options = {});

    auto isStalled(TimePoint now) const -> bool; ///< no new version has arrived for unusually long
    auto stalledSince() const -> TimePoint; ///< the end of the usual time since the last version
    /// The version at which the last stall began; 0: none has. A watcher that isn't beyond it has been lost since then.
    auto stalledAt() const -> RowVersion;

    auto versionSeen(RowVersion version, TimePoint now) -> void; ///< of any copy of the table
    /// The store was read just now, and this is its newest version. During a stall, this shows that nothing has changed there.
    auto storeRead(RowVersion version, TimePoint now) -> void;
    auto advance(TimePoint now) -> bool; ///< call a few times a second; returns whether a stall has begun

private:
    auto stallTime() const -> Duration;
    auto addInterval(Duration interval, TimePoint now) -> void;

    StoreProgressOptions m_options;
    RowVersion m_version;
    RowVersion m_stalledAt;
    TimePoint m_advancedAt;
    /// Recent times between two versions, with the time of the later one. Only those that are longer than all later ones: their longest is the first.
    std::deque<std::pair<TimePoint, Duration>> m_intervals;
    int m_intervalCount = 0;
};

} // namespace KingCup
