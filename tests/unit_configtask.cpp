#include "core/configlog.h"
#include "core/declarationcodec.h"
#include "entry/configtask.h"

#include <catch2/catch.hpp>
#include <map>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);

/// The platform's table in memory, for several entries on one loop.
struct MemoryTable {
    EventLoop &loop;
    std::map<std::string, TableRow> rows;
    std::uint64_t version = 0;
    bool down = false;
    int answersToLose = 0; ///< for so many transactions, the table commits but its answer is lost
    std::size_t transactions = 0;

    auto access() -> TableAccess
    {
        TableAccess access;
        access.read = [this](const std::vector<std::string> &keys, TableAccess::ReadDone done) {
            loop.post([this, keys, done = std::move(done)] { done(down ? std::nullopt : std::optional(find(keys))); });
        };
        access.transact = [this](const std::string & /*writeId*/, const std::vector<TableOp> &ops, TableAccess::TransactDone done) {
            loop.post([this, ops, done = std::move(done)] { done(apply(ops)); });
        };
        return access;
    }

    auto find(const std::vector<std::string> &keys) const -> std::vector<TableRow>
    {
        std::vector<TableRow> found;
        for (const auto &key : keys) {
            if (const auto row = rows.find(key); row != rows.end()) {
                found.push_back(row->second);
            }
        }
        return found;
    }

    auto apply(const std::vector<TableOp> &ops) -> TransactResult
    {
        TransactResult result;
        if (down) {
            result.outcome = TransactOutcome::Refused;
            return result;
        }
        for (const auto &op : ops) {
            const auto row = rows.find(op.key);
            const auto current = row == rows.end() ? RowVersion() : row->second.version;
            if (current != op.expect) {
                result.outcome = TransactOutcome::Conflict;
                result.conflicts.emplace_back(op.key, current);
            }
        }
        if (result.outcome == TransactOutcome::Conflict) {
            return result;
        }
        ++transactions;
        result.version = RowVersion(++version);
        for (const auto &op : ops) {
            rows[op.key] = TableRow {op.key, result.version, op.value};
        }
        result.outcome = answersToLose-- > 0 ? TransactOutcome::Lost : TransactOutcome::Committed;
        return result;
    }
};

/// The platform's object store in memory.
class MemoryObjects : public ObjectClient
{
public:
    explicit MemoryObjects(EventLoop &loop)
        : m_loop(loop)
    {
    }

    std::map<std::string, std::string> objects;
    bool down = false;

    auto isReachable() const -> bool override
    {
        return !down;
    }
    auto put(const std::string &key, std::string body, const PutCondition & /*condition*/, PutDone done) -> void override
    {
        m_loop.post([this, key, body = std::move(body), done = std::move(done)] {
            if (down) {
                return done(Error {ErrorCode::Unavailable, "down"});
            }
            objects[key] = body;
            done(std::string("etag"));
        });
    }
    auto get(const std::string &key, Duration /*deadline*/, GetDone done) -> void override
    {
        m_loop.post([this, key, done = std::move(done)] {
            const auto found = objects.find(key);
            if (down || found == objects.end()) {
                return done(Error {ErrorCode::NotFound, "no such object"});
            }
            done(StoredObject {"etag", found->second});
        });
    }
    auto remove(const std::string &key, Duration /*deadline*/, RemoveDone done) -> void override
    {
        m_loop.post([this, key, done = std::move(done)] { done(objects.erase(key) > 0); });
    }

private:
    EventLoop &m_loop;
};

auto declarationsWith(double moveCost) -> Declarations
{
    Declarations set;
    set.services[ServiceName("advisory")] = Service {.name = ServiceName("advisory")};
    set.policy.moveCost = moveCost;
    return set;
}

struct ConfigFixture {
    EventLoop loop;
    MemoryTable table {.loop = loop, .rows = {}};
    MemoryObjects objects {loop};
    std::size_t inlineLimit = 32768;
    std::vector<Revision> adopted; ///< by the first entry

    auto entry(const std::string &id) -> std::unique_ptr<ConfigTask>
    {
        ConfigHooks hooks;
        hooks.onAdopted = [this, id](Revision revision, const Declarations & /*set*/, const std::string & /*text*/) {
            if (id == "entry-1") {
                adopted.push_back(revision);
            }
        };
        const ConfigSettings settings {.entry = id, .pollPeriod = Duration::millis(5), .commitTimeout = Duration::millis(400), .inlineLimit = inlineLimit};
        return std::make_unique<ConfigTask>(loop, table.access(), settings, hooks, &objects);
    }

