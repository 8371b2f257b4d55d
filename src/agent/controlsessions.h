// The agent's end of the control streams: one for each connected entry.
//
// Index of sections (search for [SECTION]):
//   Hooks      data that is sent to entries, handlers of their messages
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
    std::function<Wire::LoadReport()> report; ///< the current load
    std::function<Wire::Suspects()> suspects; ///< known to this agent
    std::function<void(const Wire::ConfigSnapshot &config)> onConfig;
    std::function<void(const Wire::FloorPlan &plan)> onPlan;
    std::function<void(const Wire::SurgeRequest &request)> onSurge;
    std::function<void(const Wire::Suspects &suspects)> onSuspects;
    std::function<void(const std::string &reason)> onDrain; ///< an empty reason ends the drain
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
    auto scheduleReport() -> void; ///< reports a change to all entries after a short delay; changes close together share a report
    auto sendSuspects() -> void; ///< to all entries

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
