// Tests of the report on what callers make a process hold: its metrics, and that its log lines are bounded.
#include "net/callerreport.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

struct ReportFixture {
    Metrics metrics;
    std::vector<CallerReport::Pressure> lines;
    CallerReport report {metrics, [this](const CallerReport::Pressure &pressure) {
                             lines.push_back(pressure);
                         }};
    CallerServerCounts counts;
    TimePoint now = TimePoint::fromMicros(10'000'000);

    auto update(Duration later) -> void
    {
        now = now + later;
        report.update(counts, 5000, 3, now);
    }
};

} // namespace

TEST_CASE("what is refused under pressure is logged at most once a second, and nothing is left out")
{
    // Guards against a crowd that fills the log, and against refusals that no line or metric shows.
    ReportFixture fixture;
    for (int i = 0; i < 40; ++i) {
        ++fixture.counts.overloaded;
        fixture.counts.replaced += 2;
        fixture.update(Duration::millis(100));
    }
    CHECK(fixture.lines.size() == 4);
    fixture.update(Duration::seconds(2));
    fixture.update(Duration::seconds(2));
    CHECK(fixture.lines.size() == 5); // none for what has been logged
    std::uint64_t refused = 0;
    std::uint64_t replaced = 0;
    for (const auto &line : fixture.lines) {
        refused += line.refused;
        replaced += line.replaced;
        CHECK(line.held == 5000);
        CHECK(line.connections == 3);
    }
    CHECK(refused == 40);
    CHECK(replaced == 80);
}

TEST_CASE("what callers hold and what was refused because of it are metrics")
{
    ReportFixture fixture;
    fixture.counts = {.accepted = 9, .dropped = 1, .replaced = 2, .departed = 3, .malformed = 4, .overloaded = 5};
    fixture.update(Duration());
    const auto text = fixture.metrics.text();
    for (const std::string line : {"callers_held_bytes 5000",
                                   "callers_connections 3",
                                   "callers_dropped_total 1",
                                   "callers_replaced_total 2",
                                   "callers_left_before_read 3",
                                   "callers_malformed_total 4",
                                   "callers_overloaded_total 5"}) {
        INFO(line);
        CHECK(text.find("kingcup_" + line + "\n") != std::string::npos);
    }
}
