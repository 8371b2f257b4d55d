#include "core/orderlease.h"

#include "core/hashing.h"

#include <algorithm>
#include <charconv>

namespace KingCup
{

namespace
{

constexpr std::size_t MostRemembered = 256; ///< own writes and digests

/// Spreads the gateways' tries: the same for one start of a gateway.
auto staggerOf(const HolderName &self, Duration most) -> Duration
{
    constexpr std::uint64_t Steps = 16;
    return most * (static_cast<double>(stableHash(self.text()) % Steps) / Steps);
}

auto trim(std::map<std::uint64_t, TimePoint> &moments) -> void
{
    while (moments.size() > MostRemembered) {
        moments.erase(moments.begin());
    }
}

} // namespace

auto hostOf(const HolderName &holder) -> std::string
{
    return holder.text().substr(0, holder.text().rfind('#'));
}

OrderLease::OrderLease(HolderName self, OrderLeaseOptions options, TimePoint startedAt)
    : m_self(std::move(self))
    , m_options(options)
    , m_startedAt(startedAt)
    , m_nextTry(startedAt + staggerOf(m_self, options.stagger))
    , m_holderSeenAt(startedAt)
{
}

auto OrderLease::mayOrder(TimePoint now) const -> bool
{
    return m_holds && now < validUntil();
}

auto OrderLease::isHolder() const -> bool
{
    return m_holds;
}

auto OrderLease::fence() const -> Fence
{
    return m_fence;
}

auto OrderLease::holder() const -> const HolderName &
{
    return m_holder;
}

auto OrderLease::lastHolderSequence() const -> std::uint64_t
{
    return m_holderSequence;
}

auto OrderLease::version() const -> RowVersion
{
    return m_version;
}

auto OrderLease::peersUntil() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> until;
    for (const auto &[peer, sequence] : m_peers) {
        const auto sent = m_digests.find(sequence);
        if (sent == m_digests.end()) {
            return std::nullopt;
        }
        until = std::min(until.value_or(sent->second), sent->second);
    }
    return until;
}

auto OrderLease::validUntil() const -> TimePoint
{
    const auto byPeers = peersUntil();
    const auto from = byPeers ? std::max(m_renewedAt, *byPeers) : m_renewedAt;
    return from + m_options.duration - m_options.margin;
}

auto OrderLease::nextStep(TimePoint now) const -> LeaseStep
{
    if (m_underWay || now < m_nextTry) {
        return LeaseStep::None;
    }
    if (m_holds) {
        if (m_mustRead) {
            return LeaseStep::Read;
        }
        return now - m_renewedAt >= m_options.renewAfter ? LeaseStep::Write : LeaseStep::None;
    }
    if (!m_mustRead) {
        return LeaseStep::Write;
    }
    const bool isHolderSilent = now - m_holderSeenAt >= m_options.silence;
    return isHolderSilent || !m_isRowKnown ? LeaseStep::Read : LeaseStep::None;
}

auto OrderLease::readStarted(TimePoint /*now*/) -> void
{
    m_underWay = true;
}

auto OrderLease::valueOf(std::uint64_t number) const -> std::string
{
    return m_self.text() + " " + std::to_string(number);
}

auto OrderLease::rowRead(RowVersion version, const std::string &value, TimePoint now) -> void
{
    m_underWay = false;
    m_mustRead = false;
    m_isRowKnown = true;
    if (version != m_version) {
        m_version = version;
        m_seenSince = now;
    }
    const auto blank = value.rfind(' ');
    const auto writer = HolderName(value.substr(0, blank));
    if (writer == m_self) {
        // A write of ours whose answer was lost has taken effect; its time counts from when it left.
        std::uint64_t number = 0;
        if (blank != std::string::npos) {
            std::from_chars(value.data() + blank + 1, value.data() + value.size(), number);
        }
        const auto sent = m_writes.find(number);
        if (sent == m_writes.end()) {
            lose();
            return;
        }
        if (!m_holds) {
            m_fence = Fence(version.value());
        }
        m_holds = true;
        m_holder = m_self;
        m_renewedAt = std::max(m_renewedAt, sent->second);
        return;
    }
    if (m_holds) {
        lose();
    }
    if (version == RowVersion()) {
        return; // nobody has it: write
    }
    m_holder = writer;
    const auto until = waitUntil();
    if (now < until) {
        m_mustRead = true; // once more at the end, to see whether it is still the same
        m_nextTry = until;
    }
}

/// From when on the row may be taken from the one that wrote it.
auto OrderLease::waitUntil() const -> TimePoint
{
    if (hostOf(m_holder) == hostOf(m_self)) {
        return m_startedAt + m_options.margin;
    }
    return std::max(m_seenSince, m_holderSeenAt) + m_options.duration;
}

auto OrderLease::writeStarted(TimePoint now) -> LeaseWrite
{
    m_underWay = true;
    m_writes[++m_lastWrite] = now;
    trim(m_writes);
    return {m_version, valueOf(m_lastWrite)};
}

auto OrderLease::written(RowVersion version, TimePoint now) -> void
{
    m_underWay = false;
    m_version = version;
    m_seenSince = now;
    m_renewedAt = std::max(m_renewedAt, m_writes[m_lastWrite]);
    if (!m_holds) {
        // The fence stays for the tenure: orders of one holder with different numbers could overtake each other.
        m_holds = true;
        m_fence = Fence(version.value());
    }
    m_holder = m_self;
}

auto OrderLease::writeRefused(TimePoint now) -> void
{
    writeUnclear(now);
}

auto OrderLease::writeUnclear(TimePoint now) -> void
{
    m_underWay = false;
    m_mustRead = true;
    m_nextTry = now + m_options.retryAfter;
}

auto OrderLease::readFailed(TimePoint now) -> void
{
    m_underWay = false;
    m_mustRead = true;
    m_nextTry = now + m_options.retryAfter;
}

auto OrderLease::lose() -> void
{
    m_holds = false;
    m_mustRead = true;
}

auto OrderLease::holderAnnounced(const HolderName &holder, Fence fence, std::uint64_t sequence, RowVersion version, TimePoint now) -> void
{
    if (holder == m_self || (m_holds && fence < m_fence)) {
        return; // an older holder that doesn't know yet
    }
    m_holder = holder;
    m_holderSequence = sequence;
    m_holderSeenAt = now;
    if (!m_holds && version > m_version) {
        m_version = version;
        m_seenSince = now;
        m_isRowKnown = true;
        // A write that was decided on the version before would now be accepted, though its holder has renewed the lease.
        m_mustRead = true;
    }
}

auto OrderLease::digestSent(std::uint64_t sequence, TimePoint now) -> void
{
    m_digests[sequence] = now;
    trim(m_digests);
}

auto OrderLease::peerConfirmed(const EntryId &peer, std::uint64_t sequence, TimePoint now) -> void
{
    if (m_holds && !mayOrder(now)) {
        return;
    }
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second = std::max(found->second, sequence);
    }
}

auto OrderLease::setPeers(const std::set<EntryId> &peers) -> void
{
    std::erase_if(m_peers, [&](const auto &known) { return !peers.contains(known.first); });
    for (const auto &peer : peers) {
        m_peers.try_emplace(peer, 0);
    }
}

} // namespace KingCup
