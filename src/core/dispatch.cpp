// Index of sections (search for [SECTION]):
//   State        targets and sends
//   Choosing     the estimate and the choice
//   Learning     from what came back
//   Digests      to and from other entries
#include "core/dispatch.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <map>
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
    case DispatchRefusal::NotHeld:
        return "not-held";
    case DispatchRefusal::AdapterMissing:
        return "adapter-missing";
    case DispatchRefusal::AllExcluded:
        return "all-excluded";
    }
    return "?";
}

// [SECTION] State

namespace
{

constexpr double MicrosPerMilli = 1000;

auto fromMillis(double millis) -> Duration
{
    return Duration::micros(static_cast<std::int64_t>(millis * MicrosPerMilli));
}

auto toMillis(Duration span) -> double
{
    return static_cast<double>(span.inMicros()) / MicrosPerMilli;
}

/// What is known of one target.
struct TargetState {
    TargetDescription description;
    PromptCache cache;
    int running = 0; ///< own sends without an end
    std::int64_t tokens = 0; ///< of those, the memory they may take
    TimePoint readUntil; ///< when the engine has probably read all prompts of own sends
    double unreadMillis = 0; ///< of own sends without a first token
    double slowness = 1; ///< observed over expected time to the first token
    double failures = 0;
    TimePoint failuresAt;
};

/// One send without an end.
struct Send {
    TargetId target;
    TargetIncarnation incarnation;
    std::string model;
    TimePoint at;
    Duration expectedFirst;
    Duration backlog;
    double readMillis = 0; ///< expected for its own prompt
    int unreadTokens = 0;
    std::int64_t tokens = 0;
    bool hasFirst = false;
};

struct HeardWork {
    std::uint64_t sequence = 0;
    TimePoint at;
    std::map<TargetId, TargetWork> work;
};

struct Estimate {
    TargetId target;
    const TargetState *state = nullptr;
    Duration first;
    Duration backlog;
    int unread = 0;
    double cost = 0; ///< milliseconds, with what only serves the choice
};

} // namespace

struct Dispatcher::Private {
    DispatchOptions options;
    std::map<TargetId, TargetState> targets;
    std::map<ServiceName, EngineDeclaration> engines;
    std::unordered_map<std::uint64_t, Send> sends;
    SendId lastSend;
    std::map<EntryId, HeardWork> heard;
    std::map<std::string, double> readMillis; ///< per token, by model
    std::map<ServiceName, double> plainMillis;
    std::map<std::string, double> meanRead; ///< milliseconds of reading that a request of the model took, by model
    std::vector<std::pair<TargetId, PromptChain>> newlyRead;
    std::uint64_t digests = 0;

    auto engineOf(const ServiceName &service) const -> const EngineDeclaration *
    {
        const auto found = engines.find(service);
        return found == engines.end() ? nullptr : &found->second;
    }
    auto millisPerToken(const std::string &model) const -> double
    {
        const auto found = readMillis.find(model);
        return found == readMillis.end() ? options.millisPerToken : found->second;
    }
    auto plainTime(const ServiceName &service) const -> double
    {
        const auto found = plainMillis.find(service);
        return found == plainMillis.end() ? toMillis(options.plainTime) : found->second;
    }
    auto failuresOf(const TargetState &state, TimePoint now) const -> double
    {
        const double halves = (now - state.failuresAt).inSeconds() / options.forgetFailures.inSeconds();
        return state.failures * std::exp2(-std::max(halves, 0.0));
    }
    auto addResult(TargetState &state, double failed, TimePoint now) const -> void
    {
        constexpr double Weight = 0.3; // three failures in a row bring a sound target over the bound
        state.failures = failuresOf(state, now) * (1 - Weight) + failed * Weight;
        state.failuresAt = now;
    }
    struct Others {
        int running = 0;
        double backlogMillis = 0;
        std::int64_t tokens = 0;
    };
    auto others(const TargetId &target, TimePoint now) const -> Others;
    auto estimate(const DispatchRequest &request, const TargetId &id, const TargetState &state, TimePoint now) const -> Estimate;
    auto estimateRunner(const DispatchRequest &request, const TargetState &state, const Others &rest, Estimate &made, TimePoint now) const -> void;
    auto estimatePlain(const DispatchRequest &request, const TargetState &state, const Others &rest, Estimate &made) const -> void;
    auto addRankPenalty(const DispatchRequest &request, std::vector<Estimate> &estimates) const -> void;
};

