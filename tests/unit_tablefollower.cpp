// Copies of the store's tables on many gateways: what each way by which a table reaches a gateway guarantees, beside a store, hosts and connections that fail.
#include "tests/sim_tablefleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace KingCup;

namespace
{

/// Time after its acknowledgement within which a change of the declarations must be in force on each gateway of the largest site.
constexpr double InForceSeconds = 4;
constexpr double StartSeconds = 10; ///< until a fleet has started and settled

/// The store answers no watches for a second, in which the declarations change, and then drops its history and breaks the watches. Returns the time of the
/// change.
auto loseHistoryAround(SimTableFleet &fleet, const std::string &value) -> TimePoint
{
    fleet.store.areWatchesMuted = true;
    fleet.run(0.3);
    const auto changedAt = fleet.clock.now();
    fleet.declare(value);
    fleet.run(0.7);
    fleet.store.areWatchesMuted = false;
    fleet.store.dropHistory();
    return changedAt;
}

auto incomplete(const SimTableFleet &fleet) -> int
{
    return static_cast<int>(std::count_if(fleet.gateways.begin(), fleet.gateways.end(), [&](const auto &gateway) {
        return gateway->isRunning && gateway->registered.size() != fleet.store.rows(StoreTable::Gateways).size();
    }));
}

} // namespace

TEST_CASE("each start of a hundred gateways ends with every gateway knowing all others")
{
    // Guards against gateways that can't repair their copy of the gateways' rows, since the row of the only gateway that they would request it from is missing.
    for (const std::uint64_t seed : {1, 3, 5, 12, 14, 19, 20}) {
        SimTableFleet fleet({.seed = seed});
        fleet.startAll();
        fleet.run(4);
        CAPTURE(seed);
        CHECK(incomplete(fleet) == 0);
    }
}

TEST_CASE("a change that watchers find by reading a table whole is in force on a hundred gateways in time")
{
    // Guards against a change that each watcher leaves to another one, on gateways that can't repair their tables.
    for (const std::uint64_t seed : {1, 5, 20, 38, 49}) {
        SimTableFleet fleet({.seed = seed});
        fleet.startAll();
        fleet.run(StartSeconds);
        const auto changedAt = loseHistoryAround(fleet, "2");
        fleet.run(InForceSeconds);
        CAPTURE(seed);
        CHECK(fleet.adoptionSeconds("2", changedAt) <= InForceSeconds);
    }
}

TEST_CASE("a change that watchers find by reading a table whole is forwarded, and no gateway has to request the table")
{
    // Guards against a change that counts as forwarded as soon as another watcher knows it.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SimTableFleet fleet({.gateways = 12, .seed = seed});
        fleet.startAll();
        fleet.run(StartSeconds);
        const auto requested = fleet.eventCount("requested");
        const auto changedAt = loseHistoryAround(fleet, "2");
        fleet.run(InForceSeconds);
        CAPTURE(seed);
        CHECK(fleet.adoptionSeconds("2", changedAt) <= InForceSeconds);
        CHECK(fleet.eventCount("requested") == requested);
    }
}

TEST_CASE("a change during a hand-over between watchers is forwarded, and no gateway has to request the table")
{
    // Guards against a change that the former first watcher leaves to the new one, which leaves it to the former.
    for (int step = 0; step < 60; ++step) {
        SimTableFleet fleet({.gateways = 12, .targets = 20, .seed = 1});
        fleet.startAll();
        fleet.run(StartSeconds);
        auto &first = fleet.highestRanked();
        fleet.stop(first);
        fleet.run(3);
        fleet.start(first);
        fleet.run(0.025 * step);
        const auto requested = fleet.eventCount("requested");
        const auto changedAt = fleet.clock.now();
        fleet.declare("2");
        fleet.run(2);
        CAPTURE(step);
        CHECK(fleet.adoptionSeconds("2", changedAt) <= InForceSeconds);
        CHECK(fleet.eventCount("requested") == requested);
    }
}

