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
    /// `knownAfter`: from the first request on, until a model without any counts as a silent one.
    explicit DemandHistory(Duration knownAfter);

    // Queries
    auto isKnown(TimePoint now) const -> bool;
    auto lastAsked() const -> const std::map<std::string, TimePoint> &; ///< by model
    /// By model, since when it is asked for without a replica.
    auto missingSince(const ServiceName &service) const -> std::map<std::string, TimePoint>;

    // Commands
    auto restart() -> void; ///< a new tenure
    auto modelAsked(const std::string &model, TimePoint now) -> void;
    /// `asked`: the service's models with requests now; `there`: those that are held or being loaded.
    auto noteMissing(const ServiceName &service, const std::set<std::string> &asked, const std::set<std::string> &there, TimePoint now) -> void;

private:
    Duration m_knownAfter;
    std::optional<TimePoint> m_firstAskedAt;
    std::map<std::string, TimePoint> m_lastAsked;
    std::map<ServiceName, std::map<std::string, TimePoint>> m_missingSince;
};

} // namespace KingCup
