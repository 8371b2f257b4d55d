// What the answers of servers together make a process hold before they are passed on, and which of them are given up when a bound is reached.
//
// Charged are heads, bodies that are collected, and parts of events that are kept until the event is whole. Sound answers hold little of these: what grows
// beyond `small` while the sum exceeds its bound is given up. Bytes that go to a caller as they come are charged to that caller (core/callerload.h).
#pragma once

#include <cstddef>
#include <cstdint>

namespace KingCup
{

struct AnswerBounds {
    std::size_t bytes = 32U << 20U; ///< held for all answers together
    std::size_t small = 16U << 10U; ///< an answer that holds at most this much is never given up
};

/// `memory`: bytes that the process may use.
auto answerBounds(std::uint64_t memory) -> AnswerBounds;

class AnswerLoad
{
public:
    explicit AnswerLoad(const AnswerBounds &bounds = {});

    auto held() const -> std::size_t;
    auto mostHeld() const -> std::size_t; ///< since the start
    auto givenUp() const -> std::uint64_t; ///< answers

    /// An answer held `before` bytes and holds `after` now. False if it is to be given up, which is counted.
    auto change(std::size_t before, std::size_t after) -> bool;

private:
    AnswerBounds m_bounds;
    std::size_t m_held = 0;
    std::size_t m_mostHeld = 0;
    std::uint64_t m_givenUp = 0;
};

} // namespace KingCup
