#include "core/crashhistory.h"

#include "core/hashing.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace KingCup
{

namespace
{

/// More runs at one target than the limit change nothing. All gateways keep the same ones of them, so that their checksums agree.
auto addRuns(std::set<std::uint64_t> &runs, const std::vector<std::uint64_t> &added, std::size_t limit) -> bool
{
    const auto before = runs;
    runs.insert(added.begin(), added.end());
    while (runs.size() > limit) {
        runs.erase(std::prev(runs.end()));
    }
    return runs != before;
}

} // namespace

auto endId(const TargetIncarnation &target) -> std::uint64_t
{
    return stableHash(target.id.text() + "#" + std::to_string(target.startedAtMillis));
}

auto toString(ProbeObstacle obstacle) -> const char *
{
    switch (obstacle) {
    case ProbeObstacle::None:
        return "none";
    case ProbeObstacle::InProgress:
        return "in-progress";
    case ProbeObstacle::NotDue:
        return "not-due";
    case ProbeObstacle::Exhausted:
        return "exhausted";
    }
    return "";
}

// [SECTION] Queries

auto CrashHistory::targets() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_events.begin(), m_events.end(), [](const auto &event) { return event.second.isCountedEnd(); }));
}

auto CrashHistory::runs() const -> std::size_t
{
    return std::accumulate(m_events.begin(), m_events.end(), std::size_t {0}, [](std::size_t sum, const auto &event) {
        return sum + (event.second.isCountedEnd() ? event.second.runs.size() : 0);
    });
}

auto CrashHistory::allRuns() const -> std::size_t
{
    return std::accumulate(
        m_events.begin(), m_events.end(), std::size_t {0}, [](std::size_t sum, const auto &event) { return sum + event.second.runs.size(); });
}

