// Conversion between the dispatcher's load data and the messages that gateways exchange.
//
// Messages name a target by a 32-bit hash of its id, which TargetNames resolves. The functions that read a message leave out targets that aren't in `names`.
#pragma once

#include "core/cellload.h"
#include "core/dispatch.h"
#include "core/targetinfo.h"
#include "wire/messages.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace KingCup
{

/// The known targets by the 32-bit hash that stands for their id in messages.
class TargetNames
{
public:
    auto find(std::uint32_t hash) const -> const TargetId *; ///< null: unknown target
    static auto hash(const TargetId &target) -> std::uint32_t;

    auto add(const TargetId &target) -> void;
    auto remove(const TargetId &target) -> void;

private:
    std::unordered_map<std::uint32_t, TargetId> m_targets;
};

auto writeWork(const WorkDigest &work, Wire::GatewayDigest &message) -> void;
auto workOf(const Wire::GatewayDigest &message, const TargetNames &names) -> WorkDigest;

auto writePrefill(const std::vector<SentPrefill> &sent, Wire::SentPrefill &message) -> void;
auto prefillOf(const Wire::SentPrefill &message, const TargetNames &names) -> std::vector<SentPrefill>;

auto gatewayLoadFrame(const GatewayLoad &load) -> Wire::ControlFrame;
auto gatewayLoadOf(const Wire::GatewayLoad &message, const TargetNames &names) -> GatewayLoad;

auto cellLoadFrame(const CellLoad &cell) -> Wire::ControlFrame;
/// From the sequence numbers of the reporting gateways, reads only the number of `self`.
auto cellLoadOf(const Wire::CellLoad &message, const EntryId &self, const TargetNames &names) -> CellLoad;

auto residencyFrame(const TargetDescription &target) -> Wire::ControlFrame;
auto modelsOf(const Wire::Holding &holding) -> std::vector<ResidentModel>;

} // namespace KingCup
