#include "core/crashreportsummary.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace KingCup
{

CrashReportSummary::CrashReportSummary(CrashReportSummaryOptions options)
    : m_options(options)
{
}

auto CrashReportSummary::add(const CrashChange &change, const std::string &source) -> void
{
    ++m_reports;
    if (m_sources.size() < m_options.maxSuspects) {
        m_sources.insert(source);
    }
    m_changes[change.subject] = change;
}

auto CrashReportSummary::take(TimePoint now) -> std::optional<CrashReportLine>
{
    if (m_reports == 0 || (m_takenAt && now - *m_takenAt < m_options.period)) {
        return std::nullopt;
    }
    m_takenAt = now;
    CrashReportLine line {.reports = std::exchange(m_reports, 0), .suspectCount = m_changes.size()};
    for (const auto &[subject, change] : m_changes) {
        line.barred += change.isBarred ? 1 : 0;
        line.cleared += change.ends == 0 ? 1 : 0;
        line.suspects.push_back(change);
    }
    std::stable_sort(line.suspects.begin(), line.suspects.end(), [](const CrashChange &left, const CrashChange &right) {
        return std::tuple(left.isBarred, left.runs, left.ends) > std::tuple(right.isBarred, right.runs, right.ends);
    });
    line.suspects.resize(std::min(line.suspects.size(), m_options.maxSuspects));
    line.sources.assign(m_sources.begin(), m_sources.end());
    m_sources.clear();
    m_changes.clear();
    return line;
}

} // namespace KingCup
