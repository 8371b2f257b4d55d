// Finds what crashes each target that runs it, over all gateways together: requests that their clients repeat, and parts of prompts that come in requests which
// are otherwise all different. Requests with it would crash all targets of a service one after the other.
//
// Each gateway keeps a history (core/crashhistory.h) for each suspect: requests that were in flight when a target ended (core/runwatch.h), and the prompt parts
// that other requests may share of those that had just begun to be answered. Each run that succeeds withdraws one end of its request and all ends of its parts:
// what crashes targets crashes each of them. Parts that have succeeded within the last moments aren't suspected at all, so that the parts which many requests
// share stay free. An end is also withdrawn if its target turns out to run.
//
// From its first end on a suspect runs only by a grant, one run at a time over all gateways: requests that clients send at once would otherwise all be in
// flight before the first of them is counted. A granted run is a probe. One that succeeds clears all suspects of its request, at all gateways; one that crashes
// its target adds an end to each. Below the limit of ends, a probe is granted soon; then there are two or three more, with growing delays. CrashLimits also
// bounds all probes since the last success. If the ends may be explained by another suspect, which requests with the deadly part have in common too, a request
// with only one of the two is granted a probe at once: its result tells them apart. While many other targets end, several probes of a suspect below the limit
// run at once: the outage explains its ends better than the suspect, and requests needn't wait for one another. One gateway, the arbiter, grants all probes.
// All gateways find it by rendezvous hashing among those that are live.
//
// Histories are sent whole to all gateways when an end or a probe is added or a probe has ended, and to a gateway that connects. Digests carry a checksum of
// the histories that matter; a gateway whose checksum differs is sent these histories.
//
// Many targets may end together although no request crashes them. A popular part is then in flight at several of them, and has succeeded a moment before at
// some gateways and not at others. A gateway that knows of a success with a reported suspect tells all others when the success was: for them it counts like
// their own. Each waits for a random time before, and says nothing if another one was first, so that about two do, and no message is sent for each success.
//
// Load pattern: a client repeats one request, at any gateway, several times a second or every few seconds, or clients send some requests a second with one part
// in common, beside many with the parts in front of it; and each run takes a target down for some seconds.
//
// Index of sections (search for [SECTION]):
//   Options       counts and times
//   Messages      what gateways send each other
//   CrashRepeats  the histories of one gateway
#pragma once

#include "core/crashhistory.h"
#include "core/crashsubjects.h"
#include "core/ids.h"
#include "core/targetinfo.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct CrashRepeatOptions {
    CrashLimits limits;
    Duration soundTime = Duration::millis(1000); ///< a part isn't suspected of an end up to this long after a run with it has succeeded
    /// A gateway that knows a reported suspect to be sound tells the others within this time. Longer, fewer tell it at once; waiting requests wait longer.
    Duration announceTime = Duration::millis(200);
    Duration probeTime = Duration::millis(500); ///< after the grant of a probe, other requests wait this long for its result
    Duration replyTimeout = Duration::millis(150); ///< an arbiter that doesn't reply within this time grants no probe
    /// Of a granted probe that isn't sent, which is then returned. Shorter than CrashLimits::maxProbeRun: else the arbiter would grant further ones while
    /// requests wait with theirs for a target that is down, and all would be sent when it is back.
    Duration grantLifetime = Duration::millis(1000);
    Duration retryDenied = Duration::millis(500); ///< after a denial, until the arbiter is asked again
    Duration lifetime = Duration::seconds(120); ///< of a history that no request has used
    Duration withdrawnLifetime = Duration::seconds(5); ///< of a history whose ends are all withdrawn; longer than messages are under way
    Duration pushPeriod = Duration::millis(500); ///< minimum time between two transfers to a gateway whose checksum differs
    double pushesPerDigest = 4; ///< expected number of gateways that send their histories to one whose checksum differs
    std::size_t maxRecords = 4096; ///< beyond it, those below the limit that were used longest ago are dropped
    std::size_t maxPushed = 64; ///< histories per transfer
    /// Before this time this gateway grants no probe of a suspect that has reached the limit: it has just started, so it doesn't know the other gateways yet,
    /// and several that take themselves for the arbiter would grant one each.
    TimePoint arbitratesFrom;
    std::uint64_t seed = 0; ///< of the choice of transfers; different at each gateway
};

// [SECTION] Messages

struct CrashRecord {
    CrashSubject subject;
    Duration unusedFor; ///< since a client last sent a request with it
    std::vector<CrashEvent> events;
    std::optional<Duration> soundFor {}; ///< of a part: since a run with it succeeded at the sender; nothing: longer than CrashRepeatOptions::soundTime
};

/// The sender would like to run the request once as a probe.
struct ProbeQuery {
    CrashSubjects subjects;
};

struct ProbeReply {
    std::uint64_t request = 0; ///< fingerprint
    bool isGranted = false;
    std::uint64_t probe = 0; ///< its event id; 0 if the request needs no grant
};

