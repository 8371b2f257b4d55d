#include "core/copyspread.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

namespace
{

/// Passes over all models. After two passes the loads are within a few hundredths of their final values.
constexpr int Sweeps = 3;
constexpr double NegligibleWork = 1e-6;

} // namespace

auto LossCurve::lostWork(double work) const -> double
{
    const auto sigmoid = [this](double some) {
        const double power = std::pow(some / halfLost, steepness);
        return some * power / (power + 1);
    };
    // The load at which the lost work grows fastest (inflection point of the sigmoid), and the slope there.
    const double power = (steepness + 1) / (steepness - 1);
    const double steepest = halfLost * std::pow(power, 1 / steepness);
    const double slope = power * (power + steepness + 1) / ((power + 1) * (power + 1));
    return work <= steepest ? sigmoid(std::max(work, 0.0)) : sigmoid(steepest) + slope * (work - steepest);
}

CopySpread::CopySpread(std::size_t models, std::size_t runners)
    : m_work(models)
    , m_copies(models)
    , m_loads(runners)
{
}

auto CopySpread::work(std::size_t model) const -> double
{
    return m_work[model];
}

auto CopySpread::copies(std::size_t model) const -> std::size_t
{
    return m_copies[model].size();
}

auto CopySpread::holds(std::size_t model, std::size_t runner) const -> bool
{
    return std::any_of(m_copies[model].begin(), m_copies[model].end(), [&](const Copy &copy) { return copy.runner == runner; });
}

auto CopySpread::load(std::size_t runner) const -> double
{
    return m_loads[runner];
}

auto CopySpread::share(std::size_t model, std::size_t runner) const -> double
{
    const auto found = std::find_if(m_copies[model].begin(), m_copies[model].end(), [&](const Copy &copy) { return copy.runner == runner; });
    return found == m_copies[model].end() ? 0 : found->work;
}

auto CopySpread::lowestLoad(std::size_t model) const -> double
{
    const auto &copies = m_copies[model];
    if (copies.empty()) {
        return 0;
    }
    const auto emptier = [&](const Copy &a, const Copy &b) {
        return m_loads[a.runner] < m_loads[b.runner];
    };
    return m_loads[std::min_element(copies.begin(), copies.end(), emptier)->runner];
}

auto CopySpread::lostWork(const LossCurve &curve) const -> double
{
    double sum = 0;
    for (const double load : m_loads) {
        sum += curve.lostWork(load);
    }
    return sum;
}

auto CopySpread::setWork(std::size_t model, double work) -> void
{
    m_work[model] = work;
}

auto CopySpread::setUnavailable(std::size_t runner, double share) -> void
{
    m_loads[runner] += share;
}

auto CopySpread::add(std::size_t model, std::size_t runner) -> void
{
    if (!holds(model, runner)) {
        m_copies[model].push_back({runner, 0});
    }
}

auto CopySpread::remove(std::size_t model, std::size_t runner) -> void
{
    m_loads[runner] -= share(model, runner);
    std::erase_if(m_copies[model], [&](const Copy &copy) { return copy.runner == runner; });
}

auto CopySpread::rebalance() -> void
{
    m_order.clear();
    for (std::size_t model = 0; model < m_work.size(); ++model) {
        if (m_work[model] > NegligibleWork && !m_copies[model].empty()) {
            m_order.push_back(model);
        }
    }
    std::sort(m_order.begin(), m_order.end(), [&](std::size_t a, std::size_t b) { return m_copies[a].size() < m_copies[b].size(); });
    for (int sweep = 0; sweep < Sweeps; ++sweep) {
        for (const auto model : m_order) {
            spread(model);
        }
    }
}

/// Spreads one model's work by water-filling: raises its least loaded runners to a common load, with the other models' work unchanged.
auto CopySpread::spread(std::size_t model) -> void
{
    auto &copies = m_copies[model];
    for (auto &copy : copies) {
        m_loads[copy.runner] -= copy.work;
    }
    std::sort(copies.begin(), copies.end(), [&](const Copy &a, const Copy &b) { return m_loads[a.runner] < m_loads[b.runner]; });
    double below = 0; // sum of the loads of the runners that get work
    double level = 0;
    std::size_t reached = 0;
    while (reached < copies.size()) {
        below += m_loads[copies[reached].runner];
        ++reached;
        level = (m_work[model] + below) / static_cast<double>(reached);
        if (reached < copies.size() && level <= m_loads[copies[reached].runner]) {
            break;
        }
    }
    for (std::size_t i = 0; i < copies.size(); ++i) {
        copies[i].work = i < reached ? std::max(level - m_loads[copies[i].runner], 0.0) : 0;
        m_loads[copies[i].runner] += copies[i].work;
    }
}

} // namespace KingCup
