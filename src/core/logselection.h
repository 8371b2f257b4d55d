// Which lines of a log explain one request: its own, in the order of time over all hosts, and what the same hosts learnt of the targets that
// these lines name shortly before and after. Pure: lines go in, lines come out.
//
// A line is "t=MILLIS host=HOST part=PART event=EVENT key=value ..."; what stands before "t=" (a collector's mark) is left out, and lines
// that aren't such lines are skipped.
#pragma once

#include "core/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

struct ExplainedLine {
    std::int64_t wallMillis = 0; ///< time of day on its host; hosts' clocks may differ
    std::string host;
    std::string text; ///< without time and host
    bool hasRequestId = false; ///< bears the request's id; else of a target or the host
};

struct LogSelectionOptions {
    Duration before = Duration::seconds(3); ///< a crash, an ejection or the loss of a lease is logged within this before it shows in a request
    Duration after = Duration::seconds(1);
};

class LogSelection
{
public:
    explicit LogSelection(std::string requestId, LogSelectionOptions options = {});

    auto isFound() const -> bool; ///< some line bears the id
    auto lines() const -> std::vector<ExplainedLine>; ///< in the order of time

    /// Every line is to be given twice, all files each time: first `find()`, which learns the time and the targets, then `collect()`.
    auto find(std::string_view line) -> void;
    auto collect(std::string_view line) -> void;

private:
    auto isRelated(std::string_view line, const ExplainedLine &read) const -> bool;

    std::string m_requestId;
    LogSelectionOptions m_options;
    std::vector<std::string> m_targets;
    std::vector<std::string> m_hosts;
    std::int64_t m_from = 0;
    std::int64_t m_to = 0;
    std::vector<ExplainedLine> m_lines;
};

/// The value of a key of a log line, without quotes; empty: it has none.
auto logValue(std::string_view line, std::string_view key) -> std::string;

} // namespace KingCup
