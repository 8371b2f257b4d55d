#include "core/runnerbook.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// After a report that didn't help, until the next one is asked for.
constexpr auto ReportPause = Duration::millis(150);
/// Between two orders to a runner that is still unloading, and how often that is tried before its report is asked for.
constexpr auto BusyPause = Duration::millis(80);
constexpr int MostTriesWhileBusy = 6;
/// An unload that takes longer than this is not what keeps the runner from other orders: its count of them is another than is known here.
constexpr auto LongestUnload = Duration::seconds(1);
/// How old what a report says may be: runners of the sizes in use say 200 ms.
constexpr auto ReportAge = Duration::millis(400);

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

auto RunnerBook::isAsked() const -> bool
{
    return m_isAsked || m_sent;
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
    for (const auto &under : m_adapters) {
        const auto *declared = engine.model(under.order.model);
        used += declared == nullptr ? Bytes() : declared->adapterWeights;
    }
    if (m_modelOrder && isBusy(now)) {
        // Loaded, or not yet given back: an unload waits for the requests that still run.
        const auto *declared = engine.model(m_modelOrder->order.model);
        used += declared == nullptr ? largest : declared->weights;
    }
    for (const auto &late : m_late) {
        const auto *declared = engine.model(late.order.model);
        if (isCharged(late, now) && declared != nullptr) {
            used += late.order.adapter.empty() ? declared->weights : declared->adapterWeights;
        }
    }
    return engine.memory - used;
}

auto RunnerBook::freeAdapterSlots(const EngineDeclaration &engine, TimePoint now) const -> int
{
    auto used = m_adapters.size();
    used += static_cast<std::size_t>(
        std::count_if(m_late.begin(), m_late.end(), [&](const Late &late) { return !late.order.adapter.empty() && isCharged(late, now); }));
    for (const auto &held : m_description.models) {
        used += held.adapters.size();
    }
    return engine.adapterSlots - static_cast<int>(used);
}

auto RunnerBook::modelOrderedAt() const -> TimePoint
{
    return m_modelOrderedAt;
}

