#include "core/demandhistory.h"

namespace KingCup
{

DemandHistory::DemandHistory(Duration knownAfter)
    : m_knownAfter(knownAfter)
{
}

auto DemandHistory::isKnown(TimePoint now) const -> bool
{
    return m_firstAskedAt && now - *m_firstAskedAt >= m_knownAfter;
}

auto DemandHistory::lastAsked() const -> const std::map<std::string, TimePoint> &
{
    return m_lastAsked;
}

auto DemandHistory::missingSince(const ServiceName &service) const -> std::map<std::string, TimePoint>
{
    const auto found = m_missingSince.find(service);
    return found == m_missingSince.end() ? std::map<std::string, TimePoint>() : found->second;
}

auto DemandHistory::restart() -> void
{
    m_firstAskedAt.reset();
    m_lastAsked.clear();
    m_missingSince.clear();
}

auto DemandHistory::modelAsked(const std::string &model, TimePoint now) -> void
{
    m_lastAsked[model] = now;
    m_firstAskedAt = m_firstAskedAt.value_or(now);
}

auto DemandHistory::noteMissing(const ServiceName &service, const std::set<std::string> &asked, const std::set<std::string> &there, TimePoint now) -> void
{
    auto &missing = m_missingSince[service];
    std::erase_if(missing, [&](const auto &known) { return there.contains(known.first) || !asked.contains(known.first); });
    for (const auto &model : asked) {
        if (!there.contains(model)) {
            missing.try_emplace(model, now);
        }
    }
}

} // namespace KingCup
