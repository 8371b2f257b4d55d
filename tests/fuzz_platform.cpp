// The data of the deployment's store, operators and runners comes over a network from programs that others maintain. Any bytes must be
// refused or read with all values in their ranges, and must never crash a gateway: all gateways read the same rows at the same time, so
// all would crash.
#include "net/httpreader.h"
#include "platform/protocol.h"
#include "tests/mutator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace KingCup;

namespace
{

constexpr int Rounds = 4000;

const std::string Document = R"({"version":7,"routes":[{"name":"chat","host":"a.example","prefix":"/c/","service":"s","route_kind":"streaming",)"
                             R"("timeout_ms":30000,"goal_ms":900,"gap_target_ms":500,"priority":1,"attempts":3,"resumable":true,)"
                             R"("split":[{"service":"s","weight":3},{"service":"t","weight":1}]}],)"
                             R"("services":[{"name":"s","health_path":"/h","max_conns":9,"engine":{"slots":8,"kv_capacity":90000,"weights_mb":80000,)"
                             R"("adapter_slots":4,"loads_per_s":0.5,"host_mb":1,"disk_mb":2,"models":[{"name":"m1","weights_mb":20000,"load_s":4,)"
                             R"("warm_s":1,"disk_s":2,"adapters":9,"adapter_mb":200}]}}],)"
                             R"("limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":9000}})";
const std::string Row = R"({"service":"s","address":"127.0.0.1:9000","zone":"z1","state":"ready","slots":8,"version":"1","sequence":12,"born":5,)"
                        R"("remaining_ms":900,"cold_left_ms":10,"models":[{"name":"m1","version":2,"adapters":["a1"]}],)"
                        R"("available":{"in_memory":["m1"],"on_disk":["m2"]}})";
const std::string Report = R"({"born":5,"models":[{"name":"m1","version":2,"adapters":["a1"]}],"pending":["m1/a2@3"],"busy":true,"sequence":4,)"
                           R"("waiting":1,"running":2,"kv_used":300,"kv_total":90000,"available":{"in_memory":["m1"],"on_disk":[]}})";

const MutatorOptions Mutations {.maxEdits = 4,
                                .maxPieceLength = 12,
                                .dictionary = {"null",
                                               "-1",
                                               "1e308",
                                               "-1e308",
                                               "99999999999999999999",
                                               "[]",
                                               "{}",
                                               "\"\"",
                                               "true",
                                               "[[[[[[[[",
                                               "\xff\xfe",
                                               std::string(1, '\0'),
                                               "0.5",
                                               "1e400",
                                               std::string(2000, '[')},
                                .replacesValues = true};

/// The text with random mutations, which depend on the round only.
auto mutated(int round, const std::string &text) -> std::string
{
    return Mutator(static_cast<std::uint32_t>(round), Mutations).mutate(text);
}

auto isSpan(Duration time) -> bool
{
    return time >= Duration() && time <= Duration::seconds(1e9);
}

auto isInRange(const EngineDeclaration &engine) -> bool
{
    const auto &models = engine.models();
    return engine.slots >= 0 && engine.kvTokens >= 0 && engine.adapterSlots >= 0 && engine.loadsPerSecond >= 0 && engine.memory >= Bytes()
        && std::all_of(models.begin(), models.end(), [](const ModelDeclaration &model) {
               return model.weights >= Bytes() && model.adapterWeights >= Bytes() && model.adapters >= 0 && isSpan(model.loadTime)
                   && isSpan(model.diskLoadTime);
           });
}

auto isInRange(const Route &route) -> bool
{
    const auto &services = route.services;
    return isSpan(route.timeout) && isSpan(route.goal) && isSpan(route.pauseGoal) && route.attempts >= 1 && route.priority >= 0 && !services.empty()
        && std::all_of(services.begin(), services.end(), [](const WeightedService &shared) { return shared.weight >= 0; });
}

} // namespace

TEST_CASE("mutated operators' documents are refused, or read with values in their ranges")
{
    REQUIRE(Platform::decodeTraffic(Document).isValid());
    int read = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto checked = Platform::decodeTraffic(mutated(round, Document));
        read += checked.isValid() ? 1 : 0;
        INFO("round " << round);
        for (const auto &route : checked.value.routes) {
            REQUIRE(isInRange(route));
        }
        for (const auto &[name, service] : checked.value.services) {
            REQUIRE(service.maxConnections >= 0);
            REQUIRE((!service.engine || isInRange(*service.engine)));
        }
        const auto &limits = checked.value.limits;
        REQUIRE((limits.headBytes > 0 && limits.bodyBytes > 0 && limits.bodyBytes < (1ULL << 40U) && isSpan(limits.headTimeout) && isSpan(limits.idleTimeout)));
    }
    REQUIRE(read > Rounds / 10);
}

