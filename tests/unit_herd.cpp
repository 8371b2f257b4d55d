// Many gateways choose targets for short calls by a load sum that is older than the duration of a call. In virtual time.
#include "core/cellload.h"
#include "core/dispatch.h"

#include <catch2/catch.hpp>

#include <memory>
#include <queue>
#include <random>

using namespace KingCup;

namespace
{

constexpr int Targets = 7;
constexpr int Slots = 6;
constexpr int Queue = 24; ///< requests that a full target queues before it rejects more
constexpr double CallSeconds = 0.06;

struct HerdOptions {
    int gateways = 100;
    double callsPerSecond = 350;
    double viewSeconds = 0.1; ///< between two sums of all gateways' load
    int choices = 2; ///< DispatchOptions::plainChoices
};

struct HerdResult {
    int calls = 0;
    int rejected = 0;
    int waited = 0; ///< calls that found all slots of their target taken
};

/// Simulates short calls of many gateways to a few targets.
class Herd
{
public:
    explicit Herd(HerdOptions options);

    auto run(double seconds) -> HerdResult;

private:
    struct End {
        double at = 0;
        int gateway = 0;
        int target = 0;
        SendId send;

        auto operator>(const End &other) const -> bool
        {
            return at > other.at;
        }
    };
    static auto time(double seconds) -> TimePoint
    {
        return TimePoint() + Duration::seconds(100 + seconds);
    }
    auto exchangeLoad(double now) -> void;
    auto endUntil(double now) -> void;
    auto call(double now, HerdResult &result) -> void;

    HerdOptions m_options;
    std::vector<std::unique_ptr<Dispatcher>> m_gateways;
    std::vector<OwnReports> m_reports;
    CellLoadSum m_sum {EntryId("keeper")};
    std::vector<int> m_running = std::vector<int>(Targets, 0);
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    std::mt19937_64 m_random {7};
};

Herd::Herd(HerdOptions options)
    : m_options(options)
{
    for (int i = 0; i < options.gateways; ++i) {
        DispatchOptions made;
        made.seed = static_cast<std::uint64_t>(i) * 1000003;
        made.plainChoices = options.choices;
        m_gateways.push_back(std::make_unique<Dispatcher>(made));
        m_reports.emplace_back(EntryId("g" + std::to_string(i)));
        for (int target = 0; target < Targets; ++target) {
            TargetDescription about;
            about.incarnation = {TargetId("t" + std::to_string(target)), 1};
            about.service = ServiceName("lookup");
            about.address = {"127.0.0.1", 9000};
            about.slots = Slots;
            m_gateways.back()->targetSeen(about, time(0));
        }
    }
}

auto Herd::exchangeLoad(double now) -> void
{
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        GatewayLoad load;
        load.work = m_gateways[i]->takeDigest(EntryId("g" + std::to_string(i)), time(now));
        m_reports[i].sent(load);
        m_sum.merge(load, time(now));
    }
    const auto cell = m_sum.take(time(now));
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        m_gateways[i]->merge(m_reports[i].withoutOwn(cell).work, time(now));
    }
}

auto Herd::endUntil(double now) -> void
{
    while (!m_ends.empty() && m_ends.top().at <= now) {
        const auto end = m_ends.top();
        m_ends.pop();
        --m_running[static_cast<std::size_t>(end.target)];
        m_gateways[static_cast<std::size_t>(end.gateway)]->ended(end.send, SendResult::Delivered, time(end.at));
    }
}

auto Herd::call(double now, HerdResult &result) -> void
{
    const auto gateway = static_cast<std::size_t>(m_random() % m_gateways.size());
    DispatchRequest request;
    request.service = ServiceName("lookup");
    const auto choice = m_gateways[gateway]->choose(request, time(now));
    const int target = std::stoi(choice.target.text().substr(1));
    auto &running = m_running[static_cast<std::size_t>(target)];
    ++result.calls;
    if (running >= Slots + Queue) {
        ++result.rejected;
        return;
    }
    result.waited += running >= Slots ? 1 : 0;
    const double wait = running >= Slots ? (running + 1 - Slots) * CallSeconds / Slots : 0;
    ++running;
    const auto send = m_gateways[gateway]->sent(request, choice.target, time(now));
    m_ends.push({now + wait + CallSeconds, static_cast<int>(gateway), target, send});
}

auto Herd::run(double seconds) -> HerdResult
{
    HerdResult result;
    std::exponential_distribution<double> gap(m_options.callsPerSecond);
    double nextView = 0;
    double now = 0;
    while (now < seconds) {
        endUntil(now);
        if (now >= nextView) {
            exchangeLoad(now);
            nextView = now + m_options.viewSeconds;
        }
        call(now, result);
        now += gap(m_random);
    }
    return result;
}

} // namespace

TEST_CASE("many gateways don't fill one target while others are idle")
{
    // Load pattern: 100 gateways send 350 calls of 60 ms per second to seven targets with six slots each, so the targets are half full.
    for (const double age : {0.02, 0.1, 0.2, 0.5}) {
        const auto result = Herd({.viewSeconds = age}).run(20);
        INFO("view " << age << " s, calls " << result.calls << ", waited " << result.waited << ", rejected " << result.rejected);
        CHECK(result.rejected * 100 < result.calls * 2);
        CHECK(result.waited * 100 < result.calls * 20);
    }
}

TEST_CASE("few gateways choose no worse than many")
{
    // Load pattern: six gateways send 520 calls of 60 ms per second, three quarters of the targets' capacity.
    const auto result = Herd({.gateways = 6, .callsPerSecond = 520, .viewSeconds = 0.2}).run(20);
    INFO("calls " << result.calls << ", waited " << result.waited << ", rejected " << result.rejected);
    CHECK(result.rejected * 100 < result.calls * 2);
}

TEST_CASE("choosing the least loaded target by an outdated sum overloads it", "[herd]")
{
    const auto result = Herd({.viewSeconds = 0.2, .choices = Targets}).run(20);
    CHECK(result.waited * 100 > result.calls * 40);
}
