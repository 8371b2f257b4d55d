#include "core/limitshares.h"

#include <algorithm>

namespace KingCup
{

LimitShares::LimitShares(LimitShareOptions options)
    : m_options(options)
{
}

// [SECTION] Shares

/// Until when this gateway was in contact with more than half of all gateways, itself included; nothing: it never was.
auto LimitShares::majorityUntil(const std::vector<GatewayContact> &others) const -> std::optional<TimePoint>
{
    const std::size_t needed = (others.size() + 1) / 2;
    std::vector<TimePoint> liveUntil;
    for (const auto &other : others) {
        if (other.hasReported) {
            liveUntil.push_back(other.liveUntil);
        }
    }
    if (liveUntil.size() < needed) {
        return std::nullopt;
    }
    const auto last = liveUntil.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
    std::nth_element(liveUntil.begin(), last, liveUntil.end(), std::greater<>());
    return *last;
}

auto LimitShares::isMajority(const std::vector<GatewayContact> &others, TimePoint now) const -> bool
{
    const auto until = majorityUntil(others);
    return others.empty() || (until && now <= *until);
}

auto LimitShares::share(const std::vector<GatewayContact> &others, TimePoint now) const -> double
{
    const auto all = static_cast<double>(others.size() + 1);
    const auto isSilent = [now](const GatewayContact &other) {
        return now > other.liveUntil;
    };
    if (isMajority(others, now)) {
        const auto reserved = std::count_if(others.begin(), others.end(), [&](const auto &other) { return isSilent(other) && isReserved(other, now); });
        return 1 - static_cast<double>(reserved) / all;
    }
    const auto until = majorityUntil(others);
    if (until && now < *until + m_options.freeUse) {
        return 1 - static_cast<double>(std::count_if(others.begin(), others.end(), isSilent)) / all;
    }
    return leasedShare(others, now);
}

auto LimitShares::isReserved(const GatewayContact &silent, TimePoint now) const -> bool
{
    const bool isReadRecent = m_readStartedAt && now < *m_readStartedAt + m_options.readLifetime;
    return !isReadRecent || *m_readStartedAt < silent.liveUntil + m_options.reliefAfter || isLeased(silent.id);
}

auto LimitShares::isLeased(std::string_view gateway) const -> bool
{
    return std::any_of(m_leases.begin(), m_leases.end(), [&](const auto &entry) {
        const auto &lease = entry.second;
        const bool isInUse = *m_readStartedAt - lease.firstReadAt < m_options.leaseMemory;
        return isInUse && (entry.first == gateway || lease.members.contains(gateway));
    });
}

auto LimitShares::leasedShare(const std::vector<GatewayContact> &others, TimePoint now) const -> double
{
    if (!m_writeStartedAt || now >= *m_writeStartedAt + m_options.leaseLifetime || now < m_usableFrom) {
        return 0;
    }
    const auto usable = std::count_if(others.begin(), others.end(), [&](const auto &other) {
        const auto found = m_memberUsableFrom.find(other.id);
        return now <= other.liveUntil && found != m_memberUsableFrom.end() && now >= found->second;
    });
    return static_cast<double>(usable + 1) / static_cast<double>(others.size() + 1);
}

auto LimitShares::members() const -> const std::set<std::string, std::less<>> &
{
    return m_members;
}

// [SECTION] Calls

auto LimitShares::requested(TimePoint now) -> void
{
    m_requestedAt = now;
}

auto LimitShares::rejected(TimePoint now) -> void
{
    m_rejectedAt = now;
}

auto LimitShares::startCall(ShareCall call, TimePoint now) -> ShareCall
{
    m_isCalling = true;
    m_callStartedAt = now;
    return call;
}

auto LimitShares::callDone(bool isDone, TimePoint now) -> void
{
    m_isCalling = false;
    if (!isDone) {
        m_retryAt = now + m_options.retryPeriod;
    }
}

auto LimitShares::nextCall(const std::vector<GatewayContact> &others, TimePoint now) -> ShareCall
{
    if (m_isCalling || now < m_retryAt) {
        return ShareCall::None;
    }
    if (!isMajority(others, now)) {
        if (now >= m_requestedAt + m_options.demandMemory || now < m_nextWriteAt) {
            return ShareCall::None;
        }
        m_members.clear();
        for (const auto &other : others) {
            if (now <= other.liveUntil) {
                m_members.emplace(other.id);
            }
        }
        m_hasRow = true;
        return startCall(ShareCall::Write, now);
    }
    if (m_hasRow) {
        return startCall(ShareCall::Remove, now);
    }
    const bool isShort = now < m_rejectedAt + m_options.shortageMemory;
    const bool isAnyLongSilent = std::any_of(others.begin(), others.end(), [&](const auto &other) { return now >= other.liveUntil + m_options.reliefAfter; });
    if (isShort && isAnyLongSilent && now >= m_nextReadAt) {
        return startCall(ShareCall::Read, now);
    }
    return ShareCall::None;
}

auto LimitShares::readDone(bool isDone, const std::vector<ShareLease> &leases, TimePoint now) -> void
{
    callDone(isDone, now);
    if (!isDone) {
        return;
    }
    std::map<std::string, KnownLease> known;
    for (const auto &lease : leases) {
        const auto before = m_leases.find(lease.gateway);
        const bool isUnchanged = before != m_leases.end() && before->second.version == lease.version;
        known[lease.gateway] = {lease.version, isUnchanged ? before->second.firstReadAt : m_callStartedAt, lease.members};
    }
    m_leases = std::move(known);
    m_readStartedAt = m_callStartedAt;
    m_nextReadAt = m_callStartedAt + m_options.readPeriod;
}

auto LimitShares::writeDone(bool isDone, TimePoint now) -> void
{
    callDone(isDone, now);
    if (!isDone) {
        return;
    }
    const bool hasLapsed = !m_writeStartedAt || now >= *m_writeStartedAt + m_options.leaseLifetime;
    if (hasLapsed) {
        m_usableFrom = now + m_options.leaseDelay;
        m_memberUsableFrom.clear();
    }
    std::erase_if(m_memberUsableFrom, [&](const auto &entry) { return !m_members.contains(entry.first); });
    for (const auto &member : m_members) {
        m_memberUsableFrom.try_emplace(member, now + m_options.leaseDelay);
    }
    m_writeStartedAt = m_callStartedAt;
    m_nextWriteAt = m_callStartedAt + m_options.renewPeriod;
}

auto LimitShares::removeDone(bool isDone, TimePoint now) -> void
{
    callDone(isDone, now);
    if (isDone) {
        m_hasRow = false;
        m_writeStartedAt.reset();
    }
}

} // namespace KingCup
