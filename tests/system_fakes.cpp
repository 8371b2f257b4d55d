// Tests the fakes and their fault proxy. The other system tests compare the system with the counts of the fakes, so these must be right.
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

/// Runs only the fakes, with one engine and one ledger, without entries and agents.
struct FakesFixture {
    Cluster cluster;
    HttpClient client {cluster.loop()};
    Json ports;

    FakesFixture()
        : cluster({.entries = 0, .runners = 0, .ledgers = 0, .fakes = {"--engine.count=1", "--service.groups=ledger:1", "--engine.restart-ms=300"}})
        , ports(cluster.admin("GET", "/ports"))
    {
    }

    auto call(int port, HttpCall request) -> HttpAnswer
    {
        request.server = Endpoint {"127.0.0.1", port};
        request.timeout = Duration::seconds(2);
        HttpAnswer answer;
        bool done = false;
        startShortCall(client, std::move(request), [&](const HttpAnswer &got) {
            answer = got;
            done = true;
        });
        REQUIRE(cluster.loop().runUntil([&] { return done; }, Duration::seconds(20)));
        return answer;
    }
    auto enginePort() -> int
    {
        return ports["engines"][0]["port"];
    }
    auto servicePort() -> int
    {
        return ports["services"][0]["port"];
    }
    auto order(const std::string &artifact, double gigabytes) -> HttpAnswer
    {
        const Json body {
            {"id", "order-" + artifact}, {"fence", 1}, {"kind", "load"}, {"artifact", artifact}, {"bytes", static_cast<std::int64_t>(gigabytes * 1e9)}};
        return call(enginePort(), {.method = "POST", .path = "/orders", .body = body.dump()});
    }
    auto debit(int port, const std::string &key) -> HttpAnswer
    {
        return call(port, {.method = "POST", .path = "/debits", .headers = {{"idempotency-key", key}}, .body = R"({"account":"a","minutes":1})"});
    }
};

} // namespace

TEST_CASE("an engine that is ordered to load more than its memory holds counts an overcommit and crashes")
{
    // A load is ordered that doesn't fit into the free memory. A real engine then runs out of accelerator memory and crashes with all of its requests.
    FakesFixture fixture;
    REQUIRE(fixture.order("sun@1", 40).status == 202);
    REQUIRE(fixture.cluster.truth()["totals"]["overcommits"] == 0);
    fixture.order("moon@1", 30);
    REQUIRE(fixture.cluster.truth()["totals"]["overcommits"] == 1);
    REQUIRE(fixture.call(fixture.enginePort(), {.path = "/status"}).end == CallEnd::NotSent);
    HttpAnswer status;
    fixture.cluster.waitFor("the engine is back", [&] {
        status = fixture.call(fixture.enginePort(), {.path = "/status"});
        return status.status == 200;
    });
    const auto back = Json::parse(status.body);
    REQUIRE(back["generation"] == 2);
    REQUIRE(back["memoryUsed"] == 0);
}

TEST_CASE("the fake ledger counts each execution of a key")
{
    FakesFixture fixture;
    REQUIRE(fixture.debit(fixture.servicePort(), "once").status == 201);
    REQUIRE(fixture.debit(fixture.servicePort(), "twice").status == 201);
    REQUIRE(fixture.debit(fixture.servicePort(), "twice").status == 201);
    REQUIRE(fixture.cluster.executions("once") == 1);
    REQUIRE(fixture.cluster.executions("twice") == 2);
    REQUIRE(fixture.cluster.truth()["totals"]["doubled"] == Json::array({"ledger:twice"}));
}

TEST_CASE("a table write whose answer is dropped takes effect")
{
    // The write is committed, and the connection breaks before the answer is sent. The writer can't distinguish this from a write that never arrived.
    FakesFixture fixture;
    const int table = fixture.ports["table"];
    fixture.cluster.fault({{"part", "table"}, {"mode", "drop-answer"}, {"count", 1}});
    const HttpCall write {.method = "POST", .path = "/table/transact", .body = R"({"id":"w","ops":[{"op":"put","key":"k","expect":0,"value":"v"}]})"};
    REQUIRE(fixture.call(table, write).end == CallEnd::Broken);
    REQUIRE(fixture.call(table, write).status == 409);
    REQUIRE(fixture.cluster.admin("GET", "/rows?prefix=k")["rows"].size() == 1);
}

