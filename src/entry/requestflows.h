// Handles each caller's request in the entry: parses and admits it, routes it to a target, retries where that is safe, and answers it.
//
// Index of sections (search for [SECTION]):
//   Parts      the entry's other parts that the flows use, settings, hooks
//   Flows      RequestFlows
#pragma once

#include "core/admission.h"
#include "core/decisionlog.h"
#include "core/demand.h"
#include "core/retry.h"
#include "core/routing.h"
#include "core/suspects.h"
#include "entry/callerrequest.h"
#include "net/metrics.h"
#include "wire/peer.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

// [SECTION] Parts

/// Owned by the entry; they outlive the flows.
struct FlowParts {
    EventLoop &loop;
    Router &router;
    DemandForecast &demand;
    Suspects &suspects;
    Metrics &metrics;
    DecisionLog &decisions;
};

struct FlowSettings {
    std::string entry; ///< this entry's id: part of request ids
    std::uint64_t incarnation = 0; ///< identifies this start of the process: part of request ids
    std::size_t streamBuffer = 256U << 10U; ///< unsent bytes towards a caller above which reading from the target pauses
    std::size_t maxBufferedAnswer = 8U << 20U; ///< size limit in bytes of an answer that isn't an event stream; larger answers end as "answer-too-large"
    int maxQueue = 4096;
    Duration requestBudget = Duration::seconds(30);
    HedgeOptions hedge;
};

struct FlowHooks {
    std::function<PeerStreamPtr(const TargetId &target)> openStream; ///< null while not connected
    std::function<ArtifactName(const std::string &model)> versionOf; ///< the current version of a model, for requests that name none
    std::function<void()> onSuspects; ///< there are new suspects, to be sent to the other processes
    std::function<void(const ArtifactName &artifact)> onMissing; ///< a request found no replica of the artifact
};

// [SECTION] Flows

class RequestFlows
{
public:
    RequestFlows(FlowParts parts, FlowSettings settings, FlowHooks hooks);
    ~RequestFlows();

    auto open() const -> std::size_t; ///< requests not yet answered
    auto waiting() const -> std::size_t; ///< open requests that are in the queue

    auto adopt(const Declarations &declarations) -> void;
    auto handle(const std::shared_ptr<HttpExchange> &exchange) -> void; ///< a request under /v1/ or /services/
    auto retryWaiting() -> void; ///< to be called when capacity or replicas may have become available
    auto setLeaving() -> void; ///< from now on, new requests are refused as not run
    /// Ends all open requests as if their time had run out; returns how many there were.
    auto abandonAll() -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
