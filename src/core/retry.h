// Decides what follows when an attempt has ended: a retry, a resumed stream, or the final answer to the caller. Also decides whether to hedge. No I/O.
//
// Index of sections (search for [SECTION]):
//   RetryBudget   a token bucket per service, so that retries can't amplify an overload
//   Attempts      how an attempt ended, what is known about the request
//   Decisions     decideRetry() and shouldHedge()
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace KingCup
{

// [SECTION] RetryBudget

struct RetryBudgetOptions {
    double earnedPerRequest = 0.1; ///< tokens that each request adds: at most one retry per ten requests in the long run
    double maxTokens = 20; ///< limits the burst of retries that the loss of a target may cause
};

class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    auto available(const ServiceName &service) const -> double;
    auto requestSeen(const ServiceName &service) -> void; ///< a new request: adds tokens
    auto withdraw(const ServiceName &service) -> bool; ///< takes a token; false: none is left, so there must be no retry now

private:
    RetryBudgetOptions m_options;
    std::map<ServiceName, double> m_tokens;
};

// [SECTION] Attempts

enum class AttemptOutcome {
    Delivered, ///< complete, with its end marker
    NotRun, ///< certainly not run: refused, or never sent
    Unknown, ///< may have run: the connection broke, or it timed out
};

struct AttemptEnd {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    std::string code; ///< reason given by the agent, e.g. "leaving"
    std::uint64_t deliveredTokens = 0; ///< tokens of the stream that were forwarded to the caller
    bool answerBegan = false; ///< a part of the answer was forwarded to the caller
};

struct RequestFacts {
    ServiceName service;
    bool idempotent = true;
    bool resumable = false; ///< a model's stream that another target can continue at an offset
    int attempts = 1; ///< made so far, including this one
    TimePoint deadline;
    Duration expectedService; ///< expected service time of another attempt; 0: unknown
};

// [SECTION] Decisions

enum class RetryAction {
    Deliver, ///< the answer is complete: done
    Retry, ///< at another target
    Resume, ///< continue the stream at another target, from `offset`
    SayNotRun, ///< tell the caller that the request wasn't run
    SayUnknown, ///< tell the caller that the request may have run, or that the answer is incomplete
};
auto toString(RetryAction action) -> const char *;

struct RetryDecision {
    RetryAction action = RetryAction::SayUnknown;
    std::uint64_t offset = 0; ///< tokens to skip, for Resume
    std::string reason;
};

struct RetryOptions {
    int maxAttempts = 4;
};

/// Takes a token from the budget if the decision is to try again after a failure. A retry after AttemptOutcome::NotRun takes none: the target did no work.
auto decideRetry(const RequestFacts &request, const AttemptEnd &end, RetryBudget &budget, TimePoint now, const RetryOptions &options = {}) -> RetryDecision;

struct HedgeOptions {
    bool enabled = false; ///< enable it only if measurements of the deployment show a benefit
    Duration maxServiceTime = Duration::millis(100); ///< only requests with an expected service time up to this are hedged
    double after = 3.0; ///< hedge after this many times the expected service time
};

/// Whether to send a second attempt while the first one is still running. Takes a token from the budget if so.
auto shouldHedge(const RequestFacts &request, TimePoint sentAt, RetryBudget &budget, TimePoint now, const HedgeOptions &options) -> bool;

} // namespace KingCup
