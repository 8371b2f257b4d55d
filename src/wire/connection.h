// One connection between peers: a libwebsockets raw socket and the session on it. Internal to src/wire; the client and
// the server add only how a connection comes about.
#pragma once

#include "wire/session.h"
#include "wire/tlschannel.h"

#include <libwebsockets.h>

namespace KingCup
{

/// What is gathered before one write to a socket.
constexpr std::size_t PeerWriteBytes = 64U << 10U;

class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    struct Hooks {
        std::function<void()> onReady; ///< the far side has shown itself to be a peer
        std::function<void(const PeerStreamPtr &)> onStream;
        std::function<void()> onClosed; ///< exactly once, after every stream has seen its end
    };

    /// `tls`: null for a plain connection. `name` stands in log lines.
    PeerConnection(EventLoop &loop, SessionRole role, const PeerOptions &options, ssl_ctx_st *tls, std::string name, Hooks hooks);

    auto isReady() const -> bool;
    auto isClosed() const -> bool;
    /// A new stream; null if not ready.
    auto open(const std::string &path) -> PeerStreamPtr;
    /// Gives the connection up. `onClosed` comes by a posted task.
    auto drop(const std::string &why) -> void;
    /// Takes the socket over. A client may know it before the connection stands.
    auto attach(lws *socket) -> void;

    /// The libwebsockets callback of every raw protocol; the connection is the socket's opaque user data.
    static auto callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length) -> int;

private:
    auto start() -> void;
    auto onReceived(std::string_view bytes) -> int;
    auto onWritable() -> int;
    auto receivePlain(std::string_view bytes) -> bool;
    auto fillWriteBuffer(unsigned char *to) -> std::size_t;
    auto wantsWrite() const -> bool;
    auto requestWritable() -> void;
    auto detach() -> void;
    auto close(const std::string &why) -> void;

    EventLoop &m_loop;
    std::string m_name;
    Hooks m_hooks;
    std::shared_ptr<PeerSession> m_session;
    std::unique_ptr<TlsChannel> m_tls; // null for a plain connection
    lws *m_wsi = nullptr;
    Timer m_deadline; // until the far side has shown itself
    bool m_started = false; // the socket stands: bytes may flow
    bool m_writeRequested = false;
    bool m_closed = false;
};

} // namespace KingCup
