// Fake table service: rows with versions, compare-and-set transactions, rate limits and injected faults.
#pragma once

#include "faultgate.h"

#include <map>
#include <memory>
#include <string>

namespace KingCup
{

struct TableSettings {
    int port = 0;
    Duration latency = Duration::millis(4); ///< of each call
    double writesPerSecond = 300;
    double readsPerSecond = 2000; ///< rows
};

/// A rate limit of `rate` units a second; the burst is the units of one second.
class TokenBucket
{
public:
    TokenBucket(SimClock &clock, double rate);
    auto take(double units) -> bool;

private:
    SimClock &m_clock;
    double m_rate;
    double m_tokens;
    Duration m_filledAt;
};

class TableStore
{
public:
    TableStore(SimClock &clock, const TableSettings &settings);

    auto port() const -> int;
    auto faults() -> FaultGate &;
    /// Rows written and read, calls refused by the rate limits.
    auto truth() const -> Json;
    /// All rows whose key starts with `prefix`, for tests.
    auto rows(const std::string &prefix) const -> Json;

private:
    struct Row {
        std::uint64_t version = 0;
        std::string value;
    };

    auto handle(const ExchangePtr &exchange) -> void;
    auto handleTransact(const ExchangePtr &exchange) -> void;
    auto handleRead(const ExchangePtr &exchange) -> void;
    auto handleScan(const ExchangePtr &exchange) -> void;
    auto transact(const Json &body) -> Json;
    auto versionOf(const std::string &key) const -> std::uint64_t;

    SimClock &m_clock;
    TableSettings m_settings;
    FaultGate m_faults;
    TokenBucket m_writeLimit;
    TokenBucket m_readLimit;
    std::map<std::string, Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_rowsWritten = 0;
    std::uint64_t m_rowsRead = 0;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_throttled = 0;
    HttpServer m_server;
};

} // namespace KingCup
