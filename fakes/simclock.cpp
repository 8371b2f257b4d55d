#include "simclock.h"

namespace KingCup
{

SimClock::SimClock(EventLoop &loop, double factor, std::uint64_t seed)
    : m_loop(loop)
    , m_factor(factor)
    , m_start(loop.now())
    , m_engine(seed)
{
}

auto SimClock::now() const -> Duration
{
    return (m_loop.now() - m_start) * m_factor;
}

auto SimClock::factor() const -> double
{
    return m_factor;
}

auto SimClock::loop() -> EventLoop &
{
    return m_loop;
}

auto SimClock::after(Duration delay, EventLoop::Task task) -> void
{
    const auto id = m_nextTimer++;
    m_timers[id] = timer(delay, [this, id, task = std::move(task)] {
        m_timers.erase(id);
        task();
    });
}

auto SimClock::timer(Duration delay, EventLoop::Task task) -> Timer
{
    return m_loop.after(delay * (1.0 / m_factor), std::move(task));
}

auto SimClock::random() -> double
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

auto SimClock::randomDuration(Duration shortest, Duration longest) -> Duration
{
    return shortest + (longest - shortest) * random();
}

} // namespace KingCup
