// Index of sections (search for [SECTION]):
//   Flow        one request
//   Arrival     admission, the queue
//   Attempts    choosing a target, sending
//   Answers     frames from the target's agent
//   Ending      retries and the final answer
#include "entry/requestflows.h"

#include "entry/eventstream.h"
#include "net/httpstatus.h"
#include "wire/messages.h"

#include <glog/logging.h>
#include <map>
#include <unordered_map>

namespace KingCup
{

namespace
{

constexpr auto RetryWaitingPeriod = Duration::millis(50); // between attempts to route the waiting requests
constexpr auto FallbackRetryAfter = Duration::seconds(1);
constexpr std::size_t BytesPerToken = 4; // estimated bytes of a request's body for each token

enum class FlowState { Waiting, Trying, Ended };

struct Flow {
    std::shared_ptr<HttpExchange> exchange;
    CallerRequest request;
    FlowState state = FlowState::Waiting;
    TimePoint arrivedAt;
    TimePoint deadline;
    Timer expiry;
    PeerStreamPtr stream;
    TargetId target; // of the current attempt
    TimePoint sentAt;
    int attempts = 0;
    std::vector<TargetId> excluded;
    bool mayHaveRun = false; // some attempt ended without a definite answer
    bool runsAlone = false;
    bool isPaused = false;
    int status = 0;
    HttpHeaders headers;
    bool isStream = false; // server-sent events
    bool headReceived = false;
    EventStream events;
    std::string bufferedBody; // of an answer other than an event stream, until it is complete
    Wire::End lastEnd;
    bool endReceived = false;
};
using FlowPtr = std::shared_ptr<Flow>;

auto outcomeOf(const Wire::End &end) -> AttemptOutcome
{
    switch (end.outcome()) {
    case Wire::OUTCOME_DELIVERED:
        return AttemptOutcome::Delivered;
    case Wire::OUTCOME_NOT_RUN:
        return AttemptOutcome::NotRun;
    default:
        return AttemptOutcome::Unknown;
    }
}

auto attemptResultOf(const AttemptEnd &end) -> AttemptResult
{
    if (end.outcome == AttemptOutcome::Delivered) {
        return AttemptResult::Delivered;
    }
    if (end.outcome == AttemptOutcome::NotRun) {
        return AttemptResult::Refused;
    }
    return end.code == "cancelled" ? AttemptResult::Cancelled : AttemptResult::Failed;
}

} // namespace

// [SECTION] Flow

struct RequestFlows::Private {
    FlowParts parts;
    FlowSettings settings;
    FlowHooks hooks;
    Declarations declarations;
    AdmissionQueue queue;
    RetryBudget budget;
    std::unordered_map<RequestId, FlowPtr> flows;
    std::map<LaneName, RoutingRequest> lanes; // service and artifacts of each lane's requests
    Timer retryWaitingTimer;
    std::uint64_t count = 0;
    bool leaving = false;

    Private(FlowParts flowParts, FlowSettings flowSettings, FlowHooks flowHooks)
        : parts(flowParts)
        , settings(std::move(flowSettings))
        , hooks(std::move(flowHooks))
        , queue(AdmissionOptions {.maxWaiting = static_cast<std::size_t>(settings.maxQueue)})
    {
    }

