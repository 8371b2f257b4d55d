// What client accounts have used of their limits, over all gateways together. Pure.
//
// Each gateway keeps a token bucket for each account and charges it with its own requests, at once, and with those of the others as their reports come. So
// all buckets show the same, but for the last report period: what an account can use beyond its limit is what it sends in that time, and the
// bucket's debt makes up for it. Nobody owns an account, so nothing has to be handed over when a gateway fails.
//
// A silent gateway may be cut off from this one and still serve. Its equal share of each limit is left to it, and a gateway whose peers are all silent keeps to
// just that. So the limits hold on both sides of a cut, and a gateway that wakes after a pause can't spend what the others have used meanwhile.
//
// Index of sections (search for [SECTION]):
//   Options       constants
//   Messages      a gateway's report
//   SharedUsage   the buckets
#pragma once

#include "core/accounts.h"
#include "core/ids.h"
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
    Duration silentAfter = Duration::millis(600); ///< without a report of a gateway, until its share is left to it
    Duration forgetSilentAfter = Duration::seconds(30); ///< a silent gateway; it may be cut off for as long
    Duration learningPeriod = Duration::millis(1000); ///< after the start, until accounts that no gateway has reported are taken to be unused
    double coldStartAllowance = 20000; ///< tokens of each account after a start of all gateways, beyond its rate
    double maxUnreportedShare = 0.2; ///< of an account's burst, what all gateways together may have used without a report
    double nearlyExhaustedShare = 0.3; ///< of its burst: an account with less left is nearly used up
    Duration maxReportDelay = Duration::seconds(1); ///< smaller amounts
};

// [SECTION] Messages

struct AccountUsage {
    std::uint32_t account = 0; ///< short name; see accountHash()
    std::int64_t used = 0; ///< by the reporting gateway since its start
    std::int64_t level = 0; ///< of its bucket
};

struct UsageReport {
    std::string gateway; ///< its host
    EntryId start; ///< this start of it: amounts count from there
    bool isSettled = false; ///< it knows what the others have used
    std::vector<AccountUsage> accounts; ///< those that have changed
};

auto accountHash(const AccountName &account) -> std::uint32_t;

// [SECTION] SharedUsage

struct UsageVerdict {
    bool isAdmitted = false;
    double level = 0; ///< of the bucket, before the request
    Duration availableIn; ///< if rejected: until the bucket has enough for it, if nobody else uses the account
};

class SharedUsage
{
public:
    explicit SharedUsage(TimePoint startedAt, SharedUsageOptions options = {});

    // Queries
    auto share() const -> double; ///< of each limit, that this gateway may use together with those that report to it
    auto isReportUrgent(const AccountName &account) const -> bool; ///< what was charged here must be known to the others before the next period
    auto isSettled(TimePoint now) const -> bool;

    // Commands: this gateway
    auto setAccounts(const std::vector<ClientAccount> &accounts, TimePoint now) -> void;
    auto setSilentAfter(Duration span) -> void;
    /// Charges the account if it has enough left. Accounts without a limit admit everything.
    auto admit(const AccountName &account, double cost, TimePoint now) -> UsageVerdict;
    /// A request that was admitted did not run.
    auto refund(const AccountName &account, double cost, TimePoint now) -> void;
    /// What is due; call several times a second.
    auto takeReport(TimePoint now) -> std::vector<AccountUsage>;

    // Commands: other gateways
    auto merge(const UsageReport &report, TimePoint now) -> void; ///< also without accounts: the gateway is there
    /// Hosts of the other gateways, as registered. One that never reports counts as silent, for as long as it would be remembered.
    auto setGateways(const std::vector<std::string> &others, TimePoint now) -> void;

private:
    struct Bucket {
        UsageLimit limit;
        double level = 0;
        TimePoint refilledAt;
        double used = 0; ///< by this gateway
        double reported = 0; ///< of that
        TimePoint reportedAt;
        bool isInitialized = false; ///< the level takes account of what was used before this gateway's start
    };
    struct Peer {
        EntryId start;
        TimePoint seenAt;
        bool isSilent = false;
        bool countsFromStart = false; ///< this gateway has seen that start from its beginning
        std::map<std::uint32_t, std::int64_t> used;
    };
    auto refill(Bucket &bucket, TimePoint now) const -> void;
    auto refillAll(TimePoint now) -> void;
    auto initializeUnreported(TimePoint now) -> void;
    auto updateSilentPeers(TimePoint now) -> void;
    auto isUrgent(const Bucket &bucket) const -> bool;
    auto mergeAccount(Peer &peer, const AccountUsage &usage, bool isSettledPeer) -> void;

    SharedUsageOptions m_options;
    TimePoint m_startedAt;
    std::map<std::uint32_t, Bucket> m_buckets; ///< by short name
    std::map<std::string, Peer> m_peers;
    std::set<std::string> m_registered; ///< at any time
    double m_share = 1;
    bool m_hasSettledPeer = false;
    bool m_isSettled = false;
};

} // namespace KingCup
