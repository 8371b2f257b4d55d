// Stands between a client and a sound server: passes connections on, or answers the requests that a test chooses with raw bytes of its own. It uses blocking
// calls in threads of its own.
#pragma once

#include "tests/rawserver.h"

#include <functional>
#include <mutex>
#include <optional>
#include <poll.h>
#include <vector>

namespace KingCup
{

/// Each request must begin with a packet of its own, as those of clients do that send one request after the other.
class RawRelay
{
public:
    using Choice = std::function<bool(const std::string &head)>;

    /// `chooses`: whether a request is answered by the script, if there is one.
    RawRelay(int serverPort, Choice chooses)
        : m_serverPort(serverPort)
        , m_chooses(std::move(chooses))
        , m_thread([this] { run(); })
    {
    }
    ~RawRelay()
    {
        m_isStopping = true;
        m_listener.stop();
        m_thread.join();
        for (auto &connection : m_connections) {
            connection.join();
        }
    }
    RawRelay(const RawRelay &) = delete;
    auto operator=(const RawRelay &) -> RawRelay & = delete;

    auto port() const -> int
    {
        return m_listener.port();
    }
    auto setScript(std::optional<RawScript> script) -> void ///< nothing: all requests are passed on
    {
        const std::lock_guard lock(m_mutex);
        m_script = std::move(script);
    }
    auto answered() const -> int ///< requests that a script answered
    {
        return m_answered;
    }

private:
    auto run() -> void
    {
        while (!m_isStopping) {
            const int connection = m_listener.accept();
            if (connection >= 0) {
                m_connections.emplace_back([this, connection] {
                    serve(connection);
                    close(connection);
                });
            }
        }
    }
    auto script() -> std::optional<RawScript>
    {
        const std::lock_guard lock(m_mutex);
        return m_script;
    }
    auto serve(int connection) -> void
    {
        const auto received = readRequestHead(connection);
        if (received.empty() || answers(connection, received)) {
            return;
        }
        const int server = socket(AF_INET, SOCK_STREAM, 0);
        const auto address = loopbackAddress(m_serverPort);
        if (connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
            ::send(server, received.data(), received.size(), MSG_NOSIGNAL);
            passOn(connection, server);
        }
        close(server);
    }
    /// Answers by the script if it concerns what was received.
    auto answers(int connection, const std::string &received) -> bool
    {
        const auto chosen = script();
        if (!chosen || !m_chooses(received)) {
            return false;
        }
        ++m_answered;
        playRaw(connection, *chosen, received);
        return true;
    }
    /// Copies bytes in both directions until one side ends, or a request comes that the script answers.
    auto passOn(int client, int server) -> void
    {
        constexpr int PollMillis = 100;
        std::array<pollfd, 2> sides {{{client, POLLIN, 0}, {server, POLLIN, 0}}};
        while (!m_isStopping) {
            ::poll(sides.data(), sides.size(), PollMillis);
            for (const auto &side : sides) {
                if (side.revents == 0) {
                    continue;
                }
                const auto bytes = receiveSome(side.fd);
                const bool isFromClient = side.fd == client;
                if (bytes.empty() || (isFromClient && answers(client, bytes))) {
                    return;
                }
                ::send(isFromClient ? server : client, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            }
        }
    }
    static auto receiveSome(int from) -> std::string
    {
        std::array<char, 65536> buffer {};
        const auto size = recv(from, buffer.data(), buffer.size(), 0);
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }

    int m_serverPort;
    Choice m_chooses;
    RawListener m_listener;
    std::mutex m_mutex;
    std::optional<RawScript> m_script;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_answered = 0;
    std::vector<std::thread> m_connections; ///< used by m_thread alone until it has ended
    std::thread m_thread;
};

} // namespace KingCup
