// Plain TCP on an event loop: byte streams and a listener, for code that needs to see what the HTTP of libwebsockets hides: half-closed
// connections, bytes after an answer, peers that no longer acknowledge.
//
// Each stream owns its descriptor; libwebsockets only polls it. Hooks are called on the loop, never from within a call of the same stream.
// A stream may be destroyed in any of its own hooks.
//
// Index of sections (search for [SECTION]):
//   Options       time limits of a connection
//   TcpStream     one connection, either side
//   TcpListener   accepts connections
#pragma once

#include "core/endpoint.h"
#include "core/units.h"
#include "net/eventloop.h"
#include "net/sendqueue.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct ssl_ctx_st;

namespace KingCup
{

// [SECTION] Options

struct TcpOptions {
    Duration connectTimeout
        = Duration::millis(500); ///< until the connection is established, with TLS until its handshake is done; about two hundred round trips within a region
    Duration unackedTimeout = Duration::millis(2000); ///< the connection ends if sent bytes or probes stay unacknowledged for this long
    Duration probeAfter = Duration::millis(1000); ///< idle time until the first TCP keep-alive probe; rounded down to whole seconds, at least one
    ssl_ctx_st *tls = nullptr; ///< connections are encrypted by this context, one of a client or a server; null: they aren't
    /// While the loop polls this many descriptors, connect() ends as NotConnected; 0: no bound.
    std::size_t maxDescriptors = 0;
};

// [SECTION] TcpStream

/// Why a connection ended.
enum class TcpEnd {
    Closed, ///< closed in order by the remote side, or only its sending side was; no send had failed until then
    Reset, ///< reset by the remote side or by a network device on the path
    Silent, ///< the remote side no longer acknowledges what it is sent
    NotConnected, ///< refused, or not established in time: no byte that was written was sent
};
auto toString(TcpEnd end) -> const char *;

class TcpStream
{
public:
    /// Starts to connect. Bytes written before the connection is established are sent afterwards.
    static auto connect(EventLoop &loop, const Endpoint &server, const TcpOptions &options) -> std::unique_ptr<TcpStream>;
    /// Takes ownership of a connected descriptor; used by TcpListener.
    static auto adopt(EventLoop &loop, int descriptor, const TcpOptions &options) -> std::unique_ptr<TcpStream>;

    /// Closes the connection. Bytes that the kernel has not accepted yet are lost.
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    auto operator=(const TcpStream &) -> TcpStream & = delete;

    auto isConnected() const -> bool;
    auto hasSent() const -> bool; ///< at least one byte was sent: the remote side may act on it
    auto pendingBytes() const -> std::size_t; ///< written, not yet accepted by the kernel
    auto undeliveredBytes() const -> std::size_t; ///< written, not yet acknowledged by the remote side's TCP stack
    auto unreadBytes() const -> std::size_t; ///< received by the kernel, not yet read
    /// Of the undelivered bytes, those that were sent. 0 if the remote side has acknowledged all that it has space for, which a slow reader does too.
    auto unackedBytes() const -> std::size_t;
    /// The remote side has closed the connection or its sending side, or has reset it, even if bytes that it sent before are still to be read.
    auto hasPeerClosed() const -> bool;
    auto peer() const -> std::string; ///< the remote side's IP address; empty if unknown

    auto write(std::string_view bytes) -> void;
    auto writeShared(const SharedBytes &bytes) -> void; ///< holds the bytes without a copy until they are sent
    auto pauseReading() -> void; ///< the remote side is blocked by TCP flow control once the kernel's buffers are full
    auto resumeReading() -> void;
    /// Shuts down sending once the pending bytes are sent; bytes of the remote side can still be received.
    auto finishWriting() -> void;

    /// While on, an end of the input in order is reported only once the remote side has acknowledged all that was written. If it has closed the connection, and
    /// not only its sending side, it resets the connection when further bytes come; that is reported instead.
    auto setAwaitsDelivery(bool on) -> void;

    /// While on, the connection is reset when the stream is destroyed or the process ends, and the remote side can't take it for closed in order. Bytes that it
    /// hasn't acknowledged by then may be lost.
    auto setResetOnClose(bool on) -> void;

    std::function<void()> onConnected; ///< only for streams made by connect()
    std::function<void(std::string_view bytes)> onData;
    std::function<void(TcpEnd end)> onEnd; ///< once, unless the stream is destroyed before; the stream can't be used any more
    std::function<void()> onDrained; ///< pendingBytes() has dropped to 0

    struct Private;

private:
    TcpStream();
    std::shared_ptr<Private> d;
};

// [SECTION] TcpListener

class TcpListener
{
public:
    using Handler = std::function<void(std::unique_ptr<TcpStream> stream)>;
    using Gate = std::function<bool()>;

    /// Starts to listen; throws std::runtime_error if the port is in use.
    TcpListener(EventLoop &loop, const Endpoint &listen, const TcpOptions &options, Handler onAccepted);
    ~TcpListener(); ///< stops listening; accepted connections go on
    TcpListener(const TcpListener &) = delete;
    auto operator=(const TcpListener &) -> TcpListener & = delete;

    auto port() const -> int;
    /// Asked before each connection. While it returns false, connections wait in the kernel, and it is asked again a little later.
    auto setGate(Gate mayAccept) -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
