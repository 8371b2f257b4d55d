#include "core/peerloads.h"

#include "core/orderlease.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr double MicrosPerMilli = 1000;

auto toMillis(Duration span) -> double
{
    return static_cast<double>(span.inMicros()) / MicrosPerMilli;
}

} // namespace

PeerLoads::PeerLoads(Duration lifetime)
    : m_lifetime(lifetime)
{
}

auto PeerLoads::size() const -> std::size_t
{
    return m_reports.size();
}

auto PeerLoads::hasFresh(TimePoint now) const -> bool
{
    return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto &report) { return now - report.second.at < m_lifetime; });
}

auto PeerLoads::find(const Report &report, const TargetId &target, TimePoint now) const -> const TargetWork *
{
    const auto found = report.work.find(target);
    return found == report.work.end() || now - report.at > m_lifetime ? nullptr : &found->second;
}

auto PeerLoads::work(const TargetId &target, TimePoint now) const -> PeerWork
{
    PeerWork sum;
    double age = 0;
    int reports = 0;
    for (const auto &[entry, report] : m_reports) {
        const auto *work = find(report, target, now);
        if (work == nullptr) {
            continue;
        }
        sum.running += work->running;
        sum.tokens += work->tokens;
        for (std::size_t band = 0; band < UrgencyBandCount; ++band) {
            sum.pendingPrefill.at(band) += toMillis(work->pendingPrefill.at(band));
        }
        age += toMillis(now - report.at);
        ++reports;
    }
    // All reports concern the same engine, which has prefilled since they arrived. So their mean age is subtracted once from the sum, not once per report.
    sum.ageMillis = reports > 0 ? age / reports : 0;
    double left = sum.ageMillis;
    for (auto &pending : sum.pendingPrefill) {
        const double done = std::min(left, pending);
        pending -= done;
        left -= done;
    }
    return sum;
}

auto PeerLoads::worstFailures(const TargetId &target, TimePoint now) const -> double
{
    double worst = 0;
    for (const auto &[entry, report] : m_reports) {
        const auto *work = find(report, target, now);
        worst = work == nullptr ? worst : std::max(worst, work->failures);
    }
    return worst;
}

auto PeerLoads::isEjected(const TargetId &target, TimePoint since, TimePoint now) const -> bool
{
    return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto &report) {
        const auto *work = find(report.second, target, now);
        return work != nullptr && work->isEjected && report.second.at > since;
    });
}

auto PeerLoads::merge(const WorkDigest &digest, TimePoint now) -> bool
{
    auto &report = m_reports[digest.entry];
    if (digest.sequence <= report.sequence) {
        return false;
    }
    report.sequence = digest.sequence;
    report.at = now;
    report.work.clear();
    for (const auto &work : digest.work) {
        report.work[work.target] = work;
    }
    return true;
}

auto PeerLoads::gatewayGone(const EntryId &entry) -> void
{
    std::erase_if(m_reports, [&](const auto &report) { return report.first == entry || gatewayIdOf(HolderName(report.first.text())) == entry.text(); });
}

} // namespace KingCup