TEST_CASE("each fault of a proxied link has its documented effect, and healing ends it")
{
    FakesFixture fixture;
    const int port = fixture.cluster.admin("POST", "/links", {{"name", "l"}, {"target", "127.0.0.1:" + std::to_string(fixture.servicePort())}})["port"];
    const auto setMode = [&](const std::string &mode) {
        fixture.cluster.fault({{"part", "link"}, {"name", "l"}, {"mode", mode}});
    };
    REQUIRE(fixture.debit(port, "plain").status == 201);
    setMode("drop-answer");
    REQUIRE(fixture.debit(port, "dropped").end == CallEnd::Broken);
    REQUIRE(fixture.cluster.executions("dropped") == 1);
    setMode("cut");
    REQUIRE(fixture.debit(port, "cut").end != CallEnd::Complete);
    REQUIRE(fixture.cluster.executions("cut") == 0);
    setMode("heal");
    setMode("lose-up");
    REQUIRE(fixture.debit(port, "lost").end == CallEnd::Timeout);
    REQUIRE(fixture.cluster.executions("lost") == 0);
    setMode("heal");
    setMode("lose-down");
    REQUIRE(fixture.debit(port, "unheard").end == CallEnd::Timeout);
    REQUIRE(fixture.cluster.executions("unheard") == 1);
    setMode("heal");
    setMode("freeze");
    REQUIRE(fixture.debit(port, "frozen").end == CallEnd::Timeout);
    REQUIRE(fixture.cluster.executions("frozen") == 0);
    setMode("heal");
    REQUIRE(fixture.debit(port, "healed").status == 201);
}

TEST_CASE("a connection that has lost bytes delivers none of the later bytes")
{
    // A TCP stream never has gaps. A proxy that dropped some events of a stream and forwarded the later ones made correct answers look corrupt.
    FakesFixture fixture;
    const int port = fixture.cluster.admin("POST", "/links", {{"name", "l"}, {"target", "127.0.0.1:" + std::to_string(fixture.enginePort())}})["port"];
    const auto setMode = [&](const std::string &mode) {
        fixture.cluster.fault({{"part", "link"}, {"name", "l"}, {"mode", mode}});
    };
    REQUIRE(fixture.order("sun@1", 40).status == 202);
    fixture.cluster.waitFor("the model is resident", [&] {
        return fixture.call(fixture.enginePort(), {.path = "/status"}).body.find("sun@1") != std::string::npos
            && fixture.call(fixture.enginePort(), {.method = "POST", .path = "/v1/completions", .body = R"({"model":"sun@1","prompt":"p","max_tokens":1})"})
                   .status
            == 200;
    });
    constexpr int Tokens = 200;
    HttpCall call {.server = Endpoint {"127.0.0.1", port}, .method = "POST", .path = "/v1/completions"};
    call.body = Json {{"model", "sun@1"}, {"prompt", "p"}, {"max_tokens", Tokens}, {"stream", true}}.dump();
    call.timeout = Duration::seconds(20);
    HttpAnswer answer;
    bool done = false;
    startShortCall(fixture.client, std::move(call), [&](const HttpAnswer &got) {
        answer = got;
        done = true;
    });
    fixture.cluster.sleep(Duration::millis(500));
    setMode("lose-down");
    fixture.cluster.sleep(Duration::millis(300));
    setMode("heal");
    REQUIRE(fixture.cluster.loop().runUntil([&] { return done; }, Duration::seconds(20)));
    CallRecord record;
    record.body = answer.body;
    const auto got = record.text();
    CHECK(answer.end == CallEnd::Broken);
    CHECK(!got.empty());
    CHECK(expectedText("sun@1", "p", Tokens).compare(0, got.size(), got) == 0);
}
