// What one request of a model takes of a runner: a share of its time, as answers have shown. Pure.
//
// Models differ many times over in how long their steps take, and so do their requests. With every request counted the same, a model that is quick
// got copies as if it were slow, and the slow one beside it was late for want of them.
//
// What is counted doesn't depend on how full the runners are, nor on the plan's own doings. An answer's length is what it is; the time for each byte of it
// is taken from the quickest answers, as the others were held up by their neighbours. Counted by the time that answers took, a model on runners that are
// too full would seem to need ever more of them. Of the prompt only the request's own part counts, as shared beginnings are read once for many; and the
// means move slowly, so that a few very long prompts don't move copies about.
#pragma once

#include "core/units.h"

#include <cstddef>
#include <map>
#include <string>

namespace KingCup
{

struct RequestCostOptions {
    double unknownSeconds = 0.025; ///< until anything was seen: a share of the steps of some three hundred tokens
    double learnRate = 0.03; ///< weight of one answer in the means
    /// What is not known yet counts like this many answers. Short answers end first: without it everything seems cheap for some seconds after a start.
    double priorAnswers = 30;
};

/// One answer as it was seen.
struct ObservedAnswer {
    Duration prefill; ///< of its own part of the prompt, where nothing else is prefilled
    Duration streaming; ///< from its first bytes to its last
    std::size_t bytes = 0;
    int slots = 1; ///< streams that its runner has under way at once
};

class RequestCost
{
public:
    explicit RequestCost(RequestCostOptions options = {});

    // Queries
    auto seconds(const std::string &model) const -> double; ///< of a runner, per request
    auto prefillSeconds() const -> double; ///< of one prompt, over all models
    auto slotSeconds() const -> double; ///< between two streams that end on a full runner, over all models, as answers took

    // Commands
    auto observe(const std::string &model, const ObservedAnswer &answer) -> void;

private:
    struct Mean {
        double value = 0;
        double answers = 0;

        auto add(double seen, double rate) -> void;
    };
    struct Model {
        Mean prefillSeconds;
        Mean bytes;
        double secondsPerByte = 0; ///< of one stream among few; 0: not seen yet
        int slots = 1;

        auto learnSecondsPerByte(const ObservedAnswer &answer) -> void;
        auto seconds() const -> double;
    };
    RequestCostOptions m_options;
    Mean m_all; ///< begins as if the unknown had been seen
    Mean m_prefill; ///< likewise
    Mean m_slot; ///< likewise
    std::map<std::string, Model> m_models;
};

} // namespace KingCup
