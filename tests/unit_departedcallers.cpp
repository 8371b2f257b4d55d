// Requests whose callers have closed their connections before the gateway sends them to a target.
#include "tests/forwarder_fixture.h"
#include "tests/slowreader.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace KingCup;

namespace
{

/// Long enough for a request that is sent to reach its target, and for the close to be read.
constexpr auto SettleTime = Duration::millis(400);

auto settle(ForwarderFixture &fixture) -> void
{
    fixture.loop.runUntil([] { return false; }, SettleTime);
}

/// The gateway's loop stands still.
auto stall(Duration span) -> void
{
    std::this_thread::sleep_for(std::chrono::microseconds(span.inMicros()));
}

auto okAnswer(const std::string & /*target*/, const std::string &attempt) -> std::string
{
    return answerText(200, attempt, "", "ok");
}

/// Opens a connection to a target, which later requests use.
auto warmUp(ForwarderFixture &fixture) -> std::size_t
{
    REQUIRE(fixture.call("/read/x") == 200);
    return fixture.runs.size();
}

auto request(const std::string &path, int number) -> std::string
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: left-" + std::to_string(number) + "\r\nContent-Length: 1\r\n\r\nx";
}

} // namespace

TEST_CASE("a request that is read after its caller has closed the connection isn't sent to a target")
{
    // Guards against targets that work for nobody while a gateway reads its input late.
    const bool usesOpenConnections = GENERATE(true, false);
    ForwarderFixture fixture(okAnswer);
    const auto before = usesOpenConnections ? warmUp(fixture) : 0;
    constexpr int Requests = 20;
    for (int i = 0; i < Requests; ++i) {
        rawCall(fixture.server->port(), request(i % 2 == 0 ? "/read/x" : "/write/x", i), RawAfter::Close).wait();
    }
    settle(fixture);
    CHECK(fixture.runs.size() == before);
    CHECK(fixture.forwarder->open() == 0);
    CHECK(fixture.call("/read/x") == 200);
}

TEST_CASE("a request that waited while its caller closed the connection isn't sent after the gateway stood still")
{
    // Guards against timers that run before the closes are read which arrived while the process was frozen.
    ForwarderFixture fixture(okAnswer);
    const auto before = warmUp(fixture);
    for (const auto *target : {"p1", "p2"}) {
        fixture.dispatcher.askedToPause({TargetId(target), 1}, Duration::millis(100), fixture.loop.now());
    }
    auto caller = std::make_unique<SlowReader>(fixture.server->port(), request("/read/x", 1));
    REQUIRE(fixture.loop.runUntil([&] { return fixture.forwarder->open() == 1; }, TestTimeout));
    caller.reset();
    stall(Duration::millis(300));
    settle(fixture);
    CHECK(fixture.runs.size() == before);
    CHECK(fixture.forwarder->open() == 0);
}
