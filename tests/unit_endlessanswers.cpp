// Targets that send bytes which are no answer until the gateway closes the connection: in heads, chunk lines, trailers, bodies and streams of events.
#include "gateway/pooledcall.h"
#include "tests/forwarder_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace KingCup;

namespace
{

constexpr std::size_t MaxAnswerBytes = 64U << 20U; ///< a target is disconnected before it has sent more
constexpr auto MaxTime = Duration::millis(3000); ///< the routes' time limit is two seconds

const std::string Piece(16384, 'x');

/// What a target sends first, and then again and again.
struct Endless {
    const char *name;
    std::string head; ///< "%" stands for the request's attempt id
    std::string more;
};

const std::string Signed = "HTTP/1.1 200 OK\r\nAttempt-Id: %\r\nServer-Stamp: s\r\n";
const std::string Rejected = "HTTP/1.1 503 X\r\nAttempt-Id: %\r\nNot-Executed: 1\r\n";
const std::string Events = "Content-Type: text/event-stream\r\n";

auto blanks() -> std::string
{
    return std::string(16384, ' ');
}

auto zeros() -> std::string
{
    return std::string(16384, '0');
}

auto lines() -> std::string
{
    std::string text;
    for (int i = 0; i < 4096; ++i) {
        text += "\r\n";
    }
    return text;
}

auto interims() -> std::string
{
    std::string text;
    for (int i = 0; i < 512; ++i) {
        text += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    return text;
}

/// Framing that never ends.
auto endlessFramings() -> std::vector<Endless>
{
    const auto chunked = Signed + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"garbage", "", Piece},
            {"empty lines before the head", "", lines()},
            {"reason phrase", "HTTP/1.1 200 ", Piece},
            {"header value", Signed + "X-More: ", Piece},
            {"header name", Signed, Piece},
            {"blanks before a header value", Signed + "X-More:", blanks()},
            {"interim answers", "", interims()},
            {"chunk size", chunked, zeros()},
            {"chunk extension", chunked + "5;", Piece},
            {"trailer value", chunked + "2\r\nok\r\n0\r\nX-More: ", Piece},
            {"blanks before a trailer value", chunked + "2\r\nok\r\n0\r\nX-More:", blanks()},
            {"late answer to another request", "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\n\r\n", Piece}};
}

/// Writes `more` again and again until the gateway closes the connection.
class EndlessSender
{
public:
    explicit EndlessSender(EventLoop &loop)
        : m_loop(loop)
    {
    }
    auto start(ScriptedConnection &connection, const std::string &first, const std::string &more) -> void
    {
        connection.stream->onEnd = [this](TcpEnd) {
            m_timer.cancel();
            isClosed = true;
        };
        connection.stream->write(first);
        m_timer = m_loop.every(Duration::millis(1), [this, &connection, more] {
            if (connection.stream->pendingBytes() == 0) {
                bytes += more.size();
                connection.stream->write(more);
            }
        });
    }

    std::size_t bytes = 0;
    bool isClosed = false; ///< by the gateway

private:
    EventLoop &m_loop;
    Timer m_timer;
};

auto textFor(std::string text, const std::string &attempt) -> std::string
{
    const auto at = text.find('%');
    return at == std::string::npos ? text : text.replace(at, 1, attempt);
}

/// The target that gets the first request answers it without end, and the other one answers well.
struct EndlessFixture : ForwarderFixture {
    explicit EndlessFixture(const Endless &endless)
        : ForwarderFixture([](const std::string & /*target*/, const std::string &attempt) { return answerText(200, attempt, "", "ok"); })
    {
        writeAnswer = [this, endless](ScriptedConnection &connection, const std::string &target, const std::string &attempt) {
            bad = bad.empty() ? target : bad;
            if (target != bad) {
                return false;
            }
            auto &sender = senders.emplace_back(std::make_unique<EndlessSender>(loop));
            sender->start(connection, textFor(endless.head, attempt), endless.more);
            return true;
        };
    }
    /// Calls, and checks that it takes bounded time and that the gateway closes the target's connection.
    auto callEndless(const std::string &path) -> int
    {
        const auto before = loop.now();
        const auto status = call(path);
        CHECK(loop.now() - before < MaxTime);
        CHECK(loop.runUntil([&] { return std::all_of(senders.begin(), senders.end(), [](const auto &sender) { return sender->isClosed; }); }, MaxTime));
        CHECK(std::all_of(senders.begin(), senders.end(), [](const auto &sender) { return sender->bytes < MaxAnswerBytes; }));
        return status;
    }
    /// The client got the end of its answer: its status says whether that is a success.
    auto isWholeForClient() const -> bool
    {
        HttpReader reader(HttpReader::Kind::Answer, 65536);
        reader.feed(text);
        return reader.isComplete();
    }

