// What a run came to: verdicts from the callers' records and the stand-ins' ground truth, as a table and as JSON.
#pragma once

#include "caller.h"

#include <nlohmann/json.hpp>
#include <string>

namespace KingCup
{

/// The stand-ins' GET /truth, at the end of the warm-up and at the end of the run.
struct GroundTruth {
    nlohmann::json before;
    nlohmann::json after;
};

/// {"classes":{NAME:{"sent","inTime","late","refused","unknown","wrong","doubled","lost","falseNotRun","resent","firstTokenMs":{...},
/// "gapMs":{...},"wholeMs":{...},"codes":{...}}},"total":{...},"attainment","moves","loads","crashes","overcommits","seconds",...}
auto reportOf(const Workload &workload, const Caller &caller, const GroundTruth &truth) -> nlohmann::json;

auto tableOf(const nlohmann::json &report) -> std::string;

} // namespace KingCup
