// Who gets a request, where entries reach targets directly: load, kept prompts, other entries' work, failing targets. In virtual time.
#include "core/crashrepeats.h"
#include "core/dispatch.h"
#include "core/reuselimit.h"
#include "core/sharedretrybudget.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace KingCup;

namespace
{

constexpr int PromptTokens = 6300;

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

class DispatchFixture
{
public:
    explicit DispatchFixture(int runners, const std::string &zone = "z1")
        : m_dispatcher(DispatchOptions {.zone = ZoneName(zone)})
    {
        EngineDeclaration engine;
        engine.slots = 16;
        engine.kvTokens = 200000;
        engine.memory = Bytes::gigabytes(80);
        engine.adapterSlots = 4;
        ModelDeclaration model;
        model.name = "m1";
        model.weights = Bytes::gigabytes(20);
        engine.setModels({model});
        m_dispatcher.adoptEngine(ServiceName("assistant"), engine);
        for (int i = 0; i < runners; ++i) {
            add("r" + std::to_string(i), "z1");
        }
    }
    auto add(const std::string &id, const std::string &zone, std::vector<ResidentModel> models = {{"m1", 0, {}}}) -> void
    {
        TargetDescription target;
        target.incarnation = {TargetId(id), 1};
        target.service = ServiceName("assistant");
        target.address = {"127.0.0.1", 9000};
        target.zone = ZoneName(zone);
        target.slots = 16;
        target.models = std::move(models);
        m_dispatcher.targetSeen(target, at(0));
    }
    auto operator->() -> Dispatcher *
    {
        return &m_dispatcher;
    }

private:
    Dispatcher m_dispatcher;
};

auto longRequest(int tokens, UrgencyBand band) -> DispatchRequest
{
    static std::uint64_t own = 5000000;
    DispatchRequest made;
    made.service = ServiceName("assistant");
    made.model = "m1";
    made.promptTokens = tokens;
    made.outputTokens = 50;
    made.prompt = promptChains("m1", {{++own, tokens}});
    made.band = band;
    return made;
}

auto request(std::uint64_t shared = 0) -> DispatchRequest
{
    static std::uint64_t own = 1000000;
    DispatchRequest made;
    made.service = ServiceName("assistant");
    made.model = "m1";
    made.promptTokens = PromptTokens + 100;
    made.outputTokens = 200;
    made.prompt = promptChains("m1", {{shared == 0 ? ++own : shared, PromptTokens}, {++own, 100}});
    return made;
}

} // namespace

TEST_CASE("requests spread by what is yet to be read at each runner")
{
    DispatchFixture fixture(4);
    std::map<TargetId, int> sent;
    for (int i = 0; i < 40; ++i) {
        const auto one = request();
        const auto choice = fixture->choose(one, at(1));
        REQUIRE(choice.refusal == DispatchRefusal::None);
        fixture->sent(one, choice.target, at(1));
        ++sent[choice.target];
    }
    REQUIRE(sent.size() == 4);
    for (const auto &[target, count] : sent) {
        INFO(target.text());
        REQUIRE(count == 10);
    }
}

TEST_CASE("a shared beginning goes where it was read, until another runner would be sooner all the same")
{
    // Load pattern: many callers with one long beginning of their prompts. Kept on one runner it is read once; but a burst of them must not
    // wait there in a row while others are idle.
    DispatchFixture fixture(4);
    const auto first = request(7);
    const auto home = fixture->choose(first, at(1)).target;
    const auto send = fixture->sent(first, home, at(1));
    fixture->firstToken(send, at(1.3));
    fixture->ended(send, SendResult::Delivered, at(2));
    REQUIRE(fixture->choose(request(7), at(3)).target == home);
    REQUIRE(fixture->choose(request(7), at(3)).prefillTokens < 200);

    std::map<TargetId, int> sent;
    for (int i = 0; i < 200; ++i) {
        const auto one = request(7);
        const auto choice = fixture->choose(one, at(3));
        fixture->sent(one, choice.target, at(3));
        ++sent[choice.target];
    }
    REQUIRE(sent.size() > 1);
}

