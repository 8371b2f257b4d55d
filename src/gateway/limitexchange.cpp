#include "gateway/limitexchange.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

namespace
{

/// A gateway that has been silent for longer gets no share of the limits any more: it has ended, or a new partition would be noticed by then.
constexpr auto SilentShareTime = Duration::seconds(30);
/// Shortest wait for the next permit, so that rounding can't make the timer fire in a loop.
constexpr auto MinIssueDelay = Duration::millis(1);
/// A gateway sends another query after this time, whatever the arbiter has replied: the target's limit may have been raised.
constexpr auto MaxDenial = Duration::seconds(2);
constexpr std::uint64_t MaxMicros = INT64_MAX;

template<typename Message>
auto targetOf(const Message &message) -> TargetIncarnation
{
    return {TargetId(message.target()), message.born_ms()};
}

template<typename Message>
auto writeTarget(const TargetIncarnation &target, Message &message) -> void
{
    message.set_target(target.id.text());
    message.set_born_ms(target.startedAtMillis);
}

auto writeNotice(const LimitNotice &notice, Wire::TargetLimits &message) -> void
{
    auto *added = message.add_notices();
    writeTarget(notice.target, *added);
    added->set_per_second(notice.perSecond.value_or(0));
    added->set_ended(!notice.perSecond);
    added->set_age_ms(static_cast<std::uint64_t>(std::max(notice.age.inMillis(), std::int64_t {0})));
}

/// When a query was sent, by its sender's clock.
template<typename Message>
auto senderTime(const Message &message) -> std::optional<TimePoint>
{
    if (!message.has_queried_at_us()) {
        return std::nullopt;
    }
    return TimePoint() + Duration::micros(static_cast<std::int64_t>(std::min(message.queried_at_us(), MaxMicros / 2)));
}

template<typename Message>
auto writeTime(const std::optional<TimePoint> &time, Message &message) -> void
{
    if (time) {
        message.set_queried_at_us(static_cast<std::uint64_t>(std::max((*time - TimePoint()).inMicros(), std::int64_t {0})));
    }
}

auto isValidRate(double perSecond) -> bool
{
    return std::isfinite(perSecond) && perSecond >= 0;
}

} // namespace

LimitExchange::LimitExchange(LimitExchangeParts parts, std::string self, LimitExchangeHooks hooks)
    : m_parts(parts)
    , m_hooks(std::move(hooks))
    , m_permits(std::move(self))
{
}

auto LimitExchange::perSecond(const TargetIncarnation &target) const -> std::optional<double>
{
    return m_limits.perSecond(target);
}

auto LimitExchange::maySend(const TargetIncarnation &target) const -> bool
{
    return !m_limits.perSecond(target) || m_permits.has(target, m_parts.loop.now());
}

auto LimitExchange::wanted(const TargetIncarnation &target, bool isWaiting) -> PermitState
{
    const auto limit = m_limits.perSecond(target);
    if (!limit) {
        return PermitState::Held;
    }
    const auto state = m_permits.wanted(target, *limit, isWaiting, m_parts.loop.now());
    flush();
    return state;
}

auto LimitExchange::sent(const TargetIncarnation &target) -> void
{
    if (m_limits.perSecond(target)) {
        m_permits.used(target, m_parts.loop.now());
        m_parts.metrics.add("target_permits_used_total");
        flush();
    }
}

auto LimitExchange::answerReceived(const TargetIncarnation &target, std::optional<double> perSecond, TimePoint sentAt) -> void
{
    const auto now = m_parts.loop.now();
    if (!m_limits.answerReceived(target, perSecond, sentAt, now)) {
        return;
    }
    logChange(target, "answer");
    Wire::ControlFrame frame;
    writeNotice({target, perSecond, Duration()}, *frame.mutable_target_limits());
    m_parts.peers.sendAll(frame);
}

