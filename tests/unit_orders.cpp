// What one gateway knows and orders for all runners: the lease, the books it keeps of them, and the plan of copies. In virtual time.
#include "core/adapterplan.h"
#include "core/copyplan.h"
#include "core/loadmeter.h"
#include "core/orderlease.h"
#include "core/runnerbook.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

/// Moments from `from` on, before `to`, each `step` seconds.
auto moments(double from, double to, double step) -> std::vector<double>
{
    std::vector<double> list;
    const int count = static_cast<int>(std::ceil((to - from) / step - 1e-9));
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        list.push_back(from + i * step);
    }
    return list;
}

/// The row of the lease as the store keeps it, and any number of gateways that go for it.
class LeaseBench
{
public:
    auto step(OrderLease &lease, double now) -> LeaseStep
    {
        const auto next = lease.nextStep(at(now));
        if (next == LeaseStep::Read) {
            lease.readStarted(at(now));
            lease.rowRead(m_version, m_value, at(now));
        } else if (next == LeaseStep::Write) {
            const auto write = lease.writeStarted(at(now));
            if (write.expected == m_version) {
                put(write.value);
                lease.writeCommitted(m_version, at(now));
            } else {
                lease.writeRefused(at(now));
            }
        }
        return next;
    }
    auto put(const std::string &value) -> void
    {
        m_version = m_version.next();
        m_value = value;
    }
    auto version() const -> RowVersion
    {
        return m_version;
    }
    auto value() const -> std::string
    {
        return m_value;
    }

private:
    RowVersion m_version;
    std::string m_value;
};

const HolderName First("gateway-a#1");
const HolderName Second("gateway-b#1");

auto runUntil(LeaseBench &bench, OrderLease &lease, double from, double to) -> void
{
    for (const double now : moments(from, to, 0.1)) {
        bench.step(lease, now);
    }
}

} // namespace

TEST_CASE("one gateway gets the lease and keeps it by renewing")
{
    LeaseBench bench;
    OrderLease lease(First, {}, at(0));
    REQUIRE_FALSE(lease.mayOrder(at(0)));
    runUntil(bench, lease, 0, 10);
    REQUIRE(lease.mayOrder(at(10)));
    REQUIRE(lease.fence().value() > 0);
    REQUIRE(bench.version().value() >= 5); // renewed each 1.2 s
}

TEST_CASE("a holder that is frozen gives no order after its lease, and its successor none before")
{
    // The holder's host stops for some seconds and goes on as if nothing had been. Meanwhile another gateway has taken the lease. Were the
    // first to go on with orders, two would plan for the same runners, and runners would be filled beyond their memory.
    LeaseBench bench;
    OrderLease first(First, {}, at(0));
    OrderLease second(Second, {}, at(0));
    runUntil(bench, first, 0, 2);
    REQUIRE(first.mayOrder(at(2)));
    double taken = 0;
    for (const double now : moments(2, 12, 0.05)) {
        if (taken > 0) {
            break;
        }
        bench.step(second, now);
        REQUIRE_FALSE((first.mayOrder(at(now)) && second.mayOrder(at(now))));
        taken = second.mayOrder(at(now)) ? now : 0;
    }
    REQUIRE(taken > 0);
    REQUIRE_FALSE(first.mayOrder(at(taken)));
    REQUIRE(second.fence() > first.fence());
    bench.step(first, taken + 0.1); // thawed: writes under the version it knew, and is refused
    bench.step(first, taken + 1);
    REQUIRE_FALSE(first.isHolder());
    REQUIRE_FALSE(first.mayOrder(at(taken + 1)));
}

TEST_CASE("a write whose answer was lost counts from when it left")
{
    // The store took the renewal, its answer was lost. The holder reads the row to see. Counted from the reading, the lease would seem to
    // last longer than its successor waits.
    LeaseBench bench;
    OrderLease lease(First, {}, at(0));
    runUntil(bench, lease, 0, 1);
    REQUIRE(lease.isHolder());
    const auto write = lease.writeStarted(at(2));
    bench.put(write.value);
    lease.writeOutcomeUnknown(at(4));
    REQUIRE_FALSE(lease.mayOrder(at(4)));
    for (const double now : moments(4, 4.6, 0.1)) {
        if (lease.nextStep(at(now)) == LeaseStep::Read) {
            lease.readStarted(at(now));
            lease.rowRead(bench.version(), bench.value(), at(now));
            break;
        }
    }
    REQUIRE(lease.isHolder());
    REQUIRE(lease.mayOrder(at(4.6)));
    REQUIRE_FALSE(lease.mayOrder(at(4.8))); // 2 + 3 - 0.3
}

TEST_CASE("a gateway that starts again doesn't take its predecessor's lease for its own")
{
    // The holder is killed and starts again on its host within the lease. Were the row taken for its own, its orders would bear the old number
    // and overtake those of before. It writes the row anew, but only when the last orders of before have arrived.
    LeaseBench bench;
    OrderLease before(First, {}, at(0));
    runUntil(bench, before, 0, 1);
    const OrderLeaseOptions options;
    OrderLease after(HolderName("gateway-a#2"), options, at(1));
    const double arrived = 1 + options.margin.inSeconds();
    double taken = 0;
    for (const double now : moments(1, 3, 0.02)) {
        bench.step(after, now);
        taken = taken == 0 && after.mayOrder(at(now)) ? now : taken;
        REQUIRE((taken == 0 || now >= arrived));
    }
    REQUIRE(taken > 0);
    REQUIRE(after.fence() > before.fence());
    bench.step(before, 3);
    REQUIRE_FALSE((before.isHolder() && before.mayOrder(at(3.2))));
}

