// All fakes of one process, and the admin port that reports their ground truth and accepts fault commands.
#pragma once

#include "engine.h"
#include "fakessettings.h"
#include "hostlist.h"
#include "objectstore.h"
#include "plainservice.h"
#include "platformsite.h"
#include "proxy.h"
#include "tablestore.h"
#include "weightstore.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

class Fakes
{
public:
    /// Starts to listen on every port; throws std::runtime_error if a port is taken.
    Fakes(EventLoop &loop, const FakesSettings &settings);

    /// Every port, as in the answer to GET /ports.
    auto ports() const -> Json;

private:
    auto addEngines(const FakesSettings &settings) -> void;
    auto addServices(const FakesSettings &settings) -> void;
    auto handle(const ExchangePtr &exchange) -> void;
    auto handleFault(const ExchangePtr &exchange) -> void;
    auto handleHosts(const ExchangePtr &exchange) -> void;
    auto handleLink(const ExchangePtr &exchange) -> void;
    auto applyFault(const Json &command) -> bool;
    auto applyEngineFault(const Json &command) -> bool;
    auto applyServiceFault(const Json &command) -> bool;
    auto truth() const -> Json;

    SimClock m_clock;
    TableStore m_table;
    ObjectStore m_objects;
    HostList m_hosts;
    WeightStore m_weights;
    Proxy m_proxy;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::map<std::string, std::shared_ptr<ServiceState>> m_states;
    std::vector<std::unique_ptr<PlainService>> m_services;
    PlatformSite m_platform;
    HttpServer m_admin;
};

} // namespace KingCup
