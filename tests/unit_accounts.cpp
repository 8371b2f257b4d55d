// Keys of client accounts, the proof that the declarations are current, and the resulting admission of requests. In virtual time.
#include "core/accountaccess.h"
#include "platform/protocol.h"
#include "tests/mutator.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(100 + seconds);
}

auto accountWith(const std::string &name, const std::string &key, double perSecond = 0) -> ClientAccount
{
    ClientAccount account;
    account.name = AccountName(name);
    account.keys = {digestOf(key)};
    account.limit = {.unit = UsageUnit::Tokens, .perSecond = perSecond, .burst = perSecond, .defaultTokens = 200};
    return account;
}

auto trafficWith(std::vector<ClientAccount> accounts) -> std::shared_ptr<const Traffic>
{
    auto traffic = std::make_shared<Traffic>();
    traffic->hasAccounts = true;
    traffic->accounts = AccountTable(std::move(accounts));
    return traffic;
}

constexpr auto Lifetime = Duration::millis(4500);

/// Access with one account, its declarations proven at second 0.
auto provenAccess(double perSecond = 0) -> AccountAccess
{
    AccountAccess access(at(-20), {.proofLifetime = Lifetime});
    access.adopt(trafficWith({accountWith("asha", "k", perSecond)}), at(-20));
    access.rowReceived(RowVersion(7));
    access.addProof({RowVersion(7), at(0)});
    return access;
}

} // namespace

TEST_CASE("a bearer key is read in the forms that RFC 6750 allows, and in no other")
{
    CHECK(bearerKey("Bearer abc") == "abc");
    CHECK(bearerKey("bearer  abc ") == "abc");
    for (const auto *text : {"", "Bearer", "Bearer ", "Bearerabc", "Basic abc", "Bearer a b", "Bearer a\tb", "abc", "Bearer \x01"}) {
        INFO(text);
        CHECK_FALSE(bearerKey(text));
    }
}

TEST_CASE("corrupted authorization headers give one word or nothing")
{
    // Guards against a malformed header that is accepted as a key or crashes a gateway.
    const MutatorOptions mutations {
        .maxEdits = 4, .maxPieceLength = 6, .dictionary = {"Bearer", " ", "\t", std::string(1, '\0'), ",", "\xff"}, .replacesValues = false};
    for (std::uint32_t round = 0; round < 20000; ++round) {
        const auto text = Mutator(round, mutations).mutate("Bearer asnmgkcuyj8pjbvk9m68");
        const auto key = bearerKey(text);
        if (key) {
            REQUIRE_FALSE(key->empty());
            REQUIRE(key->find_first_of(" \t\r\n") == std::string_view::npos);
        }
    }
}

TEST_CASE("each key finds its account among many, and a rotated key the same account as before")
{
    std::vector<ClientAccount> accounts;
    for (int i = 0; i < 1000; ++i) {
        accounts.push_back(accountWith("account-" + std::to_string(i), "key-" + std::to_string(i)));
        accounts.back().keys.push_back(digestOf("next-" + std::to_string(i)));
    }
    const AccountTable table(std::move(accounts));
    REQUIRE(table.find(digestOf("key-500")) != nullptr);
    CHECK(table.find(digestOf("key-500"))->name == AccountName("account-500"));
    CHECK(table.find(digestOf("next-500"))->name == AccountName("account-500"));
    CHECK(table.find(digestOf("key-1000")) == nullptr);
    CHECK(digestOf("key-1").fingerprint().size() == 8);
}

TEST_CASE("accounts are decoded with their keys' digests, limits and priority")
{
    const auto checked
        = Platform::decodeTraffic(R"({"version":7,"routes":[{"name":"r","host":"a.example","prefix":"/c/","service":"s",)"
                                  R"("route_kind":"idempotent","anonymous":true}],"tenants":[{"name":"hule","keys":["k1","k2"],"priority":1,)"
                                  R"("unit":"token_count","plain_tokens":200,"rate_per_s":300,"burst":400},{"keys":["k3"]},{"name":"plain","rate_per_s":5}]})");
    const auto &traffic = checked.value;
    REQUIRE(traffic.hasAccounts);
    CHECK(traffic.routes.at(0).isAnonymous);
    CHECK(checked.findings.size() == 1); // the account without a name
    const auto *account = traffic.accounts.find(digestOf("k2"));
    REQUIRE(account != nullptr);
    CHECK(account->priority == 1);
    CHECK(account->limit.costOf(0) == 200);
    CHECK(account->limit.costOf(1460) == 1460);
    CHECK(account->limit == UsageLimit {UsageUnit::Tokens, 300, 400, 200});
    CHECK(traffic.accounts.find(digestOf("k3")) == nullptr);
    CHECK(traffic.accounts.accounts().at(1).limit.costOf(1460) == 1);
    CHECK_FALSE(Platform::decodeTraffic(R"({"version":7})").value.hasAccounts);
    CHECK(Platform::decodeTraffic(R"({"version":7,"tenants":{"name":"a"}})")
              .value.hasAccounts); // accounts that can't be read must block every caller, not admit everyone
}

TEST_CASE("an account's priority replaces its route's, and is ranked among the routes to the same service only")
{
    Traffic traffic;
    for (const auto &[name, goal] : std::vector<std::pair<std::string, int>> {{"chat", 400}, {"summary", 600}, {"batch", 2000}, {"call", 120}}) {
        Route route;
        route.name = name;
        route.goal = Duration::millis(goal);
        route.priority = 2;
        route.services = {{ServiceName(name == "call" ? "app" : "llm"), 1}};
        traffic.routes.push_back(route);
    }
    assignBands(traffic);
    CHECK(bandOf(traffic.routes.at(0), 0) == UrgencyBand::Urgent);
    CHECK(bandOf(traffic.routes.at(1), 0) == UrgencyBand::Urgent);
    CHECK(bandOf(traffic.routes.at(2), 0) == UrgencyBand::Normal);
    CHECK(bandOf(traffic.routes.at(1), 5) == UrgencyBand::Patient);
}

