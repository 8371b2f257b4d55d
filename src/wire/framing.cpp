#include "wire/framing.h"

#include "core/releasetext.h"

#include <cstdint>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/message_lite.h>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxVarintBytes = 10;
/// An empty buffer with more capacity than this is freed, so that one large message doesn't keep its memory.
constexpr std::size_t MaxKeptCapacity = 64U << 10U;

} // namespace

auto appendMessage(std::string &out, const google::protobuf::MessageLite &message) -> void
{
    using google::protobuf::io::CodedOutputStream;
    const std::size_t size = message.ByteSizeLong();
    const std::size_t prefix = CodedOutputStream::VarintSize32(static_cast<std::uint32_t>(size));
    const std::size_t start = out.size();
    out.resize(start + prefix + size);
    auto *at = reinterpret_cast<std::uint8_t *>(out.data()) + start;
    at = CodedOutputStream::WriteVarint32ToArray(static_cast<std::uint32_t>(size), at);
    message.SerializeWithCachedSizesToArray(at);
}

MessageReader::MessageReader(std::size_t maxMessage)
    : m_maxMessage(maxMessage)
{
}

auto MessageReader::bufferedBytes() const -> std::size_t
{
    return m_buffer.size() - m_at;
}

auto MessageReader::append(std::string_view bytes) -> void
{
    if (m_at > 0) {
        release();
    }
    m_buffer.append(bytes);
}

auto MessageReader::release() -> void
{
    m_buffer.erase(0, m_at);
    m_at = 0;
    if (m_buffer.empty() && m_buffer.capacity() > MaxKeptCapacity) {
        releaseText(m_buffer);
    }
}

auto MessageReader::take() -> FramedMessage
{
    const std::size_t available = bufferedBytes();
    if (available == 0) {
        release(); // of the last message; a long one isn't kept until more bytes come
        return {FramingState::Incomplete, {}};
    }
    const auto *start = reinterpret_cast<const std::uint8_t *>(m_buffer.data()) + m_at;
    google::protobuf::io::CodedInputStream input(start, static_cast<int>(available));
    std::uint64_t size = 0;
    if (!input.ReadVarint64(&size)) {
        return {available < MaxVarintBytes ? FramingState::Incomplete : FramingState::Malformed, {}};
    }
    if (size > m_maxMessage) {
        return {FramingState::Malformed, {}};
    }
    const auto prefix = static_cast<std::size_t>(input.CurrentPosition());
    if (available - prefix < size) {
        return {FramingState::Incomplete, {}};
    }
    const std::string_view message(m_buffer.data() + m_at + prefix, size);
    m_at += prefix + size;
    return {FramingState::Message, message};
}

} // namespace KingCup
