// Reads declarations from INI files, which operators keep under version control.
//
// All *.ini files of a folder, read in the order of their names, form one set. A section's heading is its kind and its name:
//
//   [service NAME]    kind (models, plain), priority, time-budget-ms, share, claim-retention-s,
//                     non-idempotent (plain services: "POST /debits, PUT /extensions")
//   [model NAME]      service, current (a version: its full name, or the part after the '@')
//   [version MODEL@V] size-gb
//   [adapter NAME]    base ("MODEL@V"), size-gb
//   [target ID]       service, fencing (checked, ignored), longest-order-delay-ms
//   [policy]          move-cost, horizon-s, loads-per-second, parallel-loads, kv-reserve, floor-zones
//
// A version inherits its model's service, an adapter the service of its base version.
#pragma once

#include "core/declarations.h"

#include <string>

namespace KingCup
{

/// Reads every *.ini file of a folder, or a single file, and validates the resulting set. Reports all findings.
auto loadDeclarations(const std::string &path) -> Checked<Declarations>;

/// Parses and validates the text of a single file. `path` is only used in findings.
auto parseDeclarations(const std::string &path, const std::string &text) -> Checked<Declarations>;

} // namespace KingCup
