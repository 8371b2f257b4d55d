#include "entry/eventstream.h"

namespace KingCup
{

namespace
{

constexpr auto EndEvent = "data: [DONE]\n\n";

} // namespace

EventStream::EventStream()
{
    beginAttempt();
}

auto EventStream::tokens() const -> std::uint64_t
{
    return m_earlierTokens + m_reader->events();
}

auto EventStream::hasEnded() const -> bool
{
    return m_hasEnded;
}

auto EventStream::feed(std::string_view bytes) -> std::string
{
    m_wholeEvents.clear();
    m_reader->feed(bytes);
    if (m_reader->isDone() && !m_hasEnded) {
        m_hasEnded = true;
        m_wholeEvents += EndEvent;
    }
    return std::move(m_wholeEvents);
}

auto EventStream::beginAttempt() -> void
{
    m_earlierTokens += m_reader ? m_reader->events() : 0;
    m_reader.emplace([this](std::string_view /*data*/, std::string_view raw) { m_wholeEvents.append(raw); });
}

} // namespace KingCup
