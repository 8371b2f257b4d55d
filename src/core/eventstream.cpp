#include "core/eventstream.h"

namespace KingCup
{

namespace
{

constexpr std::string_view DonePayload = "[DONE]";

/// The position after the blank line that ends the first event; npos if that event is incomplete.
auto eventEnd(std::string_view bytes) -> std::size_t
{
    for (std::size_t at = bytes.find('\n'); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < bytes.size() && bytes[next] == '\r') {
            ++next;
        }
        if (next < bytes.size() && bytes[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

/// The values of an event's "data:" lines, joined by newlines.
auto dataOf(std::string_view event) -> std::string
{
    constexpr std::string_view Field = "data:";
    std::string data;
    bool first = true;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.substr(0, Field.size()) != Field) {
            continue;
        }
        line.remove_prefix(Field.size());
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        data.append(first ? "" : "\n").append(line);
        first = false;
    }
    return data;
}

} // namespace

EventStreamReader::EventStreamReader(EventHook onEvent, std::size_t maxEvent)
    : m_onEvent(std::move(onEvent))
    , m_maxEvent(maxEvent)
{
}

auto EventStreamReader::isDone() const -> bool
{
    return m_done;
}

auto EventStreamReader::isMalformed() const -> bool
{
    return m_malformed;
}

auto EventStreamReader::partialMemory() const -> std::size_t
{
    return m_buffer.empty() ? 0 : m_buffer.capacity();
}

auto EventStreamReader::events() const -> std::size_t
{
    return m_events;
}

auto EventStreamReader::feed(std::string_view bytes) -> void
{
    if (m_malformed) {
        return;
    }
    m_buffer.append(bytes);
    std::size_t taken = 0;
    const std::string_view all = m_buffer;
    for (std::size_t size = eventEnd(all); size != std::string_view::npos; size = eventEnd(all.substr(taken))) {
        handleEvent(all.substr(taken, size));
        taken += size;
    }
    m_buffer.erase(0, taken);
    m_malformed = m_buffer.size() > m_maxEvent;
}

auto EventStreamReader::handleEvent(std::string_view raw) -> void
{
    const std::string data = dataOf(raw);
    if (data == DonePayload) {
        m_done = true;
        return;
    }
    if (data.empty()) {
        return;
    }
    ++m_events;
    if (m_onEvent) {
        m_onEvent(data, raw);
    }
}

} // namespace KingCup
