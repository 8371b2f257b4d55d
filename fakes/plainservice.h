// Fake plain services: each is a ledger and a directory in one. Instances of one service share their state.
//
// Every execution is recorded by idempotency key and attempt id, as the ground truth of which requests ran and how often.
#pragma once

#include "answers.h"
#include "simclock.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

struct ServiceSettings {
    Duration readTime = Duration::millis(15); ///< of GET
    Duration writeTime = Duration::millis(30); ///< of the other methods
    int concurrency = 8; ///< calls that one instance runs concurrently; others wait
};

struct ServiceAnswer {
    int status = 0;
    Json body;
};

/// State shared by the instances of one service.
class ServiceState
{
public:
    /// Runs a call; its effect takes place at once.
    auto execute(const HttpRequest &request, const std::string &path, const std::string &instance) -> ServiceAnswer;
    /// {"executions":{KEY:{"count","attempts","method","path"}},"doubled":[KEY...],"balances":{...},"extensions":{...},"reads":N,"unkeyed":N}
    auto truth() const -> Json;

private:
    struct Execution {
        std::vector<std::string> attempts;
        std::vector<std::string> instances;
        std::string method;
        std::string path;
    };

    std::map<std::string, Execution> m_executions;
    std::map<std::string, std::int64_t> m_balances;
    std::map<std::string, std::string> m_extensions;
    std::uint64_t m_reads = 0;
    std::uint64_t m_unkeyed = 0;
};

class PlainService
{
public:
    PlainService(SimClock &clock, std::string id, std::string name, int port, ServiceSettings settings, std::shared_ptr<ServiceState> state);

    auto id() const -> const std::string &;
    auto name() const -> const std::string &;
    auto port() const -> int;
    /// Down: the port is closed; calls in progress are cut off, without effect if they haven't run yet.
    auto setDown(bool down) -> void;
    auto setSlowdown(double factor) -> void;
    auto lastNewWorkMs() const -> std::int64_t; ///< simulated time at which the last call arrived; -1 if none did
    auto calls() const -> std::uint64_t;

private:
    auto listen() -> void;
    auto onRequest(const ExchangePtr &exchange) -> void;
    auto startNext() -> void;
    auto run(const ExchangePtr &exchange, std::uint64_t epoch) -> void;

    SimClock &m_clock;
    std::string m_id;
    std::string m_name;
    int m_port;
    ServiceSettings m_settings;
    std::shared_ptr<ServiceState> m_state;
    std::deque<ExchangePtr> m_waiting;
    int m_running = 0;
    double m_slowdown = 1.0;
    std::uint64_t m_epoch = 0; // incremented each time the instance goes down; timers of an earlier epoch do nothing
    std::uint64_t m_calls = 0;
    std::int64_t m_lastWork = -1;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace KingCup