TEST_CASE("behind a long prompt that is being read an urgent short one would wait, and goes elsewhere")
{
    // Load pattern: one prompt in thirty is ten times as long as the others, and takes a runner a second to read. An engine doesn't lay aside
    // the prompt that it is reading for a more urgent one. Short urgent prompts that were sent to that runner got their first token late, by
    // up to two seconds, while the other copies of the model had nothing to do.
    DispatchFixture fixture(2);
    const auto big = longRequest(30000, UrgencyBand::Usual);
    const auto busy = fixture->choose(big, at(1)).target;
    const auto send = fixture->sent(big, busy, at(1));

    const auto urgent = longRequest(300, UrgencyBand::Urgent);
    REQUIRE(fixture->choose(urgent, at(1.1)).target != busy);

    SECTION("what has been read of it no longer counts")
    {
        const auto idle = fixture->choose(urgent, at(1.1)).target;
        fixture->sent(longRequest(10000, UrgencyBand::Urgent), idle, at(1.1));
        REQUIRE(fixture->choose(urgent, at(1.2)).target == idle);
        REQUIRE(fixture->choose(urgent, at(1.2)).backlog < Duration::millis(250));
    }
    SECTION("another entry hears of it as of the most urgent work")
    {
        DispatchFixture other(2);
        other->merge(fixture->takeDigest(EntryId("e1"), at(1.01)), at(1.01));
        REQUIRE(other->choose(urgent, at(1.1)).target != busy);
    }
    SECTION("one that still waits there goes behind the urgent ones")
    {
        const auto waiting = longRequest(30000, UrgencyBand::Usual);
        fixture->sent(waiting, busy, at(1));
        fixture->firstToken(send, at(1.9));
        const auto idle = fixture->choose(urgent, at(1.1)).target;
        fixture->sent(longRequest(60000, UrgencyBand::Urgent), idle, at(1.9));
        REQUIRE(fixture->choose(urgent, at(2.7)).target == busy);
    }
}

TEST_CASE("a very long prompt goes where it stalls the fewest streams")
{
    // Load pattern: streams of some three hundred tokens beside a few very long prompts. While one of those is read, each step of its runner takes
    // so long that half a second passes between two events of every stream there: two streams in a hundred stalled, and callers saw it.
    DispatchFixture fixture(2);
    for (int i = 0; i < 6; ++i) {
        const auto send = fixture->sent(longRequest(300, UrgencyBand::Urgent), TargetId("r0"), at(1));
        fixture->firstToken(send, at(1.024)); // as expected: the runner isn't a slow one
    }
    const auto behind = fixture->sent(longRequest(5000, UrgencyBand::Usual), TargetId("r1"), at(1));
    REQUIRE(behind.value() > 0);
    REQUIRE(fixture->choose(longRequest(25000, UrgencyBand::Usual), at(1.1)).target == TargetId("r1"));
    REQUIRE(fixture->choose(longRequest(2000, UrgencyBand::Usual), at(1.1)).target == TargetId("r0"));
}

TEST_CASE("two entries that know nothing yet choose the same runner for the same beginning")
{
    DispatchFixture one(6);
    DispatchFixture two(6);
    for (std::uint64_t shared = 1; shared <= 20; ++shared) {
        REQUIRE(one->choose(request(shared), at(1)).target == two->choose(request(shared), at(1)).target);
    }
}

TEST_CASE("other entries' work counts, until their digest is too old")
{
    DispatchFixture fixture(2);
    const auto home = fixture->choose(request(5), at(1)).target;
    WorkDigest digest;
    digest.entry = EntryId("other");
    digest.sequence = 1;
    TargetWork work;
    work.target = home;
    work.running = 10;
    work.pendingPrefill.fill(Duration::seconds(1));
    digest.work = {work};
    fixture->merge(digest, at(1));
    REQUIRE(fixture->choose(request(5), at(1.1)).target != home);
    REQUIRE(fixture->running(home, at(1.1)) == 10);
    REQUIRE(fixture->choose(request(5), at(4)).target == home);

    fixture->merge(digest, at(5)); // the same number again: a copy that was late
    REQUIRE(fixture->running(home, at(5)) == 0);
}

