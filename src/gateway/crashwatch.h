// Rejects requests that crash the targets that run them: finds out which runs ended with their target (core/runwatch.h), counts these ends over all
// gateways (core/crashrepeats.h), and keeps a copy of the counts in the store (core/crasharchive.h).
//
// Index of sections (search for [SECTION]):
//   Parts        dependencies and callbacks
//   CrashWatch   the task
#pragma once

#include "core/crasharchive.h"
#include "core/crashrepeats.h"
#include "core/crashreportsummary.h"
#include "core/runwatch.h"
#include "gateway/gatewaypeers.h"
#include "gateway/protocol.h"
#include "gateway/storeclient.h"
#include "net/eventlog.h"
#include "net/httppool.h"
#include "net/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace KingCup
{

// [SECTION] Parts

struct CrashWatchParts {
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    const Protocol &protocol;
    HttpPool &pool;
    GatewayPeers &peers;
    StoreClient &store;
};

struct CrashWatchHooks {
    /// Path of the health check of a service's targets; empty: none is declared.
    std::function<std::string(const ServiceName &service)> healthPath;
    std::function<void()> onProbeReply; ///< requests that wait for a probe can go on
    std::function<void()> onStarted; ///< requests that wait because of isStarting() can go on
};

// [SECTION] CrashWatch

class CrashWatch
{
public:
    /// `self`: id of this gateway; `seed` must differ between gateways.
    CrashWatch(CrashWatchParts parts, std::string self, std::uint64_t seed, CrashWatchHooks hooks);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    auto operator=(const CrashWatch &) -> CrashWatch & = delete;

    // Queries
    auto isStarting() const -> bool; ///< no request must be sent yet: which requests crash targets isn't known
    auto isEmpty() const -> bool; ///< no request can be rejected, so fingerprints needn't be computed
    auto needsGrant(const CrashSubjects &request) const -> bool; ///< must not be sent to a target, except as a probe
    auto mayBeProbed(const CrashSubjects &request) const -> bool; ///< the request may be granted a probe now
    auto isProbeExpected(const CrashSubjects &request) const -> bool; ///< waiting for a probe or its result may be worthwhile
    auto probedTargets() const -> std::vector<TargetId>; ///< see CrashRepeats
    auto retryAfter(const CrashSubjects &request) const -> Duration; ///< until it may be sent again; see CrashRepeats

    // Commands: this gateway's requests
    auto requestProbe(const CrashSubjects &request) -> ProbeAnswer; ///< if granted, call sentProbe()
    auto probeReturned(const CrashSubjects &request, std::uint64_t probe) -> void; ///< a granted probe wasn't sent
    auto probeUnsent(const CrashSubjects &request, const ProbeAnswer &granted) -> void; ///< the same, but it may be sent soon; see CrashRepeats
    auto rejected(const CrashSubjects &request, const AttemptId &attempt) -> void; ///< a client's request was rejected because it needs a grant
    auto sent(SendId run, const WatchedTarget &target, RunWatch::Subjects subjects) -> void;
    /// Call after sent().
    auto sentProbe(SendId run, const CrashSubjects &request, std::uint64_t probe, const AttemptId &attempt, const TargetIncarnation &target) -> void;
    auto received(SendId run, const std::vector<CrashSubject> &parts) -> void; ///< a piece of the answer to a request with these parts
    auto answered(SendId run, const TargetIncarnation &target, TimePoint sentAt) -> void; ///< completely, also with a rejection
    /// A request with these parts was answered with success. `subjects` is called only if something is suspected.
    auto succeeded(const std::vector<CrashSubject> &parts, const RunWatch::Subjects &subjects, bool wasProbe) -> void;
    auto notSent(SendId run) -> void; ///< nothing of the request has reached the target
    auto misdirected(SendId run, const TargetIncarnation &target) -> void; ///< another target answers at its address, and hasn't run the request
    auto broke(SendId run) -> void; ///< the connection ended before the complete answer
    auto abandoned(SendId run) -> void; ///< by its caller, or at its time limit

    // Commands: targets
    auto targetSeen(const TargetDescription &target) -> void; ///< its row is new or has changed
    auto advance() -> void; ///< call a few times a second

    // Commands: other gateways
    auto greeting() const -> std::optional<Wire::ControlFrame>; ///< for a gateway that has just connected; nothing: no end is known
    auto onMessage(const std::string &id, const Wire::CrashReport &message) -> void;
    auto checksum() const -> std::uint64_t; ///< for digests
    auto onChecksum(const std::string &id, std::uint64_t checksum) -> void;

private:
    struct Check;
    auto startCheck(const WatchedTarget &target) -> void;
    auto finishCheck(const TargetIncarnation &target, TargetSign sign) -> void;
    auto runChecks() -> void;
    auto applyVerdicts() -> void;
    auto endProbe(SendId run) -> void;
    auto logWithdrawn(const std::vector<CrashSubject> &subjects, const char *why) -> void;
    auto flush() -> void;
    auto logReports() -> void;
    auto useArchive() -> void;
    auto readArchive() -> void;
    auto writeArchive() -> void;
    auto now() const -> TimePoint
    {
        return m_parts.loop.now();
    }

    CrashWatchParts m_parts;
    CrashWatchHooks m_hooks;
    RunWatch m_runs;
    CrashRepeats m_crashes;
    CrashArchive m_archive;
    CrashReportSummary m_reports; ///< that haven't been logged
    std::set<std::string> m_live; ///< the other gateways that are live
    std::map<TargetIncarnation, std::shared_ptr<Check>> m_checks; ///< in progress
    struct Probe {
        CrashSubjects request;
        std::uint64_t id = 0;
    };
    std::map<SendId, Probe> m_probes; ///< of this gateway, until their runs are resolved
};

} // namespace KingCup
