#include "gateway/storefollower.h"

#include "wire/packedrows.h"

#include <algorithm>
#include <optional>

namespace KingCup
{

struct StoreFollower::Private {
    EventLoop &loop;
    StoreClient &store;
    EventLog &log;
    GatewayPeers &peers;
    StoreFollowerHooks hooks;
    TableFollower follower;
    Timer callTimer;
    std::optional<TimePoint> callsAt; // when `callTimer` expires
    Timer startTimer;

    Private(EventLoop &ownerLoop,
            StoreClient &storeClient,
            EventLog &eventLog,
            GatewayPeers &gatewayPeers,
            TableFollowerSettings settings,
            StoreFollowerHooks followerHooks)
        : loop(ownerLoop)
        , store(storeClient)
        , log(eventLog)
        , peers(gatewayPeers)
        , hooks(std::move(followerHooks))
        , follower(std::move(settings), followerHooksOf())
    {
    }
    auto followerHooksOf() -> TableFollowerHooks;
    auto onAnswer(std::size_t table, StoreCallId call)
    {
        return [this, table, call, alive = std::weak_ptr(lifetime)](const StoreAnswer &answer) {
            if (alive.lock()) {
                follower.answered(table, call, answer, loop.now());
                scheduleCalls();
            }
        };
    }
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
    for (const auto &row : message.rows()) {
        rows.rows.push_back({row.key(), RowVersion(row.version()), row.value(), row.removed()});
    }
    return rows;
}

auto requestFrame(std::size_t table) -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    frame.mutable_store_wanted()->set_table(static_cast<std::uint32_t>(table));
    return frame;
}

} // namespace

auto StoreFollower::Private::followerHooksOf() -> TableFollowerHooks
{
    TableFollowerHooks result;
    result.livePeers = [this] {
        return peers.live();
    };
    result.sendAll = [this](const TableRows &rows) {
        peers.sendAll(rowsFrame(rows));
    };
    result.send = [this](const std::string &peer, const TableRows &rows) {
        peers.send(peer, rowsFrame(rows));
    };
    result.request = [this](const std::string &peer, std::size_t table) {
        peers.send(peer, requestFrame(table));
    };
    result.read = [this](std::size_t table, StoreCallId call, const std::string &from) {
        store.read(FollowedTables.at(table), from, onAnswer(table, call));
    };
    result.watch = [this](std::size_t table, StoreCallId call, RowVersion after, Duration wait) {
        store.watch(FollowedTables.at(table), after, wait, onAnswer(table, call));
    };
    result.onRows = [this](StoreTable table, const std::vector<StoredRow> &rows) {
        hooks.onRows(table, rows);
    };
    result.onUnreachable = [this] {
        hooks.onUnreachable();
    };
    result.onEvent = [this](const FollowerEvent &event) {
        auto line = log.line("store", event.name);
        for (const auto &[key, value] : event.fields) {
            line.add(key, value);
        }
    };
    return result;
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
        callTimer = loop.after(std::max(*next - loop.now(), Duration()), [this] {
            callsAt.reset();
            follower.advanceCalls(loop.now());
            scheduleCalls();
        });
    }
}

StoreFollower::StoreFollower(EventLoop &loop, StoreClient &store, EventLog &log, GatewayPeers &peers, TableFollowerSettings settings, StoreFollowerHooks hooks)
    : d(std::make_unique<Private>(loop, store, log, peers, std::move(settings), std::move(hooks)))
{
    // Deferred: the owner, to which the hooks belong, is still under construction.
    d->startTimer = loop.after(Duration::micros(1), [this] {
        d->follower.start(d->loop.now());
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

auto StoreFollower::isCurrent() const -> bool
{
    return d->follower.isCurrent(d->loop.now());
}

auto StoreFollower::liveWatchers() const -> std::vector<std::string>
{
    return d->follower.liveWatchers(d->loop.now());
}

auto StoreFollower::requestFrom(const std::string &peer, StoreTable table) const -> void
{
    if (const auto index = followedIndex(table)) {
        d->peers.send(peer, requestFrame(*index));
    }
}

auto StoreFollower::mergeRows(StoreTable table, const std::vector<StoredRow> &rows) -> void
{
    d->follower.mergeRows(table, rows, d->loop.now());
}

auto StoreFollower::writeDigest(Wire::GatewayDigest &digest) const -> void
{
    const auto own = d->follower.digest();
    digest.set_watches_store(own.isWatching);
    digest.set_store_trouble(own.hasTrouble);
    for (std::size_t i = 0; i < FollowedTableCount; ++i) {
        digest.add_tables(own.checksums.at(i));
        digest.add_versions(own.versions.at(i).value());
    }
}

auto StoreFollower::onDigest(const std::string &id, const Wire::GatewayDigest &digest) -> void
{
    FollowerDigest received;
    received.isWatching = digest.watches_store();
    received.hasTrouble = digest.store_trouble();
    for (int i = 0; i < std::min(digest.tables_size(), static_cast<int>(FollowedTableCount)); ++i) {
        received.checksums.at(static_cast<std::size_t>(i)) = digest.tables(i);
    }
    for (int i = 0; i < std::min(digest.versions_size(), static_cast<int>(FollowedTableCount)); ++i) {
        received.versions.at(static_cast<std::size_t>(i)) = RowVersion(digest.versions(i));
    }
    d->follower.digestReceived(id, received, d->loop.now());
    d->scheduleCalls();
}

auto StoreFollower::onFrame(const std::string &id, const Wire::ControlFrame &frame) -> void
{
    if (frame.has_store_wanted() && frame.store_wanted().table() < FollowedTableCount) {
        d->follower.tableRequested(id, frame.store_wanted().table());
    }
    if (!frame.has_rows() || frame.rows().table() >= FollowedTableCount) {
        return;
    }
    auto message = unpackRows(frame.rows());
    if (!message) {
        d->log.line("peers", "rows-unreadable").add("peer", id).add("table", toString(FollowedTables.at(frame.rows().table())));
        return;
    }
    message->set_table(frame.rows().table());
    d->follower.rowsReceived(id, rowsOf(*message), d->loop.now());
}

auto StoreFollower::advance() -> void
{
    d->follower.advance(d->loop.now());
    d->scheduleCalls();
}

} // namespace KingCup
