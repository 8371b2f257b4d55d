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
    if (found == m_records.end() || found->second.until <= now || found->second.cleared) {
        return Verdict::Clear;
    }
    return found->second.quarantined ? Verdict::Quarantined : Verdict::Alone;
}

auto Suspects::digest(TimePoint now) const -> SuspectDigest
{
    SuspectDigest result;
    for (const auto &[fingerprint, record] : m_records) {
        if (record.until <= now || record.cleared) {
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
        if (record.until <= now) {
            record.crashes.clear();
        }
        record.crashes.insert(crash);
        record.cleared = false;
        record.isOver = false;
        record.until = now + m_options.suspectFor;
        if (record.crashes.size() >= CrashesToQuarantine) {
            quarantine(record, now);
        }
    }
    dropOldest();
}

auto Suspects::completedAlone(const std::string &fingerprint, TimePoint now) -> void
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.quarantined) {
        return;
    }
    found->second.cleared = true;
    found->second.crashes.clear();
    found->second.until = now + m_options.suspectFor;
}

auto Suspects::merge(const SuspectDigest &digest, TimePoint now) -> void
{
    for (const auto &fingerprint : digest.quarantined) {
        auto &record = m_records[fingerprint];
        if (!record.quarantined && !record.isOver) {
            quarantine(record, now);
        }
    }
    for (const auto &suspicion : digest.suspected) {
        auto &record = m_records.try_emplace(suspicion.fingerprint, Record {.until = now + m_options.suspectFor}).first->second;
        if (record.quarantined || record.cleared) {
            continue;
        }
        record.crashes.insert(suspicion.crashes.begin(), suspicion.crashes.end());
        if (record.crashes.size() >= CrashesToQuarantine) {
            quarantine(record, now);
        }
    }
    dropOldest();
}

auto Suspects::expire(TimePoint now) -> void
{
    for (auto place = m_records.begin(); place != m_records.end();) {
        auto &record = place->second;
        if (record.until > now) {
            ++place;
        } else if (record.cleared || record.until + m_options.suspectFor <= now) {
            place = m_records.erase(place);
        } else {
            // Over, but remembered as cleared for one more lifetime: a peer whose record ends a little later would otherwise hand it
            // back, and the two would keep it alive for ever.
            record.cleared = true;
            record.isOver = record.quarantined;
            record.quarantined = false;
            record.crashes.clear();
            record.until = now + m_options.suspectFor;
            ++place;
        }
    }
}

auto Suspects::quarantine(Record &record, TimePoint now) -> void
{
    record.quarantined = true;
    record.cleared = false;
    record.until = now + m_options.quarantineFor;
}

auto Suspects::dropOldest() -> void
{
    const auto isBetterGone = [](const auto &left, const auto &right) {
        if (left.second.quarantined != right.second.quarantined) {
            return !left.second.quarantined;
        }
        return left.second.until < right.second.until;
    };
    while (m_records.size() > m_options.most) {
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), isBetterGone));
    }
}

} // namespace KingCup
