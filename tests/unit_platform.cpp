#include "platform/hostlistclient.h"
#include "platform/objectclient.h"
#include "platform/tableclient.h"

#include <catch2/catch.hpp>
#include <map>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);
using Exchange = std::shared_ptr<HttpExchange>;

/// A fake platform whose answers the test defines, and a client of it.
struct Platform {
    EventLoop loop;
    std::vector<std::string> requests; ///< "METHOD path?query body"
    std::function<void(const Exchange &)> answer;
    HttpServer server {loop, HttpServerOptions {.keptHeaders = {"if-match", "if-none-match"}}, [this](const Exchange &exchange) {
                           const auto &request = exchange->request();
                           requests.push_back(request.method + " " + request.path + (request.query.empty() ? "" : "?" + request.query) + " " + request.body);
                           answer(exchange);
                       }};
    HttpClient client {loop};

    auto options() const -> PlatformOptions
    {
        PlatformOptions options;
        options.server = {"127.0.0.1", server.port()};
        options.timeout = Duration::millis(300);
        options.backoff.initial = Duration::millis(5);
        options.breaker = {.failuresToOpen = 3, .pause = {.initial = Duration::millis(100), .max = Duration::millis(100)}};
        return options;
    }
    auto always(int status, const std::string &body, const HttpHeaders &headers = {}) -> void
    {
        answer = [=](const Exchange &exchange) {
            exchange->respond(status, headers, body);
        };
    }
    auto transact(TableClient &table) -> TransactResult
    {
        TransactResult result;
        bool done = false;
        table.transact(WriteId("w1"), {TableOp {.key = "k", .expect = RowVersion(3), .value = "v"}}, [&](const TransactResult &got) {
            result = got;
            done = true;
        });
        REQUIRE_FALSE(done);
        REQUIRE(loop.runUntil([&] { return done; }, Limit));
        return result;
    }
    auto read(TableClient &table, Duration deadline) -> Result<std::vector<TableRow>>
    {
        Result<std::vector<TableRow>> result = Error {};
        bool done = false;
        table.read({"k"}, deadline, [&](const auto &got) {
            result = got;
            done = true;
        });
        REQUIRE(loop.runUntil([&] { return done; }, Limit));
        return result;
    }
};

} // namespace

TEST_CASE("a transaction sends its operations and returns the outcome")
{
    Platform platform;
    const auto table = makeTableClient(platform.loop, platform.client, platform.options());
    platform.always(200, R"({"committed":true,"version":17})");
    const auto committed = platform.transact(*table);
    REQUIRE(committed.outcome == TransactOutcome::Committed);
    REQUIRE(committed.version == RowVersion(17));
    REQUIRE(platform.requests.at(0) == R"(POST /table/transact {"id":"w1","ops":[{"expect":3,"key":"k","op":"put","value":"v"}]})");

    platform.always(409, R"({"committed":false,"conflicts":[{"key":"k","version":9}]})");
    const auto conflict = platform.transact(*table);
    REQUIRE(conflict.outcome == TransactOutcome::Conflict);
    REQUIRE(conflict.conflicts.at(0).second == RowVersion(9));
}

TEST_CASE("a refused transaction is distinguished from a lost one")
{
    // A write may take effect although its answer is lost. If that were treated as refused, a debit would run twice. If a refusal were
    // treated as lost, a caller would needlessly be left without an answer.
    Platform platform;
    const auto table = makeTableClient(platform.loop, platform.client, platform.options());
    platform.always(429, R"({"code":"throttled","retryAfterMs":10})");
    auto result = platform.transact(*table);
    REQUIRE(result.outcome == TransactOutcome::Refused);
    REQUIRE(result.throttled);

    platform.always(503, "");
    result = platform.transact(*table);
    REQUIRE(result.outcome == TransactOutcome::Refused);
    REQUIRE_FALSE(result.throttled);

    platform.answer = [](const Exchange &exchange) {
        exchange->abort();
    };
    REQUIRE(platform.transact(*table).outcome == TransactOutcome::Lost);

    std::vector<Exchange> held;
    platform.answer = [&](const Exchange &exchange) {
        held.push_back(exchange);
    };
    REQUIRE(platform.transact(*table).outcome == TransactOutcome::Lost);
}

TEST_CASE("a transaction with an invalid answer counts as lost")
{
    Platform platform;
    const auto table = makeTableClient(platform.loop, platform.client, platform.options());
    for (const auto *body : {"", "not json", "[]", R"({"committed":false})", R"({"committed":"yes"})"}) {
        platform.always(200, body);
        REQUIRE(platform.transact(*table).outcome == TransactOutcome::Lost);
    }
    platform.always(500, "");
    REQUIRE(platform.transact(*table).outcome == TransactOutcome::Lost);
}

