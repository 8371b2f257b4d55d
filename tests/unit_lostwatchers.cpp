// All gateways that watch the store are lost at the same moment: what the others know, and when.
#include "tests/sim_tablefleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace KingCup;

namespace
{

constexpr double StartSeconds = 10; ///< until a fleet has started and settled
constexpr double SeldomChanged = 60; ///< heartbeat period of targets whose rows hardly ever change
constexpr int Watchers = StoreWatcherOptions().baseCount;

/// Shapes of fleets, and the time within which a change of the declarations, or of a target's row, must be known to all gateways there.
struct Shape {
    SimFleetOptions options;
    double inForceSeconds = 0;
    std::uint64_t seeds = 5;
};

auto shapes() -> std::vector<Shape>
{
    return {{{.gateways = 6, .targets = 22}, 2},
            {{.gateways = 6, .targets = 22, .heartbeatSeconds = SeldomChanged}, 2},
            {{.gateways = 8, .targets = 8}, 2},
            {{.gateways = 27, .targets = 60}, 3},
            {{.gateways = 31, .targets = 60, .heartbeatSeconds = SeldomChanged}, 3},
            {{.gateways = 103, .targets = 187}, 4, 1},
            {{.gateways = 103, .targets = 187, .heartbeatSeconds = SeldomChanged}, 4, 1}};
}

auto idsOf(const std::vector<SimTableFleet::Gateway *> &ranked) -> std::set<std::string>
{
    std::set<std::string> ids;
    for (int rank = 0; rank < Watchers; ++rank) {
        ids.insert(ranked.at(static_cast<std::size_t>(rank))->id);
    }
    return ids;
}

} // namespace

TEST_CASE("a change is in force in time on the gateways that reach the store, though it answers none of the watchers")
{
    // Guards against watchers that count as live for as long as they haven't noticed that the store is silent.
    for (auto shape : shapes()) {
        for (std::uint64_t seed = 1; seed <= shape.seeds; ++seed) {
            shape.options.seed = seed;
            SimTableFleet fleet(shape.options);
            fleet.startAll();
            fleet.run(StartSeconds);
            const auto watchers = idsOf(fleet.ranked());
            fleet.isCutFromStore = [&](const std::string &id) {
                return watchers.contains(id);
            };
            fleet.run(0.1);
            const auto changedAt = fleet.clock.now();
            fleet.declare("2");
            fleet.run(6);
            const auto isOther = [&](const SimTableFleet::Gateway &gateway) {
                return !watchers.contains(gateway.id);
            };
            CAPTURE(shape.options.gateways, seed);
            CHECK(fleet.adoptionSeconds("2", changedAt, isOther) <= shape.inForceSeconds);
        }
    }
}

TEST_CASE("a change and a removed target are known in time after all watchers have ended, and the store doesn't count as failing")
{
    // Guards against removals that are deferred as after an outage of the store, though only the watchers were lost.
    for (auto shape : shapes()) {
        for (std::uint64_t seed = 1; seed <= shape.seeds; ++seed) {
            shape.options.seed = seed;
            SimTableFleet fleet(shape.options);
            fleet.startAll();
            fleet.run(StartSeconds);
            std::map<std::string, int> reports;
            for (const auto *gateway : fleet.ranked()) {
                reports[gateway->id] = gateway->failureReports;
            }
            for (const auto &id : idsOf(fleet.ranked())) {
                fleet.stop(*fleet.byId.at(id));
            }
            fleet.run(0.2);
            const auto changedAt = fleet.clock.now();
            fleet.silentTargets.insert("t-0");
            fleet.store.remove(StoreTable::Targets, "t-0");
            fleet.declare("2");
            fleet.run(shape.inForceSeconds);
            CAPTURE(shape.options.gateways, seed);
            CHECK(fleet.adoptionSeconds("2", changedAt) <= shape.inForceSeconds);
            for (const auto &gateway : fleet.gateways) {
                if (gateway->isRunning) {
                    CAPTURE(gateway->id);
                    CHECK_FALSE(gateway->targets.contains("t-0"));
                    CHECK(gateway->failureReports == reports.at(gateway->id));
                }
            }
        }
    }
}

