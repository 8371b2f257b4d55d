// Reads JSON that other programs wrote. nlohmann::json parses and destroys values without recursion, but copies and serializes them with it, and refuses
// a whole text for one number that no double holds or one invalid byte. So texts are parsed up to a fixed depth only, and a list of entries from several
// writers is split into them first, so that an invalid entry doesn't hide the others. Pure.
//
// Index of this file:
// [SECTION] Parsing
// [SECTION] Splitting
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Parsing

/// Objects and arrays within each other that are read. Copying 20,000 levels still fits a thread's stack of 8 MB; 49,000 don't.
constexpr std::size_t MaxJsonDepth = 1024;

/// Offset of the first bracket that is nested deeper than MaxJsonDepth; nothing: none is. Brackets within strings don't count.
auto findExcessiveNesting(std::string_view text) -> std::optional<std::size_t>;

/// The parsed text; is_discarded() is true if it isn't JSON in UTF-8, is nested too deeply or has a number that no double holds.
auto parseJson(std::string_view text) -> nlohmann::json;

// [SECTION] Splitting

/// A member of an object as written. `value` points into the text that was split, and may itself be invalid.
struct JsonMember {
    std::string name; ///< decoded; empty if it is invalid
    std::string_view value;
};

/// The members of an object in their order, duplicates too. Nothing if the text isn't an object whose brackets and quotes match.
auto splitJsonObject(std::string_view text) -> std::optional<std::vector<JsonMember>>;

/// The elements of an array as written. Nothing if the text isn't an array whose brackets and quotes match.
auto splitJsonArray(std::string_view text) -> std::optional<std::vector<std::string_view>>;

/// The last member of that name, which is the one that a parser keeps; empty if there is none.
auto findJsonMember(const std::vector<JsonMember> &members, std::string_view name) -> std::string_view;

} // namespace KingCup
