#include "core/accountaccess.h"

#include <algorithm>

namespace KingCup
{

auto toString(AccessRefusal refusal) -> const char *
{
    switch (refusal) {
    case AccessRefusal::None:
        return "none";
    case AccessRefusal::KeyMissing:
        return "key-missing";
    case AccessRefusal::KeyMalformed:
        return "key-malformed";
    case AccessRefusal::KeyUnknown:
        return "key-unknown";
    case AccessRefusal::DeclarationsUnproven:
        return "declarations-unproven";
    case AccessRefusal::OverLimit:
        return "account-over-limit";
    case AccessRefusal::LimitShareUnknown:
        return "limit-share-unknown";
    }
    return "?";
}

AccountAccess::AccountAccess(TimePoint startedAt, AccessOptions options)
    : m_options(options)
    , m_usage(startedAt)
{
    setProofLifetime(options.proofLifetime);
}

auto AccountAccess::proofAge(TimePoint now) const -> std::optional<Duration>
{
    const auto provenAt = m_freshness.provenAt(m_knownVersion);
    return provenAt ? std::optional(now - *provenAt) : std::nullopt;
}

auto AccountAccess::knownVersion() const -> RowVersion
{
    return m_knownVersion;
}

auto AccountAccess::isProven(TimePoint now) const -> bool
{
    const auto age = proofAge(now);
    return m_options.proofLifetime == Duration() || (age && *age <= m_options.proofLifetime);
}

auto AccountAccess::isProofRecent(TimePoint now) const -> bool
{
    const auto age = proofAge(now);
    return age && *age <= m_options.recentProofAge;
}

auto AccountAccess::confirm(const AccountGrant &grant, TimePoint now) const -> AccessRefusal
{
    const auto *account = m_traffic ? m_traffic->accounts.find(grant.key) : nullptr;
    if (account == nullptr || account->name != grant.account) {
        return AccessRefusal::KeyUnknown;
    }
    return isProven(now) ? AccessRefusal::None : AccessRefusal::DeclarationsUnproven;
}

auto AccountAccess::setProofLifetime(Duration lifetime) -> void
{
    m_options.proofLifetime = lifetime;
    m_usage.setLeasesUsed(lifetime > Duration());
}

auto AccountAccess::adopt(std::shared_ptr<const Traffic> traffic, TimePoint now) -> void
{
    m_traffic = std::move(traffic);
    m_usage.setAccounts(m_traffic->accounts.accounts(), now);
}

auto AccountAccess::rowReceived(RowVersion version) -> void
{
    m_knownVersion = std::max(m_knownVersion, version);
}

auto AccountAccess::addProof(const FreshnessProof &proof) -> void
{
    m_freshness.add(proof);
}

auto AccountAccess::decide(const std::optional<std::string> &authorization, std::int64_t tokens, TimePoint now) -> AccessDecision
{
    AccessDecision decision;
    decision.proofAge = proofAge(now);
    if (!authorization) {
        decision.refusal = AccessRefusal::KeyMissing;
        return decision;
    }
    const auto key = bearerKey(*authorization);
    if (!key) {
        decision.refusal = AccessRefusal::KeyMalformed;
        return decision;
    }
    decision.key = digestOf(*key);
    const auto *account = m_traffic ? m_traffic->accounts.find(*decision.key) : nullptr;
    if (account == nullptr) {
        decision.refusal = isProofRecent(now) ? AccessRefusal::KeyUnknown : AccessRefusal::DeclarationsUnproven;
        return decision;
    }
    decision.account = account->name;
    if (!isProven(now)) {
        decision.refusal = AccessRefusal::DeclarationsUnproven;
        return decision;
    }
    decision.cost = account->limit.costOf(tokens);
    const auto verdict = m_usage.admit(account->name, decision.cost, now);
    decision.level = verdict.level;
    if (!verdict.isAdmitted) {
        decision.refusal = verdict.isShareKnown ? AccessRefusal::OverLimit : AccessRefusal::LimitShareUnknown;
        decision.availableIn = verdict.availableIn;
        return decision;
    }
    decision.grant = AccountGrant {account->name, *decision.key, account->priority, decision.cost};
    return decision;
}

auto AccountAccess::refund(const AccountGrant &grant, TimePoint now) -> void
{
    m_usage.refund(grant.account, grant.cost, now);
}

auto AccountAccess::usage() -> SharedUsage &
{
    return m_usage;
}

} // namespace KingCup
