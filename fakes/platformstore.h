// Fake of the users' store, as far as the system uses it: rows in tables, conditional transactions, reads and watches.
#pragma once

#include "answers.h"
#include "platformwire.h"
#include "simclock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

namespace KingCup
{

class PlatformStore
{
public:
    PlatformStore(SimClock &clock, int port);

    auto port() const -> int;
    auto truth() const -> Json;
    auto row(const std::string &table, const std::string &key) const -> std::string; ///< the row's value; empty if the row doesn't exist

    /// Writes of the operator and the runners, which don't go over the network.
    auto put(const std::string &table, const std::string &key, const std::string &value) -> void;
    auto remove(const std::string &table, const std::string &key) -> void;
    auto isDown() const -> bool;
    /// A row of another writer, whose value stands in answers just as given, also if that is no JSON.
    auto putAsWritten(const std::string &table, const std::string &key, const std::string &value) -> void;
    /// {"mode":"up"|"busy"|"reset"|"silent"|"swallow"|"lose-answers"|"forget-history"}: "busy" answers 503, "reset" closes connections, "silent" neither reads
    /// nor answers; "swallow" accepts calls and drops them, as well as pending watches: their connections stay open and are never answered; "lose-answers"
    /// performs the call and closes the connection; "forget-history" drops the change history and closes the watches. False if the mode is unknown.
    auto setMode(const std::string &mode) -> bool;

private:
    struct Row {
        std::string value;
        std::string written; ///< the value as it stands in answers, which may be no JSON; empty: `value` in base64
        std::uint64_t version = 0;
    };
    struct Change {
        std::string table;
        std::string key;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct Watch {
        RawConnectionPtr connection;
        std::string table;
        std::uint64_t after = 0;
        std::uint64_t number = 0;
    };
    auto handle(const RawConnectionPtr &connection, const HttpHead &head, const std::string &body) -> void;
    auto read(const RawConnectionPtr &connection, const std::string &query) -> void;
    auto watch(const RawConnectionPtr &connection, const std::string &query) -> void;
    auto transact(const RawConnectionPtr &connection, const std::string &body) -> void;
    auto putRow(const std::string &table, const std::string &key, Row row) -> void;
    auto recordChange(const std::string &table, const std::string &key, bool removed) -> void;
    auto answerWatches() -> void;
    auto changesAfter(const std::string &table, std::uint64_t after) const -> Json;
    auto rowJson(const std::string &table, const std::string &key) const -> Json;
    auto answer(const RawConnectionPtr &connection, int status, Json body) -> void;

    SimClock &m_clock;
    RawServer m_server;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::deque<Change> m_changes;
    std::list<Watch> m_watches;
    std::uint64_t m_version = 0;
    std::uint64_t m_discardedUpTo = 0;
    std::uint64_t m_watchNumber = 0;
    std::map<std::string, std::uint64_t> m_calls; ///< by path
    std::string m_mode = "up";
};

} // namespace KingCup
