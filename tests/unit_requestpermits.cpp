// Permits for a target with a request limit, over many gateways: saturated and passing demand, gateways that fail, restart or are partitioned, and lost
// messages. In virtual time.
#include "core/requestpermits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace KingCup;

namespace
{

constexpr double WindowSeconds = 4;
constexpr double Tick = 0.005;

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(100 + seconds);
}

auto target(std::uint64_t startedAt = 1) -> TargetIncarnation
{
    return {TargetId("t1"), startedAt};
}

struct FleetOptions {
    int gateways = 24;
    double limit = 1; ///< requests a second that the target accepts
    double messageSeconds = 0.008; ///< the longest time that a message takes; the shortest is 1 ms
    double lossShare = 0; ///< share of the messages that are lost
    double noticeSeconds = 1.5; ///< until the others notice that a gateway has stopped or is cut off
};

/// Gateways that send requests to one limited target and exchange permits.
class PermitFleet
{
public:
    explicit PermitFleet(FleetOptions options)
        : m_options(options)
        , m_gateways(static_cast<std::size_t>(options.gateways))
    {
        for (int i = 0; i < options.gateways; ++i) {
            start(i);
        }
    }
    auto start(int gateway) -> void
    {
        auto &one = m_gateways.at(static_cast<std::size_t>(gateway));
        one.permits = std::make_unique<RequestPermits>(name(gateway));
        one.isUp = true;
        m_isChanged = true;
    }
    auto stop(int gateway) -> void
    {
        m_gateways.at(static_cast<std::size_t>(gateway)).isUp = false;
        m_isChanged = true;
    }
    auto setPartitioned(int gateway, bool isPartitioned) -> void
    {
        m_gateways.at(static_cast<std::size_t>(gateway)).isPartitioned = isPartitioned;
        m_isChanged = true;
    }
    /// From now on the gateway handles each message this long after its arrival.
    auto setLag(int gateway, double seconds) -> void
    {
        m_gateways.at(static_cast<std::size_t>(gateway)).lagSeconds = seconds;
    }
    /// The observer takes the other gateway for silent, or for live again. Nobody else does, and messages still arrive.
    auto setUnheard(int observer, int gateway, bool isUnheard) -> void
    {
        const auto pair = std::pair(static_cast<std::size_t>(observer), static_cast<std::size_t>(gateway));
        if (isUnheard) {
            m_unheard.insert(pair);
        } else {
            m_unheard.erase(pair);
        }
        m_isChanged = true;
    }
    auto arbiter() -> int
    {
        return std::stoi(m_gateways.front().permits->arbiter(target()).substr(3));
    }
    /// Simulates the time span. `wantsPerSecond`: requests that would use the target, over all gateways. `isWaiting`: each waits for up to a second; otherwise
    /// it goes elsewhere if it gets no permit within milliseconds.
    auto step(double from, double to, double wantsPerSecond, bool isWaiting) -> void
    {
        std::poisson_distribution<int> wants(std::max(wantsPerSecond * Tick, 1e-9));
        const int ticks = static_cast<int>(std::lround((to - from) / Tick));
        for (int tick = 0; tick < ticks; ++tick) {
            const double now = from + tick * Tick;
            updateViews(now);
            deliver(now);
            for (int i = wantsPerSecond > 0 ? wants(m_random) : 0; i > 0; --i) {
                request(m_random() % m_gateways.size(), isWaiting, now);
            }
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                auto &gateway = m_gateways[i];
                if (gateway.isUp) {
                    gateway.permits->issue(at(now));
                    retryWaiting(gateway, now);
                    post(i, now);
                }
            }
        }
    }
    /// One request at each gateway at the same moment.
    auto burst(double now) -> void
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            request(i, true, now);
        }
    }
    /// The largest number of requests in any window.
    auto maxInWindow() const -> int
    {
        int most = 0;
        for (std::size_t first = 0, last = 0; last < m_sent.size(); ++last) {
            while (m_sent[first] <= m_sent[last] - WindowSeconds) {
                ++first;
            }
            most = std::max(most, static_cast<int>(last - first) + 1);
        }
        return most;
    }
    auto allowed() const -> double
    {
        return 1.5 * WindowSeconds * m_options.limit + 5;
    }
    auto sent(double from, double to) const -> int
    {
        return static_cast<int>(std::count_if(m_sent.begin(), m_sent.end(), [&](double time) { return time >= from && time < to; }));
    }

