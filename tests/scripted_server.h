// A server on the loopback address that answers exactly the bytes that a test gives it.
#pragma once

#include "net/httpreader.h"
#include "net/tcpstream.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace KingCup
{

/// One accepted connection.
struct ScriptedConnection {
    std::unique_ptr<TcpStream> stream; ///< reset the pointer to close the connection
    HttpReader reader {HttpReader::Kind::Request, 1U << 20U};
    std::string body;
    int requests = 0; ///< requests read so far
};

class ScriptedServer
{
public:
    /// Called with each complete request; answers by a write to connection.stream, or resets it.
    using Handler = std::function<void(ScriptedConnection &connection, const HttpHead &head, const std::string &body)>;

    ScriptedServer(EventLoop &loop, Handler handler)
        : m_handler(std::move(handler))
        , m_listener(loop, {"127.0.0.1", 0}, TcpOptions(), [this](std::unique_ptr<TcpStream> stream) { accept(std::move(stream)); })
    {
    }

    auto endpoint() const -> Endpoint
    {
        return {"127.0.0.1", m_listener.port()};
    }
    auto accepted() const -> std::size_t
    {
        return m_connections.size();
    }
    auto connection(std::size_t index) -> ScriptedConnection &
    {
        return *m_connections.at(index);
    }

private:
    auto accept(std::unique_ptr<TcpStream> stream) -> void
    {
        auto &connection = *m_connections.emplace_back(std::make_unique<ScriptedConnection>());
        connection.stream = std::move(stream);
        connection.reader.onBody = [&connection](std::string_view bytes) {
            connection.body.append(bytes);
        };
        connection.stream->onData = [this, &connection](std::string_view bytes) {
            read(connection, bytes);
        };
    }
    auto read(ScriptedConnection &connection, std::string_view bytes) -> void
    {
        while (!bytes.empty() && connection.stream) {
            bytes.remove_prefix(connection.reader.feed(bytes));
            if (!connection.reader.isComplete()) {
                return;
            }
            const auto head = connection.reader.head();
            const auto body = std::exchange(connection.body, {});
            connection.reader.reset();
            ++connection.requests;
            m_handler(connection, head, body);
        }
    }

    Handler m_handler;
    std::vector<std::unique_ptr<ScriptedConnection>> m_connections;
    TcpListener m_listener;
};

} // namespace KingCup
