// Exchanges the usage of client accounts between gateways (core/sharedusage.h).
//
// Reports are part of each digest. A report is urgent if its account is nearly used up or much was charged; it is sent within milliseconds, as otherwise each
// gateway would admit requests up to all that is left of the account's limit.
//
// Index of sections (search for [SECTION]):
//   Parts           dependencies
//   UsageExchange   the task
#pragma once

#include "core/sharedusage.h"
#include "gateway/gatewaypeers.h"

#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

struct UsageExchangeParts {
    EventLoop &loop;
    GatewayPeers &peers;
    SharedUsage &usage;
};

// [SECTION] UsageExchange

class UsageExchange
{
public:
    /// `self`: this incarnation of this gateway.
    UsageExchange(UsageExchangeParts parts, std::string self);

    /// All registered gateways but this one, and the period of their digests.
    auto setGateways(const std::vector<std::string> &others, Duration digestPeriod) -> void;
    auto charged(const AccountName &account) -> void; ///< a request was admitted; sends a report if it is urgent
    auto writeReport(Wire::AccountUsage &message) -> void; ///< fills in the amounts that are due
    /// `start`: the incarnation of the sender `id`.
    auto merge(const std::string &id, const std::string &start, const Wire::AccountUsage &message) -> void;

private:
    auto publishSoon() -> void;

    UsageExchangeParts m_parts;
    std::string m_self;
    Timer m_timer;
};

} // namespace KingCup
