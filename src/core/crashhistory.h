// What is known of one suspect (core/crashsubjects.h): the ends of targets while they ran requests with it, and the probes. It says when the next probe may be
// run. No I/O.
//
// An end is identified by the target's start and holds the runs that were in flight there: copies of a request, or requests that share a prompt part, which end
// together with one target are several runs, and two gateways report each their own. Histories are merged by union, and a withdrawal outlives what it
// withdraws, so messages may be lost, repeated and reordered.
//
// Ends alone can't tell a suspect that crashes targets from one that was in flight when they crashed for another reason, such as a part that all requests with
// the deadly part have too. A probe can: one run of a request with the suspect, while no other one runs.
//
// Index of sections (search for [SECTION]):
//   Limits        counts and times
//   Events        what gateways send each other
//   CrashHistory  the events of one suspect
#pragma once

#include "core/crashsubjects.h"
#include "core/targetinfo.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Limits

struct CrashLimits {
    /// Runs, and targets, whose ends make a suspect one that crashes targets; the smallest number that two unrelated crashes don't reach.
    std::size_t endsToBar = 3;
    std::size_t endsToDoubt = 2; ///< targets from which on a suspect may explain the ends of another one
    Duration earlyProbeDelay = Duration::millis(1000); ///< below the limit: time before a further probe, since the last end or probe; the first has no delay
    /// From the limit on: time before each probe, since the last end or probe. Fewer targets than the limit, or ends within `outageSpan`, suggest an outage,
    /// after which callers mustn't wait: then there is one probe more, at once. Three further runs are promised at most.
    std::vector<Duration> probeDelays {Duration::seconds(5), Duration::seconds(10)};
    /// Probes that may be sent before one succeeds. Ends may become known late or never, for instance if a gateway ends with its runs, so the limit may be
    /// reached later than it was exceeded. Then probes that were granted below it are among the further runs.
    std::size_t maxRequestProbes = 3;
    std::size_t maxPartProbes = 5; ///< the same for prompt parts, of which five ends are allowed before the further runs
    /// Within this time after the limit was reached, probes without a result (ProbeContext::inVain) don't count: the promise holds for later runs only.
    Duration noticeTime = Duration::seconds(2);
    Duration outageSpan = Duration::millis(1000); ///< between the first end and the one that led to the rejection
    Duration maxProbeRun = Duration::seconds(3); ///< after its grant, the next probe isn't delayed any more by one whose end isn't reported
    /// An outage: more targets than these ended within the last `outageTime` while the suspect wasn't in flight there.
    std::size_t outageTargets = 5;
    Duration outageTime = Duration::seconds(5);
    std::size_t outageProbes = 3; ///< in progress at once during an outage, below the limit
    std::size_t maxIsolatingProbes = 3; ///< of one suspect, in vain or not
    std::size_t maxEvents = 32; ///< beyond it, the oldest withdrawn ones are dropped
};

/// Why no probe can be granted now, in order of their weight.
enum class ProbeObstacle {
    None,
    InProgress, ///< another one is being run
    NotDue, ///< too soon after the last end or probe
    Exhausted, ///< all probes have been run
};
auto toString(ProbeObstacle obstacle) -> const char *;

/// The request for which a probe is considered. A rival is another suspect that was in flight at one of the ends and may explain it.
struct ProbeContext {
    bool isPart = false; ///< the suspect is a prompt part
    bool hasRival = false;
    bool isAlone = false; ///< the request has no other suspect that may explain ends: its result tells this one from its rivals
    bool isIsolated = false; ///< a probe of such a request has distinguished it from its rivals, or all of them have been run in vain
    bool isOutage = false; ///< see CrashLimits::outageTargets
    std::size_t inVain = 0; ///< such probes that ended with a target where a rival was in flight too, which tells nothing
};

// [SECTION] Events

/// The end of a target while it ran a request with the suspect, or a probe.
struct CrashEvent {
    std::uint64_t id = 0; ///< the same at all gateways
    bool isProbe = false;
    bool isWithdrawn = false; ///< the target didn't end, or not by the suspect; a probe: it wasn't run
    Duration age;
    std::string where; ///< the target that ended, or the gateway that may run the probe
    std::vector<std::uint64_t> runs; ///< ids of the runs in flight at the end, CrashLimits::endsToBar at most; empty: one
    bool isOver = false; ///< the probe's run has ended
    bool isIsolating = false; ///< the probe tells the suspect from its rivals, see ProbeContext
    TargetIncarnation target; ///< where the probe is run; no id: it isn't known
};