TEST_CASE("a gateway on another host waits a whole lease for the holder, also if their names begin alike")
{
    // Only a start on the holder's own host shows that the holder has ended.
    LeaseBench bench;
    OrderLease holder(HolderName("gateway-a#1"), {}, at(0));
    runUntil(bench, holder, 0, 1);
    OrderLease other(HolderName("gateway-ab#1"), {}, at(1));
    runUntil(bench, other, 1, 3.9);
    REQUIRE_FALSE(other.isHolder());
}

TEST_CASE("a digest that names a newer version undoes the decision to take the row")
{
    // A successor has read the row, unchanged for a lease, and is about to write when the holder, long silent to it, is heard with a renewed row. Written
    // upon the version that the digest names, the row would change hands while its holder goes on.
    LeaseBench bench;
    OrderLease first(First, {}, at(0));
    OrderLease second(Second, {}, at(0));
    runUntil(bench, first, 0, 1);
    second.readStarted(at(1));
    second.rowRead(bench.version(), bench.value(), at(1));
    second.readStarted(at(4.1));
    second.rowRead(bench.version(), bench.value(), at(4.1));
    REQUIRE(second.nextStep(at(4.1)) == LeaseStep::Write);
    bench.put(First.text() + " 7");
    second.holderAnnounced(First, first.fence(), 1, bench.version(), at(4.1));
    REQUIRE(second.nextStep(at(4.1)) != LeaseStep::Write);
}

TEST_CASE("a holder that falls silent is succeeded one lease after it was last heard")
{
    // The holder's host loses power. Meanwhile nobody loads what requests wait for. A successor that begins to watch the row only when it misses the holder
    // waits a second longer than it must.
    LeaseBench bench;
    OrderLease first(First, {}, at(0));
    OrderLease second(Second, {}, at(0));
    runUntil(bench, first, 0, 2);
    std::uint64_t sequence = 0;
    for (const double now : moments(2, 6, 0.2)) {
        bench.step(first, now);
        second.holderAnnounced(First, first.fence(), ++sequence, first.version(), at(now));
        bench.step(second, now);
    }
    double taken = 0;
    for (const double now : moments(6, 12, 0.05)) {
        bench.step(second, now);
        taken = taken == 0 && second.mayOrder(at(now)) ? now : taken;
        REQUIRE_FALSE((taken > 0 && first.mayOrder(at(now))));
    }
    REQUIRE(taken > 0);
    REQUIRE(taken < 5.8 + 3 + 0.3);
}

TEST_CASE("while the store is away the holder goes on as long as each other gateway says that it hears it")
{
    // Without this a store that is away for seconds leaves every request waiting that needs an adapter loaded.
    LeaseBench bench;
    OrderLease lease(First, {}, at(0));
    runUntil(bench, lease, 0, 1);
    const EntryId one("gateway-b");
    const EntryId two("gateway-c");
    lease.setPeers({one, two});
    std::uint64_t sequence = 0;
    const auto digest = [&](double now, bool isTwoHearing) {
        lease.digestSent(++sequence, at(now));
        lease.peerConfirmed(one, sequence, at(now));
        if (isTwoHearing) {
            lease.peerConfirmed(two, sequence, at(now));
        }
    };
    for (const double now : moments(1, 9, 0.2)) {
        digest(now, true);
        REQUIRE(lease.mayOrder(at(now)));
    }
    // One of them doesn't hear it any more: it may have begun to count.
    for (const double now : moments(9, 13, 0.2)) {
        digest(now, false);
    }
    REQUIRE_FALSE(lease.mayOrder(at(13)));
}

namespace
{

const EntryId Candidate("gateway-b");
const EntryId Bystander("gateway-c");

/// A holder whose row names gateway-b as the only candidate.
struct CandidateBench {
    LeaseBench bench;
    OrderLease holder {First, {}, at(0)};
    std::uint64_t sequence = 0;

    CandidateBench()
    {
        holder.setPeers({Candidate, Bystander});
        holder.setCandidates({Candidate});
        runUntil(bench, holder, 0, 1);
    }
    auto digest(double now, bool isConfirmed = true) -> void
    {
        holder.digestSent(++sequence, at(now));
        if (isConfirmed) {
            holder.peerConfirmed(Candidate, sequence, at(now));
        }
    }
};

} // namespace

TEST_CASE("while the store is away the holder goes on though a gateway that is no candidate is gone")
{
    // Of a hundred gateways one is always gone or starting again: needing the confirmation of each, holders lost the lease in each outage of the store.
    CandidateBench all;
    for (const double now : moments(1, 9, 0.2)) {
        all.digest(now);
        REQUIRE(all.holder.mayOrder(at(now)));
    }
    for (const double now : moments(9, 12, 0.2)) {
        all.digest(now, false); // the candidate may have begun to count
    }
    REQUIRE_FALSE(all.holder.mayOrder(at(12)));
}

TEST_CASE("a gateway that is no candidate and reaches the store alone takes the lease only after the holder has stopped")
{
    // The candidates confirm the holder's digests, the store refuses the holder, and a third gateway hears nothing of it but reaches the store.
    CandidateBench all;
    OrderLease bystander(HolderName("gateway-c#1"), {}, at(1));
    double taken = 0;
    double stopped = 0;
    for (const double now : moments(1, 40, 0.05)) {
        all.digest(now);
        all.bench.step(bystander, now);
        REQUIRE_FALSE((all.holder.mayOrder(at(now)) && bystander.mayOrder(at(now))));
        stopped = stopped == 0 && !all.holder.mayOrder(at(now)) ? now : stopped;
        taken = taken == 0 && bystander.mayOrder(at(now)) ? now : taken;
    }
    CHECK(stopped > 9);
    CHECK(taken > stopped);
    CHECK(taken < 20);
}

