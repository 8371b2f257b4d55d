// Compresses the rows of the store that gateways forward to each other.
//
// The declarations of a thousand routes are about 350 KB of JSON. Uncompressed, they take 6 s to reach two dozen gateways over a link of
// 10 Mbit/s and delay all digests sent after them by as long. Compression reduces them to a tenth for some milliseconds of CPU time.
#pragma once

#include "wire/messages.h"

#include <optional>

namespace KingCup
{

/// Compresses the message into the field `packed`; the field `table` is set as well. Returns `rows` unchanged if it is small or compression
/// doesn't make it shorter.
auto packRows(const Wire::StoreRows &rows) -> Wire::StoreRows;
/// Reverses packRows(); nothing if the data is invalid.
auto unpackRows(const Wire::StoreRows &rows) -> std::optional<Wire::StoreRows>;

} // namespace KingCup
