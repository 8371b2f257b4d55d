// Decides whether a request may run for the client account whose key it presents. No I/O; the time is a parameter.
//
// Index of sections (search for [SECTION]):
//   Options         time bounds
//   Decisions       admission of a request, or the reason of its refusal
//   AccountAccess   key lookup, proof of freshness and usage limit
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
    /// Requests are admitted only while the proof that the declarations are current is at most this old; 0: no proof is needed.
    Duration proofLifetime;
    /// An undeclared key is refused as unknown only if the proof is at most this old. If the proof is older, the key may have been added
    /// since then.
    Duration recentProofAge = Duration::seconds(2);
};

// [SECTION] Decisions

enum class AccessRefusal {
    None,
    KeyMissing,
    KeyMalformed,
    KeyUnknown,
    DeclarationsUnproven, ///< keys may have been revoked or added without this process knowing it yet
    OverLimit, ///< the account has used up its limit for now
    LimitShareUnknown, ///< this gateway may be partitioned from others that use the account's whole limit
};
auto toString(AccessRefusal refusal) -> const char *;

/// The admission of a request; kept until the request ends.
struct AccountGrant {
    AccountName account;
    KeyDigest key;
    std::optional<int> priority; ///< replaces the route's priority
    double cost = 0; ///< charged to the account, in the unit of its limit
};

struct AccessDecision {
    AccessRefusal refusal = AccessRefusal::None;
    std::optional<AccountGrant> grant; ///< set if the request is admitted
    std::optional<KeyDigest> key; ///< digest of the presented key; not set if the key is missing or malformed
    AccountName account; ///< the account that owns the key; empty if the key is unknown
    double cost = 0; ///< the request's cost, charged only if it is admitted
    Duration availableIn; ///< OverLimit: time until the account has enough left for the request
    std::optional<Duration> proofAge; ///< not set if there is no proof
    double level = 0; ///< what was left of the account's limit before the request
};

// [SECTION] AccountAccess

class AccountAccess
{
public:
    AccountAccess(TimePoint startedAt, AccessOptions options = {});

    // Queries
    auto proofAge(TimePoint now) const -> std::optional<Duration>; ///< empty if there is no proof
    auto knownVersion() const -> RowVersion; ///< the newest version received of the declarations' row
    /// Checks again before an admitted request is sent, since its key may have been revoked after the admission.
    auto confirm(const AccountGrant &grant, TimePoint now) const -> AccessRefusal;

    // Commands
    auto setProofLifetime(Duration lifetime) -> void;
    auto adopt(std::shared_ptr<const Traffic> traffic, TimePoint now) -> void;
    auto rowReceived(RowVersion version) -> void; ///< a version of the declarations' row; also called for one that isn't adopted because it is older
    auto addProof(const FreshnessProof &proof) -> void;
    /// Charges the account if the request is admitted. `authorization` is the header's value, if there is one; `tokens` is 0 if the request doesn't say.
    auto decide(const std::optional<std::string> &authorization, std::int64_t tokens, TimePoint now) -> AccessDecision;
    auto refund(const AccountGrant &grant, TimePoint now) -> void; ///< call only if the request certainly didn't run
    auto usage() -> SharedUsage &;

private:
    auto isProven(TimePoint now) const -> bool; ///< within `proofLifetime`
    auto isProofRecent(TimePoint now) const -> bool; ///< within `recentProofAge`

    AccessOptions m_options;
    std::shared_ptr<const Traffic> m_traffic;
    Freshness m_freshness;
    RowVersion m_knownVersion;
    SharedUsage m_usage;
};

} // namespace KingCup
