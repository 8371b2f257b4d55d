#include "core/decisionlog.h"

#include <utility>

namespace KingCup
{

DecisionLog::DecisionLog(std::size_t capacity)
    : m_capacity(capacity)
{
}

auto DecisionLog::find(const std::string &subject, std::size_t maxResults) const -> std::vector<LoggedDecision>
{
    std::vector<LoggedDecision> found;
    for (auto it = m_decisions.rbegin(); it != m_decisions.rend() && found.size() < maxResults; ++it) {
        if (it->subject == subject || it->text.find(subject) != std::string::npos) {
            found.push_back(*it);
        }
    }
    return found;
}

auto DecisionLog::add(LoggedDecision decision) -> void
{
    m_decisions.push_back(std::move(decision));
    if (m_decisions.size() > m_capacity) {
        m_decisions.pop_front();
    }
}

} // namespace KingCup
