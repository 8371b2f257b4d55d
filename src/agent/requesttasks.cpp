// Index of sections (search for [SECTION]):
//   Task        one request
//   Arrival     checks, claims, the queue
//   Forwarding  the call to the target
//   Ending      outcomes
#include "agent/requesttasks.h"

#include "core/concurrencylimit.h"
#include "core/eventstream.h"
#include "net/httpstatus.h"
#include "settings/valueparsers.h"

#include <algorithm>
#include <glog/logging.h>
#include <map>
#include <unordered_set>
#include <utility>

namespace KingCup
{

namespace
{

constexpr double MaxPauseSeconds = 24 * 3600; // longer times that a target asks for are ignored as errors
constexpr auto PauseTimerMargin = Duration::millis(1); // a timer that fires early would leave the queue standing still
constexpr double LogPeriodSeconds = 1; // of lines about requests that can't be held
constexpr std::size_t MaxKeptAnswer = 64U << 10U; // bytes of an answer that is kept until it is whole; records of runs are smaller
constexpr double MeanSampleWeight = 0.1; // weight of a new sample in the moving average of service times

} // namespace

// [SECTION] Task

namespace
{

/// State of a request.
enum class TaskState { Opening, Claiming, Queued, Running, CheckingCrash, Ended };

struct RequestTask {
    PeerStreamPtr stream; // null after the stream or the task has ended
    Wire::Open open;
    TaskState state = TaskState::Opening;
    TimePoint arrivedAt;
    TimePoint startedAt;
    TimePoint deadline;
    Timer expiry; // while queued
    std::shared_ptr<HttpCallHandle> call;
    SendId send; // identifies this request to its claim, if hasClaim
    bool hasClaim = false;
    bool isPaused = false;
    int runningAtStart = 0;
    int status = 0;
    HttpHeaders headers;
    EventStreamReader events {nullptr}; // of a streamed answer
    std::string bufferedBody; // the answer so far, if recordsAnswer or withholdsHead; at most some bytes over MaxKeptAnswer
    std::size_t bytes = 0;
    std::size_t charged = 0; // to RequestSettings::load
    bool recordsAnswer = false; // run once: the whole answer is kept for the claim's record
    bool isBrokenOff = false; // the call was cancelled because the target goes on sending what is no answer
    bool withholdsHead = false; // an error of the engine that may mean "not run": nothing is passed on before the whole answer is known
    bool isStream = false; // server-sent events

    auto name() const -> std::string
    {
        return open.request_id() + "/" + std::to_string(open.attempt());
    }
};
using TaskPtr = std::shared_ptr<RequestTask>;

struct QueueKey {
    std::uint32_t priority = 0;
    TimePoint deadline;
    auto operator<=>(const QueueKey &) const = default;
};

auto notRunEnd(const std::string &code, const std::string &detail, Duration retryAfter = {}) -> Wire::End
{
    Wire::End end;
    end.set_outcome(Wire::OUTCOME_NOT_RUN);
    end.set_code(code);
    end.set_detail(detail);
    end.set_retry_after_us(retryAfter.inMicros());
    return end;
}

auto unknownEnd(const std::string &code, const std::string &detail) -> Wire::End
{
    Wire::End end;
    end.set_outcome(Wire::OUTCOME_UNKNOWN);
    end.set_code(code);
    end.set_detail(detail);
    return end;
}

auto deliveredEnd() -> Wire::End
{
    Wire::End end;
    end.set_outcome(Wire::OUTCOME_DELIVERED);
    return end;
}

} // namespace

struct RequestTasks::Private {
    EventLoop &loop;
    HttpClient &client;
    RequestSettings settings;
    RequestHooks hooks;
    ConcurrencyLimit limit;
    std::unordered_set<TaskPtr> tasks;
    std::multimap<QueueKey, TaskPtr> queue;
    std::map<ArtifactName, int> inUse;
    int running = 0;
    bool isolated = false; // a suspect is running alone
    bool leaving = false;
    double meanServiceMicros = 0;
    TimePoint pausedUntil; // the target has asked to be sent nothing until then
    Timer pauseTimer;

    Private(EventLoop &ownerLoop, HttpClient &httpClient, RequestSettings taskSettings, RequestHooks taskHooks)
        : loop(ownerLoop)
        , client(httpClient)
        , settings(std::move(taskSettings))
        , hooks(std::move(taskHooks))
    {
    }

