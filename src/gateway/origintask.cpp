// Index of sections (search for [SECTION]):
//   Messages   records and versions on the wire and in the store's rows
//   Versions   the row of a service's software versions
//   Records    this gateway's records in the store
//   Lookups    streams that clients take up here
#include "gateway/origintask.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace KingCup
{

namespace
{

/// Streams that begin together are written together.
constexpr auto BatchDelay = Duration::millis(20);
constexpr auto LookupPeriod = Duration::millis(10); ///< between two checks of the lookups in progress
/// The records of a gateway are useless after it has been gone for this long: its streams have ended, and their clients don't retry any more.
constexpr auto GoneMemory = Duration::seconds(60);

// [SECTION] Messages

auto writeRecords(const OriginRecords &records, Wire::OriginRecords &message) -> void
{
    std::map<StreamOrigin, Wire::OriginRecords::Group *> groups;
    for (const auto &[stream, origin] : records) {
        auto &group = groups[origin];
        if (group == nullptr) {
            group = message.add_groups();
            group->set_service(origin.service.text());
            group->set_version(origin.softwareVersion.text());
        }
        group->add_streams(stream.value());
    }
}

auto recordsOf(const Wire::OriginRecords &message) -> OriginRecords
{
    OriginRecords records;
    for (const auto &group : message.groups()) {
        const StreamOrigin origin {ServiceName(group.service()), SoftwareVersion(group.version())};
        for (const auto stream : group.streams()) {
            records.emplace_back(StreamKey(stream), origin);
        }
    }
    return records;
}

auto versionsOf(const Wire::VersionRow &row) -> VersionSet
{
    VersionSet versions;
    for (const auto &version : row.versions()) {
        versions.insert(SoftwareVersion(version));
    }
    return versions;
}

auto toText(const VersionSet &versions) -> std::string
{
    std::string text;
    for (const auto &version : versions) {
        text += (text.empty() ? "" : ",") + (version.isEmpty() ? std::string("-") : version.text());
    }
    return text;
}

auto recordKey(const std::string &host, int row) -> std::string
{
    constexpr int RowDigits = 2;
    auto number = std::to_string(row);
    number.insert(0, static_cast<std::size_t>(std::max(RowDigits - static_cast<int>(number.size()), 0)), '0');
    return host + "/" + number;
}

/// The keys of all rows of a gateway.
auto recordKeys(const std::string &host) -> KeyRange
{
    return {host + "/", host + "0"}; // '0' follows '/'
}

} // namespace

OriginTask::OriginTask(OriginParts parts, std::string host, OriginHooks hooks)
    : m_parts(parts)
    , m_host(std::move(host))
    , m_hooks(std::move(hooks))
    , m_startedAt(parts.loop.now())
{
}

auto OriginTask::mayBegin(const ServiceName &service, const SoftwareVersion &version) const -> bool
{
    return m_register.mayBegin(service, version);
}

auto OriginTask::find(StreamKey stream) const -> std::optional<StreamOrigin>
{
    return m_origins.find(stream);
}

// [SECTION] Versions

auto OriginTask::setStreamServices(const std::set<ServiceName> &services) -> void
{
    m_streamServices = services;
    for (const auto &service : services) {
        updatePresent(service);
    }
}

auto OriginTask::targetSeen(const TargetDescription &target) -> void
{
    const StreamOrigin origin {target.service, target.softwareVersion};
    const auto known = m_targets.find(target.incarnation.id);
    if (known != m_targets.end() && known->second == origin) {
        return;
    }
    targetGone(target.incarnation.id);
    m_targets.emplace(target.incarnation.id, origin);
    if (m_targetCounts[target.service][target.softwareVersion]++ == 0) {
        updatePresent(target.service);
    }
}

auto OriginTask::targetGone(const TargetId &target) -> void
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    const auto gone = found->second;
    m_targets.erase(found);
    auto &counts = m_targetCounts[gone.service];
    if (--counts[gone.softwareVersion] <= 0) {
        counts.erase(gone.softwareVersion);
        updatePresent(gone.service);
    }
}

