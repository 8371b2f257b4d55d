// The callers of a run: sends each request when its time has come, whatever became of those before, and notes what came back and when.
//
// Index of sections (search for [SECTION]):
//   Records   what became of one request
//   Caller    the task
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

/// How the caller saw the end, from the entry's word and the answer itself.
enum class ObservedOutcome {
    None, ///< no answer by the end of the run
    Whole, ///< with its end marker, and its own
    Wrong, ///< another request's answer, out of order, or with parts missing
    Refused, ///< said to be not run
    Unknown, ///< said to be unknown, or cut off
};
auto toString(ObservedOutcome outcome) -> const char *;

struct Record {
    Arrival arrival;
    ObservedOutcome outcome = ObservedOutcome::None;
    std::string code; ///< of a refusal or error
    Duration firstToken; ///< from the intended send time; 0: none came
    Duration whole; ///< from the intended send time to the end
    int gaps = 0;
    int gapsWithinLimit = 0; ///< no longer than the class's limit
    bool wasResent = false;
    bool saidNotRun = false; ///< every answer said so
};

/// Times between tokens of one class, in microseconds.
using Gaps = std::vector<std::uint32_t>;

// [SECTION] Caller

struct CallerOptions {
    std::vector<Endpoint> entries;
    std::vector<std::string> names; ///< models and adapters
    std::vector<std::string> artifacts; ///< what each name stands for, to check answers
    std::string runId; ///< part of every key, so that two runs don't meet
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
    auto maxSendDelay() const -> Duration; ///< the most that a request was sent after its time: this tool's own lag

    /// Starts the run; `done` is called when every request has ended.
    auto start(std::function<void()> done) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
