// Gives runners their orders, in the one gateway that holds the lease; in the others it only follows what runners hold.
//
// Index of sections (search for [SECTION]):
//   Hooks       what it needs and tells
//   OrderTask   the task
#pragma once

#include "core/adapterplan.h"
#include "core/copyplan.h"
#include "core/loadmeter.h"
#include "core/orderlease.h"
#include "gateway/protocol.h"
#include "gateway/storeclient.h"
#include "net/eventlog.h"
#include "net/httppool.h"
#include "net/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

// [SECTION] Hooks

struct OrderTaskParts {
    EventLoop &loop;
    const Protocol &protocol;
    HttpPool &pool;
    StoreClient &store;
    Metrics &metrics;
    EventLog &log;
};

struct OrderTaskHooks {
    std::function<std::map<std::string, ModelWork>(const ServiceName &service)> work; ///< by model
    std::function<double(const TargetId &target)> load; ///< the share of its slots in use
    std::function<bool(const TargetId &target)> isFailing; ///< requests don't get through to it
    std::function<void(const std::map<TargetId, CopyMove> &moves)> onMoves; ///< those under way have changed
    std::function<std::map<CopyKey, int>()> drainingStreams; ///< under way at draining replicas, as all gateways reported
    std::function<double(const CopyKey &copy)> estimatedStreams; ///< under way at any copy
    /// What a runner holds has changed; known here before its row says so.
    std::function<void(const TargetDescription &target)> onResidency;
    /// This gateway may give orders from now on: others are to be notified at once, as they send their pending requests only then.
    std::function<void()> onLeaseAcquired;
};

struct OrderTaskSettings {
    HolderName self;
    OrderLeaseOptions lease;
    Duration loadWindow = Duration::seconds(5);
    double loadOvershoot = 1;
    CopyPlanOptions plan;
    Duration planPeriod = Duration::millis(100); ///< between two looks at models; the quickest load takes some four times as long
    Duration answerTimeout = Duration::millis(250); ///< of an order or a report; an order is answered before it is carried out
    Duration settleTime = Duration::millis(1500); ///< after the last new target until models are planned: at a start their rows come in over seconds
    Duration demandKnownAfter = Duration::seconds(3); ///< of the first request that is counted: six of the forecast's buckets
    Duration pendingLifetime = Duration::millis(1500); ///< a request that waits for an adapter is refused before that
};

// [SECTION] OrderTask

/// What a request waits for.
struct MissingArtifact {
    ServiceName service;
    std::string model;
    std::string adapter; ///< empty: the model itself
};

class OrderTask
{
public:
    OrderTask(OrderTaskParts parts, OrderTaskSettings settings, OrderTaskHooks hooks);
    ~OrderTask();
    OrderTask(const OrderTask &) = delete;
    auto operator=(const OrderTask &) -> OrderTask & = delete;

    // Queries
    auto mayOrder() const -> bool;
    auto lease() const -> const OrderLease &;

    auto pendingArtifacts() const -> std::vector<MissingArtifact>; ///< what requests waited for within the last moments

    // Commands
    auto lease() -> OrderLease &; ///< for what other gateways say
    /// Another gateway has reported its streams at draining replicas: one may have none any more.
    auto planSoon() -> void;
    auto adoptEngine(const ServiceName &service, const EngineDeclaration &engine) -> void;
    auto targetSeen(const TargetDescription &target) -> void;
    auto targetGone(const TargetId &target) -> void;
    /// A request waits for a model or an adapter, and another gateway gives orders, or none yet: kept for the next holder.
    auto addPending(const ServiceName &service, const std::string &model, const std::string &adapter) -> void;
    /// Likewise, and this gateway gives the orders.
    auto artifactMissing(const ServiceName &service, const std::string &model, const std::string &adapter) -> void;
    /// The only runner with an adapter is too busy to answer a request for it in time: it is loaded on a second one.
    auto adapterOverloaded(const ServiceName &service, const std::string &model, const std::string &adapter) -> void;
    auto adapterUsed(const TargetId &target, const std::string &model, const std::string &adapter) -> void;
    auto modelRequested(const std::string &model) -> void; ///< requests for it have come, here or at another gateway
    /// What runners hold, as far as it is known here: for gateways that have just come up.
    auto residencies() const -> std::vector<TargetDescription>;
    /// No orders from here on: this process stops.
    auto stop() -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
