// The entry's connections to agents and to other entries: one for each, with a control stream; requests open further streams.
//
// Index of sections (search for [SECTION]):
//   Hooks   what agents say
//   Links   PeerLinks
#pragma once

#include "core/membership.h"
#include "net/eventloop.h"
#include "wire/control.h"
#include "wire/messages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Hooks

struct LinkHooks {
    std::function<void(const std::string &id, const Wire::Hello &hello)> onHello;
    std::function<void(const std::string &id, const Wire::ControlFrame &frame)> onFrame; ///< all but hello and pong
    std::function<void(const std::string &id)> onReceived; ///< any message: it is alive
    std::function<void(const std::string &id)> onDown;
    std::function<std::vector<Wire::ControlFrame>()> greeting; ///< sent when a connection is up: hello, configuration, plan
};

// [SECTION] Links

/// Used for agents, and for the other entries.
class PeerLinks
{
public:
    /// `part` is the log prefix, e.g. "target".
    PeerLinks(EventLoop &loop, std::string part, PeerOptions options, Duration heartbeat, LinkHooks hooks);
    ~PeerLinks();

    // Queries
    auto ids() const -> std::vector<std::string>;
    auto isConnected(const std::string &id) const -> bool;

    // Commands
    /// Connects to new hosts, and to moved ones anew; hosts that are no longer named are let go.
    auto setHosts(const std::vector<ListedHost> &hosts) -> void;
    /// A new request stream; null while not connected.
    auto open(const std::string &id) -> PeerStreamPtr;
    auto send(const std::string &id, const Wire::ControlFrame &frame) -> void; ///< on the control stream; lost while not connected
    auto sendAll(const Wire::ControlFrame &frame) -> void;
    auto reconnect(const std::string &id) -> void; ///< it is silent though connected

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
