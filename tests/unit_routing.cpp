#include "core/concurrencylimit.h"
#include "core/routing.h"

#include <catch2/catch.hpp>

#include <map>

using namespace KingCup;

namespace
{

const ArtifactName Sun("sun@1");
const ZoneName Here("here");
const ZoneName There("there");

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

auto id(int number) -> RequestId
{
    return RequestId("q" + std::to_string(number));
}

auto target(int number) -> TargetId
{
    return TargetId("t" + std::to_string(number));
}

struct RouterFixture {
    Router router;
    TimePoint now = at(0);
    int sent = 0;
    std::uint64_t sequence = 0;

    explicit RouterFixture(RoutingOptions options = {}, int targets = 4)
        : router([&] {
            options.zone = Here;
            return options;
        }())
    {
        for (int i = 0; i < targets; ++i) {
            router.targetUp(target(i), i % 2 == 0 ? Here : There, ServiceName("advisory"), now);
            report(i, {});
        }
    }

    auto report(int number, TargetLoad load) -> void
    {
        load.sequence = ++sequence;
        load.concurrencyLimit = load.concurrencyLimit == 0 ? 32 : load.concurrencyLimit;
        load.serviceTime = load.serviceTime == Duration() ? Duration::millis(500) : load.serviceTime;
        load.residents = {Sun};
        router.reportReceived(target(number), load, now);
    }

    auto request() -> RoutingRequest
    {
        return RoutingRequest {.id = id(sent++), .artifacts = {Sun}, .deadline = now + Duration::seconds(10)};
    }

    /// Chooses a target and starts the request there; empty if refused.
    auto send(const RoutingRequest &request) -> TargetId
    {
        const auto choice = router.choose(request, now);
        if (!choice.isRefused()) {
            router.requestStarted(request, choice.target, now);
        }
        return choice.target;
    }

    auto countSends(int sends) -> std::map<TargetId, int>
    {
        std::map<TargetId, int> counts;
        for (int i = 0; i < sends; ++i) {
            const auto one = request();
            const auto chosen = send(one);
            ++counts[chosen];
            router.requestEnded(one.id, chosen, AttemptResult::Delivered, now + Duration::millis(1));
        }
        return counts;
    }
};

} // namespace

TEST_CASE("only a live target with the artifact resident is chosen, and a refusal has its reason")
{
    RouterFixture fixture({}, 2);
    auto request = fixture.request();
    request.artifacts = {Sun, ArtifactName("austin")};
    REQUIRE(fixture.router.choose(request, fixture.now).refusal == RoutingRefusal::NoCopy);
    request.artifacts = {Sun};
    request.excluded = {target(0), target(1)};
    REQUIRE(fixture.router.choose(request, fixture.now).refusal == RoutingRefusal::AllExcluded);
    request.excluded = {target(0)};
    REQUIRE(fixture.router.choose(request, fixture.now).target == target(1));
    fixture.router.targetDown(target(1), fixture.now);
    REQUIRE(fixture.router.choose(request, fixture.now).isRefused());
}

TEST_CASE("a target that is leaving gets no new requests")
{
    RouterFixture fixture({}, 2);
    fixture.report(0, {.leaving = true});
    REQUIRE(fixture.countSends(50)[target(0)] == 0);
}

TEST_CASE("requests sent since the last report count as load")
{
    // If only reports counted, every request between two reports would go to the target that was idle in the last ones.
    RouterFixture fixture({.twoChoices = true}, 4);
    fixture.report(0, {.running = 8});
    fixture.report(1, {.running = 8});
    fixture.report(2, {.running = 8});
    fixture.now = at(0.01);
    std::map<TargetId, int> counts;
    for (int i = 0; i < 40; ++i) {
        ++counts[fixture.send(fixture.request())];
    }
    REQUIRE(counts[target(3)] < 25);
    REQUIRE(counts[target(3)] > 10);
}

TEST_CASE("a request that can't meet its deadline anywhere is refused before it is sent")
{
    RouterFixture fixture({}, 2);
    auto request = fixture.request();
    request.deadline = fixture.now + Duration::millis(100);
    const auto choice = fixture.router.choose(request, fixture.now);
    REQUIRE(choice.refusal == RoutingRefusal::TooLate);
    REQUIRE_FALSE(choice.reason.empty());
}

