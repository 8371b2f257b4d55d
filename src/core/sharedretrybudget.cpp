#include "core/sharedretrybudget.h"

#include <algorithm>

namespace KingCup
{

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetOptions options)
    : m_options(options)
{
}

auto SharedRetryBudget::countIn(const std::deque<TimePoint> &moments, TimePoint now) const -> double
{
    const auto start = std::upper_bound(moments.begin(), moments.end(), now - m_options.window);
    return static_cast<double>(moments.end() - start);
}

auto SharedRetryBudget::remaining(TimePoint now) const -> double
{
    const double share = m_options.ratio * countIn(m_requests, now) + m_options.allowance / std::max(m_gateways, 1);
    return share * m_options.safetyFactor - countIn(m_resends, now);
}

auto SharedRetryBudget::setOptions(const SharedRetryBudgetOptions &options) -> void
{
    m_options = options;
}

auto SharedRetryBudget::setGatewayCount(int live) -> void
{
    m_gateways = live;
}

auto SharedRetryBudget::requestSent(TimePoint now) -> void
{
    m_requests.push_back(now);
    trim(now);
}

auto SharedRetryBudget::requestResent(TimePoint now) -> void
{
    m_resends.push_back(now);
    trim(now);
}

auto SharedRetryBudget::trim(TimePoint now) -> void
{
    for (auto *moments : {&m_requests, &m_resends}) {
        while (!moments->empty() && moments->front() <= now - m_options.window) {
            moments->pop_front();
        }
    }
}

} // namespace KingCup
