// Answers whose connection is reset while the request is still being sent: none counts as complete, whichever of the two sides the kernel reports first.
#include "net/http.h"
#include "net/httppool.h"
#include "net/tls.h"
#include "tests/certificates.h"
#include "tests/forwarder_fixture.h"
#include "tests/rawserver.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto TimeLimit = Duration::seconds(8);
constexpr int Tries = 6; ///< of a case in which two sides race
constexpr std::size_t UploadBytes = 4U << 20U; ///< more than the kernel takes at once
const std::string Unframed = "HTTP/1.1 200 OK\r\nAttempt-Id: %\r\nServer-Stamp: s\r\nConnection: close\r\n\r\npart of it";

struct ResetCase {
    const char *name;
    RawScript script;
};

auto resetCases() -> std::vector<ResetCase>
{
    using std::chrono::milliseconds;
    return {{"reset at once", {.text = Unframed, .end = RawEnd::Reset}},
            {"reset after 20 ms", {.text = Unframed, .endsAfter = milliseconds(20), .end = RawEnd::Reset}},
            {"reset after 100 ms", {.text = Unframed, .endsAfter = milliseconds(100), .end = RawEnd::Reset}},
            {"closed with unread bytes", {.text = Unframed, .endsAfter = milliseconds(50), .end = RawEnd::Close}},
            {"closed at once after some reading", {.text = Unframed, .end = RawEnd::CloseRead}},
            {"closed after 20 ms and some reading", {.text = Unframed, .endsAfter = milliseconds(20), .end = RawEnd::CloseRead}},
            {"ended in order at once, reset a little later", {.text = Unframed, .end = RawEnd::FinishThenReset}},
            {"ended in order after 20 ms, reset a little later", {.text = Unframed, .endsAfter = milliseconds(20), .end = RawEnd::FinishThenReset}},
            {"reset after the whole request", {.text = Unframed, .readsBody = true, .endsAfter = milliseconds(20), .end = RawEnd::Reset}}};
}

auto poolCall(EventLoop &loop, HttpPool &pool, const Endpoint &server, std::size_t bodyBytes) -> CallEnd
{
    auto end = std::make_shared<std::optional<CallEnd>>();
    PooledCall call;
    call.server = server;
    call.method = "POST";
    call.body = std::string(bodyBytes, 'b');
    call.onEnd = [end](const PooledEnd &got) {
        *end = got.end;
    };
    pool.start(std::move(call));
    REQUIRE(loop.runUntil([&] { return end->has_value(); }, TimeLimit));
    return **end;
}

auto clientCall(EventLoop &loop, HttpClient &client, const Endpoint &server, std::size_t bodyBytes) -> HttpAnswer
{
    auto answer = std::make_shared<std::optional<HttpAnswer>>();
    HttpCall call;
    call.server = server;
    call.method = "POST";
    call.body = std::string(bodyBytes, 'b');
    call.timeout = TimeLimit;
    startShortCall(client, std::move(call), [answer](const HttpAnswer &got) { *answer = got; });
    REQUIRE(loop.runUntil([&] { return answer->has_value(); }, TimeLimit));
    return **answer;
}

/// Makes the raw server all targets of a gateway.
auto addTargets(ForwarderFixture &fixture, const RawServer &server) -> void
{
    for (const auto *id : {"p1", "p2"}) {
        TargetDescription description;
        description.incarnation = {TargetId(id), 1};
        description.service = ServiceName("s");
        description.address = server.endpoint();
        description.slots = 8;
        fixture.dispatcher.targetSeen(description, fixture.loop.now());
    }
}

