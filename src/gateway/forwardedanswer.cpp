// Handles what a target returns: a complete answer, a stream, a refusal or a broken connection; and decides whether the request is resent.
#include "gateway/forwardedrequest.h"

#include "net/httpstatus.h"

#include <algorithm>
#include <utility>

namespace KingCup
{

namespace
{

constexpr std::size_t LongAnswerBytes = 16384; ///< the bytes of a longer answer that are kept are charged to the client's connection

} // namespace

auto ForwardedRequest::onHead(const HttpHead &head) -> AnswerVerdict
{
    const auto answer = m_owner.parts.protocol.readAnswer(head);
    if (!answer.attempt.isEmpty() && answer.attempt != m_traits.attempt) {
        m_owner.parts.log.line("answer", "stray").add("id", m_traits.attempt.text()).add("target", m_target.text()).add("found", answer.attempt.text());
        return AnswerVerdict::Skip;
    }
    const bool isTrusted = HttpStatus::isSuccess(head.status) ? answer.isSigned && !answer.isEncoded && !answer.attempt.isEmpty() : true;
    if (!isTrusted) {
        m_owner.parts.log.line("answer", "untrusted").add("id", m_traits.attempt.text()).add("target", m_target.text()).add("status", head.status);
        return AnswerVerdict::Refuse;
    }
    m_owner.parts.crashes.received(m_send, m_sharedParts);
    m_hasHead = true;
    m_head = head;
    m_answer = answer;
    if (answer.target.isEmpty() || answer.target == m_target) {
        m_owner.hooks.onAnswer(m_incarnation, answer, m_sentAt);
    }
    m_isEventStream = isEventStream();
    // A begun stream is continued by events alone.
    if (HttpStatus::isSuccess(head.status) && m_route.kind == RouteKind::Stream && (m_isEventStream || !m_exchange->hasBegun())) {
        beginForwarding();
    }
    return AnswerVerdict::Accept;
}

auto ForwardedRequest::isEventStream() const -> bool
{
    constexpr std::string_view EventStreamType = "text/event-stream";
    const auto type = findHeader(m_head.headers, "content-type");
    const bool isStreamType = type ? isSameHeaderName(type->substr(0, EventStreamType.size()), EventStreamType) : m_route.kind == RouteKind::Stream;
    return HttpStatus::isSuccess(m_head.status) && isStreamType;
}

auto ForwardedRequest::boundary() const -> const EventBoundary &
{
    return m_events ? m_events->boundary() : m_boundary;
}

/// Whether an answer that is complete by its framing is incomplete by its content. A target that ends in the middle of a stream may have its connection
/// closed in order by the operating system, or its answer completed by a proxy in between.
auto ForwardedRequest::isBrokenOff() const -> bool
{
    if (!m_isEventStream) {
        return false;
    }
    // Without events, nothing distinguishes an empty stream from one whose target ended before the first event, unless the framing states the end.
    const bool mayLackAll = boundary().events() == 0 && m_head.framing == BodyFraming::Connection;
    return !boundary().isBetweenEvents() || mayLackAll;
}

/// Status and headers go to the client only with the first bytes of the body: if the stream breaks before these, the request can still be resent to another
/// target.
auto ForwardedRequest::beginForwarding() -> void
{
    m_isForwarding = true;
    if (!m_isEventStream) {
        m_events.reset();
    } else if (m_route.isResumable && !m_events) {
        m_events.emplace([this](std::string_view raw) { forwardBytes(raw); }, m_owner.options.maxEvent);
    }
}

auto ForwardedRequest::onBody(std::string_view bytes) -> void
{
    const auto self = shared_from_this();
    if (m_finished) {
        return;
    }
    m_owner.parts.dispatcher.firstToken(m_send, now());
    m_answerBytes += bytes.size();
    m_owner.parts.crashes.received(m_send, m_sharedParts);
    recordProgress();
    if (m_isEventStream && !m_events) {
        m_boundary.feed(bytes);
        if (m_boundary.openBytes() > m_owner.options.maxEvent) {
            breakOff("event-too-long");
            return;
        }
    }
    if (!m_isForwarding) {
        // The client gets nothing of an answer by which the request hasn't run, or that doesn't resume a begun stream, however long it is.
        if (m_answer.isNotRun || promisesNotRun(m_head.status) || m_exchange->hasBegun()) {
            if (m_answerBytes > m_owner.options.maxDroppedBody) {
                breakOff("dropped-body-too-long");
            }
            return;
        }
        m_bufferedBody.append(bytes);
        const bool isLong = m_bufferedBody.size() > LongAnswerBytes;
        if (m_bufferedBody.size() > m_owner.options.maxBufferedAnswer || (isLong && m_exchange->isUnderPressure())) {
            m_isForwarding = true;
            const auto buffered = std::exchange(m_bufferedBody, std::string());
            forwardBytes(buffered);
        }
        if (isLong) {
            m_exchange->hold(m_bufferedBody.size());
        }
        return;
    }
    if (m_events) {
        m_events->feed(bytes);
        if (m_call) {
            m_call->hold(m_events->partialMemory());
        }
    } else {
        forwardBytes(bytes);
    }
    if (m_events && m_events->isTooLong()) {
        breakOff("event-too-long");
        return;
    }
    reportEvents();
}

/// The target goes on sending what is no answer. The request may have run, whatever the head of the answer says.
auto ForwardedRequest::breakOff(const char *why) -> void
{
    if (m_finished || !m_call) {
        return;
    }
    m_owner.parts.log.line("answer", "broken-off")
        .add("id", m_traits.attempt.text())
        .add("target", m_target.text())
        .add("why", why)
        .add("bytes", static_cast<std::uint64_t>(m_answerBytes));
    m_owner.parts.metrics.add("answers_broken_off_total");
    std::exchange(m_call, nullptr)->cancel();
    onFailure({CallEnd::Broken, true, false, why, std::nullopt, Duration()});
}

/// Reports the events that the last piece of the body completed. The boundary counts from the beginning of the answer.
auto ForwardedRequest::reportEvents() -> void
{
    if (!m_isEventStream || !m_hasSend) {
        return;
    }
    const auto events = boundary().events();
    m_owner.parts.dispatcher.eventsReceived(m_send, events - std::min(m_reportedEvents, events), now());
    m_reportedEvents = events;
    if (m_call && m_exchange->pendingBytes() > m_owner.options.streamBuffer) {
        m_owner.parts.dispatcher.readingStopped(m_send);
    }
}

auto ForwardedRequest::recordProgress() -> void
{
    if (!m_firstBytesAfter) {
        m_firstBytesAfter = now() - m_exchange->startedAt();
    } else {
        if (now() - m_lastBytesAt > m_longestPause) {
            m_longestPause = now() - m_lastBytesAt;
            m_pauseEndedAfter = now() - m_exchange->startedAt();
        }
    }
    m_lastBytesAt = now();
}

namespace
{

/// The target's headers without Content-Length and hop-by-hop headers.
auto answerHeaders(const HttpHead &head) -> HttpHeaders
{
    HttpHeaders headers;
    const auto connection = findHeader(head.headers, "connection").value_or(std::string_view());
    for (const auto &header : head.headers) {
        if (!isSameHeaderName(header.name, "content-length") && !isHopByHop(header.name, connection)) {
            headers.push_back(header);
        }
    }
    return headers;
}

} // namespace

auto ForwardedRequest::forwardBytes(std::string_view bytes) -> void
{
    if (m_finished || bytes.empty()) {
        return;
    }
    if (!m_exchange->hasBegun()) {
        // A stream that turns out to be broken off must not have reached a stated length.
        m_exchange->begin(m_head.status, answerHeaders(m_head), m_isEventStream ? std::nullopt : m_head.length);
        m_exchange->onDrained = [this] {
            if (m_call) {
                m_call->resume();
            }
        };
    }
    if (!m_request.softwareVersion) {
        m_request.softwareVersion = m_softwareVersion;
    }
    if (m_stream && !m_isRecorded) {
        m_isRecorded = true;
        m_owner.parts.origins.began(*m_stream, {m_request.service, *m_request.softwareVersion});
    }
    m_forwardedBytes += bytes.size();
    m_exchange->write(bytes);
    if (m_exchange->pendingBytes() > m_owner.options.streamBuffer && m_call) {
        m_wasPaused = true;
        m_call->pause();
    }
}

auto ForwardedRequest::onEnd(const PooledEnd &end) -> void
{
    const auto self = shared_from_this();
    m_call = nullptr;
    m_connectionEnd = end.connection;
    if (m_finished) {
        return;
    }
    if (end.end == CallEnd::Complete && !isBrokenOff()) {
        onAnswer();
    } else {
        onFailure(end);
    }
}

/// Called when the answer is complete.
auto ForwardedRequest::onAnswer() -> void
{
    if (m_answer.isMisdirected && !m_answer.target.isEmpty() && m_answer.target != m_target) {
        m_owner.parts.crashes.misdirected(m_send, m_incarnation);
    } else {
        m_owner.parts.crashes.answered(m_send, m_incarnation, m_sentAt);
    }
    if (m_answer.isNotRun) {
        onNotRun();
        return;
    }
    ++m_possibleRuns;
    m_owner.answerTimes.ended(m_route.name, now() - m_sentAt);
    const bool isFailure = m_head.status >= HttpStatus::ServerError || promisesNotRun(m_head.status);
    closeSend(isFailure ? SendResult::Failed : SendResult::Delivered);
    if (isFailure && !m_isForwarding && mayRunAgain() && maySendAgain()) {
        sendAgain();
        return;
    }
    if (!m_isForwarding && m_exchange->hasBegun()) {
        // The stream began at another target and this one doesn't resume it: its answer must not look like the end of the stream.
        abandon(HttpStatus::BadGateway, "not-resumed");
        return;
    }
    if (m_isForwarding) {
        if (!m_exchange->hasBegun()) {
            m_exchange->begin(m_head.status, answerHeaders(m_head), std::nullopt);
        }
        recordSuccess();
        finish(m_head.status, DeliveredOutcome);
        m_exchange->finish();
        return;
    }
    forwardWholeAnswer();
}

auto ForwardedRequest::forwardWholeAnswer() -> void
{
    // The request may have run, so the client must not get a status that says it didn't.
    if (promisesNotRun(m_head.status)) {
        abandon(HttpStatus::BadGateway, "target-failed");
        return;
    }
    const bool isDelivered = HttpStatus::isSuccess(m_head.status);
    if (isDelivered) {
        recordSuccess();
    }
    finish(m_head.status, isDelivered ? DeliveredOutcome : "target-failed");
    m_exchange->respond(m_head.status, answerHeaders(m_head), m_bufferedBody);
}

/// The target states that it did not run the request, so any request may be sent to another target, also one that must not run twice.
auto ForwardedRequest::onNotRun() -> void
{
    closeSend(SendResult::Rejected);
    bool isFull = false;
    if (!m_request.model.empty() && !m_answer.isMisdirected && !m_answer.requestLimit) {
        m_owner.parts.slots.rejected(m_incarnation, m_wasGranted);
        isFull = m_owner.parts.dispatcher.needsPermit(m_target, now());
    }
    m_owner.parts.log.line("attempt", "not-run")
        .add("id", m_traits.attempt.text())
        .add("target", m_target.text())
        .add("status", m_head.status)
        .add("retry-after", m_answer.retryAfter.value_or(Duration()));
    if (m_answer.isMisdirected) {
        m_owner.hooks.onMisdirected(m_target, m_answer.target, m_request.model, m_request.adapter);
    }
    // A target that takes requests again later, or whose runs show that it is full, isn't excluded: if it is the only one, the request may wait for it.
    if (m_answer.isMisdirected || (!isFull && m_answer.retryAfter.value_or(Duration()) == Duration())) {
        m_request.excluded.push_back(m_target);
    }
    if (maySendAgain()) {
        sendAgain();
        return;
    }
    abandon(m_possibleRuns > 0 ? HttpStatus::BadGateway : HttpStatus::Unavailable, "not-run");
}

auto ForwardedRequest::onFailure(const PooledEnd &end) -> void
{
    const bool neverSent = end.end == CallEnd::NotSent;
    const bool hadNoAnswer = !m_hasHead && !end.wasReused;
    if (neverSent) {
        m_owner.parts.crashes.notSent(m_send);
        if (m_isProbe) {
            m_owner.parts.crashes.probeUnsent(subjects(), m_probe);
        }
    } else {
        logRunEnd("broken");
        m_owner.parts.crashes.broke(m_send);
    }
    // A target cuts off an answer that stays unread for some seconds. If the client didn't read, that says nothing about the target.
    const auto failure = m_wasPaused ? SendResult::Cancelled : SendResult::Failed;
    closeSend(neverSent ? SendResult::Rejected : hadNoAnswer ? SendResult::NoAnswer : failure);
    addAnswerEnd(m_owner.parts.log.line("attempt", neverSent ? "not-connected" : "broken")
                     .add("id", m_traits.attempt.text())
                     .add("target", m_target.text())
                     .add("after", now() - m_sentAt)
                     .add("reused", end.wasReused)
                     .add("why", end.why)
                     .add("head", m_hasHead)
                     .add("passed", static_cast<std::uint64_t>(m_forwardedBytes)));
    if (neverSent) {
        m_connectFailedAt = now();
        m_owner.markUnreachable(m_target);
        attempt();
        return;
    }
    if (end.wasReused && !m_hasHead && m_owner.parts.reuse.connectionBroke(end.idleBefore, now() - m_sentAt, now())) {
        m_owner.parts.log.line("connections", "dropped-while-idle").add("target", m_target.text()).add("idle", end.idleBefore);
    }
    m_request.excluded.push_back(m_target);
    ++m_possibleRuns;
    if (m_events) {
        m_events->dropPartial();
    }
    const bool canGoOn = !m_exchange->hasBegun() || m_events;
    if (canGoOn && mayRunAgain() && maySendAgain()) {
        sendAgain();
        return;
    }
    abandon(HttpStatus::BadGateway, "target-broke-off");
}

namespace
{

constexpr std::size_t MaxLoggedParts = 16;

} // namespace

/// The request's fingerprint is computed once and only on demand: this hashes the whole body, and waiting requests are checked several times a second.
auto ForwardedRequest::subjects() -> const CrashSubjects &
{
    if (!m_subjects) {
        const auto &head = m_exchange->head();
        const auto host = findHeader(head.headers, "host").value_or(std::string_view());
        const auto account = m_grant ? std::string_view(m_grant->account.text()) : std::string_view();
        m_subjects = CrashSubjects {requestSubject(requestFingerprint(host, head.target, account, m_exchange->body().view())), m_sharedParts};
    }
    return *m_subjects;
}

auto ForwardedRequest::needsGrant() -> bool
{
    return !m_owner.parts.crashes.isEmpty() && m_owner.parts.crashes.needsGrant(subjects());
}

/// The line connects the client's id with the lines on the request's fingerprint, of which "run-resolved" says whether the end counted.
auto ForwardedRequest::logRunEnd(const char *how) -> void
{
    m_owner.parts.log.line("crashes", "run-ended")
        .add("request", subjects().request.value)
        .add("id", m_traits.attempt.text())
        .add("send", m_send.value())
        .add("target", m_target.text())
        .add("born", m_incarnation.startedAtMillis)
        .add("after", now() - m_sentAt)
        .add("how", how)
        .add("head", m_hasHead)
        .add("parts", partList())
        .add("copies", copiesInFlight());
}

/// The ids of the prompt's parts that other requests may share, in the prompt's order.
auto ForwardedRequest::partList() const -> std::string
{
    std::string text;
    for (std::size_t i = 0; i < std::min(m_sharedParts.size(), MaxLoggedParts); ++i) {
        text.append(text.empty() ? "" : ",").append(toString(m_sharedParts[i]));
    }
    return text;
}

/// The targets where this gateway's other copies of the request are in flight.
auto ForwardedRequest::copiesInFlight() -> std::string
{
    std::string text;
    for (const auto &other : m_owner.requests) {
        const bool isCopy = other.get() != this && other->m_call && other->m_exchange->head().target == m_exchange->head().target
            && other->m_exchange->body().size() == m_exchange->body().size() && other->subjects().request == subjects().request;
        if (isCopy) {
            text.append(text.empty() ? "" : ",").append(other->m_target.text());
        }
    }
    return text;
}

/// How the latest answer was framed and ended.
auto ForwardedRequest::addAnswerEnd(LogLine &line) const -> void
{
    line.add("framing", m_hasHead ? toString(m_head.framing) : "-")
        .add("connection", m_connectionEnd ? toString(*m_connectionEnd) : "open")
        .add("events", m_isEventStream ? boundary().events() : 0)
        .add("inside-event", m_isEventStream && !boundary().isBetweenEvents())
        .add("version", m_softwareVersion.text())
        .add("began-at-version", m_request.softwareVersion ? m_request.softwareVersion->text() : "-");
}

auto ForwardedRequest::recordSuccess() -> void
{
    m_owner.parts.crashes.succeeded(
        m_sharedParts, [this] { return subjects(); }, m_isProbe);
}

auto ForwardedRequest::mayRunAgain() const -> bool
{
    return m_route.mayRepeat() && m_possibleRuns < m_route.attempts && !m_isProbe;
}

auto ForwardedRequest::maySendAgain() const -> bool
{
    return m_sends < m_owner.options.maxSends && m_owner.budget(m_request.service).remaining(now()) >= 1;
}

auto ForwardedRequest::sendAgain() -> void
{
    m_owner.budget(m_request.service).requestResent(now());
    attempt();
}

auto ForwardedRequest::closeSend(SendResult result) -> void
{
    if (m_hasSend) {
        m_hasSend = false;
        const bool wasFull = !m_request.model.empty() && m_owner.parts.dispatcher.needsPermit(m_target, now());
        m_owner.parts.dispatcher.ended(m_send, result, now(), m_answerBytes);
        if (result != SendResult::Rejected) {
            m_owner.parts.slots.ended(m_incarnation, wasFull);
        }
    }
}

} // namespace KingCup