TEST_CASE("a candidate that hears nothing takes the lease after one duration, and a dead holder's row is taken though all candidates died")
{
    CandidateBench all;
    OrderLease candidate(HolderName("gateway-b#1"), {}, at(1));
    LeaseBench copy = all.bench;
    for (const double now : moments(1, 6, 0.1)) {
        copy.step(candidate, now);
        REQUIRE_FALSE((all.holder.mayOrder(at(now)) && candidate.mayOrder(at(now))));
    }
    CHECK(candidate.mayOrder(at(6)));
    OrderLease bystander(HolderName("gateway-c#1"), {}, at(1));
    runUntil(all.bench, bystander, 1, 12);
    CHECK_FALSE(bystander.isHolder());
    runUntil(all.bench, bystander, 12, 17);
    CHECK(bystander.mayOrder(at(17)));
}

TEST_CASE("a write without an answer may have named other candidates: those are needed too")
{
    CandidateBench all;
    all.holder.setCandidates({Bystander});
    const auto write = all.holder.writeStarted(at(2.5));
    all.bench.put(write.value);
    all.holder.writeOutcomeUnknown(at(3));
    for (const double now : moments(3, 8, 0.2)) {
        all.digest(now); // only the former candidate confirms
    }
    CHECK_FALSE(all.holder.mayOrder(at(8)));
}

TEST_CASE("a peer that ignores candidates is needed like one")
{
    CandidateBench all;
    all.holder.peerIgnoresCandidates(Bystander);
    for (const double now : moments(1, 8, 0.2)) {
        all.digest(now);
    }
    CHECK_FALSE(all.holder.mayOrder(at(8)));
}

TEST_CASE("lease candidates: much processor time first, one of each availability zone before a second one")
{
    const auto member = [](const std::string &id, const std::string &zone, double share) {
        return LeaseMember {EntryId(id), ZoneName(zone), share};
    };
    const std::vector<LeaseMember> alive {
        member("a1", "a", 0.5), member("a2", "a", 0.5), member("a3", "a", 0.09), member("b1", "b", 0.09), member("c1", "c", 0.5)};
    const auto chosen = chooseLeaseCandidates(alive, 4);
    REQUIRE(chosen.size() == 4);
    const std::set<EntryId> all(chosen.begin(), chosen.end());
    CHECK(all == std::set<EntryId> {EntryId("a1"), EntryId("a2"), EntryId("b1"), EntryId("c1")});
    CHECK(chooseLeaseCandidates(alive, 4) == chosen);
    CHECK(chooseLeaseCandidates({}, 4).empty());
}

TEST_CASE("a lease that was over is not brought back by the others' word")
{
    // The holder's host is frozen for longer than a lease. A successor has begun to write the row when the holder, thawed, sends its next digest;
    // the successor hears that, says so in its own digest, and its write takes effect. Were the word to count, both would give orders.
    LeaseBench bench;
    OrderLease first(First, {}, at(0));
    runUntil(bench, first, 0, 1);
    const EntryId peer("gateway-b");
    first.setPeers({peer});
    first.digestSent(1, at(1));
    first.peerConfirmed(peer, 1, at(1));
    REQUIRE(first.mayOrder(at(3)));
    first.digestSent(2, at(6));
    first.peerConfirmed(peer, 2, at(6.1));
    REQUIRE_FALSE(first.mayOrder(at(6.2)));
    runUntil(bench, first, 6.2, 7); // the row is still its own: renewed, it is the holder again
    REQUIRE(first.mayOrder(at(7)));
}

TEST_CASE("who hears the holder doesn't take its lease, however long the row stands unchanged")
{
    LeaseBench bench;
    bench.put(First.text() + " 1");
    OrderLease second(Second, {}, at(0));
    for (const double now : moments(0, 20, 0.2)) {
        second.holderAnnounced(First, Fence(1), static_cast<std::uint64_t>(now * 5), bench.version(), at(now));
        bench.step(second, now);
        REQUIRE_FALSE(second.isHolder());
    }
    runUntil(bench, second, 20, 25); // silent from now on
    REQUIRE(second.isHolder());
}

namespace
{

constexpr double WeightsGb = 20;

auto declaredEngine(int models, int adaptersEach = 0) -> EngineDeclaration
{
    EngineDeclaration engine;
    engine.slots = 8;
    engine.kvTokens = 100000;
    engine.memory = Bytes::gigabytes(2 * WeightsGb + 2);
    engine.adapterSlots = 4;
    std::vector<ModelDeclaration> list;
    for (int i = 0; i < models; ++i) {
        ModelDeclaration model;
        model.name = "m" + std::to_string(i + 1);
        model.weights = Bytes::gigabytes(WeightsGb);
        model.loadTime = Duration::seconds(4);
        model.adapters = adaptersEach;
        model.adapterWeights = Bytes::gigabytes(0.2);
        list.push_back(model);
    }
    engine.setModels(list);
    return engine;
}

auto description(const std::string &id, std::vector<ResidentModel> models, std::uint64_t born = 1) -> TargetDescription
{
    TargetDescription target;
    target.incarnation = {TargetId(id), born};
    target.service = ServiceName("assistant");
    target.address = {"127.0.0.1", 9000};
    target.slots = 8;
    target.models = std::move(models);
    return target;
}

auto knownBook(const TargetDescription &target, std::uint64_t orders = 0, double now = 0) -> RunnerBook
{
    RunnerBook book;
    book.descriptionReceived(target, at(now));
    book.reportRequested(at(now));
    RunnerReport report;
    report.models = target.models;
    report.ordersTaken = orders;
    book.reported(report, at(now));
    return book;
}

auto load(const std::string &model, const std::string &adapter = "") -> RunnerOrder
{
    return {true, model, adapter};
}

} // namespace

TEST_CASE("nothing is ordered from a runner before its report")
{
    const auto engine = declaredEngine(2);
    RunnerBook book;
    book.descriptionReceived(description("r1", {}), at(0));
    REQUIRE(book.needsReport(at(0)));
    REQUIRE_FALSE(book.mayOrder(load("m1"), engine, at(0)));
    REQUIRE(knownBook(description("r1", {})).mayOrder(load("m1"), engine, at(0)));
}