TEST_CASE("a proof holds for its version and for later ones, never for an earlier one")
{
    // Guards against serving a revoked key: a proof for a newer version must not count for the older version that is known here.
    Freshness freshness;
    CHECK_FALSE(freshness.provenAt(RowVersion(9)));
    freshness.add({RowVersion(5), at(1)});
    freshness.add({RowVersion(7), at(2)});
    CHECK_FALSE(freshness.provenAt(RowVersion(4)));
    CHECK(freshness.provenAt(RowVersion(5)) == at(1));
    CHECK(freshness.provenAt(RowVersion(7)) == at(2));
    CHECK(freshness.provenAt(RowVersion(8)) == at(2));
    freshness.add({RowVersion(6), at(0.5)}); // an older proof that arrives late
    CHECK(freshness.provenAt(RowVersion(6)) == at(1));
}

TEST_CASE("proofs of versions that aren't received yet don't evict the proof of the known version")
{
    // Guards against a gateway that receives no rows and loses a valid proof, because proofs of many newer versions fill the list.
    Freshness freshness;
    freshness.add({RowVersion(5), at(1)});
    for (int i = 0; i < 100; ++i) {
        freshness.add({RowVersion(static_cast<std::uint64_t>(10 + i)), at(2 + i)});
    }
    CHECK(freshness.provenAt(RowVersion(5)) == at(1));
    CHECK(freshness.provenAt(RowVersion(109)) == at(101));
}

TEST_CASE("a proof passed through a chain of peers is never younger than the read of the store, whatever the delays")
{
    // Guards against a proof whose age is counted from an answer's arrival, or lost between peers: it would hide a revocation.
    std::uint32_t state = 1;
    const auto draw = [&state] {
        state = state * 1664525U + 1013904223U;
        return static_cast<double>(state >> 16U) / 65536.0;
    };
    for (int round = 0; round < 2000; ++round) {
        double now = 0;
        const double readAt = now; // the first gateway asks the store
        now += draw();
        Freshness known;
        known.add({RowVersion(3), at(readAt)});
        for (int hop = 0; hop < 4; ++hop) {
            // The next gateway asks at some time, on its own clock.
            const double askedAt = now;
            now += draw(); // until the request arrives
            const auto age = at(now) - *known.provenAt(RowVersion(3));
            now += draw(); // until the reply arrives
            Freshness next;
            next.add({RowVersion(3), at(askedAt) - age});
            REQUIRE(*next.provenAt(RowVersion(3)) <= at(readAt));
            known = next;
        }
    }
}

TEST_CASE("keyed requests run only while the declarations are proven")
{
    // Guards against serving revoked keys on a gateway that is partitioned or was suspended.
    auto access = provenAccess();
    CHECK(access.decide("Bearer k", 100, at(4.5)).grant);
    const auto late = access.decide("Bearer k", 100, at(4.6));
    CHECK(late.refusal == AccessRefusal::DeclarationsUnproven);
    CHECK_FALSE(late.grant);
    access.addProof({RowVersion(8), at(4.6)}); // a version that isn't received yet
    CHECK(access.decide("Bearer k", 100, at(4.7)).refusal == AccessRefusal::DeclarationsUnproven);
    access.rowReceived(RowVersion(8));
    CHECK(access.decide("Bearer k", 100, at(4.7)).grant);
}

TEST_CASE("an undeclared key is refused as unknown only with a recent proof of the declarations")
{
    // Guards against a 401 for a key that was added while this gateway couldn't learn of it.
    auto access = provenAccess();
    CHECK(access.decide("Bearer other", 100, at(1)).refusal == AccessRefusal::KeyUnknown);
    CHECK(access.decide("Bearer other", 100, at(3)).refusal == AccessRefusal::DeclarationsUnproven);
    CHECK(access.decide(std::nullopt, 100, at(1)).refusal == AccessRefusal::KeyMissing);
    CHECK(access.decide("Basic k", 100, at(1)).refusal == AccessRefusal::KeyMalformed);
}

TEST_CASE("a request whose key is revoked while it waits isn't sent")
{
    // Guards against queued requests, retries and resumed streams that run after the revocation of their key.
    auto access = provenAccess();
    const auto decision = access.decide("Bearer k", 100, at(1));
    REQUIRE(decision.grant);
    CHECK(access.confirm(*decision.grant, at(1)) == AccessRefusal::None);
    CHECK(access.confirm(*decision.grant, at(5)) == AccessRefusal::DeclarationsUnproven);
    access.adopt(trafficWith({accountWith("asha", "k2")}), at(2));
    CHECK(access.confirm(*decision.grant, at(2)) == AccessRefusal::KeyUnknown);
    access.adopt(trafficWith({accountWith("bilal", "k")}), at(2)); // the key now belongs to another account
    CHECK(access.confirm(*decision.grant, at(2)) == AccessRefusal::KeyUnknown);
}

TEST_CASE("the cost of a request that didn't run is refunded to its account")
{
    // Guards against accounts that are refused below their limit because overloaded targets rejected their requests.
    auto access = provenAccess(1000);
    const auto first = access.decide("Bearer k", 900, at(0));
    REQUIRE(first.grant);
    CHECK(access.decide("Bearer k", 900, at(0)).refusal == AccessRefusal::OverLimit);
    access.refund(*first.grant, at(0));
    CHECK(access.decide("Bearer k", 900, at(0)).grant);
}
