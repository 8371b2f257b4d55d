// The adapter to a model engine: orders, status and completions, as docs/PROTOCOLS.md has them.
//
// An interface, so that others can bring an adapter to their engines and tests a fake. Results come on the loop, never from within the
// call. Nothing is tried again here: the memory ledger and the retry rules decide that.
//
// Index of sections (search for [SECTION]):
//   Orders        load, unload, role; fences
//   Views         status, load report, cache events
//   Completions   a request that runs on the engine
//   Client        EngineClient and the one that speaks HTTP
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
    Fence fence; ///< "old-fence": the engine's own
    Duration retryAfter; ///< "throttled": what the weight store asks for
};

/// An order to change what kind of work the engine does.
struct RoleOrder {
    OrderId id;
    std::string role;
    Fence fence;
};

struct FenceReply {
    enum class Kind {
        Raised, ///< `fence` is the engine's number now
        Unsupported, ///< this engine knows no fences
        Failed, ///< no answer, or none that says so: it may have been raised
    };
    Kind kind = Kind::Failed;
    Fence fence;
};

// [SECTION] Views

/// GET /status: the truth at some moment between asking and the answer.
struct EngineView {
    EngineStatus status; ///< as the ledger takes it
    Bytes memoryUsed;
    Bytes kvBytes;
    int running = 0;
    int waiting = 0;
};

/// GET /load: an older view.
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
    std::string prefix; ///< hash
};

struct CacheEvents {
    std::vector<CacheEvent> events; ///< late, and with gaps
    std::uint64_t next = 0; ///< ask after this one
};

// [SECTION] Completions

struct EngineRequest {
    RequestId id; ///< the same when a broken stream is resumed
    std::string path; ///< "/v1/completions" or "/v1/chat/completions"
    std::string body;
    int priority = 1; ///< 0 goes first
    std::uint64_t resumeOffset = 0; ///< tokens to skip
    Duration timeout; ///< from now to the last byte; 0: none
};

struct EngineHooks {
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view data)> onData; ///< as the engine sent it
    /// Once. Complete only if the answer is whole: an event stream that lacks its [DONE] ends as Broken.
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

    /// The handle's cancel() also tells the engine to stop the work; pause() holds the engine's stream back.
    virtual auto complete(const EngineRequest &request, EngineHooks hooks) -> std::shared_ptr<HttpCallHandle> = 0;
    /// Stops the work on a request whose stream is already gone.
    virtual auto cancel(const RequestId &id) -> void = 0;

    virtual auto exportKv(const std::string &prefix, std::function<void(const Result<std::string> &)> done) -> void = 0;
    virtual auto importKv(std::string bytes, Done done) -> void = 0;
};

struct EngineOptions {
    Endpoint server;
    Duration timeout = Duration::seconds(2); ///< of everything but completions
    Duration kvTimeout = Duration::seconds(10); ///< of KV-cache export and import
};

auto makeEngineClient(HttpClient &client, EngineOptions options) -> std::unique_ptr<EngineClient>;

} // namespace KingCup
