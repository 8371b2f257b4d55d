#include "agent/residencytask.h"

#include "core/residency.h"

#include <glog/logging.h>
#include <optional>

namespace KingCup
{

namespace
{

/// Consecutive status requests without an answer after which the engine counts as not ready.
constexpr int MissedStatusLimit = 2;
/// A status request that breaks off proves nothing, since a dying engine may still accept a connection. It is repeated after
/// StatusRetryDelay. An engine that doesn't answer for SilenceLimit counts as crashed.
constexpr auto StatusRetryDelay = Duration::millis(30);
constexpr auto SilenceLimit = Duration::seconds(2);

/// Nothing listens at the engine's address: it is down, not slow.
auto isGone(const Result<EngineView> &answer) -> bool
{
    return !answer && answer.error().code == ErrorCode::Unavailable;
}

/// A pending check of whether the engine has crashed since a call to it broke.
struct CrashCheck {
    std::uint64_t generation = 0; ///< of the engine when its call broke
    TimePoint since; ///< when the call broke
    std::function<void(bool hasCrashed)> done;
};

} // namespace

struct ResidencyTask::Private {
    EventLoop &loop;
    EngineClient &engine;
    ResidencySettings settings;
    ResidencyHooks hooks;
    std::optional<MemoryLedger> ledger;
    FencingSupport fencing = FencingSupport::Ignored;
    Declarations declarations;
    FloorPins pins;
    TimePoint startedAt;
    Timer stepTimer;
    std::string planner; ///< entry whose planner sent the surge request in force
    std::uint64_t surgeSequence = 0;
    TimePoint surgeRequestedAt;
    std::vector<ArtifactName> surge;
    std::uint64_t generation = 0; ///< of the engine; 0 before the first status
    std::uint64_t lastCrashedGeneration = 0;
    int missedStatus = 0;
    bool ready = false;
    bool isStatusPending = false;
    std::vector<CrashCheck> crashChecks;
    Timer statusRetry;
    TimePoint loadsDelayedUntil; ///< no loads are ordered before this time, because the weight store throttled one

    Private(EventLoop &ownerLoop, EngineClient &engineClient, ResidencySettings taskSettings, ResidencyHooks taskHooks)
        : loop(ownerLoop)
        , engine(engineClient)
        , settings(std::move(taskSettings))
        , hooks(std::move(taskHooks))
        , startedAt(loop.now())
    {
    }

