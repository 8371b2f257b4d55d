// The load of a cell: what all its gateways have under way at its targets. Pure.
//
// One gateway keeps the view: the others report to it, and it publishes the sum. Reports sent by everybody to everybody grow with the square of the gateways:
// hundreds of them on small hosts would spend more processor time on each other's reports than on requests.
//
// The view holds nothing that can't be rebuilt: a new keeper has all reports within one period of them.
//
// Index of sections (search for [SECTION]):
//   Messages      a gateway's report, the cell's sum
//   CellLoadSum   at the keeper
//   OwnReports    at each gateway: the sum without its own part
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
    std::vector<SentPrefill> prefill; ///< sent since the last report
};

struct CellTargetLoad {
    TargetWork sum; ///< failures: the highest of any gateway
    double nextFailures = 0; ///< the second highest
    int ejections = 0; ///< gateways that have ejected the target
};

struct CellLoad {
    EntryId keeper; ///< one start of it
    std::uint64_t sequence = 0; ///< rises
    std::vector<CellTargetLoad> targets;
    std::vector<SentPrefill> prefill; ///< reported since the last sum
    std::vector<std::pair<TargetId, PromptChain>> prefilled; ///< likewise
    std::map<EntryId, std::uint64_t> reported; ///< by gateway, the last of its reports that is included
};

// [SECTION] CellLoadSum

class CellLoadSum
{
public:
    /// `lifetime`: of a report; a gateway that is silent for longer no longer counts.
    explicit CellLoadSum(EntryId keeper, Duration lifetime = Duration::seconds(2));

    // Queries
    auto hasOthers(TimePoint now) const -> bool; ///< reports of gateways other than the keeper
    auto reportedWithin(Duration span, TimePoint now) const -> std::set<EntryId>; ///< gateways

    // Commands
    /// A report that isn't newer than the last one of its gateway is ignored.
    auto merge(const GatewayLoad &report, TimePoint now) -> void;
    auto take(TimePoint now) -> CellLoad;

private:
    struct Report {
        WorkDigest work;
        TimePoint at;
    };
    auto expire(TimePoint now) -> void;
    auto addWork(const Report &report, std::map<TargetId, CellTargetLoad> &targets) const -> void;

    EntryId m_keeper;
    Duration m_lifetime;
    std::uint64_t m_sequence = 0;
    std::map<EntryId, Report> m_reports;
    std::map<TargetId, Duration> m_sentPrefill; ///< since the last sum
    std::vector<std::pair<TargetId, PromptChain>> m_prefilled; ///< likewise
};

// [SECTION] OwnReports

class OwnReports
{
public:
    explicit OwnReports(EntryId self);

    /// Keeps a report that was sent, until a sum includes a later one.
    auto sent(const GatewayLoad &report) -> void;
    /// The other gateways' part of a sum, as one report of its keeper. Each sum is to be given once, in order.
    auto withoutOwn(const CellLoad &cell) -> GatewayLoad;

private:
    struct Report {
        std::uint64_t sequence = 0;
        std::map<TargetId, TargetWork> work;
        std::vector<SentPrefill> prefill;
    };

    EntryId m_self;
    std::deque<Report> m_reports; ///< the oldest is the one that the last sum included
    std::uint64_t m_lastIncluded = 0;
};

} // namespace KingCup
