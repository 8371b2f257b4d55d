// Index of sections (search for [SECTION]):
//   Sending    choice of a target, waiting, start of the call
//   Ending     final answers
#include "gateway/forwardedrequest.h"

#include "net/httpstatus.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// From a send to the first check for unacknowledged bytes: about twenty round trips within a region, and longer than a host with a fifth of a core
/// takes to acknowledge.
constexpr auto FirstUnackedCheck = Duration::millis(100);
/// From the first check to the second one: longer than the kernel takes to retransmit a lost packet (at least 200 ms).
constexpr auto SecondUnackedCheck = Duration::millis(230);
/// Pause between attempts to connect if no other target can take the request.
constexpr auto ConnectRetryDelay = Duration::millis(150);
/// Engines have ten urgency levels, 0 first. The bands are this far apart so that each has a level behind it for demoted requests.
constexpr int UrgencyStep = 3;
constexpr int DemotedStep = 2;
/// Share of a route's goal. If the backlog at the only target with an adapter takes longer, the adapter is requested on another target.
constexpr double OverloadBacklogShare = 0.25;
/// A copy of a request that crashes targets waits this long at most for a probe and its result: an outage is over with the first success.
constexpr auto MaxProbeWait = Duration::millis(600);
constexpr auto ProbePollPeriod = Duration::millis(50);
/// Until the store's copy of the crash records has been read after a start; requests also go on when it has been.
constexpr auto StartPollPeriod = Duration::millis(100);
/// A request with less time left isn't sent: the quickest answers take about as long.
constexpr auto MinSendTime = Duration::millis(10);

} // namespace

auto promisesNotRun(int status) -> bool
{
    return status == HttpStatus::Unavailable || status == HttpStatus::TooManyRequests || status == HttpStatus::RequestTimeout
        || status == HttpStatus::Misdirected;
}

ForwardedRequest::ForwardedRequest(Forwarder::Private &owner, CallerExchangePtr exchange, RequestTraits traits, Route route, ServiceName service)
    : m_owner(owner)
    , m_exchange(std::move(exchange))
    , m_traits(std::move(traits))
    , m_route(std::move(route))
{
    m_request.service = std::move(service);
    m_request.model = m_traits.model;
    m_request.adapter = m_traits.adapter;
    m_request.prompt = promptChains(m_traits.model + "/" + m_traits.adapter, m_traits.promptParts);
    m_sharedParts = sharedParts(m_traits.promptParts);
    m_request.promptTokens = m_traits.promptTokens;
    m_request.outputTokens = m_traits.maxOutputTokens;
    m_request.band = m_route.band;
    m_request.pauseGoal = m_route.pauseGoal;
}

auto ForwardedRequest::setGrant(AccountGrant grant) -> void
{
    if (grant.priority) {
        m_request.band = bandOf(m_route, *grant.priority);
    }
    m_grant = std::move(grant);
}

auto ForwardedRequest::start() -> void
{
    const auto budget = m_traits.timeBudget ? std::min(*m_traits.timeBudget, m_route.timeout) : m_route.timeout;
    m_deadline = m_exchange->startedAt() + budget;
    m_exchange->onGone = [this] {
        onGone();
    };
    m_deadlineTimer = m_owner.parts.loop.after(m_deadline - now(), [this] { onTimeout(); });
    if (m_route.kind != RouteKind::Stream) {
        begin();
        return;
    }
    if (!m_traits.lastEventId.empty()) {
        findOrigin();
        return;
    }
    m_request.isStream = true;
    if (m_route.isResumable) {
        m_stream = streamKey(m_traits.attempt);
    }
    begin();
}

