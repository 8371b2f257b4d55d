// Exchanges the load that each gateway causes at the targets.
//
// Up to some dozens of gateways, each sends its load to every other one as part of its digest. With more gateways, each reports to a single one, the keeper
// of the cell's load view (core/cellkeeper.h). The keeper publishes the sum (core/cellload.h): directly in its own availability zone, and through one relay
// gateway in each other zone.
//
// Index of sections (search for [SECTION]):
//   Parts          dependencies and settings
//   LoadExchange   the task
#pragma once

#include "core/cellkeeper.h"
#include "core/cellload.h"
#include "gateway/digests.h"
#include "gateway/gatewaypeers.h"
#include "net/eventlog.h"
#include "net/metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

struct LoadExchangeParts {
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    Dispatcher &dispatcher;
    GatewayPeers &peers;
    const TargetNames &names;
};

struct LoadExchangeSettings {
    std::string id; ///< of this gateway
    EntryId self; ///< this incarnation of it
    int maxDirectPeers = 40; ///< number of other gateways up to which each sends its load to every other one
    Duration period = Duration::millis(50); ///< of reports to the keeper and of sums from it
};

// [SECTION] LoadExchange

class LoadExchange
{
public:
    LoadExchange(LoadExchangeParts parts, LoadExchangeSettings settings);
    ~LoadExchange();
    LoadExchange(const LoadExchange &) = delete;
    auto operator=(const LoadExchange &) -> LoadExchange & = delete;

    // Queries
    auto isDirect() const -> bool; ///< this gateway's digests carry its load to all others; no keeper is used

    // Commands
    auto setMembers(const std::vector<CellMember> &members) -> void; ///< all registered gateways, this one included
    auto reportNow() -> void; ///< reports to the keeper without waiting for the next period: other gateways should soon know of a request that was sent
    auto onReport(const Wire::GatewayLoad &message) -> void;
    auto onSum(const std::string &from, const Wire::CellLoad &message) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