    auto onMessage(const TaskPtr &task, std::string_view message) -> void;
    auto onOpen(const TaskPtr &task) -> void;
    auto onStreamEnd(const TaskPtr &task) -> void;
    auto reasonToRefuse(const RequestTask &task) const -> Wire::End;
    auto pauseLeft() const -> Duration;
    auto pauseIfAsked(const RequestTask &task) -> void;
    auto claim(const TaskPtr &task) -> void;
    auto onVerdict(const TaskPtr &task, const ClaimVerdict &verdict) -> void;
    auto answerFromRecord(const TaskPtr &task, const RunRecord &record) -> void;
    auto enqueue(const TaskPtr &task) -> void;
    auto startQueued() -> void;
    auto mayStart(const RequestTask &task) const -> bool;
    auto start(const TaskPtr &task) -> void;
    auto callOf(RequestTask &task) const -> HttpCall;
    auto onHead(const TaskPtr &task, int status, const HttpHeaders &headers) -> void;
    auto onData(const TaskPtr &task, std::string_view data) -> void;
    auto onCallEnd(const TaskPtr &task, CallEnd end) -> void;
    auto onCallBroken(const TaskPtr &task) -> void;
    auto sendHead(const TaskPtr &task) -> void;
    auto sendData(const TaskPtr &task, std::string_view data) -> void;
    auto finishRun(const TaskPtr &task) -> void;
    auto reportRunEnd(const TaskPtr &task, RunOutcome end) -> void;
    auto end(const TaskPtr &task, const Wire::End &end) -> void;
    auto adjustArtifactUses(const RequestTask &task, int change) -> void;
    auto leaveQueue(const TaskPtr &task) -> void;
    auto cancel(const TaskPtr &task) -> void;
};

// [SECTION] Arrival

auto RequestTasks::Private::onMessage(const TaskPtr &task, std::string_view message) -> void
{
    Wire::EntryFrame frame;
    if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        LOG(WARNING) << "request: unreadable message bytes=" << message.size();
        task->stream->reset();
        return;
    }
    if (frame.has_open() && task->state == TaskState::Opening) {
        task->open = std::move(*frame.mutable_open());
        onOpen(task);
    } else if (frame.has_cancel()) {
        cancel(task);
    }
}

/// Why the request can't run here; an end with an empty code if it can.
auto RequestTasks::Private::reasonToRefuse(const RequestTask &task) const -> Wire::End
{
    if (task.open.version() != Wire::PROTOCOL_VERSION_CURRENT) {
        return notRunEnd("version", "the agent speaks another protocol version");
    }
    if (leaving) {
        return notRunEnd("leaving", "the target takes no new work");
    }
    if (!hooks.isTargetReady()) {
        return notRunEnd("target-down", "the target doesn't answer");
    }
    if (hooks.isQuarantined(task.open.fingerprint())) {
        return notRunEnd("quarantined", "this request has crashed targets before");
    }
    for (const auto &artifact : task.open.artifacts()) {
        if (!hooks.isUsable(ArtifactName(artifact))) {
            return notRunEnd("not-resident", artifact + " isn't resident");
        }
    }
    if (task.open.budget_us() <= 0) {
        return notRunEnd("too-late", "no time is left");
    }
    if (pauseLeft() > Duration()) {
        return notRunEnd("overloaded", "the target takes no requests for some time", pauseLeft());
    }
    if (queue.size() >= settings.maxQueue) {
        return notRunEnd("overloaded", "too many requests wait at the target", Duration::micros(static_cast<std::int64_t>(meanServiceMicros)));
    }
    return {};
}

auto RequestTasks::Private::pauseLeft() const -> Duration
{
    return std::max(pausedUntil - loop.now(), Duration());
}

/// A target that rejects a request may name the time, in seconds, for which it wants no others.
auto RequestTasks::Private::pauseIfAsked(const RequestTask &task) -> void
{
    const auto text = headerValue(task.headers, "retry-after");
    if (text.empty()) {
        return;
    }
    const auto seconds = parseDecimal(text, 0, MaxPauseSeconds);
    if (!seconds.error.empty()) {
        LOG(WARNING) << "target: ignored a retry-after that is no number of seconds up to " << MaxPauseSeconds << ": " << text;
        return;
    }
    pausedUntil = std::max(pausedUntil, loop.now() + Duration::seconds(seconds.value));
    LOG(INFO) << "target: takes no requests for " << pauseLeft();
    pauseTimer = loop.after(pauseLeft() + PauseTimerMargin, [this] {
        startQueued();
        hooks.onChanged();
    });
}

