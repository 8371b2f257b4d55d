// Follows a stream of server-sent events and tells whether it stands between two events. A stream that ends inside an event is incomplete, whatever the
// framing of its answer says. Lines end with LF, CRLF or CR; bytes may arrive in pieces of any size and aren't stored. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace KingCup
{

class EventBoundary
{
public:
    auto isBetweenEvents() const -> bool; ///< also before the first event, and after a complete line that is a comment
    auto events() const -> std::uint64_t; ///< complete events so far
    auto openBytes() const -> std::size_t; ///< read since the last position between two events

    /// Reads up to the next position between two events, or all bytes if there is none; returns how many bytes were read.
    auto advance(std::string_view bytes) -> std::size_t;
    auto feed(std::string_view bytes) -> void; ///< reads all bytes

private:
    auto read(char byte) -> bool;
    auto endLine() -> void;

    std::uint64_t m_events = 0;
    std::size_t m_openBytes = 0;
    bool m_hasFields = false; ///< lines of an event were read, and the blank line at its end is missing
    bool m_isLineEmpty = true;
    bool m_isComment = false; ///< the current line is one
    bool m_isAfterCr = false; ///< CR was read: the line ends with it, or with a LF that follows
    bool m_endsWithCr = false; ///< a line has ended with CR alone, so further lines may
    bool m_mayIgnoreLf = false; ///< the previous line has ended with CR; LF belongs to it
};

} // namespace KingCup