TEST_CASE("batch requests leave capacity for the other classes")
{
    RouterFixture fixture({}, 1);
    fixture.report(0, {.running = 24});
    auto request = fixture.request();
    request.priority = Priority::Batch;
    REQUIRE(fixture.router.choose(request, fixture.now).refusal == RoutingRefusal::Overloaded);
    request.priority = Priority::Standard;
    REQUIRE_FALSE(fixture.router.choose(request, fixture.now).isRefused());
    fixture.report(0, {.running = 32});
    REQUIRE(fixture.router.choose(request, fixture.now).refusal == RoutingRefusal::Overloaded);
    request.priority = Priority::Interactive;
    REQUIRE_FALSE(fixture.router.choose(request, fixture.now).isRefused());
}

TEST_CASE("requests with a common prefix go to the same target until it is busier than the others")
{
    RouterFixture fixture({}, 4);
    auto first = fixture.request();
    first.prefixHash = "prefix";
    const auto home = fixture.router.choose(first, fixture.now).target;
    for (int i = 0; i < 20; ++i) {
        auto request = fixture.request();
        request.prefixHash = "prefix";
        REQUIRE(fixture.router.choose(request, fixture.now).target == home);
    }
    for (int i = 0; i < 4; ++i) {
        fixture.report(i, {.running = target(i) == home ? 20 : 2});
    }
    auto request = fixture.request();
    request.prefixHash = "prefix";
    REQUIRE(fixture.router.choose(request, fixture.now).target != home);
}

TEST_CASE("a short request doesn't queue behind a long prompt")
{
    // A prompt of 4000 tokens has just been sent to an otherwise idle target. A short request sent there too would get its first token a second
    // later, though by the number of requests that target is no busier than the other one.
    RouterFixture fixture({}, 2);
    auto review = fixture.request();
    review.promptTokens = 4000;
    const auto busy = fixture.send(review);
    for (int i = 0; i < 8; ++i) {
        auto advisory = fixture.request();
        advisory.prefixHash = "p" + std::to_string(i);
        REQUIRE(fixture.router.choose(advisory, fixture.now).target != busy);
    }
    fixture.now = at(1.5);
    fixture.router.requestEnded(review.id, busy, AttemptResult::Delivered, fixture.now);
    bool usedAgain = false;
    for (int i = 0; i < 40; ++i) {
        auto advisory = fixture.request();
        advisory.prefixHash = "p" + std::to_string(i);
        usedAgain = usedAgain || fixture.router.choose(advisory, fixture.now).target == busy;
    }
    REQUIRE(usedAgain);
}

TEST_CASE("long prompts of lower classes go to a target one at a time")
{
    RouterFixture fixture({}, 1);
    auto review = fixture.request();
    review.promptTokens = 4000;
    REQUIRE_FALSE(fixture.send(review).isEmpty());
    REQUIRE(fixture.router.choose(fixture.request(), fixture.now).refusal == RoutingRefusal::Overloaded);
    REQUIRE_FALSE(fixture.router.hasCapacity(target(0), Priority::Standard, fixture.now));
    auto advisory = fixture.request();
    advisory.priority = Priority::Interactive;
    REQUIRE_FALSE(fixture.router.choose(advisory, fixture.now).isRefused());
    fixture.now = at(0.8);
    REQUIRE(fixture.router.hasCapacity(target(0), Priority::Standard, fixture.now));
    REQUIRE_FALSE(fixture.router.hasCapacity(target(0), Priority::Batch, fixture.now));
}

TEST_CASE("the same run-once key goes to the same target")
{
    RouterFixture fixture({}, 4);
    auto request = fixture.request();
    request.stickyKey = "debit-17";
    const auto home = fixture.router.choose(request, fixture.now).target;
    for (int i = 0; i < 20; ++i) {
        fixture.send(fixture.request());
        REQUIRE(fixture.router.choose(request, fixture.now).target == home);
    }
}

TEST_CASE("between equal targets, the one in the own zone is chosen")
{
    RouterFixture fixture({}, 2);
    REQUIRE(fixture.countSends(20)[target(0)] == 20);
}

TEST_CASE("a target that fails is ejected, then comes back gradually")
{
    // One target answers quickly with errors. A router that considers only load would take it for the least loaded target and send it
    // every request.
    RouterFixture fixture({}, 4);
    for (int i = 0; i < 3; ++i) {
        const auto one = fixture.request();
        fixture.router.requestStarted(one, target(2), fixture.now);
        fixture.router.requestEnded(one.id, target(2), AttemptResult::Failed, fixture.now);
    }
    REQUIRE(fixture.router.weight(target(2), fixture.now) == 0);
    REQUIRE(fixture.countSends(100)[target(2)] == 0);
    fixture.now = at(3);
    for (int i = 0; i < 4; ++i) {
        fixture.report(i, {});
    }
    const auto early = fixture.router.weight(target(2), fixture.now);
    REQUIRE(early > 0);
    REQUIRE(early < 0.5);
    fixture.now = at(13);
    REQUIRE(fixture.router.weight(target(2), fixture.now) > early);
    for (int i = 0; i < 4; ++i) {
        fixture.report(i, {});
    }
    REQUIRE(fixture.countSends(200)[target(2)] > 20);
}

