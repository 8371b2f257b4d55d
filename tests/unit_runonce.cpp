#include "core/runonce.h"
#include "tests/sim_table.h"

#include <catch2/catch.hpp>

#include <memory>
#include <set>

using namespace KingCup;

namespace
{

constexpr auto RunTime = Duration::millis(30);
constexpr auto Budget = Duration::millis(800);

enum class Told { Record, NotRun, Unknown, Delivered };

/// An agent's shell around RunOnce: it forwards to a target that notes each execution.
struct SimAgent {
    SimAgent(SimClock &clockGiven, SimTable &tableGiven, std::string claimant, RunOnceSettings settings = {})
        : clock(clockGiven)
        , table(tableGiven)
        , runOnce(std::make_shared<RunOnce>(settings, std::move(claimant)))
    {
    }

    SimClock &clock;
    SimTable &table;
    std::shared_ptr<RunOnce> runOnce; ///< null once crashed
    std::map<SendId, std::string> keyOf;
    std::function<void(const std::string &key, SendId send)> onRun;
    std::function<void(SendId send, Told told, const std::string &code)> onTold;
    std::function<RunEnd()> runEnd = [] {
        return RunEnd::Answered;
    };
    Duration forwardDelay; ///< a pause between the claim and the forwarding
    TimePoint frozenUntil; ///< nothing happens before

    auto send(SendId id, const std::string &key, Duration budget = Budget) -> void
    {
        keyOf[id] = key;
        perform(runOnce->arrive({id, {ServiceName("minutes"), RequestKey(key)}, clock.now() + budget, 0}, clock.now()));
    }
    auto crash() -> void
    {
        runOnce.reset();
    }
    /// Runs `event` unless the agent has crashed, and not before it thaws.
    auto later(Duration delay, const std::function<RunOnceActions()> &event) -> void
    {
        const auto alive = std::weak_ptr<RunOnce>(runOnce);
        clock.after(delay, [this, alive, event] {
            if (alive.expired()) {
                return;
            }
            if (clock.now() < frozenUntil) {
                later(frozenUntil - clock.now(), event);
                return;
            }
            perform(event());
        });
    }
    auto perform(const RunOnceActions &actions) -> void
    {
        for (const auto &action : actions) {
            std::visit([this](const auto &one) { act(one); }, action);
        }
        if (const auto wake = runOnce->nextWake()) {
            later(std::max(*wake - clock.now(), Duration::micros(1)), [this] { return runOnce->tick(clock.now()); });
        }
    }
    auto act(const ForwardSend &forward) -> void
    {
        const auto end = runEnd();
        const auto id = forward.send;
        later(forwardDelay, [this, end, id]() -> RunOnceActions {
            if (end != RunEnd::NotRun) {
                onRun(keyOf[id], id);
            }
            later(RunTime, [this, end, id] {
                onTold(id, end == RunEnd::Answered ? Told::Delivered : end == RunEnd::NotRun ? Told::NotRun : Told::Unknown, "");
                return runOnce->runEnded(id, end, {.status = 201, .headers = {}, .body = "posted " + keyOf[id]}, clock.now());
            });
            return {};
        });
    }
    auto act(const AnswerFromRecord &answer) -> void
    {
        onTold(answer.send, Told::Record, answer.record.body);
    }
    auto act(const AnswerNotRun &answer) -> void
    {
        onTold(answer.send, Told::NotRun, answer.code);
    }
    auto act(const AnswerUnknown &answer) -> void
    {
        onTold(answer.send, Told::Unknown, answer.code);
    }
    auto act(const WriteClaims &write) -> void
    {
        const auto alive = std::weak_ptr<RunOnce>(runOnce);
        table.transact(write.ops, [this, alive, batch = write.batch](const TransactResult &result) {
            if (!alive.expired()) {
                later({}, [this, batch, result] { return runOnce->transactDone(batch, result, clock.now()); });
            }
        });
    }
    auto act(const ReadClaims &read) -> void
    {
        const auto alive = std::weak_ptr<RunOnce>(runOnce);
        table.read(read.keys, [this, alive, id = read.read](const auto &rows) {
            if (!alive.expired()) {
                later({}, [this, id, rows] { return runOnce->readDone(id, rows, clock.now()); });
            }
        });
    }
};

/// Two agents on one table, and what callers and the target saw.
struct World {
    explicit World(std::uint64_t seed)
        : random(seed)
    {
        agents.push_back(agent("a"));
        agents.push_back(agent("b"));
    }

    std::mt19937_64 random;
    SimClock clock;
    SimTable table {clock, random};
    std::vector<std::unique_ptr<SimAgent>> agents;
    std::vector<std::unique_ptr<SimAgent>> crashed; ///< kept, for their events are still due
    std::map<std::string, int> runs;
    std::set<SendId> ran;
    std::map<SendId, std::vector<Told>> told;
    std::map<SendId, std::string> code;