auto RequestTasks::Private::onOpen(const TaskPtr &task) -> void
{
    task->arrivedAt = loop.now();
    task->deadline = task->arrivedAt + Duration::micros(task->open.budget_us());
    const auto refusal = reasonToRefuse(*task);
    if (!refusal.code().empty()) {
        end(task, refusal);
        return;
    }
    if (settings.load) {
        task->charged = task->open.body().size();
        settings.load->change(0, task->charged);
        if (settings.load->excess(task->charged) > 0) {
            settings.load->countRefused();
            LOG_EVERY_T(WARNING, LogPeriodSeconds) << "request: refused, as callers hold too much bytes=" << task->charged << " held=" << settings.load->held();
            end(task, notRunEnd("overloaded", "the agent holds as many requests as it may", Duration::micros(static_cast<std::int64_t>(meanServiceMicros))));
            return;
        }
    }
    adjustArtifactUses(*task, 1);
    if (task->open.run_once()) {
        claim(task);
    } else {
        enqueue(task);
    }
}

auto RequestTasks::Private::claim(const TaskPtr &task) -> void
{
    task->state = TaskState::Claiming;
    if (!hooks.claims.begin) {
        end(task, notRunEnd("store-unavailable", "requests that must run once can't be claimed here"));
        return;
    }
    task->recordsAnswer = true;
    task->hasClaim = true;
    const ClaimKey key {ServiceName(task->open.service()), RequestKey(task->open.key())};
    task->send = hooks.claims.begin(key, task->deadline, [this, task](const ClaimVerdict &verdict) { onVerdict(task, verdict); });
}

auto RequestTasks::Private::onVerdict(const TaskPtr &task, const ClaimVerdict &verdict) -> void
{
    if (task->state == TaskState::Ended) {
        return;
    }
    if (std::holds_alternative<ForwardSend>(verdict)) {
        enqueue(task);
        return;
    }
    task->hasClaim = false; // the claim has ended; there is no run to report
    if (const auto *fromRecord = std::get_if<AnswerFromRecord>(&verdict)) {
        answerFromRecord(task, fromRecord->record);
    } else if (const auto *notRun = std::get_if<AnswerNotRun>(&verdict)) {
        end(task, notRunEnd(notRun->code, "the request was not run"));
    } else if (const auto *unknown = std::get_if<AnswerUnknown>(&verdict)) {
        end(task, unknownEnd(unknown->code, "the request may have run"));
    }
}

auto RequestTasks::Private::answerFromRecord(const TaskPtr &task, const RunRecord &record) -> void
{
    task->status = record.status;
    for (const auto &[name, value] : record.headers) {
        task->headers.push_back({name, value});
    }
    sendHead(task);
    sendData(task, record.body);
    auto last = deliveredEnd();
    last.set_from_record(true);
    end(task, last);
}

auto RequestTasks::Private::enqueue(const TaskPtr &task) -> void
{
    task->state = TaskState::Queued;
    queue.emplace(QueueKey {task->open.priority(), task->deadline}, task);
    startQueued();
    if (task->state == TaskState::Queued) {
        task->expiry = loop.after(task->deadline - loop.now(), [this, task] {
            leaveQueue(task);
            reportRunEnd(task, RunOutcome::NotRun);
            end(task, notRunEnd("too-late", "its time ran out while it waited"));
        });
        hooks.onChanged();
    }
}

auto RequestTasks::Private::leaveQueue(const TaskPtr &task) -> void
{
    const auto found = std::find_if(queue.begin(), queue.end(), [&](const auto &item) { return item.second == task; });
    if (found != queue.end()) {
        queue.erase(found);
    }
}

/// A suspect runs alone: if the target crashes, only this request can have been the cause.
auto RequestTasks::Private::mayStart(const RequestTask &task) const -> bool
{
    if (isolated || pauseLeft() > Duration()) {
        return false;
    }
    return task.open.alone() ? running == 0 : running < limit.limit();
}

