#include "agent/claimtask.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);

/// A table that commits every transaction, asynchronously.
auto committingTable(EventLoop &loop, int &version) -> TableAccess
{
    TableAccess table;
    table.transact = [&](const std::string &, const std::vector<TableOp> &, const std::function<void(const TransactResult &)> &done) {
        loop.post([&version, done] { done({.outcome = TransactOutcome::Committed, .version = RowVersion(static_cast<std::uint64_t>(++version))}); });
    };
    return table;
}

auto settings() -> ClaimSettings
{
    ClaimSettings settings;
    settings.claimant = "a-1";
    settings.retention = [](const ServiceName &) {
        return Duration::seconds(60);
    };
    settings.wallMillis = [] {
        return std::int64_t {1000};
    };
    return settings;
}

} // namespace

TEST_CASE("a caller that leaves before its claim is written leaves no open claim")
{
    // A caller's connection drops just after its request arrived. If the claim stayed open, the agent would wait for it during a planned
    // stop, and the caller's next try would be answered that the request is running.
    EventLoop loop;
    int version = 0;
    ClaimTask claims(loop, committingTable(loop, version), settings());
    auto hooks = claims.hooks();
    bool decided = false;
    const auto send = hooks.begin({ServiceName("minutes"), RequestKey("k")}, loop.now() + Limit, [&](const ClaimVerdict &) { decided = true; });
    hooks.cancel(send);
    REQUIRE(loop.runUntil([&] { return version == 2 && claims.openKeys() == 0; }, Limit));
    REQUIRE_FALSE(decided);
}

TEST_CASE("a claim is won, run and recorded")
{
    EventLoop loop;
    int version = 0;
    ClaimTask claims(loop, committingTable(loop, version), settings());
    auto hooks = claims.hooks();
    std::vector<ClaimVerdict> verdicts;
    const ClaimKey key {ServiceName("minutes"), RequestKey("k")};
    const auto recordVerdict = [&](const ClaimVerdict &verdict) {
        verdicts.push_back(verdict);
    };
    const auto send = hooks.begin(key, loop.now() + Limit, recordVerdict);
    REQUIRE(loop.runUntil([&] { return !verdicts.empty(); }, Limit));
    REQUIRE(std::holds_alternative<ForwardSend>(verdicts.front()));
    hooks.runEnded(send, RunOutcome::Answered, {.status = 201, .headers = {}, .body = "done"});
    hooks.begin(key, loop.now() + Limit, recordVerdict);
    REQUIRE(loop.runUntil([&] { return verdicts.size() == 2 && claims.openKeys() == 0; }, Limit));
    REQUIRE(std::get<AnswerFromRecord>(verdicts.back()).record.body == "done");
}