TEST_CASE("a target that breaks off without an answer gets nothing for a while, then one request")
{
    DispatchFixture fixture(2);
    const auto one = request(3);
    const auto home = fixture->choose(one, at(1)).target;
    fixture->ended(fixture->sent(one, home, at(1)), SendResult::NoAnswer, at(1.1));
    REQUIRE(fixture->isEjected(home, at(1.2)));
    for (int i = 0; i < 50; ++i) {
        REQUIRE(fixture->choose(request(3), at(1.2)).target != home);
    }
    REQUIRE_FALSE(fixture->isEjected(home, at(9)));
}

TEST_CASE("the client's going away says nothing about its target")
{
    DispatchFixture fixture(1);
    const auto one = request();
    const TargetId target("r0");
    fixture->ended(fixture->sent(one, target, at(1)), SendResult::Cancelled, at(1.1));
    REQUIRE(fixture->failures(target, at(1.2)) == 0);
    REQUIRE_FALSE(fixture->isEjected(target, at(1.2)));
}

TEST_CASE("where no target gets through, the request still goes to one, as a last resort")
{
    DispatchFixture fixture(1);
    fixture->unreachable(TargetId("r0"), at(1));
    const auto choice = fixture->choose(request(), at(1.1));
    REQUIRE(choice.target == TargetId("r0"));
    REQUIRE(choice.isLastResort);
}

TEST_CASE("a refusal says what was missing")
{
    DispatchFixture fixture(2);
    auto other = request();
    other.model = "m2";
    REQUIRE(fixture->choose(other, at(1)).refusal == DispatchRefusal::NotHeld);
    auto adapted = request();
    adapted.adapter = "a1";
    REQUIRE(fixture->choose(adapted, at(1)).refusal == DispatchRefusal::AdapterMissing);
    auto unknown = request();
    unknown.service = ServiceName("nobody");
    REQUIRE(fixture->choose(unknown, at(1)).refusal == DispatchRefusal::NoTarget);
    auto tried = request();
    tried.excluded = {TargetId("r0"), TargetId("r1")};
    REQUIRE(fixture->choose(tried, at(1)).refusal == DispatchRefusal::AllExcluded);
}

TEST_CASE("a target that leaves or has gone gets nothing new, and a new start is known for nothing")
{
    DispatchFixture fixture(2);
    fixture->targetGone(TargetId("r0"));
    REQUIRE(fixture->choose(request(), at(1)).target == TargetId("r1"));
    auto leaving = *fixture->description(TargetId("r1"));
    leaving.isLeaving = true;
    fixture->targetSeen(leaving, at(1));
    REQUIRE(fixture->choose(request(), at(1)).target.isEmpty());
}

TEST_CASE("the own zone comes first while its runners are no later")
{
    DispatchFixture fixture(0, "z2");
    fixture.add("near", "z2");
    fixture.add("far", "z1");
    std::map<TargetId, int> chosen;
    for (int i = 0; i < 40; ++i) {
        auto one = request();
        one.prompt.clear(); // nothing kept anywhere, nothing to rank runners by
        one.promptTokens = 100;
        ++chosen[fixture->choose(one, at(1)).target];
    }
    REQUIRE(chosen[TargetId("near")] == 40);
}

