// Index of sections (search for [SECTION]):
//   Pipe    one direction of one connection
//   Link    sockets
//   Proxy   links by name
#include "proxy.h"

#include <algorithm>
#include <array>
#include <deque>
#include <libwebsockets.h>
#include <optional>
#include <stdexcept>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxQueuedBytes = 256U << 10U; // per direction; beyond it, reading from the sender pauses
constexpr std::size_t MaxWriteBytes = 16384;
constexpr auto DripPeriod = Duration::millis(20);

enum Side : std::size_t { ClientSide = 0, TargetSide = 1 };

auto other(Side side) -> Side
{
    return side == ClientSide ? TargetSide : ClientSide;
}

} // namespace

// [SECTION] Pipe

namespace
{

struct Piece {
    std::string data;
    Duration due;
};

/// Data read from one side, to be written to the other.
struct Pipe {
    std::deque<Piece> queue;
    std::size_t queued = 0;
    double allowance = 0; // bytes that the bandwidth limit still allows; refilled periodically
    bool hasLostBytes = false; // bytes were dropped: a byte stream has no gaps, so nothing after them may be forwarded

    /// The next bytes that may be written now.
    auto take(Duration now, double bytesPerSecond) -> std::string
    {
        std::string out;
        while (!queue.empty() && queue.front().due <= now && out.size() < MaxWriteBytes) {
            auto &data = queue.front().data;
            auto size = std::min(data.size(), MaxWriteBytes - out.size());
            if (bytesPerSecond > 0) {
                size = std::min(size, static_cast<std::size_t>(allowance));
                if (size == 0) {
                    break;
                }
                allowance -= static_cast<double>(size);
            }
            out.append(data, 0, size);
            data.erase(0, size);
            if (data.empty()) {
                queue.pop_front();
            }
        }
        queued -= out.size();
        return out;
    }
};

/// One proxied connection.
struct ConnectionPair {
    std::array<lws *, 2> sockets {};
    std::array<Pipe, 2> pipes; // by the side that the data comes from
    bool targetConnected = false;
    bool ending = false; // one side has closed: the other is closed once all queued data is written
};

} // namespace

// [SECTION] Link

struct Link::Private {
    SimClock &clock;
    std::string name;
    Endpoint target;
    LinkFault fault;
    lws_vhost *vhost = nullptr;
    std::array<lws_protocols, 2> protocols {};
    std::map<ConnectionPair *, std::unique_ptr<ConnectionPair>> pairs;
    std::uint64_t droppedAnswers = 0;
    Timer dripTimer;
    bool destroyed = false; // the Link is destroyed, but libwebsockets still uses the virtual host

    Private(SimClock &simClock, std::string linkName, Endpoint linkTarget)
        : clock(simClock)
        , name(std::move(linkName))
        , target(std::move(linkTarget))
    {
    }

    static auto callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length) -> int;
    static auto onVhostDestroyed(lws_vhost *vhost, void *self) -> void;
    auto onAccepted(lws *wsi) -> int;
    auto onReceived(ConnectionPair &pair, Side side, std::string_view data) -> int;
    auto onWritable(ConnectionPair &pair, Side side) -> int;
    auto onClosed(ConnectionPair &pair, Side side) -> void;
    auto dropsFrom(Side from) -> bool;
    auto abort(ConnectionPair &pair) -> void;
    auto wakeUp(const ConnectionPair &pair) const -> void;
    auto wakeUpAll() const -> void;
    auto refillAllowances() -> void;
    auto setReading(const ConnectionPair &pair) const -> void;
};

auto Link::Private::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in, size_t length) -> int
{
    lws_vhost *owner = wsi == nullptr ? nullptr : lws_get_vhost(wsi);
    auto *self = owner == nullptr ? nullptr : static_cast<Private *>(lws_vhost_user(owner));
    if (self == nullptr) {
        return 0;
    }
    if (self->destroyed) {
        return -1;
    }
    if (reason == LWS_CALLBACK_RAW_ADOPT) {
        return self->onAccepted(wsi);
    }
    const auto found = self->pairs.find(static_cast<ConnectionPair *>(lws_get_opaque_user_data(wsi)));
    if (found == self->pairs.end()) {
        return reason == LWS_CALLBACK_RAW_RX || reason == LWS_CALLBACK_RAW_WRITEABLE ? -1 : 0;
    }
    auto &pair = *found->second;
    const Side side = wsi == pair.sockets[ClientSide] ? ClientSide : TargetSide;
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        pair.targetConnected = true;
        self->setReading(pair);
        self->wakeUp(pair);
        return 0;
    case LWS_CALLBACK_RAW_RX:
        return self->onReceived(pair, side, {static_cast<const char *>(in), length});
    case LWS_CALLBACK_RAW_WRITEABLE:
        return self->onWritable(pair, side);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
        self->onClosed(pair, side);
        return 0;
    default:
        return 0;
    }
}

