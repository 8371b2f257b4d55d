#include "weightstore.h"

#include <algorithm>
#include <vector>

namespace KingCup
{

struct WeightStore::Load : WeightLoad {
    double remaining = 0; // bytes
    std::function<void()> done;
};

WeightStore::WeightStore(SimClock &clock, WeightSettings settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_tokens(std::max(1.0, settings.loadsPerSecond))
{
}

auto WeightStore::loads() const -> std::uint64_t
{
    return m_loads;
}

auto WeightStore::throttled() const -> std::uint64_t
{
    return m_throttled;
}

auto WeightStore::maxConcurrentLoads() const -> std::size_t
{
    return m_maxConcurrentLoads;
}

auto WeightStore::start(std::int64_t bytes, std::function<void()> done) -> std::shared_ptr<WeightLoad>
{
    advance();
    const auto now = m_clock.now();
    m_tokens = std::min(std::max(1.0, m_settings.loadsPerSecond), m_tokens + (now - m_filledAt).inSeconds() * m_settings.loadsPerSecond);
    m_filledAt = now;
    if (m_tokens < 1.0) {
        ++m_throttled;
        schedule();
        return nullptr;
    }
    m_tokens -= 1.0;
    auto load = std::make_shared<Load>();
    load->remaining = static_cast<double>(bytes);
    load->done = std::move(done);
    m_running.push_back(load);
    ++m_loads;
    m_maxConcurrentLoads = std::max(m_maxConcurrentLoads, m_running.size());
    schedule();
    return load;
}

/// Advances each load by the bytes transferred since the last call, and completes the loads that have all their bytes.
auto WeightStore::advance() -> void
{
    m_running.remove_if([](const auto &load) { return load.expired(); });
    const auto now = m_clock.now();
    const double elapsed = (now - m_advancedAt).inSeconds();
    m_advancedAt = now;
    if (m_running.empty()) {
        return;
    }
    const double share = std::min(1.0, static_cast<double>(m_settings.parallelLoads) / static_cast<double>(m_running.size()));
    std::vector<std::shared_ptr<Load>> finished;
    for (const auto &weak : m_running) {
        const auto load = weak.lock();
        load->remaining -= elapsed * m_settings.bytesPerSecond * share;
        if (load->remaining <= 1.0) {
            finished.push_back(load);
        }
    }
    m_running.remove_if([&](const auto &weak) { return weak.expired() || weak.lock()->remaining <= 1.0; });
    for (const auto &load : finished) {
        m_clock.after(Duration(), [weak = std::weak_ptr<Load>(load)] {
            if (const auto alive = weak.lock()) {
                alive->done();
            }
        });
    }
}

auto WeightStore::schedule() -> void
{
    if (m_running.empty()) {
        m_next.cancel();
        return;
    }
    const double share = std::min(1.0, static_cast<double>(m_settings.parallelLoads) / static_cast<double>(m_running.size()));
    double minRemaining = 1e18;
    for (const auto &weak : m_running) {
        if (const auto load = weak.lock()) {
            minRemaining = std::min(minRemaining, load->remaining);
        }
    }
    m_next = m_clock.timer(Duration::seconds(std::max(0.0, minRemaining) / (m_settings.bytesPerSecond * share)) + Duration::micros(10), [this] {
        advance();
        schedule();
    });
}

} // namespace KingCup
