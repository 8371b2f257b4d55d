// Selects the log lines that explain one request: the lines with its id on all hosts, ordered by time, and lines from shortly before and after about
// its targets or about the state of its hosts as a whole. No I/O: lines in, lines out.
//
// A line has the form "t=MILLIS host=HOST part=PART event=EVENT key=value ...". A log collector's prefix before "t=" is removed, and lines of another
// form are skipped.
#pragma once

#include "core/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

struct ExplainedLine {
    std::int64_t wallMillis = 0; ///< wall-clock time on the line's host; clocks of hosts may differ
    std::string host;
    std::string text; ///< without time and host
    bool hasRequestId = false; ///< otherwise the line is about a target or the host
};

struct LogSelectionOptions {
    Duration before = Duration::seconds(3); ///< before the request's first line; a crash, ejection or lost lease affects a request within this time
    Duration after = Duration::seconds(1); ///< after the request's last line
};

class LogSelection
{
public:
    explicit LogSelection(std::string requestId, LogSelectionOptions options = {});

    auto isFound() const -> bool; ///< find() was called with a line of the request
    auto lines() const -> std::vector<ExplainedLine>; ///< ordered by time

    /// Pass every line of all files twice: first to find(), which determines the request's time span, hosts and targets, then to collect().
    auto find(std::string_view line) -> void;
    auto collect(std::string_view line) -> void;

private:
    auto isRelated(std::string_view line, const ExplainedLine &read) const -> bool;

    std::string m_requestId;
    LogSelectionOptions m_options;
    std::vector<std::string> m_targets;
    std::vector<std::string> m_hosts;
    std::int64_t m_from = 0; ///< time of the request's first line
    std::int64_t m_to = 0; ///< time of the request's last line
    std::vector<ExplainedLine> m_lines;
};

/// The value of a key in a log line, without quotes; empty if the line doesn't have the key.
auto logValue(std::string_view line, std::string_view key) -> std::string;

} // namespace KingCup