    auto now() const -> TimePoint
    {
        return parts.loop.now();
    }
    auto admit(const FlowPtr &flow) -> void;
    auto wait(const FlowPtr &flow) -> void;
    auto retryWaiting() -> void;
    auto hasCapacity(const LaneName &lane, Priority priority) const -> bool;
    auto routingRequest(const Flow &flow) const -> RoutingRequest;
    auto tryNow(const FlowPtr &flow) -> bool;
    auto start(const FlowPtr &flow, const RoutingChoice &choice) -> void;
    auto openMessage(const Flow &flow) const -> Wire::EntryFrame;
    auto listen(const FlowPtr &flow) -> void;
    auto onFrame(const FlowPtr &flow, std::string_view message) -> void;
    auto onHead(const FlowPtr &flow, const Wire::Head &head) -> void;
    auto onData(const FlowPtr &flow, const std::string &body) -> void;
    auto onAttemptEnd(const FlowPtr &flow, const AttemptEnd &end) -> void;
    auto applyBackpressure(const FlowPtr &flow) -> void;
    auto decide(const FlowPtr &flow, const AttemptEnd &end) -> void;
    auto recordCrash(const Flow &flow, const AttemptEnd &end) -> void;
    auto deliver(const FlowPtr &flow) -> void;
    auto refuse(const FlowPtr &flow, const Problem &problem) -> void;
    auto finish(const FlowPtr &flow, CallerOutcome outcome, const std::string &code) -> void;
    auto onExpired(const FlowPtr &flow) -> void;
    auto onCallerLeft(const FlowPtr &flow) -> void;
    auto dropAttempt(const FlowPtr &flow, AttemptResult result) -> void;
    auto log(const Flow &flow, const std::string &what, const std::string &fields) -> void;
    auto requestedArtifact(const Flow &flow) const -> ArtifactName
    {
        return flow.request.artifacts.empty() ? ArtifactName() : flow.request.artifacts.back();
    }
};

auto RequestFlows::Private::log(const Flow &flow, const std::string &what, const std::string &fields) -> void
{
    const std::string text = what + " " + fields;
    LOG(INFO) << "routing: " << what << " request=" << flow.request.id << " service=" << flow.request.service << " " << fields;
    parts.decisions.add({now(), "routing", flow.request.id.text(), text});
}

// [SECTION] Arrival

auto RequestFlows::Private::admit(const FlowPtr &flow) -> void
{
    auto &request = flow->request;
    flow->arrivedAt = now();
    flow->deadline = flow->arrivedAt + request.budget;
    budget.requestSeen(request.service);
    if (!request.artifacts.empty()) {
        parts.demand.arrived(requestedArtifact(*flow), now());
    }
    const auto verdict = parts.suspects.verdict(request.fingerprint, now());
    if (verdict == Verdict::Quarantined) {
        refuse(flow, {HttpStatus::Unprocessable, "quarantined", "this request has crashed targets before; it isn't run again", CallerOutcome::NotRun, {}});
        return;
    }
    flow->expiry = parts.loop.after(request.budget, [this, flow] { onExpired(flow); });
    const auto lane = laneOf(request.service, request.artifacts);
    lanes.try_emplace(lane, routingRequest(*flow));
    // Requests that already wait in the lane go first.
    if (queue.waiting(lane) > 0 || !tryNow(flow)) {
        wait(flow);
    }
}

auto RequestFlows::Private::wait(const FlowPtr &flow) -> void
{
    if (flow->state == FlowState::Ended) {
        return;
    }
    flow->state = FlowState::Waiting;
    WaitingRequest waiting;
    waiting.id = flow->request.id;
    waiting.service = flow->request.service;
    waiting.lane = laneOf(flow->request.service, flow->request.artifacts);
    waiting.priority = flow->request.priority;
    waiting.deadline = flow->deadline;
    const auto answer = queue.offer(waiting, now());
    if (answer.isRefused()) {
        const int status = answer.refusal == AdmissionRefusal::QueueFull ? HttpStatus::TooManyRequests : HttpStatus::Unavailable;
        const auto outcome = flow->mayHaveRun ? CallerOutcome::Unknown : CallerOutcome::NotRun;
        refuse(flow, {status, toString(answer.refusal), answer.reason, outcome, answer.retryAfter});
        return;
    }
    if (!retryWaitingTimer.isActive()) {
        retryWaitingTimer = parts.loop.every(RetryWaitingPeriod, [this] { retryWaiting(); });
    }
}

auto RequestFlows::Private::hasCapacity(const LaneName &lane, Priority priority) const -> bool
{
    const auto found = lanes.find(lane);
    if (found == lanes.end()) {
        return false;
    }
    const auto &needs = found->second;
    const auto targets = needs.artifacts.empty() ? parts.router.instances(needs.service, now()) : parts.router.holders(needs.artifacts, now());
    return std::any_of(targets.begin(), targets.end(), [&](const TargetId &target) { return parts.router.hasCapacity(target, priority, now()); });
}

auto RequestFlows::Private::retryWaiting() -> void
{
    for (const auto &id : queue.expire(now())) {
        const auto found = flows.find(id);
        if (found != flows.end()) {
            const auto flow = found->second;
            const auto outcome = flow->mayHaveRun ? CallerOutcome::Unknown : CallerOutcome::NotRun;
            refuse(flow, {HttpStatus::Unavailable, "too-late", "it could no longer be answered in time", outcome, FallbackRetryAfter});
        }
    }
    std::vector<FlowPtr> again;
    while (const auto id = queue.next(now(), [this](const LaneName &lane, Priority priority) { return hasCapacity(lane, priority); })) {
        const auto found = flows.find(*id);
        if (found == flows.end()) {
            continue;
        }
        // Copies the pointer: tryNow() may refuse the request, which erases it from `flows`. A reference into the map would then dangle and
        // crash the entry under load, with all answers in flight.
        const auto flow = found->second;
        if (!tryNow(flow)) {
            again.push_back(flow);
            break; // the router sees less capacity than hasCapacity() did; further tries are pointless now
        }
    }
    for (const auto &flow : again) {
        wait(flow);
    }
    if (queue.size() == 0) {
        retryWaitingTimer.cancel();
    }
}

// [SECTION] Attempts

auto RequestFlows::Private::routingRequest(const Flow &flow) const -> RoutingRequest
{
    RoutingRequest routing;
    routing.id = flow.request.id;
    routing.service = flow.request.service;
    routing.artifacts = flow.request.artifacts;
    routing.prefixHash = flow.request.prefixHash;
    routing.promptTokens = flow.request.artifacts.empty() ? 0 : static_cast<int>(flow.request.body.size() / BytesPerToken);
    routing.stickyKey = flow.request.mustRunOnce ? flow.request.key.text() : std::string();
    routing.deadline = flow.deadline;
    routing.priority = flow.request.priority;
    routing.excluded = flow.excluded;
    routing.prefersIdle = flow.runsAlone;
    return routing;
}

/// False if there is no capacity now and the request should wait. A final refusal is sent to the caller here.
auto RequestFlows::Private::tryNow(const FlowPtr &flow) -> bool
{
    flow->runsAlone = parts.suspects.verdict(flow->request.fingerprint, now()) == Verdict::Alone;
    auto choice = parts.router.choose(routingRequest(*flow), now());
    if (choice.isRefused() && choice.refusal == RoutingRefusal::AllExcluded && !flow->mayHaveRun) {
        flow->excluded.clear(); // these targets refused the request; one of them may have capacity later
        return false;
    }
    if (!choice.isRefused()) {
        start(flow, choice);
        return true;
    }
    if (choice.refusal == RoutingRefusal::NoCopy && !flow->request.artifacts.empty()) {
        hooks.onMissing(requestedArtifact(*flow));
    }
    if (choice.refusal == RoutingRefusal::TooLate || choice.refusal == RoutingRefusal::AllExcluded) {
        log(*flow, "refused", "reason=\"" + choice.reason + "\"");
        const auto outcome = flow->mayHaveRun ? CallerOutcome::Unknown : CallerOutcome::NotRun;
        refuse(flow, {HttpStatus::Unavailable, toString(choice.refusal), "no target can answer in time", outcome, choice.expected});
        return true;
    }
    return false;
}

auto RequestFlows::Private::openMessage(const Flow &flow) const -> Wire::EntryFrame
{
    Wire::EntryFrame frame;
    auto *open = frame.mutable_open();
    const auto &request = flow.request;
    open->set_version(Wire::PROTOCOL_VERSION_CURRENT);
    open->set_request_id(request.id.text());
    open->set_attempt(static_cast<std::uint32_t>(flow.attempts));
    open->set_attempt_id(request.id.text() + "/" + std::to_string(flow.attempts));
    open->set_service(request.service.text());
    for (const auto &artifact : request.artifacts) {
        open->add_artifacts(artifact.text());
    }
    open->set_method(request.method);
    open->set_path(request.path);
    for (const auto &header : request.headers) {
        auto *added = open->add_headers();
        added->set_name(header.name);
        added->set_value(header.value);
    }
    open->set_body(request.body);
    open->set_key(request.key.text());
    open->set_run_once(request.mustRunOnce);
    open->set_budget_us((flow.deadline - now()).inMicros());
    open->set_priority(static_cast<std::uint32_t>(request.priority));
    open->set_fingerprint(request.fingerprint);
    open->set_alone(flow.runsAlone);
    open->set_resume_offset(flow.events.tokens());
    return frame;
}

auto RequestFlows::Private::start(const FlowPtr &flow, const RoutingChoice &choice) -> void
{
    flow->state = FlowState::Trying;
    flow->target = choice.target;
    flow->sentAt = now();
    ++flow->attempts;
    flow->headReceived = false;
    flow->endReceived = false;
    flow->bufferedBody.clear();
    log(*flow, "chose target", "target=" + choice.target.text() + " attempt=" + std::to_string(flow->attempts) + " reason=\"" + choice.reason + "\"");
    parts.router.requestStarted(routingRequest(*flow), flow->target, now());
    flow->stream = hooks.openStream(choice.target);
    if (!flow->stream) {
        parts.loop.post([this, flow] { onAttemptEnd(flow, {AttemptOutcome::NotRun, "not-connected", flow->events.tokens(), flow->exchange->hasBegun()}); });
        return;
    }
    listen(flow);
    flow->stream->send(openMessage(*flow));
}

/// Sets the hooks of the attempt's stream. They check that this is still the current stream, so that late frames of an abandoned attempt are
/// ignored.
auto RequestFlows::Private::listen(const FlowPtr &flow) -> void
{
    auto *raw = flow->stream.get();
    const auto isCurrent = [flow, raw] {
        return flow->stream.get() == raw && flow->state == FlowState::Trying;
    };
    flow->stream->onMessage = [this, flow, isCurrent](std::string_view message) {
        if (isCurrent()) {
            onFrame(flow, message);
        }
    };
    flow->stream->onEnd = [this, flow, isCurrent](StreamEnd end) {
        if (!isCurrent()) {
            return;
        }
        AttemptEnd attempt;
        attempt.outcome = end == StreamEnd::Refused ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
        attempt.code = end == StreamEnd::Refused ? "refused" : "connection-lost";
        attempt.deliveredTokens = flow->events.tokens();
        attempt.answerBegan = flow->exchange->hasBegun();
        onAttemptEnd(flow, attempt);
    };
}

// [SECTION] Answers

auto RequestFlows::Private::onFrame(const FlowPtr &flow, std::string_view message) -> void
{
    Wire::AgentFrame frame;
    if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        LOG(WARNING) << "routing: unreadable answer request=" << flow->request.id << " target=" << flow->target;
        flow->stream->reset();
        return;
    }
    if (frame.has_head()) {
        onHead(flow, frame.head());
    } else if (frame.has_data()) {
        onData(flow, frame.data().body());
    } else if (frame.has_end()) {
        flow->lastEnd = frame.end();
        flow->endReceived = true;
        // An event stream without its end mark is incomplete, even if the agent reports it as delivered.
        const bool isCut = frame.end().outcome() == Wire::OUTCOME_DELIVERED && flow->isStream && !flow->events.hasEnded();
        const auto outcome = isCut ? AttemptOutcome::Unknown : outcomeOf(frame.end());
        onAttemptEnd(flow, {outcome, isCut ? "incomplete" : frame.end().code(), flow->events.tokens(), flow->exchange->hasBegun()});
    }
}

