#include "core/backoff.h"
#include "core/breaker.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr BreakerOptions Options {.failuresToOpen = 3, .pause = {.initial = Duration::seconds(1), .max = Duration::seconds(4)}};

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

auto openedAtZero() -> Breaker
{
    Breaker breaker(Options, 1);
    for (int i = 0; i < 3; ++i) {
        breaker.started();
        breaker.failed(at(0));
    }
    return breaker;
}

} // namespace

TEST_CASE("a breaker opens only after failures in a row")
{
    Breaker breaker(Options, 1);
    breaker.failed(at(0));
    breaker.failed(at(0));
    breaker.succeeded();
    breaker.failed(at(0));
    breaker.failed(at(0));
    REQUIRE(breaker.state() == BreakerState::Closed);
    breaker.failed(at(0));
    REQUIRE(breaker.state() == BreakerState::Open);
    REQUIRE_FALSE(breaker.mayCall(at(0.4)));
}

TEST_CASE("an open breaker lets one probe through, and its answer decides")
{
    // A store that is recovering would be overloaded again if all waiting callers called it at the same time.
    auto breaker = openedAtZero();
    REQUIRE(breaker.mayCall(at(1)));
    breaker.started();
    REQUIRE_FALSE(breaker.mayCall(at(1)));
    breaker.failed(at(1));
    REQUIRE(breaker.state() == BreakerState::Open);
    REQUIRE_FALSE(breaker.mayCall(at(1.9)));
    REQUIRE(breaker.mayCall(at(3)));
    breaker.started();
    breaker.succeeded();
    REQUIRE(breaker.state() == BreakerState::Closed);
    REQUIRE(breaker.mayCall(at(3)));
}

TEST_CASE("late failures of calls that were started before the breaker opened don't lengthen the pause")
{
    auto breaker = openedAtZero();
    for (int i = 0; i < 20; ++i) {
        breaker.failed(at(0.5));
    }
    REQUIRE(breaker.mayCall(at(1)));
}

TEST_CASE("backoff doubles up to its maximum, with jitter below, and reset() starts it again")
{
    std::minstd_rand random(7);
    Backoff backoff({.initial = Duration::millis(100), .max = Duration::millis(400)});
    for (const auto most : {100, 200, 400, 400, 400}) {
        const auto delay = backoff.next(random);
        REQUIRE(delay <= Duration::millis(most));
        REQUIRE(delay >= Duration::millis(most / 2));
    }
    backoff.reset();
    REQUIRE(backoff.current() == Duration::millis(100));
}
