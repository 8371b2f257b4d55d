// A client that sends a request and reads its answer slowly, in the test's own thread.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <cerrno>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace KingCup
{

/// A client that sends its bytes at once and reads only when it is asked to.
class SlowReader
{
public:
    SlowReader(int port, const std::string &bytes)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof ReceiveBuffer);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    ~SlowReader()
    {
        ::close(m_socket);
    }
    SlowReader(const SlowReader &) = delete;
    auto operator=(const SlowReader &) -> SlowReader & = delete;

    /// Reads at most `limit` bytes that are there now.
    auto read(std::size_t limit) -> std::size_t
    {
        std::string buffer(limit, '\0');
        const auto size = recv(m_socket, buffer.data(), limit, MSG_DONTWAIT);
        isClosed = size == 0;
        isReset = isReset || (size < 0 && errno != EAGAIN);
        received += static_cast<std::size_t>(std::max(size, ssize_t {0}));
        constexpr std::size_t KeptBytes = 4096;
        text.append(buffer, 0, std::min(static_cast<std::size_t>(std::max(size, ssize_t {0})), KeptBytes - std::min(KeptBytes, text.size())));
        return static_cast<std::size_t>(std::max(size, ssize_t {0}));
    }

    auto write(const std::string &bytes) const -> void
    {
        ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    std::size_t received = 0;
    std::string text; ///< the beginning of what was received
    bool isClosed = false;
    bool isReset = false;

private:
    static constexpr int ReceiveBuffer = 16384;
    int m_socket;
};

} // namespace KingCup
