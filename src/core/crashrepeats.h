// Detects requests that crash each target that runs them and are repeated by their clients, over all gateways together. Such a request is rejected once it
// was in flight at the ends of three targets; its repeats would otherwise crash all targets of a service one after the other.
//
// Each gateway keeps a record for each request that was in flight when a target ended (core/runwatch.h). A record is the set of these ends, each identified by
// the target's start, so that copies of a request on one target, or two gateways that report one end, count once. Each run that succeeds withdraws one end:
// requests that are sent often are in flight at many crashes of others, and succeed still more often. An end is also withdrawn if its target turns out to run.
//
// By the ends alone, a request that was in flight at outages can't be distinguished from one that causes them. So a rejected request is run again as a probe,
// two or three times in all, and a probe that succeeds clears the record. One gateway, the arbiter, grants the probes of a request. All gateways find it by
// rendezvous hashing among those that are live.
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
    std::size_t endsToBar = 3; ///< ends after which a request is rejected; the smallest number that two unrelated crashes don't reach
    /// Time before each probe, since the last end or probe. Ends within `outageSpan` suggest an outage, after which callers mustn't wait: then there is one
    /// probe more, at once. Three further runs are promised at most.
    std::vector<Duration> probeDelays {Duration::seconds(5), Duration::seconds(10)};
    Duration outageSpan = Duration::millis(1000); ///< between the first end and the one that led to the rejection
    Duration probeTime = Duration::millis(500); ///< after the grant of a probe, other copies wait this long for its result
    Duration replyTimeout = Duration::millis(150); ///< an arbiter that doesn't reply within this time grants no probe
    Duration grantLifetime = Duration::millis(1000); ///< of a granted probe that isn't used
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
    bool isWithdrawn = false;
    Duration age;
    std::string where; ///< the target that ended, or the gateway that may run the probe; for logs
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

/// The checksum of a gateway that has these records alone.
auto checksumOf(const std::vector<CrashRecord> &records, TimePoint now) -> std::uint64_t;

/// What became known of a record from a message, for the log.
struct CrashChange {
    std::uint64_t request = 0;
    int ends = 0; ///< not withdrawn
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
    auto isBarred(std::uint64_t request) const -> bool; ///< must not be sent to a target, except as a probe
    auto ends(std::uint64_t request) const -> int; ///< that aren't withdrawn
    /// Until a probe of the request may be granted, or, if no further one will be, until its record expires unless it is used.
    auto retryAfter(std::uint64_t request, TimePoint now) const -> Duration;
    auto arbiter(std::uint64_t request) const -> std::string; ///< the gateway that grants its probes
    auto barredCount() const -> std::size_t;
    auto checksum() const -> std::uint64_t; ///< of the records with `endsToBar` ends or more, also withdrawn ones

    // Commands: this gateway's requests
    auto targetEnded(std::uint64_t request, const TargetIncarnation &target, TimePoint now) -> bool; ///< false: this end was counted already
    auto succeeded(std::uint64_t request, bool wasProbe, TimePoint now) -> bool; ///< true: ends were withdrawn
    /// The target has answered a request that was sent at `sentAt`: ends that were counted before are withdrawn. Returns the requests concerned.
    auto targetAnswered(const TargetIncarnation &target, TimePoint sentAt) -> std::vector<std::uint64_t>;
    auto used(std::uint64_t request, TimePoint now) -> void; ///< a client has sent the request and it is rejected: its record is kept
    auto mayBeProbed(std::uint64_t request, TimePoint now) const -> bool; ///< asking the arbiter may be worthwhile
    auto isBeingProbed(std::uint64_t request, TimePoint now) const -> bool; ///< a probe may succeed any moment
    auto requestProbe(std::uint64_t request, TimePoint now) -> ProbeState; ///< a granted probe is used up

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
        TimePoint at;
        TimePoint knownAt; ///< when this gateway learned of it
        std::string where;

        auto isCountedEnd() const -> bool
        {
            return !isProbe && !isWithdrawn;
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
    auto rejects(const Record &record) const -> bool;
    auto isNotable(const Record &record) const -> bool;
    auto looksLikeOutage(const Record &record) const -> bool;
    auto probeDueAt(const Record &record) const -> std::optional<TimePoint>;
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
