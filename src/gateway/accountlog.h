// Logs what a new version of the declarations changes for client accounts.
#pragma once

#include "core/accounts.h"
#include "net/eventlog.h"

namespace KingCup
{

/// Logs one line for each account that was added, changed or removed, up to a limit. For the keys of an account, only their number is logged.
auto logAccountChanges(EventLog &log, const AccountTable &before, const AccountTable &after) -> void;

} // namespace KingCup