/// The id of a target's end.
auto endId(const TargetIncarnation &target) -> std::uint64_t;

// [SECTION] CrashHistory

class CrashHistory
{
public:
    // Queries
    auto targets() const -> std::size_t; ///< whose ends aren't withdrawn
    auto runs() const -> std::size_t; ///< that ended with these targets; at each target CrashLimits::endsToBar count at most
    auto allRuns() const -> std::size_t; ///< also with targets whose ends are withdrawn
    auto targetIds() const -> std::vector<std::uint64_t>; ///< event ids of the targets whose ends aren't withdrawn
    auto endTimes() const -> std::map<std::uint64_t, TimePoint>; ///< by target, without those that are withdrawn
    auto hasEnd(std::uint64_t target) const -> bool; ///< that isn't withdrawn
    auto sharesEnd(const CrashHistory &other) const -> bool;
    auto isolatingProbes() const -> std::vector<TargetIncarnation>; ///< where those that were run ended or are run
    auto probedTargets(const CrashLimits &limits, TimePoint now) const -> std::vector<TargetId>; ///< where probes are in progress
    /// When the next probe may be granted; nothing: no further one will be.
    auto probeDueAt(const CrashLimits &limits, const ProbeContext &context) const -> std::optional<TimePoint>;
    auto obstacle(const CrashLimits &limits, const ProbeContext &context, TimePoint now) const -> ProbeObstacle;
    auto hasReachedLimit(const CrashLimits &limits) const -> bool;
    auto isBeingProbed(Duration span, TimePoint now) const -> bool; ///< since less than `span`
    auto exported(TimePoint now) const -> std::vector<CrashEvent>;
    auto checksum(const CrashSubject &subject) const -> std::uint64_t; ///< of the ends and probes, also withdrawn ones

    // Commands. Those that return bool return whether something has changed.
    /// `target`: id of the end. `run`: in flight there. False also if the end is withdrawn.
    auto addEnd(std::uint64_t target, std::uint64_t run, const std::string &where, const CrashLimits &limits, TimePoint at, TimePoint now) -> bool;
    auto addProbe(std::uint64_t id, const std::string &gateway, const ProbeContext &context, const CrashLimits &limits, TimePoint now) -> void;
    auto probeSent(std::uint64_t id, const TargetIncarnation &target) -> bool;
    auto endProbe(std::uint64_t id, bool wasSent) -> bool;
    auto withdrawOldest() -> bool; ///< the oldest end
    auto withdrawAll() -> bool;
    auto withdrawUntil(TimePoint until) -> bool; ///< the ends up to then
    auto withdrawEnd(std::uint64_t target, TimePoint knownBefore) -> bool;
    /// New ends up to `soundUntil` are withdrawn at once.
    auto merge(const std::vector<CrashEvent> &received, const CrashLimits &limits, std::optional<TimePoint> soundUntil, TimePoint now) -> bool;

    TimePoint usedAt; ///< when a client last sent a request with the suspect that was rejected, or an event was added

private:
    struct Event {
        bool isProbe = false;
        bool isWithdrawn = false;
        bool isOver = false;
        bool isIsolating = false;
        TimePoint at;
        TimePoint knownAt; ///< when this gateway learned of it
        std::string where;
        std::set<std::uint64_t> runs;
        TargetIncarnation target;

        auto isCountedEnd() const -> bool
        {
            return !isProbe && !isWithdrawn;
        }
        auto isProbeInProgress() const -> bool
        {
            return isProbe && !isWithdrawn && !isOver;
        }
    };
    auto probesInProgress(Duration span, TimePoint now) const -> std::size_t; ///< granted within less than `span`
    auto limitReachedAt(const CrashLimits &limits) const -> std::optional<TimePoint>;
    auto hasProbesLeft(const CrashLimits &limits, const ProbeContext &context) const -> bool;
    auto looksLikeOutage(const CrashLimits &limits) const -> bool;
    auto isIsolating(const CrashLimits &limits, const ProbeContext &context) const -> bool;
    auto trim(const CrashLimits &limits) -> void;

    std::map<std::uint64_t, Event> m_events;
};

} // namespace KingCup
