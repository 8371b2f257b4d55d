// Index of sections (search for [SECTION]):
//   State      the forwarder's, and that of one request
//   Sending    choosing a target and starting the call
//   Answers    what comes back
//   Ending     final answers
//   Forwarder  the public face
#include "gateway/forwarder.h"

#include "core/crashrepeats.h"
#include "core/eventcursor.h"

#include <algorithm>
#include <random>
#include <unordered_set>
#include <vector>

namespace KingCup
{

namespace
{

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusMisdirected = 421;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusServerError = 500;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

/// What a client is told to wait where nothing better is known: long enough for a change of membership to arrive.
constexpr auto DefaultRetryAfter = Duration::millis(300);
/// Requests wait for a missing model or adapter no longer than this share of their goal; then they are refused while there is time to return.
constexpr double WaitShare = 0.6;
/// Between two words of one request to the gateway that gives orders: the first may have been lost, or there was none yet.
constexpr auto TellMissingPeriod = Duration::millis(300);
/// Some twenty round trips within a region, and longer than a host with a fifth of a core takes to come to it.
constexpr auto FirstSilenceCheck = Duration::millis(100);
/// Longer than the system takes to send a lost packet once more (200 ms at least).
constexpr auto SecondSilenceCheck = Duration::millis(230);
/// Between tries to connect where nobody else can take a request.
constexpr auto ConnectPause = Duration::millis(150);
/// Engines know ten degrees of urgency; the bands lie apart so that those that are late anyway fit behind each.
constexpr int UrgencyStep = 3;
constexpr int DemotedStep = 2;
/// Of a route's goal: where a request would wait for longer at the only target with its adapter, the adapter is asked for on another one.
constexpr double BusyShare = 0.25;
/// What a stream of some hundred tokens takes after its first: less than that left, and it would be cut off.
constexpr auto StreamTime = Duration::millis(600);
/// An overload of seconds is over by then or isn't over soon; clients come back within a third of the time they have left.
constexpr auto LongestRetryAfter = Duration::millis(1500);
/// Likewise for a request that takes targets down: it is forgotten then.
constexpr auto BarredRetryAfter = CrashRepeatOptions().lifetime;
/// The time left that is worth a send: about the quickest answer.
constexpr auto LeastTime = Duration::millis(10);

auto isSuccess(int status) -> bool
{
    return status >= 200 && status < 300;
}

/// Statuses that promise that the request did not run.
auto promisesNotRun(int status) -> bool
{
    return status == StatusUnavailable || status == StatusTooManyRequests || status == StatusRequestTimeout || status == StatusMisdirected;
}

} // namespace

// [SECTION] State

class Flow;

struct Forwarder::Private {
    ForwarderParts parts;
    ForwarderOptions options;
    ForwarderHooks hooks;
    std::shared_ptr<const Traffic> traffic;
    RouteTable routes;
    std::map<ServiceName, SharedRetryBudget> budgets;
    SharedRetryBudgetOptions budgetOptions;
    CrashRepeats crashes;
    int entries = 1;
    std::mt19937_64 random;
    std::unordered_set<std::shared_ptr<Flow>> flows;

    Private(ForwarderParts forwarderParts, ForwarderOptions forwarderOptions, ForwarderHooks forwarderHooks)
        : parts(forwarderParts)
        , options(forwarderOptions)
        , hooks(std::move(forwarderHooks))
        , random(forwarderOptions.seed)
    {
    }
    auto budget(const ServiceName &service) -> SharedRetryBudget &
    {
        auto [found, isNew] = budgets.try_emplace(service, budgetOptions);
        if (isNew) {
            found->second.setEntries(entries);
        }
        return found->second;
    }
    /// Requests don't get through to the target: kept connections to it are as dead.
    auto noteUnreachable(const TargetId &target) -> void;
    auto answer(const CallerExchangePtr &exchange, const RequestTraits &traits, int status, std::optional<Duration> retryAfter, const char *why) -> void;
};

/// One request.
class Flow : public std::enable_shared_from_this<Flow>
{
public:
    Flow(Forwarder::Private &owner, CallerExchangePtr exchange, RequestTraits traits, Route route, ServiceName service);

