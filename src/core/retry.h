// What follows when an attempt has ended: another one, a resumed stream, or the final answer to the caller. And whether to hedge.
//
// Index of sections (search for [SECTION]):
//   RetryBudget   a token bucket per service, so that retries can't multiply an overload
//   Attempts      how one ended, what is known of the request
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
    double earnedPerRequest = 0.1; ///< tokens that each first attempt earns: at most one retry in ten requests, lastingly
    double maxTokens = 20; ///< tokens kept: the burst that a lost target may cause
};

class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    auto available(const ServiceName &service) const -> double;
    auto requestSeen(const ServiceName &service) -> void;
    auto withdraw(const ServiceName &service) -> bool; ///< false: no retry now

private:
    RetryBudgetOptions m_options;
    std::map<ServiceName, double> m_tokens;
};

// [SECTION] Attempts

enum class AttemptOutcome {
    Delivered, ///< whole, with its end marker
    NotRun, ///< certainly: refused, or never sent
    Unknown, ///< may have run: the connection broke, or time ran out
};

struct AttemptEnd {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    std::string code; ///< the agent's, e.g. "leaving"
    std::uint64_t deliveredTokens = 0; ///< of the stream, already passed on to the caller
    bool answerBegan = false; ///< something was passed on to the caller
};

struct RequestFacts {
    ServiceName service;
    bool idempotent = true;
    bool resumable = false; ///< a model's stream that can go on at an offset
    int attempts = 1; ///< made so far, this one included
    TimePoint deadline;
    Duration expectedService; ///< of another attempt; 0: unknown
};

// [SECTION] Decisions

enum class RetryAction {
    Deliver, ///< the answer is whole: done
    Retry, ///< at another target
    Resume, ///< at another target, from `offset`
    SayNotRun, ///< tell the caller that it wasn't run
    SayUnknown, ///< tell the caller that it may have run, or that the answer is cut short
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

/// Draws from the budget if the decision is to try again after a failure. A definite refusal costs no token: the target did no work.
auto decideRetry(const RequestFacts &request, const AttemptEnd &end, RetryBudget &budget, TimePoint now, const RetryOptions &options = {}) -> RetryDecision;

struct HedgeOptions {
    bool enabled = false; ///< off unless a measurement on the deployment supports it
    Duration longestService = Duration::millis(100); ///< only calls this short
    double after = 3.0; ///< times the expected service time
};

/// Whether to send a second attempt beside one that is still running. Draws from the budget if so.
auto shouldHedge(const RequestFacts &request, TimePoint sentAt, RetryBudget &budget, TimePoint now, const HedgeOptions &options) -> bool;

} // namespace KingCup
