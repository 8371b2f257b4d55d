#include "net/urlencoding.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

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

auto decodePercent(std::string_view encoded, bool isQuery) -> std::optional<std::string>
{
    constexpr std::size_t EscapeLength = 3;
    constexpr int Hexadecimal = 16;
    std::string out;
    out.reserve(encoded.size());
    for (std::size_t i = 0; i < encoded.size(); ++i) {
        auto byte = static_cast<unsigned char>(isQuery && encoded[i] == '+' ? ' ' : encoded[i]);
        if (encoded[i] == '%') {
            const auto *first = encoded.data() + i + 1;
            const auto *last = encoded.data() + std::min(i + EscapeLength, encoded.size());
            const auto parsed = std::from_chars(first, last, byte, Hexadecimal);
            if (parsed.ec != std::errc() || parsed.ptr != encoded.data() + i + EscapeLength) {
                return std::nullopt;
            }
            i += EscapeLength - 1;
        }
        if (std::iscntrl(byte) != 0) {
            return std::nullopt;
        }
        out += static_cast<char>(byte);
    }
    return out;
}

auto normalizedPath(std::string_view decoded) -> std::string
{
    std::vector<std::string_view> segments;
    const bool endsWithSlash = decoded.ends_with("/") || decoded.ends_with("/.") || decoded.ends_with("/..");
    while (!decoded.empty()) {
        const auto slash = std::min(decoded.find('/'), decoded.size());
        const auto segment = decoded.substr(0, slash);
        decoded.remove_prefix(std::min(slash + 1, decoded.size()));
        if (segment == "..") {
            if (!segments.empty()) {
                segments.pop_back();
            }
        } else if (!segment.empty() && segment != ".") {
            segments.push_back(segment);
        }
    }
    std::string path;
    for (const auto segment : segments) {
        path.append("/").append(segment);
    }
    return path.empty() || endsWithSlash ? path + "/" : path;
}

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
