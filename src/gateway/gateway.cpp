// Index of sections (search for [SECTION]):
//   Parts     the tasks and how they are connected
//   Store     rows of declarations, targets and gateways
//   Requests  hooks of the forwarder
//   Peers     messages to and from other gateways
//   Servers   HTTP servers for callers, readiness and metrics
//   Leaving   planned stops
//   Settings  reloads
#include "gateway/gateway.h"

#include "core/hashing.h"
#include "gateway/accountlog.h"
#include "gateway/copyuse.h"
#include "gateway/crashwatch.h"
#include "gateway/demandexchange.h"
#include "gateway/digests.h"
#include "gateway/forwarder.h"
#include "gateway/freshnesstask.h"
#include "gateway/gatewaypeers.h"
#include "gateway/limitexchange.h"
#include "gateway/loadexchange.h"
#include "gateway/ordertask.h"
#include "gateway/origintask.h"
#include "gateway/pacereport.h"
#include "gateway/registration.h"
#include "gateway/sharetask.h"
#include "gateway/slotexchange.h"
#include "gateway/storefollower.h"
#include "gateway/targetdirectory.h"
#include "gateway/usageexchange.h"
#include "net/callerreport.h"
#include "net/callerserver.h"
#include "net/eventlog.h"
#include "net/hostresources.h"
#include "net/httppool.h"
#include "net/httpstatus.h"
#include "net/metrics.h"
#include "net/wallclock.h"

#include <algorithm>
#include <glog/logging.h>
#include <optional>
#include <set>

namespace KingCup
{

namespace
{

constexpr int ExitCutOff = 1;
/// Load balancers check readiness once a second and take a gateway out after the second failed check.
constexpr auto BalancerNoticeTime = Duration::millis(2500);
constexpr auto LeaveCheckPeriod = Duration::millis(50);
/// How long before the stop limit the remaining requests are ended, so that the gateway itself cuts them off and logs it.
constexpr auto StopMargin = Duration::millis(500);
/// How long the declared traffic counts as current after the loss of the store. After that, a route that it lacks may have been declared in the meantime.
constexpr auto CurrentAfterStoreLoss = Duration::seconds(2);
/// Prefill of a prompt takes some tens of milliseconds: older load reports would mislead the choice of the next target.
constexpr auto DigestPeriod = Duration::millis(200);
constexpr auto PaceReportPeriod = Duration::seconds(1);
/// Where many gateways exchange digests, the period grows by this much for each receiver, up to the maximum below. About a hundred digests a second
/// reach each gateway, however many gateways there are.
constexpr auto DigestPeriodPerPeer = Duration::millis(8);
constexpr auto MaxDigestPeriod = Duration::millis(1000);
/// Number of digest periods without a message after which a peer counts as silent.
constexpr double SilentAfterPeriods = 3.5;
/// A prompt that takes longer than this to prefill is announced before the next digest: within a digest period, other gateways would queue ten short
/// prompts behind it, and their first tokens would be late although no estimate predicted it.
constexpr auto LongPrefill = Duration::millis(100);
constexpr auto LongPrefillDelay = Duration::millis(5); ///< batches prompts that arrive together
/// Period of messages on sent prefill, for each receiver: about a hundred a second reach each gateway, however many gateways there are.
constexpr auto PrefillPeriodPerPeer = Duration::millis(8);
constexpr auto MaxPrefillPeriod = Duration::millis(200);
/// Four are enough: it is unlikely that all of them fail within the seconds for which the store may be unreachable, and one is left if two zones are lost.
constexpr std::size_t MaxLeaseCandidates = 4;
/// The settings file may change without a signal; reading it takes less than a millisecond.
constexpr auto SettingsPeriod = Duration::seconds(5);
/// About forty round trips within a region. The kernel retransmits a lost SYN only after a second: trying another target is quicker.
constexpr auto TargetConnectTimeout = Duration::millis(150);

/// Lifetime of a proof, as a share of the time limit for key revocations. The rest covers the error of the estimate of a proof's age.
constexpr double ProofLifetimeShare = 0.9;
/// Used if revocations have no time limit.
constexpr auto DefaultProofLifetime = Duration::millis(4500);

auto digestPeriod(int gateways) -> Duration
{
    return std::clamp(DigestPeriodPerPeer * gateways, DigestPeriod, MaxDigestPeriod);
}

/// For servers of short pages without request bodies.
auto statusPageOptions(const Endpoint &listen) -> CallerServerOptions
{
    CallerServerOptions options;
    options.listen = listen;
    options.limits.bodyBytes = 4096;
    options.bounds = {.bytes = 4U << 20U, .reserved = 1U << 20U, .connections = 64};
    return options;
}

/// Whether requests whose targets are all full wait at arbiters. The messages and repeated choices cost small hosts more processor time than they can spare
/// under overload, so they are used only where accounts with token limits compete for the targets: there the order of service matters most.
auto usesSlotPermits(const Traffic &traffic) -> bool
{
    const auto &accounts = traffic.accounts.accounts();
    return std::any_of(accounts.begin(), accounts.end(), [](const ClientAccount &account) { return account.limit.isTokenLimit(); });
}

} // namespace

// [SECTION] Parts

struct Gateway::Private {
    EventLoop &loop;
    DaemonSettings settings;
    ReadSettings readSettings;
    Protocol protocol;
    std::uint64_t incarnation = wallMillis();
    EventLog log;
    Metrics metrics;
    DescriptorBounds descriptors;
    HttpPool targetPool;
    HttpPool storePool;
    ReuseLimit reuse;
    Dispatcher dispatcher;
    AccountAccess access;
    StoreClient store;
    TargetNames targetNames;
    std::unique_ptr<GatewayPeers> peers;
    std::unique_ptr<LoadExchange> loads;
    PaceReport paceReport;
    std::unique_ptr<UsageExchange> usage;
    std::unique_ptr<ShareTask> shares;
    std::unique_ptr<LimitExchange> limits;
    std::unique_ptr<SlotExchange> slots;
    std::unique_ptr<CrashWatch> crashes;
    std::unique_ptr<OriginTask> origins;
    std::unique_ptr<CopyUse> copyUse;
    std::unique_ptr<OrderTask> orders;
    std::unique_ptr<DemandExchange> demand;
    std::unique_ptr<TargetDirectory> targets;
    std::unique_ptr<Forwarder> forwarder;
    std::unique_ptr<CallerReport> callerReport;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<CallerServer> readyServer;
    std::unique_ptr<CallerServer> metricsServer;
    std::unique_ptr<Registration> registration;
    std::unique_ptr<StoreFollower> follower;
    std::unique_ptr<FreshnessTask> freshness;
    std::shared_ptr<const Traffic> traffic;
    TimePoint storeUnreachableAt;
    std::vector<ListedHost> gateways; ///< registered gateways, including this one
    Timer settingsTimer;
    Timer digestTimer;
    Timer paceTimer;
    Timer longPrefillTimer;
    Timer prefillTimer;
    std::uint64_t digests = 0;
    TimePoint digestSentAt;
    Timer leaveCheck;
    TimePoint leavingSince;
    bool isLeaving = false;
    bool hasSlotPermits = false; ///< see usesSlotPermits()
    int cutOff = 0;

