// HTTP over libwebsockets: a server and a client on an event loop. Bodies of requests are bounded and whole; bodies of
// answers may stream, with back-pressure both ways.
//
// Index of sections (search for [SECTION]):
//   Basics     headers
//   Server     HttpServer hands each request to a hook as an HttpExchange
//   Client     HttpClient::start() makes a call and returns its handle
#pragma once

#include "core/endpoint.h"
#include "core/units.h"
#include "net/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Basics

/// One header; names are lower case, without the colon.
struct HttpHeader {
    std::string name;
    std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first header of that name; empty if there is none.
auto headerValue(const HttpHeaders &headers, std::string_view name) -> std::string;

// [SECTION] Server

struct HttpRequest {
    std::string method; ///< "GET", "POST", ...
    std::string path; ///< without the query; percent-encoded, so that it can be passed on
    std::string query; ///< "a=1&b=2", percent-encoded likewise
    HttpHeaders headers; ///< those that the server keeps
    std::string body;
    std::string peer; ///< the caller's IP number
};

/// One request and its answer. Shared by the server and whoever answers; after the caller has left, writes do nothing.
class HttpExchange
{
public:
    explicit HttpExchange(HttpRequest request);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    auto operator=(const HttpExchange &) -> HttpExchange & = delete;

    auto request() const -> const HttpRequest &;
    auto isOpen() const -> bool; ///< the caller is still there and the answer isn't finished
    auto hasBegun() const -> bool; ///< the status line was given
    auto pendingBytes() const -> std::size_t; ///< written, not yet taken by the socket

    /// The whole answer at once.
    auto respond(int status, HttpHeaders headers, std::string body) -> void;
    /// A streamed answer: begin, any number of writes, finish. Without finish() the caller sees a broken transfer.
    auto begin(int status, HttpHeaders headers) -> void;
    auto write(std::string_view data) -> void;
    auto finish() -> void;
    /// Cuts the connection without the end marker: the caller can tell that the answer isn't whole.
    auto abort() -> void;

    std::function<void()> onClosed; ///< the caller left before the answer was finished
    std::function<void()> onDrained; ///< everything written so far was taken by the socket

    struct Private;
    std::unique_ptr<Private> d;
};

struct HttpServerOptions {
    Endpoint listen; ///< port 0 lets the system choose; see HttpServer::port()
    TlsFiles tls;
    std::vector<std::string> keptHeaders; ///< lower-case names, beyond content-type, content-length and accept
    std::size_t maxBody = 8U << 20U; ///< bytes; larger requests get 413
    int maxConnections = 4096; ///< further callers are rejected
    Duration tlsCheck = Duration::seconds(10); ///< between two looks whether the TLS files were renewed
    Duration headerTimeout = Duration::seconds(10); ///< between two pieces of a request, rounded up by libwebsockets; slower callers are cut off
};

class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    /// Listens at once; throws std::runtime_error if the port is taken.
    HttpServer(EventLoop &loop, HttpServerOptions options, Handler handler);
    ~HttpServer();

    auto port() const -> int;
    auto openExchanges() const -> std::size_t; ///< requests not yet answered whole
    auto refusedRequests() const -> std::uint64_t; ///< too large or malformed, answered without the handler
    /// Stops accepting; open exchanges go on.
    auto close() -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

// [SECTION] Client

/// How a call ended.
enum class CallEnd {
    Complete, ///< the whole answer arrived
    NotSent, ///< no connection, or none in time: the server can't have seen the request
    Broken, ///< sent in part or whole, answer missing or cut short: effect unknown
    Timeout, ///< as Broken, by the clock
    Cancelled, ///< by us
};
auto toString(CallEnd end) -> const char *;

struct HttpCall {
    Endpoint server;
    std::string method = "GET";
    std::string path = "/"; ///< with query
    HttpHeaders headers;
    std::string body;
    Duration timeout = Duration::seconds(30); ///< from start to the last byte; 0: none
    std::vector<std::string> keptHeaders; ///< of the answer, beyond content-type

    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view data)> onData;
    std::function<void(CallEnd end)> onEnd; ///< exactly once, also after cancel()
};

/// A call in flight. Dropping the handle doesn't end the call; cancel() does.
class HttpCallHandle
{
public:
    virtual ~HttpCallHandle() = default;
    virtual auto cancel() -> void = 0;
    virtual auto pause() -> void = 0; ///< stops reading: the server is held back
    virtual auto resume() -> void = 0;
};

class HttpClient
{
public:
    /// With `tls`, every call is encrypted and the server's certificate checked against the authority. Throws std::runtime_error if
    /// the files can't be used.
    explicit HttpClient(EventLoop &loop, const TlsFiles &tls = {});
    ~HttpClient();

    /// Never calls a hook before it has returned.
    auto start(HttpCall call) -> std::shared_ptr<HttpCallHandle>;
    auto callsInFlight() const -> std::size_t;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

/// The whole answer of a short call; status 0 if there was none.
struct HttpAnswer {
    CallEnd end = CallEnd::Broken;
    int status = 0;
    HttpHeaders headers;
    std::string body;
};
/// Collects the answer and calls `done` once. The body is bounded by `maxBody`; a larger one ends the call as Broken.
auto startShortCall(HttpClient &client, HttpCall call, std::function<void(const HttpAnswer &)> done, std::size_t maxBody = 64U << 20U)
    -> std::shared_ptr<HttpCallHandle>;

} // namespace KingCup
