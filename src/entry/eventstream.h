// Cuts a stream of server-sent events into whole events, and counts the tokens among them.
//
// Why: a stream that breaks is resumed elsewhere at the number of tokens that were passed on. Were half an event passed on, the
// caller would get it once in part and once whole.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace KingCup
{

class EventStream
{
public:
    auto tokens() const -> std::uint64_t; ///< whole data events so far, the end mark not counted
    auto hasEnded() const -> bool; ///< the end mark "data: [DONE]" was met

    /// Takes bytes as they come; returns the whole events that they complete.
    auto feed(std::string_view bytes) -> std::string;
    /// Forgets a half event: its stream broke.
    auto dropPartial() -> void;

private:
    auto count(std::string_view event) -> void;

    std::string m_partial;
    std::uint64_t m_tokens = 0;
    bool m_hasEnded = false;
};

} // namespace KingCup
