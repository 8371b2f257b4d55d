// What a target says about itself where entries reach targets directly: its row in the discovery table, and a runner's own report.
// Plain data, decoded from whatever the deployment speaks.
//
// Index of sections (search for [SECTION]):
//   Description   a target's row
//   Report        a runner's engine, as it answers when asked
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

/// A model that a runner holds.
struct ResidentModel {
    std::string name;
    std::uint64_t version = 0; ///< of its weights
    std::vector<std::string> adapters; ///< ready to use
    bool isDraining = false; ///< to be unloaded when its last stream has ended: takes no new requests if another copy can

    auto hasAdapter(std::string_view adapter) const -> bool;
    auto operator==(const ResidentModel &) const -> bool = default;
};

/// One start of a target. The same id may start again: then everything it held and counted is gone.
struct TargetIncarnation {
    TargetId id;
    std::uint64_t startedAtMillis = 0; ///< when it started, by its own time of day; only compared for being the same; 0: not said

    auto operator<=>(const TargetIncarnation &) const = default;
};

struct TargetDescription {
    TargetIncarnation incarnation;
    ServiceName service;
    Endpoint address;
    ZoneName zone;
    std::string softwareVersion;
    int slots = 0; ///< requests it runs at once
    bool isLeaving = false; ///< takes no new work
    std::optional<Duration> terminatesIn; ///< leaving at short notice: whatever still runs then is cut off
    Duration warmupRemaining; ///< after its start it is slow for this much longer
    std::vector<ResidentModel> models;
    std::vector<std::string> weightsInMemory; ///< models whose weights it can load from its own memory
    std::vector<std::string> weightsOnDisk; ///< or from its own disk

    auto model(std::string_view name) const -> const ResidentModel *;
};

// [SECTION] Report

struct RunnerReport {
    std::optional<std::uint64_t> startedAtMillis; ///< of the start that answers; nothing if it doesn't say
    std::vector<ResidentModel> models;
    std::vector<std::string> adaptersLoading; ///< "MODEL/ADAPTER", being fetched
    bool isBusy = false; ///< carrying out an order
    std::uint64_t ordersTaken = 0;
    int waiting = 0; ///< requests in its own queue
    int running = 0;
    std::int64_t kvUsed = 0; ///< tokens of memory that can't be given up
    std::int64_t kvTotal = 0; ///< tokens
    std::vector<std::string> weightsInMemory;
    std::vector<std::string> weightsOnDisk;
};

} // namespace KingCup
