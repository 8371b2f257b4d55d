// Request limits that targets announce in their answers: how they are read, and when they begin and end.
#include "core/announcedlimits.h"
#include "platform/protocol.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(100 + seconds);
}

auto target(std::uint64_t startedAt = 1) -> TargetIncarnation
{
    return {TargetId("t1"), startedAt};
}

auto answerWith(const HttpHeaders &headers) -> AnswerTraits
{
    HttpHead head;
    head.status = 200;
    head.headers = headers;
    return Platform::readAnswer(head);
}

} // namespace

TEST_CASE("a target's announced limit is read as a decimal number, and a malformed one is no limit")
{
    CHECK_FALSE(answerWith({}).requestLimit);
    CHECK_FALSE(answerWith({}).isRequestLimitMalformed);
    CHECK(answerWith({{"Server-Limit", "2.5"}}).requestLimit == 2.5);
    CHECK(answerWith({{"server-limit", "0"}}).requestLimit == 0.0);
    for (const auto *value : {"", "many", "-1", "nan", "inf", "1e999", "3 a second", " 3"}) {
        const auto answer = answerWith({{"Server-Limit", value}});
        INFO("value \"" << value << "\"");
        CHECK_FALSE(answer.requestLimit);
        CHECK(answer.isRequestLimitMalformed);
    }
}

TEST_CASE("a limit holds for as long as the target's answers carry it")
{
    AnnouncedLimits limits;
    CHECK_FALSE(limits.perSecond(target()));
    CHECK(limits.answerReceived(target(), 2, at(0), at(1)));
    CHECK_FALSE(limits.answerReceived(target(), 2, at(1), at(2)));
    CHECK(limits.perSecond(target()) == 2.0);
    CHECK(limits.answerReceived(target(), 4, at(2), at(3)));
    CHECK(limits.answerReceived(target(), std::nullopt, at(4), at(5)));
    CHECK_FALSE(limits.perSecond(target()));
}

TEST_CASE("an answer that was given before the target announced its limit doesn't end the limit")
{
    // Guards against a slow answer from before the announcement that lifts the limit until the next answer.
    AnnouncedLimits limits;
    limits.answerReceived(target(), 1, at(3), at(4));
    CHECK_FALSE(limits.answerReceived(target(), std::nullopt, at(2), at(6)));
    CHECK(limits.perSecond(target()) == 1.0);
}

TEST_CASE("a target that restarts under its id has no limit until it announces one")
{
    // Guards against a limit of the former start that holds back a healthy target.
    AnnouncedLimits limits;
    limits.answerReceived(target(1), 1, at(0), at(1));
    CHECK_FALSE(limits.perSecond(target(2)));
    // An answer of the former start that arrives late says nothing about the present one.
    limits.answerReceived(target(2), 5, at(2), at(3));
    CHECK_FALSE(limits.answerReceived(target(1), 1, at(0), at(4)));
    CHECK(limits.perSecond(target(2)) == 5.0);
}

TEST_CASE("the limit of a target that gives no more answers is dropped in the end")
{
    AnnouncedLimits limits({.lifetime = Duration::seconds(10)});
    limits.answerReceived(target(), 1, at(0), at(0));
    limits.expire(at(9));
    CHECK(limits.perSecond(target()));
    limits.expire(at(11));
    CHECK_FALSE(limits.perSecond(target()));
}

TEST_CASE("of two gateways' notices, the one with the more recent answer counts, whichever arrives first")
{
    // Guards against a notice that is late and brings back a limit which the target has ended.
    AnnouncedLimits limits;
    CHECK(limits.noticeReceived({target(), 3, Duration::seconds(2)}, at(10)));
    CHECK(limits.perSecond(target()) == 3.0);
    CHECK(limits.noticeReceived({target(), std::nullopt, Duration::seconds(1)}, at(10)));
    CHECK_FALSE(limits.noticeReceived({target(), 3, Duration::millis(1500)}, at(10)));
    CHECK_FALSE(limits.perSecond(target()));
    CHECK(limits.noticeReceived({target(), 2, Duration()}, at(10)));
    CHECK(limits.perSecond(target()) == 2.0);
}

TEST_CASE("a gateway that is notified of a limit ends it by its own later answer, and notifies the others")
{
    AnnouncedLimits limits;
    limits.noticeReceived({target(), 3, Duration::seconds(1)}, at(10));
    CHECK_FALSE(limits.answerReceived(target(), std::nullopt, at(8.5), at(10.5))); // sent before the answer that showed the limit
    CHECK(limits.answerReceived(target(), std::nullopt, at(9.5), at(10.5)));
    const auto notices = limits.notices(at(11));
    REQUIRE(notices.size() == 1);
    CHECK_FALSE(notices[0].perSecond);
    CHECK(notices[0].age == Duration::millis(500));
    limits.expire(at(30));
    CHECK(limits.notices(at(30)).empty());
}
