// System tests of gateways as real processes on fakes of the users' platform: requests, no two alike, with a part in their prompts that crashes each runner.
#include "tests/harness_crashes.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

using namespace KingCup;

namespace
{

constexpr int Gateways = 4;
constexpr int Runners = 8;
constexpr std::size_t Fifth = 5;
constexpr auto Step = Duration::millis(125); ///< between two sound requests
constexpr int SoundBefore = 24;
constexpr int Steps = 140; ///< from the first deadly request on
/// From this time after the fifth crash on, sound requests with the same first part are served at least half as often as before.
constexpr auto RecoveryTime = Duration::seconds(6);

struct Play {
    const char *name;
    bool isSilent = false;
    bool isAfterHead = false;
    int soundPerDeadly = 2; ///< for each request with a deadly part, so many without
    std::vector<std::string> before {}; ///< parts in front of the deadly one, besides the first part that all requests share
    bool isFirst = false; ///< the deadly part is the first one
    bool hasTwoParts = false; ///< two deadly parts in turn
    bool areGatewaysKilled = false;
    bool areAllKilled = false;
};

struct Sent {
    ReplyPtr reply;
    Duration at;
};

class PartSite : public Site
{
public:
    explicit PartSite(const Play &play)
        : Site({.gateways = Gateways, .runners = Runners, .instances = 1, .models = 2})
        , m_play(play)
    {
        platform({{"part", "runner"},
                  {"mode", "crash-on"},
                  {"parts", {"dead", "bad"}},
                  {"afterMs", 40},
                  {"downMs", 2000},
                  {"keepsModels", true},
                  {"silent", play.isSilent},
                  {"afterHead", play.isAfterHead}});
    }
    /// Time of the fakes.
    auto now() -> Duration
    {
        return Duration::millis(truth()["runners"]["r1"]["now"].get<std::int64_t>());
    }
    auto sendSound() -> ReplyPtr
    {
        ++m_sent;
        return begin(gateway(), request("aa:40,c" + std::to_string(m_sent % 5) + ":30,ff" + std::to_string(m_sent) + ":30"));
    }
    auto sendDeadly() -> ReplyPtr
    {
        ++m_sent;
        std::string prompt = m_play.isFirst ? "" : "aa:40,";
        for (const auto &part : m_play.before) {
            prompt += part + std::to_string(m_sent % 3) + ":20,";
        }
        prompt += std::string(m_play.hasTwoParts && m_sent % 2 == 0 ? "bad" : "dead") + ":30,c" + std::to_string(m_sent % 5) + ":30,ff" + std::to_string(m_sent)
            + ":30";
        return begin(gateway(), request(prompt));
    }
    auto killGateway(int gateway) -> void
    {
        const auto id = "gw-" + std::to_string(gateway);
        process(id).send(SIGKILL);
        waitForExit(id);
        start(id);
    }

private:
    auto gateway() const -> int
    {
        return 1 + m_sent % Gateways;
    }
    auto request(const std::string &prompt) const -> RequestOptions
    {
        RequestOptions options {.path = "/chat/" + std::to_string(m_sent), .method = "POST", .model = m_sent % 2 == 0 ? "m1" : "m2", .prompt = prompt};
        if (m_sent % 3 == 0) {
            options.path = "/tell/" + std::to_string(m_sent);
        }
        options.body = "body " + std::to_string(m_sent);
        return options;
    }

    Play m_play;
    int m_sent = 0;
};

auto served(const std::vector<Sent> &sent, Duration from) -> std::pair<int, int>
{
    int all = 0;
    int whole = 0;
    for (const auto &request : sent) {
        if (request.at >= from) {
            ++all;
            whole += request.reply->isWhole() ? 1 : 0;
        }
    }
    return {whole, all};
}

auto repliesOf(const std::vector<Sent> &sent) -> std::vector<ReplyPtr>
{
    std::vector<ReplyPtr> replies;
    std::transform(sent.begin(), sent.end(), std::back_inserter(replies), [](const Sent &request) { return request.reply; });
    return replies;
}

} // namespace

TEST_CASE("requests with a part in their prompts that crashes runners are rejected, and sound ones with their other parts are served")
{
    // Guards against requests that are all different and crash one runner after the other, and against blaming the parts that innocent requests share.
    const auto play = GENERATE(values<Play>({
        {.name = "reset, middle"},
        {.name = "silent, middle", .isSilent = true},
        {.name = "reset after the head, third of several", .isAfterHead = true, .before = {"d"}},
        {.name = "reset, first", .isFirst = true},
        {.name = "reset, few, fourth of several", .soundPerDeadly = 6, .before = {"d", "e"}},
        {.name = "two parts", .hasTwoParts = true},
        {.name = "two gateways start again", .areGatewaysKilled = true},
        {.name = "all gateways start again", .areAllKilled = true},
    }));
    PartSite site(play);
    std::vector<Sent> before;
    for (int i = 0; i < SoundBefore; ++i) {
        before.push_back({site.sendSound(), Duration()});
        site.sleep(Step);
    }
    std::vector<Sent> sound;
    std::vector<Sent> deadly;
    for (int i = 0; i < Steps; ++i) {
        if (i % play.soundPerDeadly == 0) {
            deadly.push_back({site.sendDeadly(), site.now()});
        }
        sound.push_back({site.sendSound(), site.now()});
        if (i == Steps / 2 && (play.areGatewaysKilled || play.areAllKilled)) {
            for (int gateway = 1; gateway <= (play.areAllKilled ? Gateways : 2); ++gateway) {
                site.killGateway(gateway);
            }
            site.waitFor("the gateways", [&] { return site.isReady(1) && site.isReady(2) && site.isReady(3) && site.isReady(4); });
        }
        site.sleep(Step);
    }
    waitForAnswers(site, repliesOf(before));
    waitForAnswers(site, repliesOf(sound));
    waitForAnswers(site, repliesOf(deadly));
    Duration from;
    for (const std::string part : {"dead", "bad"}) {
        if (part == "bad" && !play.hasTwoParts) {
            continue;
        }
        const auto arrivals = crashMoments(site, CrashRecord::Arrival, part);
        const auto runs = crashMoments(site, CrashRecord::RunEnd, part);
        const auto targets = crashMoments(site, CrashRecord::TargetCrash, part);
        INFO(play.name << ", " << part << ": " << targets.size() << " runners crashed, " << runs.size() << " runs ended, " << arrivals.size() << " arrivals of "
                       << deadly.size());
        REQUIRE_FALSE(targets.empty());
        CHECK(lateMoments(arrivals, runs, Fifth) <= MaxLateRuns);
        CHECK(lateMoments(arrivals, targets, Fifth) <= MaxLateRuns);
        from = std::max(from, targets[std::min(targets.size(), Fifth) - 1] + RecoveryTime);
    }
    const auto [servedBefore, sentBefore] = served(before, Duration());
    const auto [servedAfter, sentAfter] = served(sound, from);
    INFO(play.name << ": sound served " << servedBefore << " of " << sentBefore << " before, " << servedAfter << " of " << sentAfter << " after");
    CHECK(servedBefore == sentBefore);
    CHECK(servedAfter * 2 * sentBefore >= servedBefore * sentAfter);
}
