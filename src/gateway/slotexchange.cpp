#include "gateway/slotexchange.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace KingCup
{

namespace
{

/// Shortest wait until the next action, so that rounding can't make a timer fire in a loop.
constexpr auto MinDelay = Duration::millis(1);
/// Lines of decisions in one second. The overload of a fleet rejects hundreds of requests a second, each of which has a line at the gateway that holds it.
constexpr int MaxLinesPerSecond = 50;
/// The longest time until a sum of the load of all gateways includes a send: a report (50 ms), the sum (50 ms) and a relay.
constexpr auto LongestSumDelay = Duration::millis(150);
/// A short one, with which ends are counted. With the longest one, ends count twice: in a simulation of 100 gateways, 83 of 3,128 streams were preempted
/// instead of 9.
constexpr auto ShortestSumDelay = Duration::millis(60);
/// Longer than the longest period of digests. A digest that arrives sooner states by itself what it includes.
constexpr auto DigestDelay = Duration::millis(1200);
/// Times in messages are clamped to this: deadlines of requests are shorter.
constexpr std::int64_t MaxMicros = 3'600'000'000;
constexpr std::size_t MaxAccountSeries = 128; ///< accounts that have a time series of their own
constexpr std::size_t MaxNameLength = 256; ///< of accounts and requests in messages

auto toDuration(std::uint64_t micros) -> Duration
{
    return Duration::micros(static_cast<std::int64_t>(std::min(micros, static_cast<std::uint64_t>(MaxMicros))));
}

auto toMicros(Duration span) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::clamp(span.inMicros(), std::int64_t {0}, MaxMicros));
}

template<typename Message>
auto writeTarget(const TargetIncarnation &target, Message &message) -> void
{
    message.set_target(TargetNames::hash(target.id));
    message.set_born_ms(target.startedAtMillis);
}

/// Nothing: the target isn't known here.
template<typename Message>
auto targetOf(const Message &message, const TargetNames &names) -> std::optional<TargetIncarnation>
{
    const auto *known = names.find(message.target());
    return known == nullptr ? std::nullopt : std::optional(TargetIncarnation {*known, message.born_ms()});
}

auto bandLabel(UrgencyBand band) -> std::string
{
    return "{band=\"" + std::to_string(static_cast<int>(band)) + "\"}";
}

auto writeQuery(const SlotQuery &query, Wire::SlotPermits::Query &message) -> void
{
    writeTarget(query.target, message);
    message.set_request(query.number);
    if (query.isRepeated) {
        return;
    }
    message.set_fingerprint(query.fingerprint);
    message.set_account(query.account.text());
    message.set_band(static_cast<std::uint32_t>(query.band));
    message.set_goal_in_us(std::clamp(query.goalIn.inMicros(), -MaxMicros, MaxMicros));
    message.set_deadline_in_us(std::max(toMicros(query.deadlineIn), std::uint64_t {1}));
    message.set_age_us(toMicros(query.age));
    message.set_tokens(static_cast<std::uint32_t>(std::max(query.tokens, 0)));
}

auto queryOf(const Wire::SlotPermits::Query &message, const TargetIncarnation &target) -> SlotQuery
{
    SlotQuery query;
    query.target = target;
    query.number = message.request();
    query.isRepeated = message.deadline_in_us() == 0;
    query.fingerprint = message.fingerprint();
    query.account = AccountName(message.account().substr(0, MaxNameLength));
    query.band = static_cast<UrgencyBand>(std::min(message.band(), static_cast<std::uint32_t>(UrgencyBandCount - 1)));
    query.goalIn = Duration::micros(std::clamp(static_cast<std::int64_t>(message.goal_in_us()), -MaxMicros, MaxMicros));
    query.deadlineIn = toDuration(message.deadline_in_us());
    query.age = toDuration(message.age_us());
    query.tokens = static_cast<int>(std::min(message.tokens(), static_cast<std::uint32_t>(std::numeric_limits<int>::max())));
    return query;
}

