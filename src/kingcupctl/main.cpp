// kingcupctl: the operators' command-line tool. See `kingcupctl help`.
#include "commands.h"

#include <algorithm>
#include <iostream>

namespace KingCup
{

namespace
{

auto reportUsageError(const std::string &message) -> ExitCode
{
    std::cerr << "kingcupctl: " << message << "; see kingcupctl help\n";
    return ExitCode::Usage;
}

auto run(int count, const char *const *texts) -> ExitCode
{
    const auto [arguments, error] = parseArguments(count, texts);
    if (!error.empty()) {
        return reportUsageError(error);
    }
    if (arguments.help) {
        return runHelp(arguments);
    }
    if (arguments.command.empty()) {
        return reportUsageError("no command was given");
    }
    const auto &all = commands();
    const auto &name = arguments.command;
    const auto command = std::find_if(all.begin(), all.end(), [&](const Command &known) { return known.name == name; });
    if (command == all.end()) {
        return reportUsageError("unknown command '" + name + "'");
    }
    if (arguments.operands.size() != static_cast<std::size_t>(command->operandCount)) {
        return reportUsageError(name + " takes " + (command->operands.empty() ? "no operand" : command->operands));
    }
    const bool readsLogs = name == "explain" && !arguments.logs.empty();
    if (command->needsServer && arguments.servers.empty() && !readsLogs) {
        return reportUsageError("no server was named; use --server IP:PORT");
    }
    return command->run(arguments);
}

} // namespace

} // namespace KingCup

auto main(int count, char **texts) -> int
{
    return static_cast<int>(KingCup::run(count, texts));
}
