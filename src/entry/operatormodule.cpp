#include "entry/operatormodule.h"

#include <dlfcn.h>
#include <filesystem>

namespace KingCup
{

namespace
{

constexpr auto ModuleFile = "kingcup-operator.so";

} // namespace

auto operatorModulePath(const std::string &setting) -> std::string
{
    if (!setting.empty()) {
        return setting;
    }
    std::error_code error;
    const auto executable = std::filesystem::read_symlink("/proc/self/exe", error);
    return (executable.parent_path() / ModuleFile).string();
}

auto startOperatorServer(const std::string &modulePath, const OperatorOptions &options, const OperatorHooks &hooks) -> Result<std::unique_ptr<OperatorServer>>
{
    void *module = dlopen(modulePath.c_str(), RTLD_NOW | RTLD_LOCAL);
    if (module == nullptr) {
        return Error {ErrorCode::Unavailable, dlerror()};
    }
    const auto create = reinterpret_cast<CreateOperatorServer>(dlsym(module, CreateOperatorServerName));
    if (create == nullptr) {
        return Error {ErrorCode::InvalidInput, modulePath + " is not the operators' module"};
    }
    std::string error;
    std::unique_ptr<OperatorServer> server(create(options, hooks, error));
    if (server == nullptr) {
        return Error {ErrorCode::Unavailable, error};
    }
    return server;
}

} // namespace KingCup
