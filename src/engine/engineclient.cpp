#include "engine/engineclient.h"

#include "core/eventstream.h"
#include "net/httpstatus.h"
#include "net/json.h"

namespace KingCup
{

namespace
{

auto isGood(const HttpAnswer &answer) -> bool
{
    return answer.end == CallEnd::Complete && answer.status == HttpStatus::Ok;
}

auto callError(const HttpAnswer &answer) -> Error
{
    if (answer.end == CallEnd::NotSent) {
        return {ErrorCode::Unavailable, "not reachable"};
    }
    if (answer.end != CallEnd::Complete) {
        return {ErrorCode::Unknown, toString(answer.end)};
    }
    // Any answer shows that the engine is running; only an engine that can't be reached is reported as Unavailable.
    return {answer.status == HttpStatus::NotFound ? ErrorCode::NotFound : ErrorCode::Overloaded, "status " + std::to_string(answer.status)};
}

auto orderReply(const HttpAnswer &answer) -> OrderReply
{
    OrderReply reply;
    const auto json = parseJson(answer.body);
    reply.code = textOf(member(json, "code"));
    reply.fence = Fence(unsignedOf(member(json, "fence")));
    reply.retryAfter = Duration::millis(signedOf(member(json, "retryAfterMs")));
    const bool isVerdict = answer.status == HttpStatus::Conflict || answer.status == HttpStatus::TooManyRequests || answer.status == HttpStatus::Unavailable;
    if (answer.end == CallEnd::NotSent) {
        reply.answer = OrderAnswer::Refused;
        reply.code = "not-sent";
    } else if (answer.status == HttpStatus::Accepted) {
        reply.answer = OrderAnswer::Accepted;
    } else if (isVerdict) {
        reply.answer = OrderAnswer::Refused;
    }
    return reply;
}

auto fenceReply(const HttpAnswer &answer) -> FenceReply
{
    FenceReply reply;
    const auto json = parseJson(answer.body);
    if (isGood(answer) && member(json, "fence").is_number_unsigned()) {
        reply.kind = FenceReply::Kind::Raised;
        reply.fence = Fence(unsignedOf(member(json, "fence")));
    } else if (answer.end == CallEnd::Complete && answer.status == HttpStatus::NotFound) {
        reply.kind = FenceReply::Kind::Unsupported;
    }
    return reply;
}

auto artifactsOf(const nlohmann::json &list) -> std::vector<EngineArtifact>
{
    std::vector<EngineArtifact> artifacts;
    for (const auto &entry : list) {
        artifacts.push_back(
            {ArtifactName(textOf(member(entry, "artifact"))), Bytes(signedOf(member(entry, "bytes"))), OrderId(textOf(member(entry, "order")))});
    }
    return artifacts;
}

auto viewOf(const nlohmann::json &json) -> EngineView
{
    EngineView view;
    view.status.generation = unsignedOf(member(json, "generation"));
    view.status.fence = Fence(unsignedOf(member(json, "fence")));
    view.status.memoryTotal = Bytes(signedOf(member(json, "memoryTotal")));
    view.status.resident = artifactsOf(member(json, "resident"));
    view.status.loading = artifactsOf(member(json, "loading"));
    view.memoryUsed = Bytes(signedOf(member(json, "memoryUsed")));
    view.kvBytes = Bytes(signedOf(member(json, "kvBytes")));
    view.running = static_cast<int>(signedOf(member(json, "running")));
    view.waiting = static_cast<int>(signedOf(member(json, "waiting")));
    return view;
}

auto loadOf(const nlohmann::json &json) -> EngineLoad
{
    EngineLoad load;
    load.age = Duration::millis(signedOf(member(json, "ageMs")));
    load.generation = unsignedOf(member(json, "generation"));
    load.running = static_cast<int>(signedOf(member(json, "running")));
    load.waiting = static_cast<int>(signedOf(member(json, "waiting")));
    load.decodeStep = Duration::micros(signedOf(member(json, "decodeStepUs")));
    load.prefillQueueTokens = signedOf(member(json, "prefillQueueTokens"));
    return load;
}

auto cacheEventsOf(const nlohmann::json &json) -> CacheEvents
{
    CacheEvents events;
    events.next = unsignedOf(member(json, "next"));
    for (const auto &entry : member(json, "events")) {
        const bool isStored = textOf(member(entry, "kind")) == "stored";
        events.events.push_back(
            {unsignedOf(member(entry, "seq")), isStored ? CacheEvent::Kind::Stored : CacheEvent::Kind::Evicted, textOf(member(entry, "prefix"))});
    }
    return events;
}

/// Parses a successful answer. A body that isn't a JSON object is an error; it must not be read as the state of an empty engine.
template<typename T>
auto parsed(const HttpAnswer &answer, T (*parse)(const nlohmann::json &)) -> Result<T>
{
    if (!isGood(answer)) {
        return callError(answer);
    }
    const auto json = parseJson(answer.body);
    if (!json.is_object()) {
        return Error {ErrorCode::Unknown, "the answer isn't JSON"};
    }
    return parse(json);
}

auto postCall(const Endpoint &server, std::string path, std::string body, Duration timeout) -> HttpCall
{
    HttpCall call;
    call.server = server;
    call.method = "POST";
    call.path = std::move(path);
    call.headers = {{"content-type", "application/json"}};
    call.body = std::move(body);
    call.timeout = timeout;
    return call;
}

/// Asks the engine to stop work on a request. The result is ignored: if the call fails, the engine only finishes work that nobody needs.
auto notifyCancelled(HttpClient &client, const EngineOptions &options, const RequestId &id) -> void
{
    const nlohmann::json body {{"id", id.text()}};
    startShortCall(client, postCall(options.server, "/cancel", dumpJson(body), options.timeout), [](const HttpAnswer &) {});
}

/// Handle of a completion. cancel() closes the stream and notifies the engine, which might otherwise go on generating.
class Completion : public HttpCallHandle
{
public:
    Completion(HttpClient &client, EngineOptions options, RequestId id)
        : m_client(client)
        , m_options(std::move(options))
        , m_id(std::move(id))
    {
    }
    auto setCall(std::shared_ptr<HttpCallHandle> call) -> void
    {
        m_call = std::move(call);
    }
    auto ended() -> void
    {
        m_ended = true;
    }
    auto cancel() -> void override
    {
        if (m_ended) {
            return;
        }
        m_ended = true;
        m_call->cancel();
        notifyCancelled(m_client, m_options, m_id);
    }
    auto hold(std::size_t bytes) -> void override
    {
        m_call->hold(bytes);
    }
    auto pause() -> void override
    {
        m_call->pause();
    }
    auto resume() -> void override
    {
        m_call->resume();
    }

private:
    HttpClient &m_client;
    EngineOptions m_options;
    RequestId m_id;
    std::shared_ptr<HttpCallHandle> m_call;
    bool m_ended = false;
};

/// State of an answer that is being received.
struct AnswerState {
    bool isEventStream = false;
    EventStreamReader reader {nullptr};
};

/// Installs hooks that check the answer before they call the user's hooks. A crashing engine may still close its stream cleanly, so
/// an event stream is complete only if it contains [DONE]; without it the call ends as Broken.
auto wrapHooks(HttpCall &call, EngineHooks hooks, const std::shared_ptr<Completion> &completion) -> void
{
    auto state = std::make_shared<AnswerState>();
    call.onHead = [state, onHead = std::move(hooks.onHead)](int status, const HttpHeaders &headers) {
        state->isEventStream = headerValue(headers, "content-type").rfind("text/event-stream", 0) == 0;
        if (onHead) {
            onHead(status, headers);
        }
    };
    call.onData = [state, completion = std::weak_ptr(completion), onData = std::move(hooks.onData)](std::string_view data) {
        if (state->isEventStream) {
            state->reader.feed(data);
            if (const auto held = completion.lock()) {
                held->hold(state->reader.partialMemory());
            }
        }
        if (onData) {
            onData(data);
        }
    };
    call.onEnd = [state, completion, onEnd = std::move(hooks.onEnd)](CallEnd end) {
        completion->ended();
        const bool isTruncated = end == CallEnd::Complete && state->isEventStream && !state->reader.isDone();
        if (onEnd) {
            onEnd(isTruncated ? CallEnd::Broken : end);
        }
    };
}

class HttpEngineClient : public EngineClient
{
public:
    HttpEngineClient(HttpClient &client, EngineOptions options)
        : m_client(client)
        , m_options(std::move(options))
    {
    }

