// Index of sections (search for [SECTION]):
//   Connection   reads requests and writes answers
//   Exchange     the handler's view of one request
//   Server       accepts connections, checks timeouts
#include "gateway/callerserver.h"

#include "net/httpstatus.h"

#include <algorithm>
#include <glog/logging.h>
#include <iterator>
#include <unordered_set>
#include <vector>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxReadAheadBytes = 65536; ///< bytes of further requests that are read while one is being answered
/// Further requests of a connection wait while more bytes of its answers are unsent. Without this, answers would pile up for a caller that sends requests and
/// doesn't read.
constexpr std::size_t MaxUnsentBytes = 65536;
/// Answers that callers haven't read yet, of all connections together: a quarter of the memory of 256 MB that a gateway's control work may use.
constexpr std::size_t DefaultMaxUnsent = 64U << 20U;
constexpr auto TimeoutCheckPeriod = Duration::millis(250); ///< between checks for slow and idle callers
constexpr auto LingerTime = Duration::seconds(1); ///< from when the kernel has a caller's last answer until the connection is closed
/// A caller that has read nothing for this long, while bytes of its answer are unsent, is disconnected. Callers may pause for some seconds while they read.
constexpr auto StalledReaderTime = Duration::seconds(8);

/// The kernel applies the time-out for unacknowledged bytes also to a caller whose receive buffer is full. With the default of 2 s, a caller that pauses while
/// it reads would lose its connection.
auto callerTcpOptions() -> TcpOptions
{
    TcpOptions options;
    options.unackedTimeout = StalledReaderTime;
    return options;
}

} // namespace

struct CallerServer::Private {
    EventLoop &loop;
    Handler handler;
    CallerLimits limits;
    CallerServerCounts counts;
    std::unique_ptr<TcpListener> listener;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections;
    std::size_t openExchanges = 0;
    std::size_t maxUnsent = DefaultMaxUnsent;
    bool leaving = false;
    Timer timeoutTimer;

    Private(EventLoop &ownerLoop, Handler requestHandler)
        : loop(ownerLoop)
        , handler(std::move(requestHandler))
    {
    }
    auto checkTimeouts() -> void;
    auto unsentBytes() const -> std::size_t;
    auto dropSlowReaders() -> void;
};

// [SECTION] Connection

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::shared_ptr<CallerServer::Private> server, std::unique_ptr<TcpStream> stream);

    auto start() -> void;
    auto isIdle() const -> bool
    {
        return !m_exchange && !m_reader.hasBegun() && !m_lingering && pendingBytes() == 0;
    }
    auto isLastAnswer() const -> bool
    {
        return m_closeAfterAnswer || m_server->leaving;
    }
    auto pendingBytes() const -> std::size_t
    {
        return m_stream ? m_stream->pendingBytes() : 0;
    }
    auto isUndelivered() const -> bool
    {
        return m_stream && !m_exchange && m_stream->undeliveredBytes() > 0;
    }
    auto lastReadAt() const -> TimePoint ///< when the caller was last seen to read, while bytes of its answer are unsent
    {
        return m_readAt;
    }
    auto unreadBytes() const -> std::size_t ///< at the last check
    {
        return m_unreadBytes;
    }
    auto hasCallerLeft() const -> bool
    {
        return !m_stream || m_stream->hasPeerClosed();
    }
    auto mayReadRequest() const -> bool
    {
        return !m_exchange && pendingBytes() <= MaxUnsentBytes;
    }
    auto write(std::string_view bytes) -> void
    {
        if (m_stream) {
            m_stream->write(bytes);
        }
    }
    /// The current answer ends with the connection.
    auto beginAnswerUntilClose() -> void
    {
        m_closeAfterAnswer = true;
        if (m_stream) {
            m_stream->setResetOnClose(true);
        }
    }
    /// The kernel has all bytes of the answer, so the connection may be closed in order.
    auto allowOrderlyClose() -> void
    {
        if (m_stream && m_stream->pendingBytes() == 0) {
            m_stream->setResetOnClose(false);
        }
    }
    auto answerFinished() -> void; ///< the exchange has written its whole answer
    auto close() -> void;
    auto checkTimeouts(TimePoint now) -> void;

