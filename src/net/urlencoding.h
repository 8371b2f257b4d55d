// Percent-encoding of the parts of a URL.
//
// libwebsockets decodes paths and queries. They must be encoded again before they are forwarded: otherwise an encoded line end from a
// caller would end the request line towards a target, and the text after it would be read as headers; an encoded "&" or "+" would change
// its meaning.
#pragma once

#include <string>
#include <string_view>

namespace KingCup
{

/// Encodes a decoded path for a request line: "/a b" becomes "/a%20b".
auto encodePath(std::string_view decoded) -> std::string;
/// Encodes one decoded "name=value" pair of a query; its first "=" is kept.
auto encodeQueryPair(std::string_view decoded) -> std::string;
/// Encodes any text as the value of a query parameter.
auto encodeQueryValue(std::string_view text) -> std::string;

} // namespace KingCup
