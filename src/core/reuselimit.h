// How long a pooled connection may have been idle before a request that must not run twice gets a new connection instead. No I/O.
//
// A target may drop an idle connection without notice. The next request on it is then reset, and it is unknown whether the request ran. If it must not run
// twice, it can't be retried, and its caller gets an error although the target is healthy. So such a request uses a pooled connection only if the connection
// was used recently. A new connection costs the target a millisecond and one of its few hundred connection slots, and the request a round trip. With a limit of
// three seconds, four requests in ten open a new connection; with eight seconds it is three in ten, without more failures. If a target drops connections that
// were idle for less than eight seconds, the next request is reset at once, and the limit is reduced for a while.
#pragma once

#include "core/units.h"

namespace KingCup
{

struct ReuseLimitOptions {
    Duration defaultLimit = Duration::seconds(8); ///< long enough that a target with a request every few seconds keeps its connection
    Duration reducedLimit = Duration::seconds(3); ///< no target is known to drop a connection sooner
    Duration reducedFor = Duration::seconds(30); ///< how long the limit stays reduced after a reset that looks like a dropped connection
    Duration maxResetDelay = Duration::millis(12); ///< a dropped connection resets within a round trip between zones; a run that fails mostly takes longer
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
    /// A request failed without any answer on a pooled connection that had been idle for `idleBefore`; `after` is the time since the request was sent.
    /// Returns true if this reduces the limit.
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
