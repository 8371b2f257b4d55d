// Dispatch: chooses the target of a request where gateways reach targets directly. No I/O: target descriptions, sends and answers are passed in with a
// time; a choice is returned.
//
// A runner's engine prefills prompts one after another between the decode steps of its running streams, so the time to a request's first token is the pending
// prefill at the runner plus the prefill of the uncached part of the request's own prompt. Load reports of engines are late and cost a call. But all requests
// go through the gateways, so the sends that have no answer yet (this gateway's own, and those in the digests of the others) show the same load sooner. What
// they don't show (a runner that is faster or slower than expected, failures) is learnt from the answers.
//
// Requests with a common prefix go to a runner that has it cached, unless another runner would deliver the first token sooner in spite of prefilling it again.
// For a prefix that isn't known to be cached, the runner that ranks first by rendezvous hashing of the prefix gets a bonus. The ranking is the same at all
// gateways, so they tend to choose the same runner.
//
// Index of sections (search for [SECTION]):
//   Requests    the input of a choice
//   Choices     a target or a refusal; how a send ended
//   Options     constants of the estimate
//   Dispatcher  the state and the decision
#pragma once

#include "core/decodepace.h"

#include "core/ids.h"
#include "core/peerloads.h"
#include "core/prefillpace.h"
#include "core/promptcache.h"
#include "core/requestcost.h"
#include "core/streamcapacity.h"
#include "core/targethealth.h"
#include "core/targetinfo.h"
#include "core/targetpauses.h"
#include "core/traffic.h"
#include "core/units.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Requests

struct DispatchRequest {
    ServiceName service;
    std::string model; ///< empty: a plain service
    std::string adapter; ///< of that model; empty: none
    std::vector<PromptChain> prompt; ///< the last part is the request's own, the parts before it may be shared
    int promptTokens = 0;
    int outputTokens = 0; ///< upper limit
    UrgencyBand band = UrgencyBand::Normal;
    Duration pauseGoal; ///< streams: the longest pause between events that is still on time; 0: no goal
    bool isStream = false; ///< a stream is to begin; only at a software version that DispatchOptions::mayBegin allows
    /// A stream is to go on, which must be at the version that began it. Targets that don't state their version count as different from all others.
    std::optional<SoftwareVersion> softwareVersion;
    std::vector<TargetId> excluded; ///< already tried, or known to refuse the request
    std::optional<TargetIncarnation> granted; ///< a slot of this target was granted to the request: no other target is considered
    bool mayOverfill = false; ///< may be sent to a full target without a permit: the arbiters don't reply
};

// [SECTION] Choices

enum class DispatchRefusal {
    None,
    NoTarget, ///< no target of the service is known, or all are leaving
    OtherVersion, ///< no target runs the software version at which the stream must go on, or one at which streams may begin
    NotHeld, ///< no runner of the service has a replica of the model
    AdapterMissing, ///< runners have a replica of the model, but none that may take the request has the adapter loaded
    AllExcluded, ///< every target that could take the request is excluded
    Paused, ///< every target that could take the request has asked this gateway to send nothing for some time
    OverLimit, ///< every target that could take the request has a request limit and takes none now
    Full, ///< every target that could take the request needs a permit for a slot
};
auto toString(DispatchRefusal refusal) -> const char *;

struct DispatchChoice {
    TargetId target; ///< empty if refused
    TargetIncarnation incarnation; ///< of `target`
    SoftwareVersion softwareVersion; ///< of `target`
    DispatchRefusal refusal = DispatchRefusal::None;
    Endpoint address;
    Duration expectedFirst; ///< expected time until the first token, or until a plain service's answer
    Duration expectedIfPatient; ///< expectedFirst if the request were of the least urgent band and waited for all others at the target
    Duration backlog; ///< part of expectedFirst that is spent waiting for other requests
    int prefillTokens = 0; ///< uncached tokens of the prompt
    int candidates = 0; ///< targets that could take the request
    std::optional<TimePoint> pausedUntil; ///< if refused because of it: when the first target that could take the request takes requests again
    bool canLoadAdapter = false; ///< if refused: a runner that may take the request has the model and could load the adapter
    std::vector<TargetIncarnation> full; ///< if refused because of it: the best targets, the best one first; at most two
    TargetIncarnation overLimit; ///< would be a better choice, or the only one, but its request limit allows no request now; no id: none
    bool isLastResort = false; ///< the target is ejected, and so is every other one that could take the request
};

