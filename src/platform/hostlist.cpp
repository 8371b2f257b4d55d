#include "platform/hostlist.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace KingCup
{

namespace
{

constexpr int StatusOk = 200;
constexpr auto CallTimeout = Duration::seconds(2);

} // namespace

HostListPoll::HostListPoll(EventLoop &loop, HttpClient &client, Endpoint list, Duration period, Handler handler)
    : m_client(client)
    , m_list(std::move(list))
    , m_handler(std::move(handler))
    , m_timer(loop.every(period, [this] { poll(); }))
{
    poll();
}

auto HostListPoll::poll() -> void
{
    if (m_isAsking) {
        return;
    }
    m_isAsking = true;
    HttpCall call;
    call.server = m_list;
    call.path = "/hosts";
    call.timeout = CallTimeout;
    startShortCall(m_client, std::move(call), [this](const HttpAnswer &answer) {
        m_isAsking = false;
        if (answer.status == StatusOk) {
            m_handler(parseHostList(answer.body));
        }
    });
}

auto parseHostList(const std::string &body) -> std::vector<ListedHost>
{
    std::vector<ListedHost> hosts;
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("hosts") || !parsed["hosts"].is_array()) {
        LOG(WARNING) << "hosts: unreadable list bytes=" << body.size();
        return hosts;
    }
    for (const auto &item : parsed["hosts"]) {
        if (!item.is_object()) {
            continue;
        }
        ListedHost host;
        host.id = item.value("id", std::string());
        host.role = item.value("role", std::string()) == "entry" ? HostRole::Entry : HostRole::Agent;
        host.zone = ZoneName(item.value("zone", std::string()));
        host.endpoint = endpointFromString(item.value("address", std::string()));
        host.leaving = item.value("state", std::string()) == "leaving";
        if (!host.id.empty() && host.endpoint.port != 0) {
            hosts.push_back(std::move(host));
        }
    }
    return hosts;
}

} // namespace KingCup
