// Index of sections (search for [SECTION]):
//   CellLoadSum   the aggregation, at the keeper
//   OwnReports    the sum without a gateway's own part, at each gateway
#include "core/cellload.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// Limits the own reports that wait for a sum to include them. A keeper that sends no sum while this many reports are sent has been replaced, and the sums of
/// a new keeper include only newer reports.
constexpr std::size_t MaxOwnReports = 64;
/// Failures are sent in whole percents, so the value in a sum can differ from the gateway's own value by this much.
constexpr double FailureTolerance = 0.011;

} // namespace

// [SECTION] CellLoadSum

CellLoadSum::CellLoadSum(EntryId keeper, Duration lifetime)
    : m_keeper(std::move(keeper))
    , m_lifetime(lifetime)
{
}

auto CellLoadSum::hasOthers(TimePoint now) const -> bool
{
    return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto &known) { return known.first != m_keeper && now - known.second.at < m_lifetime; });
}

auto CellLoadSum::reportedWithin(Duration span, TimePoint now) const -> std::set<EntryId>
{
    std::set<EntryId> gateways;
    for (const auto &[gateway, report] : m_reports) {
        if (now - report.at < span) {
            gateways.insert(gateway);
        }
    }
    return gateways;
}

auto CellLoadSum::merge(const GatewayLoad &report, TimePoint now) -> void
{
    auto &known = m_reports[report.work.entry];
    if (report.work.sequence <= known.work.sequence) {
        return;
    }
    known = {report.work, now};
    known.work.prefilled.clear();
    m_prefilled.insert(m_prefilled.end(), report.work.prefilled.begin(), report.work.prefilled.end());
    for (const auto &sent : report.prefill) {
        m_sentPrefill[sent.target] = m_sentPrefill[sent.target] + sent.prefill;
    }
}

auto CellLoadSum::expire(TimePoint now) -> void
{
    std::erase_if(m_reports, [&](const auto &known) { return now - known.second.at >= m_lifetime; });
}

/// Adds to the mean of the decode factors, weighted by runs. `runs`: weight of the mean so far. Gateways that don't know the factor don't count.
auto CellLoadSum::addDecodeFactor(const TargetWork &work, TargetWork &sum, int &runs) -> void
{
    if (work.decodeFactor <= 0) {
        return;
    }
    const int added = std::max(work.running, 1);
    runs += added;
    sum.decodeFactor += (work.decodeFactor - sum.decodeFactor) * added / runs;
}

auto CellLoadSum::addWork(const Report &report, std::map<TargetId, CellTargetLoad> &targets, std::map<TargetId, int> &runsOfFactor) const -> void
{
    for (const auto &work : report.work.work) {
        auto &target = targets[work.target];
        addDecodeFactor(work, target.sum, runsOfFactor[work.target]);
        auto &sum = target.sum;
        sum.target = work.target;
        sum.running += work.running;
        sum.tokens += work.tokens;
        for (std::size_t band = 0; band < UrgencyBandCount; ++band) {
            sum.pendingPrefill.at(band) = sum.pendingPrefill.at(band) + work.pendingPrefill.at(band);
        }
        target.nextFailures = std::max(target.nextFailures, std::min(sum.failures, work.failures));
        sum.failures = std::max(sum.failures, work.failures);
        sum.isEjected = sum.isEjected || work.isEjected;
        target.ejections += work.isEjected ? 1 : 0;
    }
}

auto CellLoadSum::take(TimePoint now) -> CellLoad
{
    expire(now);
    CellLoad cell;
    cell.keeper = m_keeper;
    cell.sequence = ++m_sequence;
    std::map<TargetId, CellTargetLoad> targets;
    std::map<TargetId, int> runsOfFactor;
    for (const auto &[gateway, report] : m_reports) {
        addWork(report, targets, runsOfFactor);
        cell.reported[gateway] = report.work.sequence;
    }
    for (const auto &[id, target] : targets) {
        cell.targets.push_back(target);
    }
    for (const auto &[target, prefill] : m_sentPrefill) {
        cell.prefill.push_back({target, prefill});
    }
    cell.prefilled = std::move(m_prefilled);
    m_prefilled.clear();
    m_sentPrefill.clear();
    return cell;
}

// [SECTION] OwnReports

OwnReports::OwnReports(EntryId self)
    : m_self(std::move(self))
{
}

auto OwnReports::sent(const GatewayLoad &report) -> void
{
    Report own {.sequence = report.work.sequence, .prefill = report.prefill};
    for (const auto &work : report.work.work) {
        own.work[work.target] = work;
    }
    m_reports.push_back(std::move(own));
    if (m_reports.size() > MaxOwnReports) {
        m_reports.pop_front();
    }
}

auto OwnReports::withoutOwn(const CellLoad &cell) -> GatewayLoad
{
    GatewayLoad others;
    others.work.entry = cell.keeper;
    others.work.sequence = cell.sequence;
    others.work.prefilled = cell.prefilled;
    const auto included = cell.reported.find(m_self);
    const std::uint64_t upTo = included == cell.reported.end() ? 0 : included->second;
    std::map<TargetId, Duration> ownPrefill;
    while (!m_reports.empty() && m_reports.front().sequence <= upTo) {
        const auto &report = m_reports.front();
        for (const auto &sent : report.prefill) {
            ownPrefill[sent.target] = report.sequence > m_lastIncluded ? ownPrefill[sent.target] + sent.prefill : ownPrefill[sent.target];
        }
        if (report.sequence == upTo) {
            break;
        }
        m_reports.pop_front();
    }
    m_lastIncluded = std::max(m_lastIncluded, upTo);
    static const std::map<TargetId, TargetWork> Nothing;
    const bool isKept = upTo > 0 && !m_reports.empty() && m_reports.front().sequence == upTo;
    const auto &ownWork = isKept ? m_reports.front().work : Nothing;
    for (const auto &target : cell.targets) {
        auto work = target.sum;
        const auto own = ownWork.find(work.target);
        if (own != ownWork.end()) {
            work.running = std::max(work.running - own->second.running, 0);
            work.tokens = std::max<std::int64_t>(work.tokens - own->second.tokens, 0);
            for (std::size_t band = 0; band < UrgencyBandCount; ++band) {
                work.pendingPrefill.at(band) = std::max(work.pendingPrefill.at(band) - own->second.pendingPrefill.at(band), Duration());
            }
            work.failures = own->second.failures + FailureTolerance >= work.failures ? target.nextFailures : work.failures;
            work.isEjected = target.ejections > (own->second.isEjected ? 1 : 0);
            // The mean keeps the own part, which agrees with what this gateway knows. Without other gateways' runs, nothing else is left of it.
            work.decodeFactor = work.running > 0 ? work.decodeFactor : 0;
        }
        others.work.work.push_back(work);
    }
    for (const auto &sent : cell.prefill) {
        const auto own = ownPrefill.find(sent.target);
        const auto rest = own == ownPrefill.end() ? sent.prefill : sent.prefill - own->second;
        if (rest > Duration()) {
            others.prefill.push_back({sent.target, rest});
        }
    }
    return others;
}

} // namespace KingCup
