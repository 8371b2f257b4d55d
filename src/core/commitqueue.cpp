#include "core/commitqueue.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr double MaxBurstSeconds = 0.2; ///< capacity of the token bucket, in seconds of the rate
constexpr double ThrottledRateFactor = 0.5; ///< applied to the rate when the platform throttles
constexpr auto ThrottlePeriod = Duration::millis(500); ///< throttled answers within this time count once, since one burst of writes causes several
constexpr double GrowthPerWrite = 0.05; ///< writes per second gained by each committed row
constexpr double Smoothing = 0.2; ///< weight of the newest transaction in the moving average

auto keysOf(const std::vector<TableOp> &ops) -> std::vector<std::string>
{
    std::vector<std::string> keys;
    keys.reserve(ops.size());
    for (const auto &op : ops) {
        keys.push_back(op.key);
    }
    return keys;
}

auto hasConflict(const TransactResult &result, const std::string &key) -> bool
{
    return std::any_of(result.conflicts.begin(), result.conflicts.end(), [&](const auto &conflict) { return conflict.first == key; });
}

} // namespace

CommitQueue::CommitQueue(CommitSettings settings)
    : m_settings(settings)
    , m_rate(settings.writesPerSecond)
    , m_tokens(std::max(1.0, settings.writesPerSecond * MaxBurstSeconds))
{
}

auto CommitQueue::size() const -> std::size_t
{
    return m_pending.size();
}

auto CommitQueue::writesPerSecond() const -> double
{
    return m_rate;
}

auto CommitQueue::window() const -> Duration
{
    const auto share = m_transactTime * (1.0 / static_cast<double>(m_settings.batchesInFlight));
    return std::clamp(share, m_settings.minWindow, m_settings.maxWindow);
}

auto CommitQueue::timeWithTokens(double tokens) const -> TimePoint
{
    if (m_tokens >= tokens) {
        return m_refilledAt;
    }
    // One microsecond more, so that rounding doesn't wake the owner just before the token is available.
    return m_refilledAt + Duration::seconds((tokens - m_tokens) / m_rate) + Duration::micros(1);
}

