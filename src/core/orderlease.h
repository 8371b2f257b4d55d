// The lease of the one gateway that gives orders to runners: a row of the store that is changed under conditions, renewed while it is
// held, and taken over when its holder is gone. Pure: what was read, written and received goes in with a time; the next step comes out.
//
// Two holders must never give orders at once: runners of some deployments act on whatever order comes. So
//   - a holder stops before its time is over, counted from before the write that renewed it left;
//   - a successor takes the row only if it saw it unchanged for a whole lease, by its own clock, and received nothing from the holder as long;
//   - but a gateway that has started again on the holder's own host knows that the holder has ended, as one host runs one gateway: it only
//     waits until the last orders of before have arrived. When all gateways were killed at once, runners are without orders for a second in place of four.
// No two clocks are compared. They must count the time that a host was suspended.
//
// The second condition lets a holder go on while the store is away: as long as every gateway that may succeed it has lately confirmed its digests, none of
// them can have begun to count. A store that is away for seconds would otherwise leave every request waiting that needs an adapter loaded.
//
// Of a hundred gateways one is always restarting or gone. So the holder names a few candidates in the row, chosen from those that are alive, and needs the
// confirmation of these only. Any other gateway waits much longer for an unchanged row, and the holder doesn't rely on the candidates alone for as long.
//
// Index of sections (search for [SECTION]):
//   Candidates   who may succeed a holder soon
//   Steps        what the owner is to do
//   OrderLease   the state
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Candidates

struct LeaseMember {
    EntryId id;
    ZoneName zone;
    double processorShare = 1; ///< cores of its host that are its own
};

/// Gateways with much processor time first, one of each availability zone before a second one. All gateways rank them alike.
auto chooseLeaseCandidates(std::vector<LeaseMember> alive, std::size_t count) -> std::vector<EntryId>;

// [SECTION] Steps

/// One start of a gateway: "ID#INCARNATION".
using HolderName = StrongName<struct HolderNameTag>;

/// "ID" of it.
auto gatewayIdOf(const HolderName &holder) -> std::string;

enum class LeaseStep {
    None,
    Read, ///< the row, then rowRead()
    Write, ///< the row under the version that writeStarted() answers, then written() and its kin
};

struct LeaseWrite {
    RowVersion expected; ///< 0: there must be no row
    std::string value;
};

struct OrderLeaseOptions {
    Duration duration = Duration::seconds(3);
    Duration margin = Duration::millis(300); ///< a holder stops this long before its time is over: an order under way still has to arrive
    Duration renewAfter = Duration::millis(1200); ///< two more tries fit into the rest of a lease of 3 s
    Duration retryAfter = Duration::millis(300); ///< between tries that failed
    Duration stagger = Duration::millis(400); ///< gateways that want the row spread their tries over this
    Duration nonCandidateWait = Duration::seconds(12); ///< for an unchanged row, of a gateway that is no candidate; four times the duration
    Duration holderSilence = Duration::seconds(1); ///< without a digest of the holder before the row is looked at: five of its digests
};

// [SECTION] OrderLease

class OrderLease
{
public:
    OrderLease(HolderName self, OrderLeaseOptions options, TimePoint startedAt);

    // Queries
    auto mayOrder(TimePoint now) const -> bool;
    auto isHolder() const -> bool; ///< it wrote the row last, as far as it knows; mayOrder() says whether that still counts
    auto fence() const -> Fence; ///< of this tenure; 0: never held
    auto holder() const -> const HolderName &; ///< as last received or read; may be this gateway
    auto lastHolderSequence() const -> std::uint64_t; ///< of the holder's digests that were received
    auto version() const -> RowVersion; ///< of the row, as last seen
    auto nextStep(TimePoint now) const -> LeaseStep;

    // Commands: the row
    auto readStarted(TimePoint now) -> void;
    auto rowRead(RowVersion version, const std::string &value, TimePoint now) -> void; ///< version 0: there is no row
    auto writeStarted(TimePoint now) -> LeaseWrite;
    auto writeCommitted(RowVersion version, TimePoint now) -> void;
    auto writeRefused(TimePoint now) -> void; ///< certainly without effect, or another version stands there: reads next
    auto writeOutcomeUnknown(TimePoint now) -> void; ///< reads next, to see
    auto readFailed(TimePoint now) -> void;

    // Commands: other gateways
    /// A digest of a gateway that holds the lease. `version`: of the row, as it wrote it last; that is as good as having read it, and the wait of a
    /// successor doesn't begin only when the holder has been missed.
    auto holderAnnounced(const HolderName &holder, Fence fence, std::uint64_t sequence, RowVersion version, TimePoint now) -> void;
    /// This gateway sends a digest with that number.
    auto digestSent(std::uint64_t sequence, TimePoint now) -> void;
    /// Another gateway says which of this gateway's digests it received last. A lease that is over isn't brought back by that: a gateway that
    /// received nothing for long enough may have begun to take the row, and goes on receiving digests meanwhile. Only the row decides then.
    auto peerConfirmed(const EntryId &peer, std::uint64_t sequence, TimePoint now) -> void;
    /// All other gateways. Where the row names no candidates, the extension needs the confirmation of each.
    auto setPeers(const std::set<EntryId> &peers) -> void;
    /// Other gateways that the next write of the row names.
    auto setCandidates(std::vector<EntryId> candidates) -> void;
    /// This gateway doesn't know of candidates and takes the row as if it were one.
    auto peerIgnoresCandidates(const EntryId &peer) -> void;

private:
    struct Write {
        TimePoint sentAt;
        std::vector<EntryId> candidates; ///< none: each gateway is one
    };
    auto validUntil() const -> TimePoint;
    auto confirmedAt(const EntryId &peer) const -> std::optional<TimePoint>;
    auto confirmedByAll() const -> std::optional<TimePoint>; ///< when the oldest of the digests left that each has confirmed last
    auto confirmedByCandidates() const -> std::optional<TimePoint>; ///< likewise; none also if all gateways are candidates
    auto requiredConfirmers() const -> std::optional<std::set<EntryId>>;
    auto takeoverAllowedAt() const -> TimePoint;
    auto lose() -> void;
    auto rowValue(std::uint64_t number) const -> std::string;

    HolderName m_self;
    OrderLeaseOptions m_options;
    TimePoint m_startedAt;
    bool m_holds = false;
    Fence m_fence;
    RowVersion m_version; ///< of the row as last seen
    TimePoint m_versionSeenAt; ///< since when it has that version, by own sight
    bool m_isRowKnown = false;
    bool m_mustRead = true;
    bool m_isRequestInFlight = false;
    TimePoint m_nextAttempt;
    TimePoint m_renewedAt; ///< when the last write that took effect left
    std::map<std::uint64_t, Write> m_writes; ///< by number
    std::uint64_t m_lastWrite = 0;
    std::uint64_t m_lastEffectiveWrite = 0; ///< the last one that is known to have taken effect
    std::vector<EntryId> m_candidates; ///< for the next write
    std::set<EntryId> m_peersIgnoringCandidates; ///< peers
    bool m_isCandidate = true; ///< by the row as last read
    HolderName m_holder;
    std::uint64_t m_holderSequence = 0;
    TimePoint m_holderSeenAt;
    std::map<std::uint64_t, TimePoint> m_digestSentAt; ///< own ones, when each left
    std::map<EntryId, std::uint64_t> m_confirmedDigests; ///< the last own digest that each has received; 0: none
};

} // namespace KingCup
