// Heads that no answer has, from targets in trouble: at the parser of answers, at each client that uses it, and at a gateway.
#include "net/http.h"
#include "net/httppool.h"
#include "tests/forwarder_fixture.h"
#include "tests/rawserver.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <iterator>
#include <string_view>
#include <vector>

using namespace KingCup;

namespace
{

constexpr std::size_t HeadBytes = 65536;
constexpr auto TimeLimit = Duration::seconds(8);
constexpr auto Prompt = Duration::millis(1000); ///< a call ends well before the time limits of requests
const std::string Rest = " OK\r\nAttempt-Id: %\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok";

/// What stands in the place of a status.
const std::vector<std::string> WrongStatuses {"000",  "001",  "020",   "099", "101", "600",  "999", "0",   "20",  "2", "0200",
                                              "2000", "1000", "00200", "+20", "-20", " 200", "2 0", "20x", "x00", "",  "2\t0"};

struct ReadAnswer {
    HttpFault fault = HttpFault::None;
    bool isComplete = false;
    int status = 0;
    std::string body;
};

auto read(const std::string &text, std::size_t step) -> ReadAnswer
{
    HttpReader reader(HttpReader::Kind::Answer, HeadBytes);
    ReadAnswer got;
    reader.onBody = [&got](std::string_view bytes) {
        got.body += bytes;
    };
    std::size_t used = 0;
    while (used < text.size() && !reader.isComplete() && reader.fault() == HttpFault::None) {
        used += reader.feed(std::string_view(text).substr(used, step));
    }
    got.fault = reader.fault();
    got.isComplete = reader.isComplete();
    got.status = reader.head().status;
    return got;
}

auto statusText(int status) -> std::string
{
    std::array<char, 16> text {};
    std::snprintf(text.data(), text.size(), "%03d", status);
    return text.data();
}

auto isTokenByte(int byte) -> bool
{
    return std::isalnum(byte) != 0 || (byte > 0 && std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) != std::string_view::npos);
}

/// Names that hold the byte at their beginning, within them, or at their end.
auto namesWith(int byte) -> std::vector<std::string>
{
    const std::string odd(1, static_cast<char>(byte));
    return {odd + "ame", "na" + odd + "me", "nam" + odd};
}

auto headWithStatus(const std::string &status) -> std::string
{
    return "HTTP/1.1 " + status + Rest;
}

auto headOfVersion(const std::string &version) -> std::string
{
    return version + " 200" + Rest;
}

auto headWithLine(const std::string &line) -> std::string
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: %\r\nServer-Stamp: s\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok";
}

auto headWithName(const std::string &name) -> std::string
{
    return headWithLine(name + ": v");
}

/// Heads with odd names that are tried at real connections.
auto oddNames() -> std::vector<std::string>
{
    std::vector<std::string> names {"", "name ", "name\t", "na me", "X\r"};
    for (const int byte : {0, 1, 8, 9, 11, 12, 27, 31, 32, 34, 40, 47, 59, 64, 91, 123, 127, 128, 160, 255}) {
        names.push_back(namesWith(byte)[1]);
    }
    return names;
}

auto oddAnswers() -> std::vector<std::string>
{
    std::vector<std::string> answers;
    std::transform(WrongStatuses.begin(), WrongStatuses.end(), std::back_inserter(answers), headWithStatus);
    for (const auto &name : oddNames()) {
        answers.push_back(headWithName(name));
    }
    for (const std::string line : {"no colon",
                                   " folded: v",
                                   "\tfolded",
                                   "X: a\r\n b",
                                   "Transfer-Encoding: gzip",
                                   "Transfer-Encoding: gzip, chunked",
                                   "Transfer-Encoding: identity",
                                   "Transfer-Encoding: x",
                                   "Content-Length: 3",
                                   "Content-Length: +2",
                                   "Content-Length:",
                                   "Content-Length: 2, 2",
                                   "X: a\x01",
                                   "X: a\x7f"}) {
        answers.push_back(headWithLine(line));
    }
    for (const std::string version : {"HTTP/2.0", "HTTP/0.9", "HTTP/11.1", "http/1.1", "HTTP/1.", "ICY", "HTTP/1.1\t"}) {
        answers.push_back(headOfVersion(version));
    }
    return answers;
}

} // namespace