auto RequestFlows::Private::onHead(const FlowPtr &flow, const Wire::Head &head) -> void
{
    if (flow->headReceived) {
        return;
    }
    flow->headReceived = true;
    flow->status = static_cast<int>(head.status());
    flow->headers.clear();
    for (const auto &header : head.headers()) {
        flow->headers.push_back({header.name(), header.value()});
    }
    flow->isStream = headerValue(flow->headers, "content-type").starts_with("text/event-stream");
    if (flow->isStream && !flow->exchange->hasBegun()) {
        auto headers = flow->headers;
        // The outcome of a stream is known only at its end: "[DONE]" means delivered, an error event states any other outcome.
        headers.push_back({"kingcup-outcome", "streamed"});
        headers.push_back({"kingcup-request", flow->request.id.text()});
        flow->exchange->begin(flow->status, std::move(headers));
    }
}

auto RequestFlows::Private::onData(const FlowPtr &flow, const std::string &body) -> void
{
    if (flow->isStream) {
        const bool isFirst = flow->events.tokens() == 0;
        flow->exchange->write(flow->events.feed(body));
        if (isFirst && flow->events.tokens() > 0) {
            parts.metrics.observe("first_token_seconds", (now() - flow->arrivedAt).inSeconds());
        }
        applyBackpressure(flow);
        return;
    }
    flow->bufferedBody.append(body);
    flow->exchange->hold(flow->bufferedBody.size());
    const bool isTooLarge = flow->bufferedBody.size() > settings.maxBufferedAnswer;
    if (isTooLarge || flow->exchange->isUnderPressure()) {
        flow->stream->reset();
        dropAttempt(flow, AttemptResult::Cancelled);
        const auto *code = isTooLarge ? "answer-too-large" : "overloaded";
        refuse(flow, {HttpStatus::BadGateway, code, "the target's answer is larger than an entry can hold now", CallerOutcome::Unknown, {}});
    }
}