TEST_CASE("a row that is older than an accepted order doesn't bring back what was there before")
{
    // Rows are written every second, orders are accepted in between. A row from before an adapter's load, believed, hides the adapter: the
    // next one ordered is one too many, and the runner's memory or its places are exceeded.
    const auto engine = declaredEngine(1, 8);
    auto book = knownBook(description("r1", {{"m1", 0, {}}}));
    for (int i = 1; i <= 4; ++i) {
        book.ordered(load("m1", "a" + std::to_string(i)), Duration::millis(12), at(i));
        book.accepted(false, at(i));
        book.advance(at(i + 0.5));
        book.descriptionReceived(description("r1", {{"m1", 0, {}}}), at(i + 0.6));
    }
    REQUIRE(book.freeAdapterSlots(engine, at(5)) == 0);
    REQUIRE_FALSE(book.mayOrder(load("m1", "a5"), engine, at(5)));
}

TEST_CASE("an order without an answer is charged only where it can still meet its number")
{
    // The load of a model got no answer. It names the orders that the runner must have taken before, so it can act only in that state, and
    // the next order under that number shuts it out. Charged regardless, a runner would stay without its models for as long as orders can
    // be late; not charged after the runner starts again under its id, a late load would fill it beyond its memory.
    const auto engine = declaredEngine(3);
    auto book = knownBook(description("r1", {}), 5);
    book.ordered(load("m1"), Duration::seconds(4), at(1));
    book.unanswered(at(2));
    REQUIRE(book.mayOrder(load("m2"), engine, at(2)));
    REQUIRE(book.freeMemory(engine, at(2)) == engine.memory);

    // It starts again and counts from 0: the late load may meet its number 5 there.
    book.descriptionReceived(description("r1", {}, 2), at(3));
    book.reportRequested(at(3));
    book.reported({}, at(3.1));
    REQUIRE(book.freeMemory(engine, at(3.1)) == engine.memory - Bytes::gigabytes(WeightsGb));
    REQUIRE(book.freeMemory(engine, at(16)) == engine.memory); // too late by now
}

TEST_CASE("a report that is older than the last order changes nothing")
{
    auto book = knownBook(description("r1", {{"m1", 0, {}}}), 3);
    book.ordered({false, "m1", ""}, Duration(), at(1));
    book.accepted(false, at(1));
    REQUIRE(book.ordersTaken() == 4);
    book.reportRequested(at(1.05));
    RunnerReport old;
    old.models = {{"m1", 0, {}}};
    old.ordersTaken = 3;
    book.reported(old, at(1.1));
    REQUIRE(book.ordersTaken() == 4);
    REQUIRE(book.description().model("m1") == nullptr);
}

TEST_CASE("a refused order leads to a report, not to another order")
{
    const auto engine = declaredEngine(2);
    auto book = knownBook(description("r1", {}));
    book.ordered(load("m1"), Duration::seconds(4), at(1));
    book.refused(at(1));
    REQUIRE_FALSE(book.mayOrder(load("m1"), engine, at(1)));
    REQUIRE(book.needsReport(at(1.2)));
}

TEST_CASE("a runner in another's stead gets no order while it carries one out, nor one that leaves")
{
    const auto engine = declaredEngine(3);
    auto book = knownBook(description("r1", {}));
    book.ordered(load("m1"), Duration::seconds(4), at(1));
    book.accepted(false, at(1));
    REQUIRE_FALSE(book.mayOrder(load("m2"), engine, at(2)));
    REQUIRE(book.loading() == std::optional<std::string>("m1"));
    auto leaving = description("r2", {});
    leaving.isLeaving = true;
    REQUIRE_FALSE(knownBook(leaving).mayOrder(load("m1"), engine, at(1)));
}

namespace
{

/// Runners and demand for the planner.
class PlanBench
{
public:
    explicit PlanBench(EngineDeclaration engine)
        : m_engine(std::move(engine))
    {
        m_input.engine = &m_engine;
    }
    auto add(const std::string &id, const std::vector<ResidentModel> &models, double fill = 0) -> PlanBench &
    {
        m_books.push_back(std::make_unique<RunnerBook>(knownBook(description(id, models))));
        m_input.load[TargetId(id)] = fill;
        return *this;
    }
    auto work(const std::string &model, double now, double soon) -> PlanBench &
    {
        m_input.work[model] = {now, soon, 0};
        return *this;
    }
    auto plan(double now = 100) -> std::vector<PlannedOrder>
    {
        return wholePlan(now).orders;
    }
    auto wholePlan(double now = 100, int storeLoads = 100) -> CopyPlan
    {
        m_input.runners.clear();
        for (const auto &book : m_books) {
            m_input.runners.push_back(book.get());
        }
        return planCopies(m_input, {}, storeLoads, at(now));
    }
    auto book(std::size_t number) -> RunnerBook &
    {
        return *m_books.at(number);
    }
    auto input() -> CopyPlanInput &
    {
        return m_input;
    }
    auto place(const std::string &model, const std::string &adapter, const AdapterUses &uses, Duration spared = {}) -> std::optional<PlannedOrder>
    {
        plan();
        return placeAdapter(m_input, model, adapter, uses, spared, at(100));
    }

private:
    EngineDeclaration m_engine;
    std::vector<std::unique_ptr<RunnerBook>> m_books;
    CopyPlanInput m_input;
};

auto loadsOf(const std::vector<PlannedOrder> &orders, const std::string &model) -> int
{
    int count = 0;
    for (const auto &planned : orders) {
        count += planned.order == load(model) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a model without a copy gets one, also when hardly anybody asks for it")
{
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}}).add("r2", {{"m2", 0, {}}}).work("m1", 0.1, 0.1);
    REQUIRE(loadsOf(bench.plan(), "m3") == 1);
}

