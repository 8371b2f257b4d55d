// Processes that are paused and resume with an outdated state, and drains while the table is down.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto NewWorkLimit = Duration::seconds(4); ///< time within which a drained target may still get new work
constexpr auto Pause = Duration::seconds(2);

/// Memory is scarce in every plan: 4 runners of 40 GB (34 for weights), 6 models of 10 and 14 GB.
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

auto lastNewWorkMillis(Cluster &cluster, const std::string &id) -> std::int64_t
{
    return cluster.truth()["instances"][id]["lastNewWorkMs"];
}

/// Sends lookups to both entries all through `span`, and waits until all have ended.
auto runLookups(Cluster &cluster, Duration span) -> std::vector<CallPtr>
{
    std::vector<CallPtr> calls;
    const auto until = cluster.loop().now() + span;
    for (int i = 0; cluster.loop().now() < until; ++i) {
        calls.push_back(cluster.begin(1 + i % 2, {.path = "/services/ledger/balance/asha"}));
        cluster.sleep(Duration::millis(30));
    }
    for (const auto &call : calls) {
        cluster.waitFor("a lookup ends", [&] { return call->done; });
    }
    return calls;
}

} // namespace

TEST_CASE("an agent that is paused and resumed while orders are late never overcommits its engine")
{
    // An agent sends an order and is paused. Meanwhile the order takes effect, or the engine crashes and restarts empty. The resumed agent then reads
    // answers that are seconds old. If it took them for the current state, it would load a model into memory that is in use.
    const std::string fencing = GENERATE(as<std::string> {}, "checked", "ignored");
    INFO("fencing numbers are " << fencing);
    Cluster cluster(tightOptions(fencing));
    cluster.fault({{"part", "engine"}, {"lateRate", 0.5}, {"lateMostMs", 3000}});
    cluster.ctl({"apply", cluster.writeDeclarations(cluster.declarations())});
    for (int i = 0; i < 4; ++i) {
        const auto id = "runner-" + std::to_string(1 + i);
        cluster.sleep(Duration::millis(300));
        cluster.stop(id);
        if (i % 2 == 0) {
            cluster.fault({{"part", "engine"}, {"id", id}, {"mode", "crash"}});
        }
        cluster.sleep(Pause);
        cluster.resume(id);
        checkInvariants(cluster);
    }
    cluster.fault({{"part", "engine"}, {"lateRate", 0}});
    cluster.bringUp();
    checkInvariants(cluster);
}

TEST_CASE("a target that is drained while the table is down gets no new work after the limit")
{
    // A host must leave although the platform's table is down. If the table stored which targets are leaving, the target would go on getting work.
    Cluster cluster({.entries = 2, .runners = 0, .ledgers = 2, .models = "# none\n"});
    cluster.bringUp();
    cluster.fault({{"part", "table"}, {"mode", "refuse"}});
    CHECK(cluster.ctl({"drain", "ledger-1"}) == 0);
    const auto announcedAt = cluster.truth()["nowMs"].get<std::int64_t>();
    for (const auto &call : runLookups(cluster, NewWorkLimit + Duration::seconds(2))) {
        CHECK(call->outcome() == "delivered");
    }
    CHECK(lastNewWorkMillis(cluster, "ledger-1") - announcedAt <= NewWorkLimit.inMillis());
    CHECK(lastNewWorkMillis(cluster, "ledger-2") - announcedAt > NewWorkLimit.inMillis());
}

TEST_CASE("an entry that was paused while a target was drained sends it no new work")
{
    // A target is drained while an entry is paused. The resumed entry finds requests in its sockets, and its outdated state says that the target accepts
    // work. Requests that it sent there might be lost with the target, so another target must answer them.
    Cluster cluster({.entries = 2, .runners = 0, .ledgers = 2, .models = "# none\n"});
    cluster.bringUp();
    cluster.stop("entry-2");
    CHECK(cluster.ctl({"drain", "ledger-1"}) == 0);
    const auto announcedAt = cluster.truth()["nowMs"].get<std::int64_t>();
    constexpr std::size_t Calls = 20;
    std::vector<CallPtr> calls;
    calls.reserve(Calls);
    while (calls.size() < Calls) {
        calls.push_back(cluster.begin(2, {.path = "/services/ledger/balance/asha"}));
    }
    cluster.sleep(NewWorkLimit);
    cluster.resume("entry-2");
    for (const auto &call : calls) {
        cluster.waitFor("a lookup ends", [&] { return call->done; });
        INFO("status " << call->status << " body " << call->body);
        CHECK((call->outcome() == "delivered" || call->outcome() == "not-run"));
    }
    for (const auto &call : runLookups(cluster, Duration::seconds(1))) {
        CHECK(call->outcome() == "delivered");
    }
    CHECK(lastNewWorkMillis(cluster, "ledger-1") - announcedAt <= NewWorkLimit.inMillis());
}
