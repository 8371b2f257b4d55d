// The wall clock, for what outlives a process: retention times, incarnations. Spans of time are measured with EventLoop::now().
#pragma once

#include <cstdint>

namespace KingCup
{

/// Milliseconds since 1970.
auto wallMillis() -> std::uint64_t;

} // namespace KingCup
