// Detects requests that crash each target that runs them and are repeated by their clients, over all gateways together. Their repeats would otherwise crash all
// targets of a service one after the other.
//
// Each gateway keeps a record for each request that was in flight when a target ended (core/runwatch.h). A record is the set of these targets' ends, each
// identified by the target's start, with the runs that were in flight there: copies of a request that end together with one target are several runs, and two
// gateways report each their own. An end is withdrawn if its target turns out to run, and one end with each run that succeeds.
//
// From its first end on a request is run only by a grant, one run at a time over all gateways: copies that clients send at once would otherwise all be in
// flight before the first of them is counted. A granted run is a probe. It tells a request that crashes targets from one that was in flight when they crashed
// for another reason, which by the ends alone can't be distinguished: a probe that succeeds clears the record. One gateway, the arbiter, grants the probes of a
// request. All gateways find it by rendezvous hashing among those that are live. Before the limit of ends is reached, a probe is granted soon; then there are
// two or three more in all, with growing delays, whatever the number of copies.
//
// Records are sent whole to all gateways whenever they change and to a gateway that connects, and are merged by union; a withdrawal outlives what it withdraws.
// So messages may be lost, repeated and reordered. Digests carry a checksum of the records that matter; a gateway whose checksum differs is sent these records.
//
// Load pattern: a client repeats one request, at any gateway, several times a second or every few seconds, and each run takes a target down for some seconds.
//
// Index of sections (search for [SECTION]):
//   Options       counts and times
//   Messages      what gateways send each other
//   CrashRepeats  the records of one gateway
#pragma once

#include "core/ids.h"
#include "core/targetinfo.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct CrashRepeatOptions {
    /// Runs, and targets, whose ends make a request one that crashes targets; the smallest number that two unrelated crashes don't reach.
    std::size_t endsToBar = 3;
    Duration earlyProbeDelay = Duration::millis(1000); ///< below the limit: time before a further probe, since the last end or probe; the first has no delay
    /// From the limit on: time before each probe, since the last end or probe. Fewer targets than the limit, or ends within `outageSpan`, suggest an outage,
    /// after which callers mustn't wait: then there is one probe more, at once. Three further runs are promised at most.
    std::vector<Duration> probeDelays {Duration::seconds(5), Duration::seconds(10)};
    Duration outageSpan = Duration::millis(1000); ///< between the first end and the one that led to the rejection
    Duration probeTime = Duration::millis(500); ///< after the grant of a probe, other copies wait this long for its result
    Duration maxProbeRun = Duration::seconds(3); ///< after its grant, the next probe isn't delayed any more by one whose end isn't reported
    Duration replyTimeout = Duration::millis(150); ///< an arbiter that doesn't reply within this time grants no probe
    Duration grantLifetime = Duration::millis(1000); ///< of a granted probe that isn't used, which is then returned
    Duration retryDenied = Duration::millis(500); ///< after a denial, until the arbiter is asked again
    Duration lifetime = Duration::seconds(120); ///< of a record that no request has used
    Duration withdrawnLifetime = Duration::seconds(5); ///< of a record whose ends are all withdrawn; longer than messages are under way
    Duration pushPeriod = Duration::millis(500); ///< minimum time between two transfers to a gateway whose checksum differs
    double pushesPerDigest = 4; ///< expected number of gateways that send their records to one whose checksum differs
    std::size_t maxRecords = 4096; ///< beyond it, those that were used longest ago and don't reject anything are dropped
    std::size_t maxEvents = 32; ///< per record; beyond it, the oldest withdrawn ones are dropped
    std::size_t maxPushed = 64; ///< records per transfer
    std::uint64_t seed = 0; ///< of the choice of transfers; different at each gateway
};

// [SECTION] Messages

/// The end of a target while it ran the request, or a probe.
struct CrashEvent {
    std::uint64_t id = 0; ///< the same at all gateways
    bool isProbe = false;
    bool isWithdrawn = false; ///< the target didn't end, or not by the request; a probe: it wasn't run
    Duration age;
    std::string where; ///< the target that ended, or the gateway that may run the probe
    std::vector<std::uint64_t> runs; ///< ids of the runs in flight at the end, CrashRepeatOptions::endsToBar at most; empty: one
    bool isOver = false; ///< the probe's run has ended
};

