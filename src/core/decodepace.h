// Estimates the time between two events of a stream from the times that this gateway's streams took. No I/O.
//
// A decode step of an engine takes longer with each run in its batch, and chunks of other prompts are prefilled between the steps. So the expected time of an
// event is a base, plus a slope times the runs at the target, plus a share of the pending prefill there. The three are learnt for each model. The number of
// tokens of an event isn't needed: all times are those of a whole event.
//
// Targets differ in speed, and a target may become slow while it still answers health checks. For each incarnation of a target, a factor compares the observed
// times with the expectation for the target's load: its own streams count, and the factors that other gateways report. Prefill and decode have separate
// factors, as each can slow down alone.
//
// Index of sections (search for [SECTION]):
//   Load         what the time of an event depends on
//   Evidence     a mean of recent observations
//   StepFit      one model's times, fitted to observations
//   DecodePace   models and targets
#pragma once

#include "core/targetinfo.h"
#include "core/units.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Load

struct DecodeLoad {
    double runs = 0; ///< at the target, of all models and gateways, the stream itself included
    double prefillMillis = 0; ///< pending prefill at the target, in milliseconds at a target of ordinary speed
};

/// Time of an event at a target of ordinary speed, in milliseconds.
struct EventTime {
    double base = 0;
    double perRun = 0;
    double prefillShare = 0; ///< milliseconds for each millisecond of pending prefill

    auto at(const DecodeLoad &load) const -> double;
};

// [SECTION] Evidence

/// Mean of recent logarithmic ratios. An observation's weight decays with its age.
class Evidence
{
public:
    auto mean() const -> double;
    auto weight(TimePoint now) const -> double;
    auto observedAt() const -> TimePoint;

    auto add(double logRatio, double weight, TimePoint now) -> void;

private:
    double m_mean = 0;
    double m_weight = 0;
    TimePoint m_at;
};

// [SECTION] StepFit

/// Least squares with exponential forgetting. Each observation weighs by its relative error, and its distance from the fit is limited: a pause of a second for
/// another reason must not count as much as hundreds of ordinary events.
class StepFit
{
public:
    auto observations() const -> int;
    auto time() const -> EventTime;
    auto meanPrefill() const -> double; ///< mean pending prefill at the targets, in milliseconds

    auto observe(const DecodeLoad &load, double millis) -> void;

private:
    static constexpr std::size_t Terms = 3; ///< base, runs beyond the prior slope, pending prefill

    auto solve() -> void;

    int m_observations = 0;
    std::array<std::array<double, Terms>, Terms> m_normal {}; ///< weighted sums of the products of two terms
    std::array<double, Terms> m_products {}; ///< weighted sums of the products of a term and the time
    EventTime m_time;
    double m_meanPrefill = 0;
};

// [SECTION] DecodePace

struct DecodePaceOptions {
    int minObservations = 6; ///< a model with fewer observations is unknown
    EventTime prior {25, 0.5, 0.5}; ///< before the first observations, where reports alone say that a target is slow
    /// A factor that has fallen is applied gradually with this time constant: if all gateways sent to a recovered target at once, they would fill it.
    Duration recovery = Duration::seconds(2);
    Duration keptFor = Duration::seconds(1); ///< without observations, a factor applies unchanged for this long
    Duration forgetting = Duration::seconds(6); ///< and then approaches 1 with this time constant, so that a slow target is tried again
};

class DecodePace
{
public:
    explicit DecodePace(DecodePaceOptions options = {});

    // Queries
    /// Times of a model's events at a target of ordinary speed; nothing: there are too few observations of the model.
    auto eventTime(const std::string &model) const -> std::optional<EventTime>;
    auto priorEventTime() const -> EventTime; ///< for models without observations: that of all models, or the declared prior
    auto isEmpty() const -> bool; ///< there has been no observation or report of any target's decode steps
    auto hasFactor(const TargetId &target) const -> bool; ///< there has been an observation or a report of the target's decode steps
    auto meanPrefill(const std::string &model) const -> double; ///< mean pending prefill at the model's targets, in milliseconds
    /// Time of the target's decode steps compared with the expectation, 1 if unknown. If all targets of a model are slow, so are their factors.
    auto decodeFactor(const TargetId &target, TimePoint now) const -> double;
    /// decodeFactor() compared with the model's other targets: the lower median is 1. With a single target there is no comparison.
    auto relativeFactor(const std::string &model, const TargetId &target, TimePoint now) const -> double;
    auto prefillFactor(const TargetId &target, TimePoint now) const -> double; ///< as decodeFactor(), for the time until the first event
    auto factors(TimePoint now) const -> std::vector<std::pair<TargetId, double>>; ///< decodeFactor() of the targets that have one
    auto ownFactor(const TargetId &target, TimePoint now) const -> double; ///< as this gateway alone observed it recently, for reports; 0: unknown

    // Commands: targets
    auto targetSeen(const TargetIncarnation &target, TimePoint now) -> void; ///< another incarnation starts without history
    auto targetGone(const TargetId &target) -> void;

    // Commands: observations
    /// A stream got events in a time of `millis` each, while the target had `load`.
    auto observe(const std::string &model, const TargetId &target, const DecodeLoad &load, double millis, TimePoint now) -> void;
    /// A stream has got no event for `millis`, which is more than expected. Affects the target's factor only: the time isn't known before the event.
    auto observeStall(const std::string &model, const TargetId &target, const DecodeLoad &load, double millis, TimePoint now) -> void;
    /// `ratio`: observed time until a first event, divided by the expectation for a target of ordinary speed.
    auto observePrefill(const TargetId &target, double ratio, TimePoint now) -> void;
    /// Another gateway reported a factor, observed on about `runs` streams. Reports that may concern an earlier incarnation are ignored.
    auto reported(const TargetId &target, double factor, int runs, TimePoint now) -> void;

private:
    /// A factor as it is applied: it rises at once and falls gradually.
    struct AppliedFactor {
        double logFactor = 0;
        TimePoint at; ///< of the last observation or report

        auto approach(double seen, Duration recovery, TimePoint now) -> void;
    };
    struct Target {
        TargetIncarnation incarnation;
        TimePoint reportsFrom; ///< earlier reports may concern an earlier incarnation
        Evidence own;
        Evidence others;
        Evidence prefill;
        AppliedFactor decode;
        AppliedFactor prefillApplied;
    };
    struct Model {
        StepFit fit;
        std::map<TargetId, TimePoint> targets; ///< where its streams were observed, and when last
        /// The last result of referenceFactor(): a choice among many targets needs it for each of them.
        mutable double reference = 1;
        mutable std::optional<TimePoint> referenceAt;
    };
    auto valueOf(const AppliedFactor &factor, TimePoint now) const -> double;
    auto applyDecode(Target &target, TimePoint now) -> void;
    auto addOwn(Target &target, double ratio, TimePoint now) -> void;
    auto referenceFactor(const Model &model, TimePoint now) const -> double;

    DecodePaceOptions m_options;
    StepFit m_allModels;
    bool m_isEmpty = true;
    std::map<std::string, Model> m_models;
    std::map<TargetId, Target> m_targets;
};

} // namespace KingCup
