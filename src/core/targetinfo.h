// What a target publishes about itself in deployments where gateways reach targets directly: its row in the discovery table, and a runner's own
// status report. Plain data, decoded from the deployment's format.
//
// Index of sections (search for [SECTION]):
//   Description   a target's row in the discovery table
//   Report        a runner's answer to a status request
#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Description

/// A model that is resident on a runner.
struct ResidentModel {
    std::string name;
    std::uint64_t version = 0; ///< version of the weights
    std::vector<std::string> adapters; ///< loaded and ready to use
    bool isDraining = false; ///< will be unloaded when its last stream has ended; gets new requests only if no other replica can take them

    auto hasAdapter(std::string_view adapter) const -> bool;
    auto operator==(const ResidentModel &) const -> bool = default;
};

/// One start of a target. A target that starts again keeps its id but loses everything that was resident and all counters.
struct TargetIncarnation {
    TargetId id;
    std::uint64_t startedAtMillis = 0; ///< wall-clock time of the start on the target's host; compared only for equality; 0: not stated

    auto operator<=>(const TargetIncarnation &) const = default;
};

struct TargetDescription {
    TargetIncarnation incarnation;
    ServiceName service;
    Endpoint address;
    ZoneName zone;
    SoftwareVersion softwareVersion;
    int slots = 0; ///< concurrent requests
    bool isLeaving = false; ///< takes no new work
    std::optional<Duration> terminatesIn; ///< set if the target leaves at short notice: requests that still run after this time are cut off
    Duration warmupRemaining; ///< the target started recently and remains slow for this long
    std::vector<ResidentModel> models;
    std::vector<std::string> weightsInMemory; ///< models whose weights are cached in the target's own memory
    std::vector<std::string> weightsOnDisk; ///< models whose weights are cached on the target's own disk

    auto model(std::string_view name) const -> const ResidentModel *;
};

// [SECTION] Report

struct RunnerReport {
    std::optional<std::uint64_t> startedAtMillis; ///< identifies the start, see TargetIncarnation; empty if not stated
    std::vector<ResidentModel> models;
    std::vector<std::string> adaptersLoading; ///< "MODEL/ADAPTER", being fetched
    bool isBusy = false; ///< executing an order
    std::uint64_t ordersTaken = 0; ///< order count: accepted orders since the start
    int waiting = 0; ///< requests in the runner's own queue
    int running = 0; ///< requests that are being executed
    std::int64_t kvUsed = 0; ///< KV cache that can't be evicted, in tokens
    std::int64_t kvTotal = 0; ///< capacity of the KV cache, in tokens
    std::vector<std::string> weightsInMemory;
    std::vector<std::string> weightsOnDisk;
};

} // namespace KingCup
