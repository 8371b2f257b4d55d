// Randomized runs of gateways as real processes: targets announce limits, pauses and that they leave, while targets, gateways and the store fail.
// The environment variable KINGCUP_SEEDS ("1-50" or "7") replaces the default seeds.
#include "tests/harness_gateways.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace KingCup;

namespace
{

constexpr int Gateways = 3;
const std::vector<std::string> Targets {"p1", "p2", "r1", "r2"};
constexpr auto RunDuration = Duration::seconds(16);
constexpr std::int64_t WindowMillis = 4000;
constexpr std::int64_t LimitNoticeMillis = 1500; ///< from the first answer that announces a limit until it binds
constexpr std::int64_t PauseGraceMillis = 500; ///< from a rejection until the pause binds
constexpr std::int64_t LeavingNoticeMillis = 1000; ///< from the first answer that announces it
constexpr std::int64_t ExcuseMillis = 3500; ///< a gateway that was disturbed isn't bound for this long afterwards

struct Arrival {
    std::int64_t at = 0;
    std::string gateway;
};

/// One start of a target, by what the fake has recorded.
struct TargetStart {
    struct Limit {
        std::int64_t from = 0;
        std::int64_t to = INT64_MAX;
        double perSecond = 0;
        bool isOnlyInRuns = false; ///< rejections don't announce it
        std::optional<std::int64_t> announcedAt; ///< first answer with it: a target that rejects all requests, or is sent none, announces nothing
    };
    struct Pause {
        std::int64_t at = 0;
        std::int64_t to = 0;
        std::string gateway;
    };
    std::string name;
    std::vector<Arrival> arrivals;
    std::vector<Limit> limits;
    std::vector<Pause> pauses;
    std::optional<std::int64_t> leavingAt;
    std::map<std::string, std::int64_t> knowsLeaving; ///< by gateway: its first answer that announced it
};

auto gatewayOf(const Json &event) -> std::string
{
    const auto attempt = event["attempt"].get<std::string>();
    return attempt.substr(0, attempt.find('/'));
}

auto startsOf(const std::string &target, const Json &events) -> std::vector<TargetStart>
{
    std::vector<TargetStart> starts;
    for (const auto &event : events) {
        const auto what = event["what"].get<std::string>();
        const auto at = event["at"].get<std::int64_t>();
        if (what == "start") {
            if (!starts.empty() && !starts.back().limits.empty()) {
                starts.back().limits.back().to = std::min(starts.back().limits.back().to, at);
            }
            starts.push_back({.name = target + " start " + std::to_string(starts.size() + 1)});
            continue;
        }
        auto &start = starts.back();
        if (!start.limits.empty() && (what == "answered" || (what == "rejected" && !start.limits.back().isOnlyInRuns))) {
            start.limits.back().announcedAt = start.limits.back().announcedAt.value_or(at);
        }
        if (what == "request") {
            start.arrivals.push_back({at, gatewayOf(event)});
        } else if (what == "limit") {
            if (!start.limits.empty()) {
                start.limits.back().to = std::min(start.limits.back().to, at);
            }
            if (event["isSet"].get<bool>()) {
                start.limits.push_back({.from = at, .perSecond = event["perSecond"].get<double>(), .isOnlyInRuns = event["onlyRuns"].get<bool>()});
            }
        } else if (what == "rejected" && event["seconds"].get<double>() > 0) {
            start.pauses.push_back({at, at + static_cast<std::int64_t>(event["seconds"].get<double>() * 1000), gatewayOf(event)});
        } else if (what == "leaving") {
            start.leavingAt = start.leavingAt.value_or(at);
        } else if (what == "answered" && start.leavingAt) {
            start.knowsLeaving.try_emplace(gatewayOf(event), at);
        }
    }
    return starts;
}

class TargetRun
{
public:
    explicit TargetRun(std::uint64_t seed)
        : m_random(seed)
    {
    }
    /// Returns a summary of the faults.
    auto run() -> std::string
    {
        const auto until = m_site.loop().now() + RunDuration;
        auto nextFault = m_site.loop().now() + Duration::millis(800);
        while (m_site.loop().now() < until) {
            request();
            if (m_site.loop().now() >= nextFault) {
                fault();
                nextFault = m_site.loop().now() + Duration::millis(between(150, 700));
            }
            restore(false);
            m_site.sleep(Duration::millis(10));
        }
        checkAll();
        checkServing();
        std::string text = std::to_string(m_replies.size()) + " requests, " + std::to_string(m_limitedArrivals) + " held against a limit";
        for (const auto &[kind, count] : m_counts) {
            text += ", " + kind + " " + std::to_string(count);
        }
        return text;
    }

private:
    auto between(int min, int max) -> int
    {
        return std::uniform_int_distribution<int>(min, max)(m_random);
    }
    template<typename T>
    auto oneOf(const std::vector<T> &choices) -> T
    {
        return choices[static_cast<std::size_t>(between(0, static_cast<int>(choices.size()) - 1))];
    }
    /// The fake platform's clock.
    auto now() -> std::int64_t
    {
        return m_site.truth()["runners"]["p1"]["now"].get<std::int64_t>();
    }
    auto target(const std::string &id, Json command) -> void
    {
        command["part"] = "runner";
        command["id"] = id;
        m_site.platform(command);
    }
    auto request() -> void
    {
        const int gateway = 1 + static_cast<int>(m_serial % Gateways);
        RequestOptions options;
        options.attempt = "gw-" + std::to_string(gateway) + "/" + std::to_string(++m_serial);
        const int kind = between(0, 3);
        if (kind == 0) {
            options.path = "/chat/x";
            options.method = "POST";
            options.model = "m1";
            options.body = "prompt";
        } else if (kind == 1) {
            options.path = "/write/x";
            options.method = "POST";
            options.body = "x";
        }
        m_replies.push_back(m_site.begin(gateway, options));
    }
    auto fault() -> void
    {
        const auto id = oneOf(Targets);
        const auto kind = oneOf<std::string>({"limit", "limit", "reject", "reject", "leave", "crash", "touch", "kill", "pause", "store"});
        ++m_counts[kind];
        if (kind == "limit") {
            target(id, {{"mode", "request-limit"}, {"perSecond", oneOf<std::string>({"0.5", "1", "2", "5", ""})}, {"onlyRuns", between(0, 1) == 1}});
        } else if (kind == "reject") {
            target(id, {{"mode", "reject"}, {"retryAfter", oneOf<std::string>({"0.3", "1", "2.5", "3"})}});
            m_rejectsUntil[id] = m_site.loop().now() + Duration::millis(between(100, 3000));
        } else if (kind == "leave") {
            target(id, {{"mode", "announce-leaving"}});
        } else if (kind == "crash") {
            target(id, {{"mode", "crash"}, {"downMs", between(100, 600)}, {"sameId", between(0, 1) == 1}});
        } else if (kind == "touch") {
            target(id, {{"mode", "touch"}});
        } else if (kind == "store") {
            m_site.platform({{"part", "store"}, {"mode", "busy"}});
            m_storeUntil = m_site.loop().now() + Duration::millis(between(300, 2500));
        } else {
            const auto gateway = "gw-" + std::to_string(between(1, Gateways));
            if (m_disturbedUntil.contains(gateway)) {
                return;
            }
            m_excused[gateway].push_back({now(), INT64_MAX});
            m_site.process(gateway).send(kind == "kill" ? SIGKILL : SIGSTOP);
            m_isKilled[gateway] = kind == "kill";
            m_disturbedUntil[gateway] = m_site.loop().now() + Duration::millis(between(200, 1500));
        }
    }
    auto restore(bool all) -> void
    {
        const auto isDue = [&](TimePoint at) {
            return all || m_site.loop().now() >= at;
        };
        std::erase_if(m_rejectsUntil, [&](const auto &rejects) {
            if (isDue(rejects.second)) {
                target(rejects.first, {{"mode", "well"}});
            }
            return isDue(rejects.second);
        });
        std::erase_if(m_disturbedUntil, [&](const auto &disturbed) {
            if (!isDue(disturbed.second)) {
                return false;
            }
            if (m_isKilled[disturbed.first]) {
                m_site.waitForExit(disturbed.first);
                m_site.start(disturbed.first);
            } else {
                m_site.process(disturbed.first).send(SIGCONT);
            }
            m_excused[disturbed.first].back().second = now() + ExcuseMillis;
            return true;
        });
        if (m_storeUntil && isDue(*m_storeUntil)) {
            m_storeUntil.reset();
            m_site.platform({{"part", "store"}, {"mode", "up"}});
        }
    }
    /// Whether the gateway was disturbed, or soon after that, at any moment of the time span.
    auto isExcused(const std::string &gateway, std::int64_t from, std::int64_t to) const -> bool
    {
        const auto found = m_excused.find(gateway);
        return found != m_excused.end()
            && std::any_of(found->second.begin(), found->second.end(), [&](const auto &span) { return span.first <= to && span.second >= from; });
    }
    auto checkAll() -> void
    {
        const auto truth = m_site.truth();
        for (const auto &[id, target] : truth["runners"].items()) {
            for (const auto &start : startsOf(id, target["events"])) {
                INFO(start.name);
                checkLimits(start);
                checkPauses(start);
                checkLeaving(start);
            }
        }
    }
    auto checkLimits(const TargetStart &start) -> void
    {
        for (const auto &limit : start.limits) {
            std::vector<std::int64_t> times;
            for (const auto &arrival : start.arrivals) {
                const bool isBound = limit.announcedAt && arrival.at >= *limit.announcedAt + LimitNoticeMillis && arrival.at < limit.to;
                if (isBound && !isExcused(arrival.gateway, limit.from, arrival.at)) {
                    times.push_back(arrival.at);
                }
            }
            m_limitedArrivals += times.size();
            for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[first] <= times[last] - WindowMillis) {
                    ++first;
                }
                INFO("limit " << limit.perSecond << " from " << limit.from << ", window until " << times[last]);
                REQUIRE(static_cast<double>(last - first + 1) <= limit.perSecond * WindowMillis / 1000 * 1.5 + 5);
            }
        }
    }
    auto checkPauses(const TargetStart &start) const -> void
    {
        for (const auto &pause : start.pauses) {
            const auto isEarly = [&](const Arrival &arrival) {
                return arrival.gateway == pause.gateway && arrival.at >= pause.at + PauseGraceMillis && arrival.at < pause.to
                    && !isExcused(arrival.gateway, pause.at, arrival.at);
            };
            INFO(pause.gateway << " was asked at " << pause.at << " to send nothing until " << pause.to);
            REQUIRE(std::count_if(start.arrivals.begin(), start.arrivals.end(), isEarly) <= 2);
        }
    }
    auto checkLeaving(const TargetStart &start) const -> void
    {
        for (const auto &[gateway, since] : start.knowsLeaving) {
            const auto isLate = [&, since = since, gateway = gateway](const Arrival &arrival) {
                return arrival.gateway == gateway && arrival.at > since + LeavingNoticeMillis && !isExcused(gateway, since, arrival.at);
            };
            INFO(gateway << " knows since " << since << " that the target leaves");
            REQUIRE(std::none_of(start.arrivals.begin(), start.arrivals.end(), isLate));
        }
    }
    /// After the faults and a restart of all targets, requests of every kind are served by every gateway.
    auto checkServing() -> void
    {
        restore(true);
        for (const auto &id : Targets) {
            target(id, {{"mode", "crash"}, {"downMs", 200}, {"sameId", true}});
        }
        for (int gateway = 1; gateway <= Gateways; ++gateway) {
            m_site.waitFor("gateway " + std::to_string(gateway), [&] {
                return m_site.isReady(gateway) && m_site.call(gateway, {.path = "/read/x", .attempt = "gw-0/" + std::to_string(++m_serial)})->status == 200;
            });
            m_site.waitFor("a stream at gateway " + std::to_string(gateway), [&] {
                return m_site
                    .call(gateway, {.path = "/chat/x", .method = "POST", .attempt = "gw-0/" + std::to_string(++m_serial), .model = "m1", .body = "prompt"})
                    ->isWhole();
            });
        }
    }

    std::mt19937_64 m_random;
    Site m_site {{.gateways = Gateways, .runners = 2, .instances = 2, .models = 1}};
    std::vector<ReplyPtr> m_replies;
    std::uint64_t m_serial = 0;
    std::map<std::string, int> m_counts; ///< faults, by kind
    std::size_t m_limitedArrivals = 0; ///< requests that were held against a limit
    std::map<std::string, TimePoint> m_rejectsUntil; ///< by target
    std::map<std::string, TimePoint> m_disturbedUntil; ///< by gateway
    std::map<std::string, bool> m_isKilled; ///< by gateway: killed, else stopped
    std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> m_excused; ///< by gateway, by the fake platform's clock
    std::optional<TimePoint> m_storeUntil;
};

} // namespace

TEST_CASE("targets' announced limits, pauses and leaving hold under random faults")
{
    // Guards against announcements that hold only while nothing else happens: restarts of targets and gateways, suspended gateways, outages of the store.
    std::vector<std::uint64_t> seeds {1, 12}; // 12: rows that are left behind kept a model from being loaded
    if (const char *text = std::getenv("KINGCUP_SEEDS")) {
        char *rest = nullptr;
        const auto first = std::strtoull(text, &rest, 10);
        const auto last = *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first;
        seeds.resize(last - first + 1);
        std::iota(seeds.begin(), seeds.end(), first);
    }
    for (const auto seed : seeds) {
        INFO("to repeat this run: KINGCUP_SEEDS=" << seed);
        std::cout << "seed " << seed << ": " << TargetRun(seed).run() << std::endl;
    }
}
