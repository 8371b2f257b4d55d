// A circuit breaker: after several failures in a row a server gets no calls for a while and is then probed with one call. Without it every caller of an
// unavailable store would wait for its own timeout, and a store that is recovering would be overloaded again. No I/O.
#pragma once

#include "core/backoff.h"
#include "core/units.h"

#include <random>

namespace KingCup
{

struct BreakerOptions {
    int failuresToOpen = 5; ///< failures in a row after which the breaker opens
    /// Time for which the breaker stays open; longer after each failed probe.
    BackoffOptions pause {.initial = Duration::millis(250), .max = Duration::seconds(5)};
};

enum class BreakerState {
    Closed, ///< calls are allowed
    Open, ///< calls are refused until the pause ends
    Probing, ///< one call is in flight that tests whether the server is available again
};
auto toString(BreakerState state) -> const char *;

class Breaker
{
public:
    Breaker(BreakerOptions options, std::minstd_rand::result_type seed);

    // Queries
    auto state() const -> BreakerState;
    auto mayCall(TimePoint now) const -> bool;

    // Commands: the owner reports each call that mayCall() allowed as started, then as succeeded or failed.
    auto started() -> void;
    auto succeeded() -> void;
    auto failed(TimePoint now) -> void;

private:
    auto open(TimePoint now) -> void;

    BreakerOptions m_options;
    Backoff m_pause;
    std::minstd_rand m_random;
    BreakerState m_state = BreakerState::Closed;
    int m_failures = 0;
    TimePoint m_openUntil;
};

} // namespace KingCup