auto OriginTask::updatePresent(const ServiceName &service) -> void
{
    if (!m_streamServices.contains(service)) {
        return;
    }
    VersionSet present;
    for (const auto &[version, count] : m_targetCounts[service]) {
        present.insert(version);
    }
    m_register.setPresent(service, present, now());
    callRegister();
}

auto OriginTask::callRegister() -> void
{
    m_register.setRemoves(m_hooks.removesVersions());
    while (const auto call = m_register.next(now())) {
        const auto service = call->service;
        if (!call->write) {
            readVersions(service, [this, service](const auto &row) {
                m_register.readDone(service, row, now());
                versionsChanged(service);
            });
            continue;
        }
        Wire::VersionRow row;
        for (const auto &version : *call->write) {
            row.add_versions(version.text());
        }
        const StoreChange change {service.text(), call->expected, row.SerializeAsString()};
        m_parts.store.change(StoreTable::Versions, {change}, [this, service, wanted = *call->write](const StoreAnswer &answer) {
            m_register.writeDone(service, answer.outcome, answer.version, now());
            m_parts.log.line("versions", "written")
                .add("service", service.text())
                .add("versions", toText(wanted))
                .add("outcome", toString(answer.outcome))
                .add("row", answer.version.value());
            if (answer.outcome == StoreOutcome::Done) {
                m_parts.peers.sendAll(versionFrame(service));
            }
            versionsChanged(service);
        });
    }
}

auto OriginTask::readVersions(const ServiceName &service, std::function<void(const std::optional<std::pair<RowVersion, VersionSet>> &row)> done) -> void
{
    m_parts.store.read(StoreTable::Versions, {service.text(), ""}, [this, service, done = std::move(done)](const StoreAnswer &answer) {
        if (answer.outcome != StoreOutcome::Done) {
            m_parts.log.line("versions", "unread").add("service", service.text()).add("outcome", toString(answer.outcome));
            done(std::nullopt);
            return;
        }
        const auto *found = answer.page.find(service.text());
        if (found == nullptr) {
            done(std::pair(RowVersion(), VersionSet()));
            return;
        }
        Wire::VersionRow row;
        if (!row.ParseFromString(found->value)) {
            m_parts.log.line("versions", "unreadable").add("service", service.text()).add("bytes", static_cast<std::uint64_t>(found->value.size()));
            row.Clear(); // replaced by the next write
        }
        done(std::pair(found->version, versionsOf(row)));
    });
}

auto OriginTask::versionsChanged(const ServiceName &service) -> void
{
    m_parts.log.line("versions", "known")
        .add("service", service.text())
        .add("versions", toText(m_register.versions(service)))
        .add("row", m_register.rowVersion(service).value())
        .add("mixed", m_register.isMixed(service));
    m_hooks.onVersionsNamed();
    callRegister();
}

auto OriginTask::versionFrame(const ServiceName &service) const -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    auto *row = frame.mutable_version_row();
    row->set_service(service.text());
    row->set_row_version(m_register.rowVersion(service).value());
    for (const auto &version : m_register.versions(service)) {
        row->add_versions(version.text());
    }
    return frame;
}

auto OriginTask::greeting() const -> std::vector<Wire::ControlFrame>
{
    std::vector<Wire::ControlFrame> frames;
    for (const auto &service : m_streamServices) {
        if (m_register.rowVersion(service) > RowVersion()) {
            frames.push_back(versionFrame(service));
        }
    }
    return frames;
}

auto OriginTask::onVersionRow(const std::string & /*id*/, const Wire::VersionRow &row) -> void
{
    const ServiceName service(row.service());
    const RowVersion version(row.row_version());
    if (version > m_register.rowVersion(service)) {
        m_register.rowSeen(service, version, versionsOf(row));
        versionsChanged(service);
    }
}

// [SECTION] Records

auto OriginTask::began(StreamKey stream, const StreamOrigin &origin) -> void
{
    m_origins.began(stream, origin);
    if (m_register.isMixed(origin.service)) {
        scheduleBatch();
    }
}

