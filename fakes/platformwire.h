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
class WireConnection : public std::enable_shared_from_this<WireConnection>
{
public:
    auto isOpen() const -> bool;
    auto write(std::string_view bytes) -> void;
    auto answer(int status, HttpHeaders headers, std::string_view body) -> void; ///< whole, with its length
    auto close() -> void;

    std::function<void()> onGone; ///< the caller closed it; replaced by each request's handler

private:
    friend class WireServer;
    std::unique_ptr<TcpStream> m_stream;
    std::unique_ptr<HttpReader> m_reader;
    std::string m_body;
    class WireServer *m_server = nullptr;
};
using WirePtr = std::shared_ptr<WireConnection>;

class WireServer
{
public:
    using Handler = std::function<void(const WirePtr &connection, const HttpHead &head, const std::string &body)>;

    WireServer(EventLoop &loop, int port, Handler handler);
    ~WireServer();

    auto port() const -> int;
    auto connections() const -> std::size_t;
    /// While off, new connections are accepted and closed at once, as a crashed host's system does after a fashion.
    auto setAccepting(bool on) -> void;
    /// While on, nothing is read: a host without power answers nothing, though this machine's system still acknowledges.
    auto setDark(bool on) -> void;
    auto closeAll() -> void;

private:
    friend class WireConnection;
    auto accept(std::unique_ptr<TcpStream> stream) -> void;
    auto onData(const WirePtr &connection, std::string_view bytes) -> void;
    auto onEnd(const WirePtr &connection) -> void;

    EventLoop &m_loop;
    Handler m_handler;
    TcpListener m_listener;
    std::set<WirePtr> m_connections;
    bool m_accepting = true;
    bool m_dark = false;
};

} // namespace KingCup
