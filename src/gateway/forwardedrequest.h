// One request that a gateway forwards: from the choice of a target to the last byte of the answer, with as many sends as its route and the
// retry budget allow. Internal to the forwarder.
//
// Index of sections (search for [SECTION]):
//   State             state that all requests of the forwarder share
//   ForwardedRequest  one request
#pragma once

#include "core/eventboundary.h"
#include "core/eventcursor.h"
#include "gateway/forwarder.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>

namespace KingCup
{

/// Retry-After where no better estimate is known: long enough for a change of membership to arrive.
constexpr auto DefaultRetryAfter = Duration::millis(300);

/// Maximum Retry-After of requests that are refused because of overload. An overload of a few seconds is over by then, and a longer one won't end soon.
/// Clients come back within a third of the time that they have left.
constexpr auto MaxRetryAfter = Duration::millis(1500);
/// Requests that no target can take wait no longer than this share of their goal. Then they are refused, while the client still has time to retry.
constexpr double MaxWaitGoalShare = 0.6;
/// Time that a stream of about a hundred tokens takes after its first token. With less time left before the deadline, it would be cut off.
constexpr auto MinStreamTime = Duration::millis(600);

/// Outcome of a request whose answer was passed on whole.
constexpr auto DeliveredOutcome = "delivered";

/// Whether a client may conclude from the status that its request did not run.
auto promisesNotRun(int status) -> bool;

// [SECTION] State

class ForwardedRequest;

struct Forwarder::Private {
    ForwarderParts parts;
    ForwarderOptions options;
    ForwarderHooks hooks;
    std::shared_ptr<const Traffic> traffic;
    RouteTable routes;
    std::map<ServiceName, SharedRetryBudget> budgets;
    SharedRetryBudgetOptions budgetOptions;
    std::map<TargetIncarnation, int> permitQueues; ///< requests that wait for a permit, by target
    int gatewayCount = 1;
    AnswerTimes answerTimes; ///< by the name of the route
    std::optional<StopSchedule> stop; ///< set once the process is stopping
    std::mt19937_64 random;
    std::unordered_set<std::shared_ptr<ForwardedRequest>> requests;

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
            found->second.setGatewayCount(gatewayCount);
        }
        return found->second;
    }
    /// Mean time between two permits of a target with a request limit.
    auto permitInterval(const TargetIncarnation &target) const -> Duration
    {
        return Duration::seconds(1 / std::max(parts.limits.perSecond(target).value_or(1), RequestPermitOptions().minPerSecond));
    }
    /// Reports to the dispatcher that requests don't reach the target, and closes the idle connections to it, which are broken as well.
    auto markUnreachable(const TargetId &target) -> void;
    /// Answers a request that isn't forwarded, and logs why.
    auto answer(const CallerExchangePtr &exchange, const RequestTraits &traits, int status, std::optional<Duration> retryAfter, const char *why) -> void;
    /// Charges the request to its account. If the account may not run it, answers it and returns nothing.
    auto admit(const CallerExchangePtr &exchange, const RequestTraits &traits) -> std::optional<AccountGrant>;
    auto reject(const CallerExchangePtr &exchange, const RequestTraits &traits, const AccessDecision &decision) -> void;
    auto countAccount(const std::string &what, const AccountName &account, double amount) -> void;
};

// [SECTION] ForwardedRequest

/// Held by shared_ptr so that callbacks can keep the request alive while they run. It ends exactly once, in finish().
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(Forwarder::Private &owner, CallerExchangePtr exchange, RequestTraits traits, Route route, ServiceName service);

    auto setGrant(AccountGrant grant) -> void; ///< call before start(); without a grant the request belongs to no account

    auto start() -> void;
    auto isWaiting() const -> bool
    {
        return m_isWaiting;
    }
    auto startedAt() const -> TimePoint
    {
        return m_exchange->startedAt();
    }
    auto tryAgain() -> void;
    auto abandon() -> void;