TEST_CASE("watchers of an earlier release are followed, and replaced once they report that the store is out of reach")
{
    // Guards against gateways that take each other for lost while two releases serve together.
    SimTableFleet fleet({.gateways = 27, .targets = 60, .heartbeatSeconds = SeldomChanged, .seed = 1});
    const auto watchers = idsOf(fleet.ranked());
    fleet.ofEarlierRelease = watchers;
    fleet.startAll();
    fleet.run(StartSeconds);
    for (int tick = 0; tick < 50; ++tick) {
        fleet.run(0.2);
        REQUIRE(fleet.watching().size() == Watchers);
    }
    fleet.isCutFromStore = [&](const std::string &id) {
        return watchers.contains(id);
    };
    const auto changedAt = fleet.clock.now();
    fleet.declare("2");
    fleet.run(6);
    const auto isOther = [&](const SimTableFleet::Gateway &gateway) {
        return !watchers.contains(gateway.id);
    };
    CHECK(fleet.adoptionSeconds("2", changedAt, isOther) <= 4);
}

TEST_CASE("a store in which nothing changes needs no more watchers than usual")
{
    // Guards against a quiet store that is taken for lost watchers: each gateway would watch it, and each watcher would forward every change.
    SimTableFleet fleet({.gateways = 27, .targets = 60, .heartbeatSeconds = 0.5, .seed = 1});
    fleet.startAll();
    fleet.run(StartSeconds);
    for (int i = 0; i < 60; ++i) {
        fleet.silentTargets.insert("t-" + std::to_string(i));
    }
    fleet.run(20);
    CHECK(fleet.watching().size() == Watchers);
    const auto changedAt = fleet.clock.now();
    const auto forwarded = fleet.eventCount("forwarded");
    fleet.declare("2");
    fleet.run(2);
    CHECK(fleet.adoptionSeconds("2", changedAt) <= 1);
    CHECK(fleet.eventCount("forwarded") == forwarded + 1);
}

TEST_CASE("lost watchers are replaced for as long as they are lost, and watch again afterwards")
{
    // Guards against replacements that stop as soon as they see each other, so that nobody follows the store until it is noticed again.
    SimTableFleet fleet({.gateways = 27, .targets = 60, .seed = 1});
    fleet.startAll();
    fleet.run(StartSeconds);
    const auto watchers = idsOf(fleet.ranked());
    fleet.isCutFromStore = [&](const std::string &id) {
        return watchers.contains(id);
    };
    fleet.run(3);
    const auto isOther = [&](const SimTableFleet::Gateway &gateway) {
        return !watchers.contains(gateway.id);
    };
    for (int value = 2; value < 14; ++value) {
        const auto changedAt = fleet.clock.now();
        fleet.declare(std::to_string(value));
        fleet.run(0.8);
        CAPTURE(value);
        CHECK(fleet.adoptionSeconds(std::to_string(value), changedAt, isOther) <= 0.8);
    }
    fleet.isCutFromStore = [](const std::string &) {
        return false;
    };
    fleet.run(6);
    CHECK(fleet.watching().size() == Watchers);
    for (const auto *gateway : fleet.watching()) {
        CHECK(watchers.contains(gateway->id));
    }
}

TEST_CASE("removals after an outage are told from those of targets that left, also by a gateway that stood still meanwhile")
{
    // Guards against a gateway that believes the removal of rows which their targets couldn't renew, and against one that doubts all others.
    constexpr double SettleSeconds = 2.3; // TargetViewOptions::settleTime
    for (const bool isFrozen : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            SimTableFleet fleet({.gateways = 6, .targets = 22, .seed = seed});
            fleet.startAll();
            fleet.run(StartSeconds);
            fleet.silentTargets.insert("t-0");
            fleet.store.remove(StoreTable::Targets, "t-0");
            fleet.run(1);
            for (auto &gateway : fleet.gateways) {
                REQUIRE(gateway->followedAtRemovals.size() == 1);
                CHECK(gateway->followedAtRemovals.front() >= Duration::seconds(SettleSeconds));
                gateway->followedAtRemovals.clear();
            }
            fleet.store.isSilent = true;
            if (isFrozen) {
                fleet.freeze(fleet.highestRanked());
            }
            fleet.run(5);
            for (int i = 1; i < 22; ++i) {
                fleet.silentTargets.insert("t-" + std::to_string(i));
                fleet.store.remove(StoreTable::Targets, "t-" + std::to_string(i));
            }
            fleet.store.isSilent = false;
            if (isFrozen) {
                fleet.thaw(fleet.highestRanked());
            }
            fleet.run(4);
            for (const auto &gateway : fleet.gateways) {
                CAPTURE(seed, isFrozen, gateway->id);
                CHECK(gateway->targets.empty());
                for (const auto followed : gateway->followedAtRemovals) {
                    CHECK(followed < Duration::seconds(SettleSeconds));
                }
            }
        }
    }
}

