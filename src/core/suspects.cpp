#include "core/suspects.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr std::size_t CrashesToQuarantine = 2;

} // namespace

auto toString(Verdict verdict) -> const char *
{
    switch (verdict) {
    case Verdict::Clear:
        return "clear";
    case Verdict::Alone:
        return "alone";
    case Verdict::Quarantined:
        return "quarantined";
    }
    return "";
}

Suspects::Suspects(SuspectsOptions options)
    : m_options(options)
{
}

auto Suspects::verdict(const std::string &fingerprint, TimePoint now) const -> Verdict
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.expiresAt <= now || found->second.cleared) {
        return Verdict::Clear;
    }
    return found->second.quarantined ? Verdict::Quarantined : Verdict::Alone;
}

auto Suspects::digest(TimePoint now) const -> SuspectDigest
{
    SuspectDigest result;
    for (const auto &[fingerprint, record] : m_records) {
        if (record.expiresAt <= now || record.cleared) {
            continue;
        }
        if (record.quarantined) {
            result.quarantined.push_back(fingerprint);
        } else {
            result.suspected.push_back(Suspicion {fingerprint, {record.crashes.begin(), record.crashes.end()}});
        }
    }
    return result;
}

auto Suspects::size() const -> std::size_t
{
    return m_records.size();
}

auto Suspects::targetCrashed(const TargetId &target, std::uint64_t generation, const std::vector<std::string> &inFlight, TimePoint now) -> void
{
    const auto crash = target.text() + "#" + std::to_string(generation);
    for (const auto &fingerprint : inFlight) {
        auto &record = m_records[fingerprint];
        if (record.quarantined) {
            continue;
        }
        if (record.expiresAt <= now) {
            record.crashes.clear();
        }
        record.crashes.insert(crash);
        record.cleared = false;
        record.isQuarantineOver = false;
        record.expiresAt = now + m_options.suspectFor;
        if (record.crashes.size() >= CrashesToQuarantine) {
            quarantine(record, now);
        }
    }
    evictOldest();
}

auto Suspects::completedAlone(const std::string &fingerprint, TimePoint now) -> void
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.quarantined) {
        return;
    }
    found->second.cleared = true;
    found->second.crashes.clear();
    found->second.expiresAt = now + m_options.suspectFor;
}

auto Suspects::merge(const SuspectDigest &digest, TimePoint now) -> void
{
    for (const auto &fingerprint : digest.quarantined) {
        auto &record = m_records[fingerprint];
        if (!record.quarantined && !record.isQuarantineOver) {
            quarantine(record, now);
        }
    }
    for (const auto &suspicion : digest.suspected) {
        auto &record = m_records.try_emplace(suspicion.fingerprint, Record {.expiresAt = now + m_options.suspectFor}).first->second;
        if (record.quarantined || record.cleared) {
            continue;
        }
        record.crashes.insert(suspicion.crashes.begin(), suspicion.crashes.end());
        if (record.crashes.size() >= CrashesToQuarantine) {
            quarantine(record, now);
        }
    }
    evictOldest();
}

auto Suspects::expire(TimePoint now) -> void
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        auto &record = it->second;
        if (record.expiresAt > now) {
            ++it;
        } else if (record.cleared || record.expiresAt + m_options.suspectFor <= now) {
            it = m_records.erase(it);
        } else {
            // An expired record is kept as cleared for another suspectFor. Otherwise a peer whose record expires a little later would send it back, and the
            // two processes would keep it alive forever.
            record.cleared = true;
            record.isQuarantineOver = record.quarantined;
            record.quarantined = false;
            record.crashes.clear();
            record.expiresAt = now + m_options.suspectFor;
            ++it;
        }
    }
}

auto Suspects::quarantine(Record &record, TimePoint now) -> void
{
    record.quarantined = true;
    record.cleared = false;
    record.expiresAt = now + m_options.quarantineFor;
}

auto Suspects::evictOldest() -> void
{
    const auto isEvictedBefore = [](const auto &left, const auto &right) {
        if (left.second.quarantined != right.second.quarantined) {
            return !left.second.quarantined;
        }
        return left.second.expiresAt < right.second.expiresAt;
    };
    while (m_records.size() > m_options.maxRecords) {
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), isEvictedBefore));
    }
}

} // namespace KingCup
