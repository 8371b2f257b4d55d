// The gateways that watch the store are lost together, at real processes: the others learn of changes within the promised time.
#include "tests/harness_gateways.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <set>

using namespace KingCup;

namespace
{

constexpr int Gateways = 8;
constexpr auto Bound = Duration::millis(2000); ///< for declarations and for targets that leave, after the store's acknowledgement

/// The gateways that watch the store, by their last log line on it.
auto watchers(Site &site) -> std::set<int>
{
    std::set<int> result;
    for (int gateway = 1; gateway <= Gateways; ++gateway) {
        const auto log = site.process("gw-" + std::to_string(gateway)).log();
        const auto begun = log.rfind("part=store event=watching");
        const auto ended = log.rfind("part=store event=following");
        if (begun != std::string::npos && (ended == std::string::npos || ended < begun)) {
            result.insert(gateway);
        }
    }
    return result;
}

/// Waits until the same three gateways have watched for a while: after a start others may take over.
auto settledWatchers(Site &site) -> std::set<int>
{
    constexpr auto SettledTime = Duration::seconds(2);
    std::set<int> found;
    auto since = site.loop().now();
    site.waitFor("three watchers", [&] {
        const auto current = watchers(site);
        since = current == found ? since : site.loop().now();
        found = current;
        return found.size() == 3 && site.loop().now() - since >= SettledTime;
    });
    return found;
}

/// Sends a request every few milliseconds to each gateway that isn't lost, and notes when one was last answered in the old way.
class Probe
{
public:
    Probe(Site &site, const std::set<int> &lost, RequestOptions request, std::function<bool(const Reply &)> isOld)
        : m_site(site)
        , m_request(std::move(request))
        , m_isOld(std::move(isOld))
    {
        for (int gateway = 1; gateway <= Gateways; ++gateway) {
            if (!lost.contains(gateway)) {
                m_gateways.push_back(gateway);
            }
        }
    }
    /// Time from now until the last request is sent that is answered in the old way.
    auto run(Duration span) -> Duration
    {
        constexpr auto Pause = Duration::millis(20);
        const auto begin = m_site.loop().now();
        std::vector<std::pair<Duration, ReplyPtr>> sent;
        while (m_site.loop().now() - begin < span) {
            for (const int gateway : m_gateways) {
                sent.emplace_back(m_site.loop().now() - begin, m_site.begin(gateway, m_request));
            }
            m_site.sleep(Pause);
        }
        Duration last;
        for (const auto &[at, reply] : sent) {
            m_site.waitFor("an answer", [&, held = reply] { return held->done; });
            last = m_isOld(*reply) ? std::max(last, at) : last;
        }
        return last;
    }

private:
    Site &m_site;
    RequestOptions m_request;
    std::function<bool(const Reply &)> m_isOld;
    std::vector<int> m_gateways;
};

} // namespace

TEST_CASE("a changed declaration is in force in time although the store has silently stopped answering its watchers")
{
    // Guards against gateways that take the silence of the gateways that watch the store for "nothing has changed".
    Site site({.gateways = Gateways, .runners = 1, .instances = 2, .models = 1});
    const auto lost = settledWatchers(site);
    for (const int gateway : lost) {
        site.link("store:gw-" + std::to_string(gateway), "freeze");
    }
    site.sleep(Duration::millis(100));
    site.platform({{"part", "operator"}, {"change", "add-route"}});
    Probe probe(site, lost, {.path = "/extra/x"}, [](const Reply &reply) { return reply.status == 404; });
    const auto last = probe.run(Duration::seconds(5));
    std::cout << "system_lostwatchers: the last request without the new route was sent " << last.inMillis() << " ms after the change\n";
    CHECK(last < Bound);
}

TEST_CASE("a target that leaves unannounced gets no late requests although the gateways that watch the store have just been killed")
{
    // Guards against gateways that take the loss of the gateways that watch the store for an outage of the store, in which rows of live targets disappear.
    Site site({.gateways = Gateways, .runners = 1, .instances = 3, .models = 1});
    const auto lost = settledWatchers(site);
    for (const int gateway : lost) {
        site.process("gw-" + std::to_string(gateway)).send(SIGKILL);
    }
    site.sleep(Duration::millis(200));
    site.platform({{"part", "runner"}, {"id", "p1"}, {"mode", "leave"}}); // it goes on serving
    Probe probe(site, lost, {.path = "/read/x"}, [](const Reply &reply) { return reply.body.starts_with("done by p1"); });
    const auto last = probe.run(Duration::seconds(5));
    std::cout << "system_lostwatchers: the last request to the target that left was sent " << last.inMillis() << " ms after its row was removed\n";
    CHECK(last < Bound);
    CHECK(last > Duration::millis(20));
}
