// Parts of prompts that crash the targets which run a request with them: many gateways in virtual time (tests/sim_crashfleet.h).
#include "tests/sim_crashload.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace KingCup;

namespace
{

constexpr std::uint64_t DeadlyPart = 7001;
constexpr std::uint64_t OtherDeadlyPart = 7002;
constexpr int FirstParts = 3; ///< that requests of a route share
constexpr int MiddleParts = 40;
constexpr int Sound = 1; ///< group of the sound requests
/// From this time after the fifth crash on, sound requests with the same first part begin at least half as often as before.
constexpr auto RecoveryTime = Duration::seconds(6);

/// Where the deadly part stands in the prompts.
enum class Place { First, Last, Middle, OfSeveral };

struct Load {
    const char *name;
    Place place;
    double deadlyPerSecond;
    double soundPerSecond;
    bool hasTwoParts = false; ///< two deadly parts, in different requests
};

const auto FirstDeadlyAt = at(10);
const auto LastDeadlyAt = at(40);
const auto End = at(44);

class PartLoad
{
public:
    PartLoad(SimCrashFleet &fleet, int gateways, const Load &load)
        : m_fleet(fleet)
        , m_gateways(gateways)
        , m_load(load)
    {
        later(load.soundPerSecond, [this] { sendSound(); });
        fleet.clock.at(FirstDeadlyAt, [this] { sendDeadly(); });
    }

private:
    auto number(int choices) -> std::uint64_t
    {
        return m_fleet.random()() % static_cast<std::uint64_t>(choices);
    }
    auto firstPart() -> std::uint64_t
    {
        return 100 + number(FirstParts);
    }
    auto middlePart() -> std::uint64_t
    {
        return 200 + number(MiddleParts);
    }
    auto later(double perSecond, const std::function<void()> &action) -> void
    {
        const auto wait = Duration::seconds(std::exponential_distribution<double>(perSecond)(m_fleet.random()));
        if (m_fleet.clock.now() + wait < LastDeadlyAt) {
            m_fleet.clock.after(wait, action);
        }
    }
    auto send(std::vector<std::uint64_t> parts, int group) -> void
    {
        m_lastId += 2; // even: not deadly by itself
        m_fleet.send(static_cast<int>(number(m_gateways)), {m_lastId, std::move(parts), group});
    }
    auto sendSound() -> void
    {
        send({firstPart(), middlePart()}, Sound);
        later(m_load.soundPerSecond, [this] { sendSound(); });
    }
    auto sendDeadly() -> void
    {
        const auto part = m_load.hasTwoParts && number(2) == 0 ? OtherDeadlyPart : DeadlyPart;
        switch (m_load.place) {
        case Place::First:
            send({part, middlePart()}, 0);
            break;
        case Place::Last:
            send({firstPart(), part}, 0);
            break;
        case Place::Middle:
            send({firstPart(), part, middlePart()}, 0);
            break;
        case Place::OfSeveral:
            send({firstPart(), middlePart(), middlePart(), part, middlePart()}, 0);
            break;
        }
        later(m_load.deadlyPerSecond, [this] { sendDeadly(); });
    }

