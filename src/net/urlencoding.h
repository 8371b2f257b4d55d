// Percent-encoding of the parts of a URL.
//
// Paths are compared with prefixes in their decoded form. They must be encoded again before they are forwarded: otherwise an encoded line end from a
// caller would end the request line towards a target, and the text after it would be read as headers; an encoded "&" or "+" would change
// its meaning.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace KingCup
{

/// Decodes a path or a pair of a query ("+" is a blank there). Nothing if it is malformed or holds control characters.
auto decodePercent(std::string_view encoded, bool isQuery) -> std::optional<std::string>;
/// A decoded path without empty, "." and ".." segments; it never leads above the root. A slash at its end is kept.
auto normalizedPath(std::string_view decoded) -> std::string;
/// Encodes a decoded path for a request line: "/a b" becomes "/a%20b".
auto encodePath(std::string_view decoded) -> std::string;
/// Encodes one decoded "name=value" pair of a query; its first "=" is kept.
auto encodeQueryPair(std::string_view decoded) -> std::string;
/// Encodes any text as the value of a query parameter.
auto encodeQueryValue(std::string_view text) -> std::string;

} // namespace KingCup