/// The client takes a stream up: it goes on only at the software version that began it.
auto ForwardedRequest::findOrigin() -> void
{
    const auto stream = m_traits.resumes.isEmpty() ? StreamKey() : streamKey(m_traits.resumes);
    if (stream != StreamKey()) {
        m_stream = stream;
    }
    if (const auto known = m_owner.parts.origins.find(stream)) {
        m_owner.parts.log.line("origins", "known")
            .add("id", m_traits.attempt.text())
            .add("resumes", m_traits.resumes.text())
            .add("service", known->service.text())
            .add("version", known->softwareVersion.text());
        goOnAt(*known);
        return;
    }
    const auto onlyService = m_route.services.size() == 1 ? m_request.service : ServiceName();
    m_lookup = m_owner.parts.origins.lookUp(stream, onlyService, [this](const LookupResult &result) {
        const auto self = shared_from_this();
        m_lookup.reset();
        m_owner.parts.log.line("origins", "looked-up")
            .add("id", m_traits.attempt.text())
            .add("resumes", m_traits.resumes.text())
            .add("source", toString(result.source))
            .add("service", result.origin ? result.origin->service.text() : "-")
            .add("version", result.origin ? result.origin->softwareVersion.text() : "-")
            .add("took", result.took);
        if (result.origin) {
            goOnAt(*result.origin);
        } else {
            abandon(HttpStatus::Unavailable, "origin-unknown");
        }
    });
}

auto ForwardedRequest::goOnAt(const StreamOrigin &origin) -> void
{
    const auto isOrigin = [&](const WeightedService &service) {
        return service.service == origin.service;
    };
    if (std::none_of(m_route.services.begin(), m_route.services.end(), isOrigin)) {
        abandon(HttpStatus::Unavailable, "origin-not-routed");
        return;
    }
    m_request.service = origin.service;
    m_request.softwareVersion = origin.softwareVersion;
    begin();
}

auto ForwardedRequest::begin() -> void
{
    m_owner.budget(m_request.service).requestSent(now());
    m_owner.hooks.onRequest(m_request);
    attempt();
}

// [SECTION] Sending

auto ForwardedRequest::attempt() -> void
{
    const auto self = shared_from_this();
    m_isWaiting = false;
    m_waitTimer.cancel();
    if (m_owner.parts.crashes.isStarting()) {
        tryAgainAfter(StartPollPeriod);
        return;
    }
    if (needsGrant() && !mayBecomeProbe()) {
        return;
    }
    if (m_deadline - now() < MinSendTime) {
        abandon(m_possibleRuns > 0 ? HttpStatus::GatewayTimeout : HttpStatus::Unavailable, "no-time-left");
        return;
    }
    if (!isStillGranted() || !fitsBeforeStop()) {
        return;
    }
    if (!readSlotState()) {
        return;
    }
    auto choice = choose();
    if (choice.target.isEmpty() && m_request.granted) {
        leaveSlotQueue(); // the target has ended, is over its request limit, or was excluded since the request began to wait
        choice = choose();
    }
    if (!choice.overLimit.id.isEmpty()) {
        const auto permit = m_owner.parts.limits.wanted(choice.overLimit, choice.target.isEmpty());
        if (permit == PermitState::Held) {
            choice = choose();
        } else if (permit == PermitState::Pending && !choice.target.isEmpty() && awaitReply()) {
            return;
        }
    }
    if (shouldAskNextArbiter(choice)) {
        m_request.mayOverfill = false;
        choice = choose();
    }
    if (choice.refusal == DispatchRefusal::Full) {
        waitForSlot(choice);
        return;
    }
    if (choice.target.isEmpty()) {
        waitOrRefuse(choice);
        return;
    }
    if (choice.isLastResort && now() - m_connectFailedAt < ConnectRetryDelay) {
        tryAgainAfter(ConnectRetryDelay);
        return;
    }
    if (!m_request.model.empty() && !admit(choice)) {
        return;
    }
    if (endIfCallerLeft()) {
        return;
    }
    const bool isProbe = needsGrant();
    if (isProbe && !becomeProbe()) {
        return;
    }
    send(choice, isProbe);
}

