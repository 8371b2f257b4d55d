// Implements the server of net/http.h.
//
// Index of sections (search for [SECTION]):
//   Exchange   the state of one answer and how it is written
//   Server     callbacks of libwebsockets and the table of open exchanges
#include "net/http.h"
#include "net/httpstatus.h"
#include "net/lwsheaders.h"
#include "net/tls.h"
#include "net/urlencoding.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <glog/logging.h>
#include <libwebsockets.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unordered_map>
#include <unordered_set>

namespace KingCup
{

namespace
{

/// libwebsockets keeps this pointer and reads the name at every request, so the text must live as long as the process: reading
/// a destroyed string would crash the process now and then.
constexpr auto VhostName = "http-server";
constexpr std::size_t MaxAnswerHeaderBytes = 8192;
constexpr std::size_t MaxWriteBytes = 32768;
constexpr int SlowCallerSeconds = 30; // a caller that reads nothing for this long is disconnected
constexpr auto HangUpCheckPeriod = Duration::millis(250);

} // namespace

// [SECTION] Exchange

struct HttpExchange::Private {
    HttpRequest request;
    lws *wsi = nullptr; // null once the caller has disconnected
    std::size_t expectedBody = 0;
    bool bodyEnded = false;
    bool dispatched = false; // the request was passed to the handler
    bool begun = false;
    bool headWritten = false;
    bool chunked = false;
    bool finished = false; // finish() was called
    bool closeAfter = false; // close the connection after the answer: it can't be used for another request
    int status = 0;
    HttpHeaders headers;
    std::string out; // not yet written

