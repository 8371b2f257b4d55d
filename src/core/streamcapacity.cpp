#include "core/streamcapacity.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

namespace
{

constexpr double MicrosPerMilli = 1000;
constexpr double MillisPerSecond = 1000;

auto toMillis(Duration span) -> double
{
    return static_cast<double>(span.inMicros()) / MicrosPerMilli;
}

/// Milliseconds of lateness of one stream whose events take `millis` on average.
auto lateness(double millis, double goal, const StreamCapacityOptions &options) -> double
{
    const double over = std::max(millis / goal - options.latenessOnset, 0.0);
    return options.latenessWeight * goal * over * over;
}

} // namespace

auto EventPace::millis(double runs) const -> double
{
    return factor * time.at({runs, prefillMillis});
}

auto streamCapacity(const EventPace &pace, Duration pauseGoal, int slots, const StreamCapacityOptions &options) -> int
{
    const int floor = std::min(options.minCapacity, slots);
    if (pauseGoal <= Duration()) {
        return slots;
    }
    const double perRun = pace.factor * pace.time.perRun;
    const double left = toMillis(pauseGoal) - pace.millis(0);
    if (left < perRun * floor) {
        return floor;
    }
    return left >= perRun * slots ? slots : std::max(static_cast<int>(std::floor(left / perRun)), floor);
}

auto addedLateness(const EventPace &pace, Duration pauseGoal, double runs, double prefillMillis, const StreamCapacityOptions &options) -> double
{
    if (pauseGoal <= Duration()) {
        return 0;
    }
    const double goal = toMillis(pauseGoal);
    const EventPace during {pace.time, pace.factor, pace.prefillMillis + prefillMillis};
    const double after = lateness(during.millis(runs + 1), goal, options);
    const double before = lateness(pace.millis(runs), goal, options);
    return after + runs * (after - before) + options.delayWeight * pace.time.perRun * runs;
}

auto streamCost(const EventTime &time, Duration pauseGoal, int slots, double events, const StreamCapacityOptions &options) -> Duration
{
    const int runs = std::max(streamCapacity({time, 1, 0}, pauseGoal, slots, options), 1);
    return Duration::seconds(events * time.at({static_cast<double>(runs), 0}) / runs / MillisPerSecond);
}

} // namespace KingCup
