#include "platformwire.h"

#include <utility>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxHeadBytes = 1U << 20U;

} // namespace

auto RawConnection::isOpen() const -> bool
{
    return m_stream != nullptr;
}

auto RawConnection::write(std::string_view bytes) -> void
{
    if (m_stream) {
        m_stream->write(bytes);
    }
}

auto RawConnection::answer(int status, HttpHeaders headers, std::string_view body) -> void
{
    headers.push_back({"Content-Length", std::to_string(body.size())});
    write(answerHead(status, headers) + std::string(body));
}

auto RawConnection::close() -> void
{
    const auto self = shared_from_this();
    m_stream.reset();
    if (m_server != nullptr) {
        std::exchange(m_server, nullptr)->m_connections.erase(self);
    }
}

auto RawConnection::reset() -> void
{
    if (m_stream) {
        m_stream->setResetOnClose(true);
    }
    close();
}

RawServer::RawServer(EventLoop &loop, int port, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, {"127.0.0.1", port}, TcpOptions(), [this](std::unique_ptr<TcpStream> stream) { accept(std::move(stream)); })
{
}

RawServer::~RawServer()
{
    closeAll();
}

auto RawServer::port() const -> int
{
    return m_listener.port();
}

auto RawServer::connections() const -> std::size_t
{
    return m_connections.size();
}

auto RawServer::setAccepting(bool on) -> void
{
    m_accepting = on;
}

auto RawServer::setUnresponsive(bool on) -> void
{
    m_unresponsive = on;
    for (const auto &connection : m_connections) {
        if (on) {
            connection->m_stream->pauseReading();
        } else {
            connection->m_stream->resumeReading();
        }
    }
}

auto RawServer::closeAll() -> void
{
    const auto all = m_connections;
    for (const auto &connection : all) {
        connection->close();
    }
}

auto RawServer::abandonAll() -> void
{
    for (const auto &connection : m_connections) {
        connection->m_stream->pauseReading();
        connection->m_server = nullptr;
        connection->onClientClosed = nullptr;
        m_abandoned.insert(connection);
    }
    m_connections.clear();
}

auto RawServer::accept(std::unique_ptr<TcpStream> stream) -> void
{
    if (!m_accepting) {
        return; // destroying the stream closes the connection
    }
    auto connection = std::make_shared<RawConnection>();
    connection->m_stream = std::move(stream);
    connection->m_reader = std::make_unique<HttpReader>(HttpReader::Kind::Request, MaxHeadBytes);
    connection->m_server = this;
    auto *raw = connection.get();
    raw->m_reader->onBody = [raw](std::string_view bytes) {
        raw->m_body.append(bytes);
    };
    raw->m_stream->onData = [this, raw](std::string_view bytes) {
        onData(raw->shared_from_this(), bytes);
    };
    raw->m_stream->onEnd = [this, raw](TcpEnd /*how*/) {
        onEnd(raw->shared_from_this());
    };
    m_connections.insert(connection);
    if (m_unresponsive) {
        raw->m_stream->pauseReading();
    }
}

auto RawServer::onData(const RawConnectionPtr &connection, std::string_view bytes) -> void
{
    while (!bytes.empty() && connection->isOpen()) {
        const auto used = connection->m_reader->feed(bytes);
        bytes.remove_prefix(std::min(used, bytes.size()));
        if (connection->m_reader->fault() != HttpFault::None) {
            connection->close();
            return;
        }
        if (!connection->m_reader->isComplete()) {
            continue;
        }
        const auto head = connection->m_reader->head();
        const auto body = std::exchange(connection->m_body, {});
        connection->m_reader->reset();
        m_handler(connection, head, body);
    }
}

auto RawServer::onEnd(const RawConnectionPtr &connection) -> void
{
    const auto gone = std::exchange(connection->onClientClosed, nullptr);
    connection->close();
    if (gone) {
        gone();
    }
}

} // namespace KingCup
