// What gateways send each other of the histories of suspects.
#include "core/crashrepeats.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace KingCup
{

auto CrashMessage::isEmpty() const -> bool
{
    return records.empty() && queries.empty() && replies.empty();
}

auto CrashRepeats::setGateways(std::set<std::string> live) -> void
{
    m_live = std::move(live);
}

auto CrashRepeats::exported(const CrashSubject &subject, const CrashHistory &history, TimePoint now) const -> CrashRecord
{
    CrashRecord record {subject, now - history.usedAt, history.exported(now)};
    if (hasSucceeded(subject, now)) {
        record.soundFor = now - m_soundParts.at(subject);
    }
    return record;
}

auto CrashRepeats::merge(const CrashRecord &received, TimePoint now) -> std::optional<CrashChange>
{
    if (received.unusedFor >= m_options.lifetime || received.events.empty()) {
        return std::nullopt;
    }
    const bool hasEnd
        = std::any_of(received.events.begin(), received.events.end(), [](const CrashEvent &event) { return !event.isProbe && !event.isWithdrawn; });
    if (!hasEnd || received.soundFor) {
        m_announceAt.erase(received.subject);
    }
    if (received.soundFor) {
        auto &sound = m_soundElsewhere[received.subject];
        sound = std::max(sound, now - std::max(*received.soundFor, Duration()));
    }
    auto &history = findOrAdd(received.subject, now);
    history.usedAt = std::max(history.usedAt, now - std::max(received.unusedFor, Duration()));
    bool isChanged = history.merge(received.events, m_options.limits, soundUntil(received.subject), now);
    if (const auto until = soundUntil(received.subject)) {
        isChanged = history.withdrawUntil(*until) || isChanged;
    }
    if (hasEnd && !received.soundFor && history.targets() == 0 && hasSucceeded(received.subject, now)) {
        announceLater(received.subject, now);
    }
    const auto ids = history.targetIds();
    m_endedTargets.insert(ids.begin(), ids.end());
    if (!isChanged) {
        return std::nullopt;
    }
    changedHere();
    const auto ends = history.targets();
    return CrashChange {received.subject, static_cast<int>(ends), static_cast<int>(history.runs()), ends >= m_options.limits.endsToBar};
}

auto CrashRepeats::received(const std::string &gateway, const CrashMessage &message, TimePoint now) -> std::vector<CrashChange>
{
    std::vector<CrashChange> changes;
    for (const auto &record : message.records) {
        if (const auto change = merge(record, now)) {
            changes.push_back(*change);
        }
    }
    for (const auto &query : message.queries) {
        const auto probe = grant(query.subjects, gateway, now);
        auto &reply = m_messages[gateway];
        reply.replies.push_back({query.subjects.request.value, probe.has_value(), probe.value_or(0)});
        for (const auto &subject : query.subjects.all()) {
            if (const auto *history = find(subject)) {
                reply.records.push_back(exported(subject, *history, now));
            }
        }
    }
    for (const auto &reply : message.replies) {
        auto &query = m_queries[reply.request];
        if (reply.isGranted) {
            query.grantedAt = now;
            query.probe = reply.probe;
        } else {
            query.deniedUntil = now + m_options.retryDenied;
        }
    }
    return changes;
}

auto CrashRepeats::restored(const std::vector<CrashRecord> &records, bool isAtStart, TimePoint now) -> std::vector<CrashChange>
{
    std::vector<CrashChange> changes;
    for (const auto &record : records) {
        // When the copy was written isn't known, so that it doesn't tell when a run succeeded.
        if (const auto change = merge({record.subject, record.unusedFor, record.events}, now)) {
            changes.push_back(*change);
            (isAtStart ? m_restored : m_changed).insert(record.subject);
        }
    }
    return changes;
}

auto CrashRepeats::checksum() const -> std::uint64_t
{
    if (!m_checksum) {
        m_checksum = 0;
        for (const auto &[subject, history] : m_histories) {
            *m_checksum ^= isNotable(history) ? history.checksum(subject) : 0;
        }
    }
    return *m_checksum;
}

auto CrashRepeats::notable(TimePoint now) const -> std::vector<CrashRecord>
{
    std::vector<std::pair<std::size_t, CrashSubject>> ranked;
    for (const auto &[subject, history] : m_histories) {
        if (isNotable(history)) {
            ranked.emplace_back(history.runs(), subject);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    ranked.resize(std::min(ranked.size(), m_options.maxPushed));
    std::vector<CrashRecord> list;
    std::transform(ranked.begin(), ranked.end(), std::back_inserter(list), [&](const auto &entry) { return exported(entry.second, *find(entry.second), now); });
    return list;
}

auto CrashRepeats::checksumReceived(const std::string &gateway, std::uint64_t sum, TimePoint now) -> void
{
    if (m_histories.empty() || sum == checksum()) {
        return;
    }
    auto &pushedAt = m_pushedAt[gateway];
    const double share = m_options.pushesPerDigest / std::max<double>(static_cast<double>(m_live.size()), 1);
    if (now - pushedAt < m_options.pushPeriod || std::uniform_real_distribution<double>(0, 1)(m_random) >= share) {
        return;
    }
    auto records = notable(now);
    if (records.empty()) {
        return;
    }
    pushedAt = now;
    auto &message = m_messages[gateway];
    message.records.insert(message.records.end(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
}

auto CrashRepeats::greeting(TimePoint now) const -> CrashMessage
{
    CrashMessage message;
    message.records = notable(now);
    if (now < m_options.arbitratesFrom) {
        // If all gateways start at once, each of them would otherwise send the same copy to all others.
        std::erase_if(message.records, [this](const CrashRecord &record) { return m_restored.contains(record.subject); });
    }
    for (const auto &[subject, history] : m_histories) {
        if (!isNotable(history) && message.records.size() < m_options.maxPushed) {
            message.records.push_back(exported(subject, history, now));
        }
    }
    return message;
}

auto CrashRepeats::takeBroadcast(TimePoint now) -> CrashMessage
{
    CrashMessage message;
    std::erase_if(m_announceAt, [&](const auto &entry) {
        const bool isDue = now >= entry.second;
        if (isDue) {
            m_changed.insert(entry.first);
        }
        return isDue;
    });
    for (const auto &subject : std::exchange(m_changed, {})) {
        if (const auto *history = find(subject)) {
            message.records.push_back(exported(subject, *history, now));
        }
    }
    return message;
}

auto CrashRepeats::takeMessages() -> std::map<std::string, CrashMessage>
{
    return std::exchange(m_messages, {});
}

auto checksumOf(const std::vector<CrashRecord> &records, TimePoint now) -> std::uint64_t
{
    CrashRepeats repeats("");
    repeats.restored(records, true, now);
    return repeats.checksum();
}

} // namespace KingCup
