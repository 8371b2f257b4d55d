#include "core/requestcost.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// A shorter answer says nothing about the time per byte: its last bytes may have arrived together with its first.
constexpr auto MinStreamDuration = Duration::millis(30);
/// Answers that were faster than the estimate weigh much more than slower ones, which were delayed by other requests.
constexpr double WeightIfFaster = 0.2;
constexpr double WeightIfSlower = 0.01;

} // namespace

RequestCost::RequestCost(RequestCostOptions options)
    : m_options(options)
    , m_all {options.unknownSeconds, options.priorAnswers}
    , m_prefill {options.unknownSeconds / 2, options.priorAnswers}
    , m_slot {options.unknownSeconds, options.priorAnswers}
{
}

/// The arithmetic mean of the first answers, then an exponentially weighted one.
auto RequestCost::Mean::add(double seen, double rate) -> void
{
    ++answers;
    value += (seen - value) * std::max(rate, 1 / answers);
}

auto RequestCost::Model::learnSecondsPerByte(const ObservedAnswer &answer) -> void
{
    if (answer.streaming < MinStreamDuration || answer.bytes == 0) {
        return;
    }
    const double perByte = answer.streaming.inSeconds() / static_cast<double>(answer.bytes);
    if (secondsPerByte == 0) {
        secondsPerByte = perByte;
    }
    secondsPerByte += (perByte - secondsPerByte) * (perByte < secondsPerByte ? WeightIfFaster : WeightIfSlower);
}

auto RequestCost::Model::seconds() const -> double
{
    return prefillSeconds.value + (decodeSeconds.answers > 0 ? decodeSeconds.value : bytes.value * secondsPerByte / slots);
}

/// Answers without a known decode time count with the time at the fastest pace, but only for models that have others.
auto RequestCost::Model::learnDecode(const ObservedAnswer &answer, double rate) -> void
{
    if (answer.decode > Duration()) {
        decodeSeconds.add(answer.decode.inSeconds(), rate);
    } else if (decodeSeconds.answers > 0) {
        decodeSeconds.add(static_cast<double>(answer.bytes) * secondsPerByte / slots, rate);
    }
}

auto RequestCost::seconds(const std::string &model) const -> double
{
    const double all = m_all.value;
    const auto found = m_models.find(model);
    if (found == m_models.end()) {
        return all;
    }
    const double answers = found->second.bytes.answers;
    return (found->second.seconds() * answers + all * m_options.priorAnswers) / (answers + m_options.priorAnswers);
}

auto RequestCost::meanSeconds() const -> double
{
    return m_all.value;
}

auto RequestCost::prefillSeconds() const -> double
{
    return m_prefill.value;
}

auto RequestCost::slotSeconds() const -> double
{
    return m_slot.value;
}

auto RequestCost::observe(const std::string &model, const ObservedAnswer &answer) -> void
{
    auto &own = m_models[model];
    own.slots = std::max(answer.slots, 1);
    own.prefillSeconds.add(answer.prefill.inSeconds(), m_options.learnRate);
    own.bytes.add(static_cast<double>(answer.bytes), m_options.learnRate);
    own.learnSecondsPerByte(answer);
    own.learnDecode(answer, m_options.learnRate);
    m_all.add(own.seconds(), m_options.learnRate);
    m_prefill.add(answer.prefill.inSeconds(), m_options.learnRate);
    m_slot.add(answer.streaming.inSeconds() / own.slots, m_options.learnRate);
}

} // namespace KingCup
