// Fuzz test of parsing callers' requests: valid requests with random damage. The number of rounds and the seed are fixed, so every run is the same.
#include "entry/callerrequest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace KingCup;

namespace
{

constexpr int Rounds = 20000;

auto exampleDeclarations() -> Declarations
{
    Declarations declarations;
    Service advisory;
    advisory.name = ServiceName("advisory");
    declarations.services[advisory.name] = advisory;
    Service ledger;
    ledger.name = ServiceName("ledger");
    ledger.kind = ServiceKind::Plain;
    ledger.nonIdempotentCalls = {{"POST", "/debits"}};
    declarations.services[ledger.name] = ledger;
    Artifact version;
    version.name = ArtifactName("sun@1");
    version.service = advisory.name;
    version.size = Bytes(1);
    declarations.artifacts[version.name] = version;
    declarations.models["sun"] = Model {"sun", advisory.name, version.name, {version.name}, {}};
    return declarations;
}

template<typename T>
auto pick(std::mt19937 &random, const std::vector<T> &values) -> T
{
    return values[random() % values.size()];
}

auto damaged(std::mt19937 &random, std::string text) -> std::string
{
    for (unsigned i = random() % 4; i > 0 && !text.empty(); --i) {
        const auto at = random() % text.size();
        if (random() % 2 == 0) {
            text[at] = static_cast<char>(random());
        } else {
            text.erase(at, 1 + random() % 5);
        }
    }
    return text;
}

auto randomRequest(std::mt19937 &random) -> HttpRequest
{
    HttpRequest http;
    http.method = pick<std::string>(random, {"GET", "POST", "PUT", "", "DELETE"});
    http.path = damaged(random, pick<std::string>(random, {"/v1/completions", "/v1/chat/completions", "/services/ledger/debits", "/services/ledger", "/", ""}));
    http.query = damaged(random, pick<std::string>(random, {"", "a=1&b=2"}));
    http.body = damaged(random,
                        pick<std::string>(random,
                                          {R"({"model":"sun","prompt":"hello","stream":true,"max_tokens":5})",
                                           R"({"model":"sun@1","messages":[{"role":"user","content":"hi"}]})",
                                           R"({"model":["sun"],"prompt":{"a":[]},"stream":"yes","max_tokens":-1e99})",
                                           R"([[[[[[{"model":null}]]]]]])",
                                           R"({"model":"sun","prompt":)" + std::string(1U << (random() % 20U), '['),
                                           R"({"model":"sun","x":1e400,"prompt":[1,{"a":2}]})",
                                           "minutes=5",
                                           ""}));
    for (const auto &name : callerHeaderNames()) {
        if (random() % 2 == 0) {
            http.headers.push_back(
                {name, damaged(random, pick<std::string>(random, {"interactive", "100", "-5", "99999999999999999999", "key-1", "\xff\xfe"}))});
        }
    }
    return http;
}

} // namespace

TEST_CASE("fuzz: a request is either parsed or yields a problem that can be sent as an answer")
{
    const auto declarations = exampleDeclarations();
    std::mt19937 random(4);
    int understood = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto http = randomRequest(random);
        const auto read = readCallerRequest(http, RequestId("r"), declarations, {});
        if (const auto *problem = std::get_if<Problem>(&read)) {
            REQUIRE(problem->status >= 400);
            REQUIRE(problem->status < 500);
            REQUIRE(problem->outcome == CallerOutcome::NotRun);
            REQUIRE(nlohmann::json::accept(problemBody(*problem, RequestId("r"))));
            continue;
        }
        const auto &request = std::get<CallerRequest>(read);
        ++understood;
        REQUIRE(declarations.services.count(request.service) == 1);
        REQUIRE(request.budget > Duration());
        REQUIRE_FALSE((request.mustRunOnce && request.isIdempotent));
        REQUIRE_FALSE((request.mustRunOnce && request.key.isEmpty()));
    }
    REQUIRE(understood > Rounds / 100);
    REQUIRE(understood < Rounds);
}
