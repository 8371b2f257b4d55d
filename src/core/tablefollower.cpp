// Index of sections (search for [SECTION]):
//   State        ranking and liveness of the watchers
//   Start        where the tables are loaded from at start-up
//   Watching     starting and stopping this gateway's own watches
//   Forwarding   forwarding of rows to other gateways, comparison of checksums
//   Follower     public interface
#include "core/tablefollower.h"

#include "core/hashing.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr std::size_t TargetsTable = 1; ///< indices in FollowedTables
constexpr std::size_t GatewaysTable = 2;
static_assert(FollowedTables[TargetsTable] == StoreTable::Targets && FollowedTables[GatewaysTable] == StoreTable::Gateways);

auto rankOf(const std::string &id) -> std::uint64_t
{
    return rendezvousScore("store-watchers", id);
}

auto nameOf(std::size_t index) -> std::string
{
    return toString(FollowedTables.at(index));
}

auto newestOf(const std::vector<StoredRow> &rows) -> RowVersion
{
    RowVersion newest;
    for (const auto &row : rows) {
        newest = std::max(newest, row.version);
    }
    return newest;
}

auto textOf(RowVersion version) -> std::string
{
    return std::to_string(version.value());
}

/// Targets' rows change hundreds of times a second: their changes get no log line each.
auto isLogged(std::size_t index, RowSource source) -> bool
{
    return index != TargetsTable || source == RowSource::Read || source == RowSource::PeerTable;
}

} // namespace

auto toString(RowSource source) -> const char *
{
    switch (source) {
    case RowSource::Watch:
        return "watch";
    case RowSource::Read:
        return "read";
    case RowSource::Proof:
        return "proof";
    case RowSource::Forwarded:
        return "forwarded";
    case RowSource::PeerTable:
        return "peer-table";
    }
    return "?";
}

// [SECTION] State

auto TableFollower::isLive(const Watcher &watcher, TimePoint now) const -> bool
{
    return watcher.isHealthy && now - watcher.receivedAt < m_settings.watcherTimeout;
}

/// The other live watcher that ranks first. It forwards changes, unless this gateway itself reaches the store and ranks before it.
auto TableFollower::firstLiveWatcher(TimePoint now) const -> std::optional<std::string>
{
    const std::pair<const std::string, Watcher> *first = nullptr;
    for (const auto &entry : m_watchers) {
        if (isLive(entry.second, now) && (first == nullptr || entry.second.rank > first->second.rank)) {
            first = &entry;
        }
    }
    return first == nullptr ? std::nullopt : std::optional(first->first);
}

auto TableFollower::isRankedToWatch(TimePoint now) const -> bool
{
    int ahead = 0;
    for (const auto &id : m_hooks.livePeers()) {
        ahead += rankOf(id) > rankOf(m_settings.id) ? 1 : 0;
    }
    return ahead < m_storeWatchers.desiredWatchers(now);
}

auto TableFollower::reachesStore() const -> bool
{
    return m_isWatching && std::all_of(m_tables.begin(), m_tables.end(), [](const FollowedTable &table) { return table.watch->isReached(); });
}

/// Number of the other live watchers that rank before this gateway.
auto TableFollower::watchersAhead(TimePoint now) const -> int
{
    const auto ownRank = rankOf(m_settings.id);
    return static_cast<int>(
        std::count_if(m_watchers.begin(), m_watchers.end(), [&](const auto &entry) { return isLive(entry.second, now) && entry.second.rank > ownRank; }));
}

auto TableFollower::isFirst(TimePoint now) const -> bool
{
    return reachesStore() && watchersAhead(now) == 0;
}

auto TableFollower::areAllLoaded() const -> bool
{
    return std::all_of(m_tables.begin(), m_tables.end(), [](const FollowedTable &table) { return table.mirror.isLoaded(); });
}

auto TableFollower::note(std::string name, std::vector<std::pair<std::string, std::string>> fields) const -> void
{
    if (m_hooks.onEvent) {
        m_hooks.onEvent({std::move(name), std::move(fields)});
    }
}

// [SECTION] Start

