// HTTP/1.1 messages out of a byte stream, by the http-parser library. Bytes may arrive in any pieces; nothing is kept of a body.
//
// A reader takes one message and then stops: what follows it belongs to the next message, or to nobody.
//
// Index of sections (search for [SECTION]):
//   Heads        what stands before a body
//   HttpReader   the reader
//   Writing      a head as bytes
#pragma once

#include "net/http.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace KingCup
{

// [SECTION] Heads

/// The start line and headers of a request or an answer. Header names are as they were sent.
struct HttpHead {
    std::string method; ///< requests: "GET", "POST", ...
    std::string target; ///< requests: path and query, byte for byte
    int status = 0; ///< answers
    HttpHeaders headers;
    std::optional<std::uint64_t> length; ///< of the body, if it was declared
    bool isChunked = false;
    bool keepsConnection = false; ///< by version and Connection header
};

/// The value of the first header of that name, in any case; nothing if there is none.
auto findHeader(const HttpHeaders &headers, std::string_view name) -> std::optional<std::string_view>;
/// Whether two header names are the same: letters are compared in any case.
auto isSameHeaderName(std::string_view a, std::string_view b) -> bool;

// [SECTION] HttpReader

enum class HttpFault {
    None,
    TooLarge, ///< the head is longer than the limit
    Malformed, ///< not HTTP, or framed in two ways at once
};

class HttpReader
{
public:
    enum class Kind { Request, Answer };

    /// `headBytes`: the most that a start line and headers may take.
    HttpReader(Kind kind, std::size_t headBytes);
    ~HttpReader();
    HttpReader(const HttpReader &) = delete;
    auto operator=(const HttpReader &) -> HttpReader & = delete;

    // Queries
    auto hasBegun() const -> bool; ///< at least one byte of the message was read
    auto hasHead() const -> bool;
    auto isComplete() const -> bool; ///< nothing more is read
    auto fault() const -> HttpFault;
    auto head() const -> const HttpHead &;
    auto endsWithConnection() const -> bool; ///< an answer without a length: complete once the far side closes in order

    // Commands
    /// Reads up to the end of the message; returns how many bytes that took. Less than all: complete, or a fault.
    auto feed(std::string_view bytes) -> std::size_t;
    /// The far side closed in order. True if that completes the message.
    auto feedEnd() -> bool;
    /// Drops the message, for the next one on the same connection.
    auto reset() -> void;
    /// The answer to come is one to HEAD: it has no body, whatever its headers say.
    auto expectNoBody() -> void;

    std::function<void()> onHead;
    std::function<void(std::string_view bytes)> onBody;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

// [SECTION] Writing

/// Whether a header concerns only the connection it came on and must not be passed on; `connection` is that of the message.
auto isHopByHop(std::string_view name, std::string_view connection) -> bool;

/// The reason phrase that goes with a status.
auto reasonPhrase(int status) -> const char *;

/// "HTTP/1.1 200 OK" and the headers, with the blank line.
auto answerHead(int status, const HttpHeaders &headers) -> std::string;
/// "POST /path HTTP/1.1" and the headers, with the blank line.
auto requestHead(const std::string &method, const std::string &target, const HttpHeaders &headers) -> std::string;

/// One piece of a chunked body.
auto chunk(std::string_view bytes) -> std::string;
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace KingCup