    auto writeHead() -> std::string;
    auto nextPiece() -> std::string;
    auto onWritable(HttpExchange &exchange) -> int;
    auto wakeUp() const -> void
    {
        if (wsi != nullptr) {
            lws_rx_flow_control(wsi, 1); // without this, libwebsockets ignores that the socket is writable
            lws_callback_on_writable(wsi);
        }
    }
    /// While an answer is pending, libwebsockets polls the socket but doesn't read it. A caller that disconnects then makes the loop
    /// spin at full processor use without any callback. So an idle exchange isn't polled; checkHangUps() detects the disconnect.
    auto stopPolling() const -> void
    {
        lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
        lws_rx_flow_control(wsi, 0);
    }
};

/// Serialises the status line and headers.
auto HttpExchange::Private::writeHead() -> std::string
{
    std::array<unsigned char, LWS_PRE + MaxAnswerHeaderBytes> buffer {};
    unsigned char *start = buffer.data() + LWS_PRE;
    unsigned char *at = start;
    unsigned char *end = buffer.data() + buffer.size() - 1;
    auto add = [&](const std::string &name, const std::string &value) {
        const std::string withColon = name + ":";
        return lws_add_http_header_by_name(wsi,
                                           reinterpret_cast<const unsigned char *>(withColon.c_str()),
                                           reinterpret_cast<const unsigned char *>(value.data()),
                                           static_cast<int>(value.size()),
                                           &at,
                                           end);
    };
    bool failed = lws_add_http_header_status(wsi, static_cast<unsigned>(status), &at, end) != 0;
    for (const auto &header : headers) {
        failed = failed || add(header.name, header.value) != 0;
    }
    if (chunked) {
        failed = failed || add("transfer-encoding", "chunked") != 0;
    } else {
        failed = failed || add("content-length", std::to_string(out.size())) != 0;
    }
    if (closeAfter) {
        failed = failed || add("connection", "close") != 0;
    }
    failed = failed || lws_finalize_http_header(wsi, &at, end) != 0;
    return failed ? std::string() : std::string(reinterpret_cast<char *>(start), static_cast<std::size_t>(at - start));
}

/// The next bytes of the body, framed as a chunk if the length wasn't known at the start.
auto HttpExchange::Private::nextPiece() -> std::string
{
    const std::size_t size = std::min(out.size(), MaxWriteBytes);
    std::string piece;
    if (chunked && size > 0) {
        std::array<char, 24> prefix {};
        const int length = std::snprintf(prefix.data(), prefix.size(), "%zx\r\n", size);
        piece.append(prefix.data(), static_cast<std::size_t>(length));
    }
    piece.append(out, 0, size);
    out.erase(0, size);
    if (chunked && size > 0) {
        piece.append("\r\n");
    }
    if (chunked && finished && out.empty()) {
        piece.append("0\r\n\r\n");
    }
    return piece;
}

/// Writes the buffered bytes. Returns the value that the libwebsockets callback must return.
auto HttpExchange::Private::onWritable(HttpExchange &exchange) -> int
{
    if (!begun) {
        return 0;
    }
    std::string piece;
    if (!headWritten) {
        piece = writeHead();
        if (piece.empty()) {
            return -1;
        }
        headWritten = true;
    }
    piece += nextPiece();
    const bool last = finished && out.empty();
    if (!piece.empty()) {
        std::string buffer(LWS_PRE, '\0');
        buffer += piece;
        auto *data = reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE;
        if (lws_write(wsi, data, piece.size(), last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
            return -1;
        }
    }
    if (!out.empty()) {
        lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, SlowCallerSeconds);
        lws_callback_on_writable(wsi);
        return 0;
    }
    if (!last) {
        stopPolling();
        if (exchange.onDrained) {
            exchange.onDrained();
        }
    }
    return 0;
}

HttpExchange::HttpExchange(HttpRequest request)
    : d(std::make_unique<Private>())
{
    d->request = std::move(request);
}

HttpExchange::~HttpExchange() = default;

auto HttpExchange::request() const -> const HttpRequest &
{
    return d->request;
}

auto HttpExchange::isOpen() const -> bool
{
    return d->wsi != nullptr && !d->finished;
}

auto HttpExchange::hasBegun() const -> bool
{
    return d->begun;
}

auto HttpExchange::pendingBytes() const -> std::size_t
{
    return d->out.size();
}

auto HttpExchange::respond(int status, HttpHeaders headers, std::string body) -> void
{
    if (!isOpen() || d->begun) {
        return;
    }
    d->begun = true;
    d->finished = true;
    d->status = status;
    d->headers = std::move(headers);
    d->out = std::move(body);
    d->wakeUp();
}

auto HttpExchange::begin(int status, HttpHeaders headers) -> void
{
    if (!isOpen() || d->begun) {
        return;
    }
    d->begun = true;
    d->chunked = true;
    d->status = status;
    d->headers = std::move(headers);
    d->wakeUp();
}

auto HttpExchange::write(std::string_view data) -> void
{
    if (!isOpen() || !d->begun || data.empty()) {
        return;
    }
    d->out.append(data);
    d->wakeUp();
}

auto HttpExchange::finish() -> void
{
    if (!isOpen() || !d->begun) {
        return;
    }
    d->finished = true;
    d->wakeUp();
}

auto HttpExchange::abort() -> void
{
    if (d->wsi != nullptr) {
        lws_set_timeout(d->wsi, PENDING_TIMEOUT_HTTP_CONTENT, LWS_TO_KILL_ASYNC);
    }
}

// [SECTION] Server

struct HttpServer::Private {
    EventLoop &loop;
    HttpServerOptions options;
    Handler handler;
    lws_vhost *vhost = nullptr;
    std::array<lws_protocols, 2> protocols {};
    std::unordered_map<lws *, std::shared_ptr<HttpExchange>> exchanges;
    std::uint64_t refused = 0;
    std::unordered_set<lws *> sockets; // every open connection, including idle ones
    lws *listener = nullptr; // known once the first connection was accepted
    bool accepting = true;
    bool destroyed = false; // the HttpServer is destroyed; libwebsockets still holds the virtual host
    SSL_CTX *tlsContext = nullptr; // that of the virtual host; null without TLS
    std::unique_ptr<TlsRenewal> tlsRenewal;
    Timer hangUpCheck; // runs while there are open exchanges

