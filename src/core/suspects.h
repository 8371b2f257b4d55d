// Requests that crash their target. Each request that was in flight when a target crashed is suspected and runs alone from then on. One that was in flight at
// a second crash is quarantined: it is refused everywhere with a clear error, so that one request crashes at most two targets.
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
    Clear, ///< run it like any other request
    Alone, ///< run it while no other request runs on the target
    Quarantined, ///< refuse it
};
auto toString(Verdict verdict) -> const char *;

struct SuspectsOptions {
    /// Maximum number of fingerprints. Beyond it suspected ones are evicted before quarantined ones, and in each group those that expire first.
    std::size_t maxRecords = 4096;
    Duration suspectFor = Duration::seconds(600);
    Duration quarantineFor = Duration::seconds(86400);
};

/// A suspected fingerprint and the crashes at which it was in flight, as "TARGET#GENERATION". This text identifies a crash: without it
/// one crash that two processes report would count as two, and an innocent request would be quarantined.
struct Suspicion {
    std::string fingerprint;
    std::vector<std::string> crashes;
};

/// The suspicions that a process sends to others.
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
    /// A target crashed while requests with these fingerprints were in flight. Two reports of one crash (same target and generation) count once.
    auto targetCrashed(const TargetId &target, std::uint64_t generation, const std::vector<std::string> &inFlight, TimePoint now) -> void;
    /// A suspected request ran alone to its end: its suspicion is cleared.
    auto completedAlone(const std::string &fingerprint, TimePoint now) -> void;
    /// Merges a digest of another process. A digest doesn't extend a suspicion or quarantine that is already known here, so that two processes can't keep a
    /// record alive by sending it to each other.
    auto merge(const SuspectDigest &digest, TimePoint now) -> void;
    auto expire(TimePoint now) -> void; ///< drops expired records; call about once a second

private:
    struct Record {
        bool quarantined = false;
        bool isQuarantineOver = false; ///< the quarantine has expired: digests that list the fingerprint as quarantined are ignored
        bool cleared = false; ///< no longer suspected; kept for suspectFor so that a digest doesn't restore the suspicion
        TimePoint expiresAt;
        std::set<std::string> crashes; ///< "target#generation"
    };
    auto evictOldest() -> void;
    auto quarantine(Record &record, TimePoint now) -> void;

    SuspectsOptions m_options;
    std::map<std::string, Record> m_records;
};

} // namespace KingCup
