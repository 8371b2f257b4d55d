// Estimates the prefill time of each model's prompts from observed times to the first token. No I/O.
//
// Most observations include more than prefill alone, so observations below the estimate weigh much more than those above it. The duration of the engine's
// first step is learnt from short prompts, the prefill rate from long ones: if the step were overestimated, prefill would appear faster than it is, and a
// runner would get so many prompts at once that its streams stall.
#pragma once

#include "core/units.h"

#include <map>
#include <string>

namespace KingCup
{

struct PrefillPaceOptions {
    double millisPerToken = 0.03; ///< before the first observation; engines of the sizes in use prefill 20 to 200 tokens per ms
    Duration firstStep = Duration::millis(15); ///< an engine's first decode step, without prefill; before the first observation
};

class PrefillPace
{
public:
    explicit PrefillPace(PrefillPaceOptions options = {});

    auto millisPerToken(const std::string &model) const -> double;
    auto firstStepMillis(const std::string &model) const -> double;

    /// `took`: milliseconds from a send to its first token, at a runner that had no backlog.
    auto observe(const std::string &model, int prefillTokens, double took) -> void;

private:
    PrefillPaceOptions m_options;
    std::map<std::string, double> m_perToken; ///< milliseconds
    std::map<std::string, double> m_firstStep; ///< milliseconds
};

} // namespace KingCup
