// Ends of targets that one gateway alone could have found out, which ended or stood still before it did (tests/sim_randomcrashes.h).
#include "tests/sim_randomcrashes.h"

#include <catch2/catch.hpp>

using namespace KingCup;

TEST_CASE("the promise holds although the gateway that sent the first runs ends before it has found out that they crashed their targets silently")
{
    // Guards against runs that nobody counts: all later ones come for the first time, as far as the other gateways know.
    const int seed = GENERATE(278, 3451, 8795, 16675, 17179, 17553);
    INFO("seed " << seed);
    CHECK(playRandomly(seed) <= MaxLateRuns);
}
