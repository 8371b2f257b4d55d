// Where a process listens or connects, and the files of its TLS identity. Plain data, read from settings.
#pragma once

#include <compare>
#include <string>

namespace KingCup
{

/// An IP address and a TCP port.
struct Endpoint {
    std::string address = "127.0.0.1";
    int port = 0;

    auto operator<=>(const Endpoint &) const = default;
};
/// Parses "127.0.0.1:8080"; the port is 0 if the text isn't an endpoint.
auto endpointFromString(const std::string &text) -> Endpoint;
auto toString(const Endpoint &endpoint) -> std::string;

/// Files of a TLS identity; all empty means plain TCP.
struct TlsFiles {
    std::string certificate; ///< PEM chain
    std::string key; ///< PEM
    std::string authority; ///< PEM; the peers' certificates must be signed by it

    auto isEnabled() const -> bool
    {
        return !certificate.empty() || !authority.empty();
    }
};

} // namespace KingCup
