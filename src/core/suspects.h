// Requests that crash their target. Whatever was in flight at a crash is suspected and runs alone from then on; what was in flight
// at a second crash is quarantined: refused everywhere with a clear error, so that one request costs two targets at most.
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

enum class Verdict {
    Clear, ///< run it as any other
    Alone, ///< run it with nothing else on the target
    Quarantined, ///< refuse it
};
auto toString(Verdict verdict) -> const char *;

struct SuspectsOptions {
    std::size_t maxRecords = 4096; ///< fingerprints kept; the oldest suspects go first, quarantined ones last
    Duration suspectFor = Duration::seconds(600);
    Duration quarantineFor = Duration::seconds(86400);
};

/// A suspected fingerprint and the crashes it was in flight at, as "TARGET#GENERATION". Without the crashes, one that is reported by two processes
/// would count as two and an innocent request would be quarantined.
struct Suspicion {
    std::string fingerprint;
    std::vector<std::string> crashes;
};

/// What one process tells others.
struct SuspectDigest {
    std::vector<Suspicion> suspected;
    std::vector<std::string> quarantined;
};

class Suspects
{
public:
    explicit Suspects(SuspectsOptions options = {});

    // Queries
    auto verdict(const std::string &fingerprint, TimePoint now) const -> Verdict;
    auto digest(TimePoint now) const -> SuspectDigest;
    auto size() const -> std::size_t;

    // Commands
    /// A target crashed with these in flight. Two reports of one crash (same target, same generation that died) count once.
    auto targetCrashed(const TargetId &target, std::uint64_t generation, const std::vector<std::string> &inFlight, TimePoint now) -> void;
    /// A suspect that ran alone to its end is cleared.
    auto completedAlone(const std::string &fingerprint, TimePoint now) -> void;
    /// Learns what another process knows. It never lengthens a record, so that two processes can't keep one alive between them.
    auto merge(const SuspectDigest &digest, TimePoint now) -> void;
    auto expire(TimePoint now) -> void; ///< drops what is over; call every second or so

private:
    struct Record {
        bool quarantined = false;
        bool isQuarantineOver = false; ///< its quarantine ran out: gossip of it is ignored
        bool cleared = false; ///< kept for a while so that gossip doesn't bring the suspicion back
        TimePoint expiresAt;
        std::set<std::string> crashes; ///< "target#generation"
    };
    auto evictOldest() -> void;
    auto quarantine(Record &record, TimePoint now) -> void;

    SuspectsOptions m_options;
    std::map<std::string, Record> m_records;
};

} // namespace KingCup
