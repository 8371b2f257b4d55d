// An HTTP/1.1 client over kept connections: one call at a time on each, used again when its answer has come whole.
//
// A connection that was kept may have been closed, reset or gone silent meanwhile; the server may also have sent a late answer to an
// earlier call. So a call says how long a connection may have lain idle, and looks at each answer's head before it takes it for its own.
// Bytes that come when no answer is due belong to nobody: the connection is closed.
//
// Index of sections (search for [SECTION]):
//   PooledCall    one call, and what becomes of it
//   HttpPool      the connections
#pragma once

#include "net/httpreader.h"
#include "net/tcpstream.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

// [SECTION] PooledCall

/// What the pool does with an answer whose head has come.
enum class AnswerVerdict {
    Accept,
    Skip, ///< a late answer to an earlier call: the next one may be ours
    Refuse, ///< can't be trusted: ends the call as Broken
};

struct PooledEnd {
    CallEnd end = CallEnd::Broken;
    bool wasSent = false; ///< the server may act on the call
    bool wasReused = false; ///< on a connection that had served another call before
    TcpEnd connection = TcpEnd::Closed; ///< how the connection went, if it did
    Duration idleBefore; ///< of a kept connection, before this call
};

struct PooledCall {
    Endpoint server;
    std::string method = "GET";
    std::string target = "/"; ///< path and query
    HttpHeaders headers; ///< without content-length
    std::string body;
    Duration maxIdleTime = Duration::seconds(60); ///< a kept connection that was idle for longer isn't used; 0: only a new one

    std::function<AnswerVerdict(const HttpHead &head)> onHead; ///< none: every answer is taken
    std::function<void(std::string_view bytes)> onBody;
    std::function<void(const PooledEnd &end)> onEnd; ///< exactly once, unless cancelled; the last hook
};

/// A call in flight; dropping the handle doesn't end it.
class PooledHandle
{
public:
    virtual ~PooledHandle() = default;
    virtual auto wasSent() const -> bool = 0;
    virtual auto unackedBytes() const -> std::size_t = 0; ///< of the call, not yet acknowledged by the server's system
    /// Closes the connection; no hook is called from here on.
    virtual auto cancel() -> void = 0;
    virtual auto pause() -> void = 0; ///< stops reading: the server is held back
    virtual auto resume() -> void = 0;
};

// [SECTION] HttpPool

struct HttpPoolOptions {
    TcpOptions tcp;
    std::size_t headBytes = 65536; ///< of an answer
    Duration idleTimeout = Duration::seconds(60); ///< an idle connection is closed after this
    Duration idleTimeoutMargin = Duration::millis(1000); ///< before the server's own idle timeout, which it states in whole seconds
    int maxSkipped = 2; ///< late answers before a connection is given up
};

struct HttpPoolCounts {
    std::uint64_t opened = 0; ///< connections
    std::uint64_t reused = 0; ///< calls on a kept one
    std::uint64_t strayAnswers = 0; ///< late answers, and bytes when none was due
};

class HttpPool
{
public:
    HttpPool(EventLoop &loop, HttpPoolOptions options = {});
    ~HttpPool(); ///< cancels what is in flight
    HttpPool(const HttpPool &) = delete;
    auto operator=(const HttpPool &) -> HttpPool & = delete;

    auto counts() const -> const HttpPoolCounts &;
    auto connections(const Endpoint &server) const -> std::size_t; ///< busy and idle
    auto hasIdle(const Endpoint &server, Duration maxIdleTime) const -> bool; ///< one that a call with that `maxIdleTime` would use

    /// Never calls a hook before it has returned.
    auto start(PooledCall call) -> std::shared_ptr<PooledHandle>;
    /// Closes idle connections to a server that is gone, or whose connections can't be trusted any more.
    auto closeIdle(const Endpoint &server) -> void;
    auto setTcpOptions(const TcpOptions &tcp) -> void; ///< of connections to come
    auto closeAllIdle() -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
