// The agent: the process in a target's slot. It alone gives the target orders and work.
//
// Index of sections (search for [SECTION]):
//   Agent   start, leave
#pragma once

#include "net/eventloop.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace KingCup
{

// [SECTION] Agent

class Agent
{
public:
    /// Listens at once; throws std::runtime_error if a port is taken. The peers' port is the lock of the slot: two agents can't act
    /// on one target.
    Agent(EventLoop &loop, DaemonSettings settings);
    ~Agent();

    /// A planned stop: takes nothing new, lets what runs finish, then stops the loop.
    auto leave() -> void;
    /// 0 if nothing was cut off.
    auto exitCode() const -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
