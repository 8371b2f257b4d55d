#include "core/breaker.h"

namespace KingCup
{

auto toString(BreakerState state) -> const char *
{
    switch (state) {
    case BreakerState::Closed:
        return "closed";
    case BreakerState::Open:
        return "open";
    case BreakerState::Probing:
        return "probing";
    }
    return "closed";
}

Breaker::Breaker(BreakerOptions options, std::minstd_rand::result_type seed)
    : m_options(options)
    , m_pause(options.pause)
    , m_random(seed)
{
}

auto Breaker::state() const -> BreakerState
{
    return m_state;
}

auto Breaker::mayCall(TimePoint now) const -> bool
{
    return m_state == BreakerState::Closed || (m_state == BreakerState::Open && now >= m_openUntil);
}

auto Breaker::started() -> void
{
    if (m_state == BreakerState::Open) {
        m_state = BreakerState::Probing;
    }
}

auto Breaker::succeeded() -> void
{
    // This includes the answer to a call that was started before the breaker opened: it shows that the server is available.
    m_failures = 0;
    m_pause.reset();
    m_state = BreakerState::Closed;
}

auto Breaker::failed(TimePoint now) -> void
{
    ++m_failures;
    const bool probeFailed = m_state == BreakerState::Probing;
    const bool tooMany = m_state == BreakerState::Closed && m_failures >= m_options.failuresToOpen;
    if (probeFailed || tooMany) {
        open(now);
    }
}

auto Breaker::open(TimePoint now) -> void
{
    m_state = BreakerState::Open;
    m_openUntil = now + m_pause.next(m_random);
}

} // namespace KingCup
