// Gateways that keep copies of the store's tables (core/tablefollower.h), with a simulated store, links and processors, in virtual time.
//
// Processors and links are queues: work on a small host takes longer, and a host's messages leave one after another at the bandwidth of its link.
#pragma once

#include "core/hashing.h"
#include "core/tablefollower.h"
#include "tests/sim_table.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

/// A store of rows with a version counter and a bounded history. Its watch calls wait for a change.
class SimRowStore
{
public:
    using Reply = std::function<void(const std::shared_ptr<const StoreAnswer> &answer)>;

    explicit SimRowStore(SimClock &clock)
        : m_clock(clock)
    {
    }

    Duration latency = Duration::millis(4);
    bool isSilent = false; ///< answers nothing
    bool areWatchesMuted = false; ///< watches aren't answered when rows change; reads are
    std::set<std::string> refusedHosts; ///< calls of these are refused
    std::uint64_t calls = 0;
    std::uint64_t rowsRead = 0;

    auto version() const -> RowVersion
    {
        return RowVersion(m_version);
    }
    auto rows(StoreTable table) const -> std::map<std::string, StoredRow>
    {
        const auto found = m_tables.find(table);
        return found == m_tables.end() ? std::map<std::string, StoredRow>() : found->second;
    }
    auto write(StoreTable table, const std::string &key, const std::string &value) -> void
    {
        append(table, {key, RowVersion(++m_version), value, false});
    }
    auto remove(StoreTable table, const std::string &key) -> void
    {
        append(table, {key, RowVersion(++m_version), "", true});
    }
    /// Drops the history and breaks the pending watch calls.
    auto dropHistory() -> void
    {
        m_history.clear();
        m_historyFrom = m_version;
        auto pending = std::move(m_pending);
        m_pending.clear();
        for (const auto &call : pending) {
            call.reply(std::make_shared<StoreAnswer>());
        }
    }
    /// Pending watch calls are never answered, as if their connections had gone silent.
    auto forgetWatches() -> void
    {
        m_pending.clear();
    }
    auto read(const std::string &host, StoreTable table, const std::string &from, const Reply &reply) -> void
    {
        ++calls;
        m_clock.after(latency * 0.5, [=, this] {
            if (isSilent) {
                return;
            }
            if (refusedHosts.contains(host)) {
                answer({.outcome = StoreOutcome::Refused}, reply);
                return;
            }
            StoreAnswer result {.outcome = StoreOutcome::Done};
            result.page.upTo = version();
            const auto &rows = m_tables[table];
            for (auto row = rows.lower_bound(from); row != rows.end(); ++row) {
                if (result.page.rows.size() == MaxPageRows) {
                    result.page.hasMore = true;
                    break;
                }
                result.page.rows.push_back(row->second);
            }
            rowsRead += result.page.rows.size();
            answer(std::move(result), reply);
        });
    }
    auto watch(const std::string &host, StoreTable table, RowVersion after, Duration wait, const Reply &reply) -> void
    {
        ++calls;
        m_clock.after(latency * 0.5, [=, this] {
            if (isSilent) {
                return;
            }
            if (refusedHosts.contains(host)) {
                answer({.outcome = StoreOutcome::Refused}, reply);
                return;
            }
            const auto id = ++m_lastCall;
            m_pending.push_back({id, table, after, reply});
            m_clock.after(wait, [this, id] { answerPending(id, true); });
            answerPending(id, false);
        });
    }
    /// Answers the watch calls of the table for which there are changes.
    auto answerWatches(StoreTable table) -> void
    {
        std::vector<std::uint64_t> ids;
        for (const auto &call : m_pending) {
            if (call.table == table) {
                ids.push_back(call.id);
            }
        }
        for (const auto id : ids) {
            answerPending(id, false);
        }
    }

private:
    static constexpr std::size_t MaxPageRows = 500;
    struct Change {
        StoreTable table = StoreTable::Declarations;
        StoredRow row;
    };
    struct Pending {
        std::uint64_t id = 0;
        StoreTable table = StoreTable::Declarations;
        RowVersion after;
        Reply reply;
    };
    auto append(StoreTable table, const StoredRow &row) -> void
    {
        if (row.isRemoved) {
            m_tables[table].erase(row.key);
        } else {
            m_tables[table][row.key] = row;
        }
        m_history.push_back({table, row});
        answerWatches(table);
    }
    auto answer(StoreAnswer content, const Reply &reply) -> void
    {
        m_clock.after(latency * 0.5, [this, result = std::make_shared<const StoreAnswer>(std::move(content)), reply] {
            if (!isSilent) {
                reply(result);
            }
        });
    }
    auto answerPending(std::uint64_t id, bool isDue) -> void
    {
        const auto call = std::find_if(m_pending.begin(), m_pending.end(), [&](const Pending &pending) { return pending.id == id; });
        if (call == m_pending.end() || isSilent || areWatchesMuted) {
            return;
        }
        StoreAnswer result {.outcome = StoreOutcome::Done};
        result.page.upTo = version();
        if (call->after.value() < m_historyFrom) {
            result.outcome = StoreOutcome::HistoryLost;
        } else {
            std::map<std::string, StoredRow> rows;
            for (auto change = m_history.rbegin(); change != m_history.rend() && change->row.version > call->after; ++change) {
                if (change->table == call->table) {
                    rows.try_emplace(change->row.key, change->row);
                }
            }
            for (const auto &[key, row] : rows) {
                result.page.rows.push_back(row);
            }
            if (rows.empty() && !isDue) {
                return;
            }
        }
        const auto reply = call->reply;
        m_pending.erase(call);
        answer(std::move(result), reply);
    }

