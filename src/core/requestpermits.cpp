// Index of sections (search for [SECTION]):
//   Holding   the permits of this gateway
//   Issuing   the permits that this gateway issues as arbiter
#include "core/requestpermits.h"

#include "core/hashing.h"

#include <algorithm>
#include <utility>

namespace KingCup
{

RequestPermits::RequestPermits(std::string self, RequestPermitOptions options)
    : m_self(std::move(self))
    , m_options(options)
{
}

auto RequestPermits::burst(double perSecond) const -> double
{
    return std::max(perSecond * m_options.burst.inSeconds(), 1.0);
}

// [SECTION] Holding

auto RequestPermits::has(const TargetIncarnation &target, TimePoint now) const -> bool
{
    const auto found = m_holdings.find(target);
    return found != m_holdings.end() && !found->second.unused.empty() && now < found->second.unused.back();
}

namespace
{

auto rankingKey(const TargetIncarnation &target) -> std::string
{
    return target.id.text() + "#" + std::to_string(target.startedAtMillis);
}

} // namespace

auto RequestPermits::arbiter(const TargetIncarnation &target) const -> std::string
{
    return rendezvousFirst(rankingKey(target), m_self, m_live);
}

auto RequestPermits::wanted(const TargetIncarnation &target, double perSecond, bool isWaiting, TimePoint now) -> PermitState
{
    auto &holding = m_holdings[target];
    holding.perSecond = perSecond;
    holding.wantedAt = now;
    if (has(target, now)) {
        return PermitState::Held;
    }
    if (isWaiting) {
        if (!holding.waitingQueryAt || now - *holding.waitingQueryAt >= m_options.queryPeriod) {
            holding.waitingQueryAt = now;
            sendQuery({target, perSecond, true, now}, now);
        }
        return has(target, now) ? PermitState::Held : PermitState::Pending;
    }
    if (holding.queriedAt && now - *holding.queriedAt > m_options.replyTimeout) {
        holding.deniedUntil = *holding.queriedAt + m_options.queryPeriod;
        holding.queriedAt.reset();
    }
    if (now < holding.deniedUntil) {
        return PermitState::Denied;
    }
    if (holding.queriedAt) {
        return PermitState::Pending;
    }
    holding.queriedAt = now;
    sendQuery({target, perSecond, false, now}, now);
    if (has(target, now)) {
        return PermitState::Held;
    }
    return holding.queriedAt ? PermitState::Pending : PermitState::Denied;
}

auto RequestPermits::sendQuery(const PermitQuery &query, TimePoint now) -> void
{
    const auto to = arbiter(query.target);
    const auto key = rankingKey(query.target);
    for (const auto &id : m_silent) {
        if (rendezvousScore(key, id) > rendezvousScore(key, to)) {
            m_messages[id].elsewhere.push_back(query.target);
        }
    }
    if (to == m_self) {
        queryReceived(m_self, query, now);
    } else {
        m_messages[to].queries.push_back(query);
    }
}

auto RequestPermits::used(const TargetIncarnation &target, TimePoint now) -> void
{
    const auto found = m_holdings.find(target);
    if (found == m_holdings.end()) {
        return;
    }
    auto &unused = found->second.unused;
    while (!unused.empty() && unused.front() <= now) {
        unused.pop_front();
    }
    if (!unused.empty()) {
        unused.pop_front();
    }
}

auto RequestPermits::drop(const TargetIncarnation &target) -> void
{
    m_holdings.erase(target);
    m_buckets.erase(target);
}

auto RequestPermits::replied(const std::string &gateway, const PermitReply &reply, TimePoint now) -> void
{
    const auto found = m_holdings.find(reply.target);
    const auto expiresAt = reply.queriedAt.value_or(now) + m_options.permitLifetime;
    if (found == m_holdings.end() || now >= expiresAt || gateway != arbiter(reply.target)) {
        return;
    }
    auto &holding = found->second;
    holding.queriedAt.reset();
    if (!reply.isGranted) {
        holding.deniedUntil = now + reply.availableIn;
        return;
    }
    holding.waitingQueryAt.reset();
    holding.unused.insert(std::upper_bound(holding.unused.begin(), holding.unused.end(), expiresAt), expiresAt);
    if (static_cast<double>(holding.unused.size()) > burst(holding.perSecond)) {
        holding.unused.pop_front(); // a repeated query was granted twice
    }
}

auto RequestPermits::takeMessages() -> std::map<std::string, PermitMessages>
{
    return std::exchange(m_messages, {});
}

// [SECTION] Issuing

auto RequestPermits::setGateways(std::set<std::string> live, std::set<std::string> silent) -> void
{
    m_changes += live != m_live || silent != m_silent ? 1 : 0;
    m_live = std::move(live);
    m_silent = std::move(silent);
}

auto RequestPermits::bucketOf(const TargetIncarnation &target, TimePoint now) -> Bucket &
{
    auto &bucket = m_buckets.try_emplace(target, Bucket {.refilledAt = now}).first->second;
    if (bucket.rankedFor != m_changes) {
        auto others = m_live;
        others.insert(m_silent.begin(), m_silent.end());
        bucket.isFirst = rendezvousFirst(rankingKey(target), m_self, others) == m_self;
        bucket.rankedFor = m_changes;
    }
    return bucket;
}

auto RequestPermits::rate(const Bucket &bucket) const -> double
{
    const double reporting = static_cast<double>(m_live.size()) + 1;
    const auto shares = bucket.isFirst ? reporting - static_cast<double>(bucket.elsewhere.size()) : static_cast<double>(bucket.askers.size());
    return std::max(bucket.perSecond, m_options.minPerSecond) * std::max(shares, 1.0) / (reporting + static_cast<double>(m_silent.size()));
}

auto RequestPermits::refill(Bucket &bucket, TimePoint now) const -> void
{
    const double added = rate(bucket) * std::max((now - bucket.refilledAt).inSeconds(), 0.0);
    bucket.level = std::min(bucket.level + added, burst(rate(bucket)));
    bucket.refilledAt = now;
}

/// Time until a further permit can be issued, after those that are pending.
auto RequestPermits::untilNext(const Bucket &bucket, TimePoint now) const -> Duration
{
    const double lacking = 1 + static_cast<double>(bucket.waiting.size()) - bucket.level;
    return std::max(Duration::seconds(lacking / rate(bucket)) - (now - bucket.refilledAt), Duration());
}

auto RequestPermits::queryReceived(const std::string &gateway, const PermitQuery &query, TimePoint now) -> void
{
    auto &bucket = bucketOf(query.target, now);
    refill(bucket, now);
    bucket.perSecond = query.perSecond;
    bucket.askers[gateway] = now;
    bucket.queriedAt = now;
    issueFrom(query.target, bucket, now);
    if (!query.isWaiting) {
        const bool isGranted = bucket.waiting.empty() && bucket.level >= 1;
        bucket.level -= isGranted ? 1 : 0;
        reply(gateway, {query.target, isGranted, isGranted ? Duration() : untilNext(bucket, now), query.at}, now);
        return;
    }
    const auto known = std::find_if(bucket.waiting.begin(), bucket.waiting.end(), [&](const WaitingGateway &pending) { return pending.gateway == gateway; });
    if (known != bucket.waiting.end()) {
        bucket.waiting.erase(known);
    }
    bucket.waiting.push_back({gateway, now, query.at});
    issueFrom(query.target, bucket, now);
}

auto RequestPermits::queriedElsewhere(const std::string &gateway, const TargetIncarnation &target, TimePoint now) -> void
{
    auto &bucket = bucketOf(target, now);
    refill(bucket, now);
    bucket.queriedAt = now;
    bucket.elsewhere[gateway] = now;
}

auto RequestPermits::reply(const std::string &gateway, const PermitReply &reply, TimePoint now) -> void
{
    if (gateway == m_self) {
        replied(m_self, reply, now);
    } else {
        m_messages[gateway].replies.push_back(reply);
    }
}

auto RequestPermits::issueFrom(const TargetIncarnation &target, Bucket &bucket, TimePoint now) -> int
{
    refill(bucket, now);
    std::erase_if(bucket.waiting, [&](const WaitingGateway &pending) { return now - pending.at > m_options.queryLifetime; });
    int issued = 0;
    while (bucket.level >= 1 && !bucket.waiting.empty()) {
        const auto next = std::move(bucket.waiting.back());
        bucket.waiting.pop_back();
        bucket.level -= 1;
        ++issued;
        reply(next.gateway, {target, true, Duration(), next.queriedAt}, now);
    }
    return issued;
}

auto RequestPermits::issue(TimePoint now) -> int
{
    int issued = 0;
    const auto isOver = [&](const auto &entry) {
        return now - entry.second > m_options.shareLifetime;
    };
    for (auto &[target, bucket] : m_buckets) {
        issued += issueFrom(target, bucketOf(target, now), now);
        std::erase_if(bucket.askers, isOver);
        std::erase_if(bucket.elsewhere, isOver);
    }
    std::erase_if(m_buckets, [&](const auto &bucket) { return now - bucket.second.queriedAt > m_options.idleLifetime; });
    std::erase_if(m_holdings, [&](const auto &holding) { return now - holding.second.wantedAt > m_options.idleLifetime; });
    return issued;
}

auto RequestPermits::nextIssue(TimePoint now) const -> std::optional<Duration>
{
    std::optional<Duration> next;
    for (const auto &[target, bucket] : m_buckets) {
        if (!bucket.waiting.empty()) {
            const auto until = Duration::seconds((1 - bucket.level) / rate(bucket)) - (now - bucket.refilledAt);
            next = std::min(next.value_or(until), std::max(until, Duration()));
        }
    }
    return next;
}

} // namespace KingCup
