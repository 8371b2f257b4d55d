// Index of sections (search for [SECTION]):
//   State        tables, and the state of other gateways
//   Start        where the tables are loaded from at start-up
//   Watching     starting and stopping this gateway's own watches
//   Forwarding   forwarding of rows to other gateways, comparison of checksums
//   Follower     public interface
#include "gateway/storefollower.h"

#include "core/hashing.h"
#include "wire/packedrows.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace KingCup
{

namespace
{

constexpr std::array Tables {StoreTable::Declarations, StoreTable::Targets, StoreTable::Gateways};
constexpr std::size_t TableCount = Tables.size();
constexpr std::size_t GatewaysTable = 2; ///< index in `Tables`

auto nameOf(std::size_t index) -> const char *
{
    constexpr std::array<const char *, TableCount> Names {"declarations", "targets", "gateways"};
    return Names.at(index);
}

/// Index in `Tables`; nothing: the table isn't followed.
auto indexOf(StoreTable table) -> std::optional<std::size_t>
{
    const auto *found = std::find(Tables.begin(), Tables.end(), table);
    return found == Tables.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - Tables.begin()));
}

/// State of another gateway, from its digests.
struct Watcher {
    TimePoint receivedAt;
    TimePoint liveSince; ///< see isLive()
    bool isHealthy = false; ///< it watches the store and reaches it, by its last digest
    std::array<std::uint64_t, TableCount> checksums {}; ///< by table; 0: it hasn't loaded the table
    std::array<RowVersion, TableCount> versions;
};

struct FollowedTable {
    RowMirror mirror;
    std::unique_ptr<TableWatch> watch; ///< while this gateway watches
    TimePoint requestedAt; ///< when it was last requested from a peer, at start-up
    std::optional<TimePoint> differsSince; ///< since when its checksum differs from the first live watcher's
    /// Changes from this gateway's watch that the first watcher should forward, with their time of arrival.
    std::vector<std::pair<TimePoint, StoredRow>> unforwarded;
};

} // namespace

// [SECTION] State

struct StoreFollower::Private {
    EventLoop &loop;
    StoreClient &store;
    EventLog &log;
    GatewayPeers &peers;
    StoreFollowerSettings settings;
    StoreFollowerHooks hooks;
    std::array<FollowedTable, TableCount> tables;
    std::map<std::string, Watcher> watchers;
    StoreWatchers storeWatchers;
    bool watching = false;
    bool hadLiveWatcher = false; // another gateway was a live watcher at the last advance()
    bool isStarting = true; // the source of the tables hasn't been chosen, or not all tables have arrived
    bool isLoadingFromPeers = false; // at start-up, tables are requested from peers
    Timer deferredTimer;
    Timer startTimer;

    Private(EventLoop &ownerLoop,
            StoreClient &storeClient,
            EventLog &eventLog,
            GatewayPeers &gatewayPeers,
            StoreFollowerSettings followerSettings,
            StoreFollowerHooks followerHooks)
        : loop(ownerLoop)
        , store(storeClient)
        , log(eventLog)
        , peers(gatewayPeers)
        , settings(std::move(followerSettings))
        , hooks(std::move(followerHooks))
        , storeWatchers(settings.watchers)
    {
    }
    auto rankOf(const std::string &id) const -> std::uint64_t
    {
        return rendezvousScore("store-watchers", id);
    }
    auto isLive(const Watcher &watcher) const -> bool
    {
        return watcher.isHealthy && loop.now() - watcher.receivedAt < settings.watcherTimeout;
    }
    auto firstLiveWatcher() const -> std::optional<std::string>;
    auto isRankedToWatch() const -> bool;
    auto isFirst() const -> bool;
    auto reachesStore() const -> bool;
    auto start() -> void;
    auto chooseSource() -> void;
    auto requestMissingTables(const std::string &id, const Wire::GatewayDigest &digest) -> void;
    auto requestTable(std::size_t index, const std::string &peer) const -> void;
    auto finishStart() -> void;
    auto areAllLoaded() const -> bool
    {
        return std::all_of(tables.begin(), tables.end(), [](const FollowedTable &table) { return table.mirror.isLoaded(); });
    }
    auto startWatching(const char *why) -> void;
    auto stopWatching() -> void;
    auto watch(std::size_t index) -> void;
    auto renewOtherWatches(std::size_t except) -> void;
    auto applyOwnRows(std::size_t index, std::vector<StoredRow> changed) -> void;
    auto forwardRows(std::size_t index, const std::vector<StoredRow> &rows) -> void;
    auto forwardOverdue() -> void;
    auto updatePause() -> void;
    auto rowsFrame(std::size_t index, const std::vector<StoredRow> &rows, bool isWhole) const -> Wire::ControlFrame;
    auto compareChecksums(const std::string &id, const Watcher &watcher) -> void;
};

