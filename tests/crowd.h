// A crowd of clients that send raw bytes without regard for limits, time or the server's answers, all in the test's own thread.
//
// Index of sections (search for [SECTION]):
//   CrowdRequest   what each client sends
//   Crowd          the clients
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace KingCup
{

// [SECTION] CrowdRequest

/// The bytes of one request: a head, then a body of one repeated piece. Only the piece is stored, so that a crowd costs the test little memory.
struct CrowdRequest {
    std::string head; ///< with its blank line, unless the request is to end within it
    std::string piece; ///< repeated
    std::uint64_t bodyBytes = 0; ///< length of the repeated pieces together
    std::string tail; ///< after the body
    std::uint64_t missing = 0; ///< bytes at the end that are never sent; the connection stays open

    auto size() const -> std::uint64_t
    {
        return head.size() + bodyBytes + tail.size();
    }
    /// Some of the bytes from `offset` on; empty at the end.
    auto from(std::uint64_t offset) const -> std::string_view
    {
        if (offset < head.size()) {
            return std::string_view(head).substr(offset);
        }
        offset -= head.size();
        if (offset < bodyBytes) {
            return std::string_view(piece).substr(offset % piece.size()).substr(0, bodyBytes - offset);
        }
        return std::string_view(tail).substr(std::min<std::uint64_t>(offset - bodyBytes, tail.size()));
    }
};

/// A body of `bytes` with its length announced. `lines` are the request line and the headers, each with its line end.
inline auto announcedRequest(const std::string &lines, std::uint64_t bytes, std::uint64_t missing = 0) -> CrowdRequest
{
    constexpr std::size_t PieceBytes = 65536;
    return {lines + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n", std::string(PieceBytes, 'x'), bytes, "", missing};
}

/// A body of `bytes` in chunks of `chunkBytes`, which divides it.
inline auto chunkedRequest(const std::string &lines, std::uint64_t bytes, std::size_t chunkBytes, std::uint64_t missing = 0) -> CrowdRequest
{
    constexpr std::size_t PieceBytes = 65536;
    std::array<char, 24> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    const auto chunk = size.data() + std::string(chunkBytes, 'x') + "\r\n";
    std::string piece;
    do {
        piece += chunk;
    } while (piece.size() + chunk.size() <= PieceBytes);
    const auto chunks = bytes / chunkBytes;
    return {lines + "Transfer-Encoding: chunked\r\n\r\n", piece, chunks * chunk.size(), "0\r\n\r\n", missing};
}

/// Header lines that take up far more memory than their bytes: fourteen thousand, each with a name of one character and no value.
inline auto tinyHeaders() -> std::string
{
    constexpr int Lines = 14'000;
    std::string text;
    for (int i = 0; i < Lines; ++i) {
        text += "a:\r\n";
    }
    return text;
}

// [SECTION] Crowd

class Crowd
{
public:
    enum class Reads { Everything, Nothing };

    Crowd(int port, int clients, CrowdRequest request, Reads reads = Reads::Everything)
        : Crowd(std::vector<int>(static_cast<std::size_t>(clients), port), std::move(request), reads)
    {
    }
    /// One client for each of the ports.
    Crowd(const std::vector<int> &ports, CrowdRequest request, Reads reads = Reads::Everything)
        : m_request(std::move(request))
        , m_reads(reads)
    {
        for (const int port : ports) {
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port));
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            Client client;
            client.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            REQUIRE(client.socket >= 0);
            const int result = connect(client.socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
            REQUIRE((result == 0 || errno == EINPROGRESS));
            m_clients.push_back(client);
        }
    }
    ~Crowd()
    {
        for (const auto &client : m_clients) {
            ::close(client.socket);
        }
    }
    Crowd(const Crowd &) = delete;
    auto operator=(const Crowd &) -> Crowd & = delete;

    /// Sends and reads until all clients have sent what they send or can't go on, and nothing has moved for a while.
    auto run() -> void
    {
        constexpr auto MaxTime = std::chrono::seconds(40);
        constexpr int MaxQuietRounds = 15;
        constexpr int RoundMillis = 100;
        const auto until = std::chrono::steady_clock::now() + MaxTime;
        int quietRounds = 0;
        while (quietRounds < MaxQuietRounds && std::chrono::steady_clock::now() < until) {
            quietRounds = step(RoundMillis) ? 0 : quietRounds + 1;
        }
    }
    /// Sends the next of the bytes that were left out, one for each client, and reads.
    auto sendOneMore() -> void
    {
        m_request.missing -= std::min<std::uint64_t>(m_request.missing, 1);
        step(0);
    }
    /// The number of clients that have received an answer with this status.
    auto answered(int status) const -> int
    {
        const auto line = "HTTP/1.1 " + std::to_string(status) + " ";
        return static_cast<int>(std::count_if(m_clients.begin(), m_clients.end(), [&](const Client &client) { return client.answer.starts_with(line); }));
    }
    auto unanswered() const -> int ///< clients whose connection has ended without an answer
    {
        return static_cast<int>(std::count_if(m_clients.begin(), m_clients.end(), [](const Client &client) { return client.isOver && client.answer.empty(); }));
    }

private:
    struct Client {
        int socket = -1;
        std::uint64_t sent = 0;
        bool hasSendFailed = false;
        bool isOver = false;
        std::string answer; ///< its beginning
    };

    auto toSend() const -> std::uint64_t
    {
        return m_request.size() - m_request.missing;
    }
    auto step(int waitMillis) -> bool
    {
        std::vector<pollfd> polled;
        for (const auto &client : m_clients) {
            const bool sends = !client.hasSendFailed && client.sent < toSend();
            const bool reads = m_reads == Reads::Everything;
            polled.push_back({client.isOver ? -1 : client.socket, static_cast<short>((sends ? POLLOUT : 0) | (reads ? POLLIN : 0)), 0});
        }
        ::poll(polled.data(), polled.size(), waitMillis);
        bool hasMoved = false;
        for (std::size_t i = 0; i < m_clients.size(); ++i) {
            auto &client = m_clients[i];
            hasMoved = ((polled[i].revents & POLLIN) != 0 && receive(client)) || hasMoved;
            hasMoved = ((polled[i].revents & POLLOUT) != 0 && send(client)) || hasMoved;
            client.isOver = client.isOver || (m_reads == Reads::Nothing && (polled[i].revents & (POLLERR | POLLHUP)) != 0);
        }
        return hasMoved;
    }
    auto send(Client &client) -> bool
    {
        const auto left = toSend() - std::min(client.sent, toSend());
        const auto bytes = m_request.from(client.sent).substr(0, left);
        const auto size = ::send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        client.hasSendFailed = size < 0 && errno != EAGAIN;
        client.sent += static_cast<std::uint64_t>(std::max(size, ssize_t {0}));
        return size > 0;
    }
    /// A client whose sends fail still reads: the answer may have come before.
    static auto receive(Client &client) -> bool
    {
        constexpr std::size_t KeptBytes = 4096;
        std::array<char, 65536> buffer; // not cleared: written before it is read
        const auto size = recv(client.socket, buffer.data(), buffer.size(), 0);
        if (size > 0 && client.answer.size() < KeptBytes) {
            client.answer.append(buffer.data(), std::min(static_cast<std::size_t>(size), KeptBytes));
        }
        client.isOver = size == 0 || (size < 0 && errno != EAGAIN);
        return size > 0 || client.isOver;
    }

    CrowdRequest m_request;
    Reads m_reads;
    std::vector<Client> m_clients;
};

} // namespace KingCup
