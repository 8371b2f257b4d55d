#include "core/membership.h"
#include "core/suspects.h"
#include "core/versionswitch.h"

#include <catch2/catch.hpp>

#include <set>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

auto agents(int count) -> std::vector<ListedHost>
{
    std::vector<ListedHost> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        hosts.push_back({.id = "r" + std::to_string(i), .endpoint = {"127.0.0.1", 9000 + i}});
    }
    return hosts;
}

auto heartbeatAll(Membership &membership, int count, TimePoint now) -> void
{
    for (int i = 0; i < count; ++i) {
        membership.seen("r" + std::to_string(i), now);
    }
}

} // namespace

TEST_CASE("heartbeats decide who is live")
{
    Membership membership;
    membership.listReceived(agents(2), at(0));
    REQUIRE(membership.live(HostRole::Agent).empty());
    heartbeatAll(membership, 2, at(0));
    REQUIRE(membership.live(HostRole::Agent).size() == 2);
    membership.seen("r1", at(1));
    membership.advance(at(2));
    REQUIRE(membership.find("r0")->state == MemberState::Suspect);
    membership.advance(at(6));
    REQUIRE(membership.find("r0")->state == MemberState::Dead);
    membership.seen("r0", at(7));
    REQUIRE(membership.find("r0")->state == MemberState::Live);
}

TEST_CASE("a list that suddenly empties or halves is not trusted")
{
    // The platform's list service restarts and returns an empty list for a while. If that were applied, no healthy target would be used any more and all
    // callers would be refused.
    Membership membership;
    membership.listReceived(agents(10), at(0));
    heartbeatAll(membership, 10, at(0));
    const auto shrunk = GENERATE(0, 5);
    membership.listReceived(agents(shrunk), at(1));
    REQUIRE_FALSE(membership.isListTrusted());
    heartbeatAll(membership, 10, at(400));
    membership.advance(at(400));
    REQUIRE(membership.live(HostRole::Agent).size() == 10);
    membership.listReceived(agents(10), at(401));
    REQUIRE(membership.isListTrusted());
}

TEST_CASE("a host that is unlisted and silent is forgotten, one that is listed as leaving stays leaving")
{
    Membership membership;
    membership.listReceived(agents(10), at(0));
    heartbeatAll(membership, 10, at(0));
    membership.listReceived(agents(9), at(1));
    REQUIRE(membership.isListTrusted());
    membership.advance(at(302));
    REQUIRE_FALSE(membership.find("r9").has_value());
    auto hosts = agents(9);
    hosts[3].leaving = true;
    membership.listReceived(hosts, at(303));
    membership.seen("r3", at(303));
    REQUIRE(membership.find("r3")->state == MemberState::Leaving);
}

TEST_CASE("the removal of a member moves only the subjects that it ranked first for")
{
    std::vector<std::string> members {"a", "b", "c", "d", "e"};
    const auto without = std::vector<std::string> {"a", "b", "d", "e"};
    std::set<std::string> firsts;
    for (int i = 0; i < 200; ++i) {
        const auto subject = "model" + std::to_string(i);
        const auto before = rankMembers(subject, members);
        const auto after = rankMembers(subject, without);
        firsts.insert(before.front());
        REQUIRE((before.front() == "c" || before.front() == after.front()));
        REQUIRE(memberSubset(subject, members, 2).size() == 2);
    }
    REQUIRE(firsts.size() == members.size());
}

TEST_CASE("a request that crashes its targets costs two of them at most")
{
    // A request crashes each engine that runs it, and its caller sends it again through any entry. Unless the requests in flight at a crash are remembered, it
    // crashes one target after the other.
    Suspects here;
    Suspects elsewhere;
    here.targetCrashed(TargetId("r1"), 4, {"bad", "innocent"}, at(0));
    here.targetCrashed(TargetId("r1"), 4, {"bad", "innocent"}, at(0.1)); // the same crash, reported by another process
    REQUIRE(here.verdict("bad", at(1)) == Verdict::Alone);
    elsewhere.merge(here.digest(at(1)), at(1));
    REQUIRE(elsewhere.verdict("bad", at(1)) == Verdict::Alone);
    elsewhere.targetCrashed(TargetId("r2"), 1, {"bad"}, at(2));
    REQUIRE(elsewhere.verdict("bad", at(2)) == Verdict::Quarantined);
    here.merge(elsewhere.digest(at(2)), at(2));
    REQUIRE(here.verdict("bad", at(3)) == Verdict::Quarantined);
    here.completedAlone("innocent", at(3));
    REQUIRE(here.verdict("innocent", at(3)) == Verdict::Clear);
    here.merge(elsewhere.digest(at(3)), at(3));
    REQUIRE(here.verdict("innocent", at(3)) == Verdict::Clear);
}

