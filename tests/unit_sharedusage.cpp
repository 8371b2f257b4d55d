// Limits of client accounts over many gateways: one account that sends many times its limit, and gateways that are partitioned, pause or restart.
// In virtual time.
#include "core/sharedusage.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <deque>
#include <memory>
#include <random>

using namespace KingCup;

namespace
{

constexpr double Rate = 350000; ///< tokens a second
constexpr double Burst = 350000;
constexpr double WindowSeconds = 8;
constexpr double Overshoot = 0.1; ///< allowed share above the limit
constexpr double Slack = 110000; ///< allowed tokens above the limit

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(100 + seconds);
}

auto hotAccount(double rate = Rate, double burst = Burst) -> std::vector<ClientAccount>
{
    ClientAccount account;
    account.name = AccountName("hot");
    account.limit = {.unit = UsageUnit::Tokens, .perSecond = rate, .burst = burst, .defaultTokens = 200};
    return {account};
}

struct FleetOptions {
    int gateways = 24;
    double rate = Rate;
    double burst = Burst;
    double reportSeconds = 0.2; ///< between a gateway's reports
    double urgentReportSeconds = 0.006; ///< between a gateway's reports while one is urgent
};

/// Gateways that admit requests of one account and report to each other.
class UsageFleet
{
public:
    explicit UsageFleet(FleetOptions options)
        : m_options(options)
    {
        for (int i = 0; i < options.gateways; ++i) {
            m_gateways.push_back({});
            start(i, -20);
        }
        step(-20, 0, 0);
    }
    auto start(int gateway, double now) -> void
    {
        auto &one = m_gateways.at(static_cast<std::size_t>(gateway));
        one.usage = std::make_unique<SharedUsage>(at(now));
        one.usage->setAccounts(hotAccount(m_options.rate, m_options.burst), at(now));
        std::vector<std::string> others;
        for (int other = 0; other < m_options.gateways; ++other) {
            if (other != gateway) {
                others.push_back(name(other));
            }
        }
        one.usage->setGateways(others, at(now));
        one.start = EntryId(name(gateway) + "#" + std::to_string(++m_starts));
        one.pausedUntil = now;
    }
    /// Simulates the time span with requests of two sizes that ask for `tokensPerSecond` in total, spread over all gateways.
    auto step(double from, double to, double tokensPerSecond) -> void
    {
        constexpr double Small = 1100;
        constexpr double Large = 9200;
        constexpr double Tick = 0.002;
        std::poisson_distribution<int> small(tokensPerSecond * 0.2 / Small * Tick);
        std::poisson_distribution<int> large(tokensPerSecond * 0.8 / Large * Tick);
        const int ticks = static_cast<int>(std::lround((to - from) / Tick));
        for (int tick = 0; tick < ticks; ++tick) {
            const double now = from + tick * Tick;
            for (int i = tokensPerSecond > 0 ? small(m_random) : 0; i > 0; --i) {
                sendRequest(now, Small);
            }
            for (int i = tokensPerSecond > 0 ? large(m_random) : 0; i > 0; --i) {
                sendRequest(now, Large);
            }
            exchangeReports(now);
        }
    }
    auto pause(int gateway, double until) -> void
    {
        m_gateways.at(static_cast<std::size_t>(gateway)).pausedUntil = until;
    }
    auto setPartitioned(int gateway, bool isPartitioned) -> void
    {
        m_gateways.at(static_cast<std::size_t>(gateway)).isPartitioned = isPartitioned;
    }
    /// The maximum of tokens admitted in any window.
    auto maxInWindow() const -> double
    {
        double sum = 0;
        double most = 0;
        std::deque<std::pair<double, double>> window;
        for (const auto &run : m_admitted) {
            window.push_back(run);
            sum += run.second;
            while (window.front().first <= run.first - WindowSeconds) {
                sum -= window.front().second;
                window.pop_front();
            }
            most = std::max(most, sum);
        }
        return most;
    }
    auto limit() const -> double
    {
        return (m_options.rate * WindowSeconds + m_options.burst) * (1 + Overshoot) + Slack;
    }
    auto tokensAdmitted(double from, double to) const -> double
    {
        double sum = 0;
        for (const auto &[time, tokens] : m_admitted) {
            sum += time >= from && time < to ? tokens : 0;
        }
        return sum;
    }
    auto rejected() const -> int
    {
        return m_rejected;
    }

private:
    struct Gateway {
        std::unique_ptr<SharedUsage> usage;
        EntryId start;
        double pausedUntil = 0;
        double reportedAt = -100;
        bool isPartitioned = false; ///< neither sends reports nor receives any
    };
    static auto name(int gateway) -> std::string
    {
        return "gw-" + std::to_string(gateway);
    }
    auto sendRequest(double now, double tokens) -> void
    {
        auto &gateway = m_gateways[m_random() % m_gateways.size()];
        if (now < gateway.pausedUntil) {
            return;
        }
        if (gateway.usage->admit(AccountName("hot"), tokens, at(now)).isAdmitted) {
            m_admitted.emplace_back(now, tokens);
        } else {
            ++m_rejected;
        }
    }
    auto exchangeReports(double now) -> void
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            auto &gateway = m_gateways[i];
            const bool isUrgent = gateway.usage->isReportUrgent(AccountName("hot"));
            const double period = isUrgent ? std::min(m_options.urgentReportSeconds, m_options.reportSeconds) : m_options.reportSeconds;
            if (now < gateway.pausedUntil || now - gateway.reportedAt < period) {
                continue;
            }
            gateway.reportedAt = now;
            UsageReport report {name(static_cast<int>(i)), gateway.start, gateway.usage->isSettled(at(now)), gateway.usage->takeReport(at(now))};
            for (std::size_t other = 0; other < m_gateways.size(); ++other) {
                const bool isConnected = !gateway.isPartitioned && !m_gateways[other].isPartitioned && now >= m_gateways[other].pausedUntil;
                if (other != i && isConnected) {
                    m_gateways[other].usage->merge(report, at(now));
                }
            }
        }
    }

    FleetOptions m_options;
    std::vector<Gateway> m_gateways;
    std::vector<std::pair<double, double>> m_admitted; ///< time and tokens of each admitted request
    std::mt19937 m_random {11};
    int m_starts = 0;
    int m_rejected = 0;
};

} // namespace

