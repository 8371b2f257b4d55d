// Dispatch: which target gets a request, where entries reach targets directly. Pure: what targets say, what is sent and what comes back
// go in with a time; a choice comes out.
//
// A runner's engine prefills prompts one after another between the steps of its running streams, so the time to a request's first token is the pending
// prefill there, plus what of its own prompt isn't cached. Load reports of engines are late and cost a call; but all work goes through the entries, so
// what each has sent without an answer yet (its own sends, and the others' digests) shows the same sooner. What that misses (another pace of a runner,
// failures) is learnt from the answers.
//
// Requests with a common prefix go where it is cached, as long as that runner isn't later than another that would have to prefill it again. Where it is
// cached nowhere, all entries rank the runners alike, so that they choose the same one.
//
// Index of sections (search for [SECTION]):
//   Requests    what is to be sent
//   Choices     a target or a refusal
//   Options     constants
//   Dispatcher  the state and the decision
#pragma once

#include "core/ids.h"
#include "core/peerloads.h"
#include "core/prefillpace.h"
#include "core/promptcache.h"
#include "core/requestcost.h"
#include "core/targethealth.h"
#include "core/targetinfo.h"
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
    std::vector<PromptChain> prompt; ///< the last chain is the request's own
    int promptTokens = 0;
    int outputTokens = 0; ///< the most it may make
    UrgencyBand band = UrgencyBand::Usual;
    Duration pauseGoal; ///< streams: the longest pause between events that is on time; 0: none is aimed at
    std::vector<TargetId> excluded; ///< tried already, or known not to take it
};

// [SECTION] Choices

enum class DispatchRefusal {
    None,
    NoTarget, ///< no target of the service is up
    NotHeld, ///< none that is up holds the model
    AdapterMissing, ///< runners hold the model, none of them the adapter
    AllExcluded, ///< every target that could take it was tried
};
auto toString(DispatchRefusal refusal) -> const char *;

struct DispatchChoice {
    TargetId target; ///< empty if refused
    DispatchRefusal refusal = DispatchRefusal::None;
    Endpoint address;
    Duration expectedFirst; ///< until the first token, or a plain service's answer
    Duration expectedIfPatient; ///< likewise, if everything else there goes first
    Duration backlog; ///< of expectedFirst, what others must wait for first
    int prefillTokens = 0; ///< of the prompt
    int candidates = 0; ///< targets that could have taken it
    bool isLastResort = false; ///< requests don't get through to it of late, nor to any other that could take it
};

/// How a send ended, for what is thought of its target.
enum class SendResult {
    Delivered,
    Rejected, ///< not run: full or leaving. Says nothing about health
    Failed, ///< cut off midway, or an error of the target
    NoAnswer, ///< the target broke off before it gave any answer: requests don't get through to it
    Cancelled, ///< by the client: says nothing about health
};

// [SECTION] Options

struct DispatchOptions {
    ZoneName zone; ///< this process's own
    Duration otherZonePenalty = Duration::millis(4); ///< added to targets of other zones: there and back, and what the bytes between zones cost
    std::function<bool(const Endpoint &address)> isConnected; ///< a kept connection could be used; none: not known
    /// Added to targets without one: some round trips, and a place of the few hundred that a target has.
    Duration newConnectionPenalty = Duration::millis(5);
    PrefillPaceOptions pace;
    Duration plainServiceTime = Duration::millis(60); ///< of a plain service's request, until it was observed
    /// Tokens. During the prefill of a prompt as long, half a second passes between two events of every stream there; where few run, few are stalled.
    int longPromptTokens = 18000;
    Duration stallPenaltyPerStream = Duration::millis(60); ///< that such a prompt may wait longer elsewhere, for each stream that it would stall
    double prefillShare = 0.5; ///< of the longest pause aimed at, for prefill: the rest is taken by the steps of the streams
    int plainChoices = 2; ///< plain services: so many targets, drawn at random, are compared for each request
    std::uint64_t seed = 0; ///< of that draw; another one at each entry
    double learnRate = 0.1; ///< weight of one observation
    double unreportedHitProbability = 0.4; ///< how likely an unreported prefix is cached at the runner that ranks first for it
    TargetHealthOptions health;
    double failureThreshold = 0.5; ///< a target above this, and above the others, gets work only if nobody else can take it
    Duration digestLifetime = Duration::seconds(2); ///< a digest that is older no longer counts
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
    auto description(const TargetId &target) const -> const TargetDescription *; ///< null: not known
    auto running(const TargetId &target, TimePoint now) const -> int; ///< of all entries
    auto ownRunning(const TargetId &target, const std::string &model) const -> int; ///< this entry's sends of one model
    auto failures(const TargetId &target, TimePoint now) const -> double;
    auto isEjected(const TargetId &target, TimePoint now) const -> bool; ///< requests don't get through to it, here or at another entry
    auto choose(const DispatchRequest &request, TimePoint now) const -> DispatchChoice;
    /// Prefill time of a send that hasn't ended, where nothing else is prefilled; without what was cached when it was sent.
    auto prefillTime(SendId send) const -> Duration;

    auto loadTime(const ServiceName &service, const std::string &model) const -> Duration; ///< from the weight store; 0: not declared
    auto requestCost() const -> const RequestCost &; ///< of runners, by model

    // Commands: who is there
    auto adoptEngine(const ServiceName &service, const EngineDeclaration &engine) -> void;
    /// New, changed, or started anew: then nothing is known of what it holds and does.
    auto targetSeen(const TargetDescription &target, TimePoint now) -> void;
    auto targetGone(const TargetId &target) -> void;
    /// What a runner holds, where that is known better than from its description.
    auto targetHolds(const TargetId &target, const std::vector<ResidentModel> &models) -> void;

    // Commands: what happened
    auto sent(const DispatchRequest &request, const TargetId &target, TimePoint now) -> SendId;
    auto firstToken(SendId send, TimePoint now) -> void;
    /// `bytes`: of the answer.
    auto ended(SendId send, SendResult result, TimePoint now, std::size_t bytes = 0) -> void;
    /// A connection was not accepted, or what is sent isn't acknowledged.
    auto unreachable(const TargetId &target, TimePoint now) -> void;

    // Other entries
    /// Also resets what was prefilled since the last call.
    auto takeDigest(const EntryId &self, TimePoint now) -> WorkDigest;
    auto merge(const WorkDigest &digest, TimePoint now) -> void;
    auto gatewayGone(const EntryId &entry) -> void;
    /// Resets what was sent since the last call. A digest is too old for this: what comes together comes within a few steps of an engine.
    auto takeSentPrefill() -> std::vector<SentPrefill>;
    auto merge(const std::vector<SentPrefill> &sent, TimePoint now) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
