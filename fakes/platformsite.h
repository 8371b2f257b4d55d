// Fake of the users' platform: its store, runners of one model service, instances of one plain service, and the operators' document.
#pragma once

#include "platformrunner.h"

#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

struct PlatformSiteSettings {
    int runners = 0;
    int instances = 0; ///< of the plain service
    int models = 3; ///< named m1, m2, ...; each with adapters a1, a2, a3
    int basePort = 0;
};

class PlatformSite
{
public:
    PlatformSite(SimClock &clock, const PlatformSiteSettings &settings);

    auto ports() const -> Json;
    auto truth() const -> Json;
    /// {"part":"store",...}, {"part":"runner","id":ID,...} (no id: all), {"part":"operator","change":"add-route"|"drop-route"|"timeout","ms":N},
    /// {"part":"operator","change":"accounts","accounts":[...]} in the document's format; null: none are declared,
    /// {"part":"operator","change":"limits","limits":{...}} replaces limits of callers, in the document's format,
    /// {"part":"row","key":K,"value":V} writes any row of runners.
    auto command(const Json &command) -> bool;

private:
    auto writeTraffic() -> void;
    auto document() const -> Json;

    SimClock &m_clock;
    PlatformStore m_store;
    std::vector<PlatformModel> m_models;
    std::vector<std::unique_ptr<PlatformRunner>> m_runners;
    std::uint64_t m_version = 0;
    bool m_hasExtraRoute = false;
    int m_timeoutMillis = 3000;
    Json m_accounts; ///< null: none are declared
    Json m_limits {{"max_header_bytes", 16384}, {"max_body_bytes", 65536}, {"header_timeout_ms", 1000}, {"idle_timeout_ms", 5000}};
};

} // namespace KingCup
