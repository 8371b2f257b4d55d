// Percent-encoding of the parts of a URL.
//
// libwebsockets hands out paths and queries decoded. Passed on as they are, an encoded line end of a caller's would end the request line
// towards a target, and what follows it would be the caller's own headers; an encoded "&" or "+" would change its meaning.
#pragma once

#include <string>
#include <string_view>

namespace KingCup
{

/// A decoded path as it stands in a request line: "/a b" becomes "/a%20b".
auto encodePath(std::string_view decoded) -> std::string;
/// One decoded "name=value" of a query; its first "=" stays.
auto encodeQueryPair(std::string_view decoded) -> std::string;
/// Any text as a query's value.
auto encodeQueryValue(std::string_view text) -> std::string;

} // namespace KingCup
