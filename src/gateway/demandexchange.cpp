#include "gateway/demandexchange.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// Overload of the same adapter is reported at most once in this time. The lease holder either loads a second replica of the adapter within some tens of
/// milliseconds, or has no free slot for one for a while; in both cases an earlier report would change nothing.
constexpr auto OverloadReportPeriod = Duration::millis(300);
constexpr auto DemandBucket = Duration::millis(500);
/// Weights of the forecast for rising and falling demand. Demand moves between models within four to nine seconds. A fall must be noticed as quickly as a rise,
/// as the replicas of models without requests occupy slots that other models need. A forecast that falls too early costs nothing: a replica is evicted only
/// when another model needs its slot.
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
    ++m_requested[model];
}

auto DemandExchange::adapterUsed(const TargetId &target, const std::string &model, const std::string &adapter) -> void
{
    m_parts.orders.adapterUsed(target, model, adapter);
    m_adapterUses[target.text() + "/" + model + "/" + adapter] = {target, model + "/" + adapter};
}

auto DemandExchange::artifactMissing(const MissingArtifact &artifact) -> void
{
    if (m_parts.orders.mayOrder()) {
        m_parts.orders.artifactMissing(artifact);
        return;
    }
    m_parts.orders.addPending(artifact);
    sendWanted(artifact, false);
}

auto DemandExchange::adapterOverloaded(const MissingArtifact &adapter) -> void
{
    const auto now = m_parts.loop.now();
    auto &reportedAt = m_overloadedAt[adapter.model + "/" + adapter.adapter];
    if (now - reportedAt < OverloadReportPeriod) {
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

auto DemandExchange::sendWanted(const MissingArtifact &artifact, bool forSecondCopy) -> void
{
    Wire::ControlFrame frame;
    auto *message = frame.mutable_wanted();
    message->set_service(artifact.service.text());
    message->set_model(artifact.model);
    message->set_adapter(artifact.adapter);
    message->set_another(forSecondCopy);
    message->set_version(artifact.softwareVersion.text());
    m_parts.peers.send(holderId(), frame);
}

auto DemandExchange::advance() -> void
{
    const auto now = m_parts.loop.now();
    m_demand.advance(now);
    std::erase_if(m_overloadedAt, [&](const auto &entry) { return now - entry.second > OverloadReportPeriod; });
    report();
}

auto DemandExchange::report() -> void
{
    Wire::ControlFrame frame;
    auto *message = frame.mutable_gateway_demand();
    for (const auto &[model, requests] : m_requested) {
        auto *added = message->add_asked();
        added->set_model(model);
        added->set_requests(static_cast<std::uint32_t>(requests));
    }
    for (const auto &[key, use] : m_adapterUses) {
        auto *added = message->add_uses();
        added->set_target(use.first.text());
        added->set_adapter(use.second);
    }
    m_requested.clear();
    m_adapterUses.clear();
    if (m_parts.orders.mayOrder()) {
        message->clear_uses(); // adapterUsed() has already recorded these in the order task
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
    const MissingArtifact artifact {ServiceName(message.service()), message.model(), message.adapter(), SoftwareVersion(message.version())};
    auto &orders = m_parts.orders;
    if (!orders.mayOrder()) {
        // Other gateways learn of a new lease holder from the lease's row, which names it before it may give orders. So they may send it artifacts too early.
        orders.addPending(artifact);
    } else if (message.another()) {
        orders.adapterOverloaded(artifact.service, artifact.model, artifact.adapter);
    } else {
        orders.artifactMissing(artifact);
    }
}

/// Recognises a new lease holder by its fence, not by its name: the lease's row names it before it may give orders.
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
