// How many requests a target may run at once, learnt from what it does: grows while answers stay as quick as an unloaded target's,
// shrinks when they slow down, so that waiting happens in our queue, where order and deadlines count, and not in the engine.
#pragma once

#include "core/units.h"

namespace KingCup
{

struct ConcurrencyLimitOptions {
    int min = 4;
    int max = 64; ///< streams that an engine batches
    int initial = 32; ///< what an engine does at 34 ms a step; a lower start makes placement see runners as full that aren't
    Duration maxStepTime = Duration::millis(34); ///< between tokens; the limit shrinks while the engine is slower
    double tolerance = 2.0; ///< service time may rise to this many times the unloaded one
};

class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    auto limit() const -> int;

    /// A request ended: its time at the target, and how many ran when it started.
    auto observeService(Duration serviceTime, int running) -> void;
    /// The engine's time between tokens, from its load figures.
    auto observeStep(Duration step, int running) -> void;
    /// The engine refused for load, or the request timed out there.
    auto observeOverload() -> void;

private:
    auto grow(int running) -> void;
    auto shrink(double factor) -> void;

    ConcurrencyLimitOptions m_options;
    double m_limit;
    double m_unloadedMicros = 0; ///< slowly rising minimum of the service time
    double m_recentMicros = 0;
};

} // namespace KingCup