/// The other live watcher that ranks first. It forwards changes, unless this gateway itself reaches the store and ranks before it.
auto StoreFollower::Private::firstLiveWatcher() const -> std::optional<std::string>
{
    std::optional<std::string> first;
    for (const auto &[id, watcher] : watchers) {
        if (isLive(watcher) && (!first || rankOf(id) > rankOf(*first))) {
            first = id;
        }
    }
    return first;
}

auto StoreFollower::Private::isRankedToWatch() const -> bool
{
    int ahead = 0;
    for (const auto &id : peers.live()) {
        ahead += rankOf(id) > rankOf(settings.id) ? 1 : 0;
    }
    return ahead < storeWatchers.desiredWatchers(loop.now());
}

auto StoreFollower::Private::reachesStore() const -> bool
{
    return watching && std::all_of(tables.begin(), tables.end(), [](const FollowedTable &table) { return table.watch && table.watch->isReached(); });
}

auto StoreFollower::Private::isFirst() const -> bool
{
    const auto other = firstLiveWatcher();
    return reachesStore() && (!other || rankOf(settings.id) > rankOf(*other));
}

// [SECTION] Start

/// Reads only the gateways' rows at first: their number decides whether the other tables are read from the store or requested from peers.
auto StoreFollower::Private::start() -> void
{
    startTimer = loop.after(settings.peerLoadTimeout, [this] {
        if (!areAllLoaded()) {
            finishStart();
            startWatching("not-loaded");
        }
    });
    watch(GatewaysTable);
}

auto StoreFollower::Private::chooseSource() -> void
{
    if (!isStarting) {
        return; // startTimer fired in the same iteration of the event loop
    }
    int registered = 0;
    int ahead = 0;
    for (const auto &row : tables.at(GatewaysTable).mirror.rows()) {
        registered += row.isRemoved ? 0 : 1;
        ahead += !row.isRemoved && rankOf(row.key) > rankOf(settings.id) ? 1 : 0;
    }
    if (storeWatchers.initialSource(registered, ahead) == TableSource::Store) {
        finishStart();
        startWatching("start");
        return;
    }
    isLoadingFromPeers = true;
    tables.at(GatewaysTable).watch.reset();
    log.line("store", "asking-peers").add("gateways", registered);
}

auto StoreFollower::Private::requestMissingTables(const std::string &id, const Wire::GatewayDigest &digest) -> void
{
    for (std::size_t i = 0; i < TableCount; ++i) {
        auto &table = tables.at(i);
        const bool peerHasTable = static_cast<int>(i) < digest.tables_size() && digest.tables(static_cast<int>(i)) != 0;
        if (peerHasTable && !table.mirror.isLoaded() && loop.now() - table.requestedAt >= settings.peerRetryDelay) {
            table.requestedAt = loop.now();
            requestTable(i, id);
        }
    }
}

auto StoreFollower::Private::requestTable(std::size_t index, const std::string &peer) const -> void
{
    Wire::ControlFrame frame;
    frame.mutable_store_wanted()->set_table(static_cast<std::uint32_t>(index));
    peers.send(peer, frame);
}

