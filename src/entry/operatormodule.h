// Loads the operators' module into an entry, so that a process without it carries no gRPC.
#pragma once

#include "core/result.h"
#include "operator/operatorapi.h"

#include <memory>
#include <string>

namespace KingCup
{

/// The module's file: `setting` if it is given, otherwise kingcup-operator.so beside the executable.
auto operatorModulePath(const std::string &setting) -> std::string;

/// Loads the module and starts its server. The module stays loaded until the process ends: gRPC's threads outlive a server.
auto startOperatorServer(const std::string &modulePath, const OperatorOptions &options, const OperatorHooks &hooks) -> Result<std::unique_ptr<OperatorServer>>;

} // namespace KingCup