TEST_CASE("an account within its limit is never rejected")
{
    UsageFleet fleet({});
    fleet.step(0, 12, Rate * 0.55);
    CHECK(fleet.rejected() == 0);
}

TEST_CASE("an account that sends many times its limit gets no more than the limit and not much less")
{
    // Guards against several gateways that each admit a request against the same free capacity.
    for (const int gateways : {3, 24, 100}) {
        UsageFleet fleet({.gateways = gateways, .reportSeconds = std::max(0.2, gateways * 0.008), .urgentReportSeconds = gateways * 0.00025});
        fleet.step(0, 20, Rate * 4);
        INFO(gateways << " gateways: " << fleet.maxInWindow() << " of " << fleet.limit());
        CHECK(fleet.maxInWindow() <= fleet.limit());
        CHECK(fleet.tokensAdmitted(4, 20) >= 0.9 * 16 * Rate);
    }
}

TEST_CASE("a small account's large requests are admitted though small ones use up its rate")
{
    UsageFleet fleet({.rate = 29000, .burst = 29000});
    fleet.step(0, 20, 29000 * 4);
    CHECK(fleet.maxInWindow() <= fleet.limit());
    CHECK(fleet.tokensAdmitted(4, 20) >= 0.85 * 16 * 29000);
}

TEST_CASE("gateways that are partitioned from the others keep to their share of the limit")
{
    // Guards against a partition that doubles every limit, since neither side knows the other's usage.
    UsageFleet fleet({});
    fleet.step(0, 3, Rate * 0.5);
    for (int gateway = 0; gateway < 8; ++gateway) {
        fleet.setPartitioned(gateway, true);
    }
    fleet.step(3, 18, Rate * 4);
    for (int gateway = 0; gateway < 8; ++gateway) {
        fleet.setPartitioned(gateway, false);
    }
    fleet.step(18, 26, Rate * 4);
    INFO(fleet.maxInWindow() << " of " << fleet.limit());
    CHECK(fleet.maxInWindow() <= fleet.limit());
    CHECK(fleet.tokensAdmitted(20, 26) >= 0.8 * 6 * Rate);
}

