// Frees the memory of a text.
#pragma once

#include <string>

namespace KingCup
{

/// Empties a text and frees its memory. With libstdc++, clear() and the assignment of an empty text keep it.
inline auto releaseText(std::string &text) -> void
{
    std::string().swap(text);
}

} // namespace KingCup