TEST_CASE("of two runners that are as good, the one with a kept connection is chosen")
{
    // Load pattern: two dozen entries send to four dozen runners, each pair a request in three seconds. Spread evenly, nearly half of the
    // requests found no connection kept that was used of late, and opened one.
    std::set<int> kept {9001};
    Dispatcher dispatcher(DispatchOptions {.zone = ZoneName("z1"), .isConnected = [&](const Endpoint &address) {
                                               return kept.contains(address.port);
                                           }});
    for (const int port : {9000, 9001, 9002}) {
        TargetDescription target;
        target.incarnation = {TargetId("r" + std::to_string(port)), 1};
        target.service = ServiceName("plain");
        target.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
        target.zone = ZoneName("z1");
        target.slots = 6;
        dispatcher.targetSeen(target, at(0));
    }
    DispatchRequest made;
    made.service = ServiceName("plain");
    REQUIRE(dispatcher.choose(made, at(1)).target == TargetId("r9001"));
    for (int i = 0; i < 6; ++i) {
        dispatcher.sent(made, TargetId("r9001"), at(1));
    }
    REQUIRE(dispatcher.choose(made, at(1)).target != TargetId("r9001"));
}

TEST_CASE("where targets drop idle connections, kept ones are used for a shorter time")
{
    // A target closes idle connections and says nothing. A posting that is sent on one is reset at once; it may not be sent again, as nobody can
    // tell whether it was made, and the caller gets a failure for a target that is sound.
    ReuseLimit reuse;
    const auto usual = reuse.limit(at(0));
    SECTION("a reset that comes back at once after a long idle time makes the limit short, for a while")
    {
        REQUIRE(reuse.connectionBroke(Duration::seconds(5), Duration::millis(4), at(10)));
        REQUIRE(reuse.limit(at(11)) < Duration::seconds(5));
        REQUIRE_FALSE(reuse.connectionBroke(Duration::seconds(4), Duration::millis(4), at(20)));
        REQUIRE(reuse.limit(at(49)) < Duration::seconds(4));
        REQUIRE(reuse.limit(at(51)) == usual);
    }
    SECTION("a run that broke, or a connection just used, says nothing of that")
    {
        REQUIRE_FALSE(reuse.connectionBroke(Duration::seconds(5), Duration::millis(200), at(10)));
        REQUIRE_FALSE(reuse.connectionBroke(Duration::millis(500), Duration::millis(4), at(10)));
        REQUIRE(reuse.limit(at(10)) == usual);
    }
}

TEST_CASE("prompts are kept by what leads to them, and the longest unused go first")
{
    const auto chains = promptChains("m1", {{1, 100}, {2, 50}});
    REQUIRE(chains.size() == 2);
    REQUIRE(promptChains("m2", {{1, 100}})[0].hash != chains[0].hash);
    REQUIRE(promptChains("m1", {{2, 50}})[0].hash != chains[1].hash);

    PromptCache cache(250);
    cache.touch(chains);
    REQUIRE(cache.cachedTokens(chains) == 150);
    REQUIRE(cache.cachedTokens(promptChains("m1", {{1, 100}, {3, 10}})) == 100);
    cache.touch(promptChains("m1", {{9, 120}})); // 270 in all
    REQUIRE(cache.usedTokens() <= 250);
    REQUIRE(cache.cachedTokens(promptChains("m1", {{9, 120}})) == 120);
}

TEST_CASE("sends beyond the first keep to a share of the requests and a part of the allowance")
{
    // Load pattern: half of the targets crash at once and every request would be sent again; the sound ones would get twice their load.
    SharedRetryBudget budget({.window = Duration::seconds(10), .ratio = 0.2, .allowance = 50, .safetyFactor = 1});
    budget.setGatewayCount(10);
    REQUIRE(budget.remaining(at(20)) == Approx(5));
    for (int i = 0; i < 100; ++i) {
        budget.requestSent(at(20 + i * 0.05));
    }
    REQUIRE(budget.remaining(at(25)) <= 25);
    int again = 0;
    for (; again < 100 && budget.remaining(at(25)) >= 1; ++again) {
        budget.requestResent(at(25));
    }
    REQUIRE(again >= 5);
    REQUIRE(again <= 25);
    REQUIRE(budget.remaining(at(40)) == Approx(5));
}

