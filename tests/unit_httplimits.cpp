#include "net/callerserver.h"
#include "net/http.h"
#include "tests/rawcaller.h"

#include "tests/textparts.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(30);

/// A server that echoes the body of every request, and callers that send raw bytes.
struct Server {
    EventLoop loop;
    int handled = 0;
    HttpServer server;
    Timer tick = loop.every(Duration::millis(5), [] {}); // makes runUntil() check its condition: the callers' threads cause no event in this loop

    explicit Server(HttpServerOptions options = {}, HttpServer::Handler handler = {})
        : server(loop, std::move(options), [this, handler = std::move(handler)](const auto &exchange) {
            ++handled;
            if (handler) {
                handler(exchange);
            } else {
                exchange->respond(200, {}, "got:" + exchange->request().body);
            }
        })
    {
    }
    auto send(std::string bytes, RawAfter after = RawAfter::Read, int timeoutSeconds = 5) -> RawAnswer
    {
        auto answer = rawCall(server.port(), std::move(bytes), after, timeoutSeconds);
        REQUIRE(loop.runUntil([&] { return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, Limit));
        return answer.get();
    }
    auto isResponsive() -> bool
    {
        const auto answer = send("GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        return answer.text.find("200 OK") != std::string::npos;
    }
};

} // namespace

TEST_CASE("a 20 MB header is refused and other requests are served")
{
    // If headers were buffered without limit, a few such callers would exhaust a gateway's memory.
    Server server;
    const auto answer = server.send("GET / HTTP/1.1\r\nhost: x\r\nx-big: " + std::string(20U << 20U, 'a') + "\r\n\r\n");
    REQUIRE(answer.isClosed);
    REQUIRE(server.handled == 0);
    REQUIRE(server.isResponsive());
}

TEST_CASE("many headers that exceed the limit together are refused")
{
    Server server;
    std::string headers;
    for (int i = 0; i < 2000; ++i) {
        headers += "x-" + std::to_string(i) + ": " + std::string(100, 'v') + "\r\n";
    }
    const auto answer = server.send("GET / HTTP/1.1\r\nhost: x\r\n" + headers + "\r\n");
    REQUIRE(answer.isClosed);
    REQUIRE(server.handled == 0);
    REQUIRE(server.isResponsive());
}

TEST_CASE("a request whose body was cut off is not handled")
{
    // An incomplete request, such as half a debit, must not be executed.
    Server server;
    server.send("POST /debits HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nminutes=1", RawAfter::Close);
    REQUIRE(server.isResponsive());
    REQUIRE(server.handled == 1);
}

TEST_CASE("callers that send their headers or body too slowly are disconnected")
{
    Server server(HttpServerOptions {.headerTimeout = Duration::seconds(1)});
    auto slowHeader = rawCall(server.server.port(), "GET / HTTP/1.1\r\nhost:", RawAfter::Read, 15);
    auto slowBody = rawCall(server.server.port(), "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf", RawAfter::Read, 15);
    REQUIRE(server.loop.runUntil([&] { return slowHeader.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, Limit));
    REQUIRE(server.loop.runUntil([&] { return slowBody.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, Limit));
    REQUIRE(slowHeader.get().isClosed);
    REQUIRE(slowBody.get().isClosed);
    REQUIRE(server.handled == 0);
    REQUIRE(server.isResponsive());
}

TEST_CASE("connections over the limit wait until others have closed")
{
    std::vector<std::shared_ptr<HttpExchange>> held;
    Server server(HttpServerOptions {.bounds = {.connections = 2}}, [&](const auto &exchange) { held.push_back(exchange); });
    std::vector<std::future<RawAnswer>> busy;
    busy.reserve(2);
    for (int i = 0; i < 2; ++i) {
        busy.push_back(rawCall(server.server.port(), "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", RawAfter::Read, 15));
    }
    REQUIRE(server.loop.runUntil([&] { return held.size() == 2; }, Limit));
    auto waiting = rawCall(server.server.port(), "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", RawAfter::Read, 15);
    server.loop.runUntil([] { return false; }, Duration::millis(300));
    REQUIRE(held.size() == 2);
    REQUIRE(server.server.connections() == 2);
    held[0]->respond(200, {}, "");
    held[1]->respond(200, {}, "");
    REQUIRE(server.loop.runUntil([&] { return held.size() == 3; }, Limit));
    held[2]->respond(200, {}, "");
    REQUIRE(server.loop.runUntil([&] { return waiting.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, Limit));
    CHECK(waiting.get().text.starts_with("HTTP/1.1 200"));
}

TEST_CASE("an idle connection makes way for a new one over the limit")
{
    // Guards against idle connections that keep all other callers out.
    Server server(HttpServerOptions {.bounds = {.connections = 2}});
    std::vector<std::future<RawAnswer>> idle;
    idle.reserve(2);
    for (int i = 0; i < 2; ++i) {
        idle.push_back(rawCall(server.server.port(), "GET / HTTP/1.1\r\nhost: x\r\n\r\n", RawAfter::Read, 2));
    }
    REQUIRE(server.loop.runUntil([&] { return server.handled == 2; }, Limit));
    REQUIRE(server.isResponsive());
    CHECK(server.server.counts().replaced > 0);
}

TEST_CASE("a chunked body arrives whole, and one over the limit is refused")
{
    // Guards against callers of HTTP/1.1 that are refused because of how they send a legal body.
    Server server(HttpServerOptions {.maxBody = 10});
    const std::string lines = "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    CHECK(server.send(lines + "5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n").text.ends_with("got:helloworld"));
    CHECK(server.send(lines + "5\r\nhello\r\n6\r\nworlds\r\n0\r\n\r\n").text.starts_with("HTTP/1.1 413"));
    CHECK(server.handled == 1);
}

TEST_CASE("consecutive requests on one connection are all answered, in order")
{
    Server server;
    const auto answer = server.send("GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    REQUIRE(countOccurrences(answer.text, "200 OK") == 2);
}

TEST_CASE("bytes after a body don't block the process")
{
    // libwebsockets reports the end of such a body again and again without returning to the loop: one caller could block a gateway.
    Server server;
    server.send("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\noneextra", RawAfter::Read, 1);
    REQUIRE(server.isResponsive());
    const std::string post = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\none";
    server.send(post + post, RawAfter::Read, 1);
    REQUIRE(server.isResponsive());
}

TEST_CASE("malformed requests are refused or their connections closed, and never handled")
{
    Server server;
    for (const std::string text : {"\r\n\r\n\r\n",
                                   "NONSENSE\r\n\r\n",
                                   "GET\r\n\r\n",
                                   "\x16\x03\x01\x02",
                                   "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -5\r\n\r\n",
                                   "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5x\r\n\r\nhello",
                                   "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                                   "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5x\r\nhello\r\n0\r\n\r\n",
                                   "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                                   "GET / HTTP/9.9\r\nhost: x\r\n\r\n"}) {
        INFO(text);
        server.send(text, RawAfter::Read, 1);
        REQUIRE(server.handled == 0);
    }
    REQUIRE(server.isResponsive());
}
