// A gateway: an entry process where targets have no agents beside them. It takes callers' requests and sends them straight to the targets,
// follows the operators' declarations and the targets' rows in the deployment's store, and, if it holds the lease, gives runners their
// orders.
//
// Nothing that it keeps outlives it: what must last is in the store, and a new process has read it within a few calls.
#pragma once

#include "gateway/protocol.h"
#include "net/eventloop.h"
#include "settings/daemonsettings.h"

#include <functional>
#include <memory>

namespace KingCup
{

class Gateway
{
public:
    /// Reads the settings file once more.
    using ReadSettings = std::function<Checked<DaemonSettings>()>;

    /// Starts at once; throws std::runtime_error if a port is taken.
    Gateway(EventLoop &loop, DaemonSettings settings, Protocol protocol, ReadSettings readSettings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    auto exitCode() const -> int; ///< 1 if requests were cut off

    /// Takes over what may change while it runs: the limits of [gateway] and the store's address. Findings are logged, and nothing is changed
    /// then. Called at SIGHUP, and by itself every few seconds, since the file may change without a signal.
    auto reload() -> void;
    /// A planned stop: takes no new connections, finishes what is under way, then stops the loop.
    auto leave() -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
