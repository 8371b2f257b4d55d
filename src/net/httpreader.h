// Parses HTTP/1.1 messages from a byte stream with the http-parser library. Bytes may arrive in any pieces; bodies are not buffered.
//
// A reader parses one message and then stops. Bytes after it belong to the next message, or are unexpected.
//
// Index of sections (search for [SECTION]):
//   Heads        start line and headers
//   HttpReader   the reader
//   Writing      a head and chunks as bytes
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

/// How the end of a message's body is marked.
enum class BodyFraming {
    None, ///< there is no body
    Length, ///< by Content-Length
    Chunked, ///< by the last chunk
    Connection, ///< answers: by the end of the connection, if the server closes it in order
};
auto toString(BodyFraming framing) -> const char *;

/// The start line and headers of a request or an answer. Header names keep the case in which they were sent.
struct HttpHead {
    std::string method; ///< requests: "GET", "POST", ...
    std::string target; ///< requests: path and query, unchanged
    int status = 0; ///< answers
    HttpHeaders headers;
    std::optional<std::uint64_t> length; ///< Content-Length, if present
    BodyFraming framing = BodyFraming::None;
    int majorVersion = 1; ///< of HTTP
    bool allowsChunks = false; ///< requests: the sender reads chunked answers (HTTP/1.1 and later)
    bool keepsConnection = false; ///< whether the connection stays open after the message, by HTTP version and Connection header
};

/// The value of the first header of that name, compared without regard to case; nothing if there is none.
auto findHeader(const HttpHeaders &headers, std::string_view name) -> std::optional<std::string_view>;
/// Whether two header names are equal, without regard to case.
auto isSameHeaderName(std::string_view a, std::string_view b) -> bool;

// [SECTION] HttpReader

enum class HttpFault {
    None,
    TooLarge, ///< the head, a chunk line or the trailers are longer than the limit
    Malformed, ///< not HTTP/1, a status that no answer has, or ambiguous framing (for example both Content-Length and chunked)
};

class HttpReader
{
public:
    enum class Kind { Request, Answer };

    /// `headBytes`: size limit of the start line and headers together; of an answer's head the memory that it takes.
    HttpReader(Kind kind, std::size_t headBytes);
    ~HttpReader();
    HttpReader(const HttpReader &) = delete;
    auto operator=(const HttpReader &) -> HttpReader & = delete;

    // Queries
    auto hasBegun() const -> bool; ///< at least one byte of the message was parsed
    auto hasHead() const -> bool;
    auto isComplete() const -> bool; ///< the whole message was parsed; further bytes are left alone
    auto fault() const -> HttpFault;
    auto head() const -> const HttpHead &;
    auto headMemory() const -> std::size_t; ///< estimate in bytes; several times the head's length if it has many short headers
    auto takeHead() -> HttpHead; ///< moves the head out; it is empty until reset()
    auto endsWithConnection() const -> bool; ///< the head was received, and the body is framed by BodyFraming::Connection

    // Commands
    /// Parses up to the end of the message and returns the number of bytes consumed. If not all were, the message is complete or has a fault.
    auto feed(std::string_view bytes) -> std::size_t;
    /// To be called when the remote side has closed in order. True if that completes the message.
    auto feedEnd() -> bool;
    /// Prepares for the next message on the same connection.
    auto reset() -> void;
    /// The next answer belongs to a HEAD request: it has no body, whatever its headers say.
    auto expectNoBody() -> void;

    std::function<void()> onHead;
    std::function<void(std::string_view bytes)> onBody;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

// [SECTION] Writing

/// Whether a header is hop-by-hop and must not be forwarded; `connection` is the value of the message's Connection header.
auto isHopByHop(std::string_view name, std::string_view connection) -> bool;

/// The reason phrase of a status code.
auto reasonPhrase(int status) -> const char *;

/// "HTTP/1.1 200 OK", the headers and the blank line.
auto answerHead(int status, const HttpHeaders &headers) -> std::string;
/// "POST /path HTTP/1.1", the headers and the blank line.
auto requestHead(const std::string &method, const std::string &target, const HttpHeaders &headers) -> std::string;

/// One chunk of a chunked body.
auto chunk(std::string_view bytes) -> std::string;
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace KingCup