    Private(EventLoop &ownerLoop, HttpServerOptions serverOptions, Handler requestHandler)
        : loop(ownerLoop)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
    {
    }

    static auto callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length) -> int;
    static auto onVhostDestroyed(lws_vhost *vhost, void *self) -> void;
    auto onRequest(lws *wsi, const char *path) -> int;
    auto onBody(lws *wsi, std::string_view data) -> int;
    auto onBodyEnd(lws *wsi) -> int;
    auto onWritable(lws *wsi) -> int;
    auto onDisconnected(lws *wsi) -> void;
    auto checkHangUps() -> void;
    auto dispatch(const std::shared_ptr<HttpExchange> &exchange) -> void;
    auto refuse(HttpExchange &exchange, int status, const std::string &why) -> void;
    auto find(lws *wsi) -> std::shared_ptr<HttpExchange>
    {
        const auto found = exchanges.find(wsi);
        return found == exchanges.end() ? nullptr : found->second;
    }
};

namespace
{

auto methodOf(lws *wsi) -> std::string
{
    struct MethodToken {
        lws_token_indexes token;
        const char *name;
    };
    constexpr std::array<MethodToken, 7> Methods {{{WSI_TOKEN_GET_URI, "GET"},
                                                   {WSI_TOKEN_POST_URI, "POST"},
                                                   {WSI_TOKEN_PUT_URI, "PUT"},
                                                   {WSI_TOKEN_DELETE_URI, "DELETE"},
                                                   {WSI_TOKEN_PATCH_URI, "PATCH"},
                                                   {WSI_TOKEN_HEAD_URI, "HEAD"},
                                                   {WSI_TOKEN_OPTIONS_URI, "OPTIONS"}}};
    for (const auto &method : Methods) {
        if (lws_hdr_total_length(wsi, method.token) > 0) {
            return method.name;
        }
    }
    return "";
}

auto queryOf(lws *wsi) -> std::string
{
    std::string query;
    std::array<char, 4096> fragment {};
    for (int i = 0; lws_hdr_copy_fragment(wsi, fragment.data(), fragment.size(), WSI_TOKEN_HTTP_URI_ARGS, i) > 0; ++i) {
        query += (query.empty() ? "" : "&");
        query += encodeQueryPair(fragment.data());
    }
    return query;
}

auto peerOf(lws *wsi) -> std::string
{
    std::array<char, 64> address {};
    lws_get_peer_simple(wsi, address.data(), address.size());
    return address.data();
}

} // namespace

auto HttpServer::Private::refuse(HttpExchange &exchange, int status, const std::string &why) -> void
{
    ++refused;
    exchange.d->closeAfter = true;
    exchange.d->dispatched = true;
    exchange.respond(status, {{"content-type", "application/problem+json"}, {"kingcup-outcome", "not-run"}}, R"({"code":")" + why + R"("})");
}

auto HttpServer::Private::dispatch(const std::shared_ptr<HttpExchange> &exchange) -> void
{
    exchange->d->dispatched = true;
    exchange->d->stopPolling();
    if (!hangUpCheck.isActive()) {
        hangUpCheck = loop.every(HangUpCheckPeriod, [this] { checkHangUps(); });
    }
    handler(exchange);
}

/// Ends the exchanges whose callers have closed their side. Under TLS a closed connection is detected only by a write.
auto HttpServer::Private::checkHangUps() -> void
{
    if (exchanges.empty()) {
        hangUpCheck.cancel();
        return;
    }
    for (const auto &[wsi, exchange] : exchanges) {
        char byte = 0;
        if (exchange->d->dispatched && recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
            lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, LWS_TO_KILL_ASYNC);
        }
    }
}

