// One gateway's forwarding of requests to targets whose answers the test defines: what counts as run, and what a client is answered.
#include "tests/forwarder_fixture.h"
#include "tests/slowreader.h"

#include <catch2/catch.hpp>

using namespace KingCup;

TEST_CASE("a target's own error counts as run: the request isn't sent again, and its client isn't answered as if it hadn't run")
{
    // Guards against a second run of a request that must run once.
    for (const int status : {500, 502, 504}) {
        ForwarderFixture fixture([&](const std::string & /*target*/, const std::string &attempt) { return answerText(status, attempt, "", "error"); });
        INFO(status);
        CHECK(fixture.call("/write/x") == status);
        CHECK(fixture.runs.size() == 1);
    }
    for (const int status : {503, 429, 408}) {
        ForwarderFixture fixture([&](const std::string & /*target*/, const std::string &attempt) { return answerText(status, attempt, "", "error"); });
        INFO(status);
        CHECK(fixture.call("/write/x") == 502);
        CHECK(fixture.runs.size() == 1);
    }
}

TEST_CASE("a target's own error is answered by another target if the request may run again")
{
    for (const int status : {500, 504, 503}) {
        ForwarderFixture fixture([&](const std::string & /*target*/, const std::string &attempt) {
            const bool isFirst = fixture.runs.size() == 1;
            return isFirst ? answerText(status, attempt, "", "error") : answerText(200, attempt, "", "ok");
        });
        INFO(status);
        CHECK(fixture.call("/read/x") == 200);
        CHECK(fixture.runs.size() == 2);
    }
}

TEST_CASE("a request that a target states not to have run is sent to another one, and refused as not run if there is none")
{
    // Guards against requests that fail although they may be sent again, and against a false statement that a request may have run.
    for (const auto &rejection : std::vector<std::pair<int, std::string>> {{503, "Not-Executed: 1\r\n"}, {500, "Not-Executed: 1\r\n"}, {421, ""}}) {
        const int status = rejection.first;
        const auto &header = rejection.second;
        INFO(status);
        ForwarderFixture fixture([&](const std::string & /*target*/, const std::string &attempt) {
            return fixture.runs.size() == 1 ? answerText(status, attempt, header, "") : answerText(200, attempt, "", "ok");
        });
        CHECK(fixture.call("/write/x") == 200);
        REQUIRE(fixture.runs.size() == 2);
        CHECK(fixture.runs[0].target != fixture.runs[1].target);
        ForwarderFixture refused([&](const std::string & /*target*/, const std::string &attempt) { return answerText(status, attempt, header, ""); });
        CHECK(refused.call("/write/x") == 503);
        CHECK(refused.runs.size() == 2); // once at each target
    }
}

TEST_CASE("a long answer with a status that states that the request hasn't run is not passed on")
{
    // Guards against a client that sends a request again which has run: an answer of more than a megabyte was passed on as it arrived.
    for (const int status : {503, 429}) {
        INFO(status);
        ForwarderFixture fixture(
            [&](const std::string & /*target*/, const std::string &attempt) { return answerText(status, attempt, "", std::string(3U << 20U, 'x')); });
        CHECK(fixture.call("/write/x") == 502);
        CHECK(fixture.runs.size() == 1);
    }
}

TEST_CASE("a long answer that states that the request hasn't run is not passed on, and the request goes to another target")
{
    ForwarderFixture fixture([&](const std::string & /*target*/, const std::string &attempt) {
        return fixture.runs.size() == 1 ? answerText(503, attempt, "Not-Executed: 1\r\n", std::string(3U << 20U, 'x')) : answerText(200, attempt, "", "ok");
    });
    CHECK(fixture.call("/write/x") == 200);
    CHECK(fixture.runs.size() == 2);
}

TEST_CASE("a long answer with another status arrives whole")
{
    ForwarderFixture fixture(
        [&](const std::string & /*target*/, const std::string &attempt) { return answerText(200, attempt, "", std::string(3U << 20U, 'x')); });
    CHECK(fixture.call("/write/x") == 200);
    CHECK(fixture.text.size() > 3U << 20U);
}

TEST_CASE("a target that cuts off an answer that its client doesn't read isn't taken for failing")
{
    // Guards against targets that get fewer requests because of clients that read slowly: a target cuts off an answer that stays unread for some seconds.
    ScriptedConnection *connection = nullptr;
    ForwarderFixture fixture([](const std::string & /*target*/, const std::string &attempt) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: s\r\nContent-Length: 99999999\r\n\r\n" + std::string(24U << 20U, 'x');
    });
    SlowReader reader(fixture.server->port(), "POST /write/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 1\r\n\r\nx");
    REQUIRE(fixture.loop.runUntil([&] { return fixture.runs.size() == 1; }, TestTimeout));
    fixture.loop.runUntil([] { return false; }, Duration::millis(500));
    const TargetId target(fixture.runs[0].target);
    connection = &fixture.targets[target.text()]->connection(0);
    connection->stream->setResetOnClose(true);
    connection->stream.reset();
    REQUIRE(fixture.loop.runUntil([&] { return fixture.forwarder->open() == 0; }, TestTimeout));
    CHECK(fixture.dispatcher.failures(target, fixture.loop.now()) == 0);
    CHECK_FALSE(fixture.dispatcher.isEjected(target, fixture.loop.now()));
    for (int i = 0; i < 5000 && !reader.isClosed && !reader.isReset; ++i) {
        fixture.loop.runUntil([] { return false; }, Duration::millis(1));
        reader.read(1U << 20U);
    }
    CHECK(reader.received < 24U << 20U);
    CHECK((reader.isClosed || reader.isReset)); // the client can tell that the answer is incomplete
}
