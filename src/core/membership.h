// Who is there: from the platform's lagging list, which only proposes, and from heartbeats, which decide.
//
// Index of sections (search for [SECTION]):
//   Input        the platform's list
//   Ranking      rendezvous hashing over members
//   Membership   the state
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
    double processorShare = 1; ///< cores that are its own, where known
};

// [SECTION] Ranking

/// Members by descending rendezvous score for the subject. The same everywhere that the same members are known.
auto rankMembers(const std::string &subject, std::vector<std::string> members) -> std::vector<std::string>;
/// The first `count` of the ranking.
auto memberSubset(const std::string &subject, std::vector<std::string> members, std::size_t count) -> std::vector<std::string>;

// [SECTION] Membership

enum class MemberState {
    Proposed, ///< listed, never seen
    Live,
    Suspect, ///< silent for a while: gets no new work while others are there
    Dead, ///< silent for long
    Leaving, ///< said so itself, or the list did
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
    Duration forgetAfter = Duration::seconds(300); ///< neither listed nor seen
    double distrustedLossShare = 0.5; ///< a list that drops this share or more of the members at once isn't believed...
    Duration distrustPeriod = Duration::seconds(60); ///< ...until it has said so for this long
};

class Membership
{
public:
    explicit Membership(MembershipOptions options = {});

    // Queries
    auto find(const std::string &id) const -> std::optional<Member>;
    auto members(HostRole role) const -> std::vector<Member>; ///< in id order, all states
    auto live(HostRole role) const -> std::vector<std::string>; ///< live ones' ids, in order
    auto isListTrusted() const -> bool; ///< false while the platform's list is held to be wrong
    /// Whether `id` ranks first among live entries for the subject.
    auto ranksFirst(const std::string &subject, const std::string &id) const -> bool;

    // Commands
    auto listReceived(const std::vector<ListedHost> &hosts, TimePoint now) -> void;
    auto seen(const std::string &id, TimePoint now) -> void; ///< a heartbeat or any message
    auto reportedLeaving(const std::string &id) -> void;
    auto reportedStaying(const std::string &id) -> void; ///< its drain was undone, or a new process took the place; the list's mark stands
    auto connectionLost(const std::string &id) -> void; ///< suspect at once
    auto advance(TimePoint now) -> void; ///< lets silence have its effect; call a few times a second

private:
    auto mergeListed(const std::vector<ListedHost> &hosts, TimePoint now) -> void;

    MembershipOptions m_options;
    std::map<std::string, Member> m_members;
    std::optional<TimePoint> m_distrustedSince;
};

} // namespace KingCup
