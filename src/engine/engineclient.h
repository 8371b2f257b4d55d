// The client of a model engine: orders, status and completions. docs/PROTOCOLS.md describes the protocol.
//
// EngineClient is an interface, so that it can be implemented for other engines and faked in tests. Results are delivered on the event
// loop, never from within the call. Nothing is retried here; the memory ledger and the retry rules decide on retries.
//
// Index of sections (search for [SECTION]):
//   Orders        load, unload, role; fences
//   Views         status, load, cache events
//   Completions   requests that run on the engine
//   Client        EngineClient and its HTTP implementation
#pragma once

#include "core/ids.h"
#include "core/ledger.h"
#include "core/result.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Orders

struct OrderReply {
    OrderAnswer answer = OrderAnswer::Lost;
    std::string code; ///< Refused: "old-fence", "busy", "throttled", or "not-sent"
    Fence fence; ///< "old-fence": the engine's current fence
    Duration retryAfter; ///< "throttled": the delay that the weight store demands
};

/// An order that changes the engine's role, i.e. the kind of work that it does.
struct RoleOrder {
    OrderId id;
    std::string role;
    Fence fence;
};

struct FenceReply {
    enum class Kind {
        Raised, ///< `fence` is the engine's current fence
        Unsupported, ///< this engine doesn't support fencing
        Failed, ///< no answer, or an invalid one: the fence may have been raised
    };
    Kind kind = Kind::Failed;
    Fence fence;
};

// [SECTION] Views

/// GET /status: the engine's state at some moment between the request and its answer.
struct EngineView {
    EngineStatus status; ///< input of the memory ledger
    Bytes memoryUsed;
    Bytes kvBytes;
    int running = 0;
    int waiting = 0;
};

/// GET /load: a load report of the engine, already `age` old.
struct EngineLoad {
    Duration age;
    std::uint64_t generation = 0;
    int running = 0;
    int waiting = 0;
    Duration decodeStep;
    std::int64_t prefillQueueTokens = 0;
};

struct CacheEvent {
    enum class Kind { Stored, Evicted };
    std::uint64_t sequence = 0;
    Kind kind = Kind::Stored;
    std::string prefix; ///< hash of the cached prefix
};

struct CacheEvents {
    std::vector<CacheEvent> events; ///< may be late and incomplete
    std::uint64_t next = 0; ///< pass as `after` to the next call of events()
};

// [SECTION] Completions

struct EngineRequest {
    RequestId id; ///< stays the same when a broken stream is resumed
    std::string path; ///< "/v1/completions" or "/v1/chat/completions"
    std::string body;
    int priority = 1; ///< 0 is the highest
    std::uint64_t resumeOffset = 0; ///< number of tokens to skip
    Duration timeout; ///< from now to the last byte; 0: no limit
};

struct EngineHooks {
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view data)> onData; ///< unchanged bytes of the engine's answer
    /// Called once. Complete only if the answer is whole: an event stream without [DONE] ends as Broken.
    std::function<void(CallEnd end)> onEnd;
};

// [SECTION] Client

class EngineClient
{
public:
    using OrderDone = std::function<void(const OrderReply &)>;
    using Done = std::function<void(bool done)>;

    virtual ~EngineClient() = default;

    virtual auto order(const EngineOrder &order, OrderDone done) -> void = 0;
    virtual auto orderRole(const RoleOrder &order, OrderDone done) -> void = 0;
    virtual auto raiseFence(Fence fence, std::function<void(const FenceReply &)> done) -> void = 0;

    virtual auto status(std::function<void(const Result<EngineView> &)> done) -> void = 0;
    virtual auto load(std::function<void(const Result<EngineLoad> &)> done) -> void = 0;
    virtual auto events(std::uint64_t after, std::function<void(const Result<CacheEvents> &)> done) -> void = 0;

    /// The handle's cancel() also notifies the engine, so that it stops generating; pause() applies backpressure to the stream.
    virtual auto complete(const EngineRequest &request, EngineHooks hooks) -> std::shared_ptr<HttpCallHandle> = 0;
    /// Makes the engine stop work on a request whose stream has already been closed.
    virtual auto cancel(const RequestId &id) -> void = 0;

    virtual auto exportKv(const std::string &prefix, std::function<void(const Result<std::string> &)> done) -> void = 0;
    virtual auto importKv(std::string bytes, Done done) -> void = 0;
};

struct EngineOptions {
    Endpoint server;
    Duration timeout = Duration::seconds(2); ///< of all calls but completions and KV-cache transfers
    Duration kvTimeout = Duration::seconds(10); ///< of KV-cache export and import
};

auto makeEngineClient(HttpClient &client, EngineOptions options) -> std::unique_ptr<EngineClient>;

} // namespace KingCup
