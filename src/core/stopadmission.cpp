#include "core/stopadmission.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

AnswerTimes::AnswerTimes(AnswerTimeOptions options)
    : m_options(options)
{
}

auto AnswerTimes::ended(const std::string &route, Duration took) -> void
{
    auto &samples = m_routes[route];
    if (samples.latest.size() < m_options.samples) {
        samples.latest.push_back(took);
        return;
    }
    samples.latest[samples.next] = took;
    samples.next = (samples.next + 1) % m_options.samples;
}

auto AnswerTimes::expected(const std::string &route) const -> std::optional<Duration>
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return std::nullopt;
    }
    auto sorted = found->second.latest;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(std::ceil(m_options.share * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1] * m_options.margin;
}

auto fitsBeforeStop(const StopSchedule &stop, std::optional<Duration> expected, Duration goal, Duration timeLeft, TimePoint now) -> bool
{
    const auto assumed = now < stop.noticedAt ? goal : timeLeft;
    return now + std::min(expected.value_or(assumed), timeLeft) <= stop.endsAt;
}

} // namespace KingCup