auto RunnerBook::isBusy(TimePoint now) const -> bool
{
    // While it unloads, it refuses other orders by itself: asking for its report would take longer than trying.
    return m_modelOrder && (m_modelOrder->order.isLoad || m_isBusyForSure || now < m_modelOrder->doneAt);
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

auto RunnerBook::isCharged(const Late &late, TimePoint now) const -> bool
{
    return now < late.until && late.expected > m_ordersTaken;
}

auto RunnerBook::holdsAdapter(std::string_view model, std::string_view adapter) const -> bool
{
    const auto *held = m_description.model(model);
    const auto isUnderWay
        = std::any_of(m_adapters.begin(), m_adapters.end(), [&](const Under &under) { return under.order.model == model && under.order.adapter == adapter; });
    return isUnderWay || (held != nullptr && held->hasAdapter(adapter));
}

auto RunnerBook::mayOrder(const RunnerOrder &order, const EngineDeclaration &engine, TimePoint now) const -> bool
{
    if (!m_isKnown || isAsked() || m_description.isLeaving || isBusy(now)) {
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
        return held != nullptr && held->hasAdapter(order.adapter);
    }
    const bool hasCapacity = freeAdapterSlots(engine, now) > 0 && freeMemory(engine, now) >= declared->adapterWeights;
    return held != nullptr && !holdsAdapter(order.model, order.adapter) && hasCapacity && static_cast<int>(m_adapters.size()) < m_options.adaptersUnderWay;
}

auto RunnerBook::needsReport(TimePoint now) const -> bool
{
    if (m_isAsked || m_sent || now < m_reportAt) {
        return false;
    }
    return !m_isKnown || (m_modelOrder && isBusy(now) && now >= m_modelOrder->doneAt);
}

auto RunnerBook::advance(TimePoint now) -> bool
{
    bool changed = false;
    for (const auto &under : m_adapters) {
        if (now >= under.doneAt) {
            apply(under.order);
            changed = true;
        }
    }
    std::erase_if(m_adapters, [&](const Under &under) { return now >= under.doneAt; });
    return changed;
}

auto RunnerBook::seen(const TargetDescription &description, TimePoint now) -> void
{
    if (m_description.incarnation != description.incarnation) {
        auto late = std::move(m_late);
        *this = RunnerBook(m_options);
        m_late = std::move(late);
        m_description = description;
        m_reportAt = now;
        return;
    }
    auto known = std::move(m_description.models);
    m_description = description;
    if (!m_isKnown) {
        return;
    }
    // Whoever gives the orders knows better: the row may be older than one that was accepted, and adapters come and go without it.
    // Believed, it would hide adapters that are there, and the next one ordered would be one too many.
    const auto *loaded = m_modelOrder && m_modelOrder->order.isLoad ? description.model(m_modelOrder->order.model) : nullptr;
    m_description.models = std::move(known);
    if (loaded != nullptr) {
        m_description.models.push_back(*loaded);
        m_modelOrder.reset();
    }
}

auto RunnerBook::reportAsked(TimePoint now) -> void
{
    m_isAsked = true;
    m_reportAskedAt = now;
}

auto RunnerBook::reported(const RunnerReport &report, TimePoint now) -> void
{
    m_isAsked = false;
    m_reportAt = now + ReportPause;
    if (report.startedAtMillis && m_description.incarnation.startedAtMillis != 0 && *report.startedAtMillis != m_description.incarnation.startedAtMillis) {
        return; // another start than the row's: the row will follow
    }
    // What a report says is some hundred milliseconds old: fewer orders than are known of may only mean that.
    const bool mayBeOld = m_isKnown || m_reportAskedAt - m_acceptedAt < ReportAge;
    if (report.ordersTaken < m_ordersTaken && mayBeOld) {
        return;
    }
    m_ordersTaken = report.ordersTaken;
    m_description.models = report.models;
    if (!report.weightsInMemory.empty() || !report.weightsOnDisk.empty()) {
        m_description.weightsInMemory = report.weightsInMemory;
        m_description.weightsOnDisk = report.weightsOnDisk;
    }
    m_adapters.clear();
    for (const auto &pending : report.adaptersLoading) {
        const auto slash = std::min(pending.find('/'), pending.size());
        m_adapters.push_back({{true, pending.substr(0, slash), pending.substr(std::min(slash + 1, pending.size()))}, {}, now + m_options.adapterTime});
    }
    m_isKnown = true;
    m_isBusyForSure = report.isBusy;
    if (!report.isBusy) {
        m_modelOrder.reset();
        return;
    }
    if (!m_modelOrder) {
        m_modelOrder = Under {{false, "", ""}, {}, now}; // somebody else's
    }
    m_modelOrder->doneAt = std::max(m_modelOrder->doneAt, now + ReportPause);
    if (!m_modelOrder->order.isLoad) {
        apply(m_modelOrder->order); // it still runs requests with the model, and takes no new ones
    }
}

auto RunnerBook::reportFailed(TimePoint now) -> void
{
    m_isAsked = false;
    m_reportAt = now + ReportPause * 2;
}

auto RunnerBook::ordered(const RunnerOrder &order, Duration expected, TimePoint now) -> void
{
    m_sent = Under {order, expected, now + expected};
}

auto RunnerBook::accepted(bool isDone, TimePoint now) -> void
{
    if (!m_sent) {
        return;
    }
    auto under = *m_sent;
    m_sent.reset();
    under.doneAt = now + under.expected;
    m_acceptedAt = now;
    m_foundBusy = 0;
    if (isDone || !under.order.isLoad) {
        apply(under.order);
    }
    if (isDone) {
        // Done at once is counted for adapters that gave way, not for what held already: that is only known from a report.
        const bool isCounted = !under.order.isLoad && !under.order.adapter.empty();
        m_ordersTaken += isCounted ? 1 : 0;
        m_isKnown = isCounted;
        m_reportAt = now;
        return;
    }
    ++m_ordersTaken;
    if (under.order.adapter.empty()) {
        m_modelOrderedAt = now;
        under.doneAt = under.order.isLoad ? under.doneAt : now + m_options.unloadTime;
        m_modelOrder = under;
        m_isBusyForSure = false;
    } else if (under.order.isLoad) {
        m_adapters.push_back(under);
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
    m_sent.reset();
    m_isKnown = false;
    m_reportAt = now;
}

auto RunnerBook::foundBusy(TimePoint now) -> void
{
    const bool isModelLoad = m_sent && m_sent->order.isLoad && m_sent->order.adapter.empty();
    const bool isUnloading = m_modelOrder && !m_modelOrder->order.isLoad && now - m_modelOrderedAt < LongestUnload;
    if (!isModelLoad || !isUnloading || ++m_foundBusy > MostTriesWhileBusy) {
        refused(now);
        return;
    }
    m_sent.reset();
    m_modelOrder->doneAt = now + BusyPause;
}

auto RunnerBook::unanswered(TimePoint now) -> void
{
    std::erase_if(m_late, [&](const Late &late) { return now >= late.until; });
    if (m_sent && m_sent->order.isLoad) {
        m_late.push_back({m_sent->order, m_ordersTaken, now + m_options.latestOrder});
    }
    // The same number again is safe: either this order has taken effect and the next is refused, or the next one shuts it out.
    m_sent.reset();
}

auto RunnerBook::doubt(TimePoint now) -> void
{
    if (m_isKnown) {
        m_isKnown = false;
        m_reportAt = std::max(m_reportAt, now);
    }
}

auto RunnerBook::takenOver(TimePoint now) -> void
{
    m_isKnown = false;
    m_reportAt = now;
}

} // namespace KingCup
