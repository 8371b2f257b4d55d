// Parsers of the values of INI keys. Each returns the value and an error message, which is empty if the text is valid.
#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

/// A parsed value, or an error message.
template<typename T>
struct ParsedValue {
    T value {};
    std::string error; ///< empty if the text is valid
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
/// Splits a comma-separated list. Trims blanks and drops empty items.
auto splitList(const std::string &text) -> std::vector<std::string>;
/// Joins words to a text such as "a, b or c".
auto wordList(const std::vector<std::string> &words) -> std::string;
/// Formats a number with up to 15 significant digits and without trailing zeros.
auto numberText(double number) -> std::string;

} // namespace KingCup
