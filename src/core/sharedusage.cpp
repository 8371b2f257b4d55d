#include "core/sharedusage.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace KingCup
{

auto accountHash(const AccountName &account) -> std::uint32_t
{
    return static_cast<std::uint32_t>(stableHash(account.text()));
}

SharedUsage::SharedUsage(TimePoint startedAt, SharedUsageOptions options)
    : m_options(options)
    , m_startedAt(startedAt)
{
}

auto SharedUsage::share() const -> double
{
    return m_share;
}

auto SharedUsage::isUrgent(const Bucket &bucket) const -> bool
{
    const double unreported = std::abs(bucket.used - bucket.reported);
    const bool isNearlyExhausted = unreported > 0 && bucket.level < bucket.limit.burst * m_options.nearlyExhaustedShare;
    return isNearlyExhausted || unreported >= bucket.limit.burst * m_options.maxUnreportedShare / static_cast<double>(m_peers.size() + 1);
}

auto SharedUsage::isReportUrgent(const AccountName &account) const -> bool
{
    const auto found = m_buckets.find(accountHash(account));
    return found != m_buckets.end() && isUrgent(found->second);
}

auto SharedUsage::isSettled(TimePoint now) const -> bool
{
    return now - m_startedAt >= m_options.learningPeriod;
}

auto SharedUsage::setSilentAfter(Duration span) -> void
{
    m_options.silentAfter = span;
}

auto SharedUsage::refill(Bucket &bucket, TimePoint now) const -> void
{
    updateMargin(bucket, now - bucket.refilledAt);
    const double most = bucket.limit.burst * m_share;
    const double added = bucket.limit.perSecond * (m_share - m_withheldShare) * (now - bucket.refilledAt).inSeconds();
    bucket.level = std::min(bucket.level + std::max(added, 0.0), std::max(most, 0.0));
    bucket.refilledAt = now;
}

/// Raises the margin to what would have prevented the present debt.
auto SharedUsage::updateMargin(Bucket &bucket, Duration elapsed) const -> void
{
    const double kept = std::exp(-std::max(elapsed.inSeconds(), 0.0) / m_options.marginMemory.inSeconds());
    bucket.margin *= kept;
    bucket.largestCost *= kept;
    const bool isNewDebt = bucket.level < 0 && !bucket.isInDebt;
    bucket.isInDebt = bucket.level < 0;
    if (isNewDebt) {
        bucket.marginBeforeDebt = bucket.margin;
    }
    if (bucket.isInDebt) {
        const double most = bucket.limit.perSecond * m_options.maxMargin.inSeconds();
        bucket.margin = std::max(bucket.margin, std::min(bucket.marginBeforeDebt - bucket.level, most));
    }
}

auto SharedUsage::refillAll(TimePoint now) -> void
{
    for (auto &[name, bucket] : m_buckets) {
        refill(bucket, now);
    }
}

/// At the end of the learning period, accounts that no settled gateway has reported count as unused. If there is no settled gateway, all have started
/// together and the usage before is unknown, so each account gets the cold-start allowance.
auto SharedUsage::initializeUnreported(TimePoint now) -> void
{
    if (m_isSettled || !isSettled(now)) {
        return;
    }
    m_isSettled = true;
    for (auto &[name, bucket] : m_buckets) {
        if (!bucket.isInitialized) {
            bucket.isInitialized = true;
            bucket.level += m_hasSettledPeer ? bucket.limit.burst : m_options.coldStartAllowance;
            refill(bucket, now);
        }
    }
}

auto SharedUsage::updateSilentPeers(TimePoint now) -> void
{
    int silent = 0;
    int late = 0;
    std::erase_if(m_peers, [&](const auto &known) { return now - known.second.seenAt > m_options.forgetSilentAfter; });
    for (auto &[id, peer] : m_peers) {
        peer.isSilent = now - peer.seenAt > m_options.silentAfter;
        peer.isLate = m_areLeasesUsed && !peer.isSilent && now - peer.seenAt > m_options.silentAfter * m_options.lateShare;
        silent += peer.isSilent ? 1 : 0;
        late += peer.isLate ? 1 : 0;
    }
    const auto gateways = static_cast<double>(m_peers.size() + 1);
    double share = 1 - static_cast<double>(silent) / gateways;
    if (m_areLeasesUsed && silent > 0) {
        share = m_shares.share(contacts(), now);
    }
    // A lower share also applies to the time since the last refill, because the peer was already silent then; a higher share applies only from now on.
    const double withheld = std::min(static_cast<double>(late) / gateways, share);
    if (share - withheld > m_share - m_withheldShare) {
        refillAll(now);
    }
    m_share = share;
    m_withheldShare = withheld;
}

auto SharedUsage::giveBackRefill(const Peer &latePeer, TimePoint now) -> void
{
    refillAll(now);
    const auto lateFor = now - latePeer.seenAt - m_options.silentAfter * m_options.lateShare;
    for (auto &[name, bucket] : m_buckets) {
        bucket.level += bucket.limit.perSecond * lateFor.inSeconds() / static_cast<double>(m_peers.size() + 1);
        refill(bucket, now);
    }
}

auto SharedUsage::contacts() const -> std::vector<GatewayContact>
{
    std::vector<GatewayContact> others;
    others.reserve(m_peers.size());
    for (const auto &[id, peer] : m_peers) {
        others.push_back({id, peer.seenAt + m_options.silentAfter, !peer.start.isEmpty()});
    }
    return others;
}

auto SharedUsage::setLeasesUsed(bool areUsed) -> void
{
    m_areLeasesUsed = areUsed;
}

auto SharedUsage::nextShareCall(TimePoint now) -> ShareCall
{
    updateSilentPeers(now);
    return m_areLeasesUsed && !m_buckets.empty() ? m_shares.nextCall(contacts(), now) : ShareCall::None;
}

auto SharedUsage::shares() -> LimitShares &
{
    return m_shares;
}

auto SharedUsage::setAccounts(const std::vector<ClientAccount> &accounts, TimePoint now) -> void
{
    std::map<std::uint32_t, Bucket> buckets;
    for (const auto &account : accounts) {
        if (!account.limit.isLimited()) {
            continue;
        }
        const auto name = accountHash(account.name);
        const auto known = m_buckets.find(name);
        auto &bucket = buckets[name];
        if (known != m_buckets.end()) {
            bucket = known->second;
            refill(bucket, now);
        } else {
            bucket.refilledAt = now;
            bucket.isInitialized = m_isSettled;
            bucket.level = m_isSettled ? account.limit.burst : 0;
        }
        bucket.limit = account.limit;
        bucket.level = std::min(bucket.level, account.limit.burst);
    }
    m_buckets = std::move(buckets);
}

auto SharedUsage::admit(const AccountName &account, double cost, TimePoint now) -> UsageVerdict
{
    const auto found = m_buckets.find(accountHash(account));
    if (found == m_buckets.end()) {
        return {.isAdmitted = true};
    }
    m_shares.requested(now);
    updateSilentPeers(now);
    initializeUnreported(now);
    auto &bucket = found->second;
    refill(bucket, now);
    UsageVerdict verdict;
    verdict.level = bucket.level;
    if (m_share <= 0) {
        verdict.isShareKnown = false;
        return verdict;
    }
    bucket.largestCost = std::max(bucket.largestCost, cost);
    const double margin = bucket.largestCost > 0 ? bucket.margin * cost / bucket.largestCost : 0;
    // A full bucket is enough, since a request larger than the bucket would never be admitted otherwise.
    const double needed = std::min(cost + margin, bucket.limit.burst * m_share);
    verdict.isAdmitted = bucket.level >= needed;
    if (verdict.isAdmitted) {
        bucket.level -= cost;
        bucket.used += cost;
    } else {
        m_shares.rejected(now);
        verdict.availableIn = Duration::seconds((needed - bucket.level) / (bucket.limit.perSecond * m_share));
    }
    return verdict;
}

auto SharedUsage::refund(const AccountName &account, double cost, TimePoint now) -> void
{
    const auto found = m_buckets.find(accountHash(account));
    if (found == m_buckets.end()) {
        return;
    }
    auto &bucket = found->second;
    bucket.level += cost;
    bucket.used -= cost;
    refill(bucket, now);
}

auto SharedUsage::takeReport(TimePoint now) -> std::vector<AccountUsage>
{
    updateSilentPeers(now);
    initializeUnreported(now);
    std::vector<AccountUsage> report;
    for (auto &[name, bucket] : m_buckets) {
        const bool isLate = bucket.used != bucket.reported && now - bucket.reportedAt >= m_options.maxReportDelay;
        if (!isLate && !isUrgent(bucket)) {
            continue;
        }
        refill(bucket, now);
        bucket.reported = bucket.used;
        bucket.reportedAt = now;
        report.push_back({name, static_cast<std::int64_t>(bucket.used), static_cast<std::int64_t>(bucket.level)});
    }
    return report;
}

auto SharedUsage::merge(const UsageReport &report, TimePoint now) -> void
{
    updateSilentPeers(now);
    auto &peer = m_peers[report.gateway];
    if (peer.isSilent) {
        // A share was reserved for the peer while it was silent, so what it has used meanwhile isn't charged.
        refillAll(now);
        peer.used.clear();
        peer.countsFromStart = false;
    } else if (peer.isLate) {
        giveBackRefill(peer, now);
    }
    if (peer.start != report.start) {
        peer.used.clear();
        // A gateway in its learning period has hardly used anything yet.
        peer.countsFromStart = m_isSettled || !peer.start.isEmpty() || !report.isSettled;
        peer.start = report.start;
    }
    peer.seenAt = now;
    m_hasSettledPeer = m_hasSettledPeer || report.isSettled;
    for (const auto &usage : report.accounts) {
        mergeAccount(peer, usage, report.isSettled, now);
    }
}

auto SharedUsage::mergeAccount(Peer &peer, const AccountUsage &usage, bool isSettledPeer, TimePoint now) -> void
{
    auto &lastUsed = peer.used.try_emplace(usage.account, peer.countsFromStart ? 0 : usage.used).first->second;
    const auto delta = usage.used - std::exchange(lastUsed, usage.used);
    const auto found = m_buckets.find(usage.account);
    if (found == m_buckets.end()) {
        return;
    }
    auto &bucket = found->second;
    if (!bucket.isInitialized && isSettledPeer) {
        bucket.isInitialized = true;
        bucket.level = static_cast<double>(usage.level);
        return;
    }
    refill(bucket, now); // a full bucket must not be refilled for the time before the charge
    bucket.level -= static_cast<double>(delta);
    if (isSettledPeer && m_isSettled) {
        const double unreported = bucket.used - bucket.reported; // the peer can't have charged it
        bucket.level += m_options.levelCorrection * (static_cast<double>(usage.level) - bucket.level - unreported);
    }
}

auto SharedUsage::setGateways(const std::vector<std::string> &others, TimePoint now) -> void
{
    for (const auto &id : others) {
        if (m_registered.insert(id).second) {
            m_peers.try_emplace(
                id, Peer {.start = {}, .seenAt = now - m_options.silentAfter, .isSilent = false, .isLate = false, .countsFromStart = false, .used = {}});
        }
    }
}

} // namespace KingCup
