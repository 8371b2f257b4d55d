// The load of a cell: the requests that all its gateways have in flight at its targets. No I/O.
//
// One gateway, the keeper, aggregates: the others report to it, and it publishes the sum. If every gateway reported to every other one, the number of reports
// would grow with the square of the number of gateways: hundreds of gateways on small hosts would spend more processor time on reports than on requests.
//
// The sum holds no state that can't be rebuilt: a new keeper has received all reports after one reporting period.
//
// Index of sections (search for [SECTION]):
//   Messages      a gateway's report, the cell's sum
//   CellLoadSum   the aggregation, at the keeper
//   OwnReports    the sum without a gateway's own part, at each gateway
#pragma once

#include "core/dispatch.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Messages

struct GatewayLoad {
    WorkDigest work;
    std::vector<SentPrefill> prefill; ///< sent since the gateway's last report
};

struct CellTargetLoad {
    TargetWork sum; ///< over all gateways; its `failures` is the highest value of any gateway, its `decodeFactor` the mean weighted by runs
    double nextFailures = 0; ///< the second highest `failures` of any gateway: the gateway with the highest value needs that of the others
    int ejections = 0; ///< gateways that have ejected the target
};

struct CellLoad {
    EntryId keeper; ///< incarnation of the keeper that published this sum
    std::uint64_t sequence = 0; ///< increases with each sum of this keeper
    std::vector<CellTargetLoad> targets;
    std::vector<SentPrefill> prefill; ///< reported to the keeper since its last sum
    std::vector<std::pair<TargetId, PromptChain>> prefilled; ///< prompt parts reported to the keeper as prefilled since its last sum
    std::map<EntryId, std::uint64_t> reported; ///< by gateway, the sequence of its report that this sum includes
};

// [SECTION] CellLoadSum

class CellLoadSum
{
public:
    /// `lifetime`: a gateway's load counts for this long after its last report.
    explicit CellLoadSum(EntryId keeper, Duration lifetime = Duration::seconds(2));

    // Queries
    auto hasOthers(TimePoint now) const -> bool; ///< has recent reports of gateways other than the keeper
    auto reportedWithin(Duration span, TimePoint now) const -> std::set<EntryId>; ///< gateways that have reported within the last `span`

    // Commands
    /// A report that isn't newer than the last one of its gateway is ignored.
    auto merge(const GatewayLoad &report, TimePoint now) -> void;
    /// Returns the next sum, and resets the prefill and prompt parts that were reported since the last one.
    auto take(TimePoint now) -> CellLoad;

private:
    struct Report {
        WorkDigest work;
        TimePoint at;
    };
    auto expire(TimePoint now) -> void;
    auto addWork(const Report &report, std::map<TargetId, CellTargetLoad> &targets, std::map<TargetId, int> &runsOfFactor) const -> void;
    static auto addDecodeFactor(const TargetWork &work, TargetWork &sum, int &runs) -> void;

    EntryId m_keeper;
    Duration m_lifetime;
    std::uint64_t m_sequence = 0;
    std::map<EntryId, Report> m_reports;
    std::map<TargetId, Duration> m_sentPrefill; ///< reported since the last sum
    std::vector<std::pair<TargetId, PromptChain>> m_prefilled; ///< reported since the last sum
};

// [SECTION] OwnReports

/// Keeps a gateway's own reports, to subtract them from the sums that include them.
class OwnReports
{
public:
    explicit OwnReports(EntryId self);

    /// Stores a report that was sent, until a sum includes a later one.
    auto sent(const GatewayLoad &report) -> void;
    /// The other gateways' part of a sum, in the form of one report of the keeper. Call it once for each sum, in order.
    auto withoutOwn(const CellLoad &cell) -> GatewayLoad;

private:
    struct Report {
        std::uint64_t sequence = 0;
        std::map<TargetId, TargetWork> work;
        std::vector<SentPrefill> prefill;
    };

    EntryId m_self;
    std::deque<Report> m_reports; ///< oldest first; older ones than the report that the last sum included are dropped
    std::uint64_t m_lastIncluded = 0; ///< sequence of the latest report that a sum has included
};

} // namespace KingCup
