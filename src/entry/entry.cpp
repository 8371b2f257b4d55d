// Index of sections (search for [SECTION]):
//   Parts       the tasks and how they are connected
//   Operators   status, drain, explain
//   Control     messages from agents and other entries
//   HTTP        callers' requests, metrics and health
//   Leaving     planned stops
#include "entry/entry.h"

#include "net/httpstatus.h"
#include "wire/suspectsmessage.h"

#include "core/versionswitch.h"
#include "entry/configtask.h"
#include "entry/fleet.h"
#include "entry/operatormodule.h"
#include "entry/planner.h"
#include "entry/requestflows.h"
#include "entry/systemstatus.h"
#include "net/callerreport.h"
#include "net/hostresources.h"
#include "net/wallclock.h"
#include "platform/hostlistclient.h"
#include "platform/tableaccess.h"
#include "platform/tableclient.h"

#include <algorithm>
#include <glog/logging.h>

namespace KingCup
{

namespace
{

constexpr auto FlushTime = Duration::millis(200); // delay before the loop stops, in which the last answers are sent
constexpr auto LeaveCheckPeriod = Duration::millis(50);
constexpr auto ForecastAhead = Duration::seconds(5);
constexpr auto HousekeepingPeriod = Duration::millis(500);
constexpr std::size_t MaxExplained = 200;
constexpr int ExitCutOff = 1;
/// Of a request's body: the one that is kept for further attempts, and the one that waits to be sent to the target's agent.
constexpr std::size_t BodyCopies = 2;

auto routingOptions(const DaemonSettings &settings) -> RoutingOptions
{
    RoutingOptions options;
    options.zone = settings.process.zone;
    options.seed = wallMillis();
    switch (settings.policy.routing) {
    case RoutingPolicy::Objective:
        options.strategy = RoutingStrategy::Objective;
        break;
    case RoutingPolicy::RoundRobin:
        options.strategy = RoutingStrategy::RoundRobin;
        break;
    case RoutingPolicy::LeastLoaded:
        options.strategy = RoutingStrategy::LeastLoaded;
        break;
    }
    return options;
}

auto placementOptions(const DaemonSettings &settings) -> PlacementOptions
{
    PlacementOptions options;
    switch (settings.policy.placement) {
    case PlacementPolicy::Objective:
        options.strategy = PlacementStrategy::Objective;
        break;
    case PlacementPolicy::Static:
        options.strategy = PlacementStrategy::Static;
        break;
    case PlacementPolicy::OnDemand:
        options.strategy = PlacementStrategy::LoadOnDemand;
        break;
    }
    return options;
}

} // namespace

// [SECTION] Parts

struct Entry::Private {
    EventLoop &loop;
    DaemonSettings settings;
    std::uint64_t incarnation = wallMillis();
    HttpClient client;
    std::unique_ptr<TableClient> tableClient;
    TableAccess table;
    std::unique_ptr<ObjectClient> objects;
    Metrics metrics;
    DecisionLog decisions;
    Suspects suspects;
    DemandForecast demand;
    VersionSwitch versions;
    Router router;
    std::unique_ptr<ConfigTask> config;
    std::unique_ptr<OperatorServer> operators;
    std::unique_ptr<Fleet> fleet;
    std::unique_ptr<RequestFlows> flows;
    std::unique_ptr<Planner> planner;
    std::unique_ptr<PeerServer> peers;
    std::set<PeerStreamPtr> peerStreams; ///< control streams that other entries opened
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<CallerReport> callerReport;
    std::unique_ptr<HostListClient> hostList;
    Timer housekeeping;
    Timer leaveCheck;
    TimePoint leavingSince;
    std::uint64_t digestSequence = 0;
    bool isLeaving = false;
    int cutOff = 0;

    Private(EventLoop &ownerLoop, DaemonSettings daemonSettings)
        : loop(ownerLoop)
        , settings(std::move(daemonSettings))
        , client(loop, {}, answerBounds(usableMemory(settings.limits.memory)))
        , tableClient(makeTableClient(loop, client, PlatformOptions {.server = settings.platform.table}))
        , table(tableAccess(*tableClient))
        , objects(makeObjectClient(loop, client, PlatformOptions {.server = settings.platform.objects}))
        , decisions(static_cast<std::size_t>(settings.limits.maxDecisions))
        , router(routingOptions(settings))
    {
    }

