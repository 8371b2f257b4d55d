// Handles the requests for one target: checks them, claims those that must run once, queues and forwards them, and returns the answers.
//
// Index of sections (search for [SECTION]):
//   Hooks      functions of the agent's other parts that the requests use
//   Settings   limits
//   Tasks      RequestTasks
#pragma once

#include "core/callerload.h"
#include "core/declarations.h"
#include "core/runonce.h"
#include "net/http.h"
#include "wire/messages.h"
#include "wire/peer.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace KingCup
{

// [SECTION] Hooks

/// Result of a claim: forward the request, or answer without running it.
using ClaimVerdict = std::variant<ForwardSend, AnswerFromRecord, AnswerNotRun, AnswerUnknown>;

/// Claims for requests that must run once. Without these hooks such requests are refused as not run.
struct ClaimHooks {
    std::function<SendId(const ClaimKey &key, TimePoint deadline, std::function<void(const ClaimVerdict &verdict)> done)> begin;
    std::function<void(SendId send)> cancel; ///< the caller disconnected or gave up before the verdict
    std::function<void(SendId send, RunOutcome end, const RunRecord &record)> runEnded;
};

struct RequestHooks {
    std::function<bool()> isTargetReady;
    std::function<bool(const ArtifactName &artifact)> isUsable;
    std::function<void(std::function<void(bool hasCrashed)> done)> checkForCrash; ///< null for plain services
    std::function<void(const RequestId &request)> cancelAtTarget; ///< null for plain services
    std::function<bool(const std::string &fingerprint)> isQuarantined;
    std::function<void(const std::string &fingerprint)> completedAlone; ///< a suspect ran alone and the target didn't crash
    std::function<void()> onChanged; ///< the number of running or queued requests has changed
    ClaimHooks claims;
};

// [SECTION] Settings

struct RequestSettings {
    Endpoint target; ///< engine or plain service
    bool isRunner = true;
    std::size_t streamBuffer = 256U << 10U; ///< unsent bytes towards the entry above which reading from the target pauses
    std::shared_ptr<CallerLoad> load; ///< charged with the requests that are held here; null: they aren't bounded
    std::size_t maxQueue = 256; ///< requests waiting here; more are refused as not run
    Duration runOnceTimeout = Duration::seconds(60); ///< minimum timeout of a run-once call, even if the caller's time budget is shorter
};

// [SECTION] Tasks

class RequestTasks
{
public:
    RequestTasks(EventLoop &loop, HttpClient &client, RequestSettings settings, RequestHooks hooks);
    ~RequestTasks();

    // Queries
    auto running() const -> int; ///< forwarded, and the call hasn't ended
    auto queued() const -> int; ///< all other open requests: being claimed, in the queue, or waiting for the result of a crash check
    auto concurrencyLimit() const -> int;
    auto meanServiceTime() const -> Duration;
    auto isInUse(const ArtifactName &artifact) const -> bool; ///< by a request here that hasn't ended
    auto isLeaving() const -> bool;
    auto fingerprintsInFlight() const -> std::vector<std::string>;

    // Commands
    auto accept(const PeerStreamPtr &stream) -> void; ///< a stream with path "/request"
    auto setLeaving(bool isLeaving) -> void; ///< while set, new requests are refused as not run
    auto observeStep(Duration decodeStep) -> void; ///< time of a decode step, from the engine's load report
    /// Cancels the open requests, except run-once requests that are running. Returns how many requests were open.
    auto abandonAll() -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