Dispatcher::Dispatcher(DispatchOptions options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
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

auto Dispatcher::description(const TargetId &target) const -> const TargetDescription *
{
    const auto found = d->targets.find(target);
    return found == d->targets.end() ? nullptr : &found->second.description;
}

auto Dispatcher::running(const TargetId &target, TimePoint now) const -> int
{
    const auto found = d->targets.find(target);
    return (found == d->targets.end() ? 0 : found->second.running) + d->others(target, now).running;
}

auto Dispatcher::failures(const TargetId &target, TimePoint now) const -> double
{
    const auto found = d->targets.find(target);
    return found == d->targets.end() ? 0 : d->failuresOf(found->second, now);
}

auto Dispatcher::occupancy(const std::string &model, Duration ran, double slots) const -> double
{
    const auto found = d->meanRead.find(model);
    const double read = found == d->meanRead.end() ? 0 : found->second / 1000;
    return read + ran.inSeconds() / std::max(slots, 1.0);
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
        state = TargetState();
        state.failuresAt = now;
        const auto *engine = d->engineOf(target.service);
        state.cache.setCapacity(engine == nullptr ? 0 : engine->kvTokens);
    }
    state.description = target;
}

auto Dispatcher::targetGone(const TargetId &target) -> void
{
    d->targets.erase(target);
}

auto Dispatcher::targetHolds(const TargetId &target, const std::vector<HeldModel> &models) -> void
{
    const auto found = d->targets.find(target);
    if (found != d->targets.end()) {
        found->second.description.models = models;
    }
}

// [SECTION] Choosing

auto Dispatcher::Private::others(const TargetId &target, TimePoint now) const -> Others
{
    Others sum;
    for (const auto &[entry, told] : heard) {
        const auto found = told.work.find(target);
        if (found == told.work.end() || now - told.at > options.workLifetime) {
            continue;
        }
        sum.running += found->second.running;
        sum.tokens += found->second.tokens;
        sum.backlogMillis += std::max(toMillis(found->second.backlog) - toMillis(now - told.at), 0.0);
    }
    return sum;
}

auto Dispatcher::Private::estimateRunner(const DispatchRequest &request, const TargetState &state, const Others &rest, Estimate &made, TimePoint now) const
    -> void
{
    const auto *engine = engineOf(request.service);
    made.unread = std::max(request.promptTokens - state.cache.cachedTokens(request.prompt), 0);
    double backlog = std::max(toMillis(state.readUntil - now), 0.0) + rest.backlogMillis;
    const auto inMemory = state.tokens + rest.tokens + request.promptTokens + request.outputTokens;
    const int slots = engine == nullptr ? state.description.slots : engine->slots;
    // Without room the request waits until others end, or has them thrown out and read anew.
    constexpr double FullMillis = 1000;
    if (engine != nullptr && inMemory > engine->kvTokens) {
        backlog += FullMillis * static_cast<double>(inMemory - engine->kvTokens) / std::max(engine->kvTokens, 1);
    }
    if (state.running + rest.running >= slots) {
        backlog += FullMillis;
    }
    const double perToken = millisPerToken(request.model) * state.slowness;
    const double read = made.unread * perToken;
    made.backlog = fromMillis(backlog);
    made.first = made.backlog + fromMillis(read) + options.firstStep;
    made.cost = backlog + read;
}

auto Dispatcher::Private::estimatePlain(const DispatchRequest &request, const TargetState &state, const Others &rest, Estimate &made) const -> void
{
    const double time = plainTime(request.service) * state.slowness;
    const double slots = std::max(state.description.slots, 1);
    const double before = state.running + rest.running;
    const double wait = std::max(before + 1 - slots, 0.0) / slots * time;
    constexpr double LoadShare = 0.25; // of the service time: an emptier target is a little quicker also below its slots
    made.backlog = fromMillis(wait);
    made.first = fromMillis(wait + time);
    made.cost = wait + time * (1 + LoadShare * before / slots);
}

auto Dispatcher::Private::estimate(const DispatchRequest &request, const TargetId &id, const TargetState &state, TimePoint now) const -> Estimate
{
    Estimate made;
    made.target = id;
    made.state = &state;
    const auto rest = others(id, now);
    if (request.model.empty()) {
        estimatePlain(request, state, rest, made);
    } else {
        estimateRunner(request, state, rest, made, now);
    }
    if (state.description.zone != options.zone) {
        made.cost += toMillis(options.otherZone);
    }
    made.cost += toMillis(state.description.slowFor) > 0 ? made.cost : 0; // still slow after its start
    return made;
}

