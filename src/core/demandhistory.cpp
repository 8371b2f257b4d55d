#include "core/demandhistory.h"

namespace KingCup
{

DemandHistory::DemandHistory(Duration warmupTime)
    : m_warmupTime(warmupTime)
{
}

auto DemandHistory::isKnown(TimePoint now) const -> bool
{
    return m_firstRequestAt && now - *m_firstRequestAt >= m_warmupTime;
}

auto DemandHistory::lastRequestAt() const -> const std::map<std::string, TimePoint> &
{
    return m_lastRequestAt;
}

auto DemandHistory::missingSince(const ServiceName &service) const -> std::map<std::string, TimePoint>
{
    const auto found = m_missingSince.find(service);
    return found == m_missingSince.end() ? std::map<std::string, TimePoint>() : found->second;
}

auto DemandHistory::restart() -> void
{
    m_firstRequestAt.reset();
    m_lastRequestAt.clear();
    m_missingSince.clear();
}

auto DemandHistory::modelRequested(const std::string &model, TimePoint now) -> void
{
    m_lastRequestAt[model] = now;
    m_firstRequestAt = m_firstRequestAt.value_or(now);
}

auto DemandHistory::updateMissing(const ServiceName &service, const std::set<std::string> &requested, const std::set<std::string> &available, TimePoint now)
    -> void
{
    auto &missing = m_missingSince[service];
    std::erase_if(missing, [&](const auto &known) { return available.contains(known.first) || !requested.contains(known.first); });
    for (const auto &model : requested) {
        if (!available.contains(model)) {
            missing.try_emplace(model, now);
        }
    }
}

} // namespace KingCup