auto RequestTasks::Private::startQueued() -> void
{
    while (!queue.empty() && mayStart(*queue.begin()->second)) {
        const auto task = queue.begin()->second;
        queue.erase(queue.begin());
        start(task);
    }
}

// [SECTION] Forwarding

auto RequestTasks::Private::callOf(RequestTask &task) const -> HttpCall
{
    HttpCall call;
    call.server = settings.target;
    call.method = task.open.method();
    call.path = task.open.path();
    call.body = std::move(*task.open.mutable_body());
    for (const auto &header : task.open.headers()) {
        call.headers.push_back({header.name(), header.value()});
    }
    call.headers.push_back({"x-request-id", task.open.request_id()});
    call.headers.push_back({"x-attempt-id", task.open.attempt_id()});
    call.headers.push_back({"x-priority", std::to_string(task.open.priority())});
    if (task.open.resume_offset() > 0) {
        call.headers.push_back({"x-resume-offset", std::to_string(task.open.resume_offset())});
    }
    call.keptHeaders = {"cache-control", "etag", "location", "retry-after"};
    const auto left = task.deadline - loop.now();
    call.timeout = task.open.run_once() ? std::max(left, settings.runOnceTimeout) : left;
    return call;
}

auto RequestTasks::Private::start(const TaskPtr &task) -> void
{
    task->expiry.cancel();
    task->state = TaskState::Running;
    task->startedAt = loop.now();
    task->runningAtStart = running;
    ++running;
    isolated = task->open.alone();
    auto call = callOf(*task);
    call.onHead = [this, task](int status, const HttpHeaders &headers) {
        onHead(task, status, headers);
    };
    call.onData = [this, task](std::string_view data) {
        onData(task, data);
    };
    call.onEnd = [this, task](CallEnd how) {
        onCallEnd(task, how);
    };
    task->call = client.start(std::move(call));
    hooks.onChanged();
}

auto RequestTasks::Private::onHead(const TaskPtr &task, int status, const HttpHeaders &headers) -> void
{
    task->status = status;
    task->headers = headers;
    task->isStream = headerValue(headers, "content-type").starts_with("text/event-stream");
    task->withholdsHead = settings.isRunner && (status == HttpStatus::NotFound || status == HttpStatus::TooManyRequests || status == HttpStatus::Unavailable);
    if (!task->withholdsHead) {
        sendHead(task);
    }
}

auto RequestTasks::Private::sendHead(const TaskPtr &task) -> void
{
    if (!task->stream) {
        return;
    }
    Wire::AgentFrame frame;
    frame.mutable_head()->set_status(static_cast<std::uint32_t>(task->status));
    for (const auto &header : task->headers) {
        auto *added = frame.mutable_head()->add_headers();
        added->set_name(header.name);
        added->set_value(header.value);
    }
    task->stream->send(frame);
}

auto RequestTasks::Private::sendData(const TaskPtr &task, std::string_view data) -> void
{
    if (!task->stream || data.empty()) {
        return;
    }
    Wire::AgentFrame frame;
    frame.mutable_data()->set_body(data.data(), data.size());
    task->stream->send(frame);
}

auto RequestTasks::Private::onData(const TaskPtr &task, std::string_view data) -> void
{
    task->bytes += data.size();
    if (task->isStream) {
        task->events.feed(data);
    }
    const bool isKept = (task->recordsAnswer || task->withholdsHead) && task->bufferedBody.size() <= MaxKeptAnswer;
    if (isKept) {
        task->bufferedBody.append(data);
    }
    if (task->withholdsHead) {
        if (task->bufferedBody.size() > MaxKeptAnswer && !task->isBrokenOff) {
            LOG_EVERY_T(WARNING, LogPeriodSeconds) << "request: broke off an error of the target that doesn't end bytes=" << task->bytes;
            task->isBrokenOff = true;
            task->call->cancel();
        }
        return;
    }
    sendData(task, data);
    // Backpressure: if the caller reads slowly, the target's answer is paused, so that nothing piles up here. An answer that is to be recorded is read at once.
    if (task->stream && !(task->recordsAnswer && isKept) && !task->isPaused && task->stream->pendingBytes() > settings.streamBuffer) {
        task->isPaused = true;
        task->call->pause();
    }
}

