// kingcupd: the daemon. One binary for the roles entry, agent and gateway; the role and all other settings are in its settings file.
#include "agent/agent.h"
#include "entry/entry.h"
#include "gateway/gateway.h"
#include "net/eventloop.h"
#include "net/hostresources.h"
#include "platform/protocol.h"
#include "settings/daemonsettings.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <functional>
#include <glog/logging.h>
#include <iostream>
#include <memory>

namespace
{

using namespace KingCup;
namespace Options = boost::program_options;

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitStart = 4;

auto startLogging(const LogSettings &log, const char *program) -> void
{
    if (log.directory.empty()) {
        FLAGS_logtostderr = true;
    } else {
        FLAGS_log_dir = log.directory;
    }
    FLAGS_logbufsecs = 0; // no buffering: the process may be killed at any time, and the last lines before that are needed most
    FLAGS_v = log.verbosity;
    google::InitGoogleLogging(program);
}

/// Runs the event loop with a role, which `start` creates. `reload` is called at SIGHUP; null: none.
template<typename Role>
auto runRole(const std::function<std::unique_ptr<Role>(EventLoop &loop)> &start, const std::function<void(Role &role)> &reload) -> int
{
    EventLoop loop;
    try {
        // The signals are blocked before the role is created, so that its threads inherit the mask. A thread that doesn't block SIGTERM could
        // receive it, which would kill the process with its answers unfinished.
        std::unique_ptr<Role> role;
        std::function<void()> onReload;
        if (reload) {
            onReload = [&role, &reload] {
                reload(*role);
            };
        }
        onSignals(
            loop, [&role] { role->leave(); }, onReload);
        role = start(loop);
        loop.run();
        return role->exitCode();
    } catch (const std::runtime_error &error) {
        LOG(ERROR) << "start: " << error.what();
        return ExitStart;
    }
}

auto runEntry(const DaemonSettings &settings) -> int
{
    return runRole<Entry>([&](EventLoop &loop) { return std::make_unique<Entry>(loop, settings); }, nullptr);
}

auto runAgent(const DaemonSettings &settings) -> int
{
    return runRole<Agent>([&](EventLoop &loop) { return std::make_unique<Agent>(loop, settings); }, nullptr);
}

auto runGateway(const std::string &file, const DaemonSettings &settings) -> int
{
    const auto start = [&](EventLoop &loop) {
        return std::make_unique<Gateway>(loop, settings, Platform::makeProtocol(), [file] { return loadDaemonSettings(file); });
    };
    return runRole<Gateway>(start, [](Gateway &gateway) { gateway.reload(); });
}

auto runWith(const std::string &file, bool checkOnly, const char *program) -> int
{
    const auto loaded = loadDaemonSettings(file);
    for (const auto &finding : loaded.findings) {
        std::cerr << toString(finding) << "\n";
    }
    if (!loaded.isValid()) {
        return ExitSettings;
    }
    if (checkOnly) {
        std::cout << file << ": ok\n";
        return 0;
    }
    returnLargeBlocks();
    const auto &settings = loaded.value;
    startLogging(settings.log, program);
    switch (settings.process.role) {
    case ProcessRole::Entry:
        return runEntry(settings);
    case ProcessRole::Agent:
        return runAgent(settings);
    case ProcessRole::Gateway:
        return runGateway(file, settings);
    }
    return ExitUsage;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    Options::options_description description("kingcupd: serves callers (roles entry and gateway) or a target (role agent)");
    auto add = description.add_options();
    add("help,h", "show this");
    add("settings,s", Options::value<std::string>(), "the settings file (INI)");
    add("settings-from", Options::value<std::string>(), "name of the environment variable that holds the settings file's path");
    add("check-settings", "report every finding in the settings file and exit");
    add("print-settings", "write a commented settings file with all defaults");
    add("print-settings-page", "write docs/SETTINGS.md");
    Options::variables_map given;
    try {
        Options::store(Options::parse_command_line(argc, argv, description), given);
    } catch (const Options::error &error) {
        std::cerr << "kingcupd: " << error.what() << "\n";
        return ExitUsage;
    }
    if (given.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    if (given.count("print-settings") > 0) {
        std::cout << commentedSettings();
        return 0;
    }
    if (given.count("print-settings-page") > 0) {
        std::cout << settingsPage();
        return 0;
    }
    if (given.count("settings-from") > 0) {
        const char *path = std::getenv(given["settings-from"].as<std::string>().c_str());
        return runWith(path == nullptr ? "" : path, given.count("check-settings") > 0, argv[0]);
    }
    if (given.count("settings") == 0) {
        std::cerr << "kingcupd: --settings FILE is needed; --print-settings shows one\n";
        return ExitUsage;
    }
    return runWith(given["settings"].as<std::string>(), given.count("check-settings") > 0, argv[0]);
}