    auto agent(const std::string &claimant) -> std::unique_ptr<SimAgent>
    {
        auto made = std::make_unique<SimAgent>(clock, table, claimant);
        made->onRun = [this](const std::string &key, SendId send) {
            ++runs[key];
            ran.insert(send);
        };
        made->onTold = [this](SendId send, Told what, const std::string &why) {
            told[send].push_back(what);
            code[send] = why;
        };
        return made;
    }
    auto run(Duration span) -> void
    {
        clock.runUntil(clock.now() + span);
    }
    auto only(std::uint64_t send) -> Told
    {
        REQUIRE(told[SendId(send)].size() == 1);
        return told[SendId(send)].front();
    }
};

} // namespace

TEST_CASE("a debit runs once and its duplicate gets the same answer")
{
    World world(1);
    world.agents[0]->send(SendId(1), "k");
    world.run(Duration::millis(300));
    world.agents[0]->send(SendId(2), "k");
    world.agents[1]->send(SendId(3), "k");
    world.run(Duration::seconds(2));
    REQUIRE(world.runs["k"] == 1);
    REQUIRE(world.only(1) == Told::Delivered);
    REQUIRE(world.only(2) == Told::Record);
    REQUIRE(world.only(3) == Told::Record);
    REQUIRE(world.code[SendId(3)] == "posted k");
}

TEST_CASE("a claim whose answer was lost is found to be ours and runs")
{
    // The platform writes the claim but its answer never comes. Taken for a failure, the debit would be lost; taken for a success
    // unread, it might be another agent's. The clerk sees an answer a little later than usual.
    World world(1);
    world.table.faults.lostAnswer = 1;
    world.agents[0]->send(SendId(1), "k");
    world.run(Duration::millis(20));
    world.table.faults.lostAnswer = 0;
    world.run(Duration::seconds(2));
    REQUIRE(world.runs["k"] == 1);
    REQUIRE(world.only(1) == Told::Delivered);
}

TEST_CASE("with the store down a debit is not run, and its caller learns so at once")
{
    // The platform refuses connections for a while. Nothing was claimed, so the clerk may post the debit again later.
    World world(1);
    world.table.down = true;
    world.agents[0]->send(SendId(1), "k");
    world.run(Duration::millis(100));
    REQUIRE(world.only(1) == Told::NotRun);
    REQUIRE(world.runs.empty());
    world.table.down = false;
    world.agents[1]->send(SendId(2), "k");
    world.run(Duration::seconds(1));
    REQUIRE(world.only(2) == Told::Delivered);
}

TEST_CASE("a claim that stays unresolved never runs and is unknown")
{
    // Every answer of the platform is lost until the caller's time is up. Whether the claim stands nobody knows, so the clerk is
    // told "unknown", and the debit doesn't run behind his back afterwards.
    World world(1);
    world.table.faults.lostAnswer = 1;
    world.agents[0]->send(SendId(1), "k");
    world.run(Duration::seconds(2));
    REQUIRE(world.only(1) == Told::Unknown);
    world.table.faults.lostAnswer = 0;
    world.run(Duration::seconds(5));
    REQUIRE(world.runs.empty());
}

TEST_CASE("a claimant that pauses before forwarding doesn't double the debit")
{
    // An agent freezes right after its claim was written and wakes much later. Its caller has sent the debit again through another
    // entry meanwhile. Were the second to run, the patron would pay twice.
    World world(1);
    world.agents[0]->forwardDelay = Duration::seconds(5);
    world.agents[0]->send(SendId(1), "k");
    world.run(Duration::millis(500));
    world.agents[1]->send(SendId(2), "k");
    world.run(Duration::seconds(10));
    REQUIRE(world.runs["k"] == 1);
    REQUIRE(world.only(2) == Told::Unknown);
}

TEST_CASE("a debit that could not be forwarded may run elsewhere")
{
    // The target refuses the connection after the claim was written. The clerk is told "not run" and posts it again, which must work.
    World world(1);
    world.agents[0]->runEnd = [] {
        return RunEnd::NotRun;
    };
    world.agents[0]->send(SendId(1), "k");
    world.run(Duration::millis(500));
    REQUIRE(world.only(1) == Told::NotRun);
    world.agents[1]->send(SendId(2), "k");
    world.run(Duration::seconds(1));
    REQUIRE(world.only(2) == Told::Delivered);
    REQUIRE(world.runs["k"] == 1);
}

