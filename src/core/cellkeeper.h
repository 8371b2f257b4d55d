// Which gateway keeps a cell's load view, and who passes it on in each availability zone. Pure.
//
// No agreement is needed: each gateway reports to the first in a ranking that all know, and nothing depends on there being one keeper. A gateway that
// has received no sum for a while reports to the next one, and comes back to the first after some seconds.
//
// Index of sections (search for [SECTION]):
//   Members      who can be chosen
//   CellKeeper   the choice
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
    double processorShare = 1; ///< cores of its host that are its own
};

struct CellKeeperOptions {
    Duration keeperTimeout = Duration::millis(700); ///< without a sum from the keeper, until the next one is chosen: fourteen of its periods
    Duration avoidPeriod = Duration::seconds(3); ///< a keeper that was silent
};

// [SECTION] CellKeeper

class CellKeeper
{
public:
    explicit CellKeeper(std::string self, CellKeeperOptions options = {});

    // Queries
    auto keeper() const -> const std::string &; ///< as last chosen; empty: nobody is known
    /// The gateways to which a sum goes: all of the keeper's own zone, and one in each other zone, which passes it on. `alive`: gateways known to receive.
    auto relays(const std::set<std::string> &alive) const -> std::set<std::string>;
    auto zoneMates(const std::set<std::string> &alive) const -> std::set<std::string>;

    // Commands
    auto setMembers(const std::vector<CellMember> &members) -> void; ///< all registered gateways, this one included
    auto sumReceived(const std::string &keeper, TimePoint now) -> void;
    /// `live`: gateways that are alive. True if the keeper has changed.
    auto choose(const std::set<std::string> &live, TimePoint now) -> bool;

private:
    auto isBefore(const CellMember &a, const CellMember &b) const -> bool;
    auto zoneOf(const std::string &id) const -> ZoneName;

    std::string m_self;
    CellKeeperOptions m_options;
    std::vector<CellMember> m_ranked; ///< the preferred keeper first
    std::map<std::string, TimePoint> m_avoidUntil;
    std::string m_keeper;
    TimePoint m_receivedAt; ///< of the chosen keeper's last sum, or of its choice
};

} // namespace KingCup