    auto build() -> void;
    auto buildFleet() -> void;
    auto buildFlows() -> void;
    auto buildPlanner() -> void;
    auto buildServers() -> void;
    auto buildConfig() -> void;
    auto buildOperators() -> void;
    auto onAdopted(Revision revision, const Declarations &declarations, const std::string &text) -> void;
    auto status() const -> SystemStatus;
    auto drain(const TargetId &target, bool undo) -> DrainAnswer;
    auto explain(const std::string &subject) const -> std::vector<RecentDecision>;
    auto greeting() const -> std::vector<Wire::ControlFrame>;
    auto acceptPeer(const PeerStreamPtr &stream) -> void;
    auto onPeerFrame(const PeerStreamPtr &stream, const Wire::ControlFrame &frame) -> void;
    auto onEntryFrame(const Wire::ControlFrame &frame) -> void;
    auto onSuspects(const Wire::Suspects &message) -> void;
    auto suspectsFrame() const -> Wire::ControlFrame;
    auto demandFrame() -> Wire::ControlFrame;
    auto onDemand(const Wire::DemandDigest &message) -> void;
    auto housekeep() -> void;
    auto handle(const std::shared_ptr<HttpExchange> &exchange) -> void;
    auto metricsText() -> std::string;
    auto isReady() const -> bool;
    auto checkDrained() -> void;
};

auto Entry::Private::buildFleet() -> void
{
    FleetHooks hooks;
    hooks.greeting = [this] {
        return greeting();
    };
    hooks.onCapacity = [this] {
        if (flows) {
            flows->retryWaiting();
        }
    };
    hooks.onSuspects = [this](const Wire::Suspects &message) {
        onSuspects(message);
    };
    hooks.onEntryFrame = [this](const Wire::ControlFrame &frame) {
        onEntryFrame(frame);
    };
    FleetSettings fleetSettings;
    fleetSettings.self = settings.process.id;
    fleetSettings.heartbeat = settings.timing.heartbeat;
    fleetSettings.suspectAfter = settings.timing.suspectAfter;
    if (settings.tls.peers) {
        fleetSettings.peers.tls = settings.tls.files;
    }
    fleet = std::make_unique<Fleet>(loop, fleetSettings, router, std::move(hooks));
}

auto Entry::Private::buildFlows() -> void
{
    FlowSettings flowSettings;
    flowSettings.entry = settings.process.id;
    flowSettings.incarnation = incarnation;
    flowSettings.streamBuffer = settings.limits.streamBuffer;
    flowSettings.maxQueue = settings.limits.maxQueue;
    flowSettings.requestBudget = settings.limits.requestBudget;
    FlowHooks hooks;
    hooks.openStream = [this](const TargetId &target) {
        return fleet->open(target);
    };
    hooks.versionOf = [this](const std::string &model) {
        return versions.effective(model);
    };
    hooks.onMissing = [this](const ArtifactName & /*artifact*/) {
        planner->schedulePlan();
    };
    hooks.onSuspects = [this] {
        fleet->sendAgents(suspectsFrame());
        fleet->sendEntries(suspectsFrame());
    };
    flows = std::make_unique<RequestFlows>(FlowParts {loop, router, demand, suspects, metrics, decisions}, flowSettings, std::move(hooks));
}

auto Entry::Private::buildPlanner() -> void
{
    PlannerHooks hooks;
    hooks.table = table;
    hooks.ranksFirst = [this](const std::string &subject) {
        return fleet->ranksFirst(subject);
    };
    hooks.runners = [this] {
        return fleet->runners();
    };
    hooks.holderReports = [this] {
        return fleet->holderReports();
    };
    hooks.demand = [this] {
        return demand.forecast(loop.now(), ForecastAhead);
    };
    hooks.retained = [this] {
        return versions.retained();
    };
    hooks.onFloor = [this](RowVersion version, const std::string &plan) {
        fleet->sendAgents(planFrame(version.value(), plan));
        fleet->sendEntries(planFrame(version.value(), plan));
    };
    hooks.surge = [this](const TargetId &target, std::uint64_t sequence, const std::vector<ArtifactName> &artifacts) {
        Wire::ControlFrame frame;
        frame.mutable_surge()->set_planner(settings.process.id + "-" + std::to_string(incarnation));
        frame.mutable_surge()->set_sequence(sequence);
        for (const auto &artifact : artifacts) {
            frame.mutable_surge()->add_artifacts(artifact.text());
        }
        fleet->sendTo(target.text(), frame);
    };
    PlannerSettings plannerSettings;
    plannerSettings.entry = settings.process.id;
    plannerSettings.placement = placementOptions(settings);
    plannerSettings.period = settings.timing.planPeriod;
    planner = std::make_unique<Planner>(loop, plannerSettings, std::move(hooks), decisions);
}

auto Entry::Private::buildServers() -> void
{
    PeerOptions peerOptions;
    if (settings.tls.peers) {
        peerOptions.tls = settings.tls.files;
    }
    peers = std::make_unique<PeerServer>(
        loop, settings.listen.peers, [this](const PeerStreamPtr &stream) { acceptPeer(stream); }, peerOptions);
    HttpServerOptions options;
    options.listen = settings.listen.callers;
    options.keptHeaders = callerHeaderNames();
    options.maxBody = settings.limits.maxBody;
    const auto descriptors = descriptorBounds(usableDescriptors(settings.limits.maxDescriptors));
    const auto connections = std::min(static_cast<std::size_t>(settings.limits.maxConnections), descriptors.accept);
    options.bounds = callerBounds(usableMemory(settings.limits.memory), connections);
    options.bodyCopies = BodyCopies;
    options.headerTimeout = settings.limits.headerTimeout;
    options.timeBudget = [this](const HttpHeaders &headers) {
        return requestedBudget(headers).value_or(settings.limits.requestBudget);
    };
    if (settings.tls.callers) {
        options.tls = settings.tls.files;
        options.tls.authority.clear(); // callers need no client certificate
    }
    callers = std::make_unique<HttpServer>(loop, options, [this](const auto &exchange) { handle(exchange); });
    callerReport = std::make_unique<CallerReport>(metrics, [](const CallerReport::Pressure &pressure) {
        LOG(WARNING) << "callers: pressure refused=" << pressure.refused << " dropped=" << pressure.dropped << " replaced=" << pressure.replaced
                     << " held=" << pressure.held << " connections=" << pressure.connections;
    });
}

auto Entry::Private::build() -> void
{
    buildFleet();
    buildFlows();
    buildPlanner();
    buildConfig();
    buildServers();
    buildOperators();
    HostListOptions listOptions;
    listOptions.platform.server = settings.platform.hosts;
    listOptions.period = settings.timing.hostsPoll;
    hostList = std::make_unique<HostListClient>(loop, client, listOptions, [this](const std::vector<ListedHost> &hosts) { fleet->listReceived(hosts); });
    housekeeping = loop.every(HousekeepingPeriod, [this] { housekeep(); });
}

auto Entry::Private::buildConfig() -> void
{
    ConfigSettings configSettings;
    configSettings.entry = settings.process.id;
    configSettings.pollPeriod = settings.timing.configPoll;
    ConfigHooks hooks;
    hooks.onAdopted = [this](Revision revision, const Declarations &declarations, const std::string &text) {
        onAdopted(revision, declarations, text);
    };
    config = std::make_unique<ConfigTask>(loop, table, configSettings, std::move(hooks), objects.get());
}

auto Entry::Private::buildOperators() -> void
{
    if (!settings.listen.operators) {
        return;
    }
    OperatorHooks hooks;
    hooks.post = [this](std::function<void()> task) {
        loop.post(std::move(task));
    };
    hooks.apply = [this](const DeclarationsChange &change, std::function<void(const ChangeAnswer &)> answer) {
        config->apply(change, std::move(answer));
    };
    hooks.declarations = [this] {
        return AdoptedDeclarations {config->revision(), config->declarations()};
    };
    hooks.status = [this] {
        return status();
    };
    hooks.drain = [this](const TargetId &target, bool undo, const std::function<void(const DrainAnswer &)> &answer) {
        answer(drain(target, undo));
    };
    hooks.explain = [this](const std::string &subject) {
        return explain(subject);
    };
    OperatorOptions options;
    options.listen = *settings.listen.operators;
    if (settings.tls.operators) {
        options.tls = settings.tls.files;
    }
    auto started = startOperatorServer(operatorModulePath(settings.process.operatorModule), options, hooks);
    if (!started) {
        throw std::runtime_error(started.error().message);
    }
    operators = std::move(started.value());
}

auto Entry::Private::onAdopted(Revision revision, const Declarations &declarations, const std::string &text) -> void
{
    LOG(INFO) << "config: adopted revision=" << revision << " services=" << declarations.services.size() << " artifacts=" << declarations.artifacts.size();
    fleet->adopt(declarations);
    versions.update(declarations, [this](const ArtifactName &artifact) { return fleet->hasCopy(artifact); });
    fleet->sendAgents(configFrame(revision.value(), text));
    fleet->sendEntries(configFrame(revision.value(), text));
    flows->adopt(declarations);
    planner->adopt(declarations);
}

// [SECTION] Operators

auto Entry::Private::status() const -> SystemStatus
{
    EntrySelf self;
    self.id = settings.process.id;
    self.zone = settings.process.zone;
    self.revision = config->revision();
    self.isLeaving = isLeaving;
    self.open = static_cast<int>(flows->open());
    self.waiting = static_cast<int>(flows->waiting());
    self.planVersion = planner->floorVersion();
    self.isStoreReachable = config->isStoreReachable();
    return systemStatus(self, *fleet, config->declarations(), demand.forecast(loop.now(), ForecastAhead));
}

auto Entry::Private::drain(const TargetId &target, bool undo) -> DrainAnswer
{
    for (const auto &member : fleet->members()) {
        if (member.id == target.text() && member.role == HostRole::Agent) {
            Wire::ControlFrame frame;
            frame.mutable_drain()->set_reason(undo ? "" : "operator");
            fleet->sendTo(target.text(), frame);
            LOG(INFO) << "leaving: operator's drain target=" << target << " undo=" << undo;
            return {true, undo ? "drain undone" : "draining: it takes no new work; see status"};
        }
    }
    return {false, "no such target: " + target.text()};
}

auto Entry::Private::explain(const std::string &subject) const -> std::vector<RecentDecision>
{
    std::vector<RecentDecision> list;
    for (const auto &decision : decisions.find(subject, MaxExplained)) {
        list.push_back({loop.now() - decision.at, decision.part, decision.subject, decision.text});
    }
    return list;
}

// [SECTION] Control

/// The first frames on a control stream: what a peer needs to work at once, also while the store is down.
auto Entry::Private::greeting() const -> std::vector<Wire::ControlFrame>
{
    std::vector<Wire::ControlFrame> frames {helloFrame(settings.process.id, settings.process.zone.text(), incarnation)};
    if (config && config->revision() > Revision()) {
        frames.push_back(configFrame(config->revision().value(), config->text()));
    }
    if (planner && planner->floorVersion() > RowVersion()) {
        frames.push_back(planFrame(planner->floorVersion().value(), planner->floorText()));
    }
    frames.push_back(suspectsFrame());
    return frames;
}

auto Entry::Private::acceptPeer(const PeerStreamPtr &stream) -> void
{
    if (stream->path() != ControlPath) {
        stream->refuse();
        return;
    }
    peerStreams.insert(stream);
    readControl(stream, "entry", [this, weak = std::weak_ptr(stream)](const Wire::ControlFrame &frame) {
        if (const auto self = weak.lock()) {
            onPeerFrame(self, frame);
        }
    });
    stream->onEnd = [this, raw = stream.get()](StreamEnd /*end*/) {
        std::erase_if(peerStreams, [&](const auto &held) { return held.get() == raw; });
    };
    for (const auto &frame : greeting()) {
        stream->send(frame);
    }
}

auto Entry::Private::onPeerFrame(const PeerStreamPtr &stream, const Wire::ControlFrame &frame) -> void
{
    if (frame.has_ping()) {
        stream->send(pongFrame(frame.ping().sequence()));
    } else {
        onEntryFrame(frame);
    }
}

auto Entry::Private::onEntryFrame(const Wire::ControlFrame &frame) -> void
{
    switch (frame.kind_case()) {
    case Wire::ControlFrame::kConfig:
        config->offer(Revision(frame.config().revision()), frame.config().declarations());
        break;
    case Wire::ControlFrame::kPlan:
        planner->floorRead(RowVersion(frame.plan().row_version()), frame.plan().plan());
        break;
    case Wire::ControlFrame::kDemand:
        onDemand(frame.demand());
        break;
    case Wire::ControlFrame::kRevisions:
        fleet->entryReported(frame.revisions().entry(), Revision(frame.revisions().revision()));
        break;
    case Wire::ControlFrame::kSuspects:
        onSuspects(frame.suspects());
        break;
    default:
        break;
    }
}

auto Entry::Private::onSuspects(const Wire::Suspects &message) -> void
{
    const auto before = suspects.size();
    suspects.merge(fromMessage(message), loop.now());
    if (suspects.size() != before) {
        fleet->sendAgents(suspectsFrame());
        fleet->sendEntries(suspectsFrame());
    }
}

auto Entry::Private::suspectsFrame() const -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    *frame.mutable_suspects() = toMessage(suspects.digest(loop.now()));
    return frame;
}

