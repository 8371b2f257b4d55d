// Which orders bring a runner from what it holds to what it should hold. Pure.
//
// Wants come in order of urgency, floor copies first. Artifacts that nobody wants stay until their memory is needed, for loading them
// again would be a move. An adapter is ordered once its base is resident, and a base stays while an adapter on it is there.
#pragma once

#include "core/ledger.h"

#include <functional>
#include <string>
#include <vector>

namespace KingCup
{

/// One artifact that should be resident.
struct WantedArtifact {
    ArtifactName name;
    ArtifactName base; ///< adapters: what must be resident first
    Bytes bytes;
    bool floor = false; ///< named by the floor plan: never evicted, and may evict surge copies
};

struct ResidencyInput {
    std::vector<WantedArtifact> wanted; ///< most urgent first
    std::vector<ArtifactName> retired; ///< no longer declared: unloaded as soon as nothing uses them
    std::function<bool(const ArtifactName &)> isPinned; ///< must not be unloaded, wanted or not
    std::function<bool(const ArtifactName &)> isInUse; ///< requests in flight
    std::function<ArtifactName(const ArtifactName &)> baseOf; ///< of an adapter; empty for a model version
};

/// A load or unload to order now, and why.
struct ResidencyOrder {
    OrderKind kind = OrderKind::Load;
    ArtifactName artifact;
    ArtifactName base;
    Bytes bytes; ///< Load only
    std::string reason; ///< for the log, e.g. "floor", "surge", "evicted-for=sun@2"
};

/// The order that should be given next, if any; ask again after giving it, for the ledger then charges it.
auto nextResidencyOrder(const MemoryLedger &ledger, const ResidencyInput &input) -> std::optional<ResidencyOrder>;

} // namespace KingCup
