// A server that reads requests as far as a test says, answers raw bytes, and ends its connections in a way that a test chooses. It uses blocking calls in a
// thread of its own, so that it isn't ordered with the event loop under test.
#pragma once

#include "core/endpoint.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace KingCup
{

enum class RawEnd {
    Reset, ///< by a reset
    Close, ///< by close(): the kernel resets the connection if received bytes weren't read
    Drain, ///< in order: sending ends, and all that still comes is read
};

struct RawScript {
    std::string text; ///< sent when the head of a request has been read; "%" stands for the value of its header Attempt-Id
    bool readsBody = false; ///< the whole of the request is read before the answer; it must have a Content-Length
    std::chrono::milliseconds endsAfter {0}; ///< after the answer
    RawEnd end = RawEnd::Close;
};

/// One request on each connection, one connection at a time.
class RawServer
{
public:
    explicit RawServer(RawScript script)
        : m_script(std::move(script))
    {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        constexpr int Backlog = 64;
        if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_listener, Backlog) != 0) {
            throw std::runtime_error("can't listen on the loopback address");
        }
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }
    ~RawServer()
    {
        m_isStopping = true;
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }
    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    auto endpoint() const -> Endpoint
    {
        return {"127.0.0.1", m_port};
    }
    auto requests() const -> int
    {
        return m_requests;
    }

private:
    auto run() -> void
    {
        while (!m_isStopping) {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection >= 0) {
                const timeval limit {2, 0};
                setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
                serve(connection);
                close(connection);
            }
        }
    }
    auto serve(int connection) -> void
    {
        std::array<char, 4096> buffer {};
        std::string received;
        while (received.find("\r\n\r\n") == std::string::npos) {
            const auto size = recv(connection, buffer.data(), buffer.size(), 0);
            if (size <= 0) {
                return;
            }
            received.append(buffer.data(), static_cast<std::size_t>(size));
        }
        ++m_requests;
        if (m_script.readsBody) {
            const auto whole = received.find("\r\n\r\n") + 4 + std::stoul("0" + valueOf(received, "Content-Length"));
            std::size_t count = received.size();
            for (ssize_t size = 1; count < whole && size > 0; count += static_cast<std::size_t>(std::max<ssize_t>(size, 0))) {
                size = recv(connection, buffer.data(), buffer.size(), 0);
            }
        }
        auto text = m_script.text;
        if (const auto at = text.find('%'); at != std::string::npos) {
            text.replace(at, 1, valueOf(received, "Attempt-Id"));
        }
        ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(m_script.endsAfter);
        if (m_script.end == RawEnd::Reset) {
            const linger atOnce {1, 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        } else if (m_script.end == RawEnd::Drain) {
            shutdown(connection, SHUT_WR);
            while (recv(connection, buffer.data(), buffer.size(), 0) > 0) { }
        }
    }
    static auto valueOf(const std::string &head, const std::string &name) -> std::string
    {
        const auto at = head.find("\r\n" + name + ": ");
        const auto from = at + name.size() + 4;
        return at == std::string::npos ? "" : head.substr(from, head.find("\r\n", from) - from);
    }

    RawScript m_script;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_requests = 0;
    std::thread m_thread;
};

} // namespace KingCup
