#include "core/retry.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// Whether another attempt is expected to end before the deadline.
auto isInTime(const RequestFacts &request, TimePoint now) -> bool
{
    return now + request.expectedService < request.deadline;
}

auto giveUp(const AttemptEnd &end, const std::string &why) -> RetryDecision
{
    // Once a part of the answer was forwarded, "not run" would be false, even if the last attempt didn't run.
    const bool notRun = end.outcome == AttemptOutcome::NotRun && !end.answerBegan;
    return {notRun ? RetryAction::SayNotRun : RetryAction::SayUnknown, 0, why};
}

auto tryAgain(const RequestFacts &request, const AttemptEnd &end) -> RetryDecision
{
    if (!end.answerBegan) {
        return {RetryAction::Retry, 0, end.outcome == AttemptOutcome::NotRun ? "not-run " + end.code : "failed " + end.code};
    }
    if (request.resumable) {
        return {RetryAction::Resume, end.deliveredTokens, "resume after " + std::to_string(end.deliveredTokens) + " tokens"};
    }
    return {RetryAction::SayUnknown, 0, "answer began and can't be resumed"};
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
{
}

auto RetryBudget::available(const ServiceName &service) const -> double
{
    const auto found = m_tokens.find(service);
    return found == m_tokens.end() ? m_options.maxTokens : found->second;
}

auto RetryBudget::requestSeen(const ServiceName &service) -> void
{
    auto &tokens = m_tokens.try_emplace(service, m_options.maxTokens).first->second;
    tokens = std::min(m_options.maxTokens, tokens + m_options.earnedPerRequest);
}

auto RetryBudget::withdraw(const ServiceName &service) -> bool
{
    auto &tokens = m_tokens.try_emplace(service, m_options.maxTokens).first->second;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

auto toString(RetryAction action) -> const char *
{
    switch (action) {
    case RetryAction::Deliver:
        return "deliver";
    case RetryAction::Retry:
        return "retry";
    case RetryAction::Resume:
        return "resume";
    case RetryAction::SayNotRun:
        return "say-not-run";
    case RetryAction::SayUnknown:
        return "say-unknown";
    }
    return "";
}

auto decideRetry(const RequestFacts &request, const AttemptEnd &end, RetryBudget &budget, TimePoint now, const RetryOptions &options) -> RetryDecision
{
    if (end.outcome == AttemptOutcome::Delivered) {
        return {RetryAction::Deliver, 0, "whole"};
    }
    // A non-idempotent request that is sent again after an unknown outcome may run twice without anyone noticing, so it is sent
    // again only if the last attempt certainly didn't run.
    if (!request.idempotent && end.outcome != AttemptOutcome::NotRun) {
        return giveUp(end, "may have run and must run once");
    }
    if (request.attempts >= options.maxAttempts) {
        return giveUp(end, "attempts used up");
    }
    if (!isInTime(request, now)) {
        return giveUp(end, "no time for another attempt");
    }
    auto decision = tryAgain(request, end);
    const bool isAgain = decision.action == RetryAction::Retry || decision.action == RetryAction::Resume;
    if (isAgain && end.outcome != AttemptOutcome::NotRun && !budget.withdraw(request.service)) {
        return giveUp(end, "retry budget of the service used up");
    }
    return decision;
}

auto shouldHedge(const RequestFacts &request, TimePoint sentAt, RetryBudget &budget, TimePoint now, const HedgeOptions &options) -> bool
{
    const bool isShort = request.expectedService.inMicros() > 0 && request.expectedService <= options.maxServiceTime;
    if (!options.enabled || !request.idempotent || !isShort || request.attempts > 1) {
        return false;
    }
    const bool isOverdue = now - sentAt > request.expectedService * options.after;
    return isOverdue && isInTime(request, now) && budget.withdraw(request.service);
}

} // namespace KingCup
