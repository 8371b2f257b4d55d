// The requests of all gateways that wait for a slot of one full target, at the gateway that grants its slots (the arbiter, core/slotpermits.h). No I/O.
//
// All gateways see a freed slot in the same reports. If each sent a request to it, one would get it and the target would reject or delay the others, and which
// of the waiting requests gets it would be a matter of chance. So one queue decides for all gateways.
//
// Order of service: the urgency band; in a band, requests that can still meet their goal before those that can only meet their deadline; then requests that
// return at the time they were given; then the account that has been served the fewest tokens; then age.
//
// The number of free slots is the target's capacity less the runs that the gateways have reported, less the grants that aren't used yet, corrected by the
// sends and ends that gateways have announced since their last report.
//
// Index of sections (search for [SECTION]):
//   Options     bounds and lifetimes
//   Ceiling     the capacity of a target that has rejected a request
//   Requests    what waits, and what became of it
//   SlotQueue   the queue of one target
#pragma once

#include "core/drainrate.h"
#include "core/fairshare.h"
#include "core/ids.h"
#include "core/returnpromises.h"
#include "core/traffic.h"
#include "core/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct SlotQueueOptions {
    std::size_t maxWaiting = 1024; ///< beyond it, the least valuable request is rejected
    /// Until an unused grant expires at the arbiter. Longer than the gateway's lease (300 ms) by the time that its last notice may take.
    Duration grantLifetime = Duration::millis(350);
    Duration queryLifetime = Duration::millis(700); ///< the requests of a gateway from which nothing was received for this long are dropped: it has ended
    /// A request that its gateway, though live, doesn't confirm by a repeated query for this long is dropped: the withdrawal was lost.
    Duration confirmLifetime = Duration::millis(2500);
    /// An announced send counts as included in the reports after this time, unless reportReceived() states it sooner.
    Duration sendReportDelay = Duration::millis(1200);
    /// As above for an announced end. Shorter where reports don't state what they include: an end that counts twice frees a slot that is in use.
    Duration endReportDelay = Duration::millis(1200);
    /// A queue that was empty for this long starts again with the assumed rate: without full targets, gateways don't announce the ends of runs.
    Duration drainLifetime = Duration::seconds(1);
};

// [SECTION] Ceiling

/// The assumed capacity of a target that states more free slots than it has. A rejection shows that it has no more than its runs at that time, so only the ends
/// of runs free slots. While it rejects nothing further, the assumption rises at a doubling pace: 64 slots are restored within 3.5 s.
class SlotCeiling
{
public:
    auto capacity(int stated, TimePoint now) const -> int;
    auto rejected(int running, TimePoint now) -> void; ///< `running`: runs at the target, without the rejected request

private:
    std::optional<int> m_runs;
    TimePoint m_at;
};

// [SECTION] Requests

/// One request at the gateway that holds it.
struct SlotRequestKey {
    std::string gateway;
    std::uint64_t number = 0; ///< 0: none

    auto operator<=>(const SlotRequestKey &) const = default;
};
auto toString(const SlotRequestKey &key) -> std::string; ///< "GATEWAY/NUMBER"

struct SlotRequest {
    SlotRequestKey key;
    std::uint64_t fingerprint = 0;
    AccountName account; ///< empty: none
    UrgencyBand band = UrgencyBand::Normal;
    TimePoint goalAt; ///< the latest start that meets the goal
    TimePoint deadline; ///< the latest start that meets the deadline
    TimePoint arrivedAt; ///< for the first time, if it has returned
    int tokens = 0; ///< of the prompt and the response
};

enum class SlotRejection {
    None,
    TooLate, ///< it can't be served before its deadline
    QueueFull,
};
auto toString(SlotRejection rejection) -> const char *;

struct RejectedSlotRequest {
    SlotRequest request;
    SlotRejection reason = SlotRejection::None;
    Duration expectedWait;
    Duration retryAfter;
    SlotRequestKey instead; ///< the request that was served last; number 0: none yet
};

struct GrantedSlot {
    SlotRequest request;
    Duration waited;
    int waiting = 0; ///< requests that still wait
    bool isReturning = false; ///< it returned at the time that it was given
};

/// The target, as the arbiter knows it.
struct SlotLoad {
    int capacity = 0; ///< runs
    int running = 0; ///< runs that gateways have reported, the arbiter's own included
    double assumedPerSecond = 20; ///< slots that become free on a full target, before any has been observed
};

// [SECTION] SlotQueue

