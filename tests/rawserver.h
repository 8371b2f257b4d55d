// A server that reads requests as far as a test says, answers raw bytes, and ends its connections in a way that a test chooses. It uses blocking calls in a
// thread of its own, so that it isn't ordered with the event loop under test.
//
// Index of sections (search for [SECTION]):
//   Sockets     blocking calls on the loopback address
//   RawScript   an answer and the end of its connection
//   RawServer   plays one script at each connection
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

// [SECTION] Sockets

inline auto loopbackAddress(int port) -> sockaddr_in
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on a port that the kernel chooses. The kernel takes little of a request that isn't read.
class RawListener
{
public:
    RawListener()
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = loopbackAddress(0);
        constexpr int Backlog = 64;
        constexpr int ReceiveBytes = 16384;
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes, sizeof ReceiveBytes); // inherited by accepted connections
        if (bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_descriptor, Backlog) != 0) {
            throw std::runtime_error("can't listen on the loopback address");
        }
        socklen_t size = sizeof address;
        getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~RawListener()
    {
        ::close(m_descriptor);
    }
    RawListener(const RawListener &) = delete;
    auto operator=(const RawListener &) -> RawListener & = delete;

    auto port() const -> int
    {
        return m_port;
    }
    /// Waits for a connection, on which reads wait for two seconds at most. Negative once stop() was called.
    auto accept() const -> int
    {
        const int connection = ::accept(m_descriptor, nullptr, nullptr);
        const timeval limit {2, 0};
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        return connection;
    }
    auto stop() const -> void
    {
        shutdown(m_descriptor, SHUT_RDWR);
    }

private:
    int m_descriptor;
    int m_port = 0;
};

/// Reads until the head of a request is whole; bytes of its body may follow it. Empty if the connection ends before.
inline auto readRequestHead(int connection) -> std::string
{
    std::array<char, 4096> buffer {};
    std::string received;
    while (received.find("\r\n\r\n") == std::string::npos) {
        const auto size = recv(connection, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return "";
        }
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return received;
}

inline auto headerOf(const std::string &head, const std::string &name) -> std::string
{
    const auto at = head.find("\r\n" + name + ": ");
    const auto from = at + name.size() + 4;
    return at == std::string::npos ? "" : head.substr(from, head.find("\r\n", from) - from);
}

// [SECTION] RawScript

enum class RawEnd {
    Reset, ///< by a reset
    Close, ///< by close(): the kernel resets the connection if received bytes weren't read
    CloseRead, ///< by close() after a read of what has come so far, 16 KiB at most: the kernel resets the connection, or ends it in order and resets it when
               ///< further bytes come
    FinishThenReset, ///< sending ends in order; a reset follows a little later
    FinishThenStall, ///< sending ends in order; nothing is read any more for some seconds
    Drain, ///< in order: sending ends, and all that still comes is read
};

struct RawScript {
    std::string text; ///< sent when the head of a request has been read; "%" stands for the value of its header Attempt-Id
    bool readsBody = false; ///< the whole of the request is read before the answer; it must have a Content-Length
    std::chrono::milliseconds endsAfter {0}; ///< after the answer
    RawEnd end = RawEnd::Close;
};

/// Ends a connection in order or by a reset. Its descriptor is still to be closed, which brings the reset.
inline auto endRaw(int connection, RawEnd end) -> void
{
    constexpr std::chrono::milliseconds ResetAfter {20};
    constexpr std::chrono::seconds StallTime {4};
    constexpr int MaxReads = 4;
    std::array<char, 4096> buffer {};
    if (end == RawEnd::Drain || end == RawEnd::FinishThenReset || end == RawEnd::FinishThenStall) {
        shutdown(connection, SHUT_WR);
    }
    if (end == RawEnd::Drain) {
        while (recv(connection, buffer.data(), buffer.size(), 0) > 0) { }
    } else if (end == RawEnd::CloseRead) {
        for (int i = 0; i < MaxReads && recv(connection, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0; ++i) { }
    } else if (end == RawEnd::FinishThenReset) {
        std::this_thread::sleep_for(ResetAfter);
    } else if (end == RawEnd::FinishThenStall) {
        std::this_thread::sleep_for(StallTime);
    }
    if (end == RawEnd::Reset || end == RawEnd::FinishThenReset) {
        const linger atOnce {1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    }
}

/// Answers a request of which `received` was read, and ends its connection.
inline auto playRaw(int connection, const RawScript &script, const std::string &received) -> void
{
    if (script.readsBody) {
        std::array<char, 4096> buffer {};
        const auto whole = received.find("\r\n\r\n") + 4 + std::stoul("0" + headerOf(received, "Content-Length"));
        std::size_t count = received.size();
        for (ssize_t size = 1; count < whole && size > 0; count += static_cast<std::size_t>(std::max<ssize_t>(size, 0))) {
            size = recv(connection, buffer.data(), buffer.size(), 0);
        }
    }
    auto text = script.text;
    if (const auto at = text.find('%'); at != std::string::npos) {
        text.replace(at, 1, headerOf(received, "Attempt-Id"));
    }
    ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(script.endsAfter);
    endRaw(connection, script.end);
}

// [SECTION] RawServer

/// One request on each connection, one connection at a time.
class RawServer
{
public:
    explicit RawServer(RawScript script)
        : m_script(std::move(script))
        , m_thread([this] { run(); })
    {
    }
    ~RawServer()
    {
        m_isStopping = true;
        m_listener.stop();
        m_thread.join();
    }
    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    auto endpoint() const -> Endpoint
    {
        return {"127.0.0.1", m_listener.port()};
    }
    auto requests() const -> int
    {
        return m_requests;
    }

private:
    auto run() -> void
    {
        while (!m_isStopping) {
            const int connection = m_listener.accept();
            if (connection < 0) {
                continue;
            }
            const auto received = readRequestHead(connection);
            if (!received.empty()) {
                ++m_requests;
                playRaw(connection, m_script, received);
            }
            close(connection);
        }
    }

    RawScript m_script;
    RawListener m_listener;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_requests = 0;
    std::thread m_thread;
};

} // namespace KingCup
