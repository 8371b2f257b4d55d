// Index of sections (search for [SECTION]):
//   Requests   the requests of this gateway
//   Messages   between gateways
//   Granting   the queues of this gateway as arbiter
#include "core/slotpermits.h"

#include "core/hashing.h"

#include <algorithm>
#include <utility>

namespace KingCup
{

namespace
{

/// Period at which an arbiter checks its queues for expired grants and late requests, without a message.
constexpr auto CheckPeriod = Duration::millis(50);
/// Longer queues are checked for late requests only once in a period: a check sorts the queue.
constexpr std::size_t ShortQueue = 64;
/// Changes that wait for a free message are merged; a gateway that can't be reached gets no more than this.
constexpr std::size_t MaxOutgoing = 8192;
/// Decisions kept for the log until they are taken.
constexpr std::size_t MaxEvents = 1024;

auto isUsable(const SlotMessages &messages) -> bool
{
    return messages.queries.size() + messages.withdrawals.size() + messages.replies.size() + messages.returns.size() < MaxOutgoing;
}

} // namespace

auto SlotMessages::isEmpty() const -> bool
{
    return queries.empty() && withdrawals.empty() && replies.empty() && returns.empty();
}

SlotPermits::SlotPermits(std::string self, SlotPermitOptions options)
    : m_self(std::move(self))
    , m_options(std::move(options))
{
}

// [SECTION] Requests

auto SlotPermits::arbiter(const TargetIncarnation &target) const -> std::string
{
    return rendezvousFirst(target.id.text() + "#" + std::to_string(target.startedAtMillis), m_self, m_arbiters);
}

auto SlotPermits::sendLimit(const TargetIncarnation &target, int capacity, double crowding, TimePoint now) const -> int
{
    if (m_queryCounts.contains(target)) {
        return 0;
    }
    const int margin = m_live.empty() ? 0 : static_cast<int>(capacity * std::min(m_options.margin * crowding, 1.0));
    const auto ceiling = m_ceilings.find(target);
    return ceiling == m_ceilings.end() ? capacity - margin : std::min(capacity - margin, ceiling->second.capacity(capacity, now));
}

auto SlotPermits::countQuery(const TargetIncarnation &target, int change) -> void
{
    const auto counted = m_queryCounts.try_emplace(target, 0).first;
    counted->second += change;
    if (counted->second <= 0) {
        m_queryCounts.erase(counted);
    }
}

auto SlotPermits::pending() const -> std::size_t
{
    return m_requests.size();
}

auto SlotPermits::isUnanswered(const Query &query, TimePoint now) const -> bool
{
    return query.stage == Stage::Unanswered || (query.awaitsReply && now - query.queriedAt >= m_options.replyTimeout);
}

/// When a query that waits at its arbiter is to be repeated.
auto SlotPermits::repeatAt(const Query &query) const -> TimePoint
{
    const auto found = m_receivedFrom.find(query.arbiter);
    const bool isOwn = query.arbiter == m_self;
    const auto receivedAt = isOwn || found == m_receivedFrom.end() ? query.queriedAt : std::max(found->second, query.queriedAt);
    return isOwn ? query.queriedAt + m_options.confirmPeriod : std::min(receivedAt + m_options.repeatPeriod, query.queriedAt + m_options.confirmPeriod);
}

auto SlotPermits::state(std::uint64_t number, TimePoint now) const -> SlotState
{
    SlotState state;
    const auto found = m_requests.find(number);
    if (found == m_requests.end()) {
        return state;
    }
    bool isWaiting = false;
    bool hasUnanswered = false;
    for (const auto &query : found->second.queries) {
        if (query.stage == Stage::Granted && now - query.grantedAt < m_options.lease) {
            state.kind = SlotState::Granted;
            state.target = query.target;
            state.waited = now - found->second.since;
            return state;
        }
        if (query.stage == Stage::Rejected) {
            const bool isFirst = state.reason == SlotRejection::None;
            state.retryAfter = isFirst ? query.reply.retryAfter : std::min(state.retryAfter, query.reply.retryAfter);
            state.reason = isFirst ? query.reply.reason : state.reason;
            state.instead = isFirst ? query.reply.instead : state.instead;
        } else if (isUnanswered(query, now)) {
            hasUnanswered = true;
        } else {
            isWaiting = true;
        }
    }
    state.kind = isWaiting ? SlotState::Waiting : hasUnanswered ? SlotState::Unanswered : SlotState::Rejected;
    return state;
}

auto SlotPermits::wait(const SlotDemand &demand, const std::vector<TargetIncarnation> &targets, TimePoint now) -> std::uint64_t
{
    if (m_requests.size() >= m_options.maxQueries || targets.empty()) {
        return 0;
    }
    const auto number = ++m_lastNumber;
    auto &request = m_requests[number];
    request.demand = demand;
    request.since = now;
    for (const auto &target : targets) {
        request.queries.push_back({.target = target});
        countQuery(target, 1);
    }
    // A grant of this gateway itself removes the other queries while they are sent.
    for (std::size_t i = 0; i < request.queries.size(); ++i) {
        sendQuery(number, request, request.queries[i], false, now);
        serveChanged(now);
    }
    return number;
}

auto SlotPermits::sendQuery(std::uint64_t number, const Request &request, Query &query, bool isRepeated, TimePoint now) -> void
{
    const auto &demand = request.demand;
    SlotQuery message {.target = query.target, .number = number, .isRepeated = isRepeated};
    if (!isRepeated) {
        message.fingerprint = demand.fingerprint;
        message.account = demand.account;
        message.band = demand.band;
        message.goalIn = demand.goalAt - now;
        message.deadlineIn = std::max(demand.deadline - now, Duration::micros(1));
        message.age = std::max(now - demand.arrivedAt, Duration());
        message.tokens = demand.tokens;
        query.arbiter = arbiter(query.target);
        query.stage = Stage::Queried;
    }
    query.queriedAt = now;
    query.awaitsReply = true;
    if (query.arbiter == m_self) {
        onQuery(m_self, message, now);
    } else if (auto &outgoing = m_outgoing[query.arbiter].messages; isUsable(outgoing)) {
        outgoing.queries.push_back(std::move(message));
    }
}

auto SlotPermits::sendReturn(const std::string &arbiter, const SlotReturn &message, TimePoint now) -> void
{
    if (arbiter == m_self) {
        onReturn(m_self, message, now);
        return;
    }
    auto &returns = m_outgoing[arbiter].messages.returns;
    const auto isSame = [&](const SlotReturn &other) {
        return other.target == message.target && other.number == 0 && !other.isReported;
    };
    const auto known = message.number == 0 ? std::find_if(returns.begin(), returns.end(), isSame) : returns.end();
    if (known != returns.end()) {
        known->ended += message.ended;
        known->rejected += message.rejected;
    } else if (isUsable(m_outgoing[arbiter].messages)) {
        returns.push_back(message);
    }
}

auto SlotPermits::withdrawQuery(std::uint64_t number, const Query &query, TimePoint now) -> void
{
    if (query.stage == Stage::Granted) {
        sendReturn(query.arbiter, {.target = query.target, .number = number}, now);
        return;
    }
    // A query without an arbiter hasn't been sent: this gateway itself has granted a slot of the first target.
    if (query.stage == Stage::Rejected || query.arbiter.empty()) {
        return;
    }
    if (query.arbiter == m_self) {
        queueOf(query.target).withdraw({m_self, number}, now);
        m_unserved.insert(query.target);
        return;
    }
    auto &outgoing = m_outgoing[query.arbiter].messages;
    const auto isSame = [&](const SlotQuery &other) {
        return other.number == number && other.target == query.target;
    };
    const bool isUnsent
        = std::any_of(outgoing.queries.begin(), outgoing.queries.end(), [&](const SlotQuery &other) { return isSame(other) && !other.isRepeated; });
    std::erase_if(outgoing.queries, isSame);
    if (!isUnsent && isUsable(outgoing)) {
        outgoing.withdrawals.push_back({query.target, number});
    }
}

auto SlotPermits::used(std::uint64_t number, TimePoint now) -> void
{
    endRequest(number, true, now);
}

auto SlotPermits::withdraw(std::uint64_t number, TimePoint now) -> void
{
    endRequest(number, false, now);
}

/// Its grant is reported as used if a request was sent with it. All other queries are withdrawn.
auto SlotPermits::endRequest(std::uint64_t number, bool isGrantUsed, TimePoint now) -> void
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end()) {
        return;
    }
    const auto request = std::move(found->second);
    m_requests.erase(found);
    for (const auto &query : request.queries) {
        countQuery(query.target, -1);
        if (isGrantUsed && query.stage == Stage::Granted) {
            sendReturn(query.arbiter, {.target = query.target, .number = number, .isUsed = true}, now);
        } else {
            withdrawQuery(number, query, now);
        }
    }
    serveChanged(now);
}