private:
    auto onData(std::string_view bytes) -> void;
    auto onEnd() -> void;
    auto read() -> void;
    auto onHead() -> void;
    auto onBody(std::string_view bytes) -> void;
    auto dispatch() -> void;
    auto refuse(int status) -> void;
    auto prepareReader() -> void;
    auto linger() -> void;
    auto dropExchange() -> CallerExchangePtr;
    auto trackReading(TimePoint now) -> bool;

    std::shared_ptr<CallerServer::Private> m_server;
    std::unique_ptr<TcpStream> m_stream; ///< null once closed
    HttpReader m_reader;
    std::string m_unparsed; ///< received bytes that the parser hasn't consumed
    std::string m_body;
    CallerExchangePtr m_exchange; ///< the request being answered; null if none is
    bool m_closeAfterAnswer = false; ///< the connection closes after the current answer
    bool m_bodyTooLarge = false;
    bool m_lingering = false;
    bool m_isReading = false; ///< read() is running
    TimePoint m_requestStartedAt; ///< first byte of the request being read
    TimePoint m_lastActivityAt; ///< last byte read, or end of the last answer
    std::size_t m_unreadBytes = 0; ///< of answers, not yet acknowledged by the caller; updated only while the kernel doesn't accept all
    TimePoint m_readAt; ///< when m_unreadBytes last decreased
};

CallerConnection::CallerConnection(std::shared_ptr<CallerServer::Private> server, std::unique_ptr<TcpStream> stream)
    : m_server(std::move(server))
    , m_stream(std::move(stream))
    , m_reader(HttpReader::Kind::Request, m_server->limits.headBytes)
    , m_lastActivityAt(m_server->loop.now())
{
}

auto CallerConnection::start() -> void
{
    m_stream->onData = [this](std::string_view bytes) {
        onData(bytes);
    };
    m_stream->onEnd = [this](TcpEnd /*how*/) {
        onEnd();
    };
    m_stream->onDrained = [this] {
        const auto self = shared_from_this(); // a hook may close the connection
        if (m_lingering) {
            allowOrderlyClose();
        }
        if (const auto exchange = m_exchange; exchange && exchange->onDrained) {
            exchange->onDrained();
        }
        if (m_stream && mayReadRequest() && !m_lingering) {
            m_stream->resumeReading();
            read();
        }
    };
    prepareReader();
}

auto CallerConnection::prepareReader() -> void
{
    m_reader.reset();
    m_body.clear();
    m_bodyTooLarge = false;
    m_reader.onHead = [this] {
        onHead();
    };
    m_reader.onBody = [this](std::string_view bytes) {
        onBody(bytes);
    };
}

auto CallerConnection::onData(std::string_view bytes) -> void
{
    const auto self = shared_from_this();
    if (m_lingering) {
        return;
    }
    m_lastActivityAt = m_server->loop.now();
    m_unparsed.append(bytes);
    if (!mayReadRequest()) {
        if (m_unparsed.size() > MaxReadAheadBytes) {
            m_stream->pauseReading();
        }
        return;
    }
    read();
}

auto CallerConnection::read() -> void
{
    m_isReading = true;
    while (m_stream && mayReadRequest() && !m_lingering && !m_unparsed.empty()) {
        if (!m_reader.hasBegun()) {
            m_requestStartedAt = m_server->loop.now();
        }
        const auto used = m_reader.feed(m_unparsed);
        m_unparsed.erase(0, used);
        if (m_bodyTooLarge) {
            refuse(HttpStatus::ContentTooLarge);
        } else if (m_reader.fault() == HttpFault::TooLarge) {
            refuse(HttpStatus::HeadTooLarge);
        } else if (m_reader.fault() == HttpFault::Malformed) {
            refuse(HttpStatus::BadRequest);
        } else if (m_reader.isComplete()) {
            dispatch();
        }
    }
    m_isReading = false;
}