auto StoreFollower::Private::finishStart() -> void
{
    if (isLoadingFromPeers) {
        log.line("store", "asked-peers").add("loaded", areAllLoaded());
    }
    isStarting = false;
    isLoadingFromPeers = false;
    startTimer.cancel();
}

// [SECTION] Watching

auto StoreFollower::Private::startWatching(const char *why) -> void
{
    if (watching) {
        return;
    }
    watching = true;
    log.line("store", "watching").add("why", why);
    for (std::size_t i = 0; i < TableCount; ++i) {
        if (!tables.at(i).watch) {
            watch(i);
        }
    }
}

auto StoreFollower::Private::stopWatching() -> void
{
    if (!watching) {
        return;
    }
    watching = false;
    log.line("store", "following").add("watcher", firstLiveWatcher().value_or("-"));
    for (auto &table : tables) {
        table.watch.reset();
        table.unforwarded.clear();
    }
}

auto StoreFollower::Private::watch(std::size_t index) -> void
{
    TableWatchHooks watchHooks;
    watchHooks.onTable = [this, index](const std::vector<StoredRow> &rows, RowVersion upTo) {
        applyOwnRows(index, tables.at(index).mirror.applySnapshot(rows, upTo));
    };
    watchHooks.onChanges = [this, index](const std::vector<StoredRow> &rows) {
        applyOwnRows(index, tables.at(index).mirror.applyChanges(rows));
    };
    watchHooks.onReachabilityChanged = [this, index](bool isReached) {
        log.line("store", isReached ? "reached" : "not-reached").add("for", nameOf(index));
        if (!isReached && Tables.at(index) == StoreTable::Targets) {
            renewOtherWatches(index);
        }
    };
    TableWatchOptions options;
    if (Tables.at(index) == StoreTable::Targets) {
        options.pollTimeout = settings.targetsPollTimeout;
    }
    tables.at(index).watch = std::make_unique<TableWatch>(loop, store, log, Tables.at(index), options, std::move(watchHooks));
}

/// Renews the watches of all other tables when that of the targets has failed. If the store was unreachable while connections stayed open, pending watch calls
/// are never answered, and those for tables that rarely change would wait for 20 s; requests would be handled by outdated declarations for that long. Targets'
/// rows change all the time, so the watch of the targets fails first.
auto StoreFollower::Private::renewOtherWatches(std::size_t except) -> void
{
    for (std::size_t i = 0; i < TableCount; ++i) {
        if (i != except && tables.at(i).watch) {
            tables.at(i).watch->renew();
        }
    }
}

auto StoreFollower::Private::applyOwnRows(std::size_t index, std::vector<StoredRow> changed) -> void
{
    auto &table = tables.at(index);
    hooks.onRows(Tables.at(index), changed);
    if (isStarting && !isLoadingFromPeers && index == GatewaysTable) {
        deferredTimer = loop.after(Duration::micros(1), [this] { chooseSource(); }); // deferred: chooseSource() may destroy the watch that is calling this
    }
    if (changed.empty()) {
        return;
    }
    if (isFirst()) {
        forwardRows(index, changed);
        return;
    }
    for (auto &row : changed) {
        table.unforwarded.emplace_back(loop.now(), std::move(row));
    }
}

// [SECTION] Forwarding

auto StoreFollower::Private::rowsFrame(std::size_t index, const std::vector<StoredRow> &rows, bool isWhole) const -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    Wire::StoreRows message;
    message.set_table(static_cast<std::uint32_t>(index));
    message.set_whole(isWhole);
    message.set_up_to(tables.at(index).mirror.version().value());
    for (const auto &row : rows) {
        auto *added = message.add_rows();
        added->set_key(row.key);
        added->set_version(row.version.value());
        added->set_value(row.value);
        added->set_removed(row.isRemoved);
    }
    *frame.mutable_rows() = packRows(message);
    return frame;
}

auto StoreFollower::Private::forwardRows(std::size_t index, const std::vector<StoredRow> &rows) -> void
{
    if (!peers.live().empty()) {
        peers.sendAll(rowsFrame(index, rows, false));
    }
}

