// Index of sections (search for [SECTION]):
//   Evidence     a mean of recent observations
//   StepFit      one model's times, fitted to observations
//   DecodePace   models and targets
#include "core/decodepace.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

namespace
{

constexpr double EvidenceSeconds = 0.2; // time constant: a target that becomes slow must be known within a second, reports included
constexpr double MaxEvidenceStep = 1; // logarithmic distance of one observation from the mean, limited so that one pause alone doesn't mark a target as slow
constexpr double MinEvidenceWeight = 2; // an observation moves the mean by at most half of its distance, also if there are no other recent ones
constexpr double MaxLogFactor = 3; // a factor of 20
constexpr double ForgettingPerObservation = 0.997; // the fit's memory is about 300 observations
constexpr double PriorSlope = 0.02; // of the base, for each run: used while the number of runs doesn't vary. A full batch of 64 about doubles a step
constexpr double PriorObservations = 3; // weight of the prior slope and of prefill having no effect
constexpr double PriorRunsSpread = 10; // runs by which the observations must vary to outweigh the prior
constexpr double PriorPrefillMillis = 30; // pending prefill at which observations outweigh the prior
constexpr double MaxRatioToFit = 3; // observed to expected time
constexpr double MaxPrefillMillis = 500; // of the pending prefill, counts up to here: it delays no single event for longer
constexpr int MinObservationsToLimit = 8;
constexpr auto ReferenceLifetime = Duration::millis(50);
constexpr auto ModelTargetLifetime = Duration::seconds(30); // a target where the model wasn't observed for longer isn't compared with others
constexpr std::size_t MaxModelTargets = 64;
constexpr auto ReportedFor = Duration::seconds(1); // events of a slow target may be hundreds of milliseconds apart
constexpr auto ReportDelay = Duration::seconds(1); // for this long after a restart, reports may concern the earlier incarnation

} // namespace

auto EventTime::at(const DecodeLoad &load) const -> double
{
    return base + perRun * load.runs + prefillShare * std::min(load.prefillMillis, MaxPrefillMillis);
}

// [SECTION] Evidence

auto Evidence::mean() const -> double
{
    return m_mean;
}

auto Evidence::weight(TimePoint now) const -> double
{
    return m_weight * std::exp(-(now - m_at).inSeconds() / EvidenceSeconds);
}

auto Evidence::observedAt() const -> TimePoint
{
    return m_at;
}

auto Evidence::add(double logRatio, double weight, TimePoint now) -> void
{
    m_weight = this->weight(now) + weight;
    m_mean += std::clamp(logRatio - m_mean, -MaxEvidenceStep, MaxEvidenceStep) * weight / std::max(m_weight, MinEvidenceWeight);
    m_mean = std::clamp(m_mean, -MaxLogFactor, MaxLogFactor);
    m_at = now;
}

// [SECTION] StepFit

auto StepFit::observations() const -> int
{
    return m_observations;
}

auto StepFit::time() const -> EventTime
{
    return m_time;
}

auto StepFit::meanPrefill() const -> double
{
    return m_meanPrefill;
}

auto StepFit::observe(const DecodeLoad &load, double millis) -> void
{
    const double expected = m_time.at(load);
    const bool isLimited = m_observations >= MinObservationsToLimit;
    const double seen = isLimited ? std::clamp(millis, expected / MaxRatioToFit, expected * MaxRatioToFit) : millis;
    const double scale = std::max(m_observations > 0 ? expected : millis, 1.0);
    const double prefill = std::min(load.prefillMillis, MaxPrefillMillis);
    const std::array<double, Terms> terms {1 + PriorSlope * load.runs, load.runs, prefill};
    for (std::size_t i = 0; i < Terms; ++i) {
        for (std::size_t j = 0; j < Terms; ++j) {
            m_normal.at(i).at(j) = m_normal.at(i).at(j) * ForgettingPerObservation + terms.at(i) * terms.at(j) / (scale * scale);
        }
        m_products.at(i) = m_products.at(i) * ForgettingPerObservation + terms.at(i) * seen / (scale * scale);
    }
    ++m_observations;
    m_meanPrefill += (prefill - m_meanPrefill) * std::max(1 - ForgettingPerObservation, 1.0 / m_observations);
    solve();
}

