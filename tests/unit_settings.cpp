#include "settings/daemonsettings.h"
#include "settings/inifile.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace KingCup;

namespace
{

constexpr auto EntryText = "[process]\n"
                           "role = entry\n"
                           "id = entry-1\n"
                           "zone = round-rock\n"
                           "[listen]\n"
                           "callers = 127.0.0.1:8080\n"
                           "peers = 127.0.0.1:8081\n"
                           "[platform]\n"
                           "table = 127.0.0.1:9001\n"
                           "objects = 127.0.0.1:9002\n"
                           "hosts = 127.0.0.1:9003\n";

auto lines(const Findings &findings) -> std::vector<int>
{
    std::vector<int> numbers;
    for (const auto &finding : findings) {
        numbers.push_back(finding.location.line);
    }
    return numbers;
}

} // namespace

TEST_CASE("sections and keys keep their order and lines")
{
    const auto parsed = parseIni("a.ini", "; comment\n[one]\na = 1 ; note\n\n[empty]\n[two]\n  b=x = y\n");
    REQUIRE(parsed.isValid());
    REQUIRE(parsed.value.sections.size() == 3);
    REQUIRE(parsed.value.sections[0].values[0].value == "1");
    REQUIRE(parsed.value.sections[0].values[0].line == 3);
    REQUIRE(parsed.value.sections[1].name == "empty");
    REQUIRE(parsed.value.sections[1].line == 5);
    REQUIRE(parsed.value.sections[2].values[0].key == "b");
    REQUIRE(parsed.value.sections[2].values[0].value == "x = y");
}

TEST_CASE("all syntax errors of a file are reported together")
{
    // If only the first error were reported, an operator would find the next one only after correcting it.
    const auto parsed = parseIni("a.ini", "stray = 1\n[one\n[two]\nnonsense\na = 1\na = 2\n[two]\nlong = " + std::string(400, 'x') + "\n= 3\n");
    REQUIRE(lines(parsed.findings) == std::vector {1, 2, 4, 6, 7, 8, 9});
    REQUIRE(toString(parsed.findings[3]) == "a.ini:6: key 'a' stands twice, first in line 5");
}

TEST_CASE("a section name that the parser would truncate is a finding")
{
    // inih truncates long section names silently, so that two models with a common prefix could become one.
    const auto name = std::string(80, 'm');
    REQUIRE(lines(parseIni("a.ini", "[" + name + "]\n").findings) == std::vector {1});
}

TEST_CASE("settings have their defaults and units")
{
    const auto settings = parseDaemonSettings("entry.ini", EntryText);
    REQUIRE(settings.isValid());
    REQUIRE(settings.value.process.role == ProcessRole::Entry);
    REQUIRE(settings.value.listen.callers == Endpoint {"127.0.0.1", 8080});
    REQUIRE_FALSE(settings.value.listen.operators.has_value());
    REQUIRE(settings.value.limits.maxBody == 8388608);
    REQUIRE(settings.value.timing.heartbeat == Duration::millis(500));
    REQUIRE(settings.value.policy.placement == PlacementPolicy::Objective);
}

TEST_CASE("a file with five mistakes gives five findings, each with its line")
{
    const auto text = std::string(EntryText) + "[limits]\nmax-body-kb = 0\nmax-queue = many\nmax-qeue = 3\n[tls]\ncallers = yes\n[nonsense]\n";
    const auto settings = parseDaemonSettings("entry.ini", text);
    REQUIRE(lines(settings.findings) == std::vector {13, 14, 15, 17, 18});
    REQUIRE(toString(settings.findings[0]) == "entry.ini:13: max-body-kb: 0 is out of range (1 to 1048576)");
    REQUIRE(toString(settings.findings[2]) == "entry.ini:15: unknown key 'max-qeue' in [limits]");
}

TEST_CASE("missing keys that a role requires are findings")
{
    const auto settings = parseDaemonSettings("agent.ini", "[process]\nrole = agent\nid = runner-1\nzone = dha\n");
    REQUIRE(settings.findings.size() == 5);
    REQUIRE(parseDaemonSettings("none.ini", "").findings.size() == 1);
}

TEST_CASE("TLS without its files is a finding")
{
    const auto settings = parseDaemonSettings("entry.ini", std::string(EntryText) + "[tls]\npeers = true\n");
    REQUIRE(settings.findings.size() == 2);
}

TEST_CASE("a TLS file that can't be read is found before the process serves anyone")
{
    // If a mistyped path were found only at the first handshake, the process would report itself healthy and refuse every caller.
    std::string path = std::filesystem::temp_directory_path() / "kingcup-settings-XXXXXX";
    close(mkstemp(path.data()));
    std::ofstream(path) << EntryText << "[tls]\ncallers = true\ncertificate = " << path << "\nkey = /nowhere/key.pem\n";
    const auto settings = loadDaemonSettings(path);
    std::remove(path.c_str());
    REQUIRE(settings.findings.size() == 1);
    REQUIRE(settings.findings[0].message == "file '/nowhere/key.pem' named in [tls] can't be read");
}

TEST_CASE("the commented settings file has all keys of the table")
{
    // An operator starts from the printed file and sets only the keys without a default, so the rest of it must be valid.
    const auto settings = parseDaemonSettings("printed.ini", commentedSettings());
    REQUIRE(settings.findings.size() == 1);
    REQUIRE(settings.findings[0].message == "key 'role' in [process] is missing");
    for (const auto &key : settingDescriptions()) {
        REQUIRE(commentedSettings().find(key.key + " =") != std::string::npos);
    }
}

TEST_CASE("docs/SETTINGS.md is current")
{
    // To update the page: kingcupd --print-settings-page > docs/SETTINGS.md
    REQUIRE(readTextFile(std::string(KINGCUP_SOURCE) + "/docs/SETTINGS.md") == settingsPage());
}
