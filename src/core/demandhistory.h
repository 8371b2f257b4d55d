// What the lease holder remembers of models' requests, for the copy plan. Pure. It begins anew with each tenure: what an earlier one saw is too old.
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace KingCup
{

class DemandHistory
{
public:
    /// `warmupTime`: from the first request on, until a model without any counts as a silent one.
    explicit DemandHistory(Duration warmupTime);

    // Queries
    auto isKnown(TimePoint now) const -> bool;
    auto lastRequestAt() const -> const std::map<std::string, TimePoint> &; ///< by model
    /// By model, since when it is asked for without a replica.
    auto missingSince(const ServiceName &service) const -> std::map<std::string, TimePoint>;

    // Commands
    auto restart() -> void; ///< a new tenure
    auto modelRequested(const std::string &model, TimePoint now) -> void;
    /// `requested`: the service's models with requests now; `available`: those that are held or being loaded.
    auto updateMissing(const ServiceName &service, const std::set<std::string> &requested, const std::set<std::string> &available, TimePoint now) -> void;

private:
    Duration m_warmupTime;
    std::optional<TimePoint> m_firstRequestAt;
    std::map<std::string, TimePoint> m_lastRequestAt;
    std::map<ServiceName, std::map<std::string, TimePoint>> m_missingSince;
};

} // namespace KingCup
