#include "agent/requesttasks.h"

#include "tests/played_stream.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);

/// RequestTasks with a target that keeps every call open until the test answers it.
struct TasksFixture {
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> calls;
    HttpServer target {loop, HttpServerOptions {}, [this](const auto &exchange) {
                           calls.push_back(exchange);
                       }};
    HttpClient client {loop};
    bool isResident = true;
    bool isQuarantined = false;
    std::shared_ptr<CallerLoad> load = std::make_shared<CallerLoad>(CallerBounds {.bytes = 3U << 20U, .reserved = 0});
    RequestTasks tasks {loop, client, settings(), hooks()};

    auto settings() -> RequestSettings
    {
        RequestSettings settings;
        settings.target = Endpoint {"127.0.0.1", target.port()};
        settings.load = load;
        return settings;
    }

    auto hooks() -> RequestHooks
    {
        RequestHooks hooks;
        hooks.isTargetReady = [] {
            return true;
        };
        hooks.isUsable = [this](const ArtifactName & /*artifact*/) {
            return isResident;
        };
        hooks.isQuarantined = [this](const std::string & /*fingerprint*/) {
            return isQuarantined;
        };
        hooks.completedAlone = [](const std::string & /*fingerprint*/) {
        };
        hooks.onChanged = [] {
        };
        return hooks;
    }

    auto send(const std::string &id, bool alone = false, bool mustRunOnce = false, std::size_t bodyBytes = 0) -> std::shared_ptr<PlayedStream>
    {
        Wire::Open open;
        open.set_version(Wire::PROTOCOL_VERSION_CURRENT);
        open.set_request_id(id);
        open.set_method("POST");
        open.set_path("/v1/completions");
        open.add_artifacts("sun@1");
        open.set_budget_us(Duration::seconds(10).inMicros());
        open.set_alone(alone);
        open.set_run_once(mustRunOnce);
        open.set_body(std::string(bodyBytes, 'x'));
        auto stream = std::make_shared<PlayedStream>();
        tasks.accept(stream);
        stream->ask(open);
        return stream;
    }

    auto await(const std::function<bool()> &condition) -> bool
    {
        return loop.runUntil(condition, Limit);
    }
};

/// The entry reads nothing.
struct UnreadStream : PlayedStream {
    auto pendingBytes() const -> std::size_t override
    {
        std::size_t bytes = 0;
        for (const auto &answer : answers) {
            bytes += answer.data().body().size();
        }
        return bytes;
    }
};

/// Opens a request at other tasks than those of the fixture.
auto openAt(RequestTasks &tasks, const std::shared_ptr<PlayedStream> &stream, bool mustRunOnce) -> void
{
    Wire::Open open;
    open.set_version(Wire::PROTOCOL_VERSION_CURRENT);
    open.set_request_id("a");
    open.set_method("POST");
    open.set_path("/v1/completions");
    open.set_budget_us(Duration::seconds(10).inMicros());
    open.set_run_once(mustRunOnce);
    tasks.accept(stream);
    stream->ask(open);
}

auto endOf(const PlayedStream &stream) -> Wire::End
{
    return stream.answers.empty() ? Wire::End() : stream.answers.back().end();
}

} // namespace

TEST_CASE("a leaving target refuses new requests and finishes running ones")
{
    // An entry that doesn't know yet that a target is leaving sends it one more request. If it were accepted, the stop would wait for it or
    // cut it off. Refused as not run, it goes to another target, unnoticed by its caller.
    TasksFixture fixture;
    const auto running = fixture.send("before");
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 1; }));
    fixture.tasks.setLeaving(true);
    const auto late = fixture.send("after");
    REQUIRE(endOf(*late).outcome() == Wire::OUTCOME_NOT_RUN);
    REQUIRE(endOf(*late).code() == "leaving");
    fixture.calls.front()->respond(200, {}, "whole");
    REQUIRE(fixture.await([&] { return endOf(*running).outcome() == Wire::OUTCOME_DELIVERED; }));
    REQUIRE(fixture.calls.size() == 1);
}

TEST_CASE("a request that is quarantined, can't be claimed, or whose model isn't resident is refused before it runs")
{
    // The entry's state is out of date: the copy has been unloaded, another process has reported that the request crashes targets, or the
    // store is unreachable. The agent's own state decides.
    TasksFixture fixture;
    fixture.isResident = false;
    REQUIRE(endOf(*fixture.send("gone")).code() == "not-resident");
    fixture.isResident = true;
    fixture.isQuarantined = true;
    REQUIRE(endOf(*fixture.send("dangerous")).code() == "quarantined");
    fixture.isQuarantined = false;
    const auto unclaimed = fixture.send("once", false, true);
    REQUIRE(endOf(*unclaimed).code() == "store-unavailable");
    REQUIRE(endOf(*unclaimed).outcome() == Wire::OUTCOME_NOT_RUN);
    fixture.loop.runUntil([] { return false; }, Duration::millis(50));
    REQUIRE(fixture.calls.empty());
}

