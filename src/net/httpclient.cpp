// Implements the client of net/http.h. Each call opens a new connection.
#include "net/http.h"
#include "net/lwsheaders.h"
#include "net/lwsowner.h"
#include "net/tls.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <libwebsockets.h>
#include <sys/socket.h>
#include <unordered_set>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxWriteBytes = 32768;
constexpr int ReadBufferBytes = 16384;

} // namespace

struct HttpClient::Private {
    EventLoop &loop;
    std::unique_ptr<TlsContext> tlsContext; // null without TLS
    std::unique_ptr<TlsRenewal> tlsRenewal;
    lws_vhost *vhost = nullptr;
    std::array<lws_protocols, 2> protocols {};
    struct Call;
    std::unordered_set<std::shared_ptr<Call>> calls;

    explicit Private(EventLoop &ownerLoop, const TlsFiles &tls)
        : loop(ownerLoop)
    {
        if (tls.isEnabled()) {
            tlsContext = std::make_unique<TlsContext>(TlsContext::Side::Client, tls);
            tlsRenewal = std::make_unique<TlsRenewal>(loop, tls, tlsContext->native());
        }
    }
    static auto callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length) -> int;
};

struct HttpClient::Private::Call : HttpCallHandle, std::enable_shared_from_this<Call> {
    Private *client = nullptr; // null once the call has ended
    HttpCall call;
    lws *wsi = nullptr;
    Timer timer;
    bool sent = false; // the server may have received the request
    bool headSeen = false;
    bool cutOff = false; // the server has closed the connection and nothing is left to read from the socket
    bool dataInRead = false; // the current read has delivered a part of the body
    bool complete = false;
    bool ended = false;
    bool paused = false;
    std::size_t bodyWritten = 0;
    std::size_t received = 0;
    std::size_t expected = 0; // content-length of the answer, if hasLength
    bool hasLength = false;

    auto cancel() -> void override
    {
        end(CallEnd::Cancelled);
    }
    auto pause() -> void override
    {
        paused = true;
        if (wsi != nullptr) {
            lws_rx_flow_control(wsi, 0);
        }
    }
    auto resume() -> void override
    {
        paused = false;
        if (wsi != nullptr) {
            lws_rx_flow_control(wsi, 1);
        }
    }

    auto end(CallEnd how) -> void;
    auto clearLibraryTimeout() -> void;
    auto onHandshake(unsigned char **at, unsigned char *limit) -> int;
    auto onWritable() -> int;
    auto onHead() -> int;
    auto onReadable() -> int;
    auto onClosed() -> void;
};

/// Closes the connection and calls onEnd once, by a posted task and so never from within a call of the user.
auto HttpClient::Private::Call::end(CallEnd how) -> void
{
    if (ended) {
        return;
    }
    ended = true;
    timer.cancel();
    const auto self = shared_from_this();
    if (wsi != nullptr) {
        lws_set_opaque_user_data(wsi, nullptr);
        lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, LWS_TO_KILL_ASYNC);
        wsi = nullptr;
    }
    client->calls.erase(self);
    client->loop.post([self, how] {
        const auto onEnd = std::move(self->call.onEnd);
        self->call.onHead = nullptr;
        self->call.onData = nullptr;
        self->call.onEnd = nullptr;
        if (onEnd) {
            onEnd(how);
        }
    });
}

/// Clears the timeout of libwebsockets for answers: only the call's own timer is to limit it. libwebsockets sets its timeout after the
/// callback has returned, so this is done by a posted task.
auto HttpClient::Private::Call::clearLibraryTimeout() -> void
{
    client->loop.post([self = shared_from_this()] {
        if (self->wsi != nullptr) {
            lws_set_timeout(self->wsi, NO_PENDING_TIMEOUT, 0);
        }
    });
}

auto HttpClient::Private::Call::onHandshake(unsigned char **at, unsigned char *limit) -> int
{
    auto headers = call.headers;
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT" || call.method == "PATCH") {
        headers.push_back({"content-length", std::to_string(call.body.size())});
    }
    for (const auto &header : headers) {
        const std::string withColon = header.name + ":";
        if (lws_add_http_header_by_name(wsi,
                                        reinterpret_cast<const unsigned char *>(withColon.c_str()),
                                        reinterpret_cast<const unsigned char *>(header.value.data()),
                                        static_cast<int>(header.value.size()),
                                        at,
                                        limit)
            != 0) {
            return -1;
        }
    }
    sent = true;
    if (!call.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    clearLibraryTimeout();
    return 0;
}

