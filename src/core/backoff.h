// Exponential backoff with jitter: the delay before the next try. Jitter prevents all clients of a server that has become available again from
// retrying at the same instant. No I/O.
#pragma once

#include "core/units.h"

#include <random>

namespace KingCup
{

struct BackoffOptions {
    Duration initial = Duration::millis(100); ///< first delay, before jitter
    Duration max = Duration::seconds(3); ///< upper bound of the delay
    double factor = 2.0; ///< growth of the delay from one try to the next
};

class Backoff
{
public:
    explicit Backoff(BackoffOptions options = {});

    auto current() const -> Duration; ///< the next delay before jitter
    /// Returns a random delay between half and the whole of the current one, then lengthens the current one up to `max`.
    auto next(std::minstd_rand &random) -> Duration;
    /// Call after a success: starts again with the initial delay.
    auto reset() -> void;

private:
    BackoffOptions m_options;
    Duration m_current;
};

} // namespace KingCup
