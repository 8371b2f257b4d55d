// Events of a stream, whole ones with their ids, whatever pieces their bytes come in: an event that was cut must not reach a caller whose
// stream goes on at another target. Pure.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace KingCup
{

class EventCursor
{
public:
    /// `onEvent` sees each whole event, its blank line included.
    explicit EventCursor(std::function<void(std::string_view raw)> onEvent, std::size_t maxEvent = 1U << 20U);

    auto lastId() const -> const std::string &; ///< of the last whole event; empty: none had one
    auto hasPartial() const -> bool; ///< bytes of an event that isn't whole
    auto isTooLong() const -> bool; ///< an event is longer than maxEvent; nothing more is read

    auto feed(std::string_view bytes) -> void;
    auto dropPartial() -> void;

private:
    auto handleEvent(std::string_view raw) -> void;

    std::function<void(std::string_view raw)> m_onEvent;
    std::size_t m_maxEvent;
    std::string m_buffer;
    std::string m_lastId;
    bool m_isTooLong = false;
};

} // namespace KingCup
