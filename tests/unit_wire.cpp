#include "kingcup/wire.pb.h"
#include "net/http.h"
#include "wire/framing.h"
#include "wire/peer.h"

#include "wire/packedrows.h"
#include <algorithm>

#include <catch2/catch.hpp>
#include <future>
#include <map>
#include <optional>
#include <thread>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);

auto dataMessage(std::string body) -> kingcup::wire::Data
{
    kingcup::wire::Data data;
    data.set_body(std::move(body));
    return data;
}

auto bodyOf(std::string_view message) -> std::string
{
    kingcup::wire::Data data;
    return data.ParseFromArray(message.data(), static_cast<int>(message.size())) ? data.body() : "not a message";
}

/// Records the events of a stream.
struct StreamRecorder {
    PeerStreamPtr stream;
    std::vector<std::string> bodies;
    std::size_t received = 0;
    bool remoteFinished = false;
    int ends = 0;
    StreamEnd end = StreamEnd::Complete;

    auto watch(PeerStreamPtr watched) -> void
    {
        stream = std::move(watched);
        stream->onMessage = [this](std::string_view message) {
            bodies.push_back(bodyOf(message));
            received += bodies.back().size();
        };
        stream->onRemoteFinished = [this] {
            remoteFinished = true;
        };
        stream->onEnd = [this](StreamEnd how) {
            ++ends;
            end = how;
        };
    }
};

/// Echoes each message and finishes after the remote side.
auto echo(const PeerStreamPtr &stream) -> void
{
    stream->onMessage = [weak = std::weak_ptr(stream)](std::string_view message) {
        weak.lock()->send(dataMessage(bodyOf(message)));
    };
    stream->onRemoteFinished = [weak = std::weak_ptr(stream)] {
        weak.lock()->finish();
    };
}

struct Peers {
    EventLoop loop;
    std::function<void(const PeerStreamPtr &)> onStream = echo;
    std::optional<PeerServer> server;
    std::optional<PeerClient> client;
    int ups = 0;
    int downs = 0;

    explicit Peers(const PeerOptions &options = {})
    {
        server.emplace(
            loop, Endpoint {}, [this](const PeerStreamPtr &stream) { onStream(stream); }, options);
        client.emplace(loop, Endpoint {"127.0.0.1", server->port()}, options);
        client->onUp = [this] {
            ++ups;
        };
        client->onDown = [this] {
            ++downs;
        };
        REQUIRE(loop.runUntil([&] { return client->isConnected(); }, Limit));
    }
    auto waitFor(const std::function<bool()> &done) -> bool
    {
        return loop.runUntil(done, Limit);
    }
    auto settle() -> void
    {
        loop.runUntil([] { return false; }, Duration::millis(150));
    }
};

/// An echo server with a loop and a thread of its own. Its destruction closes its sockets as the death of a process does.
class ServerThread
{
public:
    explicit ServerThread(int port)
    {
        std::promise<int> listening;
        auto known = listening.get_future();
        m_thread = std::thread([this, port, &listening] {
            EventLoop loop;
            const PeerServer server(loop, Endpoint {"127.0.0.1", port}, echo);
            m_loop = &loop;
            listening.set_value(server.port());
            loop.run();
        });
        m_port = known.get();
    }
    ~ServerThread()
    {
        m_loop->stop();
        m_thread.join();
    }
    ServerThread(const ServerThread &) = delete;
    auto operator=(const ServerThread &) -> ServerThread & = delete;

    auto port() const -> int
    {
        return m_port;
    }

private:
    std::thread m_thread;
    EventLoop *m_loop = nullptr;
    int m_port = 0;
};

} // namespace

TEST_CASE("messages are echoed complete and in order, and the stream ends as Complete")
{
    Peers peers;
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    for (int i = 0; i < 100; ++i) {
        watched.stream->send(dataMessage("message " + std::to_string(i)));
    }
    watched.stream->finish();
    REQUIRE(peers.waitFor([&] { return watched.ends > 0; }));
    REQUIRE(watched.end == StreamEnd::Complete);
    REQUIRE(watched.remoteFinished);
    REQUIRE(watched.bodies.size() == 100);
    REQUIRE(watched.bodies[99] == "message 99");
    REQUIRE_FALSE(watched.stream->isOpen());
}

