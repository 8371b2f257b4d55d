// A fleet of gateways in virtual time whose streams break and are taken up at other gateways, with a simulated store and network. It uses the decisions of
// core/versionregister.h, core/streamorigins.h and core/originlookups.h as gateway/origintask.h does.
//
// Index of sections (search for [SECTION]):
//   Options       size, load and faults
//   OriginFleet   the simulation
#pragma once

#include "core/originlookups.h"
#include "core/streamorigins.h"
#include "core/versionregister.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct OriginFleetOptions {
    int gateways = 4;
    double streamsPerSecond = 10; ///< that begin at each gateway
    double breakShare = 0.1; ///< of the streams: they break, and their clients take them up
    double messageLoss = 0; ///< share of the messages between gateways
    std::uint64_t seed = 1;
};

// [SECTION] OriginFleet

class OriginFleet
{
public:
    static constexpr auto Tick = Duration::millis(10);
    static constexpr auto SteadyTime = Duration::seconds(3); ///< without a fault: a gateway is then in touch

    explicit OriginFleet(OriginFleetOptions options)
        : m_options(options)
        , m_random(options.seed)
        , m_gateways(static_cast<std::size_t>(options.gateways))
    {
        for (int i = 0; i < options.gateways; ++i) {
            m_gateways[static_cast<std::size_t>(i)].host = "gw-" + std::to_string(i);
        }
        for (auto &gateway : m_gateways) {
            start(gateway);
        }
    }

    // Results
    int takenUp = 0; ///< by gateways in touch, whose streams began at a version that is still present
    int goneOn = 0; ///< of these
    int wrong = 0; ///< origins that aren't the true one, of all gateways
    int batches = 0;
    std::size_t recordsWritten = 0;
    int versionCalls = 0;
    int queries = 0; ///< messages to single gateways

    // Deployment
    auto setVersions(const std::vector<std::string> &versions) -> void
    {
        m_versions.clear();
        for (const auto &version : versions) {
            m_versions.insert(SoftwareVersion(version));
        }
        for (auto &gateway : m_gateways) {
            after(uniform(0, 0.5), [this, &gateway, versions = m_versions] { learn(gateway, versions); });
        }
    }

    // Faults. Gateways are numbered from 0.
    auto kill(int index, double downSeconds) -> void
    {
        auto &gateway = at(index);
        gateway.isUp = false;
        ++gateway.epoch;
        gateway.disturbedAt = m_now;
        for (const auto &stream : gateway.open) {
            takeUpLater(stream, -1);
        }
        gateway.open.clear();
        after(downSeconds, [this, &gateway] { start(gateway); });
    }
    auto cutFromAll(int index, bool isCut) -> void
    {
        auto &gateway = at(index);
        gateway.isCutFromPeers = isCut;
        gateway.isCutFromStore = isCut;
        gateway.disturbedAt = m_now;
        if (isCut) {
            for (const auto &stream : gateway.open) {
                takeUpLater(stream, index);
            }
        } else {
            learn(gateway, m_versions);
        }
    }
    auto cutFromStore(int index, bool isCut) -> void
    {
        at(index).isCutFromStore = isCut;
        at(index).disturbedAt = m_now;
    }
    auto setStoreDown(bool isDown) -> void
    {
        m_isStoreDown = isDown;
        m_storeDisturbedAt = m_now;
    }
    /// All gateways end at once. Clients take their streams up `later` seconds after the gateways' start.
    auto endAllAndTakeUpLater(double downSeconds, double later) -> void
    {
        for (auto &gateway : m_gateways) {
            gateway.isUp = false;
            ++gateway.epoch;
            for (const auto &stream : gateway.open) {
                after(downSeconds + later + uniform(0, 1), [this, stream] { lookUp(randomGateway(), stream, false); });
            }
            gateway.open.clear();
            after(downSeconds + uniform(0, 0.2), [this, &gateway] { start(gateway); });
        }
    }
    /// A client takes up a stream that never was.
    auto takeUpUnknown() -> void
    {
        lookUp(randomGateway(), StreamKey(m_random() | 1U), true);
    }