    std::string bad; ///< the target that answers without end
    std::vector<std::unique_ptr<EndlessSender>> senders;
};

} // namespace

TEST_CASE("a target whose head, chunk lines or trailers never end is disconnected, and its request counts as run")
{
    // Guards against framing that no limit counts: a reason phrase, blanks, chunk extensions, interim answers and late answers.
    const auto endless = GENERATE(from_range(endlessFramings()));
    INFO(endless.name);
    EndlessFixture once(endless);
    CHECK(once.callEndless("/write/x") != 503);
    CHECK(once.runs.size() == 1); // it may have run
    CHECK((once.text.substr(0, 12) != "HTTP/1.1 200" || !once.isWholeForClient()));
    CHECK(once.senders.at(0)->bytes < 8U << 20U); // long before the time limit
    CHECK(once.dispatcher.failures(TargetId(once.bad), once.loop.now()) > 0);
    EndlessFixture again(endless);
    const auto status = again.callEndless("/read/x");
    const bool hasBegun = std::string_view(endless.head).find("Transfer-Encoding") != std::string_view::npos && endless.head.find("ok") != std::string::npos;
    CHECK((status == 200 || hasBegun));
}

TEST_CASE("an answer by which the request hasn't run is broken off if its body never ends, and the request counts as run")
{
    // Guards against a target that keeps a request until its time limit with a rejection.
    for (const auto &head : {Rejected + "\r\n", std::string("HTTP/1.1 503 X\r\nAttempt-Id: %\r\n\r\n")}) {
        EndlessFixture fixture({"rejection", head, std::string(65536, 'x')});
        CHECK(fixture.callEndless("/write/x") == 502);
        CHECK(fixture.runs.size() == 1);
        CHECK(fixture.senders.at(0)->bytes < 32U << 20U);
        CHECK(fixture.dispatcher.failures(TargetId(fixture.bad), fixture.loop.now()) > 0);
    }
}

TEST_CASE("a stream of events is broken off inside an event that never ends")
{
    // Guards against a gateway that keeps an event without end in memory, or passes it on until the time limit.
    for (const auto *path : {"/chat/x", "/tell/x"}) {
        for (const auto *begin : {"data: ", ": ", "data: a\n\ndata: "}) {
            INFO(path << " " << begin);
            EndlessFixture fixture({"event", Signed + Events + "\r\n" + begin, Piece});
            fixture.callEndless(path);
            CHECK_FALSE((fixture.text.starts_with("HTTP/1.1 200") && fixture.isWholeForClient()));
            CHECK(fixture.senders.at(0)->bytes < 8U << 20U);
            CHECK(fixture.dispatcher.failures(TargetId(fixture.bad), fixture.loop.now()) > 0);
        }
    }
}

