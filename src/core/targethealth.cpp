#include "core/targethealth.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

namespace
{

constexpr double MaxSlowness = 10;
constexpr double SlownessHalfLife = 3; // seconds; a runner that crashed or was slowed down recovers within a few seconds
constexpr double SlownessRate = 0.15; // weight of one observation: some ten requests distinguish a slow target from chance
constexpr double FailureRate = 0.3; // weight of one observation: three failures in a row bring a healthy target over DispatchOptions::failureThreshold

} // namespace

TargetHealth::TargetHealth(TargetHealthOptions options, TimePoint now)
    : m_options(options)
    , m_failuresAt(now)
{
}

auto TargetHealth::failures(TimePoint now) const -> double
{
    const double halves = (now - m_failuresAt).inSeconds() / m_options.failureHalfLife.inSeconds();
    return m_failures * std::exp2(-std::max(halves, 0.0));
}

auto TargetHealth::slowness(TimePoint now) const -> double
{
    const double halves = std::max((now - m_slownessAt).inSeconds(), 0.0) / SlownessHalfLife;
    return 1 + (m_slowness - 1) * std::exp2(-halves);
}

auto TargetHealth::isEjected(TimePoint now) const -> bool
{
    return m_ejections > 0 && now < m_ejectedUntil;
}

auto TargetHealth::wasEjected(TimePoint now, Duration ago) const -> bool
{
    return m_ejections > 0 && now < m_ejectedUntil + ago;
}

auto TargetHealth::needsProbe() const -> bool
{
    return m_ejections > 0;
}

auto TargetHealth::probe() const -> SendId
{
    return m_probe;
}

auto TargetHealth::succeededAt() const -> TimePoint
{
    return m_succeededAt;
}

auto TargetHealth::observeSlowness(double ratio, TimePoint now) -> void
{
    m_slowness = slowness(now) + (std::clamp(ratio, 1.0, MaxSlowness) - slowness(now)) * SlownessRate;
    m_slownessAt = now;
}

auto TargetHealth::observe(bool isFailure, TimePoint now) -> void
{
    m_failures = failures(now) * (1 - FailureRate) + (isFailure ? FailureRate : 0);
    m_failuresAt = now;
}

auto TargetHealth::eject(TimePoint now) -> void
{
    if (now < m_ejectedUntil) {
        return; // the request that got no answer was sent before the ejection
    }
    m_ejectedUntil = now + std::min(m_options.firstEjection * std::exp2(m_ejections), m_options.maxEjectionTime);
    ++m_ejections;
}

auto TargetHealth::recordSuccess(TimePoint now) -> void
{
    m_ejections = 0;
    m_succeededAt = now;
}

auto TargetHealth::beginProbe(SendId send) -> void
{
    m_probe = send;
}

} // namespace KingCup
