// Each caller gets the complete answer to its own request, or is told that the answer is incomplete.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

/// Checks that an answer has no wrong or repeated token, and that it is complete if its outcome is "delivered".
auto checkAnswer(const CallPtr &call, const std::string &artifact, const std::string &prompt, int tokens) -> void
{
    const auto expected = expectedText(artifact, prompt, tokens);
    const auto got = call->text();
    INFO("prompt " << prompt << " outcome " << call->outcome() << " got " << got);
    CHECK(expected.compare(0, got.size(), got) == 0);
    if (call->outcome() == "delivered") {
        CHECK(got == expected);
    }
}

struct PendingCompletion {
    CallPtr call;
    std::string artifact;
    std::string prompt;
    int tokens;
};

auto beginCompletions(Cluster &cluster, int count, int tokens) -> std::vector<PendingCompletion>
{
    std::vector<PendingCompletion> pending;
    for (int i = 0; i < count; ++i) {
        const std::string model = i % 3 == 0 ? "moon" : "sun";
        const auto prompt = "question " + std::to_string(i);
        pending.push_back({cluster.beginCompletion(1 + i % 2, model, prompt, tokens, i % 4 != 3), model + "@1", prompt, tokens});
    }
    return pending;
}

auto awaitAndCheckAll(Cluster &cluster, const std::vector<PendingCompletion> &pending) -> int
{
    int delivered = 0;
    for (const auto &one : pending) {
        cluster.waitFor(
            "an answer ends", [&] { return one.call->done; }, Duration::seconds(60));
        checkAnswer(one.call, one.artifact, one.prompt, one.tokens);
        delivered += one.call->outcome() == "delivered" ? 1 : 0;
    }
    return delivered;
}

} // namespace

TEST_CASE("streams whose engine, agent or link fails are resumed at the next token, or marked as incomplete")
{
    // The target fails in the middle of an answer. If the stream were resumed at the wrong token, or ended as if it were complete, the caller would take
    // a wrong or truncated answer for the right one.
    const std::string fault = GENERATE(as<std::string> {}, "engine", "agent", "link to the agent", "link to the engine");
    INFO("failing part: " << fault);
    Cluster cluster({.proxiesTargets = fault == "link to the engine"});
    cluster.bringUp();
    const auto pending = beginCompletions(cluster, 16, 100);
    cluster.sleep(Duration::millis(700));
    if (fault == "engine") {
        cluster.fault({{"part", "engine"}, {"id", "runner-1"}, {"mode", "crash"}});
    } else if (fault == "agent") {
        cluster.kill("runner-1");
    } else {
        const std::string name = fault == "link to the agent" ? "peer:runner-1" : "target:runner-1";
        cluster.fault({{"part", "link"}, {"name", name}, {"mode", "cut"}});
    }
    const int delivered = awaitAndCheckAll(cluster, pending);
    CHECK(delivered == 16);
    checkInvariants(cluster);
}

TEST_CASE("answers over a slow, delayed or stalled link are matched to their requests")
{
    const std::string mode = GENERATE(as<std::string> {}, "delay", "drip", "freeze");
    INFO("links to the agents: " << mode);
    Cluster cluster;
    cluster.bringUp();
    const auto pending = beginCompletions(cluster, 12, 40);
    cluster.sleep(Duration::millis(200));
    cluster.fault({{"part", "link"}, {"name", "peer:runner-1"}, {"mode", mode}, {"ms", 600}, {"bytesPerSecond", 2000}});
    cluster.sleep(Duration::seconds(3));
    cluster.heal();
    awaitAndCheckAll(cluster, pending);
    checkInvariants(cluster);
}
