// Index of sections (search for [SECTION]):
//   Connection   reads requests and writes answers
//   Exchange     the handler's view of one request
//   Server       accepts connections, checks timeouts
#include "net/callerserver.h"

#include "core/releasetext.h"
#include "net/hostresources.h"
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

constexpr std::size_t ReserveAfterBytes = 65536; ///< of a body
constexpr std::size_t MaxJoinedBody = 16384; ///< an answer with a longer body is written in two pieces, without a copy of the body
constexpr auto StalledCallerTime = Duration::millis(500); ///< without progress, until a refused caller counts as too slow
constexpr std::size_t MaxReadAheadBytes = 65536; ///< bytes of further requests that are read while one is being answered
/// Further requests of a connection wait while more bytes of its answers are unsent. Without this, answers would pile up for a caller that sends requests and
/// doesn't read.
constexpr std::size_t MaxUnsentBytes = 65536;
constexpr auto TimeoutCheckPeriod = Duration::millis(250); ///< between checks for slow and idle callers
constexpr auto LingerTime = Duration::seconds(1); ///< from the last byte sent to or received from a caller after its last answer until the connection is closed
constexpr auto MaxLingerTime = Duration::seconds(10); ///< from the last answer to a caller that goes on sending
constexpr std::size_t ProgressBytes = 16384; ///< of a request; fewer don't count as progress of its caller
/// Freed beyond the excess, as a share of what callers may hold: the choice of those that yield looks at all connections.
constexpr std::size_t ReliefShare = 16;
constexpr std::size_t MaxReplacedAtOnce = 16; ///< connections
/// The allocator keeps freed memory. It is given back to the host when callers hold this much less than before.
constexpr std::size_t TrimBytes = 16U << 20U;
/// A caller that has read nothing for this long, while bytes of its answer are unsent, is disconnected. Callers may pause for some seconds while they read.
constexpr auto StalledReaderTime = Duration::seconds(8);

/// The kernel applies the time-out for unacknowledged bytes also to a caller whose receive buffer is full. With the default of 2 s, a caller that pauses while
/// it reads would lose its connection.
auto callerTcpOptions(ssl_ctx_st *tls) -> TcpOptions
{
    TcpOptions options;
    options.unackedTimeout = StalledReaderTime;
    options.tls = tls;
    return options;
}

auto statusOf(CallerRefusal refusal) -> int
{
    switch (refusal) {
    case CallerRefusal::BodyTooLarge:
        return HttpStatus::ContentTooLarge;
    case CallerRefusal::HeadTooLarge:
        return HttpStatus::HeadTooLarge;
    case CallerRefusal::Malformed:
        return HttpStatus::BadRequest;
    case CallerRefusal::TooSlow:
        return HttpStatus::RequestTimeout;
    case CallerRefusal::Overloaded:
        break;
    }
    return HttpStatus::Unavailable;
}

} // namespace

auto toString(CallerRefusal refusal) -> const char *
{
    switch (refusal) {
    case CallerRefusal::BodyTooLarge:
        return "body-too-large";
    case CallerRefusal::HeadTooLarge:
        return "head-too-large";
    case CallerRefusal::Malformed:
        return "malformed-request";
    case CallerRefusal::TooSlow:
        return "request-too-slow";
    case CallerRefusal::Overloaded:
        break;
    }
    return "overloaded";
}

struct CallerServer::Private {
    EventLoop &loop;
    CallerServerOptions options;
    Handler handler;
    CallerLimits limits;
    CallerLoad load;
    CallerServerCounts counts;
    std::unique_ptr<TcpListener> listener;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections;
    std::size_t openExchanges = 0;
    bool leaving = false;
    Timer timeoutTimer;

