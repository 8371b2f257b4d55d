// Bytes that wait to be sent. A large body is passed on without a copy, and what was sent is freed piece by piece.
//
// Index of sections (search for [SECTION]):
//   SharedBytes   an immutable text that several holders share
//   SendQueue     the bytes that a connection still has to send, in order
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace KingCup
{

// [SECTION] SharedBytes

/// Copies share the text. Made from texts implicitly, so that a body can be set as one.
class SharedBytes
{
public:
    SharedBytes() = default;
    SharedBytes(std::string text) // NOLINT(google-explicit-constructor)
        : m_text(std::make_shared<std::string>(std::move(text)))
    {
    }
    SharedBytes(const char *text) // NOLINT(google-explicit-constructor)
        : SharedBytes(std::string(text))
    {
    }

    auto view() const -> std::string_view
    {
        return m_text ? std::string_view(*m_text) : std::string_view();
    }
    auto size() const -> std::size_t
    {
        return view().size();
    }
    auto isEmpty() const -> bool
    {
        return view().empty();
    }
    /// Moves the text out, or copies it if others share it.
    auto take() -> std::string
    {
        const auto text = std::exchange(m_text, nullptr);
        if (!text) {
            return {};
        }
        return text.use_count() == 1 ? std::move(*text) : *text;
    }

private:
    std::shared_ptr<std::string> m_text;
};

// [SECTION] SendQueue

class SendQueue
{
public:
    auto size() const -> std::size_t; ///< bytes
    auto isEmpty() const -> bool;
    auto front() const -> std::string_view; ///< the next bytes, not necessarily all; empty if there are none

    auto append(std::string_view bytes) -> void;
    auto appendShared(const SharedBytes &bytes) -> void;
    auto removeFront(std::size_t bytes) -> void; ///< at most front().size()
    auto clear() -> void;

private:
    struct Piece {
        std::string own;
        SharedBytes shared; ///< used if `own` is empty
        std::size_t start = 0; ///< bytes at the front that were sent

        auto left() const -> std::string_view
        {
            return (own.empty() ? shared.view() : std::string_view(own)).substr(start);
        }
    };

    std::deque<Piece> m_pieces;
    std::size_t m_size = 0;
};

} // namespace KingCup
