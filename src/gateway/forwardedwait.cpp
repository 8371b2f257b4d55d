// Requests that no target can take now: how long they wait, and for what.
#include "gateway/forwardedrequest.h"

#include "net/httpstatus.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// Requests for a model that no target holds wait for up to this multiple of its load time: another replica is evicted first, and concurrent loads
/// share the weight store.
constexpr double LoadWaitFactor = 1.3;
/// Requests that only a target over its request limit can take wait for up to this multiple of the time between two of its permits.
constexpr double PermitWaitFactor = 1.5;
/// How long a request waits for the reply to the query for a permit before it goes to another target: some round trips between zones.
constexpr auto PermitReplyTime = Duration::millis(15);
/// Upper limit of both waits, as a share of the request's time budget: a client that is refused then still has time to retry.
constexpr double MaxWaitBudgetShare = 0.5;
/// Period at which a request that waits for a slot looks for a target with free slots by this gateway's own view.
constexpr auto SlotRecheckPeriod = Duration::millis(250);
/// Period at which a waiting request asks the lease holder for its model again: the last message may have been lost, or there was no holder yet.
constexpr auto LoadRequestPeriod = Duration::millis(300);

} // namespace

/// How long a request waits for a target, counted from its start. A model that no target holds is being loaded, and a target over its request limit takes the
/// next request soon: callers are better served late than not at all.
auto ForwardedRequest::maxWait(const DispatchChoice &choice) const -> Duration
{
    const auto goalWait = m_route.goal * MaxWaitGoalShare;
    auto wait = Duration();
    if (choice.refusal == DispatchRefusal::NotHeld) {
        wait = m_owner.parts.dispatcher.loadTime(m_request.service, m_request.model) * LoadWaitFactor;
    } else if (choice.refusal == DispatchRefusal::OverLimit) {
        wait = m_owner.permitInterval(choice.overLimit) * PermitWaitFactor;
    }
    const auto left = (m_deadline - m_exchange->startedAt()) * MaxWaitBudgetShare;
    return std::max(goalWait, std::min(wait, left));
}

auto ForwardedRequest::waitOrRefuse(const DispatchChoice &choice) -> void
{
    const auto refusal = choice.refusal;
    const bool isMissing = refusal == DispatchRefusal::NotHeld || refusal == DispatchRefusal::AdapterMissing;
    if (isMissing && now() - m_loadRequestedAt >= LoadRequestPeriod) {
        m_loadRequestedAt = now();
        m_owner.hooks.onMissing(m_request.service, m_request.model, m_request.adapter, m_request.softwareVersion.value_or(SoftwareVersion()));
    }
    const bool isUnavailable
        = refusal == DispatchRefusal::Paused || refusal == DispatchRefusal::OverLimit || (refusal == DispatchRefusal::AllExcluded && choice.canLoadAdapter);
    if (isUnavailable && !m_request.adapter.empty()) {
        m_owner.hooks.onOverloaded(m_request.service, m_request.model, m_request.adapter);
    }
    if (refusal == DispatchRefusal::Paused) {
        m_retryAfter = std::max(*choice.pausedUntil - now(), DefaultRetryAfter);
    }
    const auto waitUntil = m_exchange->startedAt() + maxWait(choice);
    if (!isWorthWaiting(choice, waitUntil) || now() >= waitUntil) {
        abandon(m_possibleRuns > 0 ? HttpStatus::BadGateway : HttpStatus::Unavailable, toString(refusal));
        return;
    }
    auto wait = std::min(waitUntil - now(), LoadRequestPeriod);
    if (refusal == DispatchRefusal::Paused) {
        wait = std::min(wait, *choice.pausedUntil - now());
    }
    tryAgainAfter(wait);
}