/// Forwards changes that the first watcher should have forwarded: it may have lost the store without having noticed. A change is overdue if the first watcher's
/// digests don't show its version after `fallbackDelay`.
auto StoreFollower::Private::forwardOverdue() -> void
{
    const auto first = firstLiveWatcher();
    for (std::size_t i = 0; i < TableCount; ++i) {
        auto &unforwarded = tables.at(i).unforwarded;
        const auto known = first ? watchers.at(*first).versions.at(i) : RowVersion();
        std::erase_if(unforwarded, [&](const auto &row) { return row.second.version <= known; });
        std::vector<StoredRow> due;
        for (const auto &[since, row] : unforwarded) {
            if (loop.now() - since >= settings.fallbackDelay) {
                due.push_back(row);
            }
        }
        if (due.empty()) {
            continue;
        }
        unforwarded.clear();
        if (isRankedToWatch()) {
            log.line("store", "stands-in").add("table", nameOf(i)).add("for", first.value_or("-")).add("rows", static_cast<int>(due.size()));
            forwardRows(i, due);
        }
    }
}

/// Sets the pause between watch calls for targets. Their rows change all the time, and batched changes take a fraction of the calls. Changes of declarations
/// are never delayed.
auto StoreFollower::Private::updatePause() -> void
{
    const auto pause = isFirst() ? settings.batchDelay : settings.standbyBatchDelay;
    for (std::size_t i = 0; i < TableCount; ++i) {
        if (tables.at(i).watch && Tables.at(i) == StoreTable::Targets) {
            tables.at(i).watch->setPause(pause);
        }
    }
}

/// Compares this gateway's tables with those of the first live watcher. A lasting difference means that a change was missed here: fetches the table again.
auto StoreFollower::Private::compareChecksums(const std::string &id, const Watcher &watcher) -> void
{
    for (std::size_t i = 0; i < TableCount; ++i) {
        auto &table = tables.at(i);
        const bool isSame = watcher.checksums.at(i) == 0 || (table.mirror.isLoaded() && watcher.checksums.at(i) == table.mirror.checksum());
        if (isSame) {
            table.differsSince.reset();
            continue;
        }
        table.differsSince = table.differsSince.value_or(loop.now());
        if (loop.now() - *table.differsSince < settings.repairDelay) {
            continue;
        }
        table.differsSince = loop.now();
        log.line("store", "differs").add("table", nameOf(i)).add("watcher", id);
        if (watching) {
            table.watch->reload();
            continue;
        }
        requestTable(i, id);
    }
}

// [SECTION] Follower

StoreFollower::StoreFollower(EventLoop &loop, StoreClient &store, EventLog &log, GatewayPeers &peers, StoreFollowerSettings settings, StoreFollowerHooks hooks)
    : d(std::make_unique<Private>(loop, store, log, peers, std::move(settings), std::move(hooks)))
{
    // Deferred: the owner, to which the hooks belong, is still under construction.
    d->deferredTimer = loop.after(Duration::micros(1), [this] { d->start(); });
}

StoreFollower::~StoreFollower() = default;

auto StoreFollower::isLoaded(StoreTable table) const -> bool
{
    const auto index = indexOf(table);
    return index && d->tables.at(*index).mirror.isLoaded();
}

auto StoreFollower::isWatching() const -> bool
{
    return d->watching;
}

auto StoreFollower::isCurrent() const -> bool
{
    return d->reachesStore() || d->firstLiveWatcher().has_value();
}

