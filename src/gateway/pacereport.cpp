#include "gateway/pacereport.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr double SlowFactor = 2; // at this factor a target is logged as slow
constexpr double RecoveredFactor = 1.4; // at this factor it is logged as recovered: lower, so that a target near the limit isn't logged again and again
constexpr double FastFactor = 0.7;
constexpr double MaxLines = 20; // at once
constexpr double LinesPerCall = 0.5; // 30 a minute

} // namespace

PaceReport::PaceReport(EventLog &log, Metrics &metrics)
    : m_log(log)
    , m_metrics(metrics)
    , m_mayLog(MaxLines)
{
}

auto PaceReport::logChange(const char *what, const TargetId &target, double factor) -> void
{
    if (m_mayLog < 1) {
        m_metrics.add("pace_lines_omitted_total");
        return;
    }
    --m_mayLog;
    m_log.line("pace", what).add("target", target.text()).add("factor", factor);
}

auto PaceReport::report(const DecodePace &pace, std::size_t targets, TimePoint now) -> void
{
    m_mayLog = std::min(m_mayLog + LinesPerCall, MaxLines);
    int slow = 0;
    int fast = 0;
    double slowest = 1;
    const auto factors = pace.factors(now);
    std::set<TargetId> stillSlow;
    for (const auto &[target, factor] : factors) {
        slowest = std::max(slowest, factor);
        slow += factor >= SlowFactor ? 1 : 0;
        fast += factor <= FastFactor ? 1 : 0;
        const bool wasSlow = m_slow.contains(target);
        if (factor >= SlowFactor && !wasSlow) {
            m_metrics.add("slow_targets_total");
            logChange("target-slow", target, factor);
        }
        if (wasSlow && factor <= RecoveredFactor) {
            logChange("target-recovered", target, factor);
        } else if (wasSlow || factor >= SlowFactor) {
            stillSlow.insert(target);
        }
    }
    m_slow = std::move(stillSlow); // targets that have gone or restarted are dropped
    const auto known = static_cast<double>(factors.size());
    m_metrics.set("decode_targets{speed=\"slow\"}", slow);
    m_metrics.set("decode_targets{speed=\"fast\"}", fast);
    m_metrics.set("decode_targets{speed=\"ordinary\"}", known - slow - fast);
    m_metrics.set("decode_targets{speed=\"unknown\"}", std::max(static_cast<double>(targets) - known, 0.0));
    m_metrics.set("decode_slowest_factor", slowest);
}

} // namespace KingCup