TEST_CASE("a suspect runs alone")
{
    // A request was in flight when an engine crashed. If it is the cause and ran together with others, these would fail too and become suspects.
    TasksFixture fixture;
    const auto first = fixture.send("usual");
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 1; }));
    const auto suspect = fixture.send("suspect", true);
    const auto next = fixture.send("next");
    fixture.loop.runUntil([] { return false; }, Duration::millis(50));
    REQUIRE(fixture.tasks.running() == 1);
    fixture.calls[0]->respond(200, {}, "");
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 2; }));
    fixture.loop.runUntil([] { return false; }, Duration::millis(50));
    REQUIRE(fixture.tasks.running() == 1);
    fixture.calls[1]->respond(200, {}, "");
    REQUIRE(fixture.await([&] { return endOf(*suspect).outcome() == Wire::OUTCOME_DELIVERED && fixture.calls.size() == 3; }));
    fixture.calls[2]->respond(200, {}, "");
    REQUIRE(fixture.await([&] { return endOf(*next).outcome() == Wire::OUTCOME_DELIVERED; }));
}

TEST_CASE("an answer that breaks off is reported as unknown, never as delivered")
{
    // A target fails in the middle of its answer. The part must not be reported as the whole answer, nor the request as not run.
    TasksFixture fixture;
    const auto stream = fixture.send("cut");
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 1; }));
    fixture.calls.front()->begin(200, {});
    fixture.calls.front()->write("half");
    REQUIRE(fixture.await([&] { return stream->answers.size() >= 2; }));
    fixture.calls.front()->abort();
    REQUIRE(fixture.await([&] { return endOf(*stream).outcome() == Wire::OUTCOME_UNKNOWN; }));
}

TEST_CASE("a stream is delivered only with its complete last event")
{
    // Guards against a run that counts as answered although its engine ended inside the event that marks the end of the stream.
    TasksFixture fixture;
    const auto outcomeOf = [&](const std::string &text) {
        const auto count = fixture.calls.size();
        const auto stream = fixture.send("stream " + std::to_string(count));
        REQUIRE(fixture.await([&] { return fixture.calls.size() > count; }));
        fixture.calls.back()->begin(200, {{"content-type", "text/event-stream"}});
        fixture.calls.back()->write(text);
        fixture.calls.back()->finish();
        REQUIRE(fixture.await([&] { return endOf(*stream).outcome() != Wire::OUTCOME_UNSET; }));
        return endOf(*stream).outcome();
    };
    CHECK(outcomeOf("data: a\n\ndata: [DONE]\n\n") == Wire::OUTCOME_DELIVERED);
    CHECK(outcomeOf("data: a\r\n\r\ndata: [DONE]\r\n\r\n") == Wire::OUTCOME_DELIVERED);
    CHECK(outcomeOf("data: a\n\ndata: [DONE]\n") == Wire::OUTCOME_UNKNOWN);
    CHECK(outcomeOf("data: a\n\ndata: [DONE]") == Wire::OUTCOME_UNKNOWN);
    CHECK(outcomeOf("data: [DONE] is the mark of an end\n\n") == Wire::OUTCOME_UNKNOWN);
}

TEST_CASE("a target that rejects a request and asks to be sent nothing gets no request until then")
{
    // Guards against a target that gets the queue's next request with each rejection, and the whole queue within milliseconds.
    TasksFixture fixture;
    const auto rejected = fixture.send("rejected");
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 1; }));
    fixture.calls[0]->respond(503, {{"retry-after", "0.4"}}, "");
    REQUIRE(fixture.await([&] { return endOf(*rejected).outcome() == Wire::OUTCOME_NOT_RUN; }));
    REQUIRE(endOf(*rejected).retry_after_us() > Duration::millis(300).inMicros());
    // A request that arrives meanwhile is refused at once, so that it can go to another target.
    const auto refused = fixture.send("refused");
    REQUIRE(endOf(*refused).code() == "overloaded");
    REQUIRE(endOf(*refused).outcome() == Wire::OUTCOME_NOT_RUN);
    REQUIRE(endOf(*refused).retry_after_us() > 0);
    fixture.loop.runUntil([] { return false; }, Duration::millis(450));
    REQUIRE(fixture.calls.size() == 1);
    const auto next = fixture.send("next");
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 2; }));
    fixture.calls[1]->respond(200, {}, "whole");
    REQUIRE(fixture.await([&] { return endOf(*next).outcome() == Wire::OUTCOME_DELIVERED; }));
}