auto CallerConnection::onHead() -> void
{
    const auto &head = m_reader.head();
    m_bodyTooLarge = head.length.value_or(0) > m_server->limits.bodyBytes;
    const auto expectation = findHeader(head.headers, "expect");
    if (expectation && !m_bodyTooLarge) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

auto CallerConnection::onBody(std::string_view bytes) -> void
{
    m_bodyTooLarge = m_bodyTooLarge || m_body.size() + bytes.size() > m_server->limits.bodyBytes;
    if (!m_bodyTooLarge) {
        m_body.append(bytes);
    }
}

auto CallerConnection::dispatch() -> void
{
    if (hasCallerLeft()) {
        ++m_server->counts.departed;
        close();
        return;
    }
    m_closeAfterAnswer = !m_reader.head().keepsConnection;
    m_exchange = std::make_shared<CallerExchange>(weak_from_this(), m_reader.head(), std::move(m_body), m_requestStartedAt);
    ++m_server->openExchanges;
    m_server->handler(m_exchange);
}

/// Answers a request that is malformed, too large or too slow, without calling the handler. The connection is closed then: it isn't known where the next
/// request begins.
auto CallerConnection::refuse(int status) -> void
{
    ++m_server->counts.malformed;
    VLOG(1) << "callers: refused a malformed, too large or too slow request status=" << status;
    write(answerHead(status, {{"Content-Length", "0"}, {"Connection", "close"}}));
    linger();
}

auto CallerConnection::answerFinished() -> void
{
    const auto self = shared_from_this();
    const bool isLast = isLastAnswer();
    dropExchange();
    if (isLast) {
        linger();
        return;
    }
    m_lastActivityAt = m_server->loop.now();
    prepareReader();
    if (m_stream && mayReadRequest()) {
        m_stream->resumeReading();
    }
    if (!m_isReading) {
        read(); // if read() is running, its loop continues
    }
}

/// Keeps the connection open for a while after the last answer: closing it with unread bytes would reset it, and the caller might lose the answer.
auto CallerConnection::linger() -> void
{
    m_lingering = true;
    m_lastActivityAt = m_server->loop.now();
    if (m_stream) {
        m_stream->resumeReading();
        m_stream->finishWriting();
    }
}

auto CallerConnection::dropExchange() -> CallerExchangePtr
{
    auto dropped = std::exchange(m_exchange, nullptr);
    if (dropped) {
        --m_server->openExchanges;
    }
    return dropped;
}

auto CallerConnection::onEnd() -> void
{
    close();
}

auto CallerConnection::close() -> void
{
    const auto self = shared_from_this();
    m_stream.reset();
    m_server->connections.erase(self);
    const auto exchange = dropExchange();
    if (exchange && exchange->onGone) {
        const auto hook = std::move(exchange->onGone);
        hook();
    }
}

/// Notes whether the caller reads. Returns whether bytes of its answer are unsent.
auto CallerConnection::trackReading(TimePoint now) -> bool
{
    if (pendingBytes() == 0) {
        m_unreadBytes = 0;
        return false;
    }
    const auto unread = m_stream->undeliveredBytes();
    if (m_unreadBytes == 0 || unread < m_unreadBytes) {
        m_readAt = now;
    }
    m_unreadBytes = unread;
    return true;
}

auto CallerConnection::checkTimeouts(TimePoint now) -> void
{
    const bool hasUnsent = trackReading(now);
    if (hasUnsent && !m_exchange) {
        // The answer is complete. Only a caller that doesn't read it is disconnected.
        m_lastActivityAt = now;
        if (now - m_readAt > StalledReaderTime) {
            close();
        }
        return;
    }
    const auto idleTime = now - m_lastActivityAt;
    const auto &limits = m_server->limits;
    if (m_lingering) {
        if (idleTime > LingerTime) {
            close();
        }
    } else if (m_exchange) {
        return;
    } else if (!m_reader.hasBegun()) {
        if (idleTime > limits.idleTimeout) {
            close();
        }
    } else if (m_reader.hasHead() ? idleTime > limits.headTimeout : now - m_requestStartedAt > limits.headTimeout) {
        refuse(HttpStatus::RequestTimeout);
    }
}

// [SECTION] Exchange

CallerExchange::CallerExchange(std::weak_ptr<CallerConnection> connection, HttpHead head, std::string body, TimePoint startedAt)
    : m_connection(std::move(connection))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_startedAt(startedAt)
{
}

auto CallerExchange::head() const -> const HttpHead &
{
    return m_head;
}

auto CallerExchange::body() const -> const std::string &
{
    return m_body;
}

auto CallerExchange::startedAt() const -> TimePoint
{
    return m_startedAt;
}

auto CallerExchange::hasCallerLeft() const -> bool
{
    const auto connection = m_connection.lock();
    return !connection || connection->hasCallerLeft();
}

auto CallerExchange::isOpen() const -> bool
{
    return !m_finished && !m_connection.expired();
}

auto CallerExchange::hasBegun() const -> bool
{
    return m_begun;
}

auto CallerExchange::pendingBytes() const -> std::size_t
{
    const auto connection = m_connection.lock();
    return connection ? connection->pendingBytes() : 0;
}

auto CallerExchange::connectionHeaders(HttpHeaders headers) const -> HttpHeaders
{
    const auto connection = m_connection.lock();
    if (connection && connection->isLastAnswer()) {
        headers.push_back({"Connection", "close"});
    }
    return headers;
}

auto CallerExchange::respond(int status, HttpHeaders headers, std::string_view body) -> void
{
    const auto connection = m_connection.lock();
    if (!connection || m_begun) {
        return;
    }
    headers.push_back({"Content-Length", std::to_string(body.size())});
    auto bytes = answerHead(status, connectionHeaders(std::move(headers)));
    if (m_head.method != "HEAD") {
        bytes += body;
    }
    m_begun = true;
    m_finished = true;
    connection->write(bytes);
    connection->answerFinished();
}

auto CallerExchange::begin(int status, HttpHeaders headers, std::optional<std::uint64_t> length) -> void
{
    const auto connection = m_connection.lock();
    if (!connection || m_begun) {
        return;
    }
    m_begun = true;
    const bool hasBody = m_head.method != "HEAD";
    if (length) {
        headers.push_back({"Content-Length", std::to_string(*length)});
    } else if (m_head.allowsChunks) {
        headers.push_back({"Transfer-Encoding", "chunked"});
        m_framing = hasBody ? BodyFraming::Chunked : BodyFraming::None;
    } else if (hasBody) {
        m_framing = BodyFraming::Connection;
        connection->beginAnswerUntilClose();
    }
    connection->write(answerHead(status, connectionHeaders(std::move(headers))));
}

auto CallerExchange::write(std::string_view bytes) -> void
{
    const auto connection = m_connection.lock();
    if (connection && m_begun && !m_finished && !bytes.empty()) {
        connection->write(m_framing == BodyFraming::Chunked ? chunk(bytes) : std::string(bytes));
    }
}

auto CallerExchange::finish() -> void
{
    const auto connection = m_connection.lock();
    if (!connection || !m_begun || m_finished) {
        return;
    }
    m_finished = true;
    if (m_framing == BodyFraming::Chunked) {
        connection->write(LastChunk);
    } else if (m_framing == BodyFraming::Connection) {
        connection->allowOrderlyClose();
    }
    connection->answerFinished();
}

auto CallerExchange::abort() -> void
{
    const auto connection = m_connection.lock();
    if (connection && !m_finished) {
        m_finished = true;
        onGone = nullptr;
        connection->close();
    }
}

// [SECTION] Server

auto CallerServer::Private::unsentBytes() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto &connection : connections) {
        sum += connection->pendingBytes();
    }
    return sum;
}

