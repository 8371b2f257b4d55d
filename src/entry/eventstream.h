// A caller's stream of server-sent events, put together from the streams of one or more attempts.
//
// Why: a stream that breaks is resumed elsewhere at the number of tokens that were passed on. Were half an event passed on, the
// caller would get it once in part and once whole.
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

    auto tokens() const -> std::uint64_t; ///< whole data events so far, over all attempts, the end mark not counted
    auto hasEnded() const -> bool; ///< the end mark "data: [DONE]" was met

    /// Takes bytes as they come; returns the whole events that they complete, the end mark included.
    auto feed(std::string_view bytes) -> std::string;
    /// Drops a half event: its attempt broke. The next bytes are another attempt's.
    auto beginAttempt() -> void;

private:
    std::optional<EventStreamReader> m_reader;
    std::uint64_t m_earlierTokens = 0; ///< tokens of earlier attempts
    std::string m_wholeEvents; ///< events completed by the bytes being fed
    bool m_hasEnded = false;
};

} // namespace KingCup
