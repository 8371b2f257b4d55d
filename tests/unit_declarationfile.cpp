#include "core/declarationcodec.h"
#include "settings/declarationfile.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr auto SmallText = "[service advisory]\n"
                           "priority = interactive\n"
                           "time-budget-ms = 5000\n"
                           "[service ledger]\n"
                           "kind = plain\n"
                           "non-idempotent = POST /debits, PUT /extensions\n"
                           "claim-retention-s = 3600\n"
                           "[model sun]\n"
                           "service = advisory\n"
                           "current = 2\n"
                           "[version sun@1]\n"
                           "size-gb = 14\n"
                           "[version sun@2]\n"
                           "size-gb = 16\n"
                           "[adapter austin]\n"
                           "base = sun@2\n"
                           "size-gb = 0.3\n"
                           "[target runner-1]\n"
                           "service = advisory\n"
                           "fencing = checked\n"
                           "longest-order-delay-ms = 12000\n"
                           "[policy]\n"
                           "move-cost = 20\n"
                           "horizon-s = 30\n";

auto texts(const Findings &findings) -> std::vector<std::string>
{
    std::vector<std::string> all;
    for (const auto &finding : findings) {
        all.push_back(toString(finding));
    }
    return all;
}

} // namespace

TEST_CASE("a set is read with its units and inherited services")
{
    const auto read = parseDeclarations("all.ini", SmallText);
    REQUIRE(texts(read.findings).empty());
    const auto &set = read.value;
    const auto &ledger = set.services.at(ServiceName("ledger"));
    REQUIRE(isNonIdempotent(ledger, "POST", "/debits"));
    REQUIRE(isNonIdempotent(ledger, "PUT", "/extensions/7"));
    REQUIRE_FALSE(isNonIdempotent(ledger, "GET", "/debits"));
    REQUIRE(ledger.claimRetention == Duration::seconds(3600));
    REQUIRE(set.models.at("sun").versions == std::vector {ArtifactName("sun@2"), ArtifactName("sun@1")});
    REQUIRE(set.artifacts.at(ArtifactName("austin")).service == ServiceName("advisory"));
    REQUIRE(set.artifacts.at(ArtifactName("sun@1")).size == Bytes::gigabytes(14));
    REQUIRE(set.targets.at(TargetId("runner-1")).fencing == FencingSupport::Checked);
    REQUIRE(set.policy.horizon == Duration::seconds(30));
}

TEST_CASE("five mistakes in one file give five findings")
{
    const auto read = parseDeclarations("bad.ini",
                                        std::string(SmallText)
                                            + "[adapter dallas]\n"
                                              "base = moon@1\n"
                                              "size-gb = 0.3\n"
                                              "[version sun@3]\n"
                                              "size-gb = large\n"
                                              "[target runner-2]\n"
                                              "service = nobody\n"
                                              "fencign = checked\n"
                                              "not a line\n");
    REQUIRE(texts(read.findings)
            == std::vector<std::string> {
                "bad.ini:25: artifact dallas: unknown base model 'moon@1'",
                "bad.ini:29: size-gb: 'large' is not a number",
                "bad.ini:30: target runner-2: unknown service 'nobody'",
                "bad.ini:32: unknown key 'fencign' in [target runner-2]",
                "bad.ini:33: neither a section, a key with a value, nor a comment",
            });
}

TEST_CASE("one unknown service is one finding, not one for each artifact of its model")
{
    auto text = std::string(SmallText);
    text.replace(text.find("service = advisory"), 18, "service = advisery");
    REQUIRE(texts(parseDeclarations("a.ini", text).findings) == std::vector<std::string> {"a.ini:8: model sun: unknown service 'advisery'"});
}

TEST_CASE("a set converted to JSON and back is unchanged")
{
    const auto set = parseDeclarations("a.ini", SmallText).value;
    const auto json = declarationsToJson(set);
    const auto back = declarationsFromJson(json);
    REQUIRE(back.has_value());
    REQUIRE(declarationsToJson(back.value()) == json);
    REQUIRE(back.value().models.at("sun").versions == set.models.at("sun").versions);
    REQUIRE(checkDeclarations(back.value()).empty());
    REQUIRE(isSameSet(set, parseDeclarations("elsewhere.ini", std::string("; moved down\n") + SmallText).value));
}

TEST_CASE("malformed JSON is refused")
{
    // A snapshot may be truncated or not be one at all. If it were read as an empty set, every model would be unloaded.
    REQUIRE(declarationsFromJson("{\"services\":").has_error());
    REQUIRE(declarationsFromJson("[]").has_error());
    REQUIRE(declarationsFromJson("{}").has_error());
    REQUIRE(declarationsFromJson(R"({"services":{"a":[]},"models":{},"artifacts":{},"targets":{},"policy":{}})").has_error());
    REQUIRE(declarationsFromJson(R"({"services":{"a":{"share":"x"}},"models":{},"artifacts":{},"targets":{},"policy":{}})").has_error());
}

TEST_CASE("differences name what was added, changed and removed")
{
    const auto from = parseDeclarations("a.ini", SmallText).value;
    auto to = from;
    to.policy.moveCost = 1;
    to.targets.erase(TargetId("runner-1"));
    to.artifacts.at(ArtifactName("austin")).size = Bytes::gigabytes(0.5);
    to.services.emplace(ServiceName("extra"), Service {.name = ServiceName("extra")});
    std::vector<std::string> lines;
    for (const auto &change : differences(from, to)) {
        lines.push_back(std::to_string(static_cast<int>(change.kind)) + " " + change.what);
    }
    REQUIRE(lines == std::vector<std::string> {"0 service extra", "1 artifact austin", "2 target runner-1", "1 policy"});
    REQUIRE(differences(from, from).empty());
}
