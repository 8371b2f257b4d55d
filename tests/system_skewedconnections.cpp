// System tests of gateways as real processes on fakes of the users' platform: a load balancer that gives most new connections to one gateway.
#include "tests/harness_gateways.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

using namespace KingCup;

namespace
{

constexpr int Gateways = 4;
constexpr auto Step = Duration::millis(16); ///< between two requests
constexpr auto BeforeTime = Duration::seconds(6);
constexpr auto SkewTime = Duration::seconds(12);
constexpr auto SettleTime = Duration::seconds(3); ///< the first moments of the skew aren't checked
constexpr int TenthsAtOne = 9;
constexpr auto WarmupTime = Duration::seconds(2); ///< until every gateway knows the targets' limits
constexpr const char *LimitPerSecond = "16"; ///< of each target, two thirds of which the load takes
constexpr double MinShare = 0.75; ///< of the served share before

struct Play {
    const char *name;
    bool hasLimits = false; ///< runners announce how many requests a second they accept
    bool hasCrashes = false; ///< runners end and start again meanwhile
    bool isMoved = false; ///< the gateway that gets most connections ends, and another one gets them
};

struct Sent {
    ReplyPtr reply;
    TimePoint at;
    int gateway = 0;
};

/// Each request has a connection of its own. One that is refused, or closed unread, is sent again to another gateway.
class SkewSite : public Site
{
public:
    explicit SkewSite(const Play &play)
        : Site({.gateways = Gateways, .runners = 4, .instances = 2, .models = 2})
        , m_play(play)
    {
        if (play.hasLimits) {
            for (const auto *target : {"r1", "r2", "r3", "r4", "p1", "p2"}) {
                platform({{"part", "runner"}, {"id", target}, {"mode", "request-limit"}, {"perSecond", LimitPerSecond}});
            }
        }
    }
    /// `main`: the gateway that gets most connections; 0: none does.
    auto load(Duration time, int main) -> std::vector<Sent>
    {
        std::vector<Sent> sent;
        const auto start = loop().now();
        bool isDisturbed = main == 0;
        while (loop().now() < start + time) {
            if (!isDisturbed && loop().now() >= start + Duration::millis(time.inMillis() / 2)) {
                isDisturbed = true;
                disturb(main);
            }
            ++m_sent;
            const int gateway = main != 0 && m_sent % 10 < TenthsAtOne ? main : 1 + m_sent % Gateways;
            sent.push_back({begin(gateway, request(m_sent)), loop().now(), gateway});
            resendUnread(sent);
            sleep(Step);
        }
        waitFor("the answers", [&] {
            resendUnread(sent);
            return std::all_of(sent.begin(), sent.end(), [](const Sent &request) { return request.reply->done; });
        });
        return sent;
    }

private:
    auto resendUnread(std::vector<Sent> &sent) -> void
    {
        for (auto &request : sent) {
            if (request.reply->done && request.reply->end == CallEnd::NotSent) {
                request.gateway = request.gateway % Gateways + 1;
                request.reply = begin(request.gateway, this->request(++m_sent));
            }
        }
    }
    auto disturb(int &main) -> void
    {
        if (m_play.hasCrashes) {
            platform({{"part", "runner"}, {"id", "r1"}, {"mode", "crash"}, {"downMs", 1500}, {"keepsModels", true}});
        }
        if (m_play.isMoved) {
            process("gw-" + std::to_string(main)).send(SIGTERM);
            main = main % Gateways + 1;
        }
    }
    static auto request(int number) -> RequestOptions
    {
        RequestOptions options {.path = "/read/" + std::to_string(number), .isNewConnection = true};
        if (number % 3 != 0) {
            options.path = (number % 3 == 1 ? "/chat/" : "/tell/") + std::to_string(number);
            options.method = "POST";
            options.model = number % 2 == 0 ? "m1" : "m2";
            options.prompt = "aa:40,c" + std::to_string(number % 5) + ":30,ff" + std::to_string(number) + ":30";
            options.body = "body " + std::to_string(number);
        }
        return options;
    }

    Play m_play;
    int m_sent = 0;
};

auto servedShare(const std::vector<Sent> &sent, TimePoint from) -> double
{
    int all = 0;
    int whole = 0;
    for (const auto &request : sent) {
        if (request.at >= from) {
            ++all;
            whole += request.reply->isWhole() ? 1 : 0;
        }
    }
    return all == 0 ? 0.0 : static_cast<double>(whole) / all;
}

} // namespace

TEST_CASE("requests are served as before while a load balancer gives most new connections to one gateway")
{
    // Guards against shares of limits, permits and retries that assume the same load at each gateway.
    const auto play = GENERATE(values<Play>({
        {.name = "calm"},
        {.name = "targets announce limits", .hasLimits = true},
        {.name = "a target crashes", .hasCrashes = true},
        {.name = "the gateway stops and another one gets most", .isMoved = true},
        {.name = "limits and a crash", .hasLimits = true, .hasCrashes = true},
    }));
    SkewSite site(play);
    site.load(WarmupTime, 0);
    const auto before = site.load(BeforeTime, 0);
    const auto start = site.loop().now();
    const auto during = site.load(SkewTime, 1);
    const double shareBefore = servedShare(before, TimePoint());
    const double shareDuring = servedShare(during, start + SettleTime);
    INFO(play.name << ": " << shareBefore << " served before, " << shareDuring << " while most connections go to one gateway");
    CHECK(shareBefore >= 0.9);
    CHECK(shareDuring >= MinShare * shareBefore);
}
