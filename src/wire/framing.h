// How messages lie in a stream of bytes: each is preceded by its length as a varint. No sockets here.
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

/// Appends `message` with its length in front.
auto appendMessage(std::string &out, const google::protobuf::MessageLite &message) -> void;

// [SECTION] Reading

enum class FramingState {
    Message, ///< one whole message was taken
    Incomplete, ///< the rest of a message has yet to come, or there is nothing
    Malformed, ///< not a length, or one over the limit; the stream can't be read on
};

struct FramedMessage {
    FramingState state = FramingState::Incomplete;
    std::string_view bytes; ///< valid until the next append()
};

/// Cuts a stream of bytes into messages, however the bytes arrive in pieces.
class MessageReader
{
public:
    explicit MessageReader(std::size_t maxMessage);

    auto bufferedBytes() const -> std::size_t; ///< appended, not yet taken
    auto append(std::string_view bytes) -> void;
    auto take() -> FramedMessage;

private:
    auto release() -> void;

    std::size_t m_maxMessage;
    std::string m_buffer;
    std::size_t m_at = 0; // bytes of m_buffer already taken
};

} // namespace KingCup