TEST_CASE("an answer too large to keep is not passed off as whole")
{
    World world(1);
    auto &runOnce = *world.agents[0]->runOnce;
    const auto now = world.clock.now();
    const auto write = std::get<WriteClaims>(runOnce.arrive({SendId(1), {ServiceName("s"), RequestKey("k")}, now + Budget, 0}, now).at(0));
    const auto forward = runOnce.transactDone(write.batch, {.outcome = TransactOutcome::Committed, .version = RowVersion(1)}, now);
    REQUIRE(std::get<ForwardSend>(forward.at(0)).send == SendId(1));
    runOnce.runEnded(SendId(1), RunEnd::Answered, {.status = 200, .headers = {}, .body = std::string(1U << 20U, 'x')}, now);
    const auto duplicate = runOnce.arrive({SendId(2), {ServiceName("s"), RequestKey("k")}, now + Budget, 0}, now);
    REQUIRE(std::get<AnswerUnknown>(duplicate.at(0)).code == "record-too-large");
}

TEST_CASE("claims of one moment share a transaction")
{
    World world(1);
    for (std::uint64_t i = 1; i <= 60; ++i) {
        world.agents[0]->send(SendId(i), "k" + std::to_string(i));
    }
    world.run(Duration::seconds(10));
    std::size_t delivered = 0;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        delivered += world.only(i) == Told::Delivered ? 1 : 0;
    }
    REQUIRE(delivered == 60);
    REQUIRE(world.table.writes == 120);
    REQUIRE(world.table.transactions < 60);
}

TEST_CASE("a claim row survives its text form, whatever bytes the answer has")
{
    ClaimRow row {.attempt = AttemptId("a-1"), .state = ClaimState::Done, .keepUntilMs = 77, .record = RunRecord {.status = 200}};
    for (int byte = 0; byte < 256; ++byte) {
        row.record->body.push_back(static_cast<char>(byte));
    }
    row.record->headers = {{"x-name", "val\xff"}};
    const auto parsed = parseClaimRow(serializeClaimRow(row));
    REQUIRE(parsed);
    REQUIRE(parsed->attempt == row.attempt);
    REQUIRE(parsed->record == row.record);
    REQUIRE(parsed->keepUntilMs == 77);
    REQUIRE_FALSE(parseClaimRow("{\"attempt\":1}"));
}

TEST_CASE("clean-up deletes what was kept long enough, at the version seen")
{
    const auto row = [](const std::string &key, std::int64_t until) {
        const ClaimRow claim {.attempt = AttemptId("a"), .state = ClaimState::Claimed, .keepUntilMs = until, .record = std::nullopt};
        return TableRow {key, RowVersion(7), serializeClaimRow(claim)};
    };
    const auto ops = planClaimCleanup({row("claim/s/old", 10), row("claim/s/new", 30), {"claim/s/odd", RowVersion(1), "?"}}, 20);
    REQUIRE(ops == std::vector<TableOp> {{TableOp::Kind::Delete, "claim/s/old", RowVersion(7), ""}});
}

TEST_CASE("no key runs twice and no 'not run' is false, over seeds of lost, late and refused writes, pauses and crashes")
{
    // Callers send each key up to three times through two agents, while the store loses answers, lets writes take effect late and
    // refuses, and agents pause and crash. A doubled run charges a patron twice; a false "not run" makes a clerk post it again.
    const auto seed = GENERATE(range(1, 301));
    World world(static_cast<std::uint64_t>(seed));
    world.table.faults = {.lostRequest = 0.1, .lostAnswer = 0.15, .late = 0.1, .refused = 0.1};
    std::uniform_int_distribution<int> percent(0, 99);
    std::uint64_t nextSend = 0;
    int restarts = 0;
    for (int round = 0; round < 60; ++round) {
        const auto which = static_cast<std::size_t>(percent(world.random) % 2);
        auto &agent = *world.agents[which];
        const int roll = percent(world.random);
        agent.runEnd = [&world, &percent] {
            const int end = percent(world.random);
            return end < 10 ? RunEnd::NotRun : end < 20 ? RunEnd::Unknown : RunEnd::Answered;
        };
        agent.forwardDelay = roll % 10 == 0 ? Duration::seconds(2) : Duration::millis(1);
        if (roll < 5) {
            agent.crash();
            world.crashed.push_back(std::move(world.agents[which]));
            world.agents[which] = world.agent("r" + std::to_string(++restarts));
        } else if (roll < 12) {
            agent.frozenUntil = world.clock.now() + Duration::millis(700);
        }
        world.agents[which]->send(SendId(++nextSend), "k" + std::to_string(percent(world.random) % 20));
        world.run(Duration::millis(percent(world.random)));
    }
    world.run(Duration::seconds(60));
    INFO("seed " << seed);
    for (const auto &[key, count] : world.runs) {
        REQUIRE(count <= 1);
    }
    for (const auto &[send, answers] : world.told) {
        REQUIRE(answers.size() == 1);
        REQUIRE((answers.front() != Told::NotRun || !world.ran.contains(send)));
        REQUIRE((answers.front() != Told::Record || world.code[send].starts_with("posted ")));
    }
    REQUIRE_FALSE(world.runs.empty());
    for (const auto &agent : world.agents) {
        REQUIRE(agent->runOnce->openKeys() == 0);
    }
}