auto CallerServer::Private::dropSlowReaders() -> void
{
    auto unsent = unsentBytes();
    if (unsent <= maxUnsent) {
        return;
    }
    std::vector<std::shared_ptr<CallerConnection>> slow;
    std::copy_if(connections.begin(), connections.end(), std::back_inserter(slow), [](const auto &connection) { return connection->pendingBytes() > 0; });
    std::sort(slow.begin(), slow.end(), [](const auto &a, const auto &b) {
        return a->lastReadAt() != b->lastReadAt() ? a->lastReadAt() < b->lastReadAt() : a->unreadBytes() > b->unreadBytes();
    });
    for (const auto &connection : slow) {
        if (unsent <= maxUnsent) {
            return;
        }
        unsent -= std::min(connection->pendingBytes(), unsent);
        ++counts.dropped;
        connection->close();
    }
}

auto CallerServer::Private::checkTimeouts() -> void
{
    const std::vector<std::shared_ptr<CallerConnection>> all(connections.begin(), connections.end());
    const auto now = loop.now();
    for (const auto &connection : all) {
        connection->checkTimeouts(now);
    }
    dropSlowReaders();
}

CallerServer::CallerServer(EventLoop &loop, const Endpoint &listen, Handler handler)
    : d(std::make_shared<Private>(loop, std::move(handler)))
{
    d->listener = std::make_unique<TcpListener>(loop, listen, callerTcpOptions(), [raw = d.get(), weak = std::weak_ptr(d)](std::unique_ptr<TcpStream> stream) {
        ++raw->counts.accepted;
        auto connection = std::make_shared<CallerConnection>(weak.lock(), std::move(stream));
        raw->connections.insert(connection);
        connection->start();
    });
    d->timeoutTimer = loop.every(TimeoutCheckPeriod, [raw = d.get()] { raw->checkTimeouts(); });
}

CallerServer::~CallerServer()
{
    const std::vector<std::shared_ptr<CallerConnection>> all(d->connections.begin(), d->connections.end());
    for (const auto &connection : all) {
        connection->close();
    }
    d->timeoutTimer.cancel();
}

auto CallerServer::port() const -> int
{
    return d->listener ? d->listener->port() : 0;
}

auto CallerServer::connections() const -> std::size_t
{
    return d->connections.size();
}

auto CallerServer::openExchanges() const -> std::size_t
{
    return d->openExchanges;
}

auto CallerServer::undeliveredAnswers() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(d->connections.begin(), d->connections.end(), [](const auto &connection) { return connection->isUndelivered(); }));
}

auto CallerServer::counts() const -> const CallerServerCounts &
{
    return d->counts;
}

auto CallerServer::setLimits(const CallerLimits &limits) -> void
{
    d->limits = limits;
}

auto CallerServer::unsentBytes() const -> std::size_t
{
    return d->unsentBytes();
}

auto CallerServer::setMaxUnsent(std::size_t bytes) -> void
{
    d->maxUnsent = bytes;
}

auto CallerServer::setLeaving() -> void
{
    d->leaving = true;
}

auto CallerServer::stopListening() -> void
{
    d->listener.reset();
}

auto CallerServer::closeIdle() -> void
{
    const std::vector<std::shared_ptr<CallerConnection>> all(d->connections.begin(), d->connections.end());
    for (const auto &connection : all) {
        if (connection->isIdle()) {
            connection->close();
        }
    }
}

} // namespace KingCup
