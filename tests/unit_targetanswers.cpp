// What targets say about themselves in answers: that they leave, or that a gateway is to send nothing for some time. How that is read and kept.
#include "core/targetpauses.h"
#include "platform/protocol.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(100 + seconds);
}

auto answerWith(int status, const HttpHeaders &headers) -> AnswerTraits
{
    HttpHead head;
    head.status = status;
    head.headers = headers;
    return Platform::readAnswer(head);
}

} // namespace

TEST_CASE("the time for which a rejecting target asks to be left alone is read as a decimal number of seconds")
{
    CHECK_FALSE(answerWith(503, {}).retryAfter);
    CHECK(answerWith(503, {{"Retry-After", "3"}}).retryAfter == Duration::seconds(3));
    CHECK(answerWith(429, {{"retry-after", "0.25"}}).retryAfter == Duration::millis(250));
    CHECK(answerWith(503, {{"Retry-After", "1e300"}}).retryAfter == Duration::seconds(24 * 3600));
    for (const auto *value : {"", "soon", "-1", "nan", "Thu, 03 Dec 2026 16:00:00 GMT"}) {
        const auto answer = answerWith(503, {{"Retry-After", value}});
        INFO("value \"" << value << "\"");
        CHECK_FALSE(answer.retryAfter);
        CHECK(answer.isRetryAfterMalformed);
    }
}

TEST_CASE("an answer says that its target is leaving by a single value")
{
    CHECK(answerWith(200, {{"server-leaving", "1"}}).isLeaving);
    CHECK(answerWith(503, {{"Server-Leaving", "1"}}).isLeaving);
    CHECK_FALSE(answerWith(200, {}).isLeaving);
    CHECK_FALSE(answerWith(200, {{"Server-Leaving", "0"}}).isLeaving);
    CHECK_FALSE(answerWith(200, {{"Server-Leaving", ""}}).isLeaving);
}

TEST_CASE("Retry-After of an answer that isn't a rejection says nothing about the target")
{
    // Guards against a target that gets no requests because of a header that an application behind it has set.
    CHECK_FALSE(answerWith(200, {{"Retry-After", "3"}}).retryAfter);
    CHECK_FALSE(answerWith(301, {{"Retry-After", "soon"}}).isRetryAfterMalformed);
}

TEST_CASE("a pause is never shortened, and belongs to one start of a target")
{
    // Guards against a later rejection with a shorter time that ends the first one's, and against a restart that has to wait for its predecessor's time.
    TargetPauses pauses;
    const TargetIncarnation first {TargetId("t1"), 1};
    const TargetIncarnation second {TargetId("t1"), 2};
    pauses.pause(first, Duration::seconds(3), at(0));
    pauses.pause(first, Duration::seconds(1), at(1));
    CHECK(pauses.until(first, at(2.9)) == at(3));
    CHECK_FALSE(pauses.until(first, at(3)));
    CHECK_FALSE(pauses.until(second, at(1)));
    pauses.pause(first, Duration::seconds(2), at(2.5));
    CHECK(pauses.until(first, at(4)) == at(4.5));
    pauses.expire(at(5));
    CHECK_FALSE(pauses.until(first, at(4)));
}

TEST_CASE("the attempt that began a stream is read from the request that takes it up")
{
    HttpHead head;
    head.headers = {{"Last-Event-Id", "7"}, {"resumes", "first"}, {"Attempt-Id", "third"}};
    const auto request = Platform::readRequest(head);
    CHECK(request.resumes == AttemptId("first"));
    CHECK(request.lastEventId == "7");
    CHECK(Platform::readRequest(HttpHead()).resumes.isEmpty());
}
