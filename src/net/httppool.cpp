// Index of sections (search for [SECTION]):
//   Connection   one connection and the call on it
//   Pool         choice of a connection for a call
#include "net/httppool.h"

#include <algorithm>
#include <charconv>
#include <glog/logging.h>
#include <map>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Connection

namespace
{

constexpr std::size_t MaxJoinedBody = 16384; ///< a longer body is passed on without a copy, in a call of its own
constexpr int FirstFinalStatus = 200; ///< lower codes are interim answers

/// The timeout in the Keep-Alive header; nothing if there is none.
auto keepAliveTimeout(const HttpHeaders &headers) -> std::optional<Duration>
{
    const auto value = findHeader(headers, "keep-alive");
    constexpr std::string_view Key = "timeout=";
    const auto at = value ? value->find(Key) : std::string_view::npos;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const auto digits = value->substr(at + Key.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return parsed.ec == std::errc() ? std::optional(Duration::seconds(seconds)) : std::nullopt;
}

} // namespace

class PoolConnection : public PooledHandle, public std::enable_shared_from_this<PoolConnection>
{
public:
    PoolConnection(HttpPool::Private &pool, EventLoop &loop, const Endpoint &server);

    auto isIdle() const -> bool
    {
        return !m_busy && m_stream != nullptr;
    }
    auto idleSince() const -> TimePoint
    {
        return m_idleSince;
    }
    auto isUsableAt(TimePoint now) const -> bool
    {
        return isIdle() && now < m_idleUntil;
    }
    auto server() const -> const Endpoint &
    {
        return m_server;
    }
    auto run(PooledCall call) -> void;
    auto close() -> void;

    auto wasSent() const -> bool override;
    auto unackedBytes() const -> std::size_t override;
    auto cancel() -> void override;
    auto hold(std::size_t bytes) -> void override;
    auto pause() -> void override;
    auto resume() -> void override;

private:
    auto onData(std::string_view bytes) -> void;
    auto onHead() -> void;
    auto isBodyTooLong() const -> bool;
    auto givesUp() const -> const char *;
    auto charge() -> bool;
    auto onClosed(TcpEnd how) -> void;
    auto onAnswered(bool noBytesFollow) -> void;
    auto finish(CallEnd end, std::optional<TcpEnd> how, const char *why = "-") -> void;
    auto prepareReader() -> void;

    HttpPool::Private *m_pool; ///< null once the connection was removed from the pool
    std::shared_ptr<AnswerLoad> m_load;
    std::size_t m_charged = 0; ///< to m_load
    std::size_t m_kept = 0; ///< of the current answer by its handler, see hold()
    EventLoop &m_loop;
    Endpoint m_server;
    std::unique_ptr<TcpStream> m_stream; ///< null once closed
    HttpReader m_reader;
    std::shared_ptr<PooledCall> m_call; ///< shared: a hook that cancels the call must not destroy itself while it runs
    AnswerVerdict m_verdict = AnswerVerdict::Accept;
    bool m_busy = false;
    int m_calls = 0; ///< calls started on this connection
    int m_skipped = 0; ///< late answers skipped during this call
    int m_interim = 0; ///< interim answers during this call
    std::size_t m_bodyBytes = 0; ///< of the answer that is being read
    bool m_wasSent = false;
    TimePoint m_idleSince;
    Duration m_idleBefore; ///< idle time before the current call
    TimePoint m_idleUntil;
};

// [SECTION] Pool

struct HttpPool::Private {
    EventLoop &loop;
    HttpPoolOptions options;
    HttpPoolCounts counts;
    std::shared_ptr<AnswerLoad> load;
    std::map<Endpoint, std::vector<std::shared_ptr<PoolConnection>>> connections; ///< by server, the most recently used last
    Timer sweep;