private:
    struct Waiting {
        bool isWaiting = false;
        double until = 0;
        double queriedAt = 0;
    };
    struct Gateway {
        std::unique_ptr<RequestPermits> permits;
        bool isUp = true;
        bool isPartitioned = false;
        double lagSeconds = 0;
        std::vector<Waiting> waiting;
    };
    struct Message {
        double due = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        PermitMessages messages;

        auto operator>(const Message &other) const -> bool
        {
            return due > other.due;
        }
    };
    static auto name(int gateway) -> std::string
    {
        return "gw-" + std::to_string(gateway);
    }
    auto isConnected(std::size_t a, std::size_t b) const -> bool
    {
        return m_gateways[a].isUp && m_gateways[b].isUp && m_gateways[a].isPartitioned == m_gateways[b].isPartitioned;
    }
    /// Gives each gateway the set of live gateways. One that is lost is noticed `noticeSeconds` later, a new one at once.
    auto updateViews(double now) -> void
    {
        if (m_views.empty() || m_isChanged) {
            m_isChanged = false;
            std::vector<std::pair<bool, bool>> states;
            std::transform(m_gateways.begin(), m_gateways.end(), std::back_inserter(states), [](const Gateway &gateway) {
                return std::pair(gateway.isUp, gateway.isPartitioned);
            });
            m_views.emplace_back(now, std::move(states));
        } else if (m_views.size() > 1 && m_views[1].first <= now - m_options.noticeSeconds) {
            m_views.pop_front();
        } else {
            return;
        }
        const auto areConnected = [](const auto &view, std::size_t a, std::size_t b) {
            return view.second[a].first && view.second[b].first && view.second[a].second == view.second[b].second;
        };
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            std::set<std::string> live;
            for (std::size_t other = 0; other < m_gateways.size(); ++other) {
                if (other != i && !m_unheard.contains({i, other}) && (areConnected(m_views.front(), i, other) || areConnected(m_views.back(), i, other))) {
                    live.insert(name(static_cast<int>(other)));
                }
            }
            std::set<std::string> silent;
            for (std::size_t other = 0; other < m_gateways.size(); ++other) {
                if (other != i && !live.contains(name(static_cast<int>(other)))) {
                    silent.insert(name(static_cast<int>(other)));
                }
            }
            m_gateways[i].permits->setGateways(std::move(live), std::move(silent));
        }
    }
    auto request(std::size_t gateway, bool isWaiting, double now) -> void
    {
        auto &one = m_gateways[gateway];
        if (!one.isUp) {
            return;
        }
        const auto state = one.permits->wanted(target(), m_options.limit, isWaiting, at(now));
        if (state == PermitState::Held) {
            send(one, now);
        } else if (isWaiting || state == PermitState::Pending) {
            one.waiting.push_back({.isWaiting = isWaiting, .until = now + (isWaiting ? 1 : 0.015), .queriedAt = now});
        }
    }
    auto send(Gateway &gateway, double now) -> void
    {
        gateway.permits->used(target(), at(now));
        m_sent.push_back(now);
    }
    auto retryWaiting(Gateway &gateway, double now) -> void
    {
        constexpr double RetryPeriod = 0.3;
        std::erase_if(gateway.waiting, [&](const Waiting &waiting) { return now > waiting.until; });
        while (!gateway.waiting.empty() && gateway.permits->has(target(), at(now))) {
            gateway.waiting.erase(gateway.waiting.begin());
            send(gateway, now);
        }
        for (auto &waiting : gateway.waiting) {
            if (waiting.isWaiting && now - waiting.queriedAt >= RetryPeriod) {
                waiting.queriedAt = now;
                gateway.permits->wanted(target(), m_options.limit, true, at(now));
            }
        }
    }
    auto post(std::size_t from, double now) -> void
    {
        std::uniform_real_distribution<double> delay(0.001, m_options.messageSeconds);
        std::uniform_real_distribution<double> chance(0, 1);
        for (auto &[to, messages] : m_gateways[from].permits->takeMessages()) {
            if (chance(m_random) >= m_options.lossShare) {
                const auto receiver = static_cast<std::size_t>(std::stoi(to.substr(3)));
                m_messages.push({now + delay(m_random) + m_gateways[receiver].lagSeconds, from, receiver, messages});
            }
        }
    }
    auto deliver(double now) -> void
    {
        while (!m_messages.empty() && m_messages.top().due <= now) {
            const auto message = m_messages.top();
            m_messages.pop();
            if (!isConnected(message.from, message.to)) {
                continue;
            }
            auto &permits = *m_gateways[message.to].permits;
            for (const auto &query : message.messages.queries) {
                permits.queryReceived(name(static_cast<int>(message.from)), query, at(now));
            }
            for (const auto &reply : message.messages.replies) {
                permits.replied(name(static_cast<int>(message.from)), reply, at(now));
            }
            for (const auto &elsewhere : message.messages.elsewhere) {
                permits.queriedElsewhere(name(static_cast<int>(message.from)), elsewhere, at(now));
            }
        }
    }

    FleetOptions m_options;
    std::vector<Gateway> m_gateways;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
    std::deque<std::pair<double, std::vector<std::pair<bool, bool>>>> m_views; ///< by time: whether each gateway is up, and whether it is partitioned
    std::set<std::pair<std::size_t, std::size_t>> m_unheard; ///< observer and gateway, see setUnheard()
    bool m_isChanged = false; ///< since the last view
    std::vector<double> m_sent;
    std::mt19937 m_random {17};
};

} // namespace

