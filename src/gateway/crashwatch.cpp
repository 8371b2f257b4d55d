// Index of sections (search for [SECTION]):
//   Runs       ends of runs, and checks of targets
//   Requests   rejections and probes
//   Messages   to and from other gateways
//   Archive    the store's copy of the records
#include "gateway/crashwatch.h"

#include "gateway/pooledcall.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// Includes the time to connect.
constexpr auto CheckTimeout = Duration::millis(400);
/// A connection that fails sooner was refused: one that gets no reply at all takes the whole connect timeout.
constexpr auto RefusedWithin = Duration::millis(100);
constexpr auto ArchiveKey = "records";
constexpr std::uint64_t MaxAgeMillis = 24ULL * 3600 * 1000;

auto age(std::uint64_t millis) -> Duration
{
    return Duration::millis(static_cast<std::int64_t>(std::min(millis, MaxAgeMillis)));
}

auto millis(Duration span) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::max(span.inMillis(), std::int64_t {0}));
}

auto writeMessage(const CrashMessage &message, Wire::CrashReport &report) -> void
{
    for (const auto &record : message.records) {
        auto *added = report.add_records();
        added->set_request(record.request);
        added->set_unused_ms(millis(record.unusedFor));
        for (const auto &event : record.events) {
            auto *addedEvent = added->add_events();
            addedEvent->set_id(event.id);
            addedEvent->set_probe(event.isProbe);
            addedEvent->set_withdrawn(event.isWithdrawn);
            addedEvent->set_age_ms(millis(event.age));
            addedEvent->set_where(event.where);
            for (const auto run : event.runs) {
                addedEvent->add_runs(run);
            }
            addedEvent->set_over(event.isOver);
        }
    }
    for (const auto request : message.queries) {
        report.add_queries(request);
    }
    for (const auto &reply : message.replies) {
        auto *added = report.add_replies();
        added->set_request(reply.request);
        added->set_granted(reply.isGranted);
    }
}

auto messageOf(const Wire::CrashReport &report) -> CrashMessage
{
    CrashMessage message;
    for (const auto &record : report.records()) {
        CrashRecord read {record.request(), age(record.unused_ms()), {}};
        for (const auto &event : record.events()) {
            read.events.push_back(
                {event.id(), event.probe(), event.withdrawn(), age(event.age_ms()), event.where(), {event.runs().begin(), event.runs().end()}, event.over()});
        }
        message.records.push_back(std::move(read));
    }
    message.queries.assign(report.queries().begin(), report.queries().end());
    for (const auto &reply : report.replies()) {
        message.replies.push_back({reply.request(), reply.granted()});
    }
    return message;
}

/// Ends as "target*runs" and probes as "probe@gateway", each with its age in milliseconds.
auto eventList(const std::vector<CrashEvent> &events) -> std::string
{
    std::string text;
    for (const auto &event : events) {
        text.append(text.empty() ? "" : ",")
            .append(event.isProbe ? "probe@" : "")
            .append(event.where)
            .append(event.isProbe ? "" : "*" + std::to_string(event.runs.size()))
            .append(event.isWithdrawn ? "-withdrawn" : "")
            .append(":")
            .append(std::to_string(millis(event.age)));
    }
    return text;
}

} // namespace

struct CrashWatch::Check {
    std::shared_ptr<CollectedAnswer> answer = std::make_shared<CollectedAnswer>();
    std::shared_ptr<PooledHandle> call;
    Timer timeout;
    TimePoint startedAt;
};

CrashWatch::CrashWatch(CrashWatchParts parts, std::string self, std::uint64_t seed, CrashWatchHooks hooks)
    : m_parts(parts)
    , m_hooks(std::move(hooks))
    , m_crashes(self, {.seed = seed})
    , m_archive(std::move(self), parts.loop.now())
{
}

CrashWatch::~CrashWatch()
{
    for (const auto &[target, check] : m_checks) {
        if (check->call) {
            check->call->cancel();
        }
    }
}

// [SECTION] Runs

