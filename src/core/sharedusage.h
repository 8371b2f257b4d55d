// Usage limits of client accounts, enforced over all gateways together. No I/O.
//
// Each gateway keeps a token bucket per account. It charges the bucket with its own requests at once and with those of the other gateways when their reports
// arrive. So the buckets of all gateways agree except for the usage since the last reports. An account can exceed its limit by this usage; the bucket's level
// then becomes negative, and the account must wait until the bucket has been refilled. No gateway owns an account, so there is nothing to hand over when one
// fails.
//
// Several gateways that admit a large request against the same tokens leave a debt, in which small requests would be rejected that a single bucket admits. So
// a request needs a margin in the bucket beyond its cost, in proportion to it: the margin of the largest requests is as much as the debts of late.
//
// A silent gateway, one whose reports have stopped, may be partitioned from this one and still serve. So an equal share of each limit is reserved for that
// gateway, and a gateway whose peers are all silent uses only its own share. The limits therefore hold on both sides of a partition, and a gateway that resumes
// after a pause can't spend what the others have used meanwhile. With leases (core/limitshares.h) shares are reserved only for gateways that may use them.
//
// Index of sections (search for [SECTION]):
//   Options       time bounds and shares
//   Messages      a gateway's usage report
//   SharedUsage   the token buckets
#pragma once

#include "core/accounts.h"
#include "core/ids.h"
#include "core/limitshares.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct SharedUsageOptions {
    Duration silentAfter = Duration::millis(600); ///< a gateway that hasn't reported for this long is silent: a share is reserved for it
    /// With leases, a gateway that hasn't reported for this share of `silentAfter` is late: its share of the refills is withheld until it reports, and given
    /// back then. Otherwise three groups would use three times the limit until they notice a partition.
    double lateShare = 0.5;
    Duration forgetSilentAfter = Duration::seconds(30); ///< after this time without a report no share is reserved any more; a partition may last this long
    Duration learningPeriod = Duration::millis(1000); ///< period after the start; at its end, accounts that no gateway has reported count as unused
    /// Tokens added to each account's bucket, beyond its rate and up to its capacity, when all gateways have started together.
    double coldStartAllowance = 20000;
    double maxUnreportedShare = 0.2; ///< share of an account's burst that all gateways together may use before a report is urgent
    double nearlyExhaustedShare = 0.3; ///< an account with less than this share of its burst left is reported urgently
    /// Share of the difference to a reported level by which the own level is corrected. Gateways that started at different times have charged different usage;
    /// without correction the one with the highest level admits all large requests, and the others see debts.
    double levelCorrection = 0.02;
    Duration marginMemory = Duration::seconds(10); ///< time constant with which the margin against debts shrinks
    Duration maxMargin = Duration::millis(250); ///< of refill
    Duration maxReportDelay = Duration::seconds(1); ///< smaller amounts are reported within this time
};

// [SECTION] Messages

struct AccountUsage {
    std::uint32_t account = 0; ///< see accountHash()
    std::int64_t used = 0; ///< total that the reporting gateway has charged since its start
    std::int64_t level = 0; ///< level of the reporting gateway's bucket
};

struct UsageReport {
    std::string gateway; ///< host of the reporting gateway
    EntryId start; ///< identifies one start of the gateway process; `used` counts from that start
    bool isSettled = false; ///< the gateway's learning period is over: its levels include what the others have used
    std::vector<AccountUsage> accounts; ///< accounts with usage to report, see takeReport()
};

/// Hash that stands for the account's name in reports and keys its bucket.
auto accountHash(const AccountName &account) -> std::uint32_t;

// [SECTION] SharedUsage

struct UsageVerdict {
    bool isAdmitted = false;
    bool isShareKnown = true; ///< false: rejected because this gateway may use no share of the limit now, see LimitShares::share()
    double level = 0; ///< level of the bucket before the request
    Duration availableIn; ///< if rejected: time until the bucket has enough for the request, unless others use the account meanwhile
};

