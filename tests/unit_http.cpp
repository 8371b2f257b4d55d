#include "net/http.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);

/// A server and a client on one event loop; `handler` answers the requests.
struct Pair {
    EventLoop loop;
    HttpServer server;
    HttpClient client {loop};

    explicit Pair(HttpServer::Handler handler, std::size_t maxBody = 1U << 20U)
        : server(loop, HttpServerOptions {.keptHeaders = {"idempotency-key", "x-custom"}, .maxBody = maxBody}, std::move(handler))
    {
    }

    auto call(HttpCall request) -> HttpAnswer
    {
        request.server = Endpoint {"127.0.0.1", server.port()};
        HttpAnswer answer;
        bool done = false;
        startShortCall(client, std::move(request), [&](const HttpAnswer &got) {
            answer = got;
            done = true;
        });
        REQUIRE(loop.runUntil([&] { return done; }, Limit));
        return answer;
    }
};

} // namespace

TEST_CASE("a request and its answer arrive complete")
{
    HttpRequest seen;
    Pair pair([&](const auto &exchange) {
        seen = exchange->request();
        exchange->respond(201, {{"content-type", "text/plain"}}, "hello");
    });
    const auto answer
        = pair.call({.method = "POST", .path = "/a/b?x=1&y=2", .headers = {{"idempotency-key", "k1"}, {"x-custom", "v"}}, .body = std::string(300000, 'b')});
    REQUIRE(answer.end == CallEnd::Complete);
    REQUIRE(answer.status == 201);
    REQUIRE(answer.body == "hello");
    REQUIRE(seen.method == "POST");
    REQUIRE(seen.path == "/a/b");
    REQUIRE(seen.query == "x=1&y=2");
    REQUIRE(headerValue(seen.headers, "idempotency-key") == "k1");
    REQUIRE(headerValue(seen.headers, "x-custom") == "v");
    REQUIRE(seen.body.size() == 300000);
}

TEST_CASE("the path and query of a request can be forwarded unchanged")
{
    // If they were forwarded decoded, an encoded line end would end the request line towards a plain service: a caller could inject
    // headers or an uncounted request. A "+" (as in a telephone number) would become a space.
    HttpRequest seen;
    Pair pair([&](const auto &exchange) {
        seen = exchange->request();
        exchange->respond(200, {}, "");
    });
    pair.call({.path = "/a%20b%22/c?name=a%26b+c&phone=%2B9242&x=%25"});
    REQUIRE(seen.path == "/a%20b%22/c");
    REQUIRE(seen.query == "name=a%26b%20c&phone=%2B9242&x=%25");
}

TEST_CASE("an encoded line end in a request line is refused")
{
    // libwebsockets cuts the request line off at the line end: a call to "/debits%0a/cancel" would become a call to "/debits".
    int handled = 0;
    Pair pair([&](const auto &exchange) {
        ++handled;
        exchange->respond(200, {}, "");
    });
    for (const auto *path : {"/debits%0a/cancel", "/debits%0d%0aX-Evil:%201", "/debits?a=1%0d%0a&b=2"}) {
        REQUIRE(pair.call({.path = path}).status == 400);
    }
    REQUIRE(handled == 0);
    REQUIRE(pair.call({.path = "/debits"}).status == 200);
}

TEST_CASE("a short streamed answer is complete although its connection closes at once")
{
    // Head, body and end marker arrive in one packet together with the close. The answer must not be reported as cut off.
    Pair pair([&](const auto &exchange) {
        exchange->begin(200, {});
        exchange->write("short");
        exchange->finish();
    });
    const auto answer = pair.call({.path = "/"});
    REQUIRE(answer.end == CallEnd::Complete);
    REQUIRE(answer.body == "short");
}

TEST_CASE("a large streamed answer arrives complete")
{
    Pair pair([&](const auto &exchange) {
        exchange->begin(200, {{"content-type", "text/event-stream"}});
        exchange->write(std::string(1000000, 's'));
        exchange->write("end");
        exchange->finish();
    });
    const auto answer = pair.call({.path = "/"});
    REQUIRE(answer.end == CallEnd::Complete);
    REQUIRE(answer.body.size() == 1000003);
}

