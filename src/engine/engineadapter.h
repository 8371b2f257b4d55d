// What an agent needs of an engine, as hooks: others may bring their own. httpEngineAdapter() speaks docs/PROTOCOLS.md.
//
// Index of sections (search for [SECTION]):
//   Answers   what an engine says
//   Adapter   the hooks
#pragma once

#include "core/ledger.h"
#include "net/http.h"

#include <functional>
#include <optional>

namespace KingCup
{

// [SECTION] Answers

/// The engine's lagging view of its own load.
struct EngineLoad {
    Duration age; ///< how old the figures are
    std::uint64_t generation = 0;
    int running = 0;
    int waiting = 0;
    Duration decodeStep; ///< between two tokens of one stream
};

enum class FenceAnswer {
    Raised,
    Unsupported, ///< the engine doesn't know fences
    Lost, ///< no answer
};

/// What became of an order, and for a throttled one when to come back.
struct OrderReply {
    OrderAnswer answer = OrderAnswer::Lost;
    Duration retryAfter; ///< 0: none is stated
};

/// An answer to GET /status, or why there is none.
struct StatusAnswer {
    std::optional<EngineStatus> status;
    bool isRefused = false; ///< nothing listens there: the engine is down, not slow
};

// [SECTION] Adapter

struct EngineAdapter {
    std::function<void(const EngineOrder &order, std::function<void(const OrderReply &reply)> done)> sendOrder;
    std::function<void(std::function<void(const StatusAnswer &answer)> done)> askStatus;
    std::function<void(Fence fence, std::function<void(FenceAnswer answer)> done)> raiseFence;
    std::function<void(std::function<void(const std::optional<EngineLoad> &load)> done)> askLoad;
    std::function<void(const RequestId &request)> cancel; ///< stops a stream whose caller has left
};

/// `client` must outlive the adapter.
auto httpEngineAdapter(HttpClient &client, const Endpoint &engine) -> EngineAdapter;

} // namespace KingCup