TEST_CASE("one crash that is reported by two processes counts once")
{
    // An engine crashes while it runs several requests. Their entry learns of it twice: from the agent, and from the end of each request. Counted as two
    // crashes, each innocent request among them would be refused for a day.
    Suspects agent;
    Suspects entry;
    agent.targetCrashed(TargetId("r1"), 4, {"innocent"}, at(0));
    entry.merge(agent.digest(at(0)), at(0));
    entry.targetCrashed(TargetId("r1"), 4, {"innocent"}, at(0.1));
    entry.merge(agent.digest(at(0.2)), at(0.2));
    REQUIRE(entry.verdict("innocent", at(1)) == Verdict::Alone);
    Suspects other;
    other.targetCrashed(TargetId("r2"), 1, {"innocent"}, at(1));
    entry.merge(other.digest(at(1)), at(1));
    REQUIRE(entry.verdict("innocent", at(2)) == Verdict::Quarantined);
}

TEST_CASE("suspicions expire, also between processes that exchange them")
{
    Suspects one({.suspectFor = Duration::seconds(10), .quarantineFor = Duration::seconds(20)});
    Suspects two({.suspectFor = Duration::seconds(10), .quarantineFor = Duration::seconds(20)});
    one.targetCrashed(TargetId("r1"), 1, {"suspect", "bad"}, at(0));
    one.targetCrashed(TargetId("r2"), 1, {"bad"}, at(1));
    for (int second = 1; second < 200; ++second) {
        one.expire(at(second));
        two.expire(at(second));
        two.merge(one.digest(at(second)), at(second));
        one.merge(two.digest(at(second)), at(second));
    }
    REQUIRE(one.digest(at(200)).suspected.empty());
    REQUIRE(one.digest(at(200)).quarantined.empty());
    REQUIRE(one.size() == 0);
}

TEST_CASE("the number of suspects is bounded, and quarantined ones are evicted last")
{
    Suspects suspects({.maxRecords = 50});
    suspects.targetCrashed(TargetId("r1"), 1, {"bad"}, at(0));
    suspects.targetCrashed(TargetId("r2"), 1, {"bad"}, at(0));
    for (int i = 0; i < 500; ++i) {
        suspects.targetCrashed(TargetId("r1"), 2U + static_cast<unsigned>(i), {"other" + std::to_string(i)}, at(1));
    }
    REQUIRE(suspects.size() == 50);
    REQUIRE(suspects.verdict("bad", at(2)) == Verdict::Quarantined);
}

TEST_CASE("a model name without a version means the old version until the new one is resident")
{
    // An operator makes version 2 current and removes version 1 in one change. If that took effect at once, every caller that names only the model would be
    // refused while the new weights load.
    Declarations set;
    set.models["sun"] = Model {.name = "sun", .current = ArtifactName("sun@1")};
    std::set<ArtifactName> resident {ArtifactName("sun@1")};
    const auto isReachable = [&](const ArtifactName &artifact) {
        return resident.contains(artifact);
    };
    VersionSwitch versions;
    versions.update(set, isReachable);
    REQUIRE(versions.effective("sun") == ArtifactName("sun@1"));
    set.models["sun"].current = ArtifactName("sun@2");
    versions.update(set, isReachable);
    REQUIRE(versions.effective("sun") == ArtifactName("sun@1"));
    REQUIRE(versions.retained() == std::vector {ArtifactName("sun@1")});
    resident.insert(ArtifactName("sun@2"));
    versions.update(set, isReachable);
    REQUIRE(versions.effective("sun") == ArtifactName("sun@2"));
    REQUIRE(versions.retained().empty());
}
