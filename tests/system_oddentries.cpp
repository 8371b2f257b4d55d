// Entries that other programs write in a form that can't be read, at real processes of each role: none of them ends a process or hides the other entries.
#include "tests/harness_cluster.h"
#include "tests/harness_gateways.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace KingCup;

namespace
{

constexpr std::size_t Depth = 60000;

auto nested(std::size_t depth) -> std::string
{
    return std::string(depth, '[') + std::string(depth, ']');
}

auto targetRow(const std::string &address, const std::string &slots, const std::string &more = "") -> std::string
{
    return R"({"service":"ledger","address":")" + address + R"(","zone":"north","state":"ready","sequence":1,"born":7,"slots":)" + slots + more + "}";
}

} // namespace

TEST_CASE("odd rows of another writer end no gateway, and each gateway goes on following the store")
{
    // Guards against a row that ends each gateway that reads it, or that makes the page unreadable in which it stands.
    Site site({.gateways = 2, .runners = 1, .instances = 2, .models = 1});
    const std::vector<Json> odd {
        {{"asWritten", true}, {"value", nested(Depth)}},
        {{"asWritten", true}, {"value", R"({"a":)" + nested(Depth) + "}"}},
        {{"asWritten", true}, {"value", "1e400"}},
        {{"asWritten", true}, {"value", "{\"slots\":1e400}"}},
        {{"asWritten", true}, {"value", "99999999999999999999999999"}},
        {{"asWritten", true}, {"bytes", {'"', 0xff, '"'}}},
        {{"value", nested(Depth)}},
        {{"value", R"({"peers":)" + nested(Depth) + "}"}},
        {{"value", targetRow("127.0.0.1:1", "1e400")}},
        {{"value", targetRow("127.0.0.1:1", "18446744073709551615")}},
        {{"value", targetRow("127.0.0.1:1", "4", R"(,"models":)" + nested(Depth))}},
        {{"value", targetRow("127.0.0.1:70000", "64")}},
        {{"value", targetRow("127.0.0.1:-1", "64")}},
        {{"value", targetRow("127.0.0.1:0", "64")}},
        {{"value", targetRow("1.2.3.400:90", "64")}},
        {{"value", targetRow("host:90", "64")}},
        {{"value", R"({"peers":"127.0.0.1:70000","zone":"north","processor":1e400})"}},
        {{"value", R"({"peers":"127.0.0.1:1","zone":"north","processor":1e308})"}},
        {{"value", R"({"peers":"host:90","zone":"north","processor":-1})"}},
        {{"value", R"({"peers":"1.2.3.400:90","zone":7})"}},
    };
    const auto isRunning = [&](const std::string &id) {
        return !site.process(id).exitCode().has_value();
    };
    for (const std::string table : {"servers", "kingcup-entries"}) {
        for (std::size_t i = 0; i < odd.size(); ++i) {
            auto command = odd[i];
            command["part"] = "row";
            command["table"] = table;
            command["key"] = "odd-" + std::to_string(i);
            site.platform(command);
            const auto change = i % 2 == 0 ? "add-route" : "drop-route";
            site.platform({{"part", "operator"}, {"change", change}});
            for (int gateway : {1, 2}) {
                INFO("table " << table << " row " << i << " gateway " << gateway);
                site.waitFor(
                    change, [&] { return (site.call(gateway, {.path = "/extra/x"})->status == 200) == (i % 2 == 0); }, Duration::seconds(2));
                CHECK(site.call(gateway, {.path = "/read/x"})->status == 200);
                CHECK(site.stream(gateway, "m1")->isWhole());
            }
            REQUIRE(isRunning("gw-1"));
            REQUIRE(isRunning("gw-2"));
        }
    }
    // A gateway that starts reads all of them in one page.
    for (const std::string id : {"gw-1", "gw-2"}) {
        site.process(id).send(SIGKILL);
        site.waitForExit(id);
        site.start(id);
        site.waitFor(id + " is ready", [&] { return site.isReady(id == "gw-1" ? 1 : 2); });
        for (int i = 0; i < 20; ++i) {
            CHECK(site.call(id == "gw-1" ? 1 : 2, {.path = "/read/x"})->status == 200);
        }
    }
}