    auto run(double seconds) -> void
    {
        const auto until = m_now + Duration::seconds(seconds);
        while (m_now < until) {
            step();
        }
    }

private:
    struct Gateway {
        std::string host;
        bool isUp = false;
        int epoch = 0; ///< counts the starts
        bool isCutFromPeers = false;
        bool isCutFromStore = false;
        TimePoint disturbedAt;
        bool isRestored = false;
        bool isRestoring = false;
        VersionSet present;
        VersionRegister versions;
        StreamOrigins origins;
        OriginLookups lookups;
        std::map<LookupId, StreamKey> waiting;
        std::map<LookupId, bool> counted; ///< lookups that count as taken up
        std::set<StreamKey> open;
    };

    auto at(int index) -> Gateway &
    {
        return m_gateways.at(static_cast<std::size_t>(index));
    }
    auto uniform(double low, double high) -> double
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    auto after(double seconds, std::function<void()> task) -> void
    {
        m_tasks.emplace(m_now + Duration::seconds(seconds), std::move(task));
    }
    auto start(Gateway &gateway) -> void
    {
        gateway.isUp = true;
        ++gateway.epoch;
        gateway.disturbedAt = m_now;
        gateway.isRestored = false;
        gateway.isRestoring = false;
        gateway.present.clear();
        gateway.versions = VersionRegister();
        gateway.origins = StreamOrigins();
        gateway.lookups = OriginLookups();
        gateway.waiting.clear();
        learn(gateway, m_versions);
    }
    auto learn(Gateway &gateway, const VersionSet &versions) -> void
    {
        if (gateway.isUp && !gateway.isCutFromStore) {
            gateway.present = versions;
            gateway.versions.setPresent(m_service, versions, m_now);
        }
    }
    auto randomGateway() -> Gateway &
    {
        return m_gateways[std::uniform_int_distribution<std::size_t>(0, m_gateways.size() - 1)(m_random)];
    }
    /// A call to the store: `effect` takes place after half of the time, `done` is called if the caller still runs.
    auto call(Gateway &gateway, std::function<void()> effect, std::function<void(bool isDone)> done) -> void
    {
        const auto isReachable = [this, &gateway] {
            return !m_isStoreDown && !gateway.isCutFromStore;
        };
        after(0.003, [this, &gateway, isReachable, epoch = gateway.epoch, effect = std::move(effect), done = std::move(done)] {
            const bool isDone = isReachable();
            if (isDone) {
                effect();
            }
            after(isDone ? 0.003 : 1.0, [&gateway, epoch, isDone, isReachable, done] {
                if (gateway.epoch == epoch && gateway.isUp) {
                    done(isDone && isReachable());
                }
            });
        });
    }
    auto callRegister(Gateway &gateway) -> void
    {
        gateway.versions.setRemoves(gateway.host == m_gateways.front().host);
        while (const auto next = gateway.versions.next(m_now)) {
            ++versionCalls;
            if (!next->write) {
                readVersions(gateway, [this, &gateway](const auto &row) { gateway.versions.readDone(m_service, row, m_now); });
                continue;
            }
            auto outcome = std::make_shared<StoreOutcome>(StoreOutcome::Unclear);
            auto version = std::make_shared<RowVersion>();
            call(
                gateway,
                [this, wanted = *next->write, expected = next->expected, outcome, version] {
                    *outcome = expected == m_versionRow.first ? StoreOutcome::Done : StoreOutcome::Conflict;
                    if (*outcome == StoreOutcome::Done) {
                        m_versionRow = {m_versionRow.first.next(), wanted};
                        *version = m_versionRow.first;
                    }
                },
                [this, &gateway, outcome, version](bool isDone) {
                    gateway.versions.writeDone(m_service, isDone ? *outcome : StoreOutcome::Unclear, *version, m_now);
                    if (isDone && *outcome == StoreOutcome::Done) {
                        for (auto &other : m_gateways) {
                            send(gateway, other, [this, &other, row = m_versionRow] { other.versions.rowSeen(m_service, row.first, row.second); });
                        }
                    }
                });
        }
    }
    auto readVersions(Gateway &gateway, const std::function<void(const std::optional<std::pair<RowVersion, VersionSet>> &row)> &done) -> void
    {
        auto row = std::make_shared<std::pair<RowVersion, VersionSet>>();
        call(
            gateway, [this, row] { *row = m_versionRow; }, [row, done](bool isDone) { done(isDone ? std::optional(*row) : std::nullopt); });
    }
    auto readRecords(Gateway &gateway, const std::string &host, const std::function<void(bool isDone, const OriginRecords &records)> &done) -> void
    {
        auto records = std::make_shared<OriginRecords>();
        call(
            gateway,
            [this, host, records] {
                for (const auto &[row, written] : m_recordRows[host]) {
                    records->insert(records->end(), written.begin(), written.end());
                }
            },
            [records, done](bool isDone) { done(isDone, isDone ? *records : OriginRecords()); });
    }
    auto send(Gateway &from, Gateway &to, std::function<void()> deliver) -> void
    {
        if (&from == &to || uniform(0, 1) < m_options.messageLoss) {
            return;
        }
        after(0.002, [&from, &to, deliver = std::move(deliver)] {
            if (to.isUp && !to.isCutFromPeers && !from.isCutFromPeers) {
                deliver();
            }
        });
    }
    auto writeBatch(Gateway &gateway) -> void
    {
        const auto isMixed = [&](const ServiceName &service) {
            return gateway.versions.isMixed(service);
        };
        const auto batch = gateway.isRestored ? gateway.origins.takeBatch(isMixed, m_now) : std::nullopt;
        if (!batch) {
            return;
        }
        ++batches;
        recordsWritten += batch->records.size();
        call(
            gateway,
            [this, host = gateway.host, written = *batch] { m_recordRows[host][written.row] = written.records; },
            [this, &gateway](bool isDone) { gateway.origins.batchWritten(isDone, m_now); });
    }
    auto beginStreams(Gateway &gateway) -> void
    {
        if (uniform(0, 1) > m_options.streamsPerSecond * Tick.inSeconds()) {
            return;
        }
        std::vector<SoftwareVersion> usable;
        for (const auto &version : gateway.present) {
            if (gateway.versions.mayBegin(m_service, version)) {
                usable.push_back(version);
            }
        }
        if (usable.empty()) {
            return;
        }
        const StreamKey stream(m_random() | 1U);
        const StreamOrigin origin {m_service, usable[m_random() % usable.size()]};
        m_truth[stream] = origin;
        gateway.origins.began(stream, origin);
        gateway.open.insert(stream);
        const bool breaks = uniform(0, 1) < m_options.breakShare;
        after(uniform(0.3, 4), [this, &gateway, stream, breaks, epoch = gateway.epoch] {
            if (gateway.epoch != epoch || gateway.open.erase(stream) == 0) {
                return;
            }
            gateway.origins.ended(stream, !breaks, m_now);
            if (breaks) {
                takeUpLater(stream, -1);
            }
        });
    }
    /// The client takes the stream up at any gateway but `without`.
    auto takeUpLater(StreamKey stream, int without) -> void
    {
        after(uniform(0.03, 0.6), [this, stream, without] {
            auto *gateway = &randomGateway();
            for (int i = 0; i < 20 && (!gateway->isUp || (without >= 0 && gateway == &at(without))); ++i) {
                gateway = &randomGateway();
            }
            lookUp(*gateway, stream, false);
        });
    }
    auto lookUp(Gateway &gateway, StreamKey stream, bool isUnknown) -> void
    {
        if (!gateway.isUp) {
            return;
        }
        const auto truth = m_truth.find(stream);
        const bool isInTouch = m_now - gateway.disturbedAt > SteadyTime && m_now - m_storeDisturbedAt > SteadyTime && !m_isStoreDown;
        const bool isCounted = !isUnknown && isInTouch && m_versions.contains(truth->second.softwareVersion);
        takenUp += isCounted ? 1 : 0;
        if (const auto known = gateway.origins.find(stream)) {
            judge(stream, known, isCounted);
            return;
        }
        std::set<std::string> live;
        std::set<std::string> gone;
        for (const auto &other : m_gateways) {
            if (&other != &gateway) {
                (other.isUp && !other.isCutFromPeers && !gateway.isCutFromPeers ? live : gone).insert(other.host);
            }
        }
        if (!gateway.isRestored) {
            gone.insert(gateway.host);
        }
        gateway.lookups.setGateways(live, gone);
        const auto id = gateway.lookups.start(stream, m_service, m_now);
        gateway.waiting[id] = stream;
        gateway.counted[id] = isCounted;
    }
    auto judge(StreamKey stream, const std::optional<StreamOrigin> &origin, bool isCounted) -> void
    {
        if (!origin) {
            return;
        }
        const auto truth = m_truth.find(stream);
        wrong += truth == m_truth.end() || truth->second != *origin ? 1 : 0;
        goneOn += isCounted ? 1 : 0;
    }
    auto runLookups(Gateway &gateway) -> void
    {
        gateway.lookups.advance(m_now);
        for (const auto &step : gateway.lookups.takeSteps()) {
            if (step.kind == LookupStepKind::ReadVersions) {
                readVersions(gateway, [this, &gateway, readAt = m_now](const auto &row) {
                    gateway.lookups.versionsRead(m_service, row ? std::optional(row->second) : std::nullopt, readAt, m_now);
                });
            } else if (step.kind == LookupStepKind::ReadRecords) {
                readRecords(gateway, step.host, [this, &gateway, host = step.host](bool /*isDone*/, const OriginRecords &records) {
                    gateway.lookups.recordsRead(host, records, m_now);
                });
            } else {
                for (auto &other : m_gateways) {
                    queries += &other == &gateway ? 0 : 1;
                    send(gateway, other, [this, &gateway, &other, stream = step.stream] { reply(other, gateway, stream); });
                }
            }
        }
        for (const auto &result : gateway.lookups.takeResults()) {
            judge(result.stream, result.origin, gateway.counted[result.id]);
            if (result.origin) {
                gateway.origins.restored({{result.stream, *result.origin}}, m_now);
            }
            gateway.waiting.erase(result.id);
            gateway.counted.erase(result.id);
        }
    }
    auto reply(Gateway &from, Gateway &to, StreamKey stream) -> void
    {
        if (from.isRestored) {
            send(from, to, [this, &to, host = from.host, stream, origin = from.origins.find(stream)] { to.lookups.replied(host, stream, origin, m_now); });
        }
    }
    auto step() -> void
    {
        m_now = m_now + Tick;
        while (!m_tasks.empty() && m_tasks.begin()->first <= m_now) {
            const auto task = std::move(m_tasks.begin()->second);
            m_tasks.erase(m_tasks.begin());
            task();
        }
        ++m_ticks;
        for (auto &gateway : m_gateways) {
            if (!gateway.isUp) {
                continue;
            }
            beginStreams(gateway);
            runLookups(gateway);
            // As often as the real task, at different times.
            constexpr int TicksPerAdvance = 10;
            if ((m_ticks + gateway.epoch + static_cast<int>(gateway.host.size()) + gateway.host.back()) % TicksPerAdvance != 0) {
                continue;
            }
            if (!gateway.isRestored && !gateway.isRestoring) {
                gateway.isRestoring = true;
                readRecords(gateway, gateway.host, [this, &gateway](bool isDone, const OriginRecords &records) {
                    gateway.isRestoring = false;
                    gateway.isRestored = isDone;
                    gateway.origins.restored(records, m_now);
                });
            }
            callRegister(gateway);
            gateway.origins.expire(m_now);
            writeBatch(gateway);
        }
    }

    OriginFleetOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Gateway> m_gateways;
    ServiceName m_service {"s"};
    VersionSet m_versions; ///< of the targets
    std::map<StreamKey, StreamOrigin> m_truth;
    std::pair<RowVersion, VersionSet> m_versionRow; ///< in the store
    std::map<std::string, std::map<int, OriginRecords>> m_recordRows; ///< in the store, by host
    bool m_isStoreDown = false;
    TimePoint m_storeDisturbedAt;
    std::multimap<TimePoint, std::function<void()>> m_tasks;
    TimePoint m_now = TimePoint() + Duration::seconds(1000);
    int m_ticks = 0;
};

} // namespace KingCup