auto HttpClient::Private::Call::onWritable() -> int
{
    const std::size_t size = std::min(call.body.size() - bodyWritten, MaxWriteBytes);
    if (size == 0) {
        return 0;
    }
    const bool last = bodyWritten + size == call.body.size();
    std::string buffer(LWS_PRE, '\0');
    buffer.append(call.body, bodyWritten, size);
    if (last) {
        lws_client_http_body_pending(wsi, 0);
    }
    auto *data = reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE;
    if (lws_write(wsi, data, size, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    bodyWritten += size;
    if (last) {
        clearLibraryTimeout();
    } else {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

auto HttpClient::Private::Call::onHead() -> int
{
    headSeen = true;
    auto names = call.keptHeaders;
    names.emplace_back("content-type");
    const auto headers = collectHeaders(wsi, names);
    const std::string length = knownHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    hasLength = !length.empty();
    std::from_chars(length.data(), length.data() + length.size(), expected);
    if (call.onHead) {
        call.onHead(static_cast<int>(lws_http_client_http_response(wsi)), headers);
    }
    clearLibraryTimeout();
    return 0;
}

auto HttpClient::Private::Call::onReadable() -> int
{
    std::array<char, LWS_PRE + ReadBufferBytes> buffer {};
    char *at = buffer.data() + LWS_PRE;
    int length = ReadBufferBytes;
    // When the connection closes in the middle of a chunked answer, libwebsockets reports it as completed, and a partial answer would
    // be taken for complete. That case is recognised by the closed socket here and by the lack of body bytes in this read.
    char byte = 0;
    dataInRead = false;
    cutOff = recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    return lws_http_client_read(wsi, &at, &length) < 0 ? -1 : 0;
}

auto HttpClient::Private::Call::onClosed() -> void
{
    wsi = nullptr;
    const bool whole = complete && headSeen && (!hasLength || received == expected);
    if (whole) {
        end(CallEnd::Complete);
    } else {
        end(sent ? CallEnd::Broken : CallEnd::NotSent);
    }
}

auto HttpClient::Private::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in, size_t length) -> int
{
    const auto call = lwsOwner<Call>(wsi, reason);
    if (!call) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
        call->wsi = wsi;
        auto **at = static_cast<unsigned char **>(in);
        return call->onHandshake(at, *at + length);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return call->onWritable();
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return call->onHead();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return call->onReadable();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        call->received += length;
        call->dataInRead = true;
        if (call->call.onData && !call->ended) {
            call->call.onData({static_cast<const char *>(in), length});
        }
        return call->ended ? -1 : 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        call->complete = call->hasLength || !call->cutOff || call->dataInRead;
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        call->onClosed();
        return 0;
    default:
        return 0;
    }
}

HttpClient::HttpClient(EventLoop &loop, const TlsFiles &tls)
    : d(std::make_unique<Private>(loop, tls))
{
    d->protocols[0] = lws_protocols {"http", &Private::callback, 0, ReadBufferBytes, 0, nullptr, 0};
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = d->protocols.data();
    info.vhost_name = "client";
    if (d->tlsContext) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
        info.provided_client_ssl_ctx = d->tlsContext->native();
    }
    d->vhost = lws_create_vhost(loop.context(), &info);
}

HttpClient::~HttpClient()
{
    const auto calls = d->calls;
    for (const auto &call : calls) {
        call->end(CallEnd::Cancelled);
    }
    lws_vhost_destroy(d->vhost);
}

auto HttpClient::start(HttpCall call) -> std::shared_ptr<HttpCallHandle>
{
    auto started = std::make_shared<Private::Call>();
    started->client = d.get();
    started->call = std::move(call);
    d->calls.insert(started);
    if (started->call.timeout > Duration()) {
        started->timer = d->loop.after(started->call.timeout, [weak = std::weak_ptr(started)] {
            if (const auto self = weak.lock()) {
                self->end(self->sent ? CallEnd::Timeout : CallEnd::NotSent);
            }
        });
    }
    const std::string host = toString(started->call.server);
    lws_client_connect_info info {};
    info.context = d->loop.context();
    info.vhost = d->vhost;
    info.address = started->call.server.address.c_str();
    info.port = started->call.server.port;
    info.path = started->call.path.c_str();
    info.host = host.c_str();
    info.origin = host.c_str();
    info.method = started->call.method.c_str();
    info.protocol = "http";
    info.local_protocol_name = "http";
    info.alpn = "http/1.1";
    info.opaque_user_data = started.get();
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    if (d->tlsContext) {
        info.ssl_connection |= LCCSCF_USE_SSL | LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
    }
    lws *wsi = lws_client_connect_via_info(&info);
    if (wsi == nullptr) {
        started->wsi = nullptr;
        started->end(CallEnd::NotSent);
    } else if (!started->ended) {
        started->wsi = wsi;
    }
    return started;
}

auto HttpClient::callsInFlight() const -> std::size_t
{
    return d->calls.size();
}

} // namespace KingCup