auto CrashHistory::targetIds() const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, event] : m_events) {
        if (event.isCountedEnd()) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto CrashHistory::endTimes() const -> std::map<std::uint64_t, TimePoint>
{
    std::map<std::uint64_t, TimePoint> times;
    for (const auto &[id, event] : m_events) {
        if (event.isCountedEnd()) {
            times[id] = event.at;
        }
    }
    return times;
}

auto CrashHistory::hasEnd(std::uint64_t target) const -> bool
{
    const auto found = m_events.find(target);
    return found != m_events.end() && found->second.isCountedEnd();
}

auto CrashHistory::sharesEnd(const CrashHistory &other) const -> bool
{
    return std::any_of(m_events.begin(), m_events.end(), [&](const auto &event) { return event.second.isCountedEnd() && other.hasEnd(event.first); });
}

auto CrashHistory::isolatingProbes() const -> std::vector<TargetIncarnation>
{
    std::vector<TargetIncarnation> targets;
    for (const auto &[id, event] : m_events) {
        if (event.isProbe && event.isIsolating && !event.isWithdrawn) {
            targets.push_back(event.target);
        }
    }
    return targets;
}

auto CrashHistory::probedTargets(const CrashLimits &limits, TimePoint now) const -> std::vector<TargetId>
{
    std::vector<TargetId> targets;
    for (const auto &[id, event] : m_events) {
        if (event.isProbeInProgress() && !event.target.id.isEmpty() && now - event.at < limits.maxProbeRun) {
            targets.push_back(event.target.id);
        }
    }
    return targets;
}

auto CrashHistory::hasReachedLimit(const CrashLimits &limits) const -> bool
{
    return runs() >= limits.endsToBar;
}

/// When the number of runs that ended with their targets reached the limit; nothing: it hasn't.
auto CrashHistory::limitReachedAt(const CrashLimits &limits) const -> std::optional<TimePoint>
{
    std::vector<std::pair<TimePoint, std::size_t>> ends;
    for (const auto &[id, event] : m_events) {
        if (event.isCountedEnd()) {
            ends.emplace_back(event.at, event.runs.size());
        }
    }
    std::sort(ends.begin(), ends.end());
    std::size_t runs = 0;
    for (const auto &[at, count] : ends) {
        runs += count;
        if (runs >= limits.endsToBar) {
            return at;
        }
    }
    return std::nullopt;
}

auto CrashHistory::looksLikeOutage(const CrashLimits &limits) const -> bool
{
    std::vector<TimePoint> ends;
    for (const auto &[id, event] : m_events) {
        if (event.isCountedEnd()) {
            ends.push_back(event.at);
        }
    }
    if (ends.size() < limits.endsToBar) {
        return true;
    }
    std::sort(ends.begin(), ends.end());
    return ends[limits.endsToBar - 1] - ends.front() <= limits.outageSpan;
}

/// Whether a probe of the request would tell this suspect from its rivals. It isn't delayed.
auto CrashHistory::isIsolating(const CrashLimits &limits, const ProbeContext &context) const -> bool
{
    return context.hasRival && context.isAlone && !context.isIsolated && targets() >= limits.endsToDoubt;
}

auto CrashHistory::hasProbesLeft(const CrashLimits &limits, const ProbeContext &context) const -> bool
{
    const auto probes = static_cast<std::size_t>(
        std::count_if(m_events.begin(), m_events.end(), [](const auto &event) { return event.second.isProbe && !event.second.isWithdrawn; }));
    return probes < (context.isPart ? limits.maxPartProbes : limits.maxRequestProbes) + context.inVain;
}

auto CrashHistory::probeDueAt(const CrashLimits &limits, const ProbeContext &context) const -> std::optional<TimePoint>
{
    if (!hasProbesLeft(limits, context)) {
        return std::nullopt;
    }
    const auto limitAt = limitReachedAt(limits);
    std::size_t probes = 0; // since the limit was reached, or in all
    std::size_t earlyProbes = 0; // those of them within the notice time
    TimePoint last;
    for (const auto &[id, event] : m_events) {
        if (event.isWithdrawn) {
            continue;
        }
        last = std::max(last, event.at);
        if (event.isProbe && (!limitAt || event.at >= *limitAt)) {
            ++probes;
            earlyProbes += !limitAt || event.at < *limitAt + limits.noticeTime ? 1 : 0;
        }
    }
    probes -= std::min(earlyProbes, context.inVain);
    const bool isAtOnce = looksLikeOutage(limits);
    const auto slots = limits.probeDelays.size() + (isAtOnce ? 1 : 0);
    if (isIsolating(limits, context) && (!limitAt || probes < slots)) {
        return last;
    }
    if (!limitAt) {
        return probes == 0 ? last : last + limits.earlyProbeDelay;
    }
    const std::size_t reserved = context.hasRival && !context.isIsolated ? 1 : 0;
    if (probes + reserved >= slots) {
        return std::nullopt;
    }
    if (isAtOnce) {
        if (probes == 0) {
            return last;
        }
        --probes;
    }
    return last + limits.probeDelays[probes];
}

auto CrashHistory::obstacle(const CrashLimits &limits, const ProbeContext &context, TimePoint now) const -> ProbeObstacle
{
    if (targets() == 0) {
        return ProbeObstacle::None;
    }
    const bool isEarly = context.isOutage && !hasReachedLimit(limits) && hasProbesLeft(limits, context);
    if (isEarly && probesInProgress(limits.maxProbeRun, now) < limits.outageProbes) {
        return ProbeObstacle::None;
    }
    const auto due = probeDueAt(limits, context);
    if (!due) {
        return ProbeObstacle::Exhausted;
    }
    return isBeingProbed(limits.maxProbeRun, now) ? ProbeObstacle::InProgress : now < *due ? ProbeObstacle::NotDue : ProbeObstacle::None;
}

auto CrashHistory::isBeingProbed(Duration span, TimePoint now) const -> bool
{
    return probesInProgress(span, now) > 0;
}

auto CrashHistory::probesInProgress(Duration span, TimePoint now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_events.begin(), m_events.end(), [&](const auto &event) { return event.second.isProbeInProgress() && now - event.second.at < span; }));
}

auto CrashHistory::exported(TimePoint now) const -> std::vector<CrashEvent>
{
    std::vector<CrashEvent> events;
    for (const auto &[id, event] : m_events) {
        events.push_back({.id = id,
                          .isProbe = event.isProbe,
                          .isWithdrawn = event.isWithdrawn,
                          .age = now - event.at,
                          .where = event.where,
                          .runs = {event.runs.begin(), event.runs.end()},
                          .isOver = event.isOver,
                          .isIsolating = event.isIsolating,
                          .target = event.target});
    }
    return events;
}

auto CrashHistory::checksum(const CrashSubject &subject) const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto &[id, event] : m_events) {
        auto text = toString(subject) + "#" + std::to_string(id) + (event.isWithdrawn ? "-" : "+");
        for (const auto run : event.runs) {
            text += "#" + std::to_string(run);
        }
        sum ^= stableHash(text);
    }
    return sum;
}

