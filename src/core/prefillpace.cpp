#include "core/prefillpace.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr double MillisPerSecond = 1000;
constexpr int MinTokensForRate = 400; // for shorter prompts, the first step takes longer than prefill
constexpr int MaxTokensForStep = 200; // for shorter prompts, prefill is negligible
constexpr double MinPerToken = 0.002; // milliseconds
constexpr double MaxPerToken = 0.2; // milliseconds
constexpr double WeightIfBelow = 0.2;
constexpr double WeightIfAbove = 0.01;
constexpr double MinStep = 2; // milliseconds: a round trip within a region

auto approach(double &value, double seen) -> void
{
    value += (seen - value) * (seen < value ? WeightIfBelow : WeightIfAbove);
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
    if (prefillTokens < MaxTokensForStep) {
        auto &step = m_firstStep.try_emplace(model, firstStepMillis(model)).first->second;
        approach(step, std::max(took - prefillTokens * millisPerToken(model), MinStep));
    }
    if (prefillTokens >= MinTokensForRate) {
        auto &perToken = m_perToken.try_emplace(model, m_options.millisPerToken).first->second;
        approach(perToken, std::clamp((took - firstStepMillis(model)) / prefillTokens, MinPerToken, MaxPerToken));
    }
}

} // namespace KingCup
