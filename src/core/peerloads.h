// What other entries have reported of their work at targets. Pure.
//
// Reports age: what was yet to be prefilled when they were written has been worked on since, and one that is older than its lifetime no longer counts.
//
// Index of sections (search for [SECTION]):
//   Reports     what entries send each other
//   PeerLoads   the last report of each
#pragma once

#include "core/ids.h"
#include "core/prefillqueue.h"
#include "core/promptcache.h"
#include "core/traffic.h"
#include "core/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Reports

/// One entry's work at one target.
struct TargetWork {
    TargetId target;
    int running = 0; ///< sends without an end
    std::array<Duration, UrgencyBands> pendingPrefill; ///< by its own estimate, by band
    std::int64_t tokens = 0; ///< memory that its running requests may take
    double failures = 0; ///< 0 (none) to 1 (all of late)
    bool isEjected = false; ///< requests don't get through to it
};

/// Prefill that one entry has sent to a target since its last report.
struct SentPrefill {
    TargetId target;
    Duration prefill;
};

struct WorkDigest {
    EntryId entry; ///< one start of a process: "ID#INCARNATION", or a bare id
    std::uint64_t sequence = 0; ///< a lower one than the last is ignored
    std::vector<TargetWork> work;
    std::vector<std::pair<TargetId, PromptChain>> prefilled; ///< prompt beginnings that its sends made targets prefill since the last digest
};

// [SECTION] PeerLoads

/// The others' work at one target, summed up.
struct PeerWork {
    int running = 0;
    BandMillis pendingPrefill {};
    std::int64_t tokens = 0;
    double ageMillis = 0; ///< of the reports, in the mean
};

class PeerLoads
{
public:
    explicit PeerLoads(Duration lifetime = Duration::seconds(2));

    // Queries
    auto size() const -> std::size_t; ///< reports kept, old ones included
    auto hasFresh(TimePoint now) const -> bool;
    auto work(const TargetId &target, TimePoint now) const -> PeerWork;
    auto worstFailures(const TargetId &target, TimePoint now) const -> double; ///< 0 without a report
    /// Some entry reports the target as ejected, later than `since`.
    auto isEjected(const TargetId &target, TimePoint since, TimePoint now) const -> bool;

    // Commands
    /// False if a later digest of that entry is known.
    auto merge(const WorkDigest &digest, TimePoint now) -> bool;
    /// `entry`: all starts of that process.
    auto gatewayGone(const EntryId &entry) -> void;

private:
    struct Report {
        std::uint64_t sequence = 0;
        TimePoint at;
        std::map<TargetId, TargetWork> work;
    };
    auto find(const Report &report, const TargetId &target, TimePoint now) const -> const TargetWork *; ///< null: none, or too old

    Duration m_lifetime;
    std::map<EntryId, Report> m_reports;
};

} // namespace KingCup