TEST_CASE("a target whose limit is in demand everywhere gets its limit from all gateways together, and not much less")
{
    // Guards against gateways that each send what the target takes from all of them, or that all send at the same moment.
    const bool isWaiting = GENERATE(true, false);
    for (const int gateways : {1, 3, 24, 100, 450}) {
        for (const double limit : {0.5, 1.0, 6.0, 40.0}) {
            PermitFleet fleet({.gateways = gateways, .limit = limit});
            const double seconds = gateways > 24 ? 12 : 24;
            fleet.step(0, seconds, limit * 20, isWaiting);
            INFO(gateways << " gateways, limit " << limit << ", waiting " << isWaiting << ": " << fleet.maxInWindow() << " of " << fleet.allowed());
            CHECK(fleet.maxInWindow() <= fleet.allowed());
            const double used = fleet.sent(2, seconds) / ((seconds - 2) * limit);
            INFO("used " << used);
            CHECK(used >= (isWaiting ? 0.85 : 0.5));
        }
    }
}

TEST_CASE("requests that come to all gateways at once after a pause stay within the limit")
{
    // Guards against allowances that build up at each gateway while no request wants the target.
    for (const int gateways : {3, 24, 100}) {
        PermitFleet fleet({.gateways = gateways});
        fleet.step(0, 5, 3, false);
        fleet.step(5, 25, 0, false);
        for (int i = 0; i < 8; ++i) {
            fleet.burst(25 + i * 0.5);
            fleet.step(25 + i * 0.5, 25.5 + i * 0.5, 0, true);
        }
        INFO(gateways << " gateways: " << fleet.maxInWindow() << " of " << fleet.allowed());
        CHECK(fleet.maxInWindow() <= fleet.allowed());
    }
}