/// Pauses the target's stream if the caller reads slowly; the agent then pauses the engine's stream.
auto RequestFlows::Private::applyBackpressure(const FlowPtr &flow) -> void
{
    if (flow->isPaused || flow->exchange->pendingBytes() <= settings.streamBuffer) {
        return;
    }
    flow->isPaused = true;
    flow->stream->pause();
    flow->exchange->onDrained = [flow] {
        if (flow->isPaused) {
            flow->isPaused = false;
            if (flow->stream) {
                flow->stream->resume();
            }
        }
    };
}

auto RequestFlows::Private::onAttemptEnd(const FlowPtr &flow, const AttemptEnd &end) -> void
{
    if (flow->state != FlowState::Trying) {
        return;
    }
    const auto took = now() - flow->sentAt;
    parts.router.requestEnded(flow->request.id, flow->target, attemptResultOf(end), now());
    if (flow->stream) {
        flow->stream->finish();
        flow->stream = nullptr;
    }
    flow->isPaused = false;
    if (end.outcome == AttemptOutcome::Delivered && !flow->request.artifacts.empty()) {
        parts.demand.served(requestedArtifact(*flow), took);
    }
    flow->mayHaveRun = flow->mayHaveRun || end.outcome == AttemptOutcome::Unknown;
    recordCrash(*flow, end);
    decide(flow, end);
    retryWaiting();
}