private:
    auto findOrigin() -> void;
    auto goOnAt(const StreamOrigin &origin) -> void;
    auto begin() -> void;
    auto attempt() -> void;
    auto tryAgainAfter(Duration delay) -> void; ///< unless tryAgain() is called sooner
    auto isStillGranted() -> bool;
    auto fitsBeforeStop() -> bool;
    auto certainlyDidNotRun() const -> bool;
    auto admit(const DispatchChoice &choice) -> bool;
    auto maxWait(const DispatchChoice &choice) const -> Duration;
    auto waitOrRefuse(const DispatchChoice &choice) -> void;
    auto isWorthWaiting(const DispatchChoice &choice, TimePoint waitUntil) -> bool;
    auto joinPermitQueue(const TargetIncarnation &target, TimePoint waitUntil) -> bool;
    auto leavePermitQueue() -> void;
    auto awaitReply() -> bool;
    auto readSlotState() -> bool;
    auto waitForSlot(const DispatchChoice &choice) -> void;
    auto shouldAskNextArbiter(const DispatchChoice &choice) const -> bool;
    auto slotDemand(const DispatchChoice &choice) -> SlotDemand;
    auto leaveSlotQueue() -> void;
    auto slotRequest() const -> std::string; ///< "GATEWAY/NUMBER", as in the lines of the arbiters
    auto demoteLate(const DispatchChoice &choice) -> void;
    auto ownBand() const -> UrgencyBand; ///< before a demotion
    auto latestStart(Duration ownTime) const -> TimePoint;
    auto logChoice(const DispatchChoice &choice) -> void;
    auto send(const DispatchChoice &choice, bool isProbe) -> void;
    auto requestHeaders(const DispatchChoice &choice) const -> HttpHeaders;
    auto checkUnacknowledged(std::size_t unackedBefore) -> void;
    auto onHead(const HttpHead &head) -> AnswerVerdict;
    auto onBody(std::string_view bytes) -> void;
    auto recordProgress() -> void;
    auto reportEvents() -> void;
    auto subjects() -> const CrashSubjects &; ///< what may make the request crash its targets
    auto needsGrant() -> bool; ///< it was in flight at ends of targets, and may run only as a probe
    auto choose() -> DispatchChoice;
    auto mayBecomeProbe() -> bool;
    auto becomeProbe() -> bool;
    auto awaitProbe() -> void;
    auto logRunEnd(const char *how) -> void;
    auto partList() const -> std::string;
    auto copiesInFlight() -> std::string;
    auto addAnswerEnd(LogLine &line) const -> void;
    auto recordSuccess() -> void;
    auto breakOff(const char *why) -> void;
    auto onEnd(const PooledEnd &end) -> void;
    auto onAnswer() -> void;
    auto onFailure(const PooledEnd &end) -> void;
    auto onNotRun() -> void;
    auto isEventStream() const -> bool;
    auto boundary() const -> const EventBoundary &; ///< of the latest answer, if it is a stream of events
    auto isBrokenOff() const -> bool;
    auto beginForwarding() -> void;
    auto forwardBytes(std::string_view bytes) -> void;
    auto mayRunAgain() const -> bool;
    auto maySendAgain() const -> bool;
    auto sendAgain() -> void;
    auto closeSend(SendResult result) -> void;
    auto forwardWholeAnswer() -> void;
    auto abandon(int status, const char *why) -> void;
    auto onTimeout() -> void;
    auto onGone() -> void;
    auto endIfCallerLeft() -> bool; ///< true if it has ended the request
    auto lateness() const -> const char *; ///< which goals of the route the answer missed: "first" bytes, "pause", "both", or "no"
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
    std::optional<AccountGrant> m_grant;
    TimePoint m_deadline; ///< when the final answer is due
    Timer m_deadlineTimer;
    Timer m_waitTimer;
    Timer m_unackedTimer;
    std::shared_ptr<PooledHandle> m_call;
    SendId m_send;
    bool m_hasSend = false;
    TimePoint m_sentAt;
    TargetId m_target; ///< of the latest send
    TargetIncarnation m_incarnation; ///< of m_target
    int m_sends = 0;
    int m_possibleRuns = 0; ///< ended sends whose request may have run
    HttpHead m_head; ///< of the latest answer
    AnswerTraits m_answer;
    std::string m_bufferedBody; ///< body of the latest answer, if it is kept until it is complete
    SoftwareVersion m_softwareVersion; ///< of m_target
    std::optional<StreamKey> m_stream; ///< set if the stream may be taken up by its client, so that its beginning must be known
    std::optional<LookupId> m_lookup; ///< of where a stream began that the client takes up
    bool m_isRecorded = false; ///< OriginTask::began() was called
    bool m_isEventStream = false; ///< the latest answer is a stream of events
    EventBoundary m_boundary; ///< of the latest answer, unless m_events follows it
    std::optional<TcpEnd> m_connectionEnd; ///< how the latest answer's connection ended; nothing: the target didn't end it
    bool m_hasHead = false;
    bool m_isForwarding = false; ///< the body goes to the client as it arrives
    std::optional<EventCursor> m_events; ///< set for a stream that another target may resume
    std::size_t m_forwardedBytes = 0; ///< bytes of bodies sent to the client, over all sends
    std::size_t m_answerBytes = 0; ///< bytes of the body received from the latest send
    bool m_wasPaused = false; ///< reading from the target was paused, since the client didn't read as fast
    std::uint64_t m_reportedEvents = 0; ///< events of the latest answer that the dispatcher knows of
    std::optional<Duration> m_firstBytesAfter; ///< from the request's first byte to the first bytes of the answer's body
    Duration m_longestPause; ///< between two pieces of the answer's body
    Duration m_pauseEndedAfter; ///< from the request's first byte to the end of the longest pause
    TimePoint m_lastBytesAt;
    bool m_isWaiting = false;
    std::optional<TimePoint> m_replyDueAt; ///< until when it waits for an arbiter's reply, once it has asked
    std::optional<TargetIncarnation> m_permitTarget; ///< the target whose permit this request waits for
    std::uint64_t m_slot = 0; ///< number of this request at SlotExchange while it waits for a slot of a full target, or holds one
    int m_unanswered = 0; ///< times that it waited in vain for an arbiter's reply since the last send
    bool m_wasGranted = false; ///< the latest send used a granted slot
    TimePoint m_loadRequestedAt;
    TimePoint m_connectFailedAt;
    bool m_isDemoted = false; ///< expected to miss its goal: runs after all requests that can still meet theirs
    Duration m_retryAfter = DefaultRetryAfter;
    std::optional<CrashSubjects> m_subjects;
    std::vector<CrashSubject> m_sharedParts; ///< of the prompt
    ProbeAnswer m_probe; ///< granted for the latest send or the next one
    bool m_isProbe = false; ///< the latest send is a probe
    std::optional<TimePoint> m_probeAwaitedUntil; ///< until when it waits for the result of another probe, once it has begun to
    bool m_finished = false;
};

} // namespace KingCup
