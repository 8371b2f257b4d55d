#include "core/routing.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <sstream>
#include <unordered_map>

namespace KingCup
{

namespace
{

constexpr int DefaultLimit = 16;
constexpr auto DefaultServiceTime = Duration::millis(200);
constexpr auto MaxEjectionTime = Duration::seconds(30);
constexpr double SlowdownPerRunningRequest = 0.02; ///< each running request lengthens the service time of the others by about this share
constexpr double MinWeight = 0.05; ///< minimum for a target that isn't ejected, so that it still gets some requests, which show its state
constexpr double StaleWeight = 0.3; ///< factor for a target whose report is older than RoutingOptions::staleAfter
constexpr double MeanWeight = 0.1; ///< weight of one observation in the mean service time
constexpr double SlownessWeight = 0.05; ///< weight of one observation in a target's slowness
constexpr double SlownessThreshold = 1.5; ///< a target counts as slow above this multiple of the mean service time; smaller differences are chance
constexpr double MinEstimateShare = 0.6; ///< a request is too late if even this share of the estimate would miss the deadline
constexpr double InteractiveHeadroom = 1.25; ///< factor on the limit for interactive requests, which may exceed it because the agent serves them first
constexpr auto NoTargetRetryDelay = Duration::millis(50);
constexpr std::size_t MaxEndsKept = 256;

struct Health {
    int failures = 0; ///< consecutive
    int ejections = 0; ///< since a request last succeeded after the end of a slow start
    TimePoint ejectedUntil;
    TimePoint slowStartAt; ///< when the target came back, its engine restarted or its ejection ends
    bool isSlowStarting = false;
};

struct Sent {
    TimePoint at;
    Priority priority = Priority::Standard;
};

struct TargetState {
    ZoneName zone;
    ServiceName service;
    bool isUp = false;
    bool isLeaving = false;
    std::optional<TargetLoad> load;
    TimePoint reportAt; ///< when `load` was received
    std::unordered_map<RequestId, Sent> sent;
    std::vector<TimePoint> ends; ///< of own requests that started before the report and ended after it
    Health health;
    double slowness = 1; ///< mean ratio of its service times to the mean of their class over all targets
    double promptTokens = 0; ///< sent by this process and not yet prefilled by the engine, as of `promptTokensAt`
    TimePoint promptTokensAt;
};

/// A class of requests with similar service times.
struct RequestClassName {
    ServiceName service;
    Priority priority = Priority::Standard;
    auto operator<=>(const RequestClassName &) const = default;
};

struct Candidate {
    TargetId id;
    TargetState *state = nullptr;
    double weight = 1;
    int load = 0;
    Duration expected;
};

} // namespace

auto toString(RoutingRefusal refusal) -> const char *
{
    switch (refusal) {
    case RoutingRefusal::NoCopy:
        return "no-copy";
    case RoutingRefusal::AllExcluded:
        return "all-excluded";
    case RoutingRefusal::TooLate:
        return "too-late";
    case RoutingRefusal::Overloaded:
        return "overloaded";
    }
    return "";
}

auto toString(RoutingStrategy strategy) -> const char *
{
    switch (strategy) {
    case RoutingStrategy::Objective:
        return "objective";
    case RoutingStrategy::RoundRobin:
        return "round-robin";
    case RoutingStrategy::LeastLoaded:
        return "least-loaded";
    }
    return "";
}

auto routingStrategyFromString(const std::string &text) -> std::optional<RoutingStrategy>
{
    for (const auto strategy : {RoutingStrategy::Objective, RoutingStrategy::RoundRobin, RoutingStrategy::LeastLoaded}) {
        if (text == toString(strategy)) {
            return strategy;
        }
    }
    return std::nullopt;
}

// The state of the router and the steps of a decision.
struct Router::Private {
    RoutingOptions options;
    std::mt19937_64 random;
    std::map<TargetId, TargetState> targets;
    std::uint64_t roundRobinTurn = 0;
    std::map<RequestClassName, double> classServiceMicros; ///< mean service times in microseconds, observed by this process

