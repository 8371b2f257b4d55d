// Fair shares of client accounts at a full target: whose waiting request is served next. No I/O.
//
// A token counter per account, by the tokens of the requests that have begun there. Among waiting requests of equal urgency the account with the smallest count
// comes first, so an account that requests more than its share delays its own requests before those of others. The share of an account is proportional to its
// limit in tokens.
//
// Counts are compared with the virtual time, the smallest count of all accounts that have requests waiting. An account that begins to wait starts at the
// virtual time, not at what it has left unused, so an idle account accumulates no credit. The count of an account can run ahead of the virtual time, since more
// urgent requests are served first, whatever their account. That lead decays within seconds: it must not delay requests that were made long after.
//
// The arbiter of a target has one FairShare for the target. Its state is lost with the arbiter; the next one starts with equal counts.
//
// Index of sections (search for [SECTION]):
//   Options     decay
//   FairShare   the counters
#pragma once

#include "core/accounts.h"
#include "core/units.h"

#include <map>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct FairShareOptions {
    /// Within this time the lead of an account over the virtual time falls to 1/e. About as long as requests wait: the deadlines of streams are 6 to 15 s.
    Duration leadDecay = Duration::seconds(10);
};

// [SECTION] FairShare

class FairShare
{
public:
    explicit FairShare(FairShareOptions options = {});

    // Queries
    /// Tokens that have begun for the account, relative to its share. Of two waiting requests that are equally urgent, the one with the smaller number is
    /// served first. Changes only by the commands below, so the order of a queue stays valid between them.
    auto virtualTokens(const AccountName &account) const -> double;
    auto virtualTime() const -> double; ///< an account that begins to wait has at least this count
    auto share(const AccountName &account) const -> double; ///< share of a full target that the account gets while all declared accounts have requests waiting

    // Commands
    /// Shares are proportional to limits in tokens. Accounts without one get the mean of the others. Accounts that aren't declared, and requests without an
    /// account, get the smallest share.
    auto setAccounts(const std::vector<ClientAccount> &accounts) -> void;
    /// Requests of the account wait now, or no longer wait. Call for the first one that is queued, and when the last one has left the queue, served or not;
    /// further calls with the same value have no effect.
    auto setWaiting(const AccountName &account, bool isWaiting) -> void;
    /// A request that costs this many tokens was granted a slot. Call before setWaiting(account, false).
    auto began(const AccountName &account, double tokens, TimePoint now) -> void;
    auto returned(const AccountName &account, double tokens) -> void; ///< reverses began(): the slot was not used

private:
    struct Counter {
        double lead = 0; ///< count minus the virtual time; not negative
        bool isWaiting = false;
    };
    auto weight(const AccountName &account) const -> double;
    auto decay(TimePoint now) -> void;
    auto advance() -> void;

    FairShareOptions m_options;
    std::map<AccountName, double> m_weights; ///< of declared accounts; their mean is 1
    double m_smallestWeight = 1;
    std::map<AccountName, Counter> m_counters; ///< accounts that wait or have a lead
    double m_virtualTime = 0;
    TimePoint m_decayedAt;
};

} // namespace KingCup