class SlotQueue
{
public:
    /// `self`: the arbiter, whose own sends and ends are in SlotLoad at once.
    SlotQueue(std::string self, SlotQueueOptions options = {});

    // Queries
    auto waiting() const -> std::size_t;
    auto waiting(UrgencyBand band) const -> int;
    auto contains(const SlotRequestKey &key) const -> bool; ///< it waits
    auto free(const SlotLoad &load, TimePoint now) const -> int; ///< slots that may be granted; negative if more are in use than the capacity
    auto granted() const -> std::size_t; ///< slots that are granted and neither used nor returned
    auto isIdle(TimePoint now) const -> bool; ///< nothing waits, and nothing was received for some time
    auto promises() const -> const ReturnPromiseCounts &;

    // Commands: requests
    auto setAccounts(const std::vector<ClientAccount> &accounts) -> void;
    auto setReportDelays(Duration ofSends, Duration ofEnds) -> void;
    auto add(SlotRequest request, const SlotLoad &load, TimePoint now) -> void; ///< replaces a request with the same key
    auto repeat(const SlotRequestKey &key, TimePoint now) -> bool; ///< false: it doesn't wait here
    auto withdraw(const SlotRequestKey &key, TimePoint now) -> void; ///< also if a slot was granted to it
    /// The next request in the order of service, if a slot is free. Its grant counts until it is used, returned or expired.
    auto grantNext(const SlotLoad &load, TimePoint now) -> std::optional<GrantedSlot>;
    /// Removes the requests that can't be served before their deadline, and the least valuable ones of too many.
    auto rejectLate(TimePoint now) -> std::vector<RejectedSlotRequest>;

    // Commands: what gateways report
    /// `isReported`, here and below: the gateway's last report of its load includes the change.
    auto used(const SlotRequestKey &key, bool isReported, TimePoint now) -> void;
    auto returned(const SlotRequestKey &key, TimePoint now) -> void; ///< without having been used
    auto ended(const std::string &gateway, int runs, bool isReported, TimePoint now) -> void;
    auto rejectedByTarget(const std::string &gateway, const SlotLoad &load, bool isReported, TimePoint now) -> void;
    auto reportReceived(const std::string &gateway) -> void; ///< the load includes all that the gateway has announced before
    auto gatewayGone(const std::string &gateway, TimePoint now) -> void;
    /// Drops requests whose gateway has fallen silent, and returns the keys of expired grants. `lastReceived`: when a message of each gateway was last
    /// received.
    auto expire(const std::map<std::string, TimePoint> &lastReceived, TimePoint now) -> std::vector<SlotRequestKey>;

private:
    struct Waiting {
        SlotRequest request;
        TimePoint queriedAt; ///< when the arbiter received the first query
        TimePoint repeatedAt;
        bool isReturning = false; ///< at the time that it was given
    };
    struct Grant {
        AccountName account;
        int tokens = 0;
        TimePoint expiresAt;
    };
    struct Announced {
        TimePoint at;
        int runs = 0; ///< negative: ended
    };
    /// The order of service: band, whether the goal is missed, whether it isn't a returning request, tokens of the account, arrival.
    using Rank = std::tuple<UrgencyBand, bool, bool, double, TimePoint>;
    using WaitingMap = std::map<SlotRequestKey, Waiting>;
    auto order(TimePoint now) const -> std::vector<WaitingMap::const_iterator>;
    auto rank(const Waiting &waiting, TimePoint now) const -> Rank;
    auto announce(const std::string &gateway, int runs, TimePoint now) -> void;
    auto isReported(const Announced &change, TimePoint now) const -> bool;
    auto announcedRuns(TimePoint now) const -> int;
    auto renewDrain(TimePoint now) -> void;
    auto remove(WaitingMap::const_iterator position) -> void;
    auto reject(const Waiting &waiting, SlotRejection reason, int position, TimePoint now) -> RejectedSlotRequest;

    std::string m_self;
    SlotQueueOptions m_options;
    FairShare m_shares;
    ReturnPromises m_promises;
    DrainRate m_drain;
    TimePoint m_drainFedAt;
    double m_assumedPerSecond = DrainRateOptions().assumedPerSecond;
    WaitingMap m_waiting;
    std::map<AccountName, int> m_waitingByAccount;
    std::map<SlotRequestKey, Grant> m_grants; ///< neither used nor returned
    std::map<std::string, std::vector<Announced>> m_announced; ///< by gateway, since its last report
    SlotCeiling m_ceiling;
    SlotRequestKey m_lastGranted;
    TimePoint m_receivedAt;
};

} // namespace KingCup
