// Every declared model stays reachable, or becomes reachable again, when agents, engines, entries or the platform fail.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto everyModelAnswers(Cluster &cluster, int entry) -> bool
{
    for (const auto *model : {"sun", "moon", "tan"}) {
        const auto answer = cluster.complete(entry, model, "reachable?", 2, true, {{"kingcup-time-budget-ms", "3000"}});
        if (answer->outcome() != "delivered") {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("every model is reachable again after the runners that hold it die")
{
    // The only runners that hold some models fail. Callers get errors for these models until other runners have loaded them.
    const bool storeIsDown = GENERATE(false, true);
    INFO("the table is " << (storeIsDown ? "down" : "up"));
    Cluster cluster({.entries = 2, .runners = 3, .ledgers = 0});
    cluster.bringUp();
    if (storeIsDown) {
        cluster.fault({{"part", "table"}, {"mode", "refuse"}});
    }
    cluster.kill("runner-1");
    cluster.fault({{"part", "engine"}, {"id", "runner-1"}, {"mode", "crash"}});
    cluster.waitFor("every model answers without runner-1", [&] { return everyModelAnswers(cluster, 1) && everyModelAnswers(cluster, 2); });
    cluster.kill("runner-2");
    cluster.fault({{"part", "engine"}, {"id", "runner-2"}, {"mode", "crash"}});
    cluster.waitFor(
        "every model answers on runner-3 alone", [&] { return everyModelAnswers(cluster, 1) && everyModelAnswers(cluster, 2); }, Duration::seconds(45));
    checkInvariants(cluster);
}

TEST_CASE("a wrong or unreachable host list takes nothing out of service")
{
    // If the system trusted a host list that is suddenly empty or marks every host as leaving, it would take all targets out of service at once.
    const std::string mode = GENERATE(as<std::string> {}, "empty", "refuse", "freeze");
    INFO("the host list: " << mode);
    Cluster cluster;
    cluster.bringUp();
    cluster.fault({{"part", "hosts"}, {"mode", mode}});
    cluster.sleep(Duration::seconds(6));
    CHECK(everyModelAnswers(cluster, 1));
    CHECK(everyModelAnswers(cluster, 2));
    CHECK(cluster.debit(1, "wrong-list", "asha", 1)->outcome() == "delivered");
}

TEST_CASE("processes that start while the table is down get the configuration from their peers and serve")
{
    // Hosts are also replaced while the table is down. If new entries and agents waited for the table, their capacity would be missing all that time.
    Cluster cluster;
    cluster.bringUp();
    cluster.fault({{"part", "table"}, {"mode", "refuse"}});
    cluster.kill("entry-2");
    cluster.kill("runner-1");
    cluster.start("entry-2");
    cluster.start("runner-1");
    cluster.waitFor("the new entry serves every model", [&] { return everyModelAnswers(cluster, 2); });
    CHECK(cluster.call(2, {.path = "/services/ledger/balance/asha"})->outcome() == "delivered");
    checkInvariants(cluster);
}