    auto isEligible(const TargetState &state, const ServiceName &service, const std::vector<ArtifactName> &artifacts, TimePoint now) const -> bool;
    auto load(const TargetState &state) const -> int;
    auto limit(const TargetState &state) const -> int;
    auto capacity(const TargetState &state, Priority priority, TimePoint now) const -> int;
    auto exceedsPrefillBacklog(const TargetState &state, Priority priority, TimePoint now) const -> bool;
    auto weight(const TargetState &state, TimePoint now) const -> double;
    auto serviceTime(const TargetState &state, Priority priority) const -> Duration;
    auto expected(const TargetState &state, Priority priority, TimePoint now) const -> Duration;
    auto prefillTokens(const TargetState &state, TimePoint now) const -> double;
    auto candidates(const RoutingRequest &request, TimePoint now, RoutingChoice &refusal) -> std::vector<Candidate>;
    auto accept(const Candidate &candidate, std::size_t among, const std::string &why) const -> RoutingChoice;
    auto pick(const RoutingRequest &request, std::vector<Candidate> &list) -> RoutingChoice;
    auto preferredByHash(const std::string &hash, std::vector<Candidate> &list) const -> const Candidate &;
    auto preferredByPrefix(const RoutingRequest &request, std::vector<Candidate> &list) const -> const Candidate *;
    auto betterOfTwo(std::vector<Candidate> &list) -> const Candidate &;
    auto drawByWeight(const std::vector<Candidate> &list) -> std::size_t;
    auto isBetter(const Candidate &left, const Candidate &right) const -> bool;
};

auto Router::Private::isEligible(const TargetState &state, const ServiceName &service, const std::vector<ArtifactName> &artifacts, TimePoint now) const -> bool
{
    if (!state.isUp || state.isLeaving || !state.load || !state.load->engineReady || state.load->leaving) {
        return false;
    }
    if (now - state.reportAt > options.deadAfter || now < state.health.ejectedUntil) {
        return false;
    }
    if (artifacts.empty()) {
        return state.service == service;
    }
    const auto &residents = state.load->residents;
    return std::all_of(
        artifacts.begin(), artifacts.end(), [&](const auto &artifact) { return std::find(residents.begin(), residents.end(), artifact) != residents.end(); });
}

auto Router::Private::load(const TargetState &state) const -> int
{
    int count = state.load ? state.load->running + state.load->queued : 0;
    for (const auto &[request, sent] : state.sent) {
        count += sent.at > state.reportAt ? 1 : 0;
    }
    count -= static_cast<int>(state.ends.size());
    return std::max(count, static_cast<int>(state.sent.size()));
}

auto Router::Private::limit(const TargetState &state) const -> int
{
    return state.load && state.load->concurrencyLimit > 0 ? state.load->concurrencyLimit : DefaultLimit;
}

/// Limits the pending prefill of lower classes, so that their long prompts go to a target one at a time. If they were sent as they arrive, they would keep the
/// engine prefilling for seconds and delay the first token of every interactive request there. In the admission queue they wait in order of deadline, while
/// interactive requests overtake them.
auto Router::Private::exceedsPrefillBacklog(const TargetState &state, Priority priority, TimePoint now) const -> bool
{
    if (!options.countsPrompts || priority == Priority::Interactive) {
        return false;
    }
    return prefillTokens(state, now) > (priority == Priority::Batch ? options.batchBacklog : options.standardBacklog);
}

auto Router::Private::capacity(const TargetState &state, Priority priority, TimePoint now) const -> int
{
    if (exceedsPrefillBacklog(state, priority, now)) {
        return 0;
    }
    auto maxLoad = static_cast<double>(limit(state));
    if (priority == Priority::Batch) {
        maxLoad *= options.batchShare;
    } else if (priority == Priority::Interactive) {
        maxLoad *= InteractiveHeadroom;
    }
    return static_cast<int>(std::max(maxLoad, 1.0)) - load(state);
}

auto Router::Private::weight(const TargetState &state, TimePoint now) const -> double
{
    if (!state.isUp || state.isLeaving || now < state.health.ejectedUntil) {
        return 0;
    }
    double result = 1;
    if (state.health.isSlowStarting) {
        const auto since = (now - state.health.slowStartAt).inSeconds();
        result = std::clamp(since / std::max(options.slowStart.inSeconds(), 1e-6), MinWeight, 1.0);
    }
    // Failures before an ejection reduce the load gradually: one failed request halves the share, a second one quarters it.
    result *= std::pow(0.5, state.health.failures);
    if (now - state.reportAt > options.staleAfter) {
        result *= StaleWeight;
    }
    return std::max(result, MinWeight);
}

auto Router::Private::serviceTime(const TargetState &state, Priority priority) const -> Duration
{
    // The means are over all targets, because the last few requests of a single target differ more by their length than by the target. A slow
    // target is accounted for by its slowness factor.
    const auto seen = classServiceMicros.find({state.service, priority});
    const double slowness = state.slowness > SlownessThreshold ? state.slowness : 1.0;
    if (seen != classServiceMicros.end()) {
        return Duration::micros(static_cast<std::int64_t>(seen->second * slowness));
    }
    return state.load && state.load->serviceTime.inMicros() > 0 ? state.load->serviceTime : DefaultServiceTime;
}

auto Router::Private::prefillTokens(const TargetState &state, TimePoint now) const -> double
{
    return std::max(0.0, state.promptTokens - (now - state.promptTokensAt).inSeconds() * options.promptTokensPerSecond);
}

auto Router::Private::expected(const TargetState &state, Priority priority, TimePoint now) const -> Duration
{
    const int inSystem = load(state);
    const int maxLoad = limit(state);
    const auto own = serviceTime(state, priority);
    const auto others = state.load && state.load->serviceTime.inMicros() > 0 ? state.load->serviceTime : own;
    const auto running = own * (1.0 + SlowdownPerRunningRequest * std::min(inSystem, maxLoad));
    const int ahead = std::max(0, inSystem + 1 - maxLoad);
    const auto waiting = others * (static_cast<double>(ahead) / maxLoad);
    const auto zonePenalty = state.zone == options.zone ? Duration() : options.otherZonePenalty;
    // An engine prefills prompts one after another. A short request behind a prompt of 4000 tokens gets its first token a second later even if
    // the target runs few requests, so the number of requests alone isn't enough.
    const auto prefillTime = options.countsPrompts ? Duration::seconds(prefillTokens(state, now) / options.promptTokensPerSecond) : Duration();
    return running + waiting + zonePenalty + prefillTime;
}

auto Router::Private::candidates(const RoutingRequest &request, TimePoint now, RoutingChoice &refusal) -> std::vector<Candidate>
{
    std::vector<Candidate> result;
    std::size_t holding = 0;
    std::size_t notExcluded = 0;
    std::size_t withCapacity = 0;
    Duration soonest = MaxEjectionTime;
    for (auto &[id, state] : targets) {
        if (!isEligible(state, request.service, request.artifacts, now)) {
            continue;
        }
        ++holding;
        if (std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end()) {
            continue;
        }
        ++notExcluded;
        Candidate candidate {.id = id, .state = &state, .weight = weight(state, now), .load = load(state), .expected = expected(state, request.priority, now)};
        soonest = std::min(soonest, candidate.expected);
        // The baselines ignore limits and forward every request, as common proxies do.
        if (options.strategy == RoutingStrategy::Objective && capacity(state, request.priority, now) <= 0) {
            continue;
        }
        ++withCapacity;
        if (options.strategy == RoutingStrategy::Objective && now + candidate.expected * MinEstimateShare > request.deadline) {
            continue;
        }
        result.push_back(candidate);
    }
    if (result.empty()) {
        refusal.refusal = holding == 0 ? RoutingRefusal::NoCopy
            : notExcluded == 0         ? RoutingRefusal::AllExcluded
            : withCapacity == 0        ? RoutingRefusal::Overloaded
                                       : RoutingRefusal::TooLate;
        refusal.expected = holding == 0 || notExcluded == 0 ? NoTargetRetryDelay : soonest;
        std::ostringstream reason;
        reason << toString(refusal.refusal) << " holders=" << holding << " not-excluded=" << notExcluded << " with-capacity=" << withCapacity;
        refusal.reason = reason.str();
    }
    return result;
}

auto Router::Private::accept(const Candidate &candidate, std::size_t among, const std::string &why) const -> RoutingChoice
{
    std::ostringstream reason;
    reason << why << " among=" << among << " load=" << candidate.load << "/" << limit(*candidate.state)
           << " weight=" << std::round(candidate.weight * 100) / 100 << " expected-ms=" << candidate.expected.inMillis()
           << (candidate.state->zone == options.zone ? " same-zone" : " other-zone");
    return RoutingChoice {.target = candidate.id, .expected = candidate.expected, .reason = reason.str()};
}

auto Router::Private::isBetter(const Candidate &left, const Candidate &right) const -> bool
{
    const auto leftCost = static_cast<double>(left.expected.inMicros()) / left.weight;
    const auto rightCost = static_cast<double>(right.expected.inMicros()) / right.weight;
    if (leftCost != rightCost) {
        return leftCost < rightCost;
    }
    const bool leftNear = left.state->zone == options.zone;
    const bool rightNear = right.state->zone == options.zone;
    return leftNear != rightNear ? leftNear : left.id < right.id;
}

auto Router::Private::drawByWeight(const std::vector<Candidate> &list) -> std::size_t
{
    double sum = 0;
    for (const auto &candidate : list) {
        sum += candidate.weight;
    }
    double point = std::uniform_real_distribution<double>(0, sum)(random);
    for (std::size_t i = 0; i < list.size(); ++i) {
        point -= list[i].weight;
        if (point < 0) {
            return i;
        }
    }
    return list.size() - 1;
}

auto Router::Private::betterOfTwo(std::vector<Candidate> &list) -> const Candidate &
{
    const auto first = drawByWeight(list);
    std::swap(list[first], list.back());
    const auto one = list.back();
    list.pop_back();
    const auto second = drawByWeight(list);
    list.push_back(one);
    return isBetter(list[second], list.back()) ? list[second] : list.back();
}

auto Router::Private::preferredByHash(const std::string &hash, std::vector<Candidate> &list) const -> const Candidate &
{
    return *std::max_element(list.begin(), list.end(), [&](const auto &left, const auto &right) {
        return rendezvousScore(hash, left.id.text()) < rendezvousScore(hash, right.id.text());
    });
}

auto Router::Private::preferredByPrefix(const RoutingRequest &request, std::vector<Candidate> &list) const -> const Candidate *
{
    if (!options.prefixAffinity || request.prefixHash.empty()) {
        return nullptr;
    }
    double total = 1;
    for (const auto &candidate : list) {
        total += candidate.load;
    }
    const auto bound = std::ceil(options.affinityMaxLoadRatio * total / static_cast<double>(list.size()));
    const auto soonest
        = std::min_element(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.expected < right.expected; })->expected;
    std::vector<const Candidate *> order;
    order.reserve(list.size());
    for (const auto &candidate : list) {
        order.push_back(&candidate);
    }
    std::sort(order.begin(), order.end(), [&](const auto *left, const auto *right) {
        return rendezvousScore(request.prefixHash, left->id.text()) > rendezvousScore(request.prefixHash, right->id.text());
    });
    for (const auto *candidate : order) {
        if (candidate->load + 1 <= bound && candidate->weight == 1 && candidate->expected <= soonest + options.affinityMaxDelay) {
            return candidate;
        }
    }
    return nullptr;
}

