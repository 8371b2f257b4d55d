// Report of a run: results from the callers' records and the fakes' ground truth, as a table and as JSON.
#pragma once

#include "caller.h"

#include <nlohmann/json.hpp>
#include <string>

namespace KingCup
{

/// Answers of the fakes to GET /truth, at the end of the warm-up and at the end of the run.
struct GroundTruth {
    nlohmann::json before;
    nlohmann::json after;
};

/// {"classes":{NAME:{"sent","inTime","late","refused","unknown","wrong","doubled","lost","falseNotRun","resent","firstTokenMs":{...},
/// "gapMs":{...},"wholeMs":{...},"codes":{...}}},"total":{...},"attainment","moves","loads","crashes","overcommits","seconds",...}
auto reportOf(const Workload &workload, const Caller &caller, const GroundTruth &truth) -> nlohmann::json;

auto tableOf(const nlohmann::json &report) -> std::string;

} // namespace KingCup
