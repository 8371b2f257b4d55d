// Lookups of where streams began: what is asked and read, in which order, and what is concluded. In virtual time.
#include "core/originlookups.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

const ServiceName Service("s");
const StreamKey Stream(7);
const StreamOrigin AtV1 {Service, SoftwareVersion("v1")};
const VersionSet OneVersion {SoftwareVersion("v1")};
const VersionSet TwoVersions {SoftwareVersion("v1"), SoftwareVersion("v2")};

auto at(double millis) -> TimePoint
{
    return TimePoint() + Duration::seconds(1000 + millis / 1000);
}

auto kinds(OriginLookups &lookups) -> std::vector<LookupStepKind>
{
    std::vector<LookupStepKind> list;
    for (const auto &step : lookups.takeSteps()) {
        list.push_back(step.kind);
    }
    return list;
}

auto result(OriginLookups &lookups) -> std::optional<LookupResult>
{
    const auto results = lookups.takeResults();
    return results.empty() ? std::nullopt : std::optional(results.front());
}

} // namespace

TEST_CASE("with a single software version, one read of the row tells where a stream began")
{
    OriginLookups lookups;
    lookups.setGateways({"a", "b"}, {"c"});
    lookups.start(Stream, Service, at(0));
    CHECK(kinds(lookups) == std::vector {LookupStepKind::ReadVersions});
    lookups.versionsRead(Service, OneVersion, at(0), at(5));
    CHECK(kinds(lookups).empty());
    const auto found = result(lookups);
    REQUIRE(found);
    CHECK(found->origin == AtV1);
    CHECK(found->source == LookupSource::SingleVersion);
    CHECK(lookups.isEmpty());
}

TEST_CASE("a read of the row that began before the client took its stream up concludes nothing")
{
    // Guards against a stream that began at a version that was added to the row after the read.
    OriginLookups lookups;
    lookups.start(Stream, Service, at(0));
    kinds(lookups);
    lookups.start(StreamKey(8), Service, at(3));
    CHECK(kinds(lookups).empty()); // the read in progress serves the first one alone
    lookups.versionsRead(Service, OneVersion, at(0), at(5));
    CHECK(lookups.takeResults().size() == 1);
    CHECK(kinds(lookups) == std::vector {LookupStepKind::ReadVersions});
    lookups.versionsRead(Service, TwoVersions, at(5), at(10));
    CHECK(result(lookups)->source == LookupSource::Unknown); // no other gateway is known
}

TEST_CASE("with several software versions the gateways are asked, and the records of those that are gone or don't reply are read")
{
    OriginLookups lookups;
    lookups.setGateways({"a", "b"}, {"c"});
    lookups.start(Stream, Service, at(0));
    kinds(lookups);
    lookups.versionsRead(Service, TwoVersions, at(0), at(5));
    CHECK(kinds(lookups) == std::vector {LookupStepKind::Ask, LookupStepKind::ReadRecords});
    lookups.replied("a", Stream, std::nullopt, at(8));
    lookups.recordsRead("c", {}, at(9));
    lookups.advance(at(100));
    CHECK(kinds(lookups).empty());
    lookups.advance(at(160));
    const auto steps = lookups.takeSteps();
    REQUIRE(steps.size() == 1);
    CHECK(steps.front().host == "b");
    SECTION("the record is there")
    {
        lookups.recordsRead("b", {{StreamKey(8), AtV1}, {Stream, AtV1}}, at(165));
        const auto found = result(lookups);
        REQUIRE(found);
        CHECK(found->origin == AtV1);
        CHECK(found->source == LookupSource::Store);
    }
    SECTION("the gateway replies late")
    {
        lookups.replied("b", Stream, AtV1, at(162));
        CHECK(result(lookups)->source == LookupSource::Gateway);
    }
    SECTION("nobody knows")
    {
        lookups.recordsRead("b", {}, at(165));
        const auto found = result(lookups);
        REQUIRE(found);
        CHECK_FALSE(found->origin);
        CHECK(found->source == LookupSource::Unknown);
    }
}

TEST_CASE("while the store is out of reach gateways are asked, and a lookup ends in time")
{
    // Guards against a client that waits for the store until it gives up.
    OriginLookups lookups;
    lookups.setGateways({"a"}, {"c"});
    lookups.start(Stream, Service, at(0));
    kinds(lookups);
    lookups.advance(at(240));
    CHECK(kinds(lookups).empty());
    lookups.advance(at(250));
    CHECK(kinds(lookups) == std::vector {LookupStepKind::Ask, LookupStepKind::ReadRecords});
    SECTION("a gateway knows the stream")
    {
        lookups.replied("a", Stream, AtV1, at(260));
        CHECK(result(lookups)->origin == AtV1);
    }
    SECTION("nobody answers")
    {
        lookups.advance(at(1499));
        CHECK_FALSE(result(lookups));
        lookups.advance(at(1500));
        CHECK(result(lookups)->source == LookupSource::Unknown);
    }
}

TEST_CASE("a client that doesn't say which stream it takes up gets an origin only if there is one version")
{
    // Guards against a guess.
    OriginLookups lookups;
    lookups.setGateways({"a"}, {"c"});
    lookups.start(StreamKey(), Service, at(0));
    kinds(lookups);
    lookups.versionsRead(Service, GENERATE(TwoVersions, VersionSet()), at(0), at(5));
    CHECK(kinds(lookups).empty());
    CHECK(result(lookups)->source == LookupSource::Unknown);
    // Neither is one concluded if the route's streams may have begun in several services.
    lookups.start(StreamKey(), ServiceName(), at(10));
    lookups.advance(at(11));
    CHECK(result(lookups)->source == LookupSource::Unknown);
}

TEST_CASE("the records of many gateways that are gone are read a few at a time, up to a limit")
{
    OriginLookups lookups({.maxReads = 3, .maxGone = 5});
    std::set<std::string> gone;
    for (int i = 0; i < 9; ++i) {
        gone.insert("gone-" + std::to_string(i));
    }
    lookups.setGateways({}, gone);
    lookups.start(Stream, Service, at(0));
    kinds(lookups);
    lookups.versionsRead(Service, TwoVersions, at(0), at(5));
    int reads = 0;
    for (auto steps = lookups.takeSteps(); !steps.empty(); steps = lookups.takeSteps()) {
        CHECK(steps.size() <= 3);
        reads += static_cast<int>(steps.size());
        for (const auto &step : steps) {
            lookups.recordsRead(step.host, {}, at(6));
        }
    }
    CHECK(reads == 5);
    CHECK(result(lookups)->source == LookupSource::Unknown);
}