/// How a send ended, for the health of its target.
enum class SendResult {
    Delivered,
    Rejected, ///< not run: the target is full or leaving. Doesn't affect the target's health
    Failed, ///< the answer was cut off, or the target returned an error
    NoAnswer, ///< the connection broke, or sent data wasn't acknowledged, before any answer: ejects the target
    Cancelled, ///< by the client. Doesn't affect the target's health
};

// [SECTION] Options

struct DispatchOptions {
    ZoneName zone; ///< this process's own
    Duration otherZonePenalty = Duration::millis(4); ///< added to the cost of targets in other zones: the round trip, and the price of traffic between zones
    std::function<bool(const TargetIncarnation &target)> maySend; ///< whether the target's request limit allows a request now; null: no target has one
    /// Number of runs at the target from which on a request needs a permit for a slot, see SlotPermits::sendLimit. Nothing, or null: none needs one.
    std::function<std::optional<int>(const TargetIncarnation &target, int capacity, double crowding)> sendLimit;
    /// Whether streams may begin at a software version of a service; null: at each.
    std::function<bool(const ServiceName &service, const SoftwareVersion &version)> mayBegin;
    std::function<bool(const Endpoint &address)> isConnected; ///< whether an idle connection can be reused; null: unknown
    /// Added to the cost of targets without a reusable connection: some round trips, and one of the few hundred connections that a target accepts.
    Duration newConnectionPenalty = Duration::millis(5);
    PrefillPaceOptions pace;
    DecodePaceOptions decodePace;
    StreamCapacityOptions capacity;
    Duration plainServiceTime = Duration::millis(60); ///< estimated service time of a plain service before the first observation
    /// While a prompt of this length is prefilled, half a second passes between two events of every stream of the runner, so a prompt as long as this or longer
    /// should go to a runner with few streams.
    int longPromptTokens = 18000;
    Duration stallPenaltyPerStream = Duration::millis(60); ///< added to the cost of a long prompt for each stream that it would stall
    double prefillShare = 0.5; ///< share of the pause goal that prefill may take; the rest is needed for the decode steps of the streams
    int plainChoices = 2; ///< plain services: number of targets, drawn at random, that are compared for each request
    std::uint64_t seed = 0; ///< of the random draw for `plainChoices`; different at each gateway
    double learnRate = 0.1; ///< weight of one observation in the mean service time of a plain service
    double unreportedHitProbability = 0.4; ///< probability that the runner which ranks first for a prefix has cached it without this being known here
    TargetHealthOptions health;
    double failureThreshold = 0.5; ///< a target with a larger recent share of failures gets requests only if no other can take them
    Duration digestLifetime = Duration::seconds(2); ///< digests older than this are ignored
};

// [SECTION] Dispatcher

class Dispatcher
{
public:
    explicit Dispatcher(DispatchOptions options);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    auto operator=(const Dispatcher &) -> Dispatcher & = delete;