    auto start() -> void;
    auto isWaiting() const -> bool
    {
        return m_isWaiting;
    }
    auto tryAgain() -> void;
    auto abandon() -> void;

private:
    auto attempt() -> void;
    auto admit(const DispatchChoice &choice) -> bool;
    auto waitOrRefuse(DispatchRefusal refusal) -> void;
    auto send(const DispatchChoice &choice) -> void;
    auto requestHeaders(const DispatchChoice &choice) const -> HttpHeaders;
    auto checkSilence(std::size_t unackedBefore) -> void;
    auto onHead(const HttpHead &head) -> AnswerVerdict;
    auto onBody(std::string_view bytes) -> void;
    auto noteProgress() -> void;
    auto fingerprint() -> std::uint64_t;
    auto isBarred() -> bool;
    auto noteBreak() -> void;
    auto noteSuccess() -> void;
    auto onEnd(const PooledEnd &end) -> void;
    auto onAnswer() -> void;
    auto onFailure(const PooledEnd &end) -> void;
    auto onNotRun() -> void;
    auto beginPassing() -> void;
    auto passOn(std::string_view bytes) -> void;
    auto mayRunAgain() -> bool;
    auto maySendAgain() const -> bool;
    auto sendAgain() -> void;
    auto closeSend(SendResult result) -> void;
    auto passWholeAnswer() -> void;
    auto giveUp(int status, const char *why) -> void;
    auto onTimeout() -> void;
    auto onGone() -> void;
    auto finish(int status, const char *outcome) -> void;
    auto now() const -> TimePoint
    {
        return m_owner.parts.loop.now();
    }

