// Index of sections (search for [SECTION]):
//   Parts     the tasks and what they tell each other
//   Store     declarations and targets
//   Pages     readiness and metrics
//   Leaving   planned stops
#include "gateway/gateway.h"

#include "gateway/callerserver.h"
#include "gateway/forwarder.h"
#include "gateway/storeclient.h"
#include "net/eventlog.h"
#include "net/httppool.h"
#include "net/metrics.h"
#include "net/wallclock.h"

#include <algorithm>

#include <glog/logging.h>

namespace KingCup
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr int StatusNotFound = 404;
constexpr int ExitCutOff = 1;
/// Whoever sends us new connections looks once a second and believes the second miss.
constexpr auto NoticeTime = Duration::millis(2500);
constexpr auto LeaveCheckPeriod = Duration::millis(50);
/// Before the limit, so that answers that are cut off are cut by us, and said so in the log.
constexpr auto StopMargin = Duration::millis(500);
/// Without word from the store for so long, what the declared traffic lacks may have been declared meanwhile.
constexpr auto CurrentWithin = Duration::seconds(2);

} // namespace

// [SECTION] Parts

struct Gateway::Private {
    EventLoop &loop;
    DaemonSettings settings;
    Protocol protocol;
    EventLog log;
    Metrics metrics;
    HttpPool targetPool;
    HttpPool storePool;
    Dispatcher dispatcher;
    StoreClient store;
    std::unique_ptr<Forwarder> forwarder;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<CallerServer> readyPage;
    std::unique_ptr<CallerServer> metricsPage;
    std::unique_ptr<TableWatch> operatorsWatch;
    std::unique_ptr<TableWatch> targetsWatch;
    std::shared_ptr<const Traffic> traffic;
    TimePoint trafficLostAt; ///< when the store was last lost
    Timer leaveCheck;
    TimePoint leavingSince;
    bool isLeaving = false;
    int cutOff = 0;

    Private(EventLoop &ownerLoop, DaemonSettings daemonSettings, Protocol deployment)
        : loop(ownerLoop)
        , settings(std::move(daemonSettings))
        , protocol(std::move(deployment))
        , log(loop, {.host = settings.process.id})
        , targetPool(loop)
        , storePool(loop)
        , dispatcher({.zone = settings.process.zone})
        , store(loop, storePool, protocol.store, {.server = settings.platform.store})
    {
    }
    auto build() -> void;
    auto buildForwarder() -> void;
    auto buildPages() -> void;
    auto buildWatches() -> void;
    auto adoptTraffic(const std::vector<StoredRow> &rows) -> void;
    auto onTargetRow(const StoredRow &row) -> void;
    auto onTargets(const std::vector<StoredRow> &rows) -> void;
    auto isReady() const -> bool
    {
        return traffic && targetsWatch->isLoaded() && !isLeaving;
    }
    auto checkLeft() -> void;
};

auto Gateway::Private::build() -> void
{
    buildForwarder();
    buildPages();
    buildWatches();
}

auto Gateway::Private::buildForwarder() -> void
{
    ForwarderHooks hooks;
    hooks.isTrafficCurrent = [this] {
        return operatorsWatch->isReached() || loop.now() - trafficLostAt < CurrentWithin;
    };
    hooks.onMissing = [](const ServiceName & /*service*/, const std::string & /*model*/, const std::string & /*adapter*/) {
    };
    hooks.onMisdirected = [](const TargetId & /*target*/, const TargetId & /*found*/) {
    };
    ForwarderOptions options;
    options.seed = wallMillis();
    options.streamBuffer = settings.limits.streamBuffer;
    forwarder = std::make_unique<Forwarder>(ForwarderParts {loop, protocol, targetPool, dispatcher, metrics, log}, options, std::move(hooks));
    forwarder->setRetryBudget({.window = settings.gateway.retryWindow, .ratio = settings.gateway.retryRatio, .allowance = settings.gateway.retryAllowance});
}

// [SECTION] Pages

auto Gateway::Private::buildPages() -> void
{
    callers = std::make_unique<CallerServer>(loop, settings.listen.callers, [this](const CallerExchangePtr &exchange) { forwarder->handle(exchange); });
    if (settings.listen.ready) {
        readyPage = std::make_unique<CallerServer>(
            loop, *settings.listen.ready, [this](const CallerExchangePtr &exchange) { exchange->respond(isReady() ? StatusOk : StatusUnavailable, {}, ""); });
    }
    if (settings.listen.metrics) {
        metricsPage = std::make_unique<CallerServer>(loop, *settings.listen.metrics, [this](const CallerExchangePtr &exchange) {
            const bool isKnown = exchange->head().target == "/metrics";
            exchange->respond(isKnown ? StatusOk : StatusNotFound, {{"Content-Type", "text/plain; version=0.0.4"}}, isKnown ? metrics.text() : "");
        });
    }
}

