#include "gateway/digests.h"

namespace KingCup
{

auto writeWork(const WorkDigest &work, Wire::GatewayDigest &message) -> void
{
    for (const auto &one : work.work) {
        auto *added = message.add_work();
        added->set_target(one.target.text());
        added->set_running(static_cast<std::uint32_t>(one.running));
        added->set_backlog_us(one.backlog.inMicros());
        added->set_tokens(one.tokens);
        added->set_failures(static_cast<float>(one.failures));
    }
    for (const auto &[target, chain] : work.read) {
        auto *added = message.add_read();
        added->set_target(target.text());
        added->set_chain(chain.hash);
        added->set_tokens(static_cast<std::uint32_t>(chain.tokens));
    }
}

auto workOf(const Wire::GatewayDigest &message) -> WorkDigest
{
    WorkDigest digest;
    digest.entry = EntryId(message.entry());
    digest.sequence = message.sequence();
    for (const auto &one : message.work()) {
        digest.work.push_back({TargetId(one.target()), static_cast<int>(one.running()), Duration::micros(one.backlog_us()), one.tokens(), one.failures()});
    }
    for (const auto &one : message.read()) {
        digest.read.emplace_back(TargetId(one.target()), PromptChain {one.chain(), static_cast<int>(one.tokens())});
    }
    return digest;
}

auto writeDemand(const DemandDigest &demand, Wire::GatewayDigest &message) -> void
{
    auto *into = message.mutable_demand();
    into->set_sequence(demand.sequence);
    for (const auto &rate : demand.rates) {
        auto *added = into->add_rates();
        added->set_artifact(rate.artifact.text());
        added->set_per_second(rate.perSecond);
        added->set_service_us(static_cast<double>(rate.serviceTime.inMicros()));
        added->set_missed_per_second(rate.missedPerSecond);
    }
}

auto demandOf(const Wire::GatewayDigest &message, const EntryId &entry) -> DemandDigest
{
    DemandDigest digest;
    digest.entry = entry;
    digest.sequence = message.demand().sequence();
    for (const auto &rate : message.demand().rates()) {
        digest.rates.push_back(
            {ArtifactName(rate.artifact()), rate.per_second(), Duration::micros(static_cast<std::int64_t>(rate.service_us())), rate.missed_per_second()});
    }
    return digest;
}

auto holdingFrame(const TargetDescription &target) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    auto *holding = frame.mutable_holding();
    holding->set_target(target.incarnation.id.text());
    holding->set_born_ms(target.incarnation.bornMillis);
    for (const auto &model : target.models) {
        auto *added = holding->add_models();
        added->set_name(model.name);
        added->set_version(model.version);
        for (const auto &adapter : model.adapters) {
            added->add_adapters(adapter);
        }
    }
    return frame;
}

auto modelsOf(const Wire::Holding &holding) -> std::vector<HeldModel>
{
    std::vector<HeldModel> models;
    for (const auto &model : holding.models()) {
        HeldModel held;
        held.name = model.name();
        held.version = model.version();
        held.adapters.assign(model.adapters().begin(), model.adapters().end());
        models.push_back(std::move(held));
    }
    return models;
}

} // namespace KingCup
