#include "core/streamorigins.h"

#include "core/hashing.h"

#include <algorithm>
#include <iterator>

namespace KingCup
{

auto streamKey(const AttemptId &attempt) -> StreamKey
{
    return StreamKey(stableHash(attempt.text()));
}

StreamOrigins::StreamOrigins(StreamOriginOptions options)
    : m_options(options)
{
}

auto StreamOrigins::find(StreamKey stream) const -> std::optional<StreamOrigin>
{
    const auto found = m_records.find(stream.value());
    return found == m_records.end() ? std::nullopt : std::optional(found->second.origin);
}

auto StreamOrigins::size() const -> std::size_t
{
    return m_records.size();
}

auto StreamOrigins::began(StreamKey stream, const StreamOrigin &origin) -> void
{
    // The first record stands: a stream has one beginning.
    auto &record = m_records.try_emplace(stream.value(), Record {origin}).first->second;
    ++record.open;
    record.endedAt.reset();
    record.isWhole = false;
}

auto StreamOrigins::ended(StreamKey stream, bool isWhole, TimePoint now) -> void
{
    const auto found = m_records.find(stream.value());
    if (found == m_records.end()) {
        return;
    }
    auto &record = found->second;
    record.open = std::max(record.open - 1, 0);
    if (record.open == 0) {
        record.endedAt = now;
        record.isWhole = isWhole;
    }
}

auto StreamOrigins::restored(const OriginRecords &records, TimePoint now) -> void
{
    for (const auto &[stream, origin] : records) {
        Record record {origin};
        record.endedAt = now;
        m_records.try_emplace(stream.value(), std::move(record));
    }
}

auto StreamOrigins::expire(TimePoint now) -> void
{
    std::erase_if(m_records, [&](const auto &entry) { return entry.second.endedAt && now - *entry.second.endedAt > m_options.memory; });
    if (m_records.size() <= m_options.maxRecords) {
        return;
    }
    std::vector<std::pair<TimePoint, std::uint64_t>> ended;
    for (const auto &[stream, record] : m_records) {
        if (record.endedAt) {
            ended.emplace_back(*record.endedAt, stream);
        }
    }
    std::sort(ended.begin(), ended.end());
    const auto excess = std::min(m_records.size() - m_options.maxRecords, ended.size());
    for (std::size_t i = 0; i < excess; ++i) {
        m_records.erase(ended[i].second);
    }
}

auto StreamOrigins::takeBatch(const std::function<bool(const ServiceName &service)> &isMixed, TimePoint now) -> std::optional<OriginBatch>
{
    if (m_batch || now < m_retryAt || now + m_options.maxAdvance < m_dueAtMeanRate) {
        return std::nullopt;
    }
    std::map<ServiceName, bool> mixed;
    OriginBatch batch {m_nextRow, {}};
    OriginRecords replaced; // of this row, still needed
    for (const auto &[stream, record] : m_records) {
        if (record.isWhole || (record.row && *record.row != m_nextRow)) {
            continue;
        }
        const auto [found, isNew] = mixed.try_emplace(record.origin.service, false);
        if (isNew) {
            found->second = isMixed(record.origin.service);
        }
        if (found->second) {
            (record.row ? replaced : batch.records).emplace_back(StreamKey(stream), record.origin);
        }
    }
    if (batch.records.empty()) {
        return std::nullopt;
    }
    std::copy(replaced.begin(), replaced.end(), std::back_inserter(batch.records));
    if (batch.records.size() > m_options.maxBatch) {
        batch.records.resize(m_options.maxBatch);
    }
    m_batch = batch;
    return batch;
}

auto StreamOrigins::batchWritten(bool isDone, TimePoint now) -> void
{
    if (!m_batch) {
        return;
    }
    if (!isDone) {
        m_retryAt = now + m_options.retryPeriod;
    } else {
        m_dueAtMeanRate = std::max(m_dueAtMeanRate, now) + m_options.costPerBatch + m_options.costPerRecord * static_cast<double>(m_batch->records.size());
        for (auto &[stream, record] : m_records) {
            if (record.row == m_batch->row) {
                record.row.reset();
            }
        }
        for (const auto &[stream, origin] : m_batch->records) {
            const auto found = m_records.find(stream.value());
            if (found != m_records.end()) {
                found->second.row = m_batch->row;
            }
        }
        m_nextRow = (m_batch->row + 1) % m_options.rows;
    }
    m_batch.reset();
}

} // namespace KingCup