struct CrashRecord {
    std::uint64_t request = 0; ///< its fingerprint
    Duration unusedFor; ///< since a client last sent the request
    std::vector<CrashEvent> events;
};

struct ProbeReply {
    std::uint64_t request = 0;
    bool isGranted = false;
};

struct CrashMessage {
    std::vector<CrashRecord> records;
    std::vector<std::uint64_t> queries; ///< requests, also in `records`, for which the sender asks for a probe
    std::vector<ProbeReply> replies;

    auto isEmpty() const -> bool;
};

// [SECTION] CrashRepeats

/// A fingerprint that is equal for requests of the same account with the same host, path and body. `account`: empty if it has none.
auto requestFingerprint(std::string_view host, std::string_view path, std::string_view account, std::string_view body) -> std::uint64_t;

enum class ProbeState {
    Granted, ///< the request may be sent once
    Pending, ///< the arbiter hasn't replied yet
    Denied, ///< the request must be rejected
};

/// Why no probe of a request can be granted now.
enum class ProbeObstacle {
    None,
    InProgress, ///< another copy is being run
    NotDue, ///< too soon after the last end or probe
    Exhausted, ///< all probes have been run
};
auto toString(ProbeObstacle obstacle) -> const char *;

/// The checksum of a gateway that has these records alone.
auto checksumOf(const std::vector<CrashRecord> &records, TimePoint now) -> std::uint64_t;

/// What became known of a record from a message, for the log.
struct CrashChange {
    std::uint64_t request = 0;
    int ends = 0; ///< targets, not withdrawn
    int runs = 0; ///< that ended with these targets
    bool isBarred = false;
    bool isCleared = false; ///< no end is left
    std::vector<CrashEvent> added; ///< events that were not known before
};

class CrashRepeats
{
public:
    /// `self`: id of this gateway.
    explicit CrashRepeats(std::string self, CrashRepeatOptions options = {});

    // Queries
    auto isEmpty() const -> bool; ///< there is no record, so fingerprints needn't be computed
    auto needsGrant(std::uint64_t request) const -> bool; ///< must not be sent to a target, except as a probe
    auto isBarred(std::uint64_t request) const -> bool; ///< counts as one that crashes its targets
    auto ends(std::uint64_t request) const -> int; ///< targets whose ends aren't withdrawn
    auto runs(std::uint64_t request) const -> int; ///< runs that ended with these targets; at each target at most CrashRepeatOptions::endsToBar count
    /// Until a probe of the request may be granted, or, if no further one will be, until its record expires unless it is used.
    auto retryAfter(std::uint64_t request, TimePoint now) const -> Duration;
    auto obstacle(std::uint64_t request, TimePoint now) const -> ProbeObstacle;
    auto arbiter(std::uint64_t request) const -> std::string; ///< the gateway that grants its probes
    auto barredCount() const -> std::size_t;
    auto checksum() const -> std::uint64_t; ///< of the records with `endsToBar` ends or more, also withdrawn ones

    // Commands: this gateway's requests
    /// `run`: of this gateway, in flight at the target. False: the run doesn't count.
    auto targetEnded(std::uint64_t request, const TargetIncarnation &target, SendId run, TimePoint now) -> bool;
    auto succeeded(std::uint64_t request, bool wasProbe, TimePoint now) -> bool; ///< true: ends were withdrawn
    /// The target has answered a request that was sent at `sentAt`: ends that were counted before are withdrawn. Returns the requests concerned.
    auto targetAnswered(const TargetIncarnation &target, TimePoint sentAt) -> std::vector<std::uint64_t>;
    auto used(std::uint64_t request, TimePoint now) -> void; ///< a client has sent the request and it is rejected: its record is kept
    auto mayBeProbed(std::uint64_t request, TimePoint now) const -> bool; ///< asking the arbiter may be worthwhile
    auto isBeingProbed(std::uint64_t request, TimePoint now) const -> bool; ///< a probe may succeed any moment
    auto requestProbe(std::uint64_t request, TimePoint now) -> ProbeState; ///< a granted probe is used up: the request is sent now
    auto probeEnded(std::uint64_t request) -> void; ///< the run of this gateway's probe has ended, or its target has
    auto probeReturned(std::uint64_t request) -> void; ///< this gateway's probe wasn't sent