TEST_CASE("messages of many streams on one connection aren't mixed up")
{
    Peers peers;
    constexpr int Count = 1000;
    std::vector<StreamRecorder> all(Count);
    for (int i = 0; i < Count; ++i) {
        auto &watched = all[static_cast<std::size_t>(i)];
        watched.watch(peers.client->open("/request"));
        watched.stream->send(dataMessage(std::to_string(i)));
        watched.stream->finish();
    }
    REQUIRE(peers.waitFor([&] { return std::all_of(all.begin(), all.end(), [](const StreamRecorder &one) { return one.ends == 1; }); }));
    for (int i = 0; i < Count; ++i) {
        REQUIRE(all[static_cast<std::size_t>(i)].bodies == std::vector<std::string> {std::to_string(i)});
    }
}

TEST_CASE("a message larger than the flow-control window gets through")
{
    Peers peers(PeerOptions {.streamWindow = 64U << 10U});
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    bool drained = false;
    watched.stream->onDrained = [&] {
        drained = true;
    };
    watched.stream->send(dataMessage(std::string(10U << 20U, 'x')));
    REQUIRE(watched.stream->pendingBytes() > (10U << 20U));
    REQUIRE(peers.waitFor([&] { return !watched.bodies.empty(); }));
    REQUIRE(watched.received == (10U << 20U));
    REQUIRE(drained);
    REQUIRE(watched.stream->pendingBytes() == 0);
}

TEST_CASE("a paused receiver blocks the sender of its own stream only")
{
    // A slow caller receives its answer slowly. Without flow control, the whole answer would be buffered in the gateway's memory; with flow
    // control of the connection instead of the stream, every other caller would wait for the slow one.
    constexpr std::size_t Window = 64U << 10U;
    constexpr std::size_t Messages = 2000;
    Peers peers(PeerOptions {.streamWindow = Window});
    std::map<std::string, PeerStreamPtr> served;
    peers.onStream = [&](const PeerStreamPtr &stream) {
        served[stream->path()] = stream;
        for (std::size_t i = 0; stream->path() == "/slow" && i < Messages; ++i) {
            stream->send(dataMessage(std::string(1000, 's')));
        }
        stream->finish();
    };
    StreamRecorder slow;
    slow.watch(peers.client->open("/slow"));
    slow.stream->pause();
    REQUIRE(peers.waitFor([&] { return served.count("/slow") == 1; }));
    peers.settle();
    REQUIRE(slow.bodies.empty());
    REQUIRE(served["/slow"]->pendingBytes() > Messages * 1000 - 2 * Window);

    StreamRecorder other;
    other.watch(peers.client->open("/other"));
    other.stream->finish();
    REQUIRE(peers.waitFor([&] { return other.ends == 1; }));
    REQUIRE(other.end == StreamEnd::Complete);

    slow.stream->finish();
    slow.stream->resume();
    REQUIRE(peers.waitFor([&] { return slow.ends == 1; }));
    REQUIRE(slow.end == StreamEnd::Complete);
    REQUIRE(slow.bodies.size() == Messages);
}

TEST_CASE("a receiver may pause within onMessage")
{
    Peers peers;
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    int taken = 0;
    watched.stream->onMessage = [&](std::string_view) {
        ++taken;
        watched.stream->pause();
    };
    for (int i = 0; i < 3; ++i) {
        watched.stream->send(dataMessage("m"));
    }
    watched.stream->finish();
    for (int expected = 1; expected <= 3; ++expected) {
        REQUIRE(peers.waitFor([&] { return taken == expected; }));
        peers.settle();
        REQUIRE(taken == expected);
        REQUIRE(watched.ends == 0);
        watched.stream->resume();
    }
    REQUIRE(peers.waitFor([&] { return watched.ends == 1; }));
    REQUIRE(watched.end == StreamEnd::Complete);
}

TEST_CASE("a stream that is reset ends as Broken at both sides")
{
    Peers peers;
    StreamRecorder served;
    peers.onStream = [&](const PeerStreamPtr &stream) {
        served.watch(stream);
    };
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    REQUIRE(peers.waitFor([&] { return served.stream != nullptr; }));
    watched.stream->reset();
    REQUIRE(peers.waitFor([&] { return watched.ends == 1 && served.ends == 1; }));
    REQUIRE(watched.end == StreamEnd::Broken);
    REQUIRE(served.end == StreamEnd::Broken);
    REQUIRE(peers.client->isConnected());
}

