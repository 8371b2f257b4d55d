#include "wire/peerlinks.h"

#include <algorithm>
#include <glog/logging.h>
#include <map>

namespace KingCup
{

namespace
{

/// Heartbeat periods without a message from a peer after which it is pinged.
constexpr double HeartbeatsBeforePing = 1.5;
/// While this much is pending on a control stream, no more messages are sent on it, since they would pile up. The peer gets the newest
/// state when it reconnects.
constexpr std::size_t MaxPendingBytes = 4U << 20U;

struct Link {
    std::string id;
    std::unique_ptr<PeerClient> client;
    PeerStreamPtr control;
    TimePoint receivedAt; ///< last time that any message was received
    std::uint64_t dropped = 0; ///< frames dropped since too much is pending
};

} // namespace

struct PeerLinks::Private {
    EventLoop &loop;
    std::string part;
    PeerOptions options;
    LinkHooks hooks;
    std::map<std::string, std::unique_ptr<Link>> links;
    Timer heartbeat;
    std::uint64_t pings = 0;

    Private(EventLoop &ownerLoop, std::string name, PeerOptions peerOptions, LinkHooks linkHooks)
        : loop(ownerLoop)
        , part(std::move(name))
        , options(std::move(peerOptions))
        , hooks(std::move(linkHooks))
    {
    }
    auto connect(const ListedHost &host) -> void;
    auto onUp(Link &link) -> void;
    auto onDown(Link &link) -> void;
    auto onFrame(Link &link, const Wire::ControlFrame &frame) -> void;
    auto pingSilent(Duration silence) -> void;
    auto find(const std::string &id) const -> Link *
    {
        const auto found = links.find(id);
        return found == links.end() ? nullptr : found->second.get();
    }
};

auto PeerLinks::Private::connect(const ListedHost &host) -> void
{
    auto link = std::make_unique<Link>();
    auto *raw = link.get();
    link->id = host.id;
    link->client = std::make_unique<PeerClient>(loop, host.endpoint, options);
    link->client->onUp = [this, raw] {
        onUp(*raw);
    };
    link->client->onDown = [this, raw] {
        onDown(*raw);
    };
    links[host.id] = std::move(link);
}

auto PeerLinks::Private::onUp(Link &link) -> void
{
    link.control = link.client->open(ControlPath);
    if (!link.control) {
        return;
    }
    readControl(link.control, link.id, [this, raw = &link](const Wire::ControlFrame &frame) { onFrame(*raw, frame); });
    for (const auto &frame : hooks.greeting()) {
        link.control->send(frame);
    }
}

auto PeerLinks::Private::onDown(Link &link) -> void
{
    if (link.control) {
        LOG(INFO) << part << ": connection lost id=" << link.id;
    }
    link.control = nullptr;
    hooks.onDown(link.id);
}

auto PeerLinks::Private::onFrame(Link &link, const Wire::ControlFrame &frame) -> void
{
    link.receivedAt = loop.now();
    hooks.onReceived(link.id);
    if (frame.has_hello()) {
        // The address may have been reassigned to another process, whose messages must not count as those of the wanted peer.
        if (frame.hello().id() != link.id || frame.hello().version() != Wire::PROTOCOL_VERSION_CURRENT) {
            LOG(WARNING) << part << ": another process answered wanted=" << link.id << " got=" << frame.hello().id() << " version=" << frame.hello().version();
            link.control->reset();
            link.control = nullptr;
            return;
        }
        hooks.onHello(link.id, frame.hello());
    } else if (!frame.has_pong()) {
        hooks.onFrame(link.id, frame);
    }
}

/// Pings the peers that have sent nothing for longer than `silence`. Any message shows that a peer is alive, and pinging all peers
/// would double the wake-ups of an idle gateway.
auto PeerLinks::Private::pingSilent(Duration silence) -> void
{
    for (const auto &[id, link] : links) {
        if (link->control && loop.now() - link->receivedAt > silence) {
            link->control->send(pingFrame(++pings));
        }
    }
}

PeerLinks::PeerLinks(EventLoop &loop, std::string part, PeerOptions options, Duration heartbeat, LinkHooks hooks)
    : d(std::make_unique<Private>(loop, std::move(part), std::move(options), std::move(hooks)))
{
    d->heartbeat = loop.every(heartbeat, [this, heartbeat] { d->pingSilent(heartbeat * HeartbeatsBeforePing); });
}

PeerLinks::~PeerLinks() = default;

auto PeerLinks::ids() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[id, link] : d->links) {
        names.push_back(id);
    }
    return names;
}

auto PeerLinks::isConnected(const std::string &id) const -> bool
{
    const auto *link = d->find(id);
    return link != nullptr && link->control != nullptr;
}

auto PeerLinks::setHosts(const std::vector<ListedHost> &hosts) -> void
{
    std::erase_if(d->links, [&](const auto &item) {
        return std::none_of(
            hosts.begin(), hosts.end(), [&](const ListedHost &host) { return host.id == item.first && host.endpoint == item.second->client->server(); });
    });
    for (const auto &host : hosts) {
        if (!d->links.contains(host.id)) {
            d->connect(host);
        }
    }
}

auto PeerLinks::open(const std::string &id) -> PeerStreamPtr
{
    auto *link = d->find(id);
    return link == nullptr || !link->control ? nullptr : link->client->open(RequestPath);
}

auto PeerLinks::send(const std::string &id, const Wire::ControlFrame &frame) -> bool
{
    auto *link = d->find(id);
    if (link == nullptr || !link->control) {
        return false;
    }
    if (link->control->pendingBytes() >= MaxPendingBytes) {
        if (link->dropped++ == 0) {
            LOG(WARNING) << d->part << ": messages are dropped id=" << id << " pending-bytes=" << link->control->pendingBytes();
        }
        return false;
    }
    if (link->dropped > 0) {
        LOG(WARNING) << d->part << ": messages are sent again id=" << id << " dropped=" << link->dropped;
        link->dropped = 0;
    }
    link->control->send(frame);
    return true;
}

auto PeerLinks::sendAll(const Wire::ControlFrame &frame) -> void
{
    for (const auto &id : ids()) {
        send(id, frame);
    }
}

auto PeerLinks::reconnect(const std::string &id) -> void
{
    auto *link = d->find(id);
    if (link != nullptr) {
        link->client->reconnect();
    }
}

} // namespace KingCup
