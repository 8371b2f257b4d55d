// Claims for an agent's requests that must run at most once: drives the state machine of core/runonce.h over the platform's table.
//
// Index of sections (search for [SECTION]):
//   Settings   ClaimSettings
//   Task       ClaimTask
#pragma once

#include "agent/requesttasks.h"
#include "core/runonce.h"
#include "net/eventloop.h"
#include "platform/tableaccess.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

// [SECTION] Settings

struct ClaimSettings {
    std::string claimant; ///< unique over all processes and restarts
    RunOnceSettings runOnce;
    std::function<Duration(const ServiceName &service)> retention; ///< how long a claim's row is kept, as declared
    std::function<std::int64_t()> wallMillis; ///< since 1970
    Duration cleanupPeriod = Duration::seconds(60); ///< between two scans for rows whose retention has ended
};

// [SECTION] Task

class ClaimTask
{
public:
    ClaimTask(EventLoop &loop, TableAccess table, ClaimSettings settings);
    ~ClaimTask();

    auto hooks() -> ClaimHooks; ///< for RequestTasks; valid as long as this object
    auto openKeys() const -> std::size_t; ///< keys whose claim, run or release hasn't ended
    auto pendingWrites() const -> std::size_t; ///< writes that are not in a transaction yet

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