auto OriginTask::scheduleBatch() -> void
{
    if (!m_batchTimer.isActive()) {
        m_batchTimer = m_parts.loop.after(BatchDelay, [this] { writeBatch(); });
    }
}

auto OriginTask::ended(StreamKey stream, bool isWhole) -> void
{
    m_origins.ended(stream, isWhole, now());
}

auto OriginTask::writeBatch() -> void
{
    if (!m_isRestored) {
        return; // the batch would replace a row that hasn't been read
    }
    const auto batch = m_origins.takeBatch([this](const ServiceName &service) { return m_register.isMixed(service); }, now());
    if (!batch) {
        return;
    }
    Wire::OriginRecords message;
    writeRecords(batch->records, message);
    const StoreChange change {recordKey(m_host, batch->row), std::nullopt, message.SerializeAsString()};
    const auto bytes = static_cast<std::uint64_t>(change.value->size());
    m_parts.store.change(StoreTable::Origins, {change}, [this, bytes, count = batch->records.size(), row = batch->row](const StoreAnswer &answer) {
        const bool isDone = answer.outcome == StoreOutcome::Done;
        m_origins.batchWritten(isDone, now());
        scheduleBatch(); // streams may have begun since
        m_parts.metrics.add("stream_origins_written_total", static_cast<double>(count));
        m_parts.log.line("origins", "written")
            .add("row", row)
            .add("streams", static_cast<std::uint64_t>(count))
            .add("bytes", bytes)
            .add("outcome", toString(answer.outcome));
    });
}

auto OriginTask::readRecords(const std::string &host, OnRecords done) -> void
{
    readRecords(host, recordKeys(host), {}, std::move(done));
}

auto OriginTask::readRecords(const std::string &host, const KeyRange &keys, OriginRecords records, OnRecords done) -> void
{
    m_parts.store.read(StoreTable::Origins, keys, [this, host, keys, records = std::move(records), done = std::move(done)](const StoreAnswer &answer) mutable {
        for (const auto &row : answer.page.rows) {
            Wire::OriginRecords message;
            if (!message.ParseFromString(row.value)) {
                m_parts.log.line("origins", "unreadable").add("row", row.key).add("bytes", static_cast<std::uint64_t>(row.value.size()));
                continue;
            }
            const auto read = recordsOf(message);
            records.insert(records.end(), read.begin(), read.end());
        }
        const bool isDone = answer.outcome == StoreOutcome::Done;
        if (isDone && answer.page.hasMore && !answer.page.rows.empty()) {
            readRecords(host, {answer.page.rows.back().key + '\0', keys.to}, std::move(records), std::move(done));
            return;
        }
        m_parts.log.line("origins", "read")
            .add("host", host)
            .add("outcome", toString(answer.outcome))
            .add("streams", static_cast<std::uint64_t>(records.size()));
        done(isDone, records);
    });
}

/// Reads what the last process of this host has written, so that this one can reply for it.
auto OriginTask::restore() -> void
{
    if (m_isRestored || m_isRestoring) {
        return;
    }
    m_isRestoring = true;
    readRecords(m_host, [this](bool isDone, const OriginRecords &records) {
        m_isRestoring = false;
        m_isRestored = isDone;
        m_origins.restored(records, now());
        m_lookups.recordsRead(m_host, records, now());
        runLookups();
    });
}

auto OriginTask::advance() -> void
{
    restore();
    callRegister();
    m_origins.expire(now());
    writeBatch();
    for (const auto &host : m_parts.peers.live()) {
        m_lastLive[host] = now();
    }
    std::erase_if(m_lastLive, [&](const auto &entry) { return now() - entry.second > GoneMemory; });
    m_parts.metrics.set("stream_origins", static_cast<double>(m_origins.size()));
}

// [SECTION] Lookups

auto OriginTask::setGateways(const std::set<std::string> &others) -> void
{
    m_gateways = others;
}