TEST_CASE("a refused stream ends as Refused at the client")
{
    Peers peers;
    peers.onStream = [](const PeerStreamPtr &stream) {
        stream->refuse();
    };
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    watched.stream->send(dataMessage("never taken"));
    REQUIRE(peers.waitFor([&] { return watched.ends == 1; }));
    REQUIRE(watched.end == StreamEnd::Refused);
}

TEST_CASE("a stream is not refused once its answer has begun")
{
    // The client would take "refused" for "not executed" and send the request again, so that it would be executed twice.
    Peers peers;
    peers.onStream = [](const PeerStreamPtr &stream) {
        stream->send(dataMessage("begun"));
        stream->onDrained = [weak = std::weak_ptr(stream)] {
            weak.lock()->refuse();
        };
    };
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    REQUIRE(peers.waitFor([&] { return watched.ends == 1; }));
    REQUIRE(watched.end == StreamEnd::Broken);
}

TEST_CASE("a stream that was opened but never sent ends as Refused")
{
    Peers peers;
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    watched.stream->send(dataMessage("never sent"));
    peers.client->reconnect();
    REQUIRE(watched.ends == 0);
    REQUIRE(peers.waitFor([&] { return watched.ends == 1; }));
    REQUIRE(watched.end == StreamEnd::Refused);
}

TEST_CASE("the death of a server ends each stream once, then the connection; the client reconnects")
{
    // An agent dies with requests in flight. Each of them must be notified, exactly once and before the loss of the connection is
    // reported; otherwise a caller waits for ever.
    auto server = std::make_unique<ServerThread>(0);
    const int port = server->port();
    EventLoop loop;
    PeerClient client(loop, Endpoint {"127.0.0.1", port});
    int ups = 0;
    int downs = 0;
    std::vector<StreamRecorder> all(10);
    int endsAtDown = 0;
    client.onUp = [&] {
        ++ups;
    };
    client.onDown = [&] {
        ++downs;
        for (const auto &watched : all) {
            endsAtDown += watched.ends;
        }
    };
    REQUIRE(loop.runUntil([&] { return client.isConnected(); }, Limit));
    for (auto &watched : all) {
        watched.watch(client.open("/request"));
        watched.stream->send(dataMessage("echoed"));
    }
    REQUIRE(loop.runUntil([&] { return std::all_of(all.begin(), all.end(), [](const StreamRecorder &one) { return one.received > 0; }); }, Limit));

    server.reset();
    REQUIRE(loop.runUntil([&] { return downs == 1; }, Limit));
    REQUIRE(endsAtDown == 10);
    REQUIRE(all[0].end == StreamEnd::Broken);
    REQUIRE_FALSE(client.isConnected());
    REQUIRE(client.open("/request") == nullptr);

    server = std::make_unique<ServerThread>(port);
    REQUIRE(loop.runUntil([&] { return client.isConnected(); }, Limit));
    REQUIRE(ups == 2);
    REQUIRE(downs == 1);
    REQUIRE(all[0].ends == 1);
}

TEST_CASE("the destruction of a client ends its streams at the server")
{
    Peers peers;
    StreamRecorder served;
    peers.onStream = [&](const PeerStreamPtr &stream) {
        served.watch(stream);
    };
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    REQUIRE(peers.waitFor([&] { return served.stream != nullptr; }));
    peers.client.reset();
    REQUIRE(peers.waitFor([&] { return served.ends == 1 && watched.ends == 1; }));
    REQUIRE(served.end == StreamEnd::Broken);
    REQUIRE(peers.waitFor([&] { return peers.server->connections() == 0; }));
}

TEST_CASE("a message over the limit breaks the connection")
{
    Peers peers(PeerOptions {.maxMessage = 1000});
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    watched.stream->send(dataMessage(std::string(2000, 'x')));
    REQUIRE(peers.waitFor([&] { return peers.downs == 1; }));
    REQUIRE(watched.end == StreamEnd::Broken);
}

TEST_CASE("a stream that finishes in the middle of a message does not end as Complete")
{
    MessageReader reader(1000);
    std::string bytes;
    appendMessage(bytes, dataMessage("whole"));
    reader.append(bytes.substr(0, bytes.size() - 1));
    REQUIRE(reader.take().state == FramingState::Incomplete);
    REQUIRE(reader.bufferedBytes() == bytes.size() - 1);
    reader.append(bytes.substr(bytes.size() - 1));
    const auto message = reader.take();
    REQUIRE(message.state == FramingState::Message);
    REQUIRE(bodyOf(message.bytes) == "whole");
    REQUIRE(reader.take().state == FramingState::Incomplete);
}

