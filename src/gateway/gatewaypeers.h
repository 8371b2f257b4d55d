// What gateways tell each other: several times a second what each does, at once what can't wait.
//
// Index of sections (search for [SECTION]):
//   Hooks          what is received
//   GatewayPeers   the links
#pragma once

#include "net/eventlog.h"
#include "wire/peerlinks.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Hooks

struct GatewayPeerHooks {
    std::function<void(const std::string &id, const Wire::ControlFrame &frame)> onFrame;
    std::function<std::vector<Wire::ControlFrame>()> greeting; ///< for a peer whose connection has come up
    std::function<void(const std::string &id)> onSilent; ///< nothing was received of it for a while
};

struct GatewayPeerSettings {
    std::string id;
    std::string zone;
    std::uint64_t incarnation = 0;
    Endpoint listen;
    Duration silentAfter = Duration::millis(1500); ///< seven digests
};

// [SECTION] GatewayPeers

class GatewayPeers
{
public:
    /// Listens at once; throws std::runtime_error if the port is taken.
    GatewayPeers(EventLoop &loop, EventLog &log, GatewayPeerSettings settings, GatewayPeerHooks hooks);
    ~GatewayPeers();

    // Queries
    auto live() const -> std::set<std::string>; ///< ids of those that are alive

    auto liveCount() const -> int;

    // Commands
    /// All gateways that are registered, this one included.
    auto setHosts(const std::vector<ListedHost> &hosts) -> void;
    auto setSilentAfter(Duration span) -> void; ///< without any message from a peer
    auto sendAll(const Wire::ControlFrame &frame) -> void;
    auto send(const std::string &id, const Wire::ControlFrame &frame) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
