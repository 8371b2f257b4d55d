// A target that has ended, and was the only one with an adapter, while its row is still there.
#include "tests/harness_gateways.h"

#include <catch2/catch.hpp>

using namespace KingCup;

TEST_CASE("a request for an adapter whose only target has just ended is served by another target")
{
    // Guards against requests that fail until the ended target's row has lapsed, since it is the only one known to have the adapter.
    Site site({.gateways = 1, .runners = 3, .instances = 1, .models = 1});
    RequestOptions request {.path = "/tell/x", .method = "POST", .model = "m1/a1", .body = "first"};
    const auto first = site.call(1, request);
    REQUIRE(first->isWhole());
    const auto target = first->header("Server-Stamp").substr(std::string("stamp-").size(), 2); // of "stamp-r1-ATTEMPT"
    site.platform({{"part", "runner"}, {"id", target}, {"mode", "crash"}, {"downMs", 20000}});
    request.body = "second";
    const auto second = site.call(1, request);
    INFO(target << ", status " << second->status);
    CHECK(second->isWhole());
}
