#include "gateway/digests.h"

#include "core/hashing.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr std::int64_t TokenUnit = 64; ///< tokens per unit in messages
constexpr double Percent = 100; ///< failure rates are sent as whole percents
constexpr double ReferenceStepMicros = 10000; ///< decode factors are sent as the duration of a step that takes this long at a target of ordinary speed
constexpr double MaxDecodeFactor = 100; ///< larger values in messages are cut to this
constexpr std::int64_t MicrosPerTenth = 100; ///< prefill times are sent as tenths of a millisecond

auto nameHash(const std::string &name) -> std::uint32_t
{
    return static_cast<std::uint32_t>(stableHash(name));
}

auto nameHash(const TargetId &target) -> std::uint32_t
{
    return nameHash(target.text());
}

auto writeColumns(const TargetWork &one, Wire::GatewayDigest::Work &columns) -> void
{
    columns.add_target(nameHash(one.target));
    columns.add_running(static_cast<std::uint32_t>(one.running));
    for (const auto &pending : one.pendingPrefill) {
        columns.add_unread_ms(static_cast<std::uint32_t>(pending.inMillis()));
    }
    columns.add_tokens(static_cast<std::uint32_t>(one.tokens / TokenUnit));
    columns.add_failures(static_cast<std::uint32_t>(one.failures * Percent));
    columns.add_ejected(one.isEjected);
    // Rows after the last known factor are left out: without pause goals the column takes no space.
    if (one.decodeFactor > 0) {
        while (columns.step_us_size() + 1 < columns.target_size()) {
            columns.add_step_us(0);
        }
        columns.add_step_us(static_cast<std::uint32_t>(std::min(one.decodeFactor, MaxDecodeFactor) * ReferenceStepMicros));
    }
}

auto rowCount(const Wire::GatewayDigest::Work &work) -> int
{
    constexpr int Bands = static_cast<int>(UrgencyBandCount);
    return std::min({work.target_size(), work.running_size(), work.unread_ms_size() / Bands, work.tokens_size(), work.failures_size(), work.ejected_size()});
}

auto workAt(const Wire::GatewayDigest::Work &work, int row, const TargetId &target) -> TargetWork
{
    constexpr int Bands = static_cast<int>(UrgencyBandCount);
    TargetWork one;
    one.target = target;
    one.running = static_cast<int>(work.running(row));
    for (int band = 0; band < Bands; ++band) {
        one.pendingPrefill.at(static_cast<std::size_t>(band)) = Duration::millis(work.unread_ms(row * Bands + band));
    }
    one.tokens = work.tokens(row) * TokenUnit;
    one.failures = work.failures(row) / Percent;
    one.isEjected = work.ejected(row);
    // Earlier releases send no such column. Its rows aren't counted in rowCount(), so that the other columns remain valid without it.
    one.decodeFactor = row < work.step_us_size() ? std::min(work.step_us(row) / ReferenceStepMicros, MaxDecodeFactor) : 0;
    return one;
}

auto workOf(const Wire::GatewayDigest::Work &message, const TargetNames &names) -> std::vector<TargetWork>
{
    std::vector<TargetWork> list;
    const int rows = rowCount(message);
    for (int i = 0; i < rows; ++i) {
        if (const auto *target = names.find(message.target(i))) {
            list.push_back(workAt(message, i, *target));
        }
    }
    return list;
}

using PrefilledChains = std::vector<std::pair<TargetId, PromptChain>>;

auto writePrefilledChains(const PrefilledChains &chains, Wire::GatewayDigest::Read &message) -> void
{
    for (const auto &[target, chain] : chains) {
        message.add_target(nameHash(target));
        message.add_chain(chain.hash);
        message.add_tokens(static_cast<std::uint32_t>(chain.tokens));
    }
}

auto prefilledChainsOf(const Wire::GatewayDigest::Read &message, const TargetNames &names) -> PrefilledChains
{
    PrefilledChains chains;
    const int rows = std::min({message.target_size(), message.chain_size(), message.tokens_size()});
    for (int i = 0; i < rows; ++i) {
        if (const auto *target = names.find(message.target(i))) {
            chains.emplace_back(*target, PromptChain {message.chain(i), static_cast<int>(message.tokens(i))});
        }
    }
    return chains;
}

} // namespace

auto TargetNames::find(std::uint32_t hash) const -> const TargetId *
{
    const auto found = m_targets.find(hash);
    return found == m_targets.end() ? nullptr : &found->second;
}

auto TargetNames::hash(const TargetId &target) -> std::uint32_t
{
    return nameHash(target);
}

auto TargetNames::add(const TargetId &target) -> void
{
    m_targets.insert_or_assign(nameHash(target), target);
}

auto TargetNames::remove(const TargetId &target) -> void
{
    m_targets.erase(nameHash(target));
}