    Forwarder::Private &m_owner;
    CallerExchangePtr m_exchange;
    RequestTraits m_traits;
    Route m_route;
    DispatchRequest m_request;
    TimePoint m_deadline; ///< the final answer is due
    Timer m_deadlineTimer;
    Timer m_waitTimer;
    Timer m_silenceTimer;
    std::shared_ptr<PooledHandle> m_call;
    SendId m_send;
    bool m_hasSend = false;
    TimePoint m_sentAt;
    TargetId m_target; ///< of the send in flight
    int m_sends = 0;
    int m_mayHaveRun = 0; ///< sends that weren't truthfully turned away
    HttpHead m_head; ///< of the answer in flight
    AnswerTraits m_answer;
    std::string m_held; ///< its body, as far as it is kept until it is whole
    bool m_hasHead = false;
    bool m_passing = false; ///< the body goes to the client as it comes
    std::optional<EventCursor> m_events; ///< of a stream that may go on elsewhere
    std::size_t m_passedBytes = 0;
    std::optional<Duration> m_firstAfter; ///< from the request's first byte to the answer's
    Duration m_longestPause; ///< between pieces of the answer
    TimePoint m_lastBytesAt;
    bool m_isWaiting = false;
    TimePoint m_missingToldAt;
    TimePoint m_connectFailedAt;
    bool m_isDemoted = false; ///< too late to be on time: after all that still can be
    Duration m_retryAfter = DefaultRetryAfter;
    std::optional<std::uint64_t> m_fingerprint;
    bool m_finished = false;
};

Flow::Flow(Forwarder::Private &owner, CallerExchangePtr exchange, RequestTraits traits, Route route, ServiceName service)
    : m_owner(owner)
    , m_exchange(std::move(exchange))
    , m_traits(std::move(traits))
    , m_route(std::move(route))
{
    m_request.service = std::move(service);
    m_request.model = m_traits.model;
    m_request.adapter = m_traits.adapter;
    m_request.prompt = promptChains(m_traits.model + "/" + m_traits.adapter, m_traits.promptParts);
    m_request.promptTokens = m_traits.promptTokens;
    m_request.outputTokens = m_traits.mostOutputTokens;
    m_request.band = m_route.band;
}

auto Flow::start() -> void
{
    const auto budget = m_traits.patience ? std::min(*m_traits.patience, m_route.timeout) : m_route.timeout;
    m_deadline = m_exchange->startedAt() + budget;
    m_exchange->onGone = [this] {
        onGone();
    };
    m_deadlineTimer = m_owner.parts.loop.after(m_deadline - now(), [this] { onTimeout(); });
    m_owner.budget(m_request.service).requested(now());
    m_owner.hooks.onRequest(m_request);
    attempt();
}

// [SECTION] Sending

auto Flow::attempt() -> void
{
    const auto self = shared_from_this();
    m_isWaiting = false;
    m_waitTimer.cancel();
    if (isBarred()) {
        m_retryAfter = BarredRetryAfter;
        giveUp(m_mayHaveRun > 0 ? StatusBadGateway : StatusUnavailable, "takes-targets-down");
        return;
    }
    if (m_deadline - now() < LeastTime) {
        giveUp(m_mayHaveRun > 0 ? StatusGatewayTimeout : StatusUnavailable, "no-time-left");
        return;
    }
    const auto choice = m_owner.parts.dispatcher.choose(m_request, now());
    if (choice.target.isEmpty()) {
        waitOrRefuse(choice.refusal);
        return;
    }
    if (choice.isLastResort && now() - m_connectFailedAt < ConnectPause) {
        m_isWaiting = true;
        m_waitTimer = m_owner.parts.loop.after(ConnectPause, [this] { attempt(); });
        return;
    }
    if (!m_request.model.empty() && !admit(choice)) {
        return;
    }
    send(choice);
}

/// On time if it can be; else after everything that still can, as long as it is answered at all. With all of them in one queue, a
/// runner that is asked for half more than it can do would soon answer every request late, and its streams would stall behind the reading.
auto Flow::admit(const DispatchChoice &choice) -> bool
{
    const auto elapsed = now() - m_exchange->startedAt();
    if (!m_request.adapter.empty() && choice.candidates == 1 && choice.backlog > m_route.goal * BusyShare) {
        m_owner.hooks.onOverloaded(m_request.service, m_request.model, m_request.adapter);
    }
    if (elapsed + choice.expectedFirst <= m_route.goal) {
        return true;
    }
    if (choice.expectedIfPatient + StreamTime < m_deadline - now()) {
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
    m_retryAfter = std::clamp(choice.backlog - m_route.goal * WaitShare, DefaultRetryAfter, LongestRetryAfter);
    giveUp(m_mayHaveRun > 0 ? StatusBadGateway : StatusUnavailable, "too-late");
    return false;
}

auto Flow::waitOrRefuse(DispatchRefusal refusal) -> void
{
    const bool isMissing = refusal == DispatchRefusal::NotHeld || refusal == DispatchRefusal::AdapterMissing;
    if (isMissing && now() - m_missingToldAt >= TellMissingPeriod) {
        m_missingToldAt = now();
        m_owner.hooks.onMissing(m_request.service, m_request.model, m_request.adapter);
    }
    const auto waitUntil = m_exchange->startedAt() + m_route.goal * WaitShare;
    if (refusal == DispatchRefusal::AllExcluded || now() >= waitUntil) {
        giveUp(m_mayHaveRun > 0 ? StatusBadGateway : StatusUnavailable, toString(refusal));
        return;
    }
    m_isWaiting = true;
    m_waitTimer = m_owner.parts.loop.after(std::min(waitUntil - now(), TellMissingPeriod), [this] { attempt(); });
}

auto Flow::tryAgain() -> void
{
    if (m_isWaiting) {
        attempt();
    }
}

auto Flow::requestHeaders(const DispatchChoice &choice) const -> HttpHeaders
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
    traits.patience = m_deadline - now();
    traits.target = choice.target;
    traits.urgency = static_cast<int>(m_request.band) * UrgencyStep + (m_isDemoted ? DemotedStep : 0);
    traits.lastEventId = m_events ? m_events->lastId() : std::string();
    m_owner.parts.protocol.rewriteRequest(headers, traits);
    return headers;
}

auto Flow::send(const DispatchChoice &choice) -> void
{
    ++m_sends;
    m_target = choice.target;
    m_hasHead = false;
    m_passing = false;
    m_held.clear();
    m_sentAt = now();
    m_send = m_owner.parts.dispatcher.sent(m_request, choice.target, now());
    m_hasSend = true;
    m_owner.hooks.onSent(choice.target, m_request, m_send);
    m_owner.parts.log.line("routing", "chosen")
        .add("id", m_traits.attempt.text())
        .add("route", m_route.name)
        .add("target", choice.target.text())
        .add("model", m_request.model)
        .add("adapter", m_request.adapter)
        .add("send", m_sends)
        .add("expected", choice.expectedFirst)
        .add("backlog", choice.backlog)
        .add("demoted", m_isDemoted)
        .add("unread", choice.unreadTokens)
        .add("prompt", m_request.promptTokens)
        .add("candidates", choice.candidates)
        .add("last-resort", choice.isLastResort)
        .add("left", m_deadline - now());
    PooledCall call;
    call.server = choice.address;
    call.method = m_exchange->head().method;
    call.target = m_exchange->head().target;
    call.headers = requestHeaders(choice);
    call.body = m_exchange->body();
    call.reuseWithin = m_route.mayRepeat() ? Duration::seconds(60) : m_owner.parts.reuse.limit(now());
    if (choice.isLastResort) {
        call.reuseWithin = Duration(); // whether a new connection is accepted shows without a risk
    }
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
    m_silenceTimer = m_owner.parts.loop.after(FirstSilenceCheck, [this] { checkSilence(0); });
}

/// A target that has lost its power or its path answers nothing, and the connection shows it only after seconds. But its system would have
/// acknowledged what was sent within a round trip: if it doesn't, nobody sends it more, and what may run twice goes elsewhere.
auto Flow::checkSilence(std::size_t unackedBefore) -> void
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
        m_silenceTimer = m_owner.parts.loop.after(SecondSilenceCheck, [this, unacked] { checkSilence(unacked); });
        return;
    }
    m_owner.parts.log.line("attempt", "silent")
        .add("id", m_traits.attempt.text())
        .add("target", m_target.text())
        .add("unacked", static_cast<std::uint64_t>(unacked));
    m_owner.noteUnreachable(m_target);
    if (m_exchange->hasBegun() || m_mayHaveRun + 1 >= m_route.attempts || !m_route.mayRepeat() || !maySendAgain()) {
        return;
    }
    std::exchange(m_call, nullptr)->cancel();
    ++m_mayHaveRun;
    closeSend(SendResult::NoEntry);
    m_request.excluded.push_back(m_target);
    sendAgain();
}

