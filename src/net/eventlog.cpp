#include "net/eventlog.h"

#include "net/wallclock.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace KingCup
{

namespace
{

/// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t WriteBytes = 4096;

auto needsQuotes(std::string_view text) -> bool
{
    return text.empty() || text.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

auto appendValue(std::string &line, std::string_view text) -> void
{
    if (!needsQuotes(text)) {
        line.append(text);
        return;
    }
    line.push_back('"');
    for (const char c : text) {
        if (c == '"') {
            line.push_back('\'');
        } else {
            line.push_back(c == '\n' || c == '\r' || c == '\t' ? ' ' : c);
        }
    }
    line.push_back('"');
}

} // namespace

// [SECTION] LogLine

LogLine::LogLine(EventLog *log, std::string_view part, std::string_view event)
    : m_log(log)
{
    if (m_log != nullptr) {
        m_text.append("part=").append(part).append(" event=").append(event);
    }
}

LogLine::~LogLine()
{
    if (m_log != nullptr) {
        m_log->append(m_text);
    }
}

auto LogLine::add(std::string_view key, std::string_view value) -> LogLine &
{
    if (m_log != nullptr) {
        m_text.append(" ").append(key).append("=");
        appendValue(m_text, value);
    }
    return *this;
}

auto LogLine::add(std::string_view key, const char *value) -> LogLine &
{
    return add(key, std::string_view(value));
}

auto LogLine::add(std::string_view key, std::int64_t value) -> LogLine &
{
    return add(key, std::string_view(std::to_string(value)));
}

auto LogLine::add(std::string_view key, int value) -> LogLine &
{
    return add(key, std::int64_t {value});
}

auto LogLine::add(std::string_view key, std::uint64_t value) -> LogLine &
{
    return add(key, std::string_view(std::to_string(value)));
}

auto LogLine::add(std::string_view key, double value) -> LogLine &
{
    std::array<char, 48> text {};
    const int size = std::snprintf(text.data(), text.size(), "%.2f", value);
    return add(key, std::string_view(text.data(), static_cast<std::size_t>(size)));
}

auto LogLine::add(std::string_view key, bool value) -> LogLine &
{
    return add(key, std::string_view(value ? "yes" : "no"));
}

auto LogLine::add(std::string_view key, Duration value) -> LogLine &
{
    constexpr double MicrosPerMilli = 1000;
    std::array<char, 48> text {};
    const int size = std::snprintf(text.data(), text.size(), "%.1fms", static_cast<double>(value.inMicros()) / MicrosPerMilli);
    return add(key, std::string_view(text.data(), static_cast<std::size_t>(size)));
}

// [SECTION] EventLog

struct EventLog::Private {
    EventLoop &loop;
    EventLogOptions options;
    std::string pending;
    Timer flushTimer;
    TimePoint refilledAt;
    double allowance = 0; // token bucket: lines that may be written now
    std::uint64_t dropped = 0;
    std::uint64_t unreportedDrops = 0;

    Private(EventLoop &ownerLoop, EventLogOptions logOptions)
        : loop(ownerLoop)
        , options(std::move(logOptions))
        , refilledAt(loop.now())
        , allowance(options.burst)
    {
    }
    auto refill() -> void
    {
        const auto now = loop.now();
        allowance = std::min(allowance + (now - refilledAt).inSeconds() * options.linesPerSecond, options.burst);
        refilledAt = now;
    }
    auto addLine(std::string_view text) -> void
    {
        pending.append("t=").append(std::to_string(wallMillis())).append(" host=").append(options.host).append(" ");
        pending.append(text).append("\n");
    }
};

EventLog::EventLog(EventLoop &loop, EventLogOptions options)
    : d(std::make_unique<Private>(loop, std::move(options)))
{
}

EventLog::~EventLog()
{
    flush();
}

auto EventLog::droppedLines() const -> std::uint64_t
{
    return d->dropped;
}

auto EventLog::line(std::string_view part, std::string_view event) -> LogLine
{
    return {mayAppend() ? this : nullptr, part, event};
}

auto EventLog::mayAppend() -> bool
{
    d->refill();
    if (d->allowance < 1 || d->pending.size() > d->options.maxPending) {
        ++d->dropped;
        ++d->unreportedDrops;
        return false;
    }
    d->allowance -= 1;
    return true;
}

auto EventLog::append(const std::string &text) -> void
{
    if (d->unreportedDrops > 0) {
        d->addLine("part=log event=dropped lines=" + std::to_string(d->unreportedDrops));
        d->unreportedDrops = 0;
    }
    d->addLine(text);
    if (!d->flushTimer.isActive()) {
        d->flushTimer = d->loop.after(d->options.flushPeriod, [this] { flush(); });
    }
}

auto EventLog::flush() -> void
{
    std::size_t done = 0;
    while (done < d->pending.size()) {
        pollfd ready {d->options.descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const auto size = write(d->options.descriptor, d->pending.data() + done, std::min(d->pending.size() - done, WriteBytes));
        if (size <= 0) {
            break;
        }
        done += static_cast<std::size_t>(size);
    }
    d->pending.erase(0, done);
    if (!d->pending.empty()) {
        d->flushTimer = d->loop.after(d->options.flushPeriod, [this] { flush(); });
    }
}

} // namespace KingCup
