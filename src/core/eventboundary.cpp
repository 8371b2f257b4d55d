#include "core/eventboundary.h"

namespace KingCup
{

auto EventBoundary::isBetweenEvents() const -> bool
{
    return m_isLineEmpty && !m_hasFields && !m_isAfterCr;
}

auto EventBoundary::events() const -> std::uint64_t
{
    return m_events;
}

auto EventBoundary::openBytes() const -> std::size_t
{
    return m_openBytes;
}

auto EventBoundary::endLine() -> void
{
    if (!m_isLineEmpty) {
        m_hasFields = m_hasFields || !m_isComment;
    } else if (m_hasFields) {
        m_hasFields = false;
        ++m_events;
    }
    m_isLineEmpty = true;
}

/// True if the byte has ended a line.
auto EventBoundary::read(char byte) -> bool
{
    const bool isPairedLf = byte == '\n' && (m_isAfterCr || m_mayIgnoreLf);
    const bool endsBefore = m_isAfterCr && byte != '\n';
    const bool wasIgnored = isPairedLf && m_mayIgnoreLf;
    m_isAfterCr = false;
    m_mayIgnoreLf = false;
    if (endsBefore) {
        m_endsWithCr = true;
        endLine();
    }
    if (wasIgnored) {
        return true;
    }
    if (byte == '\n') {
        endLine();
        return true;
    }
    if (byte == '\r') {
        // Until a line has ended with CR alone, LF is expected: a stream that was cut off before it is incomplete.
        m_isAfterCr = !m_endsWithCr;
        m_mayIgnoreLf = m_endsWithCr;
        if (m_endsWithCr) {
            endLine();
        }
        return m_endsWithCr;
    }
    if (m_isLineEmpty) {
        m_isComment = byte == ':';
        m_isLineEmpty = false;
    }
    return false;
}

auto EventBoundary::advance(std::string_view bytes) -> std::size_t
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (read(bytes[i]) && isBetweenEvents()) {
            m_openBytes = 0;
            return i + 1;
        }
    }
    m_openBytes += bytes.size();
    return bytes.size();
}

auto EventBoundary::feed(std::string_view bytes) -> void
{
    while (!bytes.empty()) {
        bytes.remove_prefix(advance(bytes));
    }
}

} // namespace KingCup
