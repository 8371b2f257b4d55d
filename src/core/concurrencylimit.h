// Adaptive limit on the requests in flight to one target. It grows while service times stay close to those of an unloaded target and shrinks
// when they rise. Excess requests then wait in this system's queue, which respects priority and deadlines, instead of in the engine's queue.
#pragma once

#include "core/units.h"

namespace KingCup
{

struct ConcurrencyLimitOptions {
    int min = 4;
    int max = 64; ///< streams that an engine batches
    int initial = 32; ///< what an engine runs at 34 ms per step; with a lower value, placement would consider runners full that have capacity left
    Duration maxStepTime = Duration::millis(34); ///< time between tokens; the limit shrinks while the engine takes longer
    double tolerance = 2.0; ///< the limit shrinks when the service time exceeds this multiple of that of an unloaded target
};

class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    auto limit() const -> int;

    /// A request ended: the time it took at the target, and how many requests were running there when it started.
    auto observeService(Duration serviceTime, int running) -> void;
    /// The engine's time between tokens, from its load report.
    auto observeStep(Duration step, int running) -> void;
    /// The engine refused a request because of load, or a request timed out there.
    auto observeOverload() -> void;

private:
    auto grow(int running) -> void;
    auto shrink(double factor) -> void;

    ConcurrencyLimitOptions m_options;
    double m_limit;
    double m_unloadedMicros = 0; ///< baseline: minimum of the recent mean, drifting slowly upwards
    double m_recentMicros = 0; ///< moving average of the service time
};

} // namespace KingCup
