// Summaries, for the log, of what a gateway learns of suspects from reports (core/crashrepeats.h). No I/O.
//
// When many targets end together, each gateway is sent several reports for each run that ended and each probe, and a line for each of them would be most of the
// log: 41,958 lines in 34 s at 31 gateways. The gateway that reports something has logged it with its details, so that the others log one line from time to
// time.
//
// Index of sections (search for [SECTION]):
//   Options              counts and times
//   CrashReportSummary   the reports since the last line
#pragma once

#include "core/crashrepeats.h"
#include "core/crashsubjects.h"
#include "core/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct CrashReportSummaryOptions {
    Duration period = Duration::seconds(5); ///< minimum time between two lines
    std::size_t maxSuspects = 8; ///< that a line names, and gateways
};

// [SECTION] CrashReportSummary

struct CrashReportLine {
    std::size_t reports = 0; ///< records that changed what this gateway knew
    std::vector<std::string> sources; ///< gateways that sent them, or "store"
    std::vector<CrashChange> suspects; ///< the last change of each: first those that are barred, then those with most runs
    std::size_t suspectCount = 0; ///< also those that aren't named
    std::size_t barred = 0;
    std::size_t cleared = 0; ///< suspects without any end left
};

class CrashReportSummary
{
public:
    explicit CrashReportSummary(CrashReportSummaryOptions options = {});

    auto add(const CrashChange &change, const std::string &source) -> void;
    auto take(TimePoint now) -> std::optional<CrashReportLine>; ///< nothing: no line is due

private:
    CrashReportSummaryOptions m_options;
    std::optional<TimePoint> m_takenAt;
    std::size_t m_reports = 0;
    std::set<std::string> m_sources;
    std::map<CrashSubject, CrashChange> m_changes;
};

} // namespace KingCup
