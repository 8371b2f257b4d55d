// A request that crashes each engine it runs on crashes at most two, however often its caller sends it.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

TEST_CASE("a request that crashes its engine crashes at most two engines, and other requests are still answered")
{
    // A prompt triggers a fault of the engine, and its caller resends it through either entry after each error. If it were run each time, it would crash
    // one engine after another, and break off all other answers there.
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
