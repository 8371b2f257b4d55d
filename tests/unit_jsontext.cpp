// JSON of other programs is parsed up to a fixed depth, and split into entries without parsing them.
#include "core/jsontext.h"
#include "core/plan.h"
#include "core/runonce.h"
#include "entry/callerrequest.h"
#include "platform/protocol.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto nested(std::size_t depth) -> std::string
{
    return std::string(depth, '[') + std::string(depth, ']');
}

auto page(const std::string &oddValue) -> std::string
{
    return R"({"now_ms":1,"ver":9,"rows":[{"key":"r1","ver":3,"value":"e30="},{"key":"odd","ver":4,"value":)" + oddValue
        + R"(},{"key":"r3","ver":5,"value":"e30="}]})";
}

} // namespace

TEST_CASE("texts nested deeper than the limit aren't parsed")
{
    // Guards against a process that ends when such a value is copied or serialized, which needs stack for each level.
    CHECK_FALSE(parseJson(nested(MaxJsonDepth)).is_discarded());
    CHECK(parseJson(nested(MaxJsonDepth + 1)).is_discarded());
    CHECK(parseJson(nested(1000000)).is_discarded());
    CHECK(parseJson(std::string(1000000, '{')).is_discarded());
    CHECK(findExcessiveNesting(nested(MaxJsonDepth + 1)) == MaxJsonDepth);
    CHECK_FALSE(findExcessiveNesting("[\"" + nested(MaxJsonDepth * 2) + "\\\"[[\"]"));
    CHECK_FALSE(parseJson("[\"" + nested(MaxJsonDepth * 2) + "\"]").is_discarded());
    CHECK_FALSE(planFromJson(R"({"targets":)" + nested(1000000) + "}"));
    CHECK_FALSE(parseClaimRow(R"({"record":)" + nested(1000000) + "}"));
}

TEST_CASE("objects and arrays are split at their outermost level, however their values look")
{
    const std::string text = R"( {"a" : [1,{"b":"}]"}] , "c\u0064":1e400,"x":"\"," ,"a":2 , "bad":)"
                             "\xff"
                             R"(} )";
    const auto members = splitJsonObject(text);
    REQUIRE(members);
    REQUIRE(members->size() == 5);
    CHECK(members->at(0).value == R"([1,{"b":"}]"}])");
    CHECK(members->at(1).name == "cd");
    CHECK(findJsonMember(*members, "cd") == "1e400");
    CHECK(findJsonMember(*members, "a") == "2");
    CHECK(findJsonMember(*members, "x") == R"("\",")");
    CHECK(findJsonMember(*members, "none").empty());
    const auto elements = splitJsonArray("[ {} ,[[]], \"]\" ]");
    REQUIRE(elements);
    CHECK(*elements == std::vector<std::string_view> {"{}", "[[]]", "\"]\""});
    CHECK(splitJsonArray("[]")->empty());
    CHECK(splitJsonObject("{ }")->empty());
    for (const auto *broken :
         {"", " ", "{", "}", "[", "{]", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{\"a\":1}}", "{\"a\":[}", "{\"a\":\"}", "{} x", "7"}) {
        INFO(broken);
        CHECK_FALSE(splitJsonObject(broken));
    }
    for (const auto *broken : {"", "[", "[1", "[1,]", "[,1]", "[1]]", "[1] 2", "{}", "[\"]"}) {
        INFO(broken);
        CHECK_FALSE(splitJsonArray(broken));
    }
}