auto SlotPermits::ended(const TargetIncarnation &target, bool isFull, TimePoint now) -> void
{
    if (isFull) {
        sendReturn(arbiter(target), {.target = target, .ended = 1}, now);
        serveChanged(now);
    }
}

auto SlotPermits::rejected(const TargetIncarnation &target, bool wasGranted, TimePoint now) -> void
{
    if (const auto load = m_options.load(target)) {
        m_ceilings[target].rejected(load->running, now);
        // Without a grant, the request was never announced as a run.
        sendReturn(arbiter(target), {.target = target, .rejected = 1, .isReported = !wasGranted}, now);
        serveChanged(now);
    }
}

auto SlotPermits::takeChanged() -> std::vector<std::uint64_t>
{
    return std::exchange(m_changed, {});
}

// [SECTION] Messages

auto SlotPermits::setGateways(std::set<std::string> live) -> void
{
    m_live = std::move(live);
    std::erase_if(m_outgoing, [&](const auto &outgoing) { return !m_live.contains(outgoing.first); });
    std::erase_if(m_receivedFrom, [&](const auto &received) { return !m_live.contains(received.first); });
    updateArbiters();
}

auto SlotPermits::updateArbiters() -> void
{
    std::erase_if(m_unresponsive, [&](const std::string &gateway) { return !m_live.contains(gateway); });
    m_arbiters = m_live;
    for (const auto &gateway : m_unresponsive) {
        m_arbiters.erase(gateway);
    }
}