    // Commands: other gateways
    auto setGateways(std::set<std::string> live) -> void; ///< the other gateways that are live
    auto received(const std::string &gateway, const CrashMessage &message, TimePoint now) -> std::vector<CrashChange>;
    /// Records from the store's copy, which go to all other gateways too.
    auto restored(const std::vector<CrashRecord> &records, TimePoint now) -> std::vector<CrashChange>;
    auto checksumReceived(const std::string &gateway, std::uint64_t checksum, TimePoint now) -> void;
    auto notable(TimePoint now) const -> std::vector<CrashRecord>; ///< the records that checksum() covers
    auto greeting(TimePoint now) const -> CrashMessage; ///< for a gateway that has just connected
    auto takeBroadcast(TimePoint now) -> CrashMessage; ///< records that have changed, for all gateways
    auto takeMessages() -> std::map<std::string, CrashMessage>; ///< by receiver

    auto expire(TimePoint now) -> std::vector<std::uint64_t>; ///< drops records after their lifetime; call about once a second

private:
    struct Event {
        bool isProbe = false;
        bool isWithdrawn = false;
        bool isOver = false;
        TimePoint at;
        TimePoint knownAt; ///< when this gateway learned of it
        std::string where;
        std::set<std::uint64_t> runs;

        auto isCountedEnd() const -> bool
        {
            return !isProbe && !isWithdrawn;
        }
        auto isProbeInProgress() const -> bool
        {
            return isProbe && !isWithdrawn && !isOver;
        }
    };
    struct Record {
        std::map<std::uint64_t, Event> events;
        TimePoint usedAt;
    };
    struct Query {
        TimePoint sentAt;
        std::optional<TimePoint> grantedAt;
        TimePoint deniedUntil;
    };
    using Records = std::unordered_map<std::uint64_t, Record>;
    auto endsOf(const Record &record) const -> std::size_t;
    auto runsOf(const Record &record) const -> std::size_t;
    auto rejects(const Record &record) const -> bool;
    auto isNotable(const Record &record) const -> bool;
    auto limitReachedAt(const Record &record) const -> std::optional<TimePoint>;
    auto looksLikeOutage(const Record &record) const -> bool;
    auto probeDueAt(const Record &record) const -> std::optional<TimePoint>;
    auto obstacleOf(const Record &record, TimePoint now) const -> ProbeObstacle;
    auto addRuns(Event &event, const std::vector<std::uint64_t> &runs) const -> bool;
    auto endProbes(std::uint64_t request, bool wasSent) -> void;
    auto grant(std::uint64_t request, const std::string &gateway, TimePoint now) -> bool;
    auto exported(std::uint64_t request, const Record &record, TimePoint now) const -> CrashRecord;
    auto findOrAdd(std::uint64_t request, TimePoint now) -> Record &;
    auto merge(const CrashRecord &received, TimePoint now) -> std::optional<CrashChange>;
    auto makeSpace() -> void;
    auto trim(Record &record) const -> void;

    std::string m_self;
    CrashRepeatOptions m_options;
    std::mt19937_64 m_random;
    std::set<std::string> m_live; ///< other gateways
    Records m_records;
    std::unordered_map<std::uint64_t, Query> m_queries; ///< of this gateway to arbiters
    std::unordered_set<std::uint64_t> m_endedTargets; ///< ids of ends that aren't withdrawn; may hold some that are
    std::map<std::string, TimePoint> m_pushedAt;
    std::uint64_t m_grants = 0;
    std::set<std::uint64_t> m_changed;
    mutable std::optional<std::uint64_t> m_checksum; ///< computed when it is needed
    std::map<std::string, CrashMessage> m_messages;
};

} // namespace KingCup
