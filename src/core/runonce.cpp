#include "core/runonce.h"

#include "core/commitqueue.h"

#include <algorithm>
#include <deque>
#include <map>

namespace KingCup
{

namespace
{

enum class Phase {
    Claiming, ///< the claim is waiting to be written, or its write is in flight
    Checking, ///< the row exists; it is being read
    ClaimedElsewhere, ///< another attempt has claimed the key; the row is read again every pollPeriod
    Running, ///< claimed by this agent; a send was forwarded
    Recording, ///< the run was answered; its record is waiting to be written, or the write is in flight
    Releasing, ///< claimed but not run; the release is waiting to be written, or the write is in flight
    Remembered, ///< ended; the result is kept in memory
};

/// The state of one key.
struct KeyEntry {
    Phase phase = Phase::Claiming;
    std::deque<RunOnceSend> waiting;
    std::optional<SendId> forwardedSend; ///< Running: the send that was forwarded
    AttemptId attempt; ///< attempt id of the own claim
    RowVersion version; ///< Claiming: the version that the write expects; later the version of the claim's row
    std::int64_t keepUntilMs = 0;
    bool inFlight = false; ///< Claiming: the claim's write is in a transaction that has no answer yet
    bool wasLost = false; ///< Claiming: the answer to a transaction with the claim's write was lost
    std::optional<TimePoint> readAt; ///< Checking, ClaimedElsewhere: when to read the row
    bool readSent = false;
    std::optional<RunRecord> record; ///< Recording, Remembered: the answer of the run; none if it is unknown whether the request ran

    auto maybeWritten() const -> bool
    {
        return inFlight || wasLost;
    }
};

auto recordBytes(const RunRecord &record) -> std::size_t
{
    std::size_t sum = record.body.size();
    for (const auto &[name, value] : record.headers) {
        sum += name.size() + value.size();
    }
    return sum;
}

auto dropOversizedContent(const RunRecord &record, std::size_t maxBytes) -> RunRecord
{
    if (recordBytes(record) <= maxBytes) {
        return record;
    }
    return RunRecord {.status = record.status, .headers = {}, .body = {}, .isWhole = false};
}

} // namespace

struct RunOnce::Private {
    Private(RunOnceSettings givenSettings, std::string givenClaimant)
        : settings(givenSettings)
        , claimant(std::move(givenClaimant))
        , queue(CommitSettings {.writesPerSecond = givenSettings.writesPerSecond,
                                .minWritesPerSecond = givenSettings.minWritesPerSecond,
                                .maxWritesPerSecond = givenSettings.maxWritesPerSecond,
                                .batchesInFlight = givenSettings.batchesInFlight,
                                .retryDelay = givenSettings.retryDelay})
    {
    }

    RunOnceSettings settings;
    std::string claimant;
    std::uint64_t attempts = 0;
    std::uint64_t reads = 0;
    CommitQueue queue;
    std::map<std::string, KeyEntry> keys; ///< by row key
    std::map<SendId, std::string> rowOf; ///< row key by send, for sends that wait or run
    std::map<ReadId, std::vector<std::string>> readsInFlight;
    std::deque<std::string> remembered; ///< row keys in phase Remembered, oldest first
    /// Row keys by the time at which a send's deadline ends or a read is due. Entries may be outdated: the row's state is checked before it is acted upon.
    std::multimap<TimePoint, std::string> deadlineHints;
    std::multimap<TimePoint, std::string> readHints;
    RunOnceActions actions; ///< result of the event that is being handled

