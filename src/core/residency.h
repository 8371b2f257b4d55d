// Computes the loads and unloads that bring a runner from the artifacts it holds to those it should hold. No I/O.
//
// Wanted artifacts are listed in order of urgency, minimum replicas (floor) first. Unwanted artifacts stay resident until their memory is needed,
// as loading them again would be expensive; only artifacts that are no longer declared are unloaded earlier. An adapter is loaded once its base is resident,
// and a base isn't unloaded while one of its adapters is resident or being loaded.
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
    ArtifactName base; ///< for an adapter: the model version that must be resident first; else empty
    Bytes bytes;
    bool floor = false; ///< a minimum replica: isn't evicted for other artifacts, and may evict extra replicas (surge)
};

struct ResidencyInput {
    std::vector<WantedArtifact> wanted; ///< most urgent first
    std::vector<ArtifactName> retired; ///< no longer declared: unloaded as soon as they are neither in use nor pinned
    std::function<bool(const ArtifactName &)> isPinned; ///< whether the artifact must not be unloaded, even if it isn't wanted
    std::function<bool(const ArtifactName &)> isInUse; ///< whether the artifact has requests in flight
    std::function<ArtifactName(const ArtifactName &)> baseOf; ///< the model version of an adapter; empty for a model version
};

/// A load or unload to order now, with its reason.
struct ResidencyOrder {
    OrderKind kind = OrderKind::Load;
    ArtifactName artifact;
    ArtifactName base;
    Bytes bytes; ///< size of the artifact to be loaded; 0 for an unload
    std::string reason; ///< for the log, e.g. "floor", "surge", "evicted-for=sun@2"
};

/// The order to give next, if any. Call this again once the order was entered in the ledger, which then accounts for its memory.
auto nextResidencyOrder(const MemoryLedger &ledger, const ResidencyInput &input) -> std::optional<ResidencyOrder>;

} // namespace KingCup
