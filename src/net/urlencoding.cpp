#include "net/urlencoding.h"

#include <cctype>

namespace KingCup
{

namespace
{

constexpr std::string_view PlainInValue = "-_.~";
constexpr std::string_view PlainInPair = "-_.~=/?:@!$'()*,;";
constexpr std::string_view PlainInPath = "-_.~=/:@!$'()*,;+&";

auto encode(std::string_view text, std::string_view plain) -> std::string
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned Base = 16;
    std::string out;
    out.reserve(text.size());
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || plain.find(c) != std::string_view::npos) {
            out += c;
            continue;
        }
        out += '%';
        out += Digits[byte / Base];
        out += Digits[byte % Base];
    }
    return out;
}

} // namespace

auto encodePath(std::string_view decoded) -> std::string
{
    return encode(decoded, PlainInPath);
}

auto encodeQueryPair(std::string_view decoded) -> std::string
{
    return encode(decoded, PlainInPair);
}

auto encodeQueryValue(std::string_view text) -> std::string
{
    return encode(text, PlainInValue);
}

} // namespace KingCup