auto LimitExchange::logChange(const TargetIncarnation &target, const char *source) -> void
{
    const auto limit = m_limits.perSecond(target);
    m_parts.log.line("targets", limit ? "limit-announced" : "limit-ended")
        .add("target", target.id.text())
        .add("born", target.startedAtMillis)
        .add("per-second", limit.value_or(0))
        .add("source", source)
        .add("arbiter", m_permits.arbiter(target));
    m_parts.metrics.add(limit ? "target_limits_announced_total" : "target_limits_ended_total");
    if (!limit) {
        m_permits.drop(target);
        m_hooks.onPermit();
    }
}

auto LimitExchange::advance() -> void
{
    m_limits.expire(m_parts.loop.now());
    m_permits.setGateways(m_parts.peers.live(), m_parts.peers.silent(SilentShareTime));
    issueDue();
}

auto LimitExchange::greeting() const -> std::optional<Wire::ControlFrame>
{
    const auto notices = m_limits.notices(m_parts.loop.now());
    if (notices.empty()) {
        return std::nullopt;
    }
    Wire::ControlFrame frame;
    for (const auto &notice : notices) {
        writeNotice(notice, *frame.mutable_target_limits());
    }
    return frame;
}

auto LimitExchange::onMessage(const std::string &id, const Wire::TargetLimits &message) -> void
{
    const auto now = m_parts.loop.now();
    for (const auto &notice : message.notices()) {
        if (!notice.ended() && !isValidRate(notice.per_second())) {
            m_parts.log.line("targets", "limit-malformed").add("target", notice.target()).add("source", id);
            continue;
        }
        const auto limit = notice.ended() ? std::nullopt : std::optional(notice.per_second());
        const auto age = Duration::millis(static_cast<std::int64_t>(std::min(notice.age_ms(), static_cast<std::uint64_t>(UINT32_MAX))));
        if (m_limits.noticeReceived({targetOf(notice), limit, age}, now)) {
            logChange(targetOf(notice), id.c_str());
        }
    }
    for (const auto &query : message.queries()) {
        // The arbiter may know a later limit than the gateway that sent the query.
        const double limit = m_limits.perSecond(targetOf(query)).value_or(query.per_second());
        if (isValidRate(limit)) {
            m_permits.queryReceived(id, {targetOf(query), limit, query.waiting(), senderTime(query)}, now);
        }
    }
    for (const auto &reply : message.replies()) {
        const auto availableIn = std::min(Duration::micros(static_cast<std::int64_t>(std::min(reply.available_in_us(), MaxMicros))), MaxDenial);
        m_permits.replied(id, {targetOf(reply), reply.granted(), availableIn, senderTime(reply)}, now);
    }
    for (const auto &target : message.elsewhere()) {
        m_permits.queriedElsewhere(id, targetOf(target), now);
    }
    flush();
    if (message.replies_size() > 0) {
        m_hooks.onPermit();
    }
}

/// Issues the permits that are due, also to this gateway itself, and sends them.
auto LimitExchange::issueDue() -> void
{
    const int issued = m_permits.issue(m_parts.loop.now());
    flush();
    if (issued > 0) {
        m_hooks.onPermit();
    }
}

/// Sends what is pending, and sets the timer for the next permit.
auto LimitExchange::flush() -> void
{
    for (const auto &[to, messages] : m_permits.takeMessages()) {
        Wire::ControlFrame frame;
        auto *limits = frame.mutable_target_limits();
        for (const auto &query : messages.queries) {
            auto *added = limits->add_queries();
            writeTarget(query.target, *added);
            added->set_per_second(query.perSecond);
            added->set_waiting(query.isWaiting);
            writeTime(query.at, *added);
        }
        for (const auto &reply : messages.replies) {
            auto *added = limits->add_replies();
            writeTarget(reply.target, *added);
            added->set_granted(reply.isGranted);
            added->set_available_in_us(static_cast<std::uint64_t>(std::max(reply.availableIn.inMicros(), std::int64_t {0})));
            writeTime(reply.queriedAt, *added);
        }
        for (const auto &target : messages.elsewhere) {
            writeTarget(target, *limits->add_elsewhere());
        }
        m_parts.peers.send(to, frame);
    }
    if (const auto next = m_permits.nextIssue(m_parts.loop.now())) {
        m_issueTimer = m_parts.loop.after(std::max(*next, MinIssueDelay), [this] { issueDue(); });
    }
}

} // namespace KingCup
