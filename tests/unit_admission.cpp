#include "core/admission.h"
#include "core/retry.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace KingCup;

namespace
{

const ServiceName Advisory("advisory");
const ServiceName Review("review");

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

auto waiting(const std::string &id, const ServiceName &service, Priority priority, double deadline) -> WaitingRequest
{
    return {.id = RequestId(id),
            .service = service,
            .lane = LaneName("sun@1"),
            .priority = priority,
            .deadline = at(deadline),
            .serviceTime = Duration::millis(100)};
}

auto anyCapacity(const LaneName &, Priority) -> bool
{
    return true;
}

} // namespace

TEST_CASE("priority classes are served in order, and within a class the earliest deadline first")
{
    AdmissionQueue queue;
    REQUIRE_FALSE(queue.offer(waiting("batch", Advisory, Priority::Batch, 1), at(0)).isRefused());
    REQUIRE_FALSE(queue.offer(waiting("late", Advisory, Priority::Standard, 9), at(0)).isRefused());
    REQUIRE_FALSE(queue.offer(waiting("soon", Advisory, Priority::Standard, 5), at(0)).isRefused());
    REQUIRE_FALSE(queue.offer(waiting("now", Advisory, Priority::Interactive, 8), at(0)).isRefused());
    for (const auto *expected : {"now", "soon", "late", "batch"}) {
        REQUIRE(queue.next(at(0), anyCapacity) == RequestId(expected));
    }
    REQUIRE_FALSE(queue.next(at(0), anyCapacity).has_value());
    REQUIRE(queue.size() == 0);
}

TEST_CASE("a lane without capacity doesn't block the others")
{
    AdmissionQueue queue;
    queue.offer(waiting("first", Advisory, Priority::Interactive, 1), at(0));
    auto other = waiting("other", Advisory, Priority::Standard, 5);
    other.lane = LaneName("moon@1");
    queue.offer(other, at(0));
    const auto next = queue.next(at(0), [](const LaneName &lane, Priority) { return lane == LaneName("moon@1"); });
    REQUIRE(next == RequestId("other"));
}

TEST_CASE("one service's burst does not starve another")
{
    // One service sends 200 requests at once, another one a few. In a common queue the second would wait behind all of the first, and its
    // callers would see timeouts caused by the other service.
    AdmissionQueue queue;
    for (int i = 0; i < 200; ++i) {
        queue.offer(waiting("burst" + std::to_string(i), Advisory, Priority::Standard, 30), at(0));
    }
    for (int i = 0; i < 20; ++i) {
        queue.offer(waiting("steady" + std::to_string(i), Review, Priority::Standard, 60), at(0));
    }
    int steady = 0;
    for (int i = 0; i < 40; ++i) {
        steady += queue.next(at(0), anyCapacity)->text().starts_with("steady") ? 1 : 0;
    }
    REQUIRE(steady >= 19);
}

TEST_CASE("services get capacity in proportion to their shares")
{
    AdmissionQueue queue;
    queue.setShare(Advisory, 3);
    for (int i = 0; i < 100; ++i) {
        queue.offer(waiting("a" + std::to_string(i), Advisory, Priority::Standard, 30), at(0));
        queue.offer(waiting("r" + std::to_string(i), Review, Priority::Standard, 30), at(0));
    }
    int advisory = 0;
    for (int i = 0; i < 80; ++i) {
        advisory += queue.next(at(0), anyCapacity)->text().starts_with("a") ? 1 : 0;
    }
    REQUIRE(advisory >= 58);
    REQUIRE(advisory <= 62);
}

TEST_CASE("a request that would miss its deadline behind the queue is refused at once")
{
    AdmissionQueue queue;
    for (int i = 0; i < 100; ++i) {
        queue.offer(waiting("q" + std::to_string(i), Advisory, Priority::Standard, 60), at(0));
    }
    for (int i = 0; i < 10; ++i) {
        queue.next(at(i * 0.1), anyCapacity);
    }
    const auto refused = queue.offer(waiting("hasty", Advisory, Priority::Standard, 3), at(1));
    REQUIRE(refused.refusal == AdmissionRefusal::TooLate);
    REQUIRE(refused.retryAfter > Duration::seconds(5));
    REQUIRE_FALSE(queue.offer(waiting("patient", Advisory, Priority::Standard, 60), at(1)).isRefused());
    REQUIRE_FALSE(queue.offer(waiting("urgent", Advisory, Priority::Interactive, 3), at(1)).isRefused());
}

TEST_CASE("the queue is bounded in total and per service")
{
    AdmissionQueue queue({.maxWaiting = 100, .maxServiceShare = 0.6});
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        taken += queue.offer(waiting("a" + std::to_string(i), Advisory, Priority::Standard, 30), at(0)).isRefused() ? 0 : 1;
    }
    REQUIRE(taken == 60);
    REQUIRE(queue.offer(waiting("more", Advisory, Priority::Standard, 30), at(0)).refusal == AdmissionRefusal::QueueFull);
    REQUIRE_FALSE(queue.offer(waiting("other", Review, Priority::Standard, 30), at(0)).isRefused());
}

