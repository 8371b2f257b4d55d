#include "core/crashrepeats.h"

#include "core/hashing.h"

#include <string>

namespace KingCup
{

auto requestFingerprint(std::string_view host, std::string_view path, std::string_view body) -> std::uint64_t
{
    // The body's hash is used instead of the body, which may have megabytes.
    std::string text(host);
    text.append(path).append("\n").append(std::to_string(stableHash(body)));
    return stableHash(text);
}

auto toString(BreakVerdict verdict) -> const char *
{
    switch (verdict) {
    case BreakVerdict::Counted:
        return "counted";
    case BreakVerdict::SentBefore:
        return "sent-before";
    case BreakVerdict::TooSoon:
        return "too-soon";
    case BreakVerdict::NoRecord:
        return "no-record";
    }
    return "";
}

CrashRepeats::CrashRepeats(CrashRepeatOptions options)
    : m_options(options)
{
}

auto CrashRepeats::isEmpty() const -> bool
{
    return m_records.empty();
}

auto CrashRepeats::breaks(std::uint64_t fingerprint) const -> int
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? 0 : found->second.breaks;
}

auto CrashRepeats::isBarred(std::uint64_t fingerprint, TimePoint now) const -> bool
{
    const auto found = m_records.find(fingerprint);
    return found != m_records.end() && found->second.breaks >= m_options.breaksToBar && now - found->second.lastAt < m_options.lifetime;
}

auto CrashRepeats::findOrAdd(std::uint64_t fingerprint) -> Record *
{
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end()) {
        return &found->second;
    }
    return m_records.size() < m_options.maxRecords ? &m_records[fingerprint] : nullptr;
}

auto CrashRepeats::targetBrokeOff(std::uint64_t fingerprint, TimePoint sentAt, TimePoint now) -> BreakVerdict
{
    auto *known = findOrAdd(fingerprint);
    if (known == nullptr) {
        return BreakVerdict::NoRecord;
    }
    if (known->breaks > 0 && sentAt <= known->lastAt) {
        return BreakVerdict::SentBefore;
    }
    if (known->breaks > 0 && now - known->lastAt < m_options.minInterval) {
        return BreakVerdict::TooSoon;
    }
    ++known->breaks;
    known->lastAt = now;
    return BreakVerdict::Counted;
}

auto CrashRepeats::succeeded(std::uint64_t fingerprint) -> bool
{
    return m_records.erase(fingerprint) > 0;
}

auto CrashRepeats::reported(std::uint64_t fingerprint, int breaks, TimePoint now) -> bool
{
    auto *known = findOrAdd(fingerprint);
    if (known == nullptr || breaks <= known->breaks) {
        return false;
    }
    *known = {breaks, now};
    return true;
}

auto CrashRepeats::expire(TimePoint now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> dropped;
    std::erase_if(m_records, [&](const auto &known) {
        const bool isOver = now - known.second.lastAt >= m_options.lifetime;
        if (isOver) {
            dropped.push_back(known.first);
        }
        return isOver;
    });
    return dropped;
}

} // namespace KingCup