TEST_CASE("a target that has become slow gets fewer requests")
{
    // One engine takes three times as long as the others. It answers every request, so nothing counts as a failure, but its callers wait longer.
    RouterFixture fixture({}, 4);
    for (int i = 0; i < 100; ++i) {
        for (int number = 0; number < 4; ++number) {
            const auto one = fixture.request();
            fixture.router.requestStarted(one, target(number), fixture.now);
            fixture.router.requestEnded(one.id, target(number), AttemptResult::Delivered, fixture.now + Duration::millis(number == 0 ? 900 : 300));
        }
    }
    REQUIRE(fixture.countSends(40)[target(0)] == 0);
}

TEST_CASE("a plain service isn't estimated by a model's service times")
{
    // Both kinds of requests are interactive. The model's take two seconds, the plain service's 20 milliseconds. If they were one class, every
    // lookup would be refused as too late for its time budget of one second.
    RouterFixture fixture({}, 2);
    const ServiceName ledger("ledger");
    fixture.router.targetUp(TargetId("ledger-1"), Here, ledger, fixture.now);
    fixture.router.reportReceived(TargetId("ledger-1"), {.sequence = 1, .concurrencyLimit = 8, .serviceTime = Duration::millis(20)}, fixture.now);
    for (int i = 0; i < 50; ++i) {
        auto advisory = fixture.request();
        advisory.priority = Priority::Interactive;
        fixture.router.requestStarted(advisory, target(0), fixture.now);
        fixture.router.requestEnded(advisory.id, target(0), AttemptResult::Delivered, fixture.now + Duration::seconds(2));
    }
    const RoutingRequest lookup {.id = id(-1), .service = ledger, .deadline = fixture.now + Duration::seconds(1), .priority = Priority::Interactive};
    REQUIRE(fixture.router.choose(lookup, fixture.now).target == TargetId("ledger-1"));
}

TEST_CASE("a target whose reports stop gets fewer requests, then none")
{
    RouterFixture fixture({}, 2);
    fixture.now = at(3);
    fixture.report(1, {});
    REQUIRE(fixture.router.weight(target(0), fixture.now) < fixture.router.weight(target(1), fixture.now));
    fixture.now = at(7);
    fixture.report(1, {});
    REQUIRE(fixture.countSends(50)[target(0)] == 0);
}

TEST_CASE("a target whose engine has restarted gets its full share gradually")
{
    RouterFixture fixture({}, 2);
    fixture.report(0, {.engineGeneration = 1});
    REQUIRE(fixture.router.weight(target(0), fixture.now) < 0.5);
    REQUIRE(fixture.router.weight(target(1), fixture.now) == 1);
}

TEST_CASE("the baseline strategies choose in turn or by load")
{
    RouterFixture fixture({.strategy = RoutingStrategy::RoundRobin}, 4);
    for (const auto &[chosen, count] : fixture.countSends(40)) {
        REQUIRE(count == 10);
    }
    RouterFixture least({.strategy = RoutingStrategy::LeastLoaded}, 2);
    least.report(0, {.running = 3});
    REQUIRE(least.send(least.request()) == target(1));
}

TEST_CASE("a concurrency limit shrinks when the engine slows down and grows back")
{
    ConcurrencyLimit limit({.min = 4, .max = 64, .initial = 48, .maxStepTime = Duration::millis(30)});
    for (int i = 0; i < 100; ++i) {
        limit.observeStep(Duration::millis(40), limit.limit());
    }
    const int slow = limit.limit();
    REQUIRE(slow < 24);
    for (int i = 0; i < 1000; ++i) {
        limit.observeStep(Duration::millis(15), limit.limit());
    }
    REQUIRE(limit.limit() > slow);
    for (int i = 0; i < 1000; ++i) {
        limit.observeOverload();
    }
    REQUIRE(limit.limit() == 4);
}

TEST_CASE("a concurrency limit that isn't reached doesn't grow")
{
    ConcurrencyLimit limit({.initial = 16});
    for (int i = 0; i < 1000; ++i) {
        limit.observeService(Duration::millis(100), 2);
    }
    REQUIRE(limit.limit() == 16);
}
