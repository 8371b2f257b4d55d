// Implements the client of wire/peer.h.
#include "net/tls.h"
#include "wire/connection.h"

#include <array>
#include <glog/logging.h>
#include <map>
#include <random>
#include <tuple>

namespace KingCup
{

namespace
{

/// A libwebsockets vhost shared by all clients of a loop with the same TLS files, since there may be hundreds of connections.
class ClientVhost
{
public:
    ClientVhost(EventLoop &loop, const PeerOptions &options)
    {
        static const std::array<lws_protocols, 2> Protocols {{{"kingcup-peer", &PeerConnection::callback, 0, 0, 0, nullptr, PeerWriteBytes}, {}}};
        lws_context_creation_info info {};
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = Protocols.data();
        info.vhost_name = "peer-clients";
        m_vhost = lws_create_vhost(loop.context(), &info);
        if (options.tls.isEnabled()) {
            m_tls = std::make_unique<TlsContext>(TlsContext::Side::Client, options.tls);
            m_tlsRenewal = std::make_unique<TlsRenewal>(loop, options.tls, m_tls->native(), options.tlsCheck);
        }
    }
    ~ClientVhost()
    {
        if (m_vhost != nullptr) {
            lws_vhost_destroy(m_vhost);
        }
    }
    ClientVhost(const ClientVhost &) = delete;
    auto operator=(const ClientVhost &) -> ClientVhost & = delete;

    auto vhost() const -> lws_vhost *
    {
        return m_vhost;
    }

    auto tls() const -> ssl_ctx_st *
    {
        return m_tls ? m_tls->native() : nullptr;
    }

    static auto shared(EventLoop &loop, const PeerOptions &options) -> std::shared_ptr<ClientVhost>
    {
        using Key = std::tuple<lws_context *, std::string, std::string, std::string>;
        thread_local std::map<Key, std::weak_ptr<ClientVhost>> known;
        const auto &tls = options.tls;
        auto &slot = known[Key(loop.context(), tls.certificate, tls.key, tls.authority)];
        auto found = slot.lock();
        if (!found) {
            found = std::make_shared<ClientVhost>(loop, options);
            slot = found;
        }
        return found;
    }

private:
    std::unique_ptr<TlsContext> m_tls; // null without TLS
    std::unique_ptr<TlsRenewal> m_tlsRenewal;
    lws_vhost *m_vhost = nullptr;
};

} // namespace

struct PeerClient::Private : std::enable_shared_from_this<Private> {
    PeerClient *owner; // null once the PeerClient is destroyed
    EventLoop &loop;
    Endpoint server;
    PeerOptions options;
    std::shared_ptr<ClientVhost> vhost;
    std::shared_ptr<PeerConnection> connection;
    Timer retry;
    Backoff backoff;
    bool up = false; // onUp was called, onDown not yet
    std::minstd_rand random {std::random_device {}()};

    Private(PeerClient &client, EventLoop &ownerLoop, Endpoint endpoint, PeerOptions peerOptions)
        : owner(&client)
        , loop(ownerLoop)
        , server(std::move(endpoint))
        , options(std::move(peerOptions))
        , vhost(ClientVhost::shared(ownerLoop, options))
        , backoff(options.backoff)
    {
    }
    auto connect() -> void;
    auto openSocket() -> void;
    auto scheduleRetry() -> void;
    auto onReady() -> void;
    auto onClosed() -> void;
};

auto PeerClient::Private::connect() -> void
{
    PeerConnection::Hooks hooks;
    hooks.onReady = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onReady();
        }
    };
    hooks.onClosed = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onClosed();
        }
    };
    connection = std::make_shared<PeerConnection>(loop, SessionRole::Client, options, vhost->tls(), toString(server), std::move(hooks));
    openSocket();
}

auto PeerClient::Private::openSocket() -> void
{
    lws_client_connect_info info {};
    info.context = loop.context();
    info.vhost = vhost->vhost();
    info.address = server.address.c_str();
    info.port = server.port;
    info.host = server.address.c_str();
    info.origin = server.address.c_str();
    info.path = "";
    info.method = "RAW";
    info.local_protocol_name = "kingcup-peer";
    info.opaque_user_data = connection.get();
    const auto keep = connection;
    lws *wsi = lws_client_connect_via_info(&info);
    if (wsi == nullptr) {
        keep->drop("");
    } else if (!keep->isClosed()) {
        keep->attach(wsi);
    }
}

auto PeerClient::Private::scheduleRetry() -> void
{
    retry = loop.after(backoff.next(random), [this] { connect(); });
}

auto PeerClient::Private::onReady() -> void
{
    backoff.reset();
    up = true;
    VLOG(1) << "wire: connected peer=" << toString(server);
    if (owner != nullptr && owner->onUp) {
        owner->onUp();
    }
}

auto PeerClient::Private::onClosed() -> void
{
    if (owner == nullptr) {
        return;
    }
    connection.reset();
    scheduleRetry();
    if (!up) {
        return;
    }
    up = false;
    if (owner->onDown) {
        owner->onDown();
    }
}

PeerClient::PeerClient(EventLoop &loop, Endpoint server, PeerOptions options)
    : d(std::make_shared<Private>(*this, loop, std::move(server), std::move(options)))
{
    // By a posted task, so that the owner can set its hooks first.
    loop.post([weak = std::weak_ptr(d)] {
        const auto self = weak.lock();
        if (self && self->owner != nullptr) {
            self->connect();
        }
    });
}

PeerClient::~PeerClient()
{
    d->owner = nullptr;
    d->retry.cancel();
    if (d->connection) {
        d->connection->drop("");
    }
}

auto PeerClient::isConnected() const -> bool
{
    return d->connection && d->connection->isReady();
}

auto PeerClient::server() const -> const Endpoint &
{
    return d->server;
}

auto PeerClient::open(const std::string &path) -> PeerStreamPtr
{
    return d->connection ? d->connection->open(path) : nullptr;
}

auto PeerClient::reconnect() -> void
{
    if (d->connection) {
        d->connection->drop("dropped by this side");
    }
}

} // namespace KingCup
