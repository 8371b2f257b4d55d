// A gateway's view of targets and routes: mirrors of store tables, removed rows, routes by host and prefix, event streams. In virtual time.
#include "core/eventcursor.h"
#include "core/rowmirror.h"
#include "core/targetview.h"
#include "core/traffic.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

auto row(const std::string &key, std::uint64_t version, const std::string &value = "v") -> StoredRow
{
    return {key, RowVersion(version), value, false};
}

auto target(const std::string &id, std::uint64_t born = 1) -> TargetDescription
{
    TargetDescription described;
    described.incarnation = {TargetId(id), born};
    described.service = ServiceName("s");
    return described;
}

} // namespace

TEST_CASE("changes that arrive out of order leave the newest row")
{
    RowMirror mirror;
    REQUIRE(mirror.applyChanges({row("a", 5, "new")}).size() == 1);
    REQUIRE(mirror.applyChanges({row("a", 3, "old")}).empty());
    REQUIRE(mirror.rows().front().value == "new");
    REQUIRE(mirror.rows().front().version == RowVersion(5));
}

TEST_CASE("a removed row isn't restored by an older change")
{
    // A row forwarded by one gateway arrives after another gateway's notice that the row was removed. If the row were restored, the target would
    // get requests that it can't take until the whole table is read again.
    RowMirror mirror;
    mirror.applyChanges({row("a", 5)});
    REQUIRE(mirror.applyChanges({{"a", RowVersion(6), "", true}}).size() == 1);
    REQUIRE(mirror.applyChanges({row("a", 5)}).empty());
    REQUIRE(mirror.rows().empty());
    REQUIRE(mirror.applyChanges({row("a", 7)}).size() == 1);
}

TEST_CASE("reading the whole table removes rows that aren't in it, except newer ones")
{
    RowMirror mirror;
    REQUIRE_FALSE(mirror.isLoaded());
    mirror.applyChanges({row("old", 2), row("newer", 12)});
    const auto news = mirror.applySnapshot({row("kept", 4)}, RowVersion(10));
    REQUIRE(mirror.isLoaded());
    REQUIRE(news.size() == 2);
    REQUIRE(mirror.rows().size() == 2);
    REQUIRE(mirror.applyChanges({row("old", 9)}).empty());
}

TEST_CASE("mirrors that applied the same rows in a different order have the same checksum")
{
    RowMirror one;
    RowMirror two;
    one.applyChanges({row("a", 1), row("b", 2), row("a", 3)});
    two.applyChanges({row("a", 3), row("b", 2)});
    REQUIRE(one.checksum() == two.checksum());
    two.applyChanges({row("c", 4)});
    REQUIRE(one.checksum() != two.checksum());
}

TEST_CASE("the removal of a row takes effect at once, but not while the store is unreachable or soon after")
{
    // The store was unavailable and then removes all rows, because no target could renew its row. If the removals took effect, every caller would
    // be refused until the targets have registered again.
    TargetView view;
    view.rowReceived(target("r1"), at(0));
    view.rowReceived(target("r2"), at(0));
    REQUIRE(view.rowRemoved(TargetId("r1"), at(1)).gone.size() == 1);
    view.storeUnreachable(at(5));
    REQUIRE(view.rowRemoved(TargetId("r2"), at(6)).gone.empty());
    REQUIRE(view.find(TargetId("r2")) != nullptr);
    REQUIRE(view.advance(at(7)).gone.empty());
    REQUIRE(view.advance(at(7.4)).gone.size() == 1);
    REQUIRE(view.find(TargetId("r2")) == nullptr);
}

