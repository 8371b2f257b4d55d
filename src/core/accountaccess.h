// Whether a request may run for the client account whose key it presents. Pure.
//
// Index of sections (search for [SECTION]):
//   Options         bounds
//   Decisions       what becomes of a request
//   AccountAccess   the decision
#pragma once

#include "core/accounts.h"
#include "core/freshness.h"
#include "core/sharedusage.h"
#include "core/traffic.h"

#include <memory>
#include <optional>
#include <string>

namespace KingCup
{

// [SECTION] Options

struct AccessOptions {
    /// How old the proof may be that the declarations are the newest; 0: none is needed.
    Duration proofLifetime;
    /// With a proof no older, a key that isn't declared is unknown. Else it may have been added meanwhile.
    Duration recentProofAge = Duration::seconds(2);
};

// [SECTION] Decisions

enum class AccessRefusal {
    None,
    KeyMissing,
    KeyMalformed,
    KeyUnknown,
    DeclarationsUnproven, ///< keys may have been revoked, or added, that aren't known here
    OverLimit, ///< the account has used what it may for now
};
auto toString(AccessRefusal refusal) -> const char *;

/// What an admitted request holds until its end.
struct AccountGrant {
    AccountName account;
    KeyDigest key;
    std::optional<int> priority; ///< replaces that of the route
    double cost = 0; ///< charged to the account
};

struct AccessDecision {
    AccessRefusal refusal = AccessRefusal::None;
    std::optional<AccountGrant> grant; ///< if admitted
    std::optional<KeyDigest> key; ///< presented in a readable form
    AccountName account; ///< whose limit is used up
    double cost = 0; ///< that would be charged to it
    Duration availableIn; ///< over the limit: until the account has enough left
    std::optional<Duration> proofAge; ///< nothing: there is no proof
    double level = 0; ///< left of the account's limit before the request
};

// [SECTION] AccountAccess

class AccountAccess
{
public:
    AccountAccess(TimePoint startedAt, AccessOptions options = {});

    // Queries
    auto proofAge(TimePoint now) const -> std::optional<Duration>; ///< nothing: there is no proof
    auto knownVersion() const -> RowVersion; ///< of the declarations' row
    /// Whether an admitted request may still be sent: its key may have been revoked since.
    auto confirm(const AccountGrant &grant, TimePoint now) const -> AccessRefusal;

    // Commands
    auto setProofLifetime(Duration lifetime) -> void;
    auto adopt(std::shared_ptr<const Traffic> traffic, TimePoint now) -> void;
    auto rowReceived(RowVersion version) -> void; ///< of the declarations, adopted or older than what is in force
    auto addProof(const FreshnessProof &proof) -> void;
    /// Charges the account if the request is admitted. `authorization`: the header's value, if there is one; `tokens`: 0: the request doesn't say.
    auto decide(const std::optional<std::string> &authorization, std::int64_t tokens, TimePoint now) -> AccessDecision;
    auto refund(const AccountGrant &grant, TimePoint now) -> void; ///< the request certainly didn't run
    auto usage() -> SharedUsage &;

private:
    auto isProven(TimePoint now) const -> bool;
    auto isProofRecent(TimePoint now) const -> bool;

    AccessOptions m_options;
    std::shared_ptr<const Traffic> m_traffic;
    Freshness m_freshness;
    RowVersion m_knownVersion;
    SharedUsage m_usage;
};

} // namespace KingCup