// [SECTION] Answers

auto Flow::onHead(const HttpHead &head) -> AnswerVerdict
{
    const auto answer = m_owner.parts.protocol.readAnswer(head);
    if (!answer.attempt.isEmpty() && answer.attempt != m_traits.attempt) {
        m_owner.parts.log.line("answer", "stray").add("id", m_traits.attempt.text()).add("target", m_target.text()).add("found", answer.attempt.text());
        return AnswerVerdict::Skip;
    }
    const bool isTrusted = isSuccess(head.status) ? answer.isSigned && !answer.isEncoded && !answer.attempt.isEmpty() : true;
    if (!isTrusted) {
        m_owner.parts.log.line("answer", "untrusted").add("id", m_traits.attempt.text()).add("target", m_target.text()).add("status", head.status);
        return AnswerVerdict::Refuse;
    }
    m_hasHead = true;
    m_head = head;
    m_answer = answer;
    if (isSuccess(head.status) && m_route.kind == RouteKind::Stream) {
        beginPassing();
    }
    return AnswerVerdict::Take;
}

/// The status and headers go to the client with the first bytes: a stream that breaks before any can still be sent elsewhere.
auto Flow::beginPassing() -> void
{
    m_passing = true;
    if (m_route.isResumable && !m_events) {
        m_events.emplace([this](std::string_view raw) { passOn(raw); });
    }
}

auto Flow::onBody(std::string_view bytes) -> void
{
    const auto self = shared_from_this();
    if (m_finished) {
        return;
    }
    m_owner.parts.dispatcher.firstToken(m_send, now());
    noteProgress();
    if (!m_passing) {
        m_held.append(bytes);
        const bool isTooLong = m_held.size() > m_owner.options.heldAnswer;
        if (isTooLong && !m_exchange->hasBegun()) {
            m_passing = true;
            const auto held = std::move(m_held);
            m_held.clear();
            passOn(held);
        }
        return;
    }
    if (m_events) {
        m_events->feed(bytes);
    } else {
        passOn(bytes);
    }
}

