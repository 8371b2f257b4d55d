// The entry: takes callers' requests, routes them to agents, plans where copies are kept, serves operators.
//
// Index of sections (search for [SECTION]):
//   Entry   start, leave
#pragma once

#include "net/eventloop.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace KingCup
{

// [SECTION] Entry

class Entry
{
public:
    /// Listens at once; throws std::runtime_error if a port is taken.
    Entry(EventLoop &loop, DaemonSettings settings);
    ~Entry();

    /// A planned stop: refuses what is new as not run, lets what is open finish, then stops the loop.
    auto leave() -> void;
    /// 0 if nothing was cut off.
    auto exitCode() const -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
