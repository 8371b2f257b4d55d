// Keeps this gateway's lease of its share of the account limits in the store, and reads the leases of the others (core/limitshares.h).
//
// While all gateways are in contact with each other, no call is made. A lease is a row with the gateway's id as its key; its value has the ids of the gateways
// that it is in contact with, one on each line.
//
// Index of sections (search for [SECTION]):
//   Parts       dependencies
//   ShareTask   the task
#pragma once

#include "core/sharedusage.h"
#include "gateway/storeclient.h"
#include "net/eventlog.h"
#include "net/metrics.h"

#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

struct ShareTaskParts {
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    StoreClient &store;
    SharedUsage &usage;
};

// [SECTION] ShareTask

class ShareTask
{
public:
    /// `self`: id of this gateway.
    ShareTask(ShareTaskParts parts, std::string self);

    auto advance() -> void; ///< call a few times a second

private:
    auto read(const std::string &from, std::vector<ShareLease> leases) -> void;
    auto write() -> void;
    auto remove() -> void;
    auto reportShare() -> void;
    auto now() const -> TimePoint
    {
        return m_parts.loop.now();
    }

    ShareTaskParts m_parts;
    std::string m_self;
    double m_reportedShare = 1;
};

} // namespace KingCup
