// Fake model engine with one accelerator: orders, completions, load reports and crashes, as docs/PROTOCOLS.md describes them.
//
// The text of a completion is a function of its prompt (see tokenText()), so a test can verify that an answer is complete, in order and belongs to its prompt.
#pragma once

#include "enginebatch.h"
#include "enginememory.h"
#include "weightstore.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace KingCup
{

struct EngineSettings {
    std::string id;
    int port = 0;
    std::int64_t memory = 80000000000; ///< bytes
    double kvReserveShare = 0.15; ///< share of the memory that is reserved for the KV cache
    bool checksFence = true;
    Duration restartDelay = Duration::seconds(15); ///< from a crash until the engine listens again
    Duration minOrderDelay = Duration::millis(5); ///< shortest time until an order takes effect and is answered
    Duration maxOrderDelay = Duration::millis(50);
    double orderLoseRate = 0; ///< share of orders that have neither effect nor answer
    double orderDropAnswerRate = 0; ///< share of orders that take effect, but whose answer is lost
    double orderLateRate = 0; ///< share of orders whose delay is drawn from [maxOrderDelay, maxLateOrderDelay]
    Duration maxLateOrderDelay = Duration::seconds(10);
    Duration reportPeriod = Duration::millis(500);
    Duration reportLag = Duration::millis(300);
    BatchSettings batch;
    CacheEventSettings events;
};

class Engine
{
public:
    Engine(SimClock &clock, WeightStore &weights, EngineSettings settings);

    auto id() const -> const std::string &;
    auto port() const -> int;
    auto checksFence() const -> bool;
    /// State and total counts: memory now and its high-water mark, overcommits, loads, unloads, crashes, tokens; see fakes/README.md.
    auto truth() const -> Json;
    /// Counts of every completion by request id.
    auto completions() const -> Json;

    /// Ends every stream and clears all state; listens again after the restart time with a higher generation.
    auto crash(const std::string &why) -> void;
    /// Applies "loseRate", "dropAnswerRate", "lateRate", "lateMostMs", "restartMs" and "slow" where present.
    auto setFaults(const Json &command) -> void;

private:
    struct Report {
        Duration at;
        std::size_t running = 0;
        std::size_t waiting = 0;
        std::int64_t stepMicros = 0;
        std::int64_t prefillQueue = 0;
    };
    struct Completion {
        int started = 0;
        int finished = 0;
        int tokens = 0;
        std::string artifact;
    };

    auto listen() -> void;
    auto handle(const ExchangePtr &exchange) -> void;
    auto handleOrder(const ExchangePtr &exchange) -> void;
    auto applyOrder(const Json &order, const ExchangePtr &exchange) -> void;
    auto applyLoad(const Json &order, const ExchangePtr &exchange) -> void;
    auto applyUnload(const Json &order, const ExchangePtr &exchange) -> void;
    auto handleFence(const ExchangePtr &exchange) -> void;
    auto handleStatus(const ExchangePtr &exchange) -> void;
    auto handleLoad(const ExchangePtr &exchange) -> void;
    auto handleCompletion(const ExchangePtr &exchange, bool chat) -> void;
    auto handleCancel(const ExchangePtr &exchange) -> void;
    auto handleKv(const ExchangePtr &exchange, bool isImport) -> void;
    auto record() -> void;

    SimClock &m_clock;
    WeightStore &m_weights;
    EngineSettings m_settings;
    EngineMemory m_memory;
    EngineBatch m_batch;
    std::map<std::string, std::shared_ptr<WeightLoad>> m_loads; // by order id
    std::deque<Report> m_reports;
    std::map<std::string, Completion> m_completions;
    std::uint64_t m_generation = 1;
    std::uint64_t m_fence = 0;
    std::string m_role;
    bool m_down = false;
    std::uint64_t m_overcommits = 0;
    std::uint64_t m_loadsDone = 0;
    std::uint64_t m_loadsBegun = 0;
    std::uint64_t m_unloads = 0;
    std::uint64_t m_crashes = 0;
    std::uint64_t m_ordersLost = 0;
    std::uint64_t m_ordersLate = 0;
    std::uint64_t m_ordersUnanswered = 0;
    std::uint64_t m_oldFences = 0;
    std::int64_t m_lastWork = -1;
    std::string m_lastCrash;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace KingCup