namespace
{

/// Solves the equations of the given terms by elimination; the other terms are 0. The matrix is positive definite because of the prior.
template<std::size_t Size>
auto solveTerms(std::array<std::array<double, Size>, Size> matrix, std::array<double, Size> right, const std::array<bool, Size> &isUsed)
    -> std::array<double, Size>
{
    for (std::size_t pivot = 0; pivot < Size; ++pivot) {
        for (std::size_t row = pivot + 1; row < Size && isUsed.at(pivot); ++row) {
            const double factor = matrix.at(row).at(pivot) / matrix.at(pivot).at(pivot);
            for (std::size_t column = pivot; column < Size; ++column) {
                matrix.at(row).at(column) -= factor * matrix.at(pivot).at(column);
            }
            right.at(row) -= factor * right.at(pivot);
        }
    }
    std::array<double, Size> found {};
    for (std::size_t row = Size; row-- > 0;) {
        if (!isUsed.at(row)) {
            continue;
        }
        double rest = right.at(row);
        for (std::size_t column = row + 1; column < Size; ++column) {
            rest -= matrix.at(row).at(column) * found.at(column);
        }
        found.at(row) = rest / matrix.at(row).at(row);
    }
    return found;
}

} // namespace

auto StepFit::solve() -> void
{
    auto matrix = m_normal;
    const double perObservation = PriorObservations * m_normal.at(0).at(0) / std::min(m_observations, static_cast<int>(1 / (1 - ForgettingPerObservation)));
    matrix.at(1).at(1) += perObservation * PriorRunsSpread * PriorRunsSpread;
    matrix.at(2).at(2) += perObservation * PriorPrefillMillis * PriorPrefillMillis;
    std::array<bool, Terms> isUsed {true, true, true};
    auto found = solveTerms(matrix, m_products, isUsed);
    // More prefill never makes events faster, nor do more runs.
    if (found.at(2) < 0) {
        isUsed.at(2) = false;
        found = solveTerms(matrix, m_products, isUsed);
    }
    if (found.at(0) <= 0 || found.at(0) * PriorSlope + found.at(1) < 0) {
        isUsed.at(1) = false;
        found = solveTerms(matrix, m_products, isUsed);
    }
    m_time = {std::max(found.at(0), 0.0), std::max(found.at(0) * PriorSlope + found.at(1), 0.0), std::max(found.at(2), 0.0)};
}

// [SECTION] DecodePace

DecodePace::DecodePace(DecodePaceOptions options)
    : m_options(options)
{
}

auto DecodePace::AppliedFactor::approach(double seen, Duration recovery, TimePoint now) -> void
{
    const double share = 1 - std::exp(-(now - at).inSeconds() / recovery.inSeconds());
    logFactor = seen >= logFactor ? seen : logFactor + (seen - logFactor) * share;
    at = now;
}

auto DecodePace::valueOf(const AppliedFactor &factor, TimePoint now) const -> double
{
    const double unobserved = std::max((now - factor.at - m_options.keptFor).inSeconds(), 0.0);
    return std::exp(factor.logFactor * std::exp(-unobserved / m_options.forgetting.inSeconds()));
}

auto DecodePace::eventTime(const std::string &model) const -> std::optional<EventTime>
{
    const auto found = m_models.find(model);
    return found == m_models.end() || found->second.fit.observations() < m_options.minObservations ? std::nullopt : std::optional(found->second.fit.time());
}

auto DecodePace::priorEventTime() const -> EventTime
{
    return m_allModels.observations() < m_options.minObservations ? m_options.prior : m_allModels.time();
}

auto DecodePace::isEmpty() const -> bool
{
    return m_isEmpty;
}

auto DecodePace::hasFactor(const TargetId &target) const -> bool
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.decode.at > TimePoint();
}

auto DecodePace::meanPrefill(const std::string &model) const -> double
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? 0 : found->second.fit.meanPrefill();
}

auto DecodePace::decodeFactor(const TargetId &target, TimePoint now) const -> double
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 1 : valueOf(found->second.decode, now);
}

auto DecodePace::prefillFactor(const TargetId &target, TimePoint now) const -> double
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 1 : valueOf(found->second.prefillApplied, now);
}

/// The lower median of the factors of the model's targets; 1 if there are fewer than two of them.
auto DecodePace::referenceFactor(const Model &model, TimePoint now) const -> double
{
    if (model.referenceAt && now - *model.referenceAt < ReferenceLifetime) {
        return model.reference;
    }
    model.referenceAt = now;
    std::vector<double> factors;
    for (const auto &[target, seenAt] : model.targets) {
        if (now - seenAt < ModelTargetLifetime && m_targets.contains(target)) {
            factors.push_back(decodeFactor(target, now));
        }
    }
    model.reference = 1;
    if (factors.size() < 2) {
        return model.reference;
    }
    const auto middle = factors.begin() + static_cast<std::ptrdiff_t>((factors.size() - 1) / 2);
    std::nth_element(factors.begin(), middle, factors.end());
    model.reference = *middle;
    return model.reference;
}

