#include "entry/requestflows.h"

#include "tests/played_stream.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);

/// RequestFlows behind a real HTTP server; the test plays the agents' ends of the request streams.
struct FlowsFixture {
    EventLoop loop;
    Router router {RoutingOptions {}};
    DemandForecast demand;
    Suspects suspects;
    Metrics metrics;
    DecisionLog decisions;
    std::map<TargetId, std::vector<std::shared_ptr<PlayedStream>>> streams;
    RequestFlows flows;
    HttpServer server;
    HttpClient client {loop};
    std::uint64_t reports = 0;

    FlowsFixture()
        : flows(FlowParts {loop, router, demand, suspects, metrics, decisions}, FlowSettings {.entry = "entry-1", .incarnation = 1}, hooks())
        , server(loop, HttpServerOptions {.keptHeaders = callerHeaderNames()}, [this](const auto &exchange) { flows.handle(exchange); })
    {
        Declarations set;
        set.services[ServiceName("advisory")] = Service {.name = ServiceName("advisory")};
        Artifact weights {.name = ArtifactName("sun@1"), .service = ServiceName("advisory"), .size = Bytes::gigabytes(14)};
        set.artifacts[weights.name] = weights;
        set.models["sun"] = Model {.name = "sun", .service = ServiceName("advisory"), .current = weights.name, .versions = {weights.name}};
        flows.adopt(set);
    }

    auto hooks() -> FlowHooks
    {
        FlowHooks hooks;
        hooks.openStream = [this](const TargetId &target) {
            streams[target].push_back(std::make_shared<PlayedStream>());
            return streams[target].back();
        };
        hooks.versionOf = [](const std::string & /*model*/) {
            return ArtifactName();
        };
        hooks.onSuspects = [] {
        };
        hooks.onMissing = [](const ArtifactName & /*artifact*/) {
        };
        return hooks;
    }

    auto report(const std::string &target, int running, Duration serviceTime) -> void
    {
        TargetLoad load;
        load.sequence = ++reports;
        load.running = running;
        load.concurrencyLimit = 16;
        load.serviceTime = serviceTime;
        load.residents = {ArtifactName("sun@1")};
        router.targetUp(TargetId(target), ZoneName("round-rock"), ServiceName("advisory"), loop.now());
        router.reportReceived(TargetId(target), load, loop.now());
    }

    auto sendRequest(const std::string &body, const std::string &budgetMs) -> std::shared_ptr<HttpAnswer>
    {
        auto answer = std::make_shared<HttpAnswer>();
        HttpCall call {.server = {"127.0.0.1", server.port()}, .method = "POST", .path = "/v1/completions"};
        call.headers = {{"kingcup-time-budget-ms", budgetMs}};
        call.body = body;
        call.keptHeaders = {"kingcup-outcome"};
        startShortCall(client, std::move(call), [answer](const HttpAnswer &got) { *answer = got; });
        return answer;
    }
    auto await(const std::function<bool()> &condition) -> bool
    {
        return loop.runUntil(condition, Limit);
    }
    auto streamOf(const std::string &target) -> std::shared_ptr<PlayedStream>
    {
        const auto &list = streams[TargetId(target)];
        return list.empty() ? nullptr : list.back();
    }
};

constexpr auto Plain = R"({"model":"sun","prompt":"hello"})";
constexpr auto Streamed = R"({"model":"sun","prompt":"hello","stream":true})";

} // namespace

TEST_CASE("a waiting request is refused if the target that gets capacity is too slow for it")
{
    // The only target is full, so the request waits. Then the target has capacity, but is too slow for the request's deadline.
    // The entry refused the request while still holding a reference into its map of requests, and crashed; all callers found it unreachable.
    FlowsFixture fixture;
    fixture.report("runner-1", 64, Duration::millis(100));
    const auto answer = fixture.sendRequest(Plain, "5000");
    REQUIRE(fixture.await([&] { return fixture.flows.waiting() == 1; }));
    fixture.report("runner-1", 0, Duration::seconds(1000));
    fixture.flows.retryWaiting();
    REQUIRE(fixture.await([&] { return answer->status != 0; }));
    REQUIRE(answer->status == 503);
    REQUIRE(headerValue(answer->headers, "kingcup-outcome") == "not-run");
    REQUIRE(fixture.flows.open() == 0);
}

