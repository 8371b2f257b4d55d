// What client accounts use, exchanged between gateways (core/sharedusage.h).
//
// Reports go with each digest. A report that is urgent, since its account is nearly used up or much was charged, goes out within milliseconds: with an old view
// each gateway would admit what is left.
//
// Index of sections (search for [SECTION]):
//   Parts           what it needs
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
    /// `self`: this start of this process.
    UsageExchange(UsageExchangeParts parts, std::string self);

    /// All registered gateways but this one, and how often they send digests.
    auto setGateways(const std::vector<std::string> &others, Duration digestPeriod) -> void;
    auto charged(const AccountName &account) -> void;
    auto writeReport(Wire::AccountUsage &message) -> void; ///< what is due, for a digest
    /// `start`: of the sender `id`.
    auto merge(const std::string &id, const std::string &start, const Wire::AccountUsage &message) -> void;

private:
    auto publishSoon() -> void;

    UsageExchangeParts m_parts;
    std::string m_self;
    Timer m_timer;
};

} // namespace KingCup
