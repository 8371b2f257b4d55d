// How long models' prompts take to prefill, learnt from first tokens. Pure.
//
// What is seen is mostly more than prefill alone takes, so observations below count much more than those above. The engine's first step is learnt from
// short prompts and the pace from the others: with too long a step, prefill would seem quicker than it is, and runners would get more prompts at once
// than their streams can bear.
#pragma once

#include "core/units.h"

#include <map>
#include <string>

namespace KingCup
{

struct PrefillPaceOptions {
    double millisPerToken = 0.03; ///< until it was observed; engines of the sizes in use do 20 to 200 tokens a ms
    Duration firstStep = Duration::millis(15); ///< of an engine, beside prefill; until it was observed
};

class PrefillPace
{
public:
    explicit PrefillPace(PrefillPaceOptions options = {});

    auto millisPerToken(const std::string &model) const -> double;
    auto firstStepMillis(const std::string &model) const -> double;

    /// `took`: milliseconds from a send to its first token, at a runner without a backlog.
    auto observe(const std::string &model, int prefillTokens, double took) -> void;

private:
    PrefillPaceOptions m_options;
    std::map<std::string, double> m_perToken; ///< milliseconds
    std::map<std::string, double> m_firstStep; ///< milliseconds
};

} // namespace KingCup
