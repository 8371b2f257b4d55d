// Callers' connections: requests in, answers out, byte for byte where it matters. One request at a time on a connection.
//
// A caller that hangs up is noticed at once, also while its answer is being waited for: its work is then to be cancelled at the target.
//
// Index of sections (search for [SECTION]):
//   CallerExchange   one request and its answer
//   CallerServer     the connections
#pragma once

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

/// Shared by the server and whoever answers; after the caller has left, writes do nothing.
class CallerExchange
{
public:
    CallerExchange(std::weak_ptr<CallerConnection> connection, HttpHead head, std::string body, TimePoint startedAt);

    auto head() const -> const HttpHead &;
    auto body() const -> const std::string &;
    auto startedAt() const -> TimePoint; ///< when the request's first byte was read
    auto isOpen() const -> bool; ///< the caller is there and its answer isn't finished
    auto hasBegun() const -> bool; ///< the status line was given
    auto pendingBytes() const -> std::size_t; ///< written, not yet taken by the system

    /// The whole answer at once. Adds content-length.
    auto respond(int status, HttpHeaders headers, std::string_view body) -> void;
    /// A streamed answer: begin, any number of writes, finish. Without a length it is chunked.
    auto begin(int status, HttpHeaders headers, std::optional<std::uint64_t> length) -> void;
    auto write(std::string_view bytes) -> void;
    auto finish() -> void;
    /// Closes the connection without the end of the answer: the caller can tell that it isn't whole.
    auto abort() -> void;

    std::function<void()> onGone; ///< the caller left before the answer was finished; the last hook
    std::function<void()> onDrained; ///< pendingBytes() came down to 0

private:
    friend class CallerConnection;
    auto connectionHeaders(HttpHeaders headers) const -> HttpHeaders;

    std::weak_ptr<CallerConnection> m_connection;
    HttpHead m_head;
    std::string m_body;
    TimePoint m_startedAt;
    bool m_begun = false;
    bool m_chunked = false;
    bool m_finished = false;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;

// [SECTION] CallerServer

struct CallerServerCounts {
    std::uint64_t accepted = 0; ///< connections
    std::uint64_t malformed = 0; ///< requests that were not HTTP, too large or too slow; answered without the handler
};

class CallerServer
{
public:
    using Handler = std::function<void(const CallerExchangePtr &exchange)>;

    /// Listens at once; throws std::runtime_error if the port is taken.
    CallerServer(EventLoop &loop, const Endpoint &listen, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    auto operator=(const CallerServer &) -> CallerServer & = delete;

    auto port() const -> int;
    auto connections() const -> std::size_t;
    auto openExchanges() const -> std::size_t;
    auto counts() const -> const CallerServerCounts &;

    auto setLimits(const CallerLimits &limits) -> void;
    /// From now on each answer is the last one of its connection.
    auto setLeaving() -> void;
    auto stopListening() -> void;
    /// Closes connections on which no request has begun.
    auto closeIdle() -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