TEST_CASE("demand that moves to another model within seconds gets its copies from what the forecast says")
{
    // Load pattern: what was asked of m1 is asked of m2 within some seconds; a load takes four. By the level alone m2 would get its copies
    // when the move is over.
    PlanBench bench(declaredEngine(2));
    for (int i = 0; i < 6; ++i) {
        bench.add("r" + std::to_string(i), i == 0 ? std::vector<ResidentModel> {{"m2", 0, {}}} : std::vector<ResidentModel> {{"m1", 0, {}}});
    }
    bench.work("m1", 2, 1).work("m2", 0.2, 3);
    const auto orders = bench.plan();
    REQUIRE(loadsOf(orders, "m2") >= 3);
    REQUIRE(orders.front().order == load("m2"));
}

TEST_CASE("after the loss of many runners the models that most work waits for come first, and none is forgotten")
{
    // Load pattern: two thirds of the runners crash at once; all copies of m1 (busy) and m4 (rare) are gone.
    PlanBench bench(declaredEngine(4));
    bench.add("r1", {{"m2", 0, {}}, {"m3", 0, {}}}).add("r2", {}).add("r3", {});
    bench.work("m1", 1.5, 1.5).work("m2", 0.1, 0.1).work("m3", 0.05, 0.05);
    const auto orders = bench.plan();
    REQUIRE(orders.size() >= 2);
    REQUIRE(orders.front().order == load("m1"));
    REQUIRE(loadsOf(orders, "m4") + loadsOf(orders, "m1") >= 2);
}

TEST_CASE("a busy model that lost its last copy gets one, however little one runner can do of its work")
{
    // Load pattern: the last runner with a model leaves while several runners' worth of requests ask for it. One copy can't serve them all, and its runner
    // would be asked for five times what it can do; without one all of them are refused, for good.
    PlanBench bench(declaredEngine(4));
    bench.add("r1", {{"m2", 0, {}}, {"m3", 0, {}}}).add("r2", {{"m2", 0, {}}, {"m4", 0, {}}}).add("r3", {{"m3", 0, {}}, {"m4", 0, {}}});
    bench.work("m1", 5, 5).work("m2", 0.5, 0.5).work("m3", 0.2, 0.2).work("m4", 0.2, 0.2);
    const auto plan = bench.wholePlan();
    REQUIRE_FALSE(plan.begun.empty());
    for (const auto &begun : plan.begun) {
        REQUIRE(begun.move.incoming == "m1");
        REQUIRE(begun.move.evicted.size() == 1);
    }
}

TEST_CASE("copies don't chase each other: a calm fleet gets no orders")
{
    PlanBench bench(declaredEngine(2));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}}).add("r2", {{"m1", 0, {}}, {"m2", 0, {}}}).work("m1", 0.3, 0.3).work("m2", 0.3, 0.3);
    REQUIRE(bench.plan().empty());
}

TEST_CASE("the last copy of a model never gives way to another copy of a busy one")
{
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}})
        .add("r2", {{"m1", 0, {}}, {"m3", 0, {}}})
        .work("m1", 0.2, 0.2)
        .work("m2", 0.01, 0.01)
        .work("m3", 0.01, 0.01);
    for (const auto &planned : bench.plan()) {
        REQUIRE(planned.order.isLoad);
    }
}

TEST_CASE("runners that don't answer don't count as copies")
{
    PlanBench bench(declaredEngine(1));
    bench.add("r1", {{"m1", 0, {}}}).add("r2", {}).work("m1", 0.05, 0.05);
    bench.input().failing = {TargetId("r1")};
    const auto orders = bench.plan();
    REQUIRE(loadsOf(orders, "m1") == 1);
    REQUIRE(orders.front().target == TargetId("r2"));
}

TEST_CASE("what has no copy and was never served weighs by what is asked for")
{
    // Load pattern: the only runner with a model is lost, and its requests go on coming. They are refused, so how long one takes is never
    // learnt. Taken for nothing, the model gets no copy any more, and its callers are refused for good.
    const std::vector<ArtifactDemand> rates {
        {ArtifactName("lost"), 12, Duration(), 0}, {ArtifactName("long"), 1, Duration::millis(90), 0}, {ArtifactName("short"), 2, Duration::millis(30), 0}};
    const auto work = modelWork(rates, {rates[0]}, RequestCost());
    REQUIRE(work.at("lost").now > 0);
    REQUIRE(work.at("lost").now == Approx(12 * work.at("long").now));
    REQUIRE(work.at("short").now == Approx(2 * work.at("long").now));
    REQUIRE(work.at("lost").soon == work.at("lost").now);
    REQUIRE(modelWork({}, {}, RequestCost()).empty());

    PlanBench bench(declaredEngine(2));
    bench.add("r1", {}).add("r2", {{"m2", 0, {}}});
    bench.input().work = modelWork({{ArtifactName("m1"), 5, Duration(), 0}, {ArtifactName("m2"), 5, Duration::millis(90), 0}}, {}, RequestCost());
    REQUIRE(loadsOf(bench.plan(), "m1") == 1);
}