TEST_CASE("when the arbiter stops, another gateway issues permits, and no more than the limit")
{
    // Guards against a target that nobody may use any more, and against a successor that issues again what its predecessor has issued.
    PermitFleet fleet({.limit = 2});
    fleet.step(0, 8, 40, true);
    const int first = fleet.arbiter();
    fleet.stop(first);
    fleet.step(8, 16, 40, true);
    fleet.start(first);
    fleet.step(16, 24, 40, true);
    INFO(fleet.maxInWindow() << " of " << fleet.allowed());
    CHECK(fleet.maxInWindow() <= fleet.allowed());
    CHECK(fleet.sent(10, 16) >= 0.8 * 6 * 2);
    CHECK(fleet.sent(18, 24) >= 0.8 * 6 * 2);
}

TEST_CASE("gateways that restart one after the other, or all at once, don't issue the limit anew")
{
    // Guards against a rolling restart, or a loss of power, that grants the target's limit once per start of a gateway.
    const bool isRolling = GENERATE(true, false);
    PermitFleet fleet({.limit = 1});
    fleet.step(0, 6, 40, true);
    double now = 6;
    for (int gateway = 0; gateway < 24; ++gateway) {
        fleet.stop(gateway);
        fleet.start(gateway);
        if (isRolling) {
            fleet.step(now, now + 0.4, 40, true);
            now += 0.4;
        }
    }
    fleet.step(now, now + 10, 40, true);
    INFO("rolling " << isRolling << ": " << fleet.maxInWindow() << " of " << fleet.allowed());
    CHECK(fleet.maxInWindow() <= fleet.allowed());
}

TEST_CASE("both sides of a partition together keep to the limit")
{
    // Guards against a partition that doubles the limit, as each side has an arbiter of its own.
    PermitFleet fleet({.limit = 2});
    fleet.step(0, 5, 40, true);
    for (int gateway = 0; gateway < 8; ++gateway) {
        fleet.setPartitioned(gateway, true);
    }
    fleet.step(5, 20, 40, true);
    for (int gateway = 0; gateway < 8; ++gateway) {
        fleet.setPartitioned(gateway, false);
    }
    fleet.step(20, 28, 40, true);
    INFO(fleet.maxInWindow() << " of " << fleet.allowed());
    CHECK(fleet.maxInWindow() <= fleet.allowed());
    CHECK(fleet.sent(8, 20) >= 0.7 * 12 * 2);
}

TEST_CASE("gateways that can't hear the arbiter while others can don't get the limit once more")
{
    // Guards against a limit that holds for each arbiter: gateways that see different gateways as live have different arbiters.
    for (const int gateways : {24, 103}) {
        for (const double limit : {6.0, 40.0}) {
            PermitFleet fleet({.gateways = gateways, .limit = limit});
            fleet.step(0, 5, limit * 10, true);
            const int first = fleet.arbiter();
            for (int observer = 0; observer < gateways / 3; ++observer) {
                if (observer != first) {
                    fleet.setUnheard(observer, first, true);
                }
            }
            fleet.step(5, 15, limit * 10, true);
            INFO(gateways << " gateways, limit " << limit << ": " << fleet.maxInWindow() << " of " << fleet.allowed());
            CHECK(fleet.maxInWindow() <= fleet.allowed());
            CHECK(fleet.sent(7, 15) >= 0.8 * 8 * limit);
        }
    }
}