    Private(EventLoop &ownerLoop, CallerServerOptions serverOptions, Handler requestHandler)
        : loop(ownerLoop)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , limits(options.limits)
        , load(options.bounds)
    {
    }
    auto checkTimeouts() -> void;
    auto unsentBytes() const -> std::size_t;
    auto holds() const -> std::pair<std::vector<std::shared_ptr<CallerConnection>>, std::vector<CallerHold>>;
    /// Lets other connections yield until a connection that holds this much may grow, as far as any may yield.
    auto relieve(std::size_t connectionBytes) -> void;
    auto mayAccept() -> bool;
    auto giveBackMemory() -> void;
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
    auto isLingering() const -> bool
    {
        return m_lingering;
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
    auto peer() const -> std::string
    {
        return m_stream ? m_stream->peer() : std::string();
    }
    auto isUnderPressure() const -> bool
    {
        return m_server->load.excess(m_charged) > 0;
    }
    auto hold(std::size_t index) const -> CallerHold;
    auto hasUnreadBytes() const -> bool ///< the kernel has bytes for this process
    {
        return m_stream && m_stream->unreadBytes() > 0;
    }
    auto holdForAnswer(std::size_t bytes) -> void
    {
        m_answerBytes = bytes;
        charge();
        m_server->relieve(m_charged);
    }
    auto yield() -> void; ///< gives up what it holds, by a refusal or by closing
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
            charge();
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
    auto resumeReading() -> void;
    auto onHead() -> void;
    auto onBody(std::string_view bytes) -> void;
    auto dispatch() -> void;
    auto refuse(CallerRefusal refusal) -> void;
    auto refuse(CallerRefusal refusal, const HttpHead &head) -> void;
    auto charge() -> void;
    auto ensureCapacity() -> bool;
    auto trackProgress() -> void;
    auto phase() const -> CallerPhase;
    auto prepareReader() -> void;
    auto linger() -> void;
    auto dropExchange() -> CallerExchangePtr;
    auto trackReading(TimePoint now) -> bool;
    auto isRequestLate(TimePoint now) -> bool;

    std::shared_ptr<CallerServer::Private> m_server;
    std::unique_ptr<TcpStream> m_stream; ///< null once closed
    HttpReader m_reader;
    std::string m_unparsed; ///< received bytes that the parser hasn't consumed
    std::string m_body;
    CallerExchangePtr m_exchange; ///< the request being answered; null if none is
    bool m_closeAfterAnswer = false; ///< the connection closes after the current answer
    bool m_bodyTooLarge = false;
    bool m_isUnused = true; ///< no request has been received whole yet
    bool m_lingering = false;
    bool m_isReading = false; ///< read() is running
    TimePoint m_requestStartedAt; ///< first byte of the request being read
    TimePoint m_lastActivityAt; ///< last byte read, or end of the last answer
    TimePoint m_phaseStartedAt; ///< the connection was accepted, its request began, its last answer ended, or it began to linger
    TimePoint m_progressAt; ///< the last ProgressBytes of the request being read were received
    std::size_t m_progressMark = 0; ///< bytes of that request by then
    std::optional<Duration> m_timeBudget; ///< of the request whose body is being read, once it was asked for
    std::size_t m_charged = 0; ///< to the server's load
    std::size_t m_requestBytes = 0; ///< held for the request being answered, with copies
    std::size_t m_answerBytes = 0; ///< held for its answer elsewhere, see CallerExchange::hold()
    std::size_t m_pausedBytes = 0; ///< received by the kernel while reading is paused, at the last check
    bool m_isPaused = false; ///< reading is paused
    bool m_isYielding = false; ///< it will be closed by a posted task
    std::size_t m_unreadBytes = 0; ///< of answers, not yet acknowledged by the caller; updated only while the kernel doesn't accept all
    TimePoint m_readAt; ///< when m_unreadBytes last decreased
};

CallerConnection::CallerConnection(std::shared_ptr<CallerServer::Private> server, std::unique_ptr<TcpStream> stream)
    : m_server(std::move(server))
    , m_stream(std::move(stream))
    , m_reader(HttpReader::Kind::Request, m_server->limits.headBytes)
    , m_lastActivityAt(m_server->loop.now())
    , m_phaseStartedAt(m_lastActivityAt)
    , m_progressAt(m_lastActivityAt)
{
    charge();
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
        charge();
        if (m_lingering) {
            allowOrderlyClose();
        }
        if (const auto exchange = m_exchange; exchange && exchange->onDrained) {
            const auto hook = exchange->onDrained; // a copy: the hook may finish the exchange
            hook();
        }
        if (m_stream && mayReadRequest() && !m_lingering) {
            resumeReading();
            read();
        }
    };
    prepareReader();
}

auto CallerConnection::prepareReader() -> void
{
    m_reader.reset();
    releaseText(m_body);
    m_bodyTooLarge = false;
    m_timeBudget.reset();
    m_progressMark = 0;
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
    m_lastActivityAt = m_server->loop.now();
    if (m_lingering) {
        return;
    }
    m_unparsed.append(bytes);
    if (!mayReadRequest()) {
        if (m_unparsed.size() > MaxReadAheadBytes) {
            m_isPaused = true;
            m_stream->pauseReading();
        }
        charge();
        return;
    }
    read();
}

auto CallerConnection::resumeReading() -> void
{
    m_isPaused = false;
    m_pausedBytes = 0;
    m_stream->resumeReading();
}