TEST_CASE("a row that can't be read hides no other row of its page, and ends no process")
{
    // Guards against gateways that all end, or all stop following the store, because of one row of another writer.
    const auto format = Platform::makeStoreFormat();
    for (const auto &odd : {nested(60000),
                            nested(1000000),
                            std::string("1e400"),
                            std::string("-1e999"),
                            std::string("\"\xff\""),
                            std::string("\"\\ud800\""),
                            std::string("99999999999999999999999"),
                            R"({"a":)" + nested(60000) + "}",
                            std::string("[1e400]")}) {
        INFO(odd.substr(0, 40));
        const auto decoded = format.decodePage(page(odd));
        REQUIRE(decoded);
        REQUIRE(decoded->rows.size() == 3);
        CHECK(decoded->rows.at(0).value == "{}");
        CHECK(decoded->rows.at(1).key == "odd");
        CHECK(decoded->rows.at(1).version == RowVersion(4));
        CHECK_FALSE(Platform::decodeTarget("odd", decoded->rows.at(1).value));
        CHECK(decoded->rows.at(2).value == "{}");
        CHECK(decoded->upTo == RowVersion(9));
    }
    const auto skipped = format.decodePage(R"({"ver":9,"rows":[{"key":"r1","ver":3},{"key":"x","ver":1e400},{"key":")"
                                           "\xff"
                                           R"(","ver":2},7]})");
    REQUIRE(skipped);
    CHECK(skipped->rows.size() == 1);
    CHECK(skipped->skippedRows == 3);
}

TEST_CASE("a row with more slots than any target has names no target")
{
    // Guards against a row of another writer that draws the requests of all targets.
    const auto row = [](const std::string &slots) {
        return R"({"service":"s","address":"127.0.0.1:9000","zone":"z1","state":"ready","sequence":1,"slots":)" + slots + "}";
    };
    CHECK(Platform::decodeTarget("r1", row("64")));
    CHECK(Platform::decodeTarget("r1", row("100000")));
    for (const auto *slots : {"100001", "18446744073709551615", "1e400", "-1"}) {
        INFO(slots);
        CHECK_FALSE(Platform::decodeTarget("r1", row(slots)));
    }
}

TEST_CASE("a completion is passed on as its caller wrote it, with the model's version in place of its name")
{
    Declarations declarations;
    Service service;
    service.name = ServiceName("advisory");
    declarations.services[service.name] = service;
    Artifact version;
    version.name = ArtifactName("sun@1");
    version.service = service.name;
    version.size = Bytes(1);
    declarations.artifacts[version.name] = version;
    declarations.models["sun"] = Model {"sun", service.name, version.name, {version.name}, {}};
    const auto read = [&](const std::string &body) {
        HttpRequest http;
        http.method = "POST";
        http.path = "/v1/completions";
        http.body = body;
        return readCallerRequest(http, RequestId("r"), declarations, {});
    };
    const auto bodyOf = [&](const std::string &body) {
        const auto result = read(body);
        return std::holds_alternative<CallerRequest>(result) ? std::get<CallerRequest>(result).body : std::get<Problem>(result).code;
    };
    CHECK(bodyOf(R"({"z":1.50, "model" : "sun","prompt":"\u0041"})") == R"({"z":1.50, "model" : "sun@1","prompt":"\u0041"})");
    CHECK(bodyOf(R"({"model":"no such","mod\u0065l":"sun"})") == R"({"model":"sun@1","mod\u0065l":"sun@1"})");
    CHECK(bodyOf(R"({"model":"sun","x":1e400})") == "invalid-json");
    CHECK(bodyOf("{\"model\":\"sun\",\"x\":\"\xff\"}") == "invalid-json");
    CHECK(bodyOf(R"({"model":"sun","x":)" + nested(MaxJsonDepth - 1) + "}").size() > MaxJsonDepth);
    // Guards against an entry that ends while it serializes such a body again.
    for (const std::size_t depth : {MaxJsonDepth, std::size_t {20000}, std::size_t {60000}, std::size_t {1000000}}) {
        for (const auto *field : {"x", "prompt", "messages", "model", "stream"}) {
            CHECK(bodyOf(R"({"model":"sun",")" + std::string(field) + "\":" + nested(depth) + "}") == "json-too-deep");
        }
    }
    CHECK(std::get<CallerRequest>(read(R"({"model":"sun","stream": true })")).wantsStream);
    CHECK_FALSE(std::get<CallerRequest>(read(R"({"model":"sun","stream":"true"})")).wantsStream);
}
