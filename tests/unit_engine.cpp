#include "core/eventstream.h"
#include "engine/engineclient.h"
#include "engine/serviceclient.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);
using Exchange = std::shared_ptr<HttpExchange>;

/// A fake engine whose answers the test defines, and a client of it.
struct Engine {
    EventLoop loop;
    std::vector<HttpRequest> requests;
    std::function<void(const Exchange &)> answer;
    HttpServer server {loop,
                       HttpServerOptions {.keptHeaders = {"x-request-id", "x-priority", "x-resume-offset", "x-attempt-id", "idempotency-key"}},
                       [this](const Exchange &exchange) {
                           requests.push_back(exchange->request());
                           answer(exchange);
                       }};
    HttpClient http {loop};
    std::unique_ptr<EngineClient> client
        = makeEngineClient(http, {.server = {"127.0.0.1", server.port()}, .timeout = Duration::millis(300), .kvTimeout = Duration::millis(300)});

    auto always(int status, const std::string &body) -> void
    {
        answer = [=](const Exchange &exchange) {
            exchange->respond(status, {{"content-type", "application/json"}}, body);
        };
    }
    auto order() -> OrderReply
    {
        OrderReply reply;
        bool done = false;
        const EngineOrder order {OrderId("o1"), OrderKind::Load, ArtifactName("tan-adapter"), ArtifactName("sun@1"), Bytes(100), Fence(7)};
        client->order(order, [&](const OrderReply &got) {
            reply = got;
            done = true;
        });
        REQUIRE(loop.runUntil([&] { return done; }, Limit));
        return reply;
    }
    auto complete(const std::function<void(const std::shared_ptr<HttpCallHandle> &)> &meanwhile = nullptr) -> CallEnd
    {
        CallEnd end = CallEnd::NotSent;
        bool done = false;
        EngineHooks hooks;
        hooks.onEnd = [&](CallEnd how) {
            end = how;
            done = true;
        };
        const auto handle
            = client->complete({.id = RequestId("q1"), .path = "/v1/completions", .body = "{}", .priority = 0, .resumeOffset = 12}, std::move(hooks));
        if (meanwhile) {
            meanwhile(handle);
        }
        REQUIRE(loop.runUntil([&] { return done; }, Limit));
        return end;
    }
};

auto streamOf(std::string body) -> std::function<void(const Exchange &)>
{
    return [body = std::move(body)](const Exchange &exchange) {
        exchange->begin(200, {{"content-type", "text/event-stream"}});
        exchange->write(body);
        exchange->finish();
    };
}

} // namespace

TEST_CASE("an order carries its fence, and its answer is parsed")
{
    Engine engine;
    engine.always(202, R"({"id":"o1"})");
    REQUIRE(engine.order().answer == OrderAnswer::Accepted);
    REQUIRE(engine.requests.at(0).body == R"({"artifact":"tan-adapter","base":"sun@1","bytes":100,"fence":7,"id":"o1","kind":"load"})");

    engine.always(409, R"({"code":"old-fence","fence":9})");
    const auto fenced = engine.order();
    REQUIRE(fenced.answer == OrderAnswer::Refused);
    REQUIRE(fenced.code == "old-fence");
    REQUIRE(fenced.fence == Fence(9));

    engine.always(429, R"({"code":"throttled","retryAfterMs":250})");
    REQUIRE(engine.order().retryAfter == Duration::millis(250));
}

TEST_CASE("an order without an answer is lost, not refused")
{
    // The order may still take effect, so the ledger must keep charging it. If it were treated as refused, its memory would be given to
    // another load and the engine would crash.
    Engine engine;
    engine.answer = [](const Exchange &exchange) {
        exchange->abort();
    };
    REQUIRE(engine.order().answer == OrderAnswer::Lost);
    engine.always(500, "");
    REQUIRE(engine.order().answer == OrderAnswer::Lost);
    engine.client = makeEngineClient(engine.http, {.server = {"127.0.0.1", 1}});
    REQUIRE(engine.order().answer == OrderAnswer::Refused);
}

TEST_CASE("raising a fence distinguishes an engine without fencing from one without a valid answer")
{
    Engine engine;
    auto raise = [&] {
        FenceReply reply;
        bool done = false;
        engine.client->raiseFence(Fence(4), [&](const FenceReply &got) {
            reply = got;
            done = true;
        });
        REQUIRE(engine.loop.runUntil([&] { return done; }, Limit));
        return reply;
    };
    engine.always(200, R"({"fence":4})");
    REQUIRE(raise().fence == Fence(4));
    engine.always(404, "");
    REQUIRE(raise().kind == FenceReply::Kind::Unsupported);
    engine.always(200, "gone");
    REQUIRE(raise().kind == FenceReply::Kind::Failed);
    engine.answer = [](const Exchange &exchange) {
        exchange->abort();
    };
    REQUIRE(raise().kind == FenceReply::Kind::Failed);
}