auto Entry::Private::demandFrame() -> Wire::ControlFrame
{
    const auto digest = demand.digest(EntryId(settings.process.id), ++digestSequence);
    Wire::ControlFrame frame;
    auto *message = frame.mutable_demand();
    message->set_entry(digest.entry.text());
    message->set_sequence(digest.sequence);
    for (const auto &rate : digest.rates) {
        auto *added = message->add_rates();
        added->set_artifact(rate.artifact.text());
        added->set_per_second(rate.perSecond);
        added->set_service_us(static_cast<double>(rate.serviceTime.inMicros()));
        added->set_missed_per_second(rate.missedPerSecond);
    }
    return frame;
}

auto Entry::Private::onDemand(const Wire::DemandDigest &message) -> void
{
    DemandDigest digest;
    digest.entry = EntryId(message.entry());
    digest.sequence = message.sequence();
    for (const auto &rate : message.rates()) {
        digest.rates.push_back(
            {ArtifactName(rate.artifact()), rate.per_second(), Duration::micros(static_cast<std::int64_t>(rate.service_us())), rate.missed_per_second()});
    }
    demand.merge(digest, loop.now());
}

auto Entry::Private::housekeep() -> void
{
    demand.advance(loop.now());
    suspects.expire(loop.now());
    versions.update(config->declarations(), [this](const ArtifactName &artifact) { return fleet->hasCopy(artifact); });
    callerReport->update(callers->counts(), callers->heldBytes(), callers->connections(), loop.now());
    reportAnswers(metrics, client.answerLoad());
    fleet->sendEntries(demandFrame());
    Wire::ControlFrame frame;
    frame.mutable_revisions()->set_entry(settings.process.id);
    frame.mutable_revisions()->set_revision(config->revision().value());
    fleet->sendEntries(frame);
}

