// Parsing of HTTP messages that arrive in pieces of any size.
#include "net/httpreader.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

struct Read {
    std::string body;
    std::size_t used = 0;
};

/// Feeds the text in pieces of `step` bytes until the message is complete or has a fault, or all is read.
auto feedAll(HttpReader &reader, const std::string &text, std::size_t step) -> Read
{
    Read read;
    reader.onBody = [&read](std::string_view bytes) {
        read.body.append(bytes);
    };
    while (read.used < text.size() && !reader.isComplete() && reader.fault() == HttpFault::None) {
        read.used += reader.feed(std::string_view(text).substr(read.used, step));
    }
    return read;
}

constexpr std::size_t HeadBytes = 1000;

} // namespace

TEST_CASE("a request is parsed from pieces of any size, and bytes after it are left")
{
    const std::string text = "POST /a/b?c=%0d%0a&d=1 HTTP/1.1\r\nHost: h\r\nX-Some:  v \r\nContent-Length: 5\r\n\r\nhelloGET /next";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        HttpReader reader(HttpReader::Kind::Request, HeadBytes);
        const auto read = feedAll(reader, text, step);
        REQUIRE(reader.isComplete());
        CHECK(reader.head().method == "POST");
        CHECK(reader.head().target == "/a/b?c=%0d%0a&d=1");
        CHECK(findHeader(reader.head().headers, "x-some") == "v");
        CHECK(reader.head().keepsConnection);
        CHECK(read.body == "hello");
        CHECK(text.substr(read.used) == "GET /next");
    }
}

TEST_CASE("chunked bodies are decoded, and trailers don't become headers")
{
    HttpReader reader(HttpReader::Kind::Request, HeadBytes);
    const auto read = feedAll(reader, "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nLate: 1\r\n\r\n", 4);
    REQUIRE(reader.isComplete());
    CHECK(read.body == "abcde");
    CHECK(reader.head().framing == BodyFraming::Chunked);
    CHECK_FALSE(findHeader(reader.head().headers, "Late"));
}

TEST_CASE("requests with ambiguous framing are refused")
{
    // Request smuggling: a caller hides a second request in the first by framing it in two ways. If the gateway and the target interpret the
    // framing differently, the target executes a request that the gateway hasn't seen.
    for (const std::string text : {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                                   "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
                                   "POST / HTTP/1.1\r\nContent-Length: five\r\n\r\nhello",
                                   "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                                   "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                                   "GET /a b HTTP/1.1\r\n\r\n",
                                   "rubbish\r\n\r\n"}) {
        HttpReader reader(HttpReader::Kind::Request, HeadBytes);
        feedAll(reader, text, text.size());
        INFO(text);
        CHECK(reader.fault() == HttpFault::Malformed);
    }
}

TEST_CASE("a head over the size limit is distinguished from a malformed one")
{
    HttpReader reader(HttpReader::Kind::Request, HeadBytes);
    feedAll(reader, "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", 100);
    CHECK(reader.fault() == HttpFault::TooLarge);
}

TEST_CASE("an answer without a length is complete only when its connection was closed in order")
{
    HttpReader reader(HttpReader::Kind::Answer, HeadBytes);
    const auto read = feedAll(reader, "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nsome", 7);
    CHECK_FALSE(reader.isComplete());
    CHECK(reader.endsWithConnection());
    CHECK(read.body == "some");
    CHECK(reader.feedEnd());
    CHECK(reader.isComplete());

    HttpReader cut(HttpReader::Kind::Answer, HeadBytes);
    feedAll(cut, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nsome", 7);
    CHECK_FALSE(cut.endsWithConnection());
    CHECK_FALSE(cut.feedEnd());
}

TEST_CASE("one reader parses consecutive messages")
{
    HttpReader reader(HttpReader::Kind::Answer, HeadBytes);
    for (int i = 0; i < 3; ++i) {
        const auto read = feedAll(reader, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 3);
        CHECK(reader.isComplete());
        CHECK(read.body == "ok");
        reader.reset();
        CHECK_FALSE(reader.hasBegun());
    }
}

TEST_CASE("hop-by-hop headers are not forwarded")
{
    CHECK(isHopByHop("Transfer-Encoding", ""));
    CHECK(isHopByHop("keep-alive", ""));
    CHECK(isHopByHop("X-Private", "close, x-private"));
    CHECK_FALSE(isHopByHop("X-Public", "close, x-private"));
    CHECK(answerHead(503, {{"A", "b"}}) == "HTTP/1.1 503 Service Unavailable\r\nA: b\r\n\r\n");
    CHECK(chunk("abc") == "3\r\nabc\r\n");
}