auto CrashWatch::sent(SendId run, const WatchedTarget &target, RunWatch::Fingerprint fingerprint) -> void
{
    m_runs.sent(run, target, std::move(fingerprint), now());
}

auto CrashWatch::received(SendId run) -> void
{
    m_runs.received(run, now());
}

auto CrashWatch::answered(SendId run, const TargetIncarnation &target, TimePoint sentAt) -> void
{
    m_runs.answered(run, now());
    endProbe(run);
    const auto withdrawn = m_crashes.targetAnswered(target, sentAt);
    for (const auto request : withdrawn) {
        m_parts.log.line("crashes", "withdrawn")
            .add("request", request)
            .add("why", "target-lives")
            .add("target", target.id.text())
            .add("born", target.startedAtMillis)
            .add("ends", m_crashes.ends(request));
    }
    flush();
}

auto CrashWatch::notSent(SendId run) -> void
{
    m_runs.notSent(run);
    m_probes.erase(run);
}

auto CrashWatch::broke(SendId run) -> void
{
    m_runs.broke(run, now());
    runChecks();
}

auto CrashWatch::abandoned(SendId run) -> void
{
    m_runs.abandoned(run, now());
}

auto CrashWatch::targetReplaced(const TargetIncarnation &target) -> void
{
    m_runs.replaced(target);
    applyVerdicts();
}

auto CrashWatch::targetSeen(const TargetDescription &target) -> void
{
    if (target.isLeaving) {
        m_runs.targetLeaving(target.incarnation);
    }
    m_runs.addressTaken(target.address, target.incarnation);
    applyVerdicts();
}

auto CrashWatch::advance() -> void
{
    runChecks();
    applyVerdicts();
    if (auto live = m_parts.peers.live(); live != m_live) {
        m_live = std::move(live);
        m_crashes.setGateways(m_live);
        m_archive.setGateways(m_live, now());
    }
    for (const auto request : m_crashes.expire(now())) {
        m_parts.log.line("crashes", "expired").add("request", request);
    }
    useArchive();
    m_parts.metrics.set("rejected_crashing_requests", static_cast<double>(m_crashes.barredCount()));
}

auto CrashWatch::runChecks() -> void
{
    for (const auto &target : m_runs.checksDue(now())) {
        startCheck(target);
    }
}

/// Asks the target for its health over a new connection: those in the pool may be broken without having been closed.
auto CrashWatch::startCheck(const WatchedTarget &target) -> void
{
    auto check = std::make_shared<Check>();
    m_checks[target.incarnation] = check;
    check->startedAt = now();
    m_parts.metrics.add("target_checks_total");
    const auto incarnation = target.incarnation;
    const auto path = m_hooks.healthPath(target.service);
    if (path.empty()) {
        check->timeout = m_parts.loop.after(CheckTimeout, [this, incarnation] { finishCheck(incarnation, TargetSign::Unanswered); });
        return;
    }
    auto call = collectingCall(target.address, m_parts.protocol.healthCall(path, incarnation.id), check->answer);
    call.maxIdleTime = Duration();
    call.onEnd = [this, incarnation, check](const PooledEnd &end) {
        check->call = nullptr;
        if (end.end == CallEnd::Complete) {
            const auto traits = m_parts.protocol.readAnswer(check->answer->head);
            const bool isOther = traits.target.isEmpty() ? traits.isMisdirected : traits.target != incarnation.id;
            finishCheck(incarnation, isOther ? TargetSign::Replaced : TargetSign::Alive);
        } else if (end.end == CallEnd::NotSent) {
            finishCheck(incarnation, now() - check->startedAt < RefusedWithin ? TargetSign::Refused : TargetSign::Unconnected);
        } else {
            finishCheck(incarnation, TargetSign::Unanswered);
        }
    };
    check->call = m_parts.pool.start(std::move(call));
    check->timeout = m_parts.loop.after(CheckTimeout, [this, incarnation] { finishCheck(incarnation, TargetSign::Unanswered); });
}