auto DecodePace::relativeFactor(const std::string &model, const TargetId &target, TimePoint now) const -> double
{
    const auto found = m_models.find(model);
    return decodeFactor(target, now) / (found == m_models.end() ? 1 : referenceFactor(found->second, now));
}

auto DecodePace::factors(TimePoint now) const -> std::vector<std::pair<TargetId, double>>
{
    std::vector<std::pair<TargetId, double>> list;
    for (const auto &[id, target] : m_targets) {
        if (target.decode.at > TimePoint()) {
            list.emplace_back(id, valueOf(target.decode, now));
        }
    }
    return list;
}

auto DecodePace::ownFactor(const TargetId &target, TimePoint now) const -> double
{
    const auto found = m_targets.find(target);
    const bool isKnown = found != m_targets.end() && found->second.own.observedAt() > TimePoint() && now - found->second.own.observedAt() < ReportedFor;
    return isKnown ? std::exp(found->second.own.mean()) : 0;
}

auto DecodePace::targetSeen(const TargetIncarnation &target, TimePoint now) -> void
{
    auto &known = m_targets[target.id];
    if (known.incarnation == target) {
        return;
    }
    const bool isRestart = !known.incarnation.id.isEmpty();
    known = Target();
    known.incarnation = target;
    known.reportsFrom = isRestart ? now + ReportDelay : TimePoint();
    for (auto &[name, model] : m_models) {
        model.targets.erase(target.id);
        model.referenceAt.reset();
    }
}

auto DecodePace::targetGone(const TargetId &target) -> void
{
    m_targets.erase(target);
    for (auto &[name, model] : m_models) {
        model.targets.erase(target);
        model.referenceAt.reset();
    }
}

/// Applies the mean of what this gateway observed and what the others reported.
auto DecodePace::applyDecode(Target &target, TimePoint now) -> void
{
    m_isEmpty = false;
    const double own = target.own.weight(now);
    const double others = target.others.weight(now);
    const double seen = (target.own.mean() * own + target.others.mean() * others) / (own + others);
    target.decode.approach(seen, m_options.recovery, now);
}

auto DecodePace::addOwn(Target &target, double ratio, TimePoint now) -> void
{
    target.own.add(std::log(std::max(ratio, std::exp(-MaxLogFactor))), 1, now);
    applyDecode(target, now);
}

auto DecodePace::observe(const std::string &model, const TargetId &target, const DecodeLoad &load, double millis, TimePoint now) -> void
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || millis <= 0) {
        return;
    }
    auto &known = m_models[model];
    if (known.targets.size() >= MaxModelTargets && !known.targets.contains(target)) {
        std::erase_if(known.targets, [&](const auto &seen) { return now - seen.second >= ModelTargetLifetime; });
    }
    if (known.targets.size() < MaxModelTargets || known.targets.contains(target)) {
        known.targets[target] = now;
    }
    if (known.fit.observations() >= m_options.minObservations) {
        addOwn(found->second, millis / std::max(known.fit.time().at(load), 1.0), now);
    }
    // The fit describes the median target: if all targets become slow, their relative factors stay at 1 and the fit follows.
    // A single target can't be compared: the fit follows it too, but slowly, so that its factor is high for some time after it has become slow.
    const double relative = relativeFactor(model, target, now);
    const double ordinary = millis / (known.targets.size() < 2 ? std::sqrt(relative) : relative);
    known.fit.observe(load, ordinary);
    m_allModels.observe(load, ordinary);
}

auto DecodePace::observeStall(const std::string &model, const TargetId &target, const DecodeLoad &load, double millis, TimePoint now) -> void
{
    const auto found = m_targets.find(target);
    const auto time = eventTime(model);
    if (found != m_targets.end() && time) {
        addOwn(found->second, millis / std::max(time->at(load), 1.0), now);
    }
}

auto DecodePace::observePrefill(const TargetId &target, double ratio, TimePoint now) -> void
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    auto &known = found->second;
    known.prefill.add(std::log(std::max(ratio, std::exp(-MaxLogFactor))), 1, now);
    known.prefillApplied.approach(known.prefill.mean(), m_options.recovery, now);
}

auto DecodePace::reported(const TargetId &target, double factor, int runs, TimePoint now) -> void
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || factor <= 0 || now < found->second.reportsFrom) {
        return;
    }
    found->second.others.add(std::log(factor), std::max(runs, 1), now);
    applyDecode(found->second, now);
}

} // namespace KingCup