TEST_CASE("a move first leaves the evicted replica to its streams, then unloads it, then loads the incoming model")
{
    // Load pattern: demand has moved from m1 to m2 while streams of m1 run on for seconds. Unloaded at once, m1 would keep its runner from every other order
    // until its last stream has ended; and the room, free at last, went to whatever was first to ask for it.
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}}).add("r2", {{"m1", 0, {}}, {"m3", 0, {}}}).work("m1", 0.05, 0.05).work("m2", 2, 2).work("m3", 0.05, 0.05);
    const auto begun = bench.wholePlan(100).begun;
    REQUIRE(begun.size() == 1);
    REQUIRE(begun.front().target == TargetId("r2"));
    REQUIRE(begun.front().move.incoming == "m2");
    REQUIRE(begun.front().move.evicted == std::set<std::string> {"m1"});
    bench.input().moves[TargetId("r2")] = begun.front().move;

    // Nothing is known yet, or streams run: no order, and no second move for the same want.
    REQUIRE(bench.wholePlan(100.1).orders.empty());
    bench.input().drainingStreams[{TargetId("r2"), "m1"}] = 3;
    REQUIRE(bench.wholePlan(100.2).orders.empty());
    REQUIRE(bench.wholePlan(100.2).begun.empty());
    REQUIRE(bench.wholePlan(100.2).aborted.empty());
    // The last stream has ended.
    bench.input().drainingStreams[{TargetId("r2"), "m1"}] = 0;
    const auto unload = bench.wholePlan(100.3).orders;
    REQUIRE(unload.size() == 1);
    REQUIRE(unload.front().order == RunnerOrder {false, "m1", ""});
    REQUIRE(unload.front().evictedFor == "m2");
}

TEST_CASE("a move whose streams don't end, or of which gateways don't report, goes on all the same")
{
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}}).add("r2", {{"m1", 0, {}}, {"m3", 0, {}}}).work("m2", 2, 2);
    bench.input().moves[TargetId("r2")] = bench.wholePlan(100).begun.front().move;
    REQUIRE(bench.wholePlan(101).orders.empty());
    REQUIRE(bench.wholePlan(102).orders.size() == 1); // a gateway that says nothing is taken to have none
    bench.input().drainingStreams[{TargetId("r2"), "m1"}] = 1;
    REQUIRE(bench.wholePlan(104).orders.empty());
    REQUIRE(bench.wholePlan(106).orders.size() == 1);
}

TEST_CASE("a move is kept through noise, and given up when it would do harm")
{
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}}).add("r2", {{"m1", 0, {}}, {"m3", 0, {}}}).work("m2", 1.2, 1.2);
    bench.input().moves[TargetId("r2")] = bench.wholePlan(100).begun.front().move;
    bench.input().drainingStreams[{TargetId("r2"), "m1"}] = 3;
    bench.work("m2", 0.9, 0.9);
    REQUIRE(bench.wholePlan(100.5).aborted.empty());
    bench.work("m2", 0.05, 0.05).work("m1", 2, 2);
    REQUIRE(bench.wholePlan(101).aborted == std::vector<TargetId> {TargetId("r2")});
}

TEST_CASE("a runner that is loading gets no second load, though it has room and its last order is long ago")
{
    // Load pattern: a load from the weight store takes six seconds, and a model without a copy waits meanwhile. The order would be refused, what is known of
    // the runner given up, and with it the model that it is loading: the next loads there would be more than it holds, and it would crash.
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {}).work("m1", 0.5, 0.5).work("m2", 0.5, 0.5).work("m3", 0.1, 0.1);
    auto &book = bench.book(0);
    book.ordered(load("m1"), Duration::seconds(6), at(100));
    book.accepted(false, at(100));
    for (const double now : {100.5, 102.0, 103.5, 105.0}) {
        const auto plan = bench.wholePlan(now);
        REQUIRE(plan.orders.empty());
        REQUIRE(plan.begun.empty());
    }
}

TEST_CASE("the last copy that serves isn't unloaded, though another is on its way")
{
    // The other runner with the model has failed since the move began.
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}}).add("r2", {{"m1", 0, {}}, {"m3", 0, {}}}).work("m2", 2, 2);
    bench.input().moves[TargetId("r2")] = bench.wholePlan(100).begun.front().move;
    bench.input().drainingStreams[{TargetId("r2"), "m1"}] = 0;
    bench.input().failing = {TargetId("r1")};
    for (const auto &planned : bench.wholePlan(101).orders) {
        REQUIRE(planned.order != RunnerOrder {false, "m1", ""});
    }
}

TEST_CASE("an adapter isn't loaded beside a copy that gives way")
{
    PlanBench bench(declaredEngine(2, 8));
    bench.add("r1", {{"m1", 0, {}}}).add("r2", {{"m1", 0, {}}}, 0.5);
    bench.input().moves[TargetId("r1")] = {"m2", {"m1"}, at(99)};
    const auto planned = bench.place("m1", "a1", {});
    REQUIRE(planned);
    REQUIRE(planned->target == TargetId("r2"));
}

TEST_CASE("a runner that is still unloading is tried again, not asked for a report that is older than the order")
{
    const auto engine = declaredEngine(3);
    auto book = knownBook(description("r1", {{"m1", 0, {}}, {"m2", 0, {}}}));
    book.ordered({false, "m1", ""}, Duration(), at(1));
    book.accepted(false, at(1));
    REQUIRE(book.mayOrder(load("m3"), engine, at(1.05)));
    for (int i = 0; i < 4; ++i) {
        const double now = 1.05 + i * 0.1;
        book.ordered(load("m3"), Duration::seconds(1), at(now));
        book.refusedAsBusy(at(now));
        REQUIRE(book.isKnown());
        REQUIRE_FALSE(book.mayOrder(load("m3"), engine, at(now + 0.05)));
        REQUIRE(book.mayOrder(load("m3"), engine, at(now + 0.09)));
    }
    // But not for ever: then something else is wrong with what is known of it.
    auto later = book;
    later.ordered(load("m3"), Duration::seconds(1), at(2.5));
    later.refusedAsBusy(at(2.5));
    REQUIRE_FALSE(later.isKnown());
    for (int i = 0; i < 4; ++i) {
        book.ordered(load("m3"), Duration::seconds(1), at(1.5 + i * 0.1));
        book.refusedAsBusy(at(1.5 + i * 0.1));
    }
    REQUIRE_FALSE(book.isKnown());
}

