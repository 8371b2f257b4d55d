#include "tests/harness_random.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <sstream>

namespace KingCup
{

namespace
{

constexpr auto RoundPause = Duration::millis(60);
constexpr auto ReachableLimit = Duration::seconds(60);
constexpr auto CallEndLimit = Duration::seconds(60);
constexpr auto Models = std::array {"sun", "moon", "tan"};

auto artifactOf(const std::string &model) -> std::string
{
    return model == "tan" ? model : model + "@1";
}

} // namespace

auto RandomRunCounts::add(const RandomRunCounts &other) -> void
{
    completions += other.completions;
    completionsDelivered += other.completionsDelivered;
    debits += other.debits;
    resends += other.resends;
    debitsDelivered += other.debitsDelivered;
    debitsNotRun += other.debitsNotRun;
    debitsUnknown += other.debitsUnknown;
    for (const auto &[kind, count] : other.faults) {
        faults[kind] += count;
    }
}

auto RandomRunCounts::text() const -> std::string
{
    std::ostringstream out;
    out << "completions=" << completions << " delivered=" << completionsDelivered << " debits=" << debits << " resends=" << resends
        << " delivered=" << debitsDelivered << " not-run=" << debitsNotRun << " unknown=" << debitsUnknown << " faults:";
    for (const auto &[kind, count] : faults) {
        out << " " << kind << "=" << count;
    }
    return out.str();
}

RandomRun::RandomRun(std::uint64_t seed)
    : m_random(seed)
    , m_cluster(options())
{
}

auto RandomRun::randomBetween(int min, int max) -> int
{
    return std::uniform_int_distribution<int>(min, max)(m_random);
}

auto RandomRun::chance(double probability) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

auto RandomRun::options() -> ClusterOptions
{
    constexpr auto Fencings = std::array {"checked", "ignored", "alternate"};
    ClusterOptions options;
    options.runners = randomBetween(2, 4);
    options.fencing = Fencings.at(static_cast<std::size_t>(randomBetween(0, 2)));
    options.proxiesTargets = true;
    options.fakes = {"--engine.memory-gb=" + std::to_string(randomBetween(30, 60)), "--seed=" + std::to_string(randomBetween(1, 1000000))};
    return options;
}

auto RandomRun::run(Duration span) -> RandomRunCounts
{
    m_cluster.bringUp();
    const auto until = m_cluster.loop().now() + span;
    while (m_cluster.loop().now() < until) {
        startRequest();
        if (chance(0.12)) {
            injectFault();
        }
        if (chance(0.06)) {
            restoreProcesses();
        }
        if (chance(0.04)) {
            m_cluster.heal();
        }
        m_cluster.sleep(RoundPause);
        checkEndedCalls();
        checkInvariants(m_cluster);
    }
    m_cluster.heal();
    m_cluster.fault({{"part", "engine"}, {"loseRate", 0}, {"lateRate", 0}, {"dropAnswerRate", 0}, {"slow", 1}});
    restoreProcesses();
    m_cluster.waitFor(
        "every call ends",
        [&] {
            checkEndedCalls();
            const auto isChecked = [](const auto &one) {
                return one.checked;
            };
            return std::all_of(m_completions.begin(), m_completions.end(), isChecked) && std::all_of(m_debits.begin(), m_debits.end(), isChecked);
        },
        CallEndLimit);
    checkReachable();
    checkDebits();
    checkPlannedStops();
    checkInvariants(m_cluster);
    return m_counts;
}

auto RandomRun::startRequest() -> void
{
    const int entry = randomBetween(1, 2);
    ++m_serial;
    if (chance(0.6)) {
        const std::string model = Models.at(static_cast<std::size_t>(randomBetween(0, 2)));
        const auto prompt = "prompt " + std::to_string(m_serial);
        const int tokens = randomBetween(1, 60);
        m_completions.push_back({m_cluster.beginCompletion(entry, model, prompt, tokens, chance(0.8)), artifactOf(model), prompt, tokens});
        ++m_counts.completions;
        return;
    }
    auto key = "random-" + std::to_string(m_serial);
    if (!m_debits.empty() && chance(0.4)) {
        const auto recent = std::min<std::size_t>(m_debits.size(), 10);
        key = m_debits[m_debits.size() - 1 - static_cast<std::size_t>(randomBetween(0, static_cast<int>(recent) - 1))].key;
        ++m_counts.resends;
    }
    // An idempotency key identifies one request, so every send with the same key must have the same content.
    const bool isSlow = std::hash<std::string>()(key) % 4 == 0;
    m_debits.push_back({m_cluster.beginDebit(entry, key, "asha", 1, isSlow ? "?wait-ms=150&hold-ms=300" : ""), key});
    ++m_counts.debits;
}

auto RandomRun::injectFault() -> void
{
    switch (randomBetween(0, 3)) {
    case 0:
        return injectProcessFault();
    case 1:
        return injectPlatformFault();
    case 2:
        return injectLinkFault();
    default:
        return injectEngineFault();
    }
}

auto RandomRun::injectProcessFault() -> void
{
    auto ids = m_cluster.ids(chance(0.25) ? "entry-" : (chance(0.5) ? "runner-" : "ledger-"));
    const auto &id = ids.at(static_cast<std::size_t>(randomBetween(0, static_cast<int>(ids.size()) - 1)));
    if (m_cluster.process(id).exitCode()) {
        return;
    }
    if (chance(0.5)) {
        m_cluster.stop(id);
        m_stopped.push_back(id);
        ++m_counts.faults["stopped"];
    } else {
        m_cluster.kill(id);
        ++m_counts.faults["killed"];
    }
}

auto RandomRun::injectPlatformFault() -> void
{
    constexpr auto Modes = std::array {"refuse", "hang", "drop-answer", "late-effect", "slow", "throttle"};
    constexpr auto HostModes = std::array {"freeze", "empty", "refuse", "wrong"};
    if (chance(0.2)) {
        const std::string mode = HostModes.at(static_cast<std::size_t>(randomBetween(0, 3)));
        m_cluster.fault({{"part", "hosts"}, {"mode", mode}});
        ++m_counts.faults["hosts-" + mode];
        return;
    }
    const std::string mode = Modes.at(static_cast<std::size_t>(randomBetween(0, 5)));
    m_cluster.fault({{"part", "table"},
                     {"mode", mode},
                     {"rate", chance(0.5) ? 1.0 : 0.3},
                     {"count", chance(0.5) ? randomBetween(1, 5) : 0},
                     {"ms", randomBetween(50, 3000)}});
    ++m_counts.faults["table-" + mode];
}

auto RandomRun::injectLinkFault() -> void
{
    constexpr auto Modes = std::array {"cut", "freeze", "delay", "lose-up", "lose-down", "drip", "drop-answer"};
    constexpr auto Kinds = std::array {"peer:runner-", "peer:ledger-", "target:runner-", "target:ledger-", "peer:entry-"};
    const std::string mode = Modes.at(static_cast<std::size_t>(randomBetween(0, 6)));
    const auto name = Kinds.at(static_cast<std::size_t>(randomBetween(0, 4))) + std::to_string(randomBetween(1, 2));
    m_cluster.fault({{"part", "link"}, {"name", name}, {"mode", mode}, {"ms", randomBetween(5, 800)}, {"bytesPerSecond", randomBetween(300, 20000)}});
    ++m_counts.faults["link-" + mode];
}

auto RandomRun::injectEngineFault() -> void
{
    const auto ids = m_cluster.ids("runner-");
    const auto &id = ids.at(static_cast<std::size_t>(randomBetween(0, static_cast<int>(ids.size()) - 1)));
    if (chance(0.4)) {
        m_cluster.fault({{"part", "engine"}, {"id", id}, {"mode", "crash"}});
        ++m_counts.faults["engine-crash"];
    } else if (chance(0.3)) {
        m_cluster.fault({{"part", "engine"}, {"id", id}, {"slow", randomBetween(2, 6)}});
        ++m_counts.faults["engine-slow"];
    } else {
        m_cluster.fault({{"part", "engine"}, {"loseRate", 0.2}, {"dropAnswerRate", 0.2}, {"lateRate", 0.3}, {"lateMostMs", randomBetween(200, 5000)}});
        ++m_counts.faults["engine-orders"];
    }
}

auto RandomRun::restoreProcesses() -> void
{
    for (const auto &id : m_stopped) {
        m_cluster.resume(id);
    }
    m_stopped.clear();
    for (const auto *prefix : {"entry-", "runner-", "ledger-"}) {
        for (const auto &id : m_cluster.ids(prefix)) {
            if (m_cluster.process(id).exitCode()) {
                m_cluster.start(id);
                ++m_counts.faults["restarted"];
            }
        }
    }
}

/// Checks the calls that have ended since the last time: the outcome that each reports must agree with the counts of the fakes.
auto RandomRun::checkEndedCalls() -> void
{
    for (auto &completion : m_completions) {
        if (completion.checked || !completion.call->done) {
            continue;
        }
        completion.checked = true;
        const auto expected = expectedText(completion.artifact, completion.prompt, completion.tokens);
        const auto got = completion.call->text();
        const bool isDelivered = completion.call->outcome() == "delivered" && completion.call->end == CallEnd::Complete;
        INFO(completion.prompt << " of " << completion.artifact << " got " << got << " body " << completion.call->body);
        REQUIRE(expected.compare(0, got.size(), got) == 0);
        if (isDelivered) {
            REQUIRE(got == expected);
            ++m_counts.completionsDelivered;
        }
    }
    for (auto &debit : m_debits) {
        if (debit.checked || !debit.call->done) {
            continue;
        }
        debit.checked = true;
        const auto outcome = debit.call->end == CallEnd::Complete ? debit.call->outcome() : "unknown";
        m_counts.debitsDelivered += outcome == "delivered" ? 1 : 0;
        m_counts.debitsNotRun += outcome == "not-run" ? 1 : 0;
        m_counts.debitsUnknown += outcome == "unknown" ? 1 : 0;
        if (outcome == "delivered") {
            INFO(debit.key << " said to be delivered: " << debit.call->body);
            REQUIRE(m_cluster.executions(debit.key) == 1);
        }
    }
}

/// Checks that a key never ran if all of its sends were answered "not-run", and that the balance equals the number of keys that ran.
auto RandomRun::checkDebits() -> void
{
    const auto truth = m_cluster.truth()["services"]["ledger"];
    std::map<std::string, bool> allNotRun;
    for (const auto &debit : m_debits) {
        const bool notRun = debit.call->end == CallEnd::Complete && debit.call->outcome() == "not-run";
        const auto known = allNotRun.emplace(debit.key, true).first;
        known->second = known->second && notRun;
    }
    for (const auto &[key, notRun] : allNotRun) {
        INFO(key << " was told not-run by every answer");
        const bool ran = truth["executions"].contains(key);
        REQUIRE_FALSE((notRun && ran));
    }
    const auto ran = static_cast<std::int64_t>(truth["executions"].size());
    REQUIRE(truth["balances"].value("asha", std::int64_t(0)) == -ran);
}

auto RandomRun::checkReachable() -> void
{
    for (int entry = 1; entry <= 2; ++entry) {
        for (const std::string model : Models) {
            m_cluster.waitFor(
                model + " is reachable through entry " + std::to_string(entry),
                [&] {
                    return m_cluster.complete(entry, model, "afterwards", 2, true, {{"kingcup-time-budget-ms", "3000"}})->outcome() == "delivered";
                },
                ReachableLimit);
        }
        m_cluster.waitFor(
            "debits run through entry " + std::to_string(entry),
            [&] {
                const auto key = "afterwards-" + std::to_string(++m_serial);
                auto debit = m_cluster.debit(entry, key, "asha", 1);
                m_debits.push_back({debit, key, true});
                return debit->outcome() == "delivered";
            },
            ReachableLimit);
    }
}

/// Checks that every process exits with code 0 on SIGTERM: with everything healthy, a planned stop cuts off no request.
auto RandomRun::checkPlannedStops() -> void
{
    for (const auto *prefix : {"entry-", "runner-", "ledger-"}) {
        for (const auto &id : m_cluster.ids(prefix)) {
            m_cluster.terminate(id);
        }
    }
    for (const auto *prefix : {"entry-", "runner-", "ledger-"}) {
        for (const auto &id : m_cluster.ids(prefix)) {
            INFO("planned stop of " << id);
            REQUIRE(m_cluster.waitForExit(id) == 0);
        }
    }
}

} // namespace KingCup
