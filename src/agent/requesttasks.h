// The requests of one target: checked, claimed if they must run once, queued, forwarded, and their answers passed back.
//
// Index of sections (search for [SECTION]):
//   Hooks      what the requests need of the agent's other parts
//   Settings   limits
//   Tasks      RequestTasks
#pragma once

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

/// What became of a claim: run it, or answer without running.
using ClaimVerdict = std::variant<ForwardSend, AnswerFromRecord, AnswerNotRun, AnswerUnknown>;

/// The claims of requests that must run once. Without these hooks such requests are refused as not run.
struct ClaimHooks {
    std::function<SendId(const ClaimKey &key, TimePoint deadline, std::function<void(const ClaimVerdict &verdict)> done)> begin;
    std::function<void(SendId send)> cancel; ///< the caller left before the verdict
    std::function<void(SendId send, RunOutcome end, const RunRecord &record)> runEnded;
};

struct RequestHooks {
    std::function<bool()> isTargetReady;
    std::function<bool(const ArtifactName &artifact)> isUsable;
    std::function<void(std::function<void(bool hasCrashed)> done)> checkForCrash; ///< null for plain services
    std::function<void(const RequestId &request)> cancelAtTarget; ///< null for plain services
    std::function<bool(const std::string &fingerprint)> isQuarantined;
    std::function<void(const std::string &fingerprint)> completedAlone; ///< a suspect ran by itself and did no harm
    std::function<void()> onChanged; ///< running or queued counts have changed
    ClaimHooks claims;
};

// [SECTION] Settings

struct RequestSettings {
    Endpoint target; ///< engine or plain service
    bool isRunner = true;
    std::size_t streamBuffer = 256U << 10U; ///< bytes towards the entry before the target is held back
    std::size_t maxQueue = 256; ///< requests waiting here; more are refused as not run
    Duration runOnceTimeout = Duration::seconds(60); ///< a run that must not repeat is awaited this long, whatever its caller's budget
};

// [SECTION] Tasks

class RequestTasks
{
public:
    RequestTasks(EventLoop &loop, HttpClient &client, RequestSettings settings, RequestHooks hooks);
    ~RequestTasks();

    // Queries
    auto running() const -> int; ///< forwarded and not ended
    auto queued() const -> int; ///< waiting here, claims included
    auto concurrencyLimit() const -> int;
    auto meanServiceTime() const -> Duration;
    auto isInUse(const ArtifactName &artifact) const -> bool;
    auto isLeaving() const -> bool;
    auto fingerprintsInFlight() const -> std::vector<std::string>;

    // Commands
    auto accept(const PeerStreamPtr &stream) -> void; ///< a stream with path "/request"
    auto setLeaving(bool isLeaving) -> void; ///< from now on everything new is refused as not run
    auto observeStep(Duration decodeStep) -> void; ///< from the engine's load report
    /// Cuts off what still runs; returns how many requests that was.
    auto abandonAll() -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