TEST_CASE("an adapter that is refused by a runner that was just unloading leads to a report")
{
    // The runner refuses because its count of orders is another: an adapter that gave way there is still in use, or a late order has taken effect. Were its
    // refusal put down to the unload, the book would go on with a wrong list, and the next adapter ordered there would be one too many for its places.
    const auto engine = declaredEngine(3, 8);
    auto book = knownBook(description("r1", {{"m1", 0, {}}, {"m2", 0, {}}}));
    book.ordered({false, "m1", ""}, Duration(), at(1));
    book.accepted(false, at(1));
    const RunnerOrder adapter {true, "m2", "a1"};
    REQUIRE(book.mayOrder(adapter, engine, at(1.05)));
    book.ordered(adapter, Duration(), at(1.05));
    book.refusedAsBusy(at(1.05));
    REQUIRE_FALSE(book.isKnown());
    REQUIRE(book.needsReport(at(1.1)));
}

TEST_CASE("an adapter takes a free place, else that of the one that was not used for the longest time")
{
    // Load pattern: more adapters are asked for in turn than runners have places for.
    PlanBench bench(declaredEngine(1, 9));
    bench.add("r1", {{"m1", 0, {"a1", "a2", "a3"}}});
    const TargetId runner("r1");
    AdapterUses uses {{{runner, "m1/a1"}, at(99)}, {{runner, "m1/a2"}, at(20)}, {{runner, "m1/a3"}, at(98)}};
    REQUIRE(bench.place("m1", "a4", uses)->order == load("m1", "a4"));

    PlanBench full(declaredEngine(1, 9));
    full.add("r1", {{"m1", 0, {"a1", "a2", "a3", "a4"}}});
    uses[{runner, "m1/a4"}] = at(97);
    const auto planned = full.place("m1", "a5", uses);
    REQUIRE(planned);
    REQUIRE(planned->order == RunnerOrder {false, "m1", "a2"});
}

TEST_CASE("a second copy of an adapter goes to another runner, and drives out none that was just used")
{
    // Load pattern: half of the streams name an adapter, and one runner with a popular one gets more than it can do. The model's other copies
    // have time; but what drives out an adapter in use only moves the wait to that one's callers.
    PlanBench bench(declaredEngine(1, 9));
    bench.add("r1", {{"m1", 0, {"a1"}}}, 0.9).add("r2", {{"m1", 0, {"a2"}}}, 0.8).add("r3", {{"m1", 0, {"a3"}}}, 0.1);
    const auto second = bench.place("m1", "a1", {});
    REQUIRE(second);
    REQUIRE(second->target == TargetId("r3"));

    PlanBench full(declaredEngine(1, 9));
    full.add("r1", {{"m1", 0, {"a1"}}}, 0.9).add("r2", {{"m1", 0, {"a2", "a3", "a4", "a5"}}}, 0.1);
    AdapterUses uses;
    for (const char *adapter : {"m1/a2", "m1/a3", "m1/a4", "m1/a5"}) {
        uses[{TargetId("r2"), adapter}] = at(98);
    }
    REQUIRE_FALSE(full.place("m1", "a1", uses, Duration::seconds(4)));
    REQUIRE(full.place("m1", "a6", uses));
    uses[{TargetId("r2"), "m1/a4"}] = at(90);
    REQUIRE(full.place("m1", "a1", uses, Duration::seconds(4))->order == RunnerOrder {false, "m1", "a4"});
}

TEST_CASE("loads from the weight store keep to its pace, also over a change of who gives orders")
{
    LoadMeter meter;
    meter.setRate(1, Duration::seconds(5), 1);
    REQUIRE(meter.available(at(100)) == 5);
    for (int i = 0; i < 5; ++i) {
        meter.began(at(100));
    }
    REQUIRE(meter.available(at(104)) == 0);
    REQUIRE(meter.available(at(105.5)) == 5);
    meter.reset(at(106));
    REQUIRE(meter.available(at(106)) == 0);
    REQUIRE(meter.available(at(111.5)) == 5);
}

namespace
{

/// A fleet whose models outnumber what its runners hold, one round of planning after the other; loads take effect at once.
class ScarceFleet
{
public:
    ScarceFleet(int runners, int models)
        : m_engine(declaredEngine(models))
        , m_models(models)
    {
        m_engine.memory = Bytes::gigabytes(SlotsEach * WeightsGb + 2);
        int next = 1;
        for (int i = 0; i < runners; ++i) {
            auto &held = m_held["r" + std::to_string(i)];
            for (int slot = 0; slot < SlotsEach; ++slot) {
                held.insert(name(next));
                next = next % models + 1;
            }
        }
    }
    static constexpr int SlotsEach = 3;
    static auto name(int model) -> std::string
    {
        return "m" + std::to_string(model);
    }
    auto work(int model, double runners) -> void
    {
        m_work[name(model)] = {runners, runners, 0};
    }
    auto clearWork() -> void
    {
        m_work.clear();
    }
    auto isHeld(int model) const -> bool
    {
        return copies(model) > 0;
    }
    auto copies(int model) const -> int
    {
        int count = 0;
        for (const auto &[runner, held] : m_held) {
            count += held.contains(name(model)) ? 1 : 0;
        }
        return count;
    }
    /// True if anything was evicted.
    auto round(double now, bool isDemandKnown = true) -> bool
    {
        return !plan(now, isDemandKnown).begun.empty();
    }
    /// Moves of one round that evict for a model without requests.
    auto silentIncoming(double now) -> int
    {
        const auto made = plan(now, true);
        return static_cast<int>(std::count_if(made.begun.begin(), made.begun.end(), [&](const BegunMove &one) { return !m_work.contains(one.move.incoming); }));
    }
    /// Loads and moves that one round begins.
    auto changes(double now) -> std::size_t
    {
        const auto made = plan(now, true);
        return made.begun.size() + made.orders.size();
    }

private:
    auto plan(double now, bool isDemandKnown) -> CopyPlan;

