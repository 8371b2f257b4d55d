// Spread of work over replicas, cost of a request to a runner, and reports of streams at draining replicas. Without network.
#include "core/copyspread.h"
#include "core/requestcost.h"
#include "gateway/copyuse.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace KingCup;

namespace
{

auto answer(double reading, double streaming, std::size_t bytes) -> ObservedAnswer
{
    return {Duration::seconds(reading), Duration::seconds(streaming), bytes, 64};
}

} // namespace

TEST_CASE("work goes to the least loaded runners with its model")
{
    // Two models share runner 1. With an even split over replicas runner 1 would seem the busiest, and runner 0 would seem to have spare capacity.
    CopySpread spread(2, 3);
    spread.setWork(0, 1.0);
    spread.setWork(1, 0.6);
    spread.add(0, 0);
    spread.add(0, 1);
    spread.add(1, 1);
    spread.add(1, 2);
    spread.rebalance();
    for (std::size_t runner = 0; runner < 3; ++runner) {
        REQUIRE(spread.load(runner) == Approx(1.6 / 3).margin(0.02));
    }
    REQUIRE(spread.share(0, 0) + spread.share(0, 1) == Approx(1.0));
    spread.remove(1, 2);
    spread.rebalance();
    REQUIRE(spread.load(2) == Approx(0).margin(1e-9));
    REQUIRE(spread.load(0) == Approx(0.8).margin(0.02));
    REQUIRE(spread.lowestLoad(0) == Approx(0.8).margin(0.02));
}

TEST_CASE("a runner's share of time that isn't available gets no work")
{
    CopySpread spread(1, 2);
    spread.setWork(0, 0.4);
    spread.add(0, 0);
    spread.add(0, 1);
    spread.setUnavailable(0, 0.9);
    spread.rebalance();
    REQUIRE(spread.share(0, 0) == Approx(0).margin(1e-9));
    REQUIRE(spread.share(0, 1) == Approx(0.4));
    REQUIRE(spread.load(0) == Approx(0.9));
    REQUIRE(spread.lowestLoad(0) == Approx(0.4));
}

TEST_CASE("the slope of the loss curve grows with the load and then stays constant")
{
    const LossCurve curve;
    double slope = 0;
    for (int step = 1; step < 80; ++step) {
        const double work = step * 0.05;
        const double next = (curve.lostWork(work + 0.05) - curve.lostWork(work)) / 0.05;
        REQUIRE(next >= slope - 1e-6);
        slope = next;
    }
    REQUIRE(curve.lostWork(0) == Approx(0));
    REQUIRE(slope > 1);
    REQUIRE(slope < 1.6);
}

TEST_CASE("an overloaded runner doesn't make its model's requests seem more expensive")
{
    // Load pattern: a model has too few replicas, so that its streams slow each other down and take three times as long. If the cost of a request were
    // that time, the model's work would seem to triple and replicas of all other models would be evicted for it.
    RequestCost cost;
    for (int i = 0; i < 200; ++i) {
        cost.observe("m1", answer(0.01, 2, 3000));
    }
    const double before = cost.seconds("m1");
    REQUIRE(before == Approx(0.01 + 2.0 / 64).epsilon(0.2));
    for (int i = 0; i < 60; ++i) {
        cost.observe("m1", answer(0.01, 6, 3000));
    }
    REQUIRE(cost.seconds("m1") < before * 2);
}

TEST_CASE("request cost is learnt by model, and short answers that end first don't make all models seem cheap")
{
    RequestCost cost;
    for (int i = 0; i < 5; ++i) {
        cost.observe("m1", answer(0.002, 0.2, 300));
    }
    REQUIRE(cost.seconds("m1") > 0.015);
    REQUIRE(cost.seconds("never-seen") > 0.015);
    for (int i = 0; i < 300; ++i) {
        cost.observe("slow", answer(0.01, 2, 3000));
        cost.observe("quick", answer(0.001, 0.2, 3000));
    }
    REQUIRE(cost.seconds("slow") > cost.seconds("quick") * 4);
}

TEST_CASE("the streams of a draining replica are known once every gateway has reported")
{
    // A gateway without a report may still have streams there. If it counted as having none, the unload would be ordered too early and block the runner.
    const CopyKey copy(TargetId("r1"), "m1");
    CopyUseHooks hooks;
    int own = 2;
    hooks.ownStreams = [&own](const CopyKey &) {
        return own;
    };
    hooks.sendToHolder = [](const Wire::ControlFrame &) {
    };
    CopyUse use(hooks);
    use.setMoves({{TargetId("r1"), CopyMove {"m2", {"m1"}, TimePoint()}}});
    REQUIRE(use.streams({"b", "c"}).empty());
    Wire::CopyStreams told;
    auto *one = told.add_copies();
    one->set_target("r1");
    one->set_model("m1");
    one->set_streams(3);
    use.streamsReported("b", told);
    REQUIRE(use.streams({"b", "c"}).empty());
    one->set_streams(0);
    use.streamsReported("c", told);
    REQUIRE(use.streams({"b", "c"}).at(copy) == 5);
    own = 0;
    use.streamsReported("b", told);
    REQUIRE(use.streams({"b", "c"}).at(copy) == 0);
    // Reports for a finished move don't count for the next one.
    use.setMoves({});
    use.setMoves({{TargetId("r1"), CopyMove {"m2", {"m1"}, TimePoint()}}});
    REQUIRE(use.streams({"b", "c"}).empty());
}

TEST_CASE("a gateway reports its streams at a replica from the start of draining to its end")
{
    CopyUseHooks hooks;
    std::vector<int> told;
    hooks.ownStreams = [](const CopyKey &) {
        return 4;
    };
    hooks.sendToHolder = [&told](const Wire::ControlFrame &frame) {
        for (const auto &copy : frame.copy_streams().copies()) {
            told.push_back(static_cast<int>(copy.streams()));
        }
    };
    CopyUse use(hooks);
    use.reportedResidency(TargetId("r1"), {{"m1", 0, {}, true}, {"m2", 0, {}}});
    REQUIRE(told == std::vector<int> {4});
    use.reportedResidency(TargetId("r1"), {{"m1", 0, {}, true}, {"m2", 0, {}}});
    REQUIRE(told.size() == 1);
    use.report();
    REQUIRE(told.size() == 2);
    use.reportedResidency(TargetId("r1"), {{"m1", 0, {}}, {"m2", 0, {}}});
    use.report();
    REQUIRE(told.size() == 2);
}