    // Queries
    auto targets() const -> std::vector<TargetId>;
    auto targetCount() const -> std::size_t;
    auto description(const TargetId &target) const -> const TargetDescription *; ///< null: not known
    auto running(const TargetId &target, TimePoint now) const -> int; ///< requests in flight, of all gateways
    auto capacity(const TargetId &target) const -> int; ///< runs that a runner can take at once; 0: not known
    auto needsPermit(const TargetId &target, TimePoint now) const -> bool; ///< a send to the runner needs a permit for a slot
    auto ownRunning(const TargetId &target, const std::string &model) const -> int; ///< this gateway's requests in flight for one model
    auto failures(const TargetId &target, TimePoint now) const -> double; ///< recent share of failed sends at this gateway, 0 (none) to 1 (all)
    auto isEjected(const TargetId &target, TimePoint now) const -> bool; ///< by this gateway, or as reported by another one
    /// End of the time for which the target has asked this gateway to send nothing; nothing: none.
    auto pausedUntil(const TargetIncarnation &target, TimePoint now) const -> std::optional<TimePoint>;
    /// The target with the lowest estimated cost; ejected and failing targets only if no other can take the request.
    auto choose(const DispatchRequest &request, TimePoint now) const -> DispatchChoice;
    /// Expected prefill time of a send that hasn't ended, if nothing else is prefilled. Excludes the part of the prompt that was cached at the time of the
    /// send.
    auto prefillTime(SendId send) const -> Duration;

    auto loadTime(const ServiceName &service, const std::string &model) const -> Duration; ///< time to load a replica from the weight store; 0: not declared
    auto requestCost() const -> const RequestCost &; ///< runner time per request, by model
    auto decodePace() const -> const DecodePace &; ///< duration of decode steps, by model and target
    /// The number of runs with which the target's streams of the model are expected to stay within the pause goal: at most the target's slots, all slots where
    /// the pace isn't known or there is no pause goal, and never less than StreamCapacityOptions::minCapacity. 0: unknown target.
    auto capacity(const TargetId &target, const std::string &model, Duration pauseGoal, TimePoint now) const -> int;

    // Commands: engines and targets
    auto adoptEngine(const ServiceName &service, const EngineDeclaration &engine) -> void;
    /// A target is new, has changed or has restarted. A restart resets the target's state.
    auto targetSeen(const TargetDescription &target, TimePoint now) -> void;
    auto targetGone(const TargetId &target) -> void;
    /// Replaces the models of a runner's description by a more recent list.
    auto targetHolds(const TargetId &target, const std::vector<ResidentModel> &models) -> void;

    // Commands: sends and their results
    auto sent(const DispatchRequest &request, const TargetId &target, TimePoint now) -> SendId;
    auto firstToken(SendId send, TimePoint now) -> void;
    /// Call for each piece of a stream that completes events; `events`: their number.
    auto eventsReceived(SendId send, std::uint64_t events, TimePoint now) -> void;
    /// This gateway has stopped reading the stream, because the client reads slowly. The time until the next event says nothing about the target.
    auto readingStopped(SendId send) -> void;
    /// `bytes`: length of the answer.
    auto ended(SendId send, SendResult result, TimePoint now, std::size_t bytes = 0) -> void;
    /// The target has rejected a request and asked this gateway to send nothing for `span`.
    auto askedToPause(const TargetIncarnation &target, Duration span, TimePoint now) -> void;
    auto expirePauses(TimePoint now) -> void; ///< call from time to time
    /// A connection was not accepted, or sent data isn't acknowledged. Ejects the target.
    auto unreachable(const TargetId &target, TimePoint now) -> void;

    // Other gateways
    /// This gateway's digest for the others. Also resets the list of prompt parts prefilled since the last call.
    auto takeDigest(const EntryId &self, TimePoint now) -> WorkDigest;
    auto merge(const WorkDigest &digest, TimePoint now) -> void;
    auto gatewayGone(const EntryId &entry) -> void;
    /// Returns and resets the prefill sent since the last call. Digests are too infrequent for this: prompts that stall streams together arrive within a few
    /// engine steps.
    auto takeSentPrefill() -> std::vector<SentPrefill>;
    auto merge(const std::vector<SentPrefill> &sent, TimePoint now) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