/// A probe goes to a target where no other one runs, if it can: if both ended with it, nothing would be known of either.
auto ForwardedRequest::choose() -> DispatchChoice
{
    auto choice = m_owner.parts.dispatcher.choose(m_request, now());
    const auto probed = needsGrant() ? m_owner.parts.crashes.probedTargets() : std::vector<TargetId>();
    if (std::find(probed.begin(), probed.end(), choice.target) == probed.end()) {
        return choice;
    }
    auto request = m_request;
    request.excluded.insert(request.excluded.end(), probed.begin(), probed.end());
    auto other = m_owner.parts.dispatcher.choose(request, now());
    return other.target.isEmpty() ? choice : other;
}

/// Whether a request that may crash targets can be sent as a probe. Otherwise it waits for the result of another probe, or is rejected.
auto ForwardedRequest::mayBecomeProbe() -> bool
{
    if (m_owner.parts.crashes.mayBeProbed(subjects())) {
        return true;
    }
    awaitProbe();
    return false;
}

/// Asks for a probe when a target has been chosen: a probe that can't be sent would be lost.
auto ForwardedRequest::becomeProbe() -> bool
{
    m_probe = m_owner.parts.crashes.requestProbe(subjects());
    switch (m_probe.state) {
    case ProbeState::Granted:
        return true;
    case ProbeState::Pending:
        tryAgainAfter(ProbePollPeriod);
        return false;
    case ProbeState::Denied:
        break;
    }
    awaitProbe();
    return false;
}

auto ForwardedRequest::awaitProbe() -> void
{
    m_probeAwaitedUntil = m_probeAwaitedUntil.value_or(now() + MaxProbeWait);
    if (m_owner.parts.crashes.isProbeExpected(subjects()) && now() < *m_probeAwaitedUntil) {
        tryAgainAfter(ProbePollPeriod);
        return;
    }
    m_owner.parts.crashes.rejected(subjects(), m_traits.attempt);
    m_retryAfter = m_owner.parts.crashes.retryAfter(subjects());
    abandon(m_possibleRuns > 0 ? HttpStatus::BadGateway : HttpStatus::Unavailable, "takes-targets-down");
}

auto ForwardedRequest::tryAgainAfter(Duration delay) -> void
{
    m_isWaiting = true;
    m_waitTimer = m_owner.parts.loop.after(delay, [this] { attempt(); });
}

/// Checked before each send: the key may have been revoked while the request waited or ran on another target, or while this host was suspended.
auto ForwardedRequest::isStillGranted() -> bool
{
    if (!m_grant) {
        return true;
    }
    const auto refusal = m_owner.parts.access.confirm(*m_grant, now());
    if (refusal == AccessRefusal::None) {
        return true;
    }
    const int status = refusal == AccessRefusal::KeyUnknown ? HttpStatus::Unauthorized : HttpStatus::Unavailable;
    abandon(m_possibleRuns > 0 ? HttpStatus::BadGateway : status, toString(refusal));
    return false;
}

/// Checked before each send. Otherwise refuses the request, whose client finds other gateways ready.
auto ForwardedRequest::fitsBeforeStop() -> bool
{
    if (!m_owner.stop) {
        return true;
    }
    const auto expected = m_owner.answerTimes.expected(m_route.name);
    if (KingCup::fitsBeforeStop(*m_owner.stop, expected, m_route.goal, m_deadline - now(), now())) {
        return true;
    }
    m_owner.parts.log.line("routing", "stops-before-answer")
        .add("id", m_traits.attempt.text())
        .add("route", m_route.name)
        .add("expected", expected.value_or(Duration::millis(-1)))
        .add("left", m_owner.stop->endsAt - now());
    m_retryAfter = Duration();
    abandon(m_possibleRuns > 0 ? HttpStatus::BadGateway : HttpStatus::Unavailable, "stops-before-answer");
    return false;
}

auto ForwardedRequest::certainlyDidNotRun() const -> bool
{
    return m_possibleRuns == 0 && !(m_call && m_call->wasSent());
}

