// Index of sections (search for [SECTION]):
//   Runs       ends of runs, and checks of targets
//   Requests   rejections and probes
//   Messages   to and from other gateways
//   Archive    the store's copy of the records
#include "gateway/crashwatch.h"

#include "gateway/crashmessages.h"
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
/// After its start, until a gateway has found the other ones.
constexpr auto ArbitrationDelay = Duration::millis(1500);
constexpr std::size_t MaxHealthBody = 64U << 10U;
constexpr auto ArchiveKey = "records";
constexpr std::size_t MaxArchiveBytes = 32U << 10U; ///< the store's rows hold twice as much in all known deployments

auto countText(const CrashSubject &subject, int ends, int runs) -> std::string
{
    return toString(subject) + "=" + std::to_string(ends) + "/" + std::to_string(runs);
}

/// Suspects with their counts, as "request:FINGERPRINT=ENDS/RUNS,part:ID=ENDS/RUNS"; those without ends are left out.
auto countList(const std::vector<CrashSubject> &subjects, const CrashRepeats &crashes) -> std::string
{
    std::string text;
    for (const auto &subject : subjects) {
        if (crashes.ends(subject) > 0) {
            text.append(text.empty() ? "" : ",").append(countText(subject, crashes.ends(subject), crashes.runs(subject)));
        }
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
    , m_crashes(self, {.arbitratesFrom = parts.loop.now() + ArbitrationDelay, .seed = seed})
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

auto CrashWatch::sent(SendId run, const WatchedTarget &target, RunWatch::Subjects subjects) -> void
{
    m_runs.sent(run, target, std::move(subjects), now());
}

auto CrashWatch::received(SendId run, const std::vector<CrashSubject> &parts) -> void
{
    if (m_runs.received(run, now())) {
        logWithdrawn(m_crashes.partsSound(parts, m_probes.contains(run), now()), "answered-for-some-time");
        flush();
    }
}

auto CrashWatch::answered(SendId run, const TargetIncarnation &target, TimePoint sentAt) -> void
{
    m_runs.answered(run, now());
    endProbe(run);
    logWithdrawn(m_crashes.targetAnswered(target, sentAt), "target-lives");
    flush();
}

auto CrashWatch::logWithdrawn(const std::vector<CrashSubject> &subjects, const char *why) -> void
{
    for (const auto &subject : subjects) {
        m_parts.log.line("crashes", "withdrawn").add("suspect", toString(subject)).add("why", why).add("ends", m_crashes.ends(subject));
    }
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

auto CrashWatch::misdirected(SendId run, const TargetIncarnation &target) -> void
{
    m_runs.notSent(run);
    endProbe(run);
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
    for (const auto &subject : m_crashes.expire(now())) {
        m_parts.log.line("crashes", "expired").add("suspect", toString(subject));
    }
    logReports();
    flush();
    useArchive();
    m_parts.metrics.set("rejected_crashing_requests", static_cast<double>(m_crashes.barredCount(false)));
    m_parts.metrics.set("rejected_crashing_prompt_parts", static_cast<double>(m_crashes.barredCount(true)));
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
    auto call = collectingCall(target.address, m_parts.protocol.healthCall(path, incarnation.id), check->answer, MaxHealthBody);
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
        std::vector<CrashSubject> counted;
        if (verdict.end == RunOutcome::TargetEnded) {
            counted = m_crashes.targetEnded(verdict.subjects, verdict.target, verdict.run, verdict.lastSign, now());
        }
        endProbe(verdict.run);
        m_parts.log.line("crashes", "run-resolved")
            .add("request", verdict.subjects.request.value)
            .add("send", verdict.run.value())
            .add("target", verdict.target.id.text())
            .add("born", verdict.target.startedAtMillis)
            .add("end", toString(verdict.end))
            .add("counted", countList(counted, m_crashes));
    }
    flush();
}

auto CrashWatch::endProbe(SendId run) -> void
{
    const auto probe = m_probes.extract(run);
    if (!probe.empty()) {
        m_crashes.probeEnded(probe.mapped().request, probe.mapped().id);
    }
}

// [SECTION] Requests

auto CrashWatch::isStarting() const -> bool
{
    return m_archive.isStarting(now());
}

auto CrashWatch::isEmpty() const -> bool
{
    return m_crashes.isEmpty();
}

auto CrashWatch::needsGrant(const CrashSubjects &request) const -> bool
{
    return m_crashes.needsGrant(request);
}

auto CrashWatch::mayBeProbed(const CrashSubjects &request) const -> bool
{
    return m_crashes.mayBeProbed(request, now());
}

auto CrashWatch::isProbeExpected(const CrashSubjects &request) const -> bool
{
    return m_crashes.isProbeExpected(request, now());
}

auto CrashWatch::probedTargets() const -> std::vector<TargetId>
{
    return m_crashes.probedTargets(now());
}

auto CrashWatch::retryAfter(const CrashSubjects &request) const -> Duration
{
    return m_crashes.retryAfter(request, now());
}

auto CrashWatch::requestProbe(const CrashSubjects &request) -> ProbeAnswer
{
    const auto answer = m_crashes.requestProbe(request, now());
    if (answer.state == ProbeState::Granted) {
        m_parts.log.line("crashes", "probe-granted")
            .add("request", request.request.value)
            .add("probe", answer.probe)
            .add("suspects", countList(request.all(), m_crashes))
            .add("arbiter", m_crashes.arbiter());
        m_parts.metrics.add("crashing_request_probes_total");
    }
    flush();
    return answer;
}

auto CrashWatch::probeReturned(const CrashSubjects &request, std::uint64_t probe) -> void
{
    m_crashes.probeReturned(request, probe);
    m_parts.log.line("crashes", "probe-returned").add("request", request.request.value).add("probe", probe);
    flush();
}

auto CrashWatch::probeUnsent(const CrashSubjects &request, const ProbeAnswer &granted) -> void
{
    m_crashes.probeUnsent(request, granted, now());
    m_parts.log.line("crashes", "probe-unsent")
        .add("request", request.request.value)
        .add("probe", granted.probe)
        .add("granted-before", now() - granted.grantedAt);
    flush();
}

auto CrashWatch::rejected(const CrashSubjects &request, const AttemptId &attempt) -> void
{
    m_crashes.used(request, now());
    const auto verdict = m_crashes.verdict(request, now());
    m_parts.log.line("crashes", "rejected")
        .add("request", request.request.value)
        .add("id", attempt.text())
        .add("suspects", countList(request.all(), m_crashes))
        .add("because-of", toString(verdict.subject))
        .add("probe", toString(verdict.obstacle))
        .add("arbiter", m_crashes.arbiter())
        .add("retry-after", retryAfter(request));
}

auto CrashWatch::sentProbe(SendId run, const CrashSubjects &request, std::uint64_t probe, const AttemptId &attempt, const TargetIncarnation &target) -> void
{
    m_probes[run] = {request, probe};
    m_crashes.probeSent(request, probe, target);
    flush();
    m_parts.log.line("crashes", "probe-sent")
        .add("request", request.request.value)
        .add("probe", probe)
        .add("id", attempt.text())
        .add("send", run.value())
        .add("target", target.id.text())
        .add("born", target.startedAtMillis);
}

auto CrashWatch::succeeded(const std::vector<CrashSubject> &parts, const RunWatch::Subjects &subjects, bool wasProbe) -> void
{
    if (m_crashes.isEmpty()) {
        m_crashes.partsSound(parts, wasProbe, now());
        return;
    }
    logWithdrawn(m_crashes.succeeded(subjects(), wasProbe, now()), wasProbe ? "probe-succeeded" : "succeeded");
    flush();
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
        m_reports.add(change, id);
    }
    flush();
    if (message.replies_size() > 0) {
        m_hooks.onProbeReply();
    }
}

auto CrashWatch::logReports() -> void
{
    const auto line = m_reports.take(now());
    if (!line) {
        return;
    }
    std::string sources;
    for (const auto &source : line->sources) {
        sources.append(sources.empty() ? "" : ",").append(source);
    }
    std::string suspects;
    for (const auto &change : line->suspects) {
        suspects.append(suspects.empty() ? "" : ",").append(countText(change.subject, change.ends, change.runs));
    }
    m_parts.log.line("crashes", "reported")
        .add("reports", static_cast<std::uint64_t>(line->reports))
        .add("sources", sources)
        .add("suspects", suspects)
        .add("suspect-count", static_cast<std::uint64_t>(line->suspectCount))
        .add("barred", static_cast<std::uint64_t>(line->barred))
        .add("cleared", static_cast<std::uint64_t>(line->cleared));
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
        for (const auto &change : m_crashes.restored(records, m_archive.isStarting(now()), now())) {
            m_reports.add(change, "store");
        }
        m_parts.log.line("crashes", "archive-read").add("done", isDone).add("records", report.records_size());
        // A row without valid records is replaced or removed: it must not count as absent.
        m_archive.readDone(isDone, hasRow ? std::max<std::uint64_t>(checksumOf(records, now()), 1) : 0, now());
        flush();
        m_hooks.onStarted();
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
        while (report.ByteSizeLong() > MaxArchiveBytes) {
            report.mutable_records()->RemoveLast();
        }
        value = report.SerializeAsString();
    }
    m_parts.store.change(StoreTable::Crashes, {{ArchiveKey, std::nullopt, value}}, [this, checksum](const StoreAnswer &answer) {
        const bool isDone = answer.outcome == StoreOutcome::Done;
        m_parts.log.line("crashes", "archive-written").add("done", isDone).add("checksum", checksum);
        m_archive.writeDone(isDone, checksum, now());
    });
}

} // namespace KingCup