auto CallerConnection::read() -> void
{
    m_isReading = true;
    while (m_stream && mayReadRequest() && !m_lingering && !m_unparsed.empty()) {
        if (!m_reader.hasBegun()) {
            m_requestStartedAt = m_server->loop.now();
            m_phaseStartedAt = m_requestStartedAt;
            m_progressAt = m_requestStartedAt;
        }
        const auto used = m_reader.feed(m_unparsed);
        m_unparsed.erase(0, used);
        if (m_unparsed.empty()) {
            releaseText(m_unparsed); // frees what was read ahead
        }
        trackProgress();
        if (m_bodyTooLarge) {
            refuse(CallerRefusal::BodyTooLarge);
        } else if (m_reader.fault() == HttpFault::TooLarge) {
            refuse(CallerRefusal::HeadTooLarge);
        } else if (m_reader.fault() == HttpFault::Malformed) {
            refuse(CallerRefusal::Malformed);
        } else if (!ensureCapacity()) {
            ++m_server->counts.overloaded;
            refuse(CallerRefusal::Overloaded);
        } else if (!m_lingering && m_reader.isComplete()) {
            dispatch();
        }
    }
    m_isReading = false;
    if (m_lingering) {
        m_reader.reset(); // frees the head
    }
    charge();
}

auto CallerConnection::trackProgress() -> void
{
    const auto received = m_body.size() + m_reader.headMemory();
    if (received >= m_progressMark + ProgressBytes) {
        m_progressMark = received;
        m_progressAt = m_server->loop.now();
    }
}

/// Updates the server's load by what this connection holds.
auto CallerConnection::charge() -> void
{
    const auto before = m_charged;
    const bool isGone = !m_stream || m_isYielding;
    const auto request = m_exchange ? m_requestBytes + m_answerBytes : m_reader.headMemory() + m_body.size();
    m_charged = isGone ? 0 : ConnectionBytes + request + m_unparsed.size() + m_pausedBytes + pendingBytes();
    m_server->load.change(before, m_charged);
}

/// False if the request can't be held any longer, even after others have yielded.
auto CallerConnection::ensureCapacity() -> bool
{
    charge();
    if (m_server->load.excess(m_charged) == 0) {
        return true;
    }
    m_server->relieve(m_charged);
    return m_lingering || m_server->load.excess(m_charged) == 0;
}

auto CallerConnection::phase() const -> CallerPhase
{
    if (m_isYielding) {
        return CallerPhase::Closing;
    }
    if (m_lingering) {
        return pendingBytes() > 0 ? CallerPhase::Unread : CallerPhase::Closing;
    }
    if (pendingBytes() > 0) {
        return CallerPhase::Unread;
    }
    if (m_exchange) {
        return CallerPhase::Running;
    }
    if (m_reader.hasBegun()) {
        return CallerPhase::Receiving;
    }
    return m_isUnused ? CallerPhase::Unused : CallerPhase::Idle;
}

auto CallerConnection::hold(std::size_t index) const -> CallerHold
{
    const auto known = phase();
    auto progressedAt = known == CallerPhase::Receiving ? m_progressAt : m_phaseStartedAt;
    if (known == CallerPhase::Unread) {
        progressedAt = m_unreadBytes == 0 ? m_server->loop.now() : m_readAt; // 0: not checked yet
    }
    return {index, known, m_charged, m_phaseStartedAt, progressedAt};
}

auto CallerConnection::yield() -> void
{
    const auto self = shared_from_this();
    switch (phase()) {
    case CallerPhase::Receiving:
        ++m_server->counts.overloaded;
        refuse(m_server->loop.now() - m_progressAt >= StalledCallerTime ? CallerRefusal::TooSlow : CallerRefusal::Overloaded);
        return;
    case CallerPhase::Unread:
        ++m_server->counts.dropped;
        break;
    default:
        ++m_server->counts.replaced;
        break;
    }
    m_isYielding = true;
    charge();
    // By a posted task: the exchange's owner may be in the middle of changing its own state.
    m_server->loop.post([self] { self->close(); });
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
    if (m_bodyTooLarge) {
        return;
    }
    // Growth by doubling would hold the body twice for a moment. What is announced is reserved only once a part of it has come.
    if (const auto length = m_reader.head().length; length && m_body.size() + bytes.size() > ReserveAfterBytes) {
        m_body.reserve(*length);
    }
    m_body.append(bytes);
}