/// Admits the request if it can meet its goal. Otherwise demotes it behind all requests that still can, provided that it would be answered before its
/// caller gives up and before its deadline; else refuses it. If all requests shared one queue, a runner with half more load than it can handle would
/// soon answer every request late, and its streams would stall behind prefill.
auto ForwardedRequest::admit(const DispatchChoice &choice) -> bool
{
    if (m_request.granted) {
        demoteLate(choice);
        return true;
    }
    const auto elapsed = now() - m_exchange->startedAt();
    if (!m_request.adapter.empty() && choice.candidates == 1 && choice.backlog > m_route.goal * OverloadBacklogShare) {
        m_owner.hooks.onOverloaded(m_request.service, m_request.model, m_request.adapter);
    }
    if (elapsed + choice.expectedFirst <= m_route.goal) {
        return true;
    }
    const bool callerStays = m_route.callerGiveUpTime == Duration() || elapsed + choice.expectedIfPatient < m_route.callerGiveUpTime;
    if (callerStays && choice.expectedIfPatient + MinStreamTime < m_deadline - now()) {
        m_isDemoted = true;
        m_request.band = UrgencyBand::Patient;
        return true;
    }
    m_owner.parts.log.line("routing", "too-late")
        .add("id", m_traits.attempt.text())
        .add("target", choice.target.text())
        .add("expected", choice.expectedFirst)
        .add("if-patient", choice.expectedIfPatient)
        .add("left", m_deadline - now());
    m_retryAfter = std::clamp(choice.backlog - m_route.goal * MaxWaitGoalShare, DefaultRetryAfter, MaxRetryAfter);
    abandon(m_possibleRuns > 0 ? HttpStatus::BadGateway : HttpStatus::Unavailable, "too-late");
    return false;
}

auto ForwardedRequest::requestHeaders(const DispatchChoice &choice) const -> HttpHeaders
{
    HttpHeaders headers;
    const auto &head = m_exchange->head();
    const auto connection = findHeader(head.headers, "connection").value_or(std::string_view());
    for (const auto &header : head.headers) {
        const bool isFraming = isSameHeaderName(header.name, "content-length") || isSameHeaderName(header.name, "expect");
        if (!isFraming && !isHopByHop(header.name, connection)) {
            headers.push_back(header);
        }
    }
    ForwardTraits traits;
    traits.timeBudget = m_deadline - now();
    traits.target = choice.target;
    traits.urgency = static_cast<int>(m_request.band) * UrgencyStep + (m_isDemoted ? DemotedStep : 0);
    traits.lastEventId = m_events ? m_events->lastId() : std::string();
    traits.hasAccounts = m_owner.traffic->hasAccounts;
    traits.account = m_grant ? m_grant->account : AccountName();
    m_owner.parts.protocol.rewriteRequest(headers, traits);
    return headers;
}

auto ForwardedRequest::logChoice(const DispatchChoice &choice) -> void
{
    auto line = m_owner.parts.log.line("routing", "chosen");
    line.add("id", m_traits.attempt.text())
        .add("route", m_route.name)
        .add("account", m_grant ? m_grant->account.text() : "-")
        .add("target", choice.target.text())
        .add("version", choice.softwareVersion.text())
        .add("model", m_request.model)
        .add("adapter", m_request.adapter)
        .add("send", m_sends)
        .add("expected", choice.expectedFirst)
        .add("backlog", choice.backlog)
        .add("demoted", m_isDemoted)
        .add("unread", choice.prefillTokens)
        .add("prompt", m_request.promptTokens)
        .add("candidates", choice.candidates)
        .add("last-resort", choice.isLastResort)
        .add("left", m_deadline - now());
    if (const auto limit = m_owner.parts.limits.perSecond(choice.incarnation)) {
        line.add("limit", *limit);
    }
}

