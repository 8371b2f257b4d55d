// The schedule of a run: every request with its time, drawn before the run begins. The same workload, names and seed give the same schedule,
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
    std::size_t name = 0; ///< of the model or adapter asked for; index into the names
    std::uint64_t number = 0; ///< of the request, from 0
    bool mayResend = false;
    bool crashesEngine = false;
};

/// One model's time of higher demand.
struct Burst {
    std::size_t name = 0;
    Duration from;
    Duration to;
};

struct Schedule {
    std::vector<Arrival> arrivals; ///< in time order
    std::vector<Burst> bursts;
};

/// `names` are what callers may ask for, in any order; their popularity ranks are drawn.
auto makeSchedule(const Workload &workload, std::size_t names) -> Schedule;

} // namespace KingCup