TEST_CASE("odd values in the gateways' own rows end no gateway")
{
    // Guards against a gateway that ends, or stops serving, when another program overwrites a row that gateways keep in the store for themselves.
    Site site({.gateways = 2, .runners = 2, .instances = 1, .models = 1});
    REQUIRE(site.stream(1, "m1")->isWhole());
    const std::vector<Json> odd {
        {{"asWritten", true}, {"value", nested(Depth)}},
        {{"asWritten", true}, {"value", "1e400"}},
        {{"value", nested(Depth)}},
        {{"value", ""}},
        {{"value", std::string(100000, 'x')}},
        {{"value", std::string("\x0a\x7f\x0a\x7f\x12\x01\x00", 7)}},
    };
    const auto rows = site.truth()["store"]["rows"];
    REQUIRE(rows.is_object());
    int overwritten = 0;
    for (const auto &value : odd) {
        for (const auto &[table, keys] : rows.items()) {
            if (!table.starts_with("kingcup-")) {
                continue;
            }
            for (const auto &[key, row] : keys.items()) {
                auto command = value;
                command.update({{"part", "row"}, {"table", table}, {"key", key}});
                site.platform(command);
                ++overwritten;
            }
        }
        site.sleep(Duration::millis(700));
        for (const int gateway : {1, 2}) {
            INFO("gateway " << gateway << " value " << value.dump().substr(0, 60));
            CHECK(site.call(gateway, {.path = "/read/x"})->status == 200);
            site.waitFor("a stream", [&] { return site.stream(gateway, "m1")->isWhole(); });
            REQUIRE_FALSE(site.process("gw-" + std::to_string(gateway)).exitCode().has_value());
        }
    }
    CHECK(overwritten >= 3 * static_cast<int>(odd.size()));
}

TEST_CASE("a deeply nested or invalid completion gets an error, and the entry's other requests end well")
{
    // Guards against a caller that ends an entry, with all its requests, by one body.
    Cluster cluster({.entries = 1, .runners = 2, .ledgers = 1});
    cluster.bringUp();
    const auto stream = cluster.beginCompletion(1, "sun", "goes on", 60);
    const auto post = [&](const std::string &body) {
        return cluster.call(1, {.method = "POST", .path = "/v1/completions", .headers = {{"content-type", "application/json"}}, .body = body});
    };
    for (const auto *field : {"x", "prompt", "messages", "stop"}) {
        for (const std::size_t depth : {std::size_t {2000}, Depth, std::size_t {1000000}}) {
            const auto answer = post(R"({"model":"sun",")" + std::string(field) + "\":" + nested(depth) + "}");
            INFO(field << " " << depth);
            CHECK(answer->status == 400);
            CHECK(answer->json().value("code", "") == "json-too-deep");
        }
    }
    CHECK(post(R"({"model":"sun","x":1e400})")->status == 400);
    CHECK(post("{\"model\":\"sun\",\"x\":\"\xff\"}")->status == 400);
    cluster.waitFor("the stream ends", [&] { return stream->done; });
    CHECK(stream->isWholeStream());
    CHECK(stream->outcome() == "delivered");
    CHECK_FALSE(cluster.process("entry-1").exitCode().has_value());
}

TEST_CASE("odd entries of the host list end no entry or agent, and hide no other host")
{
    // Guards against processes that see none of the hosts because of one entry, and don't learn of new ones.
    Cluster cluster({.entries = 2, .runners = 2, .ledgers = 1});
    cluster.bringUp();
    cluster.fault({{"part", "hosts"}, {"mode", "odd"}});
    cluster.sleep(Duration::seconds(2));
    // Processes that start now know the others only from this list.
    cluster.kill("entry-2");
    cluster.start("entry-2");
    cluster.kill("runner-1");
    cluster.start("runner-1");
    cluster.waitFor("entry-2 serves", [&] { return cluster.complete(2, "sun", "hello", 2)->outcome() == "delivered"; });
    CHECK(cluster.debit(2, "odd-hosts", "asha", 1)->outcome() == "delivered");
    for (const auto *id : {"entry-1", "entry-2", "runner-1", "runner-2", "ledger-1"}) {
        INFO(id);
        CHECK_FALSE(cluster.process(id).exitCode().has_value());
    }
    checkInvariants(cluster);
}
