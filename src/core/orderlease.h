// The lease of the one gateway that gives orders to runners: a row of the store that is changed by conditional writes, renewed while it is held, and taken
// over when its holder has gone. No I/O: rows read, outcomes of writes and digests received go in with a time; the next step comes out.
//
// Two holders must never give orders at the same time, since the runners of some deployments act on any order that arrives. Therefore
//   - a holder stops before its lease ends; the lease counts from the moment at which the write that renewed it was sent;
//   - a successor takes the row only if, by its own clock, for a whole lease the row didn't change and no digest arrived from the holder;
//   - a gateway that restarted on the holder's own host waits only until the last orders of the former process have arrived: one host runs one
//     gateway, so that process has ended. If all gateways are killed at once, runners are without orders for one second instead of four.
// Clocks of different hosts are never compared. Each gateway's clock must include the time for which its host was suspended.
//
// The second condition lets a holder continue while the store is unavailable: as long as every gateway that may succeed it has recently confirmed one of
// its digests, none of them can have waited a whole lease. If the holder stopped instead, each request that needs an adapter loaded would wait while the
// store is unavailable.
//
// Among a hundred gateways at least one is nearly always restarting or down, so the holder can't rely on the confirmation of all. It names a few live
// gateways in the row as candidates and needs the confirmation of these only. Any other gateway waits much longer before it takes an unchanged row
// (nonCandidateWait), and the holder relies on the candidates alone for less than that time.
//
// Index of sections (search for [SECTION]):
//   Candidates   gateways that may succeed the holder without the longer wait
//   Steps        reads and writes of the row that the owner has to perform
//   OrderLease   the state machine
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
    double processorShare = 1; ///< cores of its host that this gateway may use
};

/// At most `count` gateways: those with the most cores first, and one of each availability zone before a second one of any. The choice is the same on all
/// gateways that know the same live ones.
auto chooseLeaseCandidates(std::vector<LeaseMember> alive, std::size_t count) -> std::vector<EntryId>;

// [SECTION] Steps

/// One run of a gateway process: "ID#INCARNATION".
using HolderName = StrongName<struct HolderNameTag>;

/// The "ID" part of the name.
auto gatewayIdOf(const HolderName &holder) -> std::string;

enum class LeaseStep {
    None,
    Read, ///< read the row, then call rowRead() or readFailed()
    Write, ///< write what writeStarted() returns, then call writeCommitted(), writeRefused() or writeOutcomeUnknown()
};

struct LeaseWrite {
    RowVersion expected; ///< write only if the row has this version; 0: only if there is no row
    std::string value;
};

struct OrderLeaseOptions {
    Duration duration = Duration::seconds(3);
    Duration margin = Duration::millis(300); ///< a holder stops this long before its lease ends, so that an order in flight arrives in time
    Duration renewAfter = Duration::millis(1200); ///< leaves time for two more attempts within a lease of 3 s
    Duration retryAfter = Duration::millis(300); ///< delay after a failed attempt
    Duration stagger = Duration::millis(400); ///< the first attempts of the gateways are spread over this time
    Duration nonCandidateWait = Duration::seconds(12); ///< wait of a gateway that is no candidate for an unchanged row; four times the duration
    Duration holderSilence = Duration::seconds(1); ///< the row is read after this time without a digest of the holder; five digest periods
};

// [SECTION] OrderLease

class OrderLease
{
public:
    OrderLease(HolderName self, OrderLeaseOptions options, TimePoint startedAt);

    // Queries
    auto mayOrder(TimePoint now) const -> bool; ///< this gateway holds the lease, and the lease is valid
    auto isHolder() const -> bool; ///< this gateway wrote the row last, as far as it knows; mayOrder() says whether the lease is still valid
    auto fence() const -> Fence; ///< of this gateway's current or last term; 0 if it never held the lease
    auto holder() const -> const HolderName &; ///< from the last digest or read; may be this gateway
    auto lastHolderSequence() const -> std::uint64_t; ///< number of the last digest received from the holder
    auto version() const -> RowVersion; ///< version of the row as last read, written or announced
    auto nextStep(TimePoint now) const -> LeaseStep;

