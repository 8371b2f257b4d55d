// Structured log lines on standard output, "key=value" separated by blanks: one line for each decision that affects a request or changes
// the state of the process.
//
// Lines are buffered and written a few times a second. Writing never blocks: when the reader of the output stops reading, or lines come
// faster than the allowed rate, further lines are dropped and a line reports how many. A blocking write to the log would delay every
// request of the process, with nothing but the higher latency to show why.
//
// Index of sections (search for [SECTION]):
//   LogLine    one line while it is being composed
//   EventLog   the writer
#pragma once

#include "core/units.h"
#include "net/eventloop.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace KingCup
{

class EventLog;

// [SECTION] LogLine

/// Appended to the log when it goes out of scope: log.line("routing", "chosen").add("id", id).add("target", target);
class LogLine
{
public:
    LogLine(EventLog *log, std::string_view part, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    auto operator=(const LogLine &) -> LogLine & = delete;

    auto add(std::string_view key, std::string_view value) -> LogLine &; ///< quoted if needed
    auto add(std::string_view key, const char *value) -> LogLine &;
    auto add(std::string_view key, std::int64_t value) -> LogLine &;
    auto add(std::string_view key, int value) -> LogLine &;
    auto add(std::string_view key, std::uint64_t value) -> LogLine &;
    auto add(std::string_view key, double value) -> LogLine &; ///< two decimals
    auto add(std::string_view key, bool value) -> LogLine &;
    auto add(std::string_view key, Duration value) -> LogLine &; ///< milliseconds, one decimal

private:
    EventLog *m_log; ///< null: the line is dropped
    std::string m_text;
};

// [SECTION] EventLog

struct EventLogOptions {
    int descriptor = 1;
    std::string host; ///< written into every line
    double linesPerSecond = 1500; ///< further lines are dropped; allows about ten lines per request at the peak load that a gateway is designed for
    double burst = 4000; ///< lines that may exceed the rate at once (token bucket)
    std::size_t maxPending = 1U << 20U; ///< bytes not yet written; while there are more, lines are dropped
    Duration flushPeriod = Duration::millis(50);
};

class EventLog
{
public:
    EventLog(EventLoop &loop, EventLogOptions options);
    ~EventLog(); ///< writes what is buffered, as far as possible without blocking
    EventLog(const EventLog &) = delete;
    auto operator=(const EventLog &) -> EventLog & = delete;

    auto droppedLines() const -> std::uint64_t; ///< since the start

    auto line(std::string_view part, std::string_view event) -> LogLine;
    auto flush() -> void;

    struct Private;

private:
    friend class LogLine;
    auto append(const std::string &text) -> void;
    auto mayAppend() -> bool;
    std::unique_ptr<Private> d;
};

} // namespace KingCup
