// An HTTP/1.1 client over persistent connections: one call at a time on each; a connection is reused once its answer is complete.
//
// An idle connection may have been closed or reset meanwhile, or its server may be unreachable; a server may also send a late answer to
// an earlier call. So a call limits how long a reused connection may have been idle, and inspects the head of each answer before it
// accepts it. If bytes arrive when no answer is due, the connection is closed.
//
// An answer is complete only if its framing says so; one that ends with its connection is complete only if the server closed that in order and has taken the
// whole call. What isn't HTTP/1, or has a status that no answer has, ends the call as Broken.
//
// Index of sections (search for [SECTION]):
//   PooledCall    one call and its result
//   HttpPool      the connections
#pragma once

#include "core/answerload.h"
#include "net/httpreader.h"
#include "net/tcpstream.h"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace KingCup
{

// [SECTION] PooledCall

/// What the pool does with an answer whose head was received.
enum class AnswerVerdict {
    Accept,
    Skip, ///< a late answer to an earlier call: ignore it and wait for the next one
    Refuse, ///< the connection can't be trusted: ends the call as Broken
};

struct PooledEnd {
    CallEnd end = CallEnd::Broken;
    bool wasSent = false; ///< at least a part was sent: the server may have executed the call
    bool wasReused = false; ///< the connection had served another call before
    const char *why = "-"; ///< Broken: why the pool gave the answer up; "-": it didn't
    std::optional<TcpEnd> connection; ///< how the remote side ended the connection; nothing: it didn't
    Duration idleBefore; ///< how long a reused connection was idle before this call
};

struct PooledCall {
    Endpoint server;
    std::string method = "GET";
    std::string target = "/"; ///< path and query
    HttpHeaders headers; ///< without content-length
    SharedBytes body;
    Duration maxIdleTime = Duration::seconds(60); ///< a connection that was idle for longer isn't reused; 0: always connect anew

    /// A new connection is established, and the call isn't sent yet: it may still be cancelled without having reached the server.
    std::function<void()> onConnected;
    std::size_t maxBody = std::numeric_limits<std::size_t>::max(); ///< bytes; a longer body ends the call as Broken
    bool collectsBody = false; ///< onBody keeps what it gets, which is charged to the answers' load
    std::function<AnswerVerdict(const HttpHead &head)> onHead; ///< not set: every answer is accepted
    std::function<void(std::string_view bytes)> onBody;
    std::function<void(const PooledEnd &end)> onEnd; ///< exactly once, unless cancelled; no hook is called after it
};

/// A call in flight. Destroying the handle doesn't end the call; cancel() does.
class PooledHandle
{
public:
    virtual ~PooledHandle() = default;
    virtual auto wasSent() const -> bool = 0;
    virtual auto unackedBytes() const -> std::size_t = 0; ///< bytes of the call that the server's TCP stack hasn't acknowledged yet
    /// Closes the connection; no hook is called from here on.
    virtual auto cancel() -> void = 0;
    /// Charges the answers' load with what is kept of this answer besides its head and a collected body, in place of the last such charge. If answers hold too
    /// much, the call ends as Broken after the hook that is running.
    virtual auto hold(std::size_t bytes) -> void = 0;
    virtual auto pause() -> void = 0; ///< stops reading, so that flow control stops the server
    virtual auto resume() -> void = 0;
};

// [SECTION] HttpPool

struct HttpPoolOptions {
    TcpOptions tcp;
    std::size_t headBytes = 65536; ///< size limit of an answer's head
    AnswerBounds answers; ///< on what all answers together may hold; one that exceeds them ends its call as Broken
    Duration idleTimeout = Duration::seconds(60); ///< an idle connection is closed after this
    Duration idleTimeoutMargin = Duration::millis(1000); ///< closed this long before the server's own idle timeout (Keep-Alive, whole seconds)
    int maxSkipped = 2; ///< late answers skipped during one call; a further one closes the connection
    std::size_t maxSkippedBody = 1U << 20U; ///< bytes of their bodies; a longer one closes the connection
    bool keepsConnections = true; ///< false: each call opens a connection, which is closed with its answer
    int maxInterim = 16; ///< interim answers (1xx) during one call; a further one closes the connection
};

struct HttpPoolCounts {
    std::uint64_t opened = 0; ///< new connections
    std::uint64_t reused = 0; ///< calls on reused connections
    std::uint64_t strayAnswers = 0; ///< late answers, and bytes that arrived when no answer was due
};

class HttpPool
{
public:
    HttpPool(EventLoop &loop, HttpPoolOptions options = {});
    ~HttpPool(); ///< cancels the calls in flight
    HttpPool(const HttpPool &) = delete;
    auto operator=(const HttpPool &) -> HttpPool & = delete;

    auto counts() const -> const HttpPoolCounts &;
    auto answerLoad() const -> const AnswerLoad &;
    auto connections(const Endpoint &server) const -> std::size_t; ///< busy and idle
    auto hasIdle(const Endpoint &server, Duration maxIdleTime) const -> bool; ///< a call with this `maxIdleTime` would reuse a connection

    /// Starts a call. No hook is called before start() has returned.
    auto start(PooledCall call) -> std::shared_ptr<PooledHandle>;
    /// Closes the idle connections to a server that is gone or whose connections can't be trusted any more.
    auto closeIdle(const Endpoint &server) -> void;
    auto setTcpOptions(const TcpOptions &tcp) -> void; ///< for connections opened from now on
    auto closeAllIdle() -> void; ///< closes the idle connections to all servers

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
