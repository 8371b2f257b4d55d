// The software versions at which streams of a service may have begun, as agreed by all gateways in a row of the store.
//
// What two software versions of a service write doesn't fit together, so a stream that a client takes up must go on at the version that began it. As long as
// the row names a single version, every stream began there, and no gateway needs a record of any stream. A gateway begins streams at a version only once the
// row names it; so a read of the row that starts after a client has taken a stream up tells all versions that the stream can have begun at.
//
// A version is removed from the row when it has had no targets for longer than any stream lasts. No I/O: calls are taken with next(), and their results are
// passed in.
//
// Index of sections (search for [SECTION]):
//   Calls             what to read and write
//   VersionRegister   the state and the decisions
#pragma once

#include "core/ids.h"
#include "core/storetable.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace KingCup
{

// [SECTION] Calls

/// Software versions of one service. An empty text stands for targets that don't state their version.
using VersionSet = std::set<SoftwareVersion>;

struct VersionCall {
    ServiceName service;
    std::optional<VersionSet> write; ///< the row's new content; nothing: the row is read
    RowVersion expected; ///< of a write: version that the row must have
};

struct VersionRegisterOptions {
    /// A version without targets is removed from the row after this time: several times the longest time limit of a stream and of its client's retries.
    Duration memory = Duration::seconds(120);
    Duration retryPeriod = Duration::millis(300); ///< after a call that failed
};

// [SECTION] VersionRegister

class VersionRegister
{
public:
    explicit VersionRegister(VersionRegisterOptions options = {});

    // Queries
    auto mayBegin(const ServiceName &service, const SoftwareVersion &version) const -> bool; ///< streams may begin at this version
    /// Streams of the service may have begun at several versions, as far as this gateway knows: which one each of them began at must be recorded.
    auto isMixed(const ServiceName &service) const -> bool;
    auto versions(const ServiceName &service) const -> VersionSet; ///< named by the row, as last read or written
    auto rowVersion(const ServiceName &service) const -> RowVersion; ///< of versions(); 0: not read yet, or the row doesn't exist

    // Commands
    /// The versions of all targets of a service that this gateway knows.
    auto setPresent(const ServiceName &service, const VersionSet &present, TimePoint now) -> void;
    auto setRemoves(bool removes) -> void; ///< this gateway removes versions from the rows; at most one gateway should
    /// The next call to make, if any. Its result is due before the next call for the same service.
    auto next(TimePoint now) -> std::optional<VersionCall>;
    /// `row`: nothing if the call failed. A row that doesn't exist is version 0 without versions.
    auto readDone(const ServiceName &service, const std::optional<std::pair<RowVersion, VersionSet>> &row, TimePoint now) -> void;
    /// `version`: of the row, if the write was done.
    auto writeDone(const ServiceName &service, StoreOutcome outcome, RowVersion version, TimePoint now) -> void;
    /// The row as read by this gateway for another purpose, or as reported by another one. Ignored if it isn't newer.
    auto rowSeen(const ServiceName &service, RowVersion version, const VersionSet &versions) -> void;

private:
    struct Service {
        VersionSet named; ///< by the row
        RowVersion row;
        VersionSet present;
        std::map<SoftwareVersion, TimePoint> absentSince; ///< named, but not present
        VersionSet unconfirmed; ///< present again after an absence in which they may have been removed from the row
        bool isRead = false;
        std::optional<VersionCall> call; ///< in progress
        TimePoint notBefore;
    };
    static auto adopt(Service &service, RowVersion version, const VersionSet &versions) -> void;
    static auto updateAbsences(Service &service, TimePoint now) -> void;

    VersionRegisterOptions m_options;
    std::map<ServiceName, Service> m_services;
    bool m_removes = false;
};

} // namespace KingCup
