// The row of the software versions at which streams may have begun: what gateways write into it, and when they may begin streams. In virtual time.
#include "core/versionregister.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

const ServiceName Service("s");
const SoftwareVersion V1("v1");
const SoftwareVersion V2("v2");

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(1000 + seconds);
}

/// A row of the store that several gateways read and write.
struct Row {
    RowVersion version;
    VersionSet versions;

    /// Answers the gateway's calls until it has none.
    auto serve(VersionRegister &gateway, TimePoint now) -> int
    {
        int calls = 0;
        while (const auto call = gateway.next(now)) {
            ++calls;
            if (!call->write) {
                gateway.readDone(Service, std::pair(version, versions), now);
            } else if (call->expected != version) {
                gateway.writeDone(Service, StoreOutcome::Conflict, RowVersion(), now);
            } else {
                version = version.next();
                versions = *call->write;
                gateway.writeDone(Service, StoreOutcome::Done, version, now);
            }
        }
        return calls;
    }
};

} // namespace

TEST_CASE("streams begin at a software version only once the row names it")
{
    // Guards against a stream at a version that no other gateway can know of, once its own gateway is gone.
    Row row;
    VersionRegister gateway;
    gateway.setPresent(Service, {V1}, at(0));
    CHECK_FALSE(gateway.mayBegin(Service, V1));
    CHECK(row.serve(gateway, at(0)) == 2);
    CHECK(row.versions == VersionSet {V1});
    CHECK(gateway.mayBegin(Service, V1));
    CHECK_FALSE(gateway.mayBegin(Service, V2));
    CHECK_FALSE(gateway.isMixed(Service));
    gateway.setPresent(Service, {V1, V2}, at(1));
    CHECK(gateway.isMixed(Service));
    CHECK_FALSE(gateway.mayBegin(Service, V2));
    row.serve(gateway, at(1));
    CHECK(gateway.mayBegin(Service, V2));
    CHECK(row.versions == VersionSet {V1, V2});
}

TEST_CASE("a write that fails, conflicts or is unclear is followed by a read, and allows nothing before")
{
    Row row {RowVersion(7), {V1}};
    VersionRegister gateway;
    gateway.setPresent(Service, {V1}, at(0));
    row.serve(gateway, at(0));
    const auto outcome = GENERATE(StoreOutcome::Conflict, StoreOutcome::Unclear, StoreOutcome::Refused);
    gateway.setPresent(Service, {V1, V2}, at(1));
    const auto call = gateway.next(at(1));
    REQUIRE(call);
    REQUIRE(call->write);
    CHECK_FALSE(gateway.next(at(1))); // one call at a time
    gateway.writeDone(Service, outcome, RowVersion(), at(1));
    CHECK_FALSE(gateway.mayBegin(Service, V2));
    const auto next = gateway.next(at(2));
    REQUIRE(next);
    CHECK_FALSE(next->write);
    gateway.readDone(Service, std::nullopt, at(2));
    CHECK_FALSE(gateway.next(at(2)));
    row.serve(gateway, at(3));
    CHECK(gateway.mayBegin(Service, V2));
}

TEST_CASE("a version without targets stays in the row for longer than streams last, and one gateway removes it")
{
    // Guards against a stream whose beginning is concluded from a row that no longer names the version that began it.
    Row row;
    VersionRegister gateway;
    VersionRegister remover;
    remover.setRemoves(true);
    for (auto *each : {&gateway, &remover}) {
        each->setPresent(Service, {V1, V2}, at(0));
        row.serve(*each, at(0));
        each->setPresent(Service, {V2}, at(10));
    }
    for (int second = 10; second < 129; ++second) {
        row.serve(gateway, at(second));
        row.serve(remover, at(second));
        REQUIRE(row.versions == VersionSet {V1, V2});
        REQUIRE(gateway.isMixed(Service));
    }
    row.serve(gateway, at(200));
    CHECK(row.versions == VersionSet {V1, V2});
    row.serve(remover, at(200));
    CHECK(row.versions == VersionSet {V2});
    CHECK_FALSE(remover.isMixed(Service));
    // The version is back. The gateway that didn't see the removal must not begin streams at it before the row names it again.
    gateway.setPresent(Service, {V1, V2}, at(300));
    CHECK_FALSE(gateway.mayBegin(Service, V1));
    CHECK(gateway.mayBegin(Service, V2));
    row.serve(gateway, at(300));
    CHECK(gateway.mayBegin(Service, V1));
    CHECK(row.versions == VersionSet {V1, V2});
}

TEST_CASE("a service that has lost all its targets keeps its versions")
{
    // Guards against an empty row, which would allow any conclusion.
    Row row;
    VersionRegister remover;
    remover.setRemoves(true);
    remover.setPresent(Service, {V1}, at(0));
    row.serve(remover, at(0));
    remover.setPresent(Service, {}, at(1));
    row.serve(remover, at(1000));
    CHECK(row.versions == VersionSet {V1});
}

TEST_CASE("rows that other gateways report are adopted unless they are older")
{
    Row row;
    VersionRegister writer;
    writer.setPresent(Service, {V1, V2}, at(0));
    row.serve(writer, at(0));
    VersionRegister other;
    other.setPresent(Service, {V1, V2}, at(0));
    other.rowSeen(Service, row.version, row.versions);
    CHECK(other.mayBegin(Service, V2));
    CHECK(row.serve(other, at(1)) == 0);
    other.rowSeen(Service, RowVersion(), {V1});
    CHECK(other.mayBegin(Service, V2));
}
