// Fake weight store: starts a limited number of loads a second; loads beyond its parallelism share its bandwidth.
#pragma once

#include "simclock.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace KingCup
{

struct WeightSettings {
    double loadsPerSecond = 2; ///< loads beyond this rate are throttled
    int parallelLoads = 3; ///< loads that run at full speed together
    double bytesPerSecond = 3e9; ///< full speed of one load
};

/// A load in flight; destroying the handle cancels the load without a call of `done`.
class WeightLoad
{
public:
    virtual ~WeightLoad() = default;
};

class WeightStore
{
public:
    WeightStore(SimClock &clock, WeightSettings settings);

    /// Starts a load; null if the rate limit throttles it. `done` is called once, unless the handle is destroyed first.
    auto start(std::int64_t bytes, std::function<void()> done) -> std::shared_ptr<WeightLoad>;
    auto loads() const -> std::uint64_t;
    auto throttled() const -> std::uint64_t;
    auto maxConcurrentLoads() const -> std::size_t;

private:
    struct Load;
    auto advance() -> void;
    auto schedule() -> void;

    SimClock &m_clock;
    WeightSettings m_settings;
    std::list<std::weak_ptr<Load>> m_running;
    Duration m_advancedAt;
    Timer m_next;
    double m_tokens;
    Duration m_filledAt;
    std::uint64_t m_loads = 0;
    std::uint64_t m_throttled = 0;
    std::size_t m_maxConcurrentLoads = 0;
};

} // namespace KingCup
