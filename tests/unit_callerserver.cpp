// Tests of the server for callers' connections: limits, framing, callers that leave, planned stops.
#include "net/callerserver.h"
#include "tests/rawcaller.h"
#include "tests/slowreader.h"

#include "tests/textparts.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto TestTimeout = Duration::seconds(8);

struct ServerFixture {
    EventLoop loop;
    std::vector<CallerExchangePtr> seen;
    std::function<void(const CallerExchangePtr &exchange)> answer = [](const CallerExchangePtr &exchange) {
        exchange->respond(200, {{"X", "1"}}, exchange->head().method + " " + exchange->head().target + " " + std::string(exchange->body().view()));
    };
    CallerServer server {loop, Endpoint {"127.0.0.1", 0}, [this](const CallerExchangePtr &exchange) {
                             seen.push_back(exchange);
                             answer(exchange);
                         }};

    ServerFixture()
    {
        CallerLimits limits;
        limits.headBytes = 2000;
        limits.bodyBytes = 1000;
        limits.headTimeout = Duration::millis(500);
        limits.idleTimeout = Duration::millis(700);
        server.setLimits(limits);
    }
    auto call(const std::string &bytes) -> RawAnswer
    {
        auto answered = rawCall(server.port(), bytes, RawAfter::Read);
        REQUIRE(loop.runUntil([&] { return answered.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, TestTimeout));
        return answered.get();
    }
};

/// A streamed answer, which is finished only for the target "/whole".
auto answerInPieces(const CallerExchangePtr &exchange) -> void
{
    exchange->begin(200, {}, std::nullopt);
    exchange->write("abc");
    exchange->write("de");
    if (exchange->head().target == "/whole") {
        exchange->finish();
    } else {
        exchange->abort();
    }
}

} // namespace