/// If the target crashed, marks the request as a suspect before it is sent to another target.
auto RequestFlows::Private::recordCrash(const Flow &flow, const AttemptEnd &end) -> void
{
    if (end.code != "target-crashed") {
        return;
    }
    const auto load = parts.router.lastReport(flow.target);
    const auto generation = load ? load->engineGeneration : 0;
    parts.suspects.targetCrashed(flow.target, generation, {flow.request.fingerprint}, now());
    hooks.onSuspects();
}

// [SECTION] Ending

auto RequestFlows::Private::decide(const FlowPtr &flow, const AttemptEnd &end) -> void
{
    RequestFacts facts;
    facts.service = flow->request.service;
    facts.idempotent = flow->request.isIdempotent;
    facts.resumable = flow->request.kind == ServiceKind::Models && flow->request.wantsStream;
    facts.attempts = flow->attempts;
    facts.deadline = flow->deadline;
    const auto decision = decideRetry(facts, end, budget, now());
    if (decision.action == RetryAction::Deliver) {
        deliver(flow);
        return;
    }
    log(*flow, toString(decision.action), "target=" + flow->target.text() + " code=" + end.code + " reason=\"" + decision.reason + "\"");
    parts.metrics.add("attempts_failed_total{code=\"" + end.code + "\"}");
    if (decision.action == RetryAction::Retry || decision.action == RetryAction::Resume) {
        flow->excluded.push_back(flow->target);
        flow->events.beginAttempt();
        const bool isQuarantined = parts.suspects.verdict(flow->request.fingerprint, now()) == Verdict::Quarantined;
        if (isQuarantined) {
            refuse(flow, {HttpStatus::Unprocessable, "quarantined", "this request has crashed targets; it isn't run again", CallerOutcome::Unknown, {}});
        } else if (!tryNow(flow)) {
            wait(flow);
        }
        return;
    }
    const bool isNotRun = decision.action == RetryAction::SayNotRun && !flow->mayHaveRun;
    const auto retryAfter = Duration::micros(flow->lastEnd.retry_after_us());
    const int status = isNotRun ? HttpStatus::Unavailable : end.code == "timeout" ? HttpStatus::GatewayTimeout : HttpStatus::BadGateway;
    refuse(flow,
           {status,
            end.code,
            flow->endReceived ? flow->lastEnd.detail() : decision.reason,
            isNotRun ? CallerOutcome::NotRun : CallerOutcome::Unknown,
            retryAfter});
}

