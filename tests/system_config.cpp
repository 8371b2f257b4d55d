// Configuration changes in a complete system: invalid changes, concurrent changes, and operation without the platform's table.
#include "tests/harness_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <grpcpp/grpcpp.h>
#include <kingcup/operator.grpc.pb.h>

using namespace KingCup;

namespace
{

constexpr int ExitRefused = 3;
constexpr int ExitConflict = 4;
constexpr int ExitUnreachable = 6;

const ClusterOptions Small {.entries = 2, .runners = 2, .ledgers = 1};

/// The configuration revision that is in force at an entry, from its metrics; 0 if the metrics don't show one.
auto revisionOf(Cluster &cluster, int entry) -> int
{
    const auto answer = cluster.call(entry, {.path = "/metrics"});
    const std::string name = "\nkingcup_revision ";
    const auto at = answer->body.find(name);
    return at == std::string::npos ? 0 : std::stoi(answer->body.substr(at + name.size()));
}

auto waitForRevision(Cluster &cluster, int entry, int revision) -> void
{
    cluster.waitFor("revision " + std::to_string(revision) + " in entry " + std::to_string(entry), [&] { return revisionOf(cluster, entry) >= revision; });
}

/// The declarations with another move cost, so that applying them makes a new revision.
auto withMoveCost(const Cluster &cluster, int cost) -> std::string
{
    return cluster.declarations() + "move-cost = " + std::to_string(cost) + "\n";
}

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

/// Starts kingcupctl at one entry and doesn't wait for it, so that several can run at the same time.
auto startApply(const Cluster &cluster, int entry, const std::string &folder, const TemporaryFolder &logs) -> std::unique_ptr<ChildProcess>
{
    const char *programFolder = std::getenv("KINGCUP_BIN");
    REQUIRE(programFolder != nullptr);
    const auto tool = std::string(programFolder) + "/kingcupctl";
    const auto server = "127.0.0.1:" + std::to_string(cluster.operatorsPort(entry));
    return std::make_unique<ChildProcess>(std::vector<std::string> {tool, "--server", server, "apply", folder, "--expect", "1"},
                                          logs.path() + "/apply-" + std::to_string(entry) + ".log");
}

} // namespace

TEST_CASE("a file with five mistakes is refused with five findings and changes nothing")
{
    Cluster cluster(Small);
    cluster.bringUp();
    const auto folder = cluster.writeDeclarations("[service advisory]\n"
                                                  "time-budget-ms = soon\n"
                                                  "[model sun]\n"
                                                  "service = advisery\n"
                                                  "current = 1\n"
                                                  "[version sun@1]\n"
                                                  "size-gb = 6\n"
                                                  "colour = red\n"
                                                  "[target runner-1\n"
                                                  "[adapter tan]\n"
                                                  "base = moon@1\n"
                                                  "size-gb = 0.3\n");
    for (const auto *command : {"check", "diff", "apply"}) {
        CHECK(cluster.ctl({command, folder}) == ExitRefused);
        for (const auto *line : {"all.ini:2: ", "all.ini:3: ", "all.ini:8: ", "all.ini:9: ", "all.ini:10: "}) {
            CHECK(contains(cluster.ctlOutput(), line));
        }
        CHECK(contains(cluster.ctlOutput(), "5 finding(s)"));
    }
    CHECK(revisionOf(cluster, 1) == 1);
}

TEST_CASE("a change against an older revision is refused, and the answer names the newer revision")
{
    // While an operator reviews a change, another operator's change is accepted. If the first change were applied all the same, it would silently
    // undo the second operator's change.
    Cluster cluster(Small);
    cluster.bringUp();
    const auto folder = cluster.writeDeclarations(withMoveCost(cluster, 7));
    REQUIRE(cluster.ctl({"apply", folder, "--wait"}) == 0);
    REQUIRE(contains(cluster.ctlOutput(), "in force everywhere: revision 2"));
    REQUIRE(cluster.ctl({"apply", folder}) == 0);
    CHECK(contains(cluster.ctlOutput(), "unchanged, revision 2"));
    CHECK(cluster.ctl({"apply", cluster.writeDeclarations(withMoveCost(cluster, 8)), "--expect", "1"}) == ExitConflict);
    CHECK(contains(cluster.ctlOutput(), "revision 2 came first"));
    CHECK(revisionOf(cluster, 1) == 2);
}

