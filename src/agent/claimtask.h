// The claims of an agent's requests that must run once: core/runonce.h driven over the table.
//
// Index of sections (search for [SECTION]):
//   Settings   of claims
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
    Duration cleanupPeriod = Duration::seconds(60); ///< between two looks for rows that were kept long enough
};

// [SECTION] Task

class ClaimTask
{
public:
    ClaimTask(EventLoop &loop, TableAccess table, ClaimSettings settings);
    ~ClaimTask();

    auto hooks() -> ClaimHooks; ///< for RequestTasks; valid while the task lives
    auto openKeys() const -> std::size_t;
    auto pendingWrites() const -> std::size_t;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
