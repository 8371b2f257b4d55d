#include "gateway/demandexchange.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// An adapter that is asked for on a second runner is there within some tens of milliseconds, or has no slot for a while.
constexpr auto ReportOverloadedPeriod = Duration::millis(300);
constexpr auto DemandBucket = Duration::millis(500);
/// Demand moves between models within four to nine seconds. What is no longer asked for must be noticed as soon: its copies take the slots of those that
/// are. Nothing is lost by it, as a copy goes only when another model needs its place.
constexpr double DemandRise = 0.4;
constexpr double DemandFall = 0.3;

} // namespace

DemandExchange::DemandExchange(DemandExchangeParts parts)
    : m_parts(parts)
    , m_demand({.bucket = DemandBucket, .riseWeight = DemandRise, .fallWeight = DemandFall})
{
}

auto DemandExchange::holderId() const -> std::string
{
    return gatewayIdOf(m_parts.orders.lease().holder());
}

auto DemandExchange::work(const EngineDeclaration &engine, const RequestCost &cost) const -> std::map<std::string, ModelWork>
{
    Duration loadTime;
    for (const auto &model : engine.models()) {
        loadTime = std::max(loadTime, model.loadTime);
    }
    const auto now = m_parts.loop.now();
    return modelWork(m_demand.forecast(now, Duration()), m_demand.forecast(now, loadTime), cost);
}

auto DemandExchange::modelRequested(const std::string &model) -> void
{
    ++m_asked[model];
}

auto DemandExchange::adapterUsed(const TargetId &target, const std::string &model, const std::string &adapter) -> void
{
    m_parts.orders.adapterUsed(target, model, adapter);
    m_adapterUses[target.text() + "/" + model + "/" + adapter] = {target, model + "/" + adapter};
}

auto DemandExchange::artifactMissing(const MissingArtifact &wanted) -> void
{
    if (m_parts.orders.mayOrder()) {
        m_parts.orders.artifactMissing(wanted.service, wanted.model, wanted.adapter);
        return;
    }
    m_parts.orders.addPending(wanted.service, wanted.model, wanted.adapter);
    sendWanted(wanted, false);
}

auto DemandExchange::adapterOverloaded(const MissingArtifact &adapter) -> void
{
    const auto now = m_parts.loop.now();
    auto &reportedAt = m_overloadedAt[adapter.model + "/" + adapter.adapter];
    if (now - reportedAt < ReportOverloadedPeriod) {
        return;
    }
    reportedAt = now;
    m_parts.log.line("routing", "adapter-overloaded").add("model", adapter.model).add("adapter", adapter.adapter);
    if (m_parts.orders.mayOrder()) {
        m_parts.orders.adapterOverloaded(adapter.service, adapter.model, adapter.adapter);
        return;
    }
    sendWanted(adapter, true);
}

auto DemandExchange::sendWanted(const MissingArtifact &wanted, bool another) -> void
{
    Wire::ControlFrame frame;
    auto *message = frame.mutable_wanted();
    message->set_service(wanted.service.text());
    message->set_model(wanted.model);
    message->set_adapter(wanted.adapter);
    message->set_another(another);
    m_parts.peers.send(holderId(), frame);
}

auto DemandExchange::advance() -> void
{
    const auto now = m_parts.loop.now();
    m_demand.advance(now);
    std::erase_if(m_overloadedAt, [&](const auto &one) { return now - one.second > ReportOverloadedPeriod; });
    report();
}

auto DemandExchange::report() -> void
{
    Wire::ControlFrame frame;
    auto *message = frame.mutable_gateway_demand();
    for (const auto &[model, requests] : m_asked) {
        auto *added = message->add_asked();
        added->set_model(model);
        added->set_requests(static_cast<std::uint32_t>(requests));
    }
    for (const auto &[key, use] : m_adapterUses) {
        auto *added = message->add_uses();
        added->set_target(use.first.text());
        added->set_adapter(use.second);
    }
    m_asked.clear();
    m_adapterUses.clear();
    if (m_parts.orders.mayOrder()) {
        message->clear_uses(); // known to the orders already
        onDemand(*message);
    } else if (message->asked_size() > 0 || message->uses_size() > 0) {
        m_parts.peers.send(holderId(), frame);
    }
}

auto DemandExchange::onDemand(const Wire::GatewayDemand &message) -> void
{
    for (const auto &asked : message.asked()) {
        m_demand.arrived(ArtifactName(asked.model()), m_parts.loop.now(), asked.requests());
        m_parts.orders.modelRequested(asked.model());
    }
    for (const auto &use : message.uses()) {
        const auto slash = use.adapter().find('/');
        m_parts.orders.adapterUsed(TargetId(use.target()), use.adapter().substr(0, slash), use.adapter().substr(slash + 1));
    }
}

auto DemandExchange::onWanted(const Wire::Wanted &message) -> void
{
    const ServiceName service(message.service());
    auto &orders = m_parts.orders;
    if (!orders.mayOrder()) {
        // Others send to the holder by the lease's row, where its name stands before it may give orders.
        orders.addPending(service, message.model(), message.adapter());
    } else if (message.another()) {
        orders.adapterOverloaded(service, message.model(), message.adapter());
    } else {
        orders.artifactMissing(service, message.model(), message.adapter());
    }
}

/// By its fence, not by its name: that stands in the lease's row before it may give orders.
auto DemandExchange::holderAnnounced(Fence fence) -> void
{
    if (fence == m_announcedFence) {
        return;
    }
    m_announcedFence = fence;
    for (const auto &missing : m_parts.orders.pendingArtifacts()) {
        sendWanted(missing, false);
    }
}

} // namespace KingCup
