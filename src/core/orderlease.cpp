#include "core/orderlease.h"

#include "core/hashing.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxRemembered = 256; ///< limit for remembered own writes, and for remembered own digests

/// Spreads the first attempts of the gateways over `range`. Constant for one run of a gateway process.
auto staggerDelay(const HolderName &self, Duration range) -> Duration
{
    constexpr std::uint64_t StaggerSteps = 16;
    return range * (static_cast<double>(stableHash(self.text()) % StaggerSteps) / StaggerSteps);
}

template<typename Value>
auto trim(std::map<std::uint64_t, Value> &byNumber) -> void
{
    while (byNumber.size() > MaxRemembered) {
        byNumber.erase(byNumber.begin());
    }
}

/// The row's text: "WRITER NUMBER CANDIDATE,CANDIDATE", without the last part if there are no candidates. NUMBER counts the writer's writes.
struct LeaseRow {
    HolderName writer;
    std::uint64_t number = 0;
    std::set<std::string> candidates;
};

auto readLeaseRow(const std::string &value) -> LeaseRow
{
    std::istringstream parts(value);
    std::string writer;
    std::string candidates;
    LeaseRow row;
    parts >> writer >> row.number >> candidates;
    row.writer = HolderName(writer);
    std::istringstream names(candidates);
    for (std::string name; std::getline(names, name, ',');) {
        row.candidates.insert(name);
    }
    return row;
}

} // namespace

auto gatewayIdOf(const HolderName &holder) -> std::string
{
    return holder.text().substr(0, holder.text().rfind('#'));
}

auto chooseLeaseCandidates(std::vector<LeaseMember> alive, std::size_t count) -> std::vector<EntryId>
{
    const auto isBefore = [](const LeaseMember &a, const LeaseMember &b) {
        const auto rank = [](const LeaseMember &member) {
            return std::tuple(-member.processorShare, rendezvousScore("lease", member.id.text()), member.id);
        };
        return rank(a) < rank(b);
    };
    std::sort(alive.begin(), alive.end(), isBefore);
    std::vector<EntryId> chosen;
    std::set<ZoneName> zones;
    for (const bool isNewZone : {true, false}) {
        for (const auto &member : alive) {
            const bool isChosen = std::find(chosen.begin(), chosen.end(), member.id) != chosen.end();
            if (chosen.size() < count && !isChosen && (!isNewZone || zones.insert(member.zone).second)) {
                chosen.push_back(member.id);
            }
        }
    }
    return chosen;
}

OrderLease::OrderLease(HolderName self, OrderLeaseOptions options, TimePoint startedAt)
    : m_self(std::move(self))
    , m_options(options)
    , m_startedAt(startedAt)
    , m_nextAttempt(startedAt + staggerDelay(m_self, options.stagger))
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

/// Sending time of the last digest that this peer confirmed.
auto OrderLease::confirmedAt(const EntryId &peer) const -> std::optional<TimePoint>
{
    const auto known = m_confirmedDigests.find(peer);
    const auto sent = known == m_confirmedDigests.end() ? m_digestSentAt.end() : m_digestSentAt.find(known->second);
    return sent == m_digestSentAt.end() ? std::nullopt : std::optional(sent->second);
}

auto OrderLease::confirmedByAll() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> oldest;
    for (const auto &[peer, sequence] : m_confirmedDigests) {
        const auto sent = m_digestSentAt.find(sequence);
        if (sent == m_digestSentAt.end()) {
            return std::nullopt;
        }
        oldest = std::min(oldest.value_or(sent->second), sent->second);
    }
    return oldest;
}

auto OrderLease::confirmedByCandidates() const -> std::optional<TimePoint>
{
    const auto candidates = requiredConfirmers();
    std::optional<TimePoint> oldest;
    for (const auto &peer : candidates.value_or(std::set<EntryId>())) {
        const auto confirmed = confirmedAt(peer);
        if (!confirmed) {
            return std::nullopt;
        }
        oldest = std::min(oldest.value_or(*confirmed), *confirmed);
    }
    return oldest;
}

/// Gateways whose confirmation extends the lease: the candidates of the last write known to have taken effect and of every later write, since any of these
/// may be in the row, and peers that ignore candidates. None if all gateways are candidates.
auto OrderLease::requiredConfirmers() const -> std::optional<std::set<EntryId>>
{
    auto all = m_peersIgnoringCandidates;
    for (auto write = m_writes.lower_bound(m_lastEffectiveWrite); write != m_writes.end(); ++write) {
        const auto &candidates = write->second.candidates;
        if (candidates.empty()) {
            return std::nullopt;
        }
        all.insert(candidates.begin(), candidates.end());
    }
    return all;
}

auto OrderLease::validUntil() const -> TimePoint
{
    const auto latestByCandidates = m_renewedAt + m_options.nonCandidateWait - m_options.duration;
    const auto byCandidates = std::min(confirmedByCandidates().value_or(m_renewedAt), latestByCandidates);
    const auto from = std::max({m_renewedAt, confirmedByAll().value_or(m_renewedAt), byCandidates});
    return from + m_options.duration - m_options.margin;
}

auto OrderLease::nextStep(TimePoint now) const -> LeaseStep
{
    if (m_isRequestInFlight || now < m_nextAttempt) {
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
    const bool isHolderSilent = now - m_holderSeenAt >= m_options.holderSilence;
    return isHolderSilent || !m_isRowKnown ? LeaseStep::Read : LeaseStep::None;
}

auto OrderLease::readStarted(TimePoint /*now*/) -> void
{
    m_isRequestInFlight = true;
}

auto OrderLease::rowValue(std::uint64_t number) const -> std::string
{
    auto value = m_self.text() + " " + std::to_string(number);
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        value += (i == 0 ? " " : ",") + m_candidates[i].text();
    }
    return value;
}

