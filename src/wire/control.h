// Helpers for control streams, used by both sides.
#pragma once

#include "wire/messages.h"
#include "wire/peer.h"

#include <functional>
#include <string>

namespace KingCup
{

constexpr auto ControlPath = "/control";
constexpr auto RequestPath = "/request";

/// Passes each frame of `stream` to `handler`; a frame that can't be parsed resets the stream. `from` names the peer in the log.
auto readControl(const PeerStreamPtr &stream, const std::string &from, std::function<void(const Wire::ControlFrame &frame)> handler) -> void;

/// The first message on a control stream: identifies the sender. `incarnation` increases with each start of the process with this id.
auto helloFrame(const std::string &id, const std::string &zone, std::uint64_t incarnation) -> Wire::ControlFrame;
auto pingFrame(std::uint64_t sequence) -> Wire::ControlFrame;
auto pongFrame(std::uint64_t sequence) -> Wire::ControlFrame;
auto configFrame(std::uint64_t revision, const std::string &declarations) -> Wire::ControlFrame;
auto planFrame(std::uint64_t version, const std::string &plan) -> Wire::ControlFrame;

} // namespace KingCup