// [SECTION] Commands

auto CrashHistory::trim(const CrashLimits &limits) -> void
{
    while (m_events.size() > limits.maxEvents) {
        // Withdrawn events go first, and of these the oldest.
        m_events.erase(std::min_element(m_events.begin(), m_events.end(), [](const auto &left, const auto &right) {
            return std::pair(!left.second.isWithdrawn, left.second.at) < std::pair(!right.second.isWithdrawn, right.second.at);
        }));
    }
}

auto CrashHistory::addEnd(std::uint64_t target, std::uint64_t run, const std::string &where, const CrashLimits &limits, TimePoint at, TimePoint now) -> bool
{
    auto &event = m_events.try_emplace(target, Event {.at = at, .knownAt = now, .where = where}).first->second;
    const bool isChanged = addRuns(event.runs, {run}, limits.endsToBar) && !event.isWithdrawn;
    trim(limits);
    return isChanged;
}

auto CrashHistory::addProbe(std::uint64_t id, const std::string &gateway, const ProbeContext &context, const CrashLimits &limits, TimePoint now) -> void
{
    m_events[id] = Event {.isProbe = true, .isIsolating = isIsolating(limits, context), .at = now, .knownAt = now, .where = gateway};
    trim(limits);
}

auto CrashHistory::probeSent(std::uint64_t id, const TargetIncarnation &target) -> bool
{
    const auto found = m_events.find(id);
    if (found == m_events.end() || found->second.target == target) {
        return false;
    }
    found->second.target = target;
    return true;
}

auto CrashHistory::endProbe(std::uint64_t id, bool wasSent) -> bool
{
    const auto found = m_events.find(id);
    if (found == m_events.end() || !found->second.isProbeInProgress()) {
        return false;
    }
    (wasSent ? found->second.isOver : found->second.isWithdrawn) = true;
    return true;
}

auto CrashHistory::withdrawOldest() -> bool
{
    if (targets() == 0) {
        return false;
    }
    const auto rank = [](const auto &event) {
        return std::pair(!event.second.isCountedEnd(), event.second.at);
    };
    std::min_element(m_events.begin(), m_events.end(), [&](const auto &left, const auto &right) { return rank(left) < rank(right); })->second.isWithdrawn
        = true;
    return true;
}

auto CrashHistory::withdrawAll() -> bool
{
    const bool isChanged = targets() > 0;
    for (auto &[id, event] : m_events) {
        event.isWithdrawn = true;
    }
    return isChanged;
}

auto CrashHistory::withdrawUntil(TimePoint until) -> bool
{
    bool isChanged = false;
    for (auto &[id, event] : m_events) {
        if (event.isCountedEnd() && event.at <= until) {
            event.isWithdrawn = true;
            isChanged = true;
        }
    }
    return isChanged;
}

auto CrashHistory::withdrawEnd(std::uint64_t target, TimePoint knownBefore) -> bool
{
    const auto event = m_events.find(target);
    if (event == m_events.end() || event->second.isWithdrawn || event->second.knownAt >= knownBefore) {
        return false;
    }
    event->second.isWithdrawn = true;
    return true;
}

auto CrashHistory::merge(const std::vector<CrashEvent> &received, const CrashLimits &limits, std::optional<TimePoint> soundUntil, TimePoint now) -> bool
{
    bool isChanged = false;
    for (const auto &event : received) {
        const auto at = now - std::max(event.age, Duration());
        const auto [entry, isNew] = m_events.try_emplace(
            event.id, Event {.isProbe = event.isProbe, .isIsolating = event.isIsolating, .at = at, .knownAt = now, .where = event.where});
        auto &known = entry->second;
        if (isNew) {
            known.isWithdrawn = !event.isProbe && soundUntil && at <= *soundUntil;
        }
        if (!event.isProbe) {
            isChanged = addRuns(known.runs, event.runs.empty() ? std::vector {event.id} : event.runs, limits.endsToBar) || isChanged;
        }
        if (known.target.id.isEmpty()) {
            known.target = event.target;
        }
        isChanged = isChanged || isNew || (event.isWithdrawn && !known.isWithdrawn) || (event.isOver && !known.isOver);
        known.isWithdrawn = known.isWithdrawn || event.isWithdrawn;
        known.isOver = known.isOver || event.isOver;
    }
    trim(limits);
    return isChanged;
}

} // namespace KingCup
