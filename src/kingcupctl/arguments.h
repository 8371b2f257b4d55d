// The command line of kingcupctl, and its exit codes.
#pragma once

#include "core/endpoint.h"
#include "core/units.h"

#include <boost/program_options/options_description.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace KingCup
{

/// What scripts can rely on.
enum class ExitCode {
    Ok = 0,
    Differs = 1, ///< diff found differences
    Usage = 2, ///< the command line is wrong
    Refused = 3, ///< the input or the change has findings; nothing was changed
    Conflict = 4, ///< another revision came first; nothing was changed
    Unknown = 5, ///< no answer came: the change may or may not have happened
    Unreachable = 6, ///< no entry answered; nothing was changed
};

struct Arguments {
    std::string command;
    std::vector<std::string> operands;
    std::vector<Endpoint> servers;
    TlsFiles tls;
    bool json = false;
    bool wait = false;
    bool undo = false;
    bool help = false;
    bool hasExpected = false;
    std::uint64_t expected = 0;
    std::uint64_t until = 0;
    std::vector<std::string> logs; ///< files with log lines of any hosts
    std::string changeId;
    std::string author;
    Duration timeout;
};

/// The options, for parsing, help and completion.
auto optionsDescription() -> boost::program_options::options_description;

/// The arguments, or a sentence that says what is wrong with them.
struct ParsedArguments {
    Arguments arguments;
    std::string error;
};
auto parseArguments(int count, const char *const *texts) -> ParsedArguments;

} // namespace KingCup