// [SECTION] HTTP

auto Entry::Private::isReady() const -> bool
{
    return !isLeaving && config->revision() > Revision();
}

auto Entry::Private::metricsText() -> std::string
{
    metrics.set("requests_open", static_cast<double>(flows->open()));
    metrics.set("requests_waiting", static_cast<double>(flows->waiting()));
    metrics.set("revision", static_cast<double>(config->revision().value()));
    metrics.set("revision_lowest", static_cast<double>(status().inForce.value()));
    metrics.set("floor_version", static_cast<double>(planner->floorVersion().value()));
    metrics.set("store_reachable", config->isStoreReachable() ? 1 : 0);
    metrics.set("host_list_trusted", fleet->isListTrusted() ? 1 : 0);
    return metrics.text();
}

auto Entry::Private::handle(const std::shared_ptr<HttpExchange> &exchange) -> void
{
    const auto &path = exchange->request().path;
    if (path == "/metrics") {
        exchange->respond(HttpStatus::Ok, {{"content-type", "text/plain; version=0.0.4"}}, metricsText());
    } else if (path == "/healthz") {
        exchange->respond(HttpStatus::Ok, {{"content-type", "text/plain"}}, "ok\n");
    } else if (path == "/readyz") {
        exchange->respond(isReady() ? HttpStatus::Ok : HttpStatus::Unavailable, {{"content-type", "text/plain"}}, isReady() ? "ready\n" : "not ready\n");
    } else {
        flows->handle(exchange);
    }
}

