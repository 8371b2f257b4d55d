// Control connections between gateways: sends messages to one gateway or to all, and detects from received messages which gateways are live.
//
// Index of sections (search for [SECTION]):
//   Hooks          callbacks and settings
//   GatewayPeers   the connections
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
    std::function<std::vector<Wire::ControlFrame>()> greeting; ///< messages to send to a peer whose connection has come up
    std::function<void(const std::string &id)> onSilent; ///< nothing was received from the peer for `silentAfter`
};

struct GatewayPeerSettings {
    std::string id;
    std::string zone;
    std::uint64_t incarnation = 0;
    Endpoint listen;
    Duration silentAfter = Duration::millis(1500); ///< a peer counts as silent after this long without any message; seven digests
};

// [SECTION] GatewayPeers

class GatewayPeers
{
public:
    /// Listens at once; throws std::runtime_error if the port is taken.
    GatewayPeers(EventLoop &loop, EventLog &log, GatewayPeerSettings settings, GatewayPeerHooks hooks);
    ~GatewayPeers();

    // Queries
    auto live() const -> std::set<std::string>; ///< ids of the other gateways that aren't silent

    auto liveCount() const -> int;
    auto silent(Duration within) const -> std::set<std::string>; ///< ids of gateways that have fallen silent, with a message within that time

    // Commands
    /// All registered gateways, this one included.
    auto setHosts(const std::vector<ListedHost> &hosts) -> void;
    auto setSilentAfter(Duration span) -> void;
    auto sendAll(const Wire::ControlFrame &frame) -> void;
    auto send(const std::string &id, const Wire::ControlFrame &frame) -> bool; ///< false: there is no connection, or too much is pending on it

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
