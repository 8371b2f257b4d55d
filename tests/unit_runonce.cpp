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

enum class Answer { Record, NotRun, Unknown, Delivered };

/// Performs the actions of one agent's RunOnce: calls the table, and forwards requests to a target that records each run.
struct SimAgent {
    SimAgent(SimClock &clockGiven, SimTable &tableGiven, std::string claimant, RunOnceSettings settings = {})
        : clock(clockGiven)
        , table(tableGiven)
        , runOnce(std::make_shared<RunOnce>(settings, std::move(claimant)))
    {
    }

    SimClock &clock;
    SimTable &table;
    std::shared_ptr<RunOnce> runOnce; ///< null after a crash
    std::map<SendId, std::string> keyOf;
    std::function<void(const std::string &key, SendId send)> onRun;
    std::function<void(SendId send, Answer answers, const std::string &code)> onAnswer;
    std::function<RunOutcome()> runEnd = [] {
        return RunOutcome::Answered;
    };
    Duration forwardDelay; ///< between the claim and the run at the target
    TimePoint pausedUntil; ///< no event is handled before this time

    auto send(SendId id, const std::string &key, Duration budget = Budget) -> void
    {
        keyOf[id] = key;
        perform(runOnce->submit({id, {ServiceName("minutes"), RequestKey(key)}, clock.now() + budget, 0}, clock.now()));
    }
    auto crash() -> void
    {
        runOnce.reset();
    }
    /// Handles `event` after `delay`, but not before `pausedUntil`, and not if the agent has crashed.
    auto later(Duration delay, const std::function<RunOnceActions()> &event) -> void
    {
        const auto alive = std::weak_ptr<RunOnce>(runOnce);
        clock.after(delay, [this, alive, event] {
            if (alive.expired()) {
                return;
            }
            if (clock.now() < pausedUntil) {
                later(pausedUntil - clock.now(), event);
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
            if (end != RunOutcome::NotRun) {
                onRun(keyOf[id], id);
            }
            later(RunTime, [this, end, id] {
                onAnswer(id, end == RunOutcome::Answered ? Answer::Delivered : end == RunOutcome::NotRun ? Answer::NotRun : Answer::Unknown, "");
                return runOnce->runEnded(id, end, {.status = 201, .headers = {}, .body = "posted " + keyOf[id]}, clock.now());
            });
            return {};
        });
    }
    auto act(const AnswerFromRecord &answer) -> void
    {
        onAnswer(answer.send, Answer::Record, answer.record.body);
    }
    auto act(const AnswerNotRun &answer) -> void
    {
        onAnswer(answer.send, Answer::NotRun, answer.code);
    }
    auto act(const AnswerUnknown &answer) -> void
    {
        onAnswer(answer.send, Answer::Unknown, answer.code);
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

/// Two agents on one table, with a record of the answers to callers and of the runs at the target.
struct Simulation {
    explicit Simulation(std::uint64_t seed)
        : random(seed)
    {
        agents.push_back(agent("a"));
        agents.push_back(agent("b"));
    }

    std::mt19937_64 random;
    SimClock clock;
    SimTable table {clock, random};
    std::vector<std::unique_ptr<SimAgent>> agents;
    std::vector<std::unique_ptr<SimAgent>> crashed; ///< kept because scheduled events refer to them
    std::map<std::string, int> runs;
    std::set<SendId> ran;
    std::map<SendId, std::vector<Answer>> answers;
    std::map<SendId, std::string> code;

    auto agent(const std::string &claimant) -> std::unique_ptr<SimAgent>
    {
        auto made = std::make_unique<SimAgent>(clock, table, claimant);
        made->onRun = [this](const std::string &key, SendId send) {
            ++runs[key];
            ran.insert(send);
        };
        made->onAnswer = [this](SendId send, Answer what, const std::string &why) {
            answers[send].push_back(what);
            code[send] = why;
        };
        return made;
    }
    auto run(Duration span) -> void
    {
        clock.runUntil(clock.now() + span);
    }
    auto onlyAnswer(std::uint64_t send) -> Answer
    {
        REQUIRE(answers[SendId(send)].size() == 1);
        return answers[SendId(send)].front();
    }
};

} // namespace

TEST_CASE("a debit runs once and its duplicate gets the same answer")
{
    Simulation simulation(1);
    simulation.agents[0]->send(SendId(1), "k");
    simulation.run(Duration::millis(300));
    simulation.agents[0]->send(SendId(2), "k");
    simulation.agents[1]->send(SendId(3), "k");
    simulation.run(Duration::seconds(2));
    REQUIRE(simulation.runs["k"] == 1);
    REQUIRE(simulation.onlyAnswer(1) == Answer::Delivered);
    REQUIRE(simulation.onlyAnswer(2) == Answer::Record);
    REQUIRE(simulation.onlyAnswer(3) == Answer::Record);
    REQUIRE(simulation.code[SendId(3)] == "posted k");
}

TEST_CASE("a claim whose answer was lost is recognised as the agent's own, and the request runs")
{
    // The table writes the claim but its answer is lost. If that counted as a failure, the debit would not run; if it counted as a success without a read, the
    // claim in the row could be another agent's. The caller gets its answer a little later than usual.
    Simulation simulation(1);
    simulation.table.faults.lostAnswer = 1;
    simulation.agents[0]->send(SendId(1), "k");
    simulation.run(Duration::millis(20));
    simulation.table.faults.lostAnswer = 0;
    simulation.run(Duration::seconds(2));
    REQUIRE(simulation.runs["k"] == 1);
    REQUIRE(simulation.onlyAnswer(1) == Answer::Delivered);
}

TEST_CASE("with the store down a debit is not run, and its caller is told so at once")
{
    // The table refuses everything for a while. Nothing was claimed, so the caller may send the debit again later.
    Simulation simulation(1);
    simulation.table.down = true;
    simulation.agents[0]->send(SendId(1), "k");
    simulation.run(Duration::millis(100));
    REQUIRE(simulation.onlyAnswer(1) == Answer::NotRun);
    REQUIRE(simulation.runs.empty());
    simulation.table.down = false;
    simulation.agents[1]->send(SendId(2), "k");
    simulation.run(Duration::seconds(1));
    REQUIRE(simulation.onlyAnswer(2) == Answer::Delivered);
}

TEST_CASE("a request whose claim stays unresolved never runs, and its caller gets unknown")
{
    // Every answer of the table is lost until the caller's deadline. It isn't known whether the claim was written, so the caller gets "unknown", and the debit
    // must not run afterwards.
    Simulation simulation(1);
    simulation.table.faults.lostAnswer = 1;
    simulation.agents[0]->send(SendId(1), "k");
    simulation.run(Duration::seconds(2));
    REQUIRE(simulation.onlyAnswer(1) == Answer::Unknown);
    simulation.table.faults.lostAnswer = 0;
    simulation.run(Duration::seconds(5));
    REQUIRE(simulation.runs.empty());
}

TEST_CASE("a claimant that pauses before forwarding doesn't cause a second run")
{
    // An agent pauses right after its claim was written and continues much later. Meanwhile its caller has sent the debit again through another entry. If that
    // one ran too, the account would be debited twice.
    Simulation simulation(1);
    simulation.agents[0]->forwardDelay = Duration::seconds(5);
    simulation.agents[0]->send(SendId(1), "k");
    simulation.run(Duration::millis(500));
    simulation.agents[1]->send(SendId(2), "k");
    simulation.run(Duration::seconds(10));
    REQUIRE(simulation.runs["k"] == 1);
    REQUIRE(simulation.onlyAnswer(2) == Answer::Unknown);
}

TEST_CASE("a debit that could not be forwarded may run elsewhere")
{
    // The target refuses the connection after the claim was written. The caller gets "not run" and sends the debit again, which must work.
    Simulation simulation(1);
    simulation.agents[0]->runEnd = [] {
        return RunOutcome::NotRun;
    };
    simulation.agents[0]->send(SendId(1), "k");
    simulation.run(Duration::millis(500));
    REQUIRE(simulation.onlyAnswer(1) == Answer::NotRun);
    simulation.agents[1]->send(SendId(2), "k");
    simulation.run(Duration::seconds(1));
    REQUIRE(simulation.onlyAnswer(2) == Answer::Delivered);
    REQUIRE(simulation.runs["k"] == 1);
}

TEST_CASE("a duplicate of a request whose answer was too large to keep gets unknown")
{
    Simulation simulation(1);
    auto &runOnce = *simulation.agents[0]->runOnce;
    const auto now = simulation.clock.now();
    const auto write = std::get<WriteClaims>(runOnce.submit({SendId(1), {ServiceName("s"), RequestKey("k")}, now + Budget, 0}, now).at(0));
    const auto forward = runOnce.transactDone(write.batch, {.outcome = TransactOutcome::Committed, .version = RowVersion(1)}, now);
    REQUIRE(std::get<ForwardSend>(forward.at(0)).send == SendId(1));
    runOnce.runEnded(SendId(1), RunOutcome::Answered, {.status = 200, .headers = {}, .body = std::string(1U << 20U, 'x')}, now);
    const auto duplicate = runOnce.submit({SendId(2), {ServiceName("s"), RequestKey("k")}, now + Budget, 0}, now);
    REQUIRE(std::get<AnswerUnknown>(duplicate.at(0)).code == "record-too-large");
}

TEST_CASE("claims that arrive at the same time share transactions")
{
    Simulation simulation(1);
    for (std::uint64_t i = 1; i <= 60; ++i) {
        simulation.agents[0]->send(SendId(i), "k" + std::to_string(i));
    }
    simulation.run(Duration::seconds(10));
    std::size_t delivered = 0;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        delivered += simulation.onlyAnswer(i) == Answer::Delivered ? 1 : 0;
    }
    REQUIRE(delivered == 60);
    REQUIRE(simulation.table.writes == 120);
    REQUIRE(simulation.table.transactions < 60);
}

TEST_CASE("a claim row is restored from its text form, whatever bytes the answer has")
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

TEST_CASE("clean-up deletes rows after their retention, at the version that was read")
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
    // Callers send the same keys several times through two agents, while the table loses answers, refuses writes and lets them take effect late, and agents
    // pause and crash. A second run debits an account twice; so does a false "not run", after which the caller sends the debit again.
    const auto seed = GENERATE(range(1, 301));
    Simulation simulation(static_cast<std::uint64_t>(seed));
    simulation.table.faults = {.lostRequest = 0.1, .lostAnswer = 0.15, .late = 0.1, .refused = 0.1};
    std::uniform_int_distribution<int> percent(0, 99);
    std::uint64_t nextSend = 0;
    int restarts = 0;
    for (int round = 0; round < 60; ++round) {
        const auto which = static_cast<std::size_t>(percent(simulation.random) % 2);
        auto &agent = *simulation.agents[which];
        const int roll = percent(simulation.random);
        agent.runEnd = [&simulation, &percent] {
            const int end = percent(simulation.random);
            return end < 10 ? RunOutcome::NotRun : end < 20 ? RunOutcome::Unknown : RunOutcome::Answered;
        };
        agent.forwardDelay = roll % 10 == 0 ? Duration::seconds(2) : Duration::millis(1);
        if (roll < 5) {
            agent.crash();
            simulation.crashed.push_back(std::move(simulation.agents[which]));
            simulation.agents[which] = simulation.agent("r" + std::to_string(++restarts));
        } else if (roll < 12) {
            agent.pausedUntil = simulation.clock.now() + Duration::millis(700);
        }
        simulation.agents[which]->send(SendId(++nextSend), "k" + std::to_string(percent(simulation.random) % 20));
        simulation.run(Duration::millis(percent(simulation.random)));
    }
    simulation.run(Duration::seconds(60));
    INFO("seed " << seed);
    for (const auto &[key, count] : simulation.runs) {
        REQUIRE(count <= 1);
    }
    for (const auto &[send, answers] : simulation.answers) {
        REQUIRE(answers.size() == 1);
        REQUIRE((answers.front() != Answer::NotRun || !simulation.ran.contains(send)));
        REQUIRE((answers.front() != Answer::Record || simulation.code[send].starts_with("posted ")));
    }
    REQUIRE_FALSE(simulation.runs.empty());
    for (const auto &agent : simulation.agents) {
        REQUIRE(agent->runOnce->openKeys() == 0);
    }
}
