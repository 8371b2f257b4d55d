// Permits for slots of full targets: those that one gateway waits for and holds, and those that it issues to others. No I/O.
//
// For each full target one gateway, the arbiter, grants slots to the waiting requests of all gateways in the order of service (core/slotqueue.h). All gateways
// find the same arbiter by rendezvous hashing among those that are live, so nothing has to be agreed on or handed over: an arbiter that takes over starts with
// an empty queue, which the repeated queries fill.
//
// A request waits for its best two targets. The first grant is used, and the other query is withdrawn. A permit only says when a request may be sent. Whether
// it is sent, and at most once, is decided by the gateway that holds it, so a lost, late or repeated grant causes no second run.
//
// A gateway whose query isn't answered within the reply time decides by its own view of the target's load. Until it hears of that arbiter again, its further
// queries go to the gateway that ranks next. Two arbiters at the same time (a partition, or
// gateways that are still noticing a failure) grant at most twice the free slots.
//
// Targets with free slots need no permit. Of the other gateways' latest sends a gateway knows only by their reports, so it asks for a permit already when
// few slots are free by its own view.
//
// Index of sections (search for [SECTION]):
//   Options       times and bounds
//   Messages      what gateways send each other
//   SlotPermits   the permits of one gateway, and those that it issues as arbiter
#pragma once

#include "core/slotqueue.h"
#include "core/targetinfo.h"
#include "core/units.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct SlotPermitOptions {
    Duration lease = Duration::millis(300); ///< time in which a grant must be used
    Duration replyTimeout = Duration::millis(50); ///< an arbiter that doesn't reply within this time is treated as unreachable
    /// The queries that wait at an arbiter are repeated when nothing was received from it for this long. With the reply time, a request waits for an arbiter
    /// that has ended no longer than one lease. While digests arrive, nothing is repeated.
    Duration repeatPeriod = Duration::millis(230);
    Duration confirmPeriod = Duration::millis(1000); ///< all queries are repeated after this time: the arbiter may have restarted and lost its queue
    Duration messagePeriod = Duration::millis(20); ///< between two messages to the same gateway
    /// Share of a target's slots that must be free by this gateway's own view for a send without a permit. At 64 slots and streams of two seconds, about six
    /// requests arrive at a busy target between two reports of the other gateways.
    double margin = 0.125;
    std::size_t maxQueries = 4096; ///< requests of this gateway that may wait for permits; beyond it they are sent as without arbiters
    SlotQueueOptions queue;
    /// The load of a target as this gateway knows it; nothing: the target isn't known. Must be set.
    std::function<std::optional<SlotLoad>(const TargetIncarnation &target)> load;
};

// [SECTION] Messages

/// Asks the arbiter for a slot. Times are relative, as gateways have different clocks.
struct SlotQuery {
    TargetIncarnation target;
    std::uint64_t number = 0; ///< of the request, at the gateway that holds it
    bool isRepeated = false; ///< the fields below aren't set
    std::uint64_t fingerprint = 0;
    AccountName account;
    UrgencyBand band = UrgencyBand::Normal;
    Duration goalIn; ///< until the latest start that meets the goal
    Duration deadlineIn; ///< until the latest start that meets the deadline
    Duration age; ///< since the first arrival
    int tokens = 0;
};

struct SlotWithdrawal {
    TargetIncarnation target;
    std::uint64_t number = 0;
};

enum class SlotVerdict {
    Queued,
    Granted,
    Rejected,
    Unknown, ///< the arbiter doesn't know the target, or has no such request in its queue
};

struct SlotReply {
    TargetIncarnation target;
    std::uint64_t number = 0;
    SlotVerdict verdict = SlotVerdict::Queued;
    Duration retryAfter; ///< if rejected
    SlotRejection reason = SlotRejection::None;
    std::string instead; ///< if rejected: "GATEWAY/NUMBER" of the request that was served last
};

struct SlotReturn {
    TargetIncarnation target;
    std::uint64_t number = 0; ///< of the request whose grant was used or is returned; 0: none
    bool isUsed = false;
    int ended = 0; ///< runs of the sender that have ended
    int rejected = 0; ///< runs of the sender that the target has rejected
    bool isReported = false; ///< the sender's last digest includes these changes
};