TEST_CASE("a plain body that never ends is cut off at the time limit, without harm to other clients")
{
    // Guards against an answer that grows in memory, and against one that looks whole.
    EndlessFixture fixture({"body", Signed + "\r\n", Piece});
    std::size_t mostUnsent = 0;
    const auto watch = fixture.loop.every(Duration::millis(10), [&] { mostUnsent = std::max(mostUnsent, fixture.server->unsentBytes()); });
    const auto before = fixture.loop.now();
    auto endless = rawCall(
        fixture.server->port(), "POST /write/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: endless\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", RawAfter::Read);
    REQUIRE(fixture.loop.runUntil([&] { return fixture.senders.size() == 1; }, TestTimeout));
    CHECK(fixture.callEndless("/read/y") == 200);
    REQUIRE(fixture.loop.runUntil([&] { return endless.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, TestTimeout));
    CHECK(fixture.loop.now() - before < MaxTime);
    fixture.text = endless.get().text;
    // 504 if the target has sent less than the gateway keeps until it begins to answer.
    CHECK((fixture.text.starts_with("HTTP/1.1 504") || !fixture.isWholeForClient()));
    CHECK(mostUnsent < 2U << 20U);
}

TEST_CASE("the body of a health check or of a report that never ends is cut off")
{
    // Guards against a gateway that collects such a body in memory until its time limit.
    constexpr std::size_t Limit = 64U << 10U;
    for (const auto &head : {std::string("HTTP/1.1 200 OK\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000000\r\n")}) {
        EventLoop loop;
        HttpPool pool(loop);
        EndlessSender sender(loop);
        ScriptedServer server(loop, [&](ScriptedConnection &connection, const HttpHead &, const std::string &) { sender.start(connection, head, Piece); });
        const auto answer = std::make_shared<CollectedAnswer>();
        std::optional<CallEnd> end;
        auto call = collectingCall(server.endpoint(), {"GET", "/health", {}, ""}, answer, Limit);
        call.onEnd = [&](const PooledEnd &ended) {
            end = ended.end;
        };
        pool.start(std::move(call));
        REQUIRE(loop.runUntil([&] { return end.has_value(); }, TestTimeout));
        CHECK(*end == CallEnd::Broken);
        CHECK(answer->body.size() <= Limit);
        CHECK(loop.runUntil([&] { return sender.isClosed; }, TestTimeout));
    }
}

TEST_CASE("heads of many answers that don't end hold bounded memory, and sound servers are answered")
{
    // Guards against a process that exceeds its host's memory by heads of tiny headers, each of which is below the limit of a head.
    constexpr int Calls = 150;
    constexpr std::size_t Bound = 1U << 20U;
    constexpr std::size_t OneAnswer = 512U << 10U; // exceeds the bound before it is given up
    const bool isEndless = GENERATE(true, false);
    INFO("endless: " << isEndless);
    std::string headers;
    for (int i = 0; i < 600; ++i) {
        headers += "a:\r\n";
    }
    EventLoop loop;
    std::vector<std::unique_ptr<EndlessSender>> senders;
    const ScriptedServer server(loop, [&](ScriptedConnection &connection, const HttpHead &head, const std::string & /*body*/) {
        if (head.target == "/sound") {
            connection.stream->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return;
        }
        auto &sender = senders.emplace_back(std::make_unique<EndlessSender>(loop));
        sender->start(connection, "HTTP/1.1 200 OK\r\n" + headers, isEndless ? headers : "");
    });
    HttpPool pool(loop, {.answers = {.bytes = Bound}});
    int broken = 0;
    std::vector<std::shared_ptr<PooledHandle>> handles;
    const auto call = [&](const std::string &target, std::function<void(const PooledEnd &end)> onEnd) {
        PooledCall made;
        made.server = server.endpoint();
        made.target = target;
        made.onEnd = std::move(onEnd);
        handles.push_back(pool.start(std::move(made)));
    };
    for (int i = 0; i < Calls; ++i) {
        call("/endless", [&](const PooledEnd &end) { broken += end.end == CallEnd::Broken ? 1 : 0; });
    }
    loop.runUntil([&] { return broken == Calls; }, Duration::millis(1000));
    CHECK(broken >= Calls / 2);
    std::optional<CallEnd> sound;
    call("/sound", [&](const PooledEnd &end) { sound = end.end; });
    REQUIRE(loop.runUntil([&] { return sound.has_value(); }, MaxTime));
    CHECK(*sound == CallEnd::Complete);
    CHECK(pool.answerLoad().mostHeld() < Bound + OneAnswer + Calls * AnswerBounds().small);
    for (const auto &handle : handles) {
        handle->cancel();
    }
    CHECK(pool.answerLoad().held() == 0);
}

TEST_CASE("unfinished events of many streams hold bounded memory, and sound streams go on")
{
    constexpr int Streams = 60;
    constexpr std::size_t Part = 900U << 10U;
    constexpr std::size_t Read = 2U << 20U; // of the answer that exceeds the bound
    ForwarderFixture fixture([](const std::string & /*target*/, const std::string &attempt) {
        return answerText(200, attempt, "Content-Type: text/event-stream\r\n", "id: 1\ndata: x\n\n");
    });
    fixture.writeAnswer = [&](ScriptedConnection &connection, const std::string & /*target*/, const std::string &attempt) {
        if (fixture.runs.back().path != "/tell/endless") {
            return false;
        }
        connection.stream->write(textFor(Signed + "Content-Type: text/event-stream\r\n\r\ndata: ", attempt) + std::string(Part, 'x'));
        return true;
    };
    std::vector<std::future<RawAnswer>> clients;
    clients.reserve(Streams);
    for (int i = 0; i < Streams; ++i) {
        std::string request = "POST /tell/endless HTTP/1.1\r\nHost: h\r\nAttempt-Id: e-" + std::to_string(i);
        clients.push_back(rawCall(fixture.server->port(), request.append("\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), RawAfter::Read));
    }
    fixture.loop.runUntil([&] { return fixture.pool.answerLoad().givenUp() > 0; }, MaxTime);
    CHECK(fixture.pool.answerLoad().givenUp() > 0);
    CHECK(fixture.call("/tell/sound") == 200);
    CHECK(fixture.text.find("data: x") != std::string::npos);
    REQUIRE(fixture.loop.runUntil(
        [&] {
            return std::all_of(
                clients.begin(), clients.end(), [](const auto &client) { return client.wait_for(std::chrono::seconds(0)) == std::future_status::ready; });
        },
        TestTimeout));
    CHECK(fixture.pool.answerLoad().mostHeld() < AnswerBounds().bytes + Read + Streams * AnswerBounds().small);
    CHECK(fixture.pool.answerLoad().held() == 0);
    for (auto &client : clients) {
        CHECK(client.get().text.substr(0, 10) == "HTTP/1.1 5");
    }
}
