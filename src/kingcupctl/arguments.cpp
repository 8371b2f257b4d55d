#include "arguments.h"

#include "settings/valueparsers.h"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>
#include <cstdlib>

namespace KingCup
{

namespace
{

namespace options = boost::program_options;

constexpr int DefaultTimeoutSeconds = 30;
constexpr auto ServersVariable = "KINGCUP_SERVERS";

auto hiddenOptions() -> options::options_description
{
    options::options_description hidden;
    hidden.add_options()("command", options::value<std::string>())("operands", options::value<std::vector<std::string>>());
    return hidden;
}

auto serverTexts(const options::variables_map &values) -> std::vector<std::string>
{
    if (values.count("server") > 0) {
        return values["server"].as<std::vector<std::string>>();
    }
    const char *variable = std::getenv(ServersVariable);
    return variable == nullptr ? std::vector<std::string>() : splitList(variable);
}

auto readServers(const options::variables_map &values, ParsedArguments &parsed) -> void
{
    for (const auto &text : serverTexts(values)) {
        const auto server = parseEndpoint(text);
        if (!server.error.empty()) {
            parsed.error = "--server: " + server.error;
        }
        parsed.arguments.servers.push_back(server.value);
    }
}

auto readValues(const options::variables_map &values, ParsedArguments &parsed) -> void
{
    auto &arguments = parsed.arguments;
    const auto text = [&](const char *name) {
        return values.count(name) > 0 ? values[name].as<std::string>() : std::string();
    };
    arguments.command = text("command");
    if (values.count("operands") > 0) {
        arguments.operands = values["operands"].as<std::vector<std::string>>();
    }
    arguments.tls = {text("certificate"), text("key"), text("authority")};
    if (values.count("log") > 0) {
        arguments.logs = values["log"].as<std::vector<std::string>>();
    }
    arguments.changeId = text("change-id");
    arguments.author = text("author");
    arguments.json = values.count("json") > 0;
    arguments.wait = values.count("wait") > 0;
    arguments.undo = values.count("undo") > 0;
    arguments.help = values.count("help") > 0;
    arguments.hasExpected = values.count("expect") > 0;
    arguments.expected = arguments.hasExpected ? values["expect"].as<std::uint64_t>() : 0;
    arguments.until = values.count("until") > 0 ? values["until"].as<std::uint64_t>() : 0;
    arguments.timeout = Duration::seconds(values["timeout"].as<int>());
    if (arguments.timeout <= Duration()) {
        parsed.error = "--timeout must be above 0";
    }
    readServers(values, parsed);
}

} // namespace

auto optionsDescription() -> options::options_description
{
    options::options_description visible("Options");
    auto add = visible.add_options();
    add("server,s",
        options::value<std::vector<std::string>>()->composing(),
        "IP:PORT of an entry's operators port; repeat the option for further entries to try");
    add("json,j", "print JSON instead of tables");
    add("timeout,t", options::value<int>()->default_value(DefaultTimeoutSeconds), "seconds to wait for an answer, and for --wait");
    add("wait,w", "apply: show progress until the revision is in force everywhere");
    add("expect", options::value<std::uint64_t>(), "apply: the revision that the set was made against; default: the newest");
    add("change-id", options::value<std::string>(), "apply: repeat a change whose outcome is unknown");
    add("author", options::value<std::string>(), "apply: author that is recorded with the change");
    add("until", options::value<std::uint64_t>(), "watch: end once this revision is in force everywhere");
    add("log",
        options::value<std::vector<std::string>>()->composing(),
        "explain: a log file to read instead of calling a server; repeat the option for the files of other hosts");
    add("undo", "drain: let the target take work again");
    add("certificate", options::value<std::string>(), "PEM file of the operator's certificate");
    add("key", options::value<std::string>(), "PEM file of its private key");
    add("authority", options::value<std::string>(), "PEM file of the authority that signs the entries' certificates");
    add("help,h", "show help");
    return visible;
}

auto parseArguments(int count, const char *const *texts) -> ParsedArguments
{
    ParsedArguments parsed;
    options::options_description all;
    all.add(optionsDescription()).add(hiddenOptions());
    options::positional_options_description positions;
    positions.add("command", 1).add("operands", -1);
    try {
        options::variables_map values;
        options::store(options::command_line_parser(count, texts).options(all).positional(positions).run(), values);
        readValues(values, parsed);
    } catch (const options::error &error) {
        parsed.error = error.what();
    }
    return parsed;
}

} // namespace KingCup