auto writeWork(const WorkDigest &work, Wire::GatewayDigest &message) -> void
{
    for (const auto &one : work.work) {
        writeColumns(one, *message.mutable_work());
    }
    writePrefilledChains(work.prefilled, *message.mutable_read());
}

auto workOf(const Wire::GatewayDigest &message, const TargetNames &names) -> WorkDigest
{
    WorkDigest digest;
    digest.entry = EntryId(message.entry());
    digest.sequence = message.sequence();
    digest.work = workOf(message.work(), names);
    digest.prefilled = prefilledChainsOf(message.read(), names);
    return digest;
}

auto gatewayLoadFrame(const GatewayLoad &load) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    auto *message = frame.mutable_gateway_load();
    message->set_gateway(load.work.entry.text());
    message->set_sequence(load.work.sequence);
    for (const auto &one : load.work.work) {
        writeColumns(one, *message->mutable_work());
    }
    writePrefilledChains(load.work.prefilled, *message->mutable_read());
    writePrefill(load.prefill, *message->mutable_prefill());
    return frame;
}

auto gatewayLoadOf(const Wire::GatewayLoad &message, const TargetNames &names) -> GatewayLoad
{
    GatewayLoad load;
    load.work.entry = EntryId(message.gateway());
    load.work.sequence = message.sequence();
    load.work.work = workOf(message.work(), names);
    load.work.prefilled = prefilledChainsOf(message.read(), names);
    load.prefill = prefillOf(message.prefill(), names);
    return load;
}

auto cellLoadFrame(const CellLoad &cell) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    auto *message = frame.mutable_cell_load();
    message->set_keeper(cell.keeper.text());
    message->set_sequence(cell.sequence);
    for (const auto &target : cell.targets) {
        writeColumns(target.sum, *message->mutable_work());
        message->add_next_failures(static_cast<std::uint32_t>(target.nextFailures * Percent));
        message->add_ejections(static_cast<std::uint32_t>(target.ejections));
    }
    writePrefilledChains(cell.prefilled, *message->mutable_read());
    writePrefill(cell.prefill, *message->mutable_prefill());
    for (const auto &[gateway, sequence] : cell.reported) {
        message->add_reporter(nameHash(gateway.text()));
        message->add_reported(sequence);
    }
    return frame;
}

auto cellLoadOf(const Wire::CellLoad &message, const EntryId &self, const TargetNames &names) -> CellLoad
{
    CellLoad cell;
    cell.keeper = EntryId(message.keeper());
    cell.sequence = message.sequence();
    const int rows = std::min({rowCount(message.work()), message.next_failures_size(), message.ejections_size()});
    for (int i = 0; i < rows; ++i) {
        if (const auto *target = names.find(message.work().target(i))) {
            cell.targets.push_back({workAt(message.work(), i, *target), message.next_failures(i) / Percent, static_cast<int>(message.ejections(i))});
        }
    }
    cell.prefill = prefillOf(message.prefill(), names);
    cell.prefilled = prefilledChainsOf(message.read(), names);
    const auto ownName = nameHash(self.text());
    for (int i = 0; i < std::min(message.reporter_size(), message.reported_size()); ++i) {
        if (message.reporter(i) == ownName) {
            cell.reported[self] = message.reported(i);
        }
    }
    return cell;
}

auto writePrefill(const std::vector<SentPrefill> &sent, Wire::SentPrefill &message) -> void
{
    for (const auto &one : sent) {
        message.add_target(nameHash(one.target));
        message.add_tenths_ms(static_cast<std::uint32_t>(one.prefill.inMicros() / MicrosPerTenth));
    }
}

auto prefillOf(const Wire::SentPrefill &message, const TargetNames &names) -> std::vector<SentPrefill>
{
    std::vector<SentPrefill> list;
    for (int i = 0; i < std::min(message.target_size(), message.tenths_ms_size()); ++i) {
        if (const auto *target = names.find(message.target(i))) {
            list.push_back({*target, Duration::micros(message.tenths_ms(i) * MicrosPerTenth)});
        }
    }
    return list;
}

auto residencyFrame(const TargetDescription &target) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    auto *holding = frame.mutable_holding();
    holding->set_target(target.incarnation.id.text());
    holding->set_born_ms(target.incarnation.startedAtMillis);
    for (const auto &model : target.models) {
        auto *added = holding->add_models();
        added->set_name(model.name);
        added->set_version(model.version);
        added->set_draining(model.isDraining);
        for (const auto &adapter : model.adapters) {
            added->add_adapters(adapter);
        }
    }
    return frame;
}

auto modelsOf(const Wire::Holding &holding) -> std::vector<ResidentModel>
{
    std::vector<ResidentModel> models;
    for (const auto &model : holding.models()) {
        ResidentModel held;
        held.name = model.name();
        held.version = model.version();
        held.isDraining = model.draining();
        held.adapters.assign(model.adapters().begin(), model.adapters().end());
        models.push_back(std::move(held));
    }
    return models;
}

} // namespace KingCup
