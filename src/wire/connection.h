// One connection between peers: a libwebsockets raw socket and the session on it. Internal to src/wire; the client and
// the server differ only in how they establish a connection.
#pragma once

#include "net/tlschannel.h"
#include "wire/session.h"

#include <libwebsockets.h>

namespace KingCup
{

/// Size of the buffer for one write to a socket, in bytes.
constexpr std::size_t PeerWriteBytes = 64U << 10U;

class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    struct Hooks {
        std::function<void()> onReady; ///< the remote side's HTTP/2 SETTINGS were received, so it is a peer
        std::function<void(const PeerStreamPtr &)> onStream;
        std::function<void()> onClosed; ///< exactly once, after the onEnd of every stream
    };

    /// `tls`: null for a connection without TLS. `name` identifies the peer in log lines.
    PeerConnection(EventLoop &loop, SessionRole role, const PeerOptions &options, ssl_ctx_st *tls, std::string name, Hooks hooks);

    auto isReady() const -> bool;
    auto isClosed() const -> bool;
    /// Opens a new stream; null if not ready.
    auto open(const std::string &path) -> PeerStreamPtr;
    /// Closes the connection. `onClosed` is called by a posted task. `why` is logged unless empty.
    auto drop(const std::string &why) -> void;
    /// Sets the socket. A client may call this before the connection is established.
    auto attach(lws *socket) -> void;

    /// The libwebsockets callback for the sockets of peers; the connection is the socket's opaque user data.
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
    std::unique_ptr<TlsChannel> m_tls; // null for a connection without TLS
    lws *m_wsi = nullptr;
    Timer m_deadline; // until the remote side's SETTINGS are received
    bool m_started = false; // the socket is connected
    bool m_writeRequested = false;
    bool m_closed = false;
};

} // namespace KingCup
