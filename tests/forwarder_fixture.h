// One gateway's forwarder, without other gateways and without a store, between raw clients and two targets whose answers a test defines.
#pragma once

#include "gateway/forwarder.h"
#include "platform/protocol.h"
#include "tests/rawcaller.h"
#include "tests/scripted_server.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace KingCup
{

inline constexpr auto TestTimeout = Duration::seconds(8);

/// A gateway without other gateways and without a store, a route for requests that may run once, one for those that may run again, and two targets.
struct ForwarderFixture {
    struct Run {
        std::string target;
        std::string path;
    };
    using Answer = std::function<std::string(const std::string &target, const std::string &attempt)>;

    EventLoop loop;
    EventLog log {loop, {.linesPerSecond = 0, .burst = 0}}; // drops all lines
    Metrics metrics;
    Protocol protocol = Platform::makeProtocol();
    HttpPool pool {loop};
    Dispatcher dispatcher {DispatchOptions {}};
    ReuseLimit reuse;
    AccountAccess access {loop.now()};
    StoreClient store {loop, pool, protocol.store, {.server = {"127.0.0.1", 1}}};
    GatewayPeers peers {loop, log, {.id = "gw-1", .incarnation = 1, .listen = {"127.0.0.1", 0}}, {}};
    LimitExchange limits {{loop, log, metrics, peers}, "gw-1", {[] {
                          }}};
    TargetNames names;
    SlotExchange slots {{loop, log, metrics, peers, dispatcher, names}, "gw-1"};
    CrashWatch crashes {{loop, log, metrics, protocol, pool, peers, store},
                        "gw-1",
                        1,
                        {[](const auto &) { return std::string(); },
                         [] {
                         }}};
    OriginTask origins {{loop, log, metrics, peers, store},
                        "gw-1",
                        {[] {},
                         [] {
                             return false;
                         }}};
    std::vector<Run> runs; ///< requests that reached a target
    Answer answer;
    /// Answers on the connection itself; false: `answer` does. May be empty.
    std::function<bool(ScriptedConnection &connection, const std::string &target, const std::string &attempt)> writeAnswer;
    std::map<std::string, std::unique_ptr<ScriptedServer>> targets;
    std::unique_ptr<Forwarder> forwarder;
    std::unique_ptr<CallerServer> server;

    explicit ForwarderFixture(Answer answers)
        : answer(std::move(answers))
    {
        ForwarderHooks hooks;
        hooks.areDeclarationsCurrent = [] {
            return true;
        };
        hooks.onMissing = [](const auto &...) {
        };
        hooks.onMisdirected = [](const auto &...) {
        };
        hooks.onOverloaded = [](const auto &...) {
        };
        hooks.onRequest = [](const auto &...) {
        };
        hooks.onAdmitted = [](const auto &...) {
        };
        hooks.onSent = [](const auto &...) {
        };
        hooks.onAnswer = [](const auto &...) {
        };
        forwarder = std::make_unique<Forwarder>(ForwarderParts {loop, protocol, pool, dispatcher, reuse, access, limits, slots, crashes, origins, metrics, log},
                                                ForwarderOptions {},
                                                std::move(hooks));
        server = std::make_unique<CallerServer>(loop, Endpoint {"127.0.0.1", 0}, [this](const CallerExchangePtr &exchange) { forwarder->handle(exchange); });
        const auto checked = Platform::decodeTraffic(
            R"({"version":1,"services":[{"name":"s"}],"routes":[)"
            R"({"name":"write","host":"h","prefix":"/write/","service":"s","route_kind":"non_idempotent","timeout_ms":2000,"goal_ms":500,"attempts":3},)"
            R"({"name":"read","host":"h","prefix":"/read/","service":"s","route_kind":"idempotent","timeout_ms":2000,"goal_ms":500,"attempts":3},)"
            R"({"name":"chat","host":"h","prefix":"/chat/","service":"s","route_kind":"streaming","timeout_ms":2000,"goal_ms":500,"attempts":1},)"
            R"({"name":"tell","host":"h","prefix":"/tell/","service":"s","route_kind":"streaming","resumable":true,"timeout_ms":2000,"goal_ms":500,)"
            R"("attempts":1}]})");
        REQUIRE(checked.isValid());
        forwarder->adopt(std::make_shared<Traffic>(checked.value));
        for (const auto *id : {"p1", "p2"}) {
            targets[id] = std::make_unique<ScriptedServer>(loop, [this, id](ScriptedConnection &connection, const HttpHead &head, const std::string &) {
                runs.push_back({id, head.target});
                const auto attempt = std::string(findHeader(head.headers, "Attempt-Id").value_or(""));
                if (!writeAnswer || !writeAnswer(connection, id, attempt)) {
                    connection.stream->write(answer(id, attempt));
                }
            });
            TargetDescription description;
            description.incarnation = {TargetId(id), 1};
            description.service = ServiceName("s");
            description.address = targets[id]->endpoint();
            description.slots = 8;
            dispatcher.targetSeen(description, loop.now());
        }
    }
    /// The status that a client gets.
    auto call(const std::string &path) -> int
    {
        auto answered = rawCall(server->port(),
                                "POST " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-" + std::to_string(++m_attempts)
                                    + "\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx",
                                RawAfter::Read);
        REQUIRE(loop.runUntil([&] { return answered.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, TestTimeout));
        text = answered.get().text;
        return text.size() < 12 ? 0 : std::stoi(text.substr(9, 3));
    }

    std::string text; ///< of the last answer

private:
    int m_attempts = 0;
};

inline auto answerText(int status, const std::string &attempt, const std::string &headers, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: s\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace KingCup
