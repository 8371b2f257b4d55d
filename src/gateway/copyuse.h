// Streams under way at draining replicas, over all gateways: such a replica is unloaded when its last stream has ended, and each gateway knows
// only its own streams.
//
// Each gateway reports its number to the lease holder, at once when a replica begins to drain and with every digest until it is gone.
//
// Index of sections (search for [SECTION]):
//   Hooks     what it needs
//   CopyUse   the state
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
    std::function<int(const CopyKey &copy)> ownStreams; ///< of this gateway
    std::function<void(const Wire::ControlFrame &frame)> sendToHolder; ///< the gateway that gives orders
};

// [SECTION] CopyUse

class CopyUse
{
public:
    explicit CopyUse(CopyUseHooks hooks);

    // Queries
    /// Of all gateways; only copies of which each of `peers` has reported.
    auto streams(const std::set<std::string> &peers) const -> std::map<CopyKey, int>;

    // Commands: where another gateway gives orders
    /// What a runner holds, as the one that gives orders has said.
    auto reportedResidency(const TargetId &target, const std::vector<ResidentModel> &models) -> void;
    auto targetGone(const TargetId &target) -> void;
    auto report() const -> void; ///< to be called regularly

    // Commands: where this one does
    auto setMoves(const std::map<TargetId, CopyMove> &moves) -> void;
    auto streamsReported(const std::string &peer, const Wire::CopyStreams &message) -> void;

private:
    CopyUseHooks m_hooks;
    std::set<CopyKey> m_draining;
    std::map<CopyKey, std::map<std::string, int>> m_reported; ///< by copy, then by gateway
};

} // namespace KingCup