TEST_CASE("the removal of most targets' rows at once is doubted, that of a few is not")
{
    // The store was unavailable without this being noticed, and then removes all rows. If the removals took effect, every caller would be refused
    // until the targets have registered again.
    TargetView view;
    for (int i = 0; i < 6; ++i) {
        view.rowReceived(target("r" + std::to_string(i)), at(0));
    }
    const auto sinceOutage = Duration::seconds(2);
    REQUIRE_FALSE(view.detectMassRemoval(0, sinceOutage, at(1)));
    REQUIRE_FALSE(view.detectMassRemoval(3, sinceOutage, at(1)));
    REQUIRE(view.isSettled(at(1)));
    REQUIRE(view.detectMassRemoval(4, sinceOutage, at(2)));
    REQUIRE(view.rowRemoved(TargetId("r0"), at(2)).gone.empty());
    REQUIRE(view.find(TargetId("r0")) != nullptr);
    REQUIRE(view.advance(at(5)).gone.size() == 1);

    TargetView single; // the only target may be removed
    single.rowReceived(target("r0"), at(0));
    REQUIRE_FALSE(single.detectMassRemoval(1, sinceOutage, at(1)));
}

TEST_CASE("targets that leave while the store answers are gone at once, however many they are")
{
    // Guards against requests that are sent to most targets for seconds after they have left, since so many at once look like an outage.
    TargetView view;
    for (int i = 0; i < 3; ++i) {
        view.rowReceived(target("r" + std::to_string(i)), at(0));
    }
    REQUIRE_FALSE(view.detectMassRemoval(2, Duration::seconds(60), at(100)));
    REQUIRE(view.rowRemoved(TargetId("r0"), at(100)).gone.size() == 1);
    REQUIRE(view.rowRemoved(TargetId("r1"), at(100)).gone.size() == 1);
}

TEST_CASE("a target whose row returns after the store was unreachable stays")
{
    TargetView view;
    view.rowReceived(target("r1"), at(0));
    view.storeUnreachable(at(1));
    view.rowRemoved(TargetId("r1"), at(2));
    view.rowReceived(target("r1"), at(3));
    REQUIRE(view.advance(at(9)).gone.empty());
    REQUIRE(view.find(TargetId("r1")) != nullptr);
}

TEST_CASE("a target that announced that it is leaving is gone with its row, even if the store was unreachable")
{
    TargetView view;
    view.rowReceived(target("r1"), at(0));
    view.storeUnreachable(at(1));
    REQUIRE(view.reportedLeaving({TargetId("r1"), 1}, at(1)).seen.size() == 1);
    REQUIRE(view.rowRemoved(TargetId("r1"), at(2)).gone.size() == 1);
}

TEST_CASE("a target that announced in an answer that it is leaving stays so whatever its row says, also if the row arrives only later")
{
    // Guards against requests to a leaving target because an older state of its row arrives after its answer.
    TargetView view;
    view.rowReceived(target("t1"), at(1));
    REQUIRE(view.announcedLeaving(target("t1").incarnation, at(2)).seen.size() == 1);
    REQUIRE(view.rowReceived(target("t1"), at(3)).seen.front().isLeaving);
    view.rowRemoved(TargetId("t1"), at(4));
    REQUIRE(view.rowReceived(target("t1"), at(5)).seen.front().isLeaving);
    REQUIRE(view.announcedLeaving(target("t2").incarnation, at(5)).seen.empty());
    REQUIRE(view.rowReceived(target("t2"), at(6)).seen.front().isLeaving);
    // Its next start takes requests.
    REQUIRE_FALSE(view.rowReceived(target("t1", 2), at(7)).seen.front().isLeaving);
}

TEST_CASE("a target that another gateway took for gone is used again when its row is back")
{
    // Guards against a healthy target that gets no requests for minutes because its row had been missing for a moment.
    TargetView view;
    view.rowReceived(target("t1"), at(1));
    REQUIRE(view.reportedLeaving(target("t1").incarnation, at(2)).seen.front().isLeaving);
    REQUIRE_FALSE(view.rowReceived(target("t1"), at(3)).seen.front().isLeaving);
}

