#include "core/returnpromises.h"

#include <iterator>

namespace KingCup
{

ReturnPromises::ReturnPromises(ReturnPromiseOptions options)
    : m_options(options)
{
}

auto ReturnPromises::size() const -> std::size_t
{
    return m_promises.size();
}

auto ReturnPromises::dueBy(TimePoint until) const -> int
{
    return static_cast<int>(std::distance(m_promises.begin(), m_promises.upper_bound(until)));
}

auto ReturnPromises::counts() const -> const ReturnPromiseCounts &
{
    return m_counts;
}

auto ReturnPromises::promise(std::uint64_t fingerprint, UrgencyBand band, TimePoint firstArrival, TimePoint dueAt, TimePoint now) -> bool
{
    expire(now);
    if (dueAt < now || dueAt - now > m_options.maxAhead || m_options.maxPromises == 0) {
        ++m_counts.dropped;
        return false;
    }
    if (m_promises.size() >= m_options.maxPromises) {
        ++m_counts.dropped;
        const auto last = leastUrgent();
        if (band > last->second.band || (band == last->second.band && dueAt >= last->first)) {
            return false;
        }
        remove(last);
    }
    m_byFingerprint.emplace(fingerprint, m_promises.emplace(dueAt, Promise {fingerprint, band, firstArrival}));
    ++m_counts.given;
    return true;
}

/// The promise that is dropped first: of the least urgent band the one that is due last.
auto ReturnPromises::leastUrgent() -> ByDueTime::iterator
{
    auto least = m_promises.begin();
    for (auto other = m_promises.begin(); other != m_promises.end(); ++other) {
        if (other->second.band >= least->second.band) {
            least = other;
        }
    }
    return least;
}

auto ReturnPromises::claim(std::uint64_t fingerprint, TimePoint now) -> std::optional<ReturnClaim>
{
    expire(now);
    const auto [first, last] = m_byFingerprint.equal_range(fingerprint);
    if (first == last) {
        return std::nullopt;
    }
    auto earliest = first->second;
    for (auto other = first; other != last; ++other) {
        if (other->second->first < earliest->first) {
            earliest = other->second;
        }
    }
    const ReturnClaim claim {earliest->second.firstArrival, earliest->second.band, earliest->first - m_options.early <= now};
    ++(claim.isInTime ? m_counts.kept : m_counts.early);
    remove(earliest);
    return claim;
}

auto ReturnPromises::expire(TimePoint now) -> void
{
    while (!m_promises.empty() && m_promises.begin()->first + m_options.late < now) {
        ++m_counts.expired;
        remove(m_promises.begin());
    }
}

auto ReturnPromises::remove(ByDueTime::iterator position) -> void
{
    const auto [first, last] = m_byFingerprint.equal_range(position->second.fingerprint);
    for (auto other = first; other != last; ++other) {
        if (other->second == position) {
            m_byFingerprint.erase(other);
            break;
        }
    }
    m_promises.erase(position);
}

} // namespace KingCup
