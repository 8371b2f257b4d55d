// What one gateway knows of requests that crash targets, as the simulated gateways of sim_crashfleet.h use it.
#pragma once

#include "core/crasharchive.h"
#include "core/crashrepeats.h"
#include "core/crashreportsummary.h"
#include "core/hashing.h"
#include "core/ids.h"
#include "core/runwatch.h"
#include "core/targetinfo.h"
#include "core/units.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace KingCup
{

/// A message from one gateway to another.
using SimCrashMessage = CrashMessage;
/// What a gateway finds out when it connects to the address of a target.
using SimTargetSign = TargetSign;

struct SimCrashHooks {
    std::function<void(const SimCrashMessage &message)> sendAll;
    std::function<void(const std::string &to, const SimCrashMessage &message)> send;
    std::function<void(std::function<void(const SimCrashMessage &records, TimePoint now)> done)> readStore;
    std::function<void(const SimCrashMessage &records, std::function<void(TimePoint now)> done)> writeStore;
    std::function<void(const TargetIncarnation &target, std::function<void(SimTargetSign sign, TimePoint now)> done)> check;
};

enum class SimDecision { Run, Wait, Reject };

struct SimRequest {
    std::uint64_t id = 0; ///< its fingerprint
    std::vector<std::uint64_t> parts {}; ///< of its prompt, without the last one, which is the request's own
    int group = 0; ///< requests that are counted together; 0: none
};

class SimCrashNode
{
public:
    SimCrashNode(const std::string &id, TimePoint now, SimCrashHooks hooks)
        : m_hooks(std::move(hooks))
        , m_crashes(id, {.arbitratesFrom = now + Duration::millis(1500), .seed = stableHash(id)})
        , m_archive(id, now)
    {
        useArchive(now);
    }

    auto decide(const SimRequest &request, TimePoint now) -> SimDecision
    {
        const auto subjects = subjectsOf(request);
        if (m_archive.isStarting(now)) {
            return SimDecision::Wait;
        }
        if (!m_crashes.needsGrant(subjects)) {
            return SimDecision::Run;
        }
        ProbeAnswer answer;
        if (m_crashes.mayBeProbed(subjects, now)) {
            answer = m_crashes.requestProbe(subjects, now);
            flush(now);
        }
        if (answer.state == ProbeState::Granted) {
            m_nextProbe = answer;
            return SimDecision::Run;
        }
        if (answer.state == ProbeState::Pending || m_crashes.isProbeExpected(subjects, now)) {
            return SimDecision::Wait;
        }
        m_crashes.used(subjects, now);
        return SimDecision::Reject;
    }
    auto sent(SendId run, const SimRequest &request, const TargetIncarnation &target, const Endpoint &address, TimePoint now) -> void
    {
        auto subjects = subjectsOf(request);
        m_open[run] = {subjects, target, now, m_nextProbe.has_value()};
        if (m_nextProbe) {
            m_probes[run] = {subjects, std::exchange(m_nextProbe, std::nullopt)->probe};
            m_crashes.probeSent(subjects, m_probes[run].id, target);
            flush(now);
        }
        m_runs.sent(
            run, {target, ServiceName("s"), address}, [subjects] { return subjects; }, now);
    }
    /// The target refused the connection: the request that decide() let run hasn't been sent.
    auto refused(const SimRequest &request, TimePoint now) -> void
    {
        if (const auto granted = std::exchange(m_nextProbe, std::nullopt)) {
            m_crashes.probeUnsent(subjectsOf(request), *granted, now);
            flush(now);
        }
    }
    /// Another target has the address: the request was rejected and hasn't run.
    auto misdirected(SendId run, const TargetIncarnation &target, TimePoint now) -> void
    {
        m_open.erase(run);
        m_runs.notSent(run);
        endProbe(run);
        m_runs.replaced(target);
        advance(now);
    }
    /// Whether the request that is to be sent next had better go to another target.
    auto avoids(const TargetIncarnation &target, TimePoint now) const -> bool
    {
        const auto probed = m_nextProbe ? m_crashes.probedTargets(now) : std::vector<TargetId>();
        return std::find(probed.begin(), probed.end(), target.id) != probed.end();
    }
    auto received(SendId run, TimePoint now) -> void
    {
        const auto open = m_open.find(run);
        if (m_runs.received(run, now) && open != m_open.end()) {
            m_crashes.partsSound(open->second.subjects.parts, open->second.isProbe, now);
            flush(now);
        }
    }
    auto succeeded(SendId run, TimePoint now) -> void
    {
        const auto ended = m_open[run];
        m_open.erase(run);
        m_runs.answered(run, now);
        endProbe(run);
        m_crashes.targetAnswered(ended.target, ended.sentAt);
        m_crashes.succeeded(ended.subjects, ended.isProbe, now);
        advance(now);
    }
    auto broke(SendId run, TimePoint now) -> void
    {
        m_open.erase(run);
        m_runs.broke(run, now);
        advance(now);
    }
    auto gaveUp(SendId run, TimePoint now) -> void
    {
        m_open.erase(run);
        m_runs.abandoned(run, now);
    }
    auto targetSeen(const TargetIncarnation &target, const Endpoint &address) -> void
    {
        m_runs.addressTaken(address, target);
    }
    auto receive(const std::string &from, const SimCrashMessage &message, TimePoint now) -> void
    {
        for (const auto &change : m_crashes.received(from, message, now)) {
            m_reports.add(change, from);
            ++m_reportCount;
        }
        flush(now);
    }
    auto setPeers(const std::set<std::string> &live, TimePoint now) -> void
    {
        m_archive.setGateways(live, now);
        m_crashes.setGateways(live);
    }
    auto advance(TimePoint now) -> void
    {
        for (const auto &target : m_runs.checksDue(now)) {
            m_hooks.check(target.incarnation, [this, incarnation = target.incarnation, startedAt = now](SimTargetSign sign, TimePoint endedAt) {
                m_runs.checked(incarnation, sign, startedAt, endedAt);
                advance(endedAt);
            });
        }
        for (const auto &verdict : m_runs.takeVerdicts(now)) {
            if (verdict.end == RunOutcome::TargetEnded) {
                m_crashes.targetEnded(verdict.subjects, verdict.target, verdict.run, verdict.lastSign, now);
            }
            endProbe(verdict.run);
        }
        m_crashes.expire(now);
        m_reportLines += m_reports.take(now) ? 1 : 0;
        useArchive(now);
        flush(now);
    }
    /// Log lines of reports.
    auto reportLines() const -> int
    {
        return m_reportLines;
    }
    /// Records from other gateways that changed what this one knew.
    auto reports() const -> int
    {
        return m_reportCount;
    }
    auto greeting(TimePoint now) -> std::optional<SimCrashMessage>
    {
        const auto message = m_crashes.greeting(now);
        return message.isEmpty() ? std::nullopt : std::optional(message);
    }
    auto checksum(TimePoint /*now*/) -> std::uint64_t
    {
        return m_crashes.checksum();
    }
    auto checksumReceived(const std::string &from, std::uint64_t checksum, TimePoint now) -> void
    {
        m_crashes.checksumReceived(from, checksum, now);
        flush(now);
    }

private:
    struct Probe {
        CrashSubjects subjects;
        std::uint64_t id = 0;
    };
    struct Open {
        CrashSubjects subjects;
        TargetIncarnation target;
        TimePoint sentAt;
        bool isProbe = false;
    };
    static auto subjectsOf(const SimRequest &request) -> CrashSubjects
    {
        CrashSubjects subjects {requestSubject(request.id), {}};
        std::transform(request.parts.begin(), request.parts.end(), std::back_inserter(subjects.parts), [](std::uint64_t part) {
            return CrashSubject {true, part};
        });
        return subjects;
    }
    auto endProbe(SendId run) -> void
    {
        const auto probe = m_probes.extract(run);
        if (!probe.empty()) {
            m_crashes.probeEnded(probe.mapped().subjects, probe.mapped().id);
        }
    }
    auto useArchive(TimePoint now) -> void
    {
        const auto checksum = m_crashes.checksum();
        switch (m_archive.next(checksum, now)) {
        case ArchiveCall::None:
            break;
        case ArchiveCall::Read:
            m_hooks.readStore([this](const SimCrashMessage &stored, TimePoint readAt) {
                m_crashes.restored(stored.records, m_archive.isStarting(readAt), readAt);
                m_archive.readDone(true, checksumOf(stored.records, readAt), readAt);
                flush(readAt);
            });
            break;
        case ArchiveCall::Write: {
            SimCrashMessage message;
            message.records = m_crashes.notable(now);
            m_hooks.writeStore(message, [this, checksum](TimePoint writtenAt) { m_archive.writeDone(true, checksum, writtenAt); });
        }
        }
    }
    auto flush(TimePoint now) -> void
    {
        const auto broadcast = m_crashes.takeBroadcast(now);
        if (!broadcast.isEmpty()) {
            m_hooks.sendAll(broadcast);
        }
        for (const auto &[to, message] : m_crashes.takeMessages()) {
            m_hooks.send(to, message);
        }
    }

    SimCrashHooks m_hooks;
    RunWatch m_runs;
    CrashRepeats m_crashes;
    CrashArchive m_archive;
    CrashReportSummary m_reports;
    int m_reportLines = 0;
    int m_reportCount = 0;
    std::map<SendId, Open> m_open;
    std::map<SendId, Probe> m_probes;
    std::optional<ProbeAnswer> m_nextProbe;
};

} // namespace KingCup