TEST_CASE("mutated rows are refused, or read with values in their ranges")
{
    REQUIRE(Platform::decodeTarget("r1", Row));
    int read = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto target = Platform::decodeTarget("r1", mutated(round, Row));
        read += target ? 1 : 0;
        INFO("round " << round);
        REQUIRE((!target
                 || (target->slots >= 0 && target->address.port > 0 && isSpan(target->warmupRemaining) && isSpan(target->terminatesIn.value_or(Duration())))));
    }
    REQUIRE(read > Rounds / 20);
}

TEST_CASE("mutated reports are refused, or read with values in their ranges")
{
    REQUIRE(Platform::decodeReport(Report));
    int read = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto report = Platform::decodeReport(mutated(round, Report));
        read += report ? 1 : 0;
        INFO("round " << round);
        REQUIRE((!report || (report->waiting >= 0 && report->running >= 0 && report->kvUsed >= 0 && report->kvTotal >= 0)));
    }
    REQUIRE(read > Rounds / 20);
}

TEST_CASE("mutated pages and answers of the store are read or refused")
{
    const auto format = Platform::makeStoreFormat();
    const std::string page = R"({"rows":[{"key":"a","ver":3,"value":"e30="},{"key":"b","ver":4,"tombstone":true}],"ver":9,"has_more":false})";
    int read = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto bytes = mutated(round, page);
        const auto decoded = format.decodePage(bytes);
        read += decoded ? 1 : 0;
        REQUIRE((!decoded || decoded->rows.size() < 100));
        format.decodeChangeVersion(bytes);
    }
    REQUIRE(read > Rounds / 20);
}

TEST_CASE("rows beside one with any value are read")
{
    // Guards against one entry of another writer that hides all others, or ends each process that reads it.
    const auto format = Platform::makeStoreFormat();
    std::mt19937 random(7);
    const auto oddValue = [&]() -> std::string {
        constexpr std::size_t MaxDepth = 1000000;
        const auto depth = std::size_t {1} << (random() % 20U);
        const auto levels = std::min(depth + random() % depth, MaxDepth);
        switch (random() % 5) {
        case 0:
            return std::string(levels, '[') + std::string(levels, ']');
        case 1: {
            std::string text;
            for (std::size_t i = 0; i < levels; ++i) {
                text += "{\"a\":";
            }
            return text + "1" + std::string(levels, '}');
        }
        case 2:
            return (random() % 2 == 0 ? "-" : "") + std::to_string(random()) + "e" + std::to_string(random() % 100000);
        case 3: {
            std::string text = "\"";
            for (unsigned i = random() % 20; i > 0; --i) {
                const auto byte = static_cast<char>(random());
                text += byte == '"' || byte == '\\' ? '?' : byte;
            }
            return text + "\"";
        }
        default:
            return std::string(1 + random() % 400, '9');
        }
    };
    for (int round = 0; round < Rounds / 10; ++round) {
        const auto odd = oddValue();
        const auto bytes
            = R"({"rows":[{"key":"a","ver":3,"value":"e30="},{"key":"odd","ver":4,"value":)" + odd + R"(},{"key":"b","ver":5,"value":"e30="}],"ver":9})";
        const auto decoded = format.decodePage(bytes);
        INFO("round " << round << " " << odd.substr(0, 60));
        REQUIRE(decoded);
        REQUIRE(decoded->rows.size() == 3);
        REQUIRE(decoded->rows.front().value == "{}");
        REQUIRE(decoded->rows.back().value == "{}");
        REQUIRE_FALSE(Platform::decodeTarget("odd", decoded->rows[1].value));
        REQUIRE_FALSE(Platform::decodeTarget("odd", odd));
        Platform::decodeReport(odd);
        REQUIRE_FALSE(Platform::decodeTraffic(odd).isValid());
    }
}

TEST_CASE("request heads with mutated values are read without negative numbers")
{
    HttpHead example;
    example.method = "POST";
    example.target = "/c/x";
    example.status = 503;
    const std::vector<HttpHeader> known {{"Attempt-Id", "t1"},
                                         {"Deadline-Ms", "900"},
                                         {"Model", "m1/a2"},
                                         {"Token-Usage", "1200,300"},
                                         {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                                         {"Last-Event-Id", "17"},
                                         {"Server-Stamp", "x"},
                                         {"Not-Executed", "1"},
                                         {"Instance-Id", "r1"},
                                         {"Server-Limit", "2.5"},
                                         {"Retry-After", "3"}};
    for (int round = 0; round < Rounds; ++round) {
        auto head = example;
        for (const auto &[name, value] : known) {
            head.headers.push_back({name, mutated(round, value)});
        }
        const auto traits = Platform::readRequest(head);
        REQUIRE((traits.promptTokens >= 0 && traits.maxOutputTokens >= 0));
        REQUIRE_FALSE(traits.timeBudget.value_or(Duration()) < Duration());
        const auto answer = Platform::readAnswer(head);
        REQUIRE_FALSE(answer.requestLimit.value_or(0) < 0);
        REQUIRE_FALSE(answer.retryAfter.value_or(Duration()) < Duration());
    }
}
