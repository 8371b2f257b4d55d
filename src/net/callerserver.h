// HTTP/1.1 server for callers' connections. It handles one request at a time on each connection.
//
// A caller that closes its connection is noticed at once, also while its request is in flight, so that the work can be cancelled at the target.
//
// What all callers together make the process hold is bounded (core/callerload.h). A request beyond the bound is refused with 503, or with 408 if its caller
// has stopped sending: neither has run. A refused caller may go on sending for a while; what it sends is read and dropped, so that it can read the answer.
//
// Index of sections (search for [SECTION]):
//   CallerExchange   one request and its answer
//   Options          bounds and hooks
//   CallerServer     listening socket and connections
#pragma once

#include "core/callerload.h"
#include "core/traffic.h"
#include "net/httpreader.h"
#include "net/tcpstream.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace KingCup
{

// [SECTION] CallerExchange

class CallerConnection;

/// Shared by the server and the code that answers the request. After the caller has left, writes have no effect.
class CallerExchange
{
public:
    CallerExchange(std::weak_ptr<CallerConnection> connection, HttpHead head, std::string body, TimePoint startedAt);

    auto head() const -> const HttpHead &;
    auto body() const -> const SharedBytes &;
    auto takeBody() -> std::string; ///< moves the body out if nothing shares it; it stays charged to the caller
    auto peer() const -> std::string; ///< the caller's IP address; empty if it has left
    auto startedAt() const -> TimePoint; ///< when the request's first byte was read
    /// The caller has closed its connection, also if that is still to be read after other bytes or other connections.
    auto hasCallerLeft() const -> bool;
    auto isOpen() const -> bool; ///< the caller is connected and its answer isn't finished
    auto hasBegun() const -> bool; ///< the answer's status line was written
    auto pendingBytes() const -> std::size_t; ///< written, and not yet accepted by the socket
    /// Charges the caller with what is held for its request besides head and body, in place of the last such charge.
    auto hold(std::size_t bytes) -> void;
    auto isUnderPressure() const -> bool; ///< callers together hold as much as they may: answers are to be passed on rather than collected

    /// Writes a complete answer. Adds Content-Length.
    auto respond(int status, HttpHeaders headers, std::string_view body) -> void;
    /// Writes a streamed answer: begin(), any number of write(), finish(). Without `length`, it is chunked, or ends with the connection if the caller can't
    /// read chunks. Then an answer that isn't finished ends with a reset, also if this process is killed.
    auto begin(int status, HttpHeaders headers, std::optional<std::uint64_t> length) -> void;
    auto write(std::string_view bytes) -> void;
    auto finish() -> void;
    /// Closes the connection before the end of the answer: the caller can tell that the answer is incomplete.
    auto abort() -> void;

    std::function<void()> onGone; ///< the caller left before the answer was finished; no hook is called after it
    std::function<void()> onDrained; ///< pendingBytes() has reached 0

private:
    friend class CallerConnection;
    auto connectionHeaders(HttpHeaders headers) const -> HttpHeaders;

    std::weak_ptr<CallerConnection> m_connection;
    HttpHead m_head;
    SharedBytes m_body;
    TimePoint m_startedAt;
    bool m_begun = false;
    BodyFraming m_framing = BodyFraming::Length; ///< of the answer
    bool m_finished = false;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;

// [SECTION] Options

/// Why a request is answered without calling the handler.
enum class CallerRefusal {
    BodyTooLarge, ///< 413
    HeadTooLarge, ///< 431
    Malformed, ///< 400
    TooSlow, ///< 408
    Overloaded, ///< 503: callers hold as much as they may
};
auto toString(CallerRefusal refusal) -> const char *;

struct CallerServerHooks {
    /// The time that a request has from its first byte to its answer; a body that isn't whole by then is refused. Not set: bodies have no such limit.
    std::function<Duration(const HttpHead &head)> timeBudget;
    struct Answer {
        HttpHeaders headers;
        std::string body;
    };
    std::function<Answer(const HttpHead &head, CallerRefusal refusal)> refusalAnswer; ///< not set: an empty answer; the head may be incomplete
};

struct CallerServerOptions {
    Endpoint listen;
    CallerLimits limits;
    CallerBounds bounds;
    std::size_t bodyCopies = 1; ///< of each request's body, that the handler holds until the answer
    std::size_t maxDescriptors = 0; ///< polled by the loop, see DescriptorBounds::accept; 0: no bound
    ssl_ctx_st *tls = nullptr; ///< null: connections aren't encrypted
    CallerServerHooks hooks;
};

// [SECTION] CallerServer

struct CallerServerCounts {
    std::uint64_t accepted = 0; ///< connections accepted
    std::uint64_t dropped = 0; ///< connections closed because their callers didn't read their answers while callers held as much as they may
    std::uint64_t replaced = 0; ///< connections without a request, or whose callers had stopped sending, that were closed in favour of others
    std::uint64_t departed = 0; ///< requests dropped without calling the handler because their callers had closed the connection
    std::uint64_t malformed = 0; ///< requests that were malformed, too large or too slow; answered without calling the handler
    std::uint64_t overloaded = 0; ///< requests refused, or ended as too slow, because callers held as much as they may
};

class CallerServer
{
public:
    using Handler = std::function<void(const CallerExchangePtr &exchange)>;

    /// Starts to listen; throws std::runtime_error if the port is taken.
    CallerServer(EventLoop &loop, const Endpoint &listen, Handler handler);
    CallerServer(EventLoop &loop, CallerServerOptions options, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    auto operator=(const CallerServer &) -> CallerServer & = delete;

    auto port() const -> int;
    auto connections() const -> std::size_t;
    auto openExchanges() const -> std::size_t;
    auto counts() const -> const CallerServerCounts &;
    auto undeliveredAnswers() const -> std::size_t; ///< connections whose exchange is over, and whose callers' hosts haven't acknowledged all of the answer
    auto unsentBytes() const -> std::size_t; ///< of all answers together, not yet accepted by the sockets
    auto heldBytes() const -> std::size_t; ///< for all callers together

    auto setLimits(const CallerLimits &limits) -> void;
    /// Replaces the bounds on what callers make the process hold.
    auto setBounds(const CallerBounds &bounds) -> void;
    /// From now on, each connection is closed after its next answer.
    auto setLeaving() -> void;
    auto stopListening() -> void;
    /// Closes connections that wait for a request.
    auto closeIdle() -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
