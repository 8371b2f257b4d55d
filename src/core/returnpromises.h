// Requests that a target's arbiter has rejected with a time to return. A request that returns around that time is served before new requests of its band, and
// keeps its age. No I/O.
//
// Clients return on a new connection, usually at another gateway and with a new attempt id, so a request is recognized by its fingerprint
// (requestFingerprint() in core/crashsubjects.h). A promise reserves no slot: it only decides the order among requests that wait, so a client that doesn't
// return leaves no slot idle, and a promise can't delay a more urgent band.
//
// The arbiter of a target has one ReturnPromises for the target. Promises are lost with the arbiter; their requests then return as new ones.
//
// Index of sections (search for [SECTION]):
//   Options          bounds
//   ReturnPromises   the promises of one arbiter
#pragma once

#include "core/traffic.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace KingCup
{

// [SECTION] Options

struct ReturnPromiseOptions {
    std::size_t maxPromises = 1024; ///< about 150 KB. Beyond it the least urgent promise is dropped, and of these the one that is due last
    Duration early = Duration::millis(100); ///< a request that arrives up to this much before its time is in time
    /// A request that arrives up to this much after its time is in time; afterwards its promise expires. Covers a new connection to another gateway and the
    /// query of that gateway (at most one per 20 ms), with the client's own delay.
    Duration late = Duration::millis(500);
    Duration maxAhead = Duration::seconds(30); ///< a promise that is due later than this is not stored
};

// [SECTION] ReturnPromises

/// What a returning request is owed.
struct ReturnClaim {
    TimePoint firstArrival; ///< of the request's first attempt: its age counts from there
    UrgencyBand band = UrgencyBand::Normal; ///< of the rejected attempt
    bool isInTime = false; ///< served before new requests of its band; false: it has returned early
};

/// Totals since the start, for metrics.
struct ReturnPromiseCounts {
    std::uint64_t given = 0;
    std::uint64_t kept = 0; ///< claimed in time
    std::uint64_t early = 0; ///< claimed before their time
    std::uint64_t expired = 0; ///< not claimed
    std::uint64_t dropped = 0; ///< not stored, or dropped because of maxPromises
};

class ReturnPromises
{
public:
    explicit ReturnPromises(ReturnPromiseOptions options = {});

    // Queries
    auto size() const -> std::size_t;
    auto dueBy(TimePoint until) const -> int; ///< promises whose time is at or before `until`
    auto counts() const -> const ReturnPromiseCounts &;

    // Commands
    /// A request is rejected with a time to return. Requests with the same fingerprint have a promise each. Returns whether the promise is stored.
    auto promise(std::uint64_t fingerprint, UrgencyBand band, TimePoint firstArrival, TimePoint dueAt, TimePoint now) -> bool;
    /// A request arrives. Its promise ends with this call, so call it once for each attempt of a client, not for repeated queries of one attempt.
    auto claim(std::uint64_t fingerprint, TimePoint now) -> std::optional<ReturnClaim>;
    auto expire(TimePoint now) -> void; ///< also done by the other commands

private:
    struct Promise {
        std::uint64_t fingerprint = 0;
        UrgencyBand band = UrgencyBand::Normal;
        TimePoint firstArrival;
    };
    using ByDueTime = std::multimap<TimePoint, Promise>;
    auto remove(ByDueTime::iterator position) -> void;
    auto leastUrgent() -> ByDueTime::iterator;

    ReturnPromiseOptions m_options;
    ByDueTime m_promises;
    std::unordered_multimap<std::uint64_t, ByDueTime::iterator> m_byFingerprint;
    ReturnPromiseCounts m_counts;
};

} // namespace KingCup
