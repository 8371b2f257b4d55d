// The schedule of a run: every request with its send time, drawn before the run begins. The same workload, names and seed give the same schedule,
// so that policies are compared on the same arrivals.
#pragma once

#include "workload.h"

#include <string>
#include <vector>

namespace KingCup
{

struct Arrival {
    Duration at; ///< from the start of the warm-up
    std::size_t classIndex = 0;
    std::size_t name = 0; ///< of the requested model or adapter; index into the names
    std::uint64_t number = 0; ///< of the request, from 0
    bool mayResend = false;
    bool crashesEngine = false;
};

/// Period of higher demand for one model or adapter.
struct Burst {
    std::size_t name = 0;
    Duration from;
    Duration to;
};

struct Schedule {
    std::vector<Arrival> arrivals; ///< in time order
    std::vector<Burst> bursts;
};

/// `names` is the number of models and adapters that callers may request; their popularity ranks are drawn at random.
auto makeSchedule(const Workload &workload, std::size_t names) -> Schedule;

} // namespace KingCup