    // Commands: the row
    auto readStarted(TimePoint now) -> void;
    auto rowRead(RowVersion version, const std::string &value, TimePoint now) -> void; ///< version 0: there is no row
    auto writeStarted(TimePoint now) -> LeaseWrite;
    auto writeCommitted(RowVersion version, TimePoint now) -> void;
    auto writeRefused(TimePoint now) -> void; ///< without effect, or the row has another version: the next step is a read
    auto writeOutcomeUnknown(TimePoint now) -> void; ///< the next step is a read, which shows whether the write took effect
    auto readFailed(TimePoint now) -> void;

    // Commands: other gateways
    /// Received a digest of a gateway that holds the lease. `version`: the version of the row as the holder wrote it last. The digest counts like a read of the
    /// row, so that a successor's wait begins with it and not only once the holder is found to be silent.
    auto holderAnnounced(const HolderName &holder, Fence fence, std::uint64_t sequence, RowVersion version, TimePoint now) -> void;
    /// This gateway sends a digest with this sequence number.
    auto digestSent(std::uint64_t sequence, TimePoint now) -> void;
    /// Another gateway reports the last digest of this gateway that it received. A confirmation doesn't extend a lease that has ended: a
    /// gateway that received no digest for a whole lease may already be taking the row, and it still confirms digests that arrive meanwhile. After the end
    /// of the lease only the row shows who holds it.
    auto peerConfirmed(const EntryId &peer, std::uint64_t sequence, TimePoint now) -> void;
    /// Sets all other gateways. If the row names no candidates, each of them must confirm digests for the lease to be extended while the store is unavailable.
    auto setPeers(const std::set<EntryId> &peers) -> void;
    /// Sets the other gateways that the next write of the row names as candidates.
    auto setCandidates(std::vector<EntryId> candidates) -> void;
    /// The peer runs a version that doesn't know candidates, and takes the row as if it were one.
    auto peerIgnoresCandidates(const EntryId &peer) -> void;

private:
    struct Write {
        TimePoint sentAt;
        std::vector<EntryId> candidates; ///< empty: every gateway is a candidate
    };
    auto validUntil() const -> TimePoint;
    auto confirmedAt(const EntryId &peer) const -> std::optional<TimePoint>;
    auto confirmedByAll() const -> std::optional<TimePoint>; ///< sending time of the oldest among the digests that the peers confirmed last
    auto confirmedByCandidates() const -> std::optional<TimePoint>; ///< the same over requiredConfirmers(); also none if all gateways are candidates
    auto requiredConfirmers() const -> std::optional<std::set<EntryId>>; ///< none if all gateways are candidates
    auto takeoverAllowedAt() const -> TimePoint;
    auto lose() -> void;
    auto rowValue(std::uint64_t number) const -> std::string;

    HolderName m_self;
    OrderLeaseOptions m_options;
    TimePoint m_startedAt;
    bool m_holds = false;
    Fence m_fence;
    RowVersion m_version; ///< version of the row as last read, written or announced
    TimePoint m_versionSeenAt; ///< when this gateway first saw that version
    bool m_isRowKnown = false;
    bool m_mustRead = true;
    bool m_isRequestInFlight = false;
    TimePoint m_nextAttempt;
    TimePoint m_renewedAt; ///< when the last write that took effect was sent
    std::map<std::uint64_t, Write> m_writes; ///< this gateway's writes of the row, by number
    std::uint64_t m_lastWrite = 0;
    std::uint64_t m_lastEffectiveWrite = 0; ///< number of this gateway's last write that is known to have taken effect
    std::vector<EntryId> m_candidates; ///< candidates that the next write will name
    std::set<EntryId> m_peersIgnoringCandidates;
    bool m_isCandidate = true; ///< according to the row as last read
    HolderName m_holder;
    std::uint64_t m_holderSequence = 0;
    TimePoint m_holderSeenAt;
    std::map<std::uint64_t, TimePoint> m_digestSentAt; ///< sending times of own digests, by sequence number
    std::map<EntryId, std::uint64_t> m_confirmedDigests; ///< per peer: the last own digest that it confirmed; 0: none
};

} // namespace KingCup
