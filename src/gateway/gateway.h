// A gateway: the process that accepts callers' requests where targets have no agents beside them. It sends requests directly to the targets,
// follows the operators' declarations and the targets' rows in the deployment's store, and gives runners their orders while it holds the order
// lease.
//
// A gateway keeps its state in memory only. State that must survive the process is in the store; a new process reads it with a few calls.
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
    /// Reads the settings file again.
    using ReadSettings = std::function<Checked<DaemonSettings>()>;

    /// Starts serving in the constructor; throws std::runtime_error if a port is taken.
    Gateway(EventLoop &loop, DaemonSettings settings, Protocol protocol, ReadSettings readSettings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    auto exitCode() const -> int; ///< 1 if requests were cut off

    /// Reads the settings again and applies those that may change at run time: section [gateway] and the store's address. If the file is invalid,
    /// the findings are logged and nothing changes. Called at SIGHUP; the gateway also reads the file every few seconds by itself, since it may
    /// change without a signal.
    auto reload() -> void;
    /// Planned stop: reports not ready, accepts connections until load balancers have noticed, finishes the requests in flight up to the stop limit,
    /// then stops the loop.
    auto leave() -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
