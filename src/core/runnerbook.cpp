#include "core/runnerbook.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// Minimum time from a report to the request for the next one.
constexpr auto ReportRetryDelay = Duration::millis(150);
/// Delay before a load is sent again to a runner that is still unloading, and the number of such retries before a report is requested.
constexpr auto BusyRetryDelay = Duration::millis(80);
constexpr int MaxBusyRetries = 6;
/// An unload that was accepted longer ago than this isn't taken as the reason for a refusal; the order count known here may then be wrong.
constexpr auto MaxUnloadTime = Duration::seconds(1);
/// Maximum age of a report's content. Runners of the sizes in use report a state that is 200 ms old.
constexpr auto MaxReportAge = Duration::millis(400);

auto contains(const std::vector<std::string> &list, std::string_view text) -> bool
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

} // namespace

auto toString(WeightSource source) -> const char *
{
    switch (source) {
    case WeightSource::Memory:
        return "memory";
    case WeightSource::Disk:
        return "disk";
    case WeightSource::Store:
        return "store";
    }
    return "?";
}

RunnerBook::RunnerBook(RunnerBookOptions options)
    : m_options(options)
{
}

auto RunnerBook::description() const -> const TargetDescription &
{
    return m_description;
}

auto RunnerBook::isKnown() const -> bool
{
    return m_isKnown;
}

auto RunnerBook::isCallPending() const -> bool
{
    return m_isReportPending || m_unacknowledged;
}

auto RunnerBook::ordersTaken() const -> std::uint64_t
{
    return m_ordersTaken;
}

auto RunnerBook::model(std::string_view name) -> ResidentModel *
{
    auto &models = m_description.models;
    const auto found = std::find_if(models.begin(), models.end(), [&](const ResidentModel &held) { return held.name == name; });
    return found == models.end() ? nullptr : &*found;
}

auto RunnerBook::freeMemory(const EngineDeclaration &engine, TimePoint now) const -> Bytes
{
    Bytes used;
    const auto largest = engine.largestWeights();
    for (const auto &held : m_description.models) {
        const auto *declared = engine.model(held.name);
        used += declared == nullptr ? largest : declared->weights;
        used += declared == nullptr ? Bytes() : Bytes(declared->adapterWeights.count() * static_cast<std::int64_t>(held.adapters.size()));
    }
    for (const auto &pending : m_adapterLoads) {
        const auto *declared = engine.model(pending.order.model);
        used += declared == nullptr ? Bytes() : declared->adapterWeights;
    }
    if (m_modelOrder && isBusy(now)) {
        // The model isn't in the list, but its memory is in use: a load has taken it, and an unload frees it only after the running requests have ended.
        const auto *declared = engine.model(m_modelOrder->order.model);
        used += declared == nullptr ? largest : declared->weights;
    }
    for (const auto &late : m_unansweredLoads) {
        const auto *declared = engine.model(late.order.model);
        if (isCharged(late, now) && declared != nullptr) {
            used += late.order.adapter.empty() ? declared->weights : declared->adapterWeights;
        }
    }
    return engine.memory - used;
}

auto RunnerBook::freeAdapterSlots(const EngineDeclaration &engine, TimePoint now) const -> int
{
    auto used = m_adapterLoads.size();
    used += static_cast<std::size_t>(std::count_if(
        m_unansweredLoads.begin(), m_unansweredLoads.end(), [&](const UnansweredLoad &late) { return !late.order.adapter.empty() && isCharged(late, now); }));
    for (const auto &held : m_description.models) {
        used += held.adapters.size();
    }
    return engine.adapterSlots - static_cast<int>(used) - (m_pendingUnload ? m_pendingUnload->adapterSlots : 0);
}

auto RunnerBook::memoryOfPendingUnload(const EngineDeclaration &engine) const -> Bytes
{
    const auto *declared = m_pendingUnload ? engine.model(m_pendingUnload->order.model) : nullptr;
    if (declared == nullptr) {
        return {};
    }
    const auto adapters = Bytes(declared->adapterWeights.count() * m_pendingUnload->adapterSlots);
    return m_pendingUnload->order.adapter.empty() ? declared->weights + adapters : adapters;
}

auto RunnerBook::modelOrderedAt() const -> TimePoint
{
    return m_modelOrderedAt;
}

auto RunnerBook::isBusy(TimePoint now) const -> bool
{
    // After its expected time an unload counts as done: a runner that is still unloading refuses other orders, so sending one is safe, and waiting for a report
    // would take longer.
    return m_modelOrder && (m_modelOrder->order.isLoad || m_isBusyReported || now < m_modelOrder->doneAt);
}

auto RunnerBook::loading() const -> std::optional<std::string>
{
    return m_modelOrder && m_modelOrder->order.isLoad ? std::optional(m_modelOrder->order.model) : std::nullopt;
}

auto RunnerBook::sourceOf(std::string_view model) const -> WeightSource
{
    if (contains(m_description.weightsInMemory, model)) {
        return WeightSource::Memory;
    }
    return contains(m_description.weightsOnDisk, model) ? WeightSource::Disk : WeightSource::Store;
}