/// What a client gets that sends a long body.
auto callWithUpload(ForwarderFixture &fixture, const std::string &path, int number) -> std::string
{
    std::string request = "POST ";
    request.append(path).append(" HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-").append(std::to_string(number));
    request.append("\r\nConnection: close\r\nContent-Length: ").append(std::to_string(UploadBytes)).append("\r\n\r\n");
    auto answered = rawCall(fixture.server->port(), request.append(UploadBytes, 'b'), RawAfter::Read);
    REQUIRE(fixture.loop.runUntil([&] { return answered.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, TestTimeout));
    return answered.get().text;
}

/// A connection between a stream and a plain socket in the same thread, so that their steps have an order.
struct OrderedPair {
    EventLoop loop;
    std::unique_ptr<TcpStream> stream;
    int remote = -1;
    std::string received;
    std::optional<TcpEnd> end;

    OrderedPair()
    {
        const int listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(listener, 1) == 0);
        socklen_t size = sizeof address;
        getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
        stream = TcpStream::connect(loop, {"127.0.0.1", ntohs(address.sin_port)}, {});
        stream->onData = [this](std::string_view bytes) {
            received += bytes;
        };
        stream->onEnd = [this](TcpEnd how) {
            end = how;
        };
        REQUIRE(loop.runUntil([&] { return stream->isConnected(); }, TimeLimit));
        remote = accept(listener, nullptr, nullptr);
        ::close(listener);
    }
    ~OrderedPair()
    {
        endRemote(true);
    }
    auto endRemote(bool resets) -> void
    {
        if (remote >= 0) {
            const linger atOnce {resets ? 1 : 0, 0};
            setsockopt(remote, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
            ::close(std::exchange(remote, -1));
        }
    }
    auto run(Duration time) -> void
    {
        loop.runUntil([&] { return end.has_value(); }, time);
    }
    /// d: the remote side sends; S: it ends its sending; c: it reads a whole W; R, F: it resets or closes; w, W: the stream writes little or much; p: the loop
    /// runs.
    auto play(char step) -> void
    {
        switch (step) {
        case 'd':
            REQUIRE(::send(remote, "data", 4, MSG_NOSIGNAL) == 4);
            return;
        case 'S':
            shutdown(remote, SHUT_WR);
            return;
        case 'c':
            readUpload();
            return;
        case 'w':
            stream->write("more");
            return;
        case 'W':
            stream->write(std::string(UploadBytes, 'b'));
            return;
        case 'p':
            run(Duration::millis(20));
            return;
        default:
            std::array<char, 64> unread {};
            recv(remote, unread.data(), unread.size(), MSG_DONTWAIT); // a close with unread bytes would be a reset
            endRemote(step == 'R');
        }
    }
    auto readUpload() -> void
    {
        std::array<char, 65536> buffer {};
        const auto limit = loop.now() + TimeLimit;
        for (std::size_t count = 0; count < UploadBytes && loop.now() < limit;) {
            const auto size = recv(remote, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size > 0) {
                count += static_cast<std::size_t>(size);
            } else {
                loop.runUntil([] { return false; }, Duration::millis(1));
            }
        }
    }
};

auto endAwaitingDelivery(const std::string &steps) -> std::string
{
    OrderedPair pair;
    pair.stream->setAwaitsDelivery(true);
    for (const char step : steps) {
        pair.play(step);
    }
    pair.run(TimeLimit);
    REQUIRE(pair.end);
    return toString(*pair.end);
}

} // namespace

TEST_CASE("a connection that was reset never ends as closed in order, in any order of sending and receiving")
{
    // Guards against a reset that a send has taken note of, after which the kernel reports a plain end of the input.
    for (const std::string steps : {"dR", "dRw", "dRww", "dpR", "dpRw", "dpRww", "wdR", "wdRw", "wpdRw", "R", "Rw", "Rww", "pRw", "dF", "dpF", "F", "wdF"}) {
        OrderedPair pair;
        for (const char step : steps) {
            pair.play(step);
        }
        pair.run(TimeLimit);
        INFO(steps);
        REQUIRE(pair.end);
        CHECK(toString(*pair.end) == std::string(steps.find('R') == std::string::npos ? "closed" : "reset"));
        CHECK((pair.received == "data" || pair.received.empty()));
    }
}

