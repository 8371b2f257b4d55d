// Index of sections (search for [SECTION]):
//   Requests   adding, withdrawing, granting, rejecting
//   Load       what gateways announce of their runs
#include "core/slotqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace KingCup
{

namespace
{

/// A queue without requests and messages for this long is dropped with what it has learned. Longer than any promise is kept.
constexpr auto IdleLifetime = Duration::seconds(60);

} // namespace

auto toString(const SlotRequestKey &key) -> std::string
{
    return key.number == 0 ? "-" : key.gateway + "/" + std::to_string(key.number);
}

auto toString(SlotRejection rejection) -> const char *
{
    switch (rejection) {
    case SlotRejection::None:
        return "none";
    case SlotRejection::TooLate:
        return "too-late";
    case SlotRejection::QueueFull:
        return "queue-full";
    }
    return "?";
}

auto SlotCeiling::capacity(int stated, TimePoint now) const -> int
{
    if (!m_runs) {
        return stated;
    }
    constexpr auto RaisePeriod = Duration::millis(500);
    constexpr std::int64_t MaxRaises = 16;
    const auto raises = std::clamp((now - m_at).inMicros() / RaisePeriod.inMicros(), std::int64_t {0}, MaxRaises);
    return std::min(stated, *m_runs + (1 << raises) - 1);
}

auto SlotCeiling::rejected(int running, TimePoint now) -> void
{
    // A target without runs has no slot that could become free.
    if (running > 0) {
        m_runs = running;
        m_at = now;
    }
}

SlotQueue::SlotQueue(std::string self, SlotQueueOptions options)
    : m_self(std::move(self))
    , m_options(options)
    , m_drain(TimePoint())
{
}

// [SECTION] Requests

auto SlotQueue::waiting() const -> std::size_t
{
    return m_waiting.size();
}

auto SlotQueue::waiting(UrgencyBand band) const -> int
{
    return static_cast<int>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &waiting) { return waiting.second.request.band == band; }));
}

auto SlotQueue::contains(const SlotRequestKey &key) const -> bool
{
    return m_waiting.contains(key);
}

auto SlotQueue::granted() const -> std::size_t
{
    return m_grants.size();
}

auto SlotQueue::isIdle(TimePoint now) const -> bool
{
    return m_waiting.empty() && m_grants.empty() && now - m_receivedAt > IdleLifetime;
}

auto SlotQueue::promises() const -> const ReturnPromiseCounts &
{
    return m_promises.counts();
}

auto SlotQueue::setAccounts(const std::vector<ClientAccount> &accounts) -> void
{
    m_shares.setAccounts(accounts);
}

auto SlotQueue::setReportDelays(Duration ofSends, Duration ofEnds) -> void
{
    m_options.sendReportDelay = ofSends;
    m_options.endReportDelay = ofEnds;
}

auto SlotQueue::rank(const Waiting &waiting, TimePoint now) const -> Rank
{
    const auto &request = waiting.request;
    return {request.band, now > request.goalAt, !waiting.isReturning, m_shares.virtualTokens(request.account), request.arrivedAt};
}

auto SlotQueue::order(TimePoint now) const -> std::vector<WaitingMap::const_iterator>
{
    std::vector<std::pair<Rank, WaitingMap::const_iterator>> ranked;
    ranked.reserve(m_waiting.size());
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting) {
        ranked.emplace_back(rank(waiting->second, now), waiting);
    }
    // Requests of equal rank stay in the order of their keys.
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<WaitingMap::const_iterator> list;
    list.reserve(ranked.size());
    std::transform(ranked.begin(), ranked.end(), std::back_inserter(list), [](const auto &one) { return one.second; });
    return list;
}

