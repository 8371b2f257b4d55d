// The subcommands of kingcupctl.
#pragma once

#include "arguments.h"

#include <functional>
#include <string>
#include <vector>

namespace KingCup
{

struct Command {
    std::string name;
    std::string operands; ///< as help shows them, e.g. "FOLDER"
    int operandCount = 0;
    bool needsServer = true;
    std::string summary;
    std::function<ExitCode(const Arguments &)> run;
};

/// All commands, in the order in which help lists them.
auto commands() -> const std::vector<Command> &;

// Changes and what they are made from (changecommands.cpp).
auto runApply(const Arguments &arguments) -> ExitCode;
auto runDiff(const Arguments &arguments) -> ExitCode;
auto runCheck(const Arguments &arguments) -> ExitCode;
auto runDrain(const Arguments &arguments) -> ExitCode;

// What the system says (viewcommands.cpp).
auto runGet(const Arguments &arguments) -> ExitCode;
auto runStatus(const Arguments &arguments) -> ExitCode;
auto runWatch(const Arguments &arguments) -> ExitCode;
auto runExplain(const Arguments &arguments) -> ExitCode;

// What logs say (logcommands.cpp).
auto explainFromLogs(const Arguments &arguments) -> ExitCode;

// About the tool itself (helpcommands.cpp).
auto runHelp(const Arguments &arguments) -> ExitCode;
auto runCompletion(const Arguments &arguments) -> ExitCode;

} // namespace KingCup
