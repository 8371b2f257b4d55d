// Plain TCP on an event loop: byte streams and a listener, for the parts that must see what libwebsockets' HTTP hides: half-closed
// peers, bytes that come after an answer, connections that have gone silent.
//
// The descriptors are ours; libwebsockets only polls them. Hooks are called on the loop, never from within a call of the same stream.
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

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace KingCup
{

// [SECTION] Options

struct TcpOptions {
    Duration connectTimeout = Duration::millis(500); ///< until the far side has accepted; some two hundred round trips within a region
    Duration unackedTimeout = Duration::millis(2000); ///< bytes or probes that stay unacknowledged for so long end the connection
    Duration probeAfter = Duration::millis(1000); ///< idle time until the first keep-alive probe; whole seconds, at least one
};

// [SECTION] TcpStream

/// Why a connection ended.
enum class TcpEnd {
    Closed, ///< the far side closed it in order
    Reset, ///< the far side, or something between, broke it off
    Silent, ///< the far side no longer acknowledges what it is sent
    NotConnected, ///< refused or not accepted in time: not a byte was sent
};
auto toString(TcpEnd end) -> const char *;

class TcpStream
{
public:
    /// Connects. What is written before the connection is up is sent once it is.
    static auto connect(EventLoop &loop, const Endpoint &server, const TcpOptions &options) -> std::unique_ptr<TcpStream>;
    /// Takes over a connected descriptor; used by TcpListener.
    static auto adopt(EventLoop &loop, int descriptor, const TcpOptions &options) -> std::unique_ptr<TcpStream>;

    /// Closes the connection. What was written and not yet taken by the system is lost.
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    auto operator=(const TcpStream &) -> TcpStream & = delete;

    auto isConnected() const -> bool;
    auto hasSent() const -> bool; ///< at least one byte has left: the far side may act on it
    auto pendingBytes() const -> std::size_t; ///< written, not yet taken by the system
    auto unackedBytes() const -> std::size_t; ///< written, and not yet acknowledged by the far side's system
    auto peer() const -> std::string; ///< the far side's IP number; empty if unknown

    auto write(std::string_view bytes) -> void;
    auto pauseReading() -> void; ///< the far side is held back once the system's buffers are full
    auto resumeReading() -> void;
    /// No more bytes from this side, once those that are pending have gone; the far side's may still be read.
    auto finishWriting() -> void;

    std::function<void()> onConnected; ///< only after connect()
    std::function<void(std::string_view bytes)> onData;
    std::function<void(TcpEnd end)> onEnd; ///< once; the stream is of no further use
    std::function<void()> onDrained; ///< pendingBytes() came down to 0

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

    /// Listens at once; throws std::runtime_error if the port is taken.
    TcpListener(EventLoop &loop, const Endpoint &listen, const TcpOptions &options, Handler onAccepted);
    ~TcpListener(); ///< stops listening; accepted connections go on
    TcpListener(const TcpListener &) = delete;
    auto operator=(const TcpListener &) -> TcpListener & = delete;

    auto port() const -> int;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
