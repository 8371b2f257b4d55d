// Tracks which hosts are members and which members are live. The platform's host list, which lags, only proposes members; heartbeats decide which of them are
// live.
//
// Index of sections (search for [SECTION]):
//   Input        entries of the platform's host list
//   Ranking      rendezvous hashing over members
//   Membership   the members and their states
#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Input

enum class HostRole { Entry, Agent };

struct ListedHost {
    std::string id;
    HostRole role = HostRole::Agent;
    ZoneName zone;
    Endpoint endpoint;
    bool leaving = false;
    double processorShare = 1; ///< cores that the process may use; 1 if unknown
};

// [SECTION] Ranking

/// Members by descending rendezvous score for the subject. The result is the same on all processes that know the same members.
auto rankMembers(const std::string &subject, std::vector<std::string> members) -> std::vector<std::string>;
/// The first `count` members in the order of rankMembers().
auto memberSubset(const std::string &subject, std::vector<std::string> members, std::size_t count) -> std::vector<std::string>;

// [SECTION] Membership

enum class MemberState {
    Proposed, ///< listed; nothing received from it since it was listed, moved or returned
    Live,
    Suspect, ///< silent for suspectAfter, or its connection was lost: gets no new work while others are live
    Dead, ///< silent for deadAfter
    Leaving, ///< reported by the host itself or by the list
};
auto toString(MemberState state) -> const char *;

struct Member {
    ListedHost host;
    MemberState state = MemberState::Proposed;
    TimePoint lastSeen;
    bool isListed = true;
};

struct MembershipOptions {
    Duration suspectAfter = Duration::seconds(1.5); ///< three heartbeats missed
    Duration deadAfter = Duration::seconds(5);
    Duration forgetAfter = Duration::seconds(300); ///< a member that isn't listed is dropped after this time without messages
    double distrustedLossShare = 0.5; ///< a list that lacks this share or more of the listed members isn't trusted...
    Duration distrustPeriod = Duration::seconds(60); ///< ...until it has lacked them for this long
};

class Membership
{
public:
    explicit Membership(MembershipOptions options = {});

    // Queries
    auto find(const std::string &id) const -> std::optional<Member>;
    auto members(HostRole role) const -> std::vector<Member>; ///< in all states, ordered by id
    auto live(HostRole role) const -> std::vector<std::string>; ///< ids of the live members, in order
    auto isListTrusted() const -> bool; ///< false while removals of the platform's list are ignored
    /// Whether `id` ranks first for the subject among the live members with the role Entry.
    auto ranksFirst(const std::string &subject, const std::string &id) const -> bool;

    // Commands
    auto listReceived(const std::vector<ListedHost> &hosts, TimePoint now) -> void;
    auto seen(const std::string &id, TimePoint now) -> void; ///< a heartbeat or any other message was received
    auto reportedLeaving(const std::string &id) -> void; ///< by the member itself
    /// The member's drain was undone, or a new process replaced it. Has no effect while the list says that the host leaves.
    auto reportedStaying(const std::string &id) -> void;
    auto connectionLost(const std::string &id) -> void; ///< makes a live member suspect at once
    auto advance(TimePoint now) -> void; ///< updates the states of silent members; call a few times a second

private:
    auto mergeListed(const std::vector<ListedHost> &hosts, TimePoint now) -> void;

    MembershipOptions m_options;
    std::map<std::string, Member> m_members;
    std::optional<TimePoint> m_distrustedSince;
};

} // namespace KingCup
