// Index of sections (search for [SECTION]):
//   Suspects  the ends counted for requests and prompt parts
//   Probes    runs of requests with suspects
// crashrepeatsmessages.cpp has what gateways send each other.
#include "core/crashrepeats.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace KingCup
{

CrashRepeats::CrashRepeats(std::string self, CrashRepeatOptions options)
    : m_self(std::move(self))
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
}

// [SECTION] Suspects

auto CrashRepeats::isEmpty() const -> bool
{
    return m_histories.empty();
}

auto CrashRepeats::find(const CrashSubject &subject) const -> const CrashHistory *
{
    const auto found = m_histories.find(subject);
    return found == m_histories.end() ? nullptr : &found->second;
}

auto CrashRepeats::ends(const CrashSubject &subject) const -> int
{
    const auto *history = find(subject);
    return history == nullptr ? 0 : static_cast<int>(history->targets());
}

auto CrashRepeats::runs(const CrashSubject &subject) const -> int
{
    const auto *history = find(subject);
    return history == nullptr ? 0 : static_cast<int>(history->runs());
}

auto CrashRepeats::isBarred(const CrashSubject &subject) const -> bool
{
    return static_cast<std::size_t>(ends(subject)) >= m_options.limits.endsToBar;
}

auto CrashRepeats::barredCount(bool isOfParts) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_histories.begin(), m_histories.end(), [&](const auto &entry) { return entry.first.isPart == isOfParts && isBarred(entry.first); }));
}

auto CrashRepeats::suspects(const CrashSubjects &request) const -> std::vector<CrashSubject>
{
    std::vector<CrashSubject> list;
    for (const auto &subject : request.all()) {
        if (ends(subject) > 0) {
            list.push_back(subject);
        }
    }
    return list;
}

auto CrashRepeats::needsGrant(const CrashSubjects &request) const -> bool
{
    return ends(request.request) > 0 || std::any_of(request.parts.begin(), request.parts.end(), [this](const CrashSubject &part) { return ends(part) > 0; });
}

auto CrashRepeats::hasReachedLimit(const CrashSubjects &request) const -> bool
{
    const auto all = request.all();
    return std::any_of(all.begin(), all.end(), [this](const CrashSubject &subject) {
        const auto *history = find(subject);
        return history != nullptr && history->hasReachedLimit(m_options.limits);
    });
}

/// Histories that have reached the limit or had reached it. They must be the same at all gateways, so that a withdrawal reaches all.
auto CrashRepeats::isNotable(const CrashHistory &history) const -> bool
{
    return history.allRuns() >= m_options.limits.endsToBar;
}

auto CrashRepeats::doubtful() const -> const std::vector<CrashSubject> &
{
    if (!m_doubtful) {
        m_doubtful.emplace();
        for (const auto &[subject, history] : m_histories) {
            if (history.targets() >= m_options.limits.endsToDoubt) {
                m_doubtful->push_back(subject);
            }
        }
    }
    return *m_doubtful;
}

auto CrashRepeats::endTimes() const -> const std::map<std::uint64_t, TimePoint> &
{
    if (!m_endTimes) {
        m_endTimes.emplace();
        for (const auto &[subject, history] : m_histories) {
            m_endTimes->merge(history.endTimes());
        }
    }
    return *m_endTimes;
}

auto CrashRepeats::contextOf(const CrashSubject &subject, const CrashHistory &history, const CrashSubjects &request, TimePoint now) const -> ProbeContext
{
    ProbeContext context {.isPart = subject.isPart, .isAlone = true};
    context.isOutage
        = static_cast<std::size_t>(std::count_if(endTimes().begin(),
                                                 endTimes().end(),
                                                 [&](const auto &end) { return now - end.second < m_options.limits.outageTime && !history.hasEnd(end.first); }))
        > m_options.limits.outageTargets;
    const auto isolating = history.isolatingProbes();
    std::set<std::uint64_t> explained;
    for (const auto &other : doubtful()) {
        if (other == subject) {
            continue;
        }
        const auto *rival = find(other);
        context.isAlone = context.isAlone && !request.contains(other);
        context.hasRival = context.hasRival || history.sharesEnd(*rival);
        for (const auto &target : isolating) {
            if (!request.contains(other) && rival->hasEnd(endId(target))) {
                explained.insert(endId(target));
            }
        }
    }
    context.inVain = static_cast<std::size_t>(
        std::count_if(isolating.begin(), isolating.end(), [&](const TargetIncarnation &target) { return explained.contains(endId(target)); }));
    context.isIsolated = context.inVain < isolating.size() || isolating.size() >= m_options.limits.maxIsolatingProbes;
    return context;
}

