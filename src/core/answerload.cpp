#include "core/answerload.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr double MemoryShare = 0.1; ///< of a process, for answers; callers may use three times as much

} // namespace

auto answerBounds(std::uint64_t memory) -> AnswerBounds
{
    AnswerBounds bounds;
    bounds.bytes = static_cast<std::size_t>(MemoryShare * static_cast<double>(memory));
    return bounds;
}

AnswerLoad::AnswerLoad(const AnswerBounds &bounds)
    : m_bounds(bounds)
{
}

auto AnswerLoad::held() const -> std::size_t
{
    return m_held;
}

auto AnswerLoad::mostHeld() const -> std::size_t
{
    return m_mostHeld;
}

auto AnswerLoad::givenUp() const -> std::uint64_t
{
    return m_givenUp;
}

auto AnswerLoad::change(std::size_t before, std::size_t after) -> bool
{
    m_held = m_held - before + after;
    m_mostHeld = std::max(m_mostHeld, m_held);
    const bool isGivenUp = after > before && after > m_bounds.small && m_held > m_bounds.bytes;
    m_givenUp += isGivenUp ? 1 : 0;
    return !isGivenUp;
}

} // namespace KingCup
