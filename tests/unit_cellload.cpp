// The load of a cell with many gateways: sums of reports, the choice of the keeper, lost and late messages. In virtual time.
#include "core/cellkeeper.h"
#include "core/cellload.h"
#include "gateway/digests.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

auto work(const std::string &target, int running, int prefillMillis = 0) -> TargetWork
{
    TargetWork made;
    made.target = TargetId(target);
    made.running = running;
    made.tokens = std::int64_t {1000} * running;
    made.pendingPrefill.at(0) = Duration::millis(prefillMillis);
    return made;
}

auto report(const std::string &gateway, std::uint64_t sequence, std::vector<TargetWork> rows, int sentMillis = 0) -> GatewayLoad
{
    GatewayLoad load;
    load.work.entry = EntryId(gateway);
    load.work.sequence = sequence;
    load.work.work = std::move(rows);
    if (sentMillis > 0) {
        load.prefill = {{TargetId("r1"), Duration::millis(sentMillis)}};
    }
    return load;
}

auto find(const std::vector<TargetWork> &rows, const std::string &target) -> TargetWork
{
    for (const auto &row : rows) {
        if (row.target == TargetId(target)) {
            return row;
        }
    }
    return {};
}

auto member(const std::string &id, const std::string &zone, double share = 0.1) -> CellMember
{
    return {id, ZoneName(zone), share};
}

const std::vector<CellMember> SixMembers {
    member("a1", "a", 0.5),
    member("a2", "a"),
    member("b1", "b", 0.5),
    member("b2", "b"),
    member("c1", "c"),
    member("c2", "c"),
};

auto idsOf(const std::vector<CellMember> &members) -> std::set<std::string>
{
    std::set<std::string> ids;
    for (const auto &one : members) {
        ids.insert(one.id);
    }
    return ids;
}

auto namesOf(const std::vector<std::string> &targets) -> TargetNames
{
    TargetNames names;
    for (const auto &target : targets) {
        names.add(TargetId(target));
    }
    return names;
}

} // namespace

TEST_CASE("a cell's sum holds each gateway's last report once")
{
    CellLoadSum sum(EntryId("k"));
    sum.merge(report("a", 1, {work("r1", 5, 40)}), at(0));
    sum.merge(report("a", 2, {work("r1", 3, 20), work("r2", 1)}), at(0.1));
    sum.merge(report("b", 7, {work("r1", 4, 10)}), at(0.1));
    const auto cell = sum.take(at(0.15));
    REQUIRE(cell.targets.size() == 2);
    CHECK(cell.targets[0].sum.running == 7);
    CHECK(cell.targets[0].sum.tokens == 7000);
    CHECK(cell.targets[0].sum.pendingPrefill.at(0) == Duration::millis(30));
    CHECK(cell.targets[1].sum.running == 1);
    CHECK(cell.reported.at(EntryId("a")) == 2);
    CHECK(cell.reported.at(EntryId("b")) == 7);
}

TEST_CASE("late and duplicate reports are ignored")
{
    CellLoadSum sum(EntryId("k"));
    sum.merge(report("a", 3, {work("r1", 3)}, 10), at(0));
    sum.merge(report("a", 3, {work("r1", 3)}, 10), at(0.1));
    sum.merge(report("a", 2, {work("r1", 9)}, 50), at(0.1));
    const auto cell = sum.take(at(0.2));
    REQUIRE(cell.targets.size() == 1);
    CHECK(cell.targets[0].sum.running == 3);
    REQUIRE(cell.prefill.size() == 1);
    CHECK(cell.prefill[0].prefill == Duration::millis(10));
}

TEST_CASE("a gateway that stops reporting is dropped from the sum")
{
    CellLoadSum sum(EntryId("k"), Duration::seconds(2));
    sum.merge(report("a", 1, {work("r1", 5)}), at(0));
    CHECK(sum.hasOthers(at(1.9)));
    CHECK_FALSE(sum.hasOthers(at(2.1)));
    CHECK(sum.take(at(2.1)).targets.empty());
}

TEST_CASE("sent prefill and prefilled prompt parts are in one sum only")
{
    CellLoadSum sum(EntryId("k"));
    auto load = report("a", 1, {work("r1", 1)}, 25);
    load.work.prefilled = {{TargetId("r1"), PromptChain {77, 500}}};
    sum.merge(load, at(0));
    const auto first = sum.take(at(0.1));
    const auto second = sum.take(at(0.2));
    CHECK(first.prefill.size() == 1);
    CHECK(first.prefilled.size() == 1);
    CHECK(second.prefill.empty());
    CHECK(second.prefilled.empty());
    CHECK(second.targets.size() == 1);
}

TEST_CASE("a gateway's own load is subtracted from the sum")
{
    CellLoadSum sum(EntryId("k"));
    OwnReports own(EntryId("a"));
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        const auto mine = report("a", sequence, {work("r1", static_cast<int>(sequence), 10)}, 5);
        own.sent(mine);
        if (sequence < 3) { // the last report hasn't arrived yet
            sum.merge(mine, at(0));
        }
    }
    sum.merge(report("b", 1, {work("r1", 10, 30)}, 7), at(0));
    const auto others = own.withoutOwn(sum.take(at(0.1)));
    CHECK(find(others.work.work, "r1").running == 10);
    CHECK(find(others.work.work, "r1").pendingPrefill.at(0) == Duration::millis(30));
    REQUIRE(others.prefill.size() == 1);
    CHECK(others.prefill[0].prefill == Duration::millis(7));
    CHECK(others.work.entry == EntryId("k"));

    // The same report is included again: its prefill was already subtracted.
    sum.merge(report("b", 2, {work("r1", 10)}, 7), at(0.2));
    const auto next = own.withoutOwn(sum.take(at(0.2)));
    CHECK(find(next.work.work, "r1").running == 10);
    REQUIRE(next.prefill.size() == 1);
    CHECK(next.prefill[0].prefill == Duration::millis(7));
}