auto writeReply(const SlotReply &reply, Wire::SlotPermits::Reply &message) -> void
{
    writeTarget(reply.target, message);
    message.set_request(reply.number);
    message.set_verdict(static_cast<Wire::SlotPermits::Verdict>(reply.verdict));
    message.set_retry_after_us(toMicros(reply.retryAfter));
    message.set_reason(static_cast<std::uint32_t>(reply.reason));
    message.set_instead(reply.instead);
}

auto replyOf(const Wire::SlotPermits::Reply &message, const TargetIncarnation &target) -> SlotReply
{
    SlotReply reply;
    reply.target = target;
    reply.number = message.request();
    const bool isKnown = message.verdict() >= Wire::SlotPermits::VERDICT_QUEUED && message.verdict() <= Wire::SlotPermits::VERDICT_UNKNOWN;
    reply.verdict = isKnown ? static_cast<SlotVerdict>(message.verdict()) : SlotVerdict::Unknown;
    reply.retryAfter = toDuration(message.retry_after_us());
    reply.reason = message.reason() == static_cast<std::uint32_t>(SlotRejection::QueueFull) ? SlotRejection::QueueFull : SlotRejection::TooLate;
    reply.instead = message.instead().substr(0, MaxNameLength);
    return reply;
}

auto writeReturn(const SlotReturn &returned, Wire::SlotPermits::Return &message) -> void
{
    writeTarget(returned.target, message);
    message.set_request(returned.number);
    message.set_used(returned.isUsed);
    message.set_ended(static_cast<std::uint32_t>(returned.ended));
    message.set_rejected(static_cast<std::uint32_t>(returned.rejected));
    message.set_reported(returned.isReported);
}

auto returnOf(const Wire::SlotPermits::Return &message, const TargetIncarnation &target) -> SlotReturn
{
    constexpr std::uint32_t MaxRuns = 4096; // more than a target has slots
    SlotReturn returned;
    returned.target = target;
    returned.number = message.request();
    returned.isUsed = message.used();
    returned.ended = static_cast<int>(std::min(message.ended(), MaxRuns));
    returned.rejected = static_cast<int>(std::min(message.rejected(), MaxRuns));
    returned.isReported = message.reported();
    return returned;
}

auto permitOptions(std::function<std::optional<SlotLoad>(const TargetIncarnation &target)> load) -> SlotPermitOptions
{
    SlotPermitOptions options;
    options.load = std::move(load);
    return options;
}

} // namespace

SlotExchange::SlotExchange(SlotExchangeParts parts, std::string self)
    : m_parts(parts)
    , m_self(self)
    , m_permits(std::move(self), permitOptions([this](const TargetIncarnation &target) { return load(target); }))
{
}

auto SlotExchange::load(const TargetIncarnation &target) const -> std::optional<SlotLoad>
{
    const auto *description = m_parts.dispatcher.description(target.id);
    if (description == nullptr || description->incarnation != target) {
        return std::nullopt;
    }
    const double slotSeconds = m_parts.dispatcher.requestCost().slotSeconds();
    SlotLoad load;
    load.capacity = m_parts.dispatcher.capacity(target.id);
    load.running = m_parts.dispatcher.running(target.id, m_parts.loop.now());
    load.assumedPerSecond = slotSeconds > 0 ? 1 / slotSeconds : load.assumedPerSecond;
    return load;
}

auto SlotExchange::sendLimit(const TargetIncarnation &target, int capacity, double crowding) const -> int
{
    return m_permits.sendLimit(target, capacity, crowding, m_parts.loop.now());
}

auto SlotExchange::state(std::uint64_t number) const -> SlotState
{
    return m_permits.state(number, m_parts.loop.now());
}

auto SlotExchange::arbiter(const TargetIncarnation &target) const -> std::string
{
    return m_permits.arbiter(target);
}

auto SlotExchange::self() const -> const std::string &
{
    return m_self;
}

auto SlotExchange::wait(const SlotDemand &demand, const std::vector<TargetIncarnation> &targets, std::function<void()> onChange) -> std::uint64_t
{
    const auto number = m_permits.wait(demand, targets, m_parts.loop.now());
    if (number != 0) {
        m_onChange[number] = std::move(onChange);
        m_parts.metrics.add("slot_queries_total", static_cast<double>(targets.size()));
    }
    flush();
    return number;
}