    Private(EventLoop &ownerLoop, DaemonSettings daemonSettings, Protocol deployment, ReadSettings reader)
        : loop(ownerLoop)
        , settings(std::move(daemonSettings))
        , readSettings(std::move(reader))
        , protocol(std::move(deployment))
        , log(loop, {.host = settings.process.id})
        , descriptors(descriptorBounds(usableDescriptors(settings.limits.maxDescriptors)))
        , targetPool(loop,
                     {.tcp = {.connectTimeout = TargetConnectTimeout, .maxDescriptors = descriptors.connect},
                      .answers = answerBounds(usableMemory(settings.limits.memory))})
        , storePool(loop)
        , dispatcher({.zone = settings.process.zone,
                      .maySend = [this](const TargetIncarnation &target) { return limits->maySend(target); },
                      .sendLimit =
                          [this](const TargetIncarnation &target, int capacity, double crowding) {
                              return hasSlotPermits ? std::optional(slots->sendLimit(target, capacity, crowding)) : std::nullopt;
                          },
                      .mayBegin = [this](const ServiceName &service, const SoftwareVersion &version) { return origins->mayBegin(service, version); },
                      .isConnected = [this](const Endpoint &address) { return targetPool.hasIdle(address, reuse.limit(loop.now())); },
                      .seed = incarnation ^ stableHash(settings.process.id)})
        , access(loop.now(), {.proofLifetime = proofLifetime()})
        , store(loop, storePool, protocol.store, {.server = settings.platform.store})
        , paceReport(log, metrics)
    {
    }
    /// Maximum age of the proof (that the declarations are the newest) by which keyed requests are served; 0: no proof is needed.
    auto proofLifetime() const -> Duration
    {
        return settings.gateway.revocationLimit * ProofLifetimeShare;
    }
    /// Maximum age of the proofs that the freshness task maintains. Even if serving needs none, a proof distinguishes an unknown key from one that was
    /// added just now.
    auto usefulProofLifetime() const -> Duration
    {
        return proofLifetime() > Duration() ? proofLifetime() : DefaultProofLifetime;
    }
    auto build() -> void;
    auto buildPeers() -> void;
    auto buildOrders() -> void;
    auto buildTargets() -> void;
    auto buildForwarder() -> void;
    auto buildServers() -> void;
    auto buildStore() -> void;
    auto onRows(StoreTable table, const std::vector<StoredRow> &rows) -> void;
    auto onStoreUnreachable() -> void;
    auto applyDeclarationRows(const std::vector<StoredRow> &rows) -> void;
    /// False if the document can't be decoded: the keys that it revokes aren't known.
    auto adoptTraffic(const StoredRow &row) -> bool;
    auto onMisdirected(const TargetId &target, const TargetId &found, const std::string &model, const std::string &adapter) -> void;
    auto onAnswer(const TargetIncarnation &target, const AnswerTraits &answer) -> void;
    auto onResidency(const TargetDescription &target) -> void;
    auto declaredService(const ServiceName &service) const -> const ServiceDeclaration *; ///< null: not declared
    auto work(const ServiceName &service) const -> std::map<std::string, ModelWork>;
    /// Name of this incarnation of the process in digests and in the order lease.
    auto selfName() const -> HolderName
    {
        return HolderName(settings.process.id + "#" + std::to_string(incarnation));
    }
    auto onDigestTimer() -> void;
    auto chooseCandidates() -> void;
    auto isDigestDue() const -> bool;
    auto sendDigest() -> void;
    auto publishLoad() -> void;
    auto publishPrefillSoon() -> void;
    auto onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void;
    auto onDigest(const std::string &id, const Wire::GatewayDigest &digest) -> void;
    auto onResidencyReport(const Wire::Holding &holding) -> void;
    auto isReady() const -> bool
    {
        return traffic && follower->isLoaded(StoreTable::Targets) && !crashes->isStarting() && !isLeaving;
    }
    auto applyRetryBudget() -> void;
    auto reload(bool isRequested) -> void;
    auto checkLeaveDone() -> void;
};

auto Gateway::Private::build() -> void
{
    buildPeers();
    buildOrders();
    buildTargets();
    buildForwarder();
    buildServers();
    buildStore();
    crashes->advance();
    settingsTimer = loop.every(SettingsPeriod, [this] { reload(false); });
    digestTimer = loop.every(DigestPeriod, [this] { onDigestTimer(); });
    paceTimer = loop.every(PaceReportPeriod, [this] { paceReport.report(dispatcher.decodePace(), dispatcher.targetCount(), loop.now()); });
}

auto Gateway::Private::buildOrders() -> void
{
    CopyUseHooks useHooks;
    useHooks.ownStreams = [this](const CopyKey &copy) {
        return dispatcher.ownRunning(copy.first, copy.second);
    };
    useHooks.sendToHolder = [this](const Wire::ControlFrame &frame) {
        peers->send(demand->holderId(), frame);
    };
    copyUse = std::make_unique<CopyUse>(std::move(useHooks));
    OrderTaskHooks hooks;
    hooks.work = [this](const ServiceName &service) {
        return work(service);
    };
    hooks.load = [this](const TargetId &target) {
        const auto *description = dispatcher.description(target);
        return description == nullptr ? 0.0 : static_cast<double>(dispatcher.running(target, loop.now())) / std::max(description->slots, 1);
    };
    hooks.unavailable = [this](const TargetIncarnation &target) {
        const auto limit = limits->perSecond(target);
        return limit ? std::max(1 - *limit * dispatcher.requestCost().meanSeconds(), 0.0) : 0.0;
    };
    hooks.isFailing = [this](const TargetId &target) {
        return dispatcher.isEjected(target, loop.now());
    };
    hooks.pausedUntil = [this](const TargetIncarnation &target) {
        return dispatcher.pausedUntil(target, loop.now());
    };
    hooks.onAnswer = [this](const TargetIncarnation &target, const AnswerTraits &answer) {
        onAnswer(target, answer);
    };
    hooks.onReplaced = [this](const TargetId &target, const TargetId &found) {
        onMisdirected(target, found, "", "");
    };
    hooks.onResidency = [this](const TargetDescription &target) {
        onResidency(target);
    };
    hooks.onMoves = [this](const std::map<TargetId, CopyMove> &moves) {
        copyUse->setMoves(moves);
    };
    hooks.estimatedStreams = [this](const CopyKey &copy) {
        // Clients are spread evenly over the gateways, so the others have about as many streams as this one.
        return static_cast<double>(dispatcher.ownRunning(copy.first, copy.second)) * (peers->liveCount() + 1);
    };
    hooks.drainingStreams = [this] {
        return copyUse->streams(peers->live());
    };
    hooks.onLeaseAcquired = [this] {
        sendDigest();
    };
    OrderTaskSettings orderSettings;
    orderSettings.self = selfName();
    orderSettings.lease.duration = settings.gateway.lease;
    orderSettings.loadWindow = Duration::seconds(settings.gateway.loadWindowSeconds);
    orderSettings.loadOvershoot = settings.gateway.loadOvershoot;
    orders = std::make_unique<OrderTask>(OrderTaskParts {loop, protocol, targetPool, store, metrics, log}, orderSettings, std::move(hooks));
    demand = std::make_unique<DemandExchange>(DemandExchangeParts {loop, log, *peers, *orders});
}

auto Gateway::Private::buildTargets() -> void
{
    TargetDirectoryHooks hooks;
    hooks.onSeen = [this](const TargetDescription &target) {
        crashes->targetSeen(target);
        origins->targetSeen(target);
        orders->targetSeen(target);
    };
    hooks.onGone = [this](const TargetId &target) {
        copyUse->targetGone(target);
        origins->targetGone(target);
        orders->targetGone(target);
    };
    hooks.storeFollowedFor = [this] {
        return follower->followedFor();
    };
    hooks.givesOrders = [this] {
        return orders->mayOrder();
    };
    targets = std::make_unique<TargetDirectory>(TargetDirectoryParts {loop, log, protocol, targetPool, dispatcher, targetNames}, std::move(hooks));
}

// [SECTION] Store

auto Gateway::Private::onStoreUnreachable() -> void
{
    storeUnreachableAt = loop.now();
    targets->storeUnreachable();
}

auto Gateway::Private::buildStore() -> void
{
    RegistrationSettings self;
    self.id = settings.process.id;
    self.zone = settings.process.zone;
    self.peerEndpoint = settings.listen.peers;
    self.incarnation = incarnation;
    self.processorShare = settings.gateway.processorShare;
    RegistrationHooks registrationHooks;
    registrationHooks.onGatewaysChanged = [this](const std::vector<ListedHost> &hosts) {
        gateways = hosts;
        peers->setHosts(hosts);
        peers->setSilentAfter(std::max(GatewayPeerSettings().silentAfter, digestPeriod(static_cast<int>(hosts.size())) * SilentAfterPeriods));
        std::vector<CellMember> members;
        members.reserve(hosts.size());
        for (const auto &host : hosts) {
            members.push_back({host.id, host.zone, host.processorShare});
        }
        loads->setMembers(members);
        slots->setDirectReports(loads->isDirect());
        std::set<EntryId> others;
        std::vector<std::string> otherHosts;
        for (const auto &host : hosts) {
            if (host.id != settings.process.id) {
                others.insert(EntryId(host.id));
                otherHosts.push_back(host.id);
            }
        }
        origins->setGateways(std::set<std::string>(otherHosts.begin(), otherHosts.end()));
        usage->setGateways(otherHosts, digestPeriod(static_cast<int>(hosts.size())));
        orders->lease().setPeers(others);
    };
    registration = std::make_unique<Registration>(loop, store, log, self, std::move(registrationHooks));
    StoreFollowerHooks hooks;
    hooks.onRows = [this](StoreTable table, const std::vector<StoredRow> &rows) {
        onRows(table, rows);
    };
    hooks.onUnreachable = [this] {
        storeUnreachableAt = loop.now();
    };
    hooks.onStoreFailing = [this] {
        targets->storeUnreachable();
    };
    TableFollowerSettings followerSettings;
    followerSettings.id = settings.process.id;
    followerSettings.seed = incarnation ^ stableHash(settings.process.id);
    follower = std::make_unique<StoreFollower>(StoreFollowerParts {loop, store, log, metrics, *peers}, followerSettings, std::move(hooks));
    store.onUnreachable = [this] {
        onStoreUnreachable();
    };
    FreshnessSettings freshnessSettings;
    freshnessSettings.declarationsKey = protocol.store.trafficKey;
    freshnessSettings.proofLifetime = usefulProofLifetime();
    freshnessSettings.seed = incarnation ^ stableHash(settings.process.id);
    freshness = std::make_unique<FreshnessTask>(FreshnessParts {loop, log, metrics, *peers, store, *follower, access}, freshnessSettings);
}

auto Gateway::Private::onRows(StoreTable table, const std::vector<StoredRow> &rows) -> void
{
    switch (table) {
    case StoreTable::Declarations:
        applyDeclarationRows(rows);
        break;
    case StoreTable::Targets:
        targets->applyRows(rows);
        forwarder->retryWaiting();
        break;
    case StoreTable::Gateways:
        registration->applyRows(rows);
        break;
    case StoreTable::Leases:
    case StoreTable::Crashes:
    case StoreTable::Versions:
    case StoreTable::LimitShares:
    case StoreTable::Origins:
        break; // the follower doesn't watch these tables
    }
}

auto Gateway::Private::applyDeclarationRows(const std::vector<StoredRow> &rows) -> void
{
    for (const auto &row : rows) {
        if (row.key == protocol.store.trafficKey && !row.isRemoved) {
            if (adoptTraffic(row)) {
                access.rowReceived(row.version);
            }
        }
    }
}

auto Gateway::Private::adoptTraffic(const StoredRow &row) -> bool
{
    auto decoded = protocol.decodeTraffic(row.value);
    for (const auto &finding : decoded.findings) {
        log.line("config", "finding").add("what", toString(finding)).add("row", row.version.value());
    }
    // Versions only go up: a late answer must not replace a newer document that has come in the meantime.
    if (decoded.value.version <= (traffic ? traffic->version : TrafficVersion())) {
        log.line("config", "not-newer").add("version", decoded.value.version.value()).add("row", row.version.value());
        return decoded.value.version > TrafficVersion();
    }
    assignBands(decoded.value);
    logAccountChanges(log, traffic ? traffic->accounts : AccountTable(), decoded.value.accounts);
    traffic = std::make_shared<const Traffic>(std::move(decoded.value));
    log.line("config", "adopted")
        .add("version", traffic->version.value())
        .add("row", row.version.value())
        .add("routes", static_cast<int>(traffic->routes.size()))
        .add("accounts", static_cast<int>(traffic->accounts.accounts().size()));
    metrics.set("traffic_version", static_cast<double>(traffic->version.value()));
    for (const auto &[name, service] : traffic->services) {
        if (service.engine) {
            dispatcher.adoptEngine(name, *service.engine);
            orders->adoptEngine(name, *service.engine);
        }
    }
    origins->setStreamServices(streamServices(*traffic));
    callers->setLimits(traffic->limits);
    access.adopt(traffic, loop.now());
    slots->setAccounts(traffic->accounts.accounts());
    if (const bool isUsed = settings.gateway.hasSlotPermits && usesSlotPermits(*traffic); isUsed != hasSlotPermits) {
        hasSlotPermits = isUsed;
        log.line("slots", "permits").add("used", isUsed);
    }
    freshness->setActive(traffic->hasAccounts);
    forwarder->adopt(traffic);
    return true;
}

// [SECTION] Requests

auto Gateway::Private::buildForwarder() -> void
{
    ForwarderHooks hooks;
    hooks.areDeclarationsCurrent = [this] {
        return follower->isCurrent() || loop.now() - storeUnreachableAt < CurrentAfterStoreLoss;
    };
    hooks.onMissing = [this](const ServiceName &service, const std::string &model, const std::string &adapter, const SoftwareVersion &version) {
        demand->artifactMissing({service, model, adapter, version});
    };
    hooks.onOverloaded = [this](const ServiceName &service, const std::string &model, const std::string &adapter) {
        demand->adapterOverloaded({service, model, adapter, {}});
    };
    hooks.onMisdirected = [this](const TargetId &target, const TargetId &found, const std::string &model, const std::string &adapter) {
        onMisdirected(target, found, model, adapter);
    };
    hooks.onRequest = [this](const DispatchRequest &request) {
        if (!request.model.empty()) {
            demand->modelRequested(request.model);
        }
    };
    hooks.onAdmitted = [this](const AccountName &account) {
        usage->charged(account);
    };
    hooks.onSent = [this](const TargetId &target, const DispatchRequest &request, SendId send) {
        if (dispatcher.prefillTime(send) >= LongPrefill && !longPrefillTimer.isActive()) {
            longPrefillTimer = loop.after(LongPrefillDelay, [this] { publishLoad(); });
        }
        if (!request.model.empty() && loads->isDirect()) {
            publishPrefillSoon();
        }
        if (!request.adapter.empty()) {
            demand->adapterUsed(target, request.model, request.adapter);
        }
    };
    hooks.onAnswer = [this](const TargetIncarnation &target, const AnswerTraits &answer, TimePoint sentAt) {
        onAnswer(target, answer);
        // A rejection need not repeat the limit: only an answer of a run shows that it has ended.
        if (answer.requestLimit || (answer.isSigned && !answer.isRequestLimitMalformed)) {
            limits->answerReceived(target, answer.requestLimit, sentAt);
        }
    };
    ForwarderOptions options;
    options.seed = wallMillis();
    options.streamBuffer = settings.limits.streamBuffer;
    forwarder = std::make_unique<Forwarder>(
        ForwarderParts {loop, protocol, targetPool, dispatcher, reuse, access, *limits, *slots, *crashes, *origins, metrics, log}, options, std::move(hooks));
    applyRetryBudget();
}

auto Gateway::Private::onMisdirected(const TargetId &target, const TargetId &found, const std::string &model, const std::string &adapter) -> void
{
    log.line("targets", "misdirected").add("target", target.text()).add("found", found.text()).add("model", model).add("adapter", adapter);
    if (!found.isEmpty() && found != target) {
        targets->misdirected(target);
        return;
    }
    const auto *description = dispatcher.description(target);
    if (description == nullptr || model.empty()) {
        return;
    }
    auto models = description->models;
    for (auto &resident : models) {
        if (resident.name == model) {
            std::erase(resident.adapters, adapter);
        }
    }
    if (adapter.empty()) {
        std::erase_if(models, [&](const ResidentModel &resident) { return resident.name == model; });
    }
    dispatcher.targetHolds(target, models);
    demand->artifactMissing({description->service, model, adapter, {}});
}

/// Applies what an answer to a request or a call says about the target itself.
auto Gateway::Private::onAnswer(const TargetIncarnation &target, const AnswerTraits &answer) -> void
{
    if (answer.isRequestLimitMalformed) {
        log.line("targets", "limit-malformed").add("target", target.id.text()).add("source", "answer");
    }
    if (answer.isRetryAfterMalformed) {
        log.line("targets", "retry-after-malformed").add("target", target.id.text());
    }
    if (answer.isLeaving) {
        targets->announcedLeaving(target);
    }
    if (answer.retryAfter) {
        dispatcher.askedToPause(target, *answer.retryAfter, loop.now());
        orders->targetPaused(target);
        log.line("targets", "paused").add("target", target.id.text()).add("born", target.startedAtMillis).add("for", *answer.retryAfter);
        metrics.add("target_pauses_total");
    }
}

auto Gateway::Private::declaredService(const ServiceName &service) const -> const ServiceDeclaration *
{
    if (!traffic) {
        return nullptr;
    }
    const auto found = traffic->services.find(service);
    return found == traffic->services.end() ? nullptr : &found->second;
}

auto Gateway::Private::work(const ServiceName &service) const -> std::map<std::string, ModelWork>
{
    const auto *declared = declaredService(service);
    if (declared == nullptr || !declared->engine) {
        return {};
    }
    return demand->work(*declared->engine, dispatcher.requestCost());
}

// [SECTION] Peers

auto Gateway::Private::buildPeers() -> void
{
    GatewayPeerSettings peerSettings;
    peerSettings.id = settings.process.id;
    peerSettings.zone = settings.process.zone.text();
    peerSettings.incarnation = incarnation;
    peerSettings.listen = settings.listen.peers;
    GatewayPeerHooks hooks;
    hooks.onFrame = [this](const std::string &id, const Wire::ControlFrame &frame) {
        onFrame(id, frame);
    };
    hooks.greeting = [this] {
        std::vector<Wire::ControlFrame> frames;
        if (orders && orders->mayOrder()) {
            for (const auto &target : orders->residencies()) {
                frames.push_back(residencyFrame(target));
            }
        }
        if (const auto known = limits ? limits->greeting() : std::nullopt) {
            frames.push_back(*known);
        }
        if (const auto known = crashes ? crashes->greeting() : std::nullopt) {
            frames.push_back(*known);
        }
        if (origins) {
            const auto known = origins->greeting();
            frames.insert(frames.end(), known.begin(), known.end());
        }
        return frames;
    };
    hooks.onSilent = [this](const std::string &id) {
        dispatcher.gatewayGone(EntryId(id));
        slots->onSilent(id);
    };
    peers = std::make_unique<GatewayPeers>(loop, log, peerSettings, std::move(hooks));
    LoadExchangeSettings loadSettings;
    loadSettings.id = settings.process.id;
    loadSettings.self = EntryId(selfName().text());
    loads = std::make_unique<LoadExchange>(LoadExchangeParts {loop, log, metrics, dispatcher, *peers, targetNames}, loadSettings);
    shares = std::make_unique<ShareTask>(ShareTaskParts {loop, log, metrics, store, access.usage()}, settings.process.id);
    usage = std::make_unique<UsageExchange>(UsageExchangeParts {loop, *peers, access.usage()}, selfName().text());
    LimitExchangeHooks limitHooks;
    limitHooks.onPermit = [this] {
        forwarder->retryWaiting();
    };
    limits = std::make_unique<LimitExchange>(LimitExchangeParts {loop, log, metrics, *peers}, settings.process.id, std::move(limitHooks));
    slots = std::make_unique<SlotExchange>(SlotExchangeParts {loop, log, metrics, *peers, dispatcher, targetNames}, settings.process.id);
    CrashWatchHooks crashHooks;
    crashHooks.healthPath = [this](const ServiceName &service) {
        const auto *declared = declaredService(service);
        return declared == nullptr ? std::string() : declared->healthPath;
    };
    crashHooks.onProbeReply = [this] {
        forwarder->retryWaiting();
    };
    crashHooks.onStarted = [this] {
        forwarder->retryWaiting();
    };
    crashes = std::make_unique<CrashWatch>(CrashWatchParts {loop, log, metrics, protocol, targetPool, *peers, store},
                                           settings.process.id,
                                           incarnation ^ stableHash(settings.process.id),
                                           std::move(crashHooks));
    OriginHooks originHooks;
    originHooks.onVersionsNamed = [this] {
        forwarder->retryWaiting();
    };
    originHooks.removesVersions = [this] {
        return orders && orders->mayOrder();
    };
    origins = std::make_unique<OriginTask>(OriginParts {loop, log, metrics, *peers, store}, settings.process.id, std::move(originHooks));
}

/// Applies a change of a runner's models at once, before its row in the store shows it, and announces it to the other gateways.
auto Gateway::Private::onResidency(const TargetDescription &target) -> void
{
    dispatcher.targetHolds(target.incarnation.id, target.models);
    if (orders && orders->mayOrder()) {
        peers->sendAll(residencyFrame(target));
        forwarder->retryWaiting();
    }
}

auto Gateway::Private::onResidencyReport(const Wire::Holding &holding) -> void
{
    const TargetId target(holding.target());
    const auto models = modelsOf(holding);
    if (orders->mayOrder() || !targets->reportedResidency(target, holding.born_ms(), models)) {
        return;
    }
    copyUse->reportedResidency(target, models);
    forwarder->retryWaiting();
}

auto Gateway::Private::onDigestTimer() -> void
{
    follower->advance();
    targets->advance();
    limits->advance();
    slots->advance();
    crashes->advance();
    origins->advance();
    shares->advance();
    dispatcher.expirePauses(loop.now());
    if (orders->lease().isHolder()) {
        chooseCandidates();
    }
    if (isDigestDue()) {
        sendDigest();
    }
    forwarder->setGatewayCount(peers->liveCount() + 1);
    if (!orders->mayOrder()) {
        copyUse->report();
    }
    demand->advance();
    callerReport->update(callers->counts(), callers->heldBytes(), callers->connections(), loop.now());
    reportAnswers(metrics, targetPool.answerLoad());
}

/// Chooses the gateways that may succeed this one as lease holder.
auto Gateway::Private::chooseCandidates() -> void
{
    const auto live = peers->live();
    std::vector<LeaseMember> alive;
    for (const auto &host : gateways) {
        if (live.contains(host.id)) {
            alive.push_back({EntryId(host.id), host.zone, host.processorShare});
        }
    }
    orders->lease().setCandidates(chooseLeaseCandidates(std::move(alive), MaxLeaseCandidates));
}

/// The lease holder and the store watchers send a digest in every period: all other gateways depend on them and react soon to missing ones.
auto Gateway::Private::isDigestDue() const -> bool
{
    const bool isAwaited = orders->mayOrder() || follower->isWatching();
    return isAwaited || loop.now() - digestSentAt >= digestPeriod(peers->liveCount()) - DigestPeriod * 0.5;
}

auto Gateway::Private::sendDigest() -> void
{
    digestSentAt = loop.now();
    Wire::ControlFrame frame;
    auto *digest = frame.mutable_gateway();
    digest->set_entry(selfName().text());
    digest->set_sequence(++digests);
    digest->set_traffic_version(traffic ? traffic->version.value() : 0);
    if (loads->isDirect()) {
        digest->mutable_work(); // sets the field even without rows: an empty one means that no work is in flight
        writeWork(dispatcher.takeDigest(EntryId(settings.process.id), loop.now()), *digest);
        slots->digestSent();
    }
    targets->writeLeaving(*digest);
    auto &lease = orders->lease();
    if (orders->mayOrder()) {
        digest->set_lease_fence(lease.fence().value());
        digest->set_lease_version(lease.version().value());
    }
    digest->set_reads_lease_candidates(true);
    digest->set_last_holder(lease.holder().text());
    digest->set_last_holder_sequence(lease.lastHolderSequence());
    follower->writeDigest(*digest);
    usage->writeReport(*digest->mutable_usage());
    digest->set_crash_checksum(crashes->checksum());
    lease.digestSent(digests, loop.now());
    peers->sendAll(frame);
}

/// Publishes this gateway's load at once instead of in the next period.
auto Gateway::Private::publishLoad() -> void
{
    if (loads->isDirect()) {
        sendDigest();
    } else {
        loads->reportNow();
    }
}

/// Announces the prompts that were sent since the last announcement. Prompts that arrive together at one target stall its streams, and gateways that don't know
/// of each other's latest prompts send them to the same target.
auto Gateway::Private::publishPrefillSoon() -> void
{
    if (prefillTimer.isActive()) {
        return;
    }
    const auto period = PrefillPeriodPerPeer * peers->liveCount();
    prefillTimer = loop.after(std::min(period, MaxPrefillPeriod), [this] {
        Wire::ControlFrame frame;
        writePrefill(dispatcher.takeSentPrefill(), *frame.mutable_sent_prefill());
        peers->sendAll(frame);
    });
}

auto Gateway::Private::onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void
{
    slots->messageReceived(id);
    if (frame.has_gateway()) {
        onDigest(id, frame.gateway());
    } else if (frame.has_wanted()) {
        demand->onWanted(frame.wanted());
    } else if (frame.has_gateway_demand()) {
        demand->onDemand(frame.gateway_demand());
    } else if (frame.has_sent_prefill()) {
        dispatcher.merge(prefillOf(frame.sent_prefill(), targetNames), loop.now());
    } else if (frame.has_gateway_load()) {
        loads->onReport(frame.gateway_load());
    } else if (frame.has_cell_load()) {
        loads->onSum(id, frame.cell_load());
        slots->onReports();
    } else if (frame.has_copy_streams()) {
        copyUse->streamsReported(id, frame.copy_streams());
        orders->planSoon();
    } else if (frame.has_holding()) {
        onResidencyReport(frame.holding());
    } else if (frame.has_crash_report()) {
        crashes->onMessage(id, frame.crash_report());
    } else if (frame.has_origin_query()) {
        origins->onQuery(id, frame.origin_query());
    } else if (frame.has_origin_reply()) {
        origins->onReply(id, frame.origin_reply());
    } else if (frame.has_version_row()) {
        origins->onVersionRow(id, frame.version_row());
    } else if (frame.has_account_usage()) {
        usage->merge(id, frame.account_usage().start(), frame.account_usage());
    } else if (frame.has_target_limits()) {
        limits->onMessage(id, frame.target_limits());
    } else if (frame.has_slot_permits()) {
        slots->onMessage(id, frame.slot_permits());
    } else if (frame.has_freshness_request()) {
        freshness->onRequest(id, frame.freshness_request());
    } else if (frame.has_freshness_reply()) {
        freshness->onReply(id, frame.freshness_reply());
    } else {
        follower->onFrame(id, frame);
    }
}

auto Gateway::Private::onDigest(const std::string &id, const Wire::GatewayDigest &digest) -> void
{
    if (digest.has_work()) {
        dispatcher.merge(workOf(digest, targetNames), loop.now());
        slots->onDigest(id);
    }
    usage->merge(id, digest.entry(), digest.usage());
    if (digest.has_crash_checksum()) {
        crashes->onChecksum(id, digest.crash_checksum());
    }
    auto &lease = orders->lease();
    if (digest.lease_fence() > 0) {
        const Fence fence(digest.lease_fence());
        lease.holderAnnounced(HolderName(digest.entry()), fence, digest.sequence(), RowVersion(digest.lease_version()), loop.now());
        demand->holderAnnounced(fence);
    }
    if (!digest.reads_lease_candidates()) {
        lease.peerIgnoresCandidates(EntryId(id));
    }
    if (HolderName(digest.last_holder()) == selfName()) {
        lease.peerConfirmed(EntryId(id), digest.last_holder_sequence(), loop.now());
    }
    for (const auto &target : digest.leaving()) {
        targets->reportedLeaving({TargetId(target.target()), target.born_ms()}, target.announced());
    }
    follower->onDigest(id, digest);
}

// [SECTION] Servers

auto Gateway::Private::buildServers() -> void
{
    CallerServerOptions options;
    options.listen = settings.listen.callers;
    options.bounds = callerBounds(usableMemory(settings.limits.memory), std::min(static_cast<std::size_t>(settings.limits.maxConnections), descriptors.accept));
    options.maxDescriptors = descriptors.accept;
    options.hooks.timeBudget = [this](const HttpHead &head) {
        return forwarder->timeBudget(head).value_or(settings.limits.requestBudget);
    };
    options.hooks.refusalAnswer = [this](const HttpHead &head, CallerRefusal refusal) {
        return CallerServerHooks::Answer {forwarder->refusalHeaders(head, refusal), ""};
    };
    callers = std::make_unique<CallerServer>(loop, options, [this](const CallerExchangePtr &exchange) { forwarder->handle(exchange); });
    callerReport = std::make_unique<CallerReport>(metrics, [this](const CallerReport::Pressure &pressure) {
        log.line("callers", "pressure")
            .add("refused", pressure.refused)
            .add("dropped", pressure.dropped)
            .add("replaced", pressure.replaced)
            .add("held", static_cast<std::uint64_t>(pressure.held))
            .add("connections", static_cast<std::uint64_t>(pressure.connections));
    });
    if (settings.listen.ready) {
        readyServer = std::make_unique<CallerServer>(loop, statusPageOptions(*settings.listen.ready), [this](const CallerExchangePtr &exchange) {
            exchange->respond(isReady() ? HttpStatus::Ok : HttpStatus::Unavailable, {}, "");
        });
    }
    if (settings.listen.metrics) {
        metricsServer = std::make_unique<CallerServer>(loop, statusPageOptions(*settings.listen.metrics), [this](const CallerExchangePtr &exchange) {
            const bool isKnown = exchange->head().target == "/metrics";
            exchange->respond(isKnown ? HttpStatus::Ok : HttpStatus::NotFound, {{"Content-Type", "text/plain; version=0.0.4"}}, isKnown ? metrics.text() : "");
        });
    }
}

// [SECTION] Leaving

auto Gateway::Private::checkLeaveDone() -> void
{
    const auto sinceLeave = loop.now() - leavingSince;
    if (sinceLeave > BalancerNoticeTime) {
        // Load balancers open no new connections any more. On an idle connection, a request could still arrive too late to be finished before the stop limit.
        callers->stopListening();
        callers->closeIdle();
    }
    const bool isLate = sinceLeave > settings.gateway.stopLimit - StopMargin;
    const bool isDone = sinceLeave > BalancerNoticeTime && callers->openExchanges() == 0 && callers->undeliveredAnswers() == 0;
    if (!isLate && !isDone) {
        return;
    }
    leaveCheck.cancel();
    // The lease is kept until here: after a release, no gateway loads adapters or models until the next holder has waited a whole lease, and in a
    // rolling restart that holder would itself be stopped soon after it has begun to give orders.
    orders->stop();
    const auto undelivered = static_cast<int>(callers->undeliveredAnswers());
    cutOff = forwarder->abandonAll() + undelivered;
    log.line("process", "stopped").add("cut-off", cutOff).add("undelivered", undelivered);
    log.flush();
    loop.stop();
}

// [SECTION] Settings

auto Gateway::Private::applyRetryBudget() -> void
{
    forwarder->setRetryBudget({.window = settings.gateway.retryWindow, .ratio = settings.gateway.retryRatio, .allowance = settings.gateway.retryAllowance});
}

auto Gateway::Private::reload(bool isRequested) -> void
{
    const auto newSettings = readSettings();
    for (const auto &finding : newSettings.findings) {
        log.line("settings", "finding").add("what", toString(finding));
    }
    if (!newSettings.isValid()) {
        return;
    }
    const bool isChanged = newSettings.value.gateway != settings.gateway || newSettings.value.platform.store != settings.platform.store;
    if (isRequested || isChanged) {
        log.line("settings", "reloaded").add("asked", isRequested).add("changed", isChanged);
    }
    settings.gateway = newSettings.value.gateway;
    settings.platform.store = newSettings.value.platform.store;
    store.setServer(settings.platform.store);
    access.setProofLifetime(proofLifetime());
    freshness->setProofLifetime(usefulProofLifetime());
    applyRetryBudget();
}

Gateway::Gateway(EventLoop &loop, DaemonSettings settings, Protocol protocol, ReadSettings readSettings)
    : d(std::make_unique<Private>(loop, std::move(settings), std::move(protocol), std::move(readSettings)))
{
    d->build();
    d->log.line("process", "started")
        .add("zone", d->settings.process.zone.text())
        .add("callers", toString(d->settings.listen.callers))
        .add("store", toString(d->settings.platform.store));
}

Gateway::~Gateway() = default;

auto Gateway::exitCode() const -> int
{
    return d->cutOff == 0 ? 0 : ExitCutOff;
}

auto Gateway::reload() -> void
{
    d->reload(true);
}

auto Gateway::leave() -> void
{
    if (d->isLeaving) {
        return;
    }
    d->isLeaving = true;
    d->leavingSince = d->loop.now();
    d->callers->setLeaving();
    d->forwarder->setStop({d->leavingSince + BalancerNoticeTime, d->leavingSince + d->settings.gateway.stopLimit - StopMargin});
    d->log.line("process", "leaving").add("open", static_cast<int>(d->callers->openExchanges()));
    d->leaveCheck = d->loop.every(LeaveCheckPeriod, [this] { d->checkLeaveDone(); });
}

} // namespace KingCup
