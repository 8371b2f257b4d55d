// Requests that crash the targets which run them, for system tests of gateways: when they ran, as the fakes saw it.
#pragma once

#include "tests/harness_gateways.h"

#include <cstddef>
#include <string>
#include <vector>

namespace KingCup
{

/// Time after the third crash within which every gateway knows of it.
inline constexpr auto NoticeTime = Duration::seconds(3);
/// Runs that may begin later than NoticeTime after the third crash.
inline constexpr std::size_t MaxLateRuns = 3;

/// What a fake records of requests that crash it.
enum class CrashRecord {
    Arrival, ///< a copy reached a target, also if the target rejected it
    RunEnd, ///< a copy's run ended in a crash: several may end with one target
    TargetCrash,
};

/// The moments of all targets, in order, since the start of the fakes. `cause`: the deadly part of the requests' prompts, or "body".
auto crashMoments(Site &site, CrashRecord what, const std::string &cause = "body") -> std::vector<Duration>;
/// The `moments` later than NoticeTime after the third of the `ends`, or another number of them.
auto lateMoments(const std::vector<Duration> &moments, const std::vector<Duration> &ends, std::size_t number = 3) -> std::size_t;
auto statuses(const std::vector<ReplyPtr> &replies) -> std::string;
auto waitForAnswers(Site &site, const std::vector<ReplyPtr> &replies) -> void;

} // namespace KingCup