auto SlotExchange::used(std::uint64_t number) -> void
{
    m_onChange.erase(number);
    m_permits.used(number, m_parts.loop.now());
    m_parts.metrics.add("slot_grants_used_total");
    flush();
}

auto SlotExchange::withdraw(std::uint64_t number) -> void
{
    m_onChange.erase(number);
    m_permits.withdraw(number, m_parts.loop.now());
    flush();
}

auto SlotExchange::ended(const TargetIncarnation &target, bool wasFull) -> void
{
    m_permits.ended(target, wasFull, m_parts.loop.now());
    if (wasFull) {
        flush();
    }
}

auto SlotExchange::rejected(const TargetIncarnation &target, bool wasGranted) -> void
{
    m_permits.rejected(target, wasGranted, m_parts.loop.now());
    m_parts.metrics.add("slot_target_rejections_total");
    flush();
}

auto SlotExchange::setAccounts(const std::vector<ClientAccount> &accounts) -> void
{
    m_accounts.clear();
    for (std::size_t i = 0; i < std::min(accounts.size(), MaxAccountSeries); ++i) {
        m_accounts.insert(accounts[i].name);
    }
    m_permits.setAccounts(accounts);
}

auto SlotExchange::setDirectReports(bool isDirect) -> void
{
    m_permits.setReportDelays(isDirect ? DigestDelay : LongestSumDelay, isDirect ? DigestDelay : ShortestSumDelay);
}

auto SlotExchange::digestSent() -> void
{
    m_permits.digestSent();
}

auto SlotExchange::onDigest(const std::string &id) -> void
{
    m_permits.reportReceived(id, m_parts.loop.now());
    flush();
}

auto SlotExchange::onReports() -> void
{
    act();
}

auto SlotExchange::onSilent(const std::string &id) -> void
{
    m_permits.gatewayGone(id, m_parts.loop.now());
    flush();
}

auto SlotExchange::advance() -> void
{
    m_permits.setGateways(m_parts.peers.live());
    updateMetrics();
    act();
}

auto SlotExchange::messageReceived(const std::string &id) -> void
{
    m_permits.messageReceived(id, m_parts.loop.now());
}

auto SlotExchange::onMessage(const std::string &id, const Wire::SlotPermits &message) -> void
{
    SlotMessages messages;
    // A query for a target that isn't known here gets no reply: its gateway then decides by its own view.
    for (const auto &query : message.queries()) {
        if (const auto target = targetOf(query, m_parts.names)) {
            messages.queries.push_back(queryOf(query, *target));
        }
    }
    for (const auto &withdrawal : message.withdrawals()) {
        if (const auto target = targetOf(withdrawal, m_parts.names)) {
            messages.withdrawals.push_back({*target, withdrawal.request()});
        }
    }
    for (const auto &reply : message.replies()) {
        if (const auto target = targetOf(reply, m_parts.names)) {
            messages.replies.push_back(replyOf(reply, *target));
        }
    }
    for (const auto &returned : message.returns()) {
        if (const auto target = targetOf(returned, m_parts.names)) {
            messages.returns.push_back(returnOf(returned, *target));
        }
    }
    m_permits.received(id, messages, m_parts.loop.now());
    flush();
}

auto SlotExchange::act() -> void
{
    m_permits.advance(m_parts.loop.now());
    flush();
}

/// Sends what may be sent, sets the timers, and arranges for the calls of requests whose state has changed.
auto SlotExchange::flush() -> void
{
    const auto now = m_parts.loop.now();
    for (const auto &[to, messages] : m_permits.takeMessages(now)) {
        send(to, messages);
    }
    logEvents();
    if (const auto next = m_permits.nextMessage(now)) {
        m_messageTimer = m_parts.loop.after(std::max(*next, MinDelay), [this] { flush(); });
    }
    if (const auto next = m_permits.nextAction(now)) {
        m_actionTimer = m_parts.loop.after(std::max(*next, MinDelay), [this] { act(); });
    }
    const auto changed = m_permits.takeChanged();
    m_changed.insert(m_changed.end(), changed.begin(), changed.end());
    // Requests aren't called from within their own calls.
    if (!m_changed.empty() && !m_notifyTimer.isActive()) {
        m_notifyTimer = m_parts.loop.after(Duration(), [this] { notify(); });
    }
}