auto SlotQueue::add(SlotRequest request, const SlotLoad &load, TimePoint now) -> void
{
    m_assumedPerSecond = load.assumedPerSecond;
    renewDrain(now);
    m_receivedAt = now;
    Waiting waiting {std::move(request), now, now, false};
    const auto known = m_waiting.find(waiting.request.key);
    if (known != m_waiting.end()) {
        waiting.queriedAt = known->second.queriedAt;
        waiting.isReturning = known->second.isReturning;
        waiting.request.arrivedAt = std::min(waiting.request.arrivedAt, known->second.request.arrivedAt);
        remove(known);
    } else if (const auto claim = m_promises.claim(waiting.request.fingerprint, now)) {
        waiting.isReturning = claim->isInTime && claim->band == waiting.request.band;
        waiting.request.arrivedAt = std::min(waiting.request.arrivedAt, claim->firstArrival);
    }
    if (++m_waitingByAccount[waiting.request.account] == 1) {
        m_shares.setWaiting(waiting.request.account, true);
    }
    const auto key = waiting.request.key;
    m_waiting.emplace(key, std::move(waiting));
}

/// Starts again with the assumed rate after a time in which nothing waited and no ends were announced.
auto SlotQueue::renewDrain(TimePoint now) -> void
{
    if (m_waiting.empty() && now - m_drainFedAt > m_options.drainLifetime) {
        DrainRateOptions options;
        options.assumedPerSecond = m_assumedPerSecond;
        m_drain = DrainRate(now, options);
    }
    m_drainFedAt = now;
}

auto SlotQueue::repeat(const SlotRequestKey &key, TimePoint now) -> bool
{
    m_receivedAt = now;
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end()) {
        return false;
    }
    found->second.repeatedAt = now;
    return true;
}

auto SlotQueue::remove(WaitingMap::const_iterator position) -> void
{
    const auto counted = m_waitingByAccount.find(position->second.request.account);
    if (--counted->second == 0) {
        m_shares.setWaiting(counted->first, false);
        m_waitingByAccount.erase(counted);
    }
    m_waiting.erase(position);
}

auto SlotQueue::withdraw(const SlotRequestKey &key, TimePoint now) -> void
{
    const auto found = m_waiting.find(key);
    if (found != m_waiting.end()) {
        remove(found);
    }
    returned(key, now);
}

auto SlotQueue::grantNext(const SlotLoad &load, TimePoint now) -> std::optional<GrantedSlot>
{
    if (m_waiting.empty() || free(load, now) < 1) {
        return std::nullopt;
    }
    auto next = m_waiting.cbegin();
    auto best = rank(next->second, now);
    for (auto other = std::next(next); other != m_waiting.cend(); ++other) {
        if (const auto otherRank = rank(other->second, now); otherRank < best) {
            best = otherRank;
            next = other;
        }
    }
    GrantedSlot granted {next->second.request, now - next->second.queriedAt, static_cast<int>(m_waiting.size()) - 1, next->second.isReturning};
    const auto &request = granted.request;
    m_shares.began(request.account, request.tokens, now);
    remove(next);
    m_grants[request.key] = {request.account, request.tokens, now + m_options.grantLifetime};
    m_lastGranted = request.key;
    return granted;
}

/// Rejects a request that has `position` others before it, with a promise for the time at which it is to return.
auto SlotQueue::reject(const Waiting &waiting, SlotRejection reason, int position, TimePoint now) -> RejectedSlotRequest
{
    const auto &request = waiting.request;
    RejectedSlotRequest rejected {request, reason, m_drain.expectedWait(position, now), Duration(), m_lastGranted};
    const auto returnIn = m_drain.returnTime(position, std::max(request.deadline - now, Duration()), now);
    if (returnIn) {
        rejected.retryAfter = *returnIn;
        m_promises.promise(request.fingerprint, request.band, request.arrivedAt, now + *returnIn, now);
    }
    return rejected;
}

auto SlotQueue::rejectLate(TimePoint now) -> std::vector<RejectedSlotRequest>
{
    std::vector<RejectedSlotRequest> rejected;
    // A request that is rejected leaves a place for those after it, so only those that stay are counted.
    int position = 0;
    for (const auto waiting : order(now)) {
        const bool isTooLate = now + m_drain.expectedWait(position, now) > waiting->second.request.deadline;
        const bool isTooMany = static_cast<std::size_t>(position) >= m_options.maxWaiting;
        if (!isTooLate && !isTooMany) {
            ++position;
            continue;
        }
        rejected.push_back(reject(waiting->second, isTooMany ? SlotRejection::QueueFull : SlotRejection::TooLate, position, now));
        remove(waiting);
    }
    return rejected;
}

