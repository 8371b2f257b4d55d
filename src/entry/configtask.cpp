// Index of sections (search for [SECTION]):
//   Adoption   polling, peers
//   Commits    writing operators' changes to the table
#include "entry/configtask.h"

#include "core/configlog.h"
#include "core/declarationcodec.h"
#include "core/hashing.h"
#include "entry/configsets.h"

#include <glog/logging.h>
#include <set>

namespace KingCup
{

namespace
{

/// A change that is being committed. ConfigTask::Private::commits keeps it alive until it is decided.
struct Commit {
    ConfigCommit machine;
    DeclarationsChange change;
    std::string text;
    std::function<void(const ChangeAnswer &)> answer;
    Timer wake;
};
using CommitPtr = std::shared_ptr<Commit>;

auto outcomeOf(CommitOutcome outcome) -> ChangeOutcome
{
    switch (outcome) {
    case CommitOutcome::Accepted:
        return ChangeOutcome::Accepted;
    case CommitOutcome::Unchanged:
        return ChangeOutcome::Unchanged;
    case CommitOutcome::Conflict:
        return ChangeOutcome::Conflict;
    case CommitOutcome::Unavailable:
        return ChangeOutcome::Unavailable;
    case CommitOutcome::Unknown:
        return ChangeOutcome::Unknown;
    }
    return ChangeOutcome::Unknown;
}

} // namespace

struct ConfigTask::Private {
    EventLoop &loop;
    TableAccess table;
    ConfigSettings settings;
    ConfigHooks hooks;
    ConfigSets sets;
    Declarations declarations;
    std::string text;
    Revision revision;
    std::set<CommitPtr> commits;
    Timer pollTimer;
    bool polling = false;
    bool storeReachable = false;
    std::uint64_t writes = 0;

    Private(EventLoop &ownerLoop, TableAccess access, ConfigSettings taskSettings, ConfigHooks taskHooks, ObjectClient *objects)
        : loop(ownerLoop)
        , table(std::move(access))
        , settings(std::move(taskSettings))
        , hooks(std::move(taskHooks))
        , sets(objects, settings.inlineLimit)
    {
    }

