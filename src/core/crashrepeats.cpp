// Index of sections (search for [SECTION]):
//   Records   the ends counted for each request
//   Probes    runs of rejected requests
//   Messages  what gateways send each other
#include "core/crashrepeats.h"

#include "core/hashing.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace KingCup
{

namespace
{

auto eventId(const TargetIncarnation &target) -> std::uint64_t
{
    return stableHash(target.id.text() + "#" + std::to_string(target.startedAtMillis));
}

} // namespace

auto CrashMessage::isEmpty() const -> bool
{
    return records.empty() && queries.empty() && replies.empty();
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

auto requestFingerprint(std::string_view host, std::string_view path, std::string_view account, std::string_view body) -> std::uint64_t
{
    // The body's hash is used instead of the body, which may have megabytes.
    std::string text(host);
    text.append(path).append("\n").append(account).append("\n").append(std::to_string(stableHash(body)));
    return stableHash(text);
}

CrashRepeats::CrashRepeats(std::string self, CrashRepeatOptions options)
    : m_self(std::move(self))
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
}

// [SECTION] Records

auto CrashRepeats::isEmpty() const -> bool
{
    return m_records.empty();
}

auto CrashRepeats::endsOf(const Record &record) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(record.events.begin(), record.events.end(), [](const auto &event) { return event.second.isCountedEnd(); }));
}

auto CrashRepeats::runsOf(const Record &record) const -> std::size_t
{
    return std::accumulate(record.events.begin(), record.events.end(), std::size_t {0}, [](std::size_t sum, const auto &event) {
        return sum + (event.second.isCountedEnd() ? event.second.runs.size() : 0);
    });
}

auto CrashRepeats::rejects(const Record &record) const -> bool
{
    return endsOf(record) >= m_options.endsToBar;
}

/// Records that have reached the limit or had reached it. They must be the same at all gateways, so that a withdrawal reaches all.
auto CrashRepeats::isNotable(const Record &record) const -> bool
{
    std::size_t runs = 0;
    for (const auto &[id, event] : record.events) {
        runs += event.runs.size();
    }
    return runs >= m_options.endsToBar;
}

/// When the number of runs that ended with their targets reached the limit; nothing: it hasn't.
auto CrashRepeats::limitReachedAt(const Record &record) const -> std::optional<TimePoint>
{
    std::vector<std::pair<TimePoint, std::size_t>> ends;
    for (const auto &[id, event] : record.events) {
        if (event.isCountedEnd()) {
            ends.emplace_back(event.at, event.runs.size());
        }
    }
    std::sort(ends.begin(), ends.end());
    std::size_t runs = 0;
    for (const auto &[at, count] : ends) {
        runs += count;
        if (runs >= m_options.endsToBar) {
            return at;
        }
    }
    return std::nullopt;
}

auto CrashRepeats::ends(std::uint64_t request) const -> int
{
    const auto found = m_records.find(request);
    return found == m_records.end() ? 0 : static_cast<int>(endsOf(found->second));
}

auto CrashRepeats::runs(std::uint64_t request) const -> int
{
    const auto found = m_records.find(request);
    return found == m_records.end() ? 0 : static_cast<int>(runsOf(found->second));
}

auto CrashRepeats::needsGrant(std::uint64_t request) const -> bool
{
    const auto found = m_records.find(request);
    return found != m_records.end() && endsOf(found->second) > 0;
}

auto CrashRepeats::isBarred(std::uint64_t request) const -> bool
{
    const auto found = m_records.find(request);
    return found != m_records.end() && rejects(found->second);
}

auto CrashRepeats::barredCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [this](const auto &entry) { return rejects(entry.second); }));
}

auto CrashRepeats::findOrAdd(std::uint64_t request, TimePoint now) -> Record &
{
    const auto found = m_records.find(request);
    if (found != m_records.end()) {
        return found->second;
    }
    if (m_records.size() >= m_options.maxRecords) {
        makeSpace();
    }
    auto &added = m_records[request];
    added.usedAt = now;
    return added;
}

