// A randomized test run. The seed determines the configuration of the system, the workload and the faults. The system's guarantees are checked
// during the run and at its end.
//
// The same seed gives the same schedule, but how the processes react to it depends on timing. The checks therefore cover only safety properties and
// conditions that are waited for, never how long something took.
#pragma once

#include "tests/harness_cluster.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace KingCup
{

/// Counts of one run, which can be added up over several seeds.
struct RandomRunCounts {
    int completions = 0;
    int completionsDelivered = 0;
    int debits = 0; ///< debits sent, including resends
    int resends = 0;
    int debitsDelivered = 0;
    int debitsNotRun = 0;
    int debitsUnknown = 0;
    std::map<std::string, int> faults; ///< by kind

    auto add(const RandomRunCounts &other) -> void;
    auto text() const -> std::string;
};

class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed);

    /// Starts a system, sends requests and injects faults for `span`, ends the faults and checks all guarantees. Fails the test on a violation.
    auto run(Duration span) -> RandomRunCounts;

private:
    struct Completion {
        CallPtr call;
        std::string artifact;
        std::string prompt;
        int tokens = 0;
        bool checked = false;
    };
    struct Debit {
        CallPtr call;
        std::string key;
        bool checked = false;
    };

    auto options() -> ClusterOptions;
    auto randomBetween(int min, int max) -> int;
    auto chance(double probability) -> bool;
    auto startRequest() -> void;
    auto injectFault() -> void;
    auto injectProcessFault() -> void;
    auto injectPlatformFault() -> void;
    auto injectLinkFault() -> void;
    auto injectEngineFault() -> void;
    auto restoreProcesses() -> void;
    auto checkEndedCalls() -> void;
    auto checkDebits() -> void;
    auto checkReachable() -> void;
    auto checkPlannedStops() -> void;

    std::mt19937_64 m_random;
    Cluster m_cluster;
    RandomRunCounts m_counts;
    std::vector<Completion> m_completions;
    std::vector<Debit> m_debits;
    std::vector<std::string> m_stopped; // processes under SIGSTOP
    int m_serial = 0;
};

} // namespace KingCup
