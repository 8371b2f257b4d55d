// Index of sections (search for [SECTION]):
//   State      tables, and what watchers say
//   Watching   who watches, and when
//   Passing    rows to and from other gateways
//   Follower   the public face
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
constexpr std::size_t GatewaysTable = 2; ///< in `Tables`

auto nameOf(std::size_t index) -> const char *
{
    constexpr std::array<const char *, TableCount> Names {"declarations", "targets", "gateways"};
    return Names.at(index);
}

/// In `Tables`; nothing: the table isn't followed.
auto indexOf(StoreTable table) -> std::optional<std::size_t>
{
    const auto *found = std::find(Tables.begin(), Tables.end(), table);
    return found == Tables.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - Tables.begin()));
}

/// What another gateway says of itself.
struct Watcher {
    TimePoint receivedAt;
    TimePoint watchesSince; ///< and reaches the store
    bool isHealthy = false;
    std::array<std::uint64_t, TableCount> checksums {};
    std::array<RowVersion, TableCount> versions;
};

struct FollowedTable {
    RowMirror mirror;
    std::unique_ptr<TableWatch> watch; ///< while this gateway watches
    TimePoint askedAt; ///< a peer, at a start
    std::optional<TimePoint> differsSince; ///< from a watcher's
    std::vector<std::pair<TimePoint, StoredRow>> toPass; ///< if the first watcher doesn't; with when they came
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
    StoreWatchers watcherCount;
    bool watching = false;
    bool wasFollowing = false; // a watcher elsewhere reached the store
    bool isStarting = true; // tables are still to come
    bool asksPeers = false; // for them
    Timer firstWatch;
    Timer startLimit;

    Private(EventLoop &ownerLoop, StoreClient &storeClient, EventLog &eventLog, GatewayPeers &links, StoreFollowerSettings own, StoreFollowerHooks tell)
        : loop(ownerLoop)
        , store(storeClient)
        , log(eventLog)
        , peers(links)
        , settings(std::move(own))
        , hooks(std::move(tell))
        , watcherCount(settings.watchers)
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
    auto isAmongFirst() const -> bool;
    auto isFirst() const -> bool;
    auto reachesStore() const -> bool;
    auto start() -> void;
    auto chooseSource() -> void;
    auto askPeer(const std::string &id, const Wire::GatewayDigest &digest) -> void;
    auto requestTable(std::size_t index, const std::string &peer) const -> void;
    auto endStart() -> void;
    auto areAllLoaded() const -> bool
    {
        return std::all_of(tables.begin(), tables.end(), [](const FollowedTable &table) { return table.mirror.isLoaded(); });
    }
    auto startWatching(const char *why) -> void;
    auto stopWatching() -> void;
    auto watch(std::size_t index) -> void;
    auto renewOthers(std::size_t but) -> void;
    auto takeOwn(std::size_t index, std::vector<StoredRow> news) -> void;
    auto passOn(std::size_t index, const std::vector<StoredRow> &rows) -> void;
    auto passPending() -> void;
    auto pace() -> void;
    auto rowsFrame(std::size_t index, const std::vector<StoredRow> &rows, bool isWhole) const -> Wire::ControlFrame;
    auto compare(const std::string &id, const Watcher &watcher) -> void;
};

/// The watcher that passes changes on: the one that ranks first of those that reach the store.
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

