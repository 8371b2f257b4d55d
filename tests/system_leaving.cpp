// A target that is leaving gets no new work after a few seconds, and finishes its running requests.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto NewWorkLimit = Duration::seconds(4); ///< time within which a leaving target may still get new work

auto oneModel() -> ClusterOptions
{
    return {.entries = 2, .runners = 2, .ledgers = 2, .models = "[model sun]\nservice = advisory\ncurrent = 1\n[version sun@1]\nsize-gb = 6\n"};
}

/// Sends completions and lookups to both entries all through `span`.
auto sendCalls(Cluster &cluster, Duration span) -> std::vector<CallPtr>
{
    std::vector<CallPtr> calls;
    const auto until = cluster.loop().now() + span;
    for (int i = 0; cluster.loop().now() < until; ++i) {
        calls.push_back(cluster.beginCompletion(1 + i % 2, "sun", "leaving " + std::to_string(i), 10));
        calls.push_back(cluster.begin(1 + i % 2, {.path = "/services/ledger/balance/asha"}));
        cluster.sleep(Duration::millis(40));
    }
    return calls;
}

auto checkAllDelivered(Cluster &cluster, const std::vector<CallPtr> &calls) -> void
{
    for (const auto &call : calls) {
        cluster.waitFor("a call ends", [&] { return call->done; });
        INFO("status " << call->status << " body " << call->body);
        CHECK(call->outcome() == "delivered");
    }
}

auto lastNewWorkMillis(Cluster &cluster, const std::string &id) -> std::int64_t
{
    const auto truth = cluster.truth();
    return truth[id.compare(0, 6, "ledger") == 0 ? "instances" : "engines"][id]["lastNewWorkMs"];
}

} // namespace

TEST_CASE("a target that is told to leave gets no new work after the limit, and cuts off no request")
{
    // An operator drains the target, or its host is marked as leaving and will be switched off. A request that is sent to it later may be lost with it.
    const std::string way = GENERATE(as<std::string> {}, "drain", "host list");
    const std::string id = GENERATE(as<std::string> {}, "runner-1", "ledger-1");
    INFO("leaving by " << way << ": " << id);
    Cluster cluster(oneModel());
    cluster.bringUp();
    cluster.waitFor("both runners hold the model", [&] {
        const auto engines = cluster.truth()["engines"];
        return !engines["runner-1"]["resident"].empty() && !engines["runner-2"]["resident"].empty();
    });
    auto calls = sendCalls(cluster, Duration::millis(500));
    const auto announcedAt = cluster.truth()["nowMs"].get<std::int64_t>();
    if (way == "drain") {
        CHECK(cluster.ctl({"drain", id}) == 0);
    } else {
        cluster.setHost(id, "leaving");
    }
    const auto later = sendCalls(cluster, NewWorkLimit + Duration::seconds(2));
    calls.insert(calls.end(), later.begin(), later.end());
    checkAllDelivered(cluster, calls);
    CHECK(lastNewWorkMillis(cluster, id) - announcedAt <= NewWorkLimit.inMillis());
    checkInvariants(cluster);
}

TEST_CASE("the last target of a service refuses new work as not run after SIGTERM")
{
    // The only target of the service is leaving. Callers must get "not-run" within their time budget, not an unknown outcome.
    Cluster cluster({.entries = 1, .runners = 0, .ledgers = 1, .models = "# none\n"});
    cluster.bringUp();
    const auto running = cluster.beginDebit(1, "last-1", "asha", 1, "?hold-ms=1500");
    cluster.waitFor("the debit has run", [&] { return cluster.executions("last-1") == 1; });
    cluster.terminate("ledger-1");
    cluster.sleep(Duration::millis(300));
    HttpCall late {.method = "POST", .path = "/services/ledger/debits", .body = R"({"account":"asha","minutes":1})"};
    late.headers = {{"idempotency-key", "last-2"}, {"kingcup-time-budget-ms", "800"}};
    const auto refused = cluster.call(1, late);
    CHECK(refused->outcome() == "not-run");
    CHECK(cluster.executions("last-2") == 0);
    cluster.waitFor("the running debit is answered", [&] { return running->done; });
    CHECK(running->outcome() == "delivered");
    CHECK(cluster.waitForExit("ledger-1") == 0);
}
