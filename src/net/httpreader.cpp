#include "net/httpreader.h"

#include "net/httpstatus.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <http_parser.h>
#include <limits>
#include <utility>

namespace KingCup
{

namespace
{

/// Limit of the bytes that make up a head, a chunk line or trailers, as a multiple of the limit of a head's names and values. Separators may be longer than
/// these, but must end: a reason phrase, blanks, chunk extensions or empty lines could go on until the connection is closed.
constexpr std::size_t FramingFactor = 4;

auto lower(char c) -> char
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

/// Whether a header name holds only the characters that RFC 9110 allows. http-parser accepts some bytes at which other parsers end a
/// name; if these were forwarded, the two sides could see different headers.
auto isToken(std::string_view name) -> bool
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || Marks.find(c) != std::string_view::npos;
    });
}

auto trimmed(std::string_view text) -> std::string_view
{
    constexpr std::string_view Blanks = " \t";
    const auto first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

/// Whether the names hold a transfer coding other than a single "chunked". A body in another coding can't be passed on: the header that names it concerns one
/// connection only.
auto hasForeignCoding(const HttpHeaders &headers) -> bool
{
    int codings = 0;
    for (const auto &header : headers) {
        if (isSameHeaderName(header.name, "transfer-encoding") && (++codings > 1 || !isSameHeaderName(header.value, "chunked"))) {
            return true;
        }
    }
    return false;
}

auto listContains(std::string_view list, std::string_view wanted) -> bool
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (isSameHeaderName(trimmed(list.substr(0, comma)), wanted)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

auto toString(BodyFraming framing) -> const char *
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::Connection:
        return "connection";
    }
    return "?";
}

auto isSameHeaderName(std::string_view a, std::string_view b) -> bool
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
}

auto findHeader(const HttpHeaders &headers, std::string_view name) -> std::optional<std::string_view>
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &header) { return isSameHeaderName(header.name, name); });
    return found == headers.end() ? std::nullopt : std::optional<std::string_view>(found->value);
}

// [SECTION] HttpReader

struct HttpReader::Private {
    HttpReader *owner = nullptr;
    Kind kind;
    std::size_t headLimit;
    http_parser parser {};
    HttpHead head;
    std::size_t headBytes = 0;
    std::size_t framingBytes = 0; // since the last progress, which is a whole head, bytes of the body, or a whole chunk line
    bool hasProgressed = false; // in this call of feed()
    std::string statusLine; // answers: version and status code, as far as they were checked
    char previous = '\0'; // checked character of the head after the status code
    bool isEmptyLine = false; // the check has come to the line end that is to end the head
    bool isHeadChecked = false;
    bool begun = false;
    bool headDone = false;
    bool complete = false;
    bool noBody = false;
    bool lastWasValue = true; // the next name starts a new header
    HttpFault fault = HttpFault::None;

    Private(HttpReader *reader, Kind messageKind, std::size_t limit)
        : owner(reader)
        , kind(messageKind)
        , headLimit(limit)
    {
    }