    auto poll() -> void;
    auto onHead(const std::optional<std::vector<TableRow>> &rows) -> void;
    /// Receives the text of a set, or nothing if it could not be read.
    using SetDone = std::function<void(const std::optional<std::string> &text)>;
    /// Reads the log row of that revision and adopts its set.
    auto readLog(Revision wanted, const SetDone &done) -> void;
    auto fetch(Revision wanted, const std::string &row, const SetDone &done) -> void;
    auto begin(const DeclarationsChange &change, const std::string &set, const std::string &row, std::function<void(const ChangeAnswer &)> answer) -> void;
    auto adopt(Revision offered, const std::string &set) -> void;
    auto perform(const CommitPtr &commit, const ConfigStep &step) -> void;
    auto decide(const CommitPtr &commit, const CommitDecision &decision) -> void;
    auto answerAccepted(const CommitPtr &commit, Revision accepted) -> void;
};

// [SECTION] Adoption

auto ConfigTask::Private::poll() -> void
{
    if (polling) {
        return;
    }
    polling = true;
    table.read({ConfigHeadKey}, [this](const std::optional<std::vector<TableRow>> &rows) {
        polling = false;
        onHead(rows);
    });
}

auto ConfigTask::Private::onHead(const std::optional<std::vector<TableRow>> &rows) -> void
{
    if (storeReachable != rows.has_value()) {
        storeReachable = rows.has_value();
        LOG(INFO) << "config: store " << (storeReachable ? "reachable" : "not reachable") << " revision=" << revision;
    }
    if (!rows || rows->empty()) {
        return;
    }
    const auto head = parseConfigHead(rows->front().value);
    if (!head) {
        LOG(ERROR) << "config: unreadable head row version=" << rows->front().version;
    } else if (mayAdopt(revision, head->revision)) {
        readLog(head->revision, [](const auto & /*set*/) {});
    }
}

auto ConfigTask::Private::readLog(Revision wanted, const SetDone &done) -> void
{
    table.read({configLogKey(wanted)}, [this, wanted, done](const std::optional<std::vector<TableRow>> &rows) {
        if (!rows || rows->empty()) { // the next poll retries the read
            return done(std::nullopt);
        }
        const auto entry = parseConfigLogEntry(rows->front().value);
        if (!entry) {
            LOG(ERROR) << "config: unreadable log row revision=" << wanted;
            return done(std::nullopt);
        }
        fetch(wanted, entry->declarations, done);
    });
}

auto ConfigTask::Private::fetch(Revision wanted, const std::string &row, const SetDone &done) -> void
{
    sets.fetch(row, [this, wanted, done](const Result<std::string> &set) {
        if (!set) {
            LOG(WARNING) << "config: set not readable revision=" << wanted << " error=\"" << set.error().message << "\"";
            return done(std::nullopt);
        }
        adopt(wanted, set.value());
        done(set.value());
    });
}

auto ConfigTask::Private::adopt(Revision offered, const std::string &set) -> void
{
    if (!mayAdopt(revision, offered)) {
        return;
    }
    auto decoded = declarationsFromJson(set);
    if (!decoded) {
        LOG(ERROR) << "config: unreadable declarations revision=" << offered << " error=\"" << decoded.error().message << "\"";
        return;
    }
    declarations = std::move(decoded.value());
    text = set;
    revision = offered;
    hooks.onAdopted(revision, declarations, text);
}

// [SECTION] Commits

auto ConfigTask::Private::begin(const DeclarationsChange &change,
                                const std::string &set,
                                const std::string &row,
                                std::function<void(const ChangeAnswer &)> answer) -> void
{
    ConfigProposal proposal;
    proposal.change = change.id;
    proposal.expected = change.expected;
    proposal.author = change.author;
    proposal.declarations = row;
    proposal.digest = std::to_string(stableHash(set));
    ConfigCommit machine(std::move(proposal), loop.now() + settings.commitTimeout);
    const auto commit = std::make_shared<Commit>(Commit {std::move(machine), change, set, std::move(answer), {}});
    commits.insert(commit);
    perform(commit, commit->machine.begin());
}

auto ConfigTask::Private::perform(const CommitPtr &commit, const ConfigStep &step) -> void
{
    if (const auto *read = std::get_if<ReadConfig>(&step)) {
        table.read(read->keys,
                   [this, commit](const std::optional<std::vector<TableRow>> &rows) { perform(commit, commit->machine.readDone(rows, loop.now())); });
    } else if (const auto *write = std::get_if<WriteConfig>(&step)) {
        const auto id = settings.entry + "-config-" + std::to_string(loop.now().inMicros()) + "-" + std::to_string(++writes);
        table.transact(id, write->ops, [this, commit](const TransactResult &result) { perform(commit, commit->machine.writeDone(result, loop.now())); });
    } else if (const auto *wait = std::get_if<WaitUntil>(&step)) {
        commit->wake = loop.after(wait->until - loop.now(), [this, commit] { perform(commit, commit->machine.resume(loop.now())); });
    } else {
        decide(commit, std::get<CommitDecision>(step));
    }
}

auto ConfigTask::Private::decide(const CommitPtr &commit, const CommitDecision &decision) -> void
{
    commits.erase(commit);
    commit->wake.cancel();
    LOG(INFO) << "config: change decided change=" << commit->change.id << " outcome=" << toString(decision.outcome) << " revision=" << decision.revision
              << " author=" << commit->change.author;
    if (decision.outcome == CommitOutcome::Accepted) {
        answerAccepted(commit, decision.revision);
        return;
    }
    ChangeAnswer answer;
    answer.outcome = outcomeOf(decision.outcome);
    answer.revision = decision.revision;
    if (decision.outcome == CommitOutcome::Conflict) {
        answer.message = "revision " + std::to_string(decision.revision.value()) + " came first";
    } else if (decision.outcome == CommitOutcome::Unavailable) {
        answer.message = "the store could not be asked; the change has not been made";
    } else if (decision.outcome == CommitOutcome::Unknown) {
        answer.message = "the store did not answer; ask again with change id " + commit->change.id.text();
    }
    commit->answer(answer);
}

auto ConfigTask::Private::answerAccepted(const CommitPtr &commit, Revision accepted) -> void
{
    // An earlier request with the same change id may have committed a different set, so the committed set is read from the table. Adopting
    // this request's set could bring a revision into force here whose contents differ from the table's.
    readLog(accepted, [commit, accepted](const std::optional<std::string> &set) {
        ChangeAnswer answer;
        answer.outcome = ChangeOutcome::Accepted;
        answer.revision = accepted;
        if (set && *set != commit->text) {
            answer.outcome = ChangeOutcome::Refused;
            answer.findings.push_back(
                {{}, "change id " + commit->change.id.text() + " became revision " + std::to_string(accepted.value()) + " with another set"});
        }
        commit->answer(answer);
    });
}

ConfigTask::ConfigTask(EventLoop &loop, TableAccess table, ConfigSettings settings, ConfigHooks hooks, ObjectClient *objects)
    : d(std::make_unique<Private>(loop, std::move(table), std::move(settings), std::move(hooks), objects))
{
    d->pollTimer = loop.every(d->settings.pollPeriod, [this] { d->poll(); });
    d->poll();
}

ConfigTask::~ConfigTask() = default;

auto ConfigTask::revision() const -> Revision
{
    return d->revision;
}

auto ConfigTask::declarations() const -> const Declarations &
{
    return d->declarations;
}

auto ConfigTask::text() const -> const std::string &
{
    return d->text;
}

auto ConfigTask::isStoreReachable() const -> bool
{
    return d->storeReachable;
}

auto ConfigTask::apply(const DeclarationsChange &change, std::function<void(const ChangeAnswer &)> answer) -> void
{
    auto findings = checkDeclarations(change.set);
    if (!findings.empty()) {
        ChangeAnswer refusal;
        refusal.outcome = ChangeOutcome::Refused;
        refusal.revision = d->revision;
        refusal.findings = std::move(findings);
        answer(refusal);
        return;
    }
    const auto text = declarationsToJson(change.set);
    d->sets.store(text, [this, change, text, answer = std::move(answer)](const Result<std::string> &row) {
        if (row) {
            d->begin(change, text, row.value(), answer);
            return;
        }
        ChangeAnswer unavailable;
        unavailable.outcome = ChangeOutcome::Unavailable;
        unavailable.revision = d->revision;
        unavailable.message = "the object store could not keep the set; the change has not been made";
        answer(unavailable);
    });
}

auto ConfigTask::offer(Revision revision, const std::string &text) -> void
{
    d->adopt(revision, text);
}

} // namespace KingCup
