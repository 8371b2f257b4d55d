#include "core/ledger.h"

#include <algorithm>
#include <map>

namespace KingCup
{

namespace
{

/// An order that may still take effect.
struct Outstanding {
    EngineOrder order;
    TimePoint sentAt;
    std::uint64_t generation = 0; ///< generation of the engine, as known when the order was created
    bool isInStatus = false; ///< the last status lists the load as in progress, so its memory is charged already
};

auto bytesOf(const std::vector<EngineArtifact> &artifacts) -> Bytes
{
    Bytes sum;
    for (const auto &entry : artifacts) {
        sum += entry.bytes;
    }
    return sum;
}

auto containsArtifact(const std::vector<EngineArtifact> &artifacts, const ArtifactName &name) -> bool
{
    return std::any_of(artifacts.begin(), artifacts.end(), [&](const EngineArtifact &entry) { return entry.artifact == name; });
}

auto containsOrder(const std::vector<EngineArtifact> &artifacts, const OrderId &id) -> bool
{
    return std::any_of(artifacts.begin(), artifacts.end(), [&](const EngineArtifact &entry) { return entry.order == id; });
}

} // namespace

auto toString(LedgerRefusal refusal) -> const char *
{
    switch (refusal) {
    case LedgerRefusal::None:
        return "none";
    case LedgerRefusal::Closed:
        return "closed";
    case LedgerRefusal::FenceUnderWay:
        return "fence-under-way";
    case LedgerRefusal::AlreadyThere:
        return "already-there";
    case LedgerRefusal::NotThere:
        return "not-there";
    case LedgerRefusal::OrderOutstanding:
        return "order-outstanding";
    case LedgerRefusal::NoMemory:
        return "no-memory";
    }
    return "none";
}

struct MemoryLedger::Private {
    LedgerSettings settings;
    std::string idPrefix;
    TimePoint startedAt;
    std::uint64_t nextId = 1;
    bool open = false;
    std::optional<EngineStatus> status; ///< the last accepted status
    TimePoint statusReceivedAt; ///< when that status arrived
    std::optional<TimePoint> pendingStatusRequest; ///< when the status request was sent that has no answer yet
    std::optional<TimePoint> lastStatusRequest;
    std::optional<Fence> openingFence; ///< orders with a lower fence are from earlier agents; none until the first status shows the engine's fence
    Fence fence; ///< for new orders: the highest fence in any status or in any answer to POST /fence
    std::optional<Fence> pendingRaise; ///< the fence in the POST /fence request that has no answer yet
    TimePoint raiseSentAt;
    std::map<ArtifactName, Outstanding> outstanding; ///< one per artifact