auto Flow::noteProgress() -> void
{
    if (!m_firstAfter) {
        m_firstAfter = now() - m_exchange->startedAt();
    } else {
        m_longestPause = std::max(m_longestPause, now() - m_lastBytesAt);
    }
    m_lastBytesAt = now();
}

namespace
{

/// The target's headers, without those of its connection.
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

auto Flow::passOn(std::string_view bytes) -> void
{
    if (m_finished || bytes.empty()) {
        return;
    }
    if (!m_exchange->hasBegun()) {
        m_exchange->begin(m_head.status, answerHeaders(m_head), m_events ? std::nullopt : m_head.length);
        m_exchange->onDrained = [this] {
            if (m_call) {
                m_call->resume();
            }
        };
    }
    m_passedBytes += bytes.size();
    m_exchange->write(bytes);
    if (m_exchange->pendingBytes() > m_owner.options.streamBuffer && m_call) {
        m_call->pause();
    }
}

auto Flow::onEnd(const PooledEnd &end) -> void
{
    const auto self = shared_from_this();
    m_call = nullptr;
    if (m_finished) {
        return;
    }
    if (end.end == CallEnd::Complete) {
        onAnswer();
    } else {
        onFailure(end);
    }
}

/// A whole answer has come.
auto Flow::onAnswer() -> void
{
    if (m_answer.isNotRun) {
        onNotRun();
        return;
    }
    ++m_mayHaveRun;
    const bool isFailure = m_head.status >= StatusServerError || promisesNotRun(m_head.status);
    closeSend(isFailure ? SendResult::Failed : SendResult::Delivered);
    if (isFailure && !m_passing && mayRunAgain() && maySendAgain()) {
        sendAgain();
        return;
    }
    if (!m_passing && m_exchange->hasBegun()) {
        // The stream had begun at another target, and this one doesn't go on with it: its answer must not look like the stream's end.
        giveUp(StatusBadGateway, "not-resumed");
        return;
    }
    if (m_passing) {
        if (m_events && m_events->hasPartial()) {
            m_events->dropPartial();
            finish(m_head.status, "cut");
            m_exchange->abort();
            return;
        }
        if (!m_exchange->hasBegun()) {
            m_exchange->begin(m_head.status, answerHeaders(m_head), std::nullopt);
        }
        noteSuccess();
        finish(m_head.status, "delivered");
        m_exchange->finish();
        return;
    }
    passWholeAnswer();
}

auto Flow::passWholeAnswer() -> void
{
    // Of what may have run nobody must say that it didn't.
    if (promisesNotRun(m_head.status)) {
        giveUp(StatusBadGateway, "target-failed");
        return;
    }
    const bool isDelivered = isSuccess(m_head.status);
    if (isDelivered) {
        noteSuccess();
    }
    finish(m_head.status, isDelivered ? "delivered" : "target-failed");
    m_exchange->respond(m_head.status, answerHeaders(m_head), m_held);
}

/// The target says that it did not run the request: it may go elsewhere, whatever its kind.
auto Flow::onNotRun() -> void
{
    closeSend(SendResult::Rejected);
    m_owner.parts.log.line("attempt", "not-run").add("id", m_traits.attempt.text()).add("target", m_target.text()).add("status", m_head.status);
    if (m_answer.isMisdirected) {
        m_owner.hooks.onMisdirected(m_target, m_answer.target, m_request.model, m_request.adapter);
    }
    m_request.excluded.push_back(m_target);
    if (maySendAgain()) {
        sendAgain();
        return;
    }
    giveUp(m_mayHaveRun > 0 ? StatusBadGateway : StatusUnavailable, "not-run");
}

auto Flow::onFailure(const PooledEnd &end) -> void
{
    const bool neverSent = end.end == CallEnd::NotSent;
    const bool hadNoEntry = !m_hasHead && !end.wasReused;
    closeSend(neverSent ? SendResult::Rejected : hadNoEntry ? SendResult::NoEntry : SendResult::Failed);
    m_owner.parts.log.line("attempt", neverSent ? "not-connected" : "broken")
        .add("id", m_traits.attempt.text())
        .add("target", m_target.text())
        .add("after", now() - m_sentAt)
        .add("reused", end.wasReused)
        .add("connection", toString(end.connection))
        .add("head", m_hasHead)
        .add("passed", static_cast<std::uint64_t>(m_passedBytes));
    if (neverSent) {
        m_connectFailedAt = now();
        m_owner.noteUnreachable(m_target);
        attempt();
        return;
    }
    if (end.wasReused && !m_hasHead && m_owner.parts.reuse.brokeOff(end.idleBefore, now() - m_sentAt, now())) {
        m_owner.parts.log.line("connections", "dropped-while-idle").add("target", m_target.text()).add("idle", end.idleBefore);
    }
    m_request.excluded.push_back(m_target);
    ++m_mayHaveRun;
    noteBreak();
    if (m_events) {
        m_events->dropPartial();
    }
    const bool canGoOn = !m_exchange->hasBegun() || m_events;
    if (canGoOn && mayRunAgain() && maySendAgain()) {
        sendAgain();
        return;
    }
    giveUp(StatusBadGateway, "target-broke-off");
}

/// Made once, and only if it is asked for: it goes over the whole body, and waiting requests are looked at several times a second.
auto Flow::fingerprint() -> std::uint64_t
{
    if (!m_fingerprint) {
        const auto &head = m_exchange->head();
        m_fingerprint = requestFingerprint(findHeader(head.headers, "host").value_or(std::string_view()), head.target, m_exchange->body());
    }
    return *m_fingerprint;
}

auto Flow::isBarred() -> bool
{
    return !m_owner.crashes.isEmpty() && m_owner.crashes.isBarred(fingerprint(), now());
}

auto Flow::noteBreak() -> void
{
    const auto request = fingerprint();
    if (m_owner.crashes.brokeOff(request, m_sentAt, now())) {
        m_owner.hooks.onCrashRepeat(request, m_owner.crashes.breaks(request));
    }
}

auto Flow::noteSuccess() -> void
{
    if (!m_owner.crashes.isEmpty()) {
        m_owner.crashes.succeeded(fingerprint());
    }
}

auto Flow::mayRunAgain() -> bool
{
    return m_route.mayRepeat() && m_mayHaveRun < m_route.attempts && !isBarred();
}

auto Flow::maySendAgain() const -> bool
{
    return m_sends < m_owner.options.mostSends && m_owner.budget(m_request.service).left(now()) >= 1;
}

auto Flow::sendAgain() -> void
{
    m_owner.budget(m_request.service).sentAgain(now());
    attempt();
}

auto Flow::closeSend(SendResult result) -> void
{
    if (m_hasSend) {
        m_hasSend = false;
        m_owner.parts.dispatcher.ended(m_send, result, now());
    }
}

// [SECTION] Ending

auto Flow::giveUp(int status, const char *why) -> void
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

auto Flow::onTimeout() -> void
{
    const auto self = shared_from_this();
    const bool wasSent = m_mayHaveRun > 0 || (m_call && m_call->wasSent());
    giveUp(wasSent ? StatusGatewayTimeout : StatusUnavailable, "timeout");
}

auto Flow::onGone() -> void
{
    const auto self = shared_from_this();
    finish(0, "caller-left");
}

auto Flow::abandon() -> void
{
    const auto self = shared_from_this();
    const bool wasSent = m_mayHaveRun > 0 || (m_call && m_call->wasSent());
    giveUp(wasSent ? StatusBadGateway : StatusUnavailable, "stopped");
}

/// Nothing of the request is left here after this; its answer is the caller's of this function to write.
auto Flow::finish(int status, const char *outcome) -> void
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_isWaiting = false;
    m_deadlineTimer.cancel();
    m_waitTimer.cancel();
    m_silenceTimer.cancel();
    m_exchange->onGone = nullptr;
    m_exchange->onDrained = nullptr;
    if (m_call) {
        const auto call = std::exchange(m_call, nullptr);
        call->cancel();
    }
    closeSend(SendResult::Cancelled);
    const auto took = now() - m_exchange->startedAt();
    m_owner.parts.log.line("request", "answered")
        .add("id", m_traits.attempt.text())
        .add("status", status)
        .add("outcome", outcome)
        .add("target", m_target.text())
        .add("sends", m_sends)
        .add("demoted", m_isDemoted)
        .add("first", m_firstAfter.value_or(Duration()))
        .add("longest-pause", m_longestPause)
        .add("took", took);
    m_owner.parts.metrics.add("requests_total{outcome=\"" + std::string(outcome) + "\"}");
    m_owner.parts.metrics.observe("request_seconds", took.inSeconds());
    m_owner.flows.erase(shared_from_this());
}

