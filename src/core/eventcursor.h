// Splits a byte stream of server-sent events at the positions between two events and remembers the last event id. Bytes may arrive in pieces of any size. An
// event that was cut off must not be passed to a caller whose stream is resumed at another target. No I/O.
#pragma once

#include "core/eventboundary.h"

#include <functional>
#include <string>
#include <string_view>

namespace KingCup
{

class EventCursor
{
public:
    /// `onEvent` is called with each whole event, including the blank line at its end, and with complete lines between two events.
    explicit EventCursor(std::function<void(std::string_view raw)> onEvent, std::size_t maxEvent = 1U << 20U);

    auto lastId() const -> const std::string &; ///< id of the last whole event that had one; empty if no event had an id
    auto boundary() const -> const EventBoundary &; ///< where the bytes since the beginning of this stream, or since dropPartial(), have led
    auto hasPartial() const -> bool; ///< there are buffered bytes of an incomplete event
    auto partialMemory() const -> std::size_t; ///< bytes that these take
    auto isTooLong() const -> bool; ///< an incomplete event has more than maxEvent bytes; further bytes are ignored

    auto feed(std::string_view bytes) -> void;
    auto dropPartial() -> void; ///< the next bytes begin a new stream

private:
    auto handleEvent(std::string_view raw) -> void;

    std::function<void(std::string_view raw)> m_onEvent;
    std::size_t m_maxEvent;
    EventBoundary m_boundary;
    std::string m_buffer;
    std::string m_lastId;
};

} // namespace KingCup
