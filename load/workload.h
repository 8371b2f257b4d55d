// A workload file: what is asked for, how often, how soon, and what goes wrong meanwhile. INI, read with all findings.
//
//   [run]           seed, duration-s (measured), warmup-s (before), rate (factor on all classes), accelerators
//   [class NAME]    kind (model, plain), priority, per-second; plain: method, path, body ("{n}" is a number, "{key}" the key), once;
//                   model: prompt-tokens, shared-tokens, output-tokens; in time: first-token-ms, gap-ms, whole-ms (0: not looked at);
//                   budget-ms (told to the entry)
//   [popularity]    zipf (exponent over all models and adapters)
//   [bursts]        at-once, factor, shortest-s, longest-s, among (the busiest names that bursts are drawn from)
//   [day]           period-s, amplitude (0 to 1)
//   [callers]       resend (share that sends again, through another entry, what isn't answered by its deadline), crash (share of model
//                   requests that crash their engine)
//   [fault NAME]    at-s (after the warm-up), command (JSON for the stand-ins' POST /fault)
//
// Index of sections (search for [SECTION]):
//   Values    what the file says
//   Reading   from a file
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
    std::string method = "GET"; ///< plain
    std::string path; ///< plain, from the entry's root
    std::string body; ///< plain
    bool runsOnce = false; ///< carries a key and may not run twice
    int promptTokens = 0;
    int sharedTokens = 0; ///< of the prompt, the same for all requests of the class for one model
    int outputTokens = 0;
    Duration firstToken; ///< 0: not looked at
    Duration gap; ///< that 95% of the times between tokens must keep; 0: not looked at
    Duration whole; ///< 0: not looked at
    Duration budget;
};

struct Bursts {
    int concurrent = 0;
    double factor = 10;
    Duration shortest = Duration::seconds(20);
    Duration longest = Duration::seconds(180);
    int candidateNames = 0; ///< 0: all names
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
    Duration dayPeriod; ///< 0: no curve
    double dayAmplitude = 0;
    double resendShare = 0;
    double crashShare = 0;
    std::vector<PlannedFault> faults;
};

// [SECTION] Reading

auto loadWorkload(const std::string &path) -> Checked<Workload>;

} // namespace KingCup
