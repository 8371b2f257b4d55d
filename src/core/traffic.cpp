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

auto EngineDeclaration::models() const -> const std::vector<ModelDeclaration> &
{
    return m_models;
}

auto EngineDeclaration::model(std::string_view name) const -> const ModelDeclaration *
{
    const auto found = m_positions.find(name);
    return found == m_positions.end() ? nullptr : &m_models[found->second];
}

auto EngineDeclaration::largestWeights() const -> Bytes
{
    return m_largestWeights;
}

auto EngineDeclaration::setModels(std::vector<ModelDeclaration> models) -> void
{
    m_models = std::move(models);
    m_positions.clear();
    m_largestWeights = Bytes();
    for (std::size_t i = 0; i < m_models.size(); ++i) {
        m_positions[m_models[i].name] = i;
        m_largestWeights = std::max(m_largestWeights, m_models[i].weights);
    }
}

namespace
{

constexpr double PatientGoalFactor = 2; ///< a goal of at least this many times the shortest one makes a route less urgent

auto bandOf(int priority, Duration goal, Duration shortestGoal) -> UrgencyBand
{
    const int later = goal >= shortestGoal * PatientGoalFactor ? 1 : 0;
    return static_cast<UrgencyBand>(std::clamp(priority + later, 0, static_cast<int>(UrgencyBandCount) - 1));
}

} // namespace

auto bandOf(const Route &route, int priority) -> UrgencyBand
{
    return bandOf(priority, route.goal, route.shortestGoal);
}

auto assignBands(Traffic &traffic) -> void
{
    std::map<int, Duration> shortest;
    std::map<ServiceName, Duration> shortestOfService;
    for (const auto &route : traffic.routes) {
        const auto [found, isNew] = shortest.try_emplace(route.priority, route.goal);
        found->second = std::min(found->second, route.goal);
        for (const auto &part : route.services) {
            const auto [service, isNewService] = shortestOfService.try_emplace(part.service, route.goal);
            service->second = std::min(service->second, route.goal);
        }
    }
    for (auto &route : traffic.routes) {
        route.shortestGoal = route.goal;
        for (const auto &part : route.services) {
            route.shortestGoal = std::min(route.shortestGoal, shortestOfService[part.service]);
        }
        route.band = bandOf(route.priority, route.goal, shortest[route.priority]);
    }
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

auto streamServices(const Traffic &traffic) -> std::set<ServiceName>
{
    std::set<ServiceName> services;
    for (const auto &route : traffic.routes) {
        for (const auto &weighted : route.services) {
            if (route.kind == RouteKind::Stream) {
                services.insert(weighted.service);
            }
        }
    }
    return services;
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
