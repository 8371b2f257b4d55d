#include "net/tcpstream.h"

#include "net/polled.h"
#include "net/tlschannel.h"

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
constexpr auto GatePeriod = Duration::millis(20); ///< from a refusal by the gate to its next question
constexpr auto ExhaustedPause
    = Duration::millis(200); ///< after a failed accept: the connection stays in the kernel's queue, and would be reported again at once
constexpr double LogPeriodSeconds = 10; ///< of lines that each new connection could cause
constexpr auto DeliveryCheckPeriod = Duration::millis(5);
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
    SendQueue out; // not yet accepted by the kernel
    std::unique_ptr<TlsChannel> tls; // null: the connection isn't encrypted
    bool connecting = false;
    bool handshaking = false; // of a connection made by connect() with TLS; nothing of the caller's was sent
    bool ended = false;
    bool sent = false;
    bool writingDone = false; // finishWriting() was called
    bool resetsOnClose = false;
    bool awaitsDelivery = false; // see setAwaitsDelivery()
    std::optional<int> sendError; // of the first send that failed; the kernel reports an error of the connection once, to the first call that asks
    std::string early; // written before the handshake is done
    Timer connectTimer;
    Timer deliveryTimer; // active from the end of the input until all is delivered
    EventLoop *loop = nullptr;

    auto start(EventLoop &ownerLoop, int descriptor) -> bool;
    auto onReadable() -> void;
    auto onWritable() -> void;
    auto onHangUp() -> void;
    auto finishConnect() -> bool;
    auto finishHandshake() -> bool;
    auto connected() -> bool;
    auto endOfInput() const -> TcpEnd;
    auto inputEnded() -> void;
    auto checkDelivery() -> void;
    auto flush() -> void;
    auto send(std::string_view bytes) -> std::size_t;
    auto writePlain(std::string_view bytes) -> void;
    auto queueEncrypted() -> void;
    auto received(std::string_view bytes) -> void;
    auto shutDownWriting() -> void;
    auto end(TcpEnd how) -> void;
    auto socketError() const -> int;
    auto queued(unsigned long kind) const -> std::size_t; // bytes in the kernel's queues: SIOCINQ those not read yet, SIOCOUTQ those to be acknowledged,
                                                          // SIOCOUTQNSD those not sent yet
    auto pending() const -> std::size_t
    {
        return out.size();
    }
};

auto TcpStream::Private::start(EventLoop &ownerLoop, int descriptor) -> bool
{
    loop = &ownerLoop;
    polled->onReadable = [this] {
        onReadable();
    };
    polled->onWritable = [this] {
        onWritable();
    };
    polled->onHangUp = [this] {
        onHangUp();
    };
    return polled->attach(ownerLoop, descriptor);
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
    if (handshaking) {
        how = TcpEnd::NotConnected;
    }
    connectTimer.cancel();
    deliveryTimer.cancel();
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
    if (handshaking) {
        tls->start();
        queueEncrypted();
        return true;
    }
    return connected();
}

/// Completes the TLS handshake of an outgoing connection. True if the stream is still in use.
auto TcpStream::Private::finishHandshake() -> bool
{
    handshaking = false;
    sent = false; // the remote side can't act on the bytes of the handshake
    if (!connected()) {
        return false;
    }
    tls->send(std::exchange(early, std::string()));
    return true;
}

/// Returns true if the stream is still in use.
auto TcpStream::Private::connected() -> bool
{
    connectTimer.cancel();
    if (owner != nullptr && owner->onConnected) {
        const auto hook = owner->onConnected;
        hook();
    }
    return !ended && owner != nullptr;
}

/// What the end of the input means. The remote side has closed in order only if no send has failed before; on an encrypted connection it has to say so, as
/// anybody on the path can close the connection below.
auto TcpStream::Private::endOfInput() const -> TcpEnd
{
    if (sendError) {
        return endOfError(*sendError);
    }
    return !tls || tls->hasRemoteFinished() ? TcpEnd::Closed : TcpEnd::Reset;
}

auto TcpStream::Private::inputEnded() -> void
{
    const auto how = endOfInput();
    if (how != TcpEnd::Closed || !awaitsDelivery) {
        end(how);
        return;
    }
    polled->setReading(false); // the end of the input stays readable
    checkDelivery();
}