auto RunnerBook::isCharged(const UnansweredLoad &late, TimePoint now) const -> bool
{
    return now < late.until && late.expected > m_ordersTaken;
}

auto RunnerBook::holdsAdapter(std::string_view model, std::string_view adapter) const -> bool
{
    const auto *held = m_description.model(model);
    const auto isUnderWay = std::any_of(m_adapterLoads.begin(), m_adapterLoads.end(), [&](const PendingOrder &pending) {
        return pending.order.model == model && pending.order.adapter == adapter;
    });
    return isUnderWay || (held != nullptr && held->hasAdapter(adapter));
}

auto RunnerBook::mayOrder(const RunnerOrder &order, const EngineDeclaration &engine, TimePoint now) const -> bool
{
    if (!m_isKnown || isCallPending() || m_description.isLeaving || now < m_pausedUntil || isBusy(now)) {
        return false;
    }
    const auto *held = m_description.model(order.model);
    const auto *declared = engine.model(order.model);
    if (declared == nullptr && order.isLoad) {
        return false;
    }
    if (order.adapter.empty()) {
        return order.isLoad ? held == nullptr && freeMemory(engine, now) >= declared->weights : held != nullptr;
    }
    if (!order.isLoad) {
        return held != nullptr && held->hasAdapter(order.adapter) && !m_pendingUnload;
    }
    const bool hasCapacity = freeAdapterSlots(engine, now) > 0 && freeMemory(engine, now) - memoryOfPendingUnload(engine) >= declared->adapterWeights;
    return held != nullptr && !holdsAdapter(order.model, order.adapter) && hasCapacity
        && static_cast<int>(m_adapterLoads.size()) < m_options.maxPendingAdapterLoads;
}

auto RunnerBook::pause(TimePoint until) -> void
{
    m_pausedUntil = std::max(m_pausedUntil, until);
}

auto RunnerBook::needsReport(TimePoint now) const -> bool
{
    if (m_isReportPending || m_unacknowledged || now < std::max(m_nextReportAt, m_pausedUntil)) {
        return false;
    }
    const bool isUnloadLate = m_pendingUnload && now - m_acceptedAt >= m_options.unloadReportDelay;
    return !m_isKnown || isUnloadLate || (m_modelOrder && isBusy(now) && now >= m_modelOrder->doneAt);
}

auto RunnerBook::advance(TimePoint now) -> bool
{
    bool changed = false;
    for (const auto &pending : m_adapterLoads) {
        if (now >= pending.doneAt) {
            apply(pending.order);
            changed = true;
        }
    }
    std::erase_if(m_adapterLoads, [&](const PendingOrder &pending) { return now >= pending.doneAt; });
    return changed;
}

auto RunnerBook::descriptionReceived(const TargetDescription &description, TimePoint now) -> void
{
    if (m_description.incarnation != description.incarnation) {
        auto late = std::move(m_unansweredLoads);
        *this = RunnerBook(m_options);
        m_unansweredLoads = std::move(late);
        m_description = description;
        m_nextReportAt = now;
        return;
    }
    auto known = std::move(m_description.models);
    m_description = description;
    if (!m_isKnown) {
        return;
    }
    // The models known here are newer than those of the row: it may have been written before an accepted order, and it lags behind changes of adapters. With
    // the row's list, loaded adapters would be missing, and the next adapter load would exceed the runner's slots.
    const auto *loaded = m_modelOrder && m_modelOrder->order.isLoad ? description.model(m_modelOrder->order.model) : nullptr;
    m_description.models = std::move(known);
    if (loaded != nullptr) {
        m_description.models.push_back(*loaded);
        m_modelOrder.reset();
    }
}

auto RunnerBook::reportRequested(TimePoint now) -> void
{
    m_isReportPending = true;
    m_reportRequestedAt = now;
}

auto RunnerBook::reported(const RunnerReport &report, TimePoint now) -> void
{
    m_isReportPending = false;
    m_nextReportAt = now + ReportRetryDelay;
    if (report.startedAtMillis && m_description.incarnation.startedAtMillis != 0 && *report.startedAtMillis != m_description.incarnation.startedAtMillis) {
        return; // the report is from another incarnation than the row; the row will be updated
    }
    // A report's content is some hundred milliseconds old. If its order count is lower than the known one, it may predate the last accepted order: ignore it.
    const bool mayBeOld = m_isKnown || m_reportRequestedAt - m_acceptedAt < MaxReportAge;
    if (report.ordersTaken < m_ordersTaken && mayBeOld) {
        return;
    }
    m_ordersTaken = report.ordersTaken;
    m_description.models = report.models;
    if (!report.weightsInMemory.empty() || !report.weightsOnDisk.empty()) {
        m_description.weightsInMemory = report.weightsInMemory;
        m_description.weightsOnDisk = report.weightsOnDisk;
    }
    m_adapterLoads.clear();
    for (const auto &pending : report.adaptersLoading) {
        const auto slash = std::min(pending.find('/'), pending.size());
        m_adapterLoads.push_back({{true, pending.substr(0, slash), pending.substr(std::min(slash + 1, pending.size()))}, {}, now + m_options.adapterLoadTime});
    }
    m_isKnown = true;
    m_isBusyReported = report.isBusy;
    m_pendingUnload.reset(); // the report lists what the runner still holds
    if (!report.isBusy) {
        m_modelOrder.reset();
        return;
    }
    if (!m_modelOrder) {
        m_modelOrder = PendingOrder {{false, "", ""}, {}, now}; // ordered by another gateway
    }
    m_modelOrder->doneAt = std::max(m_modelOrder->doneAt, now + ReportRetryDelay);
    if (!m_modelOrder->order.isLoad) {
        apply(m_modelOrder->order); // the runner still executes requests with the model but takes no new ones
    }
}

