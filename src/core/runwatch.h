// Finds out which runs of a gateway's requests ended because their target ended. No I/O: the gateway reports sends, answers and ends, and checks the targets
// named by checksDue().
//
// A connection that breaks doesn't show that the target has ended: targets and networks reset connections too. And a target that ends without closing its
// connections isn't noticed until the request's time limit, when the run looks like a slow one. So a run without a complete answer stays unresolved until its
// target gives a sign of life or is found to have ended. A target is checked when a connection to it breaks, and when it has sent nothing for a while although
// requests run there. Requests that are still open count as well: their callers may wait much longer than it takes to find out.
//
// Index of sections (search for [SECTION]):
//   Options    time limits
//   Verdicts   targets, and results
//   RunWatch   the runs
#pragma once

#include "core/crashsubjects.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/targetinfo.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct RunWatchOptions {
    /// A target that has sent nothing for this long, although requests run there, is checked.
    Duration maxSilence = Duration::millis(1000);
    Duration checkPeriod = Duration::millis(200); ///< between two checks of a target that don't show whether it runs
    int unconnectedChecks = 2; ///< checks in a row without a connection after which a target has ended; a lost packet makes one
    int unansweredChecks = 5; ///< checks in a row without an answer after which a target counts as ended
    /// Bytes that arrive this much later than a run broke off were sent after it: data on other connections may be read somewhat later than the break.
    Duration readDelay = Duration::millis(250);
    /// If another target has the address, runs that were sent after the change are refused there. Open ones count only if this doesn't happen within this time.
    Duration refusalTime = Duration::millis(250);
    /// A run whose answer has been written for this long hasn't been ended by a part of its prompt: such parts crash targets when they begin to answer.
    Duration soundAfter = Duration::millis(1000);
    Duration maxUnresolved = Duration::seconds(10); ///< a run that is unresolved for longer than this after its end isn't counted
    std::size_t maxEnded = 4096; ///< maximum number of unresolved runs that have ended; further ones aren't counted
};

// [SECTION] Verdicts

struct WatchedTarget {
    TargetIncarnation incarnation;
    ServiceName service;
    Endpoint address;
};

/// What a check of a target shows.
enum class TargetSign {
    Alive, ///< the same start of the target answers
    Replaced, ///< another target, or another start of it, answers at the address
    Refused, ///< the host refuses connections to the address
    Unconnected, ///< no connection in time
    Unanswered, ///< a connection, but no answer in time
};
auto toString(TargetSign sign) -> const char *;

enum class RunOutcome {
    TargetEnded, ///< while it ran the request
    TargetLeft, ///< as announced
    TargetLives,
    Unknown, ///< neither could be found out in time
};
auto toString(RunOutcome end) -> const char *;

struct RunVerdict {
    SendId run;
    CrashSubjects subjects; ///< without parts if the answer had been written for RunWatchOptions::soundAfter
    TargetIncarnation target;
    RunOutcome end = RunOutcome::Unknown;
    TimePoint lastSign; ///< the target's last sign of life: it ended later than that
};

// [SECTION] RunWatch

class RunWatch
{
public:
    using Subjects = std::function<CrashSubjects()>;

    explicit RunWatch(RunWatchOptions options = {});

    auto isIdle() const -> bool; ///< no run is open or unresolved

    // Commands: runs
    /// `subjects` is called only if the run's end has to be found out, at the latest when the run ends.
    auto sent(SendId run, const WatchedTarget &target, Subjects subjects, TimePoint now) -> void;
    /// A part of the answer. True once, when the answer has been written for RunWatchOptions::soundAfter.
    auto received(SendId run, TimePoint now) -> bool;
    auto answered(SendId run, TimePoint now) -> void; ///< completely, also with a rejection
    auto notSent(SendId run) -> void; ///< nothing of the request has reached the target
    auto broke(SendId run, TimePoint now) -> void; ///< the connection ended before the complete answer
    auto abandoned(SendId run, TimePoint now) -> void; ///< by its caller, or at its time limit

    // Commands: targets
    auto targetLeaving(const TargetIncarnation &target) -> void; ///< has announced that it leaves
    auto addressTaken(const Endpoint &address, const TargetIncarnation &target) -> void; ///< the target is listed with this address
    auto replaced(const TargetIncarnation &target) -> void; ///< another target answers at its address
    /// Targets to check now. Each is reported once, until checked() is called.
    auto checksDue(TimePoint now) -> std::vector<WatchedTarget>;
    auto checked(const TargetIncarnation &target, TargetSign sign, TimePoint startedAt, TimePoint now) -> void;

    // Results
    auto takeVerdicts(TimePoint now) -> std::vector<RunVerdict>; ///< since the last call

private:
    struct OpenRun {
        TimePoint sentAt;
        Subjects subjects;
        std::optional<TimePoint> answeredSince;
        bool isSound = false; ///< its answer has been written for RunWatchOptions::soundAfter

        auto suspects() const -> CrashSubjects;
    };
    /// An open run whose target has been replaced.
    struct LostRun {
        TargetIncarnation target;
        OpenRun run;
        RunOutcome end = RunOutcome::Unknown;
        TimePoint lastSign;
        std::optional<TimePoint> countsAt; ///< set by the next takeVerdicts()
    };
    struct EndedRun {
        SendId run;
        CrashSubjects subjects;
        TimePoint endedAt;
    };
    struct Target {
        ServiceName service;
        Endpoint address;
        std::map<SendId, OpenRun> open;
        std::vector<EndedRun> ended; ///< unresolved
        TimePoint heardAt; ///< of its last bytes, or of its first request
        bool isLeaving = false;
        bool isSuspected = false; ///< checked without waiting for silence
        bool isBeingChecked = false;
        TimePoint nextCheckAt;
        int unconnected = 0; ///< checks in a row
        int unanswered = 0; ///< checks in a row
    };
    using Targets = std::map<TargetIncarnation, Target>;
    auto find(SendId run) -> Targets::iterator;
    auto end(SendId run, bool isBroken, TimePoint now) -> void;
    auto showsLife(Targets::iterator target, TimePoint sentAt) -> void;
    auto hasEnded(Targets::iterator target, bool isReplaced) -> void;
    auto countLost(SendId run) -> void;
    auto dropIfIdle(Targets::iterator target) -> void;
    auto isCheckDue(const Target &target, TimePoint now) const -> bool;

    RunWatchOptions m_options;
    Targets m_targets;
    std::unordered_map<std::uint64_t, TargetIncarnation> m_runs; ///< target of each open run, by the number of its send
    std::map<SendId, LostRun> m_lost;
    std::size_t m_ended = 0; ///< unresolved runs that have ended
    std::vector<RunVerdict> m_verdicts;
};

} // namespace KingCup