class SharedUsage
{
public:
    explicit SharedUsage(TimePoint startedAt, SharedUsageOptions options = {});

    // Queries
    auto share() const -> double; ///< share of each limit that this gateway may use together with the gateways that report to it
    auto isReportUrgent(const AccountName &account) const -> bool; ///< the others must learn what was charged here before the next regular report
    auto isSettled(TimePoint now) const -> bool; ///< the learning period is over

    // Commands: this gateway
    auto setLeasesUsed(bool areUsed) -> void; ///< whether shares are reserved by leases; allowed only under the condition in core/limitshares.h
    auto setAccounts(const std::vector<ClientAccount> &accounts, TimePoint now) -> void;
    auto setSilentAfter(Duration span) -> void;
    /// Charges the account if it has enough left. Requests of accounts without a limit are always admitted.
    auto admit(const AccountName &account, double cost, TimePoint now) -> UsageVerdict;
    /// Reverses the charge of an admitted request that did not run.
    auto refund(const AccountName &account, double cost, TimePoint now) -> void;
    /// Returns the usage that is due to be reported and counts it as reported. Call several times a second.
    auto takeReport(TimePoint now) -> std::vector<AccountUsage>;

    // Commands: other gateways
    auto merge(const UsageReport &report, TimePoint now) -> void; ///< a report without accounts still shows that the gateway is live
    /// Hosts of the other gateways, as registered. One that never reports counts as silent until it is forgotten like any silent gateway.
    auto setGateways(const std::vector<std::string> &others, TimePoint now) -> void;

    // Leases of shares in the store
    auto nextShareCall(TimePoint now) -> ShareCall; ///< the call to make now, to be answered by one of the functions of shares()
    auto shares() -> LimitShares &;

private:
    struct Bucket {
        UsageLimit limit;
        double level = 0;
        TimePoint refilledAt;
        double used = 0; ///< charged by this gateway since its start
        double reported = 0; ///< value of `used` in the last report
        TimePoint reportedAt;
        // Margin against debts
        double margin = 0; ///< for the largest requests
        double marginBeforeDebt = 0;
        double largestCost = 0; ///< of the requests of late
        bool isInDebt = false;
        bool isInitialized = false; ///< the level includes what was used before this gateway's start
    };
    struct Peer {
        EntryId start;
        TimePoint seenAt;
        bool isSilent = false;
        bool isLate = false; ///< not silent
        bool countsFromStart = false; ///< everything that the peer has used since `start` is charged here; else only what follows its first report
        std::map<std::uint32_t, std::int64_t> used; ///< by account hash, from its reports
    };
    auto refill(Bucket &bucket, TimePoint now) const -> void;
    auto updateMargin(Bucket &bucket, Duration elapsed) const -> void;
    auto refillAll(TimePoint now) -> void;
    auto initializeUnreported(TimePoint now) -> void;
    auto updateSilentPeers(TimePoint now) -> void;
    auto giveBackRefill(const Peer &latePeer, TimePoint now) -> void;
    auto contacts() const -> std::vector<GatewayContact>;
    auto isUrgent(const Bucket &bucket) const -> bool;
    auto mergeAccount(Peer &peer, const AccountUsage &usage, bool isSettledPeer, TimePoint now) -> void;

    SharedUsageOptions m_options;
    TimePoint m_startedAt;
    std::map<std::uint32_t, Bucket> m_buckets; ///< by account hash
    std::map<std::string, Peer> m_peers; ///< by host
    std::set<std::string> m_registered; ///< hosts that have ever been registered
    LimitShares m_shares;
    bool m_areLeasesUsed = false;
    double m_share = 1;
    double m_withheldShare = 0; ///< of late gateways
    bool m_hasSettledPeer = false;
    bool m_isSettled = false;
};

} // namespace KingCup