auto StoreFollower::liveWatchers() const -> std::vector<std::string>
{
    std::vector<std::string> ids;
    for (const auto &[id, watcher] : d->watchers) {
        if (d->isLive(watcher)) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto StoreFollower::requestFrom(const std::string &peer, StoreTable table) const -> void
{
    if (const auto index = indexOf(table)) {
        d->requestTable(*index, peer);
    }
}

auto StoreFollower::mergeRows(StoreTable table, const std::vector<StoredRow> &rows) -> void
{
    if (const auto index = indexOf(table)) {
        d->applyOwnRows(*index, d->tables.at(*index).mirror.applyChanges(rows));
    }
}

auto StoreFollower::writeDigest(Wire::GatewayDigest &digest) const -> void
{
    digest.set_watches_store(d->watching);
    digest.set_store_trouble(d->watching && !d->reachesStore());
    for (const auto &table : d->tables) {
        digest.add_tables(table.mirror.isLoaded() ? table.mirror.checksum() : 0);
        digest.add_versions(table.mirror.version().value());
    }
}

auto StoreFollower::onDigest(const std::string &id, const Wire::GatewayDigest &digest) -> void
{
    auto &watcher = d->watchers[id];
    const bool wasLive = d->isLive(watcher);
    watcher.receivedAt = d->loop.now();
    watcher.isHealthy = digest.watches_store() && !digest.store_trouble();
    if (watcher.isHealthy && !wasLive) {
        watcher.liveSince = d->loop.now();
    }
    for (int i = 0; i < std::min(digest.tables_size(), static_cast<int>(TableCount)); ++i) {
        watcher.checksums.at(static_cast<std::size_t>(i)) = digest.tables(i);
    }
    for (int i = 0; i < std::min(digest.versions_size(), static_cast<int>(TableCount)); ++i) {
        watcher.versions.at(static_cast<std::size_t>(i)) = RowVersion(digest.versions(i));
    }
    if (d->isLoadingFromPeers) {
        d->requestMissingTables(id, digest);
    }
    if (watcher.isHealthy && d->firstLiveWatcher() == id && !d->isFirst()) {
        d->compareChecksums(id, watcher);
    }
}

auto StoreFollower::onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void
{
    if (frame.has_store_wanted() && frame.store_wanted().table() < TableCount) {
        const auto index = frame.store_wanted().table();
        if (!d->tables.at(index).mirror.isLoaded()) {
            d->log.line("store", "wanted-not-loaded").add("peer", id).add("table", nameOf(index));
            return;
        }
        d->peers.send(id, d->rowsFrame(index, d->tables.at(index).mirror.rows(), true));
    }
    if (!frame.has_rows() || frame.rows().table() >= TableCount) {
        return;
    }
    const auto index = frame.rows().table();
    const auto message = unpackRows(frame.rows());
    if (!message) {
        d->log.line("peers", "rows-unreadable").add("peer", id).add("table", nameOf(index));
        return;
    }
    std::vector<StoredRow> rows;
    for (const auto &row : message->rows()) {
        rows.push_back({row.key(), RowVersion(row.version()), row.value(), row.removed()});
    }
    auto &mirror = d->tables.at(index).mirror;
    const auto changed = message->whole() ? mirror.applySnapshot(rows, RowVersion(message->up_to())) : mirror.applyChanges(rows);
    d->hooks.onRows(Tables.at(index), changed);
    if (d->isLoadingFromPeers && d->areAllLoaded()) {
        d->finishStart();
    }
}

auto StoreFollower::advance() -> void
{
    d->forwardOverdue();
    d->updatePause();
    if (d->isStarting) {
        return;
    }
    const auto first = d->firstLiveWatcher();
    d->storeWatchers.advance(first || d->reachesStore(), d->loop.now());
    // Also called when a live watcher has just come back: until it has forwarded its rows, those known here may be out of date.
    if (!d->watching && (!first || !d->hadLiveWatcher)) {
        d->hooks.onUnreachable();
    }
    d->hadLiveWatcher = first.has_value();
    if (d->isRankedToWatch()) {
        d->startWatching(first ? "ranks-first" : "no-watcher");
        return;
    }
    if (!first) {
        return;
    }
    const auto &watcher = d->watchers.at(*first);
    const bool isStable = d->loop.now() - watcher.liveSince >= d->settings.handoverDelay;
    if (isStable && d->areAllLoaded()) {
        d->stopWatching();
    }
}

} // namespace KingCup
