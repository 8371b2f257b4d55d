// Log lines on what a new version of the declarations changes for client accounts.
#pragma once

#include "core/accounts.h"
#include "net/eventlog.h"

namespace KingCup
{

/// One line for each account that is new, changed or gone, up to a bound. Keys are shown as numbers only.
auto logAccountChanges(EventLog &log, const AccountTable &before, const AccountTable &after) -> void;

} // namespace KingCup