auto RequestTasks::Private::onCallEnd(const TaskPtr &task, CallEnd how) -> void
{
    --running;
    if (task->open.alone()) {
        isolated = false;
    }
    task->call = nullptr;
    const auto took = loop.now() - task->startedAt;
    const bool isWhole = task->isStream ? task->events.isDone() : how == CallEnd::Complete;
    if (isWhole) {
        limit.observeService(took, task->runningAtStart);
        meanServiceMicros += MeanSampleWeight * (static_cast<double>(took.inMicros()) - meanServiceMicros);
        finishRun(task);
    } else if (task->state == TaskState::Ended || (how == CallEnd::Cancelled && !task->isBrokenOff)) {
        reportRunEnd(task, RunOutcome::Unknown);
        end(task, unknownEnd("cancelled", "the caller left"));
    } else if (how == CallEnd::NotSent) {
        reportRunEnd(task, RunOutcome::NotRun);
        end(task, notRunEnd("target-down", "the target doesn't accept connections"));
        if (hooks.checkForCrash) {
            hooks.checkForCrash([](bool /*hasCrashed*/) {});
        }
    } else if (how == CallEnd::Timeout) {
        limit.observeOverload();
        reportRunEnd(task, RunOutcome::Unknown);
        end(task, unknownEnd("timeout", "the target didn't answer in time"));
    } else {
        onCallBroken(task);
    }
    startQueued();
    hooks.onChanged();
}

/// Handles a complete answer. An engine that reports a missing model, or that it is overloaded, has not run the request.
auto RequestTasks::Private::finishRun(const TaskPtr &task) -> void
{
    if (task->withholdsHead) {
        const bool isMissing = task->status == HttpStatus::NotFound && task->bufferedBody.find("not-resident") != std::string::npos;
        if (isMissing || task->status != HttpStatus::NotFound) {
            reportRunEnd(task, RunOutcome::NotRun);
            if (!isMissing) {
                pauseIfAsked(*task);
            }
            end(task, notRunEnd(isMissing ? "not-resident" : "overloaded", "the engine refused it", isMissing ? Duration() : pauseLeft()));
            return;
        }
        sendHead(task);
        sendData(task, task->bufferedBody);
    }
    if (task->open.alone()) {
        hooks.completedAlone(task->open.fingerprint());
    }
    reportRunEnd(task, RunOutcome::Answered);
    end(task, deliveredEnd());
}

/// Handles an answer that broke off. The entry gets the end of the request only when it is known whether the engine crashed. Otherwise the
/// entry could send a request that crashes engines to the next engine as an ordinary request.
auto RequestTasks::Private::onCallBroken(const TaskPtr &task) -> void
{
    reportRunEnd(task, RunOutcome::Unknown);
    if (!hooks.checkForCrash) {
        end(task, unknownEnd("target-broken", "the target's answer broke off"));
        return;
    }
    task->state = TaskState::CheckingCrash;
    hooks.checkForCrash([this, task](bool hasCrashed) {
        end(task,
            hasCrashed ? unknownEnd("target-crashed", "the engine crashed while it ran this request")
                       : unknownEnd("target-broken", "the engine's answer broke off"));
    });
}

// [SECTION] Ending

auto RequestTasks::Private::reportRunEnd(const TaskPtr &task, RunOutcome how) -> void
{
    if (!task->hasClaim) {
        return;
    }
    task->hasClaim = false;
    RunRecord record;
    if (how == RunOutcome::Answered) {
        record.status = task->status;
        for (const auto &header : task->headers) {
            record.headers.emplace_back(header.name, header.value);
        }
        record.body = task->bufferedBody;
    }
    hooks.claims.runEnded(task->send, how, record);
}

auto RequestTasks::Private::end(const TaskPtr &task, const Wire::End &last) -> void
{
    if (tasks.erase(task) == 0) {
        return;
    }
    if (settings.load) {
        settings.load->change(std::exchange(task->charged, 0), 0);
    }
    if (task->state != TaskState::Opening) {
        adjustArtifactUses(*task, -1);
    }
    task->state = TaskState::Ended;
    task->expiry.cancel();
    VLOG(1) << "request: ended request=" << task->name() << " outcome=" << last.outcome() << " code=" << last.code() << " bytes=" << task->bytes;
    if (!task->stream) {
        return;
    }
    Wire::AgentFrame frame;
    *frame.mutable_end() = last;
    const auto stream = std::move(task->stream);
    stream->send(frame);
    stream->finish();
}

