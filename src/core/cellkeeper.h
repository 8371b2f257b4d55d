// Chooses the keeper, the gateway that aggregates the load reports of a cell, and the relay in each other availability zone. No I/O.
//
// No consensus is needed: all gateways compute the same ranking and each one reports to the first in it, and nothing depends on there being only one keeper.
// A gateway that has received no sum for `keeperTimeout` reports to the next one in the ranking, and returns to the first after `avoidPeriod`.
//
// Index of sections (search for [SECTION]):
//   Members      the candidates
//   CellKeeper   the choice of keeper and relays
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Members

struct CellMember {
    std::string id;
    ZoneName zone;
    double processorShare = 1; ///< processor cores of its host that are reserved for it
};

struct CellKeeperOptions {
    Duration keeperTimeout = Duration::millis(700); ///< without a sum from the keeper until the next one is chosen: 14 publishing periods
    Duration avoidPeriod = Duration::seconds(3); ///< a keeper that timed out isn't chosen again for this long
};

// [SECTION] CellKeeper

class CellKeeper
{
public:
    explicit CellKeeper(std::string self, CellKeeperOptions options = {});

    // Queries
    auto keeper() const -> const std::string &; ///< as last chosen; empty: no gateway is known
    // A sum is sent to the zone mates and to the relays. `alive`: gateways known to be reachable.
    /// One gateway in each other zone, which forwards sums to its own zone.
    auto relays(const std::set<std::string> &alive) const -> std::set<std::string>;
    /// The other gateways in this gateway's zone.
    auto zoneMates(const std::set<std::string> &alive) const -> std::set<std::string>;

    // Commands
    auto setMembers(const std::vector<CellMember> &members) -> void; ///< all registered gateways, this one included
    auto sumReceived(const std::string &keeper, TimePoint now) -> void;
    /// `live`: gateways known to be reachable. True if the keeper has changed.
    auto choose(const std::set<std::string> &live, TimePoint now) -> bool;

private:
    auto isBefore(const CellMember &a, const CellMember &b) const -> bool;
    auto zoneOf(const std::string &id) const -> ZoneName;

    std::string m_self;
    CellKeeperOptions m_options;
    std::vector<CellMember> m_ranked; ///< the preferred keeper first
    std::map<std::string, TimePoint> m_avoidUntil;
    std::string m_keeper;
    TimePoint m_receivedAt; ///< when the keeper's last sum arrived, or when it was chosen
};

} // namespace KingCup
