#include "core/commitqueue.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr double BurstSeconds = 0.2; ///< of the rate, that may go out at once
constexpr double Backoff = 0.5; ///< of the rate, when throttled
constexpr auto BackoffPeriod = Duration::millis(500); ///< answers of one burst count as one throttling
constexpr double GrowthPerWrite = 0.05; ///< writes a second gained by each row committed
constexpr double Smoothing = 0.2; ///< weight of the newest transaction time

auto keysOf(const std::vector<TableOp> &ops) -> std::vector<std::string>
{
    std::vector<std::string> keys;
    keys.reserve(ops.size());
    for (const auto &op : ops) {
        keys.push_back(op.key);
    }
    return keys;
}

auto names(const TransactResult &result, const std::string &key) -> bool
{
    return std::any_of(result.conflicts.begin(), result.conflicts.end(), [&](const auto &conflict) { return conflict.first == key; });
}

} // namespace

CommitQueue::CommitQueue(CommitSettings settings)
    : m_settings(settings)
    , m_rate(settings.writesPerSecond)
    , m_tokens(std::max(1.0, settings.writesPerSecond * BurstSeconds))
{
}

auto CommitQueue::size() const -> std::size_t
{
    return m_waiting.size();
}

auto CommitQueue::writesPerSecond() const -> double
{
    return m_rate;
}

auto CommitQueue::window() const -> Duration
{
    const auto share = m_transactTime * (1.0 / static_cast<double>(m_settings.batchesInFlight));
    return std::clamp(share, m_settings.shortestWindow, m_settings.longestWindow);
}

auto CommitQueue::tokensAt(double tokens) const -> TimePoint
{
    if (m_tokens >= tokens) {
        return m_refilledAt;
    }
    // One microsecond more, so that rounding doesn't wake the owner just before the token is there.
    return m_refilledAt + Duration::seconds((tokens - m_tokens) / m_rate) + Duration::micros(1);
}

auto CommitQueue::dueAt() const -> std::optional<TimePoint>
{
    if (m_waiting.empty() || m_sent.size() >= m_settings.batchesInFlight) {
        return std::nullopt;
    }
    std::optional<TimePoint> earliest;
    const auto looked = static_cast<std::ptrdiff_t>(std::min(m_waiting.size(), MaxTransactionOps));
    for (auto next = m_waiting.begin(); next != m_waiting.begin() + looked; ++next) {
        const auto &write = *next;
        const auto gathered = m_sent.empty() ? write.since : write.since + window();
        const auto due = std::max(gathered, write.notBefore);
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    // Out of budget, one row would go out whenever a token comes: wait for as many as the longest window brings.
    const double gathered = std::min(static_cast<double>(m_waiting.size()), m_rate * m_settings.longestWindow.inSeconds());
    return std::max(*earliest, tokensAt(std::max(1.0, gathered)));
}

auto CommitQueue::nextWake() const -> std::optional<TimePoint>
{
    return dueAt();
}

auto CommitQueue::add(TableOp op, CommitUrgency urgency, TimePoint now) -> void
{
    putBack({std::move(op), urgency, now, now}, now);
}

// First before Later: a claim that a caller waits for goes before the record of an answer that is with its caller already.
auto CommitQueue::putBack(Waiting write, TimePoint notBefore) -> void
{
    write.notBefore = notBefore;
    const auto place = std::upper_bound(m_waiting.begin(), m_waiting.end(), write, [](const Waiting &one, const Waiting &other) {
        return one.urgency < other.urgency || (one.urgency == other.urgency && one.since < other.since);
    });
    m_waiting.insert(place, std::move(write));
}

auto CommitQueue::remove(const std::string &key) -> void
{
    std::erase_if(m_waiting, [&](const Waiting &write) { return write.op.key == key; });
}

auto CommitQueue::refill(TimePoint now) -> void
{
    const double most = std::max(1.0, m_rate * BurstSeconds);
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
    Sent sent {{}, now};
    std::vector<Waiting> rest;
    for (auto looked = std::min(m_waiting.size(), MaxTransactionOps); looked > 0; --looked) {
        auto write = std::move(m_waiting.front());
        m_waiting.pop_front();
        const bool fits = m_tokens >= 1 && write.notBefore <= now;
        if (!fits) {
            rest.push_back(std::move(write));
            continue;
        }
        m_tokens -= 1;
        batch.ops.push_back(write.op);
        sent.writes.push_back(std::move(write));
    }
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(rest.begin()), std::make_move_iterator(rest.end()));
    if (batch.ops.empty()) {
        return std::nullopt;
    }
    m_sent[batch.id] = std::move(sent);
    return batch;
}

auto CommitQueue::adapt(const TransactResult &result, const Sent &sent, TimePoint now) -> void
{
    if (result.end == TransactEnd::Committed) {
        m_rate = std::min(m_settings.mostWritesPerSecond, m_rate + GrowthPerWrite * static_cast<double>(sent.writes.size()));
        m_transactTime = m_transactTime * (1 - Smoothing) + (now - sent.at) * Smoothing;
    }
    const bool again = m_throttledAt && now - *m_throttledAt < BackoffPeriod;
    if (result.end == TransactEnd::Refused && result.throttled && !again) {
        m_rate = std::max(m_settings.leastWritesPerSecond, m_rate * Backoff);
        m_throttledAt = now;
    }
}

// One row's conflict undoes the whole transaction; the other rows go out again without it.
auto CommitQueue::settleConflict(const Sent &sent, const TransactResult &result, TimePoint now, CommitSettled &settled) -> void
{
    const bool named = std::any_of(sent.writes.begin(), sent.writes.end(), [&](const Waiting &write) { return names(result, write.op.key); });
    for (const auto &write : sent.writes) {
        if (!named || names(result, write.op.key)) {
            settled.conflicted.push_back(write.op.key);
            continue;
        }
        settled.untouched.push_back(write.op.key);
        putBack(write, now);
    }
}

auto CommitQueue::done(BatchId id, const TransactResult &result, TimePoint now) -> CommitSettled
{
    CommitSettled settled;
    const auto found = m_sent.find(id);
    if (found == m_sent.end()) {
        return settled;
    }
    const auto sent = std::move(found->second);
    m_sent.erase(found);
    adapt(result, sent, now);
    std::vector<TableOp> ops;
    for (const auto &write : sent.writes) {
        ops.push_back(write.op);
    }
    if (result.end == TransactEnd::Committed) {
        settled.committed = keysOf(ops);
        return settled;
    }
    if (result.end == TransactEnd::Conflict) {
        settleConflict(sent, result, now, settled);
        return settled;
    }
    for (const auto &write : sent.writes) {
        putBack(write, now + m_settings.retryDelay);
    }
    if (result.end == TransactEnd::Lost) {
        settled.lost = keysOf(ops);
    } else if (result.throttled) {
        settled.untouched = keysOf(ops);
    } else {
        settled.unavailable = keysOf(ops);
    }
    return settled;
}

} // namespace KingCup