auto ForwardedRequest::send(const DispatchChoice &choice, bool isProbe) -> void
{
    leavePermitQueue();
    ++m_sends;
    m_target = choice.target;
    m_incarnation = choice.incarnation;
    m_softwareVersion = choice.softwareVersion;
    m_hasHead = false;
    m_isEventStream = false;
    m_boundary = EventBoundary();
    m_connectionEnd.reset();
    m_isForwarding = false;
    m_bufferedBody.clear();
    m_answerBytes = 0;
    m_wasPaused = false;
    m_reportedEvents = 0;
    m_sentAt = now();
    m_send = m_owner.parts.dispatcher.sent(m_request, choice.target, now());
    m_hasSend = true;
    m_unanswered = 0;
    m_wasGranted = m_request.granted.has_value();
    if (m_wasGranted) {
        m_owner.parts.slots.used(std::exchange(m_slot, 0));
    }
    leaveSlotQueue();
    m_owner.parts.crashes.sent(m_send, {choice.incarnation, m_request.service, choice.address}, [this] { return subjects(); });
    m_isProbe = isProbe;
    if (m_isProbe) {
        m_owner.parts.crashes.sentProbe(m_send, subjects(), m_probe.probe, m_traits.attempt, choice.incarnation);
    }
    m_owner.parts.limits.sent(choice.incarnation);
    m_owner.hooks.onSent(choice.target, m_request, m_send);
    logChoice(choice);
    PooledCall call;
    call.server = choice.address;
    call.method = m_exchange->head().method;
    call.target = m_exchange->head().target;
    call.headers = requestHeaders(choice);
    call.body = m_exchange->body();
    call.maxIdleTime = m_route.mayRepeat() ? Duration::seconds(60) : m_owner.parts.reuse.limit(now());
    if (choice.isLastResort) {
        call.maxIdleTime = Duration(); // 0 forces a new connection: if the target is down, connecting fails, and the request certainly wasn't sent
    }
    call.onConnected = [this] {
        endIfCallerLeft();
    };
    call.onHead = [this](const HttpHead &head) {
        return onHead(head);
    };
    call.onBody = [this](std::string_view bytes) {
        onBody(bytes);
    };
    call.onEnd = [this](const PooledEnd &end) {
        onEnd(end);
    };
    m_call = m_owner.parts.pool.start(std::move(call));
    m_unackedTimer = m_owner.parts.loop.after(FirstUnackedCheck, [this] { checkUnacknowledged(0); });
}

/// Detects a target that has lost its power or its network path. It answers nothing, and the connection fails only after seconds; but the kernel of a
/// live host acknowledges sent bytes within a round trip. If they stay unacknowledged, the target is marked as unreachable, and a request that may run
/// twice is resent to another target.
auto ForwardedRequest::checkUnacknowledged(std::size_t unackedBefore) -> void
{
    const auto self = shared_from_this();
    if (!m_call || m_hasHead || !m_call->wasSent()) {
        return;
    }
    const auto unacked = m_call->unackedBytes();
    if (unacked == 0) {
        return;
    }
    if (unackedBefore == 0 || unacked < unackedBefore) {
        m_unackedTimer = m_owner.parts.loop.after(SecondUnackedCheck, [this, unacked] { checkUnacknowledged(unacked); });
        return;
    }
    m_owner.parts.log.line("attempt", "silent")
        .add("id", m_traits.attempt.text())
        .add("target", m_target.text())
        .add("unacked", static_cast<std::uint64_t>(unacked));
    m_owner.markUnreachable(m_target);
    if (m_exchange->hasBegun() || m_possibleRuns + 1 >= m_route.attempts || !m_route.mayRepeat() || !maySendAgain()) {
        return;
    }
    std::exchange(m_call, nullptr)->cancel();
    logRunEnd("unacknowledged");
    m_owner.parts.crashes.abandoned(m_send);
    ++m_possibleRuns;
    closeSend(SendResult::NoAnswer);
    m_request.excluded.push_back(m_target);
    sendAgain();
}

// [SECTION] Ending

auto ForwardedRequest::abandon(int status, const char *why) -> void
{
    if (m_finished) {
        return;
    }
    const auto exchange = m_exchange;
    const bool hasBegun = exchange->hasBegun();
    finish(hasBegun ? m_head.status : status, why);
    if (hasBegun) {
        exchange->abort();
        return;
    }
    const auto retryAfter = promisesNotRun(status) ? std::optional(m_retryAfter) : std::nullopt;
    exchange->respond(status, m_owner.parts.protocol.ownAnswerHeaders(m_traits.attempt, retryAfter), "");
}