    auto init() -> void
    {
        http_parser_init(&parser, kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
    }
    /// Counts bytes of the head. The limit of http-parser holds for the whole process, so each reader's limit is checked in its callbacks.
    auto count(std::size_t bytes) -> int
    {
        headBytes += bytes;
        if (headBytes > headLimit) {
            fault = HttpFault::TooLarge;
            return 1;
        }
        return 0;
    }
    auto checkHead(std::string_view bytes) -> bool;
    auto onName(std::string_view text) -> int;
    auto onValue(std::string_view text) -> int;
    auto onHeadDone() -> int;
    auto framing() const -> BodyFraming;
    static auto settings() -> const http_parser_settings &;
    static auto from(http_parser *parser) -> Private &
    {
        return *static_cast<Private *>(parser->data);
    }
};

/// Checks the bytes of an answer's head for what http-parser accepts and no answer has: a start line without the version of HTTP/1 and a status code of three
/// digits, and folded lines, which other parsers take for fields of their own. False if there is such.
auto HttpReader::Private::checkHead(std::string_view bytes) -> bool
{
    constexpr std::string_view Pattern = "HTTP/1.d ddd";
    for (const char c : bytes) {
        if (statusLine.size() < Pattern.size()) {
            if (statusLine.empty() && (c == '\r' || c == '\n')) {
                continue;
            }
            const char expected = Pattern[statusLine.size()];
            if (expected == 'd' ? std::isdigit(static_cast<unsigned char>(c)) == 0 : c != expected) {
                return false;
            }
            statusLine += c;
            continue;
        }
        const bool isBlank = c == ' ' || c == '\t';
        if (previous == '\n' && isBlank) {
            return false;
        }
        if (previous == '\0' && c != ' ' && c != '\r' && c != '\n') {
            return false; // the status code goes on
        }
        if (c == '\n' && (previous == '\n' || isEmptyLine)) {
            isHeadChecked = true;
            return true;
        }
        isEmptyLine = c == '\r' && previous == '\n';
        previous = c;
    }
    return true;
}

auto HttpReader::Private::onName(std::string_view text) -> int
{
    if (headDone) { // a trailer: not reported
        if (!text.empty() && !isToken(text)) {
            fault = HttpFault::Malformed;
            return 1;
        }
        return count(text.size());
    }
    if (lastWasValue) {
        head.headers.emplace_back();
        lastWasValue = false;
        // What a server sends counts by the memory that it takes: a header of a few bytes takes many times these.
        if (kind == Kind::Answer && count(sizeof(HttpHeader)) != 0) {
            return 1;
        }
    }
    head.headers.back().name += text;
    return count(text.size());
}

auto HttpReader::Private::onValue(std::string_view text) -> int
{
    if (headDone) {
        return count(text.size());
    }
    lastWasValue = true;
    head.headers.back().value += text;
    return count(text.size());
}

auto HttpReader::Private::framing() const -> BodyFraming
{
    const bool isAnswer = kind == Kind::Answer;
    if (isAnswer && (noBody || !HttpStatus::mayHaveBody(head.status))) {
        return BodyFraming::None;
    }
    if ((parser.flags & F_CHUNKED) != 0) {
        return BodyFraming::Chunked;
    }
    if (head.length) {
        return BodyFraming::Length;
    }
    return isAnswer ? BodyFraming::Connection : BodyFraming::None;
}

/// The return value tells http-parser what to do: 0 to go on, 1 to skip the body, any other value to fail.
auto HttpReader::Private::onHeadDone() -> int
{
    constexpr int Fail = -1;
    constexpr int SkipBody = 1;
    for (auto &header : head.headers) {
        header.value = std::string(trimmed(header.value));
        if (!isToken(header.name)) {
            fault = HttpFault::Malformed;
            return Fail;
        }
    }
    if (hasForeignCoding(head.headers)) {
        fault = HttpFault::Malformed;
        return Fail;
    }
    if (kind == Kind::Request) {
        head.method = http_method_str(static_cast<http_method>(parser.method));
    } else {
        head.status = static_cast<int>(parser.status_code);
        if (!HttpStatus::isAnswer(head.status)) {
            fault = HttpFault::Malformed;
            return Fail;
        }
    }
    if ((parser.flags & F_CONTENTLENGTH) != 0) {
        head.length = parser.content_length;
    }
    hasProgressed = true;
    head.framing = framing();
    head.majorVersion = parser.http_major;
    head.allowsChunks = parser.http_major > 1 || (parser.http_major == 1 && parser.http_minor >= 1);
    head.keepsConnection = http_should_keep_alive(&parser) != 0;
    headDone = true;
    if (owner->onHead) {
        owner->onHead();
    }
    // http-parser would read a body after a head that states its length, also where such answers have none.
    return kind == Kind::Answer && head.framing == BodyFraming::None ? SkipBody : 0;
}

auto HttpReader::Private::settings() -> const http_parser_settings &
{
    static const http_parser_settings Callbacks = [] {
        http_parser_settings made {};
        http_parser_settings_init(&made);
        made.on_message_begin = [](http_parser *parser) {
            from(parser).begun = true;
            return 0;
        };
        made.on_url = [](http_parser *parser, const char *at, size_t length) {
            from(parser).head.target.append(at, length);
            return from(parser).count(length);
        };
        made.on_header_field = [](http_parser *parser, const char *at, size_t length) {
            return from(parser).onName({at, length});
        };
        made.on_header_value = [](http_parser *parser, const char *at, size_t length) {
            return from(parser).onValue({at, length});
        };
        made.on_headers_complete = [](http_parser *parser) {
            return from(parser).onHeadDone();
        };
        made.on_body = [](http_parser *parser, const char *at, size_t length) {
            from(parser).hasProgressed = true;
            if (from(parser).owner->onBody) {
                from(parser).owner->onBody({at, length});
            }
            return 0;
        };
        made.on_chunk_header = [](http_parser *parser) {
            from(parser).hasProgressed = true;
            return 0;
        };
        made.on_message_complete = [](http_parser *parser) {
            from(parser).complete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return made;
    }();
    return Callbacks;
}

HttpReader::HttpReader(Kind kind, std::size_t headBytes)
    : d(std::make_unique<Private>(this, kind, headBytes))
{
    http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
    d->init();
}

HttpReader::~HttpReader() = default;

auto HttpReader::hasBegun() const -> bool
{
    return d->begun;
}

auto HttpReader::hasHead() const -> bool
{
    return d->headDone;
}

auto HttpReader::isComplete() const -> bool
{
    return d->complete;
}

auto HttpReader::fault() const -> HttpFault
{
    return d->fault;
}

auto HttpReader::head() const -> const HttpHead &
{
    return d->head;
}

auto HttpReader::headMemory() const -> std::size_t
{
    constexpr std::size_t GrowthFactor = 2; // of a string that is appended to
    return d->head.headers.capacity() * sizeof(HttpHeader) + d->headBytes * GrowthFactor;
}

auto HttpReader::takeHead() -> HttpHead
{
    return std::exchange(d->head, HttpHead());
}

auto HttpReader::endsWithConnection() const -> bool
{
    return d->headDone && d->head.framing == BodyFraming::Connection;
}

auto HttpReader::feed(std::string_view bytes) -> std::size_t
{
    if (d->complete || d->fault != HttpFault::None) {
        return 0;
    }
    d->hasProgressed = false;
    if (d->kind == Kind::Answer && !d->isHeadChecked && !d->checkHead(bytes)) {
        d->fault = HttpFault::Malformed;
        return 0;
    }
    const auto used = http_parser_execute(&d->parser, &Private::settings(), bytes.data(), bytes.size());
    d->framingBytes = d->hasProgressed ? 0 : d->framingBytes + used;
    if (d->framingBytes > d->headLimit * FramingFactor && d->fault == HttpFault::None) {
        d->fault = HttpFault::TooLarge;
    }
    const auto error = HTTP_PARSER_ERRNO(&d->parser);
    if (error != HPE_OK && error != HPE_PAUSED && d->fault == HttpFault::None) {
        d->fault = HttpFault::Malformed;
    }
    return used;
}

auto HttpReader::feedEnd() -> bool
{
    if (!d->complete && d->fault == HttpFault::None && d->headDone) {
        http_parser_execute(&d->parser, &Private::settings(), nullptr, 0);
    }
    return d->complete;
}

auto HttpReader::reset() -> void
{
    auto fresh = std::make_unique<Private>(this, d->kind, d->headLimit);
    d.swap(fresh);
    d->init();
}

auto HttpReader::expectNoBody() -> void
{
    d->noBody = true;
}

// [SECTION] Writing

auto isHopByHop(std::string_view name, std::string_view connection) -> bool
{
    constexpr std::array<std::string_view, 9> Names {
        "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"};
    const bool isListed = std::any_of(Names.begin(), Names.end(), [&](std::string_view known) { return isSameHeaderName(known, name); });
    return isListed || listContains(connection, name);
}

auto reasonPhrase(int status) -> const char *
{
    const char *text = http_status_str(static_cast<http_status>(status));
    return text == nullptr ? "Unknown" : text;
}

namespace
{

auto appendHeaders(std::string &bytes, const HttpHeaders &headers) -> void
{
    for (const auto &header : headers) {
        bytes.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    bytes.append("\r\n");
}

} // namespace

auto answerHead(int status, const HttpHeaders &headers) -> std::string
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    appendHeaders(bytes, headers);
    return bytes;
}

auto requestHead(const std::string &method, const std::string &target, const HttpHeaders &headers) -> std::string
{
    std::string bytes = method + " " + target + " HTTP/1.1\r\n";
    appendHeaders(bytes, headers);
    return bytes;
}

auto chunk(std::string_view bytes) -> std::string
{
    std::array<char, 24> prefix {};
    const int length = std::snprintf(prefix.data(), prefix.size(), "%zx\r\n", bytes.size());
    std::string framed(prefix.data(), static_cast<std::size_t>(length));
    framed.append(bytes).append("\r\n");
    return framed;
}

} // namespace KingCup