    auto takeActions(TimePoint now) -> RunOnceActions;
    auto startClaim(const std::string &row, KeyEntry &entry, RowVersion expect, TimePoint now) -> void;
    auto claimed(const std::string &row, KeyEntry &entry, RowVersion version, TimePoint now) -> void;
    auto forwardNext(const std::string &row, KeyEntry &entry, TimePoint now) -> void;
    auto release(const std::string &row, KeyEntry &entry, TimePoint now) -> void;
    auto released(const std::string &row, KeyEntry &entry, TimePoint now) -> void;
    auto keepInMemory(const std::string &row, KeyEntry &entry) -> void;
    auto dropRow(const std::string &row) -> void;
    auto clearInFlight(const std::vector<std::string> &rows) -> void;
    auto committed(const std::string &row, RowVersion version, TimePoint now) -> void;
    auto conflicted(const std::string &row, TimePoint now) -> void;
    auto refused(const std::string &row) -> void;
    auto lost(const std::string &row) -> void;
    auto rowRead(const std::string &row, KeyEntry &entry, const TableRow *found, TimePoint now) -> void;
    auto answerAll(KeyEntry &entry) -> void;
    auto answerNotRunAll(KeyEntry &entry, const std::string &code) -> void;
    auto expire(const std::string &row, KeyEntry &entry, TimePoint now) -> void;
    auto answerExpired(const KeyEntry &entry, SendId send) -> void;
    auto scheduleRead(const std::string &row, KeyEntry &entry, TimePoint when) -> void;
    auto readDue(TimePoint now) -> void;
};

RunOnce::RunOnce(RunOnceSettings settings, std::string claimant)
    : d(std::make_unique<Private>(settings, std::move(claimant)))
{
}

RunOnce::~RunOnce() = default;

// ---- answers

auto RunOnce::Private::answerAll(KeyEntry &entry) -> void
{
    for (const auto &send : entry.waiting) {
        rowOf.erase(send.send);
        if (!entry.record) {
            actions.emplace_back(AnswerUnknown {send.send, "run-lost"});
        } else if (!entry.record->isWhole) {
            actions.emplace_back(AnswerUnknown {send.send, "record-too-large"});
        } else {
            actions.emplace_back(AnswerFromRecord {send.send, *entry.record});
        }
    }
    entry.waiting.clear();
}

auto RunOnce::Private::answerNotRunAll(KeyEntry &entry, const std::string &code) -> void
{
    for (const auto &send : entry.waiting) {
        rowOf.erase(send.send);
        actions.emplace_back(AnswerNotRun {send.send, code});
    }
    entry.waiting.clear();
}

// At its deadline a send is answered with what is known. "Not run" requires that no write of the claim can have taken effect: a claim whose answer was
// lost may make the outcome of later sends of the key unknown, and if another agent has claimed the key, the request may have run.
auto RunOnce::Private::answerExpired(const KeyEntry &entry, SendId send) -> void
{
    if (entry.phase == Phase::Claiming && !entry.maybeWritten()) {
        actions.emplace_back(AnswerNotRun {send, "store-unavailable"});
    } else if (entry.phase == Phase::Running) {
        actions.emplace_back(AnswerUnknown {send, "running"});
    } else if (entry.phase == Phase::ClaimedElsewhere) {
        actions.emplace_back(AnswerUnknown {send, "claimed-elsewhere"});
    } else {
        actions.emplace_back(AnswerUnknown {send, "claim-unresolved"});
    }
}

auto RunOnce::Private::expire(const std::string &row, KeyEntry &entry, TimePoint now) -> void
{
    std::erase_if(entry.waiting, [&](const RunOnceSend &send) {
        if (send.deadline > now) {
            return false;
        }
        rowOf.erase(send.send);
        answerExpired(entry, send.send);
        return true;
    });
    if (!entry.waiting.empty()) {
        return;
    }
    const bool unsentClaim = entry.phase == Phase::Claiming && !entry.maybeWritten();
    if (unsentClaim) {
        queue.remove(row);
        dropRow(row);
    } else if (entry.phase == Phase::ClaimedElsewhere && !entry.readSent) {
        dropRow(row);
    }
}

// ---- claims

auto RunOnce::Private::startClaim(const std::string &row, KeyEntry &entry, RowVersion expect, TimePoint now) -> void
{
    entry.phase = Phase::Claiming;
    entry.version = expect;
    entry.inFlight = false;
    entry.wasLost = false;
    entry.readAt.reset();
    entry.attempt = AttemptId(claimant + "-" + std::to_string(++attempts));
    const ClaimRow claim {.attempt = entry.attempt, .state = ClaimState::Claimed, .keepUntilMs = entry.keepUntilMs, .record = std::nullopt};
    queue.add({TableOp::Kind::Put, row, expect, serializeClaimRow(claim)}, CommitUrgency::Foreground, now);
}

auto RunOnce::Private::claimed(const std::string &row, KeyEntry &entry, RowVersion version, TimePoint now) -> void
{
    entry.version = version;
    entry.readAt.reset();
    forwardNext(row, entry, now);
}

// The key is claimed by this agent, so the next waiting send is forwarded. A send past its deadline isn't: nobody would receive its answer.
auto RunOnce::Private::forwardNext(const std::string &row, KeyEntry &entry, TimePoint now) -> void
{
    while (!entry.waiting.empty()) {
        const auto send = entry.waiting.front();
        entry.waiting.pop_front();
        if (send.deadline <= now) {
            rowOf.erase(send.send);
            actions.emplace_back(AnswerNotRun {send.send, "deadline"});
            continue;
        }
        entry.phase = Phase::Running;
        entry.forwardedSend = send.send;
        actions.emplace_back(ForwardSend {send.send, entry.attempt});
        return;
    }
    release(row, entry, now);
}

// The row is overwritten, not deleted: a late write of this claim, which takes effect only if there is no row, must not succeed.
auto RunOnce::Private::release(const std::string &row, KeyEntry &entry, TimePoint now) -> void
{
    entry.phase = Phase::Releasing;
    entry.forwardedSend.reset();
    const ClaimRow claim {.attempt = entry.attempt, .state = ClaimState::Released, .keepUntilMs = entry.keepUntilMs, .record = std::nullopt};
    queue.add({TableOp::Kind::Put, row, entry.version, serializeClaimRow(claim)}, CommitUrgency::Background, now);
}

auto RunOnce::Private::released(const std::string &row, KeyEntry &entry, TimePoint now) -> void
{
    if (entry.waiting.empty()) {
        dropRow(row);
        return;
    }
    startClaim(row, entry, RowVersion(), now);
}

auto RunOnce::Private::keepInMemory(const std::string &row, KeyEntry &entry) -> void
{
    entry.phase = Phase::Remembered;
    entry.forwardedSend.reset();
    entry.readAt.reset();
    remembered.push_back(row);
    if (remembered.size() > settings.maxRemembered) {
        const auto oldest = remembered.front();
        remembered.pop_front();
        keys.erase(oldest);
    }
}

auto RunOnce::Private::dropRow(const std::string &row) -> void
{
    keys.erase(row);
}

// ---- writes

auto RunOnce::Private::clearInFlight(const std::vector<std::string> &rows) -> void
{
    for (const auto &row : rows) {
        const auto found = keys.find(row);
        if (found != keys.end()) {
            found->second.inFlight = false;
        }
    }
}

auto RunOnce::Private::committed(const std::string &row, RowVersion version, TimePoint now) -> void
{
    const auto found = keys.find(row);
    if (found == keys.end()) {
        return;
    }
    auto &entry = found->second;
    if (entry.phase == Phase::Claiming) {
        claimed(row, entry, version, now);
    } else if (entry.phase == Phase::Recording) {
        keepInMemory(row, entry);
    } else if (entry.phase == Phase::Releasing) {
        released(row, entry, now);
    }
}

auto RunOnce::Private::conflicted(const std::string &row, TimePoint now) -> void
{
    const auto found = keys.find(row);
    if (found == keys.end()) {
        return;
    }
    auto &entry = found->second;
    if (entry.phase == Phase::Claiming) {
        entry.phase = Phase::Checking;
        scheduleRead(row, entry, now);
    } else if (entry.phase == Phase::Recording) {
        keepInMemory(row, entry); // an earlier try of this write took effect and its answer was lost
    } else if (entry.phase == Phase::Releasing) {
        released(row, entry, now); // an earlier try of this write took effect and its answer was lost
    }
}

// The store is unreachable and the claim was certainly not written, so the waiting callers get a definite answer at once.
auto RunOnce::Private::refused(const std::string &row) -> void
{
    const auto found = keys.find(row);
    if (found == keys.end() || found->second.phase != Phase::Claiming || found->second.wasLost) {
        return;
    }
    answerNotRunAll(found->second, "store-unavailable");
    queue.remove(row);
    dropRow(row);
}

auto RunOnce::Private::lost(const std::string &row) -> void
{
    const auto found = keys.find(row);
    if (found != keys.end() && found->second.phase == Phase::Claiming) {
        found->second.wasLost = true;
    }
}

auto RunOnce::transactDone(BatchId batch, const TransactResult &result, TimePoint now) -> RunOnceActions
{
    const auto settled = d->queue.done(batch, result, now);
    for (const auto *group : {&settled.committed, &settled.conflicted, &settled.lost, &settled.unavailable, &settled.notApplied}) {
        d->clearInFlight(*group);
    }
    for (const auto &key : settled.committed) {
        d->committed(key, result.version, now);
    }
    for (const auto &key : settled.conflicted) {
        d->conflicted(key, now);
    }
    for (const auto &key : settled.lost) {
        d->lost(key);
    }
    for (const auto &key : settled.unavailable) {
        d->refused(key);
    }
    return d->takeActions(now);
}

// ---- reads

auto RunOnce::Private::rowRead(const std::string &row, KeyEntry &entry, const TableRow *found, TimePoint now) -> void
{
    const auto claim = found ? parseClaimRow(found->value) : std::nullopt;
    const bool ours = claim && entry.phase == Phase::Checking && claim->attempt == entry.attempt;
    if (ours && claim->state == ClaimState::Claimed) {
        claimed(row, entry, found->version, now);
        return;
    }
    if (entry.waiting.empty()) {
        dropRow(row);
        return;
    }
    if (!found) {
        startClaim(row, entry, RowVersion(), now); // the row was deleted meanwhile
        return;
    }
    if (claim && claim->state == ClaimState::Released) {
        startClaim(row, entry, found->version, now);
        return;
    }
    if (claim && claim->state == ClaimState::Done && claim->record) {
        entry.record = claim->record;
        answerAll(entry);
        keepInMemory(row, entry);
        return;
    }
    entry.phase = Phase::ClaimedElsewhere;
    scheduleRead(row, entry, now + settings.pollPeriod);
    expire(row, entry, now);
}

auto RunOnce::readDone(ReadId read, const std::optional<std::vector<TableRow>> &rows, TimePoint now) -> RunOnceActions
{
    const auto found = d->readsInFlight.find(read);
    if (found == d->readsInFlight.end()) {
        return {};
    }
    const auto asked = found->second;
    d->readsInFlight.erase(found);
    for (const auto &key : asked) {
        const auto entry = d->keys.find(key);
        const bool concerned = entry != d->keys.end() && entry->second.readSent;
        if (!concerned) {
            continue;
        }
        entry->second.readSent = false;
        if (!rows) {
            d->scheduleRead(key, entry->second, now + d->settings.retryDelay);
            continue;
        }
        const auto row = std::find_if(rows->begin(), rows->end(), [&](const TableRow &candidate) { return candidate.key == key; });
        d->rowRead(key, entry->second, row == rows->end() ? nullptr : &*row, now);
    }
    return d->takeActions(now);
}

auto RunOnce::Private::scheduleRead(const std::string &row, KeyEntry &entry, TimePoint when) -> void
{
    entry.readAt = when;
    readHints.emplace(when, row);
}

auto RunOnce::Private::readDue(TimePoint now) -> void
{
    ReadClaims read;
    while (!readHints.empty() && readHints.begin()->first <= now && read.keys.size() < MaxTransactionOps) {
        const auto row = std::move(readHints.begin()->second);
        readHints.erase(readHints.begin());
        const auto found = keys.find(row);
        const bool due = found != keys.end() && found->second.readAt && *found->second.readAt <= now && !found->second.readSent;
        if (due) {
            found->second.readSent = true;
            read.keys.push_back(row);
        }
    }
    if (read.keys.empty()) {
        return;
    }
    read.read = ReadId(++reads);
    readsInFlight[read.read] = read.keys;
    actions.emplace_back(std::move(read));
}

// ---- sends

auto RunOnce::submit(const RunOnceSend &send, TimePoint now) -> RunOnceActions
{
    const auto row = claimRowKey(send.key);
    const bool known = d->keys.contains(row);
    if (!known && openKeys() >= d->settings.maxOpenKeys) {
        d->actions.emplace_back(AnswerNotRun {send.send, "overloaded"});
        return d->takeActions(now);
    }
    auto &entry = d->keys[row];
    entry.waiting.push_back(send);
    entry.keepUntilMs = std::max(entry.keepUntilMs, send.keepUntilMs);
    if (entry.phase == Phase::Recording || entry.phase == Phase::Remembered) {
        d->answerAll(entry);
        return d->takeActions(now);
    }
    d->rowOf[send.send] = row;
    d->deadlineHints.emplace(send.deadline, row);
    if (!known) {
        d->startClaim(row, entry, RowVersion(), now);
    }
    return d->takeActions(now);
}

auto RunOnce::cancel(SendId send, TimePoint now) -> RunOnceActions
{
    const auto found = d->rowOf.find(send);
    if (found == d->rowOf.end()) {
        return {};
    }
    const auto row = found->second;
    auto &entry = d->keys.at(row);
    if (entry.forwardedSend == send) {
        return {};
    }
    d->rowOf.erase(found);
    std::erase_if(entry.waiting, [&](const RunOnceSend &candidate) { return candidate.send == send; });
    d->expire(row, entry, now);
    return d->takeActions(now);
}

auto RunOnce::runEnded(SendId send, RunOutcome end, const RunRecord &record, TimePoint now) -> RunOnceActions
{
    const auto found = d->rowOf.find(send);
    if (found == d->rowOf.end() || d->keys.at(found->second).forwardedSend != send) {
        return {};
    }
    const auto row = found->second;
    d->rowOf.erase(found);
    auto &entry = d->keys.at(row);
    entry.forwardedSend.reset();
    if (end == RunOutcome::NotRun) {
        d->forwardNext(row, entry, now);
        return d->takeActions(now);
    }
    if (end == RunOutcome::Unknown) {
        d->answerAll(entry);
        d->keepInMemory(row, entry);
        return d->takeActions(now);
    }
    entry.phase = Phase::Recording;
    entry.record = dropOversizedContent(record, d->settings.maxRecordBytes);
    d->answerAll(entry);
    const ClaimRow claim {.attempt = entry.attempt, .state = ClaimState::Done, .keepUntilMs = entry.keepUntilMs, .record = entry.record};
    d->queue.add({TableOp::Kind::Put, row, entry.version, serializeClaimRow(claim)}, CommitUrgency::Background, now);
    return d->takeActions(now);
}

auto RunOnce::tick(TimePoint now) -> RunOnceActions
{
    while (!d->deadlineHints.empty() && d->deadlineHints.begin()->first <= now) {
        const auto row = std::move(d->deadlineHints.begin()->second);
        d->deadlineHints.erase(d->deadlineHints.begin());
        const auto found = d->keys.find(row);
        if (found != d->keys.end() && !found->second.waiting.empty()) {
            d->expire(row, found->second, now);
        }
    }
    return d->takeActions(now);
}

auto RunOnce::Private::takeActions(TimePoint now) -> RunOnceActions
{
    readDue(now);
    while (auto batch = queue.nextBatch(now)) {
        for (const auto &op : batch->ops) {
            const auto found = keys.find(op.key);
            if (found != keys.end() && found->second.phase == Phase::Claiming) {
                found->second.inFlight = true;
            }
        }
        actions.emplace_back(WriteClaims {batch->id, std::move(batch->ops)});
    }
    return std::exchange(actions, {});
}

// ---- queries

auto RunOnce::openKeys() const -> std::size_t
{
    return d->keys.size() - d->remembered.size();
}

auto RunOnce::pendingWrites() const -> std::size_t
{
    return d->queue.size();
}

auto RunOnce::writesPerSecond() const -> double
{
    return d->queue.writesPerSecond();
}

auto RunOnce::nextWake() const -> std::optional<TimePoint>
{
    auto wake = d->queue.nextWake();
    for (const auto *hints : {&d->deadlineHints, &d->readHints}) {
        if (!hints->empty()) {
            const auto first = hints->begin()->first;
            wake = wake ? std::min(*wake, first) : first;
        }
    }
    return wake;
}

} // namespace KingCup
