// Selection of the log lines that explain a request, from the logs of several hosts.
#include "core/logselection.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

const std::vector<std::string> Log {
    "t=9000 host=a part=targets event=gone target=r9",
    "collector: t=10000 host=a part=routing event=chosen id=q1 target=r1 expected=12.0ms",
    "t=10001 host=a part=routing event=chosen id=q2 target=r1",
    "t=10400 host=b part=targets event=row-removed target=r1",
    "t=10500 host=a part=attempt event=broken id=q1 target=r1 why=\"closed early\"",
    "t=10050 host=a part=store event=lost table=1",
    "t=10060 host=b part=store event=lost table=1",
    "t=10510 host=a part=request event=answered id=q1 status=502",
    "t=99000 host=a part=targets event=seen target=r1",
    "something else",
    "t=x host=a part=request id=q1",
};

auto explain(const std::string &id) -> std::vector<ExplainedLine>
{
    LogSelection selection(id);
    for (const auto &line : Log) {
        selection.find(line);
    }
    for (const auto &line : Log) {
        selection.collect(line);
    }
    return selection.lines();
}

} // namespace

TEST_CASE("a request's lines come ordered by time, with lines about its targets and its host")
{
    const auto lines = explain("q1");
    REQUIRE(lines.size() == 5);
    REQUIRE(lines[0].text == "part=routing event=chosen id=q1 target=r1 expected=12.0ms");
    REQUIRE(lines[1].text == "part=store event=lost table=1");
    REQUIRE(lines[1].host == "a");
    REQUIRE(lines[2].host == "b");
    REQUIRE_FALSE(lines[2].hasRequestId);
    REQUIRE(lines[3].hasRequestId);
    REQUIRE(lines[4].text == "part=request event=answered id=q1 status=502");
}

TEST_CASE("an id that is in no line finds nothing, nor does the empty id")
{
    REQUIRE(explain("q3").empty());
    REQUIRE(explain("").empty());
}

TEST_CASE("values are found by the whole key, quoted or not")
{
    REQUIRE(logValue(Log[4], "why") == "closed early");
    REQUIRE(logValue("t=1 grid=5 id=7", "id") == "7");
    REQUIRE(logValue("t=1", "id").empty());
}
