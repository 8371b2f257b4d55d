// Index of sections (search for [SECTION]):
//   State        targets and sends
//   Choosing     the estimate and the choice
//   Learning     updates from answers and failures
//   Decode pace  lateness and capacity of targets, observed events
//   Digests      to and from other gateways
#include "core/dispatch.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <tuple>
#include <unordered_map>

namespace KingCup
{

auto toString(DispatchRefusal refusal) -> const char *
{
    switch (refusal) {
    case DispatchRefusal::None:
        return "none";
    case DispatchRefusal::NoTarget:
        return "no-target";
    case DispatchRefusal::OtherVersion:
        return "other-version";
    case DispatchRefusal::NotHeld:
        return "not-held";
    case DispatchRefusal::AdapterMissing:
        return "adapter-missing";
    case DispatchRefusal::AllExcluded:
        return "all-excluded";
    case DispatchRefusal::Paused:
        return "paused";
    case DispatchRefusal::OverLimit:
        return "over-limit";
    case DispatchRefusal::Full:
        return "full";
    }
    return "?";
}

// [SECTION] State

namespace
{

constexpr double MicrosPerMilli = 1000;
constexpr double MillisPerSecond = 1000;
constexpr auto MaxBacklogToLearn = Duration::millis(5); // behind a longer backlog, the time to the first token says little about the prompt's own prefill

auto fromMillis(double millis) -> Duration
{
    return Duration::micros(static_cast<std::int64_t>(millis * MicrosPerMilli));
}

/// For so long after a target's restart became known, digests may still name prompts that were sent to its start before: a digest covers up to a second, and
/// its sender learns of the restart up to some hundred milliseconds later.
constexpr auto RestartDigestTime = Duration::millis(1500);

auto toMillis(Duration span) -> double
{
    return static_cast<double>(span.inMicros()) / MicrosPerMilli;
}

/// The state of one target.
struct TargetState {
    TargetDescription description;
    PromptCache cache;
    int running = 0; ///< own sends that haven't ended
    std::int64_t tokens = 0; ///< KV memory that own sends may take
    PrefillQueue prefillQueue; ///< own sends without a first token
    RecentPrefill recent; ///< sent by this gateway, and by others as far as they have reported it
    TargetHealth health;
    std::optional<TimePoint> restartSeenAt; ///< when the target's present start became known, if there was one before
};

/// Events of a stream that are counted before their mean time is observed.
struct EventWindow {
    bool isOpen = false;
    TimePoint since; ///< arrival of the event before the window
    TimePoint lastAt; ///< arrival of the last event
    std::uint64_t events = 0;
    DecodeLoad load; ///< at the target when the window was opened
    double stallMillis = 0; ///< the time without an event that was last observed as a stall since then; 0: none
};

/// One send that hasn't ended.
struct Send {
    TargetId target;
    TargetIncarnation incarnation;
    std::string model;
    TimePoint at;
    TimePoint firstAt; ///< arrival of its first token; set only if hasFirst
    Duration expectedFirst;
    Duration backlog;
    double prefillMillis = 0; ///< expected for the uncached part of its prompt
    int ownTokens = 0; ///< the part of its prompt that no other request shares
    int prefillTokens = 0;
    UrgencyBand band = UrgencyBand::Normal;
    std::int64_t tokens = 0;
    double slowness = 1; ///< of the target, as estimated when it was sent
    bool hasFirst = false;
    Duration pauseGoal;
    std::uint64_t events = 0; ///< received so far
    EventWindow window;
};

struct Estimate {
    TargetId target;
    const TargetState *state = nullptr;
    Duration first;
    Duration ifPatient;
    Duration backlog;
    int prefillTokens = 0;
    bool othersPrefill = false; ///< another gateway has pending prefill at the target
    bool isDraining = false; ///< the replica there is to be unloaded
    double cost = 0; ///< milliseconds; includes penalties and bonuses that aren't part of the expected times
};

} // namespace

struct Dispatcher::Private {
    DispatchOptions options;
    std::map<TargetId, TargetState> targets;
    std::map<ServiceName, EngineDeclaration> engines;
    std::unordered_map<std::uint64_t, Send> sends;
    SendId lastSend;
    std::map<std::pair<TargetId, std::string>, int> runningByModel; ///< own sends that haven't ended, by target and model
    PeerLoads peerLoads;
    TargetPauses pauses;
    PrefillPace pace;
    DecodePace decodePace;
    std::map<ServiceName, double> plainServiceMillis;
    std::map<TargetId, double> newPrefill; ///< milliseconds of prefill sent and not reported to other gateways yet
    RequestCost requestCost;
    std::vector<std::pair<TargetId, PromptChain>> newlyPrefilled;
    std::uint64_t digests = 0;

