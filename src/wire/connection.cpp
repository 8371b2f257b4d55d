#include "wire/connection.h"

#include <array>
#include <glog/logging.h>

namespace KingCup
{

auto applyTls(lws_context_creation_info &info, const TlsFiles &files) -> void
{
    if (!files.isEnabled()) {
        return;
    }
    info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    if (info.port == CONTEXT_PORT_NO_LISTEN) {
        info.client_ssl_ca_filepath = files.authority.c_str();
        info.client_ssl_cert_filepath = files.certificate.c_str();
        info.client_ssl_private_key_filepath = files.key.c_str();
    } else {
        info.options |= LWS_SERVER_OPTION_REQUIRE_VALID_OPENSSL_CLIENT_CERT;
        info.ssl_ca_filepath = files.authority.c_str();
        info.ssl_cert_filepath = files.certificate.c_str();
        info.ssl_private_key_filepath = files.key.c_str();
    }
}

PeerConnection::PeerConnection(EventLoop &loop, SessionRole role, const PeerOptions &options, std::string name, Hooks hooks)
    : m_loop(loop)
    , m_name(std::move(name))
    , m_hooks(std::move(hooks))
{
    SessionHooks sessionHooks;
    sessionHooks.wantWrite = [this] {
        askForWritable();
    };
    sessionHooks.onStream = m_hooks.onStream;
    sessionHooks.onReady = [this] {
        m_deadline.cancel();
        if (!m_closed && m_hooks.onReady) {
            m_hooks.onReady();
        }
    };
    m_session = std::make_shared<PeerSession>(loop, role, options, std::move(sessionHooks));
    // A process that is frozen, or that speaks something else and waits, accepts connections as well. Without a limit on how
    // long it takes to show itself, a client would wait for it for ever and a server keep the connection for ever.
    m_deadline = loop.after(options.connectTimeout, [this] { drop("the far side did not answer in time"); });
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
        // Stream numbers of one connection run out after 2^30 requests.
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
    askForWritable();
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
    // Not from within a hook: it may belong to a stream that is about to hear its end.
    m_loop.post([self = shared_from_this()] {
        self->m_session->breakStreams();
        const auto hooks = std::move(self->m_hooks);
        self->m_hooks = {};
        if (hooks.onClosed) {
            hooks.onClosed();
        }
    });
}

auto PeerConnection::askForWritable() -> void
{
    if (m_wsi != nullptr && m_started && !m_writeAsked) {
        m_writeAsked = true;
        lws_callback_on_writable(m_wsi);
    }
}

auto PeerConnection::onReceived(std::string_view bytes) -> int
{
    if (!m_session->receive(bytes)) {
        drop(m_session->fault());
        return -1;
    }
    return m_closed ? -1 : 0;
}

auto PeerConnection::onWritable() -> int
{
    m_writeAsked = false;
    if (lws_partial_buffered(m_wsi) != 0) {
        askForWritable();
        return 0;
    }
    std::array<unsigned char, LWS_PRE + PeerWriteBytes> buffer; // not cleared: written before it is read
    unsigned char *start = buffer.data() + LWS_PRE;
    const std::size_t size = m_session->fill(start, PeerWriteBytes);
    if (size > 0 && lws_write(m_wsi, start, size, LWS_WRITE_RAW) < 0) {
        return -1;
    }
    if (m_session->isOver()) {
        drop("the session is over");
        return -1;
    }
    if (m_session->wantsWrite()) {
        askForWritable();
    }
    m_session->tellDrained();
    return m_closed ? -1 : 0;
}

auto PeerConnection::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in, size_t length) -> int
{
    auto *found = wsi == nullptr ? nullptr : static_cast<PeerConnection *>(lws_get_opaque_user_data(wsi));
    if (found == nullptr) {
        return 0;
    }
    const auto self = found->shared_from_this();
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
