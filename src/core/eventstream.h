// A reader for server-sent events as completions use them: events of "data:" lines, of which the last is "[DONE]". Bytes may arrive in pieces of any size.
// No I/O.
//
// A completion that ends without "[DONE]" is incomplete, even if the connection was closed in an orderly way: the engine crashed or was cut off.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace KingCup
{

class EventStreamReader
{
public:
    /// Called for each event with data, except [DONE], with its data and with its bytes as received, including the blank line at the end.
    using EventHook = std::function<void(std::string_view data, std::string_view raw)>;

    explicit EventStreamReader(EventHook onEvent, std::size_t maxEvent = 1U << 20U);

    auto isDone() const -> bool; ///< [DONE] was received
    auto isMalformed() const -> bool; ///< an incomplete event has more than maxEvent bytes; further bytes are ignored
    auto partialMemory() const -> std::size_t; ///< bytes that an incomplete event takes
    auto events() const -> std::size_t; ///< events with data received so far, without [DONE]

    auto feed(std::string_view bytes) -> void;

private:
    auto handleEvent(std::string_view raw) -> void;

    EventHook m_onEvent;
    std::size_t m_maxEvent;
    std::string m_buffer;
    std::size_t m_events = 0;
    bool m_done = false;
    bool m_malformed = false;
};

} // namespace KingCup
