#include "gateway/digests.h"

#include "core/hashing.h"

#include <algorithm>
#include <unordered_map>

namespace KingCup
{

namespace
{

constexpr std::int64_t TokenUnit = 64;
constexpr double Percent = 100;
constexpr std::int64_t MicrosPerTenth = 100;

auto shortName(const TargetId &target) -> std::uint32_t
{
    return static_cast<std::uint32_t>(stableHash(target.text()));
}

auto targetNames(const std::vector<TargetId> &targets) -> std::unordered_map<std::uint32_t, TargetId>
{
    std::unordered_map<std::uint32_t, TargetId> names;
    for (const auto &target : targets) {
        names.emplace(shortName(target), target);
    }
    return names;
}

} // namespace

auto writeWork(const WorkDigest &work, Wire::GatewayDigest &message) -> void
{
    auto *columns = message.mutable_work();
    for (const auto &one : work.work) {
        columns->add_target(shortName(one.target));
        columns->add_running(static_cast<std::uint32_t>(one.running));
        for (const auto &unread : one.unread) {
            columns->add_unread_ms(static_cast<std::uint32_t>(unread.inMillis()));
        }
        columns->add_tokens(static_cast<std::uint32_t>(one.tokens / TokenUnit));
        columns->add_failures(static_cast<std::uint32_t>(one.failures * Percent));
        columns->add_ejected(one.isEjected);
    }
    auto *read = message.mutable_read();
    for (const auto &[target, chain] : work.read) {
        read->add_target(shortName(target));
        read->add_chain(chain.hash);
        read->add_tokens(static_cast<std::uint32_t>(chain.tokens));
    }
}

auto workOf(const Wire::GatewayDigest &message, const std::vector<TargetId> &targets) -> WorkDigest
{
    const auto names = targetNames(targets);
    WorkDigest digest;
    digest.entry = EntryId(message.entry());
    digest.sequence = message.sequence();
    const auto &work = message.work();
    constexpr int Bands = static_cast<int>(UrgencyBands);
    const int rows
        = std::min({work.target_size(), work.running_size(), work.unread_ms_size() / Bands, work.tokens_size(), work.failures_size(), work.ejected_size()});
    for (int i = 0; i < rows; ++i) {
        const auto name = names.find(work.target(i));
        if (name == names.end()) {
            continue;
        }
        TargetWork one;
        one.target = name->second;
        one.running = static_cast<int>(work.running(i));
        for (int band = 0; band < Bands; ++band) {
            one.unread.at(static_cast<std::size_t>(band)) = Duration::millis(work.unread_ms(i * Bands + band));
        }
        one.tokens = work.tokens(i) * TokenUnit;
        one.failures = work.failures(i) / Percent;
        one.isEjected = work.ejected(i);
        digest.work.push_back(one);
    }
    const auto &read = message.read();
    const int reads = std::min({read.target_size(), read.chain_size(), read.tokens_size()});
    for (int i = 0; i < reads; ++i) {
        const auto name = names.find(read.target(i));
        if (name != names.end()) {
            digest.read.emplace_back(name->second, PromptChain {read.chain(i), static_cast<int>(read.tokens(i))});
        }
    }
    return digest;
}

auto writeReading(const std::vector<SentReading> &sent, Wire::SentReading &message) -> void
{
    for (const auto &one : sent) {
        message.add_target(shortName(one.target));
        message.add_tenths_ms(static_cast<std::uint32_t>(one.reading.inMicros() / MicrosPerTenth));
    }
}

auto readingOf(const Wire::SentReading &message, const std::vector<TargetId> &targets) -> std::vector<SentReading>
{
    const auto names = targetNames(targets);
    std::vector<SentReading> list;
    for (int i = 0; i < std::min(message.target_size(), message.tenths_ms_size()); ++i) {
        const auto name = names.find(message.target(i));
        if (name != names.end()) {
            list.push_back({name->second, Duration::micros(message.tenths_ms(i) * MicrosPerTenth)});
        }
    }
    return list;
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
        added->set_giving_way(model.isGivingWay);
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
        held.isGivingWay = model.giving_way();
        held.adapters.assign(model.adapters().begin(), model.adapters().end());
        models.push_back(std::move(held));
    }
    return models;
}

} // namespace KingCup
