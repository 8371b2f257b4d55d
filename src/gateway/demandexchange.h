// Reports this gateway's demand to the lease holder: requests by model, uses of adapters, and the artifacts that requests wait for.
//
// Only the lease holder needs these reports. If they were sent to all gateways, the names of models would be the larger part of the traffic between gateways.
//
// Index of sections (search for [SECTION]):
//   Parts            dependencies
//   DemandExchange   the task
#pragma once

#include "core/copyplan.h"
#include "core/demand.h"
#include "gateway/gatewaypeers.h"
#include "gateway/ordertask.h"
#include "net/eventlog.h"

#include <map>
#include <string>
#include <utility>

namespace KingCup
{

// [SECTION] Parts

struct DemandExchangeParts {
    EventLoop &loop;
    EventLog &log;
    GatewayPeers &peers;
    OrderTask &orders;
};

// [SECTION] DemandExchange

class DemandExchange
{
public:
    explicit DemandExchange(DemandExchangeParts parts);

    // Queries
    auto holderId() const -> std::string; ///< the lease holder, as far as known
    /// Demand by model, as work of runners: now, and forecast for the time at which a load that begins now is done.
    auto work(const EngineDeclaration &engine, const RequestCost &cost) const -> std::map<std::string, ModelWork>;

    // Commands: this gateway's requests
    auto modelRequested(const std::string &model) -> void; ///< a request for it has arrived, whether or not a replica was found
    auto adapterUsed(const TargetId &target, const std::string &model, const std::string &adapter) -> void;
    auto artifactMissing(const MissingArtifact &artifact) -> void; ///< a request waits for it
    auto adapterOverloaded(const MissingArtifact &adapter) -> void; ///< the only runner that holds it is too busy
    auto advance() -> void; ///< call a few times a second: reports what was counted since the last call

    // Commands: other gateways
    auto onDemand(const Wire::GatewayDemand &message) -> void;
    auto onWanted(const Wire::Wanted &message) -> void;
    /// A digest of the lease holder has arrived. Sends it the pending artifacts, once per fence.
    auto holderAnnounced(Fence fence) -> void;

private:
    auto sendWanted(const MissingArtifact &artifact, bool forSecondCopy) -> void;
    auto report() -> void;

    DemandExchangeParts m_parts;
    DemandForecast m_demand;
    std::map<std::string, int> m_requested; ///< requests by model since the last report
    std::map<std::string, std::pair<TargetId, std::string>> m_adapterUses; ///< since the last report; target and "MODEL/ADAPTER"
    std::map<std::string, TimePoint> m_overloadedAt; ///< when the overload of an adapter was last reported, by "MODEL/ADAPTER"
    Fence m_announcedFence; ///< fence of the lease holder to which the pending artifacts were last sent
};

} // namespace KingCup