    Private(EventLoop &ownerLoop, HttpPoolOptions poolOptions)
        : loop(ownerLoop)
        , options(poolOptions)
        , load(std::make_shared<AnswerLoad>(poolOptions.answers))
    {
    }
    auto remove(PoolConnection &connection) -> void
    {
        const auto found = connections.find(connection.server());
        if (found == connections.end()) {
            return;
        }
        std::erase_if(found->second, [&](const auto &held) { return held.get() == &connection; });
        if (found->second.empty()) {
            connections.erase(found);
        }
    }
    auto findIdle(const Endpoint &server, Duration maxIdleTime) const -> std::shared_ptr<PoolConnection>;
    auto closeExpired() -> void;
};

PoolConnection::PoolConnection(HttpPool::Private &pool, EventLoop &loop, const Endpoint &server)
    : m_pool(&pool)
    , m_load(pool.load)
    , m_loop(loop)
    , m_server(server)
    , m_reader(HttpReader::Kind::Answer, pool.options.headBytes)
{
}

auto PoolConnection::prepareReader() -> void
{
    m_reader.reset();
    m_verdict = AnswerVerdict::Accept;
    m_bodyBytes = 0;
    m_reader.onHead = [this] {
        onHead();
    };
    m_reader.onBody = [this](std::string_view bytes) {
        const auto call = m_call;
        m_bodyBytes += bytes.size();
        if (m_verdict == AnswerVerdict::Accept && call && call->onBody && !isBodyTooLong()) {
            call->onBody(bytes);
        }
    };
    if (m_call->method == "HEAD") {
        m_reader.expectNoBody();
    }
}

auto PoolConnection::run(PooledCall call) -> void
{
    m_call = std::make_shared<PooledCall>(std::move(call));
    m_busy = true;
    m_idleBefore = m_calls > 0 ? m_loop.now() - m_idleSince : Duration();
    ++m_calls;
    m_skipped = 0;
    m_interim = 0;
    m_kept = 0;
    m_wasSent = false;
    prepareReader();
    if (!m_stream) {
        m_stream = TcpStream::connect(m_loop, m_server, m_pool->options.tcp);
        m_stream->onConnected = [this] {
            const auto self = shared_from_this(); // the hook may cancel the call
            const auto current = m_call;
            if (current && current->onConnected) {
                current->onConnected();
            }
        };
        m_stream->onData = [this](std::string_view bytes) {
            onData(bytes);
        };
        m_stream->onEnd = [this](TcpEnd how) {
            onClosed(how);
        };
    }
    const bool hasBody = !m_call->body.isEmpty() || (m_call->method != "GET" && m_call->method != "HEAD" && m_call->method != "DELETE");
    if (hasBody) {
        m_call->headers.push_back({"Content-Length", std::to_string(m_call->body.size())});
    }
    auto bytes = requestHead(m_call->method, m_call->target, m_call->headers);
    const auto body = std::exchange(m_call->body, SharedBytes());
    m_call->headers = HttpHeaders();
    if (body.size() <= MaxJoinedBody) {
        bytes += body.view();
        m_stream->write(bytes);
    } else {
        m_stream->write(bytes);
        m_stream->writeShared(body);
    }
}

auto PoolConnection::wasSent() const -> bool
{
    // On a reused connection the kernel accepted the bytes at once, so the call counts as sent.
    return m_wasSent || (m_busy && m_stream && (m_calls > 1 || m_stream->hasSent()));
}

auto PoolConnection::unackedBytes() const -> std::size_t
{
    return m_stream ? m_stream->unackedBytes() : 0;
}

auto PoolConnection::cancel() -> void
{
    if (m_busy) {
        m_wasSent = wasSent();
        m_call = nullptr;
        m_busy = false;
        charge();
        close();
    }
}

auto PoolConnection::hold(std::size_t bytes) -> void
{
    m_kept = bytes;
}

auto PoolConnection::pause() -> void
{
    if (m_stream) {
        m_stream->pauseReading();
    }
}

auto PoolConnection::resume() -> void
{
    if (m_stream) {
        m_stream->resumeReading();
    }
}

auto PoolConnection::close() -> void
{
    const auto self = shared_from_this();
    m_stream.reset();
    if (m_pool != nullptr) {
        std::exchange(m_pool, nullptr)->remove(*this);
    }
}

auto PoolConnection::onHead() -> void
{
    const auto &head = m_reader.head();
    if (head.status < FirstFinalStatus) {
        m_verdict = AnswerVerdict::Skip;
        return;
    }
    m_stream->setAwaitsDelivery(m_reader.endsWithConnection());
    const auto call = m_call;
    m_verdict = call && call->onHead ? call->onHead(head) : AnswerVerdict::Accept;
}

auto PoolConnection::isBodyTooLong() const -> bool
{
    if (!m_call || m_pool == nullptr) {
        return false;
    }
    return m_bodyBytes > (m_verdict == AnswerVerdict::Skip ? m_pool->options.maxSkippedBody : m_call->maxBody);
}

/// Updates the load by what the current answer makes the process hold. False if the answer is to be given up.
auto PoolConnection::charge() -> bool
{
    constexpr std::size_t HeadCopies = 2; // the handler keeps one
    const auto before = m_charged;
    const auto body = m_call && m_call->collectsBody ? m_bodyBytes : 0;
    m_charged = m_busy ? HeadCopies * m_reader.headMemory() + body + m_kept : 0;
    return m_load->change(before, m_charged);
}

/// Why what was received can't be or become the answer; nothing if it can.
auto PoolConnection::givesUp() const -> const char *
{
    if (m_reader.fault() != HttpFault::None) {
        return m_reader.fault() == HttpFault::TooLarge ? "head-too-large" : "malformed";
    }
    if (isBodyTooLong()) {
        return "body-too-long";
    }
    return m_reader.hasHead() && m_verdict == AnswerVerdict::Refuse ? "refused" : nullptr;
}

auto PoolConnection::onData(std::string_view bytes) -> void
{
    const auto self = shared_from_this(); // a hook may cancel the call
    while (!bytes.empty() && m_stream) {
        if (!m_busy) {
            ++m_pool->counts.strayAnswers;
            VLOG(1) << "net: unexpected bytes server=" << toString(m_server) << " bytes=" << bytes.size();
            close();
            return;
        }
        const auto used = m_reader.feed(bytes);
        if (!m_stream || !m_busy) {
            return;
        }
        bytes.remove_prefix(std::min(used, bytes.size()));
        const bool isAffordable = charge();
        if (const auto *why = givesUp(); why != nullptr || !isAffordable) {
            finish(CallEnd::Broken, std::nullopt, why == nullptr ? "answers-hold-too-much" : why);
            return;
        }
        if (!m_reader.isComplete()) {
            return;
        }
        if (m_verdict == AnswerVerdict::Accept) {
            onAnswered(bytes.empty());
            return;
        }
        const bool isInterim = m_reader.head().status < FirstFinalStatus;
        if (isInterim) {
            if (++m_interim > m_pool->options.maxInterim) {
                finish(CallEnd::Broken, std::nullopt, "too-many-interim");
                return;
            }
        } else {
            ++m_pool->counts.strayAnswers;
            if (++m_skipped > m_pool->options.maxSkipped || !m_reader.head().keepsConnection) {
                finish(CallEnd::Broken, std::nullopt, "only-stray-answers");
                return;
            }
        }
        prepareReader();
    }
}

/// The answer is complete. `noBytesFollow`: no bytes were received after it.
auto PoolConnection::onAnswered(bool noBytesFollow) -> void
{
    const auto &head = m_reader.head();
    // A server may answer before it has read the whole call. The rest of the body is then still to be sent, and the server would take the
    // next call for that rest.
    const bool isReusable
        = m_pool->options.keepsConnections && noBytesFollow && head.keepsConnection && m_stream->pendingBytes() == 0 && !m_reader.endsWithConnection();
    if (!noBytesFollow) {
        ++m_pool->counts.strayAnswers;
    }
    if (!isReusable) {
        finish(CallEnd::Complete, std::nullopt);
        return;
    }
    const auto now = m_loop.now();
    const auto &options = m_pool->options;
    const auto stated = keepAliveTimeout(head.headers);
    m_idleSince = now;
    m_idleUntil = now + (stated ? std::min(*stated - options.idleTimeoutMargin, options.idleTimeout) : options.idleTimeout);
    m_stream->resumeReading();
    m_busy = false;
    m_reader.reset(); // frees the head
    charge();
    auto &list = m_pool->connections[m_server];
    const auto self = shared_from_this();
    std::erase(list, self);
    list.push_back(self);
    const auto call = std::exchange(m_call, nullptr);
    if (call->onEnd) {
        call->onEnd({CallEnd::Complete, true, m_calls > 1, "-", std::nullopt, m_idleBefore});
    }
}

auto PoolConnection::onClosed(TcpEnd how) -> void
{
    const auto self = shared_from_this();
    if (!m_busy) {
        close();
        return;
    }
    // An answer without a length is complete only if the connection was closed in order.
    if (how == TcpEnd::Closed && m_reader.endsWithConnection() && m_verdict == AnswerVerdict::Accept && m_reader.feedEnd()) {
        finish(CallEnd::Complete, how);
        return;
    }
    const bool neverSent = how == TcpEnd::NotConnected;
    finish(neverSent ? CallEnd::NotSent : CallEnd::Broken, how);
}

auto PoolConnection::finish(CallEnd end, std::optional<TcpEnd> how, const char *why) -> void
{
    const auto self = shared_from_this();
    m_wasSent = end != CallEnd::NotSent;
    m_busy = false;
    charge();
    const auto call = std::exchange(m_call, nullptr);
    close();
    if (call->onEnd) {
        call->onEnd({end, m_wasSent, m_calls > 1, why, how, m_idleBefore});
    }
}

auto HttpPool::Private::findIdle(const Endpoint &server, Duration maxIdleTime) const -> std::shared_ptr<PoolConnection>
{
    const auto found = connections.find(server);
    if (found == connections.end()) {
        return nullptr;
    }
    const auto now = loop.now();
    const auto &list = found->second;
    const auto fits = [&](const auto &connection) {
        return connection->isUsableAt(now) && now - connection->idleSince() < maxIdleTime;
    };
    const auto match = std::find_if(list.rbegin(), list.rend(), fits); // the most recently used connection is the least likely to be dead
    return match == list.rend() ? nullptr : *match;
}

auto HttpPool::Private::closeExpired() -> void
{
    std::vector<std::shared_ptr<PoolConnection>> expired;
    for (const auto &[server, list] : connections) {
        for (const auto &connection : list) {
            if (connection->isIdle() && !connection->isUsableAt(loop.now())) {
                expired.push_back(connection);
            }
        }
    }
    for (const auto &connection : expired) {
        connection->close();
    }
}

HttpPool::HttpPool(EventLoop &loop, HttpPoolOptions options)
    : d(std::make_shared<Private>(loop, options))
{
    constexpr auto SweepPeriod = Duration::seconds(1);
    d->sweep = loop.every(SweepPeriod, [raw = d.get()] { raw->closeExpired(); });
}

HttpPool::~HttpPool()
{
    auto all = std::exchange(d->connections, {});
    for (const auto &[server, list] : all) {
        for (const auto &connection : list) {
            connection->cancel();
            connection->close();
        }
    }
}

auto HttpPool::counts() const -> const HttpPoolCounts &
{
    return d->counts;
}

auto HttpPool::answerLoad() const -> const AnswerLoad &
{
    return *d->load;
}

auto HttpPool::connections(const Endpoint &server) const -> std::size_t
{
    const auto found = d->connections.find(server);
    return found == d->connections.end() ? 0 : found->second.size();
}

auto HttpPool::hasIdle(const Endpoint &server, Duration maxIdleTime) const -> bool
{
    return d->findIdle(server, maxIdleTime) != nullptr;
}

auto HttpPool::start(PooledCall call) -> std::shared_ptr<PooledHandle>
{
    auto connection = d->findIdle(call.server, call.maxIdleTime);
    if (connection) {
        ++d->counts.reused;
    } else {
        ++d->counts.opened;
        connection = std::make_shared<PoolConnection>(*d, d->loop, call.server);
        d->connections[call.server].push_back(connection);
    }
    connection->run(std::move(call));
    return connection;
}

auto HttpPool::closeIdle(const Endpoint &server) -> void
{
    const auto found = d->connections.find(server);
    if (found == d->connections.end()) {
        return;
    }
    const auto list = found->second;
    for (const auto &connection : list) {
        if (connection->isIdle()) {
            connection->close();
        }
    }
}

auto HttpPool::setTcpOptions(const TcpOptions &tcp) -> void
{
    d->options.tcp = tcp;
}

auto HttpPool::closeAllIdle() -> void
{
    std::vector<Endpoint> servers;
    for (const auto &[server, list] : d->connections) {
        servers.push_back(server);
    }
    for (const auto &server : servers) {
        closeIdle(server);
    }
}

} // namespace KingCup