/// Messages to one other gateway.
struct SlotMessages {
    std::vector<SlotQuery> queries;
    std::vector<SlotWithdrawal> withdrawals;
    std::vector<SlotReply> replies;
    std::vector<SlotReturn> returns;

    auto isEmpty() const -> bool;
};

// [SECTION] SlotPermits

/// What a request of this gateway waits with. `key.gateway` isn't used.
struct SlotDemand {
    std::uint64_t fingerprint = 0;
    AccountName account;
    UrgencyBand band = UrgencyBand::Normal;
    TimePoint goalAt;
    TimePoint deadline;
    TimePoint arrivedAt;
    int tokens = 0;
};

struct SlotState {
    enum Kind {
        None, ///< no such request waits
        Waiting,
        Granted, ///< may be sent to `target`
        Rejected, ///< by all arbiters that it queried
        Unanswered, ///< an arbiter didn't reply, and no other one has the request in its queue
    };
    Kind kind = None;
    TargetIncarnation target; ///< if granted
    Duration waited; ///< if granted: since the first query
    Duration retryAfter; ///< if rejected
    SlotRejection reason = SlotRejection::None; ///< if rejected
    std::string instead; ///< if rejected: "GATEWAY/NUMBER" of the request that was served last
};

/// What an arbiter has decided, for the log.
struct SlotEvent {
    enum Kind { Granted, Rejected, Expired };
    Kind kind = Granted;
    TargetIncarnation target;
    SlotRequestKey key;
    UrgencyBand band = UrgencyBand::Normal;
    AccountName account;
    int tokens = 0;
    Duration waited; ///< if granted
    Duration expectedWait; ///< if rejected
    SlotRejection reason = SlotRejection::None;
    SlotRequestKey instead; ///< if rejected
    bool isReturning = false; ///< if granted: at the time that it was given
    int waiting = 0;
    int running = 0;
    int capacity = 0;
};

class SlotPermits
{
public:
    /// `self`: id of this gateway.
    SlotPermits(std::string self, SlotPermitOptions options);

    // Queries
    auto arbiter(const TargetIncarnation &target) const -> std::string; ///< the gateway that grants the target's slots
    /// Number of runs at the target from which on a send needs a permit; 0 while requests of this gateway wait for the target: the arbiter knows of slots that
    /// it has granted, and requests that arrive later must not go first. `capacity`: runs that the target can take. `crowding`: targets that could take the
    /// request, by the number of those with free slots. The requests of all of them come to these at once.
    auto sendLimit(const TargetIncarnation &target, int capacity, double crowding, TimePoint now) const -> int;
    auto state(std::uint64_t number, TimePoint now) const -> SlotState;
    auto pending() const -> std::size_t; ///< requests of this gateway that wait
    auto waiting(UrgencyBand band) const -> int; ///< requests in the queues of this arbiter
    auto promises() const -> ReturnPromiseCounts; ///< of all queues of this arbiter
    auto nextMessage(TimePoint now) const -> std::optional<Duration>; ///< until a pending message may be sent
    auto nextAction(TimePoint now) const -> std::optional<Duration>; ///< until advance() has something to do

    // Commands: this gateway's requests
    /// A request waits for the first slot at one of the targets. Returns its number; 0: too many wait already.
    auto wait(const SlotDemand &demand, const std::vector<TargetIncarnation> &targets, TimePoint now) -> std::uint64_t;
    auto used(std::uint64_t number, TimePoint now) -> void; ///< it was sent with its grant
    auto withdraw(std::uint64_t number, TimePoint now) -> void; ///< it no longer waits, or was sent without a grant
    auto ended(const TargetIncarnation &target, bool isFull, TimePoint now) -> void; ///< a run at the target. `isFull`: by this gateway's view, before
    auto rejected(const TargetIncarnation &target, bool wasGranted, TimePoint now)
        -> void; ///< a request, by the target. `wasGranted`: it was sent with a grant

