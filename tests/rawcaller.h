// A caller that sends raw bytes, for requests that no correct client would send. It uses blocking calls in a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace KingCup
{

/// What a raw caller does after it has sent its bytes.
enum class RawAfter {
    Read, ///< reads until the server closes, or until `timeoutSeconds` pass without a byte
    Close, ///< closes the connection at once
};

struct RawAnswer {
    std::string text;
    bool isClosed = false; ///< by the server
    bool isReset = false; ///< closed by a reset, not in order
};

/// Sends `bytes` to a port of the loopback address and collects the answer.
/// `more`: called when these are sent, until it returns nothing; what it returns is sent too.
inline auto rawCall(int port, std::string bytes, RawAfter after, int timeoutSeconds = 5, std::function<std::string()> more = nullptr) -> std::future<RawAnswer>
{
    return std::async(std::launch::async, [port, bytes = std::move(bytes), after, timeoutSeconds, more = std::move(more)]() mutable {
        const int socketFd = socket(AF_INET, SOCK_STREAM, 0);
        const timeval limit {timeoutSeconds, 0};
        setsockopt(socketFd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        setsockopt(socketFd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        RawAnswer answer;
        if (connect(socketFd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
            std::size_t sent = 0;
            ssize_t size = 1;
            while (sent < bytes.size() && size > 0) {
                size = ::send(socketFd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
                sent += static_cast<std::size_t>(size > 0 ? size : 0);
                if (sent == bytes.size() && more) {
                    bytes += more();
                }
            }
            std::array<char, 4096> buffer {};
            while (after == RawAfter::Read && (size = recv(socketFd, buffer.data(), buffer.size(), 0)) > 0) {
                answer.text.append(buffer.data(), static_cast<std::size_t>(size));
            }
            answer.isReset = size < 0 && errno == ECONNRESET;
            answer.isClosed = size == 0 || answer.isReset;
        }
        ::close(socketFd);
        return answer;
    });
}

/// Sends the head at once, and a body of as many bytes as it states one by one, with this pause before each; then reads as rawCall() does.
inline auto rawCallByPieces(int port, std::string head, int bodyBytes, std::chrono::milliseconds pause, int timeoutSeconds) -> std::future<RawAnswer>
{
    return rawCall(port, std::move(head), RawAfter::Read, timeoutSeconds, [left = bodyBytes, pause]() mutable {
        std::this_thread::sleep_for(pause);
        return left-- > 0 ? "b" : "";
    });
}

} // namespace KingCup
