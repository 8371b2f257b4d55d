// What requests ask for, reported to the gateway that gives orders: requests by model, uses of adapters, and what requests wait for.
//
// Only the lease holder needs it. Sent to all, the names of models would be the larger part of the traffic between gateways.
//
// Index of sections (search for [SECTION]):
//   Parts            what it needs
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
    auto holderId() const -> std::string; ///< the gateway that gives orders, as far as known
    /// Work by model: now, and when a load that begins now is done.
    auto work(const EngineDeclaration &engine, const RequestCost &cost) const -> std::map<std::string, ModelWork>;

    // Commands: this gateway's requests
    auto modelRequested(const std::string &model) -> void; ///< also where no replica was found
    auto adapterUsed(const TargetId &target, const std::string &model, const std::string &adapter) -> void;
    auto artifactMissing(const MissingArtifact &wanted) -> void; ///< a request waits for it
    auto adapterOverloaded(const MissingArtifact &adapter) -> void; ///< the only runner with it is too busy
    auto advance() -> void; ///< call with each digest: reports what has come since

    // Commands: other gateways
    auto onDemand(const Wire::GatewayDemand &message) -> void;
    auto onWanted(const Wire::Wanted &message) -> void;
    auto holderAnnounced(Fence fence) -> void; ///< in a digest of the lease holder

private:
    auto sendWanted(const MissingArtifact &wanted, bool another) -> void;
    auto report() -> void;

    DemandExchangeParts m_parts;
    DemandForecast m_demand;
    std::map<std::string, int> m_asked; ///< requests by model since the last report
    std::map<std::string, std::pair<TargetId, std::string>> m_adapterUses; ///< since the last report
    std::map<std::string, TimePoint> m_overloadedAt; ///< reported; by "MODEL/ADAPTER"
    Fence m_announcedFence; ///< of the lease holder that last received the pending requests
};

} // namespace KingCup
