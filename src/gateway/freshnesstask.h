// Keeps this gateway's proof young that the declarations it knows are the newest (core/freshness.h).
//
// Gateways that watch the store read the declarations' row from it; the others ask one of those. Who gets no answer asks some others, which have a proof from
// anywhere: a gateway that the store rejects alone is served by its peers. The cost grows with the gateways, not with their pairs.
//
// Index of sections (search for [SECTION]):
//   Parts           what it needs
//   FreshnessTask   the task
#pragma once

#include "core/accountaccess.h"
#include "gateway/gatewaypeers.h"
#include "gateway/storeclient.h"
#include "gateway/storefollower.h"
#include "net/metrics.h"

#include <memory>

namespace KingCup
{

// [SECTION] Parts

struct FreshnessParts {
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    GatewayPeers &peers;
    StoreClient &store;
    StoreFollower &follower;
    AccountAccess &access;
};

struct FreshnessSettings {
    std::string declarationsKey; ///< key of the declarations' row
    Duration proofLifetime; ///< for as long a proof is of use
    std::uint64_t seed = 1; ///< of the choice of peers
};

// [SECTION] FreshnessTask

class FreshnessTask
{
public:
    FreshnessTask(FreshnessParts parts, FreshnessSettings settings);
    ~FreshnessTask();
    FreshnessTask(const FreshnessTask &) = delete;
    auto operator=(const FreshnessTask &) -> FreshnessTask & = delete;

    auto setProofLifetime(Duration lifetime) -> void;
    /// Proofs are sought only where accounts are declared.
    auto setActive(bool isActive) -> void;
    auto onRequest(const std::string &from, const Wire::FreshnessRequest &request) -> void;
    auto onReply(const std::string &from, const Wire::FreshnessReply &reply) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