    auto step() -> void;
    auto requestStatus() -> void;
    auto onStatus(TimePoint askedAt, const Result<EngineView> &answer) -> void;
    auto onGeneration(std::uint64_t reported) -> void;
    auto reportCrash(std::uint64_t crashedGeneration) -> void;
    auto raiseFence(Fence fence) -> void;
    auto giveOrders() -> void;
    auto giveOrder(const ResidencyOrder &order) -> bool;
    auto wants() const -> std::vector<WantedArtifact>;
    auto retired() const -> std::vector<ArtifactName>;
    auto setReady(bool isReady) -> void;
    auto completeCrashChecks(TimePoint askedAt, const Result<EngineView> &answer) -> void;
};

auto ResidencyTask::Private::setReady(bool isReady) -> void
{
    if (ready != isReady) {
        ready = isReady;
        LOG(INFO) << "engine: " << (ready ? "ready" : "not answering") << " generation=" << generation;
        hooks.onChanged();
    }
}

/// Reports the crash of a generation of the engine, once.
auto ResidencyTask::Private::reportCrash(std::uint64_t crashedGeneration) -> void
{
    if (crashedGeneration != 0 && crashedGeneration > lastCrashedGeneration) {
        lastCrashedGeneration = crashedGeneration;
        LOG(WARNING) << "engine: crashed generation=" << crashedGeneration;
        hooks.onCrash(crashedGeneration);
    }
}

auto ResidencyTask::Private::onGeneration(std::uint64_t reported) -> void
{
    if (generation != 0 && reported > generation) {
        reportCrash(generation);
    }
    generation = reported;
}

/// A status that was requested before a call broke doesn't show whether the engine has survived; such checks wait for the next status.
auto ResidencyTask::Private::completeCrashChecks(TimePoint askedAt, const Result<EngineView> &answer) -> void
{
    std::vector<CrashCheck> open;
    open.swap(crashChecks);
    for (auto &check : open) {
        const bool isNewer = answer && answer.value().status.generation > check.generation;
        const bool isAlive = answer && askedAt >= check.since;
        const bool isSilent = !answer && loop.now() - check.since > SilenceLimit;
        if (isSilent) {
            reportCrash(check.generation);
        }
        if (isGone(answer) || isNewer || isAlive || isSilent) {
            check.done(!isAlive || isNewer);
        } else {
            crashChecks.push_back(std::move(check));
        }
    }
    if (!crashChecks.empty()) {
        statusRetry = loop.after(StatusRetryDelay, [this] { requestStatus(); });
    }
}

auto ResidencyTask::Private::onStatus(TimePoint askedAt, const Result<EngineView> &answer) -> void
{
    isStatusPending = false;
    // The crash is reported before the checks complete: completing them ends requests that were in flight when the engine crashed.
    if (isGone(answer)) {
        reportCrash(generation);
    } else if (answer) {
        onGeneration(answer.value().status.generation);
    }
    completeCrashChecks(askedAt, answer);
    if (!answer) {
        ++missedStatus;
        if (isGone(answer) || missedStatus >= MissedStatusLimit) {
            setReady(false);
        }
        return;
    }
    missedStatus = 0;
    if (ledger) {
        ledger->statusReceived(askedAt, answer.value().status, loop.now());
    }
    setReady(true);
    hooks.onChanged();
    step();
}

auto ResidencyTask::Private::requestStatus() -> void
{
    if (isStatusPending) {
        return;
    }
    isStatusPending = true;
    const auto askedAt = loop.now();
    if (ledger) {
        ledger->statusRequested(askedAt);
    }
    engine.status([this, askedAt](const Result<EngineView> &answer) { onStatus(askedAt, answer); });
}

auto ResidencyTask::Private::raiseFence(Fence fence) -> void
{
    LOG(INFO) << "ledger: raising the fence fence=" << fence;
    ledger->fenceSent(fence, loop.now());
    engine.raiseFence(fence, [this, fence](const FenceReply &reply) {
        if (reply.kind == FenceReply::Kind::Raised) {
            ledger->fenceRaised(fence);
        } else if (reply.kind == FenceReply::Kind::Unsupported) {
            ledger->fenceUnsupported();
        }
        step();
    });
}

auto ResidencyTask::Private::step() -> void
{
    if (!ledger) {
        if (!ready) {
            requestStatus();
        }
        return;
    }
    const auto action = ledger->nextAction(loop.now());
    if (action.kind == LedgerAction::Kind::RequestStatus) {
        requestStatus();
    } else if (action.kind == LedgerAction::Kind::RaiseFence) {
        raiseFence(action.fence);
    }
    if (ready) {
        giveOrders();
    }
}

/// Floor replicas first, bases before their adapters, then the surge replicas in the planner's order.
auto ResidencyTask::Private::wants() const -> std::vector<WantedArtifact>
{
    std::vector<WantedArtifact> wanted;
    const auto add = [&](const ArtifactName &name, bool isFloor) {
        const auto artifact = declarations.artifacts.find(name);
        if (artifact != declarations.artifacts.end()) {
            wanted.push_back({name, artifact->second.base, artifact->second.size, isFloor});
        }
    };
    for (const auto kind : {ArtifactKind::ModelVersion, ArtifactKind::Adapter}) {
        for (const auto &name : pins.named()) {
            const auto artifact = declarations.artifacts.find(name);
            if (artifact != declarations.artifacts.end() && artifact->second.kind == kind) {
                add(name, true);
            }
        }
    }
    if (loop.now() - surgeRequestedAt < settings.surgeLifetime) {
        for (const auto &name : surge) {
            add(name, false);
        }
    }
    return wanted;
}

auto ResidencyTask::Private::retired() const -> std::vector<ArtifactName>
{
    std::vector<ArtifactName> names;
    for (const auto &resident : ledger->residents()) {
        // An old version stays while the floor names it: requests are routed to it until the new one is resident.
        if (!declarations.artifacts.contains(resident.artifact) && !pins.isPinned(resident.artifact)) {
            names.push_back(resident.artifact);
        }
    }
    return names;
}

auto ResidencyTask::Private::giveOrders() -> void
{
    ResidencyInput input;
    input.wanted = wants();
    input.retired = retired();
    input.isPinned = [this](const ArtifactName &name) {
        return pins.isPinned(name);
    };
    input.isInUse = hooks.isInUse;
    input.baseOf = [this](const ArtifactName &name) {
        const auto artifact = declarations.artifacts.find(name);
        return artifact == declarations.artifacts.end() ? ArtifactName() : artifact->second.base;
    };
    bool given = false;
    while (const auto order = nextResidencyOrder(*ledger, input)) {
        const bool isDelayed = order->kind == OrderKind::Load && loop.now() < loadsDelayedUntil;
        if (isDelayed || !giveOrder(*order)) {
            break;
        }
        given = true;
    }
    if (given) {
        hooks.onChanged();
    }
}

auto ResidencyTask::Private::giveOrder(const ResidencyOrder &order) -> bool
{
    const auto engineOrder = order.kind == OrderKind::Load ? ledger->orderLoad(order.artifact, order.base, order.bytes, loop.now())
                                                           : ledger->orderUnload(order.artifact, loop.now());
    if (!engineOrder) {
        return false;
    }
    LOG(INFO) << "placement: ordered " << (order.kind == OrderKind::Load ? "load" : "unload") << " artifact=" << order.artifact << " order=" << engineOrder->id
              << " fence=" << engineOrder->fence << " charged-gb=" << ledger->charged().inGigabytes() << " reason=" << order.reason;
    engine.order(*engineOrder, [this, id = engineOrder->id](const OrderReply &reply) {
        ledger->orderAnswered(id, reply.answer);
        if (reply.retryAfter > Duration()) {
            loadsDelayedUntil = loop.now() + reply.retryAfter;
        }
        // A refused order is repeated at the next regular step, not at once, since its cause may persist.
        if (reply.answer == OrderAnswer::Accepted) {
            step();
        }
    });
    return true;
}

ResidencyTask::ResidencyTask(EventLoop &loop, EngineClient &engine, ResidencySettings settings, ResidencyHooks hooks)
    : d(std::make_unique<Private>(loop, engine, std::move(settings), std::move(hooks)))
{
    d->stepTimer = loop.every(d->settings.stepPeriod, [this] { d->step(); });
    d->requestStatus();
}

ResidencyTask::~ResidencyTask() = default;

auto ResidencyTask::isEngineReady() const -> bool
{
    return d->ready;
}

auto ResidencyTask::isUsable(const ArtifactName &artifact) const -> bool
{
    return d->ready && d->ledger && d->ledger->isUsable(artifact);
}

auto ResidencyTask::ledger() const -> const MemoryLedger *
{
    return d->ledger ? &*d->ledger : nullptr;
}

auto ResidencyTask::isSettled() const -> bool
{
    return d->pins.isSettled();
}

auto ResidencyTask::isPinned(const ArtifactName &artifact) const -> bool
{
    return d->pins.isPinned(artifact);
}

auto ResidencyTask::planVersion() const -> RowVersion
{
    return d->pins.version();
}

auto ResidencyTask::engineGeneration() const -> std::uint64_t
{
    return d->generation;
}

auto ResidencyTask::adopt(const Declarations &declarations) -> void
{
    d->declarations = declarations;
    LedgerSettings settings;
    const auto target = declarations.targets.find(d->settings.target);
    if (target != declarations.targets.end()) {
        settings.fencing = target->second.fencing;
        settings.longestOrderDelay = target->second.longestOrderDelay;
    }
    settings.kvReserve = declarations.policy.kvReserve;
    settings.firstFence = d->settings.firstFence;
    // The ledger depends on the engine's kind of fencing. If that changes, a new ledger is started, as after a restart of the agent.
    if (!d->ledger || d->fencing != settings.fencing) {
        const bool isFirst = !d->ledger;
        d->fencing = settings.fencing;
        d->ledger.emplace(
            settings, d->settings.orderPrefix + (isFirst ? "a" : "b" + std::to_string(d->loop.now().inMicros())), isFirst ? d->startedAt : d->loop.now());
    }
    d->ledger->updateDeclaration(settings.longestOrderDelay, settings.kvReserve);
    d->step();
}

auto ResidencyTask::floorRowRead(RowSource source, RowVersion version, const FloorRow &row) -> void
{
    if (d->pins.rowRead(source, version, row.artifactsOf(d->settings.target))) {
        LOG(INFO) << "placement: adopted floor plan version=" << version << " artifacts=" << d->pins.named().size();
        d->step();
        d->hooks.onChanged();
    }
}

auto ResidencyTask::surgeRequested(const std::string &planner, std::uint64_t sequence, std::vector<ArtifactName> artifacts) -> void
{
    if (planner == d->planner && sequence <= d->surgeSequence) {
        return;
    }
    d->planner = planner;
    d->surgeSequence = sequence;
    d->surgeRequestedAt = d->loop.now();
    d->surge = std::move(artifacts);
    d->step();
}

auto ResidencyTask::checkForCrash(std::function<void(bool hasCrashed)> done) -> void
{
    d->crashChecks.push_back({d->generation, d->loop.now(), std::move(done)});
    d->requestStatus();
}

} // namespace KingCup