TEST_CASE("requests that wait in the queue are sent when the time for which the target asked is over")
{
    // Guards against a queue that stands still after a rejection.
    TasksFixture fixture;
    const auto suspect = fixture.send("suspect", true); // runs alone: the next one waits
    const auto queued = fixture.send("queued");
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 1; }));
    fixture.calls[0]->respond(429, {{"retry-after", "0.3"}}, "");
    REQUIRE(fixture.await([&] { return endOf(*suspect).outcome() == Wire::OUTCOME_NOT_RUN; }));
    fixture.loop.runUntil([] { return false; }, Duration::millis(150));
    REQUIRE(fixture.calls.size() == 1);
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 2; }));
    fixture.calls[1]->respond(200, {}, "whole");
    REQUIRE(fixture.await([&] { return endOf(*queued).outcome() == Wire::OUTCOME_DELIVERED; }));
}

TEST_CASE("requests that an agent can't hold beside others are refused as not run, until these have ended")
{
    // Guards against bodies from several entries that together exhaust an agent's memory.
    constexpr std::size_t Body = 1U << 20U;
    TasksFixture fixture;
    const auto first = fixture.send("a", false, false, Body);
    const auto second = fixture.send("b", false, false, Body);
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 2; }));
    CHECK(fixture.calls.front()->request().body.size() == Body);
    const auto third = fixture.send("c", false, false, 2 * Body);
    REQUIRE(endOf(*third).outcome() == Wire::OUTCOME_NOT_RUN);
    REQUIRE(endOf(*third).code() == "overloaded");
    CHECK(fixture.load->refused() == 1);
    for (const auto &call : fixture.calls) {
        call->respond(200, {}, "whole");
    }
    REQUIRE(fixture.await([&] { return endOf(*first).outcome() == Wire::OUTCOME_DELIVERED && endOf(*second).outcome() == Wire::OUTCOME_DELIVERED; }));
    CHECK(fixture.load->held() == 0);
    fixture.send("d", false, false, 2 * Body);
    CHECK(fixture.await([&] { return fixture.calls.size() == 3; }));
}

TEST_CASE("an engine's error that doesn't end is broken off, and its request counts as run")
{
    // Guards against an agent that keeps what an engine in trouble sends until it is out of memory.
    TasksFixture fixture;
    auto settings = fixture.settings();
    settings.isRunner = true;
    RequestTasks tasks(fixture.loop, fixture.client, settings, fixture.hooks());
    const auto stream = std::make_shared<PlayedStream>();
    openAt(tasks, stream, false);
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 1; }));
    fixture.calls.front()->begin(503, {});
    const auto more = fixture.loop.every(Duration::millis(1), [&] { fixture.calls.front()->write(std::string(16384, 'x')); });
    REQUIRE(fixture.loop.runUntil([&] { return endOf(*stream).outcome() == Wire::OUTCOME_UNKNOWN; }, Duration::seconds(2)));
    CHECK(endOf(*stream).code() == "target-broken");
    CHECK(fixture.await([&] { return !fixture.calls.front()->isOpen(); }));
}

TEST_CASE("an answer too long to be recorded is read no faster than its caller reads it")
{
    // Guards against an agent that piles up an endless answer to a request that must run once.
    TasksFixture fixture;
    auto hooks = fixture.hooks();
    hooks.claims.begin = [&](const ClaimKey & /*key*/, TimePoint /*deadline*/, const std::function<void(const ClaimVerdict &verdict)> &done) {
        fixture.loop.post([done] { done(ForwardSend {}); });
        return SendId(1);
    };
    hooks.claims.runEnded = [](SendId /*send*/, RunOutcome /*end*/, const RunRecord & /*record*/) {
    };
    RequestTasks tasks(fixture.loop, fixture.client, fixture.settings(), hooks);
    const auto stream = std::make_shared<UnreadStream>();
    openAt(tasks, stream, true);
    REQUIRE(fixture.await([&] { return fixture.calls.size() == 1; }));
    fixture.calls.front()->begin(200, {});
    constexpr std::size_t MaxUnsent = 4U << 20U;
    const auto more = fixture.loop.every(Duration::millis(1), [&] {
        if (fixture.calls.front()->pendingBytes() < MaxUnsent) {
            fixture.calls.front()->write(std::string(65536, 'x'));
        }
    });
    fixture.loop.runUntil([] { return false; }, Duration::millis(600));
    CHECK(fixture.calls.front()->pendingBytes() > MaxUnsent / 2); // the target waits
    CHECK(stream->pendingBytes() < 2 * (fixture.settings().streamBuffer + (64U << 10U)));
}