auto CrashWatch::finishCheck(const TargetIncarnation &target, TargetSign sign) -> void
{
    const auto found = m_checks.find(target);
    if (found == m_checks.end()) {
        return;
    }
    const auto check = found->second;
    m_checks.erase(found);
    check->timeout.cancel();
    if (check->call) {
        check->call->cancel();
    }
    m_parts.log.line("crashes", "target-checked")
        .add("target", target.id.text())
        .add("born", target.startedAtMillis)
        .add("sign", toString(sign))
        .add("after", now() - check->startedAt);
    m_runs.checked(target, sign, check->startedAt, now());
    applyVerdicts();
}

auto CrashWatch::applyVerdicts() -> void
{
    for (const auto &verdict : m_runs.takeVerdicts(now())) {
        const bool isCounted = verdict.end == RunOutcome::TargetEnded && m_crashes.targetEnded(verdict.request, verdict.target, verdict.run, now());
        endProbe(verdict.run);
        m_parts.log.line("crashes", "run-resolved")
            .add("request", verdict.request)
            .add("send", verdict.run.value())
            .add("target", verdict.target.id.text())
            .add("born", verdict.target.startedAtMillis)
            .add("end", toString(verdict.end))
            .add("counted", isCounted)
            .add("ends", m_crashes.ends(verdict.request))
            .add("runs", m_crashes.runs(verdict.request))
            .add("barred", m_crashes.isBarred(verdict.request));
    }
    flush();
}

auto CrashWatch::endProbe(SendId run) -> void
{
    const auto probe = m_probes.extract(run);
    if (!probe.empty()) {
        m_crashes.probeEnded(probe.mapped());
    }
}

// [SECTION] Requests

auto CrashWatch::isEmpty() const -> bool
{
    return m_crashes.isEmpty();
}

auto CrashWatch::needsGrant(std::uint64_t request) const -> bool
{
    return m_crashes.needsGrant(request);
}

auto CrashWatch::mayBeProbed(std::uint64_t request) const -> bool
{
    return m_crashes.mayBeProbed(request, now());
}

auto CrashWatch::isBeingProbed(std::uint64_t request) const -> bool
{
    return m_crashes.isBeingProbed(request, now());
}

auto CrashWatch::retryAfter(std::uint64_t request) const -> Duration
{
    return m_crashes.retryAfter(request, now());
}

auto CrashWatch::requestProbe(std::uint64_t request) -> ProbeState
{
    const auto state = m_crashes.requestProbe(request, now());
    if (state == ProbeState::Granted) {
        m_parts.log.line("crashes", "probe-granted").add("request", request).add("ends", m_crashes.ends(request)).add("arbiter", m_crashes.arbiter(request));
        m_parts.metrics.add("crashing_request_probes_total");
    }
    flush();
    return state;
}

auto CrashWatch::probeReturned(std::uint64_t request) -> void
{
    m_crashes.probeReturned(request);
    m_parts.log.line("crashes", "probe-returned").add("request", request);
    flush();
}

auto CrashWatch::rejected(std::uint64_t request, const AttemptId &attempt) -> void
{
    m_crashes.used(request, now());
    m_parts.log.line("crashes", "rejected")
        .add("request", request)
        .add("id", attempt.text())
        .add("ends", m_crashes.ends(request))
        .add("runs", m_crashes.runs(request))
        .add("probe", toString(m_crashes.obstacle(request, now())))
        .add("arbiter", m_crashes.arbiter(request))
        .add("retry-after", retryAfter(request));
}

auto CrashWatch::sentProbe(SendId run, std::uint64_t request, const AttemptId &attempt, const TargetIncarnation &target) -> void
{
    m_probes[run] = request;
    m_parts.log.line("crashes", "probe-sent")
        .add("request", request)
        .add("id", attempt.text())
        .add("send", run.value())
        .add("target", target.id.text())
        .add("born", target.startedAtMillis)
        .add("ends", m_crashes.ends(request))
        .add("runs", m_crashes.runs(request));
}

auto CrashWatch::succeeded(std::uint64_t request, bool wasProbe) -> void
{
    if (m_crashes.succeeded(request, wasProbe, now())) {
        m_parts.log.line("crashes", "withdrawn")
            .add("request", request)
            .add("why", wasProbe ? "probe-succeeded" : "succeeded")
            .add("ends", m_crashes.ends(request));
        flush();
    }
}

