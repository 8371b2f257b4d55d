#include "net/tcpstream.h"

#include "net/polled.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <glog/logging.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace KingCup
{

namespace
{

constexpr std::size_t ReadBytes = 32768;
constexpr int ProbeCount = 3; ///< unanswered keep-alive probes after which a connection is closed
constexpr int ListenBacklog = 1024;
constexpr int MaxAcceptsPerEvent = 64; ///< limited so that a burst of new connections doesn't delay the open ones

/// None if the address isn't an IPv4 address. It must not be taken for 0.0.0.0, which connects to this host.
auto socketAddress(const Endpoint &endpoint) -> std::optional<sockaddr_in>
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    return inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) == 1 ? std::optional(address) : std::nullopt;
}

template<typename Value>
auto setOption(int descriptor, int level, int option, Value value) -> void
{
    setsockopt(descriptor, level, option, &value, sizeof(value));
}

/// Sets timeouts and keep-alive probes. A host that loses power or its network sends no reset: without timeouts and probes, its
/// connections would look intact for ever.
auto applyOptions(int descriptor, const TcpOptions &options) -> void
{
    constexpr std::int64_t MillisPerSecond = 1000;
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(options.unackedTimeout.inMillis()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(std::max(options.probeAfter.inMillis() / MillisPerSecond, std::int64_t {1})));
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
}

auto endOfError(int error) -> TcpEnd
{
    return error == ETIMEDOUT ? TcpEnd::Silent : TcpEnd::Reset;
}

} // namespace

auto toString(TcpEnd end) -> const char *
{
    switch (end) {
    case TcpEnd::Closed:
        return "closed";
    case TcpEnd::Reset:
        return "reset";
    case TcpEnd::Silent:
        return "silent";
    case TcpEnd::NotConnected:
        return "not-connected";
    }
    return "?";
}

// [SECTION] TcpStream

struct TcpStream::Private : std::enable_shared_from_this<TcpStream::Private> {
    TcpStream *owner = nullptr; // null once the stream is destroyed
    std::shared_ptr<PolledDescriptor> polled = std::make_shared<PolledDescriptor>();
    std::string out; // not yet accepted by the kernel
    std::size_t outStart = 0; // bytes at the front of `out` that the kernel has accepted
    bool connecting = false;
    bool ended = false;
    bool sent = false;
    bool writingDone = false; // finishWriting() was called
    bool resetsOnClose = false;
    Timer connectTimer;

    auto start(EventLoop &loop, int descriptor) -> bool;
    auto onReadable() -> void;
    auto onWritable() -> void;
    auto onHangUp() -> void;
    auto finishConnect() -> bool;
    auto flush() -> void;
    auto end(TcpEnd how) -> void;
    auto socketError() const -> int;
    auto queued(unsigned long kind) const -> std::size_t; // bytes in the kernel's send queue: SIOCOUTQ, or those not sent yet: SIOCOUTQNSD
    auto pending() const -> std::size_t
    {
        return out.size() - outStart;
    }
};

auto TcpStream::Private::start(EventLoop &loop, int descriptor) -> bool
{
    polled->onReadable = [this] {
        onReadable();
    };
    polled->onWritable = [this] {
        onWritable();
    };
    polled->onHangUp = [this] {
        onHangUp();
    };
    return polled->attach(loop, descriptor);
}