auto HttpServer::Private::onRequest(lws *wsi, const char *path) -> int
{
    HttpRequest request;
    request.method = methodOf(wsi);
    request.path = encodePath(path);
    request.query = queryOf(wsi);
    request.peer = peerOf(wsi);
    auto names = options.keptHeaders;
    names.insert(names.end(), {"content-type", "content-length", "accept"});
    request.headers = collectHeaders(wsi, names);
    const std::string length = headerValue(request.headers, "content-length");
    const bool mayHaveBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    const bool isChunked = !knownHeader(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING).empty();

    auto exchange = std::make_shared<HttpExchange>(std::move(request));
    exchange->d->wsi = wsi;
    exchanges[wsi] = exchange;
    if (knownHeader(wsi, WSI_TOKEN_HTTP).rfind("HTTP/1.", 0) != 0) {
        // libwebsockets ends the request line at a percent-encoded line end, so the parsed request differs from the one that the caller sent.
        // The HTTP version is cut off as well; its absence identifies such a request.
        refuse(*exchange, HttpStatus::BadRequest, "bad-request-line");
        return 0;
    }
    if (isChunked || (mayHaveBody && length.empty())) {
        refuse(*exchange, HttpStatus::LengthRequired, "length-required");
        return 0;
    }
    std::size_t expected = 0;
    const auto parsed = std::from_chars(length.data(), length.data() + length.size(), expected);
    if (!length.empty() && (parsed.ec != std::errc() || parsed.ptr != length.data() + length.size())) {
        refuse(*exchange, HttpStatus::BadRequest, "bad-content-length");
        return 0;
    }
    if (expected > options.maxBody) {
        refuse(*exchange, HttpStatus::ContentTooLarge, "body-too-large");
        return 0;
    }
    exchange->d->expectedBody = expected;
    if (expected == 0) {
        dispatch(exchange);
    }
    return 0;
}

auto HttpServer::Private::onBody(lws *wsi, std::string_view data) -> int
{
    const auto exchange = find(wsi);
    if (!exchange || exchange->d->dispatched) {
        return 0;
    }
    exchange->d->request.body.append(data);
    return 0;
}

auto HttpServer::Private::onBodyEnd(lws *wsi) -> int
{
    const auto exchange = find(wsi);
    if (!exchange) {
        return 0;
    }
    if (exchange->d->bodyEnded) {
        // More bytes arrived together with the body, before its answer. libwebsockets 4.1 then reports the end of the body again and
        // again without returning to the loop, so that one caller would block the whole process. Only closing the connection ends that.
        LOG(WARNING) << "net: closed a connection that sent bytes after the body, before the answer peer=" << exchange->request().peer;
        return -1;
    }
    exchange->d->bodyEnded = true;
    if (!exchange->d->dispatched) {
        dispatch(exchange);
    }
    return 0;
}

auto HttpServer::Private::onWritable(lws *wsi) -> int
{
    const auto exchange = find(wsi);
    if (!exchange) {
        return 0;
    }
    if (exchange->d->onWritable(*exchange) != 0) {
        return -1;
    }
    if (!exchange->d->finished || !exchange->d->out.empty() || !exchange->d->headWritten) {
        return 0;
    }
    exchange->d->wsi = nullptr;
    exchanges.erase(wsi);
    if (exchange->d->closeAfter) {
        return -1;
    }
    lws_rx_flow_control(wsi, 1);
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

auto HttpServer::Private::onDisconnected(lws *wsi) -> void
{
    const auto exchange = find(wsi);
    if (!exchange) {
        return;
    }
    exchanges.erase(wsi);
    exchange->d->wsi = nullptr;
    if (exchange->onClosed && exchange->d->dispatched) {
        exchange->onClosed();
    }
}

auto HttpServer::Private::callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length) -> int
{
    lws_vhost *vhost = wsi == nullptr ? nullptr : lws_get_vhost(wsi);
    auto *self = vhost == nullptr ? nullptr : static_cast<Private *>(lws_vhost_user(vhost));
    if (self == nullptr) {
        return 0;
    }
    if (self->destroyed) {
        return reason == LWS_CALLBACK_FILTER_NETWORK_CONNECTION ? -1 : 0;
    }
    switch (reason) {
    case LWS_CALLBACK_OPENSSL_LOAD_EXTRA_SERVER_VERIFY_CERTS:
        self->tlsContext = static_cast<SSL_CTX *>(user);
        return 0;
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
        self->listener = wsi;
        return self->accepting && static_cast<int>(self->sockets.size()) < self->options.maxConnections ? 0 : -1;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        self->sockets.insert(wsi);
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        self->sockets.erase(wsi);
        self->onDisconnected(wsi);
        return 0;
    case LWS_CALLBACK_HTTP:
        return self->onRequest(wsi, static_cast<const char *>(in));
    case LWS_CALLBACK_HTTP_BODY:
        return self->onBody(wsi, {static_cast<const char *>(in), length});
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return self->onBodyEnd(wsi);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return self->onWritable(wsi);
    case LWS_CALLBACK_CLOSED_HTTP:
        self->onDisconnected(wsi);
        return 0;
    default:
        return 0;
    }
}