TEST_CASE("a store that is unavailable to all is retried by a limited number of gateways, and is reported as failing")
{
    // Guards against replacing lost watchers without a limit, and against believing removals of rows that their targets couldn't renew.
    SimTableFleet fleet({.gateways = 27, .targets = 60, .seed = 1});
    fleet.startAll();
    fleet.run(StartSeconds);
    fleet.store.isSilent = true;
    for (int tick = 0; tick < 80; ++tick) {
        fleet.run(0.1);
        REQUIRE(fleet.watching().size() <= static_cast<std::size_t>(StoreWatcherOptions().maxCount));
    }
    std::map<std::string, int> reports;
    for (const auto &gateway : fleet.gateways) {
        reports[gateway->id] = gateway->failureReports;
    }
    fleet.run(1);
    for (const auto &gateway : fleet.gateways) {
        if (!gateway->follower->isWatching()) {
            CAPTURE(gateway->id);
            CHECK(gateway->failureReports > reports.at(gateway->id));
        }
    }
}

namespace
{

/// Draws disruptions of single gateways, mostly of those that watch the store, for one fleet.
class DrawnDisruptions
{
public:
    DrawnDisruptions(SimTableFleet &fleet, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
    {
        m_fleet.isCutFromStore = [this](const std::string &id) {
            return m_cut.contains(id);
        };
    }

    /// Gateways that nothing has been done to.
    auto isCalm(const SimTableFleet::Gateway &gateway) const -> bool
    {
        return !m_disturbed.contains(gateway.id);
    }
    /// Disturbs up to half of the gateways, within 0.6 s.
    auto strike() -> void
    {
        auto chosen = m_fleet.ranked();
        if (draw(0, 3) == 0) {
            std::shuffle(chosen.begin(), chosen.end(), m_random);
        }
        chosen.resize(static_cast<std::size_t>(draw(1, static_cast<int>(chosen.size()) / 2)));
        const auto kind = draw(0, 4);
        for (auto *gateway : chosen) {
            m_disturbed.insert(gateway->id);
            m_fleet.clock.after(Duration::millis(draw(0, 600)), [this, gateway, kind = kind == 4 ? draw(0, 3) : kind] { disturb(*gateway, kind); });
        }
    }
    auto draw(int least, int most) -> int
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

private:
    auto disturb(SimTableFleet::Gateway &gateway, int kind) -> void
    {
        switch (kind) {
        case 0:
            m_cut.insert(gateway.id);
            break;
        case 1:
            m_fleet.stop(gateway);
            break;
        case 2:
            m_fleet.freeze(gateway);
            break;
        default:
            m_fleet.store.refusedHosts.insert(gateway.id);
        }
    }

    SimTableFleet &m_fleet;
    std::mt19937_64 m_random;
    std::set<std::string> m_cut;
    std::set<std::string> m_disturbed;
};

} // namespace

TEST_CASE("whatever happens to the watchers, a change is in force in time on the gateways to which nothing has happened")
{
    // Guards against sums of timers: drawn cuts from the store, ends, stand-stills and refusals of up to half of the gateways, and a change around that time.
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        const auto isSmall = random() % 3 != 0;
        SimFleetOptions options {.gateways = isSmall ? 4 + static_cast<int>(random() % 9) : 20 + static_cast<int>(random() % 12), .seed = seed};
        options.targets = options.gateways * 2;
        options.heartbeatSeconds = random() % 2 == 0 ? SeldomChanged : 1.2;
        const double inForceSeconds = isSmall ? 2 : 3;
        SimTableFleet fleet(options);
        DrawnDisruptions disruptions(fleet, seed);
        fleet.startAll();
        fleet.run(StartSeconds + disruptions.draw(0, 1000) * 1e-3);
        disruptions.strike();
        fleet.run(disruptions.draw(0, 1500) * 1e-3);
        const auto changedAt = fleet.clock.now();
        fleet.declare("2");
        fleet.run(6);
        const auto isCalm = [&](const SimTableFleet::Gateway &gateway) {
            return disruptions.isCalm(gateway);
        };
        CAPTURE(seed, options.gateways, options.heartbeatSeconds);
        CHECK(fleet.adoptionSeconds("2", changedAt, isCalm) <= inForceSeconds);
    }
}
