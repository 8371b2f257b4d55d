// Loads the operators' module, a shared library that contains the gRPC server. Processes that don't load it need no gRPC.
#pragma once

#include "core/result.h"
#include "operator/operatorapi.h"

#include <memory>
#include <string>

namespace KingCup
{

/// The module's file: `setting` unless it is empty, otherwise kingcup-operator.so in the executable's folder.
auto operatorModulePath(const std::string &setting) -> std::string;

/// Loads the module and starts its server. The module stays loaded until the process ends: gRPC's threads outlive a server.
auto startOperatorServer(const std::string &modulePath, const OperatorOptions &options, const OperatorHooks &hooks) -> Result<std::unique_ptr<OperatorServer>>;

} // namespace KingCup