auto RunnerBook::reportFailed(TimePoint now) -> void
{
    m_isReportPending = false;
    m_nextReportAt = now + ReportRetryDelay * 2;
}

auto RunnerBook::ordered(const RunnerOrder &order, Duration expected, TimePoint now) -> void
{
    m_unacknowledged = PendingOrder {order, expected, now + expected};
}

auto RunnerBook::accepted(bool isDone, TimePoint now) -> void
{
    if (!m_unacknowledged) {
        return;
    }
    auto pending = *m_unacknowledged;
    m_unacknowledged.reset();
    pending.doneAt = now + pending.expected;
    m_acceptedAt = now;
    m_busyRefusals = 0;
    if (pending.order.adapter.empty()) {
        m_pendingUnload.reset(); // the runner carries out one order on a model at a time
    }
    if (!isDone && !pending.order.isLoad) {
        const auto *held = m_description.model(pending.order.model);
        const int slots = !pending.order.adapter.empty() ? 1 : held == nullptr ? 0 : static_cast<int>(held->adapters.size());
        m_pendingUnload = PendingUnload {pending.order, slots};
    }
    if (isDone || !pending.order.isLoad) {
        apply(pending.order);
    }
    if (isDone) {
        // The runner counts an unload of an adapter that is done at once, but not an order that changed nothing. Whether another order was counted is only
        // known from a report.
        const bool isCounted = !pending.order.isLoad && !pending.order.adapter.empty();
        m_ordersTaken += isCounted ? 1 : 0;
        m_isKnown = isCounted;
        m_nextReportAt = now;
        return;
    }
    ++m_ordersTaken;
    if (pending.order.adapter.empty()) {
        m_modelOrderedAt = now;
        pending.doneAt = pending.order.isLoad ? pending.doneAt : now + m_options.unloadTime;
        m_modelOrder = pending;
        m_isBusyReported = false;
    } else if (pending.order.isLoad) {
        m_adapterLoads.push_back(pending);
    }
}

auto RunnerBook::apply(const RunnerOrder &order) -> void
{
    auto &models = m_description.models;
    auto *held = model(order.model);
    if (order.adapter.empty()) {
        if (order.isLoad && held == nullptr) {
            models.push_back({order.model, 0, {}});
        } else if (!order.isLoad) {
            std::erase_if(models, [&](const ResidentModel &some) { return some.name == order.model; });
        }
        return;
    }
    if (held == nullptr) {
        return;
    }
    std::erase(held->adapters, order.adapter);
    if (order.isLoad) {
        held->adapters.push_back(order.adapter);
    }
}

auto RunnerBook::refused(TimePoint now) -> void
{
    m_unacknowledged.reset();
    m_isKnown = false;
    m_nextReportAt = now;
}

auto RunnerBook::refusedAsBusy(TimePoint now) -> void
{
    const bool isModelLoad = m_unacknowledged && m_unacknowledged->order.isLoad && m_unacknowledged->order.adapter.empty();
    const bool isUnloading = m_modelOrder && !m_modelOrder->order.isLoad && now - m_modelOrderedAt < MaxUnloadTime;
    if (!isModelLoad || !isUnloading || ++m_busyRefusals > MaxBusyRetries) {
        refused(now);
        return;
    }
    m_unacknowledged.reset();
    m_modelOrder->doneAt = now + BusyRetryDelay;
}

auto RunnerBook::unanswered(TimePoint now) -> void
{
    std::erase_if(m_unansweredLoads, [&](const UnansweredLoad &late) { return now >= late.until; });
    if (m_unacknowledged && m_unacknowledged->order.isLoad) {
        m_unansweredLoads.push_back({m_unacknowledged->order, m_ordersTaken, now + m_options.maxOrderDelay});
    }
    // Sending the same order count with the next order is safe: if this order has taken effect, the next one is refused; if the next one is accepted, this one
    // is refused when it arrives.
    m_unacknowledged.reset();
}

auto RunnerBook::invalidate(TimePoint now) -> void
{
    if (m_isKnown) {
        m_isKnown = false;
        m_nextReportAt = std::max(m_nextReportAt, now);
    }
}

auto RunnerBook::takenOver(TimePoint now) -> void
{
    m_isKnown = false;
    m_nextReportAt = now;
}

} // namespace KingCup
