// Request limits that targets announce in their answers: how many requests a second a target accepts from all gateways together. No I/O.
//
// A limit is in force for as long as the target's answers carry it. Answers may arrive in another order than they were given, so an answer without a limit
// ends it only if its request was sent after the last announcement.
//
// Index of sections (search for [SECTION]):
//   Options           lifetimes
//   AnnouncedLimits   the limit of each target
#pragma once

#include "core/targetinfo.h"
#include "core/units.h"

#include <map>
#include <optional>

namespace KingCup
{

// [SECTION] Options

struct AnnouncedLimitOptions {
    Duration lifetime = Duration::seconds(3600); ///< a limit is dropped after this time without a further announcement: its target is gone
};

// [SECTION] AnnouncedLimits

class AnnouncedLimits
{
public:
    explicit AnnouncedLimits(AnnouncedLimitOptions options = {});

    // Queries
    /// Requests a second that the target accepts from all gateways together; nothing: it has announced no limit.
    auto perSecond(const TargetIncarnation &target) const -> std::optional<double>;

    // Commands
    /// An answer to a request that was sent at `sentAt`, and the limit that it carries. True if the target's limit has changed.
    auto answerReceived(const TargetIncarnation &target, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> bool;
    auto expire(TimePoint now) -> void; ///< call from time to time

private:
    struct Announcement {
        double perSecond = 0;
        TimePoint at; ///< of the last answer that carried it
    };

    AnnouncedLimitOptions m_options;
    std::map<TargetIncarnation, Announcement> m_limits;
};

} // namespace KingCup
