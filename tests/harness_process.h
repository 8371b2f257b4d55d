// Real processes for the system tests: started by path, signalled and ended by process id, their output kept in a file.
#pragma once

#include "core/units.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace KingCup
{

/// Ends its process when it goes, whatever became of the test.
class ChildProcess
{
public:
    /// Starts `arguments[0]`; standard output and error go to `logFile`, which is appended to.
    ChildProcess(std::vector<std::string> arguments, std::string logFile, const std::vector<std::string> &environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    auto pid() const -> pid_t;
    auto log() const -> std::string;
    auto logTail(std::size_t lines) const -> std::string;
    auto send(int signal) const -> void;
    /// The exit code once the process has ended (128 + signal if a signal ended it).
    auto exitCode() -> std::optional<int>;

private:
    pid_t m_pid = -1;
    std::string m_logFile;
    std::optional<int> m_exit;
};

/// A port of 127.0.0.1 that nobody listens on, outside the range that outgoing connections use, and that no other test process is given.
auto freePort() -> int;
/// The first of `count` such ports in a row.
auto freePorts(int count) -> int;

/// A fresh folder, removed with all in it.
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
