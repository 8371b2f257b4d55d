// The request history of models, kept by the holder of the order lease as input for planCopies() (core/copyplan.h). It is cleared whenever the lease is
// acquired, as data of an earlier term is out of date. No I/O.
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
    /// `warmupTime`: time from the first request of a term until a model without requests counts as idle.
    explicit DemandHistory(Duration warmupTime);

    // Queries
    auto isKnown(TimePoint now) const -> bool; ///< whether the warm-up time has passed since the first request
    auto lastRequestAt() const -> const std::map<std::string, TimePoint> &; ///< time of the last request, by model
    /// Since when a model has had requests but no replica, by model.
    auto missingSince(const ServiceName &service) const -> std::map<std::string, TimePoint>;

    // Commands
    auto restart() -> void; ///< clears everything when a new term begins
    auto modelRequested(const std::string &model, TimePoint now) -> void;
    /// `requested`: the service's models that have requests now; `available`: those that are loaded or being loaded.
    auto updateMissing(const ServiceName &service, const std::set<std::string> &requested, const std::set<std::string> &available, TimePoint now) -> void;

private:
    Duration m_warmupTime;
    std::optional<TimePoint> m_firstRequestAt;
    std::map<std::string, TimePoint> m_lastRequestAt;
    std::map<ServiceName, std::map<std::string, TimePoint>> m_missingSince;
};

} // namespace KingCup