auto CallerConnection::dispatch() -> void
{
    if (hasCallerLeft()) {
        ++m_server->counts.departed;
        close();
        return;
    }
    m_closeAfterAnswer = !m_reader.head().keepsConnection;
    m_isUnused = false;
    m_requestBytes = m_reader.headMemory() + m_body.size() * m_server->options.bodyCopies;
    m_answerBytes = 0;
    m_exchange = std::make_shared<CallerExchange>(weak_from_this(), m_reader.takeHead(), std::move(m_body), m_requestStartedAt);
    releaseText(m_body);
    ++m_server->openExchanges;
    if (!ensureCapacity()) { // for the copies
        ++m_server->counts.overloaded;
        const auto refused = dropExchange();
        refuse(CallerRefusal::Overloaded, refused->head());
        return;
    }
    m_server->handler(m_exchange);
}

/// Answers a request without calling the handler. The connection is closed then: it isn't known where the next request begins.
auto CallerConnection::refuse(CallerRefusal refusal) -> void
{
    refuse(refusal, m_reader.head());
}

auto CallerConnection::refuse(CallerRefusal refusal, const HttpHead &head) -> void
{
    if (refusal != CallerRefusal::Overloaded) {
        ++m_server->counts.malformed;
    }
    VLOG(1) << "callers: refused a request why=" << toString(refusal);
    const auto &hook = m_server->options.hooks.refusalAnswer;
    auto answer = hook ? hook(head, refusal) : CallerServerHooks::Answer();
    answer.headers.push_back({"Content-Length", std::to_string(answer.body.size())});
    answer.headers.push_back({"Connection", "close"});
    write(answerHead(statusOf(refusal), answer.headers) + answer.body);
    linger();
}

auto CallerConnection::answerFinished() -> void
{
    const auto self = shared_from_this();
    const bool isLast = isLastAnswer();
    if (const auto finished = dropExchange()) {
        finished->onGone = nullptr; // the hooks may own the exchange
        finished->onDrained = nullptr;
    }
    if (isLast) {
        linger();
        return;
    }
    m_lastActivityAt = m_server->loop.now();
    m_phaseStartedAt = m_lastActivityAt;
    prepareReader();
    if (m_stream && mayReadRequest()) {
        resumeReading();
    }
    charge();
    if (!m_isReading) {
        read(); // if read() is running, its loop continues
    }
}