auto StoreFollower::Private::isAmongFirst() const -> bool
{
    int ahead = 0;
    for (const auto &id : peers.live()) {
        ahead += rankOf(id) > rankOf(settings.id) ? 1 : 0;
    }
    return ahead < watcherCount.desiredWatchers(loop.now());
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

/// Only the gateways' rows at first: how many they are says from where the other tables are to come.
auto StoreFollower::Private::start() -> void
{
    startLimit = loop.after(settings.peerLoadTimeout, [this] {
        if (!areAllLoaded()) {
            endStart();
            startWatching("not-loaded");
        }
    });
    watch(GatewaysTable);
}

auto StoreFollower::Private::chooseSource() -> void
{
    if (!isStarting) {
        return; // the limit of the start came in the same turn of the loop
    }
    int registered = 0;
    int ahead = 0;
    for (const auto &row : tables.at(GatewaysTable).mirror.rows()) {
        registered += row.isRemoved ? 0 : 1;
        ahead += !row.isRemoved && rankOf(row.key) > rankOf(settings.id) ? 1 : 0;
    }
    if (watcherCount.initialSource(registered, ahead) == TableSource::Store) {
        endStart();
        startWatching("start");
        return;
    }
    asksPeers = true;
    tables.at(GatewaysTable).watch.reset();
    log.line("store", "asking-peers").add("gateways", registered);
}

auto StoreFollower::Private::askPeer(const std::string &id, const Wire::GatewayDigest &digest) -> void
{
    for (std::size_t i = 0; i < TableCount; ++i) {
        auto &table = tables.at(i);
        const bool hasIt = static_cast<int>(i) < digest.tables_size() && digest.tables(static_cast<int>(i)) != 0;
        if (hasIt && !table.mirror.isLoaded() && loop.now() - table.askedAt >= settings.peerRetryDelay) {
            table.askedAt = loop.now();
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

auto StoreFollower::Private::endStart() -> void
{
    if (asksPeers) {
        log.line("store", "asked-peers").add("loaded", areAllLoaded());
    }
    isStarting = false;
    asksPeers = false;
    startLimit.cancel();
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
        table.toPass.clear();
    }
}

auto StoreFollower::Private::watch(std::size_t index) -> void
{
    TableWatchHooks watchHooks;
    watchHooks.onTable = [this, index](const std::vector<StoredRow> &rows, RowVersion upTo) {
        takeOwn(index, tables.at(index).mirror.applySnapshot(rows, upTo));
    };
    watchHooks.onChanges = [this, index](const std::vector<StoredRow> &rows) {
        takeOwn(index, tables.at(index).mirror.applyChanges(rows));
    };
    watchHooks.onReachabilityChanged = [this, index](bool isReached) {
        log.line("store", isReached ? "reached" : "not-reached").add("for", nameOf(index));
        if (!isReached && Tables.at(index) == StoreTable::Targets) {
            renewOthers(index);
        }
    };
    TableWatchOptions options;
    if (Tables.at(index) == StoreTable::Targets) {
        options.pollTimeout = settings.targetsPollTimeout;
    }
    tables.at(index).watch = std::make_unique<TableWatch>(loop, store, log, Tables.at(index), options, std::move(watchHooks));
}

/// The store was away without closing connections: calls that waited there are never answered, and those for tables that hardly change would go on waiting
/// for twenty seconds. Callers would be served by old declarations as long. Targets' rows change all the time, so their watch tells first.
auto StoreFollower::Private::renewOthers(std::size_t but) -> void
{
    for (std::size_t i = 0; i < TableCount; ++i) {
        if (i != but && tables.at(i).watch) {
            tables.at(i).watch->renew();
        }
    }
}

auto StoreFollower::Private::takeOwn(std::size_t index, std::vector<StoredRow> news) -> void
{
    auto &table = tables.at(index);
    hooks.onRows(Tables.at(index), news);
    if (isStarting && !asksPeers && index == GatewaysTable) {
        firstWatch = loop.after(Duration::micros(1), [this] { chooseSource(); }); // not from within the watch, which may end by that
    }
    if (news.empty()) {
        return;
    }
    if (isFirst()) {
        passOn(index, news);
        return;
    }
    for (auto &row : news) {
        table.toPass.emplace_back(loop.now(), std::move(row));
    }
}

// [SECTION] Passing

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

auto StoreFollower::Private::passOn(std::size_t index, const std::vector<StoredRow> &rows) -> void
{
    if (!peers.live().empty()) {
        peers.sendAll(rowsFrame(index, rows, false));
    }
}

/// The first watcher may have lost the store without knowing it yet: what its digests don't show after a while is passed on by the others.
auto StoreFollower::Private::passPending() -> void
{
    const auto first = firstLiveWatcher();
    for (std::size_t i = 0; i < TableCount; ++i) {
        auto &waiting = tables.at(i).toPass;
        const auto known = first ? watchers.at(*first).versions.at(i) : RowVersion();
        std::erase_if(waiting, [&](const auto &row) { return row.second.version <= known; });
        std::vector<StoredRow> due;
        for (const auto &[since, row] : waiting) {
            if (loop.now() - since >= settings.fallbackDelay) {
                due.push_back(row);
            }
        }
        if (due.empty()) {
            continue;
        }
        waiting.clear();
        if (isAmongFirst()) {
            log.line("store", "stands-in").add("table", nameOf(i)).add("for", first.value_or("-")).add("rows", static_cast<int>(due.size()));
            passOn(i, due);
        }
    }
}

/// Targets' rows change all the time; gathered for a moment they take a fraction of the calls. Declarations are never held up.
auto StoreFollower::Private::pace() -> void
{
    const auto pause = isFirst() ? settings.batchDelay : settings.standbyBatchDelay;
    for (std::size_t i = 0; i < TableCount; ++i) {
        if (tables.at(i).watch && Tables.at(i) == StoreTable::Targets) {
            tables.at(i).watch->setPause(pause);
        }
    }
}

/// A difference that lasts means that something was missed here.
auto StoreFollower::Private::compare(const std::string &id, const Watcher &watcher) -> void
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
    // Not from within the constructor: the hooks belong to an owner that is still being built.
    d->firstWatch = loop.after(Duration::micros(1), [this] { d->start(); });
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
        d->takeOwn(*index, d->tables.at(*index).mirror.applyChanges(rows));
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
    const bool wasTrusted = d->isLive(watcher);
    watcher.receivedAt = d->loop.now();
    watcher.isHealthy = digest.watches_store() && !digest.store_trouble();
    if (watcher.isHealthy && !wasTrusted) {
        watcher.watchesSince = d->loop.now();
    }
    for (int i = 0; i < std::min(digest.tables_size(), static_cast<int>(TableCount)); ++i) {
        watcher.checksums.at(static_cast<std::size_t>(i)) = digest.tables(i);
    }
    for (int i = 0; i < std::min(digest.versions_size(), static_cast<int>(TableCount)); ++i) {
        watcher.versions.at(static_cast<std::size_t>(i)) = RowVersion(digest.versions(i));
    }
    if (d->asksPeers) {
        d->askPeer(id, digest);
    }
    if (watcher.isHealthy && d->firstLiveWatcher() == id && !d->isFirst()) {
        d->compare(id, watcher);
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
    const auto news = message->whole() ? mirror.applySnapshot(rows, RowVersion(message->up_to())) : mirror.applyChanges(rows);
    d->hooks.onRows(Tables.at(index), news);
    if (d->asksPeers && d->areAllLoaded()) {
        d->endStart();
    }
}

auto StoreFollower::advance() -> void
{
    d->passPending();
    d->pace();
    if (d->isStarting) {
        return;
    }
    const auto first = d->firstLiveWatcher();
    d->watcherCount.advance(first || d->reachesStore(), d->loop.now());
    // Until the watcher that is back has passed its rows on, those known here may still be out of date.
    if (!d->watching && (!first || !d->wasFollowing)) {
        d->hooks.onUnreachable();
    }
    d->wasFollowing = first.has_value();
    if (d->isAmongFirst()) {
        d->startWatching(first ? "ranks-first" : "no-watcher");
        return;
    }
    if (!first) {
        return;
    }
    const auto &watcher = d->watchers.at(*first);
    const bool hasBeenThere = d->loop.now() - watcher.watchesSince >= d->settings.handoverDelay;
    if (hasBeenThere && d->areAllLoaded()) {
        d->stopWatching();
    }
}

} // namespace KingCup
