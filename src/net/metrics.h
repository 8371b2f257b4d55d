// Metrics of a process, shown in the text format that scrapers read. Distributions are kept by Boost.Accumulators in constant memory.
//
// A name may carry labels: requests_total{outcome="delivered"}. One loop uses an instance; there are no locks.
#pragma once

#include <memory>
#include <string>

namespace KingCup
{

class Metrics
{
public:
    Metrics();
    ~Metrics();

    auto add(const std::string &name, double amount = 1) -> void; ///< counters
    auto set(const std::string &name, double value) -> void; ///< gauges
    auto observe(const std::string &name, double value) -> void; ///< distributions: count, sum, quantiles 0.5, 0.95 and 0.99

    auto text() const -> std::string; ///< all of them, each name prefixed with "kingcup_"

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCup
