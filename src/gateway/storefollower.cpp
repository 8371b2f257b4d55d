#include "gateway/storefollower.h"

#include "wire/packedrows.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace KingCup
{

struct StoreFollower::Private {
    StoreFollowerParts parts;
    StoreFollowerHooks hooks;
    TableFollower follower;
    Timer callTimer;
    std::optional<TimePoint> callsAt; // when `callTimer` expires
    Timer startTimer;

    Private(StoreFollowerParts followerParts, TableFollowerSettings settings, StoreFollowerHooks followerHooks)
        : parts(followerParts)
        , hooks(std::move(followerHooks))
        , follower(std::move(settings), followerHooksOf())
    {
    }
    auto followerHooksOf() -> TableFollowerHooks;
    auto onAnswer(std::size_t table, StoreCallId call)
    {
        return [this, table, call, alive = std::weak_ptr(lifetime)](const StoreAnswer &answer) {
            if (alive.lock()) {
                noteSkippedRows(table, answer.page);
                follower.answered(table, call, answer, parts.loop.now());
                scheduleCalls();
            }
        };
    }
    auto noteSkippedRows(std::size_t table, const StorePage &page) -> void;
    auto scheduleCalls() -> void;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0); // store calls may be answered after the destruction
};

namespace
{

auto rowsFrame(const TableRows &rows) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    Wire::StoreRows message;
    message.set_table(static_cast<std::uint32_t>(rows.table));
    message.set_whole(rows.isWhole);
    message.set_up_to(rows.upTo.value());
    if (rows.after) {
        message.set_after(rows.after->value());
    }
    for (const auto &row : rows.rows) {
        auto *added = message.add_rows();
        added->set_key(row.key);
        added->set_version(row.version.value());
        added->set_value(row.value);
        added->set_removed(row.isRemoved);
    }
    *frame.mutable_rows() = packRows(message);
    return frame;
}

auto rowsOf(const Wire::StoreRows &message) -> TableRows
{
    TableRows rows;
    rows.table = message.table();
    rows.isWhole = message.whole();
    rows.upTo = RowVersion(message.up_to());
    if (message.has_after()) {
        rows.after = RowVersion(message.after());
    }
    for (const auto &row : message.rows()) {
        rows.rows.push_back({row.key(), RowVersion(row.version()), row.value(), row.removed()});
    }
    return rows;
}

auto requestFrame(std::size_t table, RowVersion after) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    frame.mutable_store_wanted()->set_table(static_cast<std::uint32_t>(table));
    frame.mutable_store_wanted()->set_after(after.value());
    return frame;
}

} // namespace

auto StoreFollower::Private::followerHooksOf() -> TableFollowerHooks
{
    TableFollowerHooks result;
    result.livePeers = [this] {
        return parts.peers.live();
    };
    result.sendAll = [this](const TableRows &rows) {
        parts.peers.sendAll(rowsFrame(rows));
    };
    result.send = [this](const std::string &peer, const TableRows &rows) {
        parts.peers.send(peer, rowsFrame(rows));
    };
    result.request = [this](const std::string &peer, std::size_t table, RowVersion after) {
        parts.metrics.add("store_tables_requested_total");
        return parts.peers.send(peer, requestFrame(table, after));
    };
    result.read = [this](std::size_t table, StoreCallId call, const std::string &from) {
        parts.store.read(FollowedTables.at(table), {from, ""}, onAnswer(table, call));
    };
    result.watch = [this](std::size_t table, StoreCallId call, RowVersion after, Duration wait) {
        parts.store.watch(FollowedTables.at(table), after, wait, onAnswer(table, call));
    };
    result.onRows = [this](StoreTable table, const std::vector<StoredRow> &rows, RowSource source) {
        if (!rows.empty()) {
            parts.metrics.add(std::string("store_rows_total{table=\"") + toString(table) + "\",source=\"" + toString(source) + "\"}",
                              static_cast<double>(rows.size()));
        }
        hooks.onRows(table, rows);
    };
    result.onUnreachable = [this] {
        hooks.onUnreachable();
    };
    result.onStoreFailing = [this] {
        hooks.onStoreFailing();
    };
    result.onEvent = [this](const FollowerEvent &event) {
        auto line = parts.log.line("store", event.name);
        for (const auto &[key, value] : event.fields) {
            line.add(key, value);
        }
    };
    return result;
}

auto StoreFollower::Private::noteSkippedRows(std::size_t table, const StorePage &page) -> void
{
    if (page.skippedRows == 0) {
        return;
    }
    const auto *name = toString(FollowedTables.at(table));
    parts.metrics.add(std::string("store_rows_skipped_total{table=\"") + name + "\"}", static_cast<double>(page.skippedRows));
    parts.log.line("store", "rows-skipped").add("table", name).add("rows", static_cast<std::uint64_t>(page.skippedRows)).add("version", page.upTo.value());
}

