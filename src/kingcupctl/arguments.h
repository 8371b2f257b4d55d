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

/// Exit codes, stable for scripts.
enum class ExitCode {
    Ok = 0,
    Differs = 1, ///< diff found differences
    Usage = 2, ///< the command line is wrong, or a log file can't be read
    Refused = 3, ///< the input or the change has findings, a drain was refused, or no log line matches; nothing was changed
    Conflict = 4, ///< another revision was accepted first; nothing was changed
    Unknown = 5, ///< the change may or may not have been applied, or may not be in force everywhere yet
    Unreachable = 6, ///< the call failed, e.g. because no entry answered, or the entry couldn't reach the store; `apply` has changed nothing
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
    std::uint64_t expected = 0; ///< revision that the set to apply is based on, if hasExpected
    std::uint64_t until = 0; ///< watch: end once this revision is in force; 0: never
    std::vector<std::string> logs; ///< explain: log files, from any number of hosts
    std::string changeId;
    std::string author;
    Duration timeout;
};

/// The options, for parsing, the help text and shell completion.
auto optionsDescription() -> boost::program_options::options_description;

/// The arguments, or an error message.
struct ParsedArguments {
    Arguments arguments;
    std::string error; ///< empty if the arguments are valid
};
auto parseArguments(int count, const char *const *texts) -> ParsedArguments;

} // namespace KingCup