auto SlotPermits::onReply(const SlotReply &reply, TimePoint now) -> void
{
    const auto found = m_requests.find(reply.number);
    const auto end = found == m_requests.end() ? std::vector<Query>::iterator() : found->second.queries.end();
    const auto query = found == m_requests.end()
        ? end
        : std::find_if(found->second.queries.begin(), end, [&](const Query &candidate) { return candidate.target == reply.target; });
    if (found == m_requests.end() || query == end) {
        if (reply.verdict == SlotVerdict::Granted) {
            sendReturn(arbiter(reply.target), {.target = reply.target, .number = reply.number}, now);
        }
        return;
    }
    auto &request = found->second;
    query->awaitsReply = false;
    query->reply = reply;
    switch (reply.verdict) {
    case SlotVerdict::Queued:
        query->stage = query->stage == Stage::Granted || query->stage == Stage::Rejected ? query->stage : Stage::Queued;
        return;
    case SlotVerdict::Granted: {
        query->stage = Stage::Granted;
        query->grantedAt = now;
        const auto granted = *query;
        for (const auto &other : request.queries) {
            if (other.target != reply.target) {
                countQuery(other.target, -1);
                withdrawQuery(reply.number, other, now);
            }
        }
        request.queries = {granted};
        break;
    }
    case SlotVerdict::Rejected:
        query->stage = Stage::Rejected;
        break;
    case SlotVerdict::Unknown:
        if (query->stage == Stage::Queued && !query->isResent) {
            query->isResent = true;
            sendQuery(reply.number, request, *query, false, now);
            return;
        }
        if (query->stage == Stage::Granted || query->stage == Stage::Rejected) {
            return;
        }
        query->stage = Stage::Unanswered;
        break;
    }
    m_changed.push_back(reply.number);
}

auto SlotPermits::messageReceived(const std::string &gateway, TimePoint now) -> void
{
    m_receivedFrom[gateway] = now;
    if (m_unresponsive.erase(gateway) > 0) {
        updateArbiters();
    }
}