TEST_CASE("permits of an arbiter that lags behind by seconds aren't used beside those of its successor")
{
    // Guards against permits that answer queries of seconds ago, when the gateways have had another arbiter since.
    for (const int gateways : {24, 103}) {
        for (const double limit : {6.0, 40.0}) {
            PermitFleet fleet({.gateways = gateways, .limit = limit});
            fleet.step(0, 5, limit * 10, true);
            const int slow = fleet.arbiter();
            fleet.setLag(slow, 3.2);
            fleet.step(5, 8, limit * 10, true);
            for (int observer = 0; observer < gateways; ++observer) {
                if (observer != slow) {
                    fleet.setUnheard(observer, slow, true);
                }
            }
            fleet.step(8, 18, limit * 10, true);
            INFO(gateways << " gateways, limit " << limit << ": " << fleet.maxInWindow() << " of " << fleet.allowed());
            CHECK(fleet.maxInWindow() <= fleet.allowed());
            CHECK(fleet.sent(9, 18) >= 0.8 * 9 * limit);
        }
    }
}

TEST_CASE("whichever gateways take each other for silent, lag behind or restart, the target gets no more than its limit allows")
{
    // Guards against combinations: several arbiters at a time, of which some issue for queries of long ago.
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        const auto draw = [&](int least, int most) {
            return std::uniform_int_distribution<int>(least, most)(random);
        };
        const int gateways = draw(4, 40);
        const double limit = std::vector<double> {1, 3, 6, 15, 40}.at(static_cast<std::size_t>(draw(0, 4)));
        PermitFleet fleet({.gateways = gateways, .limit = limit});
        fleet.step(0, 2, limit * 10, true);
        const int first = fleet.arbiter();
        for (int i = 0; i < 24; ++i) {
            const int gateway = draw(0, 1) == 0 ? first : draw(0, gateways - 1);
            switch (draw(0, 3)) {
            case 0:
                fleet.setLag(gateway, draw(0, 4000) * 1e-3);
                break;
            case 1:
                fleet.stop(gateway);
                fleet.start(gateway);
                break;
            default:
                const int observers = draw(1, gateways);
                const bool isUnheard = draw(0, 2) > 0;
                for (int n = 0; n < observers; ++n) {
                    const int observer = draw(0, gateways - 1);
                    if (observer != gateway) {
                        fleet.setUnheard(observer, gateway, isUnheard);
                    }
                }
            }
            fleet.step(2 + i * 0.5, 2.5 + i * 0.5, limit * 10, true);
        }
        CAPTURE(seed, gateways, limit, fleet.allowed());
        CHECK(fleet.maxInWindow() <= fleet.allowed());
    }
}

TEST_CASE("lost and slow messages cost throughput, never the limit")
{
    // Guards against queries that are repeated because an answer is late, and are then granted twice.
    PermitFleet fleet({.limit = 3, .messageSeconds = 0.6, .lossShare = 0.2});
    fleet.step(0, 24, 60, true);
    INFO(fleet.maxInWindow() << " of " << fleet.allowed());
    CHECK(fleet.maxInWindow() <= fleet.allowed());
    CHECK(fleet.sent(2, 24) >= 0.4 * 22 * 3);
}

TEST_CASE("a target that announces to take nothing still gets a request now and then that shows whether that holds")
{
    // Guards against a limit of 0 that lasts for ever, as only an answer can show its end.
    PermitFleet fleet({.gateways = 4, .limit = 0});
    fleet.step(0, 40, 20, true);
    CHECK(fleet.maxInWindow() <= fleet.allowed());
    CHECK(fleet.sent(0, 40) >= 3);
}

TEST_CASE("a gateway whose request waits for the target gets the next permit, and others are denied one until then")
{
    // Guards against a target's few permits that go to requests which another target could take.
    RequestPermits arbiter("gw-0");
    arbiter.queryReceived("gw-1", {target(), 1, true}, at(0));
    arbiter.queryReceived("gw-1", {target(), 1, true}, at(0.3));
    arbiter.queryReceived("gw-2", {target(), 1, false}, at(0.5));
    auto messages = arbiter.takeMessages();
    REQUIRE(messages["gw-2"].replies.size() == 1);
    CHECK_FALSE(messages["gw-2"].replies[0].isGranted);
    CHECK(messages["gw-2"].replies[0].availableIn == Duration::millis(1500));
    CHECK_FALSE(messages.contains("gw-1"));
    CHECK(arbiter.nextIssue(at(0.5)) == Duration::millis(500));
    arbiter.queryReceived("gw-1", {target(), 1, true}, at(0.7));
    CHECK(arbiter.issue(at(1)) == 1);
    messages = arbiter.takeMessages();
    REQUIRE(messages["gw-1"].replies.size() == 1);
    CHECK(messages["gw-1"].replies[0].isGranted);
}