auto Link::Private::onAccepted(lws *wsi) -> int
{
    if (fault.cut) {
        return -1;
    }
    auto owned = std::make_unique<ConnectionPair>();
    auto *pair = owned.get();
    pair->sockets[ClientSide] = wsi;
    pairs[pair] = std::move(owned);
    lws_set_opaque_user_data(wsi, pair);
    lws_client_connect_info info {};
    info.context = clock.loop().context();
    info.vhost = vhost;
    info.address = target.address.c_str();
    info.host = info.address;
    info.origin = info.address;
    info.port = target.port;
    info.method = "RAW";
    info.local_protocol_name = protocols[0].name;
    info.opaque_user_data = pair;
    info.pwsi = &pair->sockets[TargetSide];
    if (lws_client_connect_via_info(&info) == nullptr) {
        pairs.erase(pair);
        return -1;
    }
    setReading(*pair);
    return 0;
}

/// Whether data from this side is dropped.
auto Link::Private::dropsFrom(Side from) -> bool
{
    return from == ClientSide ? fault.loseUp : fault.loseDown;
}

auto Link::Private::onReceived(ConnectionPair &pair, Side side, std::string_view data) -> int
{
    if (side == TargetSide && fault.dropAnswers > 0 && !data.empty()) {
        --fault.dropAnswers;
        ++droppedAnswers;
        abort(pair);
        return -1;
    }
    if (data.empty()) {
        return 0;
    }
    auto &pipe = pair.pipes[side];
    if (dropsFrom(side)) {
        pipe.hasLostBytes = true;
        return 0;
    }
    if (pipe.hasLostBytes) {
        abort(pair);
        return -1;
    }
    const bool isCut = side == TargetSide && fault.answerBytes >= 0;
    data = isCut ? data.substr(0, static_cast<std::size_t>(fault.answerBytes)) : data;
    pipe.queue.push_back(Piece {std::string(data), clock.now() + fault.delay});
    pipe.queued += data.size();
    if (isCut) {
        return -1; // closes the target's side; the client's is closed once it has this piece
    }
    setReading(pair);
    if (fault.delay > Duration()) {
        clock.after(fault.delay, [this] { wakeUpAll(); });
    } else {
        wakeUp(pair);
    }
    return 0;
}

/// Reads from a side only while its queue isn't full and the link isn't frozen.
auto Link::Private::setReading(const ConnectionPair &pair) const -> void
{
    for (const Side side : {ClientSide, TargetSide}) {
        const bool isReady = side == ClientSide || pair.targetConnected;
        if (pair.sockets[side] != nullptr && isReady) {
            const bool reads = !fault.frozen && pair.pipes[side].queued < MaxQueuedBytes;
            lws_rx_flow_control(pair.sockets[side], reads ? 1 : 0);
        }
    }
}

auto Link::Private::wakeUp(const ConnectionPair &pair) const -> void
{
    if (pair.sockets[ClientSide] != nullptr) {
        lws_callback_on_writable(pair.sockets[ClientSide]);
    }
    if (pair.sockets[TargetSide] != nullptr && pair.targetConnected) {
        lws_callback_on_writable(pair.sockets[TargetSide]);
    }
}

auto Link::Private::wakeUpAll() const -> void
{
    for (const auto &[key, pair] : pairs) {
        setReading(*pair);
        wakeUp(*pair);
    }
}

auto Link::Private::onWritable(ConnectionPair &pair, Side side) -> int
{
    if (fault.frozen) {
        return 0;
    }
    auto &pipe = pair.pipes[other(side)];
    const auto data = pipe.take(clock.now(), fault.bytesPerSecond);
    if (!data.empty()) {
        std::string buffer(LWS_PRE, '\0');
        buffer += data;
        if (lws_write(pair.sockets[side], reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE, data.size(), LWS_WRITE_RAW) < 0) {
            return -1;
        }
        setReading(pair);
        lws_callback_on_writable(pair.sockets[side]);
        return 0;
    }
    return pair.ending && pipe.queue.empty() ? -1 : 0;
}

