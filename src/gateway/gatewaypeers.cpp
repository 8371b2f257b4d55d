#include "gateway/gatewaypeers.h"

#include <algorithm>
#include <map>

namespace KingCup
{

namespace
{

constexpr auto CheckPeriod = Duration::millis(300);

struct PeerState {
    TimePoint receivedAt; ///< of the last message
    bool isLive = false;
};

} // namespace

struct GatewayPeers::Private {
    EventLoop &loop;
    EventLog &log;
    GatewayPeerSettings settings;
    GatewayPeerHooks hooks;
    std::unique_ptr<PeerServer> server;
    std::unique_ptr<PeerLinks> links;
    std::set<PeerStreamPtr> incoming;
    std::map<std::string, PeerState> states;
    std::map<std::string, TimePoint> reconnectedAt;
    Timer check;

    Private(EventLoop &ownerLoop, EventLog &eventLog, GatewayPeerSettings peerSettings, GatewayPeerHooks peerHooks)
        : loop(ownerLoop)
        , log(eventLog)
        , settings(std::move(peerSettings))
        , hooks(std::move(peerHooks))
    {
    }
    auto greeting() const -> std::vector<Wire::ControlFrame>;
    auto accept(const PeerStreamPtr &stream) -> void;
    auto onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void;
    auto checkSilent() -> void;
    auto buildLinks() -> void;
};

auto GatewayPeers::Private::greeting() const -> std::vector<Wire::ControlFrame>
{
    auto frames = hooks.greeting();
    frames.insert(frames.begin(), helloFrame(settings.id, settings.zone, settings.incarnation));
    return frames;
}

auto GatewayPeers::Private::buildLinks() -> void
{
    LinkHooks linkHooks;
    linkHooks.onHello = [](const std::string & /*id*/, const Wire::Hello & /*hello*/) {
    };
    linkHooks.onFrame = [this](const std::string &id, const Wire::ControlFrame &frame) {
        onFrame(id, frame);
    };
    linkHooks.onReceived = [](const std::string & /*id*/) {
    };
    linkHooks.onDown = [this](const std::string &id) {
        log.line("peers", "link-down").add("peer", id);
    };
    linkHooks.greeting = [this] {
        return greeting();
    };
    constexpr auto NeverPing = Duration::seconds(3600); // missing digests show a dead peer sooner
    links = std::make_unique<PeerLinks>(loop, "peers", PeerOptions(), NeverPing, std::move(linkHooks));
}

/// Each gateway sends its messages on the streams that it opens. So other gateways' messages arrive on incoming streams; on the streams that this gateway
/// opens, a peer sends only its hello.
auto GatewayPeers::Private::accept(const PeerStreamPtr &stream) -> void
{
    if (stream->path() != ControlPath) {
        stream->refuse();
        return;
    }
    incoming.insert(stream);
    auto sender = std::make_shared<std::string>();
    readControl(stream, "gateway", [this, sender](const Wire::ControlFrame &frame) {
        if (frame.has_hello()) {
            *sender = frame.hello().id();
        }
        onFrame(*sender, frame);
    });
    stream->onEnd = [this, raw = stream.get()](StreamEnd /*end*/) {
        std::erase_if(incoming, [&](const auto &held) { return held.get() == raw; });
    };
    stream->send(helloFrame(settings.id, settings.zone, settings.incarnation));
}

auto GatewayPeers::Private::onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void
{
    if (id.empty()) {
        return; // no hello with the sender's id has arrived yet
    }
    auto &state = states[id];
    state.receivedAt = loop.now();
    if (!state.isLive) {
        state.isLive = true;
        log.line("peers", "connected").add("peer", id);
    }
    hooks.onFrame(id, frame);
}

auto GatewayPeers::Private::checkSilent() -> void
{
    const auto now = loop.now();
    for (auto &[id, state] : states) {
        if (!state.isLive || now - state.receivedAt < settings.silentAfter) {
            continue;
        }
        state.isLive = false;
        log.line("peers", "silent").add("peer", id).add("for", now - state.receivedAt);
        hooks.onSilent(id);
        // The connection to the peer may be dead too without having been closed.
        links->reconnect(id);
    }
}

GatewayPeers::GatewayPeers(EventLoop &loop, EventLog &log, GatewayPeerSettings settings, GatewayPeerHooks hooks)
    : d(std::make_unique<Private>(loop, log, std::move(settings), std::move(hooks)))
{
    d->buildLinks();
    d->server = std::make_unique<PeerServer>(loop, d->settings.listen, [this](const PeerStreamPtr &stream) { d->accept(stream); });
    d->check = loop.every(CheckPeriod, [this] { d->checkSilent(); });
}

GatewayPeers::~GatewayPeers() = default;

auto GatewayPeers::live() const -> std::set<std::string>
{
    std::set<std::string> ids;
    for (const auto &[id, state] : d->states) {
        if (state.isLive) {
            ids.insert(id);
        }
    }
    return ids;
}

auto GatewayPeers::liveCount() const -> int
{
    return static_cast<int>(std::count_if(d->states.begin(), d->states.end(), [](const auto &state) { return state.second.isLive; }));
}

auto GatewayPeers::silent(Duration within) const -> std::set<std::string>
{
    std::set<std::string> ids;
    for (const auto &[id, state] : d->states) {
        if (!state.isLive && d->loop.now() - state.receivedAt < within) {
            ids.insert(id);
        }
    }
    return ids;
}

auto GatewayPeers::setHosts(const std::vector<ListedHost> &hosts) -> void
{
    auto others = hosts;
    std::erase_if(others, [&](const ListedHost &host) { return host.id == d->settings.id; });
    d->links->setHosts(others);
    std::erase_if(d->states, [&](const auto &state) {
        return std::none_of(others.begin(), others.end(), [&](const ListedHost &host) { return host.id == state.first; });
    });
}

auto GatewayPeers::setSilentAfter(Duration span) -> void
{
    d->settings.silentAfter = span;
}

auto GatewayPeers::sendAll(const Wire::ControlFrame &frame) -> void
{
    d->links->sendAll(frame);
}

auto GatewayPeers::send(const std::string &id, const Wire::ControlFrame &frame) -> bool
{
    return d->links->send(id, frame);
}

} // namespace KingCup