/// Reads only the gateways' rows at first: their number decides whether the other tables are read from the store or requested from peers.
auto TableFollower::start(TimePoint now) -> void
{
    m_now = now;
    m_startDeadline = now + m_settings.peerLoadTimeout;
    m_tables.at(GatewaysTable).watch->start();
}

auto TableFollower::chooseSource() -> void
{
    int registered = 0;
    int ahead = 0;
    for (const auto &row : m_tables.at(GatewaysTable).mirror.rows()) {
        registered += 1;
        ahead += rankOf(row.key) > rankOf(m_settings.id) ? 1 : 0;
    }
    if (m_storeWatchers.initialSource(registered, ahead) == TableSource::Store) {
        finishStart();
        startWatching("start");
        return;
    }
    m_isLoadingFromPeers = true;
    m_tables.at(GatewaysTable).watch->stop();
    note("asking-peers", {{"gateways", std::to_string(registered)}});
}

auto TableFollower::requestMissingTables(const std::string &id, const FollowerDigest &digest, TimePoint now) -> void
{
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        auto &table = m_tables.at(i);
        if (digest.checksums.at(i) != 0 && !table.mirror.isLoaded() && now - table.requestedAt >= m_settings.peerRetryDelay) {
            table.requestedAt = now;
            requestTable(i, id, "start");
        }
    }
}

auto TableFollower::finishStart() -> void
{
    if (m_isLoadingFromPeers) {
        note("asked-peers", {{"loaded", areAllLoaded() ? "yes" : "no"}});
    }
    m_isStarting = false;
    m_isLoadingFromPeers = false;
    m_startDeadline.reset();
}

// [SECTION] Watching

auto TableFollower::startWatching(const char *why) -> void
{
    if (m_isWatching) {
        return;
    }
    m_isWatching = true;
    note("watching", {{"why", why}});
    for (auto &table : m_tables) {
        if (!table.watch->isRunning()) {
            table.watch->start();
        }
    }
}

auto TableFollower::stopWatching(TimePoint now) -> void
{
    if (!m_isWatching) {
        return;
    }
    m_isWatching = false;
    note("following", {{"watcher", firstLiveWatcher(now).value_or("-")}});
    for (auto &table : m_tables) {
        table.watch->stop();
    }
}

auto TableFollower::buildWatch(std::size_t index) -> void
{
    TableWatchHooks hooks;
    hooks.read = [this, index](StoreCallId call, const std::string &from) {
        m_hooks.read(index, call, from);
    };
    hooks.watch = [this, index](StoreCallId call, RowVersion after, Duration wait) {
        m_hooks.watch(index, call, after, wait);
    };
    hooks.onTable = [this, index](const std::vector<StoredRow> &rows, RowVersion upTo) {
        auto &mirror = m_tables.at(index).mirror;
        const bool wasLoaded = mirror.isLoaded();
        const auto changed = mirror.applySnapshot(rows, upTo);
        if (wasLoaded) {
            applyOwnRows(index, changed, RowSource::Read);
        } else {
            loadedFromStore(index, changed);
        }
    };
    hooks.onChanges = [this, index](const std::vector<StoredRow> &rows, RowVersion after, RowVersion upTo) {
        auto &mirror = m_tables.at(index).mirror;
        const auto changed = mirror.applyChanges(rows);
        mirror.markComplete(after, upTo);
        if (!changed.empty()) {
            applyOwnRows(index, changed, RowSource::Watch);
        }
    };
    hooks.onFailed = [this, index](StoreOutcome why) {
        const auto version = std::to_string(m_tables.at(index).watch->version().value());
        note(why == StoreOutcome::HistoryLost ? "history-lost" : "lost", {{"table", nameOf(index)}, {"why", toString(why)}, {"version", version}});
    };
    hooks.onReachabilityChanged = [this, index](bool isReached) {
        note(isReached ? "reached" : "not-reached", {{"for", nameOf(index)}});
        if (!isReached && index == TargetsTable) {
            renewOtherWatches(index);
        }
    };
    TableWatchOptions options;
    options.seed = m_settings.seed + index;
    if (index == TargetsTable) {
        options.pollTimeout = m_settings.targetsPollTimeout;
    }
    m_tables.at(index).watch.emplace(options, std::move(hooks));
}