TEST_CASE("a request that takes down one target after the other is barred after the third, at other entries too")
{
    // Load pattern: a client repeats one request each second, at any entry; each try kills a runner for some seconds. Unchecked, it empties a
    // service of a few runners, and all other callers are refused.
    CrashRepeats here;
    CrashRepeats there;
    const auto request = requestFingerprint("host", "/chat", "the same");
    for (int i = 1; i <= 3; ++i) {
        auto &entry = i == 2 ? there : here;
        REQUIRE_FALSE(entry.isBarred(request, at(i)));
        REQUIRE(entry.brokeOff(request, at(i), at(i + 0.2)));
        here.reported(request, entry.breaks(request), at(i + 0.3));
        there.reported(request, entry.breaks(request), at(i + 0.3));
    }
    REQUIRE(here.isBarred(request, at(4)));
    REQUIRE(there.isBarred(request, at(4)));
    REQUIRE_FALSE(here.isBarred(requestFingerprint("host", "/chat", "another"), at(4)));
    here.expire(at(200));
    REQUIRE(here.isEmpty());
}

TEST_CASE("many targets that fail at once bar nobody, and a good end clears")
{
    CrashRepeats repeats;
    const auto request = requestFingerprint("host", "/chat", "usual");
    for (int i = 0; i < 10; ++i) {
        repeats.brokeOff(request, at(1 + i * 0.01), at(2 + i * 0.001)); // all were sent before the first broke off
    }
    REQUIRE(repeats.breaks(request) == 1);
    // One of them is down for a while and breaks off what it gets, however often that is sent again.
    for (int i = 0; i < 20; ++i) {
        repeats.brokeOff(request, at(2.1 + i * 0.03), at(2.11 + i * 0.03));
    }
    REQUIRE(repeats.breaks(request) == 1);
    repeats.succeeded(request);
    REQUIRE(repeats.isEmpty());
}

TEST_CASE("a copy that gives way gets no new requests while another can take them")
{
    // Load pattern: demand moves to another model, and a runner is to make room for it. Requests that still went to the model that leaves would keep its
    // streams from ever ending; but where it is the only copy, they must not be refused for it.
    DispatchFixture fixture(0);
    fixture.add("r0", "z1", {{"m1", 0, {"a1"}, true}});
    REQUIRE(fixture->choose(request(), at(1)).target == TargetId("r0"));
    fixture.add("r1", "z1", {{"m1", 0, {}}});
    for (int i = 0; i < 20; ++i) {
        const auto one = request();
        const auto choice = fixture->choose(one, at(1));
        REQUIRE(choice.target == TargetId("r1"));
        fixture->sent(one, choice.target, at(1));
    }
    // An adapter that is only there is loaded beside the copy that stays, rather than asked for where it keeps the old one.
    auto adapted = request();
    adapted.adapter = "a1";
    REQUIRE(fixture->choose(adapted, at(1)).refusal == DispatchRefusal::AdapterMissing);
    // Should the other copy not be reached, the one that gives way is better than none.
    fixture->unreachable(TargetId("r1"), at(1));
    REQUIRE(fixture->choose(request(), at(1)).target == TargetId("r0"));
}

TEST_CASE("a full runner is waited for by urgency")
{
    // Load pattern: the only runner with a model is asked for more than it can do. Its places turn over all the while, and requests that can still be on time
    // take the next ones; those that can't wait behind. Were a full runner a second's wait for everybody, all would count as late and all would be.
    DispatchFixture fixture(1);
    const auto small = [](UrgencyBand band) {
        return longRequest(10, band);
    };
    for (int i = 0; i < 16; ++i) {
        const auto send = fixture->sent(small(UrgencyBand::Usual), TargetId("r0"), at(1));
        fixture->firstToken(send, at(1.01));
    }
    const auto nextToFull = fixture->choose(small(UrgencyBand::Usual), at(1.1)).expectedFirst;
    REQUIRE(nextToFull < Duration::millis(150));
    for (int i = 0; i < 20; ++i) {
        fixture->sent(small(UrgencyBand::Patient), TargetId("r0"), at(1.1));
    }
    const auto urgent = fixture->choose(small(UrgencyBand::Usual), at(1.1));
    REQUIRE(urgent.expectedFirst < Duration::millis(150));
    REQUIRE(urgent.expectedIfPatient > Duration::millis(400)); // behind the twenty
    REQUIRE(fixture->choose(small(UrgencyBand::Patient), at(1.1)).expectedFirst > Duration::millis(400));
}

