// Index of sections (search for [SECTION]):
//   State           timer, and when a proof is renewed
//   Store           reads of the declarations' row
//   Peers           requests to other gateways
//   FreshnessTask   public interface
#include "gateway/freshnesstask.h"

#include <algorithm>
#include <random>

namespace KingCup
{

namespace
{

/// A proof is renewed at this share of its lifetime, so that several attempts fit in before it expires.
constexpr double RenewAgeShare = 0.2;
/// Time between two attempts, as a share of the lifetime.
constexpr double RetryPeriodShare = 0.06;
/// Number of random peers asked at once if no watcher is live or earlier attempts have not renewed the proof.
constexpr std::size_t MaxPeersAsked = 3;

} // namespace

// [SECTION] State

struct FreshnessTask::Private {
    FreshnessParts parts;
    FreshnessSettings settings;
    std::minstd_rand random;
    Timer timer;
    bool isActive = false;
    bool isReading = false;
    bool wasProven = true;

    Private(FreshnessParts taskParts, FreshnessSettings taskSettings)
        : parts(taskParts)
        , settings(std::move(taskSettings))
        , random(static_cast<std::minstd_rand::result_type>(settings.seed))
    {
    }
    auto restartTimer() -> void;
    auto tick() -> void;
    auto reportProofState() -> void;
    auto readStore() -> void;
    auto onRead(const StoreAnswer &answer, TimePoint readAt) -> void;
    auto askPeers(bool isUrgent) -> void;
    auto chooseRandom(std::vector<std::string> ids, std::size_t maxCount) -> std::vector<std::string>;
};

auto FreshnessTask::Private::restartTimer() -> void
{
    timer.cancel();
    if (isActive) {
        timer = parts.loop.every(settings.proofLifetime * RetryPeriodShare, [this] { tick(); });
    }
}

auto FreshnessTask::Private::tick() -> void
{
    reportProofState();
    const auto age = parts.access.proofAge(parts.loop.now());
    if (age && *age < settings.proofLifetime * RenewAgeShare) {
        return;
    }
    if (parts.follower.isWatching()) {
        readStore();
    }
    // If the proof is still not renewed two attempts later, this gateway's own read may never be answered.
    const bool isUrgent = !age || *age > settings.proofLifetime * (RenewAgeShare + RetryPeriodShare * 2);
    if (!parts.follower.isWatching() || isUrgent) {
        askPeers(isUrgent);
    }
}

auto FreshnessTask::Private::reportProofState() -> void
{
    const auto age = parts.access.proofAge(parts.loop.now());
    const bool isProven = age && *age <= settings.proofLifetime;
    parts.metrics.set("declarations_proof_age_seconds", age.value_or(Duration()).inSeconds());
    if (std::exchange(wasProven, isProven) != isProven) {
        parts.log.line("accounts", isProven ? "declarations-proven" : "declarations-unproven")
            .add("version", parts.access.knownVersion().value())
            .add("age", age.value_or(Duration()));
    }
}

// [SECTION] Store

auto FreshnessTask::Private::readStore() -> void
{
    if (isReading) {
        return;
    }
    isReading = true;
    parts.store.read(StoreTable::Declarations, {settings.declarationsKey, ""}, [this, readAt = parts.loop.now()](const StoreAnswer &answer) {
        isReading = false;
        onRead(answer, readAt);
    });
}

auto FreshnessTask::Private::onRead(const StoreAnswer &answer, TimePoint readAt) -> void
{
    const auto &rows = answer.page.rows;
    if (answer.outcome != StoreOutcome::Done || rows.empty() || rows.front().key != settings.declarationsKey) {
        return;
    }
    parts.access.addProof({rows.front().version, readAt});
    if (rows.front().version > parts.access.knownVersion()) {
        parts.log.line("accounts", "declarations-changed").add("version", rows.front().version.value());
        parts.follower.mergeRows(StoreTable::Declarations, rows);
    }
}

// [SECTION] Peers

auto FreshnessTask::Private::chooseRandom(std::vector<std::string> ids, std::size_t maxCount) -> std::vector<std::string>
{
    std::shuffle(ids.begin(), ids.end(), random);
    ids.resize(std::min(ids.size(), maxCount));
    return ids;
}

auto FreshnessTask::Private::askPeers(bool isUrgent) -> void
{
    auto chosen = chooseRandom(parts.follower.liveWatchers(), 1);
    if (chosen.empty() || isUrgent) {
        const auto live = parts.peers.live();
        const auto others = chooseRandom({live.begin(), live.end()}, MaxPeersAsked);
        chosen.insert(chosen.end(), others.begin(), others.end());
    }
    Wire::ControlFrame frame;
    frame.mutable_freshness_request()->set_asked_us(static_cast<std::uint64_t>(parts.loop.now().inMicros()));
    for (const auto &id : chosen) {
        parts.peers.send(id, frame);
    }
}

// [SECTION] FreshnessTask

FreshnessTask::FreshnessTask(FreshnessParts parts, FreshnessSettings settings)
    : d(std::make_unique<Private>(parts, std::move(settings)))
{
}

FreshnessTask::~FreshnessTask() = default;

auto FreshnessTask::setProofLifetime(Duration lifetime) -> void
{
    if (lifetime != d->settings.proofLifetime) {
        d->settings.proofLifetime = lifetime;
        d->restartTimer();
    }
}

auto FreshnessTask::setActive(bool isActive) -> void
{
    if (isActive == d->isActive) {
        return;
    }
    d->isActive = isActive;
    d->restartTimer();
    if (isActive) {
        d->tick();
    }
}

auto FreshnessTask::onRequest(const std::string &from, const Wire::FreshnessRequest &request) -> void
{
    const auto age = d->parts.access.proofAge(d->parts.loop.now());
    if (!age) {
        return;
    }
    Wire::ControlFrame frame;
    auto *reply = frame.mutable_freshness_reply();
    reply->set_asked_us(request.asked_us());
    reply->set_row_version(d->parts.access.knownVersion().value());
    reply->set_age_us(static_cast<std::uint64_t>(std::max<std::int64_t>(age->inMicros(), 0)));
    d->parts.peers.send(from, frame);
}

auto FreshnessTask::onReply(const std::string &from, const Wire::FreshnessReply &reply) -> void
{
    const auto now = d->parts.loop.now();
    const auto askedAt = TimePoint::fromMicros(static_cast<std::int64_t>(reply.asked_us()));
    const auto age = Duration::micros(static_cast<std::int64_t>(reply.age_us()));
    const bool isReadable = askedAt <= now && age >= Duration() && age <= d->settings.proofLifetime;
    if (!isReadable) {
        d->parts.log.line("accounts", "proof-ignored").add("peer", from).add("age", age);
        return;
    }
    const RowVersion version(reply.row_version());
    d->parts.access.addProof({version, askedAt - age});
    if (version > d->parts.access.knownVersion()) {
        // Forwarded rows may have been lost with a connection.
        d->parts.log.line("accounts", "declarations-behind").add("peer", from).add("version", version.value());
        d->parts.follower.requestFrom(from, StoreTable::Declarations);
    }
}

} // namespace KingCup
