#include "net/wallclock.h"

#include <chrono>

namespace KingCup
{

auto wallMillis() -> std::uint64_t
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace KingCup
