// A request that crashes whatever runs it costs at most two targets, however often its caller sends it.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

TEST_CASE("a request that crashes its engine takes at most two with it, and others are still answered")
{
    // A malformed prompt trips a fault of the engine. Its caller sees an error and sends it again, through either entry; retried without end it would take
    // down one accelerator after another, and with each the answers of everyone else on it.
    Cluster cluster({.entries = 2, .runners = 4, .ledgers = 0});
    cluster.bringUp();
    for (int i = 0; i < 8; ++i) {
        const auto answer = cluster.complete(1 + i % 2, "sun", "please crash-me now", 5, true, {{"kingcup-time-budget-ms", "8000"}});
        INFO("send " << i << " body " << answer->body);
        CHECK(answer->outcome() != "delivered");
        CHECK(cluster.truth()["totals"]["crashes"] <= 2);
        cluster.sleep(Duration::millis(300));
    }
    CHECK(cluster.truth()["totals"]["crashes"] >= 1);
    cluster.waitFor("others are answered", [&] { return cluster.complete(1, "sun", "a harmless one", 5)->outcome() == "delivered"; });
    checkInvariants(cluster);
}
