#include "net/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <sstream>

namespace KingCup
{

namespace
{

namespace Stats = boost::accumulators;
using Distribution = Stats::accumulator_set<double, Stats::stats<Stats::tag::count, Stats::tag::sum, Stats::tag::extended_p_square>>;
constexpr std::array<double, 3> Quantiles {0.5, 0.95, 0.99};

/// Adds a label: name{a="b"} and quantile="0.5" give name{a="b",quantile="0.5"}.
auto withLabel(const std::string &name, const std::string &label) -> std::string
{
    if (name.ends_with('}')) {
        return name.substr(0, name.size() - 1) + "," + label + "}";
    }
    return name + "{" + label + "}";
}

/// Adds a suffix to the name: name{a="b"} and "_sum" give name_sum{a="b"}.
auto withSuffix(const std::string &name, const std::string &suffix) -> std::string
{
    const auto brace = name.find('{');
    return brace == std::string::npos ? name + suffix : name.substr(0, brace) + suffix + name.substr(brace);
}

} // namespace

struct Metrics::Private {
    std::map<std::string, double> values;
    std::map<std::string, Distribution> distributions;
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

auto Metrics::add(const std::string &name, double amount) -> void
{
    d->values[name] += amount;
}

auto Metrics::set(const std::string &name, double value) -> void
{
    d->values[name] = value;
}

auto Metrics::observe(const std::string &name, double value) -> void
{
    const auto found = d->distributions.try_emplace(name, Stats::extended_p_square_probabilities = Quantiles).first;
    found->second(value);
}

auto Metrics::text() const -> std::string
{
    std::ostringstream out;
    for (const auto &[name, value] : d->values) {
        out << "kingcup_" << name << " " << value << "\n";
    }
    for (const auto &[name, distribution] : d->distributions) {
        for (std::size_t i = 0; i < Quantiles.size(); ++i) {
            std::ostringstream label;
            label << "quantile=\"" << Quantiles[i] << "\"";
            out << "kingcup_" << withLabel(name, label.str()) << " " << Stats::extended_p_square(distribution)[static_cast<std::ptrdiff_t>(i)] << "\n";
        }
        out << "kingcup_" << withSuffix(name, "_sum") << " " << Stats::sum(distribution) << "\n";
        out << "kingcup_" << withSuffix(name, "_count") << " " << Stats::count(distribution) << "\n";
    }
    return out.str();
}

} // namespace KingCup
