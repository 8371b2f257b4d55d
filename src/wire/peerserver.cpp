// Implements the server of wire/peer.h.
#include "net/tls.h"
#include "wire/connection.h"

#include <array>
#include <glog/logging.h>
#include <stdexcept>
#include <unordered_set>

namespace KingCup
{

namespace
{

auto peerOf(lws *wsi) -> std::string
{
    std::array<char, 64> address {};
    lws_get_peer_simple(wsi, address.data(), address.size());
    return address.data();
}

} // namespace

struct PeerServer::Private : std::enable_shared_from_this<Private> {
    EventLoop &loop;
    PeerOptions options;
    std::function<void(const PeerStreamPtr &)> onStream;
    lws_vhost *vhost = nullptr;
    std::unordered_set<std::shared_ptr<PeerConnection>> connections;
    std::unique_ptr<TlsContext> tls; // null without TLS
    std::unique_ptr<TlsRenewal> tlsRenewal;
    bool accepting = true;

    Private(EventLoop &ownerLoop, std::function<void(const PeerStreamPtr &)> streamHook, PeerOptions peerOptions)
        : loop(ownerLoop)
        , options(std::move(peerOptions))
        , onStream(std::move(streamHook))
    {
    }
    static auto callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length) -> int;
    auto adopt(lws *wsi) -> void;
    auto listen(const Endpoint &endpoint) -> void;
};

namespace
{

/// The target of a vhost's user pointer. The vhost continues to exist for a while after lws_vhost_destroy(), and this object as
/// long, so that a late callback can detect that the server is destroyed.
struct VhostOwner {
    std::weak_ptr<PeerServer::Private> server;
    std::string address; ///< libwebsockets keeps a pointer to it
};

auto deleteOwner(lws_vhost * /*vhost*/, void *owner) -> void
{
    delete static_cast<VhostOwner *>(owner);
}

} // namespace

auto PeerServer::Private::callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length) -> int
{
    if (reason != LWS_CALLBACK_FILTER_NETWORK_CONNECTION && reason != LWS_CALLBACK_RAW_ADOPT) {
        return PeerConnection::callback(wsi, reason, user, in, length);
    }
    auto *owner = static_cast<VhostOwner *>(lws_vhost_user(lws_get_vhost(wsi)));
    const auto self = owner == nullptr ? nullptr : owner->server.lock();
    if (!self || !self->accepting) {
        return -1;
    }
    if (reason == LWS_CALLBACK_RAW_ADOPT) {
        self->adopt(wsi);
        return PeerConnection::callback(wsi, reason, user, in, length);
    }
    return 0;
}

auto PeerServer::Private::adopt(lws *wsi) -> void
{
    PeerConnection::Hooks hooks;
    hooks.onStream = onStream;
    auto slot = std::make_shared<std::weak_ptr<PeerConnection>>();
    hooks.onClosed = [weak = weak_from_this(), slot] {
        if (const auto self = weak.lock()) {
            self->connections.erase(slot->lock());
        }
    };
    auto *context = tls ? tls->native() : nullptr;
    auto connection = std::make_shared<PeerConnection>(loop, SessionRole::Server, options, context, peerOf(wsi), std::move(hooks));
    *slot = connection;
    connections.insert(connection);
    lws_set_opaque_user_data(wsi, connection.get());
}

auto PeerServer::Private::listen(const Endpoint &endpoint) -> void
{
    if (options.tls.isEnabled()) {
        tls = std::make_unique<TlsContext>(TlsContext::Side::Server, options.tls);
        tlsRenewal = std::make_unique<TlsRenewal>(loop, options.tls, tls->native(), options.tlsCheck);
    }
    static const std::array<lws_protocols, 2> Protocols {{{"kingcup-peer", &Private::callback, 0, 0, 0, nullptr, PeerWriteBytes}, {}}};
    auto *owner = new VhostOwner {weak_from_this(), endpoint.address}; // owned by the vhost, see deleteOwner()
    lws_context_creation_info info {};
    info.port = endpoint.port;
    info.iface = owner->address.c_str();
    info.protocols = Protocols.data();
    info.vhost_name = "peer-server"; // libwebsockets keeps the pointer, as for the address
    info.user = owner;
    info.finalize = &deleteOwner;
    info.finalize_arg = owner;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = "kingcup-peer";
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6;
    vhost = lws_create_vhost(loop.context(), &info);
    if (vhost == nullptr) {
        throw std::runtime_error("cannot listen on " + toString(endpoint));
    }
}

PeerServer::PeerServer(EventLoop &loop, const Endpoint &listen, std::function<void(const PeerStreamPtr &)> onStream, PeerOptions options)
    : d(std::make_shared<Private>(loop, std::move(onStream), std::move(options)))
{
    d->listen(listen);
}

PeerServer::~PeerServer()
{
    d->accepting = false;
    const auto connections = std::move(d->connections);
    d->connections.clear();
    for (const auto &connection : connections) {
        connection->drop("");
    }
    lws_vhost_destroy(d->vhost);
}

auto PeerServer::port() const -> int
{
    return lws_get_vhost_listen_port(d->vhost);
}

auto PeerServer::connections() const -> std::size_t
{
    return d->connections.size();
}

auto PeerServer::close() -> void
{
    d->accepting = false;
}

} // namespace KingCup
