// How gateways learn of each other's load at the targets.
//
// Up to some dozens of gateways each sends its load to each other one, with its digest. Beyond that each reports to one of them, the keeper of the cell's load
// view (core/cellkeeper.h), which publishes the sum (core/cellload.h): to its own availability zone directly, to each other zone through one gateway there.
//
// Index of sections (search for [SECTION]):
//   Parts          what it needs
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
    EntryId self; ///< this start of it
    int maxDirectPeers = 40; ///< other gateways up to which each sends its load to each
    Duration period = Duration::millis(50); ///< of reports to the keeper, and of sums from it
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
    auto isDirect() const -> bool; ///< digests to all carry this gateway's load

    // Commands
    auto setMembers(const std::vector<CellMember> &members) -> void; ///< all registered gateways, this one included
    auto reportNow() -> void; ///< something was sent that others should know of before the next period
    auto onReport(const Wire::GatewayLoad &message) -> void;
    auto onSum(const std::string &from, const Wire::CellLoad &message) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