    EngineDeclaration m_engine;
    int m_models;
    std::map<std::string, std::set<std::string>> m_held;
    std::map<std::string, ModelWork> m_work;
    std::map<std::string, TimePoint> m_missingSince;
    std::map<std::string, TimePoint> m_lastRequestAt;
};

auto ScarceFleet::plan(double now, bool isDemandKnown) -> CopyPlan
{
    CopyPlanInput input;
    input.engine = &m_engine;
    input.isDemandKnown = isDemandKnown;
    input.work = m_work;
    std::vector<RunnerBook> books;
    books.reserve(m_held.size());
    for (const auto &[runner, held] : m_held) {
        std::vector<ResidentModel> models;
        for (const auto &model : held) {
            models.push_back({model, 0, {}});
        }
        books.push_back(knownBook(description(runner, models)));
    }
    for (const auto &book : books) {
        input.runners.push_back(&book);
    }
    for (int model = 1; model <= m_models; ++model) {
        const auto asked = m_work.find(name(model));
        const bool isRequested = asked != m_work.end() && asked->second.now > 0;
        if (isRequested) {
            m_lastRequestAt[name(model)] = at(now);
        }
        if (isRequested && !isHeld(model)) {
            m_missingSince.try_emplace(name(model), at(now));
        } else {
            m_missingSince.erase(name(model));
        }
    }
    input.missingSince = m_missingSince;
    input.lastRequestAt = m_lastRequestAt;
    auto plan = planCopies(input, CopyPlanOptions(), 4, at(now));
    for (const auto &begun : plan.begun) {
        auto &held = m_held[begun.target.text()];
        for (const auto &model : begun.move.evicted) {
            held.erase(model);
        }
        held.insert(begun.move.incoming);
    }
    for (const auto &planned : plan.orders) {
        m_held[planned.target.text()].insert(planned.order.model);
    }
    return plan;
}

} // namespace

TEST_CASE("more models than slots: each model that is asked for gets a replica, in place of silent ones")
{
    // Load pattern: 37 runners of three slots each, all of them taken by models that nobody asks for while others wait.
    for (const int models : {111, 200, 333}) {
        ScarceFleet fleet(37, models);
        constexpr int Asked = 40;
        for (int i = 0; i < Asked; ++i) {
            fleet.work(models - i, i == 0 ? 3.0 : 0.05);
        }
        for (int step = 0; step < 40; ++step) {
            fleet.round(100 + step * 0.5);
        }
        for (int i = 0; i < Asked; ++i) {
            CHECK(fleet.isHeld(models - i));
        }
        CHECK(fleet.copies(models) >= 3); // the busy one, beside last replicas of silent ones
    }
}

TEST_CASE("where all models fit, the silent ones keep their replicas")
{
    ScarceFleet fleet(37, 60);
    for (int model = 1; model <= 20; ++model) {
        fleet.work(model, 0.3);
    }
    for (int step = 0; step < 40; ++step) {
        fleet.round(100 + step * 0.5);
    }
    for (int model = 1; model <= 60; ++model) {
        CHECK(fleet.isHeld(model));
    }
}

TEST_CASE("after a restart of all gateways nothing is evicted before demand is known")
{
    // Load pattern: a new lease holder has counted no arrival yet. Taken for no demand, the replicas of the busiest model went to silent ones.
    ScarceFleet fleet(37, 150);
    CHECK_FALSE(fleet.round(100, false));
    fleet.work(149, 0.2);
    fleet.round(101, false);
    for (int model = 1; model <= 111; ++model) {
        CHECK(fleet.isHeld(model));
    }
}

TEST_CASE("where not all models fit, an evicted silent model evicts no other in turn")
{
    // Load pattern: 111 slots, 120 models; nine without a replica are asked for, a few others are busy, the rest silent. Each silent model that was
    // evicted came back in the same round in place of a busy model's replica: twice the loads, and fewer replicas where the requests were.
    ScarceFleet fleet(37, 120);
    constexpr int Busy = 8;
    constexpr int Missing = 9;
    for (int model = 1; model <= Busy; ++model) {
        fleet.work(model, 0.5);
    }
    for (int i = 0; i < Missing; ++i) {
        fleet.work(120 - i, 0.2);
    }
    for (int step = 0; step < 20; ++step) {
        CHECK(fleet.silentIncoming(100 + step * 0.1) == 0);
    }
    for (int model = 1; model <= Busy; ++model) {
        CHECK(fleet.isHeld(model));
    }
    for (int i = 0; i < Missing; ++i) {
        CHECK(fleet.isHeld(120 - i));
    }
}

TEST_CASE("models that are asked for and don't all fit take turns")
{
    // Load pattern: four runners of three slots, eighteen models with the same steady demand.
    ScarceFleet fleet(4, 18);
    std::set<int> served;
    for (int model = 1; model <= 18; ++model) {
        fleet.work(model, 0.05 + model * 0.001);
    }
    for (int step = 0; step < 240; ++step) {
        fleet.round(100 + step * 0.1);
        for (int model = 1; model <= 18; ++model) {
            if (fleet.isHeld(model)) {
                served.insert(model);
            }
        }
    }
    for (int model = 1; model <= 18; ++model) {
        INFO("model " << model);
        CHECK(served.contains(model));
    }
}

TEST_CASE("one round of planning begins a bounded number of changes, and the next one goes on")
{
    // Load pattern: demand moves to sixty models at once on 180 runners. Planned in one round, the lease holder answers nothing for seconds.
    ScarceFleet fleet(180, 200);
    for (int model = 101; model <= 160; ++model) {
        fleet.work(model, 2.5);
    }
    const auto most = static_cast<std::size_t>(CopyPlanOptions().maxChangesPerRound);
    std::size_t changes = 0;
    for (int step = 0; step < 12; ++step) {
        const auto made = fleet.changes(100 + step * 0.1);
        CHECK(made <= most);
        changes += made;
    }
    CHECK(changes > 2 * most);
}
