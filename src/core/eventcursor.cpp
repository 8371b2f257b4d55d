#include "core/eventcursor.h"

#include <algorithm>
#include <utility>

namespace KingCup
{

EventCursor::EventCursor(std::function<void(std::string_view raw)> onEvent, std::size_t maxEvent)
    : m_onEvent(std::move(onEvent))
    , m_maxEvent(maxEvent)
{
}

auto EventCursor::lastId() const -> const std::string &
{
    return m_lastId;
}

auto EventCursor::boundary() const -> const EventBoundary &
{
    return m_boundary;
}

auto EventCursor::hasPartial() const -> bool
{
    return !m_buffer.empty();
}

auto EventCursor::partialMemory() const -> std::size_t
{
    return m_buffer.empty() ? 0 : m_buffer.capacity();
}

auto EventCursor::isTooLong() const -> bool
{
    return m_boundary.openBytes() > m_maxEvent;
}

auto EventCursor::feed(std::string_view bytes) -> void
{
    while (!bytes.empty() && !isTooLong()) {
        const auto read = m_boundary.advance(bytes);
        m_buffer.append(bytes.substr(0, read));
        bytes.remove_prefix(read);
        if (m_boundary.isBetweenEvents()) {
            handleEvent(std::exchange(m_buffer, {}));
        }
    }
}

auto EventCursor::dropPartial() -> void
{
    m_buffer.clear();
    m_boundary = EventBoundary();
}

auto EventCursor::handleEvent(std::string_view raw) -> void
{
    constexpr std::string_view Key = "id:";
    std::string_view lines = raw;
    while (!lines.empty()) {
        const auto end = std::min(lines.find_first_of("\r\n"), lines.size());
        auto line = lines.substr(0, end);
        lines.remove_prefix(std::min(end + 1, lines.size()));
        if (!line.starts_with(Key)) {
            continue;
        }
        line.remove_prefix(Key.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == ' ') {
            line.remove_suffix(1);
        }
        m_lastId = std::string(line);
    }
    m_onEvent(raw);
}

} // namespace KingCup
