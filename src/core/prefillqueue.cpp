#include "core/prefillqueue.h"

#include <algorithm>
#include <numeric>

namespace KingCup
{

auto pendingUpTo(const BandMillis &pending, UrgencyBand band) -> double
{
    return std::accumulate(pending.begin(), pending.begin() + static_cast<int>(band) + 1, 0.0);
}

/// Milliseconds of prefill that remain. Prefill can take longer than estimated, so at least a tenth of the estimate remains until the first token arrives.
auto PrefillQueue::PendingPrompt::left(TimePoint now) const -> double
{
    constexpr double MinShare = 0.1;
    constexpr double MillisPerSecond = 1000;
    return since ? std::max(millis - (now - *since).inSeconds() * MillisPerSecond, millis * MinShare) : millis;
}

auto PrefillQueue::byBand(TimePoint now) const -> BandMillis
{
    BandMillis sums {};
    for (const auto &prompt : m_prompts) {
        sums.at(static_cast<std::size_t>(prompt.since ? UrgencyBand::Urgent : prompt.band)) += prompt.left(now);
    }
    return sums;
}

auto PrefillQueue::waiting(UrgencyBand band) const -> int
{
    return static_cast<int>(std::count_if(m_prompts.begin(), m_prompts.end(), [&](const PendingPrompt &prompt) { return prompt.band <= band; }));
}

auto PrefillQueue::add(SendId send, UrgencyBand band, double millis, bool othersIdle, TimePoint now) -> void
{
    const bool isFirst = othersIdle && m_prompts.empty();
    m_prompts.push_back({send, band, millis, isFirst ? std::optional(now) : std::nullopt});
}

auto PrefillQueue::remove(SendId send, TimePoint now) -> void
{
    std::erase_if(m_prompts, [&](const PendingPrompt &prompt) { return prompt.send == send; });
    const bool isActive = std::any_of(m_prompts.begin(), m_prompts.end(), [](const PendingPrompt &prompt) { return prompt.since.has_value(); });
    const auto next = std::min_element(m_prompts.begin(), m_prompts.end(), [](const PendingPrompt &a, const PendingPrompt &b) { return a.band < b.band; });
    if (!isActive && next != m_prompts.end()) {
        next->since = now;
    }
}

auto RecentPrefill::within(Duration span, TimePoint now) const -> double
{
    double sum = 0;
    for (auto prompt = m_prompts.rbegin(); prompt != m_prompts.rend() && now - prompt->at < span; ++prompt) {
        sum += prompt->millis;
    }
    return sum;
}

auto RecentPrefill::add(double millis, TimePoint now) -> void
{
    constexpr auto MaxAge = Duration::seconds(1);
    std::erase_if(m_prompts, [&](const SentPrompt &prompt) { return now - prompt.at > MaxAge; });
    m_prompts.push_back({now, millis});
}

} // namespace KingCup
