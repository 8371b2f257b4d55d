// Chooses the keeper of a cell (the gateway that aggregates the cell's load reports) and one relay in each other availability zone. No I/O.
//
// No consensus is needed: all gateways compute the same ranking, each one reports to the first gateway in it that it can reach, and nothing depends on there
// being only one keeper. A gateway that has received no sum for `keeperTimeout` reports to the next gateway in the ranking, and may choose the previous keeper
// again after `avoidPeriod`.
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
    Duration keeperTimeout = Duration::millis(700); ///< a keeper that has sent no sum for this long is replaced: 14 publishing periods
    Duration avoidPeriod = Duration::seconds(3); ///< a keeper that timed out isn't chosen again for this long
};

// [SECTION] CellKeeper

class CellKeeper
{
public:
    explicit CellKeeper(std::string self, CellKeeperOptions options = {});

    // Queries
    auto keeper() const -> const std::string &; ///< as last chosen; empty: no gateway is known
    // The keeper sends its sums to the gateways in its own zone and to the relays. `alive`: the gateways that may be chosen.
    /// One gateway in each other zone, which forwards the sums to its own zone.
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
