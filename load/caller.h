// The callers of a run (open loop): sends each request at its scheduled time, regardless of earlier requests, and records its answer and timing.
//
// Index of sections (search for [SECTION]):
//   Records   the result of one request
//   Caller    sends the requests
#pragma once

#include "arrivals.h"

#include "core/endpoint.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Records

/// The end of a request as its caller saw it, from the entry's outcome header and the answer.
enum class ObservedOutcome {
    None, ///< no answer by the end of the run
    Whole, ///< complete; a stream with all its tokens and the end marker
    Wrong, ///< another request's answer, out of order, or with parts missing
    Refused, ///< not run according to the entry, or the entry wasn't reachable
    Unknown, ///< unknown according to the entry, or the answer was cut off
};
auto toString(ObservedOutcome outcome) -> const char *;

struct Record {
    Arrival arrival;
    ObservedOutcome outcome = ObservedOutcome::None;
    std::string code; ///< of a refusal or error
    Duration firstToken; ///< from the scheduled send time; 0: no token came
    Duration whole; ///< from the scheduled send time to the end
    int gaps = 0; ///< times between tokens
    int gapsWithinLimit = 0; ///< gaps no longer than the class's limit
    bool wasResent = false;
    bool saidNotRun = false; ///< every answer said that the request wasn't run
};

/// Times between tokens of one class, in microseconds.
using Gaps = std::vector<std::uint32_t>;

// [SECTION] Caller

struct CallerOptions {
    std::vector<Endpoint> entries;
    std::vector<std::string> names; ///< models and adapters
    std::vector<std::string> artifacts; ///< artifact that each name resolves to, for the check of answers
    std::string runId; ///< part of every key, so that the keys of two runs differ
};

class Caller
{
public:
    Caller(EventLoop &loop, const Workload &workload, const Schedule &schedule, CallerOptions options);
    ~Caller();

    auto records() const -> const std::vector<Record> &; ///< one for each arrival
    auto gaps(std::size_t classIndex) const -> const Gaps &;
    auto keyOf(const Arrival &arrival) const -> std::string;
    auto inFlight() const -> std::size_t;
    auto maxSendDelay() const -> Duration; ///< longest delay of a send after its scheduled time: this tool's own lag

    /// Starts the run; `done` is called when every request has ended.
    auto start(std::function<void()> done) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