/// Ends a connection whose input has ended once the remote side has acknowledged all that was written, or once that has failed. A read doesn't report a reset
/// that follows the end of the input.
auto TcpStream::Private::checkDelivery() -> void
{
    const auto self = shared_from_this();
    const bool isDelivered = pending() + queued(SIOCOUTQ) == 0; // before the error: after a reset nothing may be left to be delivered
    if (const int error = sendError.value_or(socketError()); error != 0) {
        end(endOfError(error));
    } else if (isDelivered) {
        end(TcpEnd::Closed);
    } else {
        deliveryTimer = loop->after(DeliveryCheckPeriod, [this] { checkDelivery(); });
    }
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
        received({buffer.data(), static_cast<std::size_t>(size)});
        return;
    }
    if (size == 0) {
        inputEnded();
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

auto TcpStream::Private::received(std::string_view bytes) -> void
{
    const auto pass = [this](std::string_view plain) {
        if (!ended && owner != nullptr && owner->onData) {
            const auto hook = owner->onData; // a copy: the hook may destroy the stream
            hook(plain);
        }
        return !ended && owner != nullptr;
    };
    if (!tls) {
        pass(bytes);
        return;
    }
    const bool isIntact = tls->receive(bytes, pass);
    if (ended || owner == nullptr || (handshaking && tls->isEstablished() && !finishHandshake())) {
        return;
    }
    queueEncrypted();
    flush();
    if (tls->hasRemoteFinished()) {
        inputEnded();
    } else if (!isIntact) {
        VLOG(1) << "net: " << tls->fault();
        end(TcpEnd::Reset);
    }
}

/// Sends what the kernel accepts. After an error the connection ends at the next read that returns no bytes: what the remote side sent before the reset can
/// still be received. The read itself may return an end in order then.
auto TcpStream::Private::send(std::string_view bytes) -> std::size_t
{
    std::size_t total = 0;
    while (total < bytes.size()) {
        const ssize_t size = ::send(polled->descriptor(), bytes.data() + total, bytes.size() - total, MSG_NOSIGNAL);
        if (size >= 0) {
            sent = true;
            total += static_cast<std::size_t>(size);
        } else if (errno == EAGAIN) {
            polled->requestWritable();
            return total;
        } else if (errno != EINTR) {
            sendError = sendError.value_or(errno);
            out.clear();
            return bytes.size();
        }
    }
    return total;
}

auto TcpStream::Private::flush() -> void
{
    while (!out.isEmpty()) {
        const auto bytes = out.front();
        const auto size = bytes.size();
        const auto accepted = send(bytes);
        out.removeFront(accepted);
        if (accepted < size) {
            return;
        }
    }
    if (writingDone) {
        shutDownWriting();
    }
}

/// Bytes that the kernel accepts at once aren't queued.
auto TcpStream::Private::writePlain(std::string_view bytes) -> void
{
    if (out.isEmpty() && !connecting) {
        bytes.remove_prefix(send(bytes));
    }
    out.append(bytes);
}

auto TcpStream::Private::queueEncrypted() -> void
{
    std::array<unsigned char, ReadBytes> buffer; // not cleared: written before it is read
    for (auto size = tls->take(buffer.data(), buffer.size()); size > 0; size = tls->take(buffer.data(), buffer.size())) {
        writePlain({reinterpret_cast<const char *>(buffer.data()), size});
    }
}

auto TcpStream::Private::shutDownWriting() -> void
{
    if (tls) {
        tls->finish();
        queueEncrypted();
    }
    if (out.isEmpty()) {
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
    d->deliveryTimer.cancel();
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
    if (options.tls != nullptr) {
        d->tls = std::make_unique<TlsChannel>(options.tls, TlsChannel::Side::Client);
        d->handshaking = true;
    }
    const bool isFull = options.maxDescriptors > 0 && loop.polledDescriptors() >= options.maxDescriptors;
    const int descriptor = isFull ? -1 : socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
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
        if (const auto self = weak.lock(); self && (self->connecting || self->handshaking)) {
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
    if (options.tls != nullptr) {
        stream->d->tls = std::make_unique<TlsChannel>(options.tls, TlsChannel::Side::Server);
    }
    return stream->d->start(loop, descriptor) ? std::move(stream) : nullptr;
}

auto TcpStream::isConnected() const -> bool
{
    return !d->connecting && !d->handshaking && !d->ended;
}

auto TcpStream::hasSent() const -> bool
{
    return d->sent && !d->handshaking;
}

auto TcpStream::pendingBytes() const -> std::size_t
{
    return d->early.size() + d->pending();
}

auto TcpStream::undeliveredBytes() const -> std::size_t
{
    return d->pending() + d->queued(SIOCOUTQ);
}

auto TcpStream::unreadBytes() const -> std::size_t
{
    return d->queued(SIOCINQ);
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
    if (d->handshaking) {
        d->early += bytes;
    } else if (d->tls) {
        d->tls->send(bytes);
        d->queueEncrypted();
    } else {
        d->writePlain(bytes);
    }
}

auto TcpStream::writeShared(const SharedBytes &bytes) -> void
{
    if (d->ended || d->tls) {
        write(bytes.view());
        return;
    }
    d->out.appendShared(bytes);
    if (d->out.size() == bytes.size() && !d->connecting) {
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
        d->shutDownWriting();
    }
}

auto TcpStream::setAwaitsDelivery(bool on) -> void
{
    d->awaitsDelivery = on;
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
    Gate mayAccept;
    Timer pause;
    int port = 0;
    bool open = true;

    Private(EventLoop &ownerLoop, const TcpOptions &tcpOptions, Handler onAccepted)
        : loop(ownerLoop)
        , options(tcpOptions)
        , handler(std::move(onAccepted))
    {
    }
    auto accept() -> void;
    auto pauseFor(Duration span) -> void;
};

auto TcpListener::Private::accept() -> void
{
    const auto self = shared_from_this();
    for (int i = 0; i < MaxAcceptsPerEvent && open; ++i) {
        if (mayAccept && !mayAccept()) {
            pauseFor(GatePeriod);
            return;
        }
        const int descriptor = accept4(polled->descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
                LOG_EVERY_T(WARNING, LogPeriodSeconds) << "net: accept failed: " << std::strerror(errno);
                pauseFor(ExhaustedPause);
            }
            return;
        }
        auto stream = TcpStream::adopt(loop, descriptor, options);
        if (stream) {
            handler(std::move(stream));
        }
    }
}

auto TcpListener::Private::pauseFor(Duration span) -> void
{
    polled->setReading(false);
    pause = loop.after(span, [this] { polled->setReading(true); });
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
    d->pause.cancel();
    d->polled->release();
}

auto TcpListener::port() const -> int
{
    return d->port;
}

auto TcpListener::setGate(Gate mayAccept) -> void
{
    d->mayAccept = std::move(mayAccept);
}

} // namespace KingCup