TEST_CASE("a gateway that was denied a permit sends another query only when the arbiter can have one")
{
    // Guards against a query for each request while a target is over its limit.
    RequestPermits permits("gw-1");
    permits.setGateways({"gw-0"}, {});
    const TargetIncarnation remote = [&] {
        auto tried = target();
        while (permits.arbiter(tried) != "gw-0") {
            ++tried.startedAtMillis;
        }
        return tried;
    }();
    CHECK(permits.wanted(remote, 1, false, at(0)) == PermitState::Pending);
    permits.replied("gw-0", {remote, false, Duration::millis(700)}, at(0.01));
    CHECK(permits.wanted(remote, 1, false, at(0.6)) == PermitState::Denied);
    CHECK(permits.takeMessages()["gw-0"].queries.size() == 1);
    CHECK(permits.wanted(remote, 1, false, at(0.8)) == PermitState::Pending);
    CHECK(permits.takeMessages()["gw-0"].queries.size() == 1);
    permits.replied("gw-0", {remote, true, Duration()}, at(0.81));
    CHECK(permits.wanted(remote, 1, false, at(0.82)) == PermitState::Held);
    permits.used(remote, at(0.82));
    CHECK_FALSE(permits.has(remote, at(0.83)));
}

TEST_CASE("requests that want the target at the same time share one query")
{
    // Guards against replies that make every waiting request send another query.
    RequestPermits permits("gw-1");
    permits.setGateways({"gw-0"}, {});
    TargetIncarnation remote = target();
    while (permits.arbiter(remote) != "gw-0") {
        ++remote.startedAtMillis;
    }
    for (int i = 0; i < 5; ++i) {
        CHECK(permits.wanted(remote, 1, false, at(0.001 * i)) == PermitState::Pending);
    }
    CHECK(permits.takeMessages()["gw-0"].queries.size() == 1);
}

TEST_CASE("an arbiter that doesn't reply gets no query for each request")
{
    // Guards against requests that all wait for a reply which doesn't come.
    RequestPermits permits("gw-1");
    permits.setGateways({"gw-0"}, {});
    TargetIncarnation remote = target();
    while (permits.arbiter(remote) != "gw-0") {
        ++remote.startedAtMillis;
    }
    CHECK(permits.wanted(remote, 1, false, at(0)) == PermitState::Pending);
    CHECK(permits.wanted(remote, 1, false, at(0.06)) == PermitState::Denied);
    CHECK(permits.wanted(remote, 1, false, at(0.29)) == PermitState::Denied);
    CHECK(permits.wanted(remote, 1, false, at(0.31)) == PermitState::Pending);
}

TEST_CASE("an unused permit expires, and a query that isn't repeated is dropped")
{
    // Guards against permits that are hoarded, and against permits for gateways whose requests have gone long ago.
    RequestPermits permits("gw-0");
    permits.wanted(target(), 1, true, at(0));
    CHECK(permits.wanted(target(), 1, true, at(0.9)) == PermitState::Pending);
    CHECK(permits.issue(at(1)) == 1);
    CHECK(permits.has(target(), at(1.85))); // the last query was at 0.9
    CHECK_FALSE(permits.has(target(), at(1.95)));
    CHECK_FALSE(permits.has(target(2), at(1.85)));
    permits.queryReceived("gw-1", {target(), 1, true}, at(1.2));
    CHECK(permits.issue(at(2.05)) == 0);
    CHECK_FALSE(permits.nextIssue(at(2.05)));
}