struct CrashMessage {
    std::vector<CrashRecord> records;
    std::vector<ProbeQuery> queries; ///< what is known of their suspects is in `records`
    std::vector<ProbeReply> replies;

    auto isEmpty() const -> bool;
};

// [SECTION] CrashRepeats

enum class ProbeState {
    Granted, ///< the request may be sent once
    Pending, ///< the arbiter hasn't replied yet
    Denied, ///< the request must be rejected
};

struct ProbeAnswer {
    ProbeState state = ProbeState::Denied;
    std::uint64_t probe = 0; ///< if granted: for probeEnded(), probeUnsent() and probeReturned()
    TimePoint grantedAt; ///< for probeUnsent()
};

/// The suspect that decides about a request.
struct CrashVerdict {
    CrashSubject subject;
    ProbeObstacle obstacle = ProbeObstacle::None;
};

/// The checksum of a gateway that has these histories alone.
auto checksumOf(const std::vector<CrashRecord> &records, TimePoint now) -> std::uint64_t;

/// What became known of a suspect from a message, for the log.
struct CrashChange {
    CrashSubject subject;
    int ends = 0; ///< targets, not withdrawn
    int runs = 0; ///< that ended with these targets
    bool isBarred = false;
};

class CrashRepeats
{
public:
    /// `self`: id of this gateway.
    explicit CrashRepeats(std::string self, CrashRepeatOptions options = {});

    // Queries: suspects
    auto isEmpty() const -> bool; ///< there is no history, so fingerprints needn't be computed
    auto isBarred(const CrashSubject &subject) const -> bool; ///< counts as one that crashes its targets
    auto ends(const CrashSubject &subject) const -> int; ///< targets whose ends aren't withdrawn
    auto runs(const CrashSubject &subject) const -> int; ///< runs that ended with these targets; at each target at most CrashLimits::endsToBar count
    auto barredCount(bool isOfParts) const -> std::size_t; ///< of parts, or of requests

    // Queries: requests
    auto needsGrant(const CrashSubjects &request) const -> bool; ///< must not be sent to a target, except as a probe
    auto verdict(const CrashSubjects &request, TimePoint now) const -> CrashVerdict; ///< by the suspect with the weightiest obstacle
    /// Until a probe of the request may be granted, or, if no further one will be, until its history expires unless it is used.
    auto retryAfter(const CrashSubjects &request, TimePoint now) const -> Duration;
    auto mayBeProbed(const CrashSubjects &request, TimePoint now) const -> bool; ///< asking the arbiter may be worthwhile
    /// Waiting may be worthwhile: a probe of a suspect may succeed any moment, or one is due and the arbiter hasn't granted it yet. It may not have replied, or
    /// have just started.
    auto isProbeExpected(const CrashSubjects &request, TimePoint now) const -> bool;
    /// Targets where probes of other requests are being run: what ends with them together can't be distinguished.
    auto probedTargets(TimePoint now) const -> std::vector<TargetId>;
    auto arbiter() const -> std::string; ///< the gateway that grants probes
    auto checksum() const -> std::uint64_t; ///< of the histories that have reached the limit or had reached it

    // Commands: this gateway's requests
    /// `run`: of this gateway, in flight at the target. `endedAt`: a lower bound; the end may become known much later. Returns the suspects for which it
    /// counts.
    auto targetEnded(const CrashSubjects &request, const TargetIncarnation &target, SendId run, TimePoint endedAt, TimePoint now) -> std::vector<CrashSubject>;
    auto succeeded(const CrashSubjects &request, bool wasProbe, TimePoint now) -> std::vector<CrashSubject>; ///< those of which ends were withdrawn
    /// A target has been writing an answer to a request with these parts for some time. Returns those of which ends were withdrawn.
    auto partsSound(const std::vector<CrashSubject> &parts, bool wasProbe, TimePoint now) -> std::vector<CrashSubject>;
    /// The target has answered a request that was sent at `sentAt`: ends that were counted before are withdrawn. Returns the suspects concerned.
    auto targetAnswered(const TargetIncarnation &target, TimePoint sentAt) -> std::vector<CrashSubject>;
    auto used(const CrashSubjects &request, TimePoint now) -> void; ///< a client has sent the request and it is rejected: its histories are kept
    auto requestProbe(const CrashSubjects &request, TimePoint now) -> ProbeAnswer; ///< a granted probe is used up: the request is sent now
    auto probeSent(const CrashSubjects &request, std::uint64_t probe, const TargetIncarnation &target) -> void;
    auto probeEnded(const CrashSubjects &request, std::uint64_t probe) -> void; ///< the run of this gateway's probe has ended, or its target has
    auto probeReturned(const CrashSubjects &request, std::uint64_t probe) -> void; ///< this gateway's probe wasn't sent
    /// This gateway's probe wasn't sent, but may be soon: the next requestProbe() for the request gets it again, until CrashRepeatOptions::grantLifetime after
    /// its grant.
    auto probeUnsent(const CrashSubjects &request, const ProbeAnswer &granted, TimePoint now) -> void;