    auto checksFence() const -> bool
    {
        return settings.fencing == FencingSupport::Checked;
    }
    auto isSettled(const Outstanding &entry, TimePoint requestedAt) const -> bool;
    auto eraseSettledOrders(TimePoint requestedAt) -> void;
    auto tryOpen(TimePoint requestedAt) -> void;
    auto refusal(const ArtifactName &artifact) const -> LedgerRefusal;
    auto createOrder(EngineOrder draft, TimePoint now) -> EngineOrder;
    auto needsFenceRaise(TimePoint now) const -> bool;
    auto needsFrequentStatus() const -> bool;
};

MemoryLedger::MemoryLedger(LedgerSettings settings, std::string idPrefix, TimePoint startedAt)
    : d(std::make_unique<Private>())
{
    d->settings = settings;
    d->idPrefix = std::move(idPrefix);
    d->startedAt = startedAt;
}

MemoryLedger::~MemoryLedger() = default;
MemoryLedger::MemoryLedger(MemoryLedger &&) noexcept = default;
auto MemoryLedger::operator=(MemoryLedger &&) noexcept -> MemoryLedger & = default;

// Whether the status that was requested at `requestedAt` proves that an order has taken effect or can no longer take effect.
//
// A status that shows the order's effect proves the former, because an order id takes effect once and nobody else gives orders. A status that doesn't show
// it proves nothing while the order may still take effect: if the order were taken for lost, its memory would be given away, and the engine would run out of
// memory once the late order takes effect. An order can't take effect any more once the engine reports a higher fence than the order's, or if the status
// was requested at least longestOrderDelay after the order was sent.
auto MemoryLedger::Private::isSettled(const Outstanding &entry, TimePoint requestedAt) const -> bool
{
    const auto &name = entry.order.artifact;
    if (entry.order.kind == OrderKind::Load && (containsOrder(status->loading, entry.order.id) || containsArtifact(status->resident, name))) {
        return true; // its memory is charged through the status from now on
    }
    // After a crash the artifact is absent without the unload having taken effect; the unload may still arrive at the restarted engine.
    const bool sameEngine = status->generation == entry.generation;
    if (entry.order.kind == OrderKind::Unload && sameEngine && !containsArtifact(status->resident, name)) {
        return true;
    }
    if (checksFence() && status->fence > entry.order.fence) {
        return true; // unless the order has taken effect before this status, the engine refuses it from now on
    }
    return requestedAt >= entry.sentAt + settings.longestOrderDelay;
}

auto MemoryLedger::Private::eraseSettledOrders(TimePoint requestedAt) -> void
{
    std::erase_if(outstanding, [&](const auto &item) { return isSettled(item.second, requestedAt); });
}

// A restarted agent doesn't know the orders of its predecessor. Memory that is free by the status must not be used until none of these orders can take
// effect any more.
auto MemoryLedger::Private::tryOpen(TimePoint requestedAt) -> void
{
    if (requestedAt >= startedAt + settings.longestOrderDelay) {
        open = true;
    }
    if (!checksFence()) {
        return;
    }
    if (!openingFence) {
        openingFence = std::max(status->fence.next(), settings.firstFence);
        return;
    }
    open = open || status->fence >= *openingFence;
}

auto MemoryLedger::Private::refusal(const ArtifactName &artifact) const -> LedgerRefusal
{
    if (!open || !status) {
        return LedgerRefusal::Closed;
    }
    if (pendingRaise) {
        return LedgerRefusal::FenceUnderWay;
    }
    if (outstanding.contains(artifact)) {
        return LedgerRefusal::OrderOutstanding;
    }
    return LedgerRefusal::None;
}

auto MemoryLedger::Private::createOrder(EngineOrder draft, TimePoint now) -> EngineOrder
{
    draft.id = OrderId(idPrefix + "-" + std::to_string(nextId++));
    draft.fence = fence;
    outstanding[draft.artifact] = Outstanding {.order = draft, .sentAt = now, .generation = status->generation};
    return draft;
}

auto MemoryLedger::Private::needsFenceRaise(TimePoint now) const -> bool
{
    if (!checksFence() || !status) {
        return false;
    }
    if (!open) {
        return openingFence && fence < *openingFence;
    }
    return std::any_of(outstanding.begin(), outstanding.end(), [&](const auto &item) {
        const auto &entry = item.second;
        return entry.order.fence >= fence && now - entry.sentAt >= settings.raiseFenceAfter;
    });
}

auto MemoryLedger::Private::needsFrequentStatus() const -> bool
{
    return !open || !outstanding.empty() || (status && !status->loading.empty());
}

auto MemoryLedger::isOpen() const -> bool
{
    return d->open;
}

auto MemoryLedger::generation() const -> std::uint64_t
{
    return d->status ? d->status->generation : 0;
}

auto MemoryLedger::fence() const -> Fence
{
    return d->fence;
}

auto MemoryLedger::memoryTotal() const -> Bytes
{
    return d->status ? d->status->memoryTotal : Bytes();
}

auto MemoryLedger::kvReserved() const -> Bytes
{
    return Bytes(static_cast<std::int64_t>(static_cast<double>(memoryTotal().count()) * d->settings.kvReserve));
}

auto MemoryLedger::charged() const -> Bytes
{
    Bytes sum;
    if (d->status) {
        sum += bytesOf(d->status->resident) + bytesOf(d->status->loading);
    }
    for (const auto &[name, entry] : d->outstanding) {
        if (entry.order.kind == OrderKind::Load && !entry.isInStatus) {
            sum += entry.order.bytes;
        }
    }
    return sum;
}

auto MemoryLedger::freeBytes() const -> Bytes
{
    return memoryTotal() - kvReserved() - charged();
}

auto MemoryLedger::releasing() const -> Bytes
{
    Bytes sum;
    for (const auto &[name, entry] : d->outstanding) {
        if (entry.order.kind == OrderKind::Unload && isResident(name)) {
            sum += entry.order.bytes;
        }
    }
    return sum;
}

auto MemoryLedger::residents() const -> std::vector<EngineArtifact>
{
    return d->status ? d->status->resident : std::vector<EngineArtifact>();
}

auto MemoryLedger::isResident(const ArtifactName &artifact) const -> bool
{
    return d->status && containsArtifact(d->status->resident, artifact);
}

auto MemoryLedger::isUsable(const ArtifactName &artifact) const -> bool
{
    return isResident(artifact) && !isUnloading(artifact);
}

auto MemoryLedger::isLoading(const ArtifactName &artifact) const -> bool
{
    const auto found = d->outstanding.find(artifact);
    return (found != d->outstanding.end() && found->second.order.kind == OrderKind::Load) || (d->status && containsArtifact(d->status->loading, artifact));
}

auto MemoryLedger::isUnloading(const ArtifactName &artifact) const -> bool
{
    const auto found = d->outstanding.find(artifact);
    return found != d->outstanding.end() && found->second.order.kind == OrderKind::Unload;
}

auto MemoryLedger::mayLoad(const ArtifactName &artifact, Bytes bytes) const -> LedgerRefusal
{
    const auto refusal = d->refusal(artifact);
    if (refusal != LedgerRefusal::None) {
        return refusal;
    }
    if (isResident(artifact) || isLoading(artifact)) {
        return LedgerRefusal::AlreadyThere;
    }
    return bytes <= freeBytes() ? LedgerRefusal::None : LedgerRefusal::NoMemory;
}

auto MemoryLedger::mayUnload(const ArtifactName &artifact) const -> LedgerRefusal
{
    const auto refusal = d->refusal(artifact);
    if (refusal != LedgerRefusal::None) {
        return refusal;
    }
    return isResident(artifact) ? LedgerRefusal::None : LedgerRefusal::NotThere;
}

auto MemoryLedger::outstandingOrders() const -> std::size_t
{
    return d->outstanding.size();
}

auto MemoryLedger::nextAction(TimePoint now) const -> LedgerAction
{
    const bool raiseTimedOut = d->pendingRaise && now - d->raiseSentAt >= d->settings.answerTimeout;
    if (raiseTimedOut) {
        return {LedgerAction::Kind::RaiseFence, *d->pendingRaise}; // the same fence, so it doesn't matter whether the first raise arrived
    }
    if (!d->pendingRaise && d->needsFenceRaise(now)) {
        return {LedgerAction::Kind::RaiseFence, d->open ? d->fence.next() : *d->openingFence};
    }
    if (d->pendingStatusRequest && now - *d->pendingStatusRequest < d->settings.answerTimeout) {
        return {};
    }
    const auto period = d->needsFrequentStatus() ? d->settings.statusPeriod : d->settings.idleStatusPeriod;
    if (d->pendingStatusRequest || !d->lastStatusRequest || now - *d->lastStatusRequest >= period) {
        return {LedgerAction::Kind::RequestStatus, {}};
    }
    return {};
}

auto MemoryLedger::updateDeclaration(Duration longestOrderDelay, double kvReserve) -> void
{
    d->settings.longestOrderDelay = longestOrderDelay;
    d->settings.kvReserve = kvReserve;
}

auto MemoryLedger::orderLoad(const ArtifactName &artifact, const ArtifactName &base, Bytes bytes, TimePoint now) -> std::optional<EngineOrder>
{
    if (mayLoad(artifact, bytes) != LedgerRefusal::None) {
        return std::nullopt;
    }
    return d->createOrder({.kind = OrderKind::Load, .artifact = artifact, .base = base, .bytes = bytes}, now);
}

auto MemoryLedger::orderUnload(const ArtifactName &artifact, TimePoint now) -> std::optional<EngineOrder>
{
    if (mayUnload(artifact) != LedgerRefusal::None) {
        return std::nullopt;
    }
    const auto &resident = d->status->resident;
    const auto found = std::find_if(resident.begin(), resident.end(), [&](const EngineArtifact &entry) { return entry.artifact == artifact; });
    return d->createOrder({.kind = OrderKind::Unload, .artifact = artifact, .bytes = found->bytes}, now);
}

auto MemoryLedger::orderAnswered(const OrderId &id, OrderAnswer answer) -> void
{
    if (answer == OrderAnswer::Refused) {
        std::erase_if(d->outstanding, [&](const auto &item) { return item.second.order.id == id; });
        return;
    }
    // An accepted or lost order stays charged until a status settles it: an accepted order may take effect long after its answer.
}

auto MemoryLedger::statusRequested(TimePoint now) -> void
{
    d->pendingStatusRequest = now;
    d->lastStatusRequest = now;
}

auto MemoryLedger::statusReceived(TimePoint requestedAt, const EngineStatus &status, TimePoint now) -> void
{
    if (d->pendingStatusRequest && *d->pendingStatusRequest <= requestedAt) {
        d->pendingStatusRequest.reset();
    }
    // If two status requests were in flight at once, the answer that arrives last may show an older state, in which memory is free that has been taken since.
    // So a status is ignored if it was requested before the last one arrived.
    if (d->status && requestedAt < d->statusReceivedAt) {
        return;
    }
    d->status = status;
    d->statusReceivedAt = now;
    d->fence = std::max(d->fence, status.fence);
    if (!d->open) {
        d->tryOpen(requestedAt);
    }
    d->eraseSettledOrders(requestedAt);
    for (auto &[name, entry] : d->outstanding) {
        entry.isInStatus = containsOrder(status.loading, entry.order.id);
    }
}

auto MemoryLedger::fenceSent(Fence fence, TimePoint now) -> void
{
    d->pendingRaise = fence;
    d->raiseSentAt = now;
}

auto MemoryLedger::fenceRaised(Fence fence) -> void
{
    d->fence = std::max(d->fence, fence);
    d->pendingRaise.reset();
    d->pendingStatusRequest.reset();
    d->lastStatusRequest.reset(); // a status requested from now on settles the older orders: request one at once
}

auto MemoryLedger::fenceUnsupported() -> void
{
    d->settings.fencing = FencingSupport::Ignored;
    d->pendingRaise.reset();
}

} // namespace KingCup
