// Routing: chooses the target that a request is sent to. No I/O: load reports and ends of requests are passed in with a time, a choice is returned.
//
// A target is eligible if it is up, not leaving, not ejected, has reported recently that its engine is ready, and has every artifact of the request resident.
// For each eligible target that isn't excluded, the router estimates how long it would take to finish the request, from its last load report and what this
// process has sent since. It draws two at random and takes the better one. Requests with a common prompt prefix go to the same target while its load and
// estimate stay within bounds.
//
// Index of sections (search for [SECTION]):
//   Input      load reports and requests
//   Output     a choice or a refusal, both with a reason text
//   Options    strategy and constants of the estimate
//   Router     the state and the decision
#pragma once

#include "core/declarations.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Input

/// A target's load report. The counts are the agent's own and as recent as the message; `age` applies to the values from the engine.
struct TargetLoad {
    std::uint64_t sequence = 0; ///< a report with a lower sequence than the last one is ignored
    Duration age; ///< of the engine's values (decode step) when the report was sent
    int running = 0; ///< requests running at the engine
    int queued = 0; ///< requests waiting at the agent
    int concurrencyLimit = 0; ///< 0: unknown
    Duration serviceTime; ///< recent mean over requests; 0: unknown
    Duration decodeStep; ///< time between tokens; 0: unknown
    bool leaving = false;
    bool engineReady = true;
    std::uint64_t engineGeneration = 0;
    std::vector<ArtifactName> residents; ///< only those whose residency is confirmed
    std::vector<std::string> cachedPrefixes; ///< fingerprints of prompt prefixes that are known to be in the engine's cache
};

/// A request to be sent or retried.
struct RoutingRequest {
    RequestId id;
    ServiceName service; ///< if `artifacts` is empty (a plain service), only targets of this service are eligible
    std::vector<ArtifactName> artifacts; ///< all must be resident at the target
    std::string prefixHash; ///< requests with the same hash share a prompt prefix; empty: none
    int promptTokens = 0; ///< approximate; the engine prefills them before the first token, and later requests wait for this prefill
    std::string stickyKey; ///< idempotency key: requests with the same key go to the target that ranks first by rendezvous hashing; empty: none
    TimePoint deadline;
    Priority priority = Priority::Standard;
    std::vector<TargetId> excluded; ///< already tried
    bool prefersIdle = false; ///< suspected of crashing targets: goes to the least loaded target
};

// [SECTION] Output

enum class RoutingRefusal {
    NoCopy, ///< no eligible target has the artifacts
    AllExcluded, ///< every target that has them is excluded
    TooLate, ///< no target with capacity is expected to finish by the deadline
    Overloaded, ///< all targets that could take the request are at their limit: it should wait in the admission queue
};
auto toString(RoutingRefusal refusal) -> const char *;

struct RoutingChoice {
    TargetId target; ///< empty if refused
    RoutingRefusal refusal = RoutingRefusal::NoCopy; ///< only if refused
    Duration expected; ///< expected time until the end of the answer; if refused, until a retry makes sense
    std::string reason; ///< for the log and `explain`

    auto isRefused() const -> bool
    {
        return target.isEmpty();
    }
};

/// How an attempt ended, for the health of its target.
enum class AttemptResult {
    Delivered,
    Refused, ///< not run: leaving, not resident, overloaded. Doesn't affect the target's health
    Failed, ///< the connection broke, the attempt timed out, or the target returned an error
    Cancelled, ///< by the caller or a hedge. Doesn't affect the target's health
};

// [SECTION] Options

enum class RoutingStrategy {
    Objective, ///< as described at the head of this file
    RoundRobin, ///< baseline: each eligible target in turn
    LeastLoaded, ///< baseline: the target with the fewest requests, reported or sent since
};
auto toString(RoutingStrategy strategy) -> const char *;
auto routingStrategyFromString(const std::string &text) -> std::optional<RoutingStrategy>;

struct RoutingOptions {
    RoutingStrategy strategy = RoutingStrategy::Objective;
    ZoneName zone; ///< this process's own
    std::uint64_t seed = 1; ///< seed of the random draws
    Duration otherZonePenalty = Duration::millis(2); ///< added to the estimate of targets in other zones: the round trip
    Duration staleAfter = Duration::seconds(2); ///< a target whose report is older than this gets a smaller share
    Duration deadAfter = Duration::seconds(6); ///< a target whose report is older than this is not eligible
    Duration slowStart = Duration::seconds(10); ///< time from a target's return until it gets its full share
    Duration firstEjection = Duration::seconds(2); ///< duration of the first ejection after repeated failures; doubles with each further one, up to 30 s
    int failuresToEject = 3; ///< consecutive failures after which a target is ejected
    double batchShare = 0.7; ///< batch requests are sent only to targets whose load, of all priorities, is below this share of the limit
    double affinityMaxLoadRatio = 1.25; ///< limit of the preferred target's load, as a multiple of the mean load
    Duration affinityMaxDelay = Duration::millis(50); ///< the preferred target's estimate may exceed the best one by at most this
    double promptTokensPerSecond = 4500; ///< prefill rate of an engine while it also decodes
    double standardBacklog = 1000; ///< pending prompt tokens above which a target gets no further standard request
    double batchBacklog = 100; ///< pending prompt tokens above which a target gets no further batch request
    bool countsPrompts = true; ///< counts pending prompt tokens; false for ablation runs
    bool prefixAffinity = true; ///< false for ablation runs
    bool twoChoices = true; ///< false for ablation runs: a single random choice
};

// [SECTION] Router

class Router
{
public:
    explicit Router(RoutingOptions options);
    ~Router();
    Router(Router &&) noexcept;
    auto operator=(Router &&) noexcept -> Router &;

    // Queries
    auto targets() const -> std::vector<TargetId>; ///< all known targets
    auto holders(const std::vector<ArtifactName> &artifacts, TimePoint now) const -> std::vector<TargetId>; ///< eligible, with all artifacts resident
    auto instances(const ServiceName &service, TimePoint now) const -> std::vector<TargetId>; ///< eligible targets of a plain service
    auto inFlight(const TargetId &target) const -> int; ///< requests sent by this process that haven't ended
    auto lastReport(const TargetId &target) const -> std::optional<TargetLoad>;
    auto weight(const TargetId &target, TimePoint now) const -> double; ///< 0 (gets no requests) to 1 (gets its full share)
    auto hasCapacity(const TargetId &target, Priority priority, TimePoint now) const -> bool; ///< can take one more request of that priority

    /// Chooses a target. Call requestStarted() when the request has been sent. Not const, because it draws random numbers.
    auto choose(const RoutingRequest &request, TimePoint now) -> RoutingChoice;

    // Commands: events
    auto targetUp(const TargetId &target, const ZoneName &zone, const ServiceName &service, TimePoint now) -> void; ///< connected
    auto targetDown(const TargetId &target, TimePoint now) -> void; ///< connection lost or declared dead; call requestEnded() for each of its requests
    auto targetLeaving(const TargetId &target) -> void;
    auto targetRemoved(const TargetId &target) -> void;
    auto reportReceived(const TargetId &target, const TargetLoad &load, TimePoint now) -> void;
    auto requestStarted(const RoutingRequest &request, const TargetId &target, TimePoint now) -> void;
    auto requestEnded(const RequestId &request, const TargetId &target, AttemptResult result, TimePoint now) -> void;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCup
