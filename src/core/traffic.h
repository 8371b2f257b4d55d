// What operators have declared for entries that reach targets directly: routes, services with their engines, limits for callers.
// Plain data, one version of it; newer versions replace it whole.
//
// Index of sections (search for [SECTION]):
//   Routes     which requests go to which service, and how
//   Engines    what a service's runners hold and how much
//   Limits     for callers
//   Traffic    the whole of one version
//   Finding    the route of a request
#pragma once

#include "core/accounts.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Routes

/// How urgent a runner's engine is to take a request, against others of its service. Engines take the more urgent ones first.
enum class UrgencyBand { Urgent = 0, Normal = 1, Patient = 2 };
constexpr std::size_t UrgencyBandCount = 3;

enum class RouteKind {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< at most once for each try of a client
    Stream, ///< events over time; as NonIdempotent unless the route is resumable
};
auto toString(RouteKind kind) -> const char *;

struct WeightedService {
    ServiceName service;
    double weight = 1; ///< its share of the route's requests, in proportion to the others'
};

struct Route {
    std::string name;
    std::string host; ///< lower case
    std::string prefix; ///< of the path; begins and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services; ///< one, or several that share the route
    Duration timeout; ///< from the request's first byte to its last answer at the latest
    Duration goal; ///< an answer (streams: the first event) within it is on time
    Duration pauseGoal; ///< streams: the longest pause between events that is still on time; 0: none declared
    Duration callerGiveUpTime; ///< streams: callers give up when nothing has come for so long, also before the first event; 0: not known
    int priority = 0; ///< 0 is the most urgent
    UrgencyBand band = UrgencyBand::Normal; ///< from priority and goal; see assignBands()
    Duration shortestGoal; ///< of all routes to the same services; see assignBands()
    int attempts = 1; ///< targets that one try of a client may run on
    bool isResumable = false; ///< streams: may go on at another target after the last event
    bool isAnonymous = false; ///< needs no key, where accounts are declared

    auto mayRepeat() const -> bool; ///< a request that may have run may be sent again
};

// [SECTION] Engines

struct ModelDeclaration {
    std::string name;
    Bytes weights;
    Duration loadTime; ///< from the weight store, alone
    Duration memoryLoadTime; ///< from the runner's own memory; 0: not declared
    Duration diskLoadTime; ///< from the runner's own disk; 0: not declared
    int adapters = 0; ///< how many there are, named a1, a2, ...
    Bytes adapterWeights; ///< of each
};

/// The engine of a service's runners, the same for all of them.
struct EngineDeclaration {
    int slots = 0; ///< requests in one batch
    int kvTokens = 0; ///< that running requests and cached prompts share
    Bytes memory; ///< for weights and adapters together
    int adapterSlots = 0;
    double loadsPerSecond = 0; ///< from the weight store, over all runners; 0: not limited
    Bytes hostMemory; ///< for copies of weights beside the accelerator
    Bytes disk; ///< likewise
    auto models() const -> const std::vector<ModelDeclaration> &;
    auto model(std::string_view name) const -> const ModelDeclaration *; ///< null: not declared
    auto largestWeights() const -> Bytes; ///< of any model
    auto setModels(std::vector<ModelDeclaration> models) -> void;

private:
    std::vector<ModelDeclaration> m_models;
    std::map<std::string, std::size_t, std::less<>> m_positions; ///< by name: planning looks models up thousands of times a round
    Bytes m_largestWeights;
};

struct ServiceDeclaration {
    ServiceName name;
    std::string healthPath;
    int maxConnections = 0; ///< to one target, of all callers together; 0: not limited
    std::optional<EngineDeclaration> engine; ///< none: a plain service
};

// [SECTION] Limits

struct CallerLimits {
    std::size_t headBytes = 16384; ///< of a request
    std::size_t bodyBytes = 4U << 20U;
    Duration headTimeout = Duration::seconds(3); ///< from a request's first byte to the end of its head, and between pieces of its body
    Duration idleTimeout = Duration::seconds(15); ///< of a connection without a request
};

// [SECTION] Traffic

using TrafficVersion = StrongNumber<struct TrafficVersionTag>; ///< rises in uneven steps; 0: none known

struct Traffic {
    TrafficVersion version;
    std::vector<Route> routes;
    std::map<ServiceName, ServiceDeclaration> services;
    CallerLimits limits;
    bool hasAccounts = false; ///< requests need a key; there may be no account that has one
    AccountTable accounts;
};

/// Sorts the routes into bands: by priority, and where one route of a priority has several times the goal of another, it can wait for it.
auto assignBands(Traffic &traffic) -> void;
/// The band of a route's requests for an account whose priority replaces the route's; after assignBands().
auto bandOf(const Route &route, int priority) -> UrgencyBand;

// [SECTION] Finding

/// Finds routes by host and longest matching prefix.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const Traffic &traffic);

    /// The route of a request; null if none matches. `host` may carry a port and is compared in any case; `path` may carry a query.
    auto find(std::string_view host, std::string_view path) const -> const Route *;

private:
    std::map<std::string, std::vector<Route>, std::less<>> m_hosts; ///< routes with longer prefixes first
};

/// Picks a service of the route; `draw` is uniform in [0, 1).
auto pickService(const Route &route, double draw) -> ServiceName;

} // namespace KingCup
