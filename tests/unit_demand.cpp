#include "core/demand.h"

#include <catch2/catch.hpp>

#include <random>

using namespace KingCup;

namespace
{

const ArtifactName Sun("sun@1");

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

/// Poisson arrivals at `perSecond` from `from` to `to`.
auto arrive(DemandForecast &demand, std::mt19937 &random, double perSecond, double from, double to) -> void
{
    std::exponential_distribution<double> gap(perSecond);
    double time = from + gap(random);
    while (time < to) {
        demand.arrived(Sun, at(time));
        time += gap(random);
    }
    demand.advance(at(to));
}

auto rate(const DemandForecast &demand, double now) -> double
{
    const auto all = demand.forecast(at(now), Duration::seconds(1));
    return all.empty() ? 0 : all.front().perSecond;
}

} // namespace

TEST_CASE("the forecast follows a tenfold step within three seconds")
{
    // Demand rises without warning. While the forecast lags, copies are missing and answers are late.
    const auto seed = GENERATE(range(1U, 21U));
    std::mt19937 random(seed);
    DemandForecast demand;
    arrive(demand, random, 2, 0, 60);
    arrive(demand, random, 20, 60, 63);
    INFO("seed " << seed);
    REQUIRE(rate(demand, 63) > 10);
    REQUIRE(rate(demand, 63) < 40);
}

TEST_CASE("random fluctuation of steady demand doesn't make the forecast jump")
{
    const auto seed = GENERATE(range(1U, 21U));
    std::mt19937 random(seed);
    DemandForecast demand;
    arrive(demand, random, 5, 0, 60);
    double most = 0;
    for (int second = 60; second < 360; ++second) {
        arrive(demand, random, 5, second, second + 1);
        most = std::max(most, rate(demand, second + 1));
    }
    INFO("seed " << seed << " most " << most);
    REQUIRE(most < 15);
}

TEST_CASE("a short pause in a burst barely lowers the forecast")
{
    std::mt19937 random(1);
    DemandForecast demand;
    arrive(demand, random, 20, 0, 60);
    demand.advance(at(63));
    REQUIRE(rate(demand, 63) > 12);
    demand.advance(at(200));
    REQUIRE(rate(demand, 200) < 1);
}

TEST_CASE("the forecast includes the digests of other entries until they expire")
{
    DemandForecast demand;
    demand.merge({EntryId("other"), 2, {{Sun, 7, Duration::seconds(1), 1}}}, at(0));
    demand.merge({EntryId("other"), 1, {{Sun, 70, Duration::seconds(1)}}}, at(0));
    demand.merge({EntryId("third"), 1, {{Sun, 3, Duration::seconds(2)}}}, at(0));
    const auto all = demand.forecast(at(1), Duration());
    REQUIRE(all.size() == 1);
    REQUIRE(all[0].perSecond == Approx(10));
    REQUIRE(all[0].missedPerSecond == Approx(1));
    REQUIRE(all[0].serviceTime.inSeconds() == Approx(1.3));
    REQUIRE(demand.forecast(at(10), Duration()).empty());
}

TEST_CASE("artifacts without demand are removed from the state")
{
    DemandForecast demand;
    demand.arrived(Sun, at(0));
    demand.advance(at(30));
    REQUIRE(demand.digest(EntryId("e"), 1).rates.size() == 1);
    for (int second = 30; second < 1000; ++second) {
        demand.advance(at(second));
    }
    REQUIRE(demand.digest(EntryId("e"), 1).rates.empty());
}