/// Where a prompt's shared beginning is to be read if nobody is known to have it: all entries rank the runners alike.
auto Dispatcher::Private::addRankPenalty(const DispatchRequest &request, std::vector<Estimate> &estimates) const -> void
{
    if (request.prompt.size() < 2) {
        return;
    }
    const auto &shared = request.prompt[request.prompt.size() - 2];
    const auto subject = std::to_string(shared.hash);
    const auto score = [&](const Estimate &made) {
        return rendezvousScore(subject, made.target.text());
    };
    const auto first = std::max_element(estimates.begin(), estimates.end(), [&](const Estimate &a, const Estimate &b) { return score(a) < score(b); });
    const double perToken = millisPerToken(request.model);
    const int sharedTokens = request.promptTokens - request.prompt.back().tokens;
    for (auto &made : estimates) {
        const int unreadShared = std::clamp(made.unread - request.prompt.back().tokens, 0, sharedTokens);
        const bool isFirst = made.target == first->target;
        made.cost -= isFirst ? options.unknownShare * unreadShared * perToken : 0;
    }
}

auto Dispatcher::choose(const DispatchRequest &request, TimePoint now) const -> DispatchChoice
{
    DispatchChoice choice;
    choice.refusal = DispatchRefusal::NoTarget;
    std::vector<Estimate> estimates;
    for (const auto &[id, state] : d->targets) {
        const auto &about = state.description;
        if (about.service != request.service || about.isLeaving) {
            continue;
        }
        if (!request.model.empty()) {
            const auto *held = about.model(request.model);
            if (held == nullptr) {
                choice.refusal = std::max(choice.refusal, DispatchRefusal::NotHeld);
                continue;
            }
            if (!request.adapter.empty() && !held->hasAdapter(request.adapter)) {
                choice.refusal = std::max(choice.refusal, DispatchRefusal::AdapterMissing);
                continue;
            }
        }
        if (std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end()) {
            choice.refusal = DispatchRefusal::AllExcluded;
            continue;
        }
        estimates.push_back(d->estimate(request, id, state, now));
    }
    if (estimates.empty()) {
        return choice;
    }
    d->addRankPenalty(request, estimates);
    const auto failing = [&](const Estimate &made) {
        return d->failuresOf(*made.state, now) > d->options.failuresToAvoid;
    };
    const auto best = std::min_element(estimates.begin(), estimates.end(), [&](const Estimate &a, const Estimate &b) {
        return std::pair(failing(a), a.cost) < std::pair(failing(b), b.cost);
    });
    choice.refusal = DispatchRefusal::None;
    choice.target = best->target;
    choice.address = best->state->description.address;
    choice.expectedFirst = best->first;
    choice.backlog = best->backlog;
    choice.unreadTokens = best->unread;
    choice.candidates = static_cast<int>(estimates.size());
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
    const auto made = d->estimate(request, target, state, now);
    Send send;
    send.target = target;
    send.incarnation = state.description.incarnation;
    send.model = request.model;
    send.at = now;
    send.expectedFirst = made.first;
    send.backlog = made.backlog;
    send.unreadTokens = made.unread;
    send.tokens = request.promptTokens + request.outputTokens;
    ++state.running;
    state.tokens += send.tokens;
    if (!request.model.empty()) {
        send.readMillis = made.unread * d->millisPerToken(request.model) * state.slowness;
        auto &mean = d->meanRead.try_emplace(request.model, send.readMillis).first->second;
        mean += (send.readMillis - mean) * d->options.learnRate;
        state.unreadMillis += send.readMillis;
        state.readUntil = std::max(state.readUntil, now) + fromMillis(send.readMillis);
        state.cache.touch(request.prompt);
        for (const auto &chain : request.prompt) {
            d->newlyRead.emplace_back(target, chain);
        }
    }
    d->sends[d->lastSend.value()] = send;
    return d->lastSend;
}