/// Renews the watches of all other tables when that of the targets has failed. If the store was unreachable while connections stayed open, pending watch calls
/// are never answered, and those for tables that rarely change would wait for 20 s; requests would be handled by outdated declarations for that long. Targets'
/// rows change all the time, so the watch of the targets fails first.
auto TableFollower::renewOtherWatches(std::size_t except) -> void
{
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        if (i != except && m_tables.at(i).watch->isRunning()) {
            m_tables.at(i).watch->renew();
        }
    }
}

auto TableFollower::applyRows(std::size_t index, const std::vector<StoredRow> &changed, RowSource source, const std::string &peer) -> void
{
    if (!changed.empty() && isLogged(index, source)) {
        note("rows",
             {{"table", nameOf(index)},
              {"source", toString(source)},
              {"peer", peer},
              {"rows", std::to_string(changed.size())},
              {"version", textOf(newestOf(changed))}});
    }
    m_hooks.onRows(FollowedTables.at(index), changed, source);
}

/// The first contents of a table. What of them is news to other gateways isn't known, so nothing is forwarded.
auto TableFollower::loadedFromStore(std::size_t index, const std::vector<StoredRow> &rows) -> void
{
    applyRows(index, rows, RowSource::Read, "-");
    if (m_isStarting && !m_isLoadingFromPeers && index == GatewaysTable) {
        chooseSource();
    }
}

auto TableFollower::applyOwnRows(std::size_t index, const std::vector<StoredRow> &changed, RowSource source) -> void
{
    applyRows(index, changed, source, "-");
    if (!changed.empty()) {
        holdRows(index, changed);
    }
}

// [SECTION] Forwarding

/// Forwards changes at once if this gateway is the first watcher that reaches this table, whatever the state of its other watches; otherwise leaves them to
/// the first one, unless it turns out that it doesn't forward them.
auto TableFollower::holdRows(std::size_t index, const std::vector<StoredRow> &rows) -> void
{
    auto &table = m_tables.at(index);
    for (const auto &row : rows) {
        table.unforwarded.emplace_back(m_now, row);
    }
    if (table.watch->isReached() && watchersAhead(m_now) == 0) {
        forwardHeld(index);
    } else if (isLogged(index, RowSource::Watch)) {
        note("held", {{"table", nameOf(index)}, {"version", textOf(newestOf(rows))}, {"first", firstLiveWatcher(m_now).value_or("-")}});
    }
}

/// See FollowerDigest::forwarded.
auto TableFollower::forwardedTo(std::size_t index) const -> RowVersion
{
    const auto &table = m_tables.at(index);
    if (!m_isWatching) {
        return RowVersion();
    }
    auto upTo = table.watch->version().value();
    for (const auto &[since, row] : table.unforwarded) {
        upTo = std::min(upTo, row.version.value() - 1);
    }
    return RowVersion(upTo);
}

auto TableFollower::isForwardedByOther(std::size_t index, RowVersion version, TimePoint now) const -> bool
{
    return std::any_of(m_watchers.begin(), m_watchers.end(), [&](const auto &entry) {
        return isLive(entry.second, now) && entry.second.digest.forwarded.at(index) >= version;
    });
}

/// Forwards all changes since the last ones that are known to have been forwarded, so that the receivers notice if they lack earlier ones.
auto TableFollower::forwardHeld(std::size_t index) -> void
{
    auto &table = m_tables.at(index);
    const auto after = forwardedTo(index);
    table.unforwarded.clear();
    const auto receivers = m_hooks.livePeers().size();
    if (receivers == 0) {
        return;
    }
    const TableRows rows {.table = index, .after = after, .upTo = table.mirror.completeTo(), .rows = table.mirror.changesSince(after)};
    if (isLogged(index, RowSource::Watch)) {
        note("forwarded",
             {{"table", nameOf(index)},
              {"version", textOf(newestOf(rows.rows))},
              {"rows", std::to_string(rows.rows.size())},
              {"after", textOf(after)},
              {"to", std::to_string(receivers)}});
    }
    m_hooks.sendAll(rows);
}

