#include "tablestore.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxWritesPerTransaction = 100;
constexpr std::int64_t MaxRowsPerScan = 1000;
constexpr auto RetryHint = Duration::millis(200);

auto isWellFormed(const Json &op) -> bool
{
    return op.is_object() && op.contains("key") && op["key"].is_string() && op.contains("expect") && op["expect"].is_number_integer() && op.contains("op")
        && (op["op"] != "put" || (op.contains("value") && op["value"].is_string()));
}

auto rowJson(const std::string &key, std::uint64_t version, const std::string &value) -> Json
{
    return {{"key", key}, {"version", version}, {"value", value}};
}

} // namespace

TokenBucket::TokenBucket(SimClock &clock, double rate)
    : m_clock(clock)
    , m_rate(rate)
    , m_tokens(rate)
{
}

auto TokenBucket::take(double units) -> bool
{
    const auto now = m_clock.now();
    m_tokens = std::min(m_rate, m_tokens + (now - m_filledAt).inSeconds() * m_rate);
    m_filledAt = now;
    if (m_tokens < units) {
        return false;
    }
    m_tokens -= units;
    return true;
}

TableStore::TableStore(SimClock &clock, const TableSettings &settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_faults(clock)
    , m_writeLimit(clock, settings.writesPerSecond)
    , m_readLimit(clock, settings.readsPerSecond)
    , m_server(clock.loop(), HttpServerOptions {.listen = {"127.0.0.1", settings.port}}, guarded([this](const ExchangePtr &exchange) { handle(exchange); }))
{
}

auto TableStore::port() const -> int
{
    return m_server.port();
}

auto TableStore::faults() -> FaultGate &
{
    return m_faults;
}

auto TableStore::truth() const -> Json
{
    return {{"rowsWritten", m_rowsWritten},
            {"rowsRead", m_rowsRead},
            {"transactions", m_transactions},
            {"conflicts", m_conflicts},
            {"throttled", m_throttled},
            {"faultsApplied", m_faults.applied()},
            {"rows", m_rows.size()},
            {"version", m_version}};
}

auto TableStore::rows(const std::string &prefix) const -> Json
{
    auto all = Json::array();
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row) {
        all.push_back(rowJson(row->first, row->second.version, row->second.value));
    }
    return all;
}

auto TableStore::handle(const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    if (request.method == "POST" && request.path == "/table/transact") {
        handleTransact(exchange);
    } else if (request.method == "POST" && request.path == "/table/read") {
        handleRead(exchange);
    } else if (request.method == "GET" && request.path == "/table/scan") {
        handleScan(exchange);
    } else {
        answerCode(exchange, Status::NotFound, "no-such-call");
    }
}

auto TableStore::handleTransact(const ExchangePtr &exchange) -> void
{
    const auto body = parseJsonBody(exchange);
    if (!body) {
        return;
    }
    const auto ops = body->value("ops", Json::array());
    if (!ops.is_array() || !std::all_of(ops.begin(), ops.end(), isWellFormed)) {
        answerCode(exchange, Status::BadRequest, "malformed-ops");
        return;
    }
    const auto writes = static_cast<std::size_t>(std::count_if(ops.begin(), ops.end(), [](const Json &op) { return op["op"] != "check"; }));
    if (writes > MaxWritesPerTransaction) {
        answerCode(exchange, Status::BadRequest, "too-many-writes");
        return;
    }
    if (!m_writeLimit.take(static_cast<double>(writes))) {
        ++m_throttled;
        answerRetry(exchange, Status::TooManyRequests, "throttled", RetryHint);
        return;
    }
    StoreRequest request {.exchange = exchange, .writes = true};
    for (const auto &op : ops) {
        request.keys.push_back(op["key"]);
    }
    request.effect = [this, body = *body](const ExchangePtr &to) {
        const auto answer = transact(body);
        answerJson(to, answer["committed"] == true ? Status::Ok : Status::Conflict, answer);
    };
    m_faults.handle(std::move(request), m_settings.latency);
}

auto TableStore::versionOf(const std::string &key) const -> std::uint64_t
{
    const auto row = m_rows.find(key);
    return row == m_rows.end() ? 0 : row->second.version;
}

auto TableStore::transact(const Json &body) -> Json
{
    const auto &ops = body["ops"];
    auto conflicts = Json::array();
    for (const auto &op : ops) {
        const auto expected = op["expect"].get<std::int64_t>();
        const auto version = versionOf(op["key"]);
        if (expected >= 0 && static_cast<std::uint64_t>(expected) != version) {
            conflicts.push_back({{"key", op["key"]}, {"version", version}});
        }
    }
    ++m_transactions;
    if (!conflicts.empty()) {
        ++m_conflicts;
        return {{"committed", false}, {"conflicts", conflicts}};
    }
    ++m_version;
    for (const auto &op : ops) {
        const std::string key = op["key"];
        if (op["op"] == "put") {
            m_rows[key] = Row {m_version, op["value"]};
            ++m_rowsWritten;
        } else if (op["op"] == "delete") {
            m_rows.erase(key);
            ++m_rowsWritten;
        }
    }
    return {{"committed", true}, {"version", m_version}};
}

auto TableStore::handleRead(const ExchangePtr &exchange) -> void
{
    const auto body = parseJsonBody(exchange);
    if (!body) {
        return;
    }
    const auto keys = body->value("keys", std::vector<std::string>());
    if (!m_readLimit.take(static_cast<double>(keys.size()))) {
        ++m_throttled;
        answerRetry(exchange, Status::TooManyRequests, "throttled", RetryHint);
        return;
    }
    StoreRequest request {.exchange = exchange, .keys = keys};
    request.effect = [this, keys](const ExchangePtr &to) {
        auto found = Json::array();
        for (const auto &key : keys) {
            const auto row = m_rows.find(key);
            if (row != m_rows.end()) {
                found.push_back(rowJson(key, row->second.version, row->second.value));
            }
        }
        m_rowsRead += keys.size();
        answerJson(to, Status::Ok, {{"rows", found}});
    };
    m_faults.handle(std::move(request), m_settings.latency);
}

auto TableStore::handleScan(const ExchangePtr &exchange) -> void
{
    const auto &query = exchange->request().query;
    const auto prefix = queryValue(query, "prefix");
    const auto after = queryValue(query, "after");
    const auto limit = std::clamp<std::int64_t>(queryNumber(query, "limit", MaxRowsPerScan), 1, MaxRowsPerScan);
    if (!m_readLimit.take(1)) {
        ++m_throttled;
        answerRetry(exchange, Status::TooManyRequests, "throttled", RetryHint);
        return;
    }
    StoreRequest request {.exchange = exchange, .keys = {prefix}};
    request.effect = [this, prefix, after, limit](const ExchangePtr &to) {
        auto found = Json::array();
        bool more = false;
        auto row = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
        for (; row != m_rows.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row) {
            if (found.size() == static_cast<std::size_t>(limit)) {
                more = true;
                break;
            }
            found.push_back(rowJson(row->first, row->second.version, row->second.value));
        }
        m_rowsRead += found.size();
        m_readLimit.take(static_cast<double>(found.size()));
        answerJson(to, Status::Ok, {{"rows", found}, {"more", more}});
    };
    m_faults.handle(std::move(request), m_settings.latency);
}

} // namespace KingCup
