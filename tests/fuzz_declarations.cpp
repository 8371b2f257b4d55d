// Declarations and settings come from people's editors and from other processes. Corrupted text must be either read correctly or refused with findings.
#include "core/declarationcodec.h"
#include "settings/daemonsettings.h"
#include "settings/declarationfile.h"
#include "settings/inifile.h"
#include "tests/mutator.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr int Rounds = 3000;
const MutatorOptions Mutations {.dictionary
                                = {"\n", "[", "]", "=", ";", "\"", "{", "}", "\\", std::string(1, '\0'), "\xff", "-1", "1e999", "nan", std::string(300, 'x')}};

auto exampleText() -> std::string
{
    const auto folder = std::string(KINGCUP_SOURCE) + "/examples/lone-star/";
    return readTextFile(folder + "services.ini").value() + readTextFile(folder + "policy.ini").value()
        + "[model sun]\nservice = advisory\ncurrent = 1\n[version sun@1]\nsize-gb = 14\n[adapter tan]\nbase = sun@1\nsize-gb = 0.3\n"
          "[target runner-1]\nservice = advisory\nfencing = checked\nlongest-order-delay-ms = 15000\n";
}

auto lineCount(const std::string &text) -> int
{
    return static_cast<int>(std::count(text.begin(), text.end(), '\n')) + 1;
}

auto areLocationsInside(const Findings &findings, const std::string &text) -> bool
{
    return std::all_of(findings.begin(), findings.end(), [&](const Finding &finding) {
        return finding.location.line >= 0 && finding.location.line <= lineCount(text) && !finding.message.empty();
    });
}

} // namespace

TEST_CASE("corrupted declarations are read whole or have findings with locations in the file")
{
    const auto original = exampleText();
    REQUIRE(parseDeclarations("a.ini", original).isValid());
    int refused = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto text = Mutator(static_cast<std::uint32_t>(round), Mutations).mutate(original);
        const auto read = parseDeclarations("a.ini", text);
        INFO("round " << round);
        REQUIRE(areLocationsInside(read.findings, text));
        refused += read.isValid() ? 0 : 1;
        if (read.isValid()) {
            const auto json = declarationsToJson(read.value);
            const auto back = declarationsFromJson(json);
            REQUIRE(back.has_value());
            REQUIRE(declarationsToJson(back.value()) == json);
        }
    }
    REQUIRE(refused > Rounds / 10);
}

TEST_CASE("corrupted settings have findings with locations in the file")
{
    const auto original = commentedSettings() + "[process]\nrole = entry\n";
    for (int round = 0; round < Rounds; ++round) {
        const auto text = Mutator(static_cast<std::uint32_t>(round), Mutations).mutate(original);
        INFO("round " << round);
        REQUIRE(areLocationsInside(parseDaemonSettings("a.ini", text).findings, text));
    }
}

TEST_CASE("a corrupted snapshot is refused, or is a set that survives a round trip unchanged")
{
    const auto original = declarationsToJson(parseDeclarations("a.ini", exampleText()).value);
    int refused = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto read = declarationsFromJson(Mutator(static_cast<std::uint32_t>(round), Mutations).mutate(original));
        refused += read ? 0 : 1;
        if (read) {
            const auto json = declarationsToJson(read.value());
            INFO("round " << round);
            REQUIRE(declarationsFromJson(json).has_value());
            REQUIRE(declarationsToJson(declarationsFromJson(json).value()) == json);
        }
    }
    REQUIRE(refused > Rounds / 10);
}
