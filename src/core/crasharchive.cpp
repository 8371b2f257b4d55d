#include "core/crasharchive.h"

#include "core/hashing.h"

#include <utility>

namespace KingCup
{

CrashArchive::CrashArchive(std::string self, TimePoint now, CrashArchiveOptions options)
    : m_self(std::move(self))
    , m_options(options)
    , m_startedAt(now)
    , m_firstSince(now)
{
}

auto CrashArchive::isStarting(TimePoint now) const -> bool
{
    return !m_hasStarted && now - m_startedAt < m_options.maxStartDelay;
}

auto CrashArchive::setGateways(const std::set<std::string> &live, TimePoint now) -> void
{
    const bool isFirst = rendezvousFirst("crash-records", m_self, live) == m_self;
    if (isFirst && !m_isFirst) {
        m_firstSince = now;
        m_isRead = false;
    }
    m_isFirst = isFirst;
}

auto CrashArchive::next(std::uint64_t checksum, TimePoint now) -> ArchiveCall
{
    if (m_isCalling || now < m_notBefore) {
        return ArchiveCall::None;
    }
    if (isStarting(now)) {
        m_isCalling = true;
        return ArchiveCall::Read;
    }
    if (!m_isFirst || now - m_firstSince < m_options.settleTime) {
        return ArchiveCall::None;
    }
    const auto call = !m_isRead ? ArchiveCall::Read : checksum != m_written ? ArchiveCall::Write : ArchiveCall::None;
    m_isCalling = call != ArchiveCall::None;
    return call;
}

auto CrashArchive::readDone(bool isDone, std::uint64_t checksum, TimePoint now) -> void
{
    m_isCalling = false;
    m_hasStarted = m_hasStarted || isDone;
    // Another gateway that ranked first may still write; the first read counts only for a gateway that ranks first by then.
    m_isRead = isDone && m_isFirst && now - m_firstSince >= m_options.settleTime;
    m_written = isDone ? checksum : m_written;
    m_notBefore = isDone ? now : now + (isStarting(now) ? m_options.startRetryPeriod : m_options.retryPeriod);
}

auto CrashArchive::writeDone(bool isDone, std::uint64_t checksum, TimePoint now) -> void
{
    m_isCalling = false;
    m_written = isDone ? checksum : m_written;
    m_notBefore = now + (isDone ? m_options.writePeriod : m_options.retryPeriod);
}

} // namespace KingCup
