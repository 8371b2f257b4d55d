// Framing of messages in a byte stream: each message is preceded by its length as a varint. No I/O.
//
// Index of sections (search for [SECTION]):
//   Writing   appendMessage
//   Reading   MessageReader
#pragma once

#include <cstddef>
#include <google/protobuf/message_lite.h>
#include <string>
#include <string_view>

namespace KingCup
{

// [SECTION] Writing

/// Appends the length of `message` as a varint and the message.
auto appendMessage(std::string &out, const google::protobuf::MessageLite &message) -> void;

// [SECTION] Reading

enum class FramingState {
    Message, ///< a complete message was extracted
    Incomplete, ///< more bytes are needed, or nothing is buffered
    Malformed, ///< an invalid length, or one over the limit; the rest of the stream can't be parsed
};

struct FramedMessage {
    FramingState state = FramingState::Incomplete;
    std::string_view bytes; ///< valid until the next append() or take()
};

/// Splits a byte stream into messages; the bytes may arrive in any pieces.
class MessageReader
{
public:
    explicit MessageReader(std::size_t maxMessage);

    auto bufferedBytes() const -> std::size_t; ///< appended and not yet extracted by take()
    auto append(std::string_view bytes) -> void;
    auto take() -> FramedMessage;

private:
    auto release() -> void;

    std::size_t m_maxMessage;
    std::string m_buffer;
    std::size_t m_at = 0; // bytes of m_buffer already extracted
};

} // namespace KingCup