    // Commands: other gateways
    auto setGateways(std::set<std::string> live) -> void; ///< the other gateways that are live
    auto received(const std::string &gateway, const CrashMessage &message, TimePoint now) -> std::vector<CrashChange>;
    /// Histories from the store's copy. `isAtStart`: each gateway that starts reads it; otherwise they go to all other gateways.
    auto restored(const std::vector<CrashRecord> &records, bool isAtStart, TimePoint now) -> std::vector<CrashChange>;
    auto checksumReceived(const std::string &gateway, std::uint64_t checksum, TimePoint now) -> void;
    auto notable(TimePoint now) const -> std::vector<CrashRecord>; ///< the histories that checksum() covers, those with most ends first
    auto greeting(TimePoint now) const -> CrashMessage; ///< for a gateway that has just connected
    auto takeBroadcast(TimePoint now) -> CrashMessage; ///< histories that have changed, for all gateways
    auto takeMessages() -> std::map<std::string, CrashMessage>; ///< by receiver

    auto expire(TimePoint now) -> std::vector<CrashSubject>; ///< drops histories after their lifetime; call about once a second

private:
    struct Query {
        TimePoint sentAt;
        std::optional<TimePoint> grantedAt;
        std::uint64_t probe = 0;
        CrashSubjects request;
        TimePoint deniedUntil;
    };
    using Histories = std::unordered_map<CrashSubject, CrashHistory>;
    auto find(const CrashSubject &subject) const -> const CrashHistory *;
    auto suspects(const CrashSubjects &request) const -> std::vector<CrashSubject>;
    auto isNotable(const CrashHistory &history) const -> bool;
    auto doubtful() const -> const std::vector<CrashSubject> &;
    auto contextOf(const CrashSubject &subject, const CrashHistory &history, const CrashSubjects &request, TimePoint now) const -> ProbeContext;
    auto endTimes() const -> const std::map<std::uint64_t, TimePoint> &;
    auto hasReachedLimit(const CrashSubjects &request) const -> bool;
    auto soundUntil(const CrashSubject &subject) const -> std::optional<TimePoint>;
    auto hasSucceeded(const CrashSubject &part, TimePoint now) const -> bool; ///< at this gateway, within the sound time
    auto announceLater(const CrashSubject &subject, TimePoint now) -> void;
    auto grant(const CrashSubjects &request, const std::string &gateway, TimePoint now) -> std::optional<std::uint64_t>;
    auto endProbe(const CrashSubjects &request, std::uint64_t probe, bool wasSent) -> void;
    auto exported(const CrashSubject &subject, const CrashHistory &history, TimePoint now) const -> CrashRecord;
    auto findOrAdd(const CrashSubject &subject, TimePoint now) -> CrashHistory &;
    auto merge(const CrashRecord &received, TimePoint now) -> std::optional<CrashChange>;
    auto changed(const CrashSubject &subject) -> void; ///< and is sent to all gateways
    auto changedHere() -> void; ///< a history has changed, and the other gateways are left to find out
    auto makeSpace() -> void;

    std::string m_self;
    CrashRepeatOptions m_options;
    std::mt19937_64 m_random;
    std::set<std::string> m_live; ///< other gateways
    Histories m_histories;
    std::unordered_map<CrashSubject, TimePoint> m_soundParts; ///< when a run with the part last succeeded at this gateway
    TimePoint m_soundPartsExpireAt;
    std::unordered_map<CrashSubject, TimePoint> m_soundElsewhere; ///< when a run with the part last succeeded at another gateway that reported it
    std::map<CrashSubject, TimePoint> m_announceAt; ///< suspects that succeeded at this gateway, until another one tells it or this time has come
    std::unordered_map<std::uint64_t, Query> m_queries; ///< of this gateway to the arbiter, by the request's fingerprint
    std::unordered_set<std::uint64_t> m_endedTargets; ///< ids of ends that aren't withdrawn; may hold some that are
    std::map<std::string, TimePoint> m_pushedAt;
    std::uint64_t m_grants = 0;
    std::set<CrashSubject> m_changed;
    std::set<CrashSubject> m_restored; ///< from the store's copy at the start and not changed since: other gateways have read it too
    mutable std::optional<std::uint64_t> m_checksum; ///< computed when it is needed, as the next one
    mutable std::optional<std::vector<CrashSubject>> m_doubtful; ///< suspects that may explain the ends of others
    mutable std::optional<std::map<std::uint64_t, TimePoint>> m_endTimes; ///< of all targets whose ends aren't withdrawn
    std::map<std::string, CrashMessage> m_messages;
};

} // namespace KingCup
