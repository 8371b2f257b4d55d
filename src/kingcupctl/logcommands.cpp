#include "commands.h"
#include "output.h"

#include "core/logselection.h"

#include <fstream>
#include <iostream>

namespace KingCup
{

namespace
{

/// Calls `onLine` with each line of the files, up to the first file that can't be opened. Returns that file's name; empty: all were read.
auto forEachLine(const std::vector<std::string> &files, const std::function<void(std::string_view line)> &onLine) -> std::string
{
    for (const auto &name : files) {
        std::ifstream file(name);
        if (!file) {
            return name;
        }
        for (std::string line; std::getline(file, line);) {
            onLine(line);
        }
    }
    return {};
}

} // namespace

auto explainFromLogs(const Arguments &arguments) -> ExitCode
{
    const auto &id = arguments.operands.front();
    LogSelection selection(id);
    auto unreadable = forEachLine(arguments.logs, [&](std::string_view line) { selection.find(line); });
    if (unreadable.empty() && selection.isFound()) {
        unreadable = forEachLine(arguments.logs, [&](std::string_view line) { selection.collect(line); });
    }
    if (!unreadable.empty()) {
        std::cerr << "kingcupctl: --log: cannot read " << unreadable << "\n";
        return ExitCode::Usage;
    }
    if (!selection.isFound()) {
        std::cerr << "kingcupctl: no line is about " << id << "; log lines state ids as id=ID\n";
        return ExitCode::Refused;
    }
    TextTable table({"TIME", "HOST", "", "LINE"});
    for (const auto &line : selection.lines()) {
        table.addRow({std::to_string(line.wallMillis), line.host, line.hasRequestId ? ">" : "", line.text});
    }
    std::cout << table.toText();
    return ExitCode::Ok;
}

} // namespace KingCup
