// The entry: the process that receives callers' requests and routes them to agents, plans where replicas are kept, and serves operators.
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

    /// Starts a planned stop: refuses new requests as not run, lets open ones finish, ends those still open after the drain limit, then
    /// stops the loop.
    auto leave() -> void;
    /// 0 unless requests were still open at the drain limit.
    auto exitCode() const -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