TEST_CASE("a late answer of an abandoned attempt is dropped")
{
    // The time budget runs out while a target still works, and its answer arrives during the next request. If it were taken for that
    // request's answer, the caller would get somebody else's data.
    FlowsFixture fixture;
    fixture.report("runner-1", 0, Duration::millis(10));
    const auto first = fixture.sendRequest(Plain, "200");
    REQUIRE(fixture.await([&] { return first->status != 0; }));
    REQUIRE(first->status == 504);
    REQUIRE(headerValue(first->headers, "kingcup-outcome") == "unknown");
    const auto late = fixture.streamOf("runner-1");
    fixture.report("runner-1", 0, Duration::millis(10));
    const auto second = fixture.sendRequest(Plain, "10000");
    REQUIRE(fixture.await([&] { return fixture.streams[TargetId("runner-1")].size() == 2; }));
    late->answerHead("application/json");
    late->answerData("the first one's");
    late->answerEnd(Wire::OUTCOME_DELIVERED, "");
    const auto own = fixture.streamOf("runner-1");
    own->answerHead("application/json");
    own->answerData("its own");
    own->answerEnd(Wire::OUTCOME_DELIVERED, "");
    REQUIRE(fixture.await([&] { return second->status != 0; }));
    REQUIRE(second->body == "its own");
}

TEST_CASE("a stream that breaks in the middle of an event is resumed at another target with that event")
{
    // An agent's host fails while half an event of a stream has arrived. The other target resumes after the last whole event. If the half
    // event were forwarded too, the caller would get that token once in part and once whole.
    FlowsFixture fixture;
    fixture.report("runner-1", 0, Duration::millis(10));
    const auto answer = fixture.sendRequest(Streamed, "10000");
    REQUIRE(fixture.await([&] { return fixture.streamOf("runner-1") != nullptr; }));
    const auto broken = fixture.streamOf("runner-1");
    broken->answerHead("text/event-stream");
    broken->answerData("data: one\n\ndata: tw");
    fixture.report("runner-2", 0, Duration::millis(10));
    const auto hook = broken->onEnd;
    hook(StreamEnd::Broken);
    REQUIRE(fixture.await([&] { return fixture.streamOf("runner-2") != nullptr; }));
    const auto resumed = fixture.streamOf("runner-2");
    REQUIRE(resumed->sent.front().open().resume_offset() == 1);
    resumed->answerHead("text/event-stream");
    resumed->answerData("data: two\n\ndata: [DONE]\n\n");
    resumed->answerEnd(Wire::OUTCOME_DELIVERED, "");
    REQUIRE(fixture.await([&] { return answer->status != 0; }));
    REQUIRE(answer->body == "data: one\n\ndata: two\n\ndata: [DONE]\n\n");
}

TEST_CASE("a stream without its end mark is not reported as delivered")
{
    // An engine closes its stream in order but early, and its agent reports it as delivered. The caller would take the part for the whole
    // answer. There is no second target to resume at, so the caller gets an error event.
    FlowsFixture fixture;
    fixture.report("runner-1", 0, Duration::millis(10));
    const auto answer = fixture.sendRequest(Streamed, "10000");
    REQUIRE(fixture.await([&] { return fixture.streamOf("runner-1") != nullptr; }));
    const auto cut = fixture.streamOf("runner-1");
    cut->answerHead("text/event-stream");
    cut->answerData("data: one\n\n");
    cut->answerEnd(Wire::OUTCOME_DELIVERED, "");
    REQUIRE(fixture.await([&] { return answer->status != 0; }));
    REQUIRE(answer->body.starts_with("data: one\n\nevent: error\n"));
    REQUIRE(answer->body.find("\"outcome\":\"unknown\"") != std::string::npos);
}

TEST_CASE("a non-idempotent call without a key is not sent again once it may have run")
{
    // A target fails after it received a debit without an idempotency key. If it were sent to another target, the debit could be made twice.
    FlowsFixture fixture;
    Declarations set;
    set.services[ServiceName("ledger")] = Service {.name = ServiceName("ledger"), .kind = ServiceKind::Plain, .nonIdempotentCalls = {{"POST", "/debits"}}};
    fixture.flows.adopt(set);
    for (const auto *name : {"ledger-1", "ledger-2"}) {
        fixture.router.targetUp(TargetId(name), ZoneName("round-rock"), ServiceName("ledger"), fixture.loop.now());
        fixture.router.reportReceived(TargetId(name), TargetLoad {.sequence = 1, .concurrencyLimit = 16}, fixture.loop.now());
    }
    HttpAnswer answer;
    HttpCall call {.server = {"127.0.0.1", fixture.server.port()}, .method = "POST", .path = "/services/ledger/debits", .body = "{}"};
    call.keptHeaders = {"kingcup-outcome"};
    startShortCall(fixture.client, std::move(call), [&](const HttpAnswer &got) { answer = got; });
    REQUIRE(fixture.await([&] { return fixture.streams.size() == 1; }));
    const auto hook = fixture.streams.begin()->second.front()->onEnd;
    hook(StreamEnd::Broken);
    REQUIRE(fixture.await([&] { return answer.status != 0; }));
    REQUIRE(headerValue(answer.headers, "kingcup-outcome") == "unknown");
    REQUIRE(fixture.streams.size() == 1);
}
