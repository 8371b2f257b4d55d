// Tracks the agents and the other entries: their membership, connections and last reports. Supplies this data to the router and the planner.
//
// Index of sections (search for [SECTION]):
//   Hooks   notifications, settings, FleetMember
//   Fleet   the task
#pragma once

#include "core/floor.h"
#include "core/membership.h"
#include "core/placement.h"
#include "core/routing.h"
#include "wire/peerlinks.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Hooks

struct FleetHooks {
    std::function<std::vector<Wire::ControlFrame>()> greeting; ///< first frames for a peer that has connected
    std::function<void()> onCapacity; ///< targets or replicas may have become available
    std::function<void(const Wire::Suspects &suspects)> onSuspects;
    std::function<void(const Wire::ControlFrame &frame)> onEntryFrame; ///< from another entry: configuration, plan, demand or revision
};

struct FleetSettings {
    std::string self;
    Duration heartbeat;
    Duration suspectAfter;
    PeerOptions peers;
};

/// One process as `kingcupctl status` shows it.
struct FleetMember {
    std::string id;
    HostRole role = HostRole::Agent;
    ZoneName zone;
    MemberState state = MemberState::Proposed;
    Duration silentFor; ///< time since the last message from this process; if there was none, since it was first listed
    Revision revision; ///< in force in this process; 0: not reported yet
    Wire::LoadReport report; ///< agents only: the last report
};

// [SECTION] Fleet

class Fleet
{
public:
    Fleet(EventLoop &loop, FleetSettings settings, Router &router, FleetHooks hooks);
    ~Fleet();

    // Queries
    auto members() const -> std::vector<FleetMember>; ///< agents and other entries
    auto runners() const -> std::vector<RunnerState>;
    auto holderReports() const -> std::map<TargetId, HolderReport>;
    auto ranksFirst(const std::string &subject) const -> bool; ///< this entry ranks first for the subject among the live entries
    auto isListTrusted() const -> bool; ///< false while the platform's host list is considered wrong
    auto hasCopy(const ArtifactName &artifact) const -> bool; ///< a live runner has a replica of it

    // Commands
    auto adopt(const Declarations &declarations) -> void; ///< the declarations assign a service to targets whose own settings name none
    auto listReceived(const std::vector<ListedHost> &hosts) -> void;
    auto entryReported(const std::string &id, Revision revision) -> void;
    auto open(const TargetId &target) -> PeerStreamPtr; ///< a request stream; null while not connected
    auto sendTo(const std::string &id, const Wire::ControlFrame &frame) -> void;
    auto sendAgents(const Wire::ControlFrame &frame) -> void;
    auto sendEntries(const Wire::ControlFrame &frame) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