auto TcpStream::Private::socketError() const -> int
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(polled->descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

auto TcpStream::Private::queued(unsigned long kind) const -> std::size_t
{
    int bytes = 0;
    const bool isKnown = polled->descriptor() >= 0 && ioctl(polled->descriptor(), kind, &bytes) == 0;
    return isKnown ? static_cast<std::size_t>(std::max(bytes, 0)) : 0;
}

auto TcpStream::Private::end(TcpEnd how) -> void
{
    if (ended) {
        return;
    }
    const auto self = shared_from_this();
    ended = true;
    connectTimer.cancel();
    polled->release();
    if (owner != nullptr && owner->onEnd) {
        const auto hook = owner->onEnd; // a copy: the hook may destroy the stream and with it the stored function
        hook(how);
    }
}

/// Completes a pending connect. True if the connection is established and the stream is still in use.
auto TcpStream::Private::finishConnect() -> bool
{
    const int error = socketError();
    if (error != 0) {
        end(TcpEnd::NotConnected);
        return false;
    }
    connecting = false;
    connectTimer.cancel();
    if (owner != nullptr && owner->onConnected) {
        const auto hook = owner->onConnected;
        hook();
    }
    return !ended && owner != nullptr;
}

auto TcpStream::Private::onReadable() -> void
{
    const auto self = shared_from_this();
    if (connecting && !finishConnect()) {
        return;
    }
    std::array<char, ReadBytes> buffer; // not cleared: written before it is read
    const ssize_t size = recv(polled->descriptor(), buffer.data(), buffer.size(), 0);
    if (size > 0) {
        if (owner->onData) {
            const auto hook = owner->onData;
            hook({buffer.data(), static_cast<std::size_t>(size)});
        }
        return;
    }
    if (size == 0) {
        end(TcpEnd::Closed);
    } else if (errno != EAGAIN && errno != EINTR) {
        end(endOfError(errno));
    }
}

auto TcpStream::Private::onWritable() -> void
{
    const auto self = shared_from_this();
    if (connecting && !finishConnect()) {
        return;
    }
    const bool hadBytes = pending() > 0;
    flush();
    if (hadBytes && !ended && pending() == 0 && owner != nullptr && owner->onDrained) {
        const auto hook = owner->onDrained;
        hook();
    }
}

auto TcpStream::Private::onHangUp() -> void
{
    // The descriptor is closed and its error can't be read any more; an established connection counts as reset.
    end(connecting ? TcpEnd::NotConnected : TcpEnd::Reset);
}

/// Writes what the kernel accepts. An error is left to the next read: what the remote side sent before the reset can still be received.
auto TcpStream::Private::flush() -> void
{
    while (pending() > 0) {
        const ssize_t size = send(polled->descriptor(), out.data() + outStart, pending(), MSG_NOSIGNAL);
        if (size < 0) {
            if (errno == EAGAIN) {
                polled->requestWritable();
            } else if (errno == EINTR) {
                continue;
            } else {
                out.clear();
                outStart = 0;
            }
            return;
        }
        sent = true;
        outStart += static_cast<std::size_t>(size);
    }
    out.clear();
    outStart = 0;
    if (writingDone) {
        shutdown(polled->descriptor(), SHUT_WR);
    }
}

TcpStream::TcpStream()
    : d(std::make_shared<Private>())
{
    d->owner = this;
}

TcpStream::~TcpStream()
{
    d->owner = nullptr;
    d->ended = true;
    d->connectTimer.cancel();
    if (d->polled->descriptor() >= 0 && !d->resetsOnClose) {
        shutdown(d->polled->descriptor(), SHUT_RDWR); // ends the connection at once: the loop closes the descriptor a little later
    }
    d->polled->release();
}

auto TcpStream::connect(EventLoop &loop, const Endpoint &server, const TcpOptions &options) -> std::unique_ptr<TcpStream>
{
    std::unique_ptr<TcpStream> stream(new TcpStream);
    auto &d = stream->d;
    d->connecting = true;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bool started = descriptor >= 0;
    if (started) {
        applyOptions(descriptor, options);
        const auto address = socketAddress(server);
        started = address && (::connect(descriptor, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) == 0 || errno == EINPROGRESS);
        if (started) {
            started = d->start(loop, descriptor);
        } else {
            close(descriptor);
        }
    }
    const auto endNotConnected = [weak = std::weak_ptr(d)] {
        if (const auto self = weak.lock(); self && self->connecting) {
            self->end(TcpEnd::NotConnected);
        }
    };
    if (!started) {
        loop.post(endNotConnected);
        return stream;
    }
    d->polled->requestWritable();
    d->connectTimer = loop.after(options.connectTimeout, endNotConnected);
    return stream;
}

auto TcpStream::adopt(EventLoop &loop, int descriptor, const TcpOptions &options) -> std::unique_ptr<TcpStream>
{
    applyOptions(descriptor, options);
    std::unique_ptr<TcpStream> stream(new TcpStream);
    return stream->d->start(loop, descriptor) ? std::move(stream) : nullptr;
}

auto TcpStream::isConnected() const -> bool
{
    return !d->connecting && !d->ended;
}

auto TcpStream::hasSent() const -> bool
{
    return d->sent;
}

auto TcpStream::pendingBytes() const -> std::size_t
{
    return d->pending();
}

auto TcpStream::undeliveredBytes() const -> std::size_t
{
    return d->pending() + d->queued(SIOCOUTQ);
}

auto TcpStream::unackedBytes() const -> std::size_t
{
    const auto unsent = d->queued(SIOCOUTQNSD); // first: what is sent between the two calls then counts as unacknowledged
    const auto queued = d->queued(SIOCOUTQ);
    return queued - std::min(unsent, queued);
}

auto TcpStream::hasPeerClosed() const -> bool
{
    pollfd state {d->polled->descriptor(), POLLRDHUP, 0};
    return state.fd < 0 || (::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

auto TcpStream::peer() const -> std::string
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    if (getpeername(d->polled->descriptor(), reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return "";
    }
    std::array<char, INET_ADDRSTRLEN> text {};
    return inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
}

auto TcpStream::write(std::string_view bytes) -> void
{
    if (d->ended || bytes.empty()) {
        return;
    }
    const bool isFirst = d->pending() == 0;
    d->out.append(bytes);
    if (isFirst && !d->connecting) {
        d->flush();
    }
}

auto TcpStream::pauseReading() -> void
{
    d->polled->setReading(false);
}

auto TcpStream::resumeReading() -> void
{
    d->polled->setReading(true);
}

auto TcpStream::finishWriting() -> void
{
    if (d->ended || d->writingDone) {
        return;
    }
    d->writingDone = true;
    if (d->pending() == 0 && !d->connecting) {
        shutdown(d->polled->descriptor(), SHUT_WR);
    }
}

auto TcpStream::setResetOnClose(bool on) -> void
{
    d->resetsOnClose = on;
    setOption(d->polled->descriptor(), SOL_SOCKET, SO_LINGER, linger {on ? 1 : 0, 0});
}

// [SECTION] TcpListener

struct TcpListener::Private : std::enable_shared_from_this<TcpListener::Private> {
    EventLoop &loop;
    TcpOptions options;
    Handler handler;
    std::shared_ptr<PolledDescriptor> polled = std::make_shared<PolledDescriptor>();
    int port = 0;
    bool open = true;

    Private(EventLoop &ownerLoop, const TcpOptions &tcpOptions, Handler onAccepted)
        : loop(ownerLoop)
        , options(tcpOptions)
        , handler(std::move(onAccepted))
    {
    }
    auto accept() -> void;
};

auto TcpListener::Private::accept() -> void
{
    const auto self = shared_from_this();
    for (int i = 0; i < MaxAcceptsPerEvent && open; ++i) {
        const int descriptor = accept4(polled->descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
                LOG(WARNING) << "net: accept failed: " << std::strerror(errno);
            }
            return;
        }
        auto stream = TcpStream::adopt(loop, descriptor, options);
        if (stream) {
            handler(std::move(stream));
        }
    }
}

TcpListener::TcpListener(EventLoop &loop, const Endpoint &listen, const TcpOptions &options, Handler onAccepted)
    : d(std::make_shared<Private>(loop, options, std::move(onAccepted)))
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto address = socketAddress(listen);
    if (!address || bind(descriptor, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) != 0 || ::listen(descriptor, ListenBacklog) != 0) {
        const std::string why = address ? std::strerror(errno) : "not an IPv4 address";
        close(descriptor);
        throw std::runtime_error("can't listen on " + toString(listen) + ": " + why);
    }
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &size);
    d->port = ntohs(bound.sin_port);
    d->polled->onReadable = [raw = d.get()] {
        raw->accept();
    };
    d->polled->onWritable = [] {
    };
    d->polled->onHangUp = [] {
    };
    if (!d->polled->attach(loop, descriptor)) {
        throw std::runtime_error("can't listen on " + toString(listen) + ": too many open descriptors");
    }
}

TcpListener::~TcpListener()
{
    d->open = false;
    d->polled->release();
}

auto TcpListener::port() const -> int
{
    return d->port;
}

} // namespace KingCup
