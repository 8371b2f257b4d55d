#include "entry/planner.h"

#include <glog/logging.h>
#include <map>

namespace KingCup
{

namespace
{

constexpr auto FloorSubject = "floor";
constexpr auto SurgeSubject = "surge";
constexpr auto SchedulePlanDelay = Duration::millis(100); // delay of a plan outside the regular rounds, e.g. for a missing replica
constexpr auto SettleTime = Duration::seconds(2); // time without a change in the number of runners before the first floor is planned
constexpr auto SurgeRepeat = Duration::seconds(5); // period for repeating an unchanged request; well below the agents' ResidencySettings::surgeLifetime
constexpr int RoundsPerRead = 3; // rounds between two reads of the floor's row by entries that don't plan it

/// The surge request that a target was last sent.
struct PublishedSurge {
    std::vector<ArtifactName> artifacts;
    TimePoint at;
};

} // namespace

struct Planner::Private {
    EventLoop &loop;
    PlannerSettings settings;
    PlannerHooks hooks;
    DecisionLog &decisions;
    SurgePlanner surge;
    Declarations declarations;
    bool hasDeclarations = false;
    Plan floor;
    Plan desiredFloor;
    RowVersion floorVersion;
    std::string floorText;
    bool storeReachable = false;
    bool reading = false;
    bool writing = false;
    std::size_t lastRunnerCount = 0;
    TimePoint runnerCountChangedAt;
    std::uint64_t surgeSequence = 0;
    std::map<TargetId, PublishedSurge> publishedSurge;
    int round = 0;
    Timer period;
    Timer soon;

    Private(EventLoop &ownerLoop, PlannerSettings plannerSettings, PlannerHooks plannerHooks, DecisionLog &log)
        : loop(ownerLoop)
        , settings(std::move(plannerSettings))
        , hooks(std::move(plannerHooks))
        , decisions(log)
        , surge(settings.placement)
    {
    }

