#include "core/traffic.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace KingCup
{

namespace
{

auto hostName(std::string_view host) -> std::string
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

auto toString(RouteKind kind) -> const char *
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::NonIdempotent:
        return "non-idempotent";
    case RouteKind::Stream:
        return "stream";
    }
    return "?";
}

auto Route::mayRepeat() const -> bool
{
    return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
}

auto EngineDeclaration::model(std::string_view name) const -> const ModelDeclaration *
{
    const auto found = std::find_if(models.begin(), models.end(), [&](const ModelDeclaration &declared) { return declared.name == name; });
    return found == models.end() ? nullptr : &*found;
}

RouteTable::RouteTable(const Traffic &traffic)
{
    for (const auto &route : traffic.routes) {
        m_hosts[hostName(route.host)].push_back(route);
    }
    for (auto &[host, routes] : m_hosts) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route &a, const Route &b) { return a.prefix.size() > b.prefix.size(); });
    }
}

auto RouteTable::find(std::string_view host, std::string_view path) const -> const Route *
{
    const auto routes = m_hosts.find(hostName(host));
    if (routes == m_hosts.end()) {
        return nullptr;
    }
    const auto bare = path.substr(0, path.find('?'));
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), [&](const Route &route) { return bare.starts_with(route.prefix); });
    return found == routes->second.end() ? nullptr : &*found;
}

auto pickService(const Route &route, double draw) -> ServiceName
{
    if (route.services.empty()) {
        return {};
    }
    const auto addWeight = [](double sum, const WeightedService &part) {
        return sum + std::max(part.weight, 0.0);
    };
    double left = draw * std::accumulate(route.services.begin(), route.services.end(), 0.0, addWeight);
    for (const auto &part : route.services) {
        left -= std::max(part.weight, 0.0);
        if (left < 0) {
            return part.service;
        }
    }
    return route.services.back().service;
}

} // namespace KingCup