TEST_CASE("of two concurrent changes at two entries one is accepted and the other gets a conflict")
{
    Cluster cluster(Small);
    cluster.bringUp();
    waitForRevision(cluster, 1, 1);
    waitForRevision(cluster, 2, 1);
    const TemporaryFolder one;
    const TemporaryFolder other;
    one.write("all.ini", withMoveCost(cluster, 7));
    other.write("all.ini", withMoveCost(cluster, 8));
    const auto first = startApply(cluster, 1, one.path(), one);
    const auto second = startApply(cluster, 2, other.path(), other);
    cluster.waitFor("both operators are answered", [&] { return first->exitCode() && second->exitCode(); });
    const auto codes = std::minmax({*first->exitCode(), *second->exitCode()});
    CHECK(codes.first == 0);
    CHECK(codes.second == ExitConflict);
    CHECK(contains(first->log() + second->log(), "revision 2 came first"));
    waitForRevision(cluster, 1, 2);
    waitForRevision(cluster, 2, 2);
}

TEST_CASE("a change whose write is committed but not answered is accepted once")
{
    // The table commits the write, and the connection breaks before the answer is sent. The operator must not be told that nothing has changed, and
    // applying the change again must not make a second revision.
    Cluster cluster(Small);
    cluster.bringUp();
    const auto folder = cluster.writeDeclarations(withMoveCost(cluster, 7));
    cluster.fault({{"part", "table"}, {"mode", "drop-answer"}, {"op", "write"}, {"prefix", "config/"}, {"count", 1}});
    CHECK(cluster.ctl({"apply", folder}) == 0);
    CHECK(contains(cluster.ctlOutput(), "accepted revision 2"));
    waitForRevision(cluster, 1, 2);
    waitForRevision(cluster, 2, 2);
    CHECK(cluster.ctl({"apply", folder}) == 0);
    CHECK(contains(cluster.ctlOutput(), "unchanged, revision 2"));
}

TEST_CASE("a call with a field that the entry doesn't know is refused and changes nothing")
{
    // The operator's tool is newer than the entry. If the entry ignored the unknown field, another change than the operator's would come into force.
    Cluster cluster(Small);
    cluster.bringUp();
    const auto server = "127.0.0.1:" + std::to_string(cluster.operatorsPort(1));
    const auto stub = kingcup::operators::Operators::NewStub(grpc::CreateChannel(server, grpc::InsecureChannelCredentials()));
    kingcup::operators::ChangeRequest request;
    request.set_change_id("from-a-newer-tool");
    request.set_expected_revision(1);
    request.mutable_put_policy()->set_parallel_loads(1);
    request.mutable_put_policy()->GetReflection()->MutableUnknownFields(request.mutable_put_policy())->AddVarint(77, 1);
    grpc::ClientContext context;
    kingcup::operators::ChangeReply reply;
    const auto status = stub->Change(&context, request, &reply);
    CHECK(status.error_code() == grpc::StatusCode::INVALID_ARGUMENT);
    CHECK(contains(status.error_message(), "field 77 of Policy"));
    CHECK(revisionOf(cluster, 1) == 1);
}

TEST_CASE("an entry that restarts while the table is down serves with the newest configuration")
{
    // An entry is replaced while the platform's table is down, so it can't read the configuration there. If it didn't get it from its peers, it would
    // refuse every caller until the table is back, and show operators no services.
    Cluster cluster(Small);
    cluster.bringUp();
    REQUIRE(cluster.ctl({"apply", cluster.writeDeclarations(withMoveCost(cluster, 7)), "--wait"}) == 0);
    cluster.fault({{"part", "table"}, {"mode", "refuse"}});
    cluster.kill("entry-1");
    cluster.start("entry-1");
    waitForRevision(cluster, 1, 2);
    cluster.waitFor("the restarted entry serves a model", [&] { return cluster.complete(1, "sun", "after the restart", 5)->isWholeStream(); });
    const auto answer = cluster.complete(1, "sun", "again", 5);
    CHECK(answer->text() == expectedText("sun@1", "again", 5));

    CHECK(cluster.ctl({"apply", cluster.writeDeclarations(withMoveCost(cluster, 8)), "--timeout", "1"}) == ExitUnreachable);
    CHECK(revisionOf(cluster, 1) == 2);
    cluster.heal();
    cluster.waitFor("the change is accepted once the table is back", [&] {
        return cluster.ctl({"apply", cluster.writeDeclarations(withMoveCost(cluster, 8))}) == 0;
    });
    waitForRevision(cluster, 1, 3);
    waitForRevision(cluster, 2, 3);
}
