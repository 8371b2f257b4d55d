// Fake host list: shows changes after a lag, and can be frozen, emptied or made wrong.
#pragma once

#include "answers.h"
#include "simclock.h"

#include <deque>
#include <map>
#include <string>

namespace KingCup
{

struct Host {
    std::string id;
    std::string role; ///< "entry" or "agent"
    std::string zone;
    std::string address; ///< IP:PORT for peers
    std::string state = "live"; ///< or "leaving"
};

class HostList
{
public:
    HostList(SimClock &clock, int port, Duration lag);

    auto port() const -> int;
    /// Adds the host, or changes the host of that id; the list shows it after the lag.
    auto set(const Host &host) -> void;
    auto remove(const std::string &id) -> void;
    /// Modes: "ok", "freeze" (keeps answering the present list), "empty", "wrong" (every second host is missing, the others are listed as leaving),
    /// "odd" (holds three entries that can't be read: nested 60,000 deep, with a number that no double holds, with an invalid byte), "refuse" (503).
    /// False if unknown.
    auto setMode(const std::string &mode) -> bool;

private:
    using Hosts = std::map<std::string, Host>;
    struct Version {
        Duration at;
        Hosts hosts;
    };

    auto handle(const ExchangePtr &exchange) -> void;
    auto record() -> void;
    auto visible() const -> Hosts;

    SimClock &m_clock;
    Duration m_lag;
    Hosts m_hosts;
    std::deque<Version> m_history;
    std::string m_mode = "ok";
    Hosts m_frozen;
    HttpServer m_server;
};

/// Reads {"id","role","zone","address","state"}; missing fields stay empty, a missing state becomes "live".
auto hostFromJson(const Json &json) -> Host;

} // namespace KingCup