auto Link::Private::onClosed(ConnectionPair &pair, Side side) -> void
{
    pair.sockets[side] = nullptr;
    // A direction that drops data also drops the end of the connection.
    pair.ending = !dropsFrom(side);
    if (side == TargetSide && !pair.targetConnected && pair.sockets[ClientSide] != nullptr) {
        lws_set_timeout(pair.sockets[ClientSide], PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    if (pair.sockets[other(side)] == nullptr) {
        pairs.erase(&pair);
        return;
    }
    wakeUp(pair);
}

auto Link::Private::abort(ConnectionPair &pair) -> void
{
    for (lws *socket : pair.sockets) {
        if (socket != nullptr) {
            lws_set_timeout(socket, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        }
    }
}

auto Link::Private::refillAllowances() -> void
{
    if (fault.bytesPerSecond <= 0) {
        return;
    }
    const double share = fault.bytesPerSecond * DripPeriod.inSeconds();
    for (auto &[key, pair] : pairs) {
        for (auto &pipe : pair->pipes) {
            pipe.allowance = std::min(pipe.allowance + share, std::max(1.0, 2 * share));
        }
    }
    wakeUpAll();
    dripTimer = clock.timer(DripPeriod, [this] { refillAllowances(); });
}

/// Called when libwebsockets has destroyed the virtual host.
auto Link::Private::onVhostDestroyed(lws_vhost * /*vhost*/, void *self) -> void
{
    delete static_cast<Private *>(self);
}

Link::Link(SimClock &clock, std::string name, int listenPort, Endpoint target)
    : d(std::make_unique<Private>(clock, std::move(name), std::move(target)))
{
    d->protocols[0] = lws_protocols {"proxy", &Private::callback, 0, MaxWriteBytes, 0, nullptr, 0};
    lws_context_creation_info info {};
    info.port = listenPort;
    info.iface = "127.0.0.1";
    info.protocols = d->protocols.data();
    info.user = d.get();
    info.finalize = &Private::onVhostDestroyed;
    info.finalize_arg = d.get();
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = "proxy";
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.vhost_name = "proxy-link"; // libwebsockets keeps the pointer
    d->vhost = lws_create_vhost(clock.loop().context(), &info);
    if (d->vhost == nullptr) {
        throw std::runtime_error("cannot listen for link " + d->name);
    }
}

Link::~Link()
{
    d->destroyed = true;
    d->dripTimer.cancel();
    for (auto &[key, pair] : d->pairs) {
        d->abort(*pair);
    }
    lws_vhost *vhost = d.release()->vhost;
    lws_vhost_destroy(vhost);
}

auto Link::port() const -> int
{
    return lws_get_vhost_listen_port(d->vhost);
}

auto Link::connections() const -> std::size_t
{
    return d->pairs.size();
}

auto Link::answersDropped() const -> std::uint64_t
{
    return d->droppedAnswers;
}

auto Link::fault() const -> const LinkFault &
{
    return d->fault;
}

auto Link::setFault(const LinkFault &fault) -> void
{
    d->fault = fault;
    for (auto &[key, pair] : d->pairs) {
        const bool hasGap
            = (pair->pipes[ClientSide].hasLostBytes && !d->dropsFrom(ClientSide)) || (pair->pipes[TargetSide].hasLostBytes && !d->dropsFrom(TargetSide));
        if (fault.cut || hasGap) {
            d->abort(*pair);
        }
    }
    for (auto &known : d->pairs) {
        auto &pair = *known.second;
        const auto isGone = [&](Side side) {
            return pair.sockets[side] == nullptr && !d->dropsFrom(side);
        };
        pair.ending = pair.ending || isGone(ClientSide) || (isGone(TargetSide) && pair.targetConnected);
    }
    d->refillAllowances();
    d->wakeUpAll();
}

// [SECTION] Proxy

namespace
{

/// Adds the command's mode to `fault`; "heal" clears all modes. Nothing if the mode is unknown.
auto changedFault(LinkFault fault, const Json &command) -> std::optional<LinkFault>
{
    const auto mode = command.value("mode", std::string());
    if (mode == "heal") {
        return LinkFault();
    }
    if (mode == "cut") {
        fault.cut = true;
    } else if (mode == "freeze") {
        fault.frozen = true;
    } else if (mode == "delay") {
        fault.delay = Duration::millis(command.value("ms", 0));
    } else if (mode == "lose-up") {
        fault.loseUp = true;
    } else if (mode == "lose-down") {
        fault.loseDown = true;
    } else if (mode == "drip") {
        fault.bytesPerSecond = command.value("bytesPerSecond", 100.0);
    } else if (mode == "drop-answer") {
        fault.dropAnswers = command.value("count", 1);
    } else if (mode == "cut-answer") {
        fault.answerBytes = command.value("bytes", 0);
    } else {
        return std::nullopt;
    }
    return fault;
}

} // namespace

Proxy::Proxy(SimClock &clock)
    : m_clock(clock)
{
}

auto Proxy::add(const std::string &name, int listenPort, const Endpoint &target) -> int
{
    m_links.erase(name);
    m_links[name] = std::make_unique<Link>(m_clock, name, listenPort, target);
    return m_links[name]->port();
}

auto Proxy::command(const Json &command) -> bool
{
    const auto name = command.value("name", std::string());
    bool known = false;
    for (auto &[linkName, link] : m_links) {
        if (!name.empty() && name != linkName) {
            continue;
        }
        const auto fault = changedFault(link->fault(), command);
        if (!fault) {
            return false;
        }
        link->setFault(*fault);
        known = true;
    }
    return known;
}

auto Proxy::ports() const -> Json
{
    auto list = Json::array();
    for (const auto &[name, link] : m_links) {
        list.push_back({{"name", name}, {"port", link->port()}, {"connections", link->connections()}, {"answersDropped", link->answersDropped()}});
    }
    return list;
}

} // namespace KingCup
