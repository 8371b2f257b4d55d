// A caller's stream of server-sent events, assembled from the streams of one or more attempts.
//
// A stream that breaks is resumed at another target, at the number of tokens that were forwarded. Only whole events are forwarded: if half
// an event were, the caller would get that event once in part and once whole.
#pragma once

#include "core/eventstream.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace KingCup
{

class EventStream
{
public:
    EventStream();
    EventStream(const EventStream &) = delete;
    auto operator=(const EventStream &) -> EventStream & = delete;

    auto tokens() const -> std::uint64_t; ///< whole data events so far, over all attempts, without the end mark
    auto hasEnded() const -> bool; ///< the end mark "data: [DONE]" has been received

    /// Takes the next bytes of the stream; returns the events that they complete, including the end mark.
    auto feed(std::string_view bytes) -> std::string;
    /// Starts the next attempt: drops the incomplete event of the attempt that broke.
    auto beginAttempt() -> void;

private:
    std::optional<EventStreamReader> m_reader;
    std::uint64_t m_earlierTokens = 0; ///< tokens of earlier attempts
    std::string m_wholeEvents; ///< events completed by the bytes being fed
    bool m_hasEnded = false;
};

} // namespace KingCup