auto RequestTasks::Private::adjustArtifactUses(const RequestTask &task, int change) -> void
{
    for (const auto &name : task.open.artifacts()) {
        auto &count = inUse[ArtifactName(name)];
        count += change;
        if (count == 0) {
            inUse.erase(ArtifactName(name));
        }
    }
}

/// The caller has disconnected or given up. A run-once request that has started continues, so that its record states the real outcome.
auto RequestTasks::Private::cancel(const TaskPtr &task) -> void
{
    switch (task->state) {
    case TaskState::Claiming:
        hooks.claims.cancel(task->send);
        task->hasClaim = false;
        end(task, unknownEnd("cancelled", "the caller left"));
        return;
    case TaskState::Queued:
        leaveQueue(task);
        reportRunEnd(task, RunOutcome::NotRun);
        end(task, notRunEnd("cancelled", "the caller left before it ran"));
        hooks.onChanged();
        return;
    case TaskState::Running:
        if (task->open.run_once()) {
            return;
        }
        if (hooks.cancelAtTarget) {
            hooks.cancelAtTarget(RequestId(task->open.request_id()));
        }
        task->call->cancel();
        return;
    default:
        return;
    }
}

auto RequestTasks::Private::onStreamEnd(const TaskPtr &task) -> void
{
    task->stream = nullptr;
    if (task->state == TaskState::Opening) {
        tasks.erase(task);
        return;
    }
    cancel(task);
}

RequestTasks::RequestTasks(EventLoop &loop, HttpClient &client, RequestSettings settings, RequestHooks hooks)
    : d(std::make_unique<Private>(loop, client, std::move(settings), std::move(hooks)))
{
}

RequestTasks::~RequestTasks() = default;

auto RequestTasks::running() const -> int
{
    return d->running;
}

auto RequestTasks::queued() const -> int
{
    return static_cast<int>(d->tasks.size()) - d->running;
}

auto RequestTasks::concurrencyLimit() const -> int
{
    return d->limit.limit();
}

auto RequestTasks::meanServiceTime() const -> Duration
{
    return Duration::micros(static_cast<std::int64_t>(d->meanServiceMicros));
}

auto RequestTasks::isInUse(const ArtifactName &artifact) const -> bool
{
    return d->inUse.contains(artifact);
}

auto RequestTasks::isLeaving() const -> bool
{
    return d->leaving;
}

auto RequestTasks::fingerprintsInFlight() const -> std::vector<std::string>
{
    std::vector<std::string> fingerprints;
    for (const auto &task : d->tasks) {
        if (task->state == TaskState::Running || task->state == TaskState::CheckingCrash) {
            fingerprints.push_back(task->open.fingerprint());
        }
    }
    return fingerprints;
}

auto RequestTasks::accept(const PeerStreamPtr &stream) -> void
{
    auto task = std::make_shared<RequestTask>();
    task->stream = stream;
    d->tasks.insert(task);
    if (d->settings.load) {
        stream->chargeTo(d->settings.load);
    }
    // The task owns the stream, so the stream's hooks hold only a weak pointer to the task: otherwise neither would be freed.
    stream->onMessage = [this, weak = std::weak_ptr(task)](std::string_view message) {
        if (const auto self = weak.lock(); self && self->stream) {
            d->onMessage(self, message);
        }
    };
    stream->onEnd = [this, weak = std::weak_ptr(task)](StreamEnd /*end*/) {
        if (const auto self = weak.lock(); self && self->stream) {
            d->onStreamEnd(self);
        }
    };
    stream->onDrained = [weak = std::weak_ptr(task)] {
        if (const auto self = weak.lock(); self && self->isPaused && self->call) {
            self->isPaused = false;
            self->call->resume();
        }
    };
}

auto RequestTasks::setLeaving(bool isLeaving) -> void
{
    d->leaving = isLeaving;
}

auto RequestTasks::observeStep(Duration decodeStep) -> void
{
    d->limit.observeStep(decodeStep, d->running);
}

auto RequestTasks::abandonAll() -> int
{
    const auto left = d->tasks;
    for (const auto &task : left) {
        d->cancel(task);
    }
    return static_cast<int>(left.size());
}

} // namespace KingCup