TEST_CASE("a stream that awaits delivery ends as closed in order only if all that was written is delivered, in any order of sending and receiving")
{
    // Guards against a remote side that closes before it has taken all, and whose reset comes after the end of the input.
    for (const std::string steps : {"dFw", "dFww", "Fw", "WdSR", "WdSpR", "WpdSpR", "WpSpR", "WdSpF"}) {
        INFO(steps);
        CHECK(endAwaitingDelivery(steps) == "reset");
    }
    for (const std::string steps : {"dS", "wdS", "wdF", "dF", "dFpw", "WdcSpR", "WdScpF", "WdSc", "WdSpc", "WpdSpc"}) {
        INFO(steps);
        CHECK(endAwaitingDelivery(steps) == "closed");
    }
}

TEST_CASE("an answer without a length whose connection is reset ends a pooled call as Broken, also while the call is being sent")
{
    // Guards against a part of an answer that counts as the whole: at the gateway's calls to targets and to the store.
    for (const auto &[name, script] : resetCases()) {
        const RawServer server(script);
        EventLoop loop;
        HttpPool pool(loop);
        for (int i = 0; i < Tries; ++i) {
            INFO(name << ", try " << i);
            CHECK(poolCall(loop, pool, server.endpoint(), UploadBytes) == CallEnd::Broken);
        }
    }
}

TEST_CASE("an answer without a length whose connection is reset ends a client's call as Broken, also while the call is being sent")
{
    // Guards against a part of an answer that counts as the whole: at the agents' calls to engines and services, and at the platform's clients.
    for (const auto &[name, script] : resetCases()) {
        const RawServer server(script);
        EventLoop loop;
        HttpClient client(loop);
        for (int i = 0; i < Tries; ++i) {
            INFO(name << ", try " << i);
            CHECK(clientCall(loop, client, server.endpoint(), UploadBytes).end == CallEnd::Broken);
        }
    }
}

TEST_CASE("an answer without a length that a server ends in order is complete, also if it hasn't read the request yet")
{
    // Guards against servers whose early answers would be replaced by a failure.
    for (const bool readsBody : {true, false}) {
        const RawServer server({.text = Unframed, .readsBody = readsBody, .end = RawEnd::Drain});
        EventLoop loop;
        HttpPool pool(loop);
        HttpClient client(loop);
        INFO("reads the body first: " << readsBody);
        CHECK(poolCall(loop, pool, server.endpoint(), UploadBytes) == CallEnd::Complete);
        const auto answer = clientCall(loop, client, server.endpoint(), UploadBytes);
        CHECK(answer.end == CallEnd::Complete);
        CHECK(answer.body == "part of it");
    }
}

TEST_CASE("an answer without a length whose server stops reading the request ends a call as Broken before the call's time is over")
{
    // Guards against a call that waits for the delivery of its request until its deadline.
    const RawServer server({.text = Unframed, .end = RawEnd::FinishThenStall});
    EventLoop loop;
    HttpPoolOptions options;
    options.tcp.unackedTimeout = Duration::millis(500);
    HttpPool pool(loop, options);
    const auto startedAt = loop.now();
    CHECK(poolCall(loop, pool, server.endpoint(), UploadBytes) == CallEnd::Broken);
    CHECK(loop.now() - startedAt < Duration::seconds(3));
}

TEST_CASE("a client of a gateway gets no part of an answer whose target resets its connection during the upload as a success")
{
    for (const std::string path : {"/write/x", "/read/x"}) {
        for (const auto &[name, script] : resetCases()) {
            const RawServer target(script);
            ForwarderFixture fixture([](const std::string & /*target*/, const std::string & /*attempt*/) { return std::string(); });
            addTargets(fixture, target);
            for (int i = 0; i < Tries; ++i) {
                const auto text = callWithUpload(fixture, path, i);
                INFO(path << ", " << name << ", try " << i << ": " << text);
                CHECK(text.substr(0, 12) == "HTTP/1.1 502");
            }
            CHECK(target.requests() >= Tries);
        }
    }
}