auto Router::Private::pick(const RoutingRequest &request, std::vector<Candidate> &list) -> RoutingChoice
{
    if (options.strategy == RoutingStrategy::RoundRobin) {
        return accept(list[roundRobinTurn++ % list.size()], list.size(), "round-robin");
    }
    if (options.strategy == RoutingStrategy::LeastLoaded || request.prefersIdle) {
        const auto &least = *std::min_element(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.load < right.load; });
        return accept(least, list.size(), request.prefersIdle ? "suspect-alone" : "least-loaded");
    }
    if (!request.stickyKey.empty()) {
        return accept(preferredByHash(request.stickyKey, list), list.size(), "first-by-key");
    }
    if (list.size() == 1) {
        return accept(list.front(), 1, "only-one");
    }
    if (const auto *preferred = preferredByPrefix(request, list)) {
        return accept(*preferred, list.size(), "prefix-affinity");
    }
    if (!options.twoChoices) {
        return accept(list[drawByWeight(list)], list.size(), "random");
    }
    return accept(betterOfTwo(list), list.size(), "better-of-two");
}

Router::Router(RoutingOptions options)
    : d(std::make_unique<Private>())
{
    d->random.seed(options.seed);
    d->options = std::move(options);
}

Router::~Router() = default;
Router::Router(Router &&) noexcept = default;
auto Router::operator=(Router &&) noexcept -> Router & = default;

