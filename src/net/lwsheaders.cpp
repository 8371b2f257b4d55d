#include "net/lwsheaders.h"

#include <cstring>
#include <unordered_map>

namespace KingCup
{

namespace
{

/// The tokens of libwebsockets by header name, without the colon at which its names end. Built at the first use.
auto knownTokens() -> const std::unordered_map<std::string, lws_token_indexes> &
{
    static const auto Tokens = [] {
        std::unordered_map<std::string, lws_token_indexes> tokens;
        for (int i = 0; i < WSI_TOKEN_COUNT; ++i) {
            const auto token = static_cast<lws_token_indexes>(i);
            const auto *name = reinterpret_cast<const char *>(lws_token_to_string(token));
            if (name != nullptr && std::strlen(name) > 1 && name[std::strlen(name) - 1] == ':') {
                tokens.emplace(std::string(name, std::strlen(name) - 1), token);
            }
        }
        return tokens;
    }();
    return Tokens;
}

auto customHeader(lws *wsi, const std::string &name) -> std::string
{
    const std::string withColon = name + ":";
    const int length = lws_hdr_custom_length(wsi, withColon.data(), static_cast<int>(withColon.size()));
    if (length <= 0) {
        return {};
    }
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1, withColon.data(), static_cast<int>(withColon.size()));
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    return value;
}

} // namespace

auto knownHeader(lws *wsi, lws_token_indexes token) -> std::string
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0) {
        return {};
    }
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    return value;
}

auto namedHeader(lws *wsi, const std::string &name) -> std::string
{
    const auto token = knownTokens().find(name);
    return token == knownTokens().end() ? customHeader(wsi, name) : knownHeader(wsi, token->second);
}

auto collectHeaders(lws *wsi, const std::vector<std::string> &names) -> HttpHeaders
{
    HttpHeaders headers;
    for (const auto &name : names) {
        auto value = namedHeader(wsi, name);
        if (!value.empty()) {
            headers.push_back({name, std::move(value)});
        }
    }
    return headers;
}

} // namespace KingCup
