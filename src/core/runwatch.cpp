#include "core/runwatch.h"

#include <algorithm>
#include <utility>

namespace KingCup
{

auto toString(TargetSign sign) -> const char *
{
    switch (sign) {
    case TargetSign::Alive:
        return "alive";
    case TargetSign::Replaced:
        return "replaced";
    case TargetSign::Refused:
        return "refused";
    case TargetSign::Unconnected:
        return "unconnected";
    case TargetSign::Unanswered:
        return "unanswered";
    }
    return "";
}

auto toString(RunOutcome end) -> const char *
{
    switch (end) {
    case RunOutcome::TargetEnded:
        return "target-ended";
    case RunOutcome::TargetLeft:
        return "target-left";
    case RunOutcome::TargetLives:
        return "target-lives";
    case RunOutcome::Unknown:
        return "unknown";
    }
    return "";
}

RunWatch::RunWatch(RunWatchOptions options)
    : m_options(options)
{
}

auto RunWatch::isIdle() const -> bool
{
    return m_targets.empty() && m_lost.empty();
}

auto RunWatch::find(SendId run) -> Targets::iterator
{
    const auto found = m_runs.find(run.value());
    return found == m_runs.end() ? m_targets.end() : m_targets.find(found->second);
}

// [SECTION] Runs

auto RunWatch::sent(SendId run, const WatchedTarget &target, Subjects subjects, TimePoint now) -> void
{
    auto [found, isNew] = m_targets.try_emplace(target.incarnation);
    auto &state = found->second;
    if (isNew) {
        state.service = target.service;
        state.address = target.address;
        state.heardAt = now;
    }
    state.open[run] = {.sentAt = now, .subjects = std::move(subjects)};
    m_runs[run.value()] = target.incarnation;
}

auto RunWatch::OpenRun::suspects() const -> CrashSubjects
{
    auto all = subjects();
    if (isSound) {
        all.parts.clear();
    }
    return all;
}

auto RunWatch::received(SendId run, TimePoint now) -> bool
{
    const auto target = find(run);
    if (target == m_targets.end()) {
        return false;
    }
    target->second.heardAt = now;
    showsLife(target, now - m_options.readDelay);
    auto &open = target->second.open.at(run);
    open.answeredSince = open.answeredSince.value_or(now);
    return !std::exchange(open.isSound, open.isSound || now - *open.answeredSince >= m_options.soundAfter) && open.isSound;
}

auto RunWatch::answered(SendId run, TimePoint now) -> void
{
    m_lost.erase(run);
    const auto target = find(run);
    if (target == m_targets.end()) {
        return;
    }
    const auto open = target->second.open.extract(run);
    m_runs.erase(run.value());
    target->second.heardAt = now;
    showsLife(target, open.empty() ? TimePoint() : open.mapped().sentAt);
    dropIfIdle(target);
}

auto RunWatch::notSent(SendId run) -> void
{
    m_lost.erase(run);
    const auto target = find(run);
    if (target == m_targets.end()) {
        return;
    }
    target->second.open.erase(run);
    m_runs.erase(run.value());
    dropIfIdle(target);
}

auto RunWatch::broke(SendId run, TimePoint now) -> void
{
    end(run, true, now);
}

auto RunWatch::abandoned(SendId run, TimePoint now) -> void
{
    end(run, false, now);
}

auto RunWatch::end(SendId run, bool isBroken, TimePoint now) -> void
{
    countLost(run);
    const auto target = find(run);
    if (target == m_targets.end()) {
        return;
    }
    auto &state = target->second;
    const auto open = state.open.extract(run);
    m_runs.erase(run.value());
    if (!open.empty() && m_ended < m_options.maxEnded) {
        state.ended.push_back({run, open.mapped().suspects(), now});
        ++m_ended;
    }
    state.isSuspected = state.isSuspected || isBroken;
    dropIfIdle(target);
}

// [SECTION] Targets

auto RunWatch::targetLeaving(const TargetIncarnation &target) -> void
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.isLeaving = true;
    }
}

auto RunWatch::addressTaken(const Endpoint &address, const TargetIncarnation &target) -> void
{
    for (auto entry = m_targets.begin(); entry != m_targets.end();) {
        const auto known = entry++;
        if (known->second.address != address) {
            continue;
        }
        if (known->first.id == target.id && known->first.startedAtMillis < target.startedAtMillis) {
            hasEnded(known, false); // a check couldn't tell the two starts apart
        } else if (known->first.id != target.id) {
            known->second.isSuspected = true; // rows may arrive late and out of order, so that it is checked
        }
    }
}

