// Tests of net/eventlog.
#include "net/eventlog.h"

#include <catch2/catch.hpp>

#include <array>
#include <limits>
#include <string>
#include <unistd.h>

using namespace KingCup;

TEST_CASE("ids with 64 bits are logged without a sign")
{
    // Guards against lines on one request that name it by two different numbers.
    std::array<int, 2> ends {};
    REQUIRE(pipe(ends.data()) == 0);
    EventLoop loop;
    {
        EventLog log(loop, {.descriptor = ends[1], .host = "gw-1"});
        log.line("crashes", "run-ended").add("request", std::numeric_limits<std::uint64_t>::max()).add("after", std::int64_t {-1});
    }
    ::close(ends[1]);
    std::string text(4096, '\0');
    const auto size = ::read(ends[0], text.data(), text.size());
    ::close(ends[0]);
    REQUIRE(size > 0);
    text.resize(static_cast<std::size_t>(size));
    CHECK(text.find("request=18446744073709551615 after=-1\n") != std::string::npos);
}
