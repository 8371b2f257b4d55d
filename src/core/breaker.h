// A circuit breaker: after several failures in a row a server is left alone for a while, then tried with one call. Without it every
// caller of a dead store would wait out its own timeout, and a store that struggles to its feet would be knocked down again. Pure.
#pragma once

#include "core/backoff.h"
#include "core/units.h"

#include <random>

namespace KingCup
{

struct BreakerOptions {
    int failuresToOpen = 5; ///< in a row
    BackoffOptions pause {.initial = Duration::millis(250), .max = Duration::seconds(5)}; ///< how long it stays open
};

enum class BreakerState {
    Closed, ///< calls go through
    Open, ///< calls are refused at once
    Probing, ///< one call is on its way to see whether the server is back
};
auto toString(BreakerState state) -> const char *;

class Breaker
{
public:
    Breaker(BreakerOptions options, std::minstd_rand::result_type seed);

    // Queries
    auto state() const -> BreakerState;
    auto mayCall(TimePoint now) const -> bool;

    // Commands: each call that mayCall() allowed is reported as started, then as succeeded or failed.
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