    auto waitFor(const std::function<bool()> &done) -> void
    {
        REQUIRE(loop.runUntil(done, Limit));
    }
};

auto change(const std::string &id, std::uint64_t expected, double moveCost) -> DeclarationsChange
{
    return {.id = ChangeId(id), .expected = Revision(expected), .set = declarationsWith(moveCost), .author = "unit"};
}

/// Empty until the answer has arrived.
using Answer = std::optional<ChangeAnswer>;

auto storeAnswerIn(Answer &answer) -> std::function<void(const ChangeAnswer &)>
{
    return [&answer](const ChangeAnswer &given) {
        REQUIRE_FALSE(answer.has_value());
        answer = given;
    };
}

} // namespace

TEST_CASE("an accepted change comes into force in the entry that received it and in the others")
{
    ConfigFixture fixture;
    const auto first = fixture.entry("entry-1");
    const auto second = fixture.entry("entry-2");
    Answer answer;
    second->apply(change("c1", 0, 7), storeAnswerIn(answer));
    fixture.waitFor([&] { return answer && first->revision() == Revision(1); });
    REQUIRE(answer->outcome == ChangeOutcome::Accepted);
    REQUIRE(answer->revision == Revision(1));
    REQUIRE(second->revision() == Revision(1));
    REQUIRE(first->declarations().policy.moveCost == 7);
    REQUIRE(first->text() == second->text());
}

TEST_CASE("of two concurrent changes one is accepted and the other gets a conflict that names the accepted revision")
{
    // Two operators apply changes to the same revision at the same time through different entries. If both were accepted, the second would
    // silently undo the first.
    ConfigFixture fixture;
    const auto first = fixture.entry("entry-1");
    const auto second = fixture.entry("entry-2");
    Answer one;
    Answer other;
    first->apply(change("c1", 0, 7), storeAnswerIn(one));
    second->apply(change("c2", 0, 8), storeAnswerIn(other));
    fixture.waitFor([&] { return one && other; });
    const auto &winner = one->outcome == ChangeOutcome::Accepted ? *one : *other;
    const auto &loser = one->outcome == ChangeOutcome::Accepted ? *other : *one;
    REQUIRE(winner.outcome == ChangeOutcome::Accepted);
    REQUIRE(loser.outcome == ChangeOutcome::Conflict);
    REQUIRE(loser.revision == Revision(1));
    REQUIRE(fixture.table.transactions == 1);
}

TEST_CASE("a commit whose answer is lost is reported as accepted and made once")
{
    // The table commits, and its answer is lost. If the change were reported as not made, the operator would apply it again as another revision.
    ConfigFixture fixture;
    fixture.table.answersToLose = 1;
    const auto entry = fixture.entry("entry-1");
    Answer answer;
    entry->apply(change("c1", 0, 7), storeAnswerIn(answer));
    fixture.waitFor([&] { return answer.has_value(); });
    REQUIRE(answer->outcome == ChangeOutcome::Accepted);
    REQUIRE(answer->revision == Revision(1));
    REQUIRE(fixture.table.transactions == 1);
}

TEST_CASE("a change id that was used for another set is refused")
{
    // An operator repeats a change with the same id, but has edited the files in between. If that were accepted, the edited set would be in
    // force in this entry only, under a revision that has other contents in every other process.
    ConfigFixture fixture;
    const auto entry = fixture.entry("entry-1");
    Answer first;
    entry->apply(change("c1", 0, 7), storeAnswerIn(first));
    fixture.waitFor([&] { return first.has_value(); });
    const auto restarted = fixture.entry("entry-2");
    Answer again;
    restarted->apply(change("c1", 0, 9), storeAnswerIn(again));
    fixture.waitFor([&] { return again.has_value(); });
    REQUIRE(again->outcome == ChangeOutcome::Refused);
    REQUIRE(again->findings.size() == 1);
    REQUIRE(restarted->declarations().policy.moveCost == 7);
    Answer same;
    restarted->apply(change("c1", 0, 7), storeAnswerIn(same));
    fixture.waitFor([&] { return same.has_value(); });
    REQUIRE(same->outcome == ChangeOutcome::Accepted);
    REQUIRE(same->revision == Revision(1));
}