auto SlotPermits::received(const std::string &gateway, const SlotMessages &messages, TimePoint now) -> void
{
    messageReceived(gateway, now);
    for (const auto &message : messages.returns) {
        onReturn(gateway, message, now);
    }
    for (const auto &withdrawal : messages.withdrawals) {
        const auto found = m_queues.find(withdrawal.target);
        if (found != m_queues.end()) {
            found->second.withdraw({gateway, withdrawal.number}, now);
            m_unserved.insert(withdrawal.target);
        }
    }
    for (const auto &query : messages.queries) {
        onQuery(gateway, query, now);
    }
    for (const auto &reply : messages.replies) {
        onReply(reply, now);
    }
    serveChanged(now);
}

auto SlotPermits::digestSent() -> void
{
    for (auto &[to, outgoing] : m_outgoing) {
        for (auto &message : outgoing.messages.returns) {
            message.isReported = true;
        }
    }
}

auto SlotPermits::nextMessage(TimePoint now) const -> std::optional<Duration>
{
    std::optional<Duration> next;
    for (const auto &[to, outgoing] : m_outgoing) {
        if (!outgoing.messages.isEmpty()) {
            const auto until = std::max(outgoing.mayBeSentAt - now, Duration());
            next = std::min(next.value_or(until), until);
        }
    }
    return next;
}

auto SlotPermits::takeMessages(TimePoint now) -> std::map<std::string, SlotMessages>
{
    std::map<std::string, SlotMessages> taken;
    for (auto &[to, outgoing] : m_outgoing) {
        if (outgoing.messages.isEmpty() || now < outgoing.mayBeSentAt) {
            continue;
        }
        outgoing.mayBeSentAt = now + m_options.messagePeriod;
        // The reply time begins when a query is sent, not when it is ready.
        for (const auto &query : outgoing.messages.queries) {
            const auto request = m_requests.find(query.number);
            if (request != m_requests.end()) {
                for (auto &sent : request->second.queries) {
                    sent.queriedAt = sent.target == query.target ? now : sent.queriedAt;
                }
            }
        }
        taken[to] = std::exchange(outgoing.messages, {});
    }
    return taken;
}

// [SECTION] Granting

auto SlotPermits::waiting(UrgencyBand band) const -> int
{
    int sum = 0;
    for (const auto &[target, queue] : m_queues) {
        sum += queue.waiting(band);
    }
    return sum;
}

auto SlotPermits::promises() const -> ReturnPromiseCounts
{
    ReturnPromiseCounts sum;
    for (const auto &[target, queue] : m_queues) {
        const auto &counts = queue.promises();
        sum.given += counts.given;
        sum.kept += counts.kept;
        sum.early += counts.early;
        sum.expired += counts.expired;
        sum.dropped += counts.dropped;
    }
    return sum;
}

auto SlotPermits::setAccounts(std::vector<ClientAccount> accounts) -> void
{
    m_accounts = std::move(accounts);
    for (auto &[target, queue] : m_queues) {
        queue.setAccounts(m_accounts);
    }
}

auto SlotPermits::setReportDelays(Duration ofSends, Duration ofEnds) -> void
{
    m_options.queue.sendReportDelay = ofSends;
    m_options.queue.endReportDelay = ofEnds;
    for (auto &[target, queue] : m_queues) {
        queue.setReportDelays(ofSends, ofEnds);
    }
}

auto SlotPermits::queueOf(const TargetIncarnation &target) -> SlotQueue &
{
    const auto [found, isNew] = m_queues.try_emplace(target, m_self, m_options.queue);
    if (isNew) {
        found->second.setAccounts(m_accounts);
    }
    return found->second;
}

auto SlotPermits::reply(const std::string &gateway, const SlotReply &reply, TimePoint now) -> void
{
    if (gateway == m_self) {
        onReply(reply, now);
    } else if (auto &outgoing = m_outgoing[gateway].messages; isUsable(outgoing)) {
        outgoing.replies.push_back(reply);
    }
}

