// Rows of the store on their way between gateways, compressed. Declarations of a thousand routes are some 350 KB of JSON; passed on to two dozen
// gateways over a link of 10 Mbit/s they took 6 s, and all digests behind them as long. Compressed they are a tenth, for some milliseconds
// of processor time.
#pragma once

#include "wire/messages.h"

#include <optional>

namespace KingCup
{

/// The same rows with all but the table in `packed`, where that is shorter.
auto packRows(const Wire::StoreRows &rows) -> Wire::StoreRows;
/// What packRows() was given; nothing if it can't be read.
auto unpackRows(const Wire::StoreRows &rows) -> std::optional<Wire::StoreRows>;

} // namespace KingCup