TEST_CASE("a chunked answer that is cut off is not reported as complete")
{
    // The server dies or aborts in the middle of a stream. The caller must not take the partial answer for a complete one.
    Timer later;
    Pair pair([&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->begin(200, {});
        exchange->write("half");
        later = pair.loop.after(Duration::millis(50), [exchange] { exchange->abort(); });
    });
    const auto answer = pair.call({.path = "/"});
    REQUIRE(answer.end == CallEnd::Broken);
}

TEST_CASE("an exchange that is aborted before its answer has begun ends as Broken")
{
    Timer later;
    Pair pair([&](const std::shared_ptr<HttpExchange> &exchange) { later = pair.loop.after(Duration::millis(20), [exchange] { exchange->abort(); }); });
    REQUIRE(pair.call({.path = "/"}).end == CallEnd::Broken);
}

TEST_CASE("a call to a closed port ends as NotSent")
{
    Pair pair([](const auto &exchange) { exchange->respond(200, {}, ""); });
    HttpAnswer answer;
    bool done = false;
    startShortCall(pair.client, HttpCall {.server = {"127.0.0.1", 1}}, [&](const HttpAnswer &got) {
        answer = got;
        done = true;
    });
    REQUIRE_FALSE(done);
    REQUIRE(pair.loop.runUntil([&] { return done; }, Limit));
    REQUIRE(answer.end == CallEnd::NotSent);
}

TEST_CASE("a body over the limit is refused with a clear error")
{
    Pair pair([](const auto &exchange) { exchange->respond(200, {}, ""); }, 1000);
    const auto answer = pair.call({.method = "POST", .body = std::string(2000, 'x')});
    REQUIRE(answer.status == 413);
}

TEST_CASE("the disconnect of a caller is detected")
{
    bool left = false;
    bool seen = false;
    Pair pair([&](const std::shared_ptr<HttpExchange> &exchange) {
        seen = true;
        exchange->onClosed = [&] {
            left = true;
        };
    });
    auto handle = pair.client.start(HttpCall {.server = {"127.0.0.1", pair.server.port()}});
    REQUIRE(pair.loop.runUntil([&] { return seen; }, Limit));
    handle->cancel();
    REQUIRE(pair.loop.runUntil([&] { return left; }, Limit));
}

TEST_CASE("a paused client stops the server by flow control")
{
    std::shared_ptr<HttpExchange> held;
    constexpr std::size_t Total = 32U << 20U;
    Pair pair([&](const std::shared_ptr<HttpExchange> &exchange) {
        held = exchange;
        exchange->begin(200, {});
        exchange->write(std::string(Total, 'x'));
        exchange->finish();
    });
    std::size_t received = 0;
    bool done = false;
    std::shared_ptr<HttpCallHandle> handle;
    HttpCall call {.server = {"127.0.0.1", pair.server.port()}};
    call.onData = [&](std::string_view data) {
        if (received == 0) {
            handle->pause();
        }
        received += data.size();
    };
    call.onEnd = [&](CallEnd end) {
        done = end == CallEnd::Complete;
    };
    handle = pair.client.start(std::move(call));
    REQUIRE(pair.loop.runUntil([&] { return received > 0; }, Limit));
    pair.loop.runUntil([] { return false; }, Duration::millis(200));
    REQUIRE(held->pendingBytes() > 0);
    REQUIRE_FALSE(done);
    handle->resume();
    REQUIRE(pair.loop.runUntil([&] { return done; }, Limit));
    REQUIRE(received == Total);
}

TEST_CASE("a posted task and a timer run on the loop")
{
    EventLoop loop;
    int ran = 0;
    loop.post([&] { ++ran; });
    auto timer = loop.every(Duration::millis(1), [&] { ++ran; });
    REQUIRE(loop.runUntil([&] { return ran >= 4; }, Limit));
    timer.cancel();
    auto forgotten = loop.after(Duration::millis(1), [&] { ran = -1; });
    forgotten = Timer();
    loop.runUntil([] { return false; }, Duration::millis(20));
    REQUIRE(ran >= 4);
}

TEST_CASE("runUntil() checks its condition right after a posted task")
{
    // Guards against a loop that runs the task and then sleeps until some other event: waiting tools and tests hung until their time limit.
    EventLoop loop;
    bool done = false;
    const auto start = loop.now();
    loop.post([&] { loop.post([&] { done = true; }); });
    REQUIRE(loop.runUntil([&] { return done; }, Limit));
    REQUIRE(loop.now() - start < Limit);
}