auto RequestFlows::Private::deliver(const FlowPtr &flow) -> void
{
    if (flow->isStream) {
        flow->exchange->finish();
    } else {
        auto headers = flow->headers;
        headers.push_back({"kingcup-outcome", toString(CallerOutcome::Delivered)});
        headers.push_back({"kingcup-request", flow->request.id.text()});
        if (flow->lastEnd.from_record()) {
            headers.push_back({"kingcup-replayed", "true"});
        }
        flow->exchange->respond(flow->status, std::move(headers), flow->bufferedBody);
    }
    finish(flow, CallerOutcome::Delivered, "ok");
}

/// Ends a request for which there is no complete answer: sends problem details, or a final error event if a stream has begun.
auto RequestFlows::Private::refuse(const FlowPtr &flow, const Problem &problem) -> void
{
    if (flow->state == FlowState::Ended) {
        return;
    }
    if (problem.outcome == CallerOutcome::NotRun && !flow->request.artifacts.empty()) {
        parts.demand.missed(requestedArtifact(*flow), now());
    }
    const auto body = problemBody(problem, flow->request.id);
    if (flow->exchange->hasBegun()) {
        flow->exchange->write("event: error\ndata: " + body + "\n\n");
        flow->exchange->finish();
    } else {
        flow->exchange->respond(problem.status, problemHeaders(problem, flow->request.id), body);
    }
    finish(flow, problem.outcome, problem.code);
}

auto RequestFlows::Private::finish(const FlowPtr &flow, CallerOutcome outcome, const std::string &code) -> void
{
    flow->state = FlowState::Ended;
    flow->expiry.cancel();
    queue.remove(flow->request.id);
    flows.erase(flow->request.id);
    flow->exchange->onClosed = nullptr;
    flow->exchange->onDrained = nullptr;
    if (flow->stream) {
        flow->stream->reset();
        flow->stream = nullptr;
    }
    const auto took = now() - flow->arrivedAt;
    const std::string priority = toString(flow->request.priority);
    parts.metrics.add("requests_total{outcome=\"" + std::string(toString(outcome)) + "\",priority=\"" + priority + "\"}");
    parts.metrics.observe("request_seconds{priority=\"" + priority + "\"}", took.inSeconds());
    log(*flow,
        "answered",
        "outcome=" + std::string(toString(outcome)) + " code=" + code + " attempts=" + std::to_string(flow->attempts)
            + " ms=" + std::to_string(took.inMillis()));
}