TEST_CASE("a whole table from a gateway that has missed a change removes no row")
{
    // Guards against a copy that claims to be complete up to its newest row, so that rows which it has missed look removed to the receiver.
    RowMirror behind;
    behind.applySnapshot({{"a", RowVersion(1), "1", false}}, RowVersion(1));
    behind.applyChanges({{"c", RowVersion(3), "3", false}}); // the change to version 2, the row "b", was lost
    RowMirror mirror;
    mirror.applySnapshot({{"a", RowVersion(1), "1", false}, {"b", RowVersion(2), "2", false}}, RowVersion(2));
    CHECK(mirror.applySnapshot(behind.rows(), behind.completeTo()).size() == 1);
    CHECK(mirror.rows().size() == 3);
}

TEST_CASE("a copy that counts as complete and isn't is repaired")
{
    // Guards against a gateway that serves by outdated rows because its copy's version is too high: the version of a copy is what others say of it. Rows of
    // gateways of earlier releases don't say which changes they follow.
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SimTableFleet fleet({.seed = seed});
        fleet.startAll();
        fleet.run(StartSeconds);
        auto &misled = *fleet.ranked().at(50);
        fleet.isCut = [&](const std::string &, const std::string &to) {
            return to == misled.id;
        };
        const auto changedAt = fleet.clock.now();
        fleet.declare("2");
        fleet.run(0.5);
        const TableRows claim {.table = 0, .after = misled.follower->digest(fleet.clock.now()).versions.at(0), .upTo = fleet.store.version(), .rows = {}};
        misled.follower->rowsReceived(fleet.highestRanked().id, claim, fleet.clock.now());
        fleet.isCut = [](const std::string &, const std::string &) {
            return false;
        };
        fleet.run(InForceSeconds - 0.5);
        CAPTURE(seed);
        CHECK(fleet.adoptionSeconds("2", changedAt) <= InForceSeconds);
    }
}

TEST_CASE("a gateway without a connection to any gateway that has a change reads it from the store")
{
    // Guards against a repair that never makes an attempt, and so never comes to reading the store.
    SimTableFleet fleet({.seed = 1});
    fleet.startAll();
    fleet.run(StartSeconds);
    auto &unconnected = *fleet.ranked().at(50);
    unconnected.connectedAt.clear();
    fleet.isCut = [&](const std::string &, const std::string &to) {
        return to == unconnected.id;
    };
    const auto changedAt = fleet.clock.now();
    fleet.declare("2");
    fleet.run(0.5);
    fleet.isCut = [](const std::string &, const std::string &) {
        return false;
    };
    fleet.run(InForceSeconds - 0.5);
    CHECK(fleet.adoptionSeconds("2", changedAt) <= InForceSeconds);
}

TEST_CASE("a gateway that is behind gets the change from others if the only one with its newest known version is gone")
{
    // Guards against a repair that waits for a version which no live gateway has, while others have the change.
    SimTableFleet fleet({.seed = 1});
    fleet.startAll();
    fleet.run(StartSeconds);
    auto &behind = *fleet.ranked().at(50);
    auto &gone = *fleet.ranked().at(60);
    fleet.isCut = [&](const std::string &from, const std::string &to) {
        return to == behind.id && from != gone.id;
    };
    fleet.isCutFromStore = [&](const std::string &id) {
        return id == behind.id;
    };
    const auto changedAt = fleet.clock.now();
    fleet.declare("2");
    fleet.run(0.3);
    auto newest = gone.follower->digest(fleet.clock.now());
    newest.versions.at(0) = RowVersion(fleet.store.version().value() + 1000);
    behind.follower->digestReceived(gone.id, newest, fleet.clock.now());
    fleet.stop(gone);
    fleet.isCut = [](const std::string &, const std::string &) {
        return false;
    };
    fleet.run(InForceSeconds - 0.3);
    const auto isBehind = [&](const SimTableFleet::Gateway &gateway) {
        return gateway.id == behind.id;
    };
    CHECK(fleet.adoptionSeconds("2", changedAt, isBehind) <= InForceSeconds);
}
