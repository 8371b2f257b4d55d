// The agent: the process that serves one target, an engine or a plain service. Only the agent sends requests and orders to its target.
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
    /// Listens at once; throws std::runtime_error if a port is taken. The peers' port also serves as a lock: a second agent for the same
    /// target can't bind it and doesn't start.
    Agent(EventLoop &loop, DaemonSettings settings);
    ~Agent();

    /// Starts a planned stop: refuses new requests, lets open ones finish, cuts off those still open after the drain limit, then stops the loop.
    auto leave() -> void;
    /// 0 unless requests were still open at the drain limit.
    auto exitCode() const -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
