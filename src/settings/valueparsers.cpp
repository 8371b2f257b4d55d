#include "settings/valueparsers.h"

#include "core/declarations.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <sstream>

namespace KingCup
{

namespace
{

template<typename T>
auto parseNumber(const std::string &text, T min, T max, const char *kind) -> ParsedValue<T>
{
    ParsedValue<T> parsed;
    const char *end = text.data() + text.size();
    const auto outcome = std::from_chars(text.data(), end, parsed.value);
    if (outcome.ec != std::errc() || outcome.ptr != end) {
        parsed.error = "'" + text + "' is not " + kind;
    } else if (!(parsed.value >= min && parsed.value <= max)) {
        parsed.error = text + " is out of range (" + numberText(static_cast<double>(min)) + " to " + numberText(static_cast<double>(max)) + ")";
    }
    return parsed;
}

auto isIpAddress(const std::string &text) -> bool
{
    in6_addr buffer {};
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

auto trimmed(const std::string &text) -> std::string
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

auto parseInteger(const std::string &text, std::int64_t min, std::int64_t max) -> ParsedValue<std::int64_t>
{
    return parseNumber<std::int64_t>(text, min, max, "a whole number");
}

auto parseDecimal(const std::string &text, double min, double max) -> ParsedValue<double>
{
    return parseNumber<double>(text, min, max, "a number");
}

auto parseBool(const std::string &text) -> ParsedValue<bool>
{
    const auto choice = parseWord(text, {"false", "true"});
    return {choice.value == 1, choice.error};
}

auto parseEndpoint(const std::string &text) -> ParsedValue<Endpoint>
{
    ParsedValue<Endpoint> parsed {endpointFromString(text), {}};
    if (parsed.value.port == 0 || !isIpAddress(parsed.value.address)) {
        parsed.error = "'" + text + "' is not IP:PORT";
    }
    return parsed;
}

auto parseWord(const std::string &text, const std::vector<std::string> &words) -> ParsedValue<std::size_t>
{
    const auto found = std::find(words.begin(), words.end(), text);
    if (found == words.end()) {
        return {0, "'" + text + "' is not one of " + wordList(words)};
    }
    return {static_cast<std::size_t>(found - words.begin()), {}};
}

auto parseName(const std::string &text) -> ParsedValue<std::string>
{
    if (!isValidName(text)) {
        return {text, "'" + text + "' is not a name (letters, digits, - _ . @)"};
    }
    return {text, {}};
}

auto splitList(const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        part = trimmed(part);
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

auto wordList(const std::vector<std::string> &words) -> std::string
{
    std::string list;
    for (std::size_t index = 0; index < words.size(); ++index) {
        if (index > 0) {
            list += index + 1 == words.size() ? " or " : ", ";
        }
        list += words[index];
    }
    return list;
}

auto numberText(double number) -> std::string
{
    std::ostringstream text;
    constexpr int Digits = 15;
    text.precision(Digits);
    text << number;
    return text.str();
}

} // namespace KingCup
