// Server-sent events, as far as completions use them: events of "data:" lines, the last one "[DONE]". Pure; bytes may arrive in any
// pieces.
//
// A completion that ends without its [DONE] isn't whole: the engine died or was cut off, however orderly the connection closed.
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
    /// `onEvent` sees the data of each event but [DONE], and the event's bytes as they were sent, blank line included.
    using EventHook = std::function<void(std::string_view data, std::string_view raw)>;

    explicit EventStreamReader(EventHook onEvent, std::size_t maxEvent = 1U << 20U);

    auto isDone() const -> bool; ///< [DONE] was seen
    auto isMalformed() const -> bool; ///< an event is longer than maxEvent; nothing more is read
    auto events() const -> std::size_t; ///< seen so far, without [DONE]

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
