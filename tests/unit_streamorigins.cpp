// Where streams began: records of gateways, their copies in the store, and lookups at other gateways. In virtual time, with 4 to 450 gateways.
#include "core/streamorigins.h"
#include "tests/sim_originfleet.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <map>

using namespace KingCup;

namespace
{

const StreamOrigin AtV1 {ServiceName("s"), SoftwareVersion("v1")};
const StreamOrigin AtV2 {ServiceName("s"), SoftwareVersion("v2")};
constexpr double MinGoneOnShare = 0.5; ///< of the streams that clients take up at gateways in touch

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(1000 + seconds);
}

auto isMixed(const ServiceName & /*service*/) -> bool
{
    return true;
}

/// Begins a stream in each second and writes the due batches.
auto writeFor(StreamOrigins &origins, int seconds, int from, std::map<int, OriginRecords> &rows) -> void
{
    for (int second = from; second < from + seconds; ++second) {
        origins.began(StreamKey(static_cast<std::uint64_t>(1000 + second)), AtV1);
        if (const auto batch = origins.takeBatch(isMixed, at(second))) {
            rows[batch->row] = batch->records;
            origins.batchWritten(true, at(second));
        }
        origins.ended(StreamKey(static_cast<std::uint64_t>(1000 + second)), true, at(second + 0.5));
        origins.expire(at(second + 0.5));
    }
}

auto scaled(int gateways) -> double
{
    constexpr double AllStreams = 600; // a second; keeps a play with many gateways short
    return std::min(10.0, AllStreams / gateways);
}

auto check(const OriginFleet &fleet) -> void
{
    INFO("taken up " << fleet.takenUp << ", gone on " << fleet.goneOn << ", wrong " << fleet.wrong);
    CHECK(fleet.wrong == 0);
    CHECK(fleet.takenUp >= 12);
    CHECK(fleet.goneOn >= MinGoneOnShare * fleet.takenUp);
}

} // namespace

TEST_CASE("the record of a stream is kept until its client can't take it up any more")
{
    StreamOrigins origins;
    const StreamKey stream = streamKey(AttemptId("a"));
    origins.began(stream, AtV1);
    origins.began(stream, AtV2); // taken up here: it has one beginning
    CHECK(origins.find(stream) == AtV1);
    origins.ended(stream, false, at(2));
    origins.expire(at(100));
    CHECK(origins.find(stream) == AtV1);
    origins.ended(stream, false, at(100));
    origins.expire(at(129));
    CHECK(origins.find(stream) == AtV1);
    origins.expire(at(131));
    CHECK_FALSE(origins.find(stream));
}

TEST_CASE("the record of a stream that has ended whole is kept as long as that of one that was broken off")
{
    // Guards against a stream that is refused because its target's last event has come, while its client has abandoned the answer before.
    StreamOrigins origins;
    const StreamKey stream = streamKey(AttemptId("a"));
    origins.began(stream, AtV1);
    origins.ended(stream, true, at(201));
    CHECK(origins.find(stream) == AtV1);
    origins.expire(at(230));
    CHECK(origins.find(stream) == AtV1);
    CHECK_FALSE(origins.takeBatch(isMixed, at(230)));
    origins.expire(at(232));
    CHECK_FALSE(origins.find(stream));
}

TEST_CASE("the record of a stream that ended whole is written again once its client has taken it up")
{
    StreamOrigins origins;
    origins.began(StreamKey(7), AtV1);
    origins.ended(StreamKey(7), true, at(1));
    CHECK_FALSE(origins.takeBatch(isMixed, at(2)));
    origins.began(StreamKey(7), AtV1);
    const auto batch = origins.takeBatch(isMixed, at(3));
    REQUIRE(batch);
    CHECK(batch->records == OriginRecords {{StreamKey(7), AtV1}});
}

TEST_CASE("a stream that outlives the ring of rows stays in the store")
{
    // Guards against a long stream whose record is overwritten by those of later ones.
    StreamOrigins origins;
    std::map<int, OriginRecords> rows;
    origins.began(StreamKey(7), AtV2);
    const auto holds = [](const auto &row) {
        return std::any_of(row.second.begin(), row.second.end(), [](const auto &record) { return record.first == StreamKey(7); });
    };
    for (int second = 0; second < 100; ++second) {
        writeFor(origins, 1, second, rows);
        REQUIRE(std::any_of(rows.begin(), rows.end(), holds)); // also right after its row was replaced
    }
    CHECK(rows.size() == 64);
    origins.ended(StreamKey(7), true, at(100));
    writeFor(origins, 70, 101, rows);
    CHECK(std::none_of(rows.begin(), rows.end(), holds));
}

TEST_CASE("a batch that couldn't be written is written again, and nothing is written while a service has one version")
{
    StreamOrigins origins;
    origins.began(StreamKey(7), AtV1);
    CHECK_FALSE(origins.takeBatch([](const ServiceName & /*service*/) { return false; }, at(0)));
    REQUIRE(origins.takeBatch(isMixed, at(0)));
    CHECK_FALSE(origins.takeBatch(isMixed, at(5))); // one at a time
    origins.batchWritten(false, at(5));
    const auto again = origins.takeBatch(isMixed, at(6));
    REQUIRE(again);
    CHECK(again->row == 0);
    CHECK(again->records == OriginRecords {{StreamKey(7), AtV1}});
    origins.batchWritten(true, at(6));
    CHECK_FALSE(origins.takeBatch(isMixed, at(8)));
}

