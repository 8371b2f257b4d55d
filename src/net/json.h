// Reads JSON of other services without exceptions: an invalid answer must not terminate the process.
#pragma once

#include "core/jsontext.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace KingCup
{

/// A member of an object; null if there is none or `object` isn't one.
inline auto member(const nlohmann::json &object, const char *name) -> const nlohmann::json &
{
    static const nlohmann::json None;
    if (!object.is_object()) {
        return None;
    }
    const auto found = object.find(name);
    return found == object.end() ? None : *found;
}

inline auto textOf(const nlohmann::json &value) -> std::string
{
    return value.is_string() ? value.get<std::string>() : std::string();
}

inline auto numberOf(const nlohmann::json &value, double fallback) -> double
{
    return value.is_number() ? value.get<double>() : fallback;
}

inline auto unsignedOf(const nlohmann::json &value) -> std::uint64_t
{
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

inline auto signedOf(const nlohmann::json &value) -> std::int64_t
{
    return value.is_number_integer() ? value.get<std::int64_t>() : 0;
}

inline auto boolOf(const nlohmann::json &value) -> bool
{
    return value.is_boolean() && value.get<bool>();
}

/// Serialises to text. Invalid UTF-8 is replaced, since the exception thrown otherwise would terminate the process.
inline auto dumpJson(const nlohmann::json &value) -> std::string
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace KingCup