TEST_CASE("a report that a target is leaving doesn't apply to its next incarnation")
{
    // A new process runs under the same id when the report about its predecessor arrives. If the report applied, a healthy target would get no requests.
    TargetView view;
    view.rowReceived(target("r1", 2), at(0));
    REQUIRE(view.reportedLeaving({TargetId("r1"), 1}, at(1)).seen.empty());
    REQUIRE_FALSE(view.find(TargetId("r1"))->isLeaving);
}

namespace
{

auto route(const std::string &name, const std::string &host, const std::string &prefix, int priority = 0, double goal = 1) -> Route
{
    Route made;
    made.name = name;
    made.host = host;
    made.prefix = prefix;
    made.services = {{ServiceName("s"), 1}};
    made.priority = priority;
    made.goal = Duration::seconds(goal);
    return made;
}

} // namespace

TEST_CASE("the host's route with the longest prefix wins, matched by whole path segments")
{
    Traffic traffic;
    traffic.routes = {route("all", "a.example", "/"), route("chat", "a.example", "/chat/"), route("deep", "a.example", "/chat/deep/")};
    const RouteTable table(traffic);
    REQUIRE(table.find("A.Example:8080", "/chat/deep/x?q=/")->name == "deep");
    REQUIRE(table.find("a.example", "/chat/x")->name == "chat");
    REQUIRE(table.find("a.example", "/chatter")->name == "all");
    REQUIRE(table.find("b.example", "/chat/x") == nullptr);
    REQUIRE(table.find("", "") == nullptr);
}

TEST_CASE("a route's requests are shared by weight, and a weight of 0 gets none")
{
    auto shared = route("r", "h", "/");
    shared.services = {{ServiceName("none"), 0}, {ServiceName("most"), 9}, {ServiceName("few"), 1}};
    REQUIRE(pickService(shared, 0.0) == ServiceName("most"));
    REQUIRE(pickService(shared, 0.89) == ServiceName("most"));
    REQUIRE(pickService(shared, 0.91) == ServiceName("few"));
}

TEST_CASE("within a priority, a route with a much longer goal gets a less urgent band")
{
    Traffic traffic;
    traffic.routes = {route("urgent", "h", "/u/", 0, 1), route("later", "h", "/l/", 5, 1), route("patient", "h", "/p/", 0, 60)};
    assignBands(traffic);
    REQUIRE(traffic.routes[0].band < traffic.routes[2].band);
    REQUIRE(traffic.routes[0].band <= traffic.routes[1].band);
}

TEST_CASE("a row that lacks the software version keeps that of the same start, and of no other")
{
    // Guards against streams that can't go on because one row left a field out, and against a version that outlives its process.
    TargetView view;
    auto described = target("a", 1);
    described.softwareVersion = SoftwareVersion("v1");
    view.rowReceived(described, at(0));
    CHECK(view.rowReceived(target("a", 1), at(1)).seen.front().softwareVersion == SoftwareVersion("v1"));
    CHECK(view.rowReceived(target("a", 2), at(2)).seen.front().softwareVersion.isEmpty());
}

TEST_CASE("events are passed on whole with their ids, however their bytes are split")
{
    const std::string stream = "id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: cut";
    for (std::size_t piece = 1; piece < stream.size(); ++piece) {
        std::string seen;
        EventCursor cursor([&](std::string_view raw) { seen += raw; });
        for (std::size_t from = 0; from < stream.size(); from += piece) {
            cursor.feed(std::string_view(stream).substr(from, piece));
        }
        INFO("pieces of " << piece);
        REQUIRE(seen == stream.substr(0, stream.find("id: 3")));
        REQUIRE(cursor.lastId() == "2");
        REQUIRE(cursor.hasPartial());
        cursor.dropPartial();
        REQUIRE_FALSE(cursor.hasPartial());
    }
}

TEST_CASE("an event without an end is limited in size")
{
    EventCursor cursor([](std::string_view) {}, 100);
    cursor.feed("data: " + std::string(200, 'x'));
    REQUIRE(cursor.isTooLong());
}