TEST_CASE("requests on one connection are answered one after the other")
{
    ServerFixture fixture;
    const auto answer = fixture.call("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                                     "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
                                     "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(countOccurrences(answer.text, "HTTP/1.1 200 OK") == 3);
    CHECK(answer.text.find("POST /b hi") != std::string::npos);
    CHECK(answer.text.find("GET /c ") > answer.text.find("POST /b hi"));
    CHECK(countOccurrences(answer.text, "Connection: close") == 1);
    CHECK(answer.isClosed);
}

TEST_CASE("a request that is too large, malformed or too slow is answered with its own status and never reaches the handler")
{
    ServerFixture fixture;
    CHECK(fixture.call("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n").text.starts_with("HTTP/1.1 413"));
    CHECK(fixture.call("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x')).text.starts_with("HTTP/1.1 413"));
    CHECK(fixture.call("GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n").text.starts_with("HTTP/1.1 431"));
    CHECK(fixture.call("what?\r\n\r\n").text.starts_with("HTTP/1.1 400"));
    CHECK(fixture.call("GET / HTTP/1.1\r\nHost").text.starts_with("HTTP/1.1 408"));
    CHECK(fixture.call("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab").text.starts_with("HTTP/1.1 408"));
    CHECK(fixture.seen.empty());
    CHECK(fixture.server.counts().malformed == 6);
}

TEST_CASE("an idle connection is closed without an answer")
{
    ServerFixture fixture;
    const auto answer = fixture.call("");
    CHECK(answer.text.empty());
    CHECK(answer.isClosed);
}

TEST_CASE("a request with Expect: 100-continue gets the interim answer 100")
{
    ServerFixture fixture;
    const auto answer = fixture.call("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
    CHECK(answer.text.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"));
}

TEST_CASE("a streamed answer is chunked, and an aborted one has no last chunk")
{
    ServerFixture fixture;
    fixture.answer = &answerInPieces;
    CHECK(fixture.call("GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").text.ends_with("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
    CHECK_FALSE(fixture.call("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n").text.ends_with("0\r\n\r\n"));
}

TEST_CASE("a streamed answer to an HTTP/1.0 caller ends with the connection, and an aborted one with a reset")
{
    // Guards against chunks that HTTP/1.0 callers take for content, and against a broken answer that looks complete to them.
    ServerFixture fixture;
    fixture.answer = &answerInPieces;
    for (const std::string connection : {"", "Connection: keep-alive\r\n"}) {
        const auto whole = fixture.call("GET /whole HTTP/1.0\r\nHost: h\r\n" + connection + "\r\n");
        CHECK(whole.text.ends_with("\r\n\r\nabcde"));
        CHECK(whole.text.find("Connection: close") != std::string::npos);
        CHECK(whole.isClosed);
        CHECK_FALSE(whole.isReset);
        CHECK(fixture.call("GET /cut HTTP/1.0\r\nHost: h\r\n" + connection + "\r\n").isReset);
    }
}

TEST_CASE("a caller that closes its connection while its request is in flight is noticed at once")
{
    // Guards against runners that go on working on a request whose client has given up.
    ServerFixture fixture;
    bool left = false;
    fixture.answer = [&left](const CallerExchangePtr &exchange) {
        exchange->onGone = [&left] {
            left = true;
        };
    };
    auto caller = std::make_unique<SlowReader>(fixture.server.port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.loop.runUntil([&] { return !fixture.seen.empty(); }, Duration::seconds(2)));
    CHECK_FALSE(fixture.seen.at(0)->hasCallerLeft());
    caller.reset();
    CHECK(fixture.seen.at(0)->hasCallerLeft()); // before the close is read
    CHECK(fixture.loop.runUntil([&] { return left; }, Duration::seconds(2)));
    CHECK_FALSE(fixture.seen.at(0)->isOpen());
    fixture.seen.at(0)->respond(200, {}, "too late"); // does nothing
}

TEST_CASE("a request whose caller has closed the connection before it is read doesn't reach the handler")
{
    // Guards against work for callers that have left while the process was busy.
    ServerFixture fixture;
    rawCall(fixture.server.port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", RawAfter::Close).get();
    CHECK(fixture.loop.runUntil([&] { return fixture.server.counts().departed == 1; }, Duration::seconds(2)));
    CHECK(fixture.seen.empty());
    CHECK(fixture.server.connections() == 0);
}

TEST_CASE("a leaving process closes each connection after its answer, and idle ones on request")
{
    ServerFixture fixture;
    fixture.server.setLeaving();
    const auto answer = fixture.call("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(countOccurrences(answer.text, "Connection: close") == 1);
    CHECK(answer.isClosed);
    // The caller sees the close before the server has dropped the connection, which must not be taken for the next one.
    REQUIRE(fixture.loop.runUntil([&] { return fixture.server.connections() == 0; }, TestTimeout));
    auto idle = rawCall(fixture.server.port(), "", RawAfter::Read);
    REQUIRE(fixture.loop.runUntil([&] { return fixture.server.connections() == 1; }, TestTimeout));
    fixture.server.closeIdle();
    CHECK(fixture.server.connections() == 0);
    fixture.server.stopListening();
    CHECK(fixture.loop.runUntil([&] { return idle.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, TestTimeout));
}

namespace
{

constexpr std::size_t LargeAnswer = 8U << 20U; ///< more than the kernel takes for a client that doesn't read

auto wait(EventLoop &loop, Duration span) -> void
{
    loop.runUntil([] { return false; }, span);
}

/// Reads until the client has more than these bytes, or its connection has ended.
auto readBeyond(EventLoop &loop, SlowReader &reader, std::size_t bytes) -> void
{
    for (int i = 0; i < 20000 && reader.received <= bytes && !reader.isReset && !reader.isClosed; ++i) {
        wait(loop, Duration::millis(1));
        reader.read(1U << 20U);
    }
}

auto answerLarge(const CallerExchangePtr &exchange) -> void
{
    exchange->respond(200, {}, std::string(LargeAnswer, 'x'));
}

} // namespace

TEST_CASE("a client that reads slowly gets its whole answer, although that takes longer than the idle timeout")
{
    // Guards against an answer that is cut off because its client reads it slowly.
    for (const std::string connection : {"", "Connection: close\r\n"}) {
        INFO(connection);
        ServerFixture fixture;
        fixture.answer = &answerLarge;
        SlowReader reader(fixture.server.port(), "GET / HTTP/1.1\r\nHost: h\r\n" + connection + "\r\n");
        for (int i = 0; i < 30; ++i) { // for 3 s; the idle timeout is 0.7 s
            wait(fixture.loop, Duration::millis(100));
            for (std::size_t taken = 0; taken < LargeAnswer / 40;) {
                const auto size = reader.read(65536);
                taken += size;
                if (size == 0) {
                    break;
                }
            }
        }
        readBeyond(fixture.loop, reader, LargeAnswer);
        CHECK(reader.received > LargeAnswer);
        CHECK_FALSE(reader.isReset);
        CHECK_FALSE((reader.isClosed && reader.received <= LargeAnswer));
    }
}

TEST_CASE("an answer counts as undelivered until its client's host has all of it")
{
    // Guards against a planned stop that drops answers which slow clients are still reading.
    for (const std::string connection : {"", "Connection: close\r\n"}) {
        INFO(connection);
        ServerFixture fixture;
        fixture.answer = &answerLarge;
        SlowReader reader(fixture.server.port(), "GET / HTTP/1.1\r\nHost: h\r\n" + connection + "\r\n");
        REQUIRE(fixture.loop.runUntil([&] { return fixture.server.undeliveredAnswers() == 1; }, TestTimeout));
        CHECK(fixture.server.openExchanges() == 0);
        readBeyond(fixture.loop, reader, LargeAnswer / 2);
        CHECK(fixture.server.undeliveredAnswers() == 1);
        readBeyond(fixture.loop, reader, LargeAnswer);
        CHECK(reader.received > LargeAnswer);
        CHECK(fixture.loop.runUntil([&] { return fixture.server.undeliveredAnswers() == 0; }, TestTimeout));
    }
}

TEST_CASE("a client that pauses for some seconds while it reads gets its whole answer")
{
    // Guards against a connection that is taken for silent because its client has no space in its receive buffer.
    ServerFixture fixture;
    CallerLimits limits;
    limits.idleTimeout = Duration::seconds(15);
    fixture.server.setLimits(limits);
    fixture.answer = &answerLarge;
    SlowReader reader(fixture.server.port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    wait(fixture.loop, Duration::millis(4000));
    readBeyond(fixture.loop, reader, LargeAnswer);
    CHECK(reader.received > LargeAnswer);
    CHECK_FALSE(reader.isReset);
}

TEST_CASE("a client that never reads is disconnected, and its answer is dropped")
{
    // Guards against memory that is held for a client that has stopped reading.
    for (const std::string connection : {"", "Connection: close\r\n"}) {
        ServerFixture fixture;
        fixture.answer = &answerLarge;
        const SlowReader reader(fixture.server.port(), "GET / HTTP/1.1\r\nHost: h\r\n" + connection + "\r\n");
        REQUIRE(fixture.loop.runUntil([&] { return fixture.server.connections() == 1; }, TestTimeout));
        CHECK(fixture.loop.runUntil([&] { return fixture.server.connections() == 0; }, Duration::seconds(12)));
    }
}

TEST_CASE("further requests of a client that doesn't read its answers wait")
{
    // Guards against answers that pile up for a client that sends requests and reads nothing.
    ServerFixture fixture;
    fixture.answer = &answerLarge;
    std::string requests;
    for (int i = 0; i < 20; ++i) {
        requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    SlowReader reader(fixture.server.port(), requests);
    wait(fixture.loop, Duration::millis(300));
    CHECK(fixture.seen.size() == 1);
    for (int i = 0; i < 20000 && reader.received < 3 * LargeAnswer && !reader.isReset && !reader.isClosed; ++i) {
        wait(fixture.loop, Duration::millis(1));
        reader.read(1U << 20U);
    }
    CHECK(reader.received >= 3 * LargeAnswer); // it goes on once the client reads
    CHECK(fixture.seen.size() >= 3);
}

TEST_CASE("what clients together haven't read stays bounded, and a client that reads isn't affected")
{
    // Guards against memory that grows with the number of clients that don't read.
    ServerFixture fixture;
    fixture.answer = &answerLarge;
    constexpr std::size_t MaxUnsent = 2 * LargeAnswer;
    fixture.server.setBounds({.bytes = MaxUnsent, .reserved = 0});
    constexpr std::size_t IdleReaders = 10;
    std::vector<std::unique_ptr<SlowReader>> idle;
    idle.reserve(IdleReaders);
    for (std::size_t i = 0; i < IdleReaders; ++i) {
        idle.push_back(std::make_unique<SlowReader>(fixture.server.port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
    }
    wait(fixture.loop, Duration::millis(100));
    SlowReader reader(fixture.server.port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto readFor = [&](int millis) {
        for (int i = 0; i < millis; ++i) {
            wait(fixture.loop, Duration::millis(1));
            reader.read(65536);
        }
    };
    readFor(1000);
    CHECK(fixture.server.unsentBytes() <= MaxUnsent);
    CHECK(fixture.server.counts().dropped > 5);
    for (int i = 0; i < 20 && reader.received <= LargeAnswer; ++i) {
        readFor(1000);
    }
    INFO("reset " << reader.isReset << ", closed " << reader.isClosed << ", dropped " << fixture.server.counts().dropped);
    CHECK(reader.received > LargeAnswer);
}

TEST_CASE("a body that isn't whole when its request's time is over is refused, although its bytes keep coming")
{
    // Guards against clients that keep a body in memory by a byte from time to time.
    EventLoop loop;
    CallerServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.limits.headTimeout = Duration::seconds(5);
    options.hooks.timeBudget = [](const HttpHead & /*head*/) {
        return Duration::millis(600);
    };
    int handled = 0;
    CallerServer server(loop, options, [&](const CallerExchangePtr &exchange) {
        ++handled;
        exchange->respond(200, {}, "");
    });
    SlowReader sender(server.port(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n");
    for (int i = 0; i < 50 && sender.received == 0; ++i) {
        wait(loop, Duration::millis(100));
        sender.write("x");
        sender.read(1000);
    }
    CHECK(sender.text.starts_with("HTTP/1.1 408"));
    CHECK(handled == 0);
}

TEST_CASE("large bodies beyond the bound are refused with 503, and small requests are served beside them")
{
    // Guards against bodies that each are legal and together exhaust the memory, and against a legal body that is refused for good.
    EventLoop loop;
    constexpr std::size_t Body = 1U << 20U;
    CallerServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.limits.bodyBytes = Body;
    options.bounds = {.bytes = 3 * Body, .reserved = Body / 2};
    options.hooks.refusalAnswer = [](const HttpHead & /*head*/, CallerRefusal refusal) {
        return CallerServerHooks::Answer {{{"Retry-After", "1"}}, toString(refusal)};
    };
    std::vector<CallerExchangePtr> held;
    CallerServer server(loop, options, [&](const CallerExchangePtr &exchange) {
        if (exchange->head().method == "GET") {
            exchange->respond(200, {}, "");
        } else {
            held.push_back(exchange);
        }
    });
    const auto post = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(Body) + "\r\n\r\n" + std::string(Body, 'x');
    constexpr int Callers = 5;
    std::vector<std::future<RawAnswer>> answers;
    answers.reserve(Callers);
    for (int i = 0; i < Callers; ++i) {
        answers.push_back(rawCall(server.port(), post, RawAfter::Read));
    }
    REQUIRE(loop.runUntil([&] { return held.size() + server.counts().overloaded == 5; }, TestTimeout));
    CHECK(held.size() == 2);
    CHECK(server.heldBytes() <= options.bounds.bytes);
    auto small = rawCall(server.port(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", RawAfter::Read);
    REQUIRE(loop.runUntil([&] { return small.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, TestTimeout));
    CHECK(small.get().text.starts_with("HTTP/1.1 200"));
    for (const auto &exchange : held) {
        exchange->respond(200, {}, "");
    }
    held.clear();
    int refused = 0;
    for (auto &answer : answers) {
        REQUIRE(loop.runUntil([&] { return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, TestTimeout));
        const auto text = answer.get().text;
        refused += text.starts_with("HTTP/1.1 503") && text.find("Retry-After: 1") != std::string::npos && text.ends_with("overloaded") ? 1 : 0;
    }
    CHECK(refused == 3);
    CHECK(loop.runUntil([&] { return server.heldBytes() < Body; }, TestTimeout));
}

TEST_CASE("a client that sends on after it was refused can read why")
{
    // Guards against a connection that is closed with bytes unread: the reset would destroy the answer.
    ServerFixture fixture;
    constexpr std::size_t Sent = 20U << 20U;
    const auto answer = fixture.call("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(Sent) + "\r\n\r\n" + std::string(Sent, 'x'));
    CHECK(answer.text.starts_with("HTTP/1.1 413"));
    CHECK_FALSE(answer.isReset);
}

TEST_CASE("clients that send on after they were refused don't keep others from connecting")
{
    // Guards against connections that are kept for refused clients until no other is accepted.
    ServerFixture fixture;
    fixture.server.setBounds({.connections = 2});
    const std::string tooLarge = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n";
    const SlowReader first(fixture.server.port(), tooLarge);
    const SlowReader second(fixture.server.port(), tooLarge);
    REQUIRE(fixture.loop.runUntil([&] { return fixture.server.counts().malformed == 2; }, TestTimeout));
    auto ordinary = rawCall(fixture.server.port(), "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", RawAfter::Read);
    const auto sender = fixture.loop.every(Duration::millis(20), [&] {
        first.write("x");
        second.write("x");
    });
    REQUIRE(fixture.loop.runUntil([&] { return ordinary.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, Duration::seconds(4)));
    CHECK(ordinary.get().text.starts_with("HTTP/1.1 200"));
    CHECK(fixture.server.counts().replaced > 0);
}