TEST_CASE("a status is parsed, and a malformed one is an error")
{
    // If a malformed status were read as that of an empty engine, the ledger would consider all memory free.
    Engine engine;
    Result<EngineView> view = Error {};
    auto ask = [&] {
        bool done = false;
        engine.client->status([&](const Result<EngineView> &got) {
            view = got;
            done = true;
        });
        REQUIRE(engine.loop.runUntil([&] { return done; }, Limit));
    };
    engine.always(200,
                  R"({"generation":2,"fence":5,"memoryTotal":80,"memoryUsed":30,"kvBytes":4,"resident":[{"artifact":"sun@1","bytes":20}],)"
                  R"("loading":[{"artifact":"tan","bytes":6,"order":"o9"}],"running":3,"waiting":1})");
    ask();
    REQUIRE(view);
    REQUIRE(view.value().status.generation == 2);
    REQUIRE(view.value().status.resident.at(0).bytes == Bytes(20));
    REQUIRE(view.value().status.loading.at(0).order == OrderId("o9"));
    REQUIRE(view.value().running == 3);
    for (const auto *body : {"", "[]", "null", "<html>"}) {
        engine.always(200, body);
        ask();
        REQUIRE_FALSE(view);
    }
}

TEST_CASE("a completion carries its id, priority and offset")
{
    Engine engine;
    engine.answer = streamOf("data: {\"n\":1}\n\ndata: [DONE]\n\n");
    REQUIRE(engine.complete() == CallEnd::Complete);
    const auto &headers = engine.requests.at(0).headers;
    REQUIRE(headerValue(headers, "x-request-id") == "q1");
    REQUIRE(headerValue(headers, "x-priority") == "0");
    REQUIRE(headerValue(headers, "x-resume-offset") == "12");
}

TEST_CASE("a stream that closes cleanly without [DONE] is broken")
{
    // The engine crashes while it generates, and a proxy in front of it closes the stream cleanly. The caller would take a partial answer
    // for a complete one.
    Engine engine;
    engine.answer = streamOf("data: {\"n\":1}\n\ndata: {\"n\":2}\n\n");
    REQUIRE(engine.complete() == CallEnd::Broken);
    engine.answer = streamOf("data: {\"text\":\"data: [DONE]\"}\n\n");
    REQUIRE(engine.complete() == CallEnd::Broken);
}

TEST_CASE("a cancelled completion is cancelled at the engine")
{
    Engine engine;
    std::vector<Exchange> held;
    engine.answer = [&](const Exchange &exchange) {
        held.push_back(exchange);
    };
    const auto end = engine.complete([&](const std::shared_ptr<HttpCallHandle> &handle) {
        REQUIRE(engine.loop.runUntil([&] { return engine.requests.size() == 1; }, Limit));
        handle->cancel();
        handle->cancel();
    });
    REQUIRE(end == CallEnd::Cancelled);
    REQUIRE(engine.loop.runUntil([&] { return engine.requests.size() == 2; }, Limit));
    REQUIRE(engine.requests[1].path == "/cancel");
    REQUIRE(engine.requests[1].body == R"({"id":"q1"})");
}

TEST_CASE("a plain service gets the caller's request with the ids of request and attempt")
{
    Engine service;
    service.answer = [](const Exchange &exchange) {
        exchange->respond(201, {{"location", "/debits/9"}}, "posted");
    };
    const auto client = makeServiceClient(service.http, {"127.0.0.1", service.server.port()});
    std::string location;
    std::string body;
    bool done = false;
    ServiceHooks hooks;
    hooks.onHead = [&](int, const HttpHeaders &headers) {
        location = headerValue(headers, "location");
    };
    hooks.onData = [&](std::string_view data) {
        body.append(data);
    };
    hooks.onEnd = [&](CallEnd end) {
        done = end == CallEnd::Complete;
    };
    client->call(
        {.id = RequestId("q"), .attempt = AttemptId("q-1"), .method = "POST", .path = "/debits?x=1", .headers = {{"idempotency-key", "k"}}, .body = "b"},
        std::move(hooks));
    REQUIRE(service.loop.runUntil([&] { return done; }, Limit));
    REQUIRE(location == "/debits/9");
    REQUIRE(body == "posted");
    REQUIRE(headerValue(service.requests[0].headers, "x-attempt-id") == "q-1");
    REQUIRE(headerValue(service.requests[0].headers, "idempotency-key") == "k");
}

TEST_CASE("events are parsed regardless of how their bytes are split")
{
    const std::string text = "data: one\n\n: comment\n\nevent: x\r\ndata: two\r\ndata:more\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t size = 1; size < text.size(); ++size) {
        std::vector<std::string> events;
        EventStreamReader reader([&](std::string_view data, std::string_view) { events.emplace_back(data); });
        for (std::size_t at = 0; at < text.size(); at += size) {
            REQUIRE_FALSE(reader.isDone());
            reader.feed(std::string_view(text).substr(at, size));
        }
        REQUIRE(events == std::vector<std::string> {"one", "two\nmore"});
        REQUIRE(reader.isDone());
    }
}

TEST_CASE("an event that exceeds the size limit makes the stream malformed")
{
    EventStreamReader reader(nullptr, 1000);
    reader.feed("data: " + std::string(2000, 'x'));
    REQUIRE(reader.isMalformed());
}