auto SlotExchange::notify() -> void
{
    for (const auto number : std::exchange(m_changed, {})) {
        const auto found = m_onChange.find(number);
        if (found != m_onChange.end()) {
            const auto onChange = found->second; // the call may remove it
            onChange();
        }
    }
}

auto SlotExchange::send(const std::string &to, const SlotMessages &messages) -> void
{
    Wire::ControlFrame frame;
    auto *permits = frame.mutable_slot_permits();
    for (const auto &query : messages.queries) {
        writeQuery(query, *permits->add_queries());
    }
    for (const auto &withdrawal : messages.withdrawals) {
        auto *added = permits->add_withdrawals();
        writeTarget(withdrawal.target, *added);
        added->set_request(withdrawal.number);
    }
    for (const auto &reply : messages.replies) {
        writeReply(reply, *permits->add_replies());
    }
    for (const auto &returned : messages.returns) {
        writeReturn(returned, *permits->add_returns());
    }
    m_parts.peers.send(to, frame);
    m_parts.metrics.add("slot_messages_total");
}

/// The lines of an arbiter name requests by gateway and number; the lines of the gateway that holds a request add its id.
auto SlotExchange::logEvents() -> void
{
    const auto now = m_parts.loop.now();
    for (const auto &event : m_permits.takeEvents()) {
        const auto *name = event.kind == SlotEvent::Granted ? "issued" : event.kind == SlotEvent::Rejected ? "refused" : "expired";
        const auto label = bandLabel(event.band);
        if (event.kind == SlotEvent::Granted) {
            m_parts.metrics.add("slots_granted_total" + label);
            const bool isDeclared = m_accounts.contains(event.account);
            m_parts.metrics.add("slots_granted_tokens_total{account=\"" + (isDeclared ? event.account.text() : "other") + "\"}", event.tokens);
            m_parts.metrics.observe("slot_wait_seconds" + label, event.waited.inSeconds());
        } else if (event.kind == SlotEvent::Rejected) {
            m_parts.metrics.add("slots_rejected_total{band=\"" + std::to_string(static_cast<int>(event.band)) + "\",reason=\"" + toString(event.reason)
                                + "\"}");
        } else {
            m_parts.metrics.add("slot_grants_expired_total");
        }
        if (now - m_logSecond >= Duration::seconds(1)) {
            if (m_suppressed > 0) {
                m_parts.log.line("slots", "lines-omitted").add("lines", m_suppressed);
            }
            m_logSecond = now;
            m_linesInSecond = 0;
            m_suppressed = 0;
        }
        if (m_linesInSecond >= MaxLinesPerSecond) {
            ++m_suppressed;
            continue;
        }
        ++m_linesInSecond;
        auto line = m_parts.log.line("slots", name);
        line.add("request", toString(event.key)).add("target", event.target.id.text()).add("born", event.target.startedAtMillis);
        if (event.kind == SlotEvent::Expired) {
            continue;
        }
        line.add("band", static_cast<int>(event.band))
            .add("account", event.account.isEmpty() ? "-" : event.account.text())
            .add("tokens", event.tokens)
            .add("waiting", event.waiting)
            .add("running", event.running)
            .add("capacity", event.capacity);
        if (event.kind == SlotEvent::Granted) {
            line.add("waited", event.waited).add("returning", event.isReturning);
        } else {
            line.add("why", toString(event.reason)).add("expected-wait", event.expectedWait).add("instead", toString(event.instead));
        }
    }
}

auto SlotExchange::updateMetrics() -> void
{
    for (std::size_t band = 0; band < UrgencyBandCount; ++band) {
        const auto value = static_cast<UrgencyBand>(band);
        m_parts.metrics.set("slots_waiting" + bandLabel(value), m_permits.waiting(value));
    }
    const auto promises = m_permits.promises();
    m_parts.metrics.set("return_promises_given", static_cast<double>(promises.given));
    m_parts.metrics.set("return_promises_kept", static_cast<double>(promises.kept));
    m_parts.metrics.set("return_promises_expired", static_cast<double>(promises.expired));
}

} // namespace KingCup
