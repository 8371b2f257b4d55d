#include "tests/harness_process.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace KingCup
{

namespace
{

constexpr int SignalExitCodeBase = 128;
constexpr int FileMode = 0644;
// The ports lie below the range that Linux uses for outgoing connections. Each test process reserves one slot of them, so that tests can run in parallel.
constexpr int FirstPort = 10000;
constexpr int PortsPerSlot = 500;
constexpr int Slots = 40;

auto pointersTo(std::vector<std::string> &texts) -> std::vector<char *>
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

auto canListen(int port) -> bool
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on); // allows ports with connections in TIME_WAIT
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool ok = ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0 && ::listen(socket, 1) == 0;
    ::close(socket);
    return ok;
}

/// Reserves a slot of ports by locking its file, and returns the slot's first port. The kernel releases the lock when the process ends in any way.
auto claimPortSlot() -> int
{
    for (int tries = 0; tries < Slots; ++tries) {
        const int slot = (static_cast<int>(::getpid()) + tries) % Slots;
        const auto file = (std::filesystem::temp_directory_path() / ("kingcup-test-ports-" + std::to_string(slot))).string();
        const int descriptor = ::open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, FileMode);
        if (descriptor >= 0 && ::flock(descriptor, LOCK_EX | LOCK_NB) == 0) {
            return FirstPort + slot * PortsPerSlot;
        }
        ::close(descriptor);
    }
    throw std::runtime_error("all port slots are in use by other test processes");
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> arguments, std::string logFile, const std::vector<std::string> &environment, int maxDescriptors)
    : m_logFile(std::move(logFile))
{
    std::vector<std::string> variables(environment);
    for (char **variable = environ; *variable != nullptr; ++variable) {
        variables.emplace_back(*variable);
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, FileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    auto argumentPointers = pointersTo(arguments);
    auto variablePointers = pointersTo(variables);
    // The child inherits the limit, which holds for this process only while it starts the child.
    rlimit own {};
    ::getrlimit(RLIMIT_NOFILE, &own);
    const rlimit lowered {maxDescriptors > 0 ? static_cast<rlim_t>(maxDescriptors) : own.rlim_cur, own.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &lowered);
    const int error = posix_spawn(&m_pid, arguments.front().c_str(), &actions, nullptr, argumentPointers.data(), variablePointers.data());
    ::setrlimit(RLIMIT_NOFILE, &own);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("can't start " + arguments.front());
    }
}

ChildProcess::~ChildProcess()
{
    if (!exitCode()) {
        ::kill(m_pid, SIGKILL); // also ends a process that SIGSTOP has stopped
        ::waitpid(m_pid, nullptr, 0);
    }
}

namespace
{

/// A field of /proc/PID/status in bytes.
auto statusField(pid_t pid, const std::string &name) -> std::size_t
{
    constexpr std::size_t BytesPerKilobyte = 1024;
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(name + ":")) {
            return std::stoul(line.substr(name.size() + 1)) * BytesPerKilobyte;
        }
    }
    return 0;
}

} // namespace

auto ChildProcess::memory() const -> std::size_t
{
    return statusField(m_pid, "VmRSS");
}

auto ChildProcess::peakMemory() const -> std::size_t
{
    return statusField(m_pid, "VmHWM");
}

auto ChildProcess::openDescriptors() const -> int
{
    std::error_code error;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(m_pid) + "/fd", error);
    return error ? 0 : static_cast<int>(std::distance(begin(open), end(open)));
}

auto ChildProcess::pid() const -> pid_t
{
    return m_pid;
}

auto ChildProcess::log() const -> std::string
{
    std::ifstream in(m_logFile);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

auto ChildProcess::logTail(std::size_t lines) const -> std::string
{
    const auto text = log();
    auto start = text.size();
    while (start > 0 && lines > 0) {
        const auto end = text.rfind('\n', start - 1);
        start = end == std::string::npos ? 0 : end;
        --lines;
    }
    return text.substr(start);
}

auto ChildProcess::send(int signal) const -> void
{
    if (!m_exit) {
        ::kill(m_pid, signal);
    }
}

auto ChildProcess::exitCode() -> std::optional<int>
{
    int status = 0;
    if (!m_exit && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitCodeBase + WTERMSIG(status);
    }
    return m_exit;
}

auto freePort() -> int
{
    return freePorts(1);
}

auto freePorts(int count) -> int
{
    static const int FirstOfSlot = claimPortSlot();
    static int next = 0;
    int found = 0;
    for (int tries = 0; tries < 2 * PortsPerSlot; ++tries) {
        next = (next + 1) % PortsPerSlot;
        found = next > 0 && canListen(FirstOfSlot + next) ? found + 1 : 0;
        if (found == count) {
            return FirstOfSlot + next - count + 1;
        }
    }
    throw std::runtime_error("no free ports left in the slot of this process");
}

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "kingcup-test-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("can't create a temporary folder");
    }
    m_path = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

auto TemporaryFolder::path() const -> const std::string &
{
    return m_path;
}

auto TemporaryFolder::write(const std::string &name, const std::string &text) const -> std::string
{
    auto file = m_path + "/" + name;
    std::ofstream(file) << text;
    return file;
}

} // namespace KingCup
