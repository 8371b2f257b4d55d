// Streams of messages between our own processes: nghttp2 sessions over libwebsockets raw sockets.
//
// The entry side connects (PeerClient), the agent side listens (PeerServer). Each stream carries length-delimited protobuf
// messages both ways, has a path that tells its kind ("/control", "/request"), and its own flow control: a reader that
// doesn't consume holds back the writer at the far end, and nothing piles up between. A paused stream doesn't hold back
// the others of its connection, so what a connection buffers is bounded by its streams times streamWindow.
//
// A stream is done when both sides have called finish(); a side that never does so keeps it open. Hooks are called on the
// loop and never from within a call of the same stream, client or server.
//
// Index of sections (search for [SECTION]):
//   PeerStream   one stream, either side
//   PeerClient   a connection that comes back by itself
//   PeerServer   accepts connections
#pragma once

#include "core/backoff.h"
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
    Complete, ///< the far side finished in order
    Refused, ///< reset with REFUSED_STREAM, or never sent: the far side certainly didn't handle it
    Broken, ///< reset, or the connection went: whatever was sent may have had its effect
};
auto toString(StreamEnd end) -> const char *;

class PeerStream
{
public:
    virtual ~PeerStream() = default;

    virtual auto path() const -> const std::string & = 0;
    virtual auto isOpen() const -> bool = 0;
    virtual auto pendingBytes() const -> std::size_t = 0; ///< sent by us, not yet taken by the connection

    virtual auto send(const google::protobuf::MessageLite &message) -> void = 0;
    virtual auto finish() -> void = 0; ///< no more messages from this side
    virtual auto reset() -> void = 0; ///< gives the stream up; both sides see Broken
    virtual auto refuse() -> void = 0; ///< server only, before any answer: the far side sees Refused
    virtual auto pause() -> void = 0; ///< stops consuming: the far side's window runs out
    virtual auto resume() -> void = 0;

    std::function<void(std::string_view message)> onMessage; ///< one whole serialised message
    std::function<void(StreamEnd end)> onEnd; ///< exactly once, when both sides are done or the stream broke
    std::function<void()> onDrained; ///< pendingBytes() came down to 0
    std::function<void()> onRemoteFinished; ///< the far side sends no more; ours may go on
};

using PeerStreamPtr = std::shared_ptr<PeerStream>;

struct PeerOptions {
    std::size_t maxMessage = 16U << 20U; ///< bytes; a larger one breaks the connection
    std::size_t streamWindow = 256U << 10U; ///< bytes a far side may send before we consume
    std::uint32_t maxStreams = 4096; ///< open at once on a connection; further ones wait at the far side, unsent
    Duration connectTimeout = Duration::seconds(2);
    BackoffOptions backoff; ///< between two tries to connect
    Duration tlsCheck = Duration::seconds(10); ///< between two looks whether the TLS files were renewed
    TlsFiles tls; ///< both sides present a certificate and verify the other's
};

// [SECTION] PeerClient

/// Keeps one connection to an endpoint, connecting again with back-off and jitter until it is destroyed. Streams that are
/// open then end as Broken, by a task posted to the loop; the same holds for PeerServer.
class PeerClient
{
public:
    PeerClient(EventLoop &loop, Endpoint server, PeerOptions options = {});
    ~PeerClient();

    auto isConnected() const -> bool; ///< the far side has answered as a peer, not only accepted the connection
    auto server() const -> const Endpoint &;
    /// A new stream; null while not connected. Set its hooks before returning to the loop.
    auto open(const std::string &path) -> PeerStreamPtr;
    /// Drops the connection and connects anew: for a peer that no longer answers pings.
    auto reconnect() -> void;

    std::function<void()> onUp;
    std::function<void()> onDown; ///< after every stream has seen its end

    struct Private;

private:
    std::shared_ptr<Private> d;
};

// [SECTION] PeerServer

class PeerServer
{
public:
    /// Listens at once; throws std::runtime_error if the port is taken. `onStream` sees each new stream, before its first message.
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
