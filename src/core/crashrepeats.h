// Detects a request that crashes each target that runs it and is repeated by its client. When three targets in a row have broken off while they ran the
// same request, the request is barred, that is, refused. Otherwise the repeats, at whichever gateway, would crash all targets of a service one after the
// other.
//
// A break counts only if the request was sent after the previous break that counted, and minInterval has passed since. If many targets fail at the same time,
// or a target is down and breaks off everything it gets, a request may break off several times within moments without being the cause. A request that has
// succeeded once isn't suspected any more.
//
// Load pattern: a client repeats one request about every second, at any gateway, and each attempt crashes a target for some seconds. No I/O.
#pragma once

#include "core/units.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace KingCup
{

struct CrashRepeatOptions {
    int breaksToBar = 3; ///< breaks after which a request is barred; the smallest number that two unrelated target failures within the lifetime don't reach
    /// Minimum time between breaks that count. A crashed target is down for longer, and clients repeat after about a second.
    Duration minInterval = Duration::millis(900);
    Duration lifetime = Duration::seconds(120); ///< lifetime of a record after its last break; clients repeat a request within some seconds
    std::size_t maxRecords = 4096; ///< maximum number of records; beyond it no further requests are recorded
};

/// A fingerprint that is equal for requests with the same host, path and body.
auto requestFingerprint(std::string_view host, std::string_view path, std::string_view body) -> std::uint64_t;

/// Whether the end of a run counts, and why not.
enum class BreakVerdict {
    Counted,
    SentBefore, ///< the run began before the last break that counts
    TooSoon, ///< after the last break that counts
    NoRecord, ///< too many requests are recorded
};
auto toString(BreakVerdict verdict) -> const char *;

class CrashRepeats
{
public:
    explicit CrashRepeats(CrashRepeatOptions options = {});

    auto isEmpty() const -> bool; ///< there is no record, so fingerprints needn't be computed
    auto isBarred(std::uint64_t fingerprint, TimePoint now) const -> bool; ///< the request must not be sent to a target
    auto breaks(std::uint64_t fingerprint) const -> int; ///< number of breaks counted so far

    /// The target broke off while it ran the request. If the break counts, the other gateways must be notified.
    auto targetBrokeOff(std::uint64_t fingerprint, TimePoint sentAt, TimePoint now) -> BreakVerdict;
    auto succeeded(std::uint64_t fingerprint) -> bool; ///< the request ran without a break: drops its record; false: there is none
    /// Another gateway has counted this many breaks.
    auto reported(std::uint64_t fingerprint, int breaks, TimePoint now) -> bool; ///< false: no more than known here
    auto expire(TimePoint now) -> std::vector<std::uint64_t>; ///< drops records after their lifetime and returns them; call about once a second

private:
    struct Record {
        int breaks = 0;
        TimePoint lastAt;
    };
    auto findOrAdd(std::uint64_t fingerprint) -> Record *;

    CrashRepeatOptions m_options;
    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace KingCup
