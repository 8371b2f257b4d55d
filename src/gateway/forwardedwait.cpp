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

auto ForwardedRequest::tryAgain() -> void
{
    if (m_isWaiting) {
        attempt();
    }
}

} // namespace KingCup