auto RunWatch::replaced(const TargetIncarnation &target) -> void
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        hasEnded(found, true);
    }
}

auto RunWatch::isCheckDue(const Target &target, TimePoint now) const -> bool
{
    if (target.isBeingChecked || now < target.nextCheckAt) {
        return false;
    }
    return target.isSuspected || now - target.heardAt >= m_options.maxSilence;
}

auto RunWatch::checksDue(TimePoint now) -> std::vector<WatchedTarget>
{
    std::vector<WatchedTarget> due;
    for (auto &[incarnation, target] : m_targets) {
        if (isCheckDue(target, now)) {
            target.isBeingChecked = true;
            due.push_back({incarnation, target.service, target.address});
        }
    }
    return due;
}

auto RunWatch::checked(const TargetIncarnation &target, TargetSign sign, TimePoint startedAt, TimePoint now) -> void
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    auto &state = found->second;
    state.isBeingChecked = false;
    state.nextCheckAt = now + m_options.checkPeriod;
    state.unconnected = sign == TargetSign::Unconnected ? state.unconnected + 1 : 0;
    state.unanswered = sign == TargetSign::Unanswered ? state.unanswered + 1 : 0;
    if (sign == TargetSign::Alive) {
        state.heardAt = now;
        showsLife(found, startedAt);
        dropIfIdle(found);
        return;
    }
    const bool isOver = sign == TargetSign::Replaced || sign == TargetSign::Refused || state.unconnected >= m_options.unconnectedChecks
        || state.unanswered >= m_options.unansweredChecks;
    if (isOver) {
        hasEnded(found, sign == TargetSign::Replaced);
    } else {
        state.isSuspected = true;
    }
}

/// The target has answered what was sent at `sentAt`: runs that ended before didn't end it.
auto RunWatch::showsLife(Targets::iterator target, TimePoint sentAt) -> void
{
    auto &state = target->second;
    std::erase_if(state.ended, [&](const EndedRun &run) {
        if (run.endedAt > sentAt) {
            return false;
        }
        m_verdicts.push_back({run.run, run.subjects, target->first, RunOutcome::TargetLives, state.heardAt});
        --m_ended;
        return true;
    });
    if (state.ended.empty()) {
        state.isSuspected = false;
        state.unconnected = 0;
        state.unanswered = 0;
    }
}

auto RunWatch::hasEnded(Targets::iterator target, bool isReplaced) -> void
{
    auto &state = target->second;
    const auto end = state.isLeaving ? RunOutcome::TargetLeft : RunOutcome::TargetEnded;
    for (const auto &run : state.ended) {
        m_verdicts.push_back({run.run, run.subjects, target->first, end, state.heardAt});
    }
    for (auto &[run, open] : state.open) {
        m_runs.erase(run.value());
        m_lost[run] = {target->first, std::move(open), end, state.heardAt, std::nullopt};
        if (!isReplaced) {
            countLost(run);
        }
    }
    m_ended -= state.ended.size();
    m_targets.erase(target);
}

auto RunWatch::countLost(SendId run) -> void
{
    const auto lost = m_lost.extract(run);
    if (!lost.empty()) {
        m_verdicts.push_back({run, lost.mapped().run.suspects(), lost.mapped().target, lost.mapped().end, lost.mapped().lastSign});
    }
}

auto RunWatch::dropIfIdle(Targets::iterator target) -> void
{
    if (target->second.open.empty() && target->second.ended.empty()) {
        m_targets.erase(target);
    }
}

// [SECTION] Results

auto RunWatch::takeVerdicts(TimePoint now) -> std::vector<RunVerdict>
{
    for (auto lost = m_lost.begin(); lost != m_lost.end();) {
        const auto run = lost->first;
        lost->second.countsAt = lost->second.countsAt.value_or(now + m_options.refusalTime);
        const bool isCounted = now >= *lost->second.countsAt;
        ++lost;
        if (isCounted) {
            countLost(run);
        }
    }
    if (m_ended == 0) {
        return std::exchange(m_verdicts, {});
    }
    for (auto target = m_targets.begin(); target != m_targets.end();) {
        std::erase_if(target->second.ended, [&](const EndedRun &run) {
            if (now - run.endedAt < m_options.maxUnresolved) {
                return false;
            }
            m_verdicts.push_back({run.run, run.subjects, target->first, RunOutcome::Unknown, target->second.heardAt});
            --m_ended;
            return true;
        });
        const auto next = std::next(target);
        dropIfIdle(target);
        target = next;
    }
    return std::exchange(m_verdicts, {});
}

} // namespace KingCup