// [SECTION] Leaving

auto Entry::Private::checkDrained() -> void
{
    const auto open = flows->open();
    const bool isLate = loop.now() - leavingSince > settings.timing.drainLimit;
    if (open > 0 && !isLate) {
        return;
    }
    cutOff = open > 0 ? flows->abandonAll() : 0;
    leaveCheck = loop.after(FlushTime, [this] {
        LOG(INFO) << "leaving: stopped cut-off=" << cutOff;
        loop.stop();
    });
}

Entry::Entry(EventLoop &loop, DaemonSettings settings)
    : d(std::make_unique<Private>(loop, std::move(settings)))
{
    d->build();
    LOG(INFO) << "entry: started id=" << d->settings.process.id << " zone=" << d->settings.process.zone << " callers=" << toString(d->settings.listen.callers)
              << " peers=" << toString(d->settings.listen.peers);
}

Entry::~Entry()
{
    if (d->operators) {
        d->operators->shutdown(); // before the other parts are destroyed, since its threads call them
    }
}

auto Entry::leave() -> void
{
    if (d->isLeaving) {
        return;
    }
    d->isLeaving = true;
    d->leavingSince = d->loop.now();
    LOG(INFO) << "leaving: started open=" << d->flows->open();
    d->flows->setLeaving();
    d->leaveCheck = d->loop.every(LeaveCheckPeriod, [this] { d->checkDrained(); });
}

auto Entry::exitCode() const -> int
{
    return d->cutOff == 0 ? 0 : ExitCutOff;
}

} // namespace KingCup
