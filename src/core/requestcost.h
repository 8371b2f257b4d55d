// Learns from answers how much of a runner's time one request of a model takes. No I/O.
//
// Step times differ many times over between models, and so do their requests. If every request counted the same, a fast model would get as many replicas as
// a slow one, and the slow one would have too few and miss its goals.
//
// The cost must not depend on how busy the runners are, nor on the placement plan. The length of an answer depends on neither; the time per byte is
// learnt from the fastest answers, because the others were slowed down by concurrent requests. If the cost were the time that answers take, a model on
// overloaded runners would seem to need more and more runners. For streams with a pause goal, the time is that of a runner with as many streams as the goal
// allows (core/streamcapacity.h): at the fastest pace for all slots, the plan would load models on too few runners, and their streams would pause. Of the
// prompt, only the request's own part counts, because a shared prefix is prefilled once for many requests. The means change slowly, so that a few very long
// prompts don't cause replicas to be moved.
#pragma once

#include "core/units.h"

#include <cstddef>
#include <map>
#include <string>

namespace KingCup
{

struct RequestCostOptions {
    double unknownSeconds = 0.025; ///< cost before the first answer: one request's share of the decode steps for some 300 tokens
    double learnRate = 0.03; ///< weight of one answer in the means
    /// Weight of the prior (`unknownSeconds`), in answers. Short answers end first: without a prior every model seems cheap for some seconds after a start.
    double priorAnswers = 30;
};

/// One completed answer.
struct ObservedAnswer {
    Duration prefill; ///< of the request's own part of the prompt, if nothing else is prefilled
    Duration streaming; ///< from the first byte to the last
    std::size_t bytes = 0;
    int slots = 1; ///< streams that the runner serves at once
    /// Runner time of the stream's events if the runner serves as many streams as the pause goal allows; 0: no pause goal, or not known.
    Duration decode;
};

class RequestCost
{
public:
    explicit RequestCost(RequestCostOptions options = {});

    // Queries
    auto seconds(const std::string &model) const -> double; ///< runner time per request
    auto meanSeconds() const -> double; ///< runner time per request, over all models
    auto prefillSeconds() const -> double; ///< mean prefill time of the request's own part of a prompt, over all models
    auto slotSeconds() const -> double; ///< mean time until the next stream ends on a full runner, over all models, from the observed durations

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
        Mean decodeSeconds; ///< runner time per stream; used once an answer had a known `decode`
        double secondsPerByte = 0; ///< of a stream on a lightly loaded runner; 0: not observed yet
        int slots = 1;

        auto learnDecode(const ObservedAnswer &answer, double rate) -> void;
        auto learnSecondsPerByte(const ObservedAnswer &answer) -> void;
        auto seconds() const -> double;
    };
    RequestCostOptions m_options;
    Mean m_all; ///< seconds of runner time per request, over all models; starts at the prior
    Mean m_prefill; ///< seconds, over all models; starts at half the prior
    Mean m_slot; ///< seconds, over all models; starts at the prior
    std::map<std::string, Model> m_models;
};

} // namespace KingCup
