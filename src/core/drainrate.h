// The rate at which the queue of a full target drains, and the times at which rejected clients return. No I/O.
//
// The rate is the number of slots that became free recently: an exponentially weighted count. It falls by itself when the target stops finishing requests.
//
// A rejected client returns when a slot is expected to be free, and each at another time: clients that return in the same second find the same slots taken. The
// times of clients that have been rejected already are kept until they have passed.
//
// The arbiter of a target has one DrainRate for the target. It is lost with the arbiter; the next one starts with the assumed rate.
//
// Index of sections (search for [SECTION]):
//   Options     time constants and bounds
//   DrainRate   the rate and the times
#pragma once

#include "core/units.h"

#include <cstddef>
#include <optional>
#include <set>

namespace KingCup
{

// [SECTION] Options

struct DrainRateOptions {
    Duration memory = Duration::seconds(2); ///< time constant of the count; at 20 slots per second the rate then has a standard deviation of 11%
    double assumedPerSecond = 20; ///< before the first observations: a runner with 64 slots whose streams last about three seconds
    Duration maxWait = Duration::seconds(60); ///< the longest expected wait that is stated
    Duration minReturn = Duration::millis(100); ///< the shortest time to return
    /// Clients ignore a time to return longer than a third of the time that they have left. Slightly less, since some of it passes until the answer arrives.
    double maxShareOfTimeLeft = 0.32;
    Duration resolution = Duration::millis(1); ///< two times to return differ by at least this
    std::size_t maxReturns = 1024; ///< times that are kept; beyond it the latest is dropped
};

// [SECTION] DrainRate

class DrainRate
{
public:
    explicit DrainRate(TimePoint startedAt, DrainRateOptions options = {});

    // Queries
    auto perSecond(TimePoint now) const -> double; ///< slots that become free
    /// Expected time until a waiting request gets a slot. `position`: number of requests that are served before it.
    auto expectedWait(int position, TimePoint now) const -> Duration;

    // Commands
    auto slotFreed(TimePoint now) -> void;
    /// Time until a rejected client may return: when a slot is expected for it, given the requests that wait and the clients that return before it. Different
    /// for each client. Nothing: the client's time left is too short for it to return. `position` as above; `timeLeft`: until the client's deadline.
    auto returnTime(int position, Duration timeLeft, TimePoint now) -> std::optional<Duration>;

private:
    auto count(TimePoint now) const -> double;
    auto place(TimePoint wanted, TimePoint first, TimePoint last, Duration spacing) const -> TimePoint;

    DrainRateOptions m_options;
    double m_count = 0; ///< of freed slots at m_countedAt, each weighted by its age
    TimePoint m_countedAt;
    std::set<TimePoint> m_returns; ///< times at which rejected clients return
};

} // namespace KingCup
