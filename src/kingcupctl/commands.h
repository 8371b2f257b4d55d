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
    std::string operands; ///< for the help text, e.g. "FOLDER"
    int operandCount = 0;
    bool needsServer = true;
    std::string summary;
    std::function<ExitCode(const Arguments &)> run;
};

/// All commands, in the order of the help text.
auto commands() -> const std::vector<Command> &;

// Declarations and changes (changecommands.cpp).
auto runApply(const Arguments &arguments) -> ExitCode;
auto runDiff(const Arguments &arguments) -> ExitCode;
auto runCheck(const Arguments &arguments) -> ExitCode;
auto runDrain(const Arguments &arguments) -> ExitCode;

// State of the running system (viewcommands.cpp).
auto runGet(const Arguments &arguments) -> ExitCode;
auto runStatus(const Arguments &arguments) -> ExitCode;
auto runWatch(const Arguments &arguments) -> ExitCode;
auto runExplain(const Arguments &arguments) -> ExitCode;

// Log files (logcommands.cpp).
auto explainFromLogs(const Arguments &arguments) -> ExitCode;

// Help and shell completion (helpcommands.cpp).
auto runHelp(const Arguments &arguments) -> ExitCode;
auto runCompletion(const Arguments &arguments) -> ExitCode;

} // namespace KingCup
