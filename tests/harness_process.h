// Child processes, ports and temporary folders for the system tests.
#pragma once

#include "core/units.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace KingCup
{

/// A child process whose output is kept in a file. The destructor kills it if it still runs.
class ChildProcess
{
public:
    /// Starts `arguments[0]`; standard output and error go to `logFile`, which is appended to. `maxDescriptors`: its limit on open files; 0: that of the test.
    ChildProcess(std::vector<std::string> arguments, std::string logFile, const std::vector<std::string> &environment = {}, int maxDescriptors = 0);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    auto pid() const -> pid_t;
    auto log() const -> std::string; ///< all output so far
    auto logTail(std::size_t lines) const -> std::string;
    auto send(int signal) const -> void;
    /// The exit code, or 128 + signal if a signal ended the process; empty while it runs.
    auto exitCode() -> std::optional<int>;
    auto memory() const -> std::size_t; ///< resident bytes; 0 once it has ended
    auto peakMemory() const -> std::size_t; ///< the most resident bytes since its start; 0 once it has ended
    auto openDescriptors() const -> int;

private:
    pid_t m_pid = -1;
    std::string m_logFile;
    std::optional<int> m_exit;
};

/// A free port of 127.0.0.1, outside the range that Linux uses for outgoing connections. No other test process gets the same one.
auto freePort() -> int;
/// The first of `count` consecutive ports of the kind that freePort() returns.
auto freePorts(int count) -> int;

/// A new, empty folder. The destructor removes it with its content.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    auto operator=(const TemporaryFolder &) -> TemporaryFolder & = delete;

    auto path() const -> const std::string &;
    auto write(const std::string &name, const std::string &text) const -> std::string; ///< returns the file's path

private:
    std::string m_path;
};

} // namespace KingCup