TEST_CASE("an answer has a status of three digits within the protocol's range, in pieces of any size")
{
    // Guards against an answer with the status 000 or 0200 that is passed on, or that is waited for until the deadline as if it were an interim one.
    for (const std::size_t step : {std::size_t {1}, std::size_t {7}, std::size_t {4096}}) {
        for (int status = 0; status < 1000; ++status) {
            const auto got = read(headWithStatus(statusText(status)), step);
            INFO("status " << statusText(status) << " in pieces of " << step);
            if (status < 100 || status >= 600 || status == 101) {
                CHECK(got.fault == HttpFault::Malformed);
                continue;
            }
            const bool hasBody = status >= 200 && status != 204 && status != 304;
            CHECK(got.isComplete);
            CHECK(got.status == status);
            CHECK(got.body == (hasBody ? "ok" : ""));
        }
        for (const auto &status : WrongStatuses) {
            INFO("status '" << status << "'");
            CHECK(read(headWithStatus(status), step).fault == HttpFault::Malformed);
        }
    }
    CHECK(read("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 3).isComplete); // without a reason phrase
    CHECK(read("\r\nHTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 3).isComplete);
}

TEST_CASE("a name of a field, in a head or in trailers, holds only the characters of names")
{
    // Guards against a line that this parser takes for one field and the next one for another.
    for (int byte = 0; byte < 256; ++byte) {
        for (const auto &name : namesWith(byte)) {
            const auto chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + name + ": v\r\n\r\n";
            for (const std::size_t step : {std::size_t {1}, std::size_t {4096}}) {
                INFO("byte " << byte << " in " << name << " in pieces of " << step);
                const bool endsTrailers = name.front() == '\n' || name.front() == '\r';
                const bool isSplit = byte == ':' && name.front() != ':'; // a shorter name, and a value that begins with a colon
                const bool isGood = isTokenByte(byte) || isSplit;
                CHECK(read(headWithName(name), step).isComplete == isGood);
                CHECK((endsTrailers || read(chunked, step).isComplete == isGood));
            }
        }
    }
    CHECK_FALSE(read(headWithName(""), 4096).isComplete);
}

TEST_CASE("an answer that has no body by its status is complete with its head, whatever length that states")
{
    // Guards against an interim answer that takes in the bytes of the final one, and against a 304 that waits for a body until the deadline.
    for (const std::string status : {"100", "103", "204", "304"}) {
        for (const std::string framing : {"Content-Length: 30", "Transfer-Encoding: chunked", "X: 1"}) {
            INFO(status << " " << framing);
            std::string head = "HTTP/1.1 ";
            head.append(status).append(" X\r\n").append(framing).append("\r\n\r\n");
            const auto got = read(head, 5);
            CHECK(got.isComplete);
            CHECK(got.body.empty());
        }
    }
    const RawServer server({.text = "HTTP/1.1 103 X\r\nContent-Length: 30\r\n\r\nHTTP/1.1 200" + Rest});
    EventLoop loop;
    HttpClient client(loop);
    std::optional<HttpAnswer> answer;
    startShortCall(client, {.server = server.endpoint()}, [&](const HttpAnswer &got) { answer = got; });
    REQUIRE(loop.runUntil([&] { return answer.has_value(); }, TimeLimit));
    CHECK(answer->status == 200);
    CHECK(answer->body == "ok");
}

TEST_CASE("what has no head of an answer ends a call at once, and is reported as no answer")
{
    // Guards against each client of the programs: pooled calls (targets, store) and single ones (engines, services, the platform's clients).
    for (const auto &text : oddAnswers()) {
        const RawServer server({.text = text, .readsBody = true, .endsAfter = std::chrono::milliseconds(100), .end = RawEnd::Close});
        EventLoop loop;
        HttpPool pool(loop);
        HttpClient client(loop);
        const auto startedAt = loop.now();
        std::optional<CallEnd> pooled;
        PooledCall call;
        call.server = server.endpoint();
        call.onEnd = [&](const PooledEnd &got) {
            pooled = got.end;
        };
        pool.start(std::move(call));
        std::optional<HttpAnswer> single;
        startShortCall(client, {.server = server.endpoint()}, [&](const HttpAnswer &got) { single = got; });
        REQUIRE(loop.runUntil([&] { return pooled && single; }, TimeLimit));
        INFO(text);
        CHECK(*pooled == CallEnd::Broken);
        CHECK(single->end == CallEnd::Broken);
        CHECK(single->status == 0);
        CHECK(loop.now() - startedAt < Prompt);
    }
}

TEST_CASE("a client of a gateway gets a failure of the gateway's own for what has no head of an answer, at once")
{
    std::string odd;
    ForwarderFixture fixture([&](const std::string & /*target*/, const std::string &attempt) {
        auto text = odd;
        return text.replace(text.find('%'), 1, attempt);
    });
    for (const auto &text : oddAnswers()) {
        odd = text;
        const auto startedAt = fixture.loop.now();
        INFO(text);
        CHECK(fixture.call("/write/x") == 502);
        CHECK(fixture.text.find("Server-Stamp") == std::string::npos);
        CHECK(fixture.loop.now() - startedAt < Prompt);
    }
}

TEST_CASE("an answer that has no body by its status reaches the client without one, on each kind of route")
{
    // Guards against the end mark of chunks behind such a head, which a client takes for the beginning of the next answer.
    ForwarderFixture fixture([](const std::string &target, const std::string &attempt) {
        const auto status = std::string(target == "p1" ? "204" : "304");
        return "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n";
    });
    for (const std::string route : {"/write/", "/read/", "/chat/", "/tell/"}) {
        for (int i = 0; i < 8; ++i) { // both targets
            const auto status = fixture.call(route + std::to_string(i));
            INFO(route << " " << fixture.text);
            CHECK((status == 204 || status == 304));
            CHECK(fixture.text.ends_with("\r\n\r\n"));
            CHECK(fixture.text.find("\r\n\r\n") == fixture.text.size() - 4);
            CHECK(fixture.text.find("Transfer-Encoding") == std::string::npos);
            CHECK(fixture.text.find("Content-Length") == std::string::npos);
        }
    }
}
