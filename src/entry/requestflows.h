// The way of each caller's request through the entry: understood, admitted, routed, tried, tried again where that is safe, answered.
//
// Index of sections (search for [SECTION]):
//   Parts      the decisions and hooks that the flows use
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
    std::uint64_t incarnation = 0;
    std::size_t streamBuffer = 256U << 10U; ///< bytes towards a caller before the target is held back
    std::size_t maxBufferedAnswer = 8U << 20U; ///< bytes of an answer that are kept until it is whole; longer ones are streamed
    int maxQueue = 4096;
    Duration requestBudget = Duration::seconds(30);
    HedgeOptions hedge;
};

struct FlowHooks {
    std::function<PeerStreamPtr(const TargetId &target)> openStream; ///< null while not connected
    std::function<ArtifactName(const std::string &model)> versionOf; ///< which version a bare model name stands for now
    std::function<void()> onSuspects; ///< something is known that others should hear
    std::function<void(const ArtifactName &artifact)> onMissing; ///< a request found no copy of it
};

// [SECTION] Flows

class RequestFlows
{
public:
    RequestFlows(FlowParts parts, FlowSettings settings, FlowHooks hooks);
    ~RequestFlows();

    auto open() const -> std::size_t; ///< requests not yet answered
    auto waiting() const -> std::size_t; ///< of those, in the queue

    auto adopt(const Declarations &declarations) -> void;
    auto handle(const std::shared_ptr<HttpExchange> &exchange) -> void; ///< a request under /v1/ or /services/
    auto retryWaiting() -> void; ///< capacity or copies may have appeared
    auto setLeaving() -> void; ///< refuses what is new, as not run
    /// Gives up all that is open; returns how many that was.
    auto abandonAll() -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
