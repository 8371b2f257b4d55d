// Metrics of a process in the Prometheus text format. Distributions are kept by Boost.Accumulators in constant memory.
//
// A name may have labels: requests_total{outcome="delivered"}. Not thread-safe: an instance belongs to one event loop.
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

    auto text() const -> std::string; ///< all metrics, each name prefixed with "kingcup_"

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCup
