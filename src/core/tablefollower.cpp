// Index of sections (search for [SECTION]):
//   State        ranking and liveness of the watchers
//   Start        where the tables are loaded from at start-up
//   Watching     starting and stopping this gateway's own watches
//   Forwarding   forwarding of rows to other gateways
//   Repair       changes that were missed
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
    case RowSource::EqualCopy:
        return "equal-copy";
    }
    return "?";
}

// [SECTION] State

auto TableFollower::isLive(const Peer &watcher, TimePoint now) const -> bool
{
    return watcher.isHealthy && now - watcher.provenAt < m_settings.maxProofAge;
}

/// A watcher that has to be replaced.
auto TableFollower::isLost(const std::string &id, TimePoint now) const -> bool
{
    if (!m_watcherIds.contains(id)) {
        return false;
    }
    const auto &watcher = m_peers.at(id);
    const bool isUnhealthy = !watcher.isHealthy && now - watcher.healthChangedAt >= m_settings.watchers.doubleAfter;
    return isUnhealthy || now - watcher.provenAt >= m_settings.maxProofAge;
}

/// When the store last answered any watcher, as far as is known.
auto TableFollower::newestProof() const -> TimePoint
{
    auto newest = m_isWatching ? m_provenAt : TimePoint();
    for (const auto &id : m_watcherIds) {
        newest = std::max(newest, m_peers.at(id).provenAt);
    }
    return newest;
}

/// This gateway's own watch was answered.
auto TableFollower::storeAnswered(std::size_t index) -> void
{
    if (index == TargetsTable) {
        noteInterruption(m_now);
        m_provenAt = m_now;
    }
}

/// Called before each new proof.
auto TableFollower::noteInterruption(TimePoint now) -> void
{
    if (now - newestProof() >= m_settings.maxProofAge) {
        m_unfollowedAt = now;
    }
}

auto TableFollower::hasStoreFailed(TimePoint now) const -> bool
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &peer) {
        return peer.second.digest.hasFailed && now - peer.second.receivedAt < m_settings.maxProofAge;
    });
}

/// The other live watcher that ranks first. It forwards changes, unless this gateway itself reaches the store and ranks before it.
auto TableFollower::firstLiveWatcher(TimePoint now) const -> std::optional<std::string>
{
    const Peer *first = nullptr;
    std::optional<std::string> firstId;
    for (const auto &id : m_watcherIds) {
        const auto &watcher = m_peers.at(id);
        if (isLive(watcher, now) && (first == nullptr || watcher.rank > first->rank)) {
            first = &watcher;
            firstId = id;
        }
    }
    return firstId;
}

auto TableFollower::isRankedToWatch(TimePoint now) const -> bool
{
    // While nobody reaches the store, lost watchers keep their ranks: the number of those that try is limited.
    const bool areLostReplaced = reachesStore(now) || firstLiveWatcher(now);
    const auto peers = m_hooks.livePeers();
    int ahead = 0;
    for (const auto &id : peers) {
        ahead += rankOf(id) > rankOf(m_settings.id) && !(areLostReplaced && isLost(id, now)) ? 1 : 0;
    }
    return m_storeWatchers.isDesired(ahead, static_cast<int>(peers.size()) + 1, now);
}

auto TableFollower::reachesStore(TimePoint now) const -> bool
{
    return m_isWatching && now - m_provenAt < m_settings.maxProofAge
        && std::all_of(m_tables.begin(), m_tables.end(), [](const FollowedTable &table) { return table.watch->isReached(); });
}

/// Number of the other live watchers that rank before this gateway.
auto TableFollower::watchersAhead(TimePoint now) const -> int
{
    const auto ownRank = rankOf(m_settings.id);
    return static_cast<int>(std::count_if(m_watcherIds.begin(), m_watcherIds.end(), [&](const std::string &id) {
        const auto &watcher = m_peers.at(id);
        return isLive(watcher, now) && watcher.rank > ownRank;
    }));
}

auto TableFollower::isFirst(TimePoint now) const -> bool
{
    return reachesStore(now) && watchersAhead(now) == 0;
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
    m_unfollowedAt = now;
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
    m_watchingSince = m_now;
    m_provenAt = TimePoint();
    m_failedAt.reset();
    note("watching", {{"why", why}});
    for (auto &table : m_tables) {
        table.isReadOnce = false;
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
        const auto before = mirror.completeTo();
        const auto changed = mirror.applySnapshot(rows, upTo);
        copyAdvanced(index, before, RowSource::Read, "-");
        storeAnswered(index);
        if (wasLoaded) {
            applyOwnRows(index, changed, RowSource::Read);
        } else {
            loadedFromStore(index, changed);
        }
        endRepair(index);
    };
    hooks.onChanges = [this, index](const std::vector<StoredRow> &rows, RowVersion after, RowVersion upTo) {
        auto &mirror = m_tables.at(index).mirror;
        const auto before = mirror.completeTo();
        const auto changed = mirror.applyChanges(rows);
        mirror.markComplete(after, upTo);
        copyAdvanced(index, before, RowSource::Watch, "-");
        storeAnswered(index);
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
    return std::any_of(m_watcherIds.begin(), m_watcherIds.end(), [&](const std::string &id) {
        const auto &watcher = m_peers.at(id);
        return isLive(watcher, now) && watcher.digest.forwarded.at(index) >= version;
    });
}

/// Forwards all changes since the last ones that are known to have been forwarded, so that the receivers notice if they lack earlier ones. Receivers needn't
/// know that the store answered since then without a change: they would take that for a change that they lack.
auto TableFollower::forwardHeld(std::size_t index) -> void
{
    auto &table = m_tables.at(index);
    const auto after = table.mirror.lastChange(forwardedTo(index));
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

/// Sets the pause between watch calls for targets. Their rows change all the time, and batched changes take a fraction of the calls. Changes of declarations
/// are never delayed.
auto TableFollower::updatePause(TimePoint now) -> void
{
    m_tables.at(TargetsTable).watch->setPause(isFirst(now) ? m_settings.batchDelay : m_settings.standbyBatchDelay);
}

// [SECTION] Repair

/// Compares this gateway's copy of a table with that of the sender of a digest.
auto TableFollower::compare(std::size_t index, const std::string &id, const Peer &peer, TimePoint now) -> void
{
    auto &table = m_tables.at(index);
    const auto checksum = peer.digest.checksums.at(index);
    const auto version = peer.digest.versions.at(index);
    if (checksum == 0 || !table.mirror.isLoaded()) {
        return;
    }
    trackDifference(index, checksum == table.mirror.checksum(), id, peer, now);
    if (checksum == table.mirror.checksum()) {
        table.differsSince.reset();
        const auto before = table.mirror.completeTo();
        table.mirror.markComplete(before, version); // the same rows
        copyAdvanced(index, before, RowSource::EqualCopy, id);
        return;
    }
    if (version > table.mirror.completeTo()) {
        startRepair(index, {.dueAt = now + m_settings.repairDelay, .target = version}, id);
    } else if (version == table.mirror.completeTo()) {
        detectDifference(index, id, peer, now);
    }
}

/// A copy that differs from the first live watcher's though both are complete up to the same version: one of them has a row that no longer exists.
auto TableFollower::detectDifference(std::size_t index, const std::string &id, const Peer &peer, TimePoint now) -> void
{
    auto &table = m_tables.at(index);
    if (!peer.isHealthy || firstLiveWatcher(now) != id || isFirst(now)) {
        return;
    }
    table.differsSince = table.differsSince.value_or(now);
    if (now - *table.differsSince >= m_settings.repairDelay) {
        table.differsSince.reset();
        note("differs", {{"table", nameOf(index)}, {"watcher", id}, {"version", textOf(table.mirror.completeTo())}});
        startRepair(index, {.dueAt = now, .target = table.mirror.completeTo(), .isWhole = true}, id);
    }
}

auto TableFollower::copyAdvanced(std::size_t index, RowVersion before, RowSource source, const std::string &peer) -> void
{
    auto &table = m_tables.at(index);
    if (table.mirror.completeTo() > before) {
        table.versionSource = source;
        table.versionPeer = peer;
        table.versionAt = m_now;
    }
}

/// Targets' copies differ from each other most of the time, as their rows change all the time.
auto TableFollower::trackDifference(std::size_t index, bool isEqual, const std::string &id, const Peer &peer, TimePoint now) -> void
{
    auto &table = m_tables.at(index);
    if (index == TargetsTable || !isLive(peer, now)) {
        return;
    }
    if (isEqual) {
        table.unequalSince.reset();
        return;
    }
    table.unequalSince = table.unequalSince.value_or(now);
    if (!table.repair && !isFirst(now) && now - *table.unequalSince >= m_settings.maxDifference) {
        startRepair(index, {.dueAt = now, .isWhole = true}, id);
    }
    if (now - std::max(*table.unequalSince, table.differenceLoggedAt) >= m_settings.differenceLogPeriod) {
        table.differenceLoggedAt = now;
        logDifference(index, id, peer, now);
    }
}

/// Shows whether a copy that stays outdated counts as complete, or has a repair that doesn't end.
auto TableFollower::logDifference(std::size_t index, const std::string &id, const Peer &peer, TimePoint now) -> void
{
    const auto &table = m_tables.at(index);
    const auto &repair = table.repair;
    note("still-differs",
         {{"table", nameOf(index)},
          {"for-ms", std::to_string((now - *table.unequalSince).inMillis())},
          {"version", textOf(table.mirror.completeTo())},
          {"source", toString(table.versionSource)},
          {"from", table.versionPeer},
          {"age-ms", std::to_string((now - table.versionAt).inMillis())},
          {"watcher", id},
          {"watcher-version", textOf(peer.digest.versions.at(index))},
          {"repair",
           !repair               ? "none"
               : repair->isWhole ? "whole"
                                 : "changes"},
          {"target", repair ? textOf(repair->target) : "-"},
          {"requested-from", repair && repair->requestedAt ? repair->requestedFrom : "-"},
          {"unanswered", repair ? std::to_string(repair->unanswered) : "-"}});
}

auto TableFollower::startRepair(std::size_t index, const Repair &repair, const std::string &seenAt) -> void
{
    auto &known = m_tables.at(index).repair;
    if (known && (known->isWhole || !repair.isWhole)) {
        known->dueAt = std::min(known->dueAt, repair.dueAt);
        return;
    }
    if (isLogged(index, RowSource::Watch)) {
        note("behind",
             {{"table", nameOf(index)}, {"version", textOf(m_tables.at(index).mirror.completeTo())}, {"seen", textOf(repair.target)}, {"seen-at", seenAt}});
    }
    known = repair;
}

/// Requests what is missing once it is due, and again from another gateway if it doesn't arrive.
auto TableFollower::advanceRepair(std::size_t index, TimePoint now) -> void
{
    auto &table = m_tables.at(index);
    if (!table.mirror.isLoaded() && m_isLoadingFromPeers && !table.repair) {
        table.repair = Repair {.dueAt = now};
    }
    if (!table.repair) {
        return;
    }
    auto &repair = *table.repair;
    if (table.mirror.isLoaded() && !repair.isWhole && table.mirror.completeTo() >= repair.target) {
        endRepair(index);
        return;
    }
    if (now < repair.dueAt || (repair.requestedAt && now - *repair.requestedAt < m_settings.requestTimeout)) {
        return;
    }
    repair.unanswered += repair.requestedAt ? 1 : 0;
    if (m_isWatching && !table.watch->isReading()) {
        table.watch->renew(); // a watch call that is still pending may never be answered
    }
    if (repair.unanswered >= m_settings.maxUnansweredRequests) {
        repair.unanswered = 0;
        repair.requestedAt = now;
        readOnce(index);
        return;
    }
    const char *why = !table.mirror.isLoaded() ? "start" : repair.isWhole ? "differs" : "behind";
    const auto sources = sourcesOf(index);
    const auto requested = std::find_if(sources.begin(), sources.end(), [&](const std::string &source) { return request(index, source, why); });
    if (requested != sources.end()) {
        repair.requestedFrom = *requested;
    }
    if (requested != sources.end() || table.mirror.isLoaded()) {
        repair.requestedAt = now; // an attempt without any connected source counts like one without an answer
    }
}

auto TableFollower::endRepair(std::size_t index) -> void
{
    auto &table = m_tables.at(index);
    table.repair.reset();
    table.unequalSince.reset();
    if (std::exchange(table.isReadOnce, false)) {
        table.watch->stop();
    }
}

/// Live gateways that have changes which are missing here, in random order: first those that have all of them, and last the one that was asked last.
auto TableFollower::sourcesOf(std::size_t index) -> std::vector<std::string>
{
    const auto &table = m_tables.at(index);
    std::vector<std::string> sources;
    for (const auto &id : m_hooks.livePeers()) {
        const auto found = m_peers.find(id);
        if (found == m_peers.end()) {
            continue;
        }
        const auto checksum = found->second.digest.checksums.at(index);
        const bool isDifferent = checksum != 0 && checksum != table.mirror.checksum();
        const bool isAhead = !table.mirror.isLoaded() || found->second.digest.versions.at(index) > table.mirror.completeTo();
        if (isDifferent && (isAhead || table.repair->isWhole)) {
            sources.push_back(id);
        }
    }
    std::shuffle(sources.begin(), sources.end(), m_random);
    std::stable_partition(
        sources.begin(), sources.end(), [&](const std::string &id) { return m_peers.at(id).digest.versions.at(index) >= table.repair->target; });
    std::stable_partition(sources.begin(), sources.end(), [&](const std::string &id) { return id != table.repair->requestedFrom; });
    return sources;
}

/// Reads the table from the store, once, although this gateway doesn't watch it.
auto TableFollower::readOnce(std::size_t index) -> void
{
    auto &table = m_tables.at(index);
    if (!table.watch->isRunning()) {
        note("reads-once", {{"table", nameOf(index)}});
        table.isReadOnce = true;
        table.watch->start();
    }
}

auto TableFollower::request(std::size_t index, const std::string &peer, const char *why) -> bool
{
    const auto &table = m_tables.at(index);
    const bool isWhole = !table.mirror.isLoaded() || (table.repair && table.repair->isWhole);
    const auto after = isWhole ? RowVersion() : table.mirror.completeTo();
    const bool isSent = m_hooks.request(peer, index, after);
    note("requested", {{"table", nameOf(index)}, {"peer", peer}, {"why", why}, {"after", textOf(after)}, {"sent", isSent ? "yes" : "no-connection"}});
    return isSent;
}

// [SECTION] Follower

TableFollower::TableFollower(TableFollowerSettings settings, TableFollowerHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_storeWatchers(m_settings.watchers)
    , m_random(static_cast<std::minstd_rand::result_type>(m_settings.seed))
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
    return reachesStore(now) || firstLiveWatcher(now).has_value();
}

auto TableFollower::followedFor(TimePoint now) const -> Duration
{
    return now - newestProof() >= m_settings.maxProofAge ? Duration() : now - m_unfollowedAt;
}

auto TableFollower::liveWatchers(TimePoint now) const -> std::vector<std::string>
{
    std::vector<std::string> ids;
    for (const auto &id : m_watcherIds) {
        if (isLive(m_peers.at(id), now)) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto TableFollower::digest(TimePoint now) const -> FollowerDigest
{
    FollowerDigest digest;
    digest.isWatching = m_isWatching;
    digest.hasTrouble = m_isWatching && !reachesStore(now);
    digest.storeAge = m_isWatching ? std::optional(now - m_provenAt) : std::nullopt;
    digest.hasFailed = m_isWatching ? std::any_of(m_tables.begin(), m_tables.end(), [](const FollowedTable &table) { return table.watch->hasFailed(); })
                                    : m_failedAt && now - *m_failedAt < m_settings.failureMemory;
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        const auto &mirror = m_tables.at(i).mirror;
        digest.checksums.at(i) = mirror.isLoaded() ? mirror.checksum() : 0;
        digest.versions.at(i) = mirror.completeTo();
        digest.forwarded.at(i) = forwardedTo(i);
    }
    return digest;
}

auto TableFollower::differsFor(StoreTable table, TimePoint now) const -> Duration
{
    const auto index = followedIndex(table);
    const auto since = index ? m_tables.at(*index).unequalSince : std::nullopt;
    return since ? now - *since : Duration();
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
    noteInterruption(now);
    auto &sender = m_peers[peer];
    const bool wasLive = isLive(sender, now);
    sender.rank = rankOf(peer);
    sender.receivedAt = now;
    sender.provenAt = now - digest.storeAge.value_or(Duration());
    sender.digest = digest;
    const bool isHealthy = digest.isWatching && !digest.hasTrouble;
    if (std::exchange(sender.isHealthy, isHealthy) != isHealthy) {
        sender.healthChangedAt = now;
    }
    if (isLive(sender, now) && !wasLive) {
        sender.liveSince = now;
    }
    if (digest.isWatching) {
        m_watcherIds.insert(peer);
    } else {
        m_watcherIds.erase(peer);
    }
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        compare(i, peer, sender, now);
        advanceRepair(i, now);
    }
}

auto TableFollower::tableRequested(const std::string &peer, std::size_t table, RowVersion after) -> void
{
    const auto &mirror = m_tables.at(table).mirror;
    if (!mirror.isLoaded()) {
        note("wanted-not-loaded", {{"peer", peer}, {"table", nameOf(table)}});
        return;
    }
    TableRows rows {.table = table, .upTo = mirror.completeTo()};
    if (after > RowVersion() && mirror.knowsRemovalsSince(after)) {
        rows.after = after;
        rows.rows = mirror.changesSince(after);
    } else {
        rows.isWhole = true;
        rows.rows = mirror.rows();
    }
    note("sent-table",
         {{"table", nameOf(table)},
          {"peer", peer},
          {"version", textOf(rows.upTo)},
          {"rows", std::to_string(rows.rows.size())},
          {"whole", rows.isWhole ? "yes" : "no"}});
    m_hooks.send(peer, rows);
}

auto TableFollower::requestFrom(const std::string &peer, StoreTable table) -> void
{
    if (const auto index = followedIndex(table)) {
        request(*index, peer, "proof");
    }
}

auto TableFollower::rowsReceived(const std::string &peer, const TableRows &rows, TimePoint now) -> void
{
    m_now = now;
    auto &table = m_tables.at(rows.table);
    const bool wasLoaded = table.mirror.isLoaded();
    const auto before = table.mirror.completeTo();
    const auto source = rows.isWhole ? RowSource::PeerTable : RowSource::Forwarded;
    const auto changed = rows.isWhole ? table.mirror.applySnapshot(rows.rows, rows.upTo) : table.mirror.applyChanges(rows.rows);
    if (rows.isWhole) {
        if (table.repair && (table.repair->isWhole || table.mirror.completeTo() >= table.repair->target)) {
            endRepair(rows.table);
        }
    } else if (!table.mirror.markComplete(rows.after.value_or(before), rows.upTo) && wasLoaded) {
        startRepair(rows.table, {.dueAt = now + m_settings.gapDelay, .target = rows.upTo}, peer);
    }
    copyAdvanced(rows.table, before, source, peer);
    applyRows(rows.table, changed, source, peer);
    if (m_isWatching && rows.isWhole && wasLoaded && !changed.empty()) {
        holdRows(rows.table, changed); // the peer may not have forwarded them yet
    }
    advanceRepair(rows.table, now);
    if (m_isLoadingFromPeers && areAllLoaded()) {
        finishStart();
    }
}

/// Also reports when a live watcher has just come back: until it has forwarded its rows, those known here may be out of date.
auto TableFollower::reportReachability(bool hasLiveWatcher, TimePoint now) -> void
{
    m_hasStoreFailed = m_hasStoreFailed || (!hasLiveWatcher && hasStoreFailed(now));
    if (!m_isWatching && (!hasLiveWatcher || !m_hadLiveWatcher)) {
        m_hooks.onUnreachable();
        if (m_hasStoreFailed) {
            m_hooks.onStoreFailing();
        }
    }
    m_hasStoreFailed = m_hasStoreFailed && !hasLiveWatcher;
    m_hadLiveWatcher = hasLiveWatcher;
}

auto TableFollower::updateFollowed(bool isFollowed, TimePoint now) -> void
{
    const auto provenAt = newestProof();
    if (!isFollowed) {
        m_unfollowedAt = now;
    }
    if (std::exchange(m_wasFollowed, isFollowed) && !isFollowed) {
        note("not-followed", {{"proof-age-ms", std::to_string((now - provenAt).inMillis())}, {"watchers", std::to_string(m_watcherIds.size())}});
    }
    // The first gateways that replace silent watchers needn't wait: the store has answered nobody for longer than that already.
    const bool isSilent = now - provenAt >= m_settings.maxProofAge;
    m_storeWatchers.advance(isFollowed, isSilent ? now - m_settings.watchers.doubleAfter : now);
}

/// Stops watches that the store hasn't answered, as it is the turn of other gateways.
auto TableFollower::endTurn() -> void
{
    if (m_isWatching && std::none_of(m_tables.begin(), m_tables.end(), [](const FollowedTable &table) { return table.watch->isReached(); })) {
        m_failedAt = m_now;
        stopWatching(m_now);
    }
}

auto TableFollower::advance(TimePoint now) -> void
{
    m_now = now;
    forwardOverdue(now);
    updatePause(now);
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        advanceRepair(i, now);
    }
    if (m_isStarting) {
        return;
    }
    const auto first = firstLiveWatcher(now);
    updateFollowed(first || reachesStore(now), now);
    reportReachability(first.has_value(), now);
    if (isRankedToWatch(now)) {
        startWatching(first ? "ranks-first" : "no-watcher");
        return;
    }
    if (!first) {
        endTurn();
        return;
    }
    const auto &watcher = m_peers.at(*first);
    const bool isStable = now - std::max(watcher.liveSince, m_watchingSince) >= m_settings.handoverDelay;
    if (isStable && areAllLoaded()) {
        stopWatching(now);
    }
}

} // namespace KingCup
