// Reports what callers make a process hold, and what was refused or closed because of it: metrics, and a log line at most once a second.
#pragma once

#include "core/answerload.h"
#include "net/callerserver.h"
#include "net/metrics.h"

#include <functional>

namespace KingCup
{

/// Sets the metrics of what answers of servers make this process hold.
auto reportAnswers(Metrics &metrics, const AnswerLoad &load) -> void;

class CallerReport
{
public:
    /// What has happened since the last line.
    struct Pressure {
        std::uint64_t refused = 0; ///< requests that were refused
        std::uint64_t dropped = 0; ///< connections of callers that didn't read
        std::uint64_t replaced = 0; ///< idle or stalled connections
        std::size_t held = 0; ///< bytes, now
        std::size_t connections = 0; ///< now
    };
    using Log = std::function<void(const Pressure &pressure)>;

    CallerReport(Metrics &metrics, Log log);

    auto update(const CallerServerCounts &counts, std::size_t held, std::size_t connections, TimePoint now) -> void;

private:
    Metrics &m_metrics;
    Log m_log;
    CallerServerCounts m_logged; ///< counts at the last line
    TimePoint m_loggedAt;
};

} // namespace KingCup
