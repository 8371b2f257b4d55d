// Index of sections (search for [SECTION]):
//   Parts      the tasks and how they are connected
//   Control    messages from entries
//   Report     hello and load reports to entries
//   Leaving    planned stops
//   HTTP       metrics and health
#include "agent/agent.h"

#include "wire/suspectsmessage.h"

#include "agent/claimtask.h"
#include "agent/controlsessions.h"
#include "agent/requesttasks.h"
#include "agent/residencytask.h"
#include "core/declarationcodec.h"
#include "core/plan.h"
#include "core/suspects.h"
#include "net/callerreport.h"
#include "net/hostresources.h"
#include "net/metrics.h"
#include "net/wallclock.h"
#include "platform/tableaccess.h"
#include "platform/tableclient.h"

#include <glog/logging.h>
#include <optional>
#include <unistd.h>

namespace KingCup
{

namespace
{

constexpr auto FlushTime = Duration::millis(200); // delay before the loop stops, in which the last answers are sent
constexpr auto LeaveCheckPeriod = Duration::millis(50);
constexpr auto FloorReadPeriod = Duration::seconds(2); // between attempts to read the floor's row, until one succeeds
constexpr auto SuspectExpiryPeriod = Duration::seconds(5);
constexpr int ExitCutOff = 1;
constexpr std::size_t MaxPageBody = 4096; // bytes of a request for a status page

} // namespace

// [SECTION] Parts

struct Agent::Private {
    EventLoop &loop;
    DaemonSettings settings;
    std::uint64_t incarnation = wallMillis();
    HttpClient client;
    std::unique_ptr<TableClient> tableClient;
    TableAccess table;
    std::unique_ptr<EngineClient> engine;
    Metrics metrics;
    Suspects suspects;
    Declarations declarations;
    Revision revision;
    std::optional<EngineLoad> engineLoad;
    std::unique_ptr<ResidencyTask> residency; // runners only
    std::unique_ptr<ClaimTask> claims;
    std::unique_ptr<RequestTasks> requests;
    std::unique_ptr<ControlSessions> sessions;
    std::unique_ptr<PeerServer> peers;
    std::unique_ptr<HttpServer> pages;
    std::shared_ptr<CallerLoad> callerLoad; ///< of the requests that entries pass on
    Timer loadPoll;
    Timer floorRead; ///< active until the floor's row has been read once
    Timer suspectExpiry;
    Timer leaveCheck;
    TimePoint leavingSince;
    std::uint32_t crashes = 0;
    bool isStopping = false;
    int cutOff = 0;

    Private(EventLoop &ownerLoop, DaemonSettings daemonSettings)
        : loop(ownerLoop)
        , settings(std::move(daemonSettings))
        , client(loop, {}, answerBounds(usableMemory(settings.limits.memory)))
        , tableClient(makeTableClient(loop, client, PlatformOptions {.server = settings.platform.table}))
        , table(tableAccess(*tableClient))
        , engine(makeEngineClient(client, EngineOptions {.server = settings.target.engine}))
    {
    }

