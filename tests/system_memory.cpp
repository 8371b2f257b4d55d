// Accelerator memory is never overcommitted when orders, agents or engines fail.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

/// Memory is scarce in every plan: 4 runners of 40 GB (34 for weights) can't hold 6 models of 10 and 14 GB in two zones each, which the floor asks for as
/// far as they fit.
auto tightOptions(const std::string &fencing) -> ClusterOptions
{
    ClusterOptions options {.entries = 2, .runners = 4, .ledgers = 0, .fencing = fencing};
    options.fakes = {"--engine.memory-gb=40", "--weights.gb-per-second=40"};
    for (int i = 1; i <= 6; ++i) {
        const auto name = "m" + std::to_string(i);
        const std::string size = i % 2 == 0 ? "14" : "10";
        options.models.append("[model ").append(name).append("]\nservice = advisory\ncurrent = 1\n");
        options.models.append("[version ").append(name).append("@1]\nsize-gb = ").append(size).append("\n");
    }
    return options;
}

/// Sends requests to one model after another, so that replicas are loaded and unloaded all the time.
auto shiftDemand(Cluster &cluster, Duration span) -> void
{
    const auto until = cluster.loop().now() + span;
    int round = 0;
    std::vector<CallPtr> open;
    while (cluster.loop().now() < until) {
        const auto model = "m" + std::to_string(1 + (round / 8) % 6);
        open.push_back(cluster.beginCompletion(1 + round % 2, model, "round " + std::to_string(round), 20));
        ++round;
        cluster.sleep(Duration::millis(40));
        checkInvariants(cluster);
    }
    cluster.waitFor(
        "all completions end", [&] { return std::all_of(open.begin(), open.end(), [](const auto &call) { return call->done; }); }, Duration::seconds(60));
}

} // namespace

TEST_CASE("lost orders, late orders and lost answers to orders never overcommit an engine")
{
    // An order isn't answered. If its memory were assigned anew on the assumption that the order had no effect, and the order then arrived late, a real
    // engine would run out of accelerator memory and crash with all of its requests.
    const std::string fencing = GENERATE(as<std::string> {}, "checked", "ignored");
    INFO("fencing numbers are " << fencing);
    Cluster cluster(tightOptions(fencing));
    cluster.fault({{"part", "engine"}, {"loseRate", 0.2}, {"dropAnswerRate", 0.4}, {"lateRate", 0.3}, {"lateMostMs", 5000}});
    cluster.waitFor("declarations are accepted", [&] { return cluster.ctl({"apply", cluster.writeDeclarations(cluster.declarations())}) == 0; });
    shiftDemand(cluster, Duration::seconds(20));
    std::uint64_t faultyOrders = 0;
    const auto truth = cluster.truth();
    for (const auto &engine : truth["engines"]) {
        faultyOrders += engine["ordersLost"].get<std::uint64_t>() + engine["ordersLate"].get<std::uint64_t>() + engine["ordersUnanswered"].get<std::uint64_t>();
    }
    CHECK(faultyOrders > 0);
    checkInvariants(cluster);
}

TEST_CASE("agents that are killed and restarted while orders are late never overcommit an engine")
{
    // An agent is killed right after it has sent an order. The restarted agent doesn't know of the order, which may still be in flight.
    const std::string fencing = GENERATE(as<std::string> {}, "checked", "ignored");
    INFO("fencing numbers are " << fencing);
    Cluster cluster(tightOptions(fencing));
    cluster.fault({{"part", "engine"}, {"lateRate", 0.5}, {"lateMostMs", 3000}});
    cluster.ctl({"apply", cluster.writeDeclarations(cluster.declarations())});
    for (int i = 0; i < 8; ++i) {
        cluster.sleep(Duration::millis(400));
        const auto id = "runner-" + std::to_string(1 + i % 4);
        cluster.kill(id);
        cluster.start(id);
        checkInvariants(cluster);
    }
    cluster.fault({{"part", "engine"}, {"lateRate", 0}});
    cluster.bringUp();
    checkInvariants(cluster);
}

TEST_CASE("an engine that crashes and restarts empty is loaded again without overcommitting it")
{
    // The crash removes the resident models and the pending orders. If the agent went on counting on either of them, callers would be left without a model,
    // or memory would be charged twice.
    Cluster cluster(tightOptions("alternate"));
    cluster.bringUp();
    for (int i = 0; i < 4; ++i) {
        cluster.fault({{"part", "engine"}, {"id", "runner-" + std::to_string(1 + i)}, {"mode", "crash"}});
        cluster.sleep(Duration::millis(500));
    }
    cluster.bringUp();
    checkInvariants(cluster);
    CHECK(cluster.truth()["totals"]["crashes"] == 4);
}