/// Forwards the changes that should have been forwarded by now: the first watcher may have lost the store without having noticed.
auto TableFollower::forwardOverdue(TimePoint now) -> void
{
    const int ahead = watchersAhead(now);
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        auto &unforwarded = m_tables.at(i).unforwarded;
        const auto dropped = std::erase_if(unforwarded, [&](const auto &row) { return isForwardedByOther(i, row.second.version, now); });
        if (dropped > 0 && isLogged(i, RowSource::Watch)) {
            note("held-dropped", {{"table", nameOf(i)}, {"rows", std::to_string(dropped)}});
        }
        if (unforwarded.empty() || now - unforwarded.front().first < m_settings.fallbackDelay * ahead) {
            continue;
        }
        note("stands-in",
             {{"table", nameOf(i)},
              {"for", firstLiveWatcher(now).value_or("-")},
              {"rows", std::to_string(unforwarded.size())},
              {"ahead", std::to_string(ahead)}});
        forwardHeld(i);
    }
}

auto TableFollower::requestTable(std::size_t index, const std::string &peer, const char *why) -> void
{
    const bool isSent = m_hooks.request(peer, index);
    note("requested", {{"table", nameOf(index)}, {"peer", peer}, {"why", why}, {"sent", isSent ? "yes" : "no-connection"}});
}

/// Sets the pause between watch calls for targets. Their rows change all the time, and batched changes take a fraction of the calls. Changes of declarations
/// are never delayed.
auto TableFollower::updatePause(TimePoint now) -> void
{
    m_tables.at(TargetsTable).watch->setPause(isFirst(now) ? m_settings.batchDelay : m_settings.standbyBatchDelay);
}

/// Compares this gateway's tables with those of the first live watcher. A lasting difference means that a change was missed here: fetches the table again.
auto TableFollower::compareChecksums(const std::string &id, const Watcher &watcher, TimePoint now) -> void
{
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        auto &table = m_tables.at(i);
        const auto checksum = watcher.digest.checksums.at(i);
        const bool isSame = checksum == 0 || (table.mirror.isLoaded() && checksum == table.mirror.checksum());
        if (isSame) {
            table.differsSince.reset();
            continue;
        }
        table.differsSince = table.differsSince.value_or(now);
        if (now - *table.differsSince < m_settings.repairDelay) {
            continue;
        }
        table.differsSince = now;
        note("differs",
             {{"table", nameOf(i)},
              {"watcher", id},
              {"version", textOf(table.mirror.completeTo())},
              {"watcher-version", textOf(watcher.digest.versions.at(i))}});
        if (m_isWatching) {
            table.watch->reload();
            continue;
        }
        requestTable(i, id, "differs");
    }
}

// [SECTION] Follower

TableFollower::TableFollower(TableFollowerSettings settings, TableFollowerHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_storeWatchers(m_settings.watchers)
{
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        buildWatch(i);
    }
}

auto TableFollower::isLoaded(StoreTable table) const -> bool
{
    const auto index = followedIndex(table);
    return index && m_tables.at(*index).mirror.isLoaded();
}

auto TableFollower::isWatching() const -> bool
{
    return m_isWatching;
}

auto TableFollower::isCurrent(TimePoint now) const -> bool
{
    return reachesStore() || firstLiveWatcher(now).has_value();
}

