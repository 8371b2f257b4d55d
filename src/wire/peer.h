// Streams of messages between the processes of the system: HTTP/2 sessions (nghttp2) over libwebsockets raw sockets.
//
// A gateway connects to agents and to other gateways (PeerClient); the other process listens (PeerServer). Each stream carries
// length-delimited protobuf messages in both directions and has a path that states its kind ("/control", "/request"). Each stream has
// its own flow control: if the receiver doesn't consume, the sender's window runs out, and buffers stay bounded. A paused stream
// doesn't block the other streams of its connection, so a connection buffers at most its number of streams times streamWindow.
//
// A stream is complete when both sides have called finish(); until then it stays open. Hooks are called on the loop and never from
// within a call of the same stream, client or server.
//
// Index of sections (search for [SECTION]):
//   PeerStream   one stream, either side
//   PeerClient   a connection that is re-established automatically
//   PeerServer   accepts connections
#pragma once

#include "core/backoff.h"
#include "core/callerload.h"
#include "core/endpoint.h"
#include "net/eventloop.h"

#include <cstdint>
#include <functional>
#include <google/protobuf/message_lite.h>
#include <memory>
#include <string>
#include <string_view>

namespace KingCup
{

// [SECTION] PeerStream

/// How a stream ended, seen from this side.
enum class StreamEnd {
    Complete, ///< both sides have finished in order
    Refused, ///< reset with REFUSED_STREAM, or never sent: the remote side certainly didn't process it
    Broken, ///< reset, or the connection was lost: what was sent may have been processed
};
auto toString(StreamEnd end) -> const char *;

class PeerStream
{
public:
    virtual ~PeerStream() = default;

    virtual auto path() const -> const std::string & = 0;
    virtual auto isOpen() const -> bool = 0;
    virtual auto pendingBytes() const -> std::size_t = 0; ///< passed to send(), not yet written to the connection

    virtual auto send(const google::protobuf::MessageLite &message) -> void = 0;
    virtual auto finish() -> void = 0; ///< no more messages will be sent from this side
    virtual auto reset() -> void = 0; ///< aborts the stream; both sides see Broken
    virtual auto refuse() -> void = 0; ///< server only, before any answer was sent: the client sees Refused
    virtual auto pause() -> void = 0; ///< stops consuming, so that flow control stops the remote side
    virtual auto resume() -> void = 0;
    /// Server: charges a message that is being received. If the load is exceeded, the message is dropped and the stream refused.
    virtual auto chargeTo(std::shared_ptr<CallerLoad> load) -> void = 0;

    std::function<void(std::string_view message)> onMessage; ///< a complete serialised message
    std::function<void(StreamEnd end)> onEnd; ///< exactly once, when both sides have finished or the stream broke
    std::function<void()> onDrained; ///< pendingBytes() has dropped to 0
    std::function<void()> onRemoteFinished; ///< the remote side sends no more messages; this side may still send
};

using PeerStreamPtr = std::shared_ptr<PeerStream>;

struct PeerOptions {
    std::size_t maxMessage = 16U << 20U; ///< bytes; a larger one breaks the connection
    std::size_t streamWindow = 256U << 10U; ///< bytes that the remote side may send ahead of what was consumed
    std::uint32_t maxStreams = 4096; ///< open at once on a connection; further ones wait unsent at the client
    Duration connectTimeout = Duration::seconds(2);
    BackoffOptions backoff; ///< between two attempts to connect
    Duration tlsCheck = Duration::seconds(10); ///< period of the check for renewed TLS files
    TlsFiles tls; ///< if set, both sides present a certificate and verify the other's
};

// [SECTION] PeerClient

/// Keeps one connection to an endpoint and reconnects with backoff and jitter, until it is destroyed. The streams that are open
/// at its destruction end as Broken, by a task posted to the loop; the same holds for PeerServer.
class PeerClient
{
public:
    PeerClient(EventLoop &loop, Endpoint server, PeerOptions options = {});
    ~PeerClient();

    auto isConnected() const -> bool; ///< the remote side has answered with its HTTP/2 SETTINGS, not only accepted the connection
    auto server() const -> const Endpoint &;
    /// Opens a new stream; null while not connected. Its hooks must be set before returning to the loop.
    auto open(const std::string &path) -> PeerStreamPtr;
    /// Drops the connection and connects again; for a peer that no longer answers pings.
    auto reconnect() -> void;

    std::function<void()> onUp;
    std::function<void()> onDown; ///< after the onEnd of every stream

    struct Private;

private:
    std::shared_ptr<Private> d;
};

// [SECTION] PeerServer

class PeerServer
{
public:
    /// Starts to listen; throws std::runtime_error if the port is in use. `onStream` is called for each new stream, before its first message.
    PeerServer(EventLoop &loop, const Endpoint &listen, std::function<void(const PeerStreamPtr &)> onStream, PeerOptions options = {});
    ~PeerServer();

    auto port() const -> int;
    auto connections() const -> std::size_t;
    /// Stops accepting connections; open ones go on.
    auto close() -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
