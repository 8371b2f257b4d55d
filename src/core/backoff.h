// How long to wait before the next try: exponential, with jitter, so that many clients of one server that came back don't return in
// the same instant. Pure.
#pragma once

#include "core/units.h"

#include <random>

namespace KingCup
{

struct BackoffOptions {
    Duration initial = Duration::millis(100);
    Duration max = Duration::seconds(3);
    double factor = 2.0;
};

class Backoff
{
public:
    explicit Backoff(BackoffOptions options = {});

    auto current() const -> Duration; ///< the next delay before jitter
    /// Half to the whole of the current delay; the one after it is longer.
    auto next(std::minstd_rand &random) -> Duration;
    /// After a success.
    auto reset() -> void;

private:
    BackoffOptions m_options;
    Duration m_current;
};

} // namespace KingCup