TEST_CASE("requests that can't meet their deadline any more are removed")
{
    AdmissionQueue queue;
    queue.offer(waiting("soon", Advisory, Priority::Standard, 1), at(0));
    queue.offer(waiting("later", Advisory, Priority::Standard, 5), at(0));
    REQUIRE(queue.expire(at(0.95)) == std::vector {RequestId("soon")});
    REQUIRE(queue.size() == 1);
}

TEST_CASE("no request is lost or returned twice under random operations")
{
    const auto seed = GENERATE(range(1U, 21U));
    std::mt19937 random(seed);
    AdmissionQueue queue({.maxWaiting = 60});
    std::map<RequestId, int> seen;
    int accepted = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto now = at(i * 0.01);
        const auto step = random() % 4;
        if (step < 2) {
            auto one = waiting("q" + std::to_string(i),
                               random() % 2 == 0 ? Advisory : Review,
                               static_cast<Priority>(random() % 3),
                               i * 0.01 + static_cast<double>(random() % 9));
            one.lane = LaneName("lane" + std::to_string(random() % 3));
            accepted += queue.offer(one, now).isRefused() ? 0 : 1;
        } else if (step == 2) {
            const auto closed = LaneName("lane" + std::to_string(random() % 3));
            if (const auto next = queue.next(now, [&](const LaneName &lane, Priority) { return lane != closed; })) {
                ++seen[*next];
            }
        } else {
            for (const auto &id : queue.expire(now)) {
                ++seen[id];
            }
        }
    }
    INFO("seed " << seed);
    REQUIRE(seen.size() + queue.size() == static_cast<std::size_t>(accepted));
    for (const auto &[id, count] : seen) {
        REQUIRE(count == 1);
    }
}

TEST_CASE("a non-idempotent request is retried only if it certainly was not run")
{
    // The connection breaks after a debit was sent. A retry could post it twice; if it were reported as not run, the caller would repeat it.
    RetryBudget budget;
    RequestFacts debit {.service = Advisory, .idempotent = false, .deadline = at(10)};
    REQUIRE(decideRetry(debit, {.outcome = AttemptOutcome::Unknown}, budget, at(0)).action == RetryAction::SayUnknown);
    REQUIRE(decideRetry(debit, {.outcome = AttemptOutcome::NotRun}, budget, at(0)).action == RetryAction::Retry);
    debit.attempts = 4;
    REQUIRE(decideRetry(debit, {.outcome = AttemptOutcome::NotRun}, budget, at(0)).action == RetryAction::SayNotRun);
}

TEST_CASE("a broken stream is resumed where it stopped, or reported as incomplete")
{
    RetryBudget budget;
    RequestFacts request {.service = Advisory, .resumable = true, .deadline = at(10)};
    const AttemptEnd broken {.outcome = AttemptOutcome::Unknown, .deliveredTokens = 17, .answerBegan = true};
    const auto decision = decideRetry(request, broken, budget, at(0));
    REQUIRE(decision.action == RetryAction::Resume);
    REQUIRE(decision.offset == 17);
    request.resumable = false;
    REQUIRE(decideRetry(request, broken, budget, at(0)).action == RetryAction::SayUnknown);
    const AttemptEnd refused {.outcome = AttemptOutcome::NotRun, .deliveredTokens = 17, .answerBegan = true};
    request.attempts = 4;
    REQUIRE(decideRetry(request, refused, budget, at(0)).action == RetryAction::SayUnknown);
}

TEST_CASE("retries are limited by the deadline and by the service's retry budget")
{
    RetryBudget budget({.earnedPerRequest = 0.1, .maxTokens = 5});
    const RequestFacts request {.service = Advisory, .deadline = at(10), .expectedService = Duration::seconds(1)};
    const AttemptEnd broken {.outcome = AttemptOutcome::Unknown};
    REQUIRE(decideRetry(request, broken, budget, at(9.5)).action == RetryAction::SayUnknown);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.requestSeen(Advisory);
        retries += decideRetry(request, broken, budget, at(0)).action == RetryAction::Retry ? 1 : 0;
    }
    REQUIRE(retries >= 100);
    REQUIRE(retries <= 106);
}

TEST_CASE("only an overdue short idempotent request is hedged, and only if hedging is enabled")
{
    RetryBudget budget;
    const RequestFacts lookup {.service = Advisory, .deadline = at(10), .expectedService = Duration::millis(20)};
    REQUIRE_FALSE(shouldHedge(lookup, at(0), budget, at(0.1), {}));
    REQUIRE(shouldHedge(lookup, at(0), budget, at(0.1), {.enabled = true}));
    REQUIRE_FALSE(shouldHedge(lookup, at(0), budget, at(0.05), {.enabled = true}));
    auto debit = lookup;
    debit.idempotent = false;
    REQUIRE_FALSE(shouldHedge(debit, at(0), budget, at(0.1), {.enabled = true}));
}