auto StoreFollower::Private::scheduleCalls() -> void
{
    const auto next = follower.nextCallAt();
    if (next == callsAt) {
        return;
    }
    callsAt = next;
    callTimer.cancel();
    if (next) {
        callTimer = parts.loop.after(std::max(*next - parts.loop.now(), Duration()), [this] {
            callsAt.reset();
            follower.advanceCalls(parts.loop.now());
            scheduleCalls();
        });
    }
}

StoreFollower::StoreFollower(StoreFollowerParts parts, TableFollowerSettings settings, StoreFollowerHooks hooks)
    : d(std::make_unique<Private>(parts, std::move(settings), std::move(hooks)))
{
    // Deferred: the owner, to which the hooks belong, is still under construction.
    d->startTimer = parts.loop.after(Duration::micros(1), [this] {
        d->follower.start(d->parts.loop.now());
        d->scheduleCalls();
    });
}

StoreFollower::~StoreFollower() = default;

auto StoreFollower::isLoaded(StoreTable table) const -> bool
{
    return d->follower.isLoaded(table);
}

auto StoreFollower::isWatching() const -> bool
{
    return d->follower.isWatching();
}

auto StoreFollower::followedFor() const -> Duration
{
    return d->follower.followedFor(d->parts.loop.now());
}

auto StoreFollower::isCurrent() const -> bool
{
    return d->follower.isCurrent(d->parts.loop.now());
}

auto StoreFollower::liveWatchers() const -> std::vector<std::string>
{
    return d->follower.liveWatchers(d->parts.loop.now());
}

auto StoreFollower::requestFrom(const std::string &peer, StoreTable table) -> void
{
    d->follower.requestFrom(peer, table);
}

auto StoreFollower::mergeRows(StoreTable table, const std::vector<StoredRow> &rows) -> void
{
    d->follower.mergeRows(table, rows, d->parts.loop.now());
}

auto StoreFollower::writeDigest(Wire::GatewayDigest &digest) const -> void
{
    const auto own = d->follower.digest(d->parts.loop.now());
    digest.set_watches_store(own.isWatching);
    digest.set_store_trouble(own.hasTrouble);
    digest.set_store_failed(own.hasFailed);
    if (own.storeAge) {
        digest.set_store_age_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(own.storeAge->inMillis(), 0, std::numeric_limits<std::uint32_t>::max())));
    }
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        digest.add_tables(own.checksums.at(i));
        digest.add_versions(own.versions.at(i).value());
        if (own.isWatching) {
            digest.add_forwarded(own.forwarded.at(i).value());
        }
    }
}

auto StoreFollower::onDigest(const std::string &id, const Wire::GatewayDigest &digest) -> void
{
    FollowerDigest received;
    received.isWatching = digest.watches_store();
    received.hasTrouble = digest.store_trouble();
    received.hasFailed = digest.has_store_failed() ? digest.store_failed() : digest.store_trouble();
    if (digest.has_store_age_ms()) {
        received.storeAge = Duration::millis(digest.store_age_ms());
    }
    for (int i = 0; i < std::min(digest.tables_size(), static_cast<int>(FollowedTableCount)); ++i) {
        received.checksums.at(static_cast<std::size_t>(i)) = digest.tables(i);
    }
    for (int i = 0; i < std::min(digest.versions_size(), static_cast<int>(FollowedTableCount)); ++i) {
        received.versions.at(static_cast<std::size_t>(i)) = RowVersion(digest.versions(i));
    }
    for (int i = 0; i < std::min(digest.forwarded_size(), static_cast<int>(FollowedTableCount)); ++i) {
        received.forwarded.at(static_cast<std::size_t>(i)) = RowVersion(digest.forwarded(i));
    }
    d->follower.digestReceived(id, received, d->parts.loop.now());
    d->scheduleCalls();
}

auto StoreFollower::onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void
{
    if (frame.has_store_wanted() && frame.store_wanted().table() < FollowedTableCount) {
        d->follower.tableRequested(id, frame.store_wanted().table(), RowVersion(frame.store_wanted().after()));
    }
    if (!frame.has_rows() || frame.rows().table() >= FollowedTableCount) {
        return;
    }
    auto message = unpackRows(frame.rows());
    if (!message) {
        d->parts.log.line("peers", "rows-unreadable").add("peer", id).add("table", toString(FollowedTables.at(frame.rows().table())));
        return;
    }
    message->set_table(frame.rows().table());
    d->follower.rowsReceived(id, rowsOf(*message), d->parts.loop.now());
}

auto StoreFollower::advance() -> void
{
    d->follower.advance(d->parts.loop.now());
    d->scheduleCalls();
    for (const auto table : FollowedTables) {
        d->parts.metrics.set(std::string("store_copy_differs_seconds{table=\"") + toString(table) + "\"}",
                             d->follower.differsFor(table, d->parts.loop.now()).inSeconds());
    }
}

} // namespace KingCup
