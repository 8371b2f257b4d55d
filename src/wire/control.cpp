#include "wire/control.h"

#include <glog/logging.h>

namespace KingCup
{

auto readControl(const PeerStreamPtr &stream, const std::string &from, std::function<void(const Wire::ControlFrame &frame)> handler) -> void
{
    stream->onMessage = [weak = std::weak_ptr(stream), from, handler = std::move(handler)](std::string_view message) {
        Wire::ControlFrame frame;
        if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
            LOG(WARNING) << "wire: unreadable control message from=" << from << " bytes=" << message.size();
            if (const auto self = weak.lock()) {
                self->reset();
            }
            return;
        }
        handler(frame);
    };
}

auto helloFrame(const std::string &id, const std::string &zone, std::uint64_t incarnation) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    auto *hello = frame.mutable_hello();
    hello->set_version(Wire::PROTOCOL_VERSION_CURRENT);
    hello->set_id(id);
    hello->set_zone(zone);
    hello->set_incarnation(incarnation);
    return frame;
}

auto pingFrame(std::uint64_t sequence) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    frame.mutable_ping()->set_sequence(sequence);
    return frame;
}

auto pongFrame(std::uint64_t sequence) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    frame.mutable_pong()->set_sequence(sequence);
    return frame;
}

auto configFrame(std::uint64_t revision, const std::string &declarations) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    frame.mutable_config()->set_revision(revision);
    frame.mutable_config()->set_declarations(declarations);
    return frame;
}

auto planFrame(std::uint64_t version, const std::string &plan) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    frame.mutable_plan()->set_row_version(version);
    frame.mutable_plan()->set_plan(plan);
    return frame;
}

} // namespace KingCup
