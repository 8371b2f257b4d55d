// Requests that come late in a planned stop: passed on if they can be expected to be answered before it, else refused as not run.
#include "core/stopadmission.h"
#include "tests/forwarder_fixture.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto AnswerTime = Duration::millis(150); ///< of the targets

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

/// The targets answer after some time.
struct SlowFixture : ForwarderFixture {
    SlowFixture()
        : ForwarderFixture([](const std::string & /*target*/, const std::string & /*attempt*/) { return std::string(); })
    {
        writeAnswer = [this](ScriptedConnection &connection, const std::string & /*target*/, const std::string &attempt) {
            const bool isStream = runs.back().path.starts_with("/chat/") || runs.back().path.starts_with("/tell/");
            timers.push_back(loop.after(AnswerTime, [&connection, attempt, isStream] {
                const auto type = std::string(isStream ? "Content-Type: text/event-stream\r\n" : "");
                connection.stream->write(answerText(200, attempt, type, isStream ? "id: 1\ndata: x\n\n" : "ok"));
            }));
            return true;
        };
    }
    auto stopIn(Duration time) -> void
    {
        forwarder->setStop({loop.now(), loop.now() + time});
    }

    std::vector<Timer> timers;
};

const std::vector<std::string> Routes {"/write/", "/read/", "/chat/", "/tell/"};

} // namespace

TEST_CASE("the time that a request takes is expected from the latest ones of its route")
{
    AnswerTimes times;
    CHECK_FALSE(times.expected("r"));
    for (int i = 1; i <= 20; ++i) {
        times.ended("r", Duration::millis(100) * i);
    }
    CHECK(times.expected("r") == Duration::millis(1900) * 1.25); // one of twenty takes longer
    for (int i = 0; i < 64; ++i) {
        times.ended("r", Duration::millis(200));
    }
    CHECK(times.expected("r") == Duration::millis(250));
    CHECK_FALSE(times.expected("other"));
}

TEST_CASE("a request fits before the stop if it is expected to be answered, or has to end, by then")
{
    const StopSchedule stop {at(2.5), at(7.5)};
    const auto goal = Duration::millis(300);
    const auto timeLeft = Duration::seconds(10);
    CHECK(fitsBeforeStop(stop, Duration::seconds(1.5), goal, timeLeft, at(5.9)));
    CHECK_FALSE(fitsBeforeStop(stop, Duration::seconds(1.5), goal, timeLeft, at(6.1)));
    CHECK(fitsBeforeStop(stop, Duration::seconds(1.5), goal, Duration::seconds(1), at(6.1)));
    CHECK(fitsBeforeStop(stop, std::nullopt, goal, timeLeft, at(2)));
    CHECK_FALSE(fitsBeforeStop(stop, std::nullopt, goal, timeLeft, at(3)));
    CHECK(fitsBeforeStop(stop, std::nullopt, goal, Duration::seconds(4), at(3)));
}

TEST_CASE("a request that comes too late in a planned stop is refused as not run, and one that comes in time is answered")
{
    // Guards against requests that are taken late in the grace, passed on, and cut off at its end.
    for (const auto &route : Routes) {
        INFO(route);
        SlowFixture fixture;
        for (int i = 0; i < 3; ++i) {
            REQUIRE(fixture.call(route + "before") == 200);
        }
        fixture.stopIn(Duration::seconds(1));
        CHECK(fixture.call(route + "in-time") == 200);
        const auto runs = fixture.runs.size();
        fixture.stopIn(Duration::millis(100));
        const auto startedAt = fixture.loop.now();
        CHECK(fixture.call(route + "late") == 503);
        CHECK(fixture.loop.now() - startedAt < AnswerTime);
        CHECK(fixture.text.find("Retry-After: 0") != std::string::npos);
        CHECK(fixture.runs.size() == runs);
    }
}

TEST_CASE("a request of which nothing is known isn't passed on late in a planned stop, unless its deadline comes first")
{
    SlowFixture fixture;
    fixture.stopIn(Duration::seconds(1)); // the routes' time limit is two seconds
    CHECK(fixture.call("/write/late") == 503);
    CHECK(fixture.runs.empty());
    fixture.stopIn(Duration::seconds(3));
    CHECK(fixture.call("/write/in-time") == 200);
}