TEST_CASE("invalid bytes close their connection and affect no other")
{
    // A port scanner, or a caller with a wrong port number, connects to the port of an agent.
    Peers peers;
    HttpClient stranger(peers.loop);
    bool done = false;
    HttpAnswer answer;
    startShortCall(
        stranger, HttpCall {.server = {"127.0.0.1", peers.server->port()}, .method = "POST", .body = std::string(100000, '\xff')}, [&](const auto &got) {
            done = true;
            answer = got;
        });
    REQUIRE(peers.waitFor([&] { return done; }));
    REQUIRE(answer.end == CallEnd::Broken);
    REQUIRE(peers.waitFor([&] { return peers.server->connections() == 1; }));
    StreamRecorder watched;
    watched.watch(peers.client->open("/request"));
    watched.stream->finish();
    REQUIRE(peers.waitFor([&] { return watched.ends == 1; }));
    REQUIRE(watched.end == StreamEnd::Complete);
}

TEST_CASE("a connection to a server that never answers is dropped and retried")
{
    // The kernel accepts connections for a frozen process too. A gateway must not take it for a live agent.
    Peers peers(PeerOptions {.connectTimeout = Duration::millis(100)});
    int calls = 0;
    HttpServer silent(peers.loop, HttpServerOptions {}, [&](const auto &) { ++calls; });
    PeerClient lonely(peers.loop, Endpoint {"127.0.0.1", silent.port()}, PeerOptions {.connectTimeout = Duration::millis(50)});
    bool up = false;
    lonely.onUp = [&] {
        up = true;
    };
    peers.settle();
    REQUIRE_FALSE(up);
    REQUIRE_FALSE(lonely.isConnected());
}

TEST_CASE("rows are compressed, and invalid packed rows are refused")
{
    Wire::StoreRows rows;
    rows.set_table(1);
    rows.set_up_to(7);
    for (int i = 0; i < 1000; ++i) {
        auto *row = rows.add_rows();
        row->set_key("target-" + std::to_string(i));
        row->set_value(R"({"service":"assistant","zone":"north","state":"ready","slots":64,"sequence":)" + std::to_string(i) + "}");
    }
    const auto packed = packRows(rows);
    REQUIRE(packed.table() == 1);
    REQUIRE(packed.ByteSizeLong() * 5 < rows.ByteSizeLong());
    REQUIRE(unpackRows(packed)->SerializeAsString() == rows.SerializeAsString());
    REQUIRE(unpackRows(rows)->SerializeAsString() == rows.SerializeAsString());

    auto cut = packed;
    cut.set_packed(packed.packed().substr(0, packed.packed().size() / 2));
    REQUIRE_FALSE(unpackRows(cut));
    auto endless = packed;
    endless.set_unpacked_bytes(1ULL << 60U);
    REQUIRE_FALSE(unpackRows(endless));
    auto wrong = packed;
    wrong.set_unpacked_bytes(packed.unpacked_bytes() + 1);
    REQUIRE_FALSE(unpackRows(wrong));
}

TEST_CASE("a message that can't be held is refused while it is received, and its sender knows that it wasn't processed")
{
    // Guards against messages that several processes send at once and that together exhaust the receiver's memory.
    constexpr std::size_t Large = 4U << 20U;
    const auto load = std::make_shared<CallerLoad>(CallerBounds {.bytes = 3U << 20U, .reserved = 0});
    Peers peers;
    int messages = 0;
    peers.onStream = [&](const PeerStreamPtr &stream) {
        stream->chargeTo(load);
        stream->onMessage = [&](std::string_view /*message*/) {
            ++messages;
        };
    };
    StreamRecorder large;
    large.watch(peers.client->open("/request"));
    large.stream->send(dataMessage(std::string(Large, 'x')));
    REQUIRE(peers.loop.runUntil([&] { return large.ends == 1; }, Limit));
    CHECK(large.end == StreamEnd::Refused);
    CHECK(load->refused() == 1);
    CHECK(messages == 0);
    CHECK(load->held() == 0);
    StreamRecorder small;
    small.watch(peers.client->open("/request"));
    small.stream->send(dataMessage("small"));
    CHECK(peers.loop.runUntil([&] { return messages == 1; }, Limit));
    CHECK(load->held() == 0);
}
