#include "platformstore.h"

#include <openssl/evp.h>

namespace KingCup
{

namespace
{

auto base64(const std::string &text) -> std::string
{
    std::string result((text.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(result.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    result.resize(static_cast<std::size_t>(size));
    return result;
}

auto unbase64(const std::string &text) -> std::string
{
    std::string result(text.size(), '\0');
    const int size = EVP_DecodeBlock(
        reinterpret_cast<unsigned char *>(result.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    const int padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    result.resize(static_cast<std::size_t>(std::max(size - padding, 0)));
    return result;
}

constexpr int Gone = 410;
constexpr auto MaxPollTimeout = Duration::seconds(30);

/// Stands in a page for a value that is inserted as written.
auto placeholder(const std::string &table, const std::string &key) -> std::string
{
    return "value of " + table + "/" + key;
}

} // namespace

PlatformStore::PlatformStore(SimClock &clock, int port)
    : m_clock(clock)
    , m_server(
          clock.loop(), port, [this](const RawConnectionPtr &connection, const HttpHead &head, const std::string &body) { handle(connection, head, body); })
{
}

auto PlatformStore::port() const -> int
{
    return m_server.port();
}

auto PlatformStore::truth() const -> Json
{
    Json rows = Json::object();
    for (const auto &[table, keys] : m_tables) {
        for (const auto &[key, row] : keys) {
            rows[table][key] = {{"value", row.value}, {"version", row.version}};
        }
    }
    return {{"rows", rows}, {"calls", m_calls}, {"version", m_version}, {"mode", m_mode}};
}

auto PlatformStore::row(const std::string &table, const std::string &key) const -> std::string
{
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end()) {
        return "";
    }
    const auto found = rows->second.find(key);
    return found == rows->second.end() ? "" : found->second.value;
}

auto PlatformStore::isDown() const -> bool
{
    return m_mode == "busy" || m_mode == "reset" || m_mode == "silent" || m_mode == "swallow";
}

auto PlatformStore::setMode(const std::string &mode) -> bool
{
    if (mode == "forget-history") {
        m_discardedUpTo = m_version;
        m_changes.clear();
        for (const auto &watch : m_watches) {
            watch.connection->close();
        }
        m_watches.clear();
        return true;
    }
    if (mode != "up" && mode != "busy" && mode != "reset" && mode != "silent" && mode != "swallow" && mode != "lose-answers") {
        return false;
    }
    m_mode = mode;
    if (mode == "reset") {
        m_server.closeAll();
        m_watches.clear();
    }
    if (mode == "swallow") {
        m_watches.clear();
    }
    m_server.setUnresponsive(mode == "silent");
    return true;
}

auto PlatformStore::put(const std::string &table, const std::string &key, const std::string &value) -> void
{
    putRow(table, key, {value, "", ++m_version});
}

auto PlatformStore::putAsWritten(const std::string &table, const std::string &key, const std::string &value) -> void
{
    putRow(table, key, {"", value, ++m_version});
}

auto PlatformStore::putRow(const std::string &table, const std::string &key, Row row) -> void
{
    m_tables[table][key] = std::move(row);
    recordChange(table, key, false);
    answerWatches();
}

auto PlatformStore::remove(const std::string &table, const std::string &key) -> void
{
    if (m_tables[table].erase(key) > 0) {
        ++m_version;
        recordChange(table, key, true);
        answerWatches();
    }
}

auto PlatformStore::recordChange(const std::string &table, const std::string &key, bool removed) -> void
{
    m_changes.push_back({table, key, m_version, removed});
}

auto PlatformStore::rowJson(const std::string &table, const std::string &key) const -> Json
{
    const auto &row = m_tables.at(table).at(key);
    const auto value = row.written.empty() ? base64(row.value) : placeholder(table, key);
    return {{"table", table}, {"part", ""}, {"key", key}, {"value", value}, {"ver", row.version}};
}

auto PlatformStore::answer(const RawConnectionPtr &connection, int status, Json body) -> void
{
    if (m_mode == "lose-answers") {
        connection->close();
        return;
    }
    body["ver"] = m_version;
    body["now_ms"] = m_clock.now().inMillis();
    auto text = body.dump();
    for (const auto &[table, rows] : m_tables) {
        for (const auto &[key, row] : rows) {
            const auto quoted = '"' + placeholder(table, key) + '"';
            if (const auto at = row.written.empty() ? std::string::npos : text.find(quoted); at != std::string::npos) {
                text.replace(at, quoted.size(), row.written);
            }
        }
    }
    connection->answer(status, {{"Content-Type", "application/json"}}, text);
}

auto PlatformStore::handle(const RawConnectionPtr &connection, const HttpHead &head, const std::string &body) -> void
{
    if (m_mode == "busy") {
        connection->answer(Status::Unavailable, {}, "");
        return;
    }
    if (m_mode == "swallow") {
        return;
    }
    const auto mark = std::min(head.target.find('?'), head.target.size());
    const auto path = head.target.substr(0, mark);
    const auto query = head.target.substr(std::min(mark + 1, head.target.size()));
    ++m_calls[path];
    if (path == "/rows-get") {
        read(connection, query);
    } else if (path == "/rows-feed") {
        watch(connection, query);
    } else if (path == "/rows-tx") {
        transact(connection, body);
    } else {
        connection->answer(Status::NotFound, {}, "");
    }
}

auto PlatformStore::read(const RawConnectionPtr &connection, const std::string &query) -> void
{
    constexpr std::size_t PageRows = 3; // small, so that tests see more than one page
    const auto table = queryValue(query, "table");
    const auto from = queryValue(query, "from");
    const auto to = queryValue(query, "to");
    Json rows = Json::array();
    bool more = false;
    for (const auto &[key, row] : m_tables[table]) {
        if (key < from) {
            continue;
        }
        if (!to.empty() && key >= to) {
            break;
        }
        if (rows.size() == PageRows) {
            more = true;
            break;
        }
        rows.push_back(rowJson(table, key));
    }
    answer(connection, Status::Ok, {{"rows", rows}, {"has_more", more}});
}

auto PlatformStore::changesAfter(const std::string &table, std::uint64_t after) const -> Json
{
    Json rows = Json::array();
    for (const auto &change : m_changes) {
        if (change.table != table || change.version <= after) {
            continue;
        }
        const auto found = m_tables.at(table).find(change.key);
        if (change.removed) {
            rows.push_back({{"table", table}, {"part", ""}, {"key", change.key}, {"ver", change.version}, {"tombstone", true}});
        } else if (found != m_tables.at(table).end() && found->second.version == change.version) {
            rows.push_back(rowJson(table, change.key));
        }
    }
    return rows;
}

auto PlatformStore::watch(const RawConnectionPtr &connection, const std::string &query) -> void
{
    const auto table = queryValue(query, "table");
    const auto after = static_cast<std::uint64_t>(queryNumber(query, "after", 0));
    m_tables[table];
    if (after < m_discardedUpTo) {
        answer(connection, Gone, Json::object());
        return;
    }
    const auto number = ++m_watchNumber;
    m_watches.push_back({connection, table, after, number});
    answerWatches();
    const auto wait = std::min(Duration::millis(queryNumber(query, "wait_ms", 0)), MaxPollTimeout);
    m_clock.after(wait, [this, number] {
        for (auto watch = m_watches.begin(); watch != m_watches.end(); ++watch) {
            if (watch->number == number) {
                answer(watch->connection, Status::Ok, {{"rows", Json::array()}});
                m_watches.erase(watch);
                return;
            }
        }
    });
}

auto PlatformStore::answerWatches() -> void
{
    if (isDown()) {
        return;
    }
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const auto rows = changesAfter(watch->table, watch->after);
        if (!watch->connection->isOpen()) {
            watch = m_watches.erase(watch);
        } else if (!rows.empty()) {
            answer(watch->connection, Status::Ok, {{"rows", rows}});
            watch = m_watches.erase(watch);
        } else {
            ++watch;
        }
    }
}

auto PlatformStore::transact(const RawConnectionPtr &connection, const std::string &body) -> void
{
    const auto parsed = Json::parse(body, nullptr, false);
    if (parsed.is_discarded()) {
        connection->answer(Status::BadRequest, {}, "");
        return;
    }
    for (const auto &condition : parsed.value("expected_revision", Json::array())) {
        const auto &rows = m_tables[condition["table"]];
        const auto found = rows.find(condition["key"]);
        const std::uint64_t version = found == rows.end() ? 0 : found->second.version;
        if (version != condition["ver"].get<std::uint64_t>()) {
            answer(connection, Status::PreconditionFailed, {{"rows", Json::array()}});
            return;
        }
    }
    ++m_version;
    for (const auto &write : parsed.value("writes", Json::array())) {
        m_tables[write["table"]][write["key"]] = {unbase64(write["value"]), "", m_version};
        recordChange(write["table"], write["key"], false);
    }
    for (const auto &removal : parsed.value("remove", Json::array())) {
        m_tables[removal["table"]].erase(removal["key"].get<std::string>());
        recordChange(removal["table"], removal["key"], true);
    }
    answer(connection, Status::Ok, Json::object());
    answerWatches();
}

} // namespace KingCup
