// The load that other gateways have reported for each target. No I/O.
//
// The pending prefill of a report is reduced by the time that has passed since it arrived, and a report that is older than its lifetime no longer counts.
//
// Index of sections (search for [SECTION]):
//   Reports     what gateways send each other
//   PeerLoads   the last report of each gateway
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

/// One gateway's requests in flight at one target.
struct TargetWork {
    TargetId target;
    int running = 0; ///< sends that haven't ended
    std::array<Duration, UrgencyBandCount> pendingPrefill; ///< by band, as the gateway estimates it
    std::int64_t tokens = 0; ///< KV memory that the gateway's running requests may take
    double failures = 0; ///< recent share of failed sends, 0 (none) to 1 (all)
    bool isEjected = false; ///< the gateway has ejected the target, because requests got no answer from it
    double decodeFactor = 0; ///< duration of the target's decode steps, relative to other targets with the same load; 0: unknown
};

/// Prefill that one gateway has sent to a target since its last report.
struct SentPrefill {
    TargetId target;
    Duration prefill;
};

struct WorkDigest {
    EntryId entry; ///< one incarnation of a gateway: "ID#INCARNATION", or the id only
    std::uint64_t sequence = 0; ///< a digest that isn't newer than the last one is ignored
    std::vector<TargetWork> work;
    std::vector<std::pair<TargetId, PromptChain>> prefilled; ///< prompt parts of the gateway's sends since its last digest, by the target that prefills them
};

// [SECTION] PeerLoads

/// Sum of the other gateways' work at one target.
struct PeerWork {
    int running = 0;
    BandMillis pendingPrefill {};
    std::int64_t tokens = 0;
    double ageMillis = 0; ///< mean age of the reports
};

class PeerLoads
{
public:
    explicit PeerLoads(Duration lifetime = Duration::seconds(2));

    // Queries
    auto size() const -> std::size_t; ///< reports kept, including expired ones
    auto hasFresh(TimePoint now) const -> bool; ///< any report that hasn't expired
    auto work(const TargetId &target, TimePoint now) const -> PeerWork;
    auto worstFailures(const TargetId &target, TimePoint now) const -> double; ///< highest reported share of failures; 0 without a report
    /// Another gateway has reported the target as ejected after `since`.
    auto isEjected(const TargetId &target, TimePoint since, TimePoint now) const -> bool;

    // Commands
    /// False if the digest isn't newer than the last one of that gateway.
    auto merge(const WorkDigest &digest, TimePoint now) -> bool;
    /// Drops the reports of all incarnations of that gateway. If `entry` names one incarnation ("ID#INCARNATION"), drops only the report of that one.
    auto gatewayGone(const EntryId &entry) -> void;

private:
    struct Report {
        std::uint64_t sequence = 0;
        TimePoint at;
        std::map<TargetId, TargetWork> work;
    };
    auto find(const Report &report, const TargetId &target, TimePoint now) const -> const TargetWork *; ///< null: none, or expired

    Duration m_lifetime;
    std::map<EntryId, Report> m_reports;
};

} // namespace KingCup
