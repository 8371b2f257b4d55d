// The order lease, the state of runners as known to its holder, the planning of replicas and adapters, and the limit on loads. In virtual time.
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

/// Times from `from` up to but not including `to`, `step` seconds apart.
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

/// The lease's row in the store. step() runs the next read or write of a gateway that competes for the lease.
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

TEST_CASE("a frozen holder gives no order after its lease, and its successor gives none before that")
{
    // The holder's host stops for some seconds, and another gateway takes the lease meanwhile. If the first one went on giving orders, two gateways
    // would plan for the same runners and exceed their memory.
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
    bench.step(first, taken + 0.1); // running again: its write expects the old version and is refused
    bench.step(first, taken + 1);
    REQUIRE_FALSE(first.isHolder());
    REQUIRE_FALSE(first.mayOrder(at(taken + 1)));
}

TEST_CASE("a write whose answer was lost counts from when it was sent")
{
    // The store applied the renewal but its answer was lost, so the holder reads the row. If the lease counted from that read, the holder would
    // rely on it longer than a successor waits.
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

TEST_CASE("a restarted gateway doesn't take its predecessor's lease for its own")
{
    // The holder is killed and restarts on its host within the lease. If it took the row for its own, its orders would carry the old fence and could
    // overtake those of its predecessor. It writes the row again, but only when the predecessor's last orders have arrived.
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

TEST_CASE("a gateway on another host waits a whole lease for the holder, even if its name starts with that of the holder")
{
    // Only a restart on the holder's own host shows that the holder has ended.
    LeaseBench bench;
    OrderLease holder(HolderName("gateway-a#1"), {}, at(0));
    runUntil(bench, holder, 0, 1);
    OrderLease other(HolderName("gateway-ab#1"), {}, at(1));
    runUntil(bench, other, 1, 3.9);
    REQUIRE_FALSE(other.isHolder());
}

TEST_CASE("a digest with a newer version cancels the decision to take the row")
{
    // A successor has seen the row unchanged for a whole lease and is about to write when a digest of the holder, after a long silence, announces a renewed
    // row. If the write expected the version in that digest, the lease would be taken while its holder goes on giving orders.
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

TEST_CASE("the lease of a holder that falls silent is taken one lease duration after its last digest")
{
    // The holder's host loses power, and no models are loaded for waiting requests until a successor takes over. A successor that starts watching the row
    // only once it misses the holder's digests waits a second longer than necessary.
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

TEST_CASE("while the store is unreachable the holder goes on as long as every other gateway confirms its digests")
{
    // Without this, requests that need an adapter loaded would wait for the whole of a short outage of the store.
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
    // One of them no longer confirms: its wait for the end of the lease may have begun.
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

TEST_CASE("while the store is unreachable the holder doesn't need the confirmation of a gateway that is no candidate")
{
    // Of a hundred gateways one is always down or restarting. With confirmations required from all of them, holders lost the lease in each outage of the
    // store.
    CandidateBench all;
    for (const double now : moments(1, 9, 0.2)) {
        all.digest(now);
        REQUIRE(all.holder.mayOrder(at(now)));
    }
    for (const double now : moments(9, 12, 0.2)) {
        all.digest(now, false); // the candidate's wait for the end of the lease may have begun
    }
    REQUIRE_FALSE(all.holder.mayOrder(at(12)));
}

TEST_CASE("if only a gateway that is no candidate reaches the store, it takes the lease only after the holder has stopped")
{
    // The candidates confirm the holder's digests, the holder can't reach the store, and a third gateway gets no digests but reaches the store.
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

TEST_CASE("a candidate without digests takes the lease after one lease duration, and others take it later if all candidates died too")
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

TEST_CASE("after a write without an answer the confirmations of old and new candidates are needed")
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

TEST_CASE("the confirmation of a peer that ignores candidates is needed like that of a candidate")
{
    CandidateBench all;
    all.holder.peerIgnoresCandidates(Bystander);
    for (const double now : moments(1, 8, 0.2)) {
        all.digest(now);
    }
    CHECK_FALSE(all.holder.mayOrder(at(8)));
}

TEST_CASE("lease candidates are chosen by processor time, one from each availability zone before a second one")
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

TEST_CASE("a lease that has expired isn't extended by late confirmations")
{
    // The holder's host is frozen for longer than a lease. A successor's write is in flight when the holder runs again and sends its next digest. The
    // successor confirms that digest, and its write takes effect. If the confirmation counted, both would give orders.
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

TEST_CASE("a gateway that receives the holder's digests doesn't take the lease, however long the row is unchanged")
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

TEST_CASE("a runner gets no order before its first report")
{
    const auto engine = declaredEngine(2);
    RunnerBook book;
    book.descriptionReceived(description("r1", {}), at(0));
    REQUIRE(book.needsReport(at(0)));
    REQUIRE_FALSE(book.mayOrder(load("m1"), engine, at(0)));
    REQUIRE(knownBook(description("r1", {})).mayOrder(load("m1"), engine, at(0)));
}

TEST_CASE("a row that is older than an accepted order doesn't reset the models and adapters known since")
{
    // Rows are written every second, and orders are accepted in between. If a row from before an adapter's load were applied, the adapter would be
    // missing here, and the next load would exceed the runner's memory or adapter slots.
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

TEST_CASE("a load without an answer is charged only where it can still take effect")
{
    // The load of a model got no answer. It takes effect only at the runner's order count that it was sent with, and the next order with the same
    // number prevents that. If it were always charged, the runner would get no models for as long as an order may be delayed. If it weren't charged
    // after a restart of the runner under the same id, the late load could exceed the runner's memory.
    const auto engine = declaredEngine(3);
    auto book = knownBook(description("r1", {}), 5);
    book.ordered(load("m1"), Duration::seconds(4), at(1));
    book.unanswered(at(2));
    REQUIRE(book.mayOrder(load("m2"), engine, at(2)));
    REQUIRE(book.freeMemory(engine, at(2)) == engine.memory);

    // The runner restarts and counts from 0: the late load takes effect if it arrives when the count is 5.
    book.descriptionReceived(description("r1", {}, 2), at(3));
    book.reportRequested(at(3));
    book.reported({}, at(3.1));
    REQUIRE(book.freeMemory(engine, at(3.1)) == engine.memory - Bytes::gigabytes(WeightsGb));
    REQUIRE(book.freeMemory(engine, at(16)) == engine.memory); // the load can't arrive any more
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

TEST_CASE("after a refused order a report is requested before the next order")
{
    const auto engine = declaredEngine(2);
    auto book = knownBook(description("r1", {}));
    book.ordered(load("m1"), Duration::seconds(4), at(1));
    book.refused(at(1));
    REQUIRE_FALSE(book.mayOrder(load("m1"), engine, at(1)));
    REQUIRE(book.needsReport(at(1.2)));
}

TEST_CASE("a runner that has asked to be sent nothing gets no order and no report call until its time is over")
{
    const auto engine = declaredEngine(3);
    auto book = knownBook(description("r1", {}));
    book.pause(at(3));
    book.pause(at(2));
    REQUIRE_FALSE(book.mayOrder(load("m1"), engine, at(2.5)));
    book.invalidate(at(1));
    REQUIRE_FALSE(book.needsReport(at(2.5)));
    REQUIRE(book.needsReport(at(3.5)));
    // A restart begins without a pause.
    book.pause(at(30));
    book.descriptionReceived(description("r1", {}, 2), at(4));
    REQUIRE(book.needsReport(at(5)));
}

TEST_CASE("a runner gets no order while it executes one or while it is leaving")
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

/// Runners and demand as input of planCopies() and placeAdapter().
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

TEST_CASE("a model without a replica gets one, even without requests")
{
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}}).add("r2", {{"m2", 0, {}}}).work("m1", 0.1, 0.1);
    REQUIRE(loadsOf(bench.plan(), "m3") == 1);
}

TEST_CASE("replicas are planned by the forecast when demand shifts to another model within seconds")
{
    // Load pattern: the requests for m1 shift to m2 within some seconds, and a load takes four. Planned by current demand alone, m2 would get its
    // replicas after the shift.
    PlanBench bench(declaredEngine(2));
    for (int i = 0; i < 6; ++i) {
        bench.add("r" + std::to_string(i), i == 0 ? std::vector<ResidentModel> {{"m2", 0, {}}} : std::vector<ResidentModel> {{"m1", 0, {}}});
    }
    bench.work("m1", 2, 1).work("m2", 0.2, 3);
    const auto orders = bench.plan();
    REQUIRE(loadsOf(orders, "m2") >= 3);
    REQUIRE(orders.front().order == load("m2"));
}

TEST_CASE("after the loss of many runners the models with the most work come first, and all models get a replica")
{
    // Load pattern: two thirds of the runners crash at once, and with them all replicas of m1 (busy) and m4 (rarely requested).
    PlanBench bench(declaredEngine(4));
    bench.add("r1", {{"m2", 0, {}}, {"m3", 0, {}}}).add("r2", {}).add("r3", {});
    bench.work("m1", 1.5, 1.5).work("m2", 0.1, 0.1).work("m3", 0.05, 0.05);
    const auto orders = bench.plan();
    REQUIRE(orders.size() >= 2);
    REQUIRE(orders.front().order == load("m1"));
    REQUIRE(loadsOf(orders, "m4") + loadsOf(orders, "m1") >= 2);
}

TEST_CASE("a busy model that lost its last replica gets one, even if one runner can serve little of its work")
{
    // Load pattern: the last runner with a model leaves while requests for the model would keep five runners busy. One replica can't serve them all, but
    // without one all of them are refused permanently.
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

TEST_CASE("a fleet under low, steady load gets no orders")
{
    PlanBench bench(declaredEngine(2));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}}).add("r2", {{"m1", 0, {}}, {"m2", 0, {}}}).work("m1", 0.3, 0.3).work("m2", 0.3, 0.3);
    REQUIRE(bench.plan().empty());
}

TEST_CASE("the last replica of a model isn't evicted for a further replica of a busy one")
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

TEST_CASE("replicas on runners that don't answer don't count")
{
    PlanBench bench(declaredEngine(1));
    bench.add("r1", {{"m1", 0, {}}}).add("r2", {}).work("m1", 0.05, 0.05);
    bench.input().failing = {TargetId("r1")};
    const auto orders = bench.plan();
    REQUIRE(loadsOf(orders, "m1") == 1);
    REQUIRE(orders.front().target == TargetId("r2"));
}

TEST_CASE("a model whose only runner limits its requests gets a replica on another runner")
{
    // Guards against callers of a model that are refused because its only runner accepts few requests, though others could hold the model.
    PlanBench bench(declaredEngine(2));
    bench.add("r1", {{"m1", 0, {}}}).add("r2", {{"m2", 0, {}}}).add("r3", {{"m2", 0, {}}}).work("m1", 0.05, 0.05);
    REQUIRE(bench.plan().empty());
    bench.input().unavailable[TargetId("r1")] = 0.97;
    const auto orders = bench.plan();
    REQUIRE(loadsOf(orders, "m1") == 1);
    REQUIRE(orders.front().target != TargetId("r1"));
    // Replicas on a limited runner aren't evicted, and it gets no others.
    bench.input().unavailable[TargetId("r2")] = 0.97;
    REQUIRE(bench.plan().front().target == TargetId("r3"));
}

TEST_CASE("a model that was never served counts with a default cost of its requests")
{
    // Load pattern: the only runner with a model is lost while its requests continue. They are refused, so their cost is never learnt. If an unknown cost
    // counted as 0, the model would get no replica and its requests would be refused permanently.
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

TEST_CASE("a move first drains the evicted replica, then unloads it, then loads the incoming model")
{
    // Load pattern: demand has shifted from m1 to m2 while streams of m1 continue for seconds. If the unload were ordered at once, the runner would refuse
    // all other orders until the last stream has ended, and the freed memory would go to whichever model asks for it first.
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}}).add("r2", {{"m1", 0, {}}, {"m3", 0, {}}}).work("m1", 0.05, 0.05).work("m2", 2, 2).work("m3", 0.05, 0.05);
    const auto begun = bench.wholePlan(100).begun;
    REQUIRE(begun.size() == 1);
    REQUIRE(begun.front().target == TargetId("r2"));
    REQUIRE(begun.front().move.incoming == "m2");
    REQUIRE(begun.front().move.evicted == std::set<std::string> {"m1"});
    bench.input().moves[TargetId("r2")] = begun.front().move;

    // Streams are unknown or still open: no order, and no second move for the same model.
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

TEST_CASE("a move continues after a timeout if streams don't end or gateways don't report")
{
    PlanBench bench(declaredEngine(3));
    bench.add("r1", {{"m1", 0, {}}, {"m2", 0, {}}}).add("r2", {{"m1", 0, {}}, {"m3", 0, {}}}).work("m2", 2, 2);
    bench.input().moves[TargetId("r2")] = bench.wholePlan(100).begun.front().move;
    REQUIRE(bench.wholePlan(101).orders.empty());
    REQUIRE(bench.wholePlan(102).orders.size() == 1); // a gateway without a report counts as having no streams
    bench.input().drainingStreams[{TargetId("r2"), "m1"}] = 1;
    REQUIRE(bench.wholePlan(104).orders.empty());
    REQUIRE(bench.wholePlan(106).orders.size() == 1);
}

TEST_CASE("a move continues despite noise in demand and is aborted when it would increase the lost work")
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

TEST_CASE("a runner that is loading gets no second load, even with free memory and long after the last order")
{
    // Load pattern: a load from the weight store takes six seconds while a model without a replica waits. A second load would be refused, and its refusal
    // discards the known state of the runner including the model being loaded. The next loads would then exceed the runner's memory and crash it.
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

TEST_CASE("a drained replica isn't unloaded if it has become the last one")
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

TEST_CASE("an adapter isn't loaded on a runner where its model is draining")
{
    PlanBench bench(declaredEngine(2, 8));
    bench.add("r1", {{"m1", 0, {}}}).add("r2", {{"m1", 0, {}}}, 0.5);
    bench.input().moves[TargetId("r1")] = {"m2", {"m1"}, at(99)};
    const auto planned = bench.place("m1", "a1", {});
    REQUIRE(planned);
    REQUIRE(planned->target == TargetId("r2"));
}

TEST_CASE("a load refused by a runner that is still unloading is tried again without a report")
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
    // The retries are limited: later refusals mean that the known state is wrong.
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

TEST_CASE("after an adapter load refused by a runner that was just unloading a report is needed")
{
    // The runner refuses because its order count differs: an adapter to be evicted is still in use, or a late order has taken effect. If the refusal were
    // attributed to the unload, the adapters known here would stay wrong, and the next adapter load would exceed the runner's adapter slots.
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

TEST_CASE("an adapter takes a free slot, else that of the least recently used adapter")
{
    // Load pattern: more adapters are requested in turn than runners have slots for.
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

TEST_CASE("an adapter goes to a runner that doesn't limit its requests, even if it has fewer free slots")
{
    PlanBench bench(declaredEngine(2));
    bench.add("r1", {{"m1", 0, {}}}).add("r2", {{"m1", 0, {"a1"}}});
    REQUIRE(bench.place("m1", "a2", {})->target == TargetId("r1"));
    bench.input().unavailable[TargetId("r1")] = 0.9;
    REQUIRE(bench.place("m1", "a2", {})->target == TargetId("r2"));
}

TEST_CASE("a second replica of an adapter goes to another runner and evicts none that was just used")
{
    // Load pattern: half of the streams name an adapter, and the runner with a popular one is overloaded while the model's other replicas have
    // spare capacity. Evicting an adapter in use would only move the wait to the callers of that adapter.
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

TEST_CASE("loads from the weight store keep to its rate, also when the order lease changes hands")
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

/// A fleet with more models than its runners can hold. Runs planning rounds; loads and evictions take effect at once.
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
    /// Runs one round. Returns whether anything was evicted.
    auto round(double now, bool isDemandKnown = true) -> bool
    {
        return !plan(now, isDemandKnown).begun.empty();
    }
    /// Runs one round. Returns the number of moves whose incoming model has no requests.
    auto idleIncoming(double now) -> int
    {
        const auto made = plan(now, true);
        return static_cast<int>(std::count_if(made.begun.begin(), made.begun.end(), [&](const BegunMove &one) { return !m_work.contains(one.move.incoming); }));
    }
    /// Runs one round. Returns the number of loads and moves that it begins.
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

TEST_CASE("with more models than fit, each model with requests gets a replica in place of idle ones")
{
    // Load pattern: 37 runners that hold three models each are filled with idle models while requests for other models wait.
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
        CHECK(fleet.copies(models) >= 3); // the busy one, in place of last replicas of idle ones
    }
}

TEST_CASE("where all models fit, idle ones keep their replicas")
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
    // Load pattern: a new lease holder has counted no arrivals yet. If that counted as no demand, replicas of the busiest model would be evicted for idle
    // models.
    ScarceFleet fleet(37, 150);
    CHECK_FALSE(fleet.round(100, false));
    fleet.work(149, 0.2);
    fleet.round(101, false);
    for (int model = 1; model <= 111; ++model) {
        CHECK(fleet.isHeld(model));
    }
}

TEST_CASE("where not all models fit, an evicted idle model doesn't evict another one in turn")
{
    // Load pattern: 120 models and memory for 111. Nine models without a replica have requests, a few others are busy, the rest are idle. An evicted idle
    // model was planned again in the same round in place of a busy model's replica: twice the loads, and fewer replicas of models with requests.
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
        CHECK(fleet.idleIncoming(100 + step * 0.1) == 0);
    }
    for (int model = 1; model <= Busy; ++model) {
        CHECK(fleet.isHeld(model));
    }
    for (int i = 0; i < Missing; ++i) {
        CHECK(fleet.isHeld(120 - i));
    }
}

TEST_CASE("models with requests that don't all fit are loaded in turn")
{
    // Load pattern: four runners that hold three models each, and eighteen models with nearly the same steady demand.
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

TEST_CASE("a planning round begins a bounded number of changes, and the next rounds continue")
{
    // Load pattern: demand shifts to sixty models at once on 180 runners. If all changes were planned in one round, the lease holder would be unresponsive
    // for seconds.
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
