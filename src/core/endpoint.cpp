#include "core/endpoint.h"

#include <charconv>
#include <system_error>

namespace KingCup
{

auto endpointFromString(const std::string &text) -> Endpoint
{
    Endpoint endpoint;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return endpoint;
    }
    endpoint.address = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    constexpr int MaxPort = 65535;
    if (parsed.ec != std::errc() || parsed.ptr != end || endpoint.port < 0 || endpoint.port > MaxPort) {
        endpoint.port = 0;
    }
    return endpoint;
}

auto toString(const Endpoint &endpoint) -> std::string
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace KingCup
