// Requests that take down each target that runs them, and come again. The third target that broke off in a row while it ran the same request is
// the last one: sent on, such a request would empty a service one target after the other, at any entry that it reaches.
//
// Only breaks one after the other count, and some time apart: when many targets fail at once, or one is down and breaks off whatever it gets,
// each request breaks off, maybe several times within moments, and is none of these. And whatever came to a good end once takes nothing
// down.
//
// Load pattern: a client repeats one request each second or so, at any entry; each try kills a target for some seconds. Pure.
#pragma once

#include "core/units.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace KingCup
{

struct CrashRepeatOptions {
    int breaksToBar = 3; ///< targets; the least that tells such a request from two accidents of targets within the lifetime
    Duration minInterval
        = Duration::millis(900); ///< between breaks that count; a crashed target is down for longer, and clients come again after about a second
    Duration lifetime = Duration::seconds(120); ///< after the last break; who repeats a request does so within its patience, some seconds
    std::size_t maxRecords = 4096; ///< requests remembered; beyond, no further ones are
};

/// The same for requests with the same host, path and body.
auto requestFingerprint(std::string_view host, std::string_view path, std::string_view body) -> std::uint64_t;

class CrashRepeats
{
public:
    explicit CrashRepeats(CrashRepeatOptions options = {});

    auto isEmpty() const -> bool; ///< nothing is suspected: fingerprints needn't be made
    auto isBarred(std::uint64_t fingerprint, TimePoint now) const -> bool;
    auto breaks(std::uint64_t fingerprint) const -> int;

    /// The target broke off while it ran the request. True if that counts: other entries are to be notified then.
    auto targetBrokeOff(std::uint64_t fingerprint, TimePoint sentAt, TimePoint now) -> bool;
    auto succeeded(std::uint64_t fingerprint) -> void;
    /// Another entry has counted that many.
    auto reported(std::uint64_t fingerprint, int breaks, TimePoint now) -> void;
    auto expire(TimePoint now) -> void; ///< call every second or so

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