auto TableFollower::liveWatchers(TimePoint now) const -> std::vector<std::string>
{
    std::vector<std::string> ids;
    for (const auto &[id, watcher] : m_watchers) {
        if (isLive(watcher, now)) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto TableFollower::digest() const -> FollowerDigest
{
    FollowerDigest digest;
    digest.isWatching = m_isWatching;
    digest.hasTrouble = m_isWatching && !reachesStore();
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        const auto &mirror = m_tables.at(i).mirror;
        digest.checksums.at(i) = mirror.isLoaded() ? mirror.checksum() : 0;
        digest.versions.at(i) = mirror.completeTo();
        digest.forwarded.at(i) = forwardedTo(i);
    }
    return digest;
}

auto TableFollower::nextCallAt() const -> std::optional<TimePoint>
{
    auto next = m_startDeadline;
    for (const auto &table : m_tables) {
        if (const auto at = table.watch->nextCallAt(); at && (!next || *at < *next)) {
            next = at;
        }
    }
    return next;
}

auto TableFollower::advanceCalls(TimePoint now) -> void
{
    m_now = now;
    for (auto &table : m_tables) {
        table.watch->advance(now);
    }
    if (m_startDeadline && now >= *m_startDeadline) {
        m_startDeadline.reset();
        if (!areAllLoaded()) {
            finishStart();
            startWatching("not-loaded");
        }
    }
}

auto TableFollower::answered(std::size_t table, StoreCallId call, const StoreAnswer &answer, TimePoint now) -> void
{
    m_now = now;
    m_tables.at(table).watch->answered(call, answer, now);
}

auto TableFollower::mergeRows(StoreTable table, const std::vector<StoredRow> &rows, TimePoint now) -> void
{
    m_now = now;
    if (const auto index = followedIndex(table)) {
        applyOwnRows(*index, m_tables.at(*index).mirror.applyChanges(rows), RowSource::Proof);
    }
}

auto TableFollower::digestReceived(const std::string &peer, const FollowerDigest &digest, TimePoint now) -> void
{
    m_now = now;
    auto &watcher = m_watchers[peer];
    watcher.rank = rankOf(peer);
    const bool wasLive = isLive(watcher, now);
    watcher.receivedAt = now;
    watcher.isHealthy = digest.isWatching && !digest.hasTrouble;
    if (watcher.isHealthy && !wasLive) {
        watcher.liveSince = now;
    }
    watcher.digest = digest;
    if (m_isLoadingFromPeers) {
        requestMissingTables(peer, digest, now);
    }
    if (watcher.isHealthy && firstLiveWatcher(now) == peer && !isFirst(now)) {
        compareChecksums(peer, watcher, now);
    }
}

auto TableFollower::tableRequested(const std::string &peer, std::size_t table) -> void
{
    const auto &mirror = m_tables.at(table).mirror;
    if (!mirror.isLoaded()) {
        note("wanted-not-loaded", {{"peer", peer}, {"table", nameOf(table)}});
        return;
    }
    note("sent-table", {{"table", nameOf(table)}, {"peer", peer}, {"version", textOf(mirror.completeTo())}});
    m_hooks.send(peer, {.table = table, .isWhole = true, .upTo = mirror.completeTo(), .rows = mirror.rows()});
}

auto TableFollower::requestFrom(const std::string &peer, StoreTable table) -> void
{
    if (const auto index = followedIndex(table)) {
        requestTable(*index, peer, "proof");
    }
}

auto TableFollower::rowsReceived(const std::string &peer, const TableRows &rows, TimePoint now) -> void
{
    m_now = now;
    auto &mirror = m_tables.at(rows.table).mirror;
    const bool wasLoaded = mirror.isLoaded();
    const auto changed = rows.isWhole ? mirror.applySnapshot(rows.rows, rows.upTo) : mirror.applyChanges(rows.rows);
    if (!rows.isWhole) {
        mirror.markComplete(rows.after.value_or(mirror.completeTo()), rows.upTo);
    }
    applyRows(rows.table, changed, rows.isWhole ? RowSource::PeerTable : RowSource::Forwarded, peer);
    if (m_isWatching && rows.isWhole && wasLoaded && !changed.empty()) {
        holdRows(rows.table, changed); // the peer may not have forwarded them yet
    }
    if (m_isLoadingFromPeers && areAllLoaded()) {
        finishStart();
    }
}

auto TableFollower::advance(TimePoint now) -> void
{
    m_now = now;
    forwardOverdue(now);
    updatePause(now);
    if (m_isStarting) {
        return;
    }
    const auto first = firstLiveWatcher(now);
    m_storeWatchers.advance(first || reachesStore(), now);
    // Also called when a live watcher has just come back: until it has forwarded its rows, those known here may be out of date.
    if (!m_isWatching && (!first || !m_hadLiveWatcher)) {
        m_hooks.onUnreachable();
    }
    m_hadLiveWatcher = first.has_value();
    if (isRankedToWatch(now)) {
        startWatching(first ? "ranks-first" : "no-watcher");
        return;
    }
    if (!first) {
        return;
    }
    const auto &watcher = m_watchers.at(*first);
    const bool isStable = now - watcher.liveSince >= m_settings.handoverDelay;
    if (isStable && areAllLoaded()) {
        stopWatching(now);
    }
}

} // namespace KingCup
