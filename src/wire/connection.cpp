#include "wire/connection.h"

#include "net/lwsowner.h"

#include <array>
#include <glog/logging.h>

namespace KingCup
{

namespace
{

/// Space in the write buffer for the overhead of TLS: at most 256 bytes for each record, which holds up to 16 KiB of plaintext.
constexpr std::size_t TlsOverheadBytes = 2048;

} // namespace

PeerConnection::PeerConnection(EventLoop &loop, SessionRole role, const PeerOptions &options, ssl_ctx_st *tls, std::string name, Hooks hooks)
    : m_loop(loop)
    , m_name(std::move(name))
    , m_hooks(std::move(hooks))
{
    SessionHooks sessionHooks;
    sessionHooks.wantWrite = [this] {
        requestWritable();
    };
    sessionHooks.onStream = m_hooks.onStream;
    sessionHooks.onReady = [this] {
        m_deadline.cancel();
        if (!m_closed && m_hooks.onReady) {
            m_hooks.onReady();
        }
    };
    m_session = std::make_shared<PeerSession>(loop, role, options, std::move(sessionHooks));
    if (tls != nullptr) {
        m_tls = std::make_unique<TlsChannel>(tls, role == SessionRole::Client ? TlsChannel::Side::Client : TlsChannel::Side::Server);
    }
    // A paused process, or one that speaks another protocol, may also accept a connection and then send nothing. Without a time limit for
    // the handshake, a client would wait for such a process for ever, and a server would keep such a connection for ever.
    m_deadline = loop.after(options.connectTimeout, [this] { drop("the remote side did not complete the handshake in time"); });
}

auto PeerConnection::isReady() const -> bool
{
    return !m_closed && m_session->isReady();
}

auto PeerConnection::isClosed() const -> bool
{
    return m_closed;
}

auto PeerConnection::open(const std::string &path) -> PeerStreamPtr
{
    if (!isReady()) {
        return nullptr;
    }
    auto stream = m_session->open(path);
    if (!stream) {
        // The stream ids of a connection are used up after 2^30 requests.
        drop("no stream could be opened");
    }
    return stream;
}

auto PeerConnection::attach(lws *socket) -> void
{
    m_wsi = socket;
}

auto PeerConnection::start() -> void
{
    m_started = true;
    if (m_tls) {
        m_tls->start();
    }
    requestWritable();
}

auto PeerConnection::drop(const std::string &why) -> void
{
    if (m_wsi != nullptr) {
        lws *socket = m_wsi;
        detach();
        lws_set_timeout(socket, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
    }
    close(why);
}

auto PeerConnection::detach() -> void
{
    lws_set_opaque_user_data(m_wsi, nullptr);
    m_wsi = nullptr;
}

auto PeerConnection::close(const std::string &why) -> void
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_deadline.cancel();
    if (!why.empty()) {
        LOG(WARNING) << "wire: connection closed peer=" << m_name << " reason=\"" << why << "\" streams=" << m_session->streams();
    }
    // By a posted task: close() may run within a hook of a stream that breakStreams() ends.
    m_loop.post([self = shared_from_this()] {
        self->m_session->breakStreams();
        const auto hooks = std::move(self->m_hooks);
        self->m_hooks = {};
        if (hooks.onClosed) {
            hooks.onClosed();
        }
    });
}

auto PeerConnection::requestWritable() -> void
{
    if (m_wsi != nullptr && m_started && !m_writeRequested) {
        m_writeRequested = true;
        lws_callback_on_writable(m_wsi);
    }
}

auto PeerConnection::receivePlain(std::string_view bytes) -> bool
{
    if (!m_session->receive(bytes)) {
        drop(m_session->fault());
    }
    return !m_closed;
}

auto PeerConnection::onReceived(std::string_view bytes) -> int
{
    if (!m_tls) {
        return receivePlain(bytes) ? 0 : -1;
    }
    const bool fine = m_tls->receive(bytes, [this](std::string_view plain) { return receivePlain(plain); });
    if (!fine) {
        drop(m_tls->fault());
    } else {
        requestWritable();
    }
    return m_closed ? -1 : 0;
}

/// Fills `to` with the next bytes for the socket, encrypted under TLS; returns their number.
auto PeerConnection::fillWriteBuffer(unsigned char *to) -> std::size_t
{
    if (!m_tls) {
        return m_session->fill(to, PeerWriteBytes);
    }
    if (m_tls->isEstablished() && m_tls->pendingBytes() == 0) {
        const std::size_t size = m_session->fill(to, PeerWriteBytes - TlsOverheadBytes);
        m_tls->send({reinterpret_cast<const char *>(to), size});
    }
    return m_tls->take(to, PeerWriteBytes);
}

auto PeerConnection::wantsWrite() const -> bool
{
    if (!m_tls) {
        return m_session->wantsWrite();
    }
    return m_tls->pendingBytes() > 0 || (m_tls->isEstablished() && m_session->wantsWrite());
}

auto PeerConnection::onWritable() -> int
{
    m_writeRequested = false;
    if (lws_partial_buffered(m_wsi) != 0) {
        requestWritable();
        return 0;
    }
    std::array<unsigned char, LWS_PRE + PeerWriteBytes> buffer; // not cleared: written before it is read
    unsigned char *start = buffer.data() + LWS_PRE;
    const std::size_t size = fillWriteBuffer(start);
    if (size > 0 && lws_write(m_wsi, start, size, LWS_WRITE_RAW) < 0) {
        return -1;
    }
    if (m_session->isOver() && !wantsWrite()) {
        drop("the session is over");
        return -1;
    }
    if (wantsWrite()) {
        requestWritable();
    }
    m_session->notifyDrained();
    return m_closed ? -1 : 0;
}

auto PeerConnection::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in, size_t length) -> int
{
    const auto self = lwsOwner<PeerConnection>(wsi, reason);
    if (!self) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
    case LWS_CALLBACK_RAW_ADOPT:
        self->attach(wsi);
        self->start();
        return 0;
    case LWS_CALLBACK_RAW_RX:
        return self->onReceived({static_cast<const char *>(in), length});
    case LWS_CALLBACK_RAW_WRITEABLE:
        return self->onWritable();
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
        self->m_wsi = nullptr;
        self->close("");
        return 0;
    default:
        return 0;
    }
}

} // namespace KingCup
