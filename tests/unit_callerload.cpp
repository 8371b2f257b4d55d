// Tests of the bounds on what callers make a process hold, and of the choice of the connections that yield.
#include "core/callerload.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr std::size_t Mebi = 1U << 20U;
constexpr auto Now = TimePoint::fromMicros(100'000'000);

/// A connection that began its phase and last made progress so long ago.
auto held(std::size_t index, CallerPhase phase, std::size_t bytes, Duration age, Duration sinceProgress) -> CallerHold
{
    return {index, phase, bytes, TimePoint::fromMicros((Now - age).inMicros()), TimePoint::fromMicros((Now - sinceProgress).inMicros())};
}

using Chosen = std::vector<std::size_t>;

} // namespace

TEST_CASE("the smallest host keeps most of its memory for its own state, and the bounds leave room for the largest body")
{
    // Guards against bounds that let callers exhaust a small host, or that refuse a single legal request.
    constexpr std::uint64_t SmallestHost = 120'000'000;
    constexpr std::size_t LargestBody = 8 * Mebi;
    const auto bounds = callerBounds(SmallestHost, 4096);
    CHECK(bounds.bytes < SmallestHost / 2);
    CHECK(bounds.bytes - bounds.reserved > 2 * LargestBody);
    CHECK(bounds.reserved > 16 * SmallCallerBytes);
}

TEST_CASE("descriptors are left for a process's own calls at any limit")
{
    for (const std::size_t limit : {128, 1024, 4100}) {
        const auto bounds = descriptorBounds(limit);
        CHECK(bounds.accept < bounds.connect);
        CHECK(limit - bounds.connect >= limit / 8);
    }
}

TEST_CASE("small requests use memory that large ones can't")
{
    // Guards against large bodies that shut out ordinary requests.
    CallerLoad load({.bytes = 10 * Mebi, .reserved = 2 * Mebi});
    load.change(0, 9 * Mebi);
    CHECK(load.excess(SmallCallerBytes) == 0);
    CHECK(load.excess(SmallCallerBytes + 1) == Mebi);
    load.change(0, 2 * Mebi);
    CHECK(load.excess(SmallCallerBytes) == Mebi);
    load.change(9 * Mebi, 0);
    CHECK(load.held() == 2 * Mebi);
    CHECK(load.excess(5 * Mebi) == 0);
    CHECK(load.mostHeld() == 11 * Mebi);
}

TEST_CASE("callers that stop short yield before those that send, the longest without progress first")
{
    // Guards against crowds that stop short of their end and shut out callers that behave.
    const std::vector<CallerHold> holds {
        held(0, CallerPhase::Receiving, Mebi, Duration::seconds(2), Duration::millis(10)),
        held(1, CallerPhase::Receiving, Mebi, Duration::seconds(3), Duration::seconds(1)),
        held(2, CallerPhase::Receiving, Mebi, Duration::seconds(3), Duration::seconds(3)),
        held(3, CallerPhase::Running, 4 * Mebi, Duration::seconds(9), Duration::seconds(9)),
        held(4, CallerPhase::Unread, Mebi, Duration::seconds(3), Duration::seconds(2)),
        held(5, CallerPhase::Receiving, Mebi, Duration::seconds(1), Duration::millis(10)),
    };
    CHECK(chooseYielding(holds, 1, Now) == Chosen {2});
    CHECK(chooseYielding(holds, 3 * Mebi, Now) == Chosen {2, 4, 1});
    CHECK(chooseYielding(holds, 4 * Mebi, Now) == Chosen {2, 4, 1, 5}); // then the most recent one of those that send
    CHECK(chooseYielding(holds, 100 * Mebi, Now) == Chosen {2, 4, 1, 5, 0}); // never a whole request
}

TEST_CASE("an ordinary request yields only once it has stopped")
{
    const auto sending = held(0, CallerPhase::Receiving, 2000, Duration::millis(100), Duration::millis(100));
    const auto stopped = held(1, CallerPhase::Receiving, 2000, Duration::seconds(1), Duration::seconds(1));
    CHECK(chooseYielding({sending, stopped}, Mebi, Now) == Chosen {1});
}

TEST_CASE("callers that read slowly yield last, and idle connections before large requests")
{
    const std::vector<CallerHold> holds {
        held(0, CallerPhase::Unread, Mebi, Duration::seconds(2), Duration::millis(100)),
        held(1, CallerPhase::Receiving, Mebi, Duration::seconds(2), Duration::millis(100)),
        held(2, CallerPhase::Idle, ConnectionBytes, Duration::seconds(2), Duration::seconds(2)),
        held(3, CallerPhase::Closing, Mebi, Duration::seconds(2), Duration::seconds(2)),
    };
    CHECK(chooseYielding(holds, 100 * Mebi, Now) == Chosen {2, 1, 0});
}

TEST_CASE("a connection that makes no progress is replaced before an idle one, and a running one never")
{
    // Guards against idle and stalled connections that use up the descriptors, and against requests that are cut off for new ones.
    std::vector<CallerHold> holds {
        held(0, CallerPhase::Running, 2000, Duration::seconds(9), Duration::seconds(9)),
        held(1, CallerPhase::Unused, 4096, Duration::millis(50), Duration::millis(50)),
    };
    CHECK_FALSE(chooseReplaced(holds, Now).has_value());
    holds.push_back(held(5, CallerPhase::Closing, 4096, Duration::millis(500), Duration::millis(500)));
    CHECK_FALSE(chooseReplaced(holds, Now).has_value());
    holds.push_back(held(2, CallerPhase::Idle, 4096, Duration::seconds(9), Duration::seconds(9)));
    CHECK(chooseReplaced(holds, Now) == 2U);
    holds.push_back(held(3, CallerPhase::Unused, 4096, Duration::seconds(1), Duration::seconds(1)));
    holds.push_back(held(4, CallerPhase::Receiving, 4096, Duration::seconds(2), Duration::seconds(2)));
    CHECK(chooseReplaced(holds, Now) == 4U);
    holds.push_back(held(6, CallerPhase::Closing, 4096, Duration::seconds(3), Duration::seconds(3))); // it goes on sending after a refusal
    CHECK(chooseReplaced(holds, Now) == 6U);
}
