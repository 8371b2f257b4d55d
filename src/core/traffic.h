// The operators' declarations for gateways that reach targets directly: routes, services with their engines, limits for callers.
// Plain data, no I/O. A Traffic object is one version of all declarations; a newer version replaces it as a whole.
//
// Index of sections (search for [SECTION]):
//   Routes     which requests go to which service, and how
//   Engines    models and capacities of a service's runners
//   Limits     limits for callers
//   Traffic    one version of all declarations
//   Lookup     finds the route and the service of a request
#pragma once

#include "core/accounts.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Routes

/// Urgency of a request relative to others of its service. Runners' engines take more urgent requests first.
enum class UrgencyBand { Urgent = 0, Normal = 1, Patient = 2 };
constexpr std::size_t UrgencyBandCount = 3;

enum class RouteKind {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once for each request that a caller sends
    Stream, ///< answered by a stream of events; runs at most once unless the route is resumable
};
auto toString(RouteKind kind) -> const char *;

struct WeightedService {
    ServiceName service;
    double weight = 1; ///< the service's share of the route's requests, relative to the weights of the route's other services
};

struct Route {
    std::string name;
    std::string host; ///< lower case
    std::string prefix; ///< path prefix; begins and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services; ///< one service, or several that share the route's requests by weight
    Duration timeout; ///< from the first byte of the request to the end of its answer
    Duration goal; ///< an answer (for streams: its first event) within this time is on time
    Duration pauseGoal; ///< for streams: the longest pause between events that is on time; 0: none declared
    Duration callerGiveUpTime; ///< for streams: callers give up after this long without an event, also before the first one; 0: not known
    int priority = 0; ///< 0 is the most urgent
    UrgencyBand band = UrgencyBand::Normal; ///< computed from priority and goal by assignBands()
    Duration shortestGoal; ///< shortest goal of all routes to the same services; computed by assignBands()
    int attempts = 1; ///< number of targets that one request of a caller may be tried on
    bool isResumable = false; ///< for streams: may be resumed at another target after the last event that was received
    bool isAnonymous = false; ///< requests need no key even if accounts are declared

    auto mayRepeat() const -> bool; ///< whether a request may be sent again although it may have run
};

// [SECTION] Engines

struct ModelDeclaration {
    std::string name;
    Bytes weights;
    Duration loadTime; ///< time of a load from the weight store while no other load runs
    Duration memoryLoadTime; ///< time of a load from the runner's host memory; 0: not declared
    Duration diskLoadTime; ///< time of a load from the runner's disk; 0: not declared
    int adapters = 0; ///< number of adapters; they are named a1, a2, ...
    Bytes adapterWeights; ///< size of each adapter
};

/// The engine of a service's runners, the same for all of them.
struct EngineDeclaration {
    int slots = 0; ///< maximum number of requests in a batch
    int kvTokens = 0; ///< capacity of the KV cache in tokens; running requests and cached prompts share it
    Bytes memory; ///< accelerator memory for models and adapters together
    int adapterSlots = 0; ///< maximum number of loaded adapters
    double loadsPerSecond = 0; ///< limit on loads from the weight store by all runners together; 0: not limited
    Bytes hostMemory; ///< host memory for cached weights
    Bytes disk; ///< disk space for cached weights
    auto models() const -> const std::vector<ModelDeclaration> &;
    auto model(std::string_view name) const -> const ModelDeclaration *; ///< null if the model isn't declared
    auto largestWeights() const -> Bytes; ///< weights of the largest model
    auto setModels(std::vector<ModelDeclaration> models) -> void;

private:
    std::vector<ModelDeclaration> m_models;
    std::map<std::string, std::size_t, std::less<>> m_positions; ///< index in m_models by name; planning looks models up thousands of times a round
    Bytes m_largestWeights;
};

struct ServiceDeclaration {
    ServiceName name;
    std::string healthPath;
    int maxConnections = 0; ///< limit on connections to one target, for all callers together; 0: not limited
    std::optional<EngineDeclaration> engine; ///< unset for a plain service
};

// [SECTION] Limits

struct CallerLimits {
    std::size_t headBytes = 16384; ///< maximum size of a request's head
    std::size_t bodyBytes = 4U << 20U; ///< maximum size of a request's body
    Duration headTimeout = Duration::seconds(3); ///< from a request's first byte to the end of its head; also the longest pause within its body
    Duration idleTimeout = Duration::seconds(15); ///< a connection without a request is closed after this time
};

// [SECTION] Traffic

using TrafficVersion = StrongNumber<struct TrafficVersionTag>; ///< increases, not necessarily by 1; 0: none known

struct Traffic {
    TrafficVersion version;
    std::vector<Route> routes;
    std::map<ServiceName, ServiceDeclaration> services;
    CallerLimits limits;
    bool hasAccounts = false; ///< accounts are declared, so that requests need a key; the table may still be empty
    AccountTable accounts;
};

/// Sets the band of each route: by its priority, and one band less urgent if its goal is at least twice the shortest goal of all routes with that priority, as
/// its requests can wait for those with a short goal. Also sets shortestGoal.
auto assignBands(Traffic &traffic) -> void;
/// The band of a route's requests for an account whose priority replaces the route's. The route's goal is compared with its shortestGoal. Requires
/// assignBands().
auto bandOf(const Route &route, int priority) -> UrgencyBand;

// [SECTION] Lookup

/// Finds routes by host and longest matching prefix.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const Traffic &traffic);

    /// The route of a request; null if none matches. `host` may include a port and is compared case-insensitively; `path` may include a query.
    auto find(std::string_view host, std::string_view path) const -> const Route *;

private:
    std::map<std::string, std::vector<Route>, std::less<>> m_hosts; ///< routes with longer prefixes first
};

/// The services that routes for streams go to.
auto streamServices(const Traffic &traffic) -> std::set<ServiceName>;
/// Picks a service of the route at random by weight; `draw` is a random number, uniform in [0, 1).
auto pickService(const Route &route, double draw) -> ServiceName;

} // namespace KingCup