auto SlotPermits::onQuery(const std::string &gateway, const SlotQuery &query, TimePoint now) -> void
{
    const SlotRequestKey key {gateway, query.number};
    const auto load = m_options.load(query.target);
    if (!load) {
        reply(gateway, {.target = query.target, .number = query.number, .verdict = SlotVerdict::Unknown}, now);
        return;
    }
    auto &queue = queueOf(query.target);
    if (query.isRepeated) {
        const bool isKnown = queue.repeat(key, now);
        reply(gateway, {.target = query.target, .number = query.number, .verdict = isKnown ? SlotVerdict::Queued : SlotVerdict::Unknown}, now);
        return;
    }
    SlotRequest request {key, query.fingerprint, query.account, query.band, now + query.goalIn, now + query.deadlineIn, now - query.age, query.tokens};
    queue.add(std::move(request), *load, now);
    m_unserved.insert(query.target);
    // Replaced below if a slot is free.
    reply(gateway, {.target = query.target, .number = query.number, .verdict = SlotVerdict::Queued}, now);
}

auto SlotPermits::onReturn(const std::string &gateway, const SlotReturn &message, TimePoint now) -> void
{
    // Without requests in the queue, the reports of the gateways are all that is needed.
    const auto found = m_queues.find(message.target);
    if (found == m_queues.end()) {
        return;
    }
    auto &queue = found->second;
    if (message.number != 0 && message.isUsed) {
        queue.used({gateway, message.number}, message.isReported, now);
    } else if (message.number != 0) {
        queue.returned({gateway, message.number}, now);
    }
    if (message.ended > 0) {
        queue.ended(gateway, message.ended, message.isReported, now);
    }
    const auto load = m_options.load(message.target);
    for (int i = 0; i < message.rejected && load; ++i) {
        queue.rejectedByTarget(gateway, *load, message.isReported, now);
    }
    m_unserved.insert(message.target);
}

/// Grants what is free, and rejects what can't be served in time.
auto SlotPermits::serve(const TargetIncarnation &target, TimePoint now) -> void
{
    const auto found = m_queues.find(target);
    if (found == m_queues.end() || found->second.waiting() == 0) {
        return;
    }
    auto &queue = found->second;
    const auto load = m_options.load(target);
    if (!load) {
        return;
    }
    const auto record = [&](SlotEvent event) {
        if (m_events.size() < MaxEvents) {
            event.target = target;
            event.waiting = static_cast<int>(queue.waiting());
            event.running = load->running;
            event.capacity = load->capacity;
            m_events.push_back(std::move(event));
        }
    };
    const auto isQueuedReply = [&](const SlotRequestKey &key) {
        return [&target, &key](const SlotReply &reply) {
            return reply.number == key.number && reply.target == target && reply.verdict == SlotVerdict::Queued;
        };
    };
    while (const auto granted = queue.grantNext(*load, now)) {
        const auto &request = granted->request;
        record({.kind = SlotEvent::Granted,
                .key = request.key,
                .band = request.band,
                .account = request.account,
                .tokens = request.tokens,
                .waited = granted->waited,
                .isReturning = granted->isReturning});
        if (request.key.gateway != m_self) {
            std::erase_if(m_outgoing[request.key.gateway].messages.replies, isQueuedReply(request.key));
        }
        reply(request.key.gateway, {.target = target, .number = request.key.number, .verdict = SlotVerdict::Granted}, now);
    }
    if (queue.waiting() > ShortQueue) {
        auto &checkedAt = m_lateCheckedAt[target];
        if (now - checkedAt < CheckPeriod) {
            return;
        }
        checkedAt = now;
    }
    for (const auto &rejected : queue.rejectLate(now)) {
        const auto &request = rejected.request;
        record({.kind = SlotEvent::Rejected,
                .key = request.key,
                .band = request.band,
                .account = request.account,
                .tokens = request.tokens,
                .expectedWait = rejected.expectedWait,
                .reason = rejected.reason,
                .instead = rejected.instead});
        if (request.key.gateway != m_self) {
            std::erase_if(m_outgoing[request.key.gateway].messages.replies, isQueuedReply(request.key));
        }
        const SlotReply message {target, request.key.number, SlotVerdict::Rejected, rejected.retryAfter, rejected.reason, toString(rejected.instead)};
        reply(request.key.gateway, message, now);
    }
}

auto SlotPermits::serveChanged(TimePoint now) -> void
{
    while (!m_unserved.empty()) {
        const auto target = *m_unserved.begin();
        m_unserved.erase(m_unserved.begin());
        serve(target, now);
    }
}