TEST_CASE("a gateway's own failures and ejections aren't counted as another's")
{
    CellLoadSum sum(EntryId("k"));
    OwnReports own(EntryId("a"));
    auto failing = work("r1", 1);
    failing.failures = 0.8;
    failing.isEjected = true;
    const auto mine = report("a", 1, {failing});
    own.sent(mine);
    sum.merge(mine, at(0));
    auto better = work("r1", 1);
    better.failures = 0.1;
    sum.merge(report("b", 1, {better}), at(0));
    const auto alone = find(own.withoutOwn(sum.take(at(0.1))).work.work, "r1");
    CHECK(alone.failures == Approx(0.1));
    CHECK_FALSE(alone.isEjected);

    auto alsoEjected = better;
    alsoEjected.isEjected = true;
    sum.merge(report("b", 2, {alsoEjected}), at(0.2));
    CHECK(find(own.withoutOwn(sum.take(at(0.2))).work.work, "r1").isEjected);
}

TEST_CASE("nothing is subtracted from a sum without this gateway's report")
{
    CellLoadSum sum(EntryId("k"));
    OwnReports own(EntryId("a"));
    own.sent(report("a", 1, {work("r1", 2)}, 9));
    sum.merge(report("b", 1, {work("r1", 4)}, 3), at(0));
    const auto others = own.withoutOwn(sum.take(at(0.1)));
    CHECK(find(others.work.work, "r1").running == 4);
    CHECK(others.prefill[0].prefill == Duration::millis(3));
}

TEST_CASE("a sum is unchanged by encoding and decoding")
{
    CellLoadSum sum(EntryId("k#5"));
    auto busy = work("r1", 7, 40);
    busy.tokens = 6400;
    busy.failures = 0.5;
    busy.isEjected = true;
    auto load = report("a#1", 12, {busy, work("gone", 1)}, 25);
    load.work.prefilled = {{TargetId("r1"), PromptChain {77, 500}}};
    const auto names = namesOf({"r1"});
    sum.merge(gatewayLoadOf(gatewayLoadFrame(load).gateway_load(), names), at(0));
    const auto cell = cellLoadOf(cellLoadFrame(sum.take(at(0.1))).cell_load(), EntryId("a#1"), names);
    CHECK(cell.keeper == EntryId("k#5"));
    CHECK(cell.sequence == 1);
    REQUIRE(cell.targets.size() == 1);
    CHECK(cell.targets[0].sum.running == 7);
    CHECK(cell.targets[0].sum.tokens == 6400);
    CHECK(cell.targets[0].sum.pendingPrefill.at(0) == Duration::millis(40));
    CHECK(cell.targets[0].sum.failures == Approx(0.5));
    CHECK(cell.targets[0].ejections == 1);
    REQUIRE(cell.prefill.size() == 1);
    CHECK(cell.prefill[0].prefill == Duration::millis(25));
    REQUIRE(cell.prefilled.size() == 1);
    CHECK(cell.prefilled[0].second.tokens == 500);
    CHECK(cell.reported == std::map<EntryId, std::uint64_t> {{EntryId("a#1"), 12}});
}

TEST_CASE("all gateways choose the same keeper, on a large host")
{
    std::set<std::string> chosen;
    for (const auto &self : SixMembers) {
        CellKeeper keeper(self.id);
        keeper.setMembers(SixMembers);
        auto live = idsOf(SixMembers);
        live.erase(self.id);
        keeper.choose(live, at(0));
        chosen.insert(keeper.keeper());
    }
    REQUIRE(chosen.size() == 1);
    CHECK((*chosen.begin() == "a1" || *chosen.begin() == "b1"));
}

TEST_CASE("a keeper that sends no sums is replaced, and chosen again later")
{
    CellKeeper keeper("c1");
    keeper.setMembers(SixMembers);
    const auto live = idsOf(SixMembers);
    CHECK(keeper.choose(live, at(0)));
    const auto first = keeper.keeper();
    keeper.sumReceived(first, at(0.5));
    CHECK_FALSE(keeper.choose(live, at(1.1)));
    CHECK(keeper.choose(live, at(1.3)));
    const auto second = keeper.keeper();
    CHECK(second != first);
    for (int i = 0; i < 29; ++i) {
        keeper.sumReceived(second, at(1.3 + i * 0.1));
        keeper.choose(live, at(1.35 + i * 0.1));
        CHECK(keeper.keeper() == second);
    }
    CHECK(keeper.choose(live, at(4.4)));
    CHECK(keeper.keeper() == first);
}

TEST_CASE("a gateway without reachable peers is its own keeper")
{
    CellKeeper keeper("c2");
    keeper.setMembers(SixMembers);
    keeper.choose({}, at(0));
    CHECK(keeper.keeper() == "c2");
}

TEST_CASE("a sum is sent to each other zone once")
{
    CellKeeper keeper("a1");
    keeper.setMembers(SixMembers);
    const auto relays = keeper.relays(idsOf(SixMembers));
    REQUIRE(relays.size() == 2);
    CHECK(relays.contains("b1"));
    CHECK(keeper.zoneMates(idsOf(SixMembers)) == std::set<std::string> {"a2"});
    CHECK(keeper.relays({"a2", "b2", "c1"}) == std::set<std::string> {"b2", "c1"});
}