/// Drops half of the records below the limit: this is called seldom, and costs a pass over all records.
auto CrashRepeats::makeSpace() -> void
{
    const auto isKept = [this](const Record &record) {
        return runsOf(record) >= m_options.endsToBar;
    };
    std::vector<TimePoint> times;
    for (const auto &[request, record] : m_records) {
        if (!isKept(record)) {
            times.push_back(record.usedAt);
        }
    }
    if (times.empty()) {
        return;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const auto limit = *middle;
    m_checksum.reset();
    std::erase_if(m_records, [&](const auto &entry) { return entry.second.usedAt <= limit && !isKept(entry.second); });
}

auto CrashRepeats::trim(Record &record) const -> void
{
    while (record.events.size() > m_options.maxEvents) {
        // Withdrawn events go first, and of these the oldest.
        record.events.erase(std::min_element(record.events.begin(), record.events.end(), [](const auto &left, const auto &right) {
            return std::pair(!left.second.isWithdrawn, left.second.at) < std::pair(!right.second.isWithdrawn, right.second.at);
        }));
    }
}

/// More runs at one target than the limit change nothing. All gateways keep the same ones of them, so that their checksums agree.
auto CrashRepeats::addRuns(Event &event, const std::vector<std::uint64_t> &runs) const -> bool
{
    const auto before = event.runs;
    event.runs.insert(runs.begin(), runs.end());
    while (event.runs.size() > m_options.endsToBar) {
        event.runs.erase(std::prev(event.runs.end()));
    }
    return event.runs != before;
}

auto CrashRepeats::targetEnded(std::uint64_t request, const TargetIncarnation &target, SendId run, TimePoint now) -> bool
{
    auto &record = findOrAdd(request, now);
    record.usedAt = now;
    const auto id = eventId(target);
    auto [event, isNew] = record.events.try_emplace(id, Event {.at = now, .knownAt = now, .where = target.id.text()});
    const auto runId = stableHash(m_self + "#" + std::to_string(m_options.seed) + "#" + std::to_string(run.value()));
    if (!addRuns(event->second, {runId})) {
        return false;
    }
    trim(record);
    if (isNew) {
        m_endedTargets.insert(id);
    }
    m_changed.insert(request);
    m_checksum.reset();
    return !event->second.isWithdrawn;
}

auto CrashRepeats::succeeded(std::uint64_t request, bool wasProbe, TimePoint now) -> bool
{
    const auto found = m_records.find(request);
    if (found == m_records.end() || endsOf(found->second) == 0) {
        return false;
    }
    auto &events = found->second.events;
    if (wasProbe) {
        for (auto &[id, event] : events) {
            event.isWithdrawn = true;
        }
    } else {
        const auto rank = [](const auto &event) {
            return std::pair(!event.second.isCountedEnd(), event.second.at);
        };
        std::min_element(events.begin(), events.end(), [&](const auto &left, const auto &right) { return rank(left) < rank(right); })->second.isWithdrawn
            = true;
    }
    found->second.usedAt = now;
    m_changed.insert(request);
    m_checksum.reset();
    return true;
}

auto CrashRepeats::targetAnswered(const TargetIncarnation &target, TimePoint sentAt) -> std::vector<std::uint64_t>
{
    if (m_endedTargets.empty()) {
        return {};
    }
    const auto id = eventId(target);
    if (!m_endedTargets.contains(id)) {
        return {};
    }
    std::vector<std::uint64_t> concerned;
    for (auto &[request, record] : m_records) {
        const auto event = record.events.find(id);
        if (event != record.events.end() && !event->second.isWithdrawn && event->second.knownAt < sentAt) {
            event->second.isWithdrawn = true;
            m_changed.insert(request);
            m_checksum.reset();
            concerned.push_back(request);
        }
    }
    return concerned;
}

auto CrashRepeats::used(std::uint64_t request, TimePoint now) -> void
{
    const auto found = m_records.find(request);
    if (found != m_records.end()) {
        found->second.usedAt = now;
    }
}

auto CrashRepeats::expire(TimePoint now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> dropped;
    const auto erased = std::erase_if(m_records, [&](const auto &entry) {
        const auto &record = entry.second;
        const bool isCleared = endsOf(record) == 0 && !isNotable(record);
        const bool isUnused = now - record.usedAt >= (isCleared ? m_options.withdrawnLifetime : m_options.lifetime);
        if (isUnused && rejects(record)) {
            dropped.push_back(entry.first);
        }
        return isUnused;
    });
    if (erased > 0) {
        m_checksum.reset();
    }
    std::erase_if(m_queries, [&](const auto &query) { return !m_records.contains(query.first); });
    for (auto &[request, query] : m_queries) {
        if (query.grantedAt && now - *query.grantedAt >= m_options.grantLifetime) {
            query.grantedAt.reset();
            probeReturned(request);
        }
    }
    m_endedTargets.clear();
    for (const auto &[request, record] : m_records) {
        for (const auto &[id, event] : record.events) {
            if (event.isCountedEnd()) {
                m_endedTargets.insert(id);
            }
        }
    }
    return dropped;
}

// [SECTION] Probes

/// When the next probe may be granted; nothing: no further one will be.
auto CrashRepeats::probeDueAt(const Record &record) const -> std::optional<TimePoint>
{
    const auto limitAt = limitReachedAt(record);
    std::size_t probes = 0; // since the limit was reached, or in all
    TimePoint last;
    for (const auto &[id, event] : record.events) {
        if (!event.isWithdrawn) {
            probes += event.isProbe && (!limitAt || event.at >= *limitAt) ? 1 : 0;
            last = std::max(last, event.at);
        }
    }
    if (!limitAt) {
        return probes == 0 ? last : last + m_options.earlyProbeDelay;
    }
    if (looksLikeOutage(record)) {
        if (probes == 0) {
            return last;
        }
        --probes;
    }
    return probes < m_options.probeDelays.size() ? std::optional(last + m_options.probeDelays[probes]) : std::nullopt;
}

auto CrashRepeats::obstacleOf(const Record &record, TimePoint now) const -> ProbeObstacle
{
    const auto due = probeDueAt(record);
    if (!due) {
        return ProbeObstacle::Exhausted;
    }
    const bool isInProgress = std::any_of(record.events.begin(), record.events.end(), [&](const auto &event) {
        return event.second.isProbeInProgress() && now - event.second.at < m_options.maxProbeRun;
    });
    return isInProgress ? ProbeObstacle::InProgress : now < *due ? ProbeObstacle::NotDue : ProbeObstacle::None;
}

auto CrashRepeats::obstacle(std::uint64_t request, TimePoint now) const -> ProbeObstacle
{
    const auto found = m_records.find(request);
    return found == m_records.end() ? ProbeObstacle::None : obstacleOf(found->second, now);
}

auto CrashRepeats::looksLikeOutage(const Record &record) const -> bool
{
    std::vector<TimePoint> ends;
    for (const auto &[id, event] : record.events) {
        if (event.isCountedEnd()) {
            ends.push_back(event.at);
        }
    }
    if (ends.size() < m_options.endsToBar) {
        return true;
    }
    std::sort(ends.begin(), ends.end());
    return ends[m_options.endsToBar - 1] - ends.front() <= m_options.outageSpan;
}

auto CrashRepeats::retryAfter(std::uint64_t request, TimePoint now) const -> Duration
{
    const auto found = m_records.find(request);
    if (found == m_records.end()) {
        return Duration();
    }
    const auto due = probeDueAt(found->second);
    return due ? std::max(*due - now, m_options.retryDenied) : m_options.lifetime;
}

auto CrashRepeats::arbiter(std::uint64_t request) const -> std::string
{
    return rendezvousFirst(std::to_string(request), m_self, m_live);
}

auto CrashRepeats::grant(std::uint64_t request, const std::string &gateway, TimePoint now) -> bool
{
    const auto found = m_records.find(request);
    if (found == m_records.end() || endsOf(found->second) == 0) {
        return true;
    }
    if (obstacleOf(found->second, now) != ProbeObstacle::None) {
        return false;
    }
    const auto id = stableHash(m_self + "#" + std::to_string(request) + "#" + std::to_string(++m_grants) + "#" + std::to_string(now.inMicros()));
    found->second.events[id] = Event {.isProbe = true, .at = now, .knownAt = now, .where = gateway};
    trim(found->second);
    m_changed.insert(request);
    m_checksum.reset();
    return true;
}

auto CrashRepeats::isBeingProbed(std::uint64_t request, TimePoint now) const -> bool
{
    const auto found = m_records.find(request);
    return found != m_records.end() && std::any_of(found->second.events.begin(), found->second.events.end(), [&](const auto &event) {
               return event.second.isProbeInProgress() && now - event.second.at < m_options.probeTime;
           });
}

auto CrashRepeats::mayBeProbed(std::uint64_t request, TimePoint now) const -> bool
{
    const auto query = m_queries.find(request);
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
    const auto found = m_records.find(request);
    if (found == m_records.end()) {
        return false;
    }
    return obstacleOf(found->second, now) == ProbeObstacle::None;
}

auto CrashRepeats::endProbes(std::uint64_t request, bool wasSent) -> void
{
    const auto found = m_records.find(request);
    if (found == m_records.end()) {
        return;
    }
    for (auto &[id, event] : found->second.events) {
        if (event.isProbeInProgress() && event.where == m_self) {
            (wasSent ? event.isOver : event.isWithdrawn) = true;
            m_changed.insert(request);
            m_checksum.reset();
        }
    }
}

auto CrashRepeats::probeEnded(std::uint64_t request) -> void
{
    endProbes(request, true);
}

auto CrashRepeats::probeReturned(std::uint64_t request) -> void
{
    endProbes(request, false);
}

auto CrashRepeats::requestProbe(std::uint64_t request, TimePoint now) -> ProbeState
{
    auto &query = m_queries[request];
    if (query.grantedAt) {
        const bool isValid = now - *query.grantedAt < m_options.grantLifetime;
        query.grantedAt.reset();
        if (isValid) {
            return ProbeState::Granted;
        }
        probeReturned(request);
    }
    if (now < query.deniedUntil) {
        return ProbeState::Denied;
    }
    if (now - query.sentAt < m_options.replyTimeout) {
        return ProbeState::Pending;
    }
    const auto found = m_records.find(request);
    if (found == m_records.end()) {
        return ProbeState::Denied;
    }
    const auto judge = arbiter(request);
    if (judge == m_self) {
        return grant(request, m_self, now) ? ProbeState::Granted : ProbeState::Denied;
    }
    if (query.sentAt != TimePoint() && now - query.sentAt < m_options.replyTimeout + m_options.retryDenied) {
        // The arbiter hasn't replied, it may have ended. Below the limit, one run more does less harm than rejecting every request that was in flight.
        return !limitReachedAt(found->second) && grant(request, m_self, now) ? ProbeState::Granted : ProbeState::Denied;
    }
    query.sentAt = now;
    auto &message = m_messages[judge];
    message.records.push_back(exported(request, found->second, now));
    message.queries.push_back(request);
    return ProbeState::Pending;
}

// [SECTION] Messages

auto CrashRepeats::setGateways(std::set<std::string> live) -> void
{
    m_live = std::move(live);
}

auto CrashRepeats::exported(std::uint64_t request, const Record &record, TimePoint now) const -> CrashRecord
{
    CrashRecord result {request, now - record.usedAt, {}};
    for (const auto &[id, event] : record.events) {
        result.events.push_back({id, event.isProbe, event.isWithdrawn, now - event.at, event.where, {event.runs.begin(), event.runs.end()}, event.isOver});
    }
    return result;
}

auto CrashRepeats::merge(const CrashRecord &received, TimePoint now) -> std::optional<CrashChange>
{
    if (received.unusedFor >= m_options.lifetime || received.events.empty()) {
        return std::nullopt;
    }
    auto &record = findOrAdd(received.request, now);
    const auto endsBefore = endsOf(record);
    record.usedAt = std::max(record.usedAt, now - std::max(received.unusedFor, Duration()));
    bool isChanged = false;
    std::vector<CrashEvent> added;
    for (const auto &event : received.events) {
        auto [known, isNew] = record.events.try_emplace(
            event.id, Event {.isProbe = event.isProbe, .at = now - std::max(event.age, Duration()), .knownAt = now, .where = event.where});
        if (isNew) {
            added.push_back(event);
        }
        if (!event.isProbe) {
            isChanged = addRuns(known->second, event.runs.empty() ? std::vector {event.id} : event.runs) || isChanged;
        }
        isChanged = isChanged || isNew || (event.isWithdrawn && !known->second.isWithdrawn) || (event.isOver && !known->second.isOver);
        known->second.isWithdrawn = known->second.isWithdrawn || event.isWithdrawn;
        known->second.isOver = known->second.isOver || event.isOver;
        if (known->second.isCountedEnd()) {
            m_endedTargets.insert(event.id);
        }
    }
    trim(record);
    if (!isChanged) {
        return std::nullopt;
    }
    m_checksum.reset();
    const auto ends = endsOf(record);
    return CrashChange {
        received.request, static_cast<int>(ends), static_cast<int>(runsOf(record)), ends >= m_options.endsToBar, ends == 0 && endsBefore > 0, std::move(added)};
}

auto CrashRepeats::received(const std::string &gateway, const CrashMessage &message, TimePoint now) -> std::vector<CrashChange>
{
    std::vector<CrashChange> changes;
    for (const auto &record : message.records) {
        if (const auto change = merge(record, now)) {
            changes.push_back(*change);
        }
    }
    for (const auto request : message.queries) {
        const bool isGranted = grant(request, gateway, now);
        auto &reply = m_messages[gateway];
        reply.replies.push_back({request, isGranted});
        const auto found = m_records.find(request);
        if (found != m_records.end()) {
            reply.records.push_back(exported(request, found->second, now));
        }
    }
    for (const auto &reply : message.replies) {
        auto &query = m_queries[reply.request];
        if (reply.isGranted) {
            query.grantedAt = now;
        } else {
            query.deniedUntil = now + m_options.retryDenied;
        }
    }
    return changes;
}

auto CrashRepeats::restored(const std::vector<CrashRecord> &records, TimePoint now) -> std::vector<CrashChange>
{
    std::vector<CrashChange> changes;
    for (const auto &record : records) {
        if (const auto change = merge(record, now)) {
            changes.push_back(*change);
            m_changed.insert(record.request);
        }
    }
    return changes;
}

auto CrashRepeats::checksum() const -> std::uint64_t
{
    if (m_checksum) {
        return *m_checksum;
    }
    std::uint64_t sum = 0;
    for (const auto &[request, record] : m_records) {
        if (!isNotable(record)) {
            continue;
        }
        for (const auto &[id, event] : record.events) {
            auto text = std::to_string(request) + "#" + std::to_string(id) + (event.isWithdrawn ? "-" : "+");
            for (const auto run : event.runs) {
                text += "#" + std::to_string(run);
            }
            sum ^= stableHash(text);
        }
    }
    m_checksum = sum;
    return sum;
}

auto CrashRepeats::notable(TimePoint now) const -> std::vector<CrashRecord>
{
    std::vector<CrashRecord> list;
    for (const auto &[request, record] : m_records) {
        if (isNotable(record) && list.size() < m_options.maxPushed) {
            list.push_back(exported(request, record, now));
        }
    }
    return list;
}

auto CrashRepeats::checksumReceived(const std::string &gateway, std::uint64_t sum, TimePoint now) -> void
{
    if (m_records.empty() || sum == checksum()) {
        return;
    }
    auto &pushedAt = m_pushedAt[gateway];
    const double share = m_options.pushesPerDigest / std::max<double>(static_cast<double>(m_live.size()), 1);
    if (now - pushedAt < m_options.pushPeriod || std::uniform_real_distribution<double>(0, 1)(m_random) >= share) {
        return;
    }
    auto records = notable(now);
    if (records.empty()) {
        return;
    }
    pushedAt = now;
    auto &message = m_messages[gateway];
    message.records.insert(message.records.end(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
}

auto CrashRepeats::greeting(TimePoint now) const -> CrashMessage
{
    CrashMessage message;
    message.records = notable(now);
    for (const auto &[request, record] : m_records) {
        if (!isNotable(record) && message.records.size() < m_options.maxPushed) {
            message.records.push_back(exported(request, record, now));
        }
    }
    return message;
}

auto CrashRepeats::takeBroadcast(TimePoint now) -> CrashMessage
{
    CrashMessage message;
    for (const auto request : std::exchange(m_changed, {})) {
        const auto found = m_records.find(request);
        if (found != m_records.end()) {
            message.records.push_back(exported(request, found->second, now));
        }
    }
    return message;
}

auto CrashRepeats::takeMessages() -> std::map<std::string, CrashMessage>
{
    return std::exchange(m_messages, {});
}

auto checksumOf(const std::vector<CrashRecord> &records, TimePoint now) -> std::uint64_t
{
    CrashRepeats repeats("");
    repeats.restored(records, now);
    return repeats.checksum();
}

} // namespace KingCup
