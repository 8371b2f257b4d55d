// Index of sections (search for [SECTION]):
//   Actions    carry out what RunOnce decides
//   Clean-up   delete rows whose retention has ended
#include "agent/claimtask.h"

#include <glog/logging.h>
#include <unordered_map>

namespace KingCup
{

namespace
{

constexpr int CleanupPage = 100; // rows of one scan

template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

struct ClaimTask::Private {
    using Done = std::function<void(const ClaimVerdict &verdict)>;

    EventLoop &loop;
    TableAccess table;
    ClaimSettings settings;
    RunOnce runOnce;
    std::unordered_map<std::uint64_t, Done> waiting; // sends without a verdict
    std::uint64_t sends = 0;
    std::uint64_t writes = 0;
    Timer wake;
    Timer cleanup;
    std::string cleanupAfter; // last key of the previous scan; empty: the next scan starts from the beginning

    Private(EventLoop &ownerLoop, TableAccess access, ClaimSettings claimSettings)
        : loop(ownerLoop)
        , table(std::move(access))
        , settings(std::move(claimSettings))
        , runOnce(settings.runOnce, settings.claimant)
    {
    }

    auto begin(const ClaimKey &key, TimePoint deadline, Done done) -> SendId;
    auto perform(const RunOnceActions &actions) -> void;
    auto deliverVerdict(SendId send, const ClaimVerdict &verdict) -> void;
    auto forward(const ForwardSend &send) -> void;
    auto write(const WriteClaims &action) -> void;
    auto read(const ReadClaims &action) -> void;
    auto scheduleTick() -> void;
    auto cleanUp() -> void;
    auto deleteExpired(const std::vector<TableRow> &rows) -> void;
};

// [SECTION] Actions

auto ClaimTask::Private::begin(const ClaimKey &key, TimePoint deadline, Done done) -> SendId
{
    RunOnceSend send;
    send.send = SendId(++sends);
    send.key = key;
    send.deadline = deadline;
    send.keepUntilMs = settings.wallMillis() + settings.retention(key.service).inMillis();
    waiting.emplace(send.send.value(), std::move(done));
    // Posted, since RunOnce may decide at once and the id must be returned before `done` is called.
    loop.post([this, send] { perform(runOnce.submit(send, loop.now())); });
    return send.send;
}

auto ClaimTask::Private::deliverVerdict(SendId send, const ClaimVerdict &verdict) -> void
{
    const auto found = waiting.find(send.value());
    if (found == waiting.end()) {
        return;
    }
    const auto done = std::move(found->second);
    waiting.erase(found);
    done(verdict);
}

/// A caller may disconnect before its send has reached RunOnce. Its claim, if won, is ended here as not run; otherwise the key would stay open
/// forever, since nobody would run the request.
auto ClaimTask::Private::forward(const ForwardSend &send) -> void
{
    if (waiting.contains(send.send.value())) {
        deliverVerdict(send.send, send);
        return;
    }
    loop.post([this, id = send.send] { perform(runOnce.runEnded(id, RunOutcome::NotRun, {}, loop.now())); });
}

auto ClaimTask::Private::perform(const RunOnceActions &actions) -> void
{
    for (const auto &action : actions) {
        std::visit(Overloaded {[this](const ForwardSend &send) { forward(send); },
                               [this](const AnswerFromRecord &answer) { deliverVerdict(answer.send, answer); },
                               [this](const AnswerNotRun &answer) { deliverVerdict(answer.send, answer); },
                               [this](const AnswerUnknown &answer) { deliverVerdict(answer.send, answer); },
                               [this](const WriteClaims &batch) { write(batch); },
                               [this](const ReadClaims &keys) {
                                   read(keys);
                               }},
                   action);
    }
    scheduleTick();
}

auto ClaimTask::Private::write(const WriteClaims &action) -> void
{
    const auto id = settings.claimant + "-" + std::to_string(++writes);
    VLOG(1) << "claims: writing batch=" << action.batch << " rows=" << action.ops.size();
    table.transact(id, action.ops, [this, batch = action.batch](const TransactResult &result) {
        if (result.outcome == TransactOutcome::Lost) {
            LOG(WARNING) << "claims: answer of a write was lost batch=" << batch;
        }
        perform(runOnce.transactDone(batch, result, loop.now()));
    });
}

auto ClaimTask::Private::read(const ReadClaims &action) -> void
{
    table.read(action.keys,
               [this, read = action.read](const std::optional<std::vector<TableRow>> &rows) { perform(runOnce.readDone(read, rows, loop.now())); });
}

auto ClaimTask::Private::scheduleTick() -> void
{
    const auto next = runOnce.nextWake();
    if (!next) {
        wake.cancel();
        return;
    }
    wake = loop.after(*next - loop.now(), [this] { perform(runOnce.tick(loop.now())); });
}

// [SECTION] Clean-up

/// Scans one page per period. Since every agent does this, deletion keeps up with many claims at little cost.
auto ClaimTask::Private::cleanUp() -> void
{
    table.scan(ClaimRowPrefix, cleanupAfter, CleanupPage, [this](const std::optional<std::vector<TableRow>> &rows) {
        if (!rows) {
            return;
        }
        cleanupAfter = rows->size() < static_cast<std::size_t>(CleanupPage) ? std::string() : rows->back().key;
        deleteExpired(*rows);
    });
}

auto ClaimTask::Private::deleteExpired(const std::vector<TableRow> &rows) -> void
{
    const auto ops = planClaimCleanup(rows, settings.wallMillis());
    if (ops.empty()) {
        return;
    }
    table.transact(settings.claimant + "-cleanup-" + std::to_string(++writes), ops, [count = ops.size()](const TransactResult &result) {
        LOG(INFO) << "claims: cleaned up rows=" << count << " committed=" << (result.outcome == TransactOutcome::Committed);
    });
}

ClaimTask::ClaimTask(EventLoop &loop, TableAccess table, ClaimSettings settings)
    : d(std::make_unique<Private>(loop, std::move(table), std::move(settings)))
{
    d->cleanup = loop.every(d->settings.cleanupPeriod, [this] { d->cleanUp(); });
}

ClaimTask::~ClaimTask() = default;

auto ClaimTask::hooks() -> ClaimHooks
{
    ClaimHooks hooks;
    hooks.begin = [this](const ClaimKey &key, TimePoint deadline, std::function<void(const ClaimVerdict &)> done) {
        return d->begin(key, deadline, std::move(done));
    };
    hooks.cancel = [this](SendId send) {
        d->waiting.erase(send.value());
        d->perform(d->runOnce.cancel(send, d->loop.now()));
    };
    hooks.runEnded = [this](SendId send, RunOutcome end, const RunRecord &record) {
        d->perform(d->runOnce.runEnded(send, end, record, d->loop.now()));
    };
    return hooks;
}

auto ClaimTask::openKeys() const -> std::size_t
{
    return d->runOnce.openKeys();
}

auto ClaimTask::pendingWrites() const -> std::size_t
{
    return d->runOnce.pendingWrites();
}

} // namespace KingCup