TEST_CASE("with the store down a change is unavailable, and a peer's snapshot comes into force")
{
    // An entry starts during an outage of the table. Without a peer's snapshot it would know no service and refuse every caller.
    ConfigFixture fixture;
    fixture.table.down = true;
    const auto entry = fixture.entry("entry-1");
    Answer answer;
    entry->apply(change("c1", 0, 7), storeAnswerIn(answer));
    fixture.waitFor([&] { return answer.has_value(); });
    REQUIRE(answer->outcome == ChangeOutcome::Unavailable);
    REQUIRE_FALSE(entry->isStoreReachable());
    entry->offer(Revision(5), declarationsToJson(declarationsWith(3)));
    REQUIRE(entry->revision() == Revision(5));
    REQUIRE(entry->declarations().policy.moveCost == 3);
}

TEST_CASE("a configuration in force never reverts")
{
    // A lagging peer offers an older snapshot, or a snapshot has been truncated and can't be parsed.
    ConfigFixture fixture;
    fixture.table.down = true;
    const auto entry = fixture.entry("entry-1");
    entry->offer(Revision(5), declarationsToJson(declarationsWith(3)));
    entry->offer(Revision(4), declarationsToJson(declarationsWith(2)));
    entry->offer(Revision(5), declarationsToJson(declarationsWith(1)));
    entry->offer(Revision(6), declarationsToJson(declarationsWith(0)).substr(0, 20));
    REQUIRE(entry->revision() == Revision(5));
    REQUIRE(entry->declarations().policy.moveCost == 3);
    REQUIRE(fixture.adopted == std::vector {Revision(5)});
}

TEST_CASE("a set with findings is refused without a write to the store")
{
    ConfigFixture fixture;
    const auto entry = fixture.entry("entry-1");
    auto faulty = change("c1", 0, -1);
    Answer answer;
    entry->apply(faulty, storeAnswerIn(answer));
    REQUIRE(answer.has_value());
    REQUIRE(answer->outcome == ChangeOutcome::Refused);
    REQUIRE(answer->findings.size() == 1);
    REQUIRE(fixture.table.transactions == 0);
}

TEST_CASE("a large set goes to the object store and comes into force everywhere from there")
{
    ConfigFixture fixture;
    fixture.inlineLimit = 10;
    const auto first = fixture.entry("entry-1");
    const auto second = fixture.entry("entry-2");
    Answer answer;
    second->apply(change("c1", 0, 7), storeAnswerIn(answer));
    fixture.waitFor([&] { return answer && first->revision() == Revision(1); });
    REQUIRE(answer->outcome == ChangeOutcome::Accepted);
    REQUIRE(first->text() == declarationsToJson(declarationsWith(7)));
    REQUIRE(fixture.objects.objects.size() == 1);
    REQUIRE(fixture.table.rows.at(configLogKey(Revision(1))).value.find("moveCost") == std::string::npos);
}

TEST_CASE("a large set that the object store can't keep isn't committed")
{
    ConfigFixture fixture;
    fixture.inlineLimit = 10;
    fixture.objects.down = true;
    const auto entry = fixture.entry("entry-1");
    Answer answer;
    entry->apply(change("c1", 0, 7), storeAnswerIn(answer));
    fixture.waitFor([&] { return answer.has_value(); });
    REQUIRE(answer->outcome == ChangeOutcome::Unavailable);
    REQUIRE(fixture.table.transactions == 0);
}

TEST_CASE("an object whose contents don't match its key never comes into force")
{
    // An object is truncated in transit or has been overwritten. It may still parse, with models missing that would be unloaded everywhere
    // if it came into force. The entry waits for the right contents instead.
    ConfigFixture fixture;
    fixture.inlineLimit = 10;
    const auto first = fixture.entry("entry-1");
    Answer answer;
    first->apply(change("c1", 0, 7), storeAnswerIn(answer));
    fixture.waitFor([&] { return answer.has_value(); });
    auto &object = fixture.objects.objects.begin()->second;
    const auto right = object;
    object = declarationsToJson(declarationsWith(9));
    const auto second = fixture.entry("entry-2");
    fixture.loop.runUntil([&] { return second->revision() > Revision(); }, Duration::millis(100));
    REQUIRE(second->revision() == Revision());
    object = right;
    fixture.waitFor([&] { return second->revision() == Revision(1); });
    REQUIRE(second->declarations().policy.moveCost == 7);
}
