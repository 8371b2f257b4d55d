// A gateway's connections to agents and to other gateways: one connection per process, with a control stream; each request opens a
// further stream.
//
// Index of sections (search for [SECTION]):
//   Hooks   events of the connections
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
    std::function<void(const std::string &id, const Wire::ControlFrame &frame)> onFrame; ///< every frame but hello and pong
    std::function<void(const std::string &id)> onReceived; ///< any message was received: the peer is alive
    std::function<void(const std::string &id)> onDown;
    std::function<std::vector<Wire::ControlFrame>()> greeting; ///< frames to send once a connection is established: hello, configuration, plan
};

// [SECTION] Links

/// The connections to one kind of peer: agents or other gateways.
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
    /// Connects to new hosts, reconnects to hosts whose endpoint has changed and closes the connections to hosts that are no longer listed.
    auto setHosts(const std::vector<ListedHost> &hosts) -> void;
    /// Opens a new request stream; null while not connected.
    auto open(const std::string &id) -> PeerStreamPtr;
    /// On the control stream. False: the frame was dropped, as there is no connection or too much is pending on it.
    auto send(const std::string &id, const Wire::ControlFrame &frame) -> bool;
    auto sendAll(const Wire::ControlFrame &frame) -> void;
    auto reconnect(const std::string &id) -> void; ///< for a peer that is connected but no longer answers

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