auto Dispatcher::firstToken(SendId id, TimePoint now) -> void
{
    const auto found = d->sends.find(id.value());
    if (found == d->sends.end() || found->second.hasFirst) {
        return;
    }
    auto &send = found->second;
    send.hasFirst = true;
    const auto target = d->targets.find(send.target);
    if (target == d->targets.end() || target->second.description.incarnation != send.incarnation) {
        return;
    }
    auto &state = target->second;
    state.unreadMillis = std::max(state.unreadMillis - send.readMillis, 0.0);
    state.readUntil = now + fromMillis(state.unreadMillis);
    const auto took = toMillis(now - send.at);
    if (send.model.empty()) {
        return;
    }
    const double rate = d->options.learnRate;
    constexpr int LeastTokens = 400; // below, the step's time outweighs reading
    const double beforeReading = toMillis(send.backlog) + toMillis(d->options.firstStep);
    if (send.unreadTokens >= LeastTokens && send.backlog < Duration::millis(20)) {
        auto &perToken = d->readMillis.try_emplace(send.model, d->options.millisPerToken).first->second;
        constexpr double LeastPerToken = 0.002;
        constexpr double MostPerToken = 0.5;
        const double observed = std::clamp((took - beforeReading) / send.unreadTokens, LeastPerToken, MostPerToken);
        perToken += (observed / state.slowness - perToken) * rate;
    }
    constexpr double MostSlowness = 10;
    const double expected = std::max(toMillis(send.expectedFirst), 20.0) / state.slowness;
    const double ratio = std::clamp(took / expected, 1.0, MostSlowness);
    state.slowness += (ratio - state.slowness) * rate;
}

auto Dispatcher::ended(SendId id, SendResult result, TimePoint now) -> void
{
    const auto found = d->sends.find(id.value());
    if (found == d->sends.end()) {
        return;
    }
    const auto send = found->second;
    d->sends.erase(found);
    const auto target = d->targets.find(send.target);
    if (target == d->targets.end() || target->second.description.incarnation != send.incarnation) {
        return;
    }
    auto &state = target->second;
    --state.running;
    state.tokens -= send.tokens;
    if (!send.hasFirst && !send.model.empty()) {
        state.unreadMillis = std::max(state.unreadMillis - send.readMillis, 0.0);
        state.readUntil = now + fromMillis(state.unreadMillis);
    }
    if (result == SendResult::Delivered || result == SendResult::Failed) {
        d->addResult(state, result == SendResult::Failed ? 1 : 0, now);
    }
    if (result == SendResult::Delivered && send.model.empty()) {
        auto &time = d->plainMillis.try_emplace(state.description.service, toMillis(d->options.plainTime)).first->second;
        const double took = toMillis(now - send.at);
        time += (std::min(took, time * 4) - time) * d->options.learnRate;
        const double ratio = std::clamp(took / std::max(time, 1.0), 0.5, 8.0);
        state.slowness += (std::max(ratio, 1.0) - state.slowness) * d->options.learnRate;
    }
}

auto Dispatcher::connectFailed(const TargetId &target, TimePoint now) -> void
{
    const auto found = d->targets.find(target);
    if (found != d->targets.end()) {
        // Nothing can be sent there at all: avoided at once.
        found->second.failures = 1;
        found->second.failuresAt = now;
    }
}

// [SECTION] Digests

auto Dispatcher::takeDigest(const EntryId &self, TimePoint now) -> WorkDigest
{
    WorkDigest digest;
    digest.entry = self;
    digest.sequence = ++d->digests;
    digest.read = std::move(d->newlyRead);
    d->newlyRead.clear();
    for (const auto &[id, state] : d->targets) {
        const double failures = d->failuresOf(state, now);
        constexpr double WorthTelling = 0.05;
        if (state.running > 0 || failures > WorthTelling) {
            digest.work.push_back({id, state.running, std::max(state.readUntil - now, Duration()), state.tokens, failures});
        }
    }
    return digest;
}

auto Dispatcher::merge(const WorkDigest &digest, TimePoint now) -> void
{
    auto &told = d->heard[digest.entry];
    if (digest.sequence <= told.sequence) {
        return;
    }
    told.sequence = digest.sequence;
    told.at = now;
    told.work.clear();
    for (const auto &work : digest.work) {
        told.work[work.target] = work;
    }
    for (const auto &[target, chain] : digest.read) {
        const auto found = d->targets.find(target);
        if (found != d->targets.end()) {
            found->second.cache.touchOne(chain);
        }
    }
}

auto Dispatcher::entryGone(const EntryId &entry) -> void
{
    d->heard.erase(entry);
}

} // namespace KingCup