TEST_CASE("a transaction without a connection counts as refused")
{
    Platform platform;
    auto options = platform.options();
    options.server.port = 1;
    const auto table = makeTableClient(platform.loop, platform.client, options);
    REQUIRE(platform.transact(*table).outcome == TransactOutcome::Refused);
}

TEST_CASE("a read is retried until it is answered or its deadline has passed")
{
    Platform platform;
    const auto table = makeTableClient(platform.loop, platform.client, platform.options());
    platform.answer = [&](const Exchange &exchange) {
        if (platform.requests.size() < 3) {
            exchange->abort();
        } else {
            exchange->respond(200, {}, R"({"rows":[{"key":"k","version":5,"value":"text"}]})");
        }
    };
    const auto rows = platform.read(*table, Duration::seconds(10));
    REQUIRE(rows);
    REQUIRE(rows.value().at(0).value == "text");
    REQUIRE(platform.requests.size() == 3);

    platform.always(503, "");
    const auto failed = platform.read(*table, Duration::millis(50));
    REQUIRE_FALSE(failed);
    REQUIRE(failed.error().code == ErrorCode::Unavailable);
}

TEST_CASE("rows beside one that can't be read are returned, and an answer that is no list of rows isn't taken for an empty one")
{
    // Guards against a claim or a declaration that seems to be absent because of a proxy's error page, or of one row of another writer.
    Platform platform;
    const auto table = makeTableClient(platform.loop, platform.client, platform.options());
    const auto nested = std::string(1000000, '[') + std::string(1000000, ']');
    for (const auto &odd :
         {R"({"key":"odd","value":)" + nested + "}", std::string(R"({"key":"odd","value":1e400})"), std::string("{\"key\":\"odd\",\"value\":\"\xff\"}")}) {
        platform.always(200, R"({"rows":[{"key":"a","version":1,"value":"x"},)" + odd + R"(,{"key":"k","version":5,"value":"text"}],"more":false})");
        const auto rows = platform.read(*table, Duration::seconds(1));
        REQUIRE(rows);
        REQUIRE(rows.value().size() == 3);
        CHECK(rows.value().at(1).value.empty());
        CHECK(rows.value().at(2).value == "text");
    }
    for (const auto *body : {"", "<html>", "{}", R"({"rows":7})", R"({"rows":[)"}) {
        INFO(body);
        platform.always(200, body);
        CHECK_FALSE(platform.read(*table, Duration::seconds(1)));
    }
}

TEST_CASE("a scan encodes its query, and its page says whether there are more rows")
{
    Platform platform;
    const auto table = makeTableClient(platform.loop, platform.client, platform.options());
    platform.always(200, R"({"rows":[{"key":"a/1","version":2,"value":"x"}],"more":true})");
    bool done = false;
    table->scan({.prefix = "a/", .after = "a/0 &", .limit = 10}, Duration::seconds(1), [&](const Result<TablePage> &page) {
        done = true;
        REQUIRE(page);
        REQUIRE(page.value().more);
        REQUIRE(page.value().rows.at(0).key == "a/1");
    });
    REQUIRE(platform.loop.runUntil([&] { return done; }, Limit));
    REQUIRE(platform.requests.at(0) == "GET /table/scan?prefix=a/&after=a/0%20%26&limit=10 ");
}

TEST_CASE("the breaker opens after a few failures and closes once the service answers again")
{
    // Without the breaker, while the table service is down, every request that must run once would wait for the full timeout before its
    // caller gets an answer.
    Platform platform;
    const auto table = makeTableClient(platform.loop, platform.client, platform.options());
    platform.answer = [](const Exchange &exchange) {
        exchange->abort();
    };
    for (int i = 0; i < 3; ++i) {
        REQUIRE(platform.transact(*table).outcome == TransactOutcome::Lost);
    }
    REQUIRE_FALSE(table->isReachable());
    REQUIRE(platform.transact(*table).outcome == TransactOutcome::Refused);
    REQUIRE(platform.requests.size() == 3);

    platform.always(200, R"({"committed":true,"version":1})");
    auto result = platform.transact(*table);
    while (result.outcome == TransactOutcome::Refused) {
        result = platform.transact(*table);
    }
    REQUIRE(result.outcome == TransactOutcome::Committed);
    REQUIRE(table->isReachable());
}