// [SECTION] Store

auto Gateway::Private::buildWatches() -> void
{
    TableWatchHooks operators;
    operators.onTable = [this](const std::vector<StoredRow> &rows) {
        adoptTraffic(rows);
    };
    operators.onChanges = operators.onTable;
    operators.onContact = [this](bool isReached) {
        if (!isReached) {
            trafficLostAt = loop.now();
        }
        log.line("store", isReached ? "reached" : "not-reached").add("for", "declarations");
    };
    operatorsWatch = std::make_unique<TableWatch>(loop, store, log, StoreTable::Operators, TableWatchOptions(), std::move(operators));
    TableWatchHooks targets;
    targets.onTable = [this](const std::vector<StoredRow> &rows) {
        onTargets(rows);
    };
    targets.onChanges = [this](const std::vector<StoredRow> &rows) {
        for (const auto &row : rows) {
            onTargetRow(row);
        }
        forwarder->pump();
    };
    targets.onContact = [this](bool isReached) {
        log.line("store", isReached ? "reached" : "not-reached").add("for", "targets");
    };
    targetsWatch = std::make_unique<TableWatch>(loop, store, log, StoreTable::Targets, TableWatchOptions(), std::move(targets));
}

auto Gateway::Private::adoptTraffic(const std::vector<StoredRow> &rows) -> void
{
    for (const auto &row : rows) {
        if (row.key != protocol.store.trafficKey || row.isRemoved) {
            continue;
        }
        auto decoded = protocol.decodeTraffic(row.value);
        for (const auto &finding : decoded.findings) {
            log.line("config", "finding").add("what", toString(finding));
        }
        // Never back: an answer that was under way while a newer one came must not undo it.
        if (decoded.value.version <= (traffic ? traffic->version : TrafficVersion())) {
            continue;
        }
        traffic = std::make_shared<const Traffic>(std::move(decoded.value));
        log.line("config", "adopted").add("version", traffic->version.value()).add("routes", static_cast<int>(traffic->routes.size()));
        for (const auto &[name, service] : traffic->services) {
            if (service.engine) {
                dispatcher.adoptEngine(name, *service.engine);
            }
        }
        callers->setLimits(traffic->limits);
        forwarder->adopt(traffic);
    }
}

auto Gateway::Private::onTargetRow(const StoredRow &row) -> void
{
    const auto target = row.isRemoved ? std::nullopt : protocol.decodeTarget(row.key, row.value);
    if (target) {
        log.line("targets", target->isLeaving ? "leaving" : "seen")
            .add("target", row.key)
            .add("service", target->service.text())
            .add("address", toString(target->address))
            .add("models", static_cast<int>(target->models.size()))
            .add("version", row.version.value());
        dispatcher.targetSeen(*target, loop.now());
    } else {
        log.line("targets", row.isRemoved ? "removed" : "unreadable").add("target", row.key).add("version", row.version.value());
        dispatcher.targetGone(TargetId(row.key));
    }
}

auto Gateway::Private::onTargets(const std::vector<StoredRow> &rows) -> void
{
    for (const auto &known : dispatcher.targets()) {
        const auto isRow = [&](const StoredRow &row) {
            return row.key == known.text();
        };
        if (std::none_of(rows.begin(), rows.end(), isRow)) {
            dispatcher.targetGone(known);
        }
    }
    for (const auto &row : rows) {
        onTargetRow(row);
    }
    forwarder->pump();
}

// [SECTION] Leaving

auto Gateway::Private::checkLeft() -> void
{
    const auto sinceLeave = loop.now() - leavingSince;
    const bool isLate = sinceLeave > settings.gateway.stopLimit - StopMargin;
    const bool isDone = sinceLeave > NoticeTime && callers->openExchanges() == 0;
    if (!isLate && !isDone) {
        return;
    }
    leaveCheck.cancel();
    callers->stopListening();
    cutOff = forwarder->abandonAll();
    callers->closeIdle();
    log.line("process", "stopped").add("cut-off", cutOff);
    log.flush();
    loop.stop();
}

Gateway::Gateway(EventLoop &loop, DaemonSettings settings, Protocol protocol)
    : d(std::make_unique<Private>(loop, std::move(settings), std::move(protocol)))
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

auto Gateway::leave() -> void
{
    if (d->isLeaving) {
        return;
    }
    d->isLeaving = true;
    d->leavingSince = d->loop.now();
    d->callers->setLeaving();
    d->log.line("process", "leaving").add("open", static_cast<int>(d->callers->openExchanges()));
    d->leaveCheck = d->loop.every(LeaveCheckPeriod, [this] { d->checkLeft(); });
}

} // namespace KingCup
