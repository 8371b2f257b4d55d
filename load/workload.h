// A workload file (INI): request classes with their rates and latency limits, bursts, and planned faults. Reading it reports all findings.
//
//   [run]           seed, duration-s (measured), warmup-s (before), rate (factor on all classes), accelerators
//   [class NAME]    kind (model, plain), priority, per-second; plain: method, path, body ("{n}" is a number, "{key}" the key), once;
//                   model: prompt-tokens, shared-tokens, output-tokens; latency limits: first-token-ms, gap-ms, whole-ms (0: no limit);
//                   budget-ms (time budget that is sent to the entry)
//   [popularity]    zipf (exponent over all models and adapters)
//   [bursts]        at-once, factor, shortest-s, longest-s, among (number of the most popular names that bursts are drawn from)
//   [day]           period-s, amplitude (0 to 1)
//   [callers]       resend (share of requests that are sent again, through another entry, if they aren't answered by their deadline),
//                   crash (share of model requests that crash their engine)
//   [fault NAME]    at-s (after the warm-up), command (JSON for the fakes' POST /fault)
//
// Index of sections (search for [SECTION]):
//   Values    contents of a workload file
//   Reading   reads the file
#pragma once

#include "core/declarations.h"
#include "core/finding.h"
#include "core/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Values

struct RequestClass {
    std::string name;
    bool isModel = true;
    Priority priority = Priority::Standard;
    double perSecond = 0;
    std::string method = "GET"; ///< of plain requests
    std::string path; ///< of plain requests, from the entry's root
    std::string body; ///< of plain requests
    bool runsOnce = false; ///< carries an idempotency key and must not run twice
    int promptTokens = 0;
    int sharedTokens = 0; ///< leading tokens of the prompt that are the same in all requests of the class for one model
    int outputTokens = 0;
    Duration firstToken; ///< limit; 0: none
    Duration gap; ///< limit for 95% of the times between tokens; 0: none
    Duration whole; ///< limit; 0: none
    Duration budget; ///< time budget that is sent to the entry
};

struct Bursts {
    int concurrent = 0; ///< bursts at the same time
    double factor = 10;
    Duration shortest = Duration::seconds(20);
    Duration longest = Duration::seconds(180);
    int candidateNames = 0; ///< number of the most popular names that bursts are drawn from; 0: all names
};

struct PlannedFault {
    std::string name;
    Duration at; ///< after the warm-up
    std::string command;
};

struct Workload {
    std::uint64_t seed = 1;
    Duration duration = Duration::seconds(300);
    Duration warmup = Duration::seconds(60);
    double rate = 1;
    int accelerators = 1;
    std::vector<RequestClass> classes;
    double zipf = 1;
    Bursts bursts;
    Duration dayPeriod; ///< 0: no daily variation
    double dayAmplitude = 0;
    double resendShare = 0;
    double crashShare = 0;
    std::vector<PlannedFault> faults;
};

// [SECTION] Reading

auto loadWorkload(const std::string &path) -> Checked<Workload>;

} // namespace KingCup