    auto isRunner() const -> bool
    {
        return settings.target.kind == TargetKind::Runner;
    }
    auto build() -> void;
    auto buildClaims() -> void;
    auto requestHooks() -> RequestHooks;
    auto controlHooks() -> ControlHooks;
    auto onConfig(const Wire::ConfigSnapshot &config) -> void;
    auto onPlan(const Wire::FloorPlan &plan) -> void;
    auto onSurge(const Wire::SurgeRequest &request) -> void;
    auto onSuspects(const Wire::Suspects &message) -> void;
    auto onDrain(const std::string &reason) -> void;
    auto onCrash(std::uint64_t generation) -> void;
    auto hello() const -> Wire::Hello;
    auto report() const -> Wire::LoadReport;
    auto reportMemory(Wire::LoadReport &report) const -> void;
    auto suspectsMessage() const -> Wire::Suspects;
    auto readFloor() -> void;
    auto pollLoad() -> void;
    auto checkDrained() -> void;
    auto page(const std::shared_ptr<HttpExchange> &exchange) -> void;
};

auto Agent::Private::build() -> void
{
    if (isRunner()) {
        ResidencySettings residencySettings;
        residencySettings.target = TargetId(settings.process.id);
        residencySettings.firstFence = Fence(incarnation);
        residencySettings.orderPrefix = settings.process.id + "-" + std::to_string(incarnation) + "-";
        ResidencyHooks hooks;
        hooks.isInUse = [this](const ArtifactName &artifact) {
            return requests && requests->isInUse(artifact);
        };
        hooks.onChanged = [this] {
            if (sessions) {
                sessions->scheduleReport();
            }
        };
        hooks.onCrash = [this](std::uint64_t generation) {
            onCrash(generation);
        };
        residency = std::make_unique<ResidencyTask>(loop, *engine, residencySettings, std::move(hooks));
        loadPoll = loop.every(settings.timing.report, [this] { pollLoad(); });
        floorRead = loop.every(FloorReadPeriod, [this] { readFloor(); });
    }
    buildClaims();
    RequestSettings requestSettings;
    requestSettings.target = settings.target.engine;
    requestSettings.isRunner = isRunner();
    requestSettings.streamBuffer = settings.limits.streamBuffer;
    const auto connections = static_cast<std::size_t>(settings.limits.maxConnections);
    callerLoad = std::make_shared<CallerLoad>(callerBounds(usableMemory(settings.limits.memory), connections));
    requestSettings.load = callerLoad;
    requests = std::make_unique<RequestTasks>(loop, client, requestSettings, requestHooks());
    sessions = std::make_unique<ControlSessions>(loop, settings.timing.report, controlHooks());
    suspectExpiry = loop.every(SuspectExpiryPeriod, [this] { suspects.expire(loop.now()); });
    PeerOptions peerOptions;
    if (settings.tls.peers) {
        peerOptions.tls = settings.tls.files;
    }
    peers = std::make_unique<PeerServer>(
        loop,
        settings.listen.peers,
        [this](const PeerStreamPtr &stream) {
            if (stream->path() == ControlPath) {
                sessions->accept(stream);
            } else if (stream->path() == RequestPath) {
                requests->accept(stream);
            } else {
                stream->refuse();
            }
        },
        peerOptions);
    if (settings.listen.metrics) {
        HttpServerOptions options;
        options.listen = *settings.listen.metrics;
        options.maxBody = MaxPageBody;
        options.bounds = {.bytes = 4U << 20U, .reserved = 1U << 20U, .connections = 64};
        pages = std::make_unique<HttpServer>(loop, options, [this](const auto &exchange) { page(exchange); });
    }
}

auto Agent::Private::buildClaims() -> void
{
    ClaimSettings claimSettings;
    claimSettings.claimant = settings.process.id + "-" + std::to_string(incarnation);
    claimSettings.retention = [this](const ServiceName &service) {
        const auto declared = declarations.services.find(service);
        return declared == declarations.services.end() ? Service().claimRetention : declared->second.claimRetention;
    };
    claimSettings.wallMillis = [] {
        return static_cast<std::int64_t>(wallMillis());
    };
    claims = std::make_unique<ClaimTask>(loop, table, std::move(claimSettings));
}

auto Agent::Private::requestHooks() -> RequestHooks
{
    RequestHooks hooks;
    hooks.claims = claims->hooks();
    hooks.isTargetReady = [this] {
        return !residency || residency->isEngineReady();
    };
    hooks.isUsable = [this](const ArtifactName &artifact) {
        return residency && residency->isUsable(artifact);
    };
    hooks.isQuarantined = [this](const std::string &fingerprint) {
        return suspects.verdict(fingerprint, loop.now()) == Verdict::Quarantined;
    };
    hooks.completedAlone = [this](const std::string &fingerprint) {
        suspects.completedAlone(fingerprint, loop.now());
    };
    hooks.onChanged = [this] {
        if (sessions) {
            sessions->scheduleReport();
        }
    };
    if (residency) {
        hooks.checkForCrash = [this](std::function<void(bool)> done) {
            residency->checkForCrash(std::move(done));
        };
        hooks.cancelAtTarget = [this](const RequestId &request) {
            engine->cancel(request);
        };
    }
    return hooks;
}

/// All requests that were in flight when the engine crashed become suspects.
auto Agent::Private::onCrash(std::uint64_t generation) -> void
{
    ++crashes;
    const auto inFlight = requests->fingerprintsInFlight();
    LOG(WARNING) << "suspects: engine crashed generation=" << generation << " in-flight=" << inFlight.size();
    suspects.targetCrashed(TargetId(settings.process.id), generation, inFlight, loop.now());
    sessions->sendSuspects();
    sessions->scheduleReport();
}

// [SECTION] Control

auto Agent::Private::controlHooks() -> ControlHooks
{
    ControlHooks hooks;
    hooks.hello = [this] {
        return hello();
    };
    hooks.report = [this] {
        return report();
    };
    hooks.suspects = [this] {
        return suspectsMessage();
    };
    hooks.onConfig = [this](const Wire::ConfigSnapshot &config) {
        onConfig(config);
    };
    hooks.onPlan = [this](const Wire::FloorPlan &plan) {
        onPlan(plan);
    };
    hooks.onSurge = [this](const Wire::SurgeRequest &request) {
        onSurge(request);
    };
    hooks.onSuspects = [this](const Wire::Suspects &message) {
        onSuspects(message);
    };
    hooks.onDrain = [this](const std::string &reason) {
        onDrain(reason);
    };
    return hooks;
}

/// Only higher revisions are adopted, so that a lagging entry can't revert an accepted change.
auto Agent::Private::onConfig(const Wire::ConfigSnapshot &config) -> void
{
    if (Revision(config.revision()) <= revision) {
        return;
    }
    auto decoded = declarationsFromJson(config.declarations());
    if (!decoded) {
        LOG(ERROR) << "config: unreadable snapshot revision=" << config.revision() << " error=\"" << decoded.error().message << "\"";
        return;
    }
    declarations = std::move(decoded.value());
    revision = Revision(config.revision());
    LOG(INFO) << "config: adopted revision=" << revision << " artifacts=" << declarations.artifacts.size();
    if (residency) {
        residency->adopt(declarations);
    }
    sessions->scheduleReport();
}

auto Agent::Private::onPlan(const Wire::FloorPlan &plan) -> void
{
    if (!residency) {
        return;
    }
    const auto decoded = planFromJson(plan.plan());
    if (!decoded) {
        LOG(ERROR) << "placement: unreadable floor plan version=" << plan.row_version() << " error=\"" << decoded.error().message << "\"";
        return;
    }
    residency->floorRowRead(RowSource::Peer, RowVersion(plan.row_version()), floorRowOf(decoded.value()));
}

/// Reads the floor's row from the table until a read succeeds, see FloorPins::isSettled(). After that, entries send newer rows.
auto Agent::Private::readFloor() -> void
{
    if (residency->isSettled()) {
        floorRead.cancel();
        return;
    }
    table.read({FloorRowKey}, [this](const std::optional<std::vector<TableRow>> &rows) {
        if (!rows) {
            return;
        }
        const auto plan = rows->empty() ? Result<Plan>(Plan()) : planFromJson(rows->front().value);
        if (plan) {
            residency->floorRowRead(RowSource::Table, rows->empty() ? RowVersion() : rows->front().version, floorRowOf(plan.value()));
        }
    });
}

auto Agent::Private::onSurge(const Wire::SurgeRequest &request) -> void
{
    if (!residency) {
        return;
    }
    std::vector<ArtifactName> artifacts;
    for (const auto &name : request.artifacts()) {
        artifacts.emplace_back(name);
    }
    residency->surgeRequested(request.planner(), request.sequence(), std::move(artifacts));
}

auto Agent::Private::onSuspects(const Wire::Suspects &message) -> void
{
    suspects.merge(fromMessage(message), loop.now());
}

auto Agent::Private::onDrain(const std::string &reason) -> void
{
    if (isStopping || requests->isLeaving() == !reason.empty()) {
        return;
    }
    LOG(INFO) << "leaving: " << (reason.empty() ? "drain undone" : "draining") << " reason=" << reason;
    requests->setLeaving(!reason.empty());
    sessions->scheduleReport();
}

// [SECTION] Report

auto Agent::Private::hello() const -> Wire::Hello
{
    auto hello = helloFrame(settings.process.id, settings.process.zone.text(), incarnation).hello();
    hello.set_runner(isRunner());
    const auto target = declarations.targets.find(TargetId(settings.process.id));
    if (!settings.target.service.isEmpty()) {
        hello.set_service(settings.target.service.text());
    } else if (target != declarations.targets.end()) {
        hello.set_service(target->second.service.text());
    }
    return hello;
}

auto Agent::Private::reportMemory(Wire::LoadReport &report) const -> void
{
    const auto *ledger = residency->ledger();
    if (ledger == nullptr) {
        return;
    }
    report.set_memory_total(ledger->memoryTotal().count());
    report.set_memory_charged(ledger->charged().count());
    report.set_kv_reserved(ledger->kvReserved().count());
    for (const auto &resident : ledger->residents()) {
        auto *added = report.add_residents();
        added->set_artifact(resident.artifact.text());
        added->set_bytes(resident.bytes.count());
        // Until the ledger is open, an unload ordered by an earlier agent may still take effect. No replica is reported as pinned until
        // then: a planner that relied on such a replica might drop the last other one.
        added->set_pinned(ledger->isOpen() && residency->isPinned(resident.artifact));
        added->set_loading(!residency->isUsable(resident.artifact));
    }
}

auto Agent::Private::report() const -> Wire::LoadReport
{
    Wire::LoadReport report;
    report.set_running(static_cast<std::uint32_t>(requests->running()));
    report.set_queued(static_cast<std::uint32_t>(requests->queued()));
    report.set_concurrency_limit(static_cast<std::uint32_t>(requests->concurrencyLimit()));
    report.set_service_us(static_cast<double>(requests->meanServiceTime().inMicros()));
    report.set_revision(revision.value());
    report.set_leaving(requests->isLeaving());
    report.set_crashes(crashes);
    report.set_engine_ready(true);
    if (engineLoad) {
        report.set_age_us(engineLoad->age.inMicros());
        report.set_decode_step_us(static_cast<double>(engineLoad->decodeStep.inMicros()));
    }
    if (residency) {
        report.set_engine_ready(residency->isEngineReady());
        report.set_engine_generation(residency->engineGeneration());
        report.set_plan_version(residency->planVersion().value());
        reportMemory(report);
    }
    return report;
}

auto Agent::Private::suspectsMessage() const -> Wire::Suspects
{
    return toMessage(suspects.digest(loop.now()));
}

auto Agent::Private::pollLoad() -> void
{
    if (requests->running() == 0) {
        engineLoad.reset(); // an idle engine's figures are meaningless
        return;
    }
    engine->load([this](const Result<EngineLoad> &load) {
        engineLoad = load ? std::optional<EngineLoad>(load.value()) : std::nullopt;
        if (load) {
            requests->observeStep(load.value().decodeStep);
        }
    });
}

// [SECTION] Leaving

auto Agent::Private::checkDrained() -> void
{
    // Open claim keys count too: records of finished runs may still have to be written. Without its record a duplicate would be answered "unknown".
    const auto open = requests->running() + requests->queued() + static_cast<int>(claims->openKeys());
    const bool isLate = loop.now() - leavingSince > settings.timing.drainLimit;
    if (open > 0 && !isLate) {
        return;
    }
    cutOff = open > 0 ? requests->abandonAll() : 0;
    leaveCheck = loop.after(FlushTime, [this] {
        LOG(INFO) << "leaving: stopped cut-off=" << cutOff;
        loop.stop();
    });
}

// [SECTION] HTTP

auto Agent::Private::page(const std::shared_ptr<HttpExchange> &exchange) -> void
{
    constexpr int Ok = 200;
    constexpr int NotFound = 404;
    constexpr int NotReady = 503;
    const auto &path = exchange->request().path;
    if (path == "/metrics") {
        metrics.set("requests_running", requests->running());
        metrics.set("requests_queued", requests->queued());
        metrics.set("concurrency_limit", requests->concurrencyLimit());
        reportAnswers(metrics, client.answerLoad());
        metrics.set("callers_held_bytes", static_cast<double>(callerLoad->held()));
        metrics.set("callers_overloaded_total", static_cast<double>(callerLoad->refused()));
        metrics.set("revision", static_cast<double>(revision.value()));
        metrics.set("engine_crashes_total", crashes);
        metrics.set("claims_open", static_cast<double>(claims->openKeys()));
        metrics.set("control_streams", static_cast<double>(sessions->count()));
        if (residency && residency->ledger() != nullptr) {
            metrics.set("memory_charged_bytes", static_cast<double>(residency->ledger()->charged().count()));
            metrics.set("memory_total_bytes", static_cast<double>(residency->ledger()->memoryTotal().count()));
        }
        exchange->respond(Ok, {{"content-type", "text/plain; version=0.0.4"}}, metrics.text());
    } else if (path == "/healthz") {
        exchange->respond(Ok, {{"content-type", "text/plain"}}, "ok\n");
    } else if (path == "/readyz") {
        const bool isReady = !requests->isLeaving() && revision > Revision() && (!residency || residency->isEngineReady());
        exchange->respond(isReady ? Ok : NotReady, {{"content-type", "text/plain"}}, isReady ? "ready\n" : "not ready\n");
    } else {
        exchange->respond(NotFound, {{"content-type", "text/plain"}}, "no such page\n");
    }
}

Agent::Agent(EventLoop &loop, DaemonSettings settings)
    : d(std::make_unique<Private>(loop, std::move(settings)))
{
    d->build();
    LOG(INFO) << "agent: started id=" << d->settings.process.id << " zone=" << d->settings.process.zone << " peers=" << toString(d->settings.listen.peers)
              << " target=" << toString(d->settings.target.engine);
}

Agent::~Agent() = default;

auto Agent::leave() -> void
{
    if (d->isStopping) {
        return;
    }
    d->isStopping = true;
    d->leavingSince = d->loop.now();
    LOG(INFO) << "leaving: started running=" << d->requests->running() << " queued=" << d->requests->queued();
    d->requests->setLeaving(true);
    d->sessions->scheduleReport();
    d->leaveCheck = d->loop.every(LeaveCheckPeriod, [this] { d->checkDrained(); });
}

auto Agent::exitCode() const -> int
{
    return d->cutOff == 0 ? 0 : ExitCutOff;
}

} // namespace KingCup