auto Router::targets() const -> std::vector<TargetId>
{
    std::vector<TargetId> result;
    for (const auto &[id, state] : d->targets) {
        result.push_back(id);
    }
    return result;
}

auto Router::holders(const std::vector<ArtifactName> &artifacts, TimePoint now) const -> std::vector<TargetId>
{
    std::vector<TargetId> result;
    for (const auto &[id, state] : d->targets) {
        if (!artifacts.empty() && d->isEligible(state, {}, artifacts, now)) {
            result.push_back(id);
        }
    }
    return result;
}

auto Router::instances(const ServiceName &service, TimePoint now) const -> std::vector<TargetId>
{
    std::vector<TargetId> result;
    for (const auto &[id, state] : d->targets) {
        if (d->isEligible(state, service, {}, now)) {
            result.push_back(id);
        }
    }
    return result;
}

auto Router::inFlight(const TargetId &target) const -> int
{
    const auto found = d->targets.find(target);
    return found == d->targets.end() ? 0 : static_cast<int>(found->second.sent.size());
}

auto Router::lastReport(const TargetId &target) const -> std::optional<TargetLoad>
{
    const auto found = d->targets.find(target);
    return found == d->targets.end() ? std::nullopt : found->second.load;
}

auto Router::weight(const TargetId &target, TimePoint now) const -> double
{
    const auto found = d->targets.find(target);
    return found == d->targets.end() ? 0 : d->weight(found->second, now);
}

