// A small HTTP server that speaks bytes, for stand-ins that must also misbehave: answers may be cut, doubled, unframed or never come.
#pragma once

#include "net/httpreader.h"
#include "net/tcpstream.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace KingCup
{

/// One accepted connection; kept by whoever answers.
class RawConnection : public std::enable_shared_from_this<RawConnection>
{
public:
    auto isOpen() const -> bool;
    auto write(std::string_view bytes) -> void;
    auto answer(int status, HttpHeaders headers, std::string_view body) -> void; ///< whole, with its length
    auto close() -> void;

    std::function<void()> onClientClosed; ///< the caller closed it; replaced by each request's handler

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
    /// While off, new connections are accepted and closed at once, as a crashed host's system does after a fashion.
    auto setAccepting(bool on) -> void;
    /// While on, nothing is read: a host without power answers nothing, though this machine's system still acknowledges.
    auto setUnresponsive(bool on) -> void;
    auto closeAll() -> void;

private:
    friend class RawConnection;
    auto accept(std::unique_ptr<TcpStream> stream) -> void;
    auto onData(const RawConnectionPtr &connection, std::string_view bytes) -> void;
    auto onEnd(const RawConnectionPtr &connection) -> void;

    EventLoop &m_loop;
    Handler m_handler;
    TcpListener m_listener;
    std::set<RawConnectionPtr> m_connections;
    bool m_accepting = true;
    bool m_unresponsive = false;
};

} // namespace KingCup
