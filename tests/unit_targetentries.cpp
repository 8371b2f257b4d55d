// Discovery entries and reports of targets, as the platform's contract allows them: entries of other writers, and targets that restart under their id.
#include "gateway/targetdirectory.h"
#include "platform/protocol.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace KingCup;

namespace
{

using Json = nlohmann::json;

auto entry() -> Json
{
    return {
        {"service", "chat"},
        {"address", "127.0.0.1:9000"},
        {"zone", "north"},
        {"state", "ready"},
        {"slots", 64},
        {"sequence", 12},
        {"born", 1764837000123U},
        {"version", "7"},
        {"cold_left_ms", 0},
        {"remaining_ms", 900},
        {"models", Json::array({{{"name", "m1"}, {"version", 2}, {"adapters", Json::array({"a1"})}}})},
        {"available", {{"in_memory", Json::array({"m1"})}, {"on_disk", Json::array()}}},
    };
}

auto names(const Json &document) -> bool
{
    return Platform::decodeTarget("r1", document.dump()).has_value();
}

/// Values of every other type than `value`.
auto otherTypes(const Json &value) -> std::vector<Json>
{
    std::vector<Json> others;
    for (const Json &other : {Json("text"), Json(true), Json(7.5), Json(-3), Json::array({1}), Json {{"a", 1}}}) {
        if (other.type() != value.type()) {
            others.push_back(other);
        }
    }
    return others;
}

struct DirectoryFixture {
    EventLoop loop;
    EventLog log {loop, {.linesPerSecond = 0, .burst = 0}}; // drops all lines
    Protocol protocol = Platform::makeProtocol();
    HttpPool pool {loop};
    Dispatcher dispatcher {DispatchOptions {}};
    TargetNames names;
    TargetDirectory directory {{loop, log, protocol, pool, dispatcher, names},
                               {[](const auto &) {},
                                [](const auto &) {},
                                [] { return Duration(); },
                                [] {
                                    return false;
                                }}};
};

auto report() -> Json
{
    return {
        {"born", 1764837000123U}, {"models", Json::array({{{"name", "m1"}, {"version", 2}, {"adapters", Json::array()}}})}, {"sequence", 4}, {"busy", false}};
}

} // namespace

TEST_CASE("an entry that lacks a field names no target")
{
    // Guards against requests to whatever listens at the address of an entry that another program has written.
    REQUIRE(names(entry()));
    for (const auto *field : {"service", "address", "zone", "state", "slots", "sequence"}) {
        INFO(field);
        auto lacking = entry();
        lacking.erase(field);
        CHECK_FALSE(names(lacking));
        lacking[field] = nullptr;
        CHECK_FALSE(names(lacking));
    }
    // Targets leave these out. Those of the first deployments never state when they were started.
    for (const auto *field : {"born", "version", "cold_left_ms", "remaining_ms", "models", "available"}) {
        INFO(field);
        auto lacking = entry();
        lacking.erase(field);
        CHECK(names(lacking));
    }
}

TEST_CASE("an entry with a field of another type names no target")
{
    // Guards against a field that is read as 0 or as empty: an entry without a start time looks like the same start as the next one.
    const auto whole = entry();
    for (const auto &[field, value] : whole.items()) {
        for (const auto &other : otherTypes(value)) {
            auto changed = whole;
            changed[field] = other;
            INFO(changed.dump());
            const bool isNumber = value.is_number() && other.is_number(); // times needn't be whole
            CHECK(names(changed) == (isNumber && (field == "cold_left_ms" || field == "remaining_ms")));
        }
    }
}

TEST_CASE("an entry with an undocumented state, or bytes that can't be read, names no target")
{
    for (const auto *state : {"", "READY", "starting", "stopped"}) {
        auto changed = entry();
        changed["state"] = state;
        CHECK_FALSE(names(changed));
    }
    const auto text = entry().dump();
    CHECK_FALSE(Platform::decodeTarget("r1", ""));
    CHECK_FALSE(Platform::decodeTarget("r1", std::string("\xff\xfe\0\1", 4)));
    CHECK_FALSE(Platform::decodeTarget("r1", text.substr(0, text.size() / 2)));
    CHECK_FALSE(Platform::decodeTarget("r1", std::string(100000, '[')));
    CHECK_FALSE(Platform::decodeTarget("r1", "{\"service\":\"\xff\xfe\"," + text.substr(1)));
}

TEST_CASE("an entry whose address is no IPv4 address and port names no target, and other entries stay in force")
{
    // Guards against connections to whatever such an address is taken for, and against a target whose entry was overwritten by another program.
    DirectoryFixture fixture;
    std::uint64_t version = 0;
    const auto write = [&](const std::string &key, const std::string &value) {
        fixture.directory.applyRows({{key, RowVersion(++version), value, false}});
    };
    for (const auto *address :
         {"", "nowhere", "nowhere:9000", ":9000", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:9000x", "1.2.3:80", "[::1]:80"}) {
        INFO(address);
        write("r1", entry().dump());
        write("r2", entry().dump());
        CHECK(fixture.dispatcher.targets().size() == 2);
        auto changed = entry();
        changed["address"] = address;
        write("r1", changed.dump());
        write("r3", changed.dump());
        CHECK(fixture.dispatcher.targets() == std::vector<TargetId> {TargetId("r2")});
    }
}

TEST_CASE("a target that restarts under its id is another incarnation, whatever its counters say")
{
    // Guards against counters that go on from the start before.
    auto restarted = entry();
    restarted["born"] = 1764837099000U;
    restarted["sequence"] = 1;
    const auto before = Platform::decodeTarget("r1", entry().dump());
    const auto after = Platform::decodeTarget("r1", restarted.dump());
    REQUIRE((before && after));
    CHECK(before->incarnation.id == after->incarnation.id);
    CHECK(before->incarnation != after->incarnation);
}

TEST_CASE("a report with an unreadable time of the target's start is not used")
{
    // Guards against a report of the start before that is taken for the target's present state.
    const auto whole = Platform::decodeReport(report().dump());
    REQUIRE(whole);
    CHECK(whole->startedAtMillis == 1764837000123U);
    auto older = report(); // of a target that never states it
    older.erase("born");
    const auto unstated = Platform::decodeReport(older.dump());
    REQUIRE(unstated);
    CHECK(unstated->startedAtMillis == 0);
    for (const Json &born : {Json("1764837000123"), Json(1764837000123.5), Json(-1), Json::array()}) {
        auto changed = report();
        changed["born"] = born;
        INFO(changed.dump());
        CHECK_FALSE(Platform::decodeReport(changed.dump()));
    }
}

TEST_CASE("a page of entries is read although some of them can't be")
{
    // Guards against one entry of another writer that makes all others unreadable.
    const auto page = Platform::makeStoreFormat().decodePage(
        R"({"ver":9,"rows":[{"key":"r1","ver":3,"value":"e30="},7,null,{"key":5,"ver":"x","value":"%%"},{"key":"r2","ver":4,"value":{"a":1}},[],{"key":"r3","ver":5}]})");
    REQUIRE(page);
    std::vector<std::string> keys;
    for (const auto &row : page->rows) {
        if (!row.key.empty()) {
            keys.push_back(row.key);
        }
    }
    CHECK(keys == std::vector<std::string> {"r1", "r2", "r3"});
    CHECK(page->rows.front().value == "{}");
}
