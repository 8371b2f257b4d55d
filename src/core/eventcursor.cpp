#include "core/eventcursor.h"

namespace KingCup
{

namespace
{

/// The position after the blank line that ends the first event; npos if that event is incomplete.
auto eventEnd(std::string_view text) -> std::size_t
{
    for (std::size_t i = 0; i + 1 < text.size(); ++i) {
        if (text[i] != '\n') {
            continue;
        }
        if (text[i + 1] == '\n') {
            return i + 2;
        }
        if (text[i + 1] == '\r' && i + 2 < text.size() && text[i + 2] == '\n') {
            return i + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

EventCursor::EventCursor(std::function<void(std::string_view raw)> onEvent, std::size_t maxEvent)
    : m_onEvent(std::move(onEvent))
    , m_maxEvent(maxEvent)
{
}

auto EventCursor::lastId() const -> const std::string &
{
    return m_lastId;
}

auto EventCursor::hasPartial() const -> bool
{
    return !m_buffer.empty();
}

auto EventCursor::isTooLong() const -> bool
{
    return m_isTooLong;
}

auto EventCursor::feed(std::string_view bytes) -> void
{
    if (m_isTooLong) {
        return;
    }
    m_buffer.append(bytes);
    std::size_t begin = 0;
    for (auto size = eventEnd(m_buffer); size != std::string_view::npos; size = eventEnd(std::string_view(m_buffer).substr(begin))) {
        handleEvent(std::string_view(m_buffer).substr(begin, size));
        begin += size;
    }
    m_buffer.erase(0, begin);
    m_isTooLong = m_buffer.size() > m_maxEvent;
}

auto EventCursor::dropPartial() -> void
{
    m_buffer.clear();
}

auto EventCursor::handleEvent(std::string_view raw) -> void
{
    constexpr std::string_view Key = "id:";
    std::string_view lines = raw;
    while (!lines.empty()) {
        const auto end = std::min(lines.find('\n'), lines.size());
        auto line = lines.substr(0, end);
        lines.remove_prefix(std::min(end + 1, lines.size()));
        if (!line.starts_with(Key)) {
            continue;
        }
        line.remove_prefix(Key.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
            line.remove_suffix(1);
        }
        m_lastId = std::string(line);
    }
    m_onEvent(raw);
}

} // namespace KingCup