TEST_CASE("most streams of a burst are in the store when their gateway ends right after it")
{
    // Guards against a first batch that holds the earliest streams of a burst only and delays the records of the others until the gateway is gone.
    constexpr int Streams = 24;
    constexpr int Gap = 5; // ms between the beginnings of two streams
    constexpr int BatchPeriod = 20; // ms
    constexpr int WriteTime = 5; // ms
    StreamOrigins origins;
    std::map<int, OriginRecords> rows;
    std::optional<OriginBatch> writing;
    for (int ms = 0; ms <= Streams * Gap + 2 * BatchPeriod; ++ms) {
        const auto now = at(ms / 1000.0);
        if (ms % Gap == 0 && ms < Streams * Gap) {
            origins.began(StreamKey(static_cast<std::uint64_t>(ms + 1)), AtV1);
        }
        if (writing && ms % BatchPeriod == WriteTime) {
            rows[writing->row] = writing->records;
            origins.batchWritten(true, now);
            writing.reset();
        }
        if (!writing && ms > 0 && ms % BatchPeriod == 0) {
            writing = origins.takeBatch(isMixed, now);
        }
    }
    std::size_t written = 0;
    for (const auto &[row, records] : rows) {
        written += records.size();
    }
    CHECK(written >= Streams / 2);
}

TEST_CASE("records are limited in number, and those of open streams are never dropped")
{
    StreamOrigins origins({.maxRecords = 10});
    for (std::uint64_t i = 1; i <= 30; ++i) {
        origins.began(StreamKey(i), AtV1);
        if (i % 2 == 0) {
            origins.ended(StreamKey(i), false, at(static_cast<double>(i) / 100));
        }
    }
    origins.expire(at(1));
    CHECK(origins.size() == 15);
    CHECK(origins.find(StreamKey(1)));
    CHECK_FALSE(origins.find(StreamKey(2)));
}

TEST_CASE("streams of gateways that come and go are taken up at the version that began them, while versions come and go")
{
    // Guards against an origin that is guessed, and against streams that are lost though a copy of their record was to be had.
    const int gateways = GENERATE(4, 33, 103, 450);
    const double loss = GENERATE(0.0, 0.1);
    INFO(gateways << " gateways, message loss " << loss);
    OriginFleet fleet({.gateways = gateways, .streamsPerSecond = scaled(gateways), .messageLoss = loss, .seed = static_cast<std::uint64_t>(gateways)});
    fleet.setVersions({"v1"});
    fleet.run(5);
    fleet.setVersions({"v1", "v2"});
    for (int i = 0; i < 3; ++i) {
        fleet.run(1.5);
        fleet.kill(i, 1.0);
        fleet.takeUpUnknown();
    }
    fleet.setVersions({"v1", "v2", "v3"});
    fleet.run(2);
    fleet.cutFromAll(0, true);
    fleet.run(3);
    fleet.cutFromAll(0, false);
    fleet.cutFromStore(1, true);
    fleet.setVersions({"v2", "v3"});
    for (int i = 0; i < 3; ++i) {
        fleet.run(1.5);
        fleet.kill(2 + i % (gateways - 2), 1.0);
        fleet.takeUpUnknown();
    }
    fleet.cutFromStore(1, false);
    fleet.setVersions({"v3"});
    fleet.run(4);
    fleet.setStoreDown(true);
    fleet.run(1);
    fleet.kill(1, 0.5);
    fleet.run(1);
    fleet.setStoreDown(false);
    fleet.run(4);
    fleet.setVersions({"v1", "v3"});
    fleet.run(6);
    check(fleet);
}

TEST_CASE("streams are taken up at the version that began them after all gateways have ended at once")
{
    // Guards against knowledge that is kept by gateways alone.
    const int gateways = GENERATE(4, 33, 103, 450);
    const auto versions = GENERATE(std::vector<std::string> {"v1"}, std::vector<std::string> {"v1", "v2"}, std::vector<std::string> {"v1", "v2", "v3"});
    INFO(gateways << " gateways, " << versions.size() << " versions");
    // All streams break, and each client takes its stream up after the gateways have been back for three seconds.
    OriginFleet fleet({.gateways = gateways, .streamsPerSecond = scaled(gateways), .breakShare = 0, .seed = static_cast<std::uint64_t>(gateways) + 7});
    fleet.setVersions(versions);
    fleet.run(6);
    fleet.endAllAndTakeUpLater(0.6, 3.5);
    fleet.run(8);
    check(fleet);
}

TEST_CASE("what the records of streams cost a gateway stays within its control traffic")
{
    // Guards against a way of recording that costs more than the target allows: 50 streams a second at each gateway, 2 KB a second of control.
    constexpr double Seconds = 20;
    constexpr double MaxBytesPerSecond = 2000;
    constexpr double BytesPerRecord = 8.0 * 4 / 3; // as base64
    constexpr double BytesPerCall = 400; // head and body of the call and its answer without the records
    constexpr int Gateways = 8;
    const auto play = [&](const std::vector<std::string> &versions) {
        OriginFleet fleet({.gateways = Gateways, .streamsPerSecond = 50, .breakShare = 0});
        fleet.setVersions(versions);
        fleet.run(5);
        const auto batches = fleet.batches;
        const auto records = fleet.recordsWritten;
        const auto calls = fleet.versionCalls;
        fleet.run(Seconds);
        CHECK(fleet.versionCalls == calls);
        const double perGateway = Gateways * Seconds;
        return (static_cast<double>(fleet.recordsWritten - records) * BytesPerRecord + (fleet.batches - batches) * BytesPerCall) / perGateway;
    };
    CHECK(play({"v1"}) == 0);
    const auto mixed = play({"v1", "v2", "v3"});
    INFO(mixed << " bytes a second");
    CHECK(mixed > 0);
    CHECK(mixed < MaxBytesPerSecond);
}