auto Forwarder::Private::noteUnreachable(const TargetId &target) -> void
{
    parts.dispatcher.unreachable(target, parts.loop.now());
    if (const auto *about = parts.dispatcher.description(target)) {
        parts.pool.forget(about->address);
    }
}

auto Forwarder::Private::answer(const CallerExchangePtr &exchange, const RequestTraits &traits, int status, std::optional<Duration> retryAfter, const char *why)
    -> void
{
    parts.log.line("request", "refused")
        .add("id", traits.attempt.text())
        .add("status", status)
        .add("why", why)
        .add("host", findHeader(exchange->head().headers, "host").value_or(""))
        .add("path", exchange->head().target)
        .add("traffic", traffic ? traffic->version.value() : 0);
    parts.metrics.add("requests_total{outcome=\"" + std::string(why) + "\"}");
    exchange->respond(status, parts.protocol.ownAnswerHeaders(traits.attempt, retryAfter), "");
}

// [SECTION] Forwarder

Forwarder::Forwarder(ForwarderParts parts, ForwarderOptions options, ForwarderHooks hooks)
    : d(std::make_unique<Private>(parts, options, std::move(hooks)))
{
}

Forwarder::~Forwarder()
{
    abandonAll();
}

auto Forwarder::open() const -> std::size_t
{
    return d->flows.size();
}