TEST_CASE("throttling doesn't open the breaker")
{
    Platform platform;
    const auto table = makeTableClient(platform.loop, platform.client, platform.options());
    platform.always(429, "");
    for (int i = 0; i < 10; ++i) {
        platform.transact(*table);
    }
    REQUIRE(table->isReachable());
    REQUIRE(platform.requests.size() == 10);
}

TEST_CASE("calls above the limit of calls in flight are refused at once")
{
    Platform platform;
    auto options = platform.options();
    options.maxInFlight = 2;
    const auto table = makeTableClient(platform.loop, platform.client, options);
    std::vector<Exchange> held;
    platform.answer = [&](const Exchange &exchange) {
        held.push_back(exchange);
    };
    std::map<TransactOutcome, int> ends;
    for (int i = 0; i < 5; ++i) {
        table->transact(WriteId("w"), {}, [&](const TransactResult &result) { ++ends[result.outcome]; });
    }
    REQUIRE(platform.loop.runUntil([&] { return ends[TransactOutcome::Refused] == 3 && held.size() == 2; }, Limit));
    REQUIRE(platform.loop.runUntil([&] { return ends[TransactOutcome::Lost] == 2; }, Limit));
}

TEST_CASE("objects are written conditionally, and a missing one is an error")
{
    Platform platform;
    const auto objects = makeObjectClient(platform.loop, platform.client, platform.options());
    std::vector<std::string> outcomes;
    auto put = [&](const PutCondition &condition) {
        const auto before = outcomes.size();
        objects->put(
            "snapshots/1", "bytes", condition, [&](const Result<std::string> &etag) { outcomes.push_back(etag ? etag.value() : toString(etag.error().code)); });
        REQUIRE(platform.loop.runUntil([&] { return outcomes.size() > before; }, Limit));
        return outcomes.back();
    };
    platform.answer = [](const Exchange &exchange) {
        const bool isNew = headerValue(exchange->request().headers, "if-none-match") == "*";
        const bool isSame = headerValue(exchange->request().headers, "if-match") == "tag1";
        exchange->respond(isNew || isSame ? 200 : 412, {{"etag", "tag2"}}, "");
    };
    REQUIRE(put({PutCondition::Kind::Absent, ""}) == "tag2");
    REQUIRE(put({PutCondition::Kind::Matches, "tag1"}) == "tag2");
    REQUIRE(put({PutCondition::Kind::Matches, "other"}) == toString(ErrorCode::Conflict));

    platform.always(404, "");
    bool missing = false;
    objects->get(
        "snapshots/2", Duration::seconds(1), [&](const Result<StoredObject> &object) { missing = !object && object.error().code == ErrorCode::NotFound; });
    REQUIRE(platform.loop.runUntil([&] { return missing; }, Limit));
}

TEST_CASE("the host list is passed on, and a malformed one is ignored")
{
    // If a proxy's error page were read as an empty list, all hosts would seem to be gone.
    Platform platform;
    platform.always(200, R"({"hosts":[{"id":"r1","role":"agent","zone":"dha","address":"127.0.0.1:9103","state":"leaving"},{"id":"","address":"x"}]})");
    int lists = 0;
    HostListClient list(platform.loop, platform.client, {.platform = platform.options(), .period = Duration::millis(10)}, [&](const auto &) { ++lists; });
    REQUIRE(platform.loop.runUntil([&] { return lists == 2; }, Limit));
    REQUIRE(list.hosts().size() == 1);
    REQUIRE(list.hosts()[0].endpoint.port == 9103);
    REQUIRE(list.hosts()[0].leaving);

    // Guards against a process that learns of no other host because of one entry.
    platform.always(200,
                    R"({"hosts":[{"id":"odd","zone":)" + std::string(60000, '[') + std::string(60000, ']') + "},{\"id\":\"\xff\"},{\"id\":1e400}"
                        + R"(,{"id":"r2","role":"agent","zone":"dha","address":"127.0.0.1:9104","state":"live"}]})");
    REQUIRE(platform.loop.runUntil([&] { return list.hosts()[0].id == "r2"; }, Limit));
    REQUIRE(list.hosts().size() == 1);

    platform.always(200, "<html>");
    REQUIRE(platform.loop.runUntil([&] { return list.age() > Duration::millis(50); }, Limit));
    lists = 2;
    const auto asked = platform.requests.size();
    REQUIRE(platform.loop.runUntil([&] { return platform.requests.size() > asked + 3; }, Limit));
    REQUIRE(lists == 2);
    REQUIRE(list.hosts().size() == 1);
    REQUIRE(list.age() > Duration::millis(10));
}