TEST_CASE("a client of a gateway gets no part of a stream whose target ends it in order and resets its connection during the upload as a whole one")
{
    // Guards against the end mark of a stream that its target broke off between two events.
    const auto text = "HTTP/1.1 200 OK\r\nAttempt-Id: %\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\ndata: part of it\n\n";
    for (const std::string path : {"/chat/x", "/tell/x"}) {
        for (const auto end : {RawEnd::FinishThenReset, RawEnd::CloseRead}) {
            const RawServer target({.text = text, .end = end});
            ForwarderFixture fixture([](const std::string & /*target*/, const std::string & /*attempt*/) { return std::string(); });
            addTargets(fixture, target);
            for (int i = 0; i < Tries; ++i) {
                const auto answer = callWithUpload(fixture, path, i);
                constexpr std::size_t HeadBytes = 65536;
                HttpReader reader(HttpReader::Kind::Answer, HeadBytes);
                reader.feed(answer);
                INFO(path << ", try " << i << ": " << answer);
                CHECK((!reader.isComplete() || reader.head().status >= 500));
            }
        }
    }
}

TEST_CASE("an encrypted answer without a length is complete only if its server says that no more bytes follow")
{
    // Guards against a part of an answer that counts as the whole when anybody on the path closes the connection.
    TestAuthority authority;
    const auto files = authority.issue("server");
    const TlsContext context(TlsContext::Side::Server, {files.certificate, files.key, ""});
    for (const bool isFinished : {true, false}) {
        EventLoop loop;
        std::vector<std::unique_ptr<TcpStream>> streams;
        TcpOptions options;
        options.tls = context.native();
        TcpListener listener(loop, {"127.0.0.1", 0}, options, [&](std::unique_ptr<TcpStream> stream) {
            streams.push_back(std::move(stream));
            streams.back()->onData = [&loop, &streams, isFinished](std::string_view /*bytes*/) {
                streams.back()->onData = nullptr;
                streams.back()->write("HTTP/1.1 200 OK\r\n\r\nsome");
                if (isFinished) {
                    streams.back()->finishWriting();
                } else {
                    loop.post([&streams] { streams.back().reset(); });
                }
            };
        });
        HttpClient client(loop, {.authority = files.authority});
        const auto answer = clientCall(loop, client, {"127.0.0.1", listener.port()}, 1);
        INFO("says so: " << isFinished);
        CHECK(answer.end == (isFinished ? CallEnd::Complete : CallEnd::Broken));
    }
}

TEST_CASE("an encrypted answer without a length is complete only if its server takes the whole call, also after it has said that no more bytes follow")
{
    // Guards against a part of an answer that counts as the whole when its server breaks the connection off during the upload.
    TestAuthority authority;
    const auto files = authority.issue("server");
    const TlsContext context(TlsContext::Side::Server, {files.certificate, files.key, ""});
    for (const bool isTaken : {true, false}) {
        EventLoop loop;
        std::unique_ptr<TcpStream> connection;
        Timer reset;
        TcpOptions options;
        options.tls = context.native();
        TcpListener listener(loop, {"127.0.0.1", 0}, options, [&](std::unique_ptr<TcpStream> stream) {
            connection = std::move(stream);
            connection->onData = [&](std::string_view /*bytes*/) {
                connection->onData = nullptr;
                connection->write("HTTP/1.1 200 OK\r\n\r\nsome");
                connection->finishWriting();
                if (!isTaken) {
                    connection->pauseReading();
                    connection->setResetOnClose(true);
                    reset = loop.after(Duration::millis(20), [&] { connection.reset(); });
                }
            };
        });
        HttpClient client(loop, {.authority = files.authority});
        const auto answer = clientCall(loop, client, {"127.0.0.1", listener.port()}, UploadBytes);
        INFO("takes it: " << isTaken);
        CHECK(answer.end == (isTaken ? CallEnd::Complete : CallEnd::Broken));
    }
}