auto Forwarder::adopt(std::shared_ptr<const Traffic> traffic) -> void
{
    d->traffic = std::move(traffic);
    d->routes = RouteTable(*d->traffic);
}

auto Forwarder::setRetryBudget(const SharedRetryBudgetOptions &options) -> void
{
    d->budgetOptions = options;
    for (auto &[service, budget] : d->budgets) {
        budget.setOptions(options);
    }
}

auto Forwarder::setEntries(int live) -> void
{
    d->entries = live;
    for (auto &[service, budget] : d->budgets) {
        budget.setEntries(live);
    }
}

auto Forwarder::handle(const CallerExchangePtr &exchange) -> void
{
    const auto traits = d->parts.protocol.readRequest(exchange->head());
    if (!d->traffic) {
        d->answer(exchange, traits, StatusUnavailable, DefaultRetryAfter, "no-traffic-declared");
        return;
    }
    if (traits.attempt.isEmpty() || traits.isPatienceMalformed) {
        d->answer(exchange, traits, StatusBadRequest, std::nullopt, traits.attempt.isEmpty() ? "no-attempt-id" : "bad-deadline");
        return;
    }
    const auto host = findHeader(exchange->head().headers, "host").value_or(std::string_view());
    const auto *route = d->routes.find(host, exchange->head().target);
    if (route == nullptr) {
        const bool isCertain = d->hooks.isTrafficCurrent();
        d->answer(exchange, traits, isCertain ? StatusNotFound : StatusUnavailable, isCertain ? std::nullopt : std::optional(DefaultRetryAfter), "no-route");
        return;
    }
    const auto service = pickService(*route, std::uniform_real_distribution<double>(0, 1)(d->random));
    auto flow = std::make_shared<Flow>(*d, exchange, traits, *route, service);
    d->flows.insert(flow);
    flow->start();
}

auto Forwarder::crashRepeatHeard(std::uint64_t fingerprint, int breaks) -> void
{
    d->crashes.heard(fingerprint, breaks, d->parts.loop.now());
}

auto Forwarder::pump() -> void
{
    d->crashes.expire(d->parts.loop.now());
    const std::vector<std::shared_ptr<Flow>> all(d->flows.begin(), d->flows.end());
    for (const auto &flow : all) {
        flow->tryAgain();
    }
}

auto Forwarder::abandonAll() -> int
{
    const std::vector<std::shared_ptr<Flow>> all(d->flows.begin(), d->flows.end());
    for (const auto &flow : all) {
        flow->abandon();
    }
    return static_cast<int>(all.size());
}

} // namespace KingCup
