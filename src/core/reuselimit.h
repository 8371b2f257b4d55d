// How long a kept connection may have been idle to get a request that must not run twice. Pure.
//
// A target may drop an idle connection without notice; the next request there is reset, and nobody knows whether it ran: if it must not run
// twice, its caller gets a failure for a target that is sound. So such a request goes on a fresh connection unless the kept one was used of
// late. Each fresh one costs the target a millisecond, a place of its few hundred, and a round trip before the request: held to three seconds,
// four requests in ten opened one; held to eight, three in ten, with no more failures. Where targets drop connections sooner than that, one
// notices by a reset that comes back at once, and the limit is short again for a while.
#pragma once

#include "core/units.h"

namespace KingCup
{

struct ReuseLimitOptions {
    Duration defaultLimit = Duration::seconds(8); ///< a target that gets a request every few seconds keeps its connection
    Duration reducedLimit = Duration::seconds(3); ///< no target was seen to drop a connection sooner
    Duration reducedFor = Duration::seconds(30); ///< after a reset that a dropped connection explains
    Duration maxResetDelay = Duration::millis(12); ///< a dropped connection answers within a round trip between zones, a broken run mostly later
};

class ReuseLimit
{
public:
    explicit ReuseLimit(ReuseLimitOptions options = {})
        : m_options(options)
    {
    }

    // Queries
    auto limit(TimePoint now) const -> Duration
    {
        return now < m_reducedUntil ? m_options.reducedLimit : m_options.defaultLimit;
    }

    // Commands
    /// A request on a kept connection ended `after` it was sent, without any answer. True if that makes the limit short.
    auto connectionBroke(Duration idleBefore, Duration after, TimePoint now) -> bool
    {
        const bool wasDropped = idleBefore >= m_options.reducedLimit && after <= m_options.maxResetDelay;
        const bool isNew = wasDropped && now >= m_reducedUntil;
        m_reducedUntil = wasDropped ? now + m_options.reducedFor : m_reducedUntil;
        return isNew;
    }

private:
    ReuseLimitOptions m_options;
    TimePoint m_reducedUntil;
};

} // namespace KingCup