TEST_CASE("gateways that were paused don't admit again what the others have admitted meanwhile")
{
    // Guards against a gateway that refills its buckets for the time of its pause, as if nobody had used the account in that time.
    UsageFleet fleet({});
    fleet.step(0, 3, Rate * 4);
    for (int gateway = 0; gateway < 6; ++gateway) {
        fleet.pause(gateway, 8);
    }
    fleet.step(3, 20, Rate * 4);
    INFO(fleet.maxInWindow() << " of " << fleet.limit());
    CHECK(fleet.maxInWindow() <= fleet.limit());
}

TEST_CASE("gateways that restart one after the other, or all at once, don't start with full buckets")
{
    // Guards against a rolling restart, or a loss of power, that grants an account its burst once per start of a gateway.
    const bool isRolling = GENERATE(true, false);
    UsageFleet fleet({});
    fleet.step(0, 6, Rate * 4);
    for (int gateway = 0; gateway < 24; ++gateway) {
        fleet.start(gateway, 6 + (isRolling ? gateway * 0.4 : 0.0));
        if (isRolling) {
            fleet.step(6 + gateway * 0.4, 6 + (gateway + 1) * 0.4, Rate * 4);
        }
    }
    fleet.step(isRolling ? 15.6 : 6, 24, Rate * 4);
    INFO(fleet.maxInWindow() << " of " << fleet.limit());
    CHECK(fleet.maxInWindow() <= fleet.limit());
    CHECK(fleet.tokensAdmitted(17, 24) >= 0.85 * 7 * Rate);
}

TEST_CASE("a gateway that joins learns an account's level before it admits a burst")
{
    // Guards against a new gateway that treats an exhausted account as unused.
    SharedUsage veteran(at(0));
    veteran.setAccounts(hotAccount(), at(0));
    veteran.merge({"other", EntryId("other#1"), true, {}}, at(4.9));
    CHECK(veteran.admit(AccountName("hot"), Burst, at(5)).isAdmitted);
    SharedUsage newcomer(at(5));
    newcomer.setAccounts(hotAccount(), at(5));
    newcomer.merge({"veteran", EntryId("veteran#1"), true, veteran.takeReport(at(5))}, at(5));
    CHECK_FALSE(newcomer.admit(AccountName("hot"), Burst / 2, at(5.1)).isAdmitted);
    newcomer.merge({"veteran", EntryId("veteran#1"), true, {}}, at(5.5));
    CHECK(newcomer.admit(AccountName("hot"), Burst / 2, at(5.9)).isAdmitted);
}

TEST_CASE("a lowered limit applies as soon as it is adopted")
{
    SharedUsage usage(at(0));
    usage.setAccounts(hotAccount(), at(0));
    CHECK(usage.admit(AccountName("hot"), 100000, at(5)).isAdmitted);
    usage.setAccounts(hotAccount(1000, 1000), at(5));
    CHECK(usage.admit(AccountName("hot"), 1000, at(5)).isAdmitted);
    const auto verdict = usage.admit(AccountName("hot"), 1000, at(5));
    CHECK_FALSE(verdict.isAdmitted);
    CHECK(verdict.availableIn == Duration::seconds(1));
}

TEST_CASE("a request larger than the whole burst is admitted if the bucket is full")
{
    // Guards against requests that could never be served because they need more than a full bucket.
    SharedUsage usage(at(0));
    usage.setAccounts(hotAccount(1000, 1000), at(0));
    CHECK(usage.admit(AccountName("hot"), 5000, at(5)).isAdmitted);
    CHECK_FALSE(usage.admit(AccountName("hot"), 1, at(8)).isAdmitted);
}
