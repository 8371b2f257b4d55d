#include "engine/engineadapter.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace KingCup
{

namespace
{

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusNotFound = 404;
constexpr int StatusTooMany = 429;
constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;
constexpr auto ShortTimeout = Duration::seconds(2);
constexpr auto OrderTimeout = Duration::seconds(3);

auto postJson(const Endpoint &engine, const std::string &path, const json &body, Duration timeout) -> HttpCall
{
    HttpCall call;
    call.server = engine;
    call.method = "POST";
    call.path = path;
    call.headers = {{"content-type", "application/json"}};
    call.body = body.dump();
    call.timeout = timeout;
    return call;
}

auto getCall(const Endpoint &engine, const std::string &path) -> HttpCall
{
    HttpCall call;
    call.server = engine;
    call.path = path;
    call.timeout = ShortTimeout;
    return call;
}

/// An order's answer. 4xx says that it has no effect; a server error, or none at all, says nothing.
auto orderAnswerOf(const HttpAnswer &answer) -> OrderAnswer
{
    if (answer.end == CallEnd::NotSent) {
        return OrderAnswer::Refused;
    }
    if (answer.status == StatusAccepted || answer.status == StatusOk) {
        return OrderAnswer::Accepted;
    }
    return answer.status >= FirstClientError && answer.status < FirstServerError ? OrderAnswer::Refused : OrderAnswer::Lost;
}

/// The weight store allows so many loads a second; the engine passes on when to ask again.
auto retryAfterOf(const HttpAnswer &answer) -> Duration
{
    if (answer.status != StatusTooMany) {
        return {};
    }
    const auto parsed = json::parse(answer.body, nullptr, false);
    return Duration::millis(parsed.is_object() ? parsed.value("retryAfterMs", std::int64_t(0)) : 0);
}

auto artifactsOf(const json &list) -> std::vector<EngineArtifact>
{
    std::vector<EngineArtifact> artifacts;
    for (const auto &item : list) {
        artifacts.push_back(
            {ArtifactName(item.at("artifact").get<std::string>()), Bytes(item.at("bytes").get<std::int64_t>()), OrderId(item.value("order", std::string()))});
    }
    return artifacts;
}

auto statusOf(const std::string &body) -> std::optional<EngineStatus>
{
    try {
        const auto parsed = json::parse(body);
        EngineStatus status;
        status.generation = parsed.at("generation").get<std::uint64_t>();
        status.fence = Fence(parsed.value("fence", std::uint64_t(0)));
        status.memoryTotal = Bytes(parsed.at("memoryTotal").get<std::int64_t>());
        status.resident = artifactsOf(parsed.at("resident"));
        status.loading = artifactsOf(parsed.at("loading"));
        return status;
    } catch (const json::exception &error) {
        LOG(WARNING) << "engine: unreadable status error=\"" << error.what() << "\"";
        return std::nullopt;
    }
}

auto loadOf(const std::string &body) -> std::optional<EngineLoad>
{
    try {
        const auto parsed = json::parse(body);
        EngineLoad load;
        load.age = Duration::millis(parsed.value("ageMs", std::int64_t(0)));
        load.generation = parsed.value("generation", std::uint64_t(0));
        load.running = parsed.value("running", 0);
        load.waiting = parsed.value("waiting", 0);
        load.decodeStep = Duration::micros(parsed.value("decodeStepUs", std::int64_t(0)));
        return load;
    } catch (const json::exception &error) {
        LOG(WARNING) << "engine: unreadable load report error=\"" << error.what() << "\"";
        return std::nullopt;
    }
}

auto orderBody(const EngineOrder &order) -> json
{
    json body {{"id", order.id.text()},
               {"fence", order.fence.value()},
               {"kind", order.kind == OrderKind::Load ? "load" : "unload"},
               {"artifact", order.artifact.text()}};
    if (order.kind == OrderKind::Load) {
        body["base"] = order.base.text();
        body["bytes"] = order.bytes.count();
    }
    return body;
}

} // namespace

auto httpEngineAdapter(HttpClient &client, const Endpoint &engine) -> EngineAdapter
{
    EngineAdapter adapter;
    adapter.sendOrder = [&client, engine](const EngineOrder &order, std::function<void(const OrderReply &)> done) {
        startShortCall(client, postJson(engine, "/orders", orderBody(order), OrderTimeout), [done = std::move(done)](const HttpAnswer &answer) {
            done({orderAnswerOf(answer), retryAfterOf(answer)});
        });
    };
    adapter.askStatus = [&client, engine](std::function<void(const StatusAnswer &)> done) {
        startShortCall(client, getCall(engine, "/status"), [done = std::move(done)](const HttpAnswer &answer) {
            StatusAnswer result;
            result.isRefused = answer.end == CallEnd::NotSent;
            if (answer.status == StatusOk) {
                result.status = statusOf(answer.body);
            }
            done(result);
        });
    };
    adapter.raiseFence = [&client, engine](Fence fence, std::function<void(FenceAnswer)> done) {
        startShortCall(client, postJson(engine, "/fence", {{"fence", fence.value()}}, ShortTimeout), [done = std::move(done)](const HttpAnswer &answer) {
            if (answer.status == StatusOk) {
                done(FenceAnswer::Raised);
            } else {
                done(answer.status == StatusNotFound ? FenceAnswer::Unsupported : FenceAnswer::Lost);
            }
        });
    };
    adapter.askLoad = [&client, engine](std::function<void(const std::optional<EngineLoad> &)> done) {
        startShortCall(client, getCall(engine, "/load"), [done = std::move(done)](const HttpAnswer &answer) {
            done(answer.status == StatusOk ? loadOf(answer.body) : std::nullopt);
        });
    };
    adapter.cancel = [&client, engine](const RequestId &request) {
        startShortCall(client, postJson(engine, "/cancel", {{"id", request.text()}}, ShortTimeout), [](const HttpAnswer & /*answer*/) {});
    };
    return adapter;
}

} // namespace KingCup
