#include "commands.h"

#include <iostream>

namespace KingCup
{

auto runHelp(const Arguments & /*arguments*/) -> ExitCode
{
    std::cout << "Usage: kingcupctl [OPTIONS] COMMAND [OPERAND]\n\nCommands:\n";
    for (const auto &command : commands()) {
        constexpr std::size_t Column = 20;
        auto usage = command.name + " " + command.operands;
        usage.resize(std::max(Column, usage.size() + 1), ' ');
        std::cout << "  " << usage << command.summary << "\n";
    }
    std::cout << "\n" << optionsDescription() << "\n";
    std::cout << "Servers are also read from the variable KINGCUP_SERVERS (IP:PORT,IP:PORT).\n\n"
                 "Exit codes:\n"
                 "  0  done\n"
                 "  1  diff found differences\n"
                 "  2  the command line is wrong, or a log file can't be read\n"
                 "  3  refused: the input has findings, a drain was refused, or no log line matches; nothing was changed\n"
                 "  4  conflict: another revision came first; nothing was changed\n"
                 "  5  unknown: the change may not have been applied, or not everywhere; repeat the command with --change-id\n"
                 "  6  unreachable: the call failed, or the entry couldn't reach the store; apply has changed nothing\n";
    return ExitCode::Ok;
}

auto runCompletion(const Arguments & /*arguments*/) -> ExitCode
{
    std::string words;
    for (const auto &command : commands()) {
        words += command.name + " ";
    }
    for (const auto &option : optionsDescription().options()) {
        words += "--" + option->long_name() + " ";
    }
    std::cout << "_kingcupctl()\n"
                 "{\n"
                 "    local current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
                 "    COMPREPLY=($(compgen -W \""
              << words << "\" -- \"$current\") $(compgen -d -- \"$current\"))\n"
              << "}\n"
                 "complete -o filenames -F _kingcupctl kingcupctl\n";
    return ExitCode::Ok;
}

} // namespace KingCup
