// HTTP for entries, agents and stand-ins: a server (on net/callerserver.h) and a client (on net/httppool.h) on an event loop. Request bodies are limited in
// size and buffered whole; answer bodies may be streamed, with back-pressure in the server and in the client.
//
// Index of sections (search for [SECTION]):
//   Basics     headers
//   Server     HttpServer passes each request to a handler as an HttpExchange
//   Client     HttpClient::start() makes a call and returns its handle
#pragma once

#include "core/answerload.h"
#include "core/callerload.h"
#include "core/endpoint.h"
#include "core/units.h"
#include "net/eventloop.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

struct CallerServerCounts;

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
    std::string path; ///< without the query; percent-encoded, so that it can be forwarded
    std::string query; ///< "a=1&b=2", percent-encoded
    HttpHeaders headers; ///< content-type, content-length, accept and HttpServerOptions::keptHeaders
    std::string body;
    std::string peer; ///< the caller's IP address
};

/// One request and its answer. Shared by the server and the code that answers; once the caller has disconnected, writes do nothing.
class HttpExchange
{
public:
    explicit HttpExchange(HttpRequest request);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    auto operator=(const HttpExchange &) -> HttpExchange & = delete;

    auto request() const -> const HttpRequest &;
    auto releaseBody() -> void; ///< for a handler that has made its own copy, which stays charged to the caller: the request's body is empty from here on
    auto hold(std::size_t bytes) -> void; ///< as CallerExchange::hold()
    auto isUnderPressure() const -> bool; ///< as CallerExchange::isUnderPressure()
    auto isOpen() const -> bool; ///< the caller is still connected and the answer isn't finished
    auto hasBegun() const -> bool; ///< begin() or respond() was called
    auto pendingBytes() const -> std::size_t; ///< written, not yet accepted by the socket

    /// Sends the whole answer at once.
    auto respond(int status, HttpHeaders headers, std::string_view body) -> void;
    /// Sends a streamed answer: begin(), any number of write(), finish(). Without finish() the caller sees an incomplete transfer.
    auto begin(int status, HttpHeaders headers) -> void;
    auto write(std::string_view data) -> void;
    auto finish() -> void;
    /// Closes the connection without the end marker, so that the caller can tell that the answer is incomplete.
    auto abort() -> void;

    std::function<void()> onClosed; ///< the caller disconnected before the answer was finished
    std::function<void()> onDrained; ///< everything written so far was accepted by the socket

    struct Private;
    std::unique_ptr<Private> d;
};

struct HttpServerOptions {
    Endpoint listen; ///< port 0: chosen by the system, see HttpServer::port()
    TlsFiles tls;
    std::vector<std::string> keptHeaders; ///< lower-case names of request headers to keep besides content-type, content-length and accept
    std::size_t maxBody = 8U << 20U; ///< bytes; larger requests get 413
    CallerBounds bounds {.bytes = 1U << 30U, .reserved = 64U << 20U, .connections = 4096}; ///< on what callers make the server hold
    std::size_t bodyCopies = 1; ///< of each request's body, that the handler holds until the answer
    Duration tlsCheck = Duration::seconds(10); ///< period of the check for renewed TLS files
    Duration headerTimeout = Duration::seconds(10); ///< for the head of a request, and between two pieces of its body; slower callers get 408
    std::function<Duration(const HttpHeaders &headers)> timeBudget; ///< for a whole request with these headers, of the kept ones; slower callers get 408
};

class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    /// Starts to listen; throws std::runtime_error if the port is in use.
    HttpServer(EventLoop &loop, HttpServerOptions options, Handler handler);
    ~HttpServer();

    auto port() const -> int;
    auto openExchanges() const -> std::size_t; ///< requests whose answers are not yet complete
    auto counts() const -> const CallerServerCounts &;
    auto connections() const -> std::size_t;
    auto heldBytes() const -> std::size_t; ///< for all callers together
    /// Stops accepting connections; open exchanges go on.
    auto close() -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

// [SECTION] Client

/// How a call ended.
enum class CallEnd {
    Complete, ///< the whole answer arrived
    NotSent, ///< not connected, or not in time: the server can't have received the request
    Broken, ///< the request was sent in part or whole, the answer is missing or incomplete: effect unknown
    Timeout, ///< as Broken, because the timeout expired
    Cancelled, ///< by cancel(), or because the client was destroyed
};
auto toString(CallEnd end) -> const char *;

struct HttpCall {
    Endpoint server;
    std::string method = "GET";
    std::string path = "/"; ///< including the query
    HttpHeaders headers;
    std::string body;
    Duration timeout = Duration::seconds(30); ///< from start() to the last byte of the answer; 0: none
    std::vector<std::string> keptHeaders; ///< lower-case names of answer headers to keep besides content-type
    std::size_t maxBody = std::numeric_limits<std::size_t>::max(); ///< bytes of the answer's body; a longer one ends the call as Broken
    bool collectsBody = false; ///< as PooledCall::collectsBody

    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view data)> onData;
    std::function<void(CallEnd end)> onEnd; ///< exactly once, also after cancel()
};

/// A call in flight. Destroying the handle doesn't end the call; cancel() does.
class HttpCallHandle
{
public:
    virtual ~HttpCallHandle() = default;
    virtual auto cancel() -> void = 0;
    virtual auto hold(std::size_t bytes) -> void = 0; ///< as PooledHandle::hold()
    virtual auto pause() -> void = 0; ///< stops reading, so that flow control stops the server
    virtual auto resume() -> void = 0;
};

class HttpClient
{
public:
    /// With `tls`, every call is encrypted and the server's certificate checked against the authority. Throws std::runtime_error if
    /// the files can't be used.
    explicit HttpClient(EventLoop &loop, const TlsFiles &tls = {}, const AnswerBounds &answers = {});
    ~HttpClient();

    /// Starts a call. No hook is called before start() has returned.
    auto start(HttpCall call) -> std::shared_ptr<HttpCallHandle>;
    auto callsInFlight() const -> std::size_t;
    auto answerLoad() const -> const AnswerLoad &;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

/// The buffered answer of a short call; status 0 if there was none.
struct HttpAnswer {
    CallEnd end = CallEnd::Broken;
    int status = 0;
    HttpHeaders headers;
    std::string body;
};
/// Starts a call, buffers its answer and calls `done` once. A body larger than `maxBody` ends the call as Broken.
auto startShortCall(HttpClient &client, HttpCall call, std::function<void(const HttpAnswer &)> done, std::size_t maxBody = 16U << 20U)
    -> std::shared_ptr<HttpCallHandle>;

} // namespace KingCup