/// Whether a target may take the request before `waitUntil`, as far as known now. If that needs a permit, the request joins those that wait for one.
auto ForwardedRequest::isWorthWaiting(const DispatchChoice &choice, TimePoint waitUntil) -> bool
{
    switch (choice.refusal) {
    case DispatchRefusal::AllExcluded:
        return choice.canLoadAdapter;
    case DispatchRefusal::Paused:
        return choice.canLoadAdapter || *choice.pausedUntil < waitUntil;
    case DispatchRefusal::OverLimit:
        return joinPermitQueue(choice.overLimit, waitUntil) || choice.canLoadAdapter;
    default:
        return true;
    }
}

/// Lets the request wait until the arbiter of its best target has replied. False if it has waited long enough.
auto ForwardedRequest::awaitReply() -> bool
{
    m_replyDueAt = m_replyDueAt.value_or(now() + PermitReplyTime);
    if (now() >= *m_replyDueAt) {
        return false;
    }
    tryAgainAfter(*m_replyDueAt - now());
    return true;
}

/// Lets the request wait for a permit of the target. False if it can't get one in time: too many wait already.
auto ForwardedRequest::joinPermitQueue(const TargetIncarnation &target, TimePoint waitUntil) -> bool
{
    if (m_permitTarget == target) {
        return true;
    }
    leavePermitQueue();
    auto &waiting = m_owner.permitQueues[target];
    const auto expected = m_owner.permitInterval(target) * (waiting + 1);
    m_retryAfter = std::clamp(expected, DefaultRetryAfter, MaxRetryAfter);
    if (waiting > 0 && now() + expected > waitUntil) {
        return false;
    }
    ++waiting;
    m_permitTarget = target;
    return true;
}

auto ForwardedRequest::leavePermitQueue() -> void
{
    if (!m_permitTarget) {
        return;
    }
    const auto found = m_owner.permitQueues.find(*m_permitTarget);
    if (found != m_owner.permitQueues.end() && --found->second <= 0) {
        m_owner.permitQueues.erase(found);
    }
    m_permitTarget.reset();
}

auto ForwardedRequest::ownBand() const -> UrgencyBand
{
    return m_grant && m_grant->priority ? bandOf(m_route, *m_grant->priority) : m_route.band;
}

auto ForwardedRequest::slotRequest() const -> std::string
{
    return toString(SlotRequestKey {m_owner.parts.slots.self(), m_slot});
}

/// The latest start at a target that serves the request before its deadline and before its client gives up. `ownTime`: from the start to the first token.
auto ForwardedRequest::latestStart(Duration ownTime) const -> TimePoint
{
    const auto latest = m_deadline - MinStreamTime - ownTime;
    const bool givesUp = m_route.callerGiveUpTime > Duration();
    return givesUp ? std::min(latest, m_exchange->startedAt() + m_route.callerGiveUpTime - ownTime) : latest;
}

auto ForwardedRequest::slotDemand(const DispatchChoice &choice) -> SlotDemand
{
    const auto ownTime = choice.expectedFirst - choice.backlog;
    SlotDemand demand;
    demand.fingerprint = subjects().request.value;
    demand.account = m_grant ? m_grant->account : AccountName();
    demand.band = ownBand();
    demand.goalAt = m_exchange->startedAt() + m_route.goal - ownTime;
    demand.deadline = latestStart(ownTime);
    demand.arrivedAt = m_exchange->startedAt();
    demand.tokens = m_request.promptTokens + m_request.outputTokens;
    return demand;
}

/// After a first query without a reply, a target that takes the request only in the unseen case that a slot has become free isn't tried yet: it would reject
/// the request, with all others that waited at the same arbiter.
auto ForwardedRequest::shouldAskNextArbiter(const DispatchChoice &choice) const -> bool
{
    const auto &dispatcher = m_owner.parts.dispatcher;
    return m_request.mayOverfill && m_unanswered == 1 && !choice.target.isEmpty() && !m_request.model.empty()
        && dispatcher.running(choice.target, m_owner.parts.loop.now()) >= dispatcher.capacity(choice.target);
}

