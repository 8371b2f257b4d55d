// Orders runners to load and unload models and adapters.
//
// Only the gateway that holds the order lease (core/orderlease.h) gives orders. In the other gateways, this task tracks what runners hold and keeps a list of
// the artifacts that requests wait for, which is sent to the next lease holder.
//
// Index of sections (search for [SECTION]):
//   Hooks       dependencies, callbacks and settings
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
#include <optional>
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
    std::function<std::map<std::string, ModelWork>(const ServiceName &service)> work; ///< demand by model
    std::function<double(const TargetId &target)> load; ///< share of the target's slots in use
    std::function<double(const TargetIncarnation &target)> unavailable; ///< share of the target's time that its request limit leaves unused
    std::function<bool(const TargetId &target)> isFailing; ///< the target is ejected because requests to it fail
    std::function<void(const std::map<TargetId, CopyMove> &moves)> onMoves; ///< the moves in progress have changed
    std::function<std::map<CopyKey, int>()> drainingStreams; ///< streams in flight at each draining replica, summed over all gateways
    std::function<double(const CopyKey &copy)> estimatedStreams; ///< streams in flight at a replica over all gateways, estimated from this gateway's streams
    std::function<std::optional<TimePoint>(const TargetIncarnation &target)> pausedUntil; ///< the runner has asked this gateway to send nothing until then
    std::function<void(const TargetIncarnation &target, const AnswerTraits &answer)> onAnswer; ///< a runner's answer to an order or a report call has arrived
    /// Another target, `found`, answered an order at the address of `target`.
    std::function<void(const TargetId &target, const TargetId &found)> onReplaced;
    /// The models or adapters that a runner holds have changed. The runner's row in the store shows it only later.
    std::function<void(const TargetDescription &target)> onResidency;
    /// This gateway may give orders from now on. The other gateways must learn of it at once: only then do they send this one the artifacts that
    /// requests wait for.
    std::function<void()> onLeaseAcquired;
};

struct OrderTaskSettings {
    HolderName self; ///< this incarnation of this gateway
    OrderLeaseOptions lease;
    Duration loadWindow = Duration::seconds(5); ///< time window in which loads from the weight store are counted
    double loadOvershoot = 1; ///< factor on the declared load rate
    CopyPlanOptions plan;
    Duration planPeriod = Duration::millis(100); ///< between two rounds of model planning; the quickest load takes about four times as long
    Duration answerTimeout = Duration::millis(250); ///< of an order or a report call; a runner answers an order before it carries it out
    /// Models are planned from this long after the last new target on, but at the latest from MaxSettleFactor times this long after the start: at start-up,
    /// target rows arrive over several seconds.
    Duration settleTime = Duration::millis(1500);
    /// Until this long after the first request, models without requests don't count as unused. Six buckets of the forecast.
    Duration demandKnownAfter = Duration::seconds(3);
    /// A missing artifact that isn't reported again for this long is dropped; requests that wait for it are rejected sooner.
    Duration pendingLifetime = Duration::millis(1500);
};

// [SECTION] OrderTask

/// A model or an adapter that a request waits for.
struct MissingArtifact {
    ServiceName service;
    std::string model;
    std::string adapter; ///< empty: the model itself
    SoftwareVersion softwareVersion; ///< of the runners on which it is missing; empty: it is missing on all

    auto operator<=>(const MissingArtifact &) const = default;
};

class OrderTask
{
public:
    OrderTask(OrderTaskParts parts, OrderTaskSettings settings, OrderTaskHooks hooks);
    ~OrderTask();
    OrderTask(const OrderTask &) = delete;
    auto operator=(const OrderTask &) -> OrderTask & = delete;

    // Queries
    auto mayOrder() const -> bool; ///< this gateway may give orders now
    auto lease() const -> const OrderLease &;

    auto pendingArtifacts() const -> std::vector<MissingArtifact>; ///< artifacts that were reported as missing within `pendingLifetime`

    // Commands
    auto lease() -> OrderLease &; ///< for applying reports of other gateways
    /// Plans models at the next tick if moves are in progress. To be called when another gateway has reported its streams at draining replicas: the last
    /// of these streams may have ended.
    auto planSoon() -> void;
    auto adoptEngine(const ServiceName &service, const EngineDeclaration &engine) -> void; ///< new or changed declaration of a service's runners
    auto targetSeen(const TargetDescription &target) -> void;
    auto targetGone(const TargetId &target) -> void;
    auto targetPaused(const TargetIncarnation &target) -> void; ///< it has asked this gateway to send nothing for some time
    /// Keeps a missing artifact for the next lease holder. For gateways that may not give orders.
    auto addPending(const MissingArtifact &artifact) -> void;
    /// A request waits for a model or an adapter: orders it to be loaded. For the lease holder.
    auto artifactMissing(const MissingArtifact &artifact) -> void;
    /// The only runner with an adapter is too busy to answer a request for it in time: orders the adapter to be loaded on a second runner.
    auto adapterOverloaded(const ServiceName &service, const std::string &model, const std::string &adapter) -> void;
    auto adapterUsed(const TargetId &target, const std::string &model, const std::string &adapter) -> void;
    auto modelRequested(const std::string &model) -> void; ///< requests for it have arrived, here or at another gateway
    /// What runners hold, as far as known here. Sent to gateways that have just connected.
    auto residencies() const -> std::vector<TargetDescription>;
    /// Gives no more orders: this process is about to exit.
    auto stop() -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