    SimCrashFleet &m_fleet;
    int m_gateways;
    Load m_load;
    std::uint64_t m_lastId = 1000;
};

auto options(int gateways, int seed, SimCrashSight sight) -> SimCrashOptions
{
    SimCrashOptions options {.gateways = gateways, .targets = std::max(targetsFor(gateways), 8), .seed = static_cast<std::uint64_t>(seed), .sight = sight};
    options.clientTimeout = Duration::seconds(5);
    options.deadlyParts = {DeadlyPart, OtherDeadlyPart};
    return options;
}

auto checkBounds(const SimCrashFleet &fleet, const Load &load) -> void
{
    for (const auto part : {DeadlyPart, OtherDeadlyPart}) {
        if (part == OtherDeadlyPart && !load.hasTwoParts) {
            continue;
        }
        INFO("part " << part << ": " << fleet.partEnds(part) << " runs ended");
        CHECK(fleet.partEnds(part) >= 1);
        CHECK(fleet.lateRunsOfPart(part, NoticeTime, false) <= MaxLateRuns);
        CHECK(fleet.lateRunsOfPart(part, NoticeTime, true) <= MaxLateRuns);
    }
}

auto checkSound(const SimCrashFleet &fleet, const Load &load) -> void
{
    const auto before = fleet.group(Sound, at(3), FirstDeadlyAt);
    auto from = fleet.fifthCrash(DeadlyPart);
    if (load.hasTwoParts) {
        from = std::max(from, fleet.fifthCrash(OtherDeadlyPart));
    }
    REQUIRE(from);
    const auto after = fleet.group(Sound, *from + RecoveryTime, LastDeadlyAt);
    INFO("sound requests begun: " << before.begun << " of " << before.sent << " before, " << after.begun << " of " << after.sent << " after, " << after.served
                                  << " served");
    if (before.sent >= 20 && after.sent >= 20) {
        CHECK(static_cast<double>(after.begun) / after.sent >= 0.5 * before.begun / before.sent);
    }
}

auto name(int gateways, const Load &load, SimCrashSight sight, int seed) -> std::string
{
    return std::to_string(gateways) + " gateways, " + load.name + ", sight " + std::to_string(static_cast<int>(sight)) + ", seed " + std::to_string(seed);
}

const std::vector<Load> Loads {{"first", Place::First, 4, 8},
                               {"last of two", Place::Last, 4, 8},
                               {"middle", Place::Middle, 4, 8},
                               {"of several", Place::OfSeveral, 4, 8},
                               {"slow", Place::Middle, 1, 2},
                               {"very slow", Place::Middle, 0.5, 2},
                               {"quick", Place::Middle, 20, 40},
                               {"more deadly than sound", Place::Last, 6, 3},
                               {"two parts", Place::Middle, 4, 8, true}};

} // namespace

TEST_CASE("requests with a part in their prompts that crashes targets are rejected by all gateways, and sound ones with their other parts go on")
{
    // Guards against requests that are all different and crash one target after the other, and against blaming the parts that innocent requests share.
    const int gateways = GENERATE(4, 33, 103, 450);
    const auto sight = GENERATE(SimCrashSight::Reset, SimCrashSight::Silence, SimCrashSight::HeadThenReset, SimCrashSight::Any);
    const auto load = GENERATE(from_range(Loads));
    for (int seed = 1; seed <= (gateways <= 33 ? 3 : 1); ++seed) {
        SimCrashFleet fleet(options(gateways, seed, sight));
        const PartLoad generator(fleet, gateways, load);
        fleet.clock.runUntil(End);
        INFO(name(gateways, load, sight, seed));
        checkBounds(fleet, load);
        checkSound(fleet, load);
    }
}

TEST_CASE("requests with a part that crashes targets are rejected beside gateways that start, freeze and lose messages, and targets that fail")
{
    // Guards against blame that ends with the process that found it, and against messages that are sent once and lost.
    const int gateways = GENERATE(4, 33, 103);
    const auto load = GENERATE_REF(values<Load>({Loads[2], Loads[8], Loads[4]}));
    const auto *more = std::getenv("KINGCUP_SEEDS"); // for longer runs by hand
    const int seeds = more != nullptr ? std::atoi(more) : gateways <= 33 ? 6 : 2;
    for (int seed = 1; seed <= seeds; ++seed) {
        auto simulated = options(gateways, seed, SimCrashSight::Any);
        simulated.messageLoss = seed % 2 == 0 ? 0.1 : 0;
        simulated.keepsIds = seed % 3 == 0;
        SimCrashFleet fleet(simulated);
        const PartLoad generator(fleet, gateways, load);
        fleet.clock.runUntil(at(6));
        disturb(fleet, gateways);
        fleet.clock.runUntil(End);
        INFO(name(gateways, load, SimCrashSight::Any, seed));
        checkBounds(fleet, load);
    }
}

TEST_CASE("requests with a part that crashes targets are rejected after all gateways have ended at once and started again")
{
    // Guards against blame that exists in the gateways' memory only.
    const int gateways = GENERATE(4, 33, 103);
    const auto &load = Loads[2];
    for (int seed = 1; seed <= 3; ++seed) {
        SimCrashFleet fleet(options(gateways, seed, SimCrashSight::Any));
        const PartLoad generator(fleet, gateways, load);
        fleet.clock.runUntil(at(20));
        for (int i = 0; i < gateways; ++i) {
            fleet.killGateway(i, fleet.between(Duration::millis(500), Duration::millis(1500)));
        }
        fleet.clock.runUntil(End);
        INFO(name(gateways, load, SimCrashSight::Any, seed));
        checkBounds(fleet, load);
    }
}
