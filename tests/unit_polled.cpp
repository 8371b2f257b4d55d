// Ends of connections whose reading is paused. Run under valgrind as well (memcheck_unit_polled): a use after free crashes only sometimes.
#include "net/tcpstream.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <memory>
#include <netinet/in.h>
#include <random>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace KingCup;

namespace
{

constexpr auto Patience = Duration::seconds(10);

auto connectTo(int port) -> int
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    return descriptor;
}

auto closeWithReset(int descriptor) -> void
{
    const linger now {.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(descriptor);
}

/// Accepts connections and destroys each within its onEnd.
class Acceptor
{
public:
    explicit Acceptor(EventLoop &loop)
        : m_listener(loop, {"127.0.0.1", 0}, {}, [this](std::unique_ptr<TcpStream> stream) { accept(std::move(stream)); })
    {
    }
    auto port() const -> int
    {
        return m_listener.port();
    }
    auto ended() const -> int
    {
        return m_ended;
    }

    std::set<std::shared_ptr<TcpStream>> streams;

private:
    auto accept(std::unique_ptr<TcpStream> accepted) -> void
    {
        const std::shared_ptr<TcpStream> stream = std::move(accepted);
        streams.insert(stream);
        stream->onEnd = [this, raw = stream.get()](TcpEnd) {
            ++m_ended;
            std::erase_if(streams, [&](const auto &held) { return held.get() == raw; });
        };
    }

    int m_ended = 0;
    TcpListener m_listener;
};

} // namespace

TEST_CASE("connections that are reset while reading from them is paused end once, and nothing calls them afterwards")
{
    // Guards against callbacks of the event library into a connection that its owner has destroyed when it was told of the end.
    constexpr std::size_t Connections = 16;
    EventLoop loop;
    Acceptor acceptor(loop);
    for (int round = 1; round <= 3; ++round) {
        std::vector<int> callers;
        while (callers.size() < Connections) {
            callers.push_back(connectTo(acceptor.port()));
        }
        REQUIRE(loop.runUntil([&] { return acceptor.streams.size() == Connections; }, Patience));
        for (const auto &stream : acceptor.streams) {
            stream->pauseReading();
        }
        loop.runUntil([] { return false; }, Duration::millis(20));
        for (const int caller : callers) {
            closeWithReset(caller);
        }
        REQUIRE(loop.runUntil([&] { return acceptor.ended() == round * static_cast<int>(Connections); }, Patience));
        CHECK(acceptor.streams.empty());
    }
}

TEST_CASE("connections survive drawn ends: resets, half closes, pauses, and streams that are destroyed at any moment")
{
    // Guards against orders of events in which a descriptor's callback outlives its owner.
    std::mt19937 random(5);
    const auto draw = [&](int most) {
        return std::uniform_int_distribution<int>(0, most)(random);
    };
    EventLoop loop;
    Acceptor acceptor(loop);
    std::vector<int> callers;
    for (int step = 0; step < 600; ++step) {
        if (callers.size() < 24) {
            callers.push_back(connectTo(acceptor.port()));
        }
        const auto chosen = callers.begin() + draw(static_cast<int>(callers.size()) - 1);
        switch (draw(6)) {
        case 0:
            closeWithReset(*chosen);
            callers.erase(chosen);
            break;
        case 1:
            close(*chosen);
            callers.erase(chosen);
            break;
        case 2:
            shutdown(*chosen, SHUT_WR);
            break;
        case 3: {
            const std::string bytes(static_cast<std::size_t>(draw(60000)), 'x');
            send(*chosen, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            break;
        }
        default:
            for (auto stream = acceptor.streams.begin(); stream != acceptor.streams.end();) {
                const auto what = draw(9);
                if (what < 3) {
                    (*stream)->pauseReading();
                } else if (what < 5) {
                    (*stream)->resumeReading();
                } else if (what == 5) {
                    (*stream)->write(std::string(static_cast<std::size_t>(draw(200000)), 'y'));
                } else if (what == 6) {
                    (*stream)->finishWriting();
                }
                stream = what == 7 && draw(3) == 0 ? acceptor.streams.erase(stream) : std::next(stream);
            }
        }
        if (draw(2) == 0) {
            loop.runUntil([] { return false; }, Duration::millis(1));
        }
    }
    for (const int caller : callers) {
        closeWithReset(caller);
    }
    acceptor.streams.clear();
    loop.runUntil([] { return false; }, Duration::millis(20));
    SUCCEED();
}