    // Commands: other gateways
    auto setGateways(std::set<std::string> live) -> void; ///< the other gateways that are live
    auto setAccounts(std::vector<ClientAccount> accounts) -> void;
    auto setReportDelays(Duration ofSends, Duration ofEnds) -> void; ///< until the reports include what another gateway has announced
    auto messageReceived(const std::string &gateway, TimePoint now) -> void; ///< any message was received from that gateway
    auto received(const std::string &gateway, const SlotMessages &messages, TimePoint now) -> void;
    auto reportReceived(const std::string &gateway, TimePoint now) -> void; ///< its digest has been merged
    auto digestSent() -> void; ///< to all gateways; what is pending is included in it
    auto gatewayGone(const std::string &gateway, TimePoint now) -> void;
    auto advance(TimePoint now) -> void; ///< repeats queries, expires grants, grants and rejects
    auto takeMessages(TimePoint now) -> std::map<std::string, SlotMessages>; ///< that may be sent now, by receiver
    auto takeChanged() -> std::vector<std::uint64_t>; ///< this gateway's requests whose state may have changed
    auto takeEvents() -> std::vector<SlotEvent>;

private:
    enum class Stage { Queried, Queued, Granted, Rejected, Unanswered };
    /// One query of a request.
    struct Query {
        TargetIncarnation target;
        std::string arbiter;
        Stage stage = Stage::Queried;
        bool awaitsReply = false;
        bool isResent = false; ///< in full, since the arbiter didn't know it
        TimePoint queriedAt;
        TimePoint grantedAt;
        SlotReply reply; ///< the last one
    };
    struct Request {
        SlotDemand demand;
        TimePoint since;
        std::vector<Query> queries;
    };
    struct Outgoing {
        SlotMessages messages;
        TimePoint mayBeSentAt;
    };
    auto sendQuery(std::uint64_t number, const Request &request, Query &query, bool isRepeated, TimePoint now) -> void;
    auto sendReturn(const std::string &arbiter, const SlotReturn &message, TimePoint now) -> void;
    auto onQuery(const std::string &gateway, const SlotQuery &query, TimePoint now) -> void;
    auto onReturn(const std::string &gateway, const SlotReturn &message, TimePoint now) -> void;
    auto onReply(const SlotReply &reply, TimePoint now) -> void;
    auto reply(const std::string &gateway, const SlotReply &reply, TimePoint now) -> void;
    auto endRequest(std::uint64_t number, bool isGrantUsed, TimePoint now) -> void;
    auto withdrawQuery(std::uint64_t number, const Query &query, TimePoint now) -> void;
    auto queueOf(const TargetIncarnation &target) -> SlotQueue &;
    auto serve(const TargetIncarnation &target, TimePoint now) -> void;
    auto serveChanged(TimePoint now) -> void;
    auto countQuery(const TargetIncarnation &target, int change) -> void;
    auto updateArbiters() -> void;
    auto repeatAt(const Query &query) const -> TimePoint;
    auto isUnanswered(const Query &query, TimePoint now) const -> bool;

    std::string m_self;
    SlotPermitOptions m_options;
    std::set<std::string> m_live; ///< other gateways
    std::set<std::string> m_unresponsive; ///< of these, the ones that didn't reply, and from which nothing was received since
    std::set<std::string> m_arbiters; ///< the other live ones
    std::map<std::string, TimePoint> m_receivedFrom; ///< when a message of each gateway was last received
    std::vector<ClientAccount> m_accounts;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Request> m_requests;
    std::map<TargetIncarnation, int> m_queryCounts; ///< queries of m_requests
    std::map<TargetIncarnation, SlotCeiling> m_ceilings; ///< of targets that have rejected requests of this gateway
    std::map<TargetIncarnation, SlotQueue> m_queues;
    std::map<TargetIncarnation, TimePoint> m_lateCheckedAt; ///< of long queues
    std::set<TargetIncarnation> m_unserved; ///< their queues, or the known free slots, have changed
    std::map<std::string, Outgoing> m_outgoing;
    TimePoint m_advancedAt;
    std::vector<std::uint64_t> m_changed;
    std::vector<SlotEvent> m_events;
};

} // namespace KingCup
