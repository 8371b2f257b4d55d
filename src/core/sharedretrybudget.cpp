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

auto SharedRetryBudget::left(TimePoint now) const -> double
{
    const double share = m_options.ratio * countIn(m_requests, now) + m_options.allowance / std::max(m_entries, 1);
    return share * m_options.caution - countIn(m_again, now);
}

auto SharedRetryBudget::setOptions(const SharedRetryBudgetOptions &options) -> void
{
    m_options = options;
}

auto SharedRetryBudget::setEntries(int live) -> void
{
    m_entries = live;
}

auto SharedRetryBudget::requested(TimePoint now) -> void
{
    m_requests.push_back(now);
    trim(now);
}

auto SharedRetryBudget::sentAgain(TimePoint now) -> void
{
    m_again.push_back(now);
    trim(now);
}

auto SharedRetryBudget::trim(TimePoint now) -> void
{
    for (auto *moments : {&m_requests, &m_again}) {
        while (!moments->empty() && moments->front() <= now - m_options.window) {
            moments->pop_front();
        }
    }
}

} // namespace KingCup
