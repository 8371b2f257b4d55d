#include "net/callerreport.h"

namespace KingCup
{

namespace
{

constexpr auto LogPeriod = Duration::seconds(1);

} // namespace

auto reportAnswers(Metrics &metrics, const AnswerLoad &load) -> void
{
    metrics.set("answers_held_bytes", static_cast<double>(load.held()));
    metrics.set("answers_most_held_bytes", static_cast<double>(load.mostHeld()));
    metrics.set("answers_given_up_total", static_cast<double>(load.givenUp()));
}

CallerReport::CallerReport(Metrics &metrics, Log log)
    : m_metrics(metrics)
    , m_log(std::move(log))
{
}

auto CallerReport::update(const CallerServerCounts &counts, std::size_t held, std::size_t connections, TimePoint now) -> void
{
    m_metrics.set("callers_held_bytes", static_cast<double>(held));
    m_metrics.set("callers_connections", static_cast<double>(connections));
    m_metrics.set("callers_malformed_total", static_cast<double>(counts.malformed));
    m_metrics.set("callers_overloaded_total", static_cast<double>(counts.overloaded));
    m_metrics.set("callers_dropped_total", static_cast<double>(counts.dropped));
    m_metrics.set("callers_replaced_total", static_cast<double>(counts.replaced));
    m_metrics.set("callers_left_before_read", static_cast<double>(counts.departed));
    const Pressure pressure {
        counts.overloaded - m_logged.overloaded, counts.dropped - m_logged.dropped, counts.replaced - m_logged.replaced, held, connections};
    const bool hasChanged = pressure.refused + pressure.dropped + pressure.replaced > 0;
    if (hasChanged && now - m_loggedAt >= LogPeriod) {
        m_loggedAt = now;
        m_logged = counts;
        m_log(pressure);
    }
}

} // namespace KingCup
