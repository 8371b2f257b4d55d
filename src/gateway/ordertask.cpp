// Index of sections (search for [SECTION]):
//   State     runner books, pending artifacts, moves
//   Lease     the order lease's row in the store
//   Reports   calls for runners' reports
//   Orders    input of the copy plan, and the orders that it makes
//   Moves     replacements of one model by another on a runner
//   Adapters  loading of adapters that requests wait for
//   Sending   orders to runners and their answers
//   Task      public interface
#include "gateway/ordertask.h"

#include "core/demandhistory.h"
#include "gateway/runnercalls.h"
#include "net/httpstatus.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace KingCup
{

namespace
{

constexpr auto LeaseKey = "orders";
constexpr auto TickPeriod = Duration::millis(50);
/// Multiple of the settle time after which planning begins in any case, even if new targets keep arriving.
constexpr double MaxSettleFactor = 4;
/// An adapter counts as in use for this long after a request used it: about the duration of a stream of 300 tokens.
constexpr auto AdapterActiveTime = Duration::millis(2500);
/// An adapter that was used within this time isn't evicted for a second replica of another one: its next request would have to wait until it is loaded again.
constexpr auto RecentUseProtection = Duration::seconds(4);
constexpr auto DemandLogPeriod = Duration::seconds(1);
constexpr std::size_t MaxLoggedModels = 12;
/// How long the input of the copy plan is reused, see input().
constexpr auto PlanInputLifetime = Duration::millis(100);
/// Artifacts that become pending within this time are served together; much shorter than the load of an adapter.
constexpr auto PendingDelay = Duration::millis(1);

auto formatHeld(const std::vector<ResidentModel> &models) -> std::string
{
    std::string text;
    for (const auto &model : models) {
        text += (text.empty() ? "" : ",") + model.name;
        for (const auto &adapter : model.adapters) {
            text += "/" + adapter;
        }
    }
    return text;
}

/// A pending artifact. Only adapters are loaded from this list; models are loaded by planModels().
struct AdapterRequest {
    TimePoint at; ///< when it was last reported as missing
    int copies = 1; ///< number of runners that are to hold it
    TargetId orderedOn; ///< the runner that was last sent an order for it; empty: none
    TimePoint orderedAt;
};

} // namespace

auto toString(OrderVerdict verdict) -> const char *
{
    switch (verdict) {
    case OrderVerdict::Started:
        return "started";
    case OrderVerdict::Done:
        return "done";
    case OrderVerdict::Busy:
        return "busy";
    case OrderVerdict::Fenced:
        return "fenced";
    case OrderVerdict::Elsewhere:
        return "elsewhere";
    case OrderVerdict::Invalid:
        return "invalid";
    case OrderVerdict::Unclear:
        return "unclear";
    }
    return "?";
}

// [SECTION] State

struct OrderTask::Private {
    OrderTaskParts parts;
    OrderTaskSettings settings;
    OrderTaskHooks hooks;
    OrderLease lease;
    RunnerCalls calls;
    std::map<ServiceName, EngineDeclaration> engines;
    std::map<ServiceName, LoadMeter> loadMeters;
    std::map<TargetId, RunnerBook> books;
    std::map<MissingArtifact, AdapterRequest> pending;
    std::map<TargetId, CopyMove> moves; ///< in progress
    AdapterUses adapterUses;
    DemandHistory demandHistory;
    std::map<ServiceName, CopyPlanInput> planInputs; ///< see input(); they point into `books` and `engines`
    TimePoint planInputsAt;
    Timer pendingTimer;
    Timer tick;
    TimePoint plannedAt;
    TimePoint demandLoggedAt;
    TimePoint startedAt;
    TimePoint newTargetAt;
    bool wasHolder = false;
    bool stopped = false;

    Private(OrderTaskParts taskParts, OrderTaskSettings taskSettings, OrderTaskHooks taskHooks)
        : parts(taskParts)
        , settings(std::move(taskSettings))
        , hooks(std::move(taskHooks))
        , lease(settings.self, settings.lease, parts.loop.now())
        , calls(parts.loop, parts.pool, settings.answerTimeout)
        , demandHistory(settings.demandKnownAfter)
        , startedAt(parts.loop.now())
        , newTargetAt(startedAt)
    {
    }
    auto now() const -> TimePoint
    {
        return parts.loop.now();
    }
    auto mayOrder() const -> bool
    {
        return !stopped && lease.mayOrder(now());
    }
    auto onTick() -> void;
    auto stepLease() -> void;
    auto noteLeaseChange() -> void;
    auto requestReports() -> void;
    auto requestReport(RunnerBook &book) -> void;
    auto noteAnswer(const TargetIncarnation &target, const CollectedAnswer &answer) -> void;
    auto advanceBooks() -> void;
    auto logDemand(const CopyPlanInput &currentInput) -> void;
    auto residencyOf(const RunnerBook &book) const -> TargetDescription;
    auto beginMove(const BegunMove &begun) -> void;
    auto endMove(const TargetId &target, const char *why) -> void;
    auto endFinishedMoves() -> void;
    auto planModels() -> void;
    auto planSoon() -> void; ///< at the next tick, if moves are in progress
    auto servePendingSoon() -> void;
    auto servePending() -> void;
    auto countRunnersWith(const MissingArtifact &artifact) const -> int;
    auto serveAdapterRequest(const MissingArtifact &artifact, AdapterRequest &request) -> bool;
    auto noteMissingModels(const ServiceName &service, const CopyPlanInput &currentInput) -> void;
    auto addActiveAdapters(const ServiceName &service, std::map<std::string, ModelWork> &work) const -> void;
    auto input(const ServiceName &service) -> const CopyPlanInput &;
    auto planInput(const ServiceName &service) -> const CopyPlanInput &;
    auto sendOrder(const ServiceName &service, const PlannedOrder &planned) -> void;
    auto onOrderAnswer(const TargetIncarnation &target, const RunnerOrder &order, OrderVerdict verdict, int status) -> void;
    auto expectedTime(const ServiceName &service, const PlannedOrder &planned) const -> Duration;
    auto publishResidency(const RunnerBook &book) -> void;
    auto find(const TargetIncarnation &target) -> RunnerBook *;
};

auto OrderTask::Private::find(const TargetIncarnation &target) -> RunnerBook *
{
    const auto found = books.find(target.id);
    return found == books.end() || found->second.description().incarnation != target ? nullptr : &found->second;
}

/// The runner's description, with replicas that must get no new requests marked as draining.
auto OrderTask::Private::residencyOf(const RunnerBook &book) const -> TargetDescription
{
    auto description = book.description();
    for (auto &held : description.models) {
        held.isDraining = isDraining(moves, description.incarnation.id, held.name);
    }
    return description;
}

auto OrderTask::Private::publishResidency(const RunnerBook &book) -> void
{
    hooks.onResidency(residencyOf(book));
}

// [SECTION] Lease

auto OrderTask::Private::onTick() -> void
{
    if (stopped) {
        return;
    }
    stepLease();
    noteLeaseChange();
    advanceBooks();
    if (!mayOrder()) {
        return;
    }
    requestReports();
    const bool isSettled = now() - newTargetAt >= settings.settleTime || now() - startedAt >= settings.settleTime * MaxSettleFactor;
    if (isSettled && now() - plannedAt >= settings.planPeriod) {
        plannedAt = now();
        planModels();
    }
    servePending();
}

auto OrderTask::Private::stepLease() -> void
{
    const auto step = lease.nextStep(now());
    if (step == LeaseStep::Read) {
        lease.readStarted(now());
        parts.store.read(StoreTable::Leases, {LeaseKey, ""}, [this](const StoreAnswer &answer) {
            if (answer.outcome != StoreOutcome::Done) {
                lease.readFailed(now());
                return;
            }
            const auto *row = answer.page.find(LeaseKey);
            lease.rowRead(row == nullptr ? RowVersion() : row->version, row == nullptr ? "" : row->value, now());
        });
    } else if (step == LeaseStep::Write) {
        const auto write = lease.writeStarted(now());
        parts.store.change(StoreTable::Leases, {{LeaseKey, write.expected, write.value}}, [this](const StoreAnswer &answer) {
            if (answer.outcome == StoreOutcome::Done) {
                lease.writeCommitted(answer.version, now());
            } else if (answer.outcome == StoreOutcome::Unclear) {
                lease.writeOutcomeUnknown(now());
            } else {
                lease.writeRefused(now());
            }
        });
    }
}

auto OrderTask::Private::noteLeaseChange() -> void
{
    const bool isHolder = lease.mayOrder(now());
    if (isHolder == wasHolder) {
        return;
    }
    wasHolder = isHolder;
    parts.log.line("lease", isHolder ? "held" : "not-held").add("fence", lease.fence().value()).add("holder", lease.holder().text());
    parts.metrics.set("holds_order_lease", isHolder ? 1 : 0);
    if (isHolder) {
        for (auto &[id, book] : books) {
            book.takenOver(now());
        }
        demandHistory.restart();
        for (auto &[service, meter] : loadMeters) {
            meter.reset(now());
        }
        hooks.onLeaseAcquired();
    } else {
        for (auto &[id, book] : books) {
            book.invalidate(now());
        }
        moves.clear();
        hooks.onMoves(moves);
    }
}

// [SECTION] Reports

auto OrderTask::Private::requestReports() -> void
{
    for (auto &[id, book] : books) {
        const bool takesOrders = engines.contains(book.description().service);
        if (takesOrders && book.needsReport(now())) {
            requestReport(book);
        }
    }
}

/// Passes on what an answer says about the runner itself, or that another target has its address now.
auto OrderTask::Private::noteAnswer(const TargetIncarnation &target, const CollectedAnswer &answer) -> void
{
    if (answer.status == 0) {
        return;
    }
    const auto traits = parts.protocol.readAnswer(answer.head);
    if (traits.target.isEmpty() || traits.target == target.id) {
        hooks.onAnswer(target, traits);
    } else if (traits.isMisdirected) {
        hooks.onReplaced(target.id, traits.target);
    }
}

auto OrderTask::Private::requestReport(RunnerBook &book) -> void
{
    book.reportRequested(now());
    const auto incarnation = book.description().incarnation;
    calls.start(book.description().address, parts.protocol.reportCall, [this, incarnation](const CollectedAnswer &answer) {
        noteAnswer(incarnation, answer);
        auto *runner = find(incarnation);
        if (runner == nullptr) {
            return;
        }
        const auto report = answer.status == HttpStatus::Ok ? parts.protocol.decodeReport(answer.body) : std::nullopt;
        if (!report) {
            parts.log.line("orders", "no-report").add("target", incarnation.id.text()).add("status", answer.status);
            runner->reportFailed(now());
            return;
        }
        runner->reported(*report, now());
        parts.log.line("orders", "report")
            .add("target", incarnation.id.text())
            .add("orders", report->ordersTaken)
            .add("busy", report->isBusy)
            .add("running", report->running)
            .add("waiting", report->waiting)
            .add("kv", report->kvUsed)
            .add("holds", formatHeld(report->models))
            .add("under-way", static_cast<int>(report->adaptersLoading.size()));
        publishResidency(*runner);
        servePendingSoon();
    });
}

auto OrderTask::Private::advanceBooks() -> void
{
    for (auto &[id, book] : books) {
        if (book.advance(now())) {
            publishResidency(book);
        }
    }
    std::erase_if(pending, [&](const auto &request) { return now() - request.second.at > settings.pendingLifetime; });
}

// [SECTION] Orders

/// The input that both the copy plan and the placement of adapters need. Rebuilt at most once per PlanInputLifetime, or when a target or its service's engine
/// declaration changes: demand and other gateways' load don't change more often. If it were rebuilt for each request, this would take most of the lease
/// holder's processor time when many requests wait for adapters.
auto OrderTask::Private::input(const ServiceName &service) -> const CopyPlanInput &
{
    if (now() - planInputsAt >= PlanInputLifetime) {
        planInputs.clear();
        planInputsAt = now();
    }
    const auto [found, isNew] = planInputs.try_emplace(service);
    auto &result = found->second;
    if (isNew) {
        result.engine = &engines.at(service);
        result.work = hooks.work(service);
        addActiveAdapters(service, result.work);
        for (const auto &[id, book] : books) {
            if (book.description().service == service) {
                result.runners.push_back(&book);
                result.load[id] = hooks.load(id);
                if (const double unavailable = hooks.unavailable(book.description().incarnation); unavailable > 0) {
                    result.unavailable[id] = unavailable;
                }
                if (hooks.isFailing(id)) {
                    result.failing.insert(id);
                }
            }
        }
    }
    result.moves = moves;
    return result;
}

/// The input with the fields that only the copy plan needs. The placement of adapters, which may run hundreds of times a second, doesn't need them.
auto OrderTask::Private::planInput(const ServiceName &service) -> const CopyPlanInput &
{
    input(service);
    auto &result = planInputs.at(service);
    noteMissingModels(service, result);
    result.missingSince = demandHistory.missingSince(service);
    result.lastRequestAt = demandHistory.lastRequestAt();
    result.isDemandKnown = demandHistory.isKnown(now());
    result.drainingStreams = hooks.drainingStreams();
    result.estimatedStreams = hooks.estimatedStreams;
    return result;
}

/// Records which models are requested but neither held nor being loaded.
auto OrderTask::Private::noteMissingModels(const ServiceName &service, const CopyPlanInput &currentInput) -> void
{
    std::set<std::string> heldOrLoading;
    for (const auto *book : currentInput.runners) {
        for (const auto &held : book->description().models) {
            heldOrLoading.insert(held.name);
        }
        heldOrLoading.insert(book->loading().value_or(""));
    }
    std::set<std::string> requested;
    for (const auto &[model, work] : currentInput.work) {
        if (work.now > 0) {
            requested.insert(model);
        }
    }
    demandHistory.updateMissing(service, requested, heldOrLoading, now());
}

/// Counts the adapters in use or pending for each model. They occupy adapter slots while their streams run, so a model needs enough replicas for them too.
auto OrderTask::Private::addActiveAdapters(const ServiceName &service, std::map<std::string, ModelWork> &work) const -> void
{
    std::set<std::string> active; // "MODEL/ADAPTER"
    for (const auto &[place, usedAt] : adapterUses) {
        if (now() - usedAt < AdapterActiveTime) {
            active.insert(place.second);
        }
    }
    for (const auto &[artifact, request] : pending) {
        if (artifact.service == service && !artifact.adapter.empty()) {
            active.insert(artifact.model + "/" + artifact.adapter);
        }
    }
    for (const auto &name : active) {
        ++work[name.substr(0, name.find('/'))].activeAdapters;
    }
}

/// Logs the models with the most demand and their number of replicas, on which the current plan is based.
auto OrderTask::Private::logDemand(const CopyPlanInput &currentInput) -> void
{
    if (now() - demandLoggedAt < DemandLogPeriod) {
        return;
    }
    demandLoggedAt = now();
    std::vector<std::pair<double, std::string>> ranked;
    for (const auto &one : currentInput.work) {
        const auto &work = one.second;
        const auto holds = [&](const RunnerBook *runner) {
            return runner->description().model(one.first) != nullptr;
        };
        const auto copies = std::count_if(currentInput.runners.begin(), currentInput.runners.end(), holds);
        std::array<char, 64> text {};
        std::snprintf(text.data(), text.size(), ":%.2f>%.2f/%d", work.now, work.soon, static_cast<int>(copies));
        ranked.emplace_back(std::max(work.now, work.soon), one.first + text.data());
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::string list;
    for (std::size_t i = 0; i < std::min(ranked.size(), MaxLoggedModels); ++i) {
        list += (i == 0 ? "" : ",") + ranked[i].second;
    }
    parts.log.line("orders", "demand").add("work-now>soon/copies", list);
}

auto OrderTask::Private::planModels() -> void
{
    for (const auto &[service, engine] : engines) {
        const auto &currentInput = planInput(service);
        logDemand(currentInput);
        const auto plan = planCopies(currentInput, settings.plan, loadMeters[service].available(now()), now());
        for (const auto &target : plan.aborted) {
            endMove(target, "nothing-gained");
        }
        for (const auto &begun : plan.begun) {
            beginMove(begun);
        }
        for (const auto &planned : plan.orders) {
            sendOrder(service, planned);
        }
    }
    endFinishedMoves();
}

// [SECTION] Moves

auto OrderTask::Private::beginMove(const BegunMove &begun) -> void
{
    std::string evicted;
    for (const auto &model : begun.move.evicted) {
        evicted += (evicted.empty() ? "" : ",") + model;
    }
    parts.log.line("orders", "move-begun")
        .add("target", begun.target.text())
        .add("incoming", begun.move.incoming)
        .add("evicted", evicted)
        .add("why", begun.reason)
        .add("gain", begun.gain);
    moves[begun.target] = begun.move;
    hooks.onMoves(moves);
    const auto book = books.find(begun.target);
    if (book != books.end()) {
        publishResidency(book->second);
    }
}

auto OrderTask::Private::endMove(const TargetId &target, const char *why) -> void
{
    const auto found = moves.find(target);
    if (found == moves.end()) {
        return;
    }
    parts.log.line("orders", "move-ended")
        .add("target", target.text())
        .add("incoming", found->second.incoming)
        .add("why", why)
        .add("after", now() - found->second.since);
    moves.erase(found);
    hooks.onMoves(moves);
    const auto book = books.find(target);
    if (book != books.end()) {
        publishResidency(book->second);
    }
}

/// Ends moves that are done, and those whose runner is gone, is leaving or fails: the incoming model of such a move must not count as a future replica.
auto OrderTask::Private::endFinishedMoves() -> void
{
    std::vector<std::pair<TargetId, const char *>> ended;
    for (const auto &[target, move] : moves) {
        const auto book = books.find(target);
        if (book == books.end() || book->second.description().isLeaving || hooks.isFailing(target)) {
            ended.emplace_back(target, "runner-lost");
        } else if (book->second.description().model(move.incoming) != nullptr || book->second.loading() == move.incoming) {
            ended.emplace_back(target, "done");
        }
    }
    for (const auto &[target, why] : ended) {
        endMove(target, why);
    }
}

// [SECTION] Adapters

auto OrderTask::Private::servePendingSoon() -> void
{
    if (!pending.empty() && !pendingTimer.isActive()) {
        pendingTimer = parts.loop.after(PendingDelay, [this] { servePending(); });
    }
}

auto OrderTask::Private::servePending() -> void
{
    if (!mayOrder()) {
        return;
    }
    for (auto open = pending.begin(); open != pending.end();) {
        open = serveAdapterRequest(open->first, open->second) ? pending.erase(open) : std::next(open);
    }
}

/// Number of runners that hold the adapter or are loading it, except those whose replica of its model is draining.
namespace
{

/// Whether a target of the description could serve the request for which the artifact is missing.
auto isSuitable(const MissingArtifact &artifact, const TargetDescription &target) -> bool
{
    return target.service == artifact.service && (artifact.softwareVersion.isEmpty() || target.softwareVersion == artifact.softwareVersion);
}

} // namespace

auto OrderTask::Private::countRunnersWith(const MissingArtifact &artifact) const -> int
{
    int holders = 0;
    for (const auto &[id, book] : books) {
        const bool stays = !isDraining(moves, id, artifact.model);
        holders += isSuitable(artifact, book.description()) && stays && book.holdsAdapter(artifact.model, artifact.adapter) ? 1 : 0;
    }
    return holders;
}

/// Orders the adapter on a runner if too few hold it. Returns true if enough runners hold it or are loading it, so that the request is complete.
auto OrderTask::Private::serveAdapterRequest(const MissingArtifact &artifact, AdapterRequest &request) -> bool
{
    const auto &service = artifact.service;
    if (artifact.adapter.empty() || !engines.contains(service)) {
        return false; // models are loaded by planModels()
    }
    const int copies = countRunnersWith(artifact);
    if (copies >= request.copies) {
        return true;
    }
    // One order at a time: while one runner evicts an adapter to free a slot, further orders would evict adapters on other runners.
    const auto ordered = books.find(request.orderedOn);
    if (ordered != books.end() && ordered->second.isCallPending() && now() - request.orderedAt < settings.answerTimeout) {
        return false;
    }
    const auto protectedFor = copies > 0 ? RecentUseProtection : Duration();
    auto suitable = input(service);
    std::erase_if(suitable.runners, [&](const RunnerBook *runner) { return !isSuitable(artifact, runner->description()); });
    if (const auto planned = placeAdapter(suitable, artifact.model, artifact.adapter, adapterUses, protectedFor, now())) {
        request.orderedOn = planned->target;
        request.orderedAt = now();
        sendOrder(service, *planned);
    }
    return false;
}

// [SECTION] Sending

auto OrderTask::Private::expectedTime(const ServiceName &service, const PlannedOrder &planned) const -> Duration
{
    const auto *declared = engines.at(service).model(planned.order.model);
    if (!planned.order.adapter.empty()) {
        return RunnerBookOptions().adapterLoadTime;
    }
    if (declared == nullptr || !planned.order.isLoad) {
        return RunnerBookOptions().unloadTime;
    }
    switch (planned.source) {
    case WeightSource::Memory:
        return declared->memoryLoadTime;
    case WeightSource::Disk:
        return declared->diskLoadTime;
    case WeightSource::Store:
        return declared->loadTime;
    }
    return declared->loadTime;
}

auto OrderTask::Private::sendOrder(const ServiceName &service, const PlannedOrder &planned) -> void
{
    const auto found = books.find(planned.target);
    if (found == books.end() || !mayOrder()) {
        return;
    }
    auto &book = found->second;
    const auto &description = book.description();
    if (!book.mayOrder(planned.order, engines.at(service), now())) {
        parts.log.line("orders", "not-allowed").add("target", planned.target.text()).add("model", planned.order.model).add("adapter", planned.order.adapter);
        return;
    }
    if (planned.order.isLoad && planned.order.adapter.empty() && planned.source == WeightSource::Store) {
        loadMeters[service].began(now());
    }
    OrderRequest request;
    request.isLoad = planned.order.isLoad;
    request.model = planned.order.model;
    request.adapter = planned.order.adapter;
    request.expectedOrders = book.ordersTaken();
    request.holder = settings.self.text();
    request.fence = lease.fence();
    request.target = planned.target;
    parts.log.line("orders", planned.order.isLoad ? "load" : "unload")
        .add("target", planned.target.text())
        .add("model", planned.order.model)
        .add("adapter", planned.order.adapter)
        .add("why", planned.reason)
        .add("for", planned.evictedFor)
        .add("source", planned.order.isLoad ? toString(planned.source) : "-")
        .add("work", planned.work)
        .add("copies", planned.copies)
        .add("after", request.expectedOrders)
        .add("fence", lease.fence().value());
    book.ordered(planned.order, expectedTime(service, planned), now());
    const auto incarnation = description.incarnation;
    calls.start(description.address, parts.protocol.orderCall(request), [this, incarnation, order = planned.order](const CollectedAnswer &answer) {
        noteAnswer(incarnation, answer);
        const auto verdict = answer.status == 0 ? OrderVerdict::Unclear : parts.protocol.readOrderAnswer(answer.status);
        onOrderAnswer(incarnation, order, verdict, answer.status);
    });
}

auto OrderTask::Private::onOrderAnswer(const TargetIncarnation &target, const RunnerOrder &order, OrderVerdict verdict, int status) -> void
{
    parts.log.line("orders", "answered")
        .add("target", target.id.text())
        .add("model", order.model)
        .add("adapter", order.adapter)
        .add("verdict", toString(verdict))
        .add("status", status);
    parts.metrics.add("orders_total{verdict=\"" + std::string(toString(verdict)) + "\"}");
    auto *book = find(target);
    if (book == nullptr) {
        return;
    }
    switch (verdict) {
    case OrderVerdict::Started:
    case OrderVerdict::Done:
        book->accepted(verdict == OrderVerdict::Done, now());
        break;
    case OrderVerdict::Unclear:
        book->unanswered(now());
        break;
    case OrderVerdict::Busy:
        book->refusedAsBusy(now());
        break;
    case OrderVerdict::Fenced:
    case OrderVerdict::Elsewhere:
    case OrderVerdict::Invalid:
        book->refused(now());
        break;
    }
    publishResidency(*book);
    if (verdict == OrderVerdict::Started || verdict == OrderVerdict::Done) {
        planSoon();
    }
    servePendingSoon();
}

auto OrderTask::Private::planSoon() -> void
{
    if (!moves.empty()) {
        plannedAt = now() - settings.planPeriod;
    }
}

// [SECTION] Task

OrderTask::OrderTask(OrderTaskParts parts, OrderTaskSettings settings, OrderTaskHooks hooks)
    : d(std::make_unique<Private>(parts, std::move(settings), std::move(hooks)))
{
    d->tick = d->parts.loop.every(TickPeriod, [this] { d->onTick(); });
}

OrderTask::~OrderTask() = default;

auto OrderTask::mayOrder() const -> bool
{
    return d->mayOrder();
}

auto OrderTask::lease() const -> const OrderLease &
{
    return d->lease;
}

auto OrderTask::lease() -> OrderLease &
{
    return d->lease;
}

auto OrderTask::planSoon() -> void
{
    d->planSoon();
}

auto OrderTask::adoptEngine(const ServiceName &service, const EngineDeclaration &engine) -> void
{
    d->planInputs.clear();
    d->engines[service] = engine;
    d->loadMeters[service].setRate(engine.loadsPerSecond, d->settings.loadWindow, d->settings.loadOvershoot);
}

auto OrderTask::targetSeen(const TargetDescription &target) -> void
{
    d->planInputs.clear();
    auto [found, isNew] = d->books.try_emplace(target.incarnation.id);
    auto &book = found->second;
    d->newTargetAt = isNew ? d->now() : d->newTargetAt;
    book.descriptionReceived(target, d->now());
    targetPaused(target.incarnation);
    d->publishResidency(book);
}

auto OrderTask::targetPaused(const TargetIncarnation &target) -> void
{
    const auto until = d->hooks.pausedUntil(target);
    auto *book = until ? d->find(target) : nullptr;
    if (book != nullptr) {
        book->pause(*until);
    }
}

auto OrderTask::targetGone(const TargetId &target) -> void
{
    d->planInputs.clear();
    d->endMove(target, "runner-lost");
    d->books.erase(target);
    std::erase_if(d->adapterUses, [&](const auto &use) { return use.first.first == target; });
}

auto OrderTask::addPending(const MissingArtifact &artifact) -> void
{
    d->pending[artifact].at = d->now();
}

auto OrderTask::pendingArtifacts() const -> std::vector<MissingArtifact>
{
    std::vector<MissingArtifact> list;
    for (const auto &[artifact, request] : d->pending) {
        list.push_back(artifact);
    }
    return list;
}

auto OrderTask::artifactMissing(const MissingArtifact &artifact) -> void
{
    for (auto &[id, book] : d->books) {
        const auto *held = book.description().model(artifact.model);
        const bool isHeld = held != nullptr && (artifact.adapter.empty() || held->hasAdapter(artifact.adapter));
        if (isHeld && !isDraining(d->moves, id, artifact.model) && isSuitable(artifact, book.description())) {
            // The requesting gateway found that the runner doesn't hold it, or hasn't received the runner's residency yet.
            book.invalidate(d->now());
            d->publishResidency(book);
        }
    }
    addPending(artifact);
    d->servePendingSoon();
}

auto OrderTask::adapterOverloaded(const ServiceName &service, const std::string &model, const std::string &adapter) -> void
{
    auto &request = d->pending[{service, model, adapter, {}}];
    request.at = d->now();
    request.copies = 2;
    d->servePendingSoon();
}

auto OrderTask::modelRequested(const std::string &model) -> void
{
    d->demandHistory.modelRequested(model, d->now());
}

auto OrderTask::adapterUsed(const TargetId &target, const std::string &model, const std::string &adapter) -> void
{
    d->adapterUses[{target, model + "/" + adapter}] = d->now();
}

auto OrderTask::residencies() const -> std::vector<TargetDescription>
{
    std::vector<TargetDescription> list;
    for (const auto &[id, book] : d->books) {
        list.push_back(d->residencyOf(book));
    }
    return list;
}

auto OrderTask::stop() -> void
{
    d->stopped = true;
}

} // namespace KingCup