// [SECTION] Messages

auto CrashWatch::greeting() const -> std::optional<Wire::ControlFrame>
{
    const auto message = m_crashes.greeting(now());
    if (message.isEmpty()) {
        return std::nullopt;
    }
    Wire::ControlFrame frame;
    writeMessage(message, *frame.mutable_crash_report());
    return frame;
}

auto CrashWatch::onMessage(const std::string &id, const Wire::CrashReport &message) -> void
{
    for (const auto &change : m_crashes.received(id, messageOf(message), now())) {
        logChange(change, id);
    }
    flush();
    if (message.replies_size() > 0) {
        m_hooks.onProbeReply();
    }
}

auto CrashWatch::logChange(const CrashChange &change, const std::string &source) -> void
{
    m_parts.log.line("crashes", "reported")
        .add("request", change.request)
        .add("source", source)
        .add("added", eventList(change.added))
        .add("ends", change.ends)
        .add("runs", change.runs)
        .add("barred", change.isBarred)
        .add("cleared", change.isCleared);
}

auto CrashWatch::checksum() const -> std::uint64_t
{
    return m_crashes.checksum();
}

auto CrashWatch::onChecksum(const std::string &id, std::uint64_t checksum) -> void
{
    m_crashes.checksumReceived(id, checksum, now());
    flush();
}

auto CrashWatch::flush() -> void
{
    const auto broadcast = m_crashes.takeBroadcast(now());
    if (!broadcast.isEmpty()) {
        Wire::ControlFrame frame;
        writeMessage(broadcast, *frame.mutable_crash_report());
        m_parts.peers.sendAll(frame);
    }
    for (const auto &[to, message] : m_crashes.takeMessages()) {
        Wire::ControlFrame frame;
        writeMessage(message, *frame.mutable_crash_report());
        m_parts.peers.send(to, frame);
    }
}

// [SECTION] Archive

auto CrashWatch::useArchive() -> void
{
    switch (m_archive.next(m_crashes.checksum(), now())) {
    case ArchiveCall::None:
        break;
    case ArchiveCall::Read:
        readArchive();
        break;
    case ArchiveCall::Write:
        writeArchive();
        break;
    }
}

auto CrashWatch::readArchive() -> void
{
    m_parts.store.read(StoreTable::Crashes, {ArchiveKey, ""}, [this](const StoreAnswer &answer) {
        const bool isDone = answer.outcome == StoreOutcome::Done;
        const auto *row = answer.page.find(ArchiveKey);
        const bool hasRow = isDone && row != nullptr;
        Wire::CrashReport report;
        if (hasRow && !report.ParseFromString(row->value)) {
            m_parts.log.line("crashes", "archive-unreadable").add("bytes", static_cast<std::uint64_t>(row->value.size()));
        }
        const auto records = messageOf(report).records;
        for (const auto &change : m_crashes.restored(records, now())) {
            logChange(change, "store");
        }
        m_parts.log.line("crashes", "archive-read").add("done", isDone).add("records", report.records_size());
        // A row without valid records is replaced or removed: it must not count as absent.
        m_archive.readDone(isDone, hasRow ? std::max<std::uint64_t>(checksumOf(records, now()), 1) : 0, now());
        flush();
    });
}

auto CrashWatch::writeArchive() -> void
{
    const auto checksum = m_crashes.checksum();
    std::optional<std::string> value;
    if (checksum != 0) {
        CrashMessage message;
        message.records = m_crashes.notable(now());
        Wire::CrashReport report;
        writeMessage(message, report);
        value = report.SerializeAsString();
    }
    m_parts.store.change(StoreTable::Crashes, {{ArchiveKey, std::nullopt, value}}, [this, checksum](const StoreAnswer &answer) {
        const bool isDone = answer.outcome == StoreOutcome::Done;
        m_parts.log.line("crashes", "archive-written").add("done", isDone).add("checksum", checksum);
        m_archive.writeDone(isDone, checksum, now());
    });
}

} // namespace KingCup
