// Small helpers for control streams, used by both ends.
#pragma once

#include "wire/messages.h"
#include "wire/peer.h"

#include <functional>
#include <string>

namespace KingCup
{

constexpr auto ControlPath = "/control";
constexpr auto RequestPath = "/request";

/// Hands each frame of `stream` to `handler`; an unreadable one resets the stream. `from` names the peer in the log.
auto readControl(const PeerStreamPtr &stream, const std::string &from, std::function<void(const Wire::ControlFrame &frame)> handler) -> void;

/// A first message: who speaks. `incarnation` rises with each start of the same id.
auto helloFrame(const std::string &id, const std::string &zone, std::uint64_t incarnation) -> Wire::ControlFrame;
auto pingFrame(std::uint64_t sequence) -> Wire::ControlFrame;
auto pongFrame(std::uint64_t sequence) -> Wire::ControlFrame;
auto configFrame(std::uint64_t revision, const std::string &declarations) -> Wire::ControlFrame;
auto planFrame(std::uint64_t version, const std::string &plan) -> Wire::ControlFrame;

} // namespace KingCup