auto OrderLease::rowRead(RowVersion version, const std::string &value, TimePoint now) -> void
{
    m_isRequestInFlight = false;
    m_mustRead = false;
    m_isRowKnown = true;
    if (version != m_version) {
        m_version = version;
        m_versionSeenAt = now;
    }
    const auto row = readLeaseRow(value);
    m_isCandidate = row.candidates.empty() || row.candidates.contains(gatewayIdOf(m_self));
    if (row.writer == m_self) {
        // An own write whose answer was lost has taken effect. The lease counts from when it was sent.
        const auto sent = m_writes.find(row.number);
        if (sent == m_writes.end()) {
            lose();
            return;
        }
        if (!m_holds) {
            m_fence = Fence(version.value());
        }
        m_holds = true;
        m_holder = m_self;
        m_renewedAt = std::max(m_renewedAt, sent->second.sentAt);
        m_lastEffectiveWrite = std::max(m_lastEffectiveWrite, row.number);
        return;
    }
    if (m_holds) {
        lose();
    }
    if (version == RowVersion()) {
        return; // there is no holder: the next step is a write
    }
    m_holder = row.writer;
    const auto until = takeoverAllowedAt();
    if (now < until) {
        // The row is read again at the end of the wait, to see whether it is unchanged, or after the lease duration if that is earlier, as a newer row may
        // name this gateway as a candidate.
        m_mustRead = true;
        m_nextAttempt = std::min(until, now + m_options.duration);
    }
}

/// The earliest time at which this gateway may take the row from its writer.
auto OrderLease::takeoverAllowedAt() const -> TimePoint
{
    if (gatewayIdOf(m_holder) == gatewayIdOf(m_self)) {
        return m_startedAt + m_options.margin;
    }
    const auto asCandidate = std::max(m_versionSeenAt, m_holderSeenAt) + m_options.duration;
    return m_isCandidate ? asCandidate : std::max(asCandidate, m_versionSeenAt + m_options.nonCandidateWait);
}

auto OrderLease::writeStarted(TimePoint now) -> LeaseWrite
{
    m_isRequestInFlight = true;
    m_writes[++m_lastWrite] = {now, m_candidates};
    trim(m_writes);
    return {m_version, rowValue(m_lastWrite)};
}

auto OrderLease::writeCommitted(RowVersion version, TimePoint now) -> void
{
    m_isRequestInFlight = false;
    m_version = version;
    m_versionSeenAt = now;
    m_renewedAt = std::max(m_renewedAt, m_writes[m_lastWrite].sentAt);
    m_lastEffectiveWrite = m_lastWrite;
    if (!m_holds) {
        // The fence is the same for the whole term: if the orders of one holder had different fences, a later one that arrives first would block an earlier
        // one.
        m_holds = true;
        m_fence = Fence(version.value());
    }
    m_holder = m_self;
}

auto OrderLease::writeRefused(TimePoint now) -> void
{
    writeOutcomeUnknown(now);
}

auto OrderLease::writeOutcomeUnknown(TimePoint now) -> void
{
    m_isRequestInFlight = false;
    m_mustRead = true;
    m_nextAttempt = now + m_options.retryAfter;
}

auto OrderLease::readFailed(TimePoint now) -> void
{
    m_isRequestInFlight = false;
    m_mustRead = true;
    m_nextAttempt = now + m_options.retryAfter;
}

auto OrderLease::lose() -> void
{
    m_holds = false;
    m_mustRead = true;
}

auto OrderLease::holderAnnounced(const HolderName &holder, Fence fence, std::uint64_t sequence, RowVersion version, TimePoint now) -> void
{
    if (holder == m_self || (m_holds && fence < m_fence)) {
        return; // own digest, or the digest of a former holder that doesn't know its successor yet
    }
    m_holder = holder;
    m_holderSequence = sequence;
    m_holderSeenAt = now;
    if (!m_holds && version > m_version) {
        m_version = version;
        m_versionSeenAt = now;
        m_isRowKnown = true;
        // The decision to write was based on the former version. A write that expects the new version would be accepted although the holder has just renewed
        // the lease, so the row is read first.
        m_mustRead = true;
    }
}

auto OrderLease::digestSent(std::uint64_t sequence, TimePoint now) -> void
{
    m_digestSentAt[sequence] = now;
    trim(m_digestSentAt);
}

auto OrderLease::peerConfirmed(const EntryId &peer, std::uint64_t sequence, TimePoint now) -> void
{
    if (m_holds && !mayOrder(now)) {
        return;
    }
    const auto found = m_confirmedDigests.find(peer);
    if (found != m_confirmedDigests.end()) {
        found->second = std::max(found->second, sequence);
    }
}

auto OrderLease::setCandidates(std::vector<EntryId> candidates) -> void
{
    m_candidates = std::move(candidates);
}

auto OrderLease::peerIgnoresCandidates(const EntryId &peer) -> void
{
    m_peersIgnoringCandidates.insert(peer);
}

auto OrderLease::setPeers(const std::set<EntryId> &peers) -> void
{
    std::erase_if(m_confirmedDigests, [&](const auto &known) { return !peers.contains(known.first); });
    std::erase_if(m_peersIgnoringCandidates, [&](const auto &known) { return !peers.contains(known); });
    for (const auto &peer : peers) {
        m_confirmedDigests.try_emplace(peer, 0);
    }
}

} // namespace KingCup
