#include "tests/harness_crashes.h"

#include <algorithm>

namespace KingCup
{

namespace
{

auto keyOf(CrashRecord what) -> const char *
{
    switch (what) {
    case CrashRecord::Arrival:
        return "arrivals";
    case CrashRecord::RunEnd:
        return "ends";
    case CrashRecord::TargetCrash:
        break;
    }
    return "crashes";
}

} // namespace

auto crashMoments(Site &site, CrashRecord what, const std::string &cause) -> std::vector<Duration>
{
    std::vector<Duration> moments;
    const auto truth = site.truth();
    for (const auto &[id, runner] : truth["runners"].items()) {
        if (!runner["deadly"].contains(cause)) {
            continue;
        }
        for (const auto &at : runner["deadly"][cause][keyOf(what)]) {
            moments.push_back(Duration::millis(at.get<std::int64_t>()));
        }
    }
    std::sort(moments.begin(), moments.end());
    return moments;
}

auto lateMoments(const std::vector<Duration> &moments, const std::vector<Duration> &ends, std::size_t number) -> std::size_t
{
    if (ends.size() < number) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(moments.begin(), moments.end(), [&](Duration at) { return at > ends[number - 1] + NoticeTime; }));
}

auto statuses(const std::vector<ReplyPtr> &replies) -> std::string
{
    std::string text;
    for (const auto &reply : replies) {
        text += std::to_string(reply->status) + " ";
    }
    return text;
}

auto waitForAnswers(Site &site, const std::vector<ReplyPtr> &replies) -> void
{
    site.waitFor("the answers", [&] { return std::all_of(replies.begin(), replies.end(), [](const ReplyPtr &reply) { return reply->done; }); });
}

} // namespace KingCup
