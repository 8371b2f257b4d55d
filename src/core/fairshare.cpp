#include "core/fairshare.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace KingCup
{

FairShare::FairShare(FairShareOptions options)
    : m_options(options)
{
}

auto FairShare::weight(const AccountName &account) const -> double
{
    const auto found = m_weights.find(account);
    return found == m_weights.end() ? m_smallestWeight : found->second;
}

auto FairShare::virtualTokens(const AccountName &account) const -> double
{
    const auto found = m_counters.find(account);
    return m_virtualTime + (found == m_counters.end() ? 0 : found->second.lead);
}

auto FairShare::virtualTime() const -> double
{
    return m_virtualTime;
}

auto FairShare::share(const AccountName &account) const -> double
{
    return weight(account) / std::max(static_cast<double>(m_weights.size()), 1.0);
}

auto FairShare::setAccounts(const std::vector<ClientAccount> &accounts) -> void
{
    m_weights.clear();
    m_smallestWeight = 1;
    double sum = 0;
    int count = 0;
    for (const auto &account : accounts) {
        if (account.limit.isTokenLimit()) {
            sum += account.limit.perSecond;
            ++count;
        }
    }
    for (const auto &account : accounts) {
        const double relative = account.limit.isTokenLimit() ? account.limit.perSecond * count / sum : 1;
        m_weights[account.name] = relative;
        m_smallestWeight = std::min(m_smallestWeight, relative);
    }
}

auto FairShare::setWaiting(const AccountName &account, bool isWaiting) -> void
{
    if (!isWaiting && !m_counters.contains(account)) {
        return;
    }
    m_counters[account].isWaiting = isWaiting;
    advance();
}

auto FairShare::began(const AccountName &account, double tokens, TimePoint now) -> void
{
    decay(now);
    m_counters[account].lead += std::max(tokens, 0.0) / weight(account);
    advance();
}

auto FairShare::returned(const AccountName &account, double tokens) -> void
{
    const auto found = m_counters.find(account);
    if (found != m_counters.end()) {
        found->second.lead = std::max(found->second.lead - std::max(tokens, 0.0) / weight(account), 0.0);
    }
}

/// Leads are scaled by the same factor, so the order of accounts doesn't change.
auto FairShare::decay(TimePoint now) -> void
{
    const double passed = (now - m_decayedAt).inSeconds();
    if (passed <= 0) {
        return;
    }
    const double factor = std::exp(-passed / m_options.leadDecay.inSeconds());
    for (auto &[account, counter] : m_counters) {
        counter.lead *= factor;
    }
    m_decayedAt = now;
}

/// Advances the virtual time to the smallest count of the accounts that wait, and drops the counters of accounts that neither wait nor have a lead.
auto FairShare::advance() -> void
{
    double smallest = std::numeric_limits<double>::infinity();
    for (const auto &[account, counter] : m_counters) {
        if (counter.isWaiting) {
            smallest = std::min(smallest, counter.lead);
        }
    }
    if (std::isfinite(smallest) && smallest > 0) {
        m_virtualTime += smallest;
        for (auto &[account, counter] : m_counters) {
            counter.lead = std::max(counter.lead - smallest, 0.0);
        }
    }
    std::erase_if(m_counters, [](const auto &entry) { return !entry.second.isWaiting && entry.second.lead < 1; });
}

} // namespace KingCup
