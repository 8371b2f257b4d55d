#include "net/sendqueue.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr std::size_t PieceBytes = 65536; ///< of appended texts; freed once it is sent

} // namespace

auto SendQueue::size() const -> std::size_t
{
    return m_size;
}

auto SendQueue::isEmpty() const -> bool
{
    return m_size == 0;
}

auto SendQueue::front() const -> std::string_view
{
    return m_pieces.empty() ? std::string_view() : m_pieces.front().left();
}

auto SendQueue::append(std::string_view bytes) -> void
{
    m_size += bytes.size();
    while (!bytes.empty()) {
        const bool hasSpace = !m_pieces.empty() && !m_pieces.back().own.empty() && m_pieces.back().own.size() < PieceBytes;
        if (!hasSpace) {
            m_pieces.emplace_back();
        }
        auto &piece = m_pieces.back().own;
        const auto size = std::min(bytes.size(), PieceBytes - piece.size());
        piece.append(bytes.substr(0, size));
        bytes.remove_prefix(size);
    }
}

auto SendQueue::appendShared(const SharedBytes &bytes) -> void
{
    if (!bytes.isEmpty()) {
        m_size += bytes.size();
        m_pieces.push_back({"", bytes, 0});
    }
}

auto SendQueue::removeFront(std::size_t bytes) -> void
{
    if (m_pieces.empty()) {
        return;
    }
    auto &piece = m_pieces.front();
    const auto removed = std::min(bytes, piece.left().size());
    m_size -= removed;
    piece.start += removed;
    if (piece.left().empty()) {
        m_pieces.pop_front();
    }
}

auto SendQueue::clear() -> void
{
    m_pieces.clear();
    m_size = 0;
}

} // namespace KingCup
