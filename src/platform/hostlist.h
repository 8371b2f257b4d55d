// The platform's list of live and leaving hosts. It lags, and may be wrong: core/membership.h decides what to believe.
#pragma once

#include "core/membership.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

/// Polls the list; a failed poll changes nothing.
class HostListPoll
{
public:
    using Handler = std::function<void(const std::vector<ListedHost> &hosts)>;

    HostListPoll(EventLoop &loop, HttpClient &client, Endpoint list, Duration period, Handler handler);

private:
    auto poll() -> void;

    HttpClient &m_client;
    Endpoint m_list;
    Handler m_handler;
    bool m_isAsking = false;
    Timer m_timer;
};

/// {"hosts":[{"id":...,"role":...,"zone":...,"address":...,"state":...}]}; entries that make no sense are left out.
auto parseHostList(const std::string &body) -> std::vector<ListedHost>;

} // namespace KingCup
