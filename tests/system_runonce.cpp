// A non-idempotent request runs at most once, and a request whose outcome is "not-run" hasn't run.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto plainOptions() -> ClusterOptions
{
    return {.entries = 2, .runners = 0, .ledgers = 2, .models = "# none\n"};
}

/// Checks that the outcome in an answer agrees with the ledger's own count of executions.
auto checkOutcome(Cluster &cluster, const CallPtr &answer, const std::string &key) -> void
{
    const int runs = cluster.executions(key);
    INFO("key " << key << " outcome " << answer->outcome() << " runs " << runs << " body " << answer->body);
    CHECK(runs <= 1);
    if (answer->outcome() == "delivered") {
        CHECK(runs == 1);
    }
    if (answer->outcome() == "not-run") {
        CHECK(runs == 0);
    }
}

/// Resends a debit through both entries in turn until it is delivered or `tries` are used up; returns the last answer.
auto resend(Cluster &cluster, const std::string &key, int tries = 5) -> CallPtr
{
    CallPtr answer;
    for (int i = 0; i < tries; ++i) {
        answer = cluster.debit(1 + i % 2, key, "asha", 3);
        if (answer->outcome() == "delivered") {
            return answer;
        }
        cluster.sleep(Duration::millis(300));
    }
    return answer;
}

} // namespace

TEST_CASE("a debit that is resent through another entry runs once")
{
    // A client times out and resends the debit, and a load balancer sends it to the other entry. If it ran twice, the account would be charged twice.
    Cluster cluster(plainOptions());
    cluster.bringUp();
    SECTION("after the answer")
    {
        CHECK(cluster.debit(1, "again-1", "asha", 3)->outcome() == "delivered");
        const auto second = cluster.debit(2, "again-1", "asha", 3);
        CHECK(second->outcome() == "delivered");
        CHECK(second->json()["minutes"] == -3);
    }
    SECTION("while the first is running")
    {
        const auto first = cluster.beginDebit(1, "again-1", "asha", 3, "?hold-ms=1500");
        cluster.waitFor("the first has run", [&] { return cluster.executions("again-1") == 1; });
        const auto second = cluster.debit(2, "again-1", "asha", 3, "?hold-ms=1500");
        cluster.waitFor("the first is answered", [&] { return first->done; });
        CHECK(first->outcome() == "delivered");
        checkOutcome(cluster, second, "again-1");
    }
    CHECK(cluster.executions("again-1") == 1);
    checkInvariants(cluster);
}

TEST_CASE("a debit whose agent is killed after it ran is never run again")
{
    // The ledger has executed the debit, and the agent is killed before it sends the answer. Only the stored claim shows that the debit may have run.
    Cluster cluster(plainOptions());
    cluster.bringUp();
    const auto first = cluster.beginDebit(1, "killed-1", "asha", 3, "?hold-ms=2500");
    cluster.waitFor("the debit has run", [&] { return cluster.executions("killed-1") == 1; });
    const auto instance = cluster.truth()["services"]["ledger"]["executions"]["killed-1"]["instances"][0].get<std::string>();
    cluster.kill(instance);
    cluster.waitFor("the caller is answered", [&] { return first->done; });
    CHECK(first->outcome() == "unknown");
    const auto second = resend(cluster, "killed-1", 1);
    CHECK(second->outcome() == "unknown");
    cluster.start(instance);
    checkOutcome(cluster, resend(cluster, "killed-1", 1), "killed-1");
    CHECK(cluster.executions("killed-1") == 1);
    checkInvariants(cluster);
}

TEST_CASE("a claim whose write takes effect without an answer causes neither a second run nor a false not-run")
{
    // The table commits the claim, and the connection breaks before the agent gets the answer. The agent must not assume either result: the request could
    // run twice, or be refused for ever.
    Cluster cluster(plainOptions());
    cluster.bringUp();
    for (int i = 0; i < 6; ++i) {
        const auto key = "lost-" + std::to_string(i);
        cluster.fault({{"part", "table"}, {"mode", i % 2 == 0 ? "drop-answer" : "late-effect"}, {"op", "write"}, {"count", 1}, {"ms", 700}});
        const auto answer = cluster.debit(1 + i % 2, key, "asha", 3);
        checkOutcome(cluster, answer, key);
        cluster.fault({{"part", "table"}, {"mode", "ok"}});
        cluster.sleep(Duration::millis(800));
        checkOutcome(cluster, resend(cluster, key), key);
    }
    checkInvariants(cluster);
}

TEST_CASE("an agent that is paused and resumed runs nothing a second time")
{
    // An agent is paused (by swapping, or because its virtual machine is moved) after it has received a debit and before it has forwarded it. The caller
    // resends the debit through another entry. Then the agent resumes with its outdated state.
    Cluster cluster(plainOptions());
    cluster.bringUp();
    std::vector<CallPtr> first;
    first.reserve(10);
    for (int i = 0; i < 10; ++i) {
        first.push_back(cluster.beginDebit(1, "paused-" + std::to_string(i), "asha", 1, "?wait-ms=200"));
    }
    cluster.stop("ledger-1");
    cluster.sleep(Duration::millis(3000));
    std::vector<CallPtr> second;
    second.reserve(10);
    for (int i = 0; i < 10; ++i) {
        second.push_back(cluster.debit(2, "paused-" + std::to_string(i), "asha", 1));
    }
    cluster.resume("ledger-1");
    for (std::size_t i = 0; i < first.size(); ++i) {
        cluster.waitFor("the first send is answered", [&] { return first[i]->done; });
    }
    cluster.sleep(Duration::millis(1000));
    for (std::size_t i = 0; i < first.size(); ++i) {
        const auto key = "paused-" + std::to_string(i);
        checkOutcome(cluster, first[i], key);
        checkOutcome(cluster, second[i], key);
    }
    checkInvariants(cluster);
}

TEST_CASE("a debit that is refused as not run while the table is down hasn't run")
{
    // While the platform's table is down, the caller must be told that nothing was debited, so that it can safely resend the debit afterwards.
    const std::string mode = GENERATE(as<std::string> {}, "refuse", "hang");
    INFO("the table: " << mode);
    Cluster cluster(plainOptions());
    cluster.bringUp();
    cluster.fault({{"part", "table"}, {"mode", mode}});
    for (int i = 0; i < 4; ++i) {
        const auto key = "outage-" + std::to_string(i);
        const auto answer = cluster.debit(1 + i % 2, key, "asha", 3);
        CHECK(answer->outcome() != "delivered");
        if (mode == "refuse") {
            CHECK(answer->outcome() == "not-run");
        }
        checkOutcome(cluster, answer, key);
    }
    const auto lookup = cluster.call(1, {.path = "/services/ledger/balance/asha"});
    CHECK(lookup->outcome() == "delivered");
    cluster.heal();
    cluster.waitFor("debits run again", [&] { return cluster.debit(1, "after-" + mode, "asha", 1)->outcome() == "delivered"; });
    for (int i = 0; i < 4; ++i) {
        const auto key = "outage-" + std::to_string(i);
        checkOutcome(cluster, resend(cluster, key), key);
    }
    checkInvariants(cluster);
}