/// Keeps the connection open for a while after the last answer: closing it with unread bytes would reset it, and the caller might lose the answer.
auto CallerConnection::linger() -> void
{
    m_lingering = true;
    m_lastActivityAt = m_server->loop.now();
    m_phaseStartedAt = m_lastActivityAt;
    releaseText(m_unparsed);
    releaseText(m_body);
    if (!m_isReading) {
        m_reader.reset(); // frees the head; read() does it when it no longer uses the reader
    }
    if (m_stream) {
        resumeReading();
        m_stream->finishWriting();
    }
    charge();
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
    charge();
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

/// Whether the request that is being received takes too long: its head, a pause within its body, or the whole of it.
auto CallerConnection::isRequestLate(TimePoint now) -> bool
{
    const auto headTimeout = m_server->limits.headTimeout;
    if (!m_reader.hasHead()) {
        return now - m_requestStartedAt > headTimeout;
    }
    const auto &hook = m_server->options.hooks.timeBudget;
    if (now - m_lastActivityAt > headTimeout || !hook) {
        return now - m_lastActivityAt > headTimeout;
    }
    if (!m_timeBudget) {
        m_timeBudget = hook(m_reader.head());
    }
    return now - m_requestStartedAt > *m_timeBudget;
}

auto CallerConnection::checkTimeouts(TimePoint now) -> void
{
    const bool hasUnsent = trackReading(now);
    m_pausedBytes = m_isPaused && m_stream ? m_stream->unreadBytes() : 0;
    charge();
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
        if (idleTime > LingerTime || now - m_phaseStartedAt > MaxLingerTime) {
            close();
        }
    } else if (m_exchange) {
        return;
    } else if (!m_reader.hasBegun()) {
        if (idleTime > limits.idleTimeout) {
            close();
        }
    } else if (isRequestLate(now)) {
        refuse(CallerRefusal::TooSlow);
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

auto CallerExchange::body() const -> const SharedBytes &
{
    return m_body;
}

auto CallerExchange::takeBody() -> std::string
{
    return m_body.take();
}

auto CallerExchange::peer() const -> std::string
{
    const auto connection = m_connection.lock();
    return connection ? connection->peer() : std::string();
}

auto CallerExchange::hold(std::size_t bytes) -> void
{
    const auto connection = m_connection.lock();
    if (connection && !m_finished) {
        connection->holdForAnswer(bytes);
    }
}

auto CallerExchange::isUnderPressure() const -> bool
{
    const auto connection = m_connection.lock();
    return connection && connection->isUnderPressure();
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
    if (HttpStatus::mayHaveBody(status)) {
        headers.push_back({"Content-Length", std::to_string(body.size())});
    }
    auto bytes = answerHead(status, connectionHeaders(std::move(headers)));
    const auto sent = m_head.method == "HEAD" || !HttpStatus::mayHaveBody(status) ? std::string_view() : body;
    m_begun = true;
    m_finished = true;
    if (sent.size() <= MaxJoinedBody) {
        connection->write(bytes.append(sent));
    } else {
        connection->write(bytes);
        connection->write(sent);
    }
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
    if (!HttpStatus::mayHaveBody(status)) {
        m_framing = BodyFraming::None;
    } else if (length) {
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
    if (connection && m_begun && !m_finished && !bytes.empty() && m_framing != BodyFraming::None) {
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

auto CallerServer::Private::holds() const -> std::pair<std::vector<std::shared_ptr<CallerConnection>>, std::vector<CallerHold>>
{
    std::vector<std::shared_ptr<CallerConnection>> all(connections.begin(), connections.end());
    std::vector<CallerHold> held;
    held.reserve(all.size());
    for (const auto &connection : all) {
        held.push_back(connection->hold(held.size()));
    }
    return {std::move(all), std::move(held)};
}

auto CallerServer::Private::relieve(std::size_t connectionBytes) -> void
{
    const auto excess = load.excess(connectionBytes);
    if (excess == 0) {
        return;
    }
    const auto [all, held] = holds();
    for (const auto index : chooseYielding(held, excess + load.bounds().bytes / ReliefShare, loop.now())) {
        all[index]->yield();
    }
}

/// Whether another connection may be accepted now. Otherwise some that wait for a request, or whose callers have stopped sending, are closed in favour of it.
auto CallerServer::Private::mayAccept() -> bool
{
    const bool hasDescriptor = options.maxDescriptors == 0 || loop.polledDescriptors() < options.maxDescriptors;
    if (hasDescriptor && connections.size() < load.bounds().connections) {
        return true;
    }
    auto [all, held] = holds();
    for (std::size_t replaced = 0; replaced < MaxReplacedAtOnce;) {
        const auto index = chooseReplaced(held, loop.now());
        if (!index) {
            break;
        }
        // Not if its caller has sent something that is still to be read, unless that would be dropped.
        if (all[*index]->isLingering() || !all[*index]->hasUnreadBytes()) {
            ++counts.replaced;
            ++replaced;
            all[*index]->close();
        }
        std::erase_if(held, [&](const CallerHold &hold) { return hold.index == *index; });
    }
    return false;
}

auto CallerServer::Private::giveBackMemory() -> void
{
    if (load.mostHeld() > load.held() + TrimBytes) {
        returnFreeMemory();
        load.resetMostHeld();
    }
}

auto CallerServer::Private::checkTimeouts() -> void
{
    const std::vector<std::shared_ptr<CallerConnection>> all(connections.begin(), connections.end());
    const auto now = loop.now();
    for (const auto &connection : all) {
        connection->checkTimeouts(now);
    }
    relieve(0);
    giveBackMemory();
}

CallerServer::CallerServer(EventLoop &loop, const Endpoint &listen, Handler handler)
    : CallerServer(loop, CallerServerOptions {.listen = listen}, std::move(handler))
{
}

CallerServer::CallerServer(EventLoop &loop, CallerServerOptions options, Handler handler)
    : d(std::make_shared<Private>(loop, std::move(options), std::move(handler)))
{
    const auto onAccepted = [raw = d.get(), weak = std::weak_ptr(d)](std::unique_ptr<TcpStream> stream) {
        ++raw->counts.accepted;
        auto connection = std::make_shared<CallerConnection>(weak.lock(), std::move(stream));
        raw->connections.insert(connection);
        connection->start();
    };
    d->listener = std::make_unique<TcpListener>(loop, d->options.listen, callerTcpOptions(d->options.tls), onAccepted);
    d->listener->setGate([raw = d.get()] { return raw->mayAccept(); });
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

auto CallerServer::heldBytes() const -> std::size_t
{
    return d->load.held();
}

auto CallerServer::setBounds(const CallerBounds &bounds) -> void
{
    d->load.setBounds(bounds);
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
