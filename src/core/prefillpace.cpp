#include "core/prefillpace.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr double MillisPerSecond = 1000;
constexpr int LeastTokens = 400; // below, the step's time outweighs prefill
constexpr int FewTokens = 200; // below, prefill hardly counts
constexpr double LeastPerToken = 0.002;
constexpr double MostPerToken = 0.2;
constexpr double RateDown = 0.2;
constexpr double RateUp = 0.01;
constexpr double LeastStep = 2; // milliseconds; a round trip within a region

auto approach(double &value, double seen) -> void
{
    value += (seen - value) * (seen < value ? RateDown : RateUp);
}

} // namespace

PrefillPace::PrefillPace(PrefillPaceOptions options)
    : m_options(options)
{
}

auto PrefillPace::millisPerToken(const std::string &model) const -> double
{
    const auto found = m_perToken.find(model);
    return found == m_perToken.end() ? m_options.millisPerToken : found->second;
}

auto PrefillPace::firstStepMillis(const std::string &model) const -> double
{
    const auto found = m_firstStep.find(model);
    return found == m_firstStep.end() ? m_options.firstStep.inSeconds() * MillisPerSecond : found->second;
}

auto PrefillPace::observe(const std::string &model, int prefillTokens, double took) -> void
{
    if (prefillTokens < FewTokens) {
        auto &step = m_firstStep.try_emplace(model, firstStepMillis(model)).first->second;
        approach(step, std::max(took - prefillTokens * millisPerToken(model), LeastStep));
    }
    if (prefillTokens >= LeastTokens) {
        auto &perToken = m_perToken.try_emplace(model, m_options.millisPerToken).first->second;
        approach(perToken, std::clamp((took - firstStepMillis(model)) / prefillTokens, LeastPerToken, MostPerToken));
    }
}

} // namespace KingCup
