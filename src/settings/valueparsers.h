// Parses the values of INI keys. Every parser answers with an error message, or nothing if the text is good.
#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

/// A value, or what is wrong with its text.
template<typename T>
struct ParsedValue {
    T value {};
    std::string error; ///< empty if the text is good
};

/// A whole number from `min` to `max`.
auto parseInteger(const std::string &text, std::int64_t min, std::int64_t max) -> ParsedValue<std::int64_t>;
/// A decimal number from `min` to `max`.
auto parseDecimal(const std::string &text, double min, double max) -> ParsedValue<double>;
/// "true" or "false".
auto parseBool(const std::string &text) -> ParsedValue<bool>;
/// IP:PORT with a port from 1 to 65535.
auto parseEndpoint(const std::string &text) -> ParsedValue<Endpoint>;
/// The index of `text` in `words`.
auto parseWord(const std::string &text, const std::vector<std::string> &words) -> ParsedValue<std::size_t>;
/// Letters, digits, '-', '_', '.' and '@'; 1 to 200 of them.
auto parseName(const std::string &text) -> ParsedValue<std::string>;
/// Parts between commas, without surrounding blanks; empty parts are left out.
auto splitList(const std::string &text) -> std::vector<std::string>;
/// "a, b or c".
auto wordList(const std::vector<std::string> &words) -> std::string;
/// A number as short as it can be written.
auto numberText(double number) -> std::string;

} // namespace KingCup
