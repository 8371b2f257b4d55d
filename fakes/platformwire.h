// A small HTTP server whose handlers write raw bytes, for fakes that misbehave: answers may be truncated, sent twice, unframed or never sent.
#pragma once

#include "net/httpreader.h"
#include "net/tcpstream.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace KingCup
{

/// One accepted connection; a handler that answers later keeps the pointer.
class RawConnection : public std::enable_shared_from_this<RawConnection>
{
public:
    auto isOpen() const -> bool;
    auto write(std::string_view bytes) -> void;
    auto answer(int status, HttpHeaders headers, std::string_view body) -> void; ///< writes a complete answer with its content length
    auto close() -> void; ///< in order
    auto reset() -> void;

    std::function<void()> onClientClosed; ///< the connection has ended and not by close(); set anew by the handler of each request

private:
    friend class RawServer;
    std::unique_ptr<TcpStream> m_stream;
    std::unique_ptr<HttpReader> m_reader;
    std::string m_body;
    class RawServer *m_server = nullptr;
};
using RawConnectionPtr = std::shared_ptr<RawConnection>;

class RawServer
{
public:
    using Handler = std::function<void(const RawConnectionPtr &connection, const HttpHead &head, const std::string &body)>;

    RawServer(EventLoop &loop, int port, Handler handler);
    ~RawServer();

    auto port() const -> int;
    auto connections() const -> std::size_t;
    /// While off, new connections are accepted and closed at once. This approximates a host whose process has crashed.
    auto setAccepting(bool on) -> void;
    /// While on, nothing is read, as if the host had no power; but this machine's operating system still acknowledges received bytes.
    auto setUnresponsive(bool on) -> void;
    auto closeAll() -> void;
    /// Leaves the connections open without reading from them or answering on them, as after a crash that the network doesn't report.
    auto abandonAll() -> void;

private:
    friend class RawConnection;
    auto accept(std::unique_ptr<TcpStream> stream) -> void;
    auto onData(const RawConnectionPtr &connection, std::string_view bytes) -> void;
    auto onEnd(const RawConnectionPtr &connection) -> void;

    EventLoop &m_loop;
    Handler m_handler;
    TcpListener m_listener;
    std::set<RawConnectionPtr> m_connections;
    std::set<RawConnectionPtr> m_abandoned; ///< see abandonAll()
    bool m_accepting = true;
    bool m_unresponsive = false;
};

} // namespace KingCup