auto SlotQueue::expire(const std::map<std::string, TimePoint> &lastReceived, TimePoint now) -> std::vector<SlotRequestKey>
{
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto current = waiting++;
        if (current->first.gateway == m_self) {
            continue;
        }
        const auto repeatedAt = current->second.repeatedAt;
        const auto found = lastReceived.find(current->first.gateway);
        const auto receivedAt = found == lastReceived.end() ? repeatedAt : std::max(found->second, repeatedAt);
        if (now - receivedAt > m_options.queryLifetime || now - repeatedAt > m_options.confirmLifetime) {
            remove(current);
        }
    }
    std::vector<SlotRequestKey> expired;
    for (const auto &[key, grant] : m_grants) {
        if (grant.expiresAt <= now) {
            expired.push_back(key);
        }
    }
    for (const auto &key : expired) {
        returned(key, now);
    }
    for (auto &[gateway, announced] : m_announced) {
        std::erase_if(announced, [&](const Announced &change) { return isReported(change, now); });
    }
    std::erase_if(m_announced, [](const auto &announced) { return announced.second.empty(); });
    m_promises.expire(now);
    return expired;
}

// [SECTION] Load

/// Whether the reports include the change, as far as its age shows.
auto SlotQueue::isReported(const Announced &change, TimePoint now) const -> bool
{
    return now - change.at > (change.runs > 0 ? m_options.sendReportDelay : m_options.endReportDelay);
}

auto SlotQueue::announcedRuns(TimePoint now) const -> int
{
    int runs = 0;
    for (const auto &[gateway, announced] : m_announced) {
        for (const auto &change : announced) {
            runs += isReported(change, now) ? 0 : change.runs;
        }
    }
    return runs;
}

auto SlotQueue::free(const SlotLoad &load, TimePoint now) const -> int
{
    const int running = std::max(load.running + announcedRuns(now), 0);
    return m_ceiling.capacity(load.capacity, now) - running - static_cast<int>(m_grants.size());
}

auto SlotQueue::announce(const std::string &gateway, int runs, TimePoint now) -> void
{
    if (gateway != m_self) {
        m_announced[gateway].push_back({now, runs});
    }
}

auto SlotQueue::used(const SlotRequestKey &key, bool isReported, TimePoint now) -> void
{
    m_receivedAt = now;
    // Also if the grant has expired here: the run exists.
    m_grants.erase(key);
    if (!isReported) {
        announce(key.gateway, 1, now);
    }
}

auto SlotQueue::returned(const SlotRequestKey &key, TimePoint now) -> void
{
    m_receivedAt = now;
    const auto found = m_grants.find(key);
    if (found != m_grants.end()) {
        m_shares.returned(found->second.account, found->second.tokens);
        m_grants.erase(found);
    }
}

auto SlotQueue::ended(const std::string &gateway, int runs, bool isReported, TimePoint now) -> void
{
    m_receivedAt = now;
    if (!isReported) {
        announce(gateway, -runs, now);
    }
    renewDrain(now);
    for (int i = 0; i < runs; ++i) {
        m_drain.slotFreed(now);
    }
}

auto SlotQueue::rejectedByTarget(const std::string &gateway, const SlotLoad &load, bool isReported, TimePoint now) -> void
{
    m_receivedAt = now;
    if (!isReported) {
        announce(gateway, -1, now); // the rejected request was one of the runs, but its end frees no slot
    }
    m_ceiling.rejected(load.running + announcedRuns(now), now);
}

auto SlotQueue::reportReceived(const std::string &gateway) -> void
{
    m_announced.erase(gateway);
}

auto SlotQueue::gatewayGone(const std::string &gateway, TimePoint now) -> void
{
    m_announced.erase(gateway);
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto current = waiting++;
        if (current->first.gateway == gateway) {
            remove(current);
        }
    }
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        const auto key = (grant++)->first;
        if (key.gateway == gateway) {
            returned(key, now);
        }
    }
}

} // namespace KingCup