    auto plan() -> void;
    auto readFloor() -> void;
    auto adoptAndPlanFloor(const std::optional<std::vector<TableRow>> &rows) -> void;
    auto planFloorRow() -> void;
    auto isFleetSettled() -> bool;
    auto writeFloor(const FloorRow &row) -> void;
    auto planSurge() -> void;
    auto publishSurge(const TargetId &target, const std::vector<ArtifactName> &artifacts) -> void;
    auto input() const -> PlacementInput;
    auto recordDecisions(const std::vector<PlacementDecision> &list) -> void;
    auto adoptFloor(RowVersion version, const std::string &text) -> void;
};

auto Planner::Private::input() const -> PlacementInput
{
    PlacementInput input;
    input.declarations = &declarations;
    input.runners = hooks.runners();
    input.demand = hooks.demand();
    input.floor = floor;
    input.retained = hooks.retained();
    return input;
}

auto Planner::Private::recordDecisions(const std::vector<PlacementDecision> &list) -> void
{
    for (const auto &decision : list) {
        const std::string text = std::string(toString(decision.kind)) + " target=" + decision.target.text() + " reason=\"" + decision.reason + "\"";
        LOG(INFO) << "placement: " << toString(decision.kind) << " artifact=" << decision.artifact << " target=" << decision.target << " reason=\""
                  << decision.reason << "\"";
        decisions.add({loop.now(), "placement", decision.artifact.text(), text});
    }
}

auto Planner::Private::plan() -> void
{
    ++round;
    const bool plansFloor = hooks.ranksFirst(FloorSubject);
    if (plansFloor || round % RoundsPerRead == 1) {
        readFloor();
    }
    if (hasDeclarations && hooks.ranksFirst(SurgeSubject)) {
        planSurge();
    }
}

auto Planner::Private::readFloor() -> void
{
    if (reading) {
        return;
    }
    reading = true;
    hooks.table.read({FloorRowKey}, [this](const std::optional<std::vector<TableRow>> &rows) { adoptAndPlanFloor(rows); });
}

auto Planner::Private::adoptAndPlanFloor(const std::optional<std::vector<TableRow>> &rows) -> void
{
    reading = false;
    storeReachable = rows.has_value();
    if (!rows) {
        return;
    }
    if (!rows->empty()) {
        adoptFloor(rows->front().version, rows->front().value);
    }
    if (hasDeclarations && hooks.ranksFirst(FloorSubject)) {
        planFloorRow();
    }
}

auto Planner::Private::adoptFloor(RowVersion version, const std::string &text) -> void
{
    if (version <= floorVersion) {
        return;
    }
    const auto decoded = planFromJson(text);
    if (!decoded) {
        LOG(ERROR) << "placement: unreadable floor row version=" << version << " error=\"" << decoded.error().message << "\"";
        return;
    }
    floor = decoded.value();
    floorVersion = version;
    floorText = text;
    hooks.onFloor(version, text);
}

auto Planner::Private::planFloorRow() -> void
{
    if (writing || settings.placement.strategy == PlacementStrategy::LoadOnDemand) {
        return;
    }
    if (floorVersion == RowVersion() && !isFleetSettled()) {
        return;
    }
    auto result = planFloor(input(), settings.placement);
    desiredFloor = result.plan;
    for (const auto &artifact : result.unplaced) {
        LOG_EVERY_N(ERROR, 60) << "placement: no runner has capacity artifact=" << artifact;
    }
    FloorInput floorInput;
    floorInput.current = floorRowOf(floor);
    floorInput.version = floorVersion;
    floorInput.desired = floorRowOf(result.plan);
    floorInput.reports = hooks.holderReports();
    for (const auto &[name, artifact] : declarations.artifacts) {
        floorInput.declared.insert(name);
    }
    for (const auto &name : hooks.retained()) {
        floorInput.declared.insert(name);
    }
    const auto row = composeFloorRow(floorInput);
    if (row) {
        recordDecisions(result.decisions);
        writeFloor(*row);
    }
}

/// If the first floor were planned while runners are still connecting, all replicas would be placed on the few connected runners, and replicas
/// that are well placed aren't moved later. So the first floor is planned once the number of runners hasn't changed for SettleTime.
auto Planner::Private::isFleetSettled() -> bool
{
    const auto count = hooks.runners().size();
    if (count != lastRunnerCount) {
        lastRunnerCount = count;
        runnerCountChangedAt = loop.now();
    }
    return count > 0 && loop.now() - runnerCountChangedAt >= SettleTime;
}

auto Planner::Private::writeFloor(const FloorRow &row) -> void
{
    writing = true;
    const auto text = planToJson(planOf(row));
    TableOp op;
    op.key = FloorRowKey;
    op.expect = floorVersion;
    op.value = text;
    const auto writeId = settings.entry + "-floor-" + std::to_string(loop.now().inMicros());
    hooks.table.transact(writeId, {op}, [this, text](const TransactResult &result) {
        writing = false;
        LOG(INFO) << "placement: wrote floor row committed=" << (result.outcome == TransactOutcome::Committed) << " version=" << result.version;
        if (result.outcome == TransactOutcome::Committed) {
            adoptFloor(result.version, text);
        }
        // If the write isn't known to be committed, the next read shows whether it took effect.
    });
}

auto Planner::Private::planSurge() -> void
{
    const auto result = surge.plan(input(), desiredFloor, loop.now());
    recordDecisions(result.decisions);
    ++surgeSequence;
    for (const auto &runner : hooks.runners()) {
        publishSurge(runner.id, result.surge.artifactsOn(runner.id));
    }
}

/// Sends a changed request at once and an unchanged one again every SurgeRepeat: agents drop requests that aren't repeated, and a message may
/// have been lost with a closed connection.
auto Planner::Private::publishSurge(const TargetId &target, const std::vector<ArtifactName> &artifacts) -> void
{
    auto &published = publishedSurge[target];
    if (published.artifacts == artifacts && published.at > TimePoint() && loop.now() - published.at < SurgeRepeat) {
        return;
    }
    published.artifacts = artifacts;
    published.at = loop.now();
    hooks.surge(target, surgeSequence, artifacts);
}

Planner::Planner(EventLoop &loop, PlannerSettings settings, PlannerHooks hooks, DecisionLog &decisions)
    : d(std::make_unique<Private>(loop, std::move(settings), std::move(hooks), decisions))
{
    d->period = loop.every(d->settings.period, [this] { d->plan(); });
}

Planner::~Planner() = default;

auto Planner::floorVersion() const -> RowVersion
{
    return d->floorVersion;
}

auto Planner::floorText() const -> const std::string &
{
    return d->floorText;
}

auto Planner::isStoreReachable() const -> bool
{
    return d->storeReachable;
}

auto Planner::adopt(const Declarations &declarations) -> void
{
    d->declarations = declarations;
    d->hasDeclarations = true;
    schedulePlan();
}

auto Planner::floorRead(RowVersion version, const std::string &text) -> void
{
    d->adoptFloor(version, text);
}

auto Planner::schedulePlan() -> void
{
    if (!d->soon.isActive()) {
        d->soon = d->loop.after(SchedulePlanDelay, [this] { d->plan(); });
    }
}

} // namespace KingCup
