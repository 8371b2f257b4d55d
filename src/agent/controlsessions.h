// The agent's end of the control streams: one for each entry that is connected.
//
// Index of sections (search for [SECTION]):
//   Hooks      what entries ask for
//   Sessions   ControlSessions
#pragma once

#include "net/eventloop.h"
#include "wire/control.h"
#include "wire/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

// [SECTION] Hooks

struct ControlHooks {
    std::function<Wire::Hello()> hello; ///< of this agent
    std::function<Wire::LoadReport()> report; ///< as it is now
    std::function<Wire::Suspects()> suspects; ///< known here
    std::function<void(const Wire::ConfigSnapshot &config)> onConfig;
    std::function<void(const Wire::FloorPlan &plan)> onPlan;
    std::function<void(const Wire::SurgeRequest &request)> onSurge;
    std::function<void(const Wire::Suspects &suspects)> onSuspects;
    std::function<void(const std::string &reason)> onDrain; ///< an empty reason undoes it
};

// [SECTION] Sessions

class ControlSessions
{
public:
    /// `period` is the time between two reports when nothing changes.
    ControlSessions(EventLoop &loop, Duration period, ControlHooks hooks);
    ~ControlSessions();

    auto count() const -> std::size_t;

    auto accept(const PeerStreamPtr &stream) -> void;
    auto scheduleReport() -> void; ///< something changed; changes close together go in one report
    auto sendSuspects() -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
