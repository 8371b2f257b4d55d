// When a gateway reads and writes the copy of the crash records (core/crashrepeats.h) in the store. The copy is needed only if all gateways end at once:
// otherwise a gateway that starts gets the records from the others. No I/O.
//
// A gateway can't know whether the others have ended too, so each one reads the copy once when it starts, and serves no request before. Afterwards only the
// gateway that ranks first among those that are live uses the copy, since calls to the store are metered. It reads the copy again when it becomes the first
// one, and writes its records whenever those that all gateways have in common have changed. Two gateways that both rank first for a while write about the same.
#pragma once

#include "core/units.h"

#include <cstdint>
#include <set>
#include <string>

namespace KingCup
{

struct CrashArchiveOptions {
    Duration maxStartDelay = Duration::millis(500); ///< a gateway whose store doesn't reply within this time serves requests without the copy
    /// After its start or a change of the first gateway, the other gateways are known after this time.
    Duration settleTime = Duration::millis(1500);
    Duration writePeriod = Duration::millis(500); ///< minimum time between two writes
    Duration retryPeriod = Duration::millis(1000); ///< after a call that failed
    Duration startRetryPeriod = Duration::millis(100); ///< the same until the copy has been read once
};

enum class ArchiveCall { None, Read, Write };

class CrashArchive
{
public:
    /// `self`: id of this gateway.
    CrashArchive(std::string self, TimePoint now, CrashArchiveOptions options = {});

    auto isStarting(TimePoint now) const -> bool; ///< the copy hasn't been read since the start: what crashes targets may not be known

    auto setGateways(const std::set<std::string> &live, TimePoint now) -> void; ///< the other gateways that are live
    /// The call to make now. `checksum`: of the records that all gateways have in common, 0 for none.
    auto next(std::uint64_t checksum, TimePoint now) -> ArchiveCall;
    /// `checksum`: of the records that the copy holds now; 0: it doesn't exist.
    auto readDone(bool isDone, std::uint64_t checksum, TimePoint now) -> void;
    auto writeDone(bool isDone, std::uint64_t checksum, TimePoint now) -> void;

private:
    std::string m_self;
    CrashArchiveOptions m_options;
    TimePoint m_startedAt;
    bool m_hasStarted = false; ///< the copy has been read since the start
    bool m_isFirst = true;
    TimePoint m_firstSince;
    bool m_isRead = false;
    bool m_isCalling = false;
    std::uint64_t m_written = 0; ///< checksum of the copy's records
    TimePoint m_notBefore; ///< the next call
};

} // namespace KingCup