    SimClock &m_clock;
    std::map<StoreTable, std::map<std::string, StoredRow>> m_tables;
    std::vector<Change> m_history;
    std::vector<Pending> m_pending;
    std::uint64_t m_version = 0;
    std::uint64_t m_historyFrom = 0; ///< changes after this version are kept
    std::uint64_t m_lastCall = 0;
};

struct SimHost {
    double processorShare = 0.09; ///< cores
    double linkBytesPerSecond = 2.5e6;
};

struct SimFleetOptions {
    int gateways = 103;
    int largeHosts = 18; ///< the first ones
    SimHost largeHost {0.5, 25e6};
    SimHost smallHost;
    int targets = 187;
    double heartbeatSeconds = 1.2; ///< between two changes of a target's row
    double declarationBytes = 50e3;
    double rowBytes = 450; ///< of other tables' rows
    double packedShare = 0.12; ///< of a message's bytes, after compression
    Duration latency = Duration::micros(700); ///< of a message; half of it at least
    double lossShare = 0; ///< share of all messages that are lost
    double lateShare = 0; ///< share of all messages that arrive late, after later ones
    Duration maxLateness = Duration::millis(1500);
    std::uint64_t seed = 1;
};

/// What the processors of gateways need, in seconds of a whole core.
struct SimCosts {
    double send = 20e-6; ///< one message
    double receive = 15e-6;
    double packByte = 10e-9;
    double applyByte = 20e-9; ///< unpack and decode
};

class SimTableFleet
{
public:
    struct Gateway {
        std::string id;
        SimHost host;
        std::unique_ptr<TableFollower> follower;
        std::map<std::string, TimePoint> receivedAt; ///< last message, by peer
        TimePoint processorFreeAt;
        TimePoint linkFreeAt;
        TimePoint digestSentAt;
        std::uint64_t incarnation = 0;
        double slowdown = 1;
        bool isRunning = false;
        bool isFrozen = false;
        std::vector<std::function<void()>> whileFrozen;
        std::map<std::string, std::string> declarations; ///< as the gateway's owner knows them
        std::map<std::string, std::string> targets;
        std::map<std::string, std::string> registered;
        std::map<std::string, TimePoint> connectedAt; ///< links to other gateways
        bool isRegistering = false;
        std::vector<std::pair<TimePoint, std::string>> adopted; ///< values of the declarations' row, with the time
        std::vector<std::pair<TimePoint, std::string>> events;
        std::map<std::string, int> eventCounts;
        double sentBytes = 0;
        int requestsReceived = 0; ///< of whole tables
        std::vector<Duration> followedAtRemovals; ///< TableFollower::followedFor() when a target's row was removed
        int failureReports = 0; ///< times that the follower reported that the store fails
    };

    explicit SimTableFleet(SimFleetOptions options)
        : store(clock)
        , random(options.seed)
        , m_options(options)
    {
        for (int i = 0; i < options.gateways; ++i) {
            auto gateway = std::make_unique<Gateway>();
            gateway->id = "gw-" + std::to_string(i);
            gateway->host = i < options.largeHosts ? options.largeHost : options.smallHost;
            byId[gateway->id] = gateway.get();
            gateways.push_back(std::move(gateway));
        }
        for (int i = 0; i < options.targets; ++i) {
            store.write(StoreTable::Targets, "t-" + std::to_string(i), "ready");
        }
        store.write(StoreTable::Declarations, "config", "1");
        std::uniform_real_distribution<double> offset(0, options.heartbeatSeconds);
        for (int i = 0; i < options.targets; ++i) {
            beatAfter(offset(random), "t-" + std::to_string(i));
        }
    }

    SimClock clock;
    SimRowStore store;
    std::mt19937_64 random;
    SimCosts costs;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::map<std::string, Gateway *> byId;
    std::set<std::string> ofEarlierRelease; ///< gateways whose digests don't say how long ago the store answered them
    std::set<std::string> silentTargets; ///< write no heartbeats
    std::function<bool(const std::string &from, const std::string &to)> isCut = [](const std::string &, const std::string &) {
        return false;
    };
    std::function<bool(const std::string &id)> isCutFromStore = [](const std::string &) {
        return false;
    };

    auto startAll() -> void
    {
        std::uniform_real_distribution<double> offset(0, 0.3);
        for (auto &gateway : gateways) {
            clock.after(Duration::seconds(offset(random)), [this, raw = gateway.get()] { start(*raw); });
        }
    }
    auto start(Gateway &gateway) -> void
    {
        const auto incarnation = ++gateway.incarnation;
        gateway.isRunning = true;
        gateway.receivedAt.clear();
        gateway.declarations.clear();
        gateway.targets.clear();
        gateway.registered.clear();
        gateway.connectedAt.clear();
        gateway.isRegistering = false;
        gateway.adopted.clear();
        gateway.processorFreeAt = gateway.linkFreeAt = clock.now();
        TableFollowerSettings settings;
        settings.id = gateway.id;
        settings.seed = random();
        gateway.follower = std::make_unique<TableFollower>(settings, hooksOf(gateway));
        gateway.follower->start(clock.now());
        scheduleCalls(gateway);
        tick(gateway, incarnation);
    }
    auto stop(Gateway &gateway) -> void
    {
        ++gateway.incarnation;
        gateway.isRunning = false;
    }
    auto freeze(Gateway &gateway) -> void
    {
        gateway.isFrozen = true;
    }
    auto thaw(Gateway &gateway) -> void
    {
        gateway.isFrozen = false;
        auto waiting = std::move(gateway.whileFrozen);
        gateway.whileFrozen.clear();
        for (const auto &action : waiting) {
            action();
        }
    }
    auto run(double seconds) -> void
    {
        clock.runUntil(clock.now() + Duration::seconds(seconds));
    }
    auto declare(const std::string &value) -> void
    {
        store.write(StoreTable::Declarations, "config", value);
    }
    auto watching() const -> std::vector<Gateway *>
    {
        std::vector<Gateway *> result;
        for (const auto &gateway : gateways) {
            if (gateway->isRunning && gateway->follower->isWatching()) {
                result.push_back(gateway.get());
            }
        }
        return result;
    }
    /// The gateway that ranks first among all for watching the store.
    auto highestRanked() const -> Gateway &
    {
        const auto rank = [](const auto &gateway) {
            return rendezvousScore("store-watchers", gateway->id);
        };
        return **std::max_element(gateways.begin(), gateways.end(), [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    }
    /// Gateways by their rank for watching the store, the first one first.
    auto ranked() const -> std::vector<Gateway *>
    {
        std::vector<Gateway *> result;
        for (const auto &gateway : gateways) {
            result.push_back(gateway.get());
        }
        std::sort(result.begin(), result.end(), [](const Gateway *a, const Gateway *b) {
            return rendezvousScore("store-watchers", a->id) > rendezvousScore("store-watchers", b->id);
        });
        return result;
    }
    auto known(const Gateway &gateway) const -> std::string
    {
        const auto found = gateway.declarations.find("config");
        return found == gateway.declarations.end() ? "" : found->second;
    }
    /// Seconds from `since` until the last gateway of `among` had adopted the value; a large number if one has not.
    auto adoptionSeconds(const std::string &value, TimePoint since, const std::function<bool(const Gateway &)> &among = {}) const -> double
    {
        double latest = 0;
        for (const auto &gateway : gateways) {
            if (!gateway->isRunning || (among && !among(*gateway))) {
                continue;
            }
            const auto found = std::find_if(gateway->adopted.begin(), gateway->adopted.end(), [&](const auto &entry) { return entry.second == value; });
            latest = std::max(latest, found == gateway->adopted.end() ? 1e6 : (found->first - since).inSeconds());
        }
        return latest;
    }
    auto eventCount(const std::string &name) const -> int
    {
        int count = 0;
        for (const auto &gateway : gateways) {
            const auto found = gateway->eventCounts.find(name);
            count += found == gateway->eventCounts.end() ? 0 : found->second;
        }
        return count;
    }

private:
    static constexpr auto DigestPeriod = Duration::millis(200);
    static constexpr auto DigestPeriodPerPeer = Duration::millis(8);
    static constexpr auto MaxDigestPeriod = Duration::millis(1000);
    static constexpr double SilentAfterPeriods = 3.5;
    static constexpr double DigestBytes = 300;
    static constexpr auto ConnectTime = Duration::millis(5);
    static constexpr auto RegisterAgainAfter = Duration::millis(500);

    auto digestPeriod() const -> Duration
    {
        return std::clamp(DigestPeriodPerPeer * static_cast<double>(gateways.size()), DigestPeriod, MaxDigestPeriod);
    }
    auto beatAfter(double seconds, const std::string &target) -> void
    {
        clock.after(Duration::seconds(seconds), [this, target] {
            const auto rows = store.rows(StoreTable::Targets);
            const auto found = rows.find(target);
            if (found != rows.end() && !silentTargets.contains(target)) {
                store.write(StoreTable::Targets, target, found->second.value);
            }
            beatAfter(m_options.heartbeatSeconds, target);
        });
    }
    /// Does the work on the gateway's processor after what it has to do already.
    auto process(Gateway &gateway, double coreSeconds, std::function<void()> action) -> void
    {
        const auto start = std::max(gateway.processorFreeAt, clock.now());
        gateway.processorFreeAt = start + Duration::seconds(coreSeconds / gateway.host.processorShare * gateway.slowdown);
        clock.at(gateway.processorFreeAt,
                 [this, &gateway, incarnation = gateway.incarnation, action = std::move(action)] { whenRunning(gateway, incarnation, action); });
    }
    auto whenRunning(Gateway &gateway, std::uint64_t incarnation, const std::function<void()> &action) -> void
    {
        if (gateway.incarnation != incarnation) {
            return;
        }
        if (gateway.isFrozen) {
            gateway.whileFrozen.push_back([=, this, &gateway] { whenRunning(gateway, incarnation, action); });
            return;
        }
        action();
        scheduleCalls(gateway);
    }
    /// False: the sender has no connection to the receiver.
    auto transmit(Gateway &from, const std::string &to, double bytes, double receiveSeconds, std::function<void(Gateway &)> handler) -> bool
    {
        const auto connected = from.connectedAt.find(to);
        const auto found = byId.find(to);
        if (found == byId.end() || found->second == &from || connected == from.connectedAt.end() || connected->second > clock.now()) {
            return false;
        }
        auto &receiver = *found->second;
        from.processorFreeAt = std::max(from.processorFreeAt, clock.now()) + Duration::seconds(costs.send / from.host.processorShare * from.slowdown);
        const auto leaves = std::max(from.linkFreeAt, from.processorFreeAt);
        from.linkFreeAt = leaves + Duration::seconds(bytes / from.host.linkBytesPerSecond);
        from.sentBytes += bytes;
        std::uniform_real_distribution<double> share(0, 1);
        if (m_options.lossShare > 0 && share(random) < m_options.lossShare) {
            return true;
        }
        auto arrives = from.linkFreeAt + m_options.latency * (0.5 + 0.5 * share(random));
        if (m_options.lateShare > 0 && share(random) < m_options.lateShare) {
            arrives = arrives + m_options.maxLateness * share(random);
        }
        clock.at(arrives, [this, &receiver, id = from.id, receiveSeconds, handler = std::move(handler)] {
            if (receiver.isRunning && !isCut(id, receiver.id)) {
                process(receiver, receiveSeconds, [this, &receiver, id, handler] {
                    receiver.receivedAt[id] = clock.now();
                    handler(receiver);
                });
            }
        });
        return true;
    }
    auto bytesOf(std::size_t table, std::size_t rows) const -> double
    {
        const bool isDeclarations = FollowedTables.at(table) == StoreTable::Declarations;
        return 50 + static_cast<double>(rows) * (isDeclarations ? m_options.declarationBytes : m_options.rowBytes);
    }
    auto transmitRows(Gateway &from, const std::string &to, const std::shared_ptr<const TableRows> &rows) -> void
    {
        const auto bytes = bytesOf(rows->table, rows->rows.size());
        transmit(from, to, bytes * m_options.packedShare, costs.receive + bytes * costs.applyByte, [this, rows, id = from.id](Gateway &receiver) {
            receiver.follower->rowsReceived(id, *rows, clock.now());
        });
    }
    auto pack(Gateway &gateway, const TableRows &rows) -> std::shared_ptr<const TableRows>
    {
        gateway.processorFreeAt = std::max(gateway.processorFreeAt, clock.now())
            + Duration::seconds(bytesOf(rows.table, rows.rows.size()) * costs.packByte / gateway.host.processorShare * gateway.slowdown);
        return std::make_shared<TableRows>(rows);
    }
    auto livePeers(const Gateway &gateway) const -> std::set<std::string>
    {
        const auto silentAfter = std::max(Duration::millis(1500), digestPeriod() * SilentAfterPeriods);
        std::set<std::string> live;
        for (const auto &[id, at] : gateway.receivedAt) {
            if (clock.now() - at < silentAfter) {
                live.insert(id);
            }
        }
        return live;
    }
    auto callStore(Gateway &gateway, std::size_t table, StoreCallId call, Duration timeout, const std::function<void(const SimRowStore::Reply &)> &start)
        -> void
    {
        const auto isAnswered = std::make_shared<bool>(false);
        const auto finish = [this, &gateway, incarnation = gateway.incarnation, table, call, isAnswered](const std::shared_ptr<const StoreAnswer> &answer,
                                                                                                         double coreSeconds) {
            if (*isAnswered || gateway.incarnation != incarnation) {
                return;
            }
            *isAnswered = true;
            process(gateway, coreSeconds, [=, this, &gateway] { gateway.follower->answered(table, call, *answer, clock.now()); });
        };
        clock.after(timeout, [finish, this] { finish(std::make_shared<StoreAnswer>(), costs.receive); });
        if (isCutFromStore(gateway.id)) {
            return;
        }
        start([this, &gateway, finish, table](const std::shared_ptr<const StoreAnswer> &answer) {
            if (!isCutFromStore(gateway.id)) {
                finish(answer, costs.receive + bytesOf(table, answer->page.rows.size()) * costs.applyByte);
            }
        });
    }
    auto hooksOf(Gateway &gateway) -> TableFollowerHooks
    {
        TableFollowerHooks hooks;
        hooks.livePeers = [this, &gateway] {
            return livePeers(gateway);
        };
        hooks.sendAll = [this, &gateway](const TableRows &rows) {
            const auto packed = pack(gateway, rows);
            for (const auto &[id, row] : gateway.registered) {
                transmitRows(gateway, id, packed);
            }
        };
        hooks.send = [this, &gateway](const std::string &peer, const TableRows &rows) {
            transmitRows(gateway, peer, pack(gateway, rows));
        };
        hooks.request = [this, &gateway](const std::string &peer, std::size_t table, RowVersion after) {
            return transmit(gateway, peer, 50, costs.receive, [id = gateway.id, table, after](Gateway &receiver) {
                receiver.requestsReceived += 1;
                receiver.follower->tableRequested(id, table, after);
            });
        };
        hooks.read = [this, &gateway](std::size_t table, StoreCallId call, const std::string &from) {
            callStore(gateway, table, call, Duration::millis(1500), [&](const SimRowStore::Reply &reply) {
                store.read(gateway.id, FollowedTables.at(table), from, reply);
            });
        };
        hooks.watch = [this, &gateway](std::size_t table, StoreCallId call, RowVersion after, Duration wait) {
            callStore(gateway, table, call, wait + Duration::seconds(1), [&](const SimRowStore::Reply &reply) {
                store.watch(gateway.id, FollowedTables.at(table), after, wait, reply);
            });
        };
        hooks.onRows = [this, &gateway](StoreTable table, const std::vector<StoredRow> &rows, RowSource /*source*/) {
            applyRows(gateway, table, rows);
        };
        hooks.onUnreachable = [] {
        };
        hooks.onStoreFailing = [&gateway] {
            gateway.failureReports += 1;
        };
        hooks.onEvent = [this, &gateway](const FollowerEvent &event) {
            std::string text = event.name;
            for (const auto &[key, value] : event.fields) {
                text.append(" ").append(key).append("=").append(value);
            }
            gateway.events.emplace_back(clock.now(), text);
            gateway.eventCounts[event.name] += 1;
        };
        return hooks;
    }
    auto applyRows(Gateway &gateway, StoreTable table, const std::vector<StoredRow> &rows) -> void
    {
        auto &known = table == StoreTable::Declarations ? gateway.declarations : table == StoreTable::Targets ? gateway.targets : gateway.registered;
        for (const auto &row : rows) {
            if (row.isRemoved) {
                if (table == StoreTable::Targets) {
                    gateway.followedAtRemovals.push_back(gateway.follower->followedFor(clock.now()));
                }
                known.erase(row.key);
                continue;
            }
            known[row.key] = row.value;
            if (table == StoreTable::Declarations) {
                gateway.adopted.emplace_back(clock.now(), row.value);
            }
        }
        if (table == StoreTable::Gateways) {
            updateLinks(gateway);
            registerIfMissing(gateway);
        }
    }
    auto updateLinks(Gateway &gateway) -> void
    {
        std::erase_if(gateway.connectedAt, [&](const auto &link) { return !gateway.registered.contains(link.first); });
        for (const auto &[id, row] : gateway.registered) {
            gateway.connectedAt.try_emplace(id, clock.now() + ConnectTime);
        }
    }
    /// Writes the gateway's own row, like gateway/registration.h.
    auto registerIfMissing(Gateway &gateway) -> void
    {
        if (gateway.isRegistering || gateway.registered.contains(gateway.id)) {
            return;
        }
        gateway.isRegistering = true;
        if (!store.isSilent && !store.refusedHosts.contains(gateway.id) && !isCutFromStore(gateway.id)) {
            clock.after(store.latency, [this, id = gateway.id] { store.write(StoreTable::Gateways, id, "address"); });
        }
        clock.after(RegisterAgainAfter, [this, &gateway, incarnation = gateway.incarnation] {
            whenRunning(gateway, incarnation, [this, &gateway] {
                gateway.isRegistering = false;
                registerIfMissing(gateway);
            });
        });
    }
    auto scheduleCalls(Gateway &gateway) -> void
    {
        const auto next = gateway.follower->nextCallAt();
        if (!next) {
            return;
        }
        clock.at(*next, [this, &gateway, next, incarnation = gateway.incarnation] {
            if (gateway.incarnation == incarnation && !gateway.isFrozen && gateway.follower->nextCallAt() == next) {
                gateway.follower->advanceCalls(clock.now());
                scheduleCalls(gateway);
            }
        });
    }
    auto tick(Gateway &gateway, std::uint64_t incarnation) -> void
    {
        clock.after(DigestPeriod, [this, &gateway, incarnation] {
            whenRunning(gateway, incarnation, [this, &gateway, incarnation] {
                gateway.follower->advance(clock.now());
                sendDigest(gateway);
                tick(gateway, incarnation);
            });
        });
    }
    auto sendDigest(Gateway &gateway) -> void
    {
        if (!gateway.follower->isWatching() && clock.now() - gateway.digestSentAt < digestPeriod() - DigestPeriod * 0.5) {
            return;
        }
        gateway.digestSentAt = clock.now();
        auto digest = gateway.follower->digest(clock.now());
        if (ofEarlierRelease.contains(gateway.id)) {
            digest.storeAge.reset();
        }
        for (const auto &[id, row] : gateway.registered) {
            transmit(gateway, id, DigestBytes, costs.receive, [this, digest, sender = gateway.id](Gateway &receiver) {
                receiver.follower->digestReceived(sender, digest, clock.now());
            });
        }
    }

    SimFleetOptions m_options;
};

} // namespace KingCup
