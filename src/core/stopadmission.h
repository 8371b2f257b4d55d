// Which requests a process that is stopping still passes on. A request that is passed on and then cut off at the stop may have run, so that its
// client can't return elsewhere; one that is refused as not run lets any client do so. No I/O.
//
// Index of sections (search for [SECTION]):
//   AnswerTimes    how long requests have taken lately
//   StopSchedule   the stop, and what is still done before it
#pragma once

#include "core/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] AnswerTimes

struct AnswerTimeOptions {
    std::size_t samples = 64; ///< the latest of each route
    double share = 0.95; ///< of them took at most as long as is expected of the next request
    double margin = 1.25; ///< expected times are multiplied by this
};

class AnswerTimes
{
public:
    explicit AnswerTimes(AnswerTimeOptions options = {});

    /// A request of the route was answered whole, or was cut off, this long after it was sent.
    auto ended(const std::string &route, Duration took) -> void;
    /// How long the next request will take; nothing if none has ended.
    auto expected(const std::string &route) const -> std::optional<Duration>;

private:
    struct Samples {
        std::vector<Duration> latest;
        std::size_t next = 0; ///< to be replaced
    };

    AnswerTimeOptions m_options;
    std::map<std::string, Samples> m_routes;
};

// [SECTION] StopSchedule

struct StopSchedule {
    TimePoint noticedAt; ///< from then on clients come on connections that are already open only
    TimePoint endsAt; ///< what is unanswered by then is cut off
};

/// Whether a request that is passed on now can be expected to be answered before the stop. `expected`: see AnswerTimes; `goal`: of its route; `timeLeft`: the
/// time that the request still has. A request of which nothing is known is taken to meet its goal while clients are still sent here, and after that to need all
/// of its time.
auto fitsBeforeStop(const StopSchedule &stop, std::optional<Duration> expected, Duration goal, Duration timeLeft, TimePoint now) -> bool;

} // namespace KingCup