auto CommitQueue::dueAt() const -> std::optional<TimePoint>
{
    if (m_pending.empty() || m_inFlight.size() >= m_settings.batchesInFlight) {
        return std::nullopt;
    }
    std::optional<TimePoint> earliest;
    const auto examined = static_cast<std::ptrdiff_t>(std::min(m_pending.size(), MaxTransactionOps));
    for (auto next = m_pending.begin(); next != m_pending.begin() + examined; ++next) {
        const auto &write = *next;
        const auto gathered = m_inFlight.empty() ? write.since : write.since + window();
        const auto due = std::max(gathered, write.notBefore);
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    // Once the budget is used up, a transaction of one row would be sent for each new token. To avoid that, wait for as many tokens as accrue in the longest
    // window, or as there are pending writes.
    const double gathered = std::min(static_cast<double>(m_pending.size()), m_rate * m_settings.maxWindow.inSeconds());
    return std::max(*earliest, timeWithTokens(std::max(1.0, gathered)));
}

auto CommitQueue::nextWake() const -> std::optional<TimePoint>
{
    return dueAt();
}

auto CommitQueue::add(TableOp op, CommitUrgency urgency, TimePoint now) -> void
{
    enqueue({std::move(op), urgency, now, now}, now);
}

// Foreground writes go before Background ones: for example a claim, which a caller waits for, goes before a record, whose caller already has the answer.
auto CommitQueue::enqueue(PendingWrite write, TimePoint notBefore) -> void
{
    write.notBefore = notBefore;
    const auto place = std::upper_bound(m_pending.begin(), m_pending.end(), write, [](const PendingWrite &one, const PendingWrite &other) {
        return one.urgency < other.urgency || (one.urgency == other.urgency && one.since < other.since);
    });
    m_pending.insert(place, std::move(write));
}

auto CommitQueue::remove(const std::string &key) -> void
{
    std::erase_if(m_pending, [&](const PendingWrite &write) { return write.op.key == key; });
}

auto CommitQueue::refill(TimePoint now) -> void
{
    const double most = std::max(1.0, m_rate * MaxBurstSeconds);
    m_tokens = std::min(most, m_tokens + m_rate * (now - m_refilledAt).inSeconds());
    m_refilledAt = now;
}

auto CommitQueue::nextBatch(TimePoint now) -> std::optional<Batch>
{
    refill(now);
    const auto due = dueAt();
    if (!due || *due > now) {
        return std::nullopt;
    }
    Batch batch {BatchId(++m_batches), {}};
    SentBatch sent {{}, now};
    std::vector<PendingWrite> rest;
    for (auto examined = std::min(m_pending.size(), MaxTransactionOps); examined > 0; --examined) {
        auto write = std::move(m_pending.front());
        m_pending.pop_front();
        const bool fits = m_tokens >= 1 && write.notBefore <= now;
        if (!fits) {
            rest.push_back(std::move(write));
            continue;
        }
        m_tokens -= 1;
        batch.ops.push_back(write.op);
        sent.writes.push_back(std::move(write));
    }
    m_pending.insert(m_pending.begin(), std::make_move_iterator(rest.begin()), std::make_move_iterator(rest.end()));
    if (batch.ops.empty()) {
        return std::nullopt;
    }
    m_inFlight[batch.id] = std::move(sent);
    return batch;
}

auto CommitQueue::adapt(const TransactResult &result, const SentBatch &sent, TimePoint now) -> void
{
    if (result.outcome == TransactOutcome::Committed) {
        m_rate = std::min(m_settings.maxWritesPerSecond, m_rate + GrowthPerWrite * static_cast<double>(sent.writes.size()));
        m_transactTime = m_transactTime * (1 - Smoothing) + (now - sent.at) * Smoothing;
    }
    const bool isSameBurst = m_throttledAt && now - *m_throttledAt < ThrottlePeriod;
    if (result.outcome == TransactOutcome::Refused && result.throttled && !isSameBurst) {
        m_rate = std::max(m_settings.minWritesPerSecond, m_rate * ThrottledRateFactor);
        m_throttledAt = now;
    }
}

// A conflict on one row fails the whole transaction; the other rows are sent again without that row. If the result names none of the rows, all count as
// conflicted.
auto CommitQueue::settleConflict(const SentBatch &sent, const TransactResult &result, TimePoint now, CommitResult &settled) -> void
{
    const bool isAnyNamed = std::any_of(sent.writes.begin(), sent.writes.end(), [&](const PendingWrite &write) { return hasConflict(result, write.op.key); });
    for (const auto &write : sent.writes) {
        if (!isAnyNamed || hasConflict(result, write.op.key)) {
            settled.conflicted.push_back(write.op.key);
            continue;
        }
        settled.notApplied.push_back(write.op.key);
        enqueue(write, now);
    }
}

auto CommitQueue::done(BatchId id, const TransactResult &result, TimePoint now) -> CommitResult
{
    CommitResult settled;
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end()) {
        return settled;
    }
    const auto sent = std::move(found->second);
    m_inFlight.erase(found);
    adapt(result, sent, now);
    std::vector<TableOp> ops;
    for (const auto &write : sent.writes) {
        ops.push_back(write.op);
    }
    if (result.outcome == TransactOutcome::Committed) {
        settled.committed = keysOf(ops);
        return settled;
    }
    if (result.outcome == TransactOutcome::Conflict) {
        settleConflict(sent, result, now, settled);
        return settled;
    }
    for (const auto &write : sent.writes) {
        enqueue(write, now + m_settings.retryDelay);
    }
    if (result.outcome == TransactOutcome::Lost) {
        settled.lost = keysOf(ops);
    } else if (result.throttled) {
        settled.notApplied = keysOf(ops);
    } else {
        settled.unavailable = keysOf(ops);
    }
    return settled;
}

} // namespace KingCup
