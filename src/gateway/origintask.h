// Knows at which software version of their service streams began, also those of gateways that are gone: keeps the row of the versions in the store
// (core/versionregister.h), records this gateway's streams there while there are several (core/streamorigins.h), and looks up the beginnings of streams that
// clients take up here (core/originlookups.h).
//
// Index of sections (search for [SECTION]):
//   Parts        dependencies and callbacks
//   OriginTask   the task
#pragma once

#include "core/originlookups.h"
#include "core/targetinfo.h"
#include "gateway/gatewaypeers.h"
#include "gateway/storeclient.h"
#include "net/eventlog.h"
#include "net/metrics.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

struct OriginParts {
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    GatewayPeers &peers;
    StoreClient &store;
};

struct OriginHooks {
    std::function<void()> onVersionsNamed; ///< streams may begin at further software versions
    std::function<bool()> removesVersions; ///< this gateway removes versions without targets from the store's rows; at most one gateway should
};

// [SECTION] OriginTask

class OriginTask
{
public:
    using OnFound = std::function<void(const LookupResult &result)>;

    /// `host`: id of this gateway, the same after each start.
    OriginTask(OriginParts parts, std::string host, OriginHooks hooks);

    // Queries
    auto mayBegin(const ServiceName &service, const SoftwareVersion &version) const -> bool; ///< streams may begin at this version
    auto find(StreamKey stream) const -> std::optional<StreamOrigin>; ///< known to this gateway

    // Commands: streams
    auto began(StreamKey stream, const StreamOrigin &origin) -> void; ///< its first event, or the first one since a client took it up, goes to the client
    auto ended(StreamKey stream, bool isWhole) -> void;
    /// See OriginLookups::start(). `onFound` is called later, once, unless the lookup is cancelled.
    auto lookUp(StreamKey stream, const ServiceName &service, OnFound onFound) -> LookupId;
    auto cancel(LookupId id) -> void;

    // Commands: deployment
    auto setStreamServices(const std::set<ServiceName> &services) -> void; ///< services that routes for streams go to
    auto setGateways(const std::set<std::string> &others) -> void; ///< all other registered gateways
    auto targetSeen(const TargetDescription &target) -> void; ///< new or changed
    auto targetGone(const TargetId &target) -> void;
    auto advance() -> void; ///< call a few times a second

    // Commands: other gateways
    auto greeting() const -> std::vector<Wire::ControlFrame>; ///< for a gateway that has just connected
    auto onQuery(const std::string &id, const Wire::OriginQuery &query) -> void;
    auto onReply(const std::string &id, const Wire::OriginReply &reply) -> void;
    auto onVersionRow(const std::string &id, const Wire::VersionRow &row) -> void;

private:
    auto updatePresent(const ServiceName &service) -> void;
    auto callRegister() -> void;
    auto readVersions(const ServiceName &service, std::function<void(const std::optional<std::pair<RowVersion, VersionSet>> &row)> done) -> void;
    auto versionsChanged(const ServiceName &service) -> void;
    auto versionFrame(const ServiceName &service) const -> Wire::ControlFrame;
    using OnRecords = std::function<void(bool isDone, const OriginRecords &records)>;
    auto readRecords(const std::string &host, OnRecords done) -> void;
    /// Reads further pages; `records`: of the pages before.
    auto readRecords(const std::string &host, const KeyRange &keys, OriginRecords records, OnRecords done) -> void;
    auto restore() -> void;
    auto scheduleBatch() -> void;
    auto writeBatch() -> void;
    auto goneGateways(const std::set<std::string> &live) const -> std::set<std::string>;
    auto runLookups() -> void;
    auto now() const -> TimePoint
    {
        return m_parts.loop.now();
    }

    OriginParts m_parts;
    std::string m_host;
    OriginHooks m_hooks;
    VersionRegister m_register;
    StreamOrigins m_origins;
    OriginLookups m_lookups;
    std::map<LookupId, OnFound> m_onFound;
    std::set<ServiceName> m_streamServices;
    std::set<std::string> m_gateways; ///< all other registered ones
    std::map<std::string, TimePoint> m_lastLive; ///< when other gateways were last live, if they were since this process has started
    TimePoint m_startedAt;
    std::map<TargetId, StreamOrigin> m_targets; ///< origin of the streams that begin there
    std::map<ServiceName, std::map<SoftwareVersion, int>> m_targetCounts;
    bool m_isRestored = false; ///< the records of this host's last process were read
    bool m_isRestoring = false;
    Timer m_batchTimer;
    Timer m_lookupTimer;
};

} // namespace KingCup