auto CrashRepeats::changedHere() -> void
{
    m_checksum.reset();
    m_doubtful.reset();
    m_endTimes.reset();
}

auto CrashRepeats::changed(const CrashSubject &subject) -> void
{
    m_changed.insert(subject);
    m_restored.erase(subject);
    changedHere();
}

auto CrashRepeats::findOrAdd(const CrashSubject &subject, TimePoint now) -> CrashHistory &
{
    const auto found = m_histories.find(subject);
    if (found != m_histories.end()) {
        return found->second;
    }
    if (m_histories.size() >= m_options.maxRecords) {
        makeSpace();
    }
    auto &added = m_histories[subject];
    added.usedAt = now;
    return added;
}

/// Drops half of the histories below the limit: this is called seldom, and costs a pass over all of them.
auto CrashRepeats::makeSpace() -> void
{
    std::vector<TimePoint> times;
    for (const auto &[subject, history] : m_histories) {
        if (!history.hasReachedLimit(m_options.limits)) {
            times.push_back(history.usedAt);
        }
    }
    if (times.empty()) {
        return;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const auto limit = *middle;
    changedHere();
    std::erase_if(m_histories, [&](const auto &entry) { return entry.second.usedAt <= limit && !entry.second.hasReachedLimit(m_options.limits); });
}

auto CrashRepeats::soundUntil(const CrashSubject &subject) const -> std::optional<TimePoint>
{
    std::optional<TimePoint> until;
    for (const auto *parts : {&m_soundParts, &m_soundElsewhere}) {
        const auto found = parts->find(subject);
        if (found != parts->end()) {
            until = std::max(until.value_or(TimePoint()), found->second + m_options.soundTime);
        }
    }
    return until;
}

auto CrashRepeats::hasSucceeded(const CrashSubject &part, TimePoint now) const -> bool
{
    const auto found = m_soundParts.find(part);
    return found != m_soundParts.end() && now - found->second <= m_options.soundTime;
}

/// The density of the delay increases exponentially up to the maximum: one gateway that knows of a success tells it in time, and of many that do, few tell it
/// before the message of the first one has arrived.
auto CrashRepeats::announceLater(const CrashSubject &subject, TimePoint now) -> void
{
    const auto uniform = 1 - std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto gateways = static_cast<double>(m_live.size()) + 1;
    const auto delay = m_live.empty() ? 0 : std::max(0.0, 1 + std::log(uniform) / std::log(gateways));
    m_announceAt.try_emplace(subject, now + m_options.announceTime * delay);
}

auto CrashRepeats::targetEnded(const CrashSubjects &request, const TargetIncarnation &target, SendId run, TimePoint endedAt, TimePoint now)
    -> std::vector<CrashSubject>
{
    const auto id = endId(target);
    const auto runId = stableHash(m_self + "#" + std::to_string(m_options.seed) + "#" + std::to_string(run.value()));
    std::vector<CrashSubject> counted;
    for (const auto &subject : request.all()) {
        const auto sound = soundUntil(subject);
        if (sound && endedAt <= *sound) {
            continue;
        }
        auto &history = findOrAdd(subject, now);
        history.usedAt = now;
        if (history.addEnd(id, runId, target.id.text(), m_options.limits, endedAt, now)) {
            counted.push_back(subject);
            changed(subject);
        }
    }
    if (!counted.empty()) {
        m_endedTargets.insert(id);
    }
    return counted;
}

auto CrashRepeats::succeeded(const CrashSubjects &request, bool wasProbe, TimePoint now) -> std::vector<CrashSubject>
{
    auto cleared = partsSound(request.parts, wasProbe, now);
    const auto found = m_histories.find(request.request);
    if (found != m_histories.end() && (wasProbe ? found->second.withdrawAll() : found->second.withdrawOldest())) {
        found->second.usedAt = now;
        cleared.push_back(request.request);
        changed(request.request);
    }
    return cleared;
}

auto CrashRepeats::partsSound(const std::vector<CrashSubject> &parts, bool wasProbe, TimePoint now) -> std::vector<CrashSubject>
{
    std::vector<CrashSubject> cleared;
    for (const auto &part : parts) {
        m_soundParts[part] = now;
        const auto found = m_histories.find(part);
        if (found != m_histories.end() && found->second.withdrawAll()) {
            found->second.usedAt = now;
            cleared.push_back(part);
            changedHere();
            announceLater(part, now);
        }
    }
    if (wasProbe) {
        m_changed.insert(cleared.begin(), cleared.end());
    }
    if (now >= m_soundPartsExpireAt) {
        m_soundPartsExpireAt = now + m_options.soundTime;
        std::erase_if(m_soundParts, [&](const auto &part) { return now - part.second > m_options.soundTime; });
        std::erase_if(m_soundElsewhere, [&](const auto &part) { return now - part.second > m_options.soundTime; });
    }
    return cleared;
}

auto CrashRepeats::targetAnswered(const TargetIncarnation &target, TimePoint sentAt) -> std::vector<CrashSubject>
{
    if (m_endedTargets.empty()) {
        return {};
    }
    const auto id = endId(target);
    if (!m_endedTargets.contains(id)) {
        return {};
    }
    std::vector<CrashSubject> concerned;
    for (auto &[subject, history] : m_histories) {
        if (history.withdrawEnd(id, sentAt)) {
            concerned.push_back(subject);
            changed(subject);
        }
    }
    return concerned;
}

auto CrashRepeats::used(const CrashSubjects &request, TimePoint now) -> void
{
    for (const auto &subject : suspects(request)) {
        m_histories.at(subject).usedAt = now;
    }
}

auto CrashRepeats::expire(TimePoint now) -> std::vector<CrashSubject>
{
    std::vector<CrashSubject> dropped;
    const auto erased = std::erase_if(m_histories, [&](const auto &entry) {
        const auto &[subject, history] = entry;
        const bool isCleared = history.targets() == 0 && !isNotable(history);
        const bool isUnused = now - history.usedAt >= (isCleared ? m_options.withdrawnLifetime : m_options.lifetime);
        if (isUnused && isBarred(subject)) {
            dropped.push_back(subject);
        }
        return isUnused;
    });
    if (erased > 0) {
        changedHere();
    }
    for (auto &[fingerprint, query] : m_queries) {
        if (query.grantedAt && now - *query.grantedAt >= m_options.grantLifetime) {
            query.grantedAt.reset();
            probeReturned(query.request, query.probe);
        }
    }
    std::erase_if(m_queries, [&](const auto &entry) {
        const auto &query = entry.second;
        return !query.grantedAt && now >= query.deniedUntil && now - query.sentAt >= m_options.replyTimeout + m_options.retryDenied;
    });
    m_endedTargets.clear();
    for (const auto &[subject, history] : m_histories) {
        const auto ids = history.targetIds();
        m_endedTargets.insert(ids.begin(), ids.end());
    }
    return dropped;
}

// [SECTION] Probes

auto CrashRepeats::verdict(const CrashSubjects &request, TimePoint now) const -> CrashVerdict
{
    CrashVerdict verdict {request.request, ProbeObstacle::None};
    for (const auto &subject : suspects(request)) {
        const auto *history = find(subject);
        const auto obstacle = history->obstacle(m_options.limits, contextOf(subject, *history, request, now), now);
        if (obstacle > verdict.obstacle || ends(verdict.subject) == 0) {
            verdict = {subject, obstacle};
        }
    }
    return verdict;
}

auto CrashRepeats::retryAfter(const CrashSubjects &request, TimePoint now) const -> Duration
{
    Duration longest;
    for (const auto &subject : suspects(request)) {
        const auto *history = find(subject);
        const auto due = history->probeDueAt(m_options.limits, contextOf(subject, *history, request, now));
        longest = std::max(longest, due ? std::max(*due - now, m_options.retryDenied) : m_options.lifetime);
    }
    return longest;
}

auto CrashRepeats::arbiter() const -> std::string
{
    return rendezvousFirst("crash-probes", m_self, m_live);
}

/// Nothing: the request must not run now. 0: it needs no grant.
auto CrashRepeats::grant(const CrashSubjects &request, const std::string &gateway, TimePoint now) -> std::optional<std::uint64_t>
{
    const auto concerned = suspects(request);
    if (concerned.empty()) {
        return 0;
    }
    const bool mayArbitrate = now >= m_options.arbitratesFrom || !hasReachedLimit(request);
    if (!mayArbitrate || verdict(request, now).obstacle != ProbeObstacle::None) {
        return std::nullopt;
    }
    const auto id = stableHash(m_self + "#" + toString(request.request) + "#" + std::to_string(++m_grants) + "#" + std::to_string(now.inMicros()));
    for (const auto &subject : concerned) {
        auto &history = m_histories.at(subject);
        history.addProbe(id, gateway, contextOf(subject, history, request, now), m_options.limits, now);
        changed(subject);
    }
    return id;
}

auto CrashRepeats::isProbeExpected(const CrashSubjects &request, TimePoint now) const -> bool
{
    const auto list = suspects(request);
    return verdict(request, now).obstacle == ProbeObstacle::None
        || std::any_of(list.begin(), list.end(), [&](const CrashSubject &subject) { return find(subject)->isBeingProbed(m_options.probeTime, now); });
}

auto CrashRepeats::mayBeProbed(const CrashSubjects &request, TimePoint now) const -> bool
{
    const auto query = m_queries.find(request.request.value);
    if (query != m_queries.end()) {
        const bool isHeld = query->second.grantedAt && now - *query->second.grantedAt < m_options.grantLifetime;
        const bool isPending = now - query->second.sentAt < m_options.replyTimeout && now >= query->second.deniedUntil;
        if (isHeld || isPending) {
            return true;
        }
        if (now < query->second.deniedUntil) {
            return false;
        }
    }
    return needsGrant(request) && verdict(request, now).obstacle == ProbeObstacle::None;
}

auto CrashRepeats::endProbe(const CrashSubjects &request, std::uint64_t probe, bool wasSent) -> void
{
    for (const auto &subject : request.all()) {
        const auto found = m_histories.find(subject);
        if (found != m_histories.end() && found->second.endProbe(probe, wasSent)) {
            changed(subject);
        }
    }
}

auto CrashRepeats::probedTargets(TimePoint now) const -> std::vector<TargetId>
{
    std::vector<TargetId> targets;
    for (const auto &[subject, history] : m_histories) {
        const auto probed = history.probedTargets(m_options.limits, now);
        targets.insert(targets.end(), probed.begin(), probed.end());
    }
    return targets;
}

auto CrashRepeats::probeSent(const CrashSubjects &request, std::uint64_t probe, const TargetIncarnation &target) -> void
{
    for (const auto &subject : request.all()) {
        const auto found = m_histories.find(subject);
        if (found != m_histories.end() && found->second.probeSent(probe, target)) {
            changed(subject);
        }
    }
}

auto CrashRepeats::probeEnded(const CrashSubjects &request, std::uint64_t probe) -> void
{
    endProbe(request, probe, true);
}

auto CrashRepeats::probeReturned(const CrashSubjects &request, std::uint64_t probe) -> void
{
    endProbe(request, probe, false);
}

auto CrashRepeats::probeUnsent(const CrashSubjects &request, const ProbeAnswer &granted, TimePoint now) -> void
{
    auto &query = m_queries[request.request.value];
    if (query.grantedAt || now - granted.grantedAt >= m_options.grantLifetime) {
        probeReturned(request, granted.probe);
        return;
    }
    query.request = request;
    query.probe = granted.probe;
    query.grantedAt = granted.grantedAt;
}

auto CrashRepeats::requestProbe(const CrashSubjects &request, TimePoint now) -> ProbeAnswer
{
    auto &query = m_queries[request.request.value];
    if (const auto grantedAt = std::exchange(query.grantedAt, std::nullopt)) {
        if (now - *grantedAt < m_options.grantLifetime) {
            return {ProbeState::Granted, query.probe, *grantedAt};
        }
        probeReturned(request, query.probe);
    }
    if (now < query.deniedUntil) {
        return {};
    }
    if (now - query.sentAt < m_options.replyTimeout) {
        return {.state = ProbeState::Pending};
    }
    const auto grantHere = [&]() -> ProbeAnswer {
        const auto probe = grant(request, m_self, now);
        return probe ? ProbeAnswer {ProbeState::Granted, *probe, now} : ProbeAnswer();
    };
    const auto judge = arbiter();
    if (judge == m_self) {
        return grantHere();
    }
    if (query.sentAt != TimePoint() && now - query.sentAt < m_options.replyTimeout + m_options.retryDenied) {
        // The arbiter hasn't replied, it may have ended. Below the limit, one run more does less harm than rejecting every request that was in flight.
        return hasReachedLimit(request) ? ProbeAnswer() : grantHere();
    }
    query.sentAt = now;
    query.request = request;
    auto &message = m_messages[judge];
    for (const auto &subject : suspects(request)) {
        message.records.push_back(exported(subject, *find(subject), now));
    }
    message.queries.push_back({request});
    return {.state = ProbeState::Pending};
}

} // namespace KingCup
