// Simulated time of the fakes: one factor speeds up everything they do.
//
// All durations in the fakes' settings, faults and reports are simulated. With a factor of 10, a load of 5 s takes 0.5 s of wall-clock time.
#pragma once

#include "net/eventloop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>

namespace KingCup
{

class SimClock
{
public:
    /// `factor` is how many times faster than real time the fakes run; `seed` seeds random().
    SimClock(EventLoop &loop, double factor, std::uint64_t seed);

    /// Simulated time since the start of the process.
    auto now() const -> Duration;
    auto factor() const -> double;
    auto loop() -> EventLoop &;

    /// Calls `task` after `delay` of simulated time; the clock owns the timer.
    auto after(Duration delay, EventLoop::Task task) -> void;
    /// As after(), but cancelled when the handle is destroyed.
    [[nodiscard]] auto timer(Duration delay, EventLoop::Task task) -> Timer;

    /// Uniform in [0, 1).
    auto random() -> double;
    /// Uniform between both bounds.
    auto randomDuration(Duration shortest, Duration longest) -> Duration;

private:
    EventLoop &m_loop;
    double m_factor;
    TimePoint m_start;
    std::mt19937_64 m_engine;
    std::uint64_t m_nextTimer = 0;
    std::map<std::uint64_t, Timer> m_timers;
};

} // namespace KingCup
