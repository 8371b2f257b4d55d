// The status of the whole system as `kingcupctl status` shows it, composed from what an entry knows.
#pragma once

#include "core/demand.h"
#include "entry/fleet.h"
#include "operator/operatorapi.h"

namespace KingCup
{

/// The entry itself, as it appears among the processes.
struct EntrySelf {
    std::string id;
    ZoneName zone;
    Revision revision;
    bool isLeaving = false;
    int open = 0; ///< requests not yet answered
    int waiting = 0; ///< open requests that are in the queue
    RowVersion planVersion;
    bool isStoreReachable = false;
};

auto systemStatus(const EntrySelf &self, const Fleet &fleet, const Declarations &declarations, const std::vector<ArtifactDemand> &demand) -> SystemStatus;

} // namespace KingCup