/// libwebsockets has destroyed the virtual host.
auto HttpServer::Private::onVhostDestroyed(lws_vhost * /*vhost*/, void *self) -> void
{
    delete static_cast<Private *>(self);
}

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options, Handler handler)
    : d(std::make_unique<Private>(loop, std::move(options), std::move(handler)))
{
    d->protocols[0] = lws_protocols {"http", &Private::callback, 0, MaxWriteBytes, 0, nullptr, 0};
    lws_context_creation_info info {};
    info.port = d->options.listen.port;
    info.iface = d->options.listen.address.c_str();
    info.protocols = d->protocols.data();
    info.user = d.get();
    info.finalize = &Private::onVhostDestroyed;
    info.finalize_arg = d.get();
    info.timeout_secs = static_cast<unsigned>(d->options.headerTimeout.inSeconds());
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6;
    if (d->options.tls.isEnabled()) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
        info.ssl_cert_filepath = d->options.tls.certificate.c_str();
        info.ssl_private_key_filepath = d->options.tls.key.c_str();
        info.alpn = "http/1.1";
    }
    info.vhost_name = VhostName;
    d->vhost = lws_create_vhost(loop.context(), &info);
    if (d->vhost == nullptr) {
        throw std::runtime_error("cannot listen on " + toString(d->options.listen));
    }
    if (d->tlsContext != nullptr) {
        d->tlsRenewal = std::make_unique<TlsRenewal>(loop, d->options.tls, d->tlsContext, d->options.tlsCheck);
    }
}

HttpServer::~HttpServer()
{
    // No hook is called for connections that end because the server is destroyed.
    for (auto &[wsi, exchange] : d->exchanges) {
        exchange->d->wsi = nullptr;
        exchange->onClosed = nullptr;
        exchange->onDrained = nullptr;
    }
    d->exchanges.clear();
    // Destroying the virtual host closes its port, not its connections: callers that await an answer would wait for ever.
    const auto open = d->sockets;
    for (lws *socket : open) {
        lws_set_timeout(socket, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_SYNC);
    }
    // The port is closed only at the next turn of the loop. Until then a caller may still connect, so the state of the callback must exist
    // until onVhostDestroyed().
    if (d->listener != nullptr) {
        lws_set_timeout(d->listener, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_SYNC);
    }
    d->destroyed = true;
    d->hangUpCheck.cancel();
    d->tlsRenewal.reset();
    d->handler = nullptr;
    lws_vhost *vhost = d.release()->vhost;
    lws_vhost_destroy(vhost);
}

auto HttpServer::port() const -> int
{
    return lws_get_vhost_listen_port(d->vhost);
}

auto HttpServer::openExchanges() const -> std::size_t
{
    return d->exchanges.size();
}

auto HttpServer::refusedRequests() const -> std::uint64_t
{
    return d->refused;
}

auto HttpServer::close() -> void
{
    d->accepting = false;
}

} // namespace KingCup
