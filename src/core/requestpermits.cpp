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

auto RequestPermits::arbiter(const TargetIncarnation &target) const -> std::string
{
    return rendezvousFirst(target.id.text() + "#" + std::to_string(target.startedAtMillis), m_self, m_live);
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
            sendQuery({target, perSecond, true}, now);
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
    sendQuery({target, perSecond, false}, now);
    if (has(target, now)) {
        return PermitState::Held;
    }
    return holding.queriedAt ? PermitState::Pending : PermitState::Denied;
}

auto RequestPermits::sendQuery(const PermitQuery &query, TimePoint now) -> void
{
    const auto to = arbiter(query.target);
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

auto RequestPermits::replied(const PermitReply &reply, TimePoint now) -> void
{
    const auto found = m_holdings.find(reply.target);
    if (found == m_holdings.end()) {
        return;
    }
    auto &holding = found->second;
    holding.queriedAt.reset();
    if (!reply.isGranted) {
        holding.deniedUntil = now + reply.availableIn;
        return;
    }
    holding.waitingQueryAt.reset();
    holding.unused.push_back(now + m_options.permitLifetime);
    if (static_cast<double>(holding.unused.size()) > burst(holding.perSecond)) {
        holding.unused.pop_front(); // a repeated query was granted twice
    }
}

auto RequestPermits::takeMessages() -> std::map<std::string, PermitMessages>
{
    return std::exchange(m_messages, {});
}

// [SECTION] Issuing

auto RequestPermits::setGateways(std::set<std::string> live, int silent) -> void
{
    m_live = std::move(live);
    m_silent = silent;
}

auto RequestPermits::rate(const Bucket &bucket) const -> double
{
    const double reporting = static_cast<double>(m_live.size()) + 1;
    return std::max(bucket.perSecond, m_options.minPerSecond) * reporting / (reporting + m_silent);
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
    auto &bucket = m_buckets.try_emplace(query.target, Bucket {.refilledAt = now}).first->second;
    bucket.perSecond = query.perSecond;
    bucket.queriedAt = now;
    issueFrom(query.target, bucket, now);
    if (!query.isWaiting) {
        const bool isGranted = bucket.waiting.empty() && bucket.level >= 1;
        bucket.level -= isGranted ? 1 : 0;
        reply(gateway, {query.target, isGranted, isGranted ? Duration() : untilNext(bucket, now)}, now);
        return;
    }
    const auto known = std::find_if(bucket.waiting.begin(), bucket.waiting.end(), [&](const WaitingGateway &pending) { return pending.gateway == gateway; });
    if (known != bucket.waiting.end()) {
        bucket.waiting.erase(known);
    }
    bucket.waiting.push_back({gateway, now});
    issueFrom(query.target, bucket, now);
}

auto RequestPermits::reply(const std::string &gateway, const PermitReply &reply, TimePoint now) -> void
{
    if (gateway == m_self) {
        replied(reply, now);
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
        const auto gateway = std::move(bucket.waiting.back().gateway);
        bucket.waiting.pop_back();
        bucket.level -= 1;
        ++issued;
        reply(gateway, {target, true, Duration()}, now);
    }
    return issued;
}

auto RequestPermits::issue(TimePoint now) -> int
{
    int issued = 0;
    for (auto &[target, bucket] : m_buckets) {
        issued += issueFrom(target, bucket, now);
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