/// The gateways that aren't live and may have begun streams that haven't ended: also this host's last process, until its records have been read. A process that
/// has just started doesn't know which were live.
auto OriginTask::goneGateways(const std::set<std::string> &live) const -> std::set<std::string>
{
    const bool knowsAll = now() - m_startedAt > GoneMemory;
    std::set<std::string> gone;
    for (const auto &host : m_gateways) {
        if (!live.contains(host) && (!knowsAll || m_lastLive.contains(host))) {
            gone.insert(host);
        }
    }
    if (!m_isRestored) {
        gone.insert(m_host);
    }
    return gone;
}

auto OriginTask::lookUp(StreamKey stream, const ServiceName &service, OnFound onFound) -> LookupId
{
    const auto live = m_parts.peers.live();
    m_lookups.setGateways(live, goneGateways(live));
    const auto id = m_lookups.start(stream, service, now());
    m_onFound[id] = std::move(onFound);
    if (!m_lookupTimer.isActive()) {
        m_lookupTimer = m_parts.loop.every(LookupPeriod, [this] { runLookups(); });
    }
    // Not at once: `onFound` must not be called before this function has returned.
    m_parts.loop.post([this] { runLookups(); });
    return id;
}

auto OriginTask::cancel(LookupId id) -> void
{
    m_lookups.cancel(id);
    m_onFound.erase(id);
}

auto OriginTask::runLookups() -> void
{
    m_lookups.advance(now());
    Wire::ControlFrame query;
    for (const auto &step : m_lookups.takeSteps()) {
        switch (step.kind) {
        case LookupStepKind::ReadVersions:
            readVersions(step.service, [this, service = step.service, readAt = now()](const auto &row) {
                if (row) {
                    m_register.rowSeen(service, row->first, row->second);
                }
                m_lookups.versionsRead(service, row ? std::optional(row->second) : std::nullopt, readAt, now());
                runLookups();
            });
            break;
        case LookupStepKind::Ask:
            query.mutable_origin_query()->add_streams(step.stream.value());
            break;
        case LookupStepKind::ReadRecords:
            if (step.host == m_host && !m_isRestored) {
                restore();
                break;
            }
            readRecords(step.host, [this, host = step.host](bool /*isDone*/, const OriginRecords &records) {
                m_lookups.recordsRead(host, records, now());
                runLookups();
            });
            break;
        }
    }
    if (query.has_origin_query()) {
        m_parts.peers.sendAll(query);
    }
    for (const auto &result : m_lookups.takeResults()) {
        m_parts.metrics.add(std::string("stream_origin_lookups_total{source=\"") + toString(result.source) + "\"}");
        if (result.origin && result.stream != StreamKey()) {
            m_origins.restored({{result.stream, *result.origin}}, now());
        }
        const auto found = m_onFound.find(result.id);
        if (found != m_onFound.end()) {
            const auto onFound = std::move(found->second);
            m_onFound.erase(found);
            onFound(result);
        }
    }
    if (m_lookups.isEmpty()) {
        m_lookupTimer.cancel();
    }
}

auto OriginTask::onQuery(const std::string &id, const Wire::OriginQuery &query) -> void
{
    if (!m_isRestored) {
        return; // without a reply, the sender reads the rows of this host
    }
    Wire::ControlFrame frame;
    auto *reply = frame.mutable_origin_reply();
    OriginRecords known;
    for (const auto stream : query.streams()) {
        if (const auto origin = m_origins.find(StreamKey(stream))) {
            known.emplace_back(StreamKey(stream), *origin);
        } else {
            reply->add_unknown(stream);
        }
    }
    writeRecords(known, *reply->mutable_known());
    m_parts.peers.send(id, frame);
}

auto OriginTask::onReply(const std::string &id, const Wire::OriginReply &reply) -> void
{
    for (const auto &[stream, origin] : recordsOf(reply.known())) {
        m_lookups.replied(id, stream, origin, now());
    }
    for (const auto stream : reply.unknown()) {
        m_lookups.replied(id, StreamKey(stream), std::nullopt, now());
    }
    runLookups();
}

} // namespace KingCup