/// Abandons the current attempt; a late answer to it is ignored.
auto RequestFlows::Private::dropAttempt(const FlowPtr &flow, AttemptResult result) -> void
{
    if (flow->state != FlowState::Trying) {
        return;
    }
    flow->mayHaveRun = true;
    parts.router.requestEnded(flow->request.id, flow->target, result, now());
    if (flow->stream) {
        Wire::EntryFrame cancel;
        cancel.mutable_cancel()->set_reason("given up");
        flow->stream->send(cancel);
        flow->stream->finish();
        flow->stream = nullptr;
    }
    flow->state = FlowState::Waiting;
}

auto RequestFlows::Private::onExpired(const FlowPtr &flow) -> void
{
    dropAttempt(flow, AttemptResult::Failed);
    if (flow->mayHaveRun) {
        refuse(flow, {HttpStatus::GatewayTimeout, "timeout", "the time budget ran out", CallerOutcome::Unknown, {}});
    } else {
        refuse(flow, {HttpStatus::Unavailable, "too-late", "the time budget ran out before it ran", CallerOutcome::NotRun, FallbackRetryAfter});
    }
}

auto RequestFlows::Private::onCallerLeft(const FlowPtr &flow) -> void
{
    const auto outcome = flow->state == FlowState::Trying || flow->mayHaveRun ? CallerOutcome::Unknown : CallerOutcome::NotRun;
    dropAttempt(flow, AttemptResult::Cancelled);
    finish(flow, outcome, "caller-left");
    retryWaiting();
}

RequestFlows::RequestFlows(FlowParts parts, FlowSettings settings, FlowHooks hooks)
    : d(std::make_unique<Private>(parts, std::move(settings), std::move(hooks)))
{
}

RequestFlows::~RequestFlows() = default;

auto RequestFlows::open() const -> std::size_t
{
    return d->flows.size();
}

auto RequestFlows::waiting() const -> std::size_t
{
    return d->queue.size();
}

auto RequestFlows::adopt(const Declarations &declarations) -> void
{
    d->declarations = declarations;
    for (const auto &[name, service] : declarations.services) {
        d->queue.setShare(name, service.share);
    }
    d->retryWaiting();
}

auto RequestFlows::handle(const std::shared_ptr<HttpExchange> &exchange) -> void
{
    const RequestId id(d->settings.entry + "-" + std::to_string(d->settings.incarnation) + "-" + std::to_string(++d->count));
    CallerDefaults defaults;
    defaults.budget = d->settings.requestBudget;
    defaults.versionOf = d->hooks.versionOf;
    auto read = readCallerRequest(exchange->request(), id, d->declarations, defaults);
    if (d->leaving) {
        read = Problem {HttpStatus::Unavailable, "leaving", "this entry is stopping; ask another", CallerOutcome::NotRun, FallbackRetryAfter};
    }
    if (const auto *problem = std::get_if<Problem>(&read)) {
        LOG(INFO) << "caller: refused request=" << id << " code=" << problem->code << " peer=" << exchange->request().peer;
        d->parts.metrics.add("requests_refused_total{code=\"" + problem->code + "\"}");
        exchange->respond(problem->status, problemHeaders(*problem, id), problemBody(*problem, id));
        return;
    }
    exchange->releaseBody();
    auto flow = std::make_shared<Flow>();
    flow->exchange = exchange;
    flow->request = std::get<CallerRequest>(std::move(read));
    d->flows.emplace(id, flow);
    exchange->onClosed = [this, weak = std::weak_ptr(flow)] {
        if (const auto self = weak.lock()) {
            d->onCallerLeft(self);
        }
    };
    d->admit(flow);
}

auto RequestFlows::retryWaiting() -> void
{
    d->retryWaiting();
}

auto RequestFlows::setLeaving() -> void
{
    d->leaving = true;
}

auto RequestFlows::abandonAll() -> int
{
    const auto open = d->flows;
    for (const auto &[id, flow] : open) {
        d->onExpired(flow);
    }
    return static_cast<int>(open.size());
}

} // namespace KingCup
