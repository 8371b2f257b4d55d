#include "core/demandhistory.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

} // namespace

TEST_CASE("demand counts as known only some time after the first request of a term")
{
    // A new lease holder that has counted no requests yet must not take all models for idle: it would evict the busiest ones.
    DemandHistory history(Duration::seconds(3));
    CHECK_FALSE(history.isKnown(at(100)));
    history.modelRequested("m1", at(100));
    CHECK_FALSE(history.isKnown(at(102.9)));
    CHECK(history.isKnown(at(103)));
    history.restart();
    CHECK_FALSE(history.isKnown(at(110)));
    CHECK(history.lastRequestAt().empty());
}

TEST_CASE("a model is missing from its first request without a replica until it is loaded or idle")
{
    const ServiceName llm("llm");
    DemandHistory history(Duration::seconds(3));
    history.updateMissing(llm, {"m1", "m2"}, {"m2"}, at(1));
    history.updateMissing(llm, {"m1", "m2"}, {"m2"}, at(2));
    REQUIRE(history.missingSince(llm).size() == 1);
    CHECK(history.missingSince(llm).at("m1") == at(1));
    history.updateMissing(llm, {"m2"}, {}, at(3)); // m1 is idle now, m2 lost its replica
    REQUIRE(history.missingSince(llm).size() == 1);
    CHECK(history.missingSince(llm).at("m2") == at(3));
    history.updateMissing(llm, {"m1", "m2"}, {"m1", "m2"}, at(4));
    CHECK(history.missingSince(llm).empty());
    history.updateMissing(llm, {"m1"}, {}, at(5));
    history.updateMissing(ServiceName("other"), {}, {}, at(6)); // another service's models don't affect this one's
    CHECK(history.missingSince(llm).size() == 1);
}