/// Lets the request wait for a slot of its best targets, which are all full.
auto ForwardedRequest::waitForSlot(const DispatchChoice &choice) -> void
{
    if (!m_request.adapter.empty() && choice.full.size() == 1) {
        m_owner.hooks.onOverloaded(m_request.service, m_request.model, m_request.adapter);
    }
    if (m_slot == 0) {
        m_slot = m_owner.parts.slots.wait(slotDemand(choice), choice.full, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->tryAgain();
            }
        });
        if (m_slot == 0) {
            m_request.mayOverfill = true; // too many requests wait already: decide as without arbiters
            attempt();
            return;
        }
        m_owner.parts.log.line("slots", "waiting")
            .add("id", m_traits.attempt.text())
            .add("request", slotRequest())
            .add("target", choice.full.front().id.text())
            .add("second", choice.full.size() > 1 ? choice.full[1].id.text() : "-")
            .add("arbiter", m_owner.parts.slots.arbiter(choice.full.front()))
            .add("band", static_cast<int>(ownBand()))
            .add("backlog", choice.backlog)
            .add("left", m_deadline - now());
        if (m_owner.parts.slots.state(m_slot).kind != SlotState::Waiting) {
            attempt(); // this gateway is the arbiter, and has decided already
            return;
        }
    }
    tryAgainAfter(SlotRecheckPeriod);
}

/// Applies what the arbiters have decided on a request that waits for a slot. False if the request has been rejected.
auto ForwardedRequest::readSlotState() -> bool
{
    m_request.granted.reset();
    if (m_slot == 0) {
        return true;
    }
    const auto state = m_owner.parts.slots.state(m_slot);
    switch (state.kind) {
    case SlotState::Waiting:
        return true;
    case SlotState::Granted:
        m_request.granted = state.target;
        m_owner.parts.log.line("slots", "granted")
            .add("id", m_traits.attempt.text())
            .add("request", slotRequest())
            .add("target", state.target.id.text())
            .add("born", state.target.startedAtMillis)
            .add("waited", state.waited);
        return true;
    case SlotState::Unanswered:
    case SlotState::None:
        m_owner.parts.log.line("slots", "unanswered").add("id", m_traits.attempt.text()).add("request", slotRequest());
        m_owner.parts.metrics.add("slots_unanswered_total");
        leaveSlotQueue();
        ++m_unanswered;
        m_request.mayOverfill = true;
        return true;
    case SlotState::Rejected:
        break;
    }
    m_owner.parts.log.line("slots", "rejected")
        .add("id", m_traits.attempt.text())
        .add("request", slotRequest())
        .add("why", toString(state.reason))
        .add("band", static_cast<int>(ownBand()))
        .add("instead", state.instead)
        .add("retry-after", state.retryAfter)
        .add("left", m_deadline - now());
    m_retryAfter = state.retryAfter > Duration() ? state.retryAfter : DefaultRetryAfter;
    abandon(m_possibleRuns > 0 ? HttpStatus::BadGateway : HttpStatus::Unavailable, "no-slot");
    return false;
}

auto ForwardedRequest::leaveSlotQueue() -> void
{
    m_request.granted.reset();
    m_request.mayOverfill = false;
    if (m_slot != 0) {
        m_owner.parts.slots.withdraw(std::exchange(m_slot, 0));
    }
}

/// A request with a granted slot is sent in any case: its arbiter has compared it with the others that wait. If it can no longer meet its goal, it runs after
/// the requests at its target that can.
auto ForwardedRequest::demoteLate(const DispatchChoice &choice) -> void
{
    const auto ownTime = choice.expectedFirst - choice.backlog;
    if (now() - m_exchange->startedAt() + ownTime > m_route.goal) {
        m_isDemoted = true;
        m_request.band = UrgencyBand::Patient;
    }
}

auto ForwardedRequest::tryAgain() -> void
{
    if (m_isWaiting) {
        attempt();
    }
}

} // namespace KingCup