auto Router::hasCapacity(const TargetId &target, Priority priority, TimePoint now) const -> bool
{
    const auto found = d->targets.find(target);
    return found != d->targets.end() && d->capacity(found->second, priority, now) > 0;
}

auto Router::choose(const RoutingRequest &request, TimePoint now) -> RoutingChoice
{
    RoutingChoice refusal;
    auto list = d->candidates(request, now, refusal);
    return list.empty() ? refusal : d->pick(request, list);
}

auto Router::targetUp(const TargetId &target, const ZoneName &zone, const ServiceName &service, TimePoint now) -> void
{
    const bool isNew = !d->targets.contains(target);
    auto &state = d->targets[target];
    // A target that comes back has empty caches and may fail again. With its full share at once it would delay every request that is
    // sent to it, so its share grows over the slow start.
    if (!isNew && !state.isUp) {
        state.health.isSlowStarting = true;
        state.health.slowStartAt = now;
    }
    state.zone = zone;
    state.service = service;
    state.isUp = true;
    state.isLeaving = false;
    state.load.reset();
}

auto Router::targetDown(const TargetId &target, TimePoint) -> void
{
    if (const auto found = d->targets.find(target); found != d->targets.end()) {
        found->second.isUp = false;
    }
}

auto Router::targetLeaving(const TargetId &target) -> void
{
    if (const auto found = d->targets.find(target); found != d->targets.end()) {
        found->second.isLeaving = true;
    }
}

auto Router::targetRemoved(const TargetId &target) -> void
{
    d->targets.erase(target);
}

auto Router::reportReceived(const TargetId &target, const TargetLoad &load, TimePoint now) -> void
{
    const auto found = d->targets.find(target);
    if (found == d->targets.end()) {
        return;
    }
    auto &state = found->second;
    if (state.load && load.sequence < state.load->sequence) {
        return;
    }
    if (state.load && load.engineGeneration != state.load->engineGeneration) {
        state.health.isSlowStarting = true;
        state.health.slowStartAt = now;
    }
    state.load = load;
    state.reportAt = now;
    state.ends.clear();
}

auto Router::requestStarted(const RoutingRequest &request, const TargetId &target, TimePoint now) -> void
{
    const auto found = d->targets.find(target);
    if (found == d->targets.end()) {
        return;
    }
    auto &state = found->second;
    state.sent[request.id] = Sent {now, request.priority};
    state.promptTokens = d->prefillTokens(state, now) + request.promptTokens;
    state.promptTokensAt = now;
}

auto Router::requestEnded(const RequestId &request, const TargetId &target, AttemptResult result, TimePoint now) -> void
{
    const auto found = d->targets.find(target);
    if (found == d->targets.end()) {
        return;
    }
    auto &state = found->second;
    const auto entry = state.sent.find(request);
    if (entry == state.sent.end()) {
        return;
    }
    const auto sent = entry->second;
    state.sent.erase(entry);
    if (sent.at <= state.reportAt && state.ends.size() < MaxEndsKept) {
        state.ends.push_back(now);
    }
    auto &health = state.health;
    if (result == AttemptResult::Delivered) {
        auto &mean = d->classServiceMicros[{state.service, sent.priority}];
        const auto micros = std::max(1.0, static_cast<double>((now - sent.at).inMicros()));
        mean = mean == 0 ? micros : mean + MeanWeight * (micros - mean);
        state.slowness += SlownessWeight * (micros / mean - state.slowness);
        health.failures = 0;
        const bool recovered = health.isSlowStarting && now - health.slowStartAt > d->options.slowStart;
        if (recovered) {
            health.isSlowStarting = false;
            health.ejections = 0;
        }
        return;
    }
    if (result != AttemptResult::Failed) {
        return;
    }
    ++health.failures;
    if (health.failures >= d->options.failuresToEject) {
        const auto pause = std::min(d->options.firstEjection * std::pow(2.0, health.ejections), MaxEjectionTime);
        health.ejectedUntil = now + pause;
        health.slowStartAt = health.ejectedUntil;
        health.isSlowStarting = true;
        health.failures = 0;
        ++health.ejections;
    }
}

} // namespace KingCup