auto ForwardedRequest::onTimeout() -> void
{
    const auto self = shared_from_this();
    if (m_hasSend) {
        m_owner.answerTimes.ended(m_route.name, now() - m_sentAt);
    }
    abandon(certainlyDidNotRun() ? HttpStatus::Unavailable : HttpStatus::GatewayTimeout, "timeout");
}

/// A close that waits behind other input is read later than the request could be sent: timers run before any input, and connections in turn.
auto ForwardedRequest::endIfCallerLeft() -> bool
{
    if (!m_exchange->hasCallerLeft()) {
        return false;
    }
    const auto self = shared_from_this();
    const auto exchange = m_exchange;
    m_owner.parts.metrics.add("callers_left_before_send_total");
    finish(0, "caller-left-before-send");
    exchange->abort();
    return true;
}

auto ForwardedRequest::onGone() -> void
{
    const auto self = shared_from_this();
    finish(0, "caller-left");
}

auto ForwardedRequest::abandon() -> void
{
    const auto self = shared_from_this();
    abandon(certainlyDidNotRun() ? HttpStatus::Unavailable : HttpStatus::BadGateway, "stopped");
}

auto ForwardedRequest::lateness() const -> const char *
{
    const bool isFirstLate = m_firstBytesAfter.value_or(Duration()) > m_route.goal;
    const bool hasPaused = m_route.pauseGoal > Duration() && m_longestPause > m_route.pauseGoal;
    if (isFirstLate) {
        return hasPaused ? "both" : "first";
    }
    return hasPaused ? "pause" : "no";
}

/// Ends the request: cancels its timers and its call, logs it and removes it from the forwarder. Writing the answer is left to the calling function.
auto ForwardedRequest::finish(int status, const char *outcome) -> void
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_isWaiting = false;
    m_deadlineTimer.cancel();
    leavePermitQueue();
    leaveSlotQueue();
    m_waitTimer.cancel();
    m_unackedTimer.cancel();
    m_exchange->onGone = nullptr;
    m_exchange->onDrained = nullptr;
    if (m_lookup) {
        m_owner.parts.origins.cancel(*std::exchange(m_lookup, std::nullopt));
    }
    if (m_isRecorded) {
        m_owner.parts.origins.ended(*m_stream, std::string_view(outcome) == DeliveredOutcome);
    }
    if (m_grant && certainlyDidNotRun()) {
        m_owner.parts.access.refund(*m_grant, now());
    }
    if (m_call) {
        const auto call = std::exchange(m_call, nullptr);
        if (call->wasSent()) {
            logRunEnd(outcome);
            m_owner.parts.crashes.abandoned(m_send);
        } else {
            m_owner.parts.crashes.notSent(m_send);
            if (m_isProbe) {
                m_owner.parts.crashes.probeReturned(subjects(), m_probe.probe);
            }
        }
        call->cancel();
    }
    closeSend(SendResult::Cancelled);
    const auto took = now() - m_exchange->startedAt();
    auto line = m_owner.parts.log.line("request", "answered");
    line.add("id", m_traits.attempt.text())
        .add("status", status)
        .add("outcome", outcome)
        .add("target", m_target.text())
        .add("sends", m_sends)
        .add("demoted", m_isDemoted)
        .add("first", m_firstBytesAfter.value_or(Duration()))
        .add("longest-pause", m_longestPause)
        .add("pause-ended", m_pauseEndedAfter)
        .add("late", lateness())
        .add("took", took);
    if (m_route.kind == RouteKind::Stream) {
        addAnswerEnd(line);
    }
    m_owner.parts.metrics.add("requests_total{outcome=\"" + std::string(outcome) + "\"}");
    m_owner.parts.metrics.observe("request_seconds", took.inSeconds());
    m_owner.requests.erase(shared_from_this());
}

} // namespace KingCup
