// The client over kept connections, against servers that misbehave.
#include "net/httppool.h"
#include "tests/scripted_server.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto Patience = Duration::seconds(5);

struct Seen {
    bool done = false;
    PooledEnd end;
    int status = 0;
    std::string body;
};

/// Starts a call that takes only answers which bear its own number.
auto ask(HttpPool &pool, const Endpoint &server, int number, Duration reuseWithin = Duration::seconds(60)) -> std::shared_ptr<Seen>
{
    auto seen = std::make_shared<Seen>();
    PooledCall call;
    call.server = server;
    call.headers = {{"Host", "test"}, {"Number", std::to_string(number)}};
    call.reuseWithin = reuseWithin;
    call.onHead = [seen, number](const HttpHead &head) {
        if (findHeader(head.headers, "Number") != std::to_string(number)) {
            return AnswerVerdict::Skip;
        }
        seen->status = head.status;
        return AnswerVerdict::Take;
    };
    call.onBody = [seen](std::string_view bytes) {
        seen->body.append(bytes);
    };
    call.onEnd = [seen](const PooledEnd &end) {
        seen->end = end;
        seen->done = true;
    };
    pool.start(std::move(call));
    return seen;
}

auto answerTo(const HttpHead &head, const std::string &body, const std::string &more = "") -> std::string
{
    const auto number = std::string(findHeader(head.headers, "Number").value_or(""));
    return "HTTP/1.1 200 OK\r\nNumber: " + number + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}

struct Bench {
    EventLoop loop;
    HttpPool pool {loop};
    ScriptedServer server;

    explicit Bench(ScriptedServer::Handler handler)
        : server(loop, std::move(handler))
    {
    }
    auto call(int number, Duration reuseWithin = Duration::seconds(60)) -> std::shared_ptr<Seen>
    {
        auto seen = ask(pool, server.endpoint(), number, reuseWithin);
        REQUIRE(loop.runUntil([&] { return seen->done; }, Patience));
        return seen;
    }
};

} // namespace

TEST_CASE("a connection is used again, unless it may not be")
{
    Bench bench([](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) { connection.stream->write(answerTo(head, "ok")); });
    CHECK_FALSE(bench.call(1)->end.wasReused);
    CHECK(bench.call(2)->end.wasReused);
    bench.loop.runUntil([] { return false; }, Duration::millis(60));
    CHECK(bench.call(2)->end.idleBefore >= Duration::millis(60));
    CHECK(bench.call(3, Duration())->body == "ok");
    CHECK(bench.server.accepted() == 2);
    CHECK(bench.pool.counts().reused == 2);
    bench.pool.forgetAll();
    CHECK_FALSE(bench.call(4)->end.wasReused);
}

TEST_CASE("a connection that the server says it will close is not used again")
{
    Bench bench([](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) {
        connection.stream->write(answerTo(head, "ok", "Connection: close\r\n"));
    });
    bench.call(1);
    CHECK_FALSE(bench.call(2)->end.wasReused);
}

TEST_CASE("a server's stated idle timeout is kept to with a margin")
{
    // A connection that the server is about to close takes the next request with it, and a debit on it may or may not have been made.
    Bench bench([](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) {
        connection.stream->write(answerTo(head, "ok", "Keep-Alive: timeout=1\r\n"));
    });
    bench.call(1);
    CHECK_FALSE(bench.call(2)->end.wasReused);
}

TEST_CASE("a late answer to an earlier call is skipped, and the own one taken")
{
    // A faulty server sends the answer to another request first. Taken for the own one, a caller would get somebody else's record.
    Bench bench([](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) {
        connection.stream->write("HTTP/1.1 200 OK\r\nNumber: 77\r\nContent-Length: 5\r\n\r\nwrong" + answerTo(head, "right"));
    });
    const auto seen = bench.call(1);
    CHECK(seen->end.end == CallEnd::Complete);
    CHECK(seen->body == "right");
}

TEST_CASE("bytes behind a whole answer belong to nobody: the connection is closed")
{
    Bench bench([](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) {
        connection.stream->write(answerTo(head, "ok") + answerTo(head, "again"));
    });
    CHECK(bench.call(1)->body == "ok");
    const auto second = bench.call(2);
    CHECK_FALSE(second->end.wasReused);
    CHECK(second->body == "ok");
}

TEST_CASE("bytes that come while no answer is due close the connection")
{
    Bench bench([](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) { connection.stream->write(answerTo(head, "ok")); });
    bench.call(1);
    bench.server.connection(0).stream->write("HTTP/1.1 200 OK\r\nNumber: 2\r\nContent-Length: 3\r\n\r\nold");
    bench.loop.runUntil([&] { return bench.pool.connections(bench.server.endpoint()) == 0; }, Patience);
    const auto seen = bench.call(2);
    CHECK(seen->body == "ok");
    CHECK_FALSE(seen->end.wasReused);
}

TEST_CASE("an answer that is cut, or reset without a length, is broken and not whole")
{
    int mode = 0;
    Bench bench([&mode](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) {
        const auto number = std::string(findHeader(head.headers, "Number").value_or(""));
        if (mode == 0) {
            connection.stream->write("HTTP/1.1 200 OK\r\nNumber: " + number + "\r\nContent-Length: 9\r\n\r\ncut");
        } else if (mode == 1) {
            connection.stream->write("this is no answer at all\r\n\r\n");
        } else {
            connection.stream->write("HTTP/1.1 200 OK\r\nNumber: " + number + "\r\n\r\nall of it");
        }
        connection.stream.reset();
    });
    CHECK(bench.call(1)->end.end == CallEnd::Broken);
    mode = 1;
    CHECK(bench.call(2)->end.end == CallEnd::Broken);
    mode = 2;
    const auto seen = bench.call(3);
    CHECK(seen->end.end == CallEnd::Complete);
    CHECK(seen->body == "all of it");
}

TEST_CASE("a server that isn't there: certainly not sent")
{
    EventLoop loop;
    HttpPool pool(loop);
    Endpoint closed;
    {
        ScriptedServer server(loop, [](ScriptedConnection &, const HttpHead &, const std::string &) {});
        closed = server.endpoint();
    }
    const auto seen = ask(pool, closed, 1);
    REQUIRE(loop.runUntil([&] { return seen->done; }, Patience));
    CHECK(seen->end.end == CallEnd::NotSent);
    CHECK_FALSE(seen->end.wasSent);
}

TEST_CASE("a call that is cancelled in its own hook harms nothing")
{
    EventLoop loop;
    HttpPool pool(loop);
    ScriptedServer server(loop, [](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) {
        connection.stream->write(answerTo(head, "some bytes"));
    });
    std::shared_ptr<PooledHandle> handle;
    bool seen = false;
    PooledCall call;
    call.server = server.endpoint();
    call.headers = {{"Host", "test"}};
    call.onBody = [&](std::string_view /*bytes*/) {
        handle->cancel();
        seen = true;
    };
    call.onEnd = [](const PooledEnd & /*end*/) {
        FAIL("no hook after cancel()");
    };
    handle = pool.start(std::move(call));
    REQUIRE(loop.runUntil([&] { return seen; }, Patience));
    loop.runUntil([] { return false; }, Duration::millis(20));
    CHECK(pool.connections(server.endpoint()) == 0);
}
