// The complete path of a request (caller, entry, agent, target and back), invalid input and planned stops.
#include "tests/harness_cluster.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace KingCup;

namespace
{

/// Connects to a port, sends `bytes` and closes the connection.
auto sendGarbage(int port, const std::string &bytes) -> void
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    ::close(socket);
}

} // namespace

TEST_CASE("requests of every kind are answered completely, with their outcome")
{
    Cluster cluster;
    cluster.bringUp();

    const auto streamed = cluster.complete(1, "sun", "who covers for Asha today?", 30);
    CHECK(streamed->isWholeStream());
    CHECK(streamed->text() == expectedText("sun@1", "who covers for Asha today?", 30));
    CHECK(streamed->outcome() == "delivered");

    const auto plain = cluster.complete(2, "moon", "exposure advisory", 8, false);
    CHECK(plain->status == 200);
    CHECK(plain->outcome() == "delivered");
    CHECK(plain->text() == expectedText("moon@1", "exposure advisory", 8));

    const auto adapter = cluster.complete(1, "tan", "by adapter", 5);
    CHECK(adapter->text() == expectedText("tan", "by adapter", 5));

    const auto debit = cluster.debit(1, "path-1", "asha", 7);
    CHECK(debit->status == 201);
    CHECK(debit->outcome() == "delivered");
    CHECK(cluster.executions("path-1") == 1);
    const auto balance = cluster.call(2, {.path = "/services/ledger/balance/asha"});
    CHECK(balance->json()["minutes"] == -7);
    checkInvariants(cluster);
}

TEST_CASE("invalid input gets an error, is not run and disturbs no other request")
{
    // A client is misconfigured or broken. It must be told what is wrong, and other callers must not be affected.
    Cluster cluster({.entries = 1, .runners = 1, .ledgers = 1, .models = "[model sun]\nservice = advisory\ncurrent = 1\n[version sun@1]\nsize-gb = 6\n"});
    cluster.bringUp();
    struct BadCall {
        std::string what;
        HttpCall call;
        int status;
    };
    const std::vector<BadCall> all {
        {"an unknown model", {.method = "POST", .path = "/v1/completions", .body = R"({"model":"nobody","prompt":"x"})"}, 404},
        {"invalid JSON", {.method = "POST", .path = "/v1/completions", .body = R"({"model":"sun",)"}, 400},
        {"invalid UTF-8", {.method = "POST", .path = "/v1/completions", .body = "{\"model\":\"sun\",\"prompt\":\"\xff\xfe\"}"}, 400},
        {"no model", {.method = "POST", .path = "/v1/completions", .body = "{}"}, 400},
        {"an unknown path", {.path = "/nowhere"}, 404},
        {"an unknown service", {.path = "/services/nobody/x"}, 404},
        {"a bad time budget", {.path = "/services/ledger/balance/x", .headers = {{"kingcup-time-budget-ms", "soon"}}}, 400},
    };
    for (const auto &bad : all) {
        INFO(bad.what);
        const auto answer = cluster.call(1, bad.call);
        CHECK(answer->status == bad.status);
        CHECK(answer->outcome() == "not-run");
        CHECK(answer->json()["code"].is_string());
    }
    sendGarbage(cluster.peersPort("runner-1"), std::string(100000, '\x7f'));
    sendGarbage(cluster.peersPort("runner-1"), "GET / HTTP/1.1\r\n\r\n");
    sendGarbage(cluster.peersPort("entry-1"), std::string(100000, '\0'));
    sendGarbage(cluster.callersPort(1), std::string(100000, '\x01'));
    const auto after = cluster.complete(1, "sun", "still there?", 5);
    CHECK(after->text() == expectedText("sun@1", "still there?", 5));
    CHECK_FALSE(cluster.process("runner-1").exitCode().has_value());
    CHECK_FALSE(cluster.process("entry-1").exitCode().has_value());
}

TEST_CASE("a planned stop of any process cuts off no request")
{
    // A process gets SIGTERM because its host is replaced, while streams and debits run on it. Each of them must be answered completely.
    const std::string leaving = GENERATE(as<std::string> {}, "entry-1", "runner-1", "ledger-1");
    INFO("stopped: " << leaving);
    Cluster cluster;
    cluster.bringUp();
    std::vector<CallPtr> streams;
    streams.reserve(12);
    for (int i = 0; i < 12; ++i) {
        streams.push_back(cluster.beginCompletion(1, i % 2 == 0 ? "sun" : "moon", "stop " + std::to_string(i), 80));
    }
    std::vector<CallPtr> debits;
    debits.reserve(8);
    for (int i = 0; i < 8; ++i) {
        debits.push_back(cluster.beginDebit(1, "stop-" + std::to_string(i), "asha", 1, "?hold-ms=1000"));
    }
    cluster.waitFor("every stream has begun",
                    [&] { return std::all_of(streams.begin(), streams.end(), [](const auto &stream) { return !stream->body.empty(); }); });
    cluster.terminate(leaving);
    CHECK(cluster.waitForExit(leaving) == 0);
    cluster.waitFor("every call ends", [&] {
        const auto isDone = [](const auto &record) {
            return record->done;
        };
        return std::all_of(streams.begin(), streams.end(), isDone) && std::all_of(debits.begin(), debits.end(), isDone);
    });
    for (int i = 0; i < 12; ++i) {
        CHECK(streams[static_cast<std::size_t>(i)]->text() == expectedText(i % 2 == 0 ? "sun@1" : "moon@1", "stop " + std::to_string(i), 80));
        CHECK(streams[static_cast<std::size_t>(i)]->isWholeStream());
    }
    for (int i = 0; i < 8; ++i) {
        CHECK(debits[static_cast<std::size_t>(i)]->outcome() == "delivered");
        CHECK(cluster.executions("stop-" + std::to_string(i)) == 1);
    }
    checkInvariants(cluster);
}
