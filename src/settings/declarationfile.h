// Declarations from INI files that operators keep under version control.
//
// A folder's files (*.ini, in the order of their names) make one set. A section's heading is its kind and its name:
//
//   [service NAME]    kind (models, plain), priority, time-budget-ms, share, claim-retention-s,
//                     non-idempotent (plain services: "POST /debits, PUT /extensions")
//   [model NAME]      service, current (a version's name after the '@', or whole)
//   [version MODEL@V] size-gb
//   [adapter NAME]    base ("MODEL@V"), size-gb
//   [target ID]       service, fencing (checked, ignored), longest-order-delay-ms
//   [policy]          move-cost, horizon-s, loads-per-second, parallel-loads, kv-reserve, floor-zones
//
// A version belongs to its model's service, an adapter to its base's.
#pragma once

#include "core/declarations.h"

#include <string>

namespace KingCup
{

/// Reads every *.ini file of a folder, or one file, and checks the set as a whole. All findings are collected.
auto loadDeclarations(const std::string &path) -> Checked<Declarations>;

/// As loadDeclarations(), from one file's text; `path` is only used in findings.
auto parseDeclarations(const std::string &path, const std::string &text) -> Checked<Declarations>;

} // namespace KingCup
