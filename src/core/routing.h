// Routing: which target a request is sent to. Pure: reports and ends of requests go in with a time, a choice comes out.
//
// A target is eligible if it is up, not leaving, has every artifact of the request resident and isn't excluded. Among those the
// router estimates when each would finish the request, from its last load report plus what this process has sent since, and
// takes the better of two drawn at random. Requests with a common prompt prefix go to the same target while its load is bounded.
//
// Index of sections (search for [SECTION]):
//   Input      load reports and requests
//   Output     a choice or a refusal, both with a reason text
//   Options    strategy and constants
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

/// What a target said about itself, as last received. The counts are the agent's own and as fresh as the message; `age` is that of
/// the engine's figures.
struct TargetLoad {
    std::uint64_t sequence = 0; ///< a lower one than the last seen is ignored
    Duration age; ///< how old the engine's figures (decode step) were when sent
    int running = 0; ///< requests at the engine
    int queued = 0; ///< requests waiting at the agent
    int concurrencyLimit = 0; ///< 0: unknown
    Duration serviceTime; ///< recent mean of a request; 0: unknown
    Duration decodeStep; ///< between tokens; 0: unknown
    bool leaving = false;
    bool engineReady = true;
    std::uint64_t engineGeneration = 0;
    std::vector<ArtifactName> residents; ///< confirmed ones only
    std::vector<std::string> cachedPrefixes; ///< fingerprints of prompt prefixes in its cache, as far as known
};

/// A request to be sent, or sent again.
struct RoutingRequest {
    RequestId id;
    ServiceName service; ///< for plain services, which need no artifact: the targets that serve it
    std::vector<ArtifactName> artifacts; ///< all must be resident
    std::string prefixHash; ///< requests with the same one share a prompt prefix; empty: none
    int promptTokens = 0; ///< about: an engine reads them before the first token, and whatever comes after waits for it
    std::string stickyKey; ///< run-once key: the same one goes to the target that its hash ranks first; empty: none
    TimePoint deadline;
    Priority priority = Priority::Standard;
    std::vector<TargetId> excluded; ///< already tried
    bool prefersIdle = false; ///< a suspect: prefers an idle target
};

// [SECTION] Output

enum class RoutingRefusal {
    NoCopy, ///< no live target has the artifacts
    AllExcluded, ///< every target that has them was tried
    TooLate, ///< none is expected to finish by the deadline
    Overloaded, ///< all are at their limit now: wait in the queue
};
auto toString(RoutingRefusal refusal) -> const char *;

struct RoutingChoice {
    TargetId target; ///< empty if refused
    RoutingRefusal refusal = RoutingRefusal::NoCopy; ///< only if refused
    Duration expected; ///< until the answer's end; if refused, until it is worth trying again
    std::string reason; ///< for the log and `explain`

    auto isRefused() const -> bool
    {
        return target.isEmpty();
    }
};

/// How an attempt ended, for a target's health.
enum class AttemptResult {
    Delivered,
    Refused, ///< not run: leaving, not resident, overloaded. Says nothing about health
    Failed, ///< broken, timed out or an error of the target
    Cancelled, ///< by the caller or a hedge: says nothing about health
};

// [SECTION] Options

enum class RoutingStrategy {
    Objective, ///< the one described above
    RoundRobin, ///< baseline: each eligible target in turn
    LeastLoaded, ///< baseline: the fewest requests reported and sent since
};
auto toString(RoutingStrategy strategy) -> const char *;
auto routingStrategyFromString(const std::string &text) -> std::optional<RoutingStrategy>;

struct RoutingOptions {
    RoutingStrategy strategy = RoutingStrategy::Objective;
    ZoneName zone; ///< this process's own
    std::uint64_t seed = 1; ///< of the random draws
    Duration otherZonePenalty = Duration::millis(2); ///< added to the estimate of targets in other zones: there and back
    Duration staleAfter = Duration::seconds(2); ///< a report older than this makes a target less likely
    Duration deadAfter = Duration::seconds(6); ///< and than this, ineligible
    Duration slowStart = Duration::seconds(10); ///< from its return until a target gets its full share
    Duration firstEjection = Duration::seconds(2); ///< first pause after repeated failures; doubles up to 30 s
    int failuresToEject = 3; ///< in a row
    double batchShare = 0.7; ///< of a target's limit that batch requests may fill
    double affinityMaxLoadRatio = 1.25; ///< a preferred target may have this many times the mean load
    Duration affinityMaxDelay = Duration::millis(50); ///< a preferred target may be expected to take this much longer than the best
    double promptTokensPerSecond = 4500; ///< that an engine reads beside decoding
    double standardBacklog = 1000; ///< unread prompt tokens beyond which a target gets no further standard request
    double batchBacklog = 100; ///< and no batch request
    bool countsPrompts = true; ///< switches for ablation runs, this and the next two
    bool prefixAffinity = true;
    bool twoChoices = true;
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
    auto targets() const -> std::vector<TargetId>; ///< all that are known
    auto holders(const std::vector<ArtifactName> &artifacts, TimePoint now) const -> std::vector<TargetId>; ///< eligible ones
    auto instances(const ServiceName &service, TimePoint now) const -> std::vector<TargetId>; ///< eligible ones of a plain service
    auto inFlight(const TargetId &target) const -> int; ///< sent by this process and not ended
    auto lastReport(const TargetId &target) const -> std::optional<TargetLoad>;
    auto weight(const TargetId &target, TimePoint now) const -> double; ///< 0 (gets nothing) to 1 (its full share)
    auto hasCapacity(const TargetId &target, Priority priority, TimePoint now) const -> bool; ///< below its limit

    /// Chooses a target; the caller reports requestStarted() when it has sent the request. Not const: draws random numbers.
    auto choose(const RoutingRequest &request, TimePoint now) -> RoutingChoice;

    // Commands: what happened
    auto targetUp(const TargetId &target, const ZoneName &zone, const ServiceName &service, TimePoint now) -> void; ///< connected
    auto targetDown(const TargetId &target, TimePoint now) -> void; ///< connection lost or declared dead; its requests still end one by one
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
