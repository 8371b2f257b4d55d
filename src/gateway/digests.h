// What gateways tell each other, as messages.
#pragma once

#include "core/dispatch.h"
#include "core/targetinfo.h"
#include "wire/messages.h"

#include <vector>

namespace KingCup
{

auto writeWork(const WorkDigest &work, Wire::GatewayDigest &message) -> void;
/// `targets`: those that are known here; work at others is left out.
auto workOf(const Wire::GatewayDigest &message, const std::vector<TargetId> &targets) -> WorkDigest;

auto writeReading(const std::vector<SentReading> &sent, Wire::SentReading &message) -> void;
auto readingOf(const Wire::SentReading &message, const std::vector<TargetId> &targets) -> std::vector<SentReading>;

auto holdingFrame(const TargetDescription &target) -> Wire::ControlFrame;
auto modelsOf(const Wire::Holding &holding) -> std::vector<HeldModel>;

} // namespace KingCup