auto SlotPermits::reportReceived(const std::string &gateway, TimePoint now) -> void
{
    for (auto &[target, queue] : m_queues) {
        queue.reportReceived(gateway);
        m_unserved.insert(target);
    }
    serveChanged(now);
}

auto SlotPermits::gatewayGone(const std::string &gateway, TimePoint now) -> void
{
    for (auto &[target, queue] : m_queues) {
        queue.gatewayGone(gateway, now);
        m_unserved.insert(target);
    }
    m_outgoing.erase(gateway);
    serveChanged(now);
}

auto SlotPermits::advance(TimePoint now) -> void
{
    m_advancedAt = now;
    std::vector<std::uint64_t> numbers;
    numbers.reserve(m_requests.size());
    for (const auto &[number, request] : m_requests) {
        numbers.push_back(number);
    }
    // What waits at one arbiter is repeated in one message.
    std::set<std::string> repeating;
    for (const auto &[number, request] : m_requests) {
        for (const auto &query : request.queries) {
            if (query.stage == Stage::Queued && !query.awaitsReply && repeatAt(query) <= now) {
                repeating.insert(query.arbiter);
            }
        }
    }
    for (const auto number : numbers) {
        const auto found = m_requests.find(number);
        if (found == m_requests.end()) {
            continue;
        }
        auto &request = found->second;
        // Replies of this gateway itself may replace the queries while they are sent.
        for (std::size_t i = 0; i < request.queries.size(); ++i) {
            auto &query = request.queries[i];
            if (query.stage == Stage::Granted && now - query.grantedAt >= m_options.lease) {
                sendReturn(query.arbiter, {.target = query.target, .number = number}, now);
                sendQuery(number, request, query, false, now);
            } else if (query.awaitsReply && now - query.queriedAt >= m_options.replyTimeout) {
                query.awaitsReply = false;
                query.stage = Stage::Unanswered;
                m_changed.push_back(number);
                if (m_unresponsive.insert(query.arbiter).second) {
                    updateArbiters();
                }
            } else if (query.stage == Stage::Unanswered && query.arbiter != arbiter(query.target)) {
                sendQuery(number, request, query, false, now);
            } else if (query.stage == Stage::Queued && !query.awaitsReply && repeating.contains(query.arbiter)) {
                query.isResent = false;
                sendQuery(number, request, query, query.arbiter == arbiter(query.target), now);
            }
        }
    }
    std::erase_if(m_ceilings, [&](const auto &ceiling) {
        const auto load = m_options.load(ceiling.first);
        return !load || ceiling.second.capacity(load->capacity, now) >= load->capacity;
    });
    for (auto &[target, queue] : m_queues) {
        for (const auto &key : queue.expire(m_receivedFrom, now)) {
            if (m_events.size() < MaxEvents) {
                m_events.push_back({.kind = SlotEvent::Expired, .target = target, .key = key});
            }
        }
        m_unserved.insert(target);
    }
    serveChanged(now);
    std::erase_if(m_queues, [&](const auto &queue) { return queue.second.isIdle(now); });
    std::erase_if(m_lateCheckedAt, [&](const auto &checked) { return now - checked.second > CheckPeriod * 2; });
}

auto SlotPermits::nextAction(TimePoint now) const -> std::optional<Duration>
{
    std::optional<Duration> next;
    const auto include = [&](TimePoint at) {
        const auto until = std::max(at - now, Duration());
        next = std::min(next.value_or(until), until);
    };
    for (const auto &[number, request] : m_requests) {
        for (const auto &query : request.queries) {
            if (query.stage == Stage::Granted) {
                include(query.grantedAt + m_options.lease);
            } else if (query.awaitsReply) {
                include(query.queriedAt + m_options.replyTimeout);
            } else if (query.stage == Stage::Queued) {
                include(repeatAt(query));
            }
        }
    }
    const auto isInUse = [](const auto &queue) {
        return queue.second.waiting() > 0 || queue.second.granted() > 0;
    };
    if (std::any_of(m_queues.begin(), m_queues.end(), isInUse)) {
        include(m_advancedAt + CheckPeriod);
    }
    return next;
}

auto SlotPermits::takeEvents() -> std::vector<SlotEvent>
{
    return std::exchange(m_events, {});
}

} // namespace KingCup
