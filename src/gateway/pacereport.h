// Metrics and log lines on targets whose decode steps take longer than expected (core/decodepace.h).
#pragma once

#include "core/decodepace.h"
#include "net/eventlog.h"
#include "net/metrics.h"

#include <set>

namespace KingCup
{

class PaceReport
{
public:
    PaceReport(EventLog &log, Metrics &metrics);

    /// Call it every second. `targets`: number of known targets, whether or not their pace is known.
    auto report(const DecodePace &pace, std::size_t targets, TimePoint now) -> void;

private:
    auto logChange(const char *what, const TargetId &target, double factor) -> void;

    EventLog &m_log;
    Metrics &m_metrics;
    std::set<TargetId> m_slow; ///< logged as slow and not as recovered since
    double m_mayLog; ///< lines that may be logged now (token bucket)
};

} // namespace KingCup