    auto engineOf(const ServiceName &service) const -> const EngineDeclaration *
    {
        const auto found = engines.find(service);
        return found == engines.end() ? nullptr : &found->second;
    }
    auto plainServiceTime(const ServiceName &service) const -> double
    {
        const auto found = plainServiceMillis.find(service);
        return found == plainServiceMillis.end() ? toMillis(options.plainServiceTime) : found->second;
    }
    auto estimate(const DispatchRequest &request, const TargetId &id, const TargetState &state, TimePoint now) const -> Estimate;
    auto estimateRunner(const DispatchRequest &request, const TargetState &state, const PeerWork &peers, Estimate &estimate, TimePoint now) const -> void;
    auto stallMillis(const TargetState &state, double prefill, Duration pauseGoal, TimePoint now) const -> double;
    auto slotWait(const TargetState &state, const PeerWork &peers, int slots, UrgencyBand band) const -> double;
    auto estimatePlain(const DispatchRequest &request, const TargetState &state, const PeerWork &peers, Estimate &estimate, TimePoint now) const -> void;
    auto highestFailures(const TargetId &id, const TargetState &state, TimePoint now) const -> double;
    auto isEjected(const TargetId &id, const TargetState &state, TimePoint now) const -> bool;
    auto isEjectedHere(const TargetState &state, TimePoint now) const -> bool;
    auto observeCost(const Send &send, const TargetState &state, std::size_t bytes, TimePoint now) -> void;
    auto sampleCandidates(std::vector<Estimate> &estimates, TimePoint now) const -> void;
    auto mayTake(const DispatchRequest &request, const TargetDescription &target) const -> bool;
    auto applyRankBonus(const DispatchRequest &request, std::vector<Estimate> &estimates) const -> void;
    auto takeOverLimit(std::vector<Estimate> &estimates) const -> std::vector<Estimate>;
    auto prefillSlowness(const TargetState &state, Duration pauseGoal, TimePoint now) const -> double;
    auto decodeLoad(const TargetState &state, const PeerWork &peers, TimePoint now) const -> DecodeLoad;
    auto eventPace(const TargetState &state, const std::string &model, TimePoint now) const -> EventPace;
    auto latenessMillis(const DispatchRequest &request, const TargetState &state, const PeerWork &peers, int prefillTokens, TimePoint now) const
        -> std::optional<double>;
    auto closeWindow(Send &send, const TargetState &state, TimePoint now) -> void;
    auto observeStalls(TimePoint now) -> void;
    auto capacity(const TargetState &state) const -> int;
    auto needsPermit(const TargetState &state, double crowding, TimePoint now) const -> bool;
    auto takeFull(const DispatchRequest &request, std::vector<Estimate> &estimates, TimePoint now) const -> std::vector<Estimate>;
};

Dispatcher::Dispatcher(DispatchOptions options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
    d->peerLoads = PeerLoads(d->options.digestLifetime);
    d->pace = PrefillPace(d->options.pace);
    d->decodePace = DecodePace(d->options.decodePace);
}

Dispatcher::~Dispatcher() = default;

auto Dispatcher::targets() const -> std::vector<TargetId>
{
    std::vector<TargetId> ids;
    for (const auto &[id, state] : d->targets) {
        ids.push_back(id);
    }
    return ids;
}

auto Dispatcher::targetCount() const -> std::size_t
{
    return d->targets.size();
}

auto Dispatcher::description(const TargetId &target) const -> const TargetDescription *
{
    const auto found = d->targets.find(target);
    return found == d->targets.end() ? nullptr : &found->second.description;
}

auto Dispatcher::running(const TargetId &target, TimePoint now) const -> int
{
    const auto found = d->targets.find(target);
    return (found == d->targets.end() ? 0 : found->second.running) + d->peerLoads.work(target, now).running;
}

auto Dispatcher::capacity(const TargetId &target) const -> int
{
    const auto found = d->targets.find(target);
    return found == d->targets.end() ? 0 : d->capacity(found->second);
}

auto Dispatcher::needsPermit(const TargetId &target, TimePoint now) const -> bool
{
    const auto found = d->targets.find(target);
    return found != d->targets.end() && d->needsPermit(found->second, 1, now);
}

auto Dispatcher::ownRunning(const TargetId &target, const std::string &model) const -> int
{
    const auto found = d->runningByModel.find({target, model});
    return found == d->runningByModel.end() ? 0 : found->second;
}

auto Dispatcher::requestCost() const -> const RequestCost &
{
    return d->requestCost;
}

auto Dispatcher::loadTime(const ServiceName &service, const std::string &model) const -> Duration
{
    const auto *engine = d->engineOf(service);
    const auto *declared = engine == nullptr ? nullptr : engine->model(model);
    return declared == nullptr ? Duration() : declared->loadTime;
}

auto Dispatcher::failures(const TargetId &target, TimePoint now) const -> double
{
    const auto found = d->targets.find(target);
    return found == d->targets.end() ? 0 : found->second.health.failures(now);
}

auto Dispatcher::isEjected(const TargetId &target, TimePoint now) const -> bool
{
    const auto found = d->targets.find(target);
    return found != d->targets.end() && d->isEjected(target, found->second, now);
}

auto Dispatcher::pausedUntil(const TargetIncarnation &target, TimePoint now) const -> std::optional<TimePoint>
{
    return d->pauses.until(target, now);
}

auto Dispatcher::adoptEngine(const ServiceName &service, const EngineDeclaration &engine) -> void
{
    d->engines[service] = engine;
    for (auto &[id, state] : d->targets) {
        if (state.description.service == service) {
            state.cache.setCapacity(engine.kvTokens);
        }
    }
}

auto Dispatcher::targetSeen(const TargetDescription &target, TimePoint now) -> void
{
    auto &state = d->targets[target.incarnation.id];
    if (state.description.incarnation != target.incarnation) {
        const bool isRestart = !state.description.incarnation.id.isEmpty();
        state = TargetState();
        if (isRestart) {
            state.restartSeenAt = now;
            d->newPrefill.erase(target.incarnation.id);
            std::erase_if(d->newlyPrefilled, [&](const auto &prefilled) { return prefilled.first == target.incarnation.id; });
        }
        state.health = TargetHealth(d->options.health, now);
        const auto *engine = d->engineOf(target.service);
        state.cache.setCapacity(engine == nullptr ? 0 : engine->kvTokens);
    }
    state.description = target;
    d->decodePace.targetSeen(target.incarnation, now);
}

auto Dispatcher::targetGone(const TargetId &target) -> void
{
    d->targets.erase(target);
    d->decodePace.targetGone(target);
}

auto Dispatcher::targetHolds(const TargetId &target, const std::vector<ResidentModel> &models) -> void
{
    const auto found = d->targets.find(target);
    if (found != d->targets.end()) {
        found->second.description.models = models;
    }
}

/// True until this gateway's ejection of the target is over, and after that while the probe request is in flight.
auto Dispatcher::Private::isEjectedHere(const TargetState &state, TimePoint now) const -> bool
{
    return state.health.isEjected(now) || (state.health.needsProbe() && sends.contains(state.health.probe().value()));
}

/// True if this gateway has ejected the target, or another one has reported it as ejected since this gateway's last success there. Without the reports, each of
/// many gateways would lose some requests before it detects the failure.
auto Dispatcher::Private::isEjected(const TargetId &id, const TargetState &state, TimePoint now) const -> bool
{
    return isEjectedHere(state, now) || peerLoads.isEjected(id, state.health.succeededAt(), now);
}

/// The highest recent share of failures at this gateway or reported by another one. Without the reports, a target that answers with errors would cost every
/// gateway some requests.
auto Dispatcher::Private::highestFailures(const TargetId &id, const TargetState &state, TimePoint now) const -> double
{
    return std::max(state.health.failures(now), peerLoads.worstFailures(id, now));
}

// [SECTION] Choosing

/// Milliseconds until a slot in the runner's batch is free for a request of that band. Streams end one after another, and waiting requests that are at least
/// as urgent go first.
auto Dispatcher::Private::slotWait(const TargetState &state, const PeerWork &peers, int slots, UrgencyBand band) const -> double
{
    const double eachMillis = std::max(requestCost.prefillSeconds() * MillisPerSecond, 1.0);
    const auto waiting = [&](UrgencyBand upToBand) {
        return state.prefillQueue.waiting(upToBand) + pendingUpTo(peers.pendingPrefill, upToBand) / eachMillis;
    };
    const double streams = state.running + peers.running - waiting(UrgencyBand::Patient);
    const double lacking = waiting(band) + 1 - std::max(slots - streams, 0.0);
    return std::max(lacking, 0.0) * requestCost.slotSeconds() * MillisPerSecond;
}

/// Milliseconds by which recent prefill and `prefill` together exceed the share of the pause goal that prefill may take between two events of a stream.
auto Dispatcher::Private::stallMillis(const TargetState &state, double prefill, Duration pauseGoal, TimePoint now) const -> double
{
    return std::max(state.recent.within(pauseGoal, now) + prefill - toMillis(pauseGoal) * options.prefillShare, 0.0);
}

auto Dispatcher::Private::estimateRunner(
    const DispatchRequest &request, const TargetState &state, const PeerWork &peers, Estimate &estimate, TimePoint now) const -> void
{
    const auto *engine = engineOf(request.service);
    estimate.othersPrefill = pendingUpTo(peers.pendingPrefill, UrgencyBand::Patient) > 0;
    estimate.prefillTokens = std::max(request.promptTokens - state.cache.cachedTokens(request.prompt), 0);
    const auto own = state.prefillQueue.byBand(now);
    const auto before = [&](UrgencyBand band) {
        return pendingUpTo(own, band) + pendingUpTo(peers.pendingPrefill, band);
    };
    double backlog = before(request.band);
    const double patient = before(UrgencyBand::Patient) - backlog;
    const auto inMemory = state.tokens + peers.tokens + request.promptTokens + request.outputTokens;
    const int slots = engine == nullptr ? state.description.slots : engine->slots;
    // If the KV memory is full, the request waits until others end, or others are evicted and have to be prefilled again.
    constexpr double MemoryFullMillis = 1000;
    if (engine != nullptr && inMemory > engine->kvTokens) {
        backlog += MemoryFullMillis * static_cast<double>(inMemory - engine->kvTokens) / std::max(engine->kvTokens, 1);
    }
    backlog += slotWait(state, peers, slots, request.band);
    const double patientWait = slotWait(state, peers, slots, UrgencyBand::Patient) - slotWait(state, peers, slots, request.band);
    const double perToken = pace.millisPerToken(request.model) * prefillSlowness(state, request.pauseGoal, now);
    const double prefill = estimate.prefillTokens * perToken;
    estimate.backlog = fromMillis(backlog);
    estimate.first = estimate.backlog + fromMillis(prefill + pace.firstStepMillis(request.model));
    estimate.ifPatient = estimate.first + fromMillis(patient + patientWait);
    const auto lateness = latenessMillis(request, state, peers, estimate.prefillTokens, now);
    // Where the lateness is known, slow prefill counts only as far as it makes streams late (see stallMillis). Otherwise it would reduce a slow target's share
    // below its speed, even with a few streams that are all on time.
    const double countedPrefill = lateness ? estimate.prefillTokens * pace.millisPerToken(request.model) : prefill;
    estimate.cost = backlog + countedPrefill + stallMillis(state, prefill, request.pauseGoal, now) + lateness.value_or(0);
    if (request.promptTokens >= options.longPromptTokens && estimate.prefillTokens >= options.longPromptTokens / 2) {
        estimate.cost += toMillis(options.stallPenaltyPerStream) * (state.running + peers.running);
    }
}

auto Dispatcher::Private::estimatePlain(
    const DispatchRequest &request, const TargetState &state, const PeerWork &peers, Estimate &estimate, TimePoint now) const -> void
{
    const double time = plainServiceTime(request.service) * state.health.slowness(now);
    const double slots = std::max(state.description.slots, 1);
    // Requests that other gateways had in flight when they reported have been ending since then.
    const double before = state.running + peers.running * std::exp(-peers.ageMillis / std::max(time, 1.0));
    const double wait = std::max(before + 1 - slots, 0.0) / slots * time;
    constexpr double LoadShare = 0.25; // added to the cost of a full target, as a share of the service time: a target with more free slots is slightly faster
    estimate.backlog = fromMillis(wait);
    estimate.first = fromMillis(wait + time);
    estimate.cost = wait + time * (1 + LoadShare * before / slots);
}

auto Dispatcher::Private::estimate(const DispatchRequest &request, const TargetId &id, const TargetState &state, TimePoint now) const -> Estimate
{
    Estimate estimate;
    estimate.target = id;
    estimate.state = &state;
    const auto peers = peerLoads.work(id, now);
    if (request.model.empty()) {
        estimatePlain(request, state, peers, estimate, now);
    } else {
        estimateRunner(request, state, peers, estimate, now);
    }
    if (state.description.zone != options.zone) {
        estimate.cost += toMillis(options.otherZonePenalty);
    }
    if (options.isConnected && !options.isConnected(state.description.address)) {
        estimate.cost += toMillis(options.newConnectionPenalty);
    }
    estimate.cost += toMillis(state.description.warmupRemaining) > 0 ? estimate.cost : 0; // doubled while the target is slow after its start
    return estimate;
}

/// Whether the target's software version may serve the request.
auto Dispatcher::Private::mayTake(const DispatchRequest &request, const TargetDescription &target) const -> bool
{
    if (request.softwareVersion) {
        return !target.softwareVersion.isEmpty() && target.softwareVersion == *request.softwareVersion;
    }
    return !request.isStream || !options.mayBegin || options.mayBegin(request.service, target.softwareVersion);
}

/// Lowers the cost of the runner that ranks first for the prompt's shared prefix. All gateways compute the same ranking, so they choose the same runner for a
/// prefix that isn't known to be cached anywhere.
auto Dispatcher::Private::applyRankBonus(const DispatchRequest &request, std::vector<Estimate> &estimates) const -> void
{
    if (request.prompt.size() < 2) {
        return;
    }
    const auto &shared = request.prompt[request.prompt.size() - 2];
    const auto subject = std::to_string(shared.hash);
    const auto score = [&](const Estimate &estimate) {
        return rendezvousScore(subject, estimate.target.text());
    };
    const auto first = std::max_element(estimates.begin(), estimates.end(), [&](const Estimate &a, const Estimate &b) { return score(a) < score(b); });
    const double perToken = pace.millisPerToken(request.model);
    const int sharedTokens = request.promptTokens - request.prompt.back().tokens;
    for (auto &estimate : estimates) {
        const int sharedPrefill = std::clamp(estimate.prefillTokens - request.prompt.back().tokens, 0, sharedTokens);
        const bool isFirst = estimate.target == first->target;
        estimate.cost -= isFirst ? options.unreportedHitProbability * sharedPrefill * perToken : 0;
    }
}

/// Reduces the estimates to a few healthy targets drawn at random. A plain request takes less time than the digests of the other gateways are old: if all
/// gateways chose the target that looked least loaded, they would fill it together and leave the others idle. The better of two random targets spreads them.
auto Dispatcher::Private::sampleCandidates(std::vector<Estimate> &estimates, TimePoint now) const -> void
{
    std::vector<Estimate> healthy;
    for (const auto &estimate : estimates) {
        if (!isEjected(estimate.target, *estimate.state, now) && highestFailures(estimate.target, *estimate.state, now) <= options.failureThreshold) {
            healthy.push_back(estimate);
        }
    }
    const auto choices = static_cast<std::size_t>(options.plainChoices);
    if (healthy.size() <= choices) {
        return;
    }
    const auto draw = std::to_string(options.seed + lastSend.value()) + "@" + std::to_string((now - TimePoint()).inMicros());
    const auto isBefore = [&](const Estimate &a, const Estimate &b) {
        return rendezvousScore(draw, a.target.text()) < rendezvousScore(draw, b.target.text());
    };
    std::sort(healthy.begin(), healthy.end(), isBefore);
    healthy.resize(choices);
    estimates = std::move(healthy);
}

/// Removes the targets whose request limit allows no request now, and returns them.
auto Dispatcher::Private::takeOverLimit(std::vector<Estimate> &estimates) const -> std::vector<Estimate>
{
    if (!options.maySend) {
        return {};
    }
    const auto mayTake = [&](const Estimate &estimate) {
        return options.maySend(estimate.state->description.incarnation);
    };
    const auto first = std::stable_partition(estimates.begin(), estimates.end(), mayTake);
    std::vector<Estimate> overLimit(first, estimates.end());
    estimates.erase(first, estimates.end());
    return overLimit;
}

/// Number of runs that the runner can take at once.
auto Dispatcher::Private::capacity(const TargetState &state) const -> int
{
    const auto *engine = engineOf(state.description.service);
    return engine == nullptr ? state.description.slots : engine->slots;
}

auto Dispatcher::Private::needsPermit(const TargetState &state, double crowding, TimePoint now) const -> bool
{
    const int slots = capacity(state);
    if (!options.sendLimit || slots <= 0) {
        return false;
    }
    const auto &incarnation = state.description.incarnation;
    const auto limit = options.sendLimit(incarnation, slots, crowding);
    return limit && state.running + peerLoads.work(incarnation.id, now).running >= *limit;
}

/// Removes the runners to which a send needs a permit, and returns them, unless the request may be sent without one. If all healthy runners need a permit,
/// those that are ejected or failing are removed as well: a request that waits for a slot is served sooner than one that is sent there.
auto Dispatcher::Private::takeFull(const DispatchRequest &request, std::vector<Estimate> &estimates, TimePoint now) const -> std::vector<Estimate>
{
    if (!options.sendLimit || request.model.empty() || request.granted || request.mayOverfill) {
        return {};
    }
    const auto isHealthy = [&](const Estimate &estimate) {
        return !isEjected(estimate.target, *estimate.state, now) && highestFailures(estimate.target, *estimate.state, now) <= options.failureThreshold;
    };
    const auto all = estimates.size();
    std::vector<Estimate> full;
    const auto takeThose = [&](double crowding) {
        const auto isFree = [&](const Estimate &estimate) {
            return !needsPermit(*estimate.state, crowding, now);
        };
        const auto first = std::stable_partition(estimates.begin(), estimates.end(), isFree);
        full.insert(full.end(), first, estimates.end());
        estimates.erase(first, estimates.end());
    };
    takeThose(1);
    if (!full.empty() && !estimates.empty()) {
        takeThose(static_cast<double>(all) / static_cast<double>(estimates.size()));
    }
    if (std::any_of(full.begin(), full.end(), isHealthy)) {
        if (std::none_of(estimates.begin(), estimates.end(), isHealthy)) {
            estimates.clear();
        }
        std::erase_if(full, [&](const Estimate &estimate) { return !isHealthy(estimate); });
    }
    return full;
}

auto Dispatcher::choose(const DispatchRequest &request, TimePoint now) const -> DispatchChoice
{
    DispatchChoice choice;
    choice.refusal = DispatchRefusal::NoTarget;
    std::vector<Estimate> estimates;
    bool hasStayingReplica = false; // a replica of the model that isn't draining, with or without the adapter
    for (const auto &[id, state] : d->targets) {
        const auto &description = state.description;
        if (description.service != request.service || description.isLeaving || (request.granted && description.incarnation != *request.granted)) {
            continue;
        }
        if (!d->mayTake(request, description)) {
            choice.refusal = std::max(choice.refusal, DispatchRefusal::OtherVersion);
            continue;
        }
        const auto pausedUntil = d->pauses.until(description.incarnation, now);
        bool isDraining = false;
        if (!request.model.empty()) {
            const auto *held = description.model(request.model);
            if (held == nullptr) {
                choice.refusal = std::max(choice.refusal, DispatchRefusal::NotHeld);
                continue;
            }
            isDraining = held->isDraining;
            const bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
            hasStayingReplica = hasStayingReplica || (!isDraining && !isExcluded && !pausedUntil && !d->isEjected(id, state, now));
            if (!request.adapter.empty() && !held->hasAdapter(request.adapter)) {
                choice.refusal = std::max(choice.refusal, DispatchRefusal::AdapterMissing);
                continue;
            }
        }
        if (std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end()) {
            choice.refusal = std::max(choice.refusal, DispatchRefusal::AllExcluded);
            continue;
        }
        if (pausedUntil) {
            choice.refusal = std::max(choice.refusal, DispatchRefusal::Paused);
            choice.pausedUntil = std::min(choice.pausedUntil.value_or(*pausedUntil), *pausedUntil);
            continue;
        }
        estimates.push_back(d->estimate(request, id, state, now));
        estimates.back().isDraining = isDraining;
    }
    if (hasStayingReplica && std::erase_if(estimates, [](const Estimate &estimate) { return estimate.isDraining; }) > 0 && estimates.empty()) {
        // A replica that stays can load the adapter within milliseconds. Requests sent to the draining replica could keep it from ever being unloaded.
        choice.refusal = DispatchRefusal::AdapterMissing;
    }
    choice.canLoadAdapter = hasStayingReplica && !request.adapter.empty();
    if (estimates.empty()) {
        return choice;
    }
    d->applyRankBonus(request, estimates);
    const auto rank = [&](const Estimate &estimate) {
        const bool isFailing = d->highestFailures(estimate.target, *estimate.state, now) > d->options.failureThreshold;
        return std::tuple(d->isEjected(estimate.target, *estimate.state, now), isFailing, estimate.cost);
    };
    const auto isBetter = [&](const Estimate &a, const Estimate &b) {
        return rank(a) < rank(b);
    };
    const auto overLimit = d->takeOverLimit(estimates);
    const auto bestOver = std::min_element(overLimit.begin(), overLimit.end(), isBetter);
    if (estimates.empty()) {
        choice.refusal = DispatchRefusal::OverLimit;
        choice.overLimit = bestOver->state->description.incarnation;
        return choice;
    }
    choice.candidates = static_cast<int>(estimates.size());
    auto full = d->takeFull(request, estimates, now);
    if (estimates.empty()) {
        constexpr std::size_t MaxFull = 2;
        std::sort(full.begin(), full.end(), isBetter);
        for (std::size_t i = 0; i < std::min(full.size(), MaxFull); ++i) {
            choice.full.push_back(full[i].state->description.incarnation);
        }
        choice.refusal = DispatchRefusal::Full;
        choice.expectedFirst = full.front().first;
        choice.backlog = full.front().backlog;
        return choice;
    }
    if (request.model.empty() && d->peerLoads.hasFresh(now)) {
        d->sampleCandidates(estimates, now);
    }
    const auto best = std::min_element(estimates.begin(), estimates.end(), isBetter);
    if (bestOver != overLimit.end() && isBetter(*bestOver, *best)) {
        choice.overLimit = bestOver->state->description.incarnation;
    }
    choice.isLastResort = d->isEjected(best->target, *best->state, now);
    choice.refusal = DispatchRefusal::None;
    choice.target = best->target;
    choice.incarnation = best->state->description.incarnation;
    choice.softwareVersion = best->state->description.softwareVersion;
    choice.address = best->state->description.address;
    choice.expectedFirst = best->first;
    choice.expectedIfPatient = best->ifPatient;
    choice.backlog = best->backlog;
    choice.prefillTokens = best->prefillTokens;
    return choice;
}

// [SECTION] Learning

auto Dispatcher::sent(const DispatchRequest &request, const TargetId &target, TimePoint now) -> SendId
{
    d->lastSend = d->lastSend.next();
    const auto found = d->targets.find(target);
    if (found == d->targets.end()) {
        return d->lastSend;
    }
    auto &state = found->second;
    const auto estimate = d->estimate(request, target, state, now);
    Send send;
    send.target = target;
    send.incarnation = state.description.incarnation;
    send.model = request.model;
    send.at = now;
    send.expectedFirst = estimate.first;
    send.backlog = estimate.backlog;
    send.prefillTokens = estimate.prefillTokens;
    send.slowness = request.model.empty() ? state.health.slowness(now) : d->prefillSlowness(state, request.pauseGoal, now);
    send.pauseGoal = request.model.empty() ? Duration() : request.pauseGoal;
    send.band = request.band;
    send.tokens = request.promptTokens + request.outputTokens;
    send.ownTokens = request.prompt.empty() ? request.promptTokens : request.prompt.back().tokens;
    if (state.health.needsProbe() && !d->isEjectedHere(state, now)) {
        state.health.beginProbe(d->lastSend);
    }
    ++state.running;
    state.tokens += send.tokens;
    if (!request.model.empty()) {
        send.prefillMillis = estimate.prefillTokens * d->pace.millisPerToken(request.model) * send.slowness;
        state.prefillQueue.add(d->lastSend, send.band, send.prefillMillis, !estimate.othersPrefill, now);
        state.recent.add(send.prefillMillis, now);
        d->newPrefill[target] += send.prefillMillis;
        state.cache.touch(request.prompt);
        for (const auto &chain : request.prompt) {
            d->newlyPrefilled.emplace_back(target, chain);
        }
    }
    ++d->runningByModel[{target, send.model}];
    d->sends[d->lastSend.value()] = send;
    return d->lastSend;
}

auto Dispatcher::prefillTime(SendId id) const -> Duration
{
    const auto found = d->sends.find(id.value());
    return found == d->sends.end() ? Duration() : fromMillis(found->second.prefillMillis);
}

auto Dispatcher::firstToken(SendId id, TimePoint now) -> void
{
    const auto found = d->sends.find(id.value());
    if (found == d->sends.end() || found->second.hasFirst) {
        return;
    }
    auto &send = found->second;
    send.hasFirst = true;
    send.firstAt = now;
    const auto target = d->targets.find(send.target);
    if (target == d->targets.end() || target->second.description.incarnation != send.incarnation) {
        return;
    }
    auto &state = target->second;
    state.prefillQueue.remove(id, now);
    state.health.recordSuccess(now);
    const auto took = toMillis(now - send.at);
    if (send.model.empty()) {
        return;
    }
    if (send.backlog <= MaxBacklogToLearn) {
        d->pace.observe(send.model, send.prefillTokens, took);
    }
    constexpr double MinExpected = 20; // milliseconds; for shorter expectations, the ratio is mostly chance
    const double ratio = took / std::max(toMillis(send.expectedFirst) / send.slowness, MinExpected);
    state.health.observeSlowness(ratio, now);
    if (send.pauseGoal > Duration()) {
        d->decodePace.observePrefill(send.target, ratio, now);
    }
}

auto Dispatcher::Private::observeCost(const Send &send, const TargetState &state, std::size_t bytes, TimePoint now) -> void
{
    const auto *engine = engineOf(state.description.service);
    ObservedAnswer answer;
    answer.prefill = fromMillis(send.ownTokens * pace.millisPerToken(send.model));
    answer.streaming = now - send.firstAt;
    answer.bytes = bytes;
    answer.slots = engine == nullptr ? state.description.slots : engine->slots;
    const auto time = decodePace.eventTime(send.model);
    if (time && send.pauseGoal > Duration()) {
        answer.decode = streamCost(*time, send.pauseGoal, answer.slots, static_cast<double>(send.events), options.capacity);
    }
    requestCost.observe(send.model, answer);
}

auto Dispatcher::ended(SendId id, SendResult result, TimePoint now, std::size_t bytes) -> void
{
    const auto found = d->sends.find(id.value());
    if (found == d->sends.end()) {
        return;
    }
    const auto send = found->second;
    d->sends.erase(found);
    const auto counted = d->runningByModel.find({send.target, send.model});
    if (counted != d->runningByModel.end() && --counted->second == 0) {
        d->runningByModel.erase(counted);
    }
    const auto target = d->targets.find(send.target);
    if (target == d->targets.end() || target->second.description.incarnation != send.incarnation) {
        return;
    }
    auto &state = target->second;
    --state.running;
    state.tokens -= send.tokens;
    if (!send.hasFirst && !send.model.empty()) {
        state.prefillQueue.remove(id, now);
    }
    if (result == SendResult::Delivered) {
        state.health.recordSuccess(now);
    }
    if (result == SendResult::NoAnswer) {
        state.health.eject(now);
    }
    if (result == SendResult::Delivered || result == SendResult::Failed || result == SendResult::NoAnswer) {
        state.health.observe(result != SendResult::Delivered, now);
    }
    if (result == SendResult::Delivered && !send.model.empty() && send.hasFirst) {
        d->observeCost(send, state, bytes, now);
    }
    if (result == SendResult::Delivered && send.model.empty()) {
        auto &time = d->plainServiceMillis.try_emplace(state.description.service, toMillis(d->options.plainServiceTime)).first->second;
        const double took = toMillis(now - send.at);
        time += (std::min(took, time * 4) - time) * d->options.learnRate;
        state.health.observeSlowness(took / std::max(time, 1.0), now);
    }
}

auto Dispatcher::askedToPause(const TargetIncarnation &target, Duration span, TimePoint now) -> void
{
    d->pauses.pause(target, span, now);
}

auto Dispatcher::expirePauses(TimePoint now) -> void
{
    d->pauses.expire(now);
}

auto Dispatcher::unreachable(const TargetId &target, TimePoint now) -> void
{
    const auto found = d->targets.find(target);
    if (found != d->targets.end()) {
        found->second.health.eject(now);
    }
}

// [SECTION] Decode pace

/// How much longer prefill takes at the target than expected. The factor of streams with a pause goal is remembered for longer than that of all requests.
auto Dispatcher::Private::prefillSlowness(const TargetState &state, Duration pauseGoal, TimePoint now) const -> double
{
    const double slowness = state.health.slowness(now);
    return pauseGoal <= Duration() ? slowness : std::max(slowness, decodePace.prefillFactor(state.description.incarnation.id, now));
}

/// The load in terms of a target of ordinary speed: the pending prefill at a slow target is estimated by its own speed.
auto Dispatcher::Private::decodeLoad(const TargetState &state, const PeerWork &peers, TimePoint now) const -> DecodeLoad
{
    const double prefill = pendingUpTo(state.prefillQueue.byBand(now), UrgencyBand::Patient) + pendingUpTo(peers.pendingPrefill, UrgencyBand::Patient);
    const double slowness = std::max(state.health.slowness(now), decodePace.prefillFactor(state.description.incarnation.id, now));
    return {static_cast<double>(state.running + peers.running), prefill / slowness};
}

/// The pace of the model's events at the target. Without observations of the model it follows from those of other models, or from the prior.
auto Dispatcher::Private::eventPace(const TargetState &state, const std::string &model, TimePoint now) const -> EventPace
{
    const auto time = decodePace.eventTime(model);
    return {time ? *time : decodePace.priorEventTime(), decodePace.relativeFactor(model, state.description.incarnation.id, now), 0};
}

/// Expected lateness of a stream, and of those that run at the target, if it is sent there; nothing: no pause goal, or the pace isn't known.
auto Dispatcher::Private::latenessMillis(
    const DispatchRequest &request, const TargetState &state, const PeerWork &peers, int prefillTokens, TimePoint now) const -> std::optional<double>
{
    if (request.pauseGoal <= Duration() || decodePace.isEmpty()) {
        return std::nullopt;
    }
    auto expected = eventPace(state, request.model, now);
    const auto load = decodeLoad(state, peers, now);
    expected.prefillMillis = load.prefillMillis;
    return addedLateness(expected, request.pauseGoal, load.runs, prefillTokens * pace.millisPerToken(request.model), options.capacity);
}

auto Dispatcher::decodePace() const -> const DecodePace &
{
    return d->decodePace;
}

auto Dispatcher::capacity(const TargetId &target, const std::string &model, Duration pauseGoal, TimePoint now) const -> int
{
    const auto found = d->targets.find(target);
    if (found == d->targets.end()) {
        return 0;
    }
    const int slots = d->capacity(found->second);
    const bool isKnown = d->decodePace.eventTime(model).has_value() || d->decodePace.hasFactor(target);
    if (pauseGoal <= Duration() || model.empty() || !isKnown) {
        return slots;
    }
    auto pace = d->eventPace(found->second, model, now);
    // The mean, not the pending prefill of this moment: a capacity that changed with each prompt would make a target full and free many times a second.
    pace.prefillMillis = d->decodePace.meanPrefill(model);
    return streamCapacity(pace, pauseGoal, slots, d->options.capacity);
}

/// Observes the mean time of the window's events, and opens the next window.
auto Dispatcher::Private::closeWindow(Send &send, const TargetState &state, TimePoint now) -> void
{
    const auto load = decodeLoad(state, peerLoads.work(send.target, now), now);
    auto &window = send.window;
    if (window.isOpen) {
        const DecodeLoad mean {(window.load.runs + load.runs) / 2, (window.load.prefillMillis + load.prefillMillis) / 2};
        decodePace.observe(send.model, send.target, mean, toMillis(now - window.since) / static_cast<double>(window.events), now);
    }
    window = {true, now, now, 0, load, 0};
}

auto Dispatcher::eventsReceived(SendId id, std::uint64_t events, TimePoint now) -> void
{
    const auto found = d->sends.find(id.value());
    if (found == d->sends.end() || events == 0) {
        return;
    }
    auto &send = found->second;
    send.events += events;
    const auto target = d->targets.find(send.target);
    if (send.pauseGoal <= Duration() || target == d->targets.end() || target->second.description.incarnation != send.incarnation) {
        return;
    }
    // Short enough to detect a slow target within a second, and long enough that thousands of events a second cost little.
    constexpr auto MinWindow = Duration::millis(100);
    auto &window = send.window;
    window.events += events;
    window.lastAt = now;
    window.stallMillis = 0;
    if (!window.isOpen || now - window.since >= MinWindow) {
        d->closeWindow(send, target->second, now);
    }
}

auto Dispatcher::readingStopped(SendId id) -> void
{
    const auto found = d->sends.find(id.value());
    if (found != d->sends.end()) {
        found->second.window = {};
    }
}

/// Observes the streams that wait for an event longer than expected. Without it, a target that stops for seconds would count as slow only after that time.
auto Dispatcher::Private::observeStalls(TimePoint now) -> void
{
    constexpr double StallFactor = 2; // of the expected time, and between two observations of the same pause
    for (auto &[id, send] : sends) {
        auto &window = send.window;
        const double millis = toMillis(now - window.lastAt);
        if (!window.isOpen || millis < window.stallMillis * StallFactor) {
            continue;
        }
        const auto target = targets.find(send.target);
        const auto time = decodePace.eventTime(send.model);
        if (!time || target == targets.end() || target->second.description.incarnation != send.incarnation) {
            continue;
        }
        // The lower limit avoids most of the computations below.
        const double factor = decodePace.decodeFactor(send.target, now);
        if (millis < StallFactor * factor * time->base) {
            continue;
        }
        const auto load = decodeLoad(target->second, peerLoads.work(send.target, now), now);
        if (millis >= StallFactor * factor * time->at(load)) {
            window.stallMillis = millis;
            decodePace.observeStall(send.model, send.target, load, millis, now);
        }
    }
}

// [SECTION] Digests

auto Dispatcher::takeDigest(const EntryId &self, TimePoint now) -> WorkDigest
{
    d->observeStalls(now);
    WorkDigest digest;
    digest.entry = self;
    digest.sequence = ++d->digests;
    digest.prefilled = std::move(d->newlyPrefilled);
    d->newlyPrefilled.clear();
    for (const auto &[id, state] : d->targets) {
        const double failures = state.health.failures(now);
        constexpr double MinReportedFailures = 0.05;
        // The ejection is reported for one digest lifetime longer, so that the gateway that detected the failure sends the probe before others send requests.
        const bool isEjected = d->isEjectedHere(state, now) || state.health.wasEjected(now, d->options.digestLifetime);
        if (state.running > 0 || failures > MinReportedFailures || isEjected) {
            TargetWork work {id, state.running, {}, state.tokens, failures, isEjected, d->decodePace.ownFactor(id, now)};
            const auto pending = state.prefillQueue.byBand(now);
            std::transform(pending.begin(), pending.end(), work.pendingPrefill.begin(), fromMillis);
            digest.work.push_back(work);
        }
    }
    return digest;
}

auto Dispatcher::merge(const WorkDigest &digest, TimePoint now) -> void
{
    if (!d->peerLoads.merge(digest, now)) {
        return;
    }
    for (const auto &work : digest.work) {
        d->decodePace.reported(work.target, work.decodeFactor, work.running, now);
    }
    for (const auto &[target, chain] : digest.prefilled) {
        const auto found = d->targets.find(target);
        if (found == d->targets.end()) {
            continue;
        }
        const auto &restartSeenAt = found->second.restartSeenAt;
        if (!restartSeenAt || now - *restartSeenAt > RestartDigestTime) {
            found->second.cache.touchOne(chain);
        }
    }
}

auto Dispatcher::takeSentPrefill() -> std::vector<SentPrefill>
{
    std::vector<SentPrefill> list;
    for (const auto &[target, millis] : d->newPrefill) {
        list.push_back({target, fromMillis(millis)});
    }
    d->newPrefill.clear();
    return list;
}

auto Dispatcher::merge(const std::vector<SentPrefill> &sent, TimePoint now) -> void
{
    for (const auto &report : sent) {
        const auto found = d->targets.find(report.target);
        if (found != d->targets.end()) {
            found->second.recent.add(toMillis(report.prefill), now);
        }
    }
}

auto Dispatcher::gatewayGone(const EntryId &entry) -> void
{
    d->peerLoads.gatewayGone(entry);
}

} // namespace KingCup
