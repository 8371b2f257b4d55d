// Helpers that parse response bodies in tests.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

/// Number of occurrences of `part` in `text`; overlapping ones count.
inline auto countOccurrences(const std::string &text, const std::string &part) -> int
{
    int count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

/// The data of each complete server-sent event in `body`, without the event that is still incomplete at its end.
inline auto eventData(const std::string &body) -> std::vector<std::string>
{
    constexpr std::string_view DataPrefix = "data: ";
    std::vector<std::string> found;
    std::size_t at = 0;
    for (auto stop = body.find("\n\n"); stop != std::string::npos; stop = body.find("\n\n", at)) {
        const auto event = body.substr(at, stop - at);
        const auto data = event.find(DataPrefix);
        if (data != std::string::npos) {
            found.push_back(event.substr(data + DataPrefix.size()));
        }
        at = stop + 2;
    }
    return found;
}

} // namespace KingCup
