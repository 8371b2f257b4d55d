// Request limits that targets announce in their answers: how many requests a second a target accepts from all gateways together. No I/O.
//
// A limit is in force for as long as the target's answers carry it. Answers may arrive in another order than they were given, so an answer without a limit
// ends it only if its request was sent after the last announcement. Gateways notify each other of changes, since few of them get an answer of a target that
// accepts few requests; of two notices, the one with the more recent answer counts.
//
// Index of sections (search for [SECTION]):
//   Notices           what gateways notify each other of
//   AnnouncedLimits   the limit of each target
#pragma once

#include "core/targetinfo.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <vector>

namespace KingCup
{

// [SECTION] Notices

struct LimitNotice {
    TargetIncarnation target;
    std::optional<double> perSecond; ///< nothing: the target has ended its limit
    Duration age; ///< since the answer that showed this
};

// [SECTION] AnnouncedLimits

struct AnnouncedLimitOptions {
    Duration lifetime = Duration::seconds(3600); ///< a limit is dropped after this time without a further announcement: its target is gone
    Duration endedLifetime = Duration::seconds(10); ///< the end of a limit is remembered for this long: an older notice may still arrive
};

class AnnouncedLimits
{
public:
    explicit AnnouncedLimits(AnnouncedLimitOptions options = {});

    // Queries
    /// Requests a second that the target accepts from all gateways together; nothing: no limit is in force.
    auto perSecond(const TargetIncarnation &target) const -> std::optional<double>;
    auto notices(TimePoint now) const -> std::vector<LimitNotice>; ///< everything known, for a gateway that knows nothing yet

    // Commands
    /// An answer to a request that was sent at `sentAt`, and the limit that it carries. True if this changes what is known, so that the others must be
    /// notified.
    auto answerReceived(const TargetIncarnation &target, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> bool;
    /// Another gateway's notice. True if it changes what is known.
    auto noticeReceived(const LimitNotice &notice, TimePoint now) -> bool;
    auto expire(TimePoint now) -> void; ///< call from time to time

private:
    struct Announcement {
        std::optional<double> perSecond; ///< nothing: ended
        TimePoint at; ///< of the answer that showed this
    };

    AnnouncedLimitOptions m_options;
    std::map<TargetIncarnation, Announcement> m_limits;
};

} // namespace KingCup