TEST_CASE("prompts that come together go to different runners, also by what others have sent")
{
    // Load pattern: many short prompts a second from several entries. Each is read within some milliseconds, but ten that come to one runner within the time
    // between two events stall every stream there, while the runner beside it reads nothing.
    DispatchFixture fixture(2);
    const auto next = [] {
        auto made = longRequest(400, UrgencyBand::Usual);
        made.pauseGoal = Duration::millis(150);
        return made;
    };
    for (int i = 0; i < 7; ++i) {
        const auto send = fixture->sent(next(), TargetId("r0"), at(1 + i * 0.01));
        fixture->firstToken(send, at(1 + i * 0.01 + 0.03));
    }
    REQUIRE(fixture->choose(next(), at(1.07)).target == TargetId("r1"));
    fixture->merge({{TargetId("r1"), Duration::millis(200)}}, at(1.07));
    REQUIRE(fixture->choose(next(), at(1.08)).target == TargetId("r0"));
    const auto told = fixture->takeSentPrefill();
    REQUIRE(told.size() == 1);
    REQUIRE(told.front().target == TargetId("r0"));
    REQUIRE(told.front().prefill > Duration::millis(5));
    REQUIRE(fixture->takeSentPrefill().empty());
}

TEST_CASE("a first step and the reading of a prompt are told apart")
{
    // An engine whose first step takes 8 ms and that reads 40 tokens a millisecond. With the step taken to be twice as long, reading would seem to take next to
    // no time, and many prompts at once on one runner would seem to do no harm.
    DispatchFixture fixture(1);
    double now = 1;
    for (int i = 0; i < 300; ++i) {
        const int tokens = i % 3 == 0 ? 100 : 1000;
        const auto send = fixture->sent(longRequest(tokens, UrgencyBand::Usual), TargetId("r0"), at(now));
        const double took = 0.008 + tokens / 40.0 / 1000;
        fixture->firstToken(send, at(now + took));
        fixture->ended(send, SendResult::Delivered, at(now + took + 0.2));
        now += 1;
    }
    const auto shortOne = fixture->choose(longRequest(50, UrgencyBand::Usual), at(now)).expectedFirst;
    const auto longOne = fixture->choose(longRequest(2000, UrgencyBand::Usual), at(now)).expectedFirst;
    REQUIRE(shortOne < Duration::millis(12));
    REQUIRE(longOne - shortOne > Duration::millis(40));
    REQUIRE(longOne - shortOne < Duration::millis(60));
}

TEST_CASE("streams under way are counted by target and model, whatever their end")
{
    DispatchFixture fixture(2);
    const auto sent = [&](const char *target) {
        return fixture->sent(request(), TargetId(target), at(1));
    };
    const auto first = sent("r0");
    const auto second = sent("r0");
    const auto third = sent("r1");
    CHECK(fixture->ownRunning(TargetId("r0"), "m1") == 2);
    CHECK(fixture->ownRunning(TargetId("r1"), "m1") == 1);
    CHECK(fixture->ownRunning(TargetId("r1"), "m2") == 0);
    fixture->ended(first, SendResult::Delivered, at(2));
    fixture->ended(first, SendResult::Delivered, at(2));
    fixture->targetGone(TargetId("r1"));
    fixture->ended(third, SendResult::Failed, at(2));
    CHECK(fixture->ownRunning(TargetId("r0"), "m1") == 1);
    CHECK(fixture->ownRunning(TargetId("r1"), "m1") == 0);
    fixture->ended(second, SendResult::Cancelled, at(3));
    CHECK(fixture->ownRunning(TargetId("r0"), "m1") == 0);
}
