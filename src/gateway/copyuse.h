// Counts the streams in flight at draining replicas over all gateways. A draining replica is unloaded when its last stream has ended, but each gateway knows
// only its own streams.
//
// Each gateway reports its count to the lease holder: at once when a replica begins to drain, then a few times a second until the replica is gone.
//
// Index of sections (search for [SECTION]):
//   Hooks     callbacks
//   CopyUse   the counts
#pragma once

#include "core/copyplan.h"
#include "wire/messages.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace KingCup
{

// [SECTION] Hooks

struct CopyUseHooks {
    std::function<int(const CopyKey &copy)> ownStreams; ///< streams of this gateway at a replica
    std::function<void(const Wire::ControlFrame &frame)> sendToHolder; ///< sends a message to the lease holder
};

// [SECTION] CopyUse

class CopyUse
{
public:
    explicit CopyUse(CopyUseHooks hooks);

    // Queries
    /// Streams at each draining replica, summed over this gateway and `peers`. Leaves out a replica as long as any of the peers hasn't reported its count.
    auto streams(const std::set<std::string> &peers) const -> std::map<CopyKey, int>;

    // Commands: while another gateway holds the lease
    /// The lease holder reported what a runner holds.
    auto reportedResidency(const TargetId &target, const std::vector<ResidentModel> &models) -> void;
    auto targetGone(const TargetId &target) -> void;
    auto report() const -> void; ///< call a few times a second

    // Commands: while this gateway holds the lease
    auto setMoves(const std::map<TargetId, CopyMove> &moves) -> void;
    auto streamsReported(const std::string &peer, const Wire::CopyStreams &message) -> void;

private:
    CopyUseHooks m_hooks;
    std::set<CopyKey> m_draining;
    std::map<CopyKey, std::map<std::string, int>> m_reported; ///< streams by replica, then by gateway
};

} // namespace KingCup
