// Renews this gateway's proof that the declarations it knows are the newest (core/freshness.h).
//
// Gateways that watch the store read the declarations' row from it; each other gateway asks one of the watchers. A gateway that gets no answer also asks
// a few random peers, whose proofs may come from any watcher. So a gateway whose own calls the store rejects still gets proofs. The cost grows linearly
// with the number of gateways.
//
// Index of sections (search for [SECTION]):
//   Parts           dependencies and settings
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
    Duration proofLifetime; ///< how long a proof is valid
    std::uint64_t seed = 1; ///< of the random choice of peers
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
    /// Proofs are renewed only while active: they are needed only where accounts are declared.
    auto setActive(bool isActive) -> void;
    auto onRequest(const std::string &from, const Wire::FreshnessRequest &request) -> void;
    auto onReply(const std::string &from, const Wire::FreshnessReply &reply) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
