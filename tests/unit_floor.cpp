#include "core/floor.h"

#include <catch2/catch.hpp>

#include <random>

using namespace KingCup;

namespace
{

const ArtifactName Sun("sun@1");
const TargetId A("a");
const TargetId B("b");

auto row(std::map<TargetId, ArtifactSet> holders) -> FloorRow
{
    return FloorRow {std::move(holders)};
}

} // namespace

TEST_CASE("a copy is moved by two writes: the first adds the new holder, the second removes the old one")
{
    FloorInput input {.current = row({{A, {Sun}}}), .version = RowVersion(1), .desired = row({{B, {Sun}}}), .declared = {Sun}, .reports = {}};
    input.reports[A] = {RowVersion(1), {Sun}};
    const auto both = composeFloorRow(input);
    REQUIRE(both == row({{A, {Sun}}, {B, {Sun}}}));
    input.current = *both;
    input.version = RowVersion(2);
    REQUIRE_FALSE(composeFloorRow(input));
    input.reports[B] = {RowVersion(2), {Sun}};
    REQUIRE(composeFloorRow(input) == row({{B, {Sun}}}));
}

TEST_CASE("a copy that was confirmed at an earlier version of the row doesn't count")
{
    // After a pause a planner still has the new holder's confirmation. In between that holder was removed from the row and unloaded its copy.
    // If the planner now removed the old holder too, no copy would be left.
    FloorInput input {.current = row({{A, {Sun}}, {B, {Sun}}}), .version = RowVersion(5), .desired = row({{B, {Sun}}}), .declared = {Sun}, .reports = {}};
    input.reports[B] = {RowVersion(3), {Sun}};
    REQUIRE_FALSE(composeFloorRow(input));
}

TEST_CASE("a declared model without a desired holder keeps its row")
{
    const FloorInput input {.current = row({{A, {Sun}}}), .version = RowVersion(5), .desired = {}, .declared = {Sun}, .reports = {}};
    REQUIRE_FALSE(composeFloorRow(input));
    const FloorInput removed {.current = row({{A, {Sun}}}), .version = RowVersion(5), .desired = {}, .declared = {}, .reports = {}};
    REQUIRE(composeFloorRow(removed) == FloorRow());
}

TEST_CASE("a holder unpins only on a newer row")
{
    FloorPins pins;
    REQUIRE(pins.rowRead(RowSource::Table, RowVersion(4), {Sun}));
    REQUIRE(pins.isPinned(Sun));
    REQUIRE_FALSE(pins.rowRead(RowSource::Peer, RowVersion(3), {}));
    REQUIRE(pins.isPinned(Sun));
    REQUIRE(pins.rowRead(RowSource::Peer, RowVersion(5), {}));
    REQUIRE_FALSE(pins.isPinned(Sun));
}

TEST_CASE("a restarted holder keeps everything until it has read the row itself")
{
    // An agent confirms a copy and restarts. A lagging entry forwards an old row that doesn't name the copy. If the agent unloaded it, the planner
    // that relies on the confirmation would let the other holder unload the last copy.
    FloorPins pins;
    pins.rowRead(RowSource::Peer, RowVersion(3), {});
    REQUIRE(pins.isPinned(Sun));
    pins.rowRead(RowSource::Table, RowVersion(4), {});
    REQUIRE_FALSE(pins.isPinned(Sun));
}

TEST_CASE("the last copy is never unloaded, with two planners, delays and restarts, over many seeds")
{
    // Two planners with changing floor plans write the row based on stale reads and reports. Holders read rows late and out of order, and their
    // agents restart. At no step may the model be without a copy.
    const auto seed = GENERATE(range(1, 301));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto upTo = [&](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    const std::vector<TargetId> targets {A, B, TargetId("c")};
    struct Holder {
        FloorPins pins;
        bool resident = false;
    };
    struct Planner {
        FloorInput input;
    };
    std::map<TargetId, Holder> holders;
    std::vector<FloorRow> rows {row({{A, {Sun}}})}; // index + 1 is the version
    std::vector<Planner> planners(2);
    holders[A].resident = true;
    for (const auto &target : targets) {
        holders[target].pins.rowRead(RowSource::Table, RowVersion(1), rows[0].artifactsOf(target));
    }
    std::size_t writes = 0;
    INFO("seed " << seed);
    for (int step = 0; step < 600; ++step) {
        auto &planner = planners[upTo(2)];
        const auto &target = targets[upTo(3)];
        auto &holder = holders[target];
        switch (upTo(8)) {
        case 0: // a planner reads the row and may choose another desired holder
            planner.input.current = rows.back();
            planner.input.version = RowVersion(rows.size());
            planner.input.declared = {Sun};
            if (upTo(3) == 0) {
                planner.input.desired = row({{targets[upTo(3)], {Sun}}});
            }
            break;
        case 1: // it receives a holder's report
            planner.input.reports[target] = {holder.pins.version(), holder.resident ? ArtifactSet {Sun} : ArtifactSet {}};
            break;
        case 2:
        case 3: { // it writes the row unless that has changed since its read
            const auto next = composeFloorRow(planner.input);
            if (next && planner.input.version == RowVersion(rows.size())) {
                rows.push_back(*next);
                ++writes;
            }
            break;
        }
        case 4: { // a holder receives some version of the row from a peer
            const auto version = upTo(rows.size());
            holder.pins.rowRead(RowSource::Peer, RowVersion(version + 1), rows[version].artifactsOf(target));
            break;
        }
        case 5: // a holder reads the row from the table
            holder.pins.rowRead(RowSource::Table, RowVersion(rows.size()), rows.back().artifactsOf(target));
            break;
        case 6: // a holder loads the artifact if it is named for it, or unloads it if it isn't pinned
            if (holder.pins.named().contains(Sun)) {
                holder.resident = true;
            } else if (!holder.pins.isPinned(Sun)) {
                holder.resident = false;
            }
            break;
        case 7: // a holder's agent restarts, its engine keeps its artifacts
            if (upTo(4) == 0) {
                holder.pins = FloorPins();
            }
            break;
        default:
            break;
        }
        std::size_t copies = 0;
        for (const auto &[id, each] : holders) {
            copies += each.resident ? 1 : 0;
        }
        REQUIRE(copies > 0);
    }
    REQUIRE(writes > 2);
}