    auto order(const EngineOrder &order, OrderDone done) -> void override;
    auto orderRole(const RoleOrder &order, OrderDone done) -> void override;
    auto raiseFence(Fence fence, std::function<void(const FenceReply &)> done) -> void override;
    auto status(std::function<void(const Result<EngineView> &)> done) -> void override;
    auto load(std::function<void(const Result<EngineLoad> &)> done) -> void override;
    auto events(std::uint64_t after, std::function<void(const Result<CacheEvents> &)> done) -> void override;
    auto complete(const EngineRequest &request, EngineHooks hooks) -> std::shared_ptr<HttpCallHandle> override;
    auto cancel(const RequestId &id) -> void override;
    auto exportKv(const std::string &prefix, std::function<void(const Result<std::string> &)> done) -> void override;
    auto importKv(std::string bytes, Done done) -> void override;

private:
    using AnswerDone = std::function<void(const HttpAnswer &)>;

    auto get(std::string path, AnswerDone done) -> void;
    auto post(std::string path, const nlohmann::json &body, AnswerDone done) -> void;

    HttpClient &m_client;
    EngineOptions m_options;
};

auto HttpEngineClient::get(std::string path, AnswerDone done) -> void
{
    HttpCall call;
    call.server = m_options.server;
    call.path = std::move(path);
    call.timeout = m_options.timeout;
    startShortCall(m_client, std::move(call), std::move(done));
}

auto HttpEngineClient::post(std::string path, const nlohmann::json &body, AnswerDone done) -> void
{
    startShortCall(m_client, postCall(m_options.server, std::move(path), dumpJson(body), m_options.timeout), std::move(done));
}

auto HttpEngineClient::order(const EngineOrder &order, OrderDone done) -> void
{
    nlohmann::json body {{"id", order.id.text()}, {"fence", order.fence.value()}, {"artifact", order.artifact.text()}, {"bytes", order.bytes.count()}};
    body["kind"] = order.kind == OrderKind::Load ? "load" : "unload";
    if (!order.base.isEmpty()) {
        body["base"] = order.base.text();
    }
    post("/orders", body, [done = std::move(done)](const HttpAnswer &answer) { done(orderReply(answer)); });
}

auto HttpEngineClient::orderRole(const RoleOrder &order, OrderDone done) -> void
{
    const nlohmann::json body {{"id", order.id.text()}, {"fence", order.fence.value()}, {"kind", "role"}, {"role", order.role}};
    post("/orders", body, [done = std::move(done)](const HttpAnswer &answer) { done(orderReply(answer)); });
}

auto HttpEngineClient::raiseFence(Fence fence, std::function<void(const FenceReply &)> done) -> void
{
    const nlohmann::json body {{"fence", fence.value()}};
    post("/fence", body, [done = std::move(done)](const HttpAnswer &answer) { done(fenceReply(answer)); });
}

auto HttpEngineClient::status(std::function<void(const Result<EngineView> &)> done) -> void
{
    get("/status", [done = std::move(done)](const HttpAnswer &answer) { done(parsed(answer, &viewOf)); });
}

auto HttpEngineClient::load(std::function<void(const Result<EngineLoad> &)> done) -> void
{
    get("/load", [done = std::move(done)](const HttpAnswer &answer) { done(parsed(answer, &loadOf)); });
}

auto HttpEngineClient::events(std::uint64_t after, std::function<void(const Result<CacheEvents> &)> done) -> void
{
    get("/events?after=" + std::to_string(after), [done = std::move(done)](const HttpAnswer &answer) { done(parsed(answer, &cacheEventsOf)); });
}

auto HttpEngineClient::complete(const EngineRequest &request, EngineHooks hooks) -> std::shared_ptr<HttpCallHandle>
{
    auto call = postCall(m_options.server, request.path, request.body, request.timeout);
    call.headers.push_back({"x-request-id", request.id.text()});
    call.headers.push_back({"x-priority", std::to_string(request.priority)});
    if (request.resumeOffset > 0) {
        call.headers.push_back({"x-resume-offset", std::to_string(request.resumeOffset)});
    }
    auto completion = std::make_shared<Completion>(m_client, m_options, request.id);
    wrapHooks(call, std::move(hooks), completion);
    completion->setCall(m_client.start(std::move(call)));
    return completion;
}

auto HttpEngineClient::cancel(const RequestId &id) -> void
{
    notifyCancelled(m_client, m_options, id);
}

auto HttpEngineClient::exportKv(const std::string &prefix, std::function<void(const Result<std::string> &)> done) -> void
{
    const nlohmann::json body {{"prefix", prefix}};
    auto call = postCall(m_options.server, "/kv/export", dumpJson(body), m_options.kvTimeout);
    startShortCall(m_client, std::move(call), [done = std::move(done)](const HttpAnswer &answer) {
        if (isGood(answer)) {
            done(answer.body);
        } else {
            done(callError(answer));
        }
    });
}

auto HttpEngineClient::importKv(std::string bytes, Done done) -> void
{
    auto call = postCall(m_options.server, "/kv/import", std::move(bytes), m_options.kvTimeout);
    call.headers = {{"content-type", "application/octet-stream"}};
    startShortCall(m_client, std::move(call), [done = std::move(done)](const HttpAnswer &answer) { done(isGood(answer)); });
}

} // namespace

auto makeEngineClient(HttpClient &client, EngineOptions options) -> std::unique_ptr<EngineClient>
{
    return std::make_unique<HttpEngineClient>(client, std::move(options));
}

} // namespace KingCup
