// Wall-clock time, for values that outlive a process, such as retention times and incarnations. Durations are measured with
// EventLoop::now().
#pragma once

#include <cstdint>

namespace KingCup
{

/// Milliseconds since the Unix epoch.
auto wallMillis() -> std::uint64_t;

} // namespace KingCup
