#include "core/peerloads.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

auto digestOf(const std::string &entry, std::uint64_t sequence, int running, double pendingMillis = 0) -> WorkDigest
{
    WorkDigest digest;
    digest.entry = EntryId(entry);
    digest.sequence = sequence;
    TargetWork work {.target = TargetId("r1"), .running = running};
    work.pendingPrefill.at(0) = Duration::seconds(pendingMillis / 1000);
    digest.work.push_back(work);
    return digest;
}

} // namespace

TEST_CASE("a gateway that is gone loses the reports of all its incarnations")
{
    // Reports are stored by incarnation, but the loss of a gateway is detected by its id. If only an exact match were removed, the reports of replaced
    // gateways would stay, and every estimate would iterate over them.
    PeerLoads loads;
    loads.merge(digestOf("g1#100", 1, 3), at(0));
    loads.merge(digestOf("g1#200", 1, 4), at(0));
    loads.merge(digestOf("g10#100", 1, 5), at(0));
    loads.merge(digestOf("g2", 1, 6), at(0));
    loads.gatewayGone(EntryId("g1"));
    CHECK(loads.size() == 2);
    CHECK(loads.work(TargetId("r1"), at(0.1)).running == 11);
    loads.gatewayGone(EntryId("g2"));
    CHECK(loads.work(TargetId("r1"), at(0.1)).running == 5);
}

TEST_CASE("a report counts until its lifetime is over, and an older one that arrives late is ignored")
{
    PeerLoads loads(Duration::seconds(2));
    CHECK(loads.merge(digestOf("g1", 5, 3), at(0)));
    CHECK_FALSE(loads.merge(digestOf("g1", 4, 9), at(1)));
    CHECK(loads.work(TargetId("r1"), at(1.9)).running == 3);
    CHECK(loads.hasFresh(at(1.9)));
    CHECK(loads.work(TargetId("r1"), at(2.1)).running == 0);
    CHECK_FALSE(loads.hasFresh(at(2.1)));
}

TEST_CASE("pending prefill reported by several gateways is reduced once by the elapsed time")
{
    PeerLoads loads;
    loads.merge(digestOf("g1", 1, 1, 100), at(0));
    loads.merge(digestOf("g2", 1, 1, 100), at(0));
    CHECK(loads.work(TargetId("r1"), at(0)).pendingPrefill.at(0) == Approx(200));
    CHECK(loads.work(TargetId("r1"), at(0.05)).pendingPrefill.at(0) == Approx(150));
}

TEST_CASE("another gateway's ejection counts until a later success here")
{
    PeerLoads loads;
    auto digest = digestOf("g1", 1, 1);
    digest.work.front().isEjected = true;
    loads.merge(digest, at(1));
    CHECK(loads.isEjected(TargetId("r1"), at(0.5), at(1.1)));
    CHECK_FALSE(loads.isEjected(TargetId("r1"), at(1.05), at(1.1)));
    CHECK_FALSE(loads.isEjected(TargetId("r2"), at(0.5), at(1.1)));
}
